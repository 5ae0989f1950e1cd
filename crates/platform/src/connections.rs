//! The connections to nodes.

use crate::ids::{AttemptId, LinkId};
use crate::nodes::Nodes;
use crate::outbox::{Inbox, Outbox, outbox};
use crate::places::HEARD_OUT;
use corkspan_platform_wire::node;
use corkspan_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Connections to one node at the most.
const A_NODE: usize = 24;

/// A connection to a node.
pub struct Link {
    pub machine: MachineId,
    pub to: Outbox,
    up: bool,
    /// No further set-up is to be sent on it.
    retired: bool,
    pub open: BTreeSet<AllocationId>,
    used: Ticks,
}

/// Whose place a new connection may take where as many as may be are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Takes {
    /// That of one without which each node with tasks is still heard.
    Spare,
    /// Also that of the only one to a node with tasks: it is heard again when its turn comes.
    Any,
}

pub struct Links {
    links: BTreeMap<LinkId, Link>,
    by_machine: BTreeMap<MachineId, BTreeSet<LinkId>>,
    /// Connections that we close while their nodes may still have words under way on them.
    closing: BTreeMap<LinkId, MachineId>,
    opened: u64,
    most: usize,
    connect_within: Ticks,
    idle: Ticks,
    /// The reading ends of all that have been opened, for a test that stands in for their tasks.
    #[cfg(test)]
    pub tapped: Vec<(LinkId, Inbox)>,
}

impl Links {
    pub fn new(most: usize, connect_within: Ticks, idle: Ticks) -> Self {
        let (links, by_machine, closing) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Links {
            links,
            by_machine,
            closing,
            opened: 0,
            most,
            connect_within,
            idle,
            #[cfg(test)]
            tapped: Vec::new(),
        }
    }

    pub fn of(&self, machine: MachineId) -> Vec<LinkId> {
        let links = self.by_machine.get(&machine).into_iter().flatten().copied();
        links.filter(|link| !self.links[link].retired).collect()
    }

    /// Those that no further set-up is to be sent on among them.
    pub fn all_of(&self, machine: MachineId) -> Vec<LinkId> {
        self.by_machine
            .get(&machine)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// None where as many as may be are open.
    pub fn open(&mut self, machine: MachineId, now: Ticks) -> Option<(LinkId, Inbox, Ticks)> {
        if self.full() || self.crowded(machine) {
            return None;
        }
        self.opened += 1;
        let id = LinkId(self.opened);
        let (to, inbox) = outbox();
        #[cfg(test)]
        self.tapped.push((id, inbox.tapped()));
        let open = BTreeSet::new();
        self.links.insert(
            id,
            Link {
                machine,
                to,
                up: false,
                retired: false,
                open,
                used: now,
            },
        );
        self.by_machine.entry(machine).or_default().insert(id);
        Some((id, inbox, self.connect_within))
    }

    pub fn full(&self) -> bool {
        self.links.len() >= self.most
    }

    pub fn crowded(&self, machine: MachineId) -> bool {
        self.by_machine.get(&machine).map_or(0, BTreeSet::len) >= A_NODE
    }

    /// Closes the connection that is missed the least: nothing is open on it or spared. Of those
    /// that alone lead to tasks the one longest unused, and none to a node that drains: it may
    /// take no other.
    pub fn make_place(&mut self, nodes: &Nodes, spared: &BTreeSet<LinkId>, takes: Takes) {
        let free = self
            .links
            .iter()
            .filter(|(id, link)| link.up && link.open.is_empty() && !spared.contains(id));
        let alone = |link: &Link| nodes.holds(link.machine) && self.of(link.machine).len() < 2;
        let ranked = free.map(|(&id, link)| (alone(link), link.used, id, link.machine));
        let may = |alone: bool, machine| !alone || takes == Takes::Any && !nodes.leaves(machine);
        let least = ranked
            .filter(|&(alone, _, _, machine)| may(alone, machine))
            .min();
        least.into_iter().for_each(|(_, _, id, _)| self.close(id));
    }

    /// Of connections and what is open on them.
    pub fn kept(&self) -> usize {
        let links = self.links.values().map(|link| 1 + link.open.len());
        links.sum::<usize>() + self.by_machine.len() + self.closing.len()
    }

    /// Connections, and those that are heard out.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.links.len(), self.closing.len())
    }

    #[cfg(test)]
    pub fn newest(&self) -> LinkId {
        *self.links.keys().next_back().expect("one is open")
    }

    #[cfg(test)]
    pub fn all_up(&mut self, now: Ticks) {
        self.links
            .values_mut()
            .filter(|link| !link.up)
            .for_each(|link| (link.up, link.used) = (true, now));
    }

    /// One that nothing is open on, so that if it breaks nothing else breaks with it, and none of
    /// those given.
    pub fn free(&self, machine: MachineId, now: Ticks, but: &[LinkId]) -> Option<LinkId> {
        let others = self.of(machine).into_iter().filter(|id| !but.contains(id));
        let links = others.map(|id| (id, &self.links[&id]));
        let free = links
            .filter(|(_, link)| link.up && link.open.is_empty() && link.used + self.idle > now);
        free.max_by_key(|(_, link)| link.used).map(|(id, _)| id)
    }

    pub fn least(&self, machine: MachineId, but: &[LinkId]) -> Option<LinkId> {
        self.of(machine)
            .into_iter()
            .filter(|id| !but.contains(id))
            .min_by_key(|id| self.links[id].open.len())
    }

    pub fn begin(&mut self, id: LinkId, allocation: AllocationId, now: Ticks) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open.insert(allocation);
            link.used = now;
        }
    }

    pub fn done(&mut self, id: LinkId, allocation: AllocationId, now: Ticks) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open.remove(&allocation);
            link.used = now;
        }
    }

    pub fn up(&mut self, id: LinkId, now: Ticks) {
        if let Some(link) = self.links.get_mut(&id) {
            (link.up, link.used) = (true, now);
        }
    }

    pub fn stands(&self, id: LinkId) -> bool {
        self.links
            .get(&id)
            .is_some_and(|link| link.up && !link.retired)
    }

    /// The machine at its other end; none where the connection is done with.
    pub fn heard(&mut self, id: LinkId, now: Ticks) -> Option<MachineId> {
        let Some(link) = self.links.get_mut(&id) else {
            return self.closing.get(&id).copied();
        };
        link.used = now;
        Some(link.machine)
    }

    pub fn send(&mut self, id: LinkId, message: &node::Message) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| self.links.get(&id).is_some_and(|link| link.to.send(line)))
    }

    pub fn send_set_up(&mut self, id: LinkId, attempt: AttemptId, message: &node::Message) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| {
            self.links
                .get(&id)
                .is_some_and(|link| link.to.send_set_up(attempt, line))
        })
    }

    pub fn retire(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.retired = true;
            if link.open.is_empty() {
                self.close(id);
            }
        }
    }

    /// Closes it once all is written, and hears its node out: a release that is under way already
    /// would else be told only on the next connection opened, which may be long in coming where
    /// another stands. So many at a time, since each keeps its descriptor; beyond, at once.
    pub fn close(&mut self, id: LinkId) {
        let room = self.closing.len() < self.most / HEARD_OUT;
        let Some(link) = self.remove(id).filter(|link| link.up && room) else {
            return;
        };
        self.closing.insert(id, link.machine);
        link.to.hear_out();
    }

    /// It has ended, or is to end at once.
    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        self.closing.remove(&id);
        let link = self.links.remove(&id)?;
        if let Some(links) = self.by_machine.get_mut(&link.machine) {
            links.remove(&id);
            if links.is_empty() {
                self.by_machine.remove(&link.machine);
            }
        }
        Some(link)
    }

    /// All that have been idle for long, but one to each machine that something stands on.
    pub fn close_idle(&mut self, now: Ticks, nodes: &Nodes) {
        let idle =
            |link: &Link| link.open.is_empty() && (link.retired || link.used + self.idle <= now);
        let ids: Vec<(LinkId, MachineId)> = self
            .links
            .iter()
            .filter(|(_, link)| idle(link))
            .map(|(&id, link)| (id, link.machine))
            .collect();
        for (id, machine) in ids {
            if self.links[&id].retired || !nodes.holds(machine) || self.of(machine).len() > 1 {
                self.close(id);
            }
        }
    }
}
