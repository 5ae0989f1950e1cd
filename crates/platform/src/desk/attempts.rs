//! Attempts: what is sent to nodes, the connections it goes on, and what nodes answer.

use super::*;

impl Port {
    /// The first byte of a set-up is about to be written. False where that must not be any more:
    /// its owner has gone or its time is up, whatever waits to be handled before that is known.
    pub(super) fn begins(
        &mut self,
        now: Tenths,
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
                let message = node::Message::new(node::Kind::Close, task);
                self.links
                    .send(link, &message.code(u32::from(owner::CAUSE_GIVEN_UP)));
            }
        }
    }

    pub(super) fn timed_out(
        &mut self,
        now: Tenths,
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
            Ending::TimedOut
        } else {
            Ending::Unconnected
        };
        host.returned(now, id, number, ending, None, false, None, self);
        // It may be one that is open and will stay silent for good.
        if let Some(link) = out.link {
            self.links.retire(link);
        }
    }

    /// On the connection given, if it stands, else on any other to that machine.
    pub(super) fn tell_node(
        &mut self,
        machine: MachineId,
        link: Option<LinkId>,
        message: &node::Message,
        takes: Takes,
    ) -> Option<LinkId> {
        if let Some(link) = link.filter(|&link| self.links.stands(link)) {
            self.links.send(link, message);
            return Some(link);
        }
        let link = self
            .links
            .of(machine)
            .first()
            .copied()
            .or_else(|| self.open_link(machine, takes))?;
        self.links.send(link, message);
        Some(link)
    }

    /// Tasks may stand on more nodes than there may be connections, and none owns one. So where the
    /// table is full another gives way.
    pub(super) fn open_link(&mut self, machine: MachineId, takes: Takes) -> Option<LinkId> {
        let desk = self.desk.upgrade()?;
        let address = self.nodes.address(machine)?;
        if self.links.full() && !self.links.crowded(machine) {
            // One that a test is out on would count against its node.
            let tested: BTreeSet<LinkId> = self.tests.values().map(|&(_, link)| link).collect();
            self.links.make_place(&self.nodes, &tested, takes);
        }
        let (id, inbox, within) = self.links.open(machine, self.now)?;
        let tasks = Arc::clone(&desk.tasks);
        let places = Arc::clone(&self.node_places);
        tasks
            .spawn(links::run(
                desk,
                id,
                address,
                duration(within),
                inbox,
                places,
            ))
            .detach();
        Some(id)
    }

    /// What was open on a connection that has ended is told, and what stands on a dead machine.
    pub(super) fn drop_link(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: LinkId,
        end: End,
    ) {
        let Some(link) = self.links.remove(id) else {
            return;
        };
        debug!(?link.machine, ?end, open = link.open.len(), "a connection to a node has ended");
        if end == End::NotUp {
            // Where its node has gone another may have its address: what waits is not for that one.
            link.to.void();
        }
        for allocation in link.open {
            let Some((placing, _)) = host.own(allocation) else {
                continue;
            };
            let Some(out) = placing.out.take_if(|out| out.link == Some(id)) else {
                continue;
            };
            self.due
                .remove(&(out.until, Due::Attempt(allocation, out.number)));
            let ending = if out.left {
                Ending::Reset
            } else {
                Ending::Unconnected
            };
            host.returned(now, allocation, out.number, ending, None, false, None, self);
        }
        let tests: Vec<u64> = self
            .tests
            .iter()
            .filter(|(_, (_, on))| *on == id)
            .map(|(&test, _)| test)
            .collect();
        for test in tests {
            self.tests.remove(&test);
            self.due.retain(|(_, due)| *due != Due::Test(test));
            host.probed(now, link.machine, Ending::Unconnected, None);
        }
        if end == End::Refused && self.nodes.refused(link.machine) {
            self.due
                .insert((now + UNREACHABLE, Due::Lost(link.machine)));
        } else if end == End::Refused {
            // The process is dead, and its tasks are cut.
            self.machine_lost(now, host, link.machine, Tenths::MAX);
        } else if self.links.of(link.machine).is_empty()
            && self.nodes.holds(link.machine)
            && end == End::Broke
        {
            // What stands there is told on the next connection.
            self.open_link(link.machine, Takes::Spare);
        }
    }

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

    pub(super) fn ready(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: AllocationId,
        out: Out,
        description: &str,
    ) {
        self.due.remove(&(out.until, Due::Attempt(id, out.number)));
        out.link
            .into_iter()
            .for_each(|link| self.links.done(link, id, now));
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
                self.say(
                    to,
                    Kind::Release,
                    task,
                    &[(owner::CAUSE, &[owner::CAUSE_FAILED])],
                );
            }
            self.cut(now, id, task, Some(out), u32::from(owner::CAUSE_GIVEN_UP));
            return host.finish(id);
        }
        self.answer(placing, id, Stage::Stands);
        placing.description = String::new();
        let (to, task) = (placing.owner, placing.task);
        self.nodes.stands(out.machine, id);
        debug!(task = sid(task), machine = ?out.machine, after = now - out.sent, "placed");
        self.say(
            to,
            Kind::Answer,
            task,
            &[(owner::DESCRIPTION, description.as_bytes())],
        );
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

impl Wire<Placing> for Port {
    fn send(
        &mut self,
        placing: &mut Placing,
        allocation: &Allocation,
        machine: MachineId,
        time_out: Tenths,
    ) {
        let (id, number) = (allocation.id, allocation.shots.len());
        let mut message = node::Message::new(node::Kind::Open, placing.task);
        let text = |text: &str| Value::Text(text.into());
        message.attrs.insert("class".into(), text(&placing.class));
        message.attrs.insert("key".into(), text(&placing.name));
        message
            .attrs
            .insert("left".into(), text(&(time_out / 10).to_string()));
        if let Some(mark) = &placing.mark {
            message.attrs.insert("idem".into(), text(mark));
        }
        message.text = Some(placing.description.clone());
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
                .push_back(Deferred::Returned(id, number, Ending::NotSent));
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
        let Placing {
            task,
            class,
            name,
            description,
            ..
        } = placing;
        debug!(
            task = sid(*task),
            ?machine,
            number,
            class,
            name,
            description,
            time_out,
            "sent"
        );
    }

    fn shed(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "shed");
            let cause = [owner::CAUSE_REFUSED];
            self.say(
                placing.owner,
                Kind::Release,
                placing.task,
                &[(owner::CAUSE, &cause)],
            );
        }
    }

    fn scrap(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "scrapped");
            let cause = [owner::CAUSE_FAILED];
            self.say(
                placing.owner,
                Kind::Release,
                placing.task,
                &[(owner::CAUSE, &cause)],
            );
        }
    }

    fn relocate(&mut self, placing: &mut Placing, allocation: &Allocation) {
        debug!(task = sid(placing.task), "moved away");
        if self.stood(placing) {
            self.say_over(placing.owner, Kind::Move, placing.task, &[]);
            self.due
                .insert((self.now + CUT_WITHIN, Due::Cut(allocation.id)));
        }
    }

    fn lost(&mut self, _: &mut Placing, allocation: &Allocation) {
        self.deferred.push_back(Deferred::Lost(allocation.id));
    }

    fn probe(&mut self, machine: MachineId) {
        self.last_test = self.last_test.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let message = node::Message::new(node::Kind::Probe, self.last_test).code(0);
        if let Some(link) = self.tell_node(machine, None, &message, Takes::Spare) {
            self.tests.insert(self.last_test, (machine, link));
            self.due
                .insert((self.now + TEST_WITHIN, Due::Test(self.last_test)));
        }
    }

    fn watch_list(&mut self) {
        if let Some(desk) = self.desk.upgrade() {
            // Full: one is asked for already.
            let _ = desk.watches.try_send(());
        }
    }

    fn wake(&mut self, after: Tenths) {
        let at = self.now + after;
        self.host_wakes = Some(self.host_wakes.map_or(at, |other| other.min(at)));
    }
}
