//! What taking machines out for work decides, without I/O and without a clock. docs/maintenance.md
//! says why it is so.
//!
//! An operator's [`Wish`] names machines and limits; a majority of the keepers holds it. A machine
//! is out by an [`Outing`] at a majority, which holds numbered slots under each limit; nobody leads
//! and nobody owns an outing: whoever sees what a majority tells may take the next step
//! ([`look::look`]), and each step may come late, doubled or never. The fence is at the machine, in
//! its [`door::Door`].

pub mod board;
pub mod door;
pub mod look;
pub mod order;

pub use corkspan_quorum::{ClaimId, majority};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A machine, by the number that the roster gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Machine(pub u32);

/// Machines that one wish may name.
pub const MOST: usize = 2_000;

/// Where a machine stands and what it is, as the roster told when it was wished for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct At {
    pub hall: u32,
    pub cell: u64,
    pub kind: u32,
}

/// So many may be out at a time: in all, and of those of one hall, cell and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Limits {
    pub all: u32,
    pub hall: u32,
    pub cell: u32,
    pub kind: u32,
}

impl Limits {
    /// In the order of [`Slots`].
    pub fn each(&self) -> [u32; 4] {
        [self.all, self.hall, self.cell, self.kind]
    }
}

/// Which of the numbered places under each limit an outing holds. Numbers and no counts: of three
/// keepers that each count to two, two may let in three.
pub type Slots = [u32; 4];

/// Whether two machines fall under one limit, by its place in [`Slots`].
pub fn shares(limit: usize, one: At, other: At) -> bool {
    match limit {
        0 => true,
        1 => one.hall == other.hall,
        2 => one.cell == other.cell,
        _ => one.kind == other.kind,
    }
}

/// What becomes of allocations that may be neither moved nor repeated, once the time to empty a
/// machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Then {
    Wait,
    /// The machine is opened again and left out of this wish.
    Skip,
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Course {
    Going,
    /// No further machine is taken; those that are out go on.
    Paused,
    /// Those that have not been handed to the work are opened again.
    Aborted,
}

/// What an operator wants. One is in force at a time; adding to it, pausing and ending are wishes
/// of the next number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wish {
    pub number: u64,
    /// Drawn by who asks: two who ask at once with one number are told apart by it.
    pub asker: u64,
    /// Of the first wish of this work: what was done for an earlier one is not done for this.
    pub job: u64,
    pub machines: BTreeMap<Machine, At>,
    pub limits: Limits,
    /// So long a machine that is back counts as out still, in ms.
    pub warm_ms: u64,
    /// So long it may take to empty one, in ms.
    pub empty_within_ms: u64,
    pub then: Then,
    pub course: Course,
}

impl corkspan_quorum::Wish for Wish {
    /// There is one.
    type Matter = ();

    fn matter(&self) {}

    fn number(&self) -> u64 {
        self.number
    }

    fn numbered(&self, number: u64) -> Self {
        Wish {
            number,
            ..self.clone()
        }
    }

    fn slots(&self) -> u32 {
        self.limits.all
    }
}

/// How far a machine has come. Each is told to a majority before the next is begun, and none is
/// taken back. From [`Phase::Closed`] it is either handed over or returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// A claim that may yet fail.
    Asked,
    /// Its slots stand at a majority: the machine may be closed.
    Held,
    /// It takes nothing new, by its own word.
    Closed,
    /// Nothing runs there, by its own word: it is the worker's now.
    Handed,
    /// The worker says that the work is done.
    Done,
    /// It is to be opened again unworked. Of each outing a keeper votes once, for this or for
    /// [`Phase::Handed`], and all keepers vote, also one that never held it: or one who has
    /// seen a wish ended could open what another has just handed over, and a keeper without a
    /// vote could leave the two even for good.
    Returned,
}

/// A machine that is out, or about to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outing {
    pub claim: ClaimId,
    /// Of the wish that it was claimed under.
    pub job: u64,
    pub at: At,
    pub slots: Slots,
    pub phase: Phase,
}
