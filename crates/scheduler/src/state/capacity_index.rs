//! What each machine has left at the most, and what was asked for in vain.

use super::statistics::Means;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// What a machine has room for, or an allocation needs: by what is likely in use, by the least that
/// may be drawn, and by what is asked.
#[derive(Clone, Copy)]
pub struct Room {
    pub bears: Resources,
    pub line: Resources,
    pub asked: Resources,
}

impl Room {
    fn within(&self, room: &Room) -> bool {
        let uses = self.bears.fits_in(room.bears) || self.line.fits_in(room.line);
        uses && self.asked.fits_in(room.asked)
    }

    fn gains(&self, former: &Room) -> bool {
        let of = |room: &Room| [room.bears, room.line, room.asked];
        std::iter::zip(of(self), of(former)).any(|(now, former)| !now.fits_in(former))
    }
}

/// Likes: what one of them finds no machine for, another that asks for no less finds none for
/// either.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    pub service: ServiceId,
    track: ServiceClassId,
    account: TenantId,
}

impl Kind {
    pub fn of(allocation: &Allocation) -> Self {
        Kind {
            service: allocation.service,
            track: allocation.service_class,
            account: allocation.tenant,
        }
    }
}

/// So much was asked for in vain, and will be until then but for machines that gain after so many
/// changes.
struct Vain {
    asks: Resources,
    until: Ticks,
    changes: u64,
}

/// The room that each machine has at the most until a moment, and what was asked for in vain.
#[derive(Default)]
pub struct Rooms {
    until: Ticks,
    learnt: [Means; 2],
    ids: Vec<MachineId>,
    /// Of each machine, one for each track.
    rooms: Vec<Room>,
    /// Machines that something happened to, and whether they may have gained what rooms don't
    /// tell.
    touched: BTreeMap<MachineId, bool>,
    /// The machines that gained, the last ones of so many changes.
    gained: VecDeque<MachineId>,
    changes: u64,
    vain: BTreeMap<Kind, Vain>,
}

impl Rooms {
    /// Nothing of it holds any more.
    pub fn void(&mut self) {
        *self = Rooms {
            changes: self.changes + 1,
            ..Rooms::default()
        };
    }

    pub fn build(&mut self, until: Ticks, learnt: [Means; 2], all: Vec<(MachineId, Vec<Room>)>) {
        self.void();
        (self.until, self.learnt) = (until, learnt);
        self.ids = all.iter().map(|(id, _)| *id).collect();
        self.rooms = all.into_iter().flat_map(|(_, rooms)| rooms).collect();
    }

    pub fn stand(&self, until: Ticks, learnt: [Means; 2]) -> bool {
        (self.until, self.learnt) == (until, learnt)
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn touch(&mut self, id: MachineId, gains: bool) {
        match self.ids.binary_search(&id) {
            Ok(_) => *self.touched.entry(id).or_default() |= gains,
            Err(_) => self.void(),
        }
    }

    pub fn touched(&self) -> Vec<MachineId> {
        self.touched.keys().copied().collect()
    }

    pub fn renew(&mut self, id: MachineId, rooms: Vec<Room>) {
        let gains = self.touched.remove(&id).unwrap_or(true);
        let Ok(at) = self.ids.binary_search(&id) else {
            return self.void();
        };
        let former = &mut self.rooms[at * rooms.len()..][..rooms.len()];
        if gains || std::iter::zip(&rooms, &*former).any(|(now, former)| now.gains(former)) {
            self.changes += 1;
            self.gained.push_back(id);
            if self.gained.len() > self.ids.len() {
                self.gained.pop_front();
            }
        }
        former.copy_from_slice(&rooms);
    }

    /// Such kinds may find a machine though none has gained room.
    pub fn again(&mut self, which: impl Fn(&Kind) -> bool) {
        self.vain.retain(|kind, _| !which(kind));
        self.changes += 1;
    }

    /// The machines that one of this kind with this need is to be weighed for, and until when it is
    /// in vain but for them.
    pub fn passing(&self, now: Ticks, kind: Kind, need: Room) -> (Ticks, Vec<MachineId>) {
        let tracks = self.rooms.len() / self.ids.len().max(1);
        let passes = |at: usize| need.within(&self.rooms[at * tracks + kind.track.0]);
        let known = self
            .vain
            .get(&kind)
            .filter(|vain| vain.asks.fits_in(need.asked) && vain.until > now);
        let since = known.map(|vain| (vain.until, (self.changes - vain.changes) as usize));
        match since.filter(|(_, since)| *since <= self.gained.len()) {
            Some((until, since)) => {
                let gained = self.gained.iter().rev().take(since);
                let at = |id: &&MachineId| self.ids.binary_search(id).is_ok_and(passes);
                (until, gained.filter(at).copied().collect())
            }
            None => {
                let all = (0..self.ids.len()).filter(|&at| passes(at));
                (self.until, all.map(|at| self.ids[at]).collect())
            }
        }
    }

    /// In vain until then, as of the changes so far. Of so many kinds at the most.
    pub fn keep(&mut self, kind: Kind, asks: Resources, until: Ticks, most: usize) {
        let changes = self.changes;
        let same =
            |vain: &Vain| vain.changes == changes && vain.until == until && vain.asks.fits_in(asks);
        if self.vain.get(&kind).is_some_and(same) {
            return;
        }
        if self.vain.len() >= most {
            self.vain.clear();
        }
        self.vain.insert(
            kind,
            Vain {
                asks,
                until,
                changes,
            },
        );
    }
}
