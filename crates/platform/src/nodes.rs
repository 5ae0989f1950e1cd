//! Records the nodes by name and address, and the tasks that run on them.

mod list_change;

use crate::gone_nodes::GoneNodes;
use crate::start_times::{StartTime, StartTimes};
use corkspan_platform_wire::discovery::{self, NodeEntry, NodeList, Phase};
use corkspan_scheduler::interface::*;
use corkspan_settings::Settings;
use fnv::FnvHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use tracing::warn;

pub use list_change::{ListChange, Replacement};

/// The maximum number of replaced nodes that are remembered until the list tells that they are gone.
const MAX_REPLACED: usize = 4_096;

struct Node {
    name: String,
    address: SocketAddr,
    /// The start time that the list tells, in milliseconds.
    started: u64,
    /// The start time by the dispatcher's clock; `None` if it is unknown.
    started_at: Option<StartTime>,
    draining: bool,
    /// Whether the node has refused a connection because it is draining.
    closed_to_connections: bool,
    /// The time since when the node has had tasks and no connection.
    unreached_since: Option<Ticks>,
    tasks: BTreeSet<AllocationId>,
    /// The tasks of which the node may have answered an attempt although no answer has arrived. It reports
    /// their ends like those of others.
    possible_tasks: BTreeSet<AllocationId>,
}

impl Node {
    fn new(member: &NodeEntry, started_at: Option<StartTime>) -> Node {
        Node {
            name: member.id.clone(),
            address: member.address,
            started: member.up_since_ms,
            started_at,
            draining: false,
            closed_to_connections: false,
            unreached_since: None,
            tasks: BTreeSet::new(),
            possible_tasks: BTreeSet::new(),
        }
    }

    /// Returns whether a connection to the node must be kept.
    fn needs_connection(&self) -> bool {
        !self.tasks.is_empty() || !self.possible_tasks.is_empty()
    }
}

/// The listed nodes.
#[derive(Default)]
pub struct Nodes {
    nodes: BTreeMap<MachineId, Node>,
    /// The nodes whose address another one has taken, and that the list has not told as gone yet,
    /// each with the entry that it must not come back with.
    replaced: BTreeMap<MachineId, ReplacedEntry>,
    gone: GoneNodes,
    start_times: StartTimes,
}

/// What the list told of a node before another one took its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReplacedEntry {
    address: SocketAddr,
    started: u64,
}

/// Returns the id of a node: a hash of its name alone, so that all dispatchers use the same id.
fn machine_id(name: &str) -> MachineId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    MachineId((hash ^ hash >> 32) as u32)
}

fn readable_entry(entry: &discovery::ListEntry) -> Option<&NodeEntry> {
    match entry {
        discovery::ListEntry::Node(member) => Some(member),
        discovery::ListEntry::Unreadable(entry) => {
            warn!(%entry, "skipping an unreadable entry of the node list");
            None
        }
    }
}

impl Nodes {
    /// Returns the id of the node with this name.
    pub fn find(&self, name: &str) -> Option<MachineId> {
        let id = machine_id(name);
        self.nodes
            .get(&id)
            .filter(|node| node.name == name)
            .map(|_| id)
    }

    /// Returns whether the node with this name has been listed and is gone.
    pub fn is_gone(&self, name: &str) -> bool {
        let id = machine_id(name);
        !self.nodes.contains_key(&id) && self.gone.contains(id)
    }

    /// Returns the address on which a node listens.
    pub fn address(&self, machine: MachineId) -> Option<SocketAddr> {
        self.nodes.get(&machine).map(|node| node.address)
    }

    /// Records that a task runs on a node.
    pub fn add_task(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.tasks.insert(id);
        }
    }

    /// Records that a task no longer runs on a node.
    pub fn remove_task(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.tasks.remove(&id);
        }
    }

    /// Returns the tasks that run on a node.
    pub fn tasks_on(&self, machine: MachineId) -> Vec<AllocationId> {
        self.nodes
            .get(&machine)
            .into_iter()
            .flat_map(|node| node.tasks.iter().copied())
            .collect()
    }

    /// Records that a task may run on a node that has not answered the attempt.
    pub fn add_possible_task(&mut self, machine: MachineId, id: AllocationId) {
        if let Some(node) = self.nodes.get_mut(&machine) {
            node.possible_tasks.insert(id);
        }
    }

    /// Keeps only the possible tasks for which `is_wanted` returns true.
    pub fn retain_possible_tasks(&mut self, mut is_wanted: impl FnMut(AllocationId) -> bool) {
        for node in self.nodes.values_mut() {
            node.possible_tasks.retain(|&id| is_wanted(id));
        }
    }

    /// Returns whether a connection to a node must be kept: tasks run on it, or may run.
    pub fn needs_connection(&self, machine: MachineId) -> bool {
        let node = self.nodes.get(&machine);
        node.is_some_and(Node::needs_connection)
    }

    /// Returns whether a node is draining, so that it accepts no new tasks.
    pub fn is_draining(&self, machine: MachineId) -> bool {
        self.nodes.get(&machine).is_some_and(|node| node.draining)
    }

    /// Records that a node has refused a connection. Returns true if its tasks may still run: a
    /// draining node stops listening while they continue.
    pub fn connection_refused(&mut self, machine: MachineId) -> bool {
        self.nodes.get_mut(&machine).is_some_and(|node| {
            node.closed_to_connections = node.draining;
            node.draining
        })
    }

    /// Returns whether a node has refused a connection because it is draining.
    pub fn is_closed_to_connections(&self, machine: MachineId) -> bool {
        let node = self.nodes.get(&machine);
        node.is_some_and(|node| node.closed_to_connections)
    }

    /// Returns the draining nodes that have refused a connection and on which tasks run.
    pub fn closed_to_connections_with_tasks(&self) -> Vec<MachineId> {
        let nodes = self.nodes.iter();
        let closed = nodes.filter(|(_, node)| node.closed_to_connections && !node.tasks.is_empty());
        closed.map(|(&id, _)| id).collect()
    }

    /// Returns the nodes that have tasks and no connection, each with the time since when, ordered
    /// by that time.
    pub fn unreached(
        &mut self,
        connected: impl Fn(MachineId) -> bool,
        now: Ticks,
    ) -> Vec<(Ticks, MachineId)> {
        let mut unreached = Vec::new();
        for (&id, node) in &mut self.nodes {
            let reached = !node.needs_connection() || node.closed_to_connections || connected(id);
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

    /// Applies a list and returns the changes.
    pub fn apply_list(&mut self, list: &NodeList, settings: &Settings, now: Ticks) -> ListChange {
        let known_before: BTreeSet<MachineId> = self.nodes.keys().copied().collect();
        let mut change = ListChange::default();
        let readable: Vec<&NodeEntry> = list.entries.iter().filter_map(readable_entry).collect();
        change.complete = list.complete && readable.len() == list.entries.len();
        if change.complete {
            change.gone = self.unlisted(&readable);
        }
        for member in readable {
            if self.is_replaced(member) {
                continue;
            }
            let started_at = self.started_at(member, !list.complete, now);
            let Some(endpoint) = self.to_endpoint(member, settings, started_at) else {
                warn!(
                    member.id,
                    "skipping a node whose machine type or zone is not in the settings"
                );
                continue;
            };
            change.endpoints.push(endpoint);
            let id = endpoint.machine;
            if endpoint.state == MachineState::Removed {
                change.gone.push(id);
                continue;
            }
            let new_node = || Node::new(member, started_at);
            let node = self.nodes.entry(id).or_insert_with(new_node);
            if std::mem::replace(&mut node.address, member.address) != member.address {
                change.moved.push(id);
            }
            node.draining = endpoint.state == MachineState::Draining;
            node.closed_to_connections &= node.draining;
            let is_changed =
                std::mem::replace(&mut node.started, member.up_since_ms) != member.up_since_ms;
            node.started_at = started_at;
            change
                .restarted
                .extend(started_at.filter(|_| is_changed).map(|at| (id, at)));
        }
        change.replaced = self.replacements(&known_before, now);
        change
            .replaced
            .retain(|replacement| !change.gone.contains(&replacement.former));
        self.remember_replaced(&change.replaced);
        change
    }

    /// Returns the start time of a listed node by the dispatcher's clock. It is converted once, so
    /// that it stays the same until the node restarts. `is_change` is false for a complete list, which
    /// tells of earlier starts too.
    fn started_at(&mut self, member: &NodeEntry, is_change: bool, now: Ticks) -> Option<StartTime> {
        let known = self.nodes.get(&machine_id(&member.id));
        if let Some(node) = known.filter(|node| node.started == member.up_since_ms) {
            return node.started_at;
        }
        let is_new = is_change && member.phase == Phase::Active;
        (member.up_since_ms > 0).then(|| self.start_times.convert(member.up_since_ms, now, is_new))
    }

    /// Returns the nodes that a complete list does not name.
    fn unlisted(&self, listed: &[&NodeEntry]) -> Vec<MachineId> {
        let is_listed = |id: &MachineId| listed.iter().any(|member| machine_id(&member.id) == *id);
        let all = self.nodes.keys().copied();
        all.filter(|id| !is_listed(id)).collect()
    }

    /// Returns whether an entry is about a node whose address another one has taken. The list may go
    /// on naming it until it tells that the node is gone.
    fn is_replaced(&mut self, member: &NodeEntry) -> bool {
        let id = machine_id(&member.id);
        let entry = ReplacedEntry {
            address: member.address,
            started: member.up_since_ms,
        };
        let is_replaced = self.replaced.get(&id) == Some(&entry);
        if member.phase == Phase::Gone || !is_replaced {
            self.replaced.remove(&id);
        }
        is_replaced && member.phase != Phase::Gone
    }

    fn remember_replaced(&mut self, replacements: &[Replacement]) {
        for replacement in replacements {
            let Some(node) = self.nodes.get(&replacement.former) else {
                continue;
            };
            let entry = ReplacedEntry {
                address: node.address,
                started: node.started,
            };
            if self.replaced.len() >= MAX_REPLACED {
                self.replaced.pop_first();
            }
            self.replaced.insert(replacement.former, entry);
        }
    }

    /// Returns the nodes whose address another one has taken: one that has started later, or one that
    /// the list names only now. Nodes that it has named together, without a time of their start, do
    /// not replace each other.
    fn replacements(&self, known_before: &BTreeSet<MachineId>, now: Ticks) -> Vec<Replacement> {
        let rank = |id: MachineId, node: &Node| (node.started, !known_before.contains(&id));
        let mut latest: BTreeMap<SocketAddr, (MachineId, &Node)> = BTreeMap::new();
        for (&id, node) in &self.nodes {
            let at_address = latest.entry(node.address).or_insert((id, node));
            if rank(id, node) > rank(at_address.0, at_address.1) {
                *at_address = (id, node);
            }
        }
        let mut replacements = Vec::new();
        for (&former, node) in &self.nodes {
            let Some(&(next, next_node)) = latest.get(&node.address) else {
                continue;
            };
            if rank(next, next_node) > rank(former, node) {
                replacements.push(Replacement {
                    former,
                    next,
                    started_at: next_node.started_at.unwrap_or(StartTime::at(now)),
                });
            }
        }
        replacements
    }

    /// Returns the number of nodes and tasks, for tests of retained state.
    pub fn retained_items(&self) -> usize {
        let tasks_of = |node: &Node| node.tasks.len() + node.possible_tasks.len();
        let nodes = self.nodes.values().map(|node| 1 + tasks_of(node));
        nodes.sum::<usize>() + self.replaced.len() + self.gone.len()
    }

    /// Removes a node that is gone.
    pub fn remove_node(&mut self, now: Ticks, machine: MachineId) {
        self.nodes.remove(&machine);
        self.gone.add(now, machine);
    }

    fn to_endpoint(
        &self,
        member: &NodeEntry,
        settings: &Settings,
        started_at: Option<StartTime>,
    ) -> Option<Endpoint> {
        let id = machine_id(&member.id);
        let name_differs = self
            .nodes
            .get(&id)
            .is_some_and(|node| node.name != member.id);
        Some(Endpoint {
            machine: id,
            machine_type: MachineTypeId(
                settings
                    .machine_types
                    .iter()
                    .position(|name| *name == member.machine_type)?,
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
            started_at: started_at.map(|time| time.latest),
            unreserved: member
                .unrequested
                .map(|(cores, memory)| Resources { cores, memory }),
        })
        .filter(|_| !name_differs)
    }
}
