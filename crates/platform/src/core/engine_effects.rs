//! Implements the engine's effects: sends set-ups, answers, migrations and health checks.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::Effects;
use corkspan_platform_wire::client;
use tracing::debug;

impl Effects<PendingTask> for PlatformState {
    fn dispatch(
        &mut self,
        pending: &mut PendingTask,
        allocation: &Allocation,
        machine: MachineId,
        timeout: Ticks,
    ) {
        let (id, number) = (allocation.id, allocation.attempts.len());
        let attempt = AttemptId {
            allocation: id,
            number,
        };
        // A set-up whose message is too long must not take a connection.
        let is_short = pending.open_message(timeout).to_line().is_some();
        let connection = self.connection_for(machine, &pending.used_connections);
        let Some(connection) = connection
            .filter(|&connection| is_short && self.connections.send_set_up(connection, attempt))
        else {
            return self.deferred.push_back(DeferredEvent::Returned(
                id,
                number,
                AttemptResult::NotSent,
            ));
        };
        self.connections.attempt_started(connection, id, self.now);
        let deadline = self.now + timeout;
        pending.active = Some(ActiveAttempt {
            number,
            machine,
            connection: Some(connection),
            sent_at: self.now,
            deadline,
            started: false,
        });
        pending.used_connections.push(connection);
        self.timers.insert((deadline, Timer::Attempt(id, number)));
        debug!(
            task = task_key(pending.task),
            ?machine,
            connection = connection.0,
            number,
            timeout,
            "sent to a node"
        );
    }

    fn shed(&mut self, pending: &mut PendingTask, allocation: &Allocation) {
        if self.record_final_answer(pending, allocation.id, TaskStage::Ended) {
            debug!(task = task_key(pending.task), attempts = ?allocation.attempts, "shed");
            self.send_release(pending.client, pending.task, client::CAUSE_REJECTED);
        }
    }

    fn indeterminate(&mut self, pending: &mut PendingTask, allocation: &Allocation) {
        if self.record_final_answer(pending, allocation.id, TaskStage::Ended) {
            debug!(task = task_key(pending.task), attempts = ?allocation.attempts, "indeterminate");
            self.remember_spent_id(pending);
            self.send_release(pending.client, pending.task, client::CAUSE_FAILED);
        }
    }

    fn migrate(&mut self, pending: &mut PendingTask, allocation: &Allocation) {
        debug!(task = task_key(pending.task), "migration requested");
        if self.record_task_end(pending) {
            let end = TaskEnd {
                task: pending.task,
                kind: TaskEndKind::Migrated,
            };
            self.send_task_end(pending.client, end);
            self.timers
                .insert((self.now + STOP_TIMEOUT, Timer::Stop(allocation.id)));
        }
    }

    fn lost(&mut self, pending: &mut PendingTask, allocation: &Allocation) {
        let machine = pending.active.map(|active| active.machine);
        debug!(
            task = task_key(pending.task),
            ?machine,
            "lost with its silent machine"
        );
        self.deferred.push_back(DeferredEvent::Lost(allocation.id));
    }

    fn check_health(&mut self, machine: MachineId) {
        self.send_health_check(machine);
    }

    fn check_connection(&mut self, machine: MachineId) {
        // If the pool is full, the new connection takes the place of the silent one, unless that one
        // still waits for the answer to a health check, or its node may accept no other.
        let kept = self.connections_with_health_check();
        let may_replace =
            !self.nodes.is_draining(machine) && self.connections.has_idle(machine, &kept);
        let eviction = match may_replace {
            true => Eviction::SpareOrTo(machine),
            false => Eviction::Any,
        };
        self.open_check_connection(machine, eviction);
    }

    fn watch_endpoints(&mut self) {
        self.effects.watch_endpoint_list();
    }

    fn set_timer(&mut self, after: Ticks) {
        let at = self.now + after;
        self.engine_timer = Some(self.engine_timer.map_or(at, |other| other.min(at)));
    }
}

impl PlatformState {
    /// Returns the connection for an attempt: an idle one, else a new one, else the least loaded
    /// one. Connections in `except` are not returned.
    fn connection_for(
        &mut self,
        machine: MachineId,
        except: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let idle = self.connections.find_idle(machine, self.now, except);
        let connection = idle.or_else(|| self.open_connection(machine, Eviction::Any));
        connection.or_else(|| self.connections.least_loaded(machine, except))
    }
}
