//! The connections to nodes.

use crate::descriptor_budget::CONNECTIONS_PER_HALF_CLOSED;
use crate::ids::{AttemptId, ConnectionId};
use crate::nodes::Nodes;
use crate::writer::{MessageQueue, MessageSender, message_queue};
use corkspan_platform_wire::node;
use corkspan_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Connections to one node at the most.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// A connection to a node.
pub struct NodeConnection {
    pub machine: MachineId,
    pub to: MessageSender,
    up: bool,
    /// No further set-up is to be sent on it.
    retired: bool,
    pub open_attempts: BTreeSet<AllocationId>,
    last_used_at: Ticks,
}

/// Whose place a new connection may take where as many as may be are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// That of one without which each node with tasks is still heard.
    SpareOnly,
    /// Also that of the only one to a node with tasks: it is heard again when its turn comes.
    Any,
}

pub struct NodeConnections {
    connections: BTreeMap<ConnectionId, NodeConnection>,
    by_machine: BTreeMap<MachineId, BTreeSet<ConnectionId>>,
    /// Connections that we close while their nodes may still have words under way on them.
    half_closed: BTreeMap<ConnectionId, MachineId>,
    opened: u64,
    max_connections: usize,
    connect_timeout: Ticks,
    idle_timeout: Ticks,
    /// The reading ends of all that have been opened, for a test that stands in for their tasks.
    #[cfg(test)]
    pub tapped: Vec<(ConnectionId, MessageQueue)>,
}

impl NodeConnections {
    pub fn new(max_connections: usize, connect_timeout: Ticks, idle_timeout: Ticks) -> Self {
        let (connections, by_machine, half_closed) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        NodeConnections {
            connections,
            by_machine,
            half_closed,
            opened: 0,
            max_connections,
            connect_timeout,
            idle_timeout,
            #[cfg(test)]
            tapped: Vec::new(),
        }
    }

    pub fn of(&self, machine: MachineId) -> Vec<ConnectionId> {
        let connections = self.by_machine.get(&machine).into_iter().flatten().copied();
        connections
            .filter(|connection| !self.connections[connection].retired)
            .collect()
    }

    /// Those that no further set-up is to be sent on among them.
    pub fn all_to(&self, machine: MachineId) -> Vec<ConnectionId> {
        self.by_machine
            .get(&machine)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// None where as many as may be are open.
    pub fn open(
        &mut self,
        machine: MachineId,
        now: Ticks,
    ) -> Option<(ConnectionId, MessageQueue, Ticks)> {
        if self.is_full() || self.is_crowded(machine) {
            return None;
        }
        self.opened += 1;
        let id = ConnectionId(self.opened);
        let (to, queue) = message_queue();
        #[cfg(test)]
        self.tapped.push((id, queue.tapped()));
        let open = BTreeSet::new();
        self.connections.insert(
            id,
            NodeConnection {
                machine,
                to,
                up: false,
                retired: false,
                open_attempts: open,
                last_used_at: now,
            },
        );
        self.by_machine.entry(machine).or_default().insert(id);
        Some((id, queue, self.connect_timeout))
    }

    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    pub fn is_crowded(&self, machine: MachineId) -> bool {
        self.by_machine.get(&machine).map_or(0, BTreeSet::len) >= MAX_CONNECTIONS_PER_NODE
    }

    /// Closes the connection that is missed the least: nothing is open on it or spared. Of those
    /// that alone lead to tasks the one longest unused, and none to a node that drains: it may
    /// take no other.
    pub fn evict(&mut self, nodes: &Nodes, except: &BTreeSet<ConnectionId>, eviction: Eviction) {
        let free = self.connections.iter().filter(|(id, connection)| {
            connection.up && connection.open_attempts.is_empty() && !except.contains(id)
        });
        let alone = |connection: &NodeConnection| {
            nodes.has_tasks(connection.machine) && self.of(connection.machine).len() < 2
        };
        let ranked = free.map(|(&id, connection)| {
            (
                alone(connection),
                connection.last_used_at,
                id,
                connection.machine,
            )
        });
        let may = |alone: bool, machine| {
            !alone || eviction == Eviction::Any && !nodes.is_draining(machine)
        };
        let least = ranked
            .filter(|&(alone, _, _, machine)| may(alone, machine))
            .min();
        least.into_iter().for_each(|(_, _, id, _)| self.close(id));
    }

    /// Of connections and what is open on them.
    pub fn retained_items(&self) -> usize {
        let connections = self
            .connections
            .values()
            .map(|connection| 1 + connection.open_attempts.len());
        connections.sum::<usize>() + self.by_machine.len() + self.half_closed.len()
    }

    /// Connections, and those that are heard out.
    #[cfg(test)]
    pub fn counts(&self) -> (usize, usize) {
        (self.connections.len(), self.half_closed.len())
    }

    #[cfg(test)]
    pub fn newest(&self) -> ConnectionId {
        *self.connections.keys().next_back().expect("one is open")
    }

    #[cfg(test)]
    pub fn all_up(&mut self, now: Ticks) {
        self.connections
            .values_mut()
            .filter(|connection| !connection.up)
            .for_each(|connection| (connection.up, connection.last_used_at) = (true, now));
    }

    /// One that nothing is open on, so that if it breaks nothing else breaks with it, and none of
    /// those given.
    pub fn find_idle(
        &self,
        machine: MachineId,
        now: Ticks,
        except: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let others = self
            .of(machine)
            .into_iter()
            .filter(|id| !except.contains(id));
        let connections = others.map(|id| (id, &self.connections[&id]));
        let free = connections.filter(|(_, connection)| {
            connection.up
                && connection.open_attempts.is_empty()
                && connection.last_used_at + self.idle_timeout > now
        });
        free.max_by_key(|(_, connection)| connection.last_used_at)
            .map(|(id, _)| id)
    }

    pub fn least_loaded(
        &self,
        machine: MachineId,
        except: &[ConnectionId],
    ) -> Option<ConnectionId> {
        self.of(machine)
            .into_iter()
            .filter(|id| !except.contains(id))
            .min_by_key(|id| self.connections[id].open_attempts.len())
    }

    pub fn attempt_started(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.insert(allocation);
            connection.last_used_at = now;
        }
    }

    pub fn attempt_finished(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.remove(&allocation);
            connection.last_used_at = now;
        }
    }

    pub fn established(&mut self, id: ConnectionId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.up, connection.last_used_at) = (true, now);
        }
    }

    pub fn is_established(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.up && !connection.retired)
    }

    /// The machine at its other end; none where the connection is done with.
    pub fn touch(&mut self, id: ConnectionId, now: Ticks) -> Option<MachineId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return self.half_closed.get(&id).copied();
        };
        connection.last_used_at = now;
        Some(connection.machine)
    }

    pub fn send(&mut self, id: ConnectionId, message: &node::Message) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| {
            self.connections
                .get(&id)
                .is_some_and(|connection| connection.to.send(line))
        })
    }

    pub fn send_set_up(
        &mut self,
        id: ConnectionId,
        attempt: AttemptId,
        message: &node::Message,
    ) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| {
            self.connections
                .get(&id)
                .is_some_and(|connection| connection.to.send_set_up(attempt, line))
        })
    }

    pub fn retire(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.retired = true;
            if connection.open_attempts.is_empty() {
                self.close(id);
            }
        }
    }

    /// Closes it once all is written, and hears its node out: a release that is under way already
    /// would else be told only on the next connection opened, which may be long in coming where
    /// another stands. So many at a time, since each keeps its descriptor; beyond, at once.
    pub fn close(&mut self, id: ConnectionId) {
        let room = self.half_closed.len() < self.max_connections / CONNECTIONS_PER_HALF_CLOSED;
        let Some(connection) = self.remove(id).filter(|connection| connection.up && room) else {
            return;
        };
        self.half_closed.insert(id, connection.machine);
        connection.to.half_close();
    }

    /// It has ended, or is to end at once.
    pub fn remove(&mut self, id: ConnectionId) -> Option<NodeConnection> {
        self.half_closed.remove(&id);
        let connection = self.connections.remove(&id)?;
        if let Some(connections) = self.by_machine.get_mut(&connection.machine) {
            connections.remove(&id);
            if connections.is_empty() {
                self.by_machine.remove(&connection.machine);
            }
        }
        Some(connection)
    }

    /// All that have been idle for long, but one to each machine that something stands on.
    pub fn close_idle(&mut self, now: Ticks, nodes: &Nodes) {
        let idle = |connection: &NodeConnection| {
            connection.open_attempts.is_empty()
                && (connection.retired || connection.last_used_at + self.idle_timeout <= now)
        };
        let ids: Vec<(ConnectionId, MachineId)> = self
            .connections
            .iter()
            .filter(|(_, connection)| idle(connection))
            .map(|(&id, connection)| (id, connection.machine))
            .collect();
        for (id, machine) in ids {
            if self.connections[&id].retired
                || !nodes.has_tasks(machine)
                || self.of(machine).len() > 1
            {
                self.close(id);
            }
        }
    }
}
