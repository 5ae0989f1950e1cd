//! The allocations that the engine tracks, and the types that describe them to the caller.

use corkspan_scheduler::interface::*;

/// An allocation that the engine tracks.
pub(crate) struct Tracked<T> {
    pub name: String,
    /// The caller's data.
    pub data: T,
    /// The source with which it takes turns in the run queue.
    pub source: u64,
    pub allocation: Allocation,
    /// Number of attempts without an outcome.
    pub pending_attempts: usize,
    pub placed: bool,
    /// Whether its client needs no answer any more.
    pub finished: bool,
    /// Whether the scheduler has evaluated it.
    pub evaluated: bool,
}

impl<T> Tracked<T> {
    /// Returns whether its client waits for an answer.
    pub fn awaits_answer(&self) -> bool {
        !self.finished && !self.placed
    }
}

/// The reason why an allocation was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The limit of allocations is reached.
    #[error("the limit of allocations is reached")]
    Full,
    /// Another allocation has this name.
    #[error("another allocation has this name, or an attempt of it is still pending")]
    DuplicateName,
}

/// An allocation as its client requests it.
#[derive(Clone, Debug)]
pub struct AllocationRequest {
    /// Its service.
    pub service: ServiceId,
    /// The class of its service.
    pub service_class: ServiceClassId,
    /// The tenant that requests it.
    pub tenant: TenantId,
    /// The resources that are requested.
    pub requested: Resources,
    /// The time at which the client stops waiting for the final answer.
    pub deadline: Ticks,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ReturnedAttempt {
    /// The result of the attempt.
    pub result: AttemptResult,
    /// The reason, if the machine gave one.
    pub reason: Option<ReturnReason>,
    /// Whether the client needs no answer any more.
    pub finished: bool,
    /// The machine's load, if it was reported with the outcome.
    pub report: Option<LoadReport>,
}

/// The number of allocations by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationCounts {
    /// All allocations.
    pub total: usize,
    /// Allocations that are not placed and have no pending attempt.
    pub deferred: usize,
    /// Allocations that are not placed and have a pending attempt.
    pub attempts_pending: usize,
    /// Placed allocations.
    pub placed: usize,
}
