//! Sends messages to clients and records their final answers.

use super::pending_task::{PendingTask, TaskStage, task_key};
use super::*;
use crate::writer::queued_bytes;
use corkspan_platform_wire::client::{self, MessageType};
use tracing::debug;

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
        let may_queue = self.may_queue_reply(to, queued_bytes(bytes.len()));
        let Some(client) = self.clients.get(&to) else {
            return false;
        };
        if !may_queue {
            debug!(
                ?to,
                "closing the connection of a client that reads too little"
            );
            client.sender.close();
        }
        client.sender.send(bytes)
    }

    /// Replies to a client's health check that the dispatcher is healthy.
    pub(super) fn reply_to_health_check(&mut self, to: ClientId, check: u64) {
        let healthy = [(client::CAUSE, &[1][..])];
        self.send_to_client(to, MessageType::HealthCheckReply, check, &healthy);
    }

    /// Notifies a client that its set-up has failed or was rejected.
    pub(super) fn send_release(&mut self, to: ClientId, task: u64, cause: u8) {
        debug!(task = task_key(task), ?to, cause, "refused or failed");
        self.send_to_client(to, MessageType::Release, task, &[(client::CAUSE, &[cause])]);
    }

    /// Sends the end of a running task on the connection of the task's set-up, or on all that may
    /// belong to its client if that one is gone.
    pub(super) fn send_task_end(&mut self, to: ClientId, end: TaskEnd) {
        let now = self.now;
        let sent = self.clients.get_mut(&to).is_some_and(|client| {
            let sent = client.sender.send_task_end(end);
            if sent {
                client.sent_ends.record(now, end);
            }
            sent
        });
        debug!(task = task_key(end.task), kind = ?end.kind, ?to, sent, "end of a task for its client");
        if !sent {
            self.send_to_possible_clients(end);
        }
    }

    /// Sends the end of a task whose client's connection is gone on every connection that has sent a
    /// valid message, and keeps it for those that do so later.
    pub(super) fn send_to_possible_clients(&mut self, end: TaskEnd) {
        // A client that has lost its connection may be shut out until other clients' set-ups have
        // their answers. From then on an end must be reported within the protocol's limit.
        let longest_deadline = self.settings.longest_deadline();
        let shut_out = longest_deadline.unwrap_or(MAX_DEADLINE_MS * TICKS_PER_MS);
        self.keep_for_possible_clients(end, shut_out + END_REPORT_LIMIT);
    }

    /// Sends the end of a task again that may have been lost with its client's connection.
    pub(super) fn send_again(&mut self, end: TaskEnd) {
        self.keep_for_possible_clients(end, END_REPORT_LIMIT);
    }

    fn keep_for_possible_clients(&mut self, end: TaskEnd, lifetime: Ticks) {
        debug!(task = task_key(end.task), kind = ?end.kind, "the end of a task may not have reached its client");
        self.undelivered_ends
            .record(self.now + lifetime, end, MAX_UNDELIVERED_ENDS);
        self.copy_undelivered_ends();
    }

    /// Drops the undelivered ends whose clients had enough time to come back, and copies the others
    /// to connections whose queues had no room for them.
    pub(super) fn sweep_undelivered_ends(&mut self, now: Ticks) {
        self.undelivered_ends.expire(now);
        self.copy_undelivered_ends();
    }

    /// Remembers the id of a request that may have run and is over: as long as its client waits for
    /// the answer, and any client from now on.
    pub(super) fn remember_spent_id(&mut self, pending: &PendingTask) {
        let longest_deadline = self.settings.longest_deadline().unwrap_or(0);
        let expires_at = pending.deadline.max(self.now + longest_deadline);
        self.spent_ids
            .record(pending.task, expires_at, MAX_SPENT_IDS);
    }

    fn copy_undelivered_ends(&mut self) {
        let valid = self.clients.iter().filter(|(_, client)| client.valid);
        let valid: Vec<ClientId> = valid.map(|(&id, _)| id).collect();
        for id in valid {
            self.copy_undelivered_ends_to(id);
        }
    }

    /// Sends the undelivered ends that a connection has not been sent yet, as far as there is room.
    /// They are queued as one message: a crowd of clients that come back would otherwise cost a write
    /// for each end on each connection.
    pub(super) fn copy_undelivered_ends_to(&mut self, id: ClientId) {
        let room = self.room_of(id);
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let (mut copies, mut last) = (Vec::new(), client.copied_ends);
        while let Some((number, end)) = self.undelivered_ends.next_after(last) {
            let Some(bytes) = end.encode() else { return };
            if queued_bytes(copies.len() + bytes.len()) > room.min(MAX_COPIED_BYTES) {
                break;
            }
            copies.extend(bytes);
            last = number;
        }
        if !copies.is_empty() && client.sender.send_if_short(copies) {
            debug!(to = ?id, ?last, "copied the ends of tasks");
            client.copied_ends = last;
        }
    }

    /// Records the final answer to a set-up. Returns true if it had none yet.
    pub(super) fn record_final_answer(
        &mut self,
        pending: &mut PendingTask,
        id: AllocationId,
        stage: TaskStage,
    ) -> bool {
        let counted_bytes = pending.release_content();
        if let Some(client) = self.clients.get_mut(&pending.client) {
            client.open_set_ups.remove(&pending.task);
            client.open_bytes = client.open_bytes.saturating_sub(counted_bytes);
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
            self.remember_spent_id(pending);
            pending.stage = TaskStage::Ended;
            if let Some(client) = self.clients.get_mut(&pending.client) {
                client.running = client.running.saturating_sub(1);
                client.last_active_at = self.now;
            }
        }
        was_running
    }
}
