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
const MAX_START_TIME: Ticks = 1 << 50;

struct Node {
    name: String,
    address: SocketAddr,
    started: u64,
    draining: bool,
    /// It takes no connection any longer.
    closed_to_connections: bool,
    /// Since when tasks stand there and no connection does.
    unreached_since: Option<Ticks>,
    tasks: BTreeSet<AllocationId>,
}

#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<MachineId, Node>,
}

/// What a change to the list comes to.
#[derive(Default)]
pub struct ListChange {
    pub entries: Vec<Endpoint>,
    /// It is the whole list: a node that it doesn't name has gone. Not so where an entry could not
    /// be read.
    pub complete: bool,
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

fn readable_entry(entry: &discovery::ListEntry) -> Option<&NodeEntry> {
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

    pub fn task_started(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.tasks.insert(id);
        }
    }

    pub fn task_left(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.tasks.remove(&id);
        }
    }

    pub fn tasks_on(&self, machine: MachineId) -> Vec<AllocationId> {
        self.nodes
            .get(&machine)
            .into_iter()
            .flat_map(|node| node.tasks.iter().copied())
            .collect()
    }

    pub fn has_tasks(&self, machine: MachineId) -> bool {
        self.nodes
            .get(&machine)
            .is_some_and(|node| !node.tasks.is_empty())
    }

    pub fn is_draining(&self, machine: MachineId) -> bool {
        self.nodes.get(&machine).is_some_and(|node| node.draining)
    }

    /// A connection was refused. True where that tells nothing of the tasks there: a node that
    /// drains stops listening while they run on.
    pub fn connection_refused(&mut self, machine: MachineId) -> bool {
        self.nodes.get_mut(&machine).is_some_and(|node| {
            node.closed_to_connections = node.draining;
            node.draining
        })
    }

    /// Those on which tasks stand and to which no connection stands, with the moment since when:
    /// nothing could be reached of them. The longest unreached first.
    pub fn unreached(
        &mut self,
        connected: impl Fn(MachineId) -> bool,
        now: Ticks,
    ) -> Vec<(Ticks, MachineId)> {
        let mut unreached = Vec::new();
        for (&id, node) in &mut self.nodes {
            let reached = node.tasks.is_empty() || node.closed_to_connections || connected(id);
            node.unreached_since = if reached {
                None
            } else {
                node.unreached_since.or(Some(now))
            };
            unreached.extend(node.unreached_since.map(|since| (since, id)));
        }
        unreached.sort();
        unreached
    }

    pub fn apply_list(&mut self, list: &NodeList, settings: &Facts) -> ListChange {
        let mut change = ListChange::default();
        let readable: Vec<&NodeEntry> = list.entries.iter().filter_map(readable_entry).collect();
        change.complete = list.complete && readable.len() == list.entries.len();
        if change.complete {
            let is_listed =
                |id: &MachineId| readable.iter().any(|member| machine(&member.id) == *id);
            change.gone = self
                .nodes
                .keys()
                .copied()
                .filter(|id| !is_listed(id))
                .collect();
        }
        for member in readable {
            let Some(entry) = self.entry(member, settings) else {
                warn!(
                    member.id,
                    "a node of a kind or in a place that the settings don't name is left out"
                );
                continue;
            };
            change.entries.push(entry);
            let id = entry.machine;
            if entry.state == MachineState::Removed {
                change.gone.push(id);
                continue;
            }
            let node = self.nodes.entry(id).or_insert_with(|| Node {
                name: member.id.clone(),
                address: member.address,
                started: member.up_since_ms,
                draining: false,
                closed_to_connections: false,
                unreached_since: None,
                tasks: BTreeSet::new(),
            });
            node.address = member.address;
            node.draining = entry.state == MachineState::Draining;
            node.closed_to_connections &= node.draining;
            if std::mem::replace(&mut node.started, member.up_since_ms) != member.up_since_ms {
                change
                    .restarted
                    .push((id, member.up_since_ms.saturating_mul(10)));
            }
        }
        change
    }

    pub fn retained_items(&self) -> usize {
        self.nodes.values().map(|node| 1 + node.tasks.len()).sum()
    }

    /// A node that has gone is forgotten once nothing stands there.
    pub fn remove_node(&mut self, machine: MachineId) {
        self.nodes.remove(&machine);
    }

    fn entry(&self, member: &NodeEntry, settings: &Facts) -> Option<Endpoint> {
        let id = machine(&member.id);
        let stranger = self
            .nodes
            .get(&id)
            .is_some_and(|node| node.name != member.id);
        Some(Endpoint {
            machine: id,
            machine_type: MachineTypeId(
                settings
                    .skus
                    .iter()
                    .position(|kind| *kind == member.machine_type)?,
            ),
            zone: ZoneId(
                settings
                    .zones
                    .iter()
                    .position(|zone| *zone == member.zone)?,
            ),
            cell: CellId(member.cell),
            state: match member.phase {
                Phase::Active => MachineState::Serving,
                Phase::Draining => MachineState::Draining,
                Phase::Gone => MachineState::Removed,
            },
            // No sum with a time that was readable may pass the end of the scale.
            started_at: (member.up_since_ms > 0)
                .then(|| member.up_since_ms.saturating_mul(10).min(MAX_START_TIME)),
            unreserved: member
                .unrequested
                .map(|(cores, memory)| Resources { cores, memory }),
        })
        .filter(|_| !stranger)
    }
}
