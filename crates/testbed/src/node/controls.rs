//! What a day script, a test or a measurement asks of a node: faults, draining, and its contents.

use super::Node;
use super::state::ReportDelay;
use crate::capture::NodeState;
use corkspan_scheduler::interface::Resources;
use std::time::{Duration, Instant};

impl Node {
    /// Nothing moves for so long: the process is stopped, as it were.
    pub fn stall(&self, time: Duration) {
        self.state().stalled_until = Some(Instant::now() + time);
    }

    /// The events that it sends are lost for so long.
    pub fn mute(&self, time: Duration) {
        self.state().muted_until = Some(Instant::now() + time);
    }

    /// For so long, load reports are older by this than usual.
    pub fn delay_reports(&self, time: Duration, by: Duration) {
        let until = Instant::now() + time;
        self.state().report_delay = Some(ReportDelay { until, by });
    }

    /// Drops all cached programs.
    pub fn clear_program_cache(&self) {
        self.state().cached_programs.clear();
    }

    /// Rejects every offer from now on.
    pub fn drain(&self) {
        self.state().is_draining = true;
        self.record_state(NodeState::Draining);
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.state().is_up
    }

    /// The placings of a task's allocations here.
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

    /// What no allocation has requested.
    pub fn unrequested(&self) -> Resources {
        self.config.capacity - self.state().requested()
    }

    /// AttemptOutcome many allocations are here.
    pub fn allocation_count(&self) -> usize {
        self.state().allocations.len()
    }
}
