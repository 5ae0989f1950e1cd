//! Allocations that the engine keeps, and what is told of them.

use corkspan_scheduler::interface::*;

/// An allocation in the engine.
pub(crate) struct Tracked<T> {
    pub name: String,
    /// What the caller keeps with it.
    pub data: T,
    pub allocation: Allocation,
    /// Attempts without an outcome.
    pub pending_attempts: usize,
    pub placed: bool,
    /// No answer is owed to its client.
    pub finished: bool,
    /// The scheduler has evaluated it.
    pub evaluated: bool,
}

impl<T> Tracked<T> {
    /// Whether an answer is owed to its client.
    pub fn awaits_answer(&self) -> bool {
        !self.finished && !self.placed
    }
}

/// Why an allocation was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// There are as many as there may be.
    #[error("as many allocations as may be are in hand")]
    Full,
    /// Another has this name.
    #[error("one of this name is in hand, or a shot of it is still out")]
    DuplicateName,
}

/// What an allocation is, as its client says.
#[derive(Clone, Debug)]
pub struct AllocationRequest {
    /// Its service.
    pub service: ServiceId,
    /// The class of its service.
    pub service_class: ServiceClassId,
    /// Who requests it.
    pub tenant: TenantId,
    /// What is requested.
    pub requested: Resources,
    /// When the client stops waiting for the final answer.
    pub deadline: Ticks,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ReturnedAttempt {
    /// How it ended.
    pub ending: AttemptResult,
    /// Why, where the machine says.
    pub reason: Option<ReturnReason>,
    /// No answer is owed to the client.
    pub finished: bool,
    /// The machine's load, where it was reported with the outcome.
    pub report: Option<LoadReport>,
}

/// How many allocations there are, by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AllocationCounts {
    /// All of them.
    pub tracked: usize,
    /// Not placed, and not at a machine.
    pub deferred: usize,
    /// Not placed, with an attempt that has no outcome yet.
    pub attempts_pending: usize,
    /// Placed.
    pub placed: usize,
}
