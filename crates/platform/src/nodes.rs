//! The nodes by name and address, what stands on them, and the connections to them.

use crate::desk::{AttemptId, LinkId};
use crate::outbox::{Inbox, Outbox, outbox};
use crate::places::HEARD_OUT;
use corkspan::interface::*;
use corkspan_facts::Facts;
use corkspan_platform_wire::feed::{self, Member, Members, Phase};
use corkspan_platform_wire::node;
use fnv::FnvHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use tracing::warn;

/// Connections to one node at the most.
const A_NODE: usize = 24;

/// Some thousand years from now.
const LATEST: Tenths = 1 << 50;

struct Node {
    name: String,
    address: SocketAddr,
    started: u64,
    leaving: bool,
    /// It takes no connection any longer.
    shut: bool,
    /// Since when tasks stand there and no connection does.
    unheard: Option<Tenths>,
    standing: BTreeSet<AllocationId>,
}

#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<MachineId, Node>,
}

/// What a change to the list comes to.
#[derive(Default)]
pub struct Listed {
    pub entries: Vec<Entry>,
    /// It is the whole list: a node that it doesn't name has gone. Not so where an entry could not
    /// be read.
    pub whole: bool,
    pub gone: Vec<MachineId>,
    /// With the moment of the new start.
    pub restarted: Vec<(MachineId, Tenths)>,
}

/// The id of a node comes from its name alone, so that it is the same at every dispatcher.
fn machine(name: &str) -> MachineId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    MachineId((hash ^ hash >> 32) as u32)
}

fn readable(entry: &feed::Entry) -> Option<&Member> {
    match entry {
        feed::Entry::Member(member) => Some(member),
        feed::Entry::Unreadable(what) => {
            warn!(%what, "an entry of the list that can't be read is left out");
            None
        }
    }
}

impl Nodes {
    pub fn find(&self, name: &str) -> Option<MachineId> {
        let id = machine(name);
        self.nodes
            .get(&id)
            .filter(|node| node.name == name)
            .map(|_| id)
    }

    pub fn address(&self, machine: MachineId) -> Option<SocketAddr> {
        self.nodes.get(&machine).map(|node| node.address)
    }

    pub fn stands(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.standing.insert(id);
        }
    }

    pub fn stands_no_more(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.standing.remove(&id);
        }
    }

    pub fn standing(&self, machine: MachineId) -> Vec<AllocationId> {
        self.nodes
            .get(&machine)
            .into_iter()
            .flat_map(|node| node.standing.iter().copied())
            .collect()
    }

    pub fn holds(&self, machine: MachineId) -> bool {
        self.nodes
            .get(&machine)
            .is_some_and(|node| !node.standing.is_empty())
    }

    pub fn leaves(&self, machine: MachineId) -> bool {
        self.nodes.get(&machine).is_some_and(|node| node.leaving)
    }

    /// A connection was refused. True where that tells nothing of the tasks there: a node that
    /// drains stops listening while they run on.
    pub fn refused(&mut self, machine: MachineId) -> bool {
        self.nodes.get_mut(&machine).is_some_and(|node| {
            node.shut = node.leaving;
            node.leaving
        })
    }

    /// Those on which tasks stand and to which no connection stands, with the moment since when:
    /// nothing could be heard of them. The longest unheard first.
    pub fn unheard(&mut self, links: &Links, now: Tenths) -> Vec<(Tenths, MachineId)> {
        let mut unheard = Vec::new();
        for (&id, node) in &mut self.nodes {
            let heard = node.standing.is_empty() || node.shut || !links.of(id).is_empty();
            node.unheard = if heard {
                None
            } else {
                node.unheard.or(Some(now))
            };
            unheard.extend(node.unheard.map(|since| (since, id)));
        }
        unheard.sort();
        unheard
    }

    pub fn listed(&mut self, members: &Members, facts: &Facts) -> Listed {
        let mut listed = Listed::default();
        let told: Vec<&Member> = members.members.iter().filter_map(readable).collect();
        listed.whole = members.complete && told.len() == members.members.len();
        if listed.whole {
            let told = |id: &MachineId| told.iter().any(|member| machine(&member.id) == *id);
            listed.gone = self.nodes.keys().copied().filter(|id| !told(id)).collect();
        }
        for member in told {
            let Some(entry) = self.entry(member, facts) else {
                warn!(
                    member.id,
                    "a node of a kind or in a place that the settings don't name is left out"
                );
                continue;
            };
            listed.entries.push(entry);
            let id = entry.machine;
            if entry.state == State::Gone {
                listed.gone.push(id);
                continue;
            }
            let node = self.nodes.entry(id).or_insert_with(|| Node {
                name: member.id.clone(),
                address: member.host_port,
                started: member.up_since_ms,
                leaving: false,
                shut: false,
                unheard: None,
                standing: BTreeSet::new(),
            });
            node.address = member.host_port;
            node.leaving = entry.state == State::Draining;
            node.shut &= node.leaving;
            if std::mem::replace(&mut node.started, member.up_since_ms) != member.up_since_ms {
                listed
                    .restarted
                    .push((id, member.up_since_ms.saturating_mul(10)));
            }
        }
        listed
    }

    pub fn kept(&self) -> usize {
        self.nodes
            .values()
            .map(|node| 1 + node.standing.len())
            .sum()
    }

    /// A node that has gone is forgotten once nothing stands there.
    pub fn forget(&mut self, machine: MachineId) {
        self.nodes.remove(&machine);
    }

    fn entry(&self, member: &Member, facts: &Facts) -> Option<Entry> {
        let id = machine(&member.id);
        let stranger = self
            .nodes
            .get(&id)
            .is_some_and(|node| node.name != member.id);
        Some(Entry {
            machine: id,
            kind: KindId(facts.skus.iter().position(|kind| *kind == member.flavor)?),
            hall: HallId(
                facts
                    .zones
                    .iter()
                    .position(|zone| *zone == member.locality)?,
            ),
            cell: CellId(member.cell),
            state: match member.phase {
                Phase::Active => State::Serving,
                Phase::Leaving => State::Draining,
                Phase::Left => State::Gone,
            },
            // No sum with a time that was told may pass the end of the scale.
            started: (member.up_since_ms > 0)
                .then(|| member.up_since_ms.saturating_mul(10).min(LATEST)),
            unasked: member
                .unasked
                .map(|(cores, memory)| Amount { cores, memory }),
        })
        .filter(|_| !stranger)
    }
}

/// A connection to a node.
pub struct Link {
    pub machine: MachineId,
    pub to: Outbox,
    up: bool,
    /// No further set-up is to be sent on it.
    retired: bool,
    pub open: BTreeSet<AllocationId>,
    used: Tenths,
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
    connect_within: Tenths,
    idle: Tenths,
    /// The reading ends of all that have been opened, for a test that stands in for their tasks.
    #[cfg(test)]
    pub tapped: Vec<(LinkId, Inbox)>,
}

impl Links {
    pub fn new(most: usize, connect_within: Tenths, idle: Tenths) -> Self {
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
    pub fn open(&mut self, machine: MachineId, now: Tenths) -> Option<(LinkId, Inbox, Tenths)> {
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
    pub fn all_up(&mut self, now: Tenths) {
        self.links
            .values_mut()
            .filter(|link| !link.up)
            .for_each(|link| (link.up, link.used) = (true, now));
    }

    /// One that nothing is open on, so that if it breaks nothing else breaks with it, and none of
    /// those given.
    pub fn free(&self, machine: MachineId, now: Tenths, but: &[LinkId]) -> Option<LinkId> {
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

    pub fn begin(&mut self, id: LinkId, allocation: AllocationId, now: Tenths) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open.insert(allocation);
            link.used = now;
        }
    }

    pub fn done(&mut self, id: LinkId, allocation: AllocationId, now: Tenths) {
        if let Some(link) = self.links.get_mut(&id) {
            link.open.remove(&allocation);
            link.used = now;
        }
    }

    pub fn up(&mut self, id: LinkId, now: Tenths) {
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
    pub fn heard(&mut self, id: LinkId, now: Tenths) -> Option<MachineId> {
        let Some(link) = self.links.get_mut(&id) else {
            return self.closing.get(&id).copied();
        };
        link.used = now;
        Some(link.machine)
    }

    pub fn send(&mut self, id: LinkId, message: &node::Message) -> bool {
        let line = message.line();
        line.is_some_and(|line| self.links.get(&id).is_some_and(|link| link.to.send(line)))
    }

    pub fn send_set_up(&mut self, id: LinkId, attempt: AttemptId, message: &node::Message) -> bool {
        let line = message.line();
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
    pub fn close_idle(&mut self, now: Tenths, nodes: &Nodes) {
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
