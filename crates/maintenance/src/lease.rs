//! A lease on a machine, its phases and how it ended.

use crate::{ClaimId, Machine, MachineDomains, Slots};
use serde::{Deserialize, Serialize};

/// How far a lease has come. Each phase is reported to a majority before the next is begun, and
/// none is taken back. A cordoned machine is either drained or cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeasePhase {
    /// Claimed, which may yet fail; stored as `asked`.
    #[serde(rename = "asked")]
    Requested,
    /// A majority holds its slots: the machine may be cordoned. Stored as `held`.
    #[serde(rename = "held")]
    Granted,
    /// The machine reports that it accepts no allocation; stored as `closed`.
    #[serde(rename = "closed")]
    Cordoned,
    /// The machine reports that nothing runs there: it is ready for the operator's work. Stored as
    /// `handed`.
    #[serde(rename = "handed")]
    Drained,
    /// The operator reports that the work is done; stored as `done`.
    #[serde(rename = "done")]
    Completed,
    /// The machine is to be uncordoned without any work; stored as `returned`.
    ///
    /// Each member votes once on a lease, for this phase or for [`LeasePhase::Drained`], also a
    /// member that never held the lease. Without the vote, one who has seen the request aborted
    /// could uncordon what another has just reported as drained; with fewer voters the two could
    /// stay even for good.
    #[serde(rename = "returned")]
    Cancelled,
}

/// A machine that is out of service, or about to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceLease {
    /// The claim that the lease came from.
    pub claim: ClaimId,
    /// The job of the request under which it was claimed.
    pub job: u64,
    /// The machine's domains; stored as `at`.
    #[serde(rename = "at")]
    pub domains: MachineDomains,
    /// The slots that it occupies.
    pub slots: Slots,
    /// How far it has come, as the member that holds it knows.
    pub phase: LeasePhase,
}

/// Names one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId {
    /// The machine.
    pub machine: Machine,
    /// The claim: a machine may have had others before.
    pub claim: ClaimId,
}

/// A lease and a phase that it has reached, or is to be reported to have reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseProgress {
    /// The lease.
    pub lease: LeaseId,
    /// The phase.
    pub phase: LeasePhase,
}

/// What became of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseOutcome {
    /// The work was done; stored as `worked`.
    #[serde(rename = "worked")]
    Completed,
    /// The machine could not be drained in its time.
    Skipped,
}

/// What became of a machine in one job. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, LeaseOutcome)", into = "(u64, LeaseOutcome)")]
pub struct JobOutcome {
    /// The job of the request.
    pub job: u64,
    /// What became of the machine.
    pub outcome: LeaseOutcome,
}

impl From<(u64, LeaseOutcome)> for JobOutcome {
    fn from((job, outcome): (u64, LeaseOutcome)) -> Self {
        JobOutcome { job, outcome }
    }
}

impl From<JobOutcome> for (u64, LeaseOutcome) {
    fn from(of: JobOutcome) -> Self {
        (of.job, of.outcome)
    }
}
