//! Ends the tasks of draining nodes that have fallen silent.
//!
//! A node that drains refuses connections while its tasks run, and so does the address of one that has
//! stopped. An open connection tells them apart only by what arrives on it: a node that runs tasks reports
//! on them. The list may be late, so silence alone must end the tasks in time.

use super::limits::SILENT_DRAIN_TIMEOUT;
use super::pending_task::PendingTask;
use super::*;
use tracing::debug;

impl PlatformState {
    /// Ends the tasks on draining nodes that refuse connections, of which nothing has been heard for too
    /// long. The silence counts up to the time until which everything that has arrived is read.
    pub(super) fn end_tasks_of_silent_drains(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
    ) {
        let silent_until = self.polls.nothing_waited_at();
        for machine in self.nodes.closed_to_connections_with_tasks() {
            let heard_at = self.connections.last_message_at(machine).unwrap_or(0);
            if heard_at + SILENT_DRAIN_TIMEOUT > silent_until {
                continue;
            }
            debug!(?machine, heard_at, "a draining node has fallen silent");
            let stood_before = silent_until - SILENT_DRAIN_TIMEOUT;
            self.machine_lost(now, engine, machine, stood_before);
        }
    }
}
