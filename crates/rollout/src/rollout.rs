//! A service's rollout as requested by its operator.

use corkspan_quorum::Proposal;
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// A service's rollout. Quorum members and dispatchers store it as JSON under the names given by
/// the `serde` attributes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The service whose replicas are replaced.
    pub service: String,
    /// Number of the proposal for the service. The highest that a majority of members holds is in
    /// effect.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Random number of the proposer, which distinguishes concurrent proposals of one revision.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// Version that replaces the earlier ones.
    pub version: String,
    /// Version that replicas return to after a rollback or a halt.
    #[serde(rename = "former")]
    pub previous_version: String,
    /// Version of a replica that reports none because it was placed before the first rollout.
    #[serde(rename = "unversioned")]
    pub initial_version: String,
    /// Largest number of the service's replicas that may be unavailable at a time.
    #[serde(rename = "unready_most")]
    pub max_unavailable: u32,
    /// Largest number of replicas that one dispatcher replaces at a time.
    #[serde(rename = "batch")]
    pub max_in_progress: u32,
    /// Whether the old replica is stopped before or after the new one is started.
    pub order: Order,
    /// Time for which a new replica must stay ready before its slot is released.
    #[serde(rename = "ready_for")]
    pub min_ready: Ticks,
    /// Time within which a new replica must become ready.
    #[serde(rename = "ready_within")]
    pub progress_deadline: Ticks,
    /// Number of replicas that may fail at one dispatcher before the rollout halts.
    #[serde(rename = "failures_most")]
    pub max_failures: u32,
    /// Whether the rollout is in progress, paused or halted.
    pub phase: Phase,
}

/// Whether the old replica is stopped before or after the new one is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// The old replica is known to have stopped before the new one is placed.
    StopFirst,
    /// The new replica is ready before the old one is stopped. Applies only to tasks of which two
    /// replicas may run at a time.
    StartFirst,
}

/// The phase of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Replicas are replaced.
    Rolling,
    /// An operator has paused it.
    Paused,
    /// It was halted by a controller, for this reason.
    Halted(String),
}

impl Proposal for Rollout {
    /// The service's name.
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
    /// Returns the version of replicas that are placed now. While the rollout is halted it is the
    /// previous one, since the new one may not work.
    pub fn desired_version(&self) -> &str {
        match self.phase {
            Phase::Rolling | Phase::Paused => &self.version,
            Phase::Halted(_) => &self.previous_version,
        }
    }

    /// Returns the next revision, with another phase.
    #[must_use]
    pub fn with_phase(&self, phase: Phase, proposer: u64) -> Rollout {
        Rollout {
            revision: self.revision + 1,
            proposer,
            phase,
            ..self.clone()
        }
    }

    /// Returns the next revision, which rolls back to the previous version.
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
