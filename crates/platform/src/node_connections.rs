//! The pool of connections to nodes.

use crate::descriptor_budget::CONNECTIONS_PER_HALF_CLOSED;
use crate::ids::{AttemptId, ConnectionId};
use crate::nodes::Nodes;
use crate::writer::{MessageQueue, MessageSender, message_queue};
use corkspan_platform_wire::node;
use corkspan_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of connections to one node.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// A connection to a node.
pub struct NodeConnection {
    pub machine: MachineId,
    pub to: MessageSender,
    established: bool,
    /// No further set-up is sent on it.
    draining: bool,
    pub open_attempts: BTreeSet<AllocationId>,
    last_used_at: Ticks,
}

/// Which connection may be closed to make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// One without which every node with tasks still has a connection.
    SpareOnly,
    /// Also the only one to a node with tasks, which is connected again when its turn comes.
    Any,
}

/// The connections to nodes, open and half-closed.
pub struct NodeConnections {
    connections: BTreeMap<ConnectionId, NodeConnection>,
    by_machine: BTreeMap<MachineId, BTreeSet<ConnectionId>>,
    /// Connections that are closed on our side only: their nodes may still have messages under way.
    half_closed: BTreeMap<ConnectionId, MachineId>,
    opened: u64,
    max_connections: usize,
    connect_timeout: Ticks,
    idle_timeout: Ticks,
    /// The queues of all connections that have been opened, for a test that stands in for their
    /// tasks.
    #[cfg(test)]
    pub opened_queues: Vec<(ConnectionId, MessageQueue)>,
}

impl NodeConnections {
    /// An empty pool. Connections idle for `idle_timeout` are closed.
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
            opened_queues: Vec::new(),
        }
    }

    /// The connections to a machine that set-ups may be sent on.
    pub fn available_to(&self, machine: MachineId) -> Vec<ConnectionId> {
        let connections = self.by_machine.get(&machine).into_iter().flatten().copied();
        connections
            .filter(|connection| !self.connections[connection].draining)
            .collect()
    }

    /// All connections to a machine, the draining ones among them.
    pub fn all_to(&self, machine: MachineId) -> Vec<ConnectionId> {
        self.by_machine
            .get(&machine)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// None where the pool or the node's part of it is full.
    pub fn open(&mut self, machine: MachineId, now: Ticks) -> Option<(ConnectionId, MessageQueue)> {
        if self.is_full() || self.is_node_full(machine) {
            return None;
        }
        self.opened += 1;
        let id = ConnectionId(self.opened);
        let (to, queue) = message_queue();
        #[cfg(test)]
        self.opened_queues.push((id, queue.second_receiver()));
        let open = BTreeSet::new();
        self.connections.insert(
            id,
            NodeConnection {
                machine,
                to,
                established: false,
                draining: false,
                open_attempts: open,
                last_used_at: now,
            },
        );
        self.by_machine.entry(machine).or_default().insert(id);
        Some((id, queue))
    }

    /// How long a new connection may take to be established.
    pub fn connect_timeout(&self) -> Ticks {
        self.connect_timeout
    }

    /// Whether no further connection may be opened at all.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Whether no further connection may be opened to this machine.
    pub fn is_node_full(&self, machine: MachineId) -> bool {
        self.by_machine.get(&machine).map_or(0, BTreeSet::len) >= MAX_CONNECTIONS_PER_NODE
    }

    /// Closes the connection that is missed the least: no attempt is open on it and it is not
    /// excepted. Of those that are the only one to a node with tasks it is the one longest unused,
    /// and none to a draining node, which may accept no other.
    pub fn evict(&mut self, nodes: &Nodes, except: &BTreeSet<ConnectionId>, eviction: Eviction) {
        let free = self.connections.iter().filter(|(id, connection)| {
            connection.established && connection.open_attempts.is_empty() && !except.contains(id)
        });
        let is_only_connection = |connection: &NodeConnection| {
            nodes.has_tasks(connection.machine) && self.available_to(connection.machine).len() < 2
        };
        let ranked = free.map(|(&id, connection)| {
            (
                is_only_connection(connection),
                connection.last_used_at,
                id,
                connection.machine,
            )
        });
        let may_evict = |is_only_connection: bool, machine| {
            !is_only_connection || eviction == Eviction::Any && !nodes.is_draining(machine)
        };
        let least_useful = ranked
            .filter(|&(is_only_connection, _, _, machine)| may_evict(is_only_connection, machine))
            .min();
        least_useful
            .into_iter()
            .for_each(|(_, _, id, _)| self.close(id));
    }

    /// Connections and attempts on them, for tests of what is retained.
    pub fn retained_items(&self) -> usize {
        let connections = self
            .connections
            .values()
            .map(|connection| 1 + connection.open_attempts.len());
        connections.sum::<usize>() + self.by_machine.len() + self.half_closed.len()
    }

    /// Open connections, and half-closed ones.
    #[cfg(test)]
    pub fn open_and_half_closed(&self) -> (usize, usize) {
        (self.connections.len(), self.half_closed.len())
    }

    /// The connection that was opened last.
    #[cfg(test)]
    pub fn newest(&self) -> ConnectionId {
        *self.connections.keys().next_back().expect("one is open")
    }

    /// Takes all connections as established.
    #[cfg(test)]
    pub fn establish_all(&mut self, now: Ticks) {
        self.connections
            .values_mut()
            .filter(|connection| !connection.established)
            .for_each(|connection| (connection.established, connection.last_used_at) = (true, now));
    }

    /// A connection without an open attempt, so that if it breaks nothing else breaks with it.
    pub fn find_idle(
        &self,
        machine: MachineId,
        now: Ticks,
        except: &[ConnectionId],
    ) -> Option<ConnectionId> {
        let others = self
            .available_to(machine)
            .into_iter()
            .filter(|id| !except.contains(id));
        let connections = others.map(|id| (id, &self.connections[&id]));
        let free = connections.filter(|(_, connection)| {
            connection.established
                && connection.open_attempts.is_empty()
                && connection.last_used_at + self.idle_timeout > now
        });
        free.max_by_key(|(_, connection)| connection.last_used_at)
            .map(|(id, _)| id)
    }

    /// The connection with the fewest open attempts.
    pub fn least_loaded(
        &self,
        machine: MachineId,
        except: &[ConnectionId],
    ) -> Option<ConnectionId> {
        self.available_to(machine)
            .into_iter()
            .filter(|id| !except.contains(id))
            .min_by_key(|id| self.connections[id].open_attempts.len())
    }

    /// An attempt has been sent on a connection.
    pub fn attempt_started(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.insert(allocation);
            connection.last_used_at = now;
        }
    }

    /// An attempt on a connection has returned.
    pub fn attempt_finished(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.remove(&allocation);
            connection.last_used_at = now;
        }
    }

    /// The connection is established.
    pub fn mark_established(&mut self, id: ConnectionId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            (connection.established, connection.last_used_at) = (true, now);
        }
    }

    /// Whether messages may be sent on the connection right away.
    pub fn is_established(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.established && !connection.draining)
    }

    /// Records that a message has arrived. The machine at the other end; none where the connection
    /// is closed.
    pub fn touch(&mut self, id: ConnectionId, now: Ticks) -> Option<MachineId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            return self.half_closed.get(&id).copied();
        };
        connection.last_used_at = now;
        Some(connection.machine)
    }

    /// Queues a message; false where the connection can't take it.
    pub fn send(&mut self, id: ConnectionId, message: &node::Message) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| {
            self.connections
                .get(&id)
                .is_some_and(|connection| connection.to.send(line))
        })
    }

    /// The same for a set-up.
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

    /// No further set-up is sent on the connection: it is closed once no attempt is open on it.
    pub fn drain(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.draining = true;
            if connection.open_attempts.is_empty() {
                self.close(id);
            }
        }
    }

    /// Half-closes the connection: once all is written our side is closed, and the node's messages
    /// are still read. A release that is under way already would otherwise arrive only on the next
    /// connection, which may not be opened for long while another one exists. Each keeps its
    /// descriptor, so their number is limited; beyond, both sides are closed.
    pub fn close(&mut self, id: ConnectionId) {
        let has_room = self.half_closed.len() < self.max_connections / CONNECTIONS_PER_HALF_CLOSED;
        let Some(connection) = self
            .remove(id)
            .filter(|connection| connection.established && has_room)
        else {
            return;
        };
        self.half_closed.insert(id, connection.machine);
        connection.to.half_close();
    }

    /// Takes out a connection that has ended or is to end at once.
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

    /// Closes all that have been idle for long, but keeps one to each machine that has tasks.
    pub fn close_idle(&mut self, now: Ticks, nodes: &Nodes) {
        let idle = |connection: &NodeConnection| {
            connection.open_attempts.is_empty()
                && (connection.draining || connection.last_used_at + self.idle_timeout <= now)
        };
        let ids: Vec<(ConnectionId, MachineId)> = self
            .connections
            .iter()
            .filter(|(_, connection)| idle(connection))
            .map(|(&id, connection)| (id, connection.machine))
            .collect();
        for (id, machine) in ids {
            if self.connections[&id].draining
                || !nodes.has_tasks(machine)
                || self.available_to(machine).len() > 1
            {
                self.close(id);
            }
        }
    }
}
