//! What a rolling update decides, without I/O and without a clock. docs/roll.md says why it is so.
//!
//! A roll replaces the copies of a service by a new version, so that never more than a stated
//! number of them are not ready, over all dispatchers together, which share nothing. The keepers of
//! [`corkspan_quorum`] are the place of truth: they keep each service's latest roll and who holds
//! its slots. A copy may be taken down only by who holds a slot at a majority of them.
//! [`conductor`] decides for one dispatcher: which copy next, when to wait, when to halt.

pub mod conductor;

pub use corkspan_quorum::{ClaimId, Claimed, Grant, in_force, majority, to_follow};
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// A service's roll, as its operator wants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    pub service: String,
    /// Counts the wishes for a service; the highest that a majority of keepers holds is in force.
    pub number: u64,
    /// Drawn by who asks: two who ask at once with one number are told apart by it.
    pub asker: u64,
    pub version: String,
    /// What an undo goes back to.
    pub former: String,
    /// What a copy is that tells no version: it was placed before the first roll.
    pub unversioned: String,
    /// Copies of the service that may be not ready at a time.
    pub unready_most: u32,
    /// Copies that one dispatcher replaces at a time.
    pub batch: u32,
    pub order: Order,
    /// So long a copy must be ready before the next takes its slot.
    pub ready_for: Ticks,
    /// So long a copy may take to get ready.
    pub ready_within: Ticks,
    /// Copies that may fail at one dispatcher before the roll halts.
    pub failures_most: u32,
    pub phase: Phase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// The old copy is known to be gone before the new one is placed.
    StopFirst,
    /// The new copy is ready before the old one is stopped. Only for what may run twice.
    StartFirst,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Rolling,
    Paused,
    /// By itself, for this reason.
    Halted(String),
}

/// What a node keeps of rolls.
pub type Keeper = corkspan_quorum::Keeper<Roll>;

impl corkspan_quorum::Wish for Roll {
    /// Its service.
    type Matter = String;

    fn matter(&self) -> String {
        self.service.clone()
    }

    fn number(&self) -> u64 {
        self.number
    }

    fn numbered(&self, number: u64) -> Self {
        Roll {
            number,
            ..self.clone()
        }
    }

    fn slots(&self) -> u32 {
        self.unready_most
    }
}

impl Roll {
    /// The version that a copy placed now gets: the former where it is not known that the new one
    /// is any good.
    pub fn wanted(&self) -> &str {
        match self.phase {
            Phase::Rolling | Phase::Paused => &self.version,
            Phase::Halted(_) => &self.former,
        }
    }

    /// The next wish with another phase.
    pub fn with_phase(&self, phase: Phase, asker: u64) -> Roll {
        Roll {
            number: self.number + 1,
            asker,
            phase,
            ..self.clone()
        }
    }

    /// The next wish that goes back to the former version.
    pub fn undone(&self, asker: u64) -> Roll {
        let (version, former) = (self.former.clone(), self.version.clone());
        Roll {
            number: self.number + 1,
            asker,
            version,
            former,
            phase: Phase::Rolling,
            ..self.clone()
        }
    }
}
