//! Takes over the running tasks that clients hand over: those that another process has set up.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::unlisted_tasks::UnlistedTask;
use super::*;
use corkspan_engine::AllocationRequest;
use corkspan_platform_wire::client::{self, SetUp};
use tracing::debug;

/// A running task as its client hands it over.
pub(super) struct HandOver {
    pub(super) from: ClientId,
    pub(super) set_up: SetUp,
    pub(super) request: AllocationRequest,
    pub(super) node_name: String,
    pub(super) received_at: Ticks,
    /// When it counts as sent, which is earlier if it has waited to be read.
    pub(super) sent_at: Ticks,
}

impl HandOver {
    /// Creates the hand-over of the set-up's task, which names its node.
    pub(super) fn new(
        from: ClientId,
        mut set_up: SetUp,
        request: AllocationRequest,
        received_at: Ticks,
        sent_at: Ticks,
    ) -> HandOver {
        let node_name = set_up.running_on.take().unwrap_or_default();
        HandOver {
            from,
            set_up,
            request,
            node_name,
            received_at,
            sent_at,
        }
    }

    pub(super) fn task(&self) -> u64 {
        self.set_up.task
    }
}

impl PlatformState {
    /// Takes over a running task, or reports its end if it has one.
    pub(super) fn take_over_running_task(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        hand_over: HandOver,
    ) {
        let (from, task) = (hand_over.from, hand_over.task());
        let node_name = &hand_over.node_name;
        debug!(task = task_key(task), ?from, node_name, "handed over");
        if self.undelivered_ends.contains(task) {
            // The task has ended while its client had no connection. Its end is copied to this one.
            debug!(
                task = task_key(task),
                "a task that was handed over has ended before"
            );
            return;
        }
        let Some(machine) = self.nodes.find(node_name) else {
            return self.wait_for_node(hand_over);
        };
        if let Some(end) = self.early_end(task, machine) {
            debug!(
                task = task_key(task),
                ?machine,
                ?end,
                "a task was handed over after its node had reported its end"
            );
            // The node has reported the end on a connection that was opened for another task, and
            // does not report it again.
            return self.send_task_end(from, end);
        }
        self.adopt_task(now, engine, hand_over, machine);
    }

    /// Records a task that was handed over as running on a machine.
    fn adopt_task(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        hand_over: HandOver,
        machine: MachineId,
    ) {
        let (from, task) = (hand_over.from, hand_over.task());
        let mut pending = PendingTask::new(from, hand_over.set_up, now);
        pending.stage = TaskStage::Running;
        pending.unconfirmed = true;
        pending.release_content();
        pending.active = Some(ActiveAttempt {
            number: 0,
            machine,
            connection: None,
            sent_at: hand_over.received_at,
            deadline: Ticks::MAX,
            started: true,
        });
        // Its client wants it, whatever an earlier attempt has left.
        self.unconfirmed_stops.confirm(machine, task);
        self.make_room_for_running_task(now, engine);
        let name = task_key(task);
        let admitted = engine.admit_running(now, &name, hand_over.request, machine, pending);
        let Ok(id) = admitted else {
            debug!(task = name, "giving up a task: too many run");
            return self.send_task_end(from, TaskEnd::new(task, AttemptResult::Reset));
        };
        self.nodes.add_task(machine, id);
        self.unconfirmed_tasks.add(from, id);
        if let Some(client) = self.clients.get_mut(&from) {
            client.running += 1;
        }
        if self.connections.available_to(machine).is_empty() {
            self.open_connection(machine, Eviction::SpareOnly);
        }
    }

    /// Gives up the oldest unconfirmed task of the connection that has handed over the most, if there
    /// are as many tasks as may be taken over.
    fn make_room_for_running_task(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) {
        let running = engine.tracked().saturating_sub(self.unanswered.len());
        if running < MAX_RUNNING_TASKS {
            return;
        }
        if let Some(id) = self.unconfirmed_tasks.oldest_of_largest() {
            debug!(?id, "giving up a task that its node has not confirmed");
            self.task_ended(now, engine, id, AttemptResult::Reset, None, None);
        }
    }

    /// Handles a hand-over whose node is not listed: the node is gone, and the task with it, or the
    /// list is late.
    fn wait_for_node(&mut self, hand_over: HandOver) {
        let (from, task) = (hand_over.from, hand_over.task());
        let node_name = &hand_over.node_name;
        let is_gone = self.nodes.is_gone(node_name);
        debug!(
            task = task_key(task),
            node_name, is_gone, "a task was handed over on a node that is not listed"
        );
        if is_gone {
            return self.send_task_end(from, TaskEnd::new(task, AttemptResult::Reset));
        }
        // It may have the address of a listed one, under whose name it has reported the end.
        if let Some(end) = self.early_end_of(task) {
            return self.send_task_end(from, end);
        }
        if let Some(dropped) = self.unlisted_tasks.add(hand_over) {
            self.end_unlisted_task(dropped);
        }
    }

    /// Takes over the tasks whose node the list names now, and ends those whose node is gone.
    pub(super) fn take_over_listed_tasks(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) {
        let nodes = &self.nodes;
        let is_decided = |name: &str| nodes.find(name).is_some() || nodes.is_gone(name);
        for waiting in self.unlisted_tasks.take_of_nodes(is_decided) {
            let machine = self.nodes.find(&waiting.hand_over.node_name);
            match (machine, waiting.released) {
                (Some(machine), Some(cause)) => {
                    let task = waiting.hand_over.task();
                    self.request_stop(now, machine, None, task, u32::from(cause));
                }
                (Some(_), None) => self.take_over_running_task(now, engine, waiting.hand_over),
                (None, _) => self.end_unlisted_task(waiting),
            }
        }
    }

    /// Ends the tasks whose node the list has not named in time.
    pub(super) fn end_unlisted_tasks(&mut self, now: Ticks) {
        for expired in self.unlisted_tasks.take_expired(now) {
            self.end_unlisted_task(expired);
        }
    }

    /// Handles the end of a task that waits for the list, which its node reports at the address of a
    /// listed one. Returns false if the task does not wait.
    pub(super) fn end_reported_while_unlisted(&mut self, end: TaskEnd) -> bool {
        let Some(waiting) = self.unlisted_tasks.take(end.task) else {
            return false;
        };
        if waiting.released.is_none() {
            self.send_task_end(waiting.hand_over.from, end);
        }
        true
    }

    fn end_unlisted_task(&mut self, waiting: UnlistedTask) {
        if waiting.released.is_none() {
            let task = waiting.hand_over.task();
            self.send_task_end(
                waiting.hand_over.from,
                TaskEnd::new(task, AttemptResult::Reset),
            );
        }
    }
}

/// Returns whether a set-up hands over a running task.
pub(super) fn is_hand_over(message: &client::Message) -> bool {
    SetUp::try_from(message).is_ok_and(|set_up| set_up.running_on.is_some())
}
