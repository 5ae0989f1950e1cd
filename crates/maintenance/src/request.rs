//! What an operator asks for: which machines, how many at a time, and how long each may take.

use crate::{DisruptionLimits, Machine, MachineDomains};
use corkspan_quorum::Proposal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Machines that one request may name.
pub const MAX_MACHINES: usize = 2_000;

/// What becomes of allocations that may be neither moved nor repeated, once the time to drain a
/// machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTimeoutAction {
    /// The machine stays cordoned until they have ended.
    Wait,
    /// The machine is uncordoned and left out of this request.
    Skip,
    /// They are stopped.
    Stop,
}

/// Whether a request goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// Machines are taken out, stored as `going`.
    #[serde(rename = "going")]
    Running,
    /// No further machine is taken; those that are out go on.
    Paused,
    /// No further machine is taken, and those not yet drained are uncordoned.
    Aborted,
}

/// What an operator wants. One request is committed at a time; pausing, resuming and aborting it
/// are proposals of the next revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    /// Counts the proposals; stored as `number`.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Drawn at random by the proposer: tells two concurrent proposals of one revision apart.
    /// Stored as `asker`.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// Stays the same over all revisions of one job: outcomes of an earlier job do not count for
    /// this one.
    pub job: u64,
    /// The machines to take out, with their domains.
    pub machines: BTreeMap<Machine, MachineDomains>,
    /// How many may be out at a time.
    pub limits: DisruptionLimits,
    /// A machine that is back counts as out for so long, in ms. Stored as `warm_ms`.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
    /// So long draining a machine may take, in ms. Stored as `empty_within_ms`.
    #[serde(rename = "empty_within_ms")]
    pub drain_timeout_ms: u64,
    /// What happens after that. Stored as `then`.
    #[serde(rename = "then")]
    pub on_drain_timeout: DrainTimeoutAction,
    /// Whether the request goes on. Stored as `course`.
    #[serde(rename = "course")]
    pub run_state: RunState,
}

impl Proposal for MaintenanceRequest {
    /// There is one request at a time.
    type Key = ();

    fn key(&self) {}

    fn revision(&self) -> u64 {
        self.revision
    }

    fn with_revision(&self, revision: u64) -> Self {
        MaintenanceRequest {
            revision,
            ..self.clone()
        }
    }

    fn max_slots(&self) -> u32 {
        self.limits.total
    }
}
