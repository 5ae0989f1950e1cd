//! Handles the timers that are due.

use super::pending_task::{PendingTask, Timer};
use super::*;

impl PlatformState {
    /// Handles a timer that was due at the given time.
    pub(super) fn handle_timer(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        due_at: Ticks,
        timer: Timer,
    ) {
        match timer {
            Timer::Attempt(id, number) => self.attempt_timed_out(now, engine, id, number),
            Timer::Stop(id) => {
                self.task_ended(now, engine, id, AttemptResult::Cancelled, None, None);
            }
            Timer::Unreachable(machine) => {
                // What was sent later went to another process of the node.
                let refused_at = due_at - UNREACHABLE_TIMEOUT;
                self.machine_lost(now, engine, machine, refused_at);
            }
            Timer::HealthCheck(check) => self.health_check_timed_out(now, engine, check),
        }
    }
}
