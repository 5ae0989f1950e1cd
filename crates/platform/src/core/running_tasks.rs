//! Stops running tasks and handles their ends.

use super::pending_task::{ActiveAttempt, PendingTask, task_key};
use super::unconfirmed_stops::StopRetry;
use super::*;
use crate::start_times::StartTime;
use corkspan_engine::ReturnedAttempt;
use corkspan_platform_wire::client;
use tracing::debug;

/// The process of a node on which a task runs, after another one has started there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskProcess {
    /// The former one, so the task is lost.
    Former,
    /// The one that has started.
    Current,
    /// The time of the start is not known well enough, or a connection of the former one is open.
    Unclear,
}

impl PlatformState {
    /// Requests the node to stop a running task.
    pub(super) fn stop_task(
        &mut self,
        now: Ticks,
        id: AllocationId,
        task: u64,
        active: Option<ActiveAttempt>,
        cause: u32,
    ) {
        if let Some(active) = active {
            self.request_stop(now, active.machine, active.connection, task, cause);
        }
        self.timers.insert((now + STOP_TIMEOUT, Timer::Stop(id)));
    }

    /// Requests a node to end a task, and again until it confirms.
    pub(super) fn request_stop(
        &mut self,
        now: Ticks,
        machine: MachineId,
        connection: Option<ConnectionId>,
        task: u64,
        cause: u32,
    ) {
        let message = node::Message::new(node::MessageType::Close, task).with_cause(cause);
        self.send_to_node(machine, connection, &message, Eviction::Any);
        self.unconfirmed_stops.add(now, machine, task, cause);
    }

    /// Sends the requests to stop a task again that their nodes have not confirmed.
    pub(super) fn retry_stops(&mut self, now: Ticks) {
        for StopRetry {
            machine,
            task,
            cause,
        } in self.unconfirmed_stops.due(now)
        {
            debug!(
                task = task_key(task),
                ?machine,
                "requesting again to stop a task"
            );
            let newest = self.connections.available_to(machine).pop();
            if newest.is_none() && self.nodes.is_closed_to_connections(machine) {
                continue;
            }
            let message = node::Message::new(node::MessageType::Close, task).with_cause(cause);
            self.send_to_node(machine, newest, &message, Eviction::Any);
        }
    }

    /// Handles the restart of a machine's process: the tasks of the former one are lost.
    pub(super) fn machine_restarted(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        machine: MachineId,
        started_at: StartTime,
    ) {
        for id in self.nodes.tasks_on(machine) {
            match self.process_of_task(engine, id, started_at) {
                TaskProcess::Former => {
                    self.task_ended(now, engine, id, AttemptResult::Reset, None, None);
                }
                TaskProcess::Unclear => self.end_unclear_task(now, engine, id, machine),
                TaskProcess::Current => {
                    debug!(?id, ?machine, ?started_at, "a task is kept after a restart");
                }
            }
        }
    }

    /// Returns on which process a running task runs, if the one at its address started at the given
    /// time.
    pub(super) fn process_of_task(
        &self,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        started_at: StartTime,
    ) -> TaskProcess {
        let Some((pending, _)) = engine.data_mut(id) else {
            return TaskProcess::Former;
        };
        let connection = pending.active.and_then(|active| active.connection);
        let is_open = connection.is_some_and(|id| self.connections.is_open(id));
        let stood_at = pending.stood_at();
        if stood_at >= started_at.latest {
            TaskProcess::Current
        } else if stood_at < started_at.earliest && !is_open {
            TaskProcess::Former
        } else {
            TaskProcess::Unclear
        }
    }

    /// Ends a task that may run on a machine's process or have died with the former one. Its client is
    /// told, so the process must end it too.
    pub(super) fn end_unclear_task(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        machine: MachineId,
    ) {
        let task = engine.data_mut(id).map(|(pending, _)| pending.task);
        self.task_ended(now, engine, id, AttemptResult::Reset, None, None);
        if let Some(task) = task {
            self.request_stop(now, machine, None, task, u32::from(client::CAUSE_NORMAL));
        }
    }

    /// Handles the loss of the tasks that were sent to a machine before the given time.
    pub(super) fn machine_lost(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        machine: MachineId,
        before: Ticks,
    ) {
        for id in self.nodes.tasks_on(machine) {
            let stood_at = engine
                .data_mut(id)
                .map_or(0, |(pending, _)| pending.stood_at());
            if stood_at < before {
                self.task_ended(now, engine, id, AttemptResult::Reset, None, None);
            } else {
                debug!(
                    ?id,
                    ?machine,
                    stood_at,
                    before,
                    "a task is kept that was sent after its machine's loss"
                );
            }
        }
    }

    /// Handles the end of a running task, and notifies its client unless the client ended the task
    /// or was requested to migrate it. A node may cancel a task that neither has ended here: it carries
    /// out what was requested of it before the task was handed over.
    pub(super) fn task_ended(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        result: AttemptResult,
        reason: Option<ReturnReason>,
        report: Option<LoadReport>,
    ) {
        let Some((pending, _)) = engine.data_mut(id) else {
            return;
        };
        let Some(active) = pending.active.take() else {
            return;
        };
        let (task, to) = (pending.task, pending.client);
        self.unconfirmed_tasks.remove(to, id);
        self.timers.retain(|(_, timer)| *timer != Timer::Stop(id));
        debug!(task = task_key(task), machine = ?active.machine, ending = ?result, ?reason, "task ended");
        if self.record_task_end(pending) {
            self.send_task_end(to, TaskEnd::new(task, result));
        }
        self.nodes.remove_task(active.machine, id);
        engine.attempt_returned(
            now,
            id,
            active.number,
            ReturnedAttempt {
                result,
                reason,
                finished: true,
                report,
            },
            self,
        );
    }

    /// Returns the end of a task that its node has reported before the task was handed over.
    pub(super) fn early_end(&self, task: u64, machine: MachineId) -> Option<TaskEnd> {
        let mut ends = self.early_ends.iter();
        let reported = ends.find(|early| (early.end.task, early.machine) == (task, machine));
        reported.map(|early| early.end)
    }

    /// Returns the end of a task that any node has reported before the task was handed over.
    pub(super) fn early_end_of(&self, task: u64) -> Option<TaskEnd> {
        let mut ends = self.early_ends.iter();
        let reported = ends.find(|early| early.end.task == task);
        reported.map(|early| early.end)
    }

    /// Records that a node has reported the end of an unknown task.
    pub(super) fn remember_early_end(&mut self, now: Ticks, machine: MachineId, end: TaskEnd) {
        while self.early_ends.front().is_some_and(|end| {
            self.early_ends.len() >= MAX_EARLY_ENDS || end.reported_at + EARLY_END_LIFETIME <= now
        }) {
            let oldest = self.early_ends.pop_front();
            if let Some(dropped) =
                oldest.filter(|oldest| oldest.reported_at + EARLY_END_LIFETIME > now)
            {
                debug!(
                    task = task_key(dropped.end.task),
                    "forgetting the end of an unknown task: there are too many"
                );
            }
        }
        self.early_ends.push_back(EarlyEnd {
            reported_at: now,
            machine,
            end,
        });
    }
}
