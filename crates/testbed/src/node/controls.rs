//! Operations that a scenario, a test or a measurement calls on a node: injecting faults, draining,
//! and reading its allocations.

use super::Node;
use super::state::ReportDelay;
use crate::capture::NodeState;
use corkspan_scheduler::interface::Resources;
use std::time::{Duration, Instant};

impl Node {
    /// Stalls the node for `time`, as if its process were stopped by a signal.
    pub fn stall(&self, time: Duration) {
        self.state().stalled_until = Some(Instant::now() + time);
    }

    /// Drops all events that the node sends within `time`.
    pub fn drop_events(&self, time: Duration) {
        self.state().events_dropped_until = Some(Instant::now() + time);
    }

    /// Delays load reports by `extra_age` for `time`.
    pub fn delay_reports(&self, time: Duration, extra_age: Duration) {
        let until = Instant::now() + time;
        self.state().report_delay = Some(ReportDelay { until, extra_age });
    }

    /// Drops all cached programs.
    pub fn clear_program_cache(&self) {
        self.state().cached_programs.clear();
    }

    /// Puts the node into draining: it rejects every offer from now on.
    pub fn drain(&self) {
        self.state().is_draining = true;
        self.record_state(NodeState::Draining);
    }

    /// Returns whether the process runs.
    pub fn is_running(&self) -> bool {
        self.state().is_up
    }

    /// Returns the placement ids of a task's allocations on this node.
    pub fn allocations_of(&self, task: &str) -> Vec<String> {
        let state = self.state();
        let of_task = state
            .allocations
            .iter()
            .filter(|(_, allocation)| allocation.request.task == task);
        of_task
            .map(|(placement_id, _)| placement_id.clone())
            .collect()
    }

    /// Returns the resources that no allocation has requested.
    pub fn unrequested(&self) -> Resources {
        self.config.capacity - self.state().requested()
    }

    /// Returns how many allocations are on this node.
    pub fn allocation_count(&self) -> usize {
        self.state().allocations.len()
    }
}
