//! Reports from machines: outcomes of attempts, load reports and metrics.

use crate::interface::{MachineId, Resources, Ticks};

/// The reason that a machine gives for rejecting or ending an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    /// Not enough cores.
    NoCores,
    /// Not enough memory.
    NoMemory,
    /// Too many attempts are queued at the machine.
    QueueFull,
    /// The machine has the wrong type, is draining, received the attempt too late, or already
    /// runs the allocation.
    Unfit,
    /// Ended for lack of memory.
    Evicted,
    /// Ended in favor of an allocation of higher priority.
    Preempted,
    /// Ended to run on another machine.
    Migrated,
}

/// A machine's report of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// The resources that aren't in use.
    pub available: Resources,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The allocation ended, or the machine answered.
    Completed,
    /// The machine answered with an error.
    Error,
    /// The machine rejected the attempt.
    Rejected,
    /// No answer arrived in time.
    TimedOut,
    /// No connection was established in time.
    ConnectFailed,
    /// The connection broke, or the machine ended a placed allocation.
    Reset,
    /// The allocation was cancelled or migrated.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// The end of an allocation that a machine reports after its attempt there has returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LateEnd {
    /// The machine.
    pub machine: MachineId,
    /// How the allocation ended there.
    pub result: AttemptResult,
    /// The reason, if the machine gave one.
    pub reason: Option<ReturnReason>,
    /// Whether the way of the report shows that the machine had placed the allocation.
    pub was_placed: bool,
}

/// Whether a machine has answered a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionResult {
    /// The machine established or refused the connection.
    Answered,
    /// The machine neither accepted nor refused the connection in time.
    Failed {
        /// The time at which the connection was attempted.
        attempted_at: Ticks,
    },
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The allocation is accepted or running, depending on [`placed_means_running`].
    ///
    /// [`placed_means_running`]: crate::interface::Cluster::placed_means_running
    Placed,
    /// The attempt has ended.
    Returned {
        /// The result of the attempt.
        result: AttemptResult,
        /// The reason, if the machine gave one.
        reason: Option<ReturnReason>,
        /// Whether the allocation is finished, so that its client needs no further answer.
        finished: bool,
        /// The machine's load report, if the outcome included one.
        report: Option<LoadReport>,
    },
}

/// A metric reported for a placed allocation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    /// The allocation has started running.
    Running,
    /// The cores in use by the allocation.
    Cores(f64),
    /// The memory in use by the allocation.
    Memory(f64),
    /// The service that the allocation gets, as a share of full service.
    ServiceLevel(f64),
    /// The share of its machine's memory in use.
    MachineMemory(f64),
}
