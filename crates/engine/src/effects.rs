//! The interface through which the engine passes the scheduler's decisions to its caller.

use corkspan_scheduler::interface::{Allocation, MachineId, Ticks};

/// Carries out the scheduler's decisions. `T` is the caller's data for each allocation.
pub trait Effects<T> {
    /// Sends the allocation's next attempt to a machine, and waits up to `timeout` for the answer.
    fn dispatch(
        &mut self,
        data: &mut T,
        allocation: &Allocation,
        machine: MachineId,
        timeout: Ticks,
    );
    /// Answers the client that the allocation is rejected and that no attempt was executed.
    fn shed(&mut self, data: &mut T, allocation: &Allocation);
    /// Answers the client that the allocation failed and that an attempt may have been executed.
    fn indeterminate(&mut self, data: &mut T, allocation: &Allocation);
    /// Stops a placed allocation, so that its client requests it again.
    fn migrate(&mut self, data: &mut T, allocation: &Allocation);
    /// Handles the loss of a placed allocation with its machine. Called only if the caller does not
    /// detect losses itself.
    fn lost(&mut self, _data: &mut T, _allocation: &Allocation) {}
    /// Sends a health check to a machine.
    fn check_health(&mut self, machine: MachineId);
    /// Opens a new connection to a silent machine, whose result the caller records with
    /// [`Engine::record_connection`](crate::Engine::record_connection). Called only if the caller
    /// does not detect losses itself.
    fn check_connection(&mut self, _machine: MachineId) {}
    /// Starts a watch on the endpoint list.
    fn watch_endpoints(&mut self);
    /// Schedules a call of [`Engine::timer_fired`](crate::Engine::timer_fired) after this time,
    /// which is never 0.
    fn set_timer(&mut self, after: Ticks);
}
