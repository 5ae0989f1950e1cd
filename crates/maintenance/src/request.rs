//! An operator's maintenance request: which machines, how many at a time, and how long draining
//! each may take.

use crate::{DisruptionLimits, Machine, MachineDomains};
use corkspan_quorum::Proposal;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest number of machines that one request may name.
pub const MAX_MACHINES: usize = 2_000;

/// What happens to allocations that can be neither moved nor retried when the drain timeout of a
/// machine has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTimeoutAction {
    /// The machine stays cordoned until the allocations have ended.
    Wait,
    /// The machine is uncordoned and skipped in this request.
    Skip,
    /// The allocations are stopped.
    Stop,
}

/// Whether a request is being carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// Machines are taken out of service. Stored as `going`.
    #[serde(rename = "going")]
    Running,
    /// No further machines are taken out; leases that are held continue.
    Paused,
    /// No further machines are taken out, and those not yet drained are uncordoned.
    Aborted,
}

/// An operator's request. One request is committed at a time; it is paused, resumed and aborted by
/// proposing its next revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    /// The number of the proposal, which increases with each one. Stored as `number`.
    #[serde(rename = "number")]
    pub revision: u64,
    /// A number that the proposer draws at random, to distinguish concurrent proposals of the same
    /// revision. Stored as `asker`.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// The job, which is the same for all revisions of it: outcomes of an earlier job do not count
    /// for this one.
    pub job: u64,
    /// The machines to take out of service, with their domains.
    pub machines: BTreeMap<Machine, MachineDomains>,
    /// How many machines may be out of service at a time.
    pub limits: DisruptionLimits,
    /// How long a machine still counts as out of service after it is uncordoned, in ms. Stored as
    /// `warm_ms`.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
    /// How long draining a machine may take, in ms. Stored as `empty_within_ms`.
    #[serde(rename = "empty_within_ms")]
    pub drain_timeout_ms: u64,
    /// What happens when the drain timeout has passed. Stored as `then`.
    #[serde(rename = "then")]
    pub on_drain_timeout: DrainTimeoutAction,
    /// Whether the request is being carried out. Stored as `course`.
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
