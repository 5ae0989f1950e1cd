//! Attempts: from the first byte written to the node's answer or the end of its time.

use super::tasks::{Out, Placing, Stage, sid};
use super::*;
use corkspan_platform_wire::client::{self, MessageType};
use tracing::debug;

impl Port {
    /// The first byte of a set-up is about to be written. False where that must not be any more:
    /// its owner has gone or its time is up, whatever waits to be handled before that is known.
    pub(super) fn begins(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        link: LinkId,
        attempt: AttemptId,
    ) -> bool {
        self.catch_up(now, host, attempt.allocation);
        let Some((placing, _)) = host.own(attempt.allocation) else {
            return false;
        };
        let this =
            |out: &&mut Out| out.number == attempt.number && out.link == Some(link) && !out.left;
        let Some(out) = placing
            .out
            .as_mut()
            .filter(this)
            .filter(|out| now < out.until)
        else {
            return false;
        };
        out.left = true;
        if now > out.sent {
            host.left(now, attempt.allocation);
        }
        true
    }

    /// Nothing more is wanted of an attempt: its node is told, where it has heard of it.
    pub(super) fn withdraw(&mut self, id: AllocationId, out: Out, task: u64) {
        self.due.remove(&(out.until, Due::Attempt(id, out.number)));
        if let Some(link) = out.link {
            self.links.done(link, id, self.now);
            if out.left {
                self.end_on(link, task);
            }
        }
    }

    /// A node is told to end a task that nobody wants.
    pub(super) fn end_on(&mut self, link: LinkId, task: u64) {
        let message = node::Message::new(node::MessageType::Close, task);
        self.links
            .send(link, &message.with_cause(u32::from(client::CAUSE_NORMAL)));
    }

    /// A node has answered an attempt: its time no longer counts, and its connection is free.
    pub(super) fn attempt_returned(&mut self, now: Ticks, id: AllocationId, out: Out) {
        self.due.remove(&(out.until, Due::Attempt(id, out.number)));
        out.link
            .into_iter()
            .for_each(|link| self.links.done(link, id, now));
    }

    pub(super) fn timed_out(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        id: AllocationId,
        number: usize,
    ) {
        let Some((placing, _)) = host.own(id) else {
            return;
        };
        let Some(out) = placing
            .out
            .filter(|out| out.number == number && placing.stage != Stage::Stands)
        else {
            return;
        };
        placing.out = None;
        let task = placing.task;
        self.withdraw(id, out, task);
        let ending = if out.left {
            AttemptResult::TimedOut
        } else {
            AttemptResult::ConnectFailed
        };
        host.returned(now, id, number, ending, None, false, None, self);
        // It may be one that is open and will stay silent for good.
        if let Some(link) = out.link {
            self.links.retire(link);
        }
    }

    pub(super) fn ready(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        id: AllocationId,
        out: Out,
        description: &str,
    ) {
        self.attempt_returned(now, id, out);
        if !host.placed(now, id, out.number, self) {
            return;
        }
        let Some((placing, _)) = host.own(id) else {
            return;
        };
        if now >= placing.until {
            // The timer was later than the node. An answer is of no worth now, and a final one is
            // owed all the same.
            let (to, task) = (placing.owner, placing.task);
            if self.answer(placing, id, Stage::Over) {
                self.release(to, task, client::CAUSE_FAILED);
            }
            self.cut(now, id, task, Some(out), u32::from(client::CAUSE_NORMAL));
            return host.finish(id);
        }
        self.answer(placing, id, Stage::Stands);
        placing.description = String::new();
        let (to, task) = (placing.owner, placing.task);
        self.nodes.stands(out.machine, id);
        debug!(task = sid(task), machine = ?out.machine, after = now - out.sent, "placed");
        self.say(
            to,
            MessageType::Answer,
            task,
            &[(client::DESCRIPTION, description.as_bytes())],
        );
    }
}
