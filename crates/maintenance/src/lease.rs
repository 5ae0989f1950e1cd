//! A lease on a machine, its phases and its outcome.

use crate::{ClaimId, Machine, MachineDomains, Slots};
use serde::{Deserialize, Serialize};

/// The phase of a lease. Each phase is reported to a majority of the quorum members before the next
/// one begins, and no phase is undone. A lease that was not drained may be cancelled instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeasePhase {
    /// Claimed; the claim may still fail. Stored as `asked`.
    #[serde(rename = "asked")]
    Requested,
    /// A majority holds its slots: the machine may be cordoned. Stored as `held`.
    #[serde(rename = "held")]
    Granted,
    /// The machine reports that it accepts no allocations. Stored as `closed`.
    #[serde(rename = "closed")]
    Cordoned,
    /// The machine reports that nothing runs there: it is ready for the operator's work. Stored as
    /// `handed`.
    #[serde(rename = "handed")]
    Drained,
    /// The operator reports that the work is done. Stored as `done`.
    #[serde(rename = "done")]
    Completed,
    /// The machine is to be uncordoned without any work. Stored as `returned`.
    ///
    /// Each member votes once on a lease, for this phase or for [`LeasePhase::Drained`], even if it
    /// never held the lease. Without the vote, a dispatcher that has seen the request aborted could
    /// uncordon a machine that another has just reported as drained. If only the members that hold
    /// the lease voted, the vote could stay tied forever.
    #[serde(rename = "returned")]
    Cancelled,
}

/// A lease on a machine that is out of service, or about to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceLease {
    /// The claim that the lease was granted to.
    pub claim: ClaimId,
    /// The job of the request under which it was claimed.
    pub job: u64,
    /// The machine's domains; stored as `at`.
    #[serde(rename = "at")]
    pub domains: MachineDomains,
    /// The slots that it occupies.
    pub slots: Slots,
    /// The phase, as far as the member that holds the lease knows.
    pub phase: LeasePhase,
}

/// Identifies one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// The machine.
    pub machine: Machine,
    /// The claim, since a machine may have had earlier leases.
    pub claim: ClaimId,
}

/// A lease and a phase that it has reached or that is about to be reported for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseProgress {
    /// The lease.
    pub lease: LeaseId,
    /// The phase.
    pub phase: LeasePhase,
}

/// The outcome of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseOutcome {
    /// The work was done. Stored as `worked`.
    #[serde(rename = "worked")]
    Completed,
    /// The machine could not be drained within the drain timeout.
    Skipped,
}

/// The outcome of a lease and the job that it belongs to. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, LeaseOutcome)", into = "(u64, LeaseOutcome)")]
pub struct JobOutcome {
    /// The job of the request.
    pub job: u64,
    /// The outcome of the lease.
    pub outcome: LeaseOutcome,
}

impl From<(u64, LeaseOutcome)> for JobOutcome {
    fn from((job, outcome): (u64, LeaseOutcome)) -> Self {
        JobOutcome { job, outcome }
    }
}

impl From<JobOutcome> for (u64, LeaseOutcome) {
    fn from(job_outcome: JobOutcome) -> Self {
        (job_outcome.job, job_outcome.outcome)
    }
}
