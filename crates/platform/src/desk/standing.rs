//! What stands on nodes: its end, and the changes to the list of nodes.

use super::*;

impl Port {
    /// Has the node cut a task that stands.
    pub(super) fn cut(
        &mut self,
        now: Tenths,
        id: AllocationId,
        task: u64,
        out: Option<Out>,
        cause: u32,
    ) {
        if let Some(out) = out {
            let message = node::Message::new(node::Kind::Close, task).code(cause);
            self.tell_node(out.machine, out.link, &message, Takes::Any);
        }
        self.due.insert((now + CUT_WITHIN, Due::Cut(id)));
    }

    /// Tasks sent there before then are over.
    pub(super) fn machine_lost(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        machine: MachineId,
        before: Tenths,
    ) {
        for id in self.nodes.standing(machine) {
            let sent = host
                .own(id)
                .and_then(|(placing, _)| placing.out)
                .map_or(0, |out| out.sent);
            if sent < before {
                self.over(now, host, id, Ending::Reset, None, None);
            }
        }
    }

    /// What stood is over: its owner is told, where it is owed that.
    pub(super) fn over(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: AllocationId,
        ending: Ending,
        reason: Option<Reason>,
        report: Option<Report>,
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
        if self.stood(placing) && ending != Ending::Cancelled {
            let cause = if ending == Ending::Ended { 16 } else { 41 };
            self.say_over(to, Kind::Release, task, &[(owner::CAUSE, &[cause])]);
        }
        self.nodes.stands_no_more(out.machine, id);
        host.returned(now, id, out.number, ending, reason, true, report, self);
    }

    pub(super) fn keep_end(&mut self, now: Tenths, task: u64, machine: MachineId) {
        while self
            .ends
            .front()
            .is_some_and(|&(at, _, _)| self.ends.len() >= ENDS || at + ENDS_FOR <= now)
        {
            self.ends.pop_front();
        }
        self.ends.push_back((now, task, machine));
    }

    /// A change to the list of nodes, once each.
    pub(super) fn apply(&mut self, now: Tenths, host: &mut Host<Placing>, event: Event) {
        if event.n <= self.last_event {
            return;
        }
        self.last_event = event.n;
        let Some(members) = event.members else { return };
        let listed = self.nodes.listed(&members, &self.facts);
        let scope = if listed.whole {
            Scope::Whole
        } else {
            Scope::Changes
        };
        host.listed(scope, &listed.entries);
        for machine in listed.gone {
            info!(?machine, "a node has gone");
            self.machine_lost(now, host, machine, Tenths::MAX);
            for link in self.links.all_of(machine) {
                self.drop_link(now, host, link, End::NotUp);
            }
            self.nodes.forget(machine);
        }
        for (machine, started) in listed.restarted {
            self.machine_lost(now, host, machine, started);
        }
    }
}
