//! What machines report of attempts and of themselves.

use crate::interface::Resources;

/// Why a machine refused or ended an allocation, where it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// Not enough cores.
    NoCores,
    /// Not enough memory.
    NoMemory,
    /// Too many attempts wait at the machine.
    QueueFull,
    /// Wrong machine type, draining, too late, or a copy is there already.
    Unfit,
    /// Ended for want of memory.
    Evicted,
    /// Ended for an allocation of higher priority.
    Preempted,
    /// Ended to run elsewhere.
    Migrated,
}

/// What a machine reports of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// What is not in use.
    pub available: Resources,
}

/// How an attempt ended, or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The allocation ended, or the machine answered.
    Completed,
    /// The machine answered with an error.
    Error,
    /// The machine refused.
    Rejected,
    /// There was no answer in time.
    TimedOut,
    /// There was no connection in time.
    ConnectFailed,
    /// The connection broke, or the machine ended a placed allocation.
    Reset,
    /// It was cancelled or moved.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Accepted or running, as [`placed_means_running`] says.
    ///
    /// [`placed_means_running`]: crate::interface::Cluster::placed_means_running
    Placed,
    /// It has ended.
    Returned {
        /// How.
        ending: AttemptResult,
        /// Why, where the machine says.
        reason: Option<ReturnReason>,
        /// The allocation is over: no answer is owed to its client.
        finished: bool,
        /// The machine's load, where it was reported with the outcome.
        report: Option<LoadReport>,
    },
}

/// What is reported of a placed allocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// It runs.
    Running,
    /// The cores that it uses.
    Cores(f64),
    /// The memory that it uses.
    Memory(f64),
    /// How well it is served, as a share of full service.
    ServiceLevel(f64),
    /// The part of its machine's memory in use.
    MachineMemory(f64),
}
