//! Allocations and the scheduler's decisions about them.

use crate::interface::{
    AllocationId, MachineId, Resources, ServiceClassId, ServiceId, TenantId, Ticks,
};

/// The state of an attempt. Only some outcomes prove that the allocation never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has no outcome yet.
    Pending,
    /// The allocation certainly didn't run.
    NotExecuted,
    /// The allocation may have run.
    PossiblyExecuted,
}

/// One dispatch of an allocation to a machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The machine to which it was sent.
    pub machine: MachineId,
    /// The time at which it was sent.
    pub sent_at: Ticks,
    /// Its state.
    pub state: AttemptState,
}

/// An allocation, kept by the caller.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Its id.
    pub id: AllocationId,
    /// Its service.
    pub service: ServiceId,
    /// The class of its service.
    pub service_class: ServiceClassId,
    /// The tenant that requested it.
    pub tenant: TenantId,
    /// The requested resources.
    pub requested: Resources,
    /// The time at which the caller accepted it.
    pub accepted_at: Ticks,
    /// The time at which its client stops waiting for the answer.
    pub deadline: Ticks,
    /// The attempts so far, oldest first.
    pub attempts: Vec<Attempt>,
}

impl Allocation {
    /// Returns the first attempt that isn't proven never to have run.
    #[must_use]
    pub fn possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// The decision about an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this machine and wait for the answer until the timeout.
    Dispatch {
        /// The machine to which it is sent.
        machine: MachineId,
        /// The time after which the attempt times out.
        timeout: Ticks,
    },
    /// No machine can take it now: keep it and place it again when [`PollResult`] requests it.
    Deferred,
    /// Answer that it was rejected and certainly had no effect.
    Shed,
    /// Answer that it failed and may have run.
    Indeterminate,
}

/// The next step after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing more is to be done.
    Done,
    /// Place it again.
    Retry,
    /// Answer that it was rejected and certainly had no effect.
    Shed,
    /// Answer that it failed and may have run.
    Indeterminate,
}

/// The time until the next poll and the work to start before it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResult {
    /// The maximum time until the next poll.
    pub next_poll: Ticks,
    /// Whether deferred allocations are to be placed again now.
    pub retry_deferred: bool,
    /// If set, only deferred allocations with a deadline up to this time are to be placed again;
    /// the others would find no machine. If no allocation is left deferred, the caller must call
    /// [`crate::Scheduler::no_deferred_left`].
    pub retry_deadline_limit: Option<Ticks>,
    /// Whether a watch on the endpoint list is to be started.
    pub watch_endpoints: bool,
    /// The machines to which a health check is to be sent.
    pub health_checks: Vec<MachineId>,
    /// The machines to which a new connection is to be opened, and its result recorded with
    /// [`crate::Scheduler::record_connection`].
    pub connection_checks: Vec<MachineId>,
    /// The placed allocations to migrate away from their machines.
    pub migrations: Vec<AllocationId>,
    /// The placed allocations that are lost with their machines, if the caller doesn't detect
    /// losses itself.
    pub lost: Vec<AllocationId>,
}
