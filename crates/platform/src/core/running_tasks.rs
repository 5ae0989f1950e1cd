//! What stands on nodes, and its end.

use super::tasks::{Out, Placing, sid};
use super::*;
use corkspan_platform_wire::client::{self, MessageType};
use tracing::debug;

impl Port {
    /// Has the node cut a task that stands.
    pub(super) fn cut(
        &mut self,
        now: Ticks,
        id: AllocationId,
        task: u64,
        out: Option<Out>,
        cause: u32,
    ) {
        if let Some(out) = out {
            let message = node::Message::new(node::MessageType::Close, task).with_cause(cause);
            self.tell_node(out.machine, out.link, &message, Takes::Any);
        }
        self.due.insert((now + CUT_WITHIN, Due::Cut(id)));
    }

    /// Tasks sent there before then are over.
    pub(super) fn machine_lost(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        machine: MachineId,
        before: Ticks,
    ) {
        for id in self.nodes.standing(machine) {
            let sent = host
                .own(id)
                .and_then(|(placing, _)| placing.out)
                .map_or(0, |out| out.sent);
            if sent < before {
                self.over(now, host, id, AttemptResult::Reset, None, None);
            }
        }
    }

    /// What stood is over: its owner is told, where it is owed that.
    pub(super) fn over(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        id: AllocationId,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        report: Option<LoadReport>,
    ) {
        let Some((placing, _)) = host.own(id) else {
            return;
        };
        let Some(out) = placing.out.take() else {
            return;
        };
        let (task, to) = (placing.task, placing.owner);
        self.due.retain(|(_, due)| *due != Due::Cut(id));
        debug!(task = sid(task), machine = ?out.machine, ?ending, ?reason, "over");
        if self.stood(placing) && ending != AttemptResult::Cancelled {
            let cause = if ending == AttemptResult::Completed {
                16
            } else {
                41
            };
            self.say_over(to, MessageType::Release, task, &[(client::CAUSE, &[cause])]);
        }
        self.nodes.stands_no_more(out.machine, id);
        host.returned(now, id, out.number, ending, reason, true, report, self);
    }

    pub(super) fn keep_end(&mut self, now: Ticks, task: u64, machine: MachineId) {
        while self
            .ends
            .front()
            .is_some_and(|&(at, _, _)| self.ends.len() >= ENDS || at + ENDS_FOR <= now)
        {
            self.ends.pop_front();
        }
        self.ends.push_back((now, task, machine));
    }
}
