//! Sends messages to clients and records their final answers.

use super::client_connections::ClientConnection;
use super::pending_task::{PendingTask, TaskStage};
use super::*;
use corkspan_platform_wire::client::{self, MessageType};

impl PlatformState {
    /// Queues a message for a client. Returns false if its connection can't take it.
    pub(super) fn send_to_client(
        &mut self,
        to: ClientId,
        message_type: MessageType,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) -> bool {
        let Some(bytes) = client::encode(message_type, task, parameters) else {
            return false;
        };
        self.clients
            .get(&to)
            .is_some_and(|client| client.sender.send(bytes))
    }

    /// Replies to a client's health check that the dispatcher is healthy.
    pub(super) fn reply_to_health_check(&mut self, to: ClientId, check: u64) {
        let healthy = [(client::CAUSE, &[1][..])];
        self.send_to_client(to, MessageType::HealthCheckReply, check, &healthy);
    }

    /// Notifies a client that its set-up has failed or was rejected.
    pub(super) fn send_release(&mut self, to: ClientId, task: u64, cause: u8) {
        self.send_to_client(to, MessageType::Release, task, &[(client::CAUSE, &[cause])]);
    }

    /// Sends the end of a running task, or the request to migrate it, on the connection of the
    /// task's set-up, else on any other, else on the next one on which a valid message arrives.
    pub(super) fn send_task_end(
        &mut self,
        to: ClientId,
        message_type: MessageType,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) {
        let Some(bytes) = client::encode(message_type, task, parameters) else {
            return;
        };
        if !self
            .clients
            .get(&to)
            .is_some_and(|client| client.sender.send_task_end(bytes.clone()))
        {
            self.send_to_any_client(bytes);
        }
    }

    /// Sends a message on the most recently active connection that takes it, or keeps it for the
    /// next one.
    pub(super) fn send_to_any_client(&mut self, bytes: Vec<u8>) {
        let valid = self.clients.values().filter(|client| client.valid);
        let mut candidates: Vec<&ClientConnection> = valid.collect();
        candidates.sort_by_key(|client| std::cmp::Reverse(client.last_active_at));
        let delivered = candidates
            .into_iter()
            .any(|client| client.sender.send_task_end(bytes.clone()));
        if !delivered && self.undelivered.len() < MAX_UNDELIVERED {
            self.undelivered.push_back(bytes);
        }
    }

    /// Records the final answer to a set-up. Returns true if it had none yet.
    pub(super) fn record_final_answer(
        &mut self,
        pending: &mut PendingTask,
        id: AllocationId,
        stage: TaskStage,
    ) -> bool {
        if let Some(client) = self.clients.get_mut(&pending.client) {
            client.open_set_ups.remove(&pending.task);
            client.last_active_at = self.now;
            client.running += usize::from(stage == TaskStage::Running);
        }
        let was_unanswered = pending.stage == TaskStage::Pending;
        pending.stage = stage;
        self.unanswered.remove(&id) && was_unanswered
    }

    /// Records that a task no longer runs. Returns true if it was running.
    pub(super) fn record_task_end(&mut self, pending: &mut PendingTask) -> bool {
        let was_running = pending.stage == TaskStage::Running;
        if was_running {
            pending.stage = TaskStage::Ended;
            if let Some(client) = self.clients.get_mut(&pending.client) {
                client.running = client.running.saturating_sub(1);
                client.last_active_at = self.now;
            }
        }
        was_running
    }
}
