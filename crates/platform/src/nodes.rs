//! The nodes by name and address, and what stands on them.

use corkspan_platform_wire::discovery::{self, NodeEntry, NodeList, Phase};
use corkspan_scheduler::interface::*;
use corkspan_settings::Facts;
use fnv::FnvHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use tracing::warn;

/// Some thousand years from now.
const LATEST: Ticks = 1 << 50;

struct Node {
    name: String,
    address: SocketAddr,
    started: u64,
    leaving: bool,
    /// It takes no connection any longer.
    shut: bool,
    /// Since when tasks stand there and no connection does.
    unheard: Option<Ticks>,
    standing: BTreeSet<AllocationId>,
}

#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<MachineId, Node>,
}

/// What a change to the list comes to.
#[derive(Default)]
pub struct Listed {
    pub entries: Vec<Endpoint>,
    /// It is the whole list: a node that it doesn't name has gone. Not so where an entry could not
    /// be read.
    pub whole: bool,
    pub gone: Vec<MachineId>,
    /// With the moment of the new start.
    pub restarted: Vec<(MachineId, Ticks)>,
}

/// The id of a node comes from its name alone, so that it is the same at every dispatcher.
fn machine(name: &str) -> MachineId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    MachineId((hash ^ hash >> 32) as u32)
}

fn readable(entry: &discovery::ListEntry) -> Option<&NodeEntry> {
    match entry {
        discovery::ListEntry::Node(member) => Some(member),
        discovery::ListEntry::Unreadable(what) => {
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
    pub fn unheard(
        &mut self,
        connected: impl Fn(MachineId) -> bool,
        now: Ticks,
    ) -> Vec<(Ticks, MachineId)> {
        let mut unheard = Vec::new();
        for (&id, node) in &mut self.nodes {
            let heard = node.standing.is_empty() || node.shut || connected(id);
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

    pub fn listed(&mut self, members: &NodeList, facts: &Facts) -> Listed {
        let mut listed = Listed::default();
        let told: Vec<&NodeEntry> = members.entries.iter().filter_map(readable).collect();
        listed.whole = members.complete && told.len() == members.entries.len();
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
            if entry.state == MachineState::Removed {
                listed.gone.push(id);
                continue;
            }
            let node = self.nodes.entry(id).or_insert_with(|| Node {
                name: member.id.clone(),
                address: member.address,
                started: member.up_since_ms,
                leaving: false,
                shut: false,
                unheard: None,
                standing: BTreeSet::new(),
            });
            node.address = member.address;
            node.leaving = entry.state == MachineState::Draining;
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

    fn entry(&self, member: &NodeEntry, facts: &Facts) -> Option<Endpoint> {
        let id = machine(&member.id);
        let stranger = self
            .nodes
            .get(&id)
            .is_some_and(|node| node.name != member.id);
        Some(Endpoint {
            machine: id,
            machine_type: MachineTypeId(
                facts
                    .skus
                    .iter()
                    .position(|kind| *kind == member.machine_type)?,
            ),
            zone: ZoneId(facts.zones.iter().position(|zone| *zone == member.zone)?),
            cell: CellId(member.cell),
            state: match member.phase {
                Phase::Active => MachineState::Serving,
                Phase::Draining => MachineState::Draining,
                Phase::Gone => MachineState::Removed,
            },
            // No sum with a time that was told may pass the end of the scale.
            started_at: (member.up_since_ms > 0)
                .then(|| member.up_since_ms.saturating_mul(10).min(LATEST)),
            unreserved: member
                .unrequested
                .map(|(cores, memory)| Resources { cores, memory }),
        })
        .filter(|_| !stranger)
    }
}
