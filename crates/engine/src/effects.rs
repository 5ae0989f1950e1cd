//! What the caller does with the scheduler's answers.

use corkspan_scheduler::interface::{Allocation, MachineId, Ticks};

/// What the caller does with the scheduler's answers. `T` is what it keeps with each allocation.
pub trait Effects<T> {
    /// Sends the allocation to a machine, as its next attempt, and waits `timeout` for the answer.
    fn dispatch(
        &mut self,
        data: &mut T,
        allocation: &Allocation,
        machine: MachineId,
        timeout: Ticks,
    );
    /// The final answer that it is rejected, and certain to have had no effect.
    fn shed(&mut self, data: &mut T, allocation: &Allocation);
    /// The final answer that it failed, and may have run.
    fn indeterminate(&mut self, data: &mut T, allocation: &Allocation);
    /// Stops a placed allocation so that its client requests it anew.
    fn migrate(&mut self, data: &mut T, allocation: &Allocation);
    /// A placed allocation is lost with its machine. Only where the caller doesn't learn that by
    /// itself.
    fn lost(&mut self, _data: &mut T, _allocation: &Allocation) {}
    /// Sends a health check to a machine.
    fn check_health(&mut self, machine: MachineId);
    /// Watches the endpoint list.
    fn watch_endpoints(&mut self);
    /// Calls [`Engine::timer_fired`](crate::Engine::timer_fired) after so long; never 0.
    fn set_timer(&mut self, after: Ticks);
}
