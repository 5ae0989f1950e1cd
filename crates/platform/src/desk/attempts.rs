//! Attempts: what is sent to nodes, the connections it goes on, and what nodes answer.

use super::*;

impl Port {
    /// Tells the node that a set-up is given up.
    pub(super) fn take_back(&mut self, id: AllocationId, out: Out, task: u64) {
        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
        if let Some(link) = out.link {
            let message = node::Message::new(node::Kind::Close, task).code(u32::from(owner::CAUSE_GIVEN_UP));
            self.links.done(link, id, self.now);
            if !self.links.take_back(link, task) {
                self.links.send(link, &message);
            }
        }
    }

    pub(super) fn timed_out(&mut self, now: Tenths, host: &mut Host<Placing>, id: AllocationId, shot: usize) {
        let Some((placing, _)) = host.own(id) else { return };
        let Some(out) = placing.out.filter(|out| out.number == shot && placing.stage != Stage::Stands) else {
            return;
        };
        placing.out = None;
        let task = placing.task;
        let up = out.link.is_some_and(|link| self.links.wrote(link));
        self.take_back(id, out, task);
        let ending = if up { Ending::TimedOut } else { Ending::Unconnected };
        host.returned(now, id, shot, ending, None, false, None, self);
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
        let link = self.links.of(machine).first().copied().or_else(|| self.open_link(machine, takes))?;
        self.links.send(link, message);
        Some(link)
    }

    /// Tasks may stand on more nodes than there may be connections, and none owns one. So where the table is full
    /// another gives way.
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
        tasks.spawn(links::run(desk, id, address, duration(within), inbox)).detach();
        Some(id)
    }

    /// What was open on a connection that has ended is told, and what stands on a dead machine.
    pub(super) fn drop_link(&mut self, now: Tenths, host: &mut Host<Placing>, id: LinkId, end: End) {
        let Some(link) = self.links.remove(id) else { return };
        debug!(?link.machine, ?end, open = link.open.len(), "a connection to a node has ended");
        let ending = if link.wrote { Ending::Reset } else { Ending::Unconnected };
        for allocation in link.open {
            let Some((placing, _)) = host.own(allocation) else { continue };
            let Some(out) = placing.out.take_if(|out| out.link == Some(id)) else { continue };
            self.due.retain(|(_, due)| *due != Due::Shot(allocation, out.number));
            host.returned(now, allocation, out.number, ending, None, false, None, self);
        }
        let tests: Vec<u64> =
            self.tests.iter().filter(|(_, (_, on))| *on == id).map(|(&test, _)| test).collect();
        for test in tests {
            self.tests.remove(&test);
            self.due.retain(|(_, due)| *due != Due::Test(test));
            host.probed(now, link.machine, Ending::Unconnected, None);
        }
        if end == End::Refused && self.nodes.refused(link.machine) {
            self.due.insert((now + UNREACHABLE, Due::Lost(link.machine)));
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
                let ending = if message.code == Some(1) { Ending::Ended } else { Ending::Error };
                host.probed(now, machine, ending, load(&message));
            }
            return true;
        }
        let found = host.find(&sid(task)).and_then(|id| {
            let (placing, _) = host.own(id)?;
            let out = placing.out.filter(|out| out.machine == machine)?;
            Some((id, out, placing.stage))
        });
        match (message.kind, found) {
            (node::Kind::Ready, Some((id, out, Stage::Asked))) if out.link == Some(link) => {
                let Some(description) = message.text else { return false };
                self.ready(now, host, id, out, &description);
            }
            // One that was given up meanwhile: nobody waits for it.
            (node::Kind::Ready, None) => {
                let message = node::Message::new(node::Kind::Close, task);
                self.links.send(link, &message.code(u32::from(owner::CAUSE_GIVEN_UP)));
            }
            (node::Kind::Close, found) => {
                self.links.send(link, &node::Message::new(node::Kind::Closed, task));
                let (code, load) = (message.code.unwrap_or(0), load(&message));
                let (stage, note) = (found.map(|(_, _, stage)| stage), message.attr("note"));
                debug!(task = sid(task), ?machine, code, ?stage, ?note, ?load, "closed by its node");
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
                        }
                        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
                        out.link.into_iter().for_each(|link| self.links.done(link, id, now));
                        host.returned(now, id, out.number, ending, reason(&message), false, load, self);
                    }
                    Some((id, _, _)) => {
                        let ending = match code {
                            16 => Ending::Ended,
                            31 => Ending::Cancelled,
                            _ => Ending::Reset,
                        };
                        self.over(now, host, id, ending, reason(&message), load);
                    }
                    None => self.keep_end(now, task, machine),
                }
            }
            (node::Kind::Closed, Some((id, _, Stage::Over))) => {
                self.over(now, host, id, Ending::Cancelled, None, None);
            }
            (node::Kind::Event, Some((id, _, _))) => {
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
        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
        out.link.into_iter().for_each(|link| self.links.done(link, id, now));
        if !host.placed(now, id, out.number, self) {
            return;
        }
        let Some((placing, _)) = host.own(id) else { return };
        if now >= placing.until {
            // The owner has given up: an answer now would be one too late.
            self.answer(placing, id, Stage::Over);
            let task = placing.task;
            self.cut(now, id, task, Some(out), u32::from(owner::CAUSE_GIVEN_UP));
            return host.finish(id);
        }
        self.answer(placing, id, Stage::Stands);
        placing.description = String::new();
        let (to, task) = (placing.owner, placing.task);
        self.nodes.stands(out.machine, id);
        debug!(task = sid(task), machine = ?out.machine, after = now - out.sent, "placed");
        self.say(to, Kind::Answer, task, &[(owner::DESCRIPTION, description.as_bytes())]);
    }
}

fn load(message: &node::Message) -> Option<Report> {
    let pairs = report(message.attr("load")?.text()?).ok()?;
    let value = |name| pairs.iter().find(|(other, _)| *other == name).map(|&(_, value)| value);
    Some(Report { unused: Amount { cores: value("x0")?, memory: value("x1")? } })
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
    fn send(&mut self, placing: &mut Placing, allocation: &Allocation, machine: MachineId, time_out: Tenths) {
        let (id, number) = (allocation.id, allocation.shots.len());
        let mut message = node::Message::new(node::Kind::Open, placing.task);
        let text = |text: &str| Value::Text(text.into());
        message.attrs.insert("class".into(), text(&placing.class));
        message.attrs.insert("key".into(), text(&placing.name));
        message.attrs.insert("left".into(), text(&(time_out / 10).to_string()));
        if let Some(mark) = &placing.mark {
            message.attrs.insert("idem".into(), text(mark));
        }
        message.text = Some(placing.description.clone());
        let free = self.links.free(machine, self.now);
        let link = free.or_else(|| self.open_link(machine, Takes::Any)).or_else(|| self.links.least(machine));
        let Some(link) = link.filter(|&link| self.links.send_set_up(link, placing.task, &message)) else {
            return self.deferred.push_back(Deferred::Returned(id, number, Ending::NotSent));
        };
        self.links.begin(link, id, self.now);
        placing.out = Some(Out { number, machine, link: Some(link), sent: self.now });
        self.due.insert((self.now + time_out, Due::Shot(id, number)));
        let Placing { task, class, name, description, .. } = placing;
        debug!(task = sid(*task), ?machine, number, class, name, description, time_out, "sent");
    }

    fn shed(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "shed");
            let cause = [owner::CAUSE_REFUSED];
            self.say(placing.owner, Kind::Release, placing.task, &[(owner::CAUSE, &cause)]);
        }
    }

    fn scrap(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "scrapped");
            let cause = [owner::CAUSE_FAILED];
            self.say(placing.owner, Kind::Release, placing.task, &[(owner::CAUSE, &cause)]);
        }
    }

    fn relocate(&mut self, placing: &mut Placing, allocation: &Allocation) {
        debug!(task = sid(placing.task), "moved away");
        if self.stood(placing) {
            self.say_over(placing.owner, Kind::Move, placing.task, &[]);
            self.due.insert((self.now + CUT_WITHIN, Due::Cut(allocation.id)));
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
            self.due.insert((self.now + TEST_WITHIN, Due::Test(self.last_test)));
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
