//! What a node has seen of acts: how many of each kind, by whom, under which version. Bounded,
//! whatever comes.

use std::collections::BTreeMap;

/// Rows at the most: a life for each of 300 dispatchers with some versions and kinds fits, and a
/// peer that invents lives can't fill the memory.
const MOST: usize = 8_192;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Shot,
    Attend,
    Stop,
    Move,
    Claim,
}

impl Kind {
    pub const ALL: [Kind; 5] = [
        Kind::Shot,
        Kind::Attend,
        Kind::Stop,
        Kind::Move,
        Kind::Claim,
    ];
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Kind::Shot => "shots",
            Kind::Attend => "attendances",
            Kind::Stop => "stops",
            Kind::Move => "moves",
            Kind::Claim => "claims",
        })
    }
}

/// Who acted: the process, and the version that it had decided under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct By {
    pub dispatcher: u32,
    pub life: u64,
    pub version: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Many {
    pub seen: u64,
    /// Of them, turned away by the floor.
    pub below: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acts {
    rows: BTreeMap<(By, Kind), Many>,
    left_out: u64,
}

impl Acts {
    pub fn saw(&mut self, by: By, kind: Kind) {
        match self.row(by, kind) {
            Some(many) => many.seen += 1,
            None => self.left_out += 1,
        }
    }

    /// One that was seen has been turned away.
    pub fn turned_away(&mut self, by: By, kind: Kind) {
        if let Some(many) = self.rows.get_mut(&(by, kind)) {
            many.below += 1;
        }
    }

    fn row(&mut self, by: By, kind: Kind) -> Option<&mut Many> {
        if self.rows.len() >= MOST && !self.rows.contains_key(&(by, kind)) {
            return None;
        }
        Some(self.rows.entry((by, kind)).or_default())
    }

    pub fn rows(&self) -> impl Iterator<Item = (By, Kind, Many)> {
        self.rows
            .iter()
            .map(|(&(by, kind), &many)| (by, kind, many))
    }

    /// Acts of which there is no row: there were as many as may be.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}
