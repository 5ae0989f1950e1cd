//! Handles the ends of tasks that nodes report of other attempts than the active one.

use super::node_messages::{MessageOrigin, ReleaseCause};
use super::pending_task::{PendingTask, TaskStage, task_key};
use super::*;
use corkspan_platform_wire::client;
use tracing::debug;

impl PlatformState {
    /// Handles the end of a task that is unknown, or that its node reports of another attempt than the
    /// active one.
    pub(super) fn handle_unmatched_end(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        origin: MessageOrigin,
        cause: u32,
        reason: Option<ReturnReason>,
    ) {
        let MessageOrigin {
            connection,
            machine,
            task,
        } = origin;
        let release_cause = ReleaseCause::from(cause);
        let result = release_cause.task_result();
        let end = TaskEnd::new(task, result);
        if !release_cause.is_rejection() && self.end_reported_while_unlisted(end) {
            return;
        }
        let over = engine.find(&task_key(task)).filter(|&id| {
            let pending = engine.data_mut(id).map(|(pending, _)| pending);
            let was_placed = pending.is_some_and(|pending| {
                !release_cause.is_rejection() && pending.shows_placement(machine, connection, cause)
            });
            let end = LateEnd {
                machine,
                result,
                reason,
                was_placed,
            };
            engine.is_over_after_late_end(id, end)
        });
        match over {
            Some(id) => self.end_on_all_nodes(now, engine, id, end),
            None => self.remember_early_end(now, machine, end),
        }
    }

    /// Handles the end of a request or a running task of which the node of an earlier attempt has told:
    /// its client is told, and the node that has it now must end it too.
    fn end_on_all_nodes(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
        end: TaskEnd,
    ) {
        let Some((pending, _)) = engine.data_mut(id) else {
            return;
        };
        let (to, task, active) = (pending.client, pending.task, pending.active);
        debug!(task = task_key(task), stage = ?pending.stage, ?active, "over at the node of an earlier attempt");
        if pending.stage == TaskStage::Pending {
            self.send_release(to, task, client::CAUSE_FAILED);
            return self.cancel(now, engine, id);
        }
        if self.record_task_end(pending) {
            self.send_task_end(to, end);
        }
        self.stop_task(now, id, task, active, u32::from(client::CAUSE_NORMAL));
        engine.finish(id);
    }
}
