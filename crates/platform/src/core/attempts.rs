//! Handles attempts, from the first byte written to the node's answer or the deadline.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::ReturnedAttempt;
use corkspan_platform_wire::client::{self, MessageType};
use tracing::debug;

impl PlatformState {
    /// Returns whether a set-up may still be written; called right before its first byte. Returns
    /// false if its client is gone, even if only unread input shows that, or if its deadline has
    /// passed. If its client has sent too much to tell, the attempt returns unsent.
    pub(super) fn may_write_set_up(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        connection: ConnectionId,
        attempt: AttemptId,
    ) -> bool {
        let is_read = self.read_pending_input(now, engine, attempt.allocation);
        let Some((pending, _)) = engine.data_mut(attempt.allocation) else {
            return false;
        };
        let is_this_attempt = |active: &&mut ActiveAttempt| {
            active.number == attempt.number
                && active.connection == Some(connection)
                && !active.started
        };
        let Some(active) = pending
            .active
            .as_mut()
            .filter(is_this_attempt)
            .filter(|active| now < active.deadline)
        else {
            return false;
        };
        if !is_read {
            let (active, task) = (*active, pending.task);
            pending.active = None;
            pending.forget_unwritten(active);
            self.withdraw(attempt.allocation, active, task);
            self.deferred.push_back(DeferredEvent::Returned(
                attempt.allocation,
                attempt.number,
                AttemptResult::NotSent,
            ));
            return false;
        }
        active.started = true;
        if now > active.sent_at {
            // It goes to the process that is there now, which may have started since.
            active.sent_at = now;
            engine.attempt_sent(now, attempt.allocation);
        }
        true
    }

    /// Returns the line of a set-up that is written now.
    pub(super) fn set_up_line(
        &self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        attempt: AttemptId,
    ) -> Option<Vec<u8>> {
        let (pending, _) = engine.data_mut(attempt.allocation)?;
        let active = pending.active?;
        let left = active.deadline.saturating_sub(now);
        pending.open_message(left).to_line()
    }

    /// Withdraws an attempt. Requests its node to end the task if the set-up was written.
    pub(super) fn withdraw(&mut self, id: AllocationId, active: ActiveAttempt, task: u64) {
        self.timers
            .remove(&(active.deadline, Timer::Attempt(id, active.number)));
        if let Some(connection) = active.connection {
            if active.started {
                self.connections.attempt_withdrawn(connection, id, self.now);
                self.send_close(connection, task);
            } else {
                self.connections.attempt_finished(connection, id, self.now);
            }
        }
    }

    /// Requests a node to end a task that no client wants.
    pub(super) fn send_close(&mut self, connection: ConnectionId, task: u64) {
        let message = node::Message::new(node::MessageType::Close, task);
        self.connections.send(
            connection,
            &message.with_cause(u32::from(client::CAUSE_NORMAL)),
        );
    }

    /// Removes the timer of an attempt that its node has answered, and frees its connection.
    pub(super) fn clear_attempt(&mut self, now: Ticks, id: AllocationId, active: ActiveAttempt) {
        self.timers
            .remove(&(active.deadline, Timer::Attempt(id, active.number)));
        active
            .connection
            .into_iter()
            .for_each(|connection| self.connections.attempt_finished(connection, id, now));
    }

    /// Withdraws an attempt that has reached its deadline.
    pub(super) fn attempt_timed_out(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        number: usize,
    ) {
        let Some((pending, _)) = engine.data_mut(id) else {
            return;
        };
        let Some(active) = pending
            .active
            .filter(|active| active.number == number && pending.stage != TaskStage::Running)
        else {
            return;
        };
        pending.active = None;
        pending.forget_unwritten(active);
        let task = pending.task;
        self.withdraw(id, active, task);
        if active.started {
            self.nodes.add_possible_task(active.machine, id);
        }
        let result = if active.started {
            AttemptResult::TimedOut
        } else {
            AttemptResult::ConnectFailed
        };
        debug!(
            task = task_key(task),
            number,
            ?result,
            "an attempt has failed at its deadline"
        );
        engine.attempt_returned(
            now,
            id,
            number,
            ReturnedAttempt {
                result,
                reason: None,
                finished: false,
                report: None,
            },
            self,
        );
        // The connection may be open but permanently silent, so no further set-up is sent on it.
        if let Some(connection) = active.connection {
            self.connections.drain(connection, now);
        }
    }

    /// Handles a node's answer that the task runs, and forwards it to the client.
    pub(super) fn attempt_ready(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        active: ActiveAttempt,
        description: &str,
    ) {
        self.clear_attempt(now, id, active);
        if !engine.attempt_placed(now, id, active.number, self) {
            return;
        }
        let Some((pending, _)) = engine.data_mut(id) else {
            return;
        };
        if now >= pending.deadline {
            // The answer arrived after the deadline but before the timer fired. It is of no use to
            // the client, which must still get a final answer.
            let (to, task) = (pending.client, pending.task);
            if self.record_final_answer(pending, id, TaskStage::Ended) {
                self.send_release(to, task, client::CAUSE_FAILED);
            }
            self.stop_task(now, id, task, Some(active), u32::from(client::CAUSE_NORMAL));
            return engine.finish(id);
        }
        self.record_final_answer(pending, id, TaskStage::Running);
        let (to, task) = (pending.client, pending.task);
        self.nodes.add_task(active.machine, id);
        debug!(task = task_key(task), machine = ?active.machine, connection = active.connection.map(|id| id.0), after = now - active.sent_at, "placed");
        self.send_to_client(
            to,
            MessageType::Answer,
            task,
            &[(client::DESCRIPTION, description.as_bytes())],
        );
    }
}
