//! Allocations, and what the scheduler decides about them.

use crate::interface::{
    AllocationId, MachineId, Resources, ServiceClassId, ServiceId, TenantId, Ticks,
};

/// What an attempt has come to. Only some outcomes prove that the allocation never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It has no outcome yet.
    Pending,
    /// It is certain not to have run.
    NotExecuted,
    /// It may have run.
    PossiblyExecuted,
}

/// One dispatch of an allocation to a machine.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Where it was sent.
    pub machine: MachineId,
    /// When it was sent.
    pub sent_at: Ticks,
    /// What it has come to.
    pub state: AttemptState,
}

/// An allocation that the caller keeps.
#[derive(Clone, Debug)]
pub struct Allocation {
    /// Its id.
    pub id: AllocationId,
    /// Its service.
    pub service: ServiceId,
    /// The class of its service.
    pub service_class: ServiceClassId,
    /// Who requested it.
    pub tenant: TenantId,
    /// What is requested.
    pub requested: Resources,
    /// When the caller accepted it.
    pub accepted_at: Ticks,
    /// When its client stops waiting for the answer.
    pub deadline: Ticks,
    /// The attempts so far, in their order.
    pub attempts: Vec<Attempt>,
}

impl Allocation {
    /// The first attempt that is not proven never to have run.
    #[must_use]
    pub fn possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// What to do with an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this machine, and wait so long for the answer.
    Dispatch {
        /// Where to.
        machine: MachineId,
        /// The attempt times out after this time.
        timeout: Ticks,
    },
    /// No machine takes it now: keep it, and ask again when [`PollResult`] says so.
    Deferred,
    /// Answer that it is rejected, and certain to have had no effect.
    Shed,
    /// Answer that it failed, and may have run.
    Indeterminate,
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Nothing.
    Done,
    /// Place it again.
    Retry,
    /// Answer that it is rejected, and certain to have had no effect.
    Shed,
    /// Answer that it failed, and may have run.
    Indeterminate,
}

/// When to poll next, and what to set going meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResult {
    /// Poll again after this time at the latest.
    pub next_poll: Ticks,
    /// Deferred allocations are worth another call now.
    pub retry_deferred: bool,
    /// Where told, only those with a deadline up to then: the others would find no machine. If
    /// there are no others, [`crate::Scheduler::no_deferred_left`] is to be called.
    pub retry_deadline_limit: Option<Ticks>,
    /// The endpoint list is to be watched.
    pub watch_endpoints: bool,
    /// The machines to send a health check to.
    pub health_checks: Vec<MachineId>,
    /// The placed allocations to move away.
    pub migrations: Vec<AllocationId>,
    /// The placed allocations that are lost with their machines, where the caller doesn't learn
    /// that by itself.
    pub lost: Vec<AllocationId>,
}
