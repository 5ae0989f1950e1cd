//! What the decisions have done.

use super::tasks::{Out, Placing, Stage, sid};
use super::*;
use corkspan_engine::Wire;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::AttributeValue;
use tracing::debug;

impl Wire<Placing> for Port {
    fn send(
        &mut self,
        placing: &mut Placing,
        allocation: &Allocation,
        machine: MachineId,
        time_out: Ticks,
    ) {
        let (id, number) = (allocation.id, allocation.attempts.len());
        let message = open_message(placing, time_out);
        let attempt = AttemptId {
            allocation: id,
            number,
        };
        let free = self.links.free(machine, self.now, &placing.links);
        let link = free.or_else(|| self.open_link(machine, Takes::Any));
        let link = link.or_else(|| self.links.least(machine, &placing.links));
        let Some(link) = link.filter(|&link| self.links.send_set_up(link, attempt, &message))
        else {
            return self
                .deferred
                .push_back(Deferred::Returned(id, number, AttemptResult::NotSent));
        };
        self.links.begin(link, id, self.now);
        let until = self.now + time_out;
        placing.out = Some(Out {
            number,
            machine,
            link: Some(link),
            sent: self.now,
            until,
            left: false,
        });
        placing.links.push(link);
        self.due.insert((until, Due::Attempt(id, number)));
        debug!(
            task = sid(placing.task),
            ?machine,
            number,
            class = placing.class,
            name = placing.name,
            description = placing.description,
            time_out,
            "sent"
        );
    }

    fn shed(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.attempts, "shed");
            self.release(placing.owner, placing.task, client::CAUSE_REJECTED);
        }
    }

    fn scrap(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.attempts, "scrapped");
            self.release(placing.owner, placing.task, client::CAUSE_FAILED);
        }
    }

    fn relocate(&mut self, placing: &mut Placing, allocation: &Allocation) {
        debug!(task = sid(placing.task), "moved away");
        if self.stood(placing) {
            self.say_over(placing.owner, MessageType::Migrate, placing.task, &[]);
            self.due
                .insert((self.now + CUT_WITHIN, Due::Cut(allocation.id)));
        }
    }

    fn lost(&mut self, _: &mut Placing, allocation: &Allocation) {
        self.deferred.push_back(Deferred::Lost(allocation.id));
    }

    fn probe(&mut self, machine: MachineId) {
        self.last_test = self.last_test.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let message = node::Message::new(node::MessageType::Probe, self.last_test).with_cause(0);
        if let Some(link) = self.tell_node(machine, None, &message, Takes::Spare) {
            self.tests.insert(self.last_test, (machine, link));
            self.due
                .insert((self.now + TEST_WITHIN, Due::Test(self.last_test)));
        }
    }

    fn watch_list(&mut self) {
        self.effects.watch_list();
    }

    fn wake(&mut self, after: Ticks) {
        let at = self.now + after;
        self.host_wakes = Some(self.host_wakes.map_or(at, |other| other.min(at)));
    }
}

/// A set-up as the node gets it.
fn open_message(placing: &Placing, time_out: Ticks) -> node::Message {
    let mut message = node::Message::new(node::MessageType::Open, placing.task);
    let text = |text: &str| AttributeValue::Text(text.into());
    message
        .attributes
        .insert("class".into(), text(&placing.class));
    message.attributes.insert("key".into(), text(&placing.name));
    message
        .attributes
        .insert("left".into(), text(&(time_out / 10).to_string()));
    if let Some(mark) = &placing.mark {
        message.attributes.insert("idem".into(), text(mark));
    }
    message.text = Some(placing.description.clone());
    message
}
