//! What nodes say.

use super::tasks::{Placing, Stage, sid};
use super::*;
use corkspan_platform_wire::node::Value;
use corkspan_platform_wire::{owner, report};
use tracing::debug;

impl Port {
    pub(super) fn node_said(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        link: LinkId,
        machine: MachineId,
        message: node::Message,
    ) -> bool {
        let Some(task) = message.sid else { return true };
        if message.kind == node::Kind::Probed {
            if let Some((machine, _)) = self.tests.remove(&task) {
                self.due.retain(|(_, due)| *due != Due::Test(task));
                let ending = if message.code == Some(1) {
                    Ending::Ended
                } else {
                    Ending::Error
                };
                host.probed(now, machine, ending, load(&message));
            }
            return true;
        }
        let found = host.find(&sid(task)).and_then(|id| {
            let (placing, _) = host.own(id)?;
            let out = placing.out.filter(|out| out.machine == machine)?;
            let stands = placing.stage != Stage::Asked;
            // Where the connection of its set-up has ended, a node tells what concerns a task on
            // any that is open, be it one on which an attempt at the same task ended
            // before. That attempt's cause can only be its copy.
            let moved = stands && !out.link.is_some_and(|own| self.links.stands(own));
            let ended = placing.ended.iter().find(|(on, _)| *on == link);
            let of_this = moved
                && ended.is_some_and(|&(_, cause)| match message.kind {
                    node::Kind::Close => message.code != Some(cause),
                    kind => kind == node::Kind::Event,
                });
            let earlier = out.link != Some(link) && placing.links.contains(&link) && !of_this;
            Some((id, out, placing.stage, earlier))
        });
        if found.is_some_and(|(_, _, _, earlier)| earlier) {
            // Of an earlier attempt there, which was withdrawn: what became of it says nothing of
            // this one.
            debug!(task = sid(task), ?machine, ?message.kind, "told of an earlier attempt");
            return true;
        }
        let found = found.map(|(id, out, stage, _)| (id, out, stage));
        match (message.kind, found) {
            (node::Kind::Ready, Some((id, out, Stage::Asked))) if out.link == Some(link) => {
                let Some(description) = message.text else {
                    return false;
                };
                self.ready(now, host, id, out, &description);
            }
            // One that was given up meanwhile: nobody waits for it.
            (node::Kind::Ready, None) => {
                let message = node::Message::new(node::Kind::Close, task);
                self.links
                    .send(link, &message.code(u32::from(owner::CAUSE_GIVEN_UP)));
            }
            (node::Kind::Close, found) => {
                self.links
                    .send(link, &node::Message::new(node::Kind::Closed, task));
                let (code, load) = (message.code.unwrap_or(0), load(&message));
                let (stage, note) = (found.map(|(_, _, stage)| stage), message.attr("note"));
                debug!(
                    task = sid(task),
                    ?machine,
                    code,
                    ?stage,
                    ?note,
                    ?load,
                    "closed by its node"
                );
                match found {
                    Some((id, out, Stage::Asked)) => {
                        let ending = match code {
                            34 => Ending::Refused,
                            47 => Ending::Error,
                            102 => Ending::NotSent,
                            _ => Ending::Reset,
                        };
                        if let Some((placing, _)) = host.own(id) {
                            placing.out = None;
                            placing.ended.push((link, code));
                        }
                        self.due.remove(&(out.until, Due::Attempt(id, out.number)));
                        out.link
                            .into_iter()
                            .for_each(|link| self.links.done(link, id, now));
                        host.returned(
                            now,
                            id,
                            out.number,
                            ending,
                            reason(&message),
                            false,
                            load,
                            self,
                        );
                    }
                    Some((id, _, _)) => {
                        let ending = match code {
                            16 => Ending::Ended,
                            31 => Ending::Cancelled,
                            _ => Ending::Reset,
                        };
                        self.over(now, host, id, ending, reason(&message), load);
                        if matches!(code, 34 | 47 | 102) {
                            // A refusal after an answer: its owner has been told that it is over,
                            // so it must be.
                            let message = node::Message::new(node::Kind::Close, task);
                            self.links
                                .send(link, &message.code(u32::from(owner::CAUSE_GIVEN_UP)));
                        }
                    }
                    None => self.keep_end(now, task, machine),
                }
            }
            (node::Kind::Closed, Some((id, _, Stage::Over))) => {
                self.over(now, host, id, Ending::Cancelled, None, None);
            }
            (node::Kind::Event, Some((id, _, Stage::Stands | Stage::Over))) => {
                let value = message.attr("value").and_then(Value::number);
                let note = match (message.attr("note").and_then(Value::text), value) {
                    (Some("running"), _) => Note::Runs,
                    (Some("use_cpu"), Some(value)) => Note::Cores(value),
                    (Some("use_ram"), Some(value)) => Note::Memory(value),
                    (Some("health"), Some(value)) => Note::Served(value),
                    (Some("ram_high"), Some(value)) => Note::MachineMemory(value),
                    _ => return true,
                };
                debug!(task = sid(task), ?machine, ?note, "noted");
                host.noted(now, id, note);
            }
            _ => {}
        }
        true
    }
}

fn load(message: &node::Message) -> Option<Report> {
    let pairs = report(message.attr("load")?.text()?).ok()?;
    let value = |name| {
        pairs
            .iter()
            .find(|(other, _)| *other == name)
            .map(|&(_, value)| value)
    };
    Some(Report {
        unused: Amount {
            cores: value("x0")?,
            memory: value("x1")?,
        },
    })
}

fn reason(message: &node::Message) -> Option<Reason> {
    Some(match message.attr("note")?.text()? {
        "lack_cpu" => Reason::NoCores,
        "lack_ram" => Reason::NoMemory,
        "backlog" => Reason::QueueFull,
        "unfit" => Reason::NotHere,
        "killed" => Reason::Evicted,
        "displaced" => Reason::PushedOut,
        "dismissed" => Reason::SentAway,
        _ => return None,
    })
}
