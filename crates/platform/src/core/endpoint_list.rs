//! Applies changes to the list of nodes.

use super::pending_task::{PendingTask, TaskStage, task_key};
use super::running_tasks::TaskProcess;
use super::*;
use crate::nodes::{ListChange, Replacement};
use corkspan_engine::{AllocationRequest, ReturnedAttempt};
use tracing::{debug, info};

impl PlatformState {
    /// Handles a node that is gone: its tasks are lost, and nothing more is written to it.
    fn remove_node(&mut self, now: Ticks, engine: &mut Engine<PendingTask>, machine: MachineId) {
        info!(?machine, "a node is gone");
        self.machine_lost(now, engine, machine, Ticks::MAX);
        for connection in self.connections.all_to(machine) {
            self.remove_connection(now, engine, connection, ConnectionEnd::NotAttempted);
        }
        self.timers
            .retain(|(_, timer)| *timer != Timer::Unreachable(machine));
        self.connections.forget_machine(machine);
        self.unconfirmed_stops.forget_machine(machine);
        self.nodes.remove_node(now, machine);
    }

    /// Moves the tasks that were written to a node's address after the next node had started there:
    /// they run on that one.
    fn move_tasks(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        replacement: Replacement,
    ) {
        for id in self.nodes.tasks_on(replacement.former) {
            let Some((pending, _)) = engine.data_mut(id) else {
                continue;
            };
            // A task that was handed over names its node, and was not written to the address here.
            let is_written = pending
                .active
                .is_some_and(|active| active.connection.is_some());
            if !is_written || pending.stage != TaskStage::Running {
                continue;
            }
            match self.process_of_task(engine, id, replacement.started_at) {
                TaskProcess::Former => continue,
                TaskProcess::Unclear => {
                    self.end_unclear_task(now, engine, id, replacement.next);
                    continue;
                }
                TaskProcess::Current => {}
            }
            let Some((pending, allocation)) = engine.data_mut(id) else {
                continue;
            };
            let request = AllocationRequest {
                service: allocation.service,
                service_class: allocation.service_class,
                tenant: allocation.tenant,
                requested: allocation.requested,
                deadline: allocation.deadline,
            };
            let Some(moved) = pending.take_running_task(replacement.next) else {
                continue;
            };
            debug!(
                task = task_key(moved.task),
                ?replacement,
                "moving a task to the next node at its address"
            );
            self.nodes.remove_task(replacement.former, id);
            let attempt = allocation.attempts.len() - 1;
            engine.attempt_returned(now, id, attempt, cancelled_attempt(), self);
            let task = moved.task;
            if let Ok(id) =
                engine.admit_running(now, &task_key(task), request, replacement.next, moved)
            {
                self.nodes.add_task(replacement.next, id);
            }
        }
    }

    /// Closes the connections to the former node at an address. What is established there may be the
    /// next one, so nothing more is written on them, and what has arrived may concern its tasks.
    fn close_to_former(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        former: MachineId,
        next: MachineId,
    ) {
        for (id, open_attempts) in self.connections.close_to_former(former, next, now) {
            self.fail_attempts(now, engine, id, open_attempts);
            self.fail_health_checks(now, engine, id, former);
        }
    }

    /// Applies a change to the list of nodes, unless it was applied before.
    pub(super) fn apply_event(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        event: Event,
    ) {
        if event.number <= self.last_event {
            return;
        }
        self.last_event = event.number;
        let Some(list) = event.list else { return };
        debug!(
            event.number,
            entries = list.entries.len(),
            list.complete,
            "applying a change to the list of nodes"
        );
        let change = self.nodes.apply_list(&list, &self.settings, now);
        let scope = if change.complete {
            ListUpdate::Complete
        } else {
            ListUpdate::Incremental
        };
        engine.apply_endpoint_list(scope, &with_replaced(&change));
        for replacement in change.replaced {
            self.move_tasks(now, engine, replacement);
            let Replacement { former, next, .. } = replacement;
            self.close_to_former(now, engine, former, next);
            self.remove_node(now, engine, former);
        }
        for machine in change.gone {
            self.remove_node(now, engine, machine);
        }
        for machine in change.moved {
            info!(?machine, "a node has another address");
            self.close_to_former(now, engine, machine, machine);
        }
        for (machine, started) in change.restarted {
            info!(?machine, ?started, now, "a node has restarted");
            self.machine_restarted(now, engine, machine, started);
        }
        self.take_over_listed_tasks(now, engine);
    }
}

/// Returns the endpoints of a change, and those that were replaced as removed.
fn with_replaced(change: &ListChange) -> Vec<Endpoint> {
    let mut endpoints = change.endpoints.clone();
    for replacement in &change.replaced {
        let removed = change.endpoints.first().map(|endpoint| Endpoint {
            machine: replacement.former,
            state: MachineState::Removed,
            ..*endpoint
        });
        endpoints.extend(removed);
    }
    endpoints
}

/// Returns the end of an attempt whose task continues under another record.
fn cancelled_attempt() -> ReturnedAttempt {
    ReturnedAttempt {
        result: AttemptResult::Cancelled,
        reason: None,
        finished: true,
        report: None,
    }
}
