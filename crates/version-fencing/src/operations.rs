//! What a node has seen of acts: how many of each kind, by whom, under which version. Bounded,
//! whatever comes.

use std::collections::BTreeMap;

/// Rows at the most: a life for each of 300 dispatchers with some versions and kinds fits, and a
/// peer that invents lives can't fill the memory.
const MAX_ROWS: usize = 8_192;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperationKind {
    Attempt,
    Attend,
    Stop,
    Migrate,
    Claim,
}

impl OperationKind {
    pub const ALL: [OperationKind; 5] = [
        OperationKind::Attempt,
        OperationKind::Attend,
        OperationKind::Stop,
        OperationKind::Migrate,
        OperationKind::Claim,
    ];
}

impl std::fmt::Display for OperationKind {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            OperationKind::Attempt => "shots",
            OperationKind::Attend => "attendances",
            OperationKind::Stop => "stops",
            OperationKind::Migrate => "moves",
            OperationKind::Claim => "claims",
        })
    }
}

/// Who acted: the process, and the version that it had decided under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationSource {
    pub dispatcher: u32,
    pub incarnation: u64,
    pub version: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCount {
    pub seen: u64,
    /// Of them, turned away by the floor.
    pub rejected: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    rows: BTreeMap<(OperationSource, OperationKind), OperationCount>,
    uncounted: u64,
}

impl OperationCounts {
    pub fn record(&mut self, source: OperationSource, kind: OperationKind) {
        match self.row(source, kind) {
            Some(count) => count.seen += 1,
            None => self.uncounted += 1,
        }
    }

    /// One that was seen has been turned away.
    pub fn record_rejected(&mut self, source: OperationSource, kind: OperationKind) {
        if let Some(count) = self.rows.get_mut(&(source, kind)) {
            count.rejected += 1;
        }
    }

    fn row(&mut self, source: OperationSource, kind: OperationKind) -> Option<&mut OperationCount> {
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&(source, kind)) {
            return None;
        }
        Some(self.rows.entry((source, kind)).or_default())
    }

    pub fn rows(&self) -> impl Iterator<Item = (OperationSource, OperationKind, OperationCount)> {
        self.rows
            .iter()
            .map(|(&(source, kind), &count)| (source, kind, count))
    }

    /// Acts of which there is no row: there were as many as may be.
    pub fn uncounted(&self) -> u64 {
        self.uncounted
    }
}
