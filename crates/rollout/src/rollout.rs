//! A service's rollout as its operator wants it.

use corkspan_quorum::Proposal;
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// A service's rollout. It is stored as JSON by quorum members and dispatchers, under the keys that
/// `serde` is given here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roll {
    /// The service whose replicas are replaced.
    pub service: String,
    /// Counts the proposals for a service; the highest that a majority of members holds is in
    /// force.
    pub number: u64,
    /// Drawn by the proposer: tells apart two who propose the same revision at once.
    pub asker: u64,
    /// Version to replace by.
    pub version: String,
    /// Version that an undo or a halt goes back to.
    pub former: String,
    /// Version of a replica that reports none: it was placed before the first rollout.
    pub unversioned: String,
    /// Replicas of the service that may be unavailable at a time.
    pub unready_most: u32,
    /// Replicas that one dispatcher replaces at a time.
    pub batch: u32,
    /// Which of the old and the new replica comes first.
    pub order: Order,
    /// Time for which a new replica must stay ready before its slot is released.
    pub ready_for: Ticks,
    /// Time in which a new replica must get ready.
    pub ready_within: Ticks,
    /// Replicas that may fail at one dispatcher before the rollout halts.
    pub failures_most: u32,
    /// Whether it goes on.
    pub phase: Phase,
}

/// Which of the old and the new replica comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// The old replica is known to be gone before the new one is placed.
    StopFirst,
    /// The new replica is ready before the old one is stopped. Only for tasks of which two replicas
    /// may run at a time.
    StartFirst,
}

/// Whether a rollout goes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Replicas are replaced.
    Rolling,
    /// An operator has stopped it for now.
    Paused,
    /// It has stopped by itself, for this reason.
    Halted(String),
}

impl Proposal for Roll {
    /// The service.
    type Key = String;

    fn key(&self) -> String {
        self.service.clone()
    }

    fn revision(&self) -> u64 {
        self.number
    }

    fn with_revision(&self, revision: u64) -> Self {
        Roll {
            number: revision,
            ..self.clone()
        }
    }

    fn max_slots(&self) -> u32 {
        self.unready_most
    }
}

impl Roll {
    /// The version that a replica placed now gets. While halted it is the previous one: nobody
    /// knows whether the new one works.
    pub fn wanted(&self) -> &str {
        match self.phase {
            Phase::Rolling | Phase::Paused => &self.version,
            Phase::Halted(_) => &self.former,
        }
    }

    /// The next revision, with another phase.
    #[must_use]
    pub fn with_phase(&self, phase: Phase, asker: u64) -> Roll {
        Roll {
            number: self.number + 1,
            asker,
            phase,
            ..self.clone()
        }
    }

    /// The next revision, back to the previous version.
    #[must_use]
    pub fn undone(&self, asker: u64) -> Roll {
        Roll {
            number: self.number + 1,
            asker,
            version: self.former.clone(),
            former: self.version.clone(),
            phase: Phase::Rolling,
            ..self.clone()
        }
    }
}
