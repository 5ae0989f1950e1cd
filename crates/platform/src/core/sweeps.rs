//! The work that is due at regular intervals: closes what is silent, and forgets what has expired.

use super::client_connections::CloseReason;
use super::pending_task::{PendingTask, TaskStage};
use super::*;

impl PlatformState {
    /// Closes silent and idle connections, and opens missing connections to nodes with tasks.
    pub(super) fn sweep(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) {
        let useless = self
            .clients
            .iter()
            .filter_map(|(&id, client)| Some((id, client.uselessness(now)?)));
        let useless: Vec<(ClientId, CloseReason)> = useless.collect();
        for (id, reason) in useless {
            // After a pause of the process nothing that has arrived meanwhile is read yet.
            if !self.has_unread_set_up(now, id) {
                self.client_closed(now, engine, id, reason);
            }
        }
        for client in self.clients.values_mut() {
            client.sent_ends.expire(now);
        }
        self.sweep_undelivered_ends(now);
        self.end_unlisted_tasks(now);
        self.spent_ids.expire(now);
        self.nodes.retain_possible_tasks(|id| {
            let pending = engine.data_mut(id).map(|(pending, _)| pending);
            pending.is_some_and(|pending| pending.stage != TaskStage::Ended)
        });
        self.end_tasks_of_silent_drains(now, engine);
        self.sweep_node_connections(now);
        self.retry_stops(now);
    }
}
