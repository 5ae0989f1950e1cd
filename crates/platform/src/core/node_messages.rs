//! What nodes say.

use super::tasks::{Out, Placing, Stage, sid};
use super::*;
use corkspan_platform_wire::node::AttributeValue;
use corkspan_platform_wire::parse_load_report;
use tracing::debug;

/// Where a node's message came from, and the task that it names.
#[derive(Clone, Copy)]
struct Origin {
    link: LinkId,
    machine: MachineId,
    task: u64,
}

/// The attempt that a node's message names by its task.
struct Named {
    id: AllocationId,
    out: Out,
    stage: Stage,
    /// The message is of an earlier attempt at it, which was withdrawn: what became of that one
    /// says nothing of this one.
    earlier: bool,
}

impl Port {
    /// A message of a node. False where its connection is of no more use.
    pub(super) fn node_said(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        link: LinkId,
        machine: MachineId,
        message: node::Message,
    ) -> bool {
        let Some(task) = message.task_id else {
            return true;
        };
        if message.message_type == node::MessageType::Probed {
            self.node_probed(now, host, task, &message);
            return true;
        }
        let origin = Origin {
            link,
            machine,
            task,
        };
        let named = self.named(host, origin, &message);
        if named.as_ref().is_some_and(|named| named.earlier) {
            debug!(task = sid(task), ?machine, ?message.message_type, "told of an earlier attempt");
            return true;
        }
        match (message.message_type, named) {
            (node::MessageType::Ready, Some(named))
                if named.stage == Stage::Asked && named.out.link == Some(link) =>
            {
                let Some(description) = message.text else {
                    return false;
                };
                self.ready(now, host, named.id, named.out, &description);
            }
            // One that was given up meanwhile: nobody waits for it.
            (node::MessageType::Ready, None) => self.end_on(link, task),
            (node::MessageType::Close, named) => {
                self.node_closed(now, host, origin, named, &message);
            }
            (node::MessageType::Closed, Some(named)) if named.stage == Stage::Over => {
                self.over(now, host, named.id, AttemptResult::Cancelled, None, None);
            }
            (node::MessageType::Event, Some(named)) if named.stage != Stage::Asked => {
                let Some(note) = note(&message) else {
                    return true;
                };
                debug!(task = sid(task), ?machine, ?note, "noted");
                host.noted(now, named.id, note);
            }
            _ => {}
        }
        true
    }

    fn node_probed(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        test: u64,
        message: &node::Message,
    ) {
        let Some((machine, _)) = self.tests.remove(&test) else {
            return;
        };
        self.due.retain(|(_, due)| *due != Due::Test(test));
        let ending = if message.cause == Some(1) {
            AttemptResult::Completed
        } else {
            AttemptResult::Error
        };
        host.probed(now, machine, ending, load(message));
    }

    fn named(
        &self,
        host: &mut Host<Placing>,
        origin: Origin,
        message: &node::Message,
    ) -> Option<Named> {
        let Origin {
            link,
            machine,
            task,
        } = origin;
        let id = host.find(&sid(task))?;
        let (placing, _) = host.own(id)?;
        let out = placing.out.filter(|out| out.machine == machine)?;
        let stands = placing.stage != Stage::Asked;
        // Where the connection of its set-up has ended, a node tells what concerns a task on any
        // that is open, be it one on which an attempt at the same task ended before. That
        // attempt's cause can only be its copy.
        let moved = stands && !out.link.is_some_and(|own| self.links.stands(own));
        let ended = placing.ended.iter().find(|(on, _)| *on == link);
        let of_this = moved
            && ended.is_some_and(|&(_, cause)| match message.message_type {
                node::MessageType::Close => message.cause != Some(cause),
                kind => kind == node::MessageType::Event,
            });
        Some(Named {
            id,
            out,
            stage: placing.stage,
            earlier: out.link != Some(link) && placing.links.contains(&link) && !of_this,
        })
    }

    fn node_closed(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        origin: Origin,
        named: Option<Named>,
        message: &node::Message,
    ) {
        let Origin {
            link,
            machine,
            task,
        } = origin;
        self.links
            .send(link, &node::Message::new(node::MessageType::Closed, task));
        let (code, load) = (message.cause.unwrap_or(0), load(message));
        let stage = named.as_ref().map(|named| named.stage);
        let note = message.attribute("note");
        debug!(
            task = sid(task),
            ?machine,
            code,
            ?stage,
            ?note,
            ?load,
            "closed by its node"
        );
        let Some(Named { id, out, stage, .. }) = named else {
            return self.keep_end(now, task, machine);
        };
        if stage != Stage::Asked {
            let ending = match code {
                16 => AttemptResult::Completed,
                31 => AttemptResult::Cancelled,
                _ => AttemptResult::Reset,
            };
            self.over(now, host, id, ending, reason(message), load);
            if matches!(code, 34 | 47 | 102) {
                // A refusal after an answer: its owner has been told that it is over, so it must
                // be.
                self.end_on(link, task);
            }
            return;
        }
        let ending = match code {
            34 => AttemptResult::Rejected,
            47 => AttemptResult::Error,
            102 => AttemptResult::NotSent,
            _ => AttemptResult::Reset,
        };
        if let Some((placing, _)) = host.own(id) {
            placing.out = None;
            placing.ended.push((link, code));
        }
        self.attempt_returned(now, id, out);
        let reason = reason(message);
        host.returned(now, id, out.number, ending, reason, false, load, self);
    }
}

fn note(message: &node::Message) -> Option<Metric> {
    let value = message.attribute("value").and_then(AttributeValue::number);
    Some(
        match (
            message.attribute("note").and_then(AttributeValue::text)?,
            value,
        ) {
            ("running", _) => Metric::Running,
            ("use_cpu", Some(value)) => Metric::Cores(value),
            ("use_ram", Some(value)) => Metric::Memory(value),
            ("health", Some(value)) => Metric::Served(value),
            ("ram_high", Some(value)) => Metric::MachineMemory(value),
            _ => return None,
        },
    )
}

fn load(message: &node::Message) -> Option<LoadReport> {
    let pairs = parse_load_report(message.attribute("load")?.text()?).ok()?;
    let value = |name| {
        pairs
            .iter()
            .find(|(other, _)| *other == name)
            .map(|&(_, value)| value)
    };
    Some(LoadReport {
        available: Resources {
            cores: value("x0")?,
            memory: value("x1")?,
        },
    })
}

fn reason(message: &node::Message) -> Option<ReturnReason> {
    Some(match message.attribute("note")?.text()? {
        "lack_cpu" => ReturnReason::NoCores,
        "lack_ram" => ReturnReason::NoMemory,
        "backlog" => ReturnReason::QueueFull,
        "unfit" => ReturnReason::Unfit,
        "killed" => ReturnReason::Evicted,
        "displaced" => ReturnReason::Preempted,
        "dismissed" => ReturnReason::Migrated,
        _ => return None,
    })
}
