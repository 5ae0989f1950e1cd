//! Connections to nodes: which one a message goes on, and what follows from the end of one.

use super::tasks::Placing;
use super::*;
use tracing::debug;

impl Port {
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
        let address = self.nodes.address(machine)?;
        if self.links.full() && !self.links.crowded(machine) {
            // One that a test is out on would count against its node.
            let tested: BTreeSet<LinkId> = self.tests.values().map(|&(_, link)| link).collect();
            self.links.make_place(&self.nodes, &tested, takes);
        }
        let (id, inbox, within) = self.links.open(machine, self.now)?;
        self.effects.connect(NewConnection {
            id,
            address,
            within,
            inbox,
        });
        Some(id)
    }

    /// What was open on a connection that has ended is told, and what stands on a dead machine.
    pub(super) fn drop_link(&mut self, now: Ticks, host: &mut Host<Placing>, id: LinkId, end: End) {
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
                AttemptResult::Reset
            } else {
                AttemptResult::ConnectFailed
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
            host.probed(now, link.machine, AttemptResult::ConnectFailed, None);
        }
        if end == End::Refused && self.nodes.refused(link.machine) {
            self.due
                .insert((now + UNREACHABLE, Due::Lost(link.machine)));
        } else if end == End::Refused {
            // The process is dead, and its tasks are cut.
            self.machine_lost(now, host, link.machine, Ticks::MAX);
        } else if self.links.of(link.machine).is_empty()
            && self.nodes.holds(link.machine)
            && end == End::Broke
        {
            // What stands there is told on the next connection.
            self.open_link(link.machine, Takes::Spare);
        }
    }
}
