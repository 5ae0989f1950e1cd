//! A service's rollout as its operator wants it.

use corkspan_quorum::Proposal;
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// A service's rollout. It is stored as JSON by quorum members and dispatchers, under the keys that
/// `serde` is given here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service whose replicas are replaced.
    pub service: String,
    /// Counts the proposals for a service; the highest that a majority of members holds is in
    /// force.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Drawn by the proposer: tells apart two who propose the same revision at once.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// Version to replace by.
    pub version: String,
    /// Version that an undo or a halt goes back to.
    #[serde(rename = "former")]
    pub previous_version: String,
    /// Version of a replica that reports none: it was placed before the first rollout.
    #[serde(rename = "unversioned")]
    pub initial_version: String,
    /// Replicas of the service that may be unavailable at a time.
    #[serde(rename = "unready_most")]
    pub max_unavailable: u32,
    /// Replicas that one dispatcher replaces at a time.
    #[serde(rename = "batch")]
    pub max_in_progress: u32,
    /// Which of the old and the new replica comes first.
    pub order: Order,
    /// Time for which a new replica must stay ready before its slot is released.
    #[serde(rename = "ready_for")]
    pub min_ready: Ticks,
    /// Time in which a new replica must get ready.
    #[serde(rename = "ready_within")]
    pub progress_deadline: Ticks,
    /// Replicas that may fail at one dispatcher before the rollout halts.
    #[serde(rename = "failures_most")]
    pub max_failures: u32,
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

impl Proposal for Rollout {
    /// The service.
    type Key = String;

    fn key(&self) -> String {
        self.service.clone()
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn with_revision(&self, revision: u64) -> Self {
        Rollout {
            revision,
            ..self.clone()
        }
    }

    fn max_slots(&self) -> u32 {
        self.max_unavailable
    }
}

impl Rollout {
    /// The version that a replica placed now gets. While halted it is the previous one: nobody
    /// knows whether the new one works.
    pub fn desired_version(&self) -> &str {
        match self.phase {
            Phase::Rolling | Phase::Paused => &self.version,
            Phase::Halted(_) => &self.previous_version,
        }
    }

    /// The next revision, with another phase.
    #[must_use]
    pub fn with_phase(&self, phase: Phase, proposer: u64) -> Rollout {
        Rollout {
            revision: self.revision + 1,
            proposer,
            phase,
            ..self.clone()
        }
    }

    /// The next revision, back to the previous version.
    #[must_use]
    pub fn rolled_back(&self, proposer: u64) -> Rollout {
        Rollout {
            revision: self.revision + 1,
            proposer,
            version: self.previous_version.clone(),
            previous_version: self.version.clone(),
            phase: Phase::Rolling,
            ..self.clone()
        }
    }
}
