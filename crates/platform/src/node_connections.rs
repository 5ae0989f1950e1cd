//! The pool of connections to nodes.

mod closing;
mod connection;
mod reconnects;

use crate::ids::{AttemptId, ConnectionId};
use crate::writer::{MessageQueue, message_queue};
use connection::HalfClosedConnection;
use corkspan_platform_wire::node;
use corkspan_scheduler::interface::*;
use reconnects::Reconnects;
use std::collections::{BTreeMap, BTreeSet};

pub use closing::Eviction;
pub use connection::{EstablishedConnection, NodeConnection, NodeSide};

/// The maximum number of connections to one node.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// Time within which a connection must be established that is only opened to see whether its machine
/// is alive, unless the settings leave less.
const CHECK_CONNECT_TIMEOUT: Ticks = 2_500;

/// The maximum number of connections to one machine that are being established to see whether it is
/// alive. The scheduler requests two shortly after each other.
const MAX_CONNECTING_CHECKS: usize = 2;

/// The pool of open and half-closed connections to nodes.
pub struct NodeConnections {
    connections: BTreeMap<ConnectionId, NodeConnection>,
    by_machine: BTreeMap<MachineId, BTreeSet<ConnectionId>>,
    half_closed: BTreeMap<ConnectionId, HalfClosedConnection>,
    /// The connections that are closed, and of which only what had arrived is still read, each with
    /// the machine of that. Their descriptors bound their number.
    reading_out: BTreeMap<ConnectionId, MachineId>,
    /// The time of the last message of each machine with an open connection.
    last_message_at: BTreeMap<MachineId, Ticks>,
    reconnects: Reconnects,
    opened: u64,
    max_connections: usize,
    connect_timeout: Ticks,
    idle_timeout: Ticks,
    /// The queues of all opened connections, for a test that replaces the connections' tasks.
    #[cfg(test)]
    pub opened_queues: Vec<(ConnectionId, MessageQueue)>,
}

impl NodeConnections {
    /// Creates an empty pool, which closes connections that are idle for `idle_timeout`.
    pub fn new(max_connections: usize, connect_timeout: Ticks, idle_timeout: Ticks) -> Self {
        let (connections, by_machine, half_closed) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        NodeConnections {
            connections,
            by_machine,
            half_closed,
            reading_out: BTreeMap::new(),
            last_message_at: BTreeMap::new(),
            reconnects: Reconnects::default(),
            opened: 0,
            max_connections,
            connect_timeout,
            idle_timeout,
            #[cfg(test)]
            opened_queues: Vec::new(),
        }
    }

    /// Returns the connections to a machine on which set-ups may be sent.
    pub fn available_to(&self, machine: MachineId) -> Vec<ConnectionId> {
        let connections = self.by_machine.get(&machine).into_iter().flatten().copied();
        connections
            .filter(|connection| self.connections[connection].draining_since.is_none())
            .collect()
    }

    /// Returns whether set-ups may be sent on more than one connection to a machine.
    fn has_several_available(&self, machine: MachineId) -> bool {
        let connections = self.by_machine.get(&machine).into_iter().flatten();
        let available = connections.filter(|id| self.connections[id].draining_since.is_none());
        available.take(2).count() == 2
    }

    /// Returns all connections to a machine, including draining ones.
    pub fn all_to(&self, machine: MachineId) -> Vec<ConnectionId> {
        self.by_machine
            .get(&machine)
            .into_iter()
            .flatten()
            .copied()
            .collect()
    }

    /// Returns whether a connection to a machine is established, including draining ones.
    pub fn has_established(&self, machine: MachineId) -> bool {
        let all = self.all_to(machine);
        all.iter().any(|id| self.connections[id].established)
    }

    /// Returns whether a connection to a machine, except the given ones, carries no message that the
    /// dispatcher waits for.
    pub fn has_idle(&self, machine: MachineId, except: &BTreeSet<ConnectionId>) -> bool {
        let all = self.by_machine.get(&machine).into_iter().flatten();
        let others = all.filter(|id| !except.contains(id));
        others
            .map(|id| &self.connections[id])
            .any(NodeConnection::is_idle)
    }

    /// Opens a connection. Returns none if the pool or the node's share of it is full.
    pub fn open(&mut self, machine: MachineId, now: Ticks) -> Option<(ConnectionId, MessageQueue)> {
        if self.is_full() || self.is_node_full(machine) {
            return None;
        }
        self.opened += 1;
        let id = ConnectionId(self.opened);
        let (sender, queue) = message_queue();
        #[cfg(test)]
        self.opened_queues.push((id, queue.second_receiver()));
        let open = BTreeSet::new();
        self.connections.insert(
            id,
            NodeConnection {
                machine,
                sender,
                established: false,
                draining_since: None,
                silent_since: None,
                is_check: false,
                open_attempts: open,
                last_used_at: now,
            },
        );
        self.by_machine.entry(machine).or_default().insert(id);
        Some((id, queue))
    }

    /// Returns the time of the last message of a machine.
    pub fn last_message_at(&self, machine: MachineId) -> Option<Ticks> {
        self.last_message_at.get(&machine).copied()
    }

    /// Returns the time within which a new connection must be established.
    pub fn connect_timeout(&self) -> Ticks {
        self.connect_timeout
    }

    /// Returns the time within which a connection must be established that is only opened to see
    /// whether its machine is alive.
    pub fn check_connect_timeout(&self) -> Ticks {
        self.connect_timeout.min(CHECK_CONNECT_TIMEOUT)
    }

    /// Returns whether the pool is full.
    pub fn is_full(&self) -> bool {
        self.connections.len() >= self.max_connections
    }

    /// Returns whether the maximum number of connections to a machine is reached.
    pub fn is_node_full(&self, machine: MachineId) -> bool {
        self.by_machine.get(&machine).map_or(0, BTreeSet::len) >= MAX_CONNECTIONS_PER_NODE
    }

    /// Returns the number of connections and open attempts, for tests of retained state.
    pub fn retained_items(&self) -> usize {
        let connections = self
            .connections
            .values()
            .map(|connection| 1 + connection.open_attempts.len());
        connections.sum::<usize>()
            + self.by_machine.len()
            + self.half_closed.len()
            + self.reading_out.len()
            + self.last_message_at.len()
            + self.reconnects.len()
    }

    /// Returns the numbers of open and half-closed connections.
    #[cfg(test)]
    pub fn open_and_half_closed(&self) -> (usize, usize) {
        (self.connections.len(), self.half_closed.len())
    }

    /// Returns the machine of an open connection.
    #[cfg(test)]
    pub fn machine(&self, id: ConnectionId) -> Option<MachineId> {
        Some(self.connections.get(&id)?.machine)
    }

    /// Returns the connection that was opened last.
    #[cfg(test)]
    pub fn newest(&self) -> ConnectionId {
        *self.connections.keys().next_back().expect("one is open")
    }

    /// Records all connections as established.
    #[cfg(test)]
    pub fn establish_all(&mut self, now: Ticks) {
        let connections = self.connections.iter();
        let connecting: Vec<ConnectionId> = connections
            .filter(|(_, connection)| !connection.established)
            .map(|(&id, _)| id)
            .collect();
        for id in connecting {
            self.mark_established(id, now);
        }
    }

    /// Returns an established connection without open attempts, so that no other attempt fails with
    /// the next one if the connection breaks, and without an attempt that was never answered.
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
            connection.is_of_use()
                && connection.silent_since.is_none()
                && connection.last_used_at + self.idle_timeout > now
        });
        free.max_by_key(|(_, connection)| connection.last_used_at)
            .map(|(id, _)| id)
    }

    /// Returns the connection with the fewest open attempts.
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

    /// Records that an attempt has been sent on a connection.
    pub fn attempt_started(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.insert(allocation);
            connection.is_check = false;
            connection.last_used_at = now;
            connection.silent_since.get_or_insert(now);
        }
    }

    /// Records that an attempt that was written on a connection has been withdrawn. Its node may not have
    /// answered because the connection is of no more use, so it counts as silent until something arrives.
    pub fn attempt_withdrawn(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.remove(&allocation);
            connection.last_used_at = now;
        }
    }

    /// Records that a node has answered an attempt on a connection, or that it was never written.
    pub fn attempt_finished(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.remove(&allocation);
            connection.last_used_at = now;
            if connection.is_of_use() {
                connection.silent_since = None;
            }
        }
    }

    /// Records that a connection is established. Returns `None` if it was closed in the meantime.
    pub fn mark_established(
        &mut self,
        id: ConnectionId,
        now: Ticks,
    ) -> Option<EstablishedConnection> {
        let connection = self.connections.get_mut(&id)?;
        (connection.established, connection.last_used_at) = (true, now);
        let (machine, is_check) = (connection.machine, connection.is_check);
        self.reconnects.established(machine, id);
        Some(EstablishedConnection { machine, is_check })
    }

    /// Records that a connection is only opened to see whether its machine is alive.
    pub fn mark_check(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_check = true;
        }
    }

    /// Returns whether a connection to a machine is being established.
    pub fn is_connecting(&self, machine: MachineId) -> bool {
        let connections = self.available_to(machine);
        connections
            .iter()
            .any(|id| !self.connections[id].established)
    }

    /// Returns whether another connection may be opened to see whether a machine is alive.
    pub fn may_open_check(&self, machine: MachineId) -> bool {
        let connections = self.by_machine.get(&machine).into_iter().flatten();
        let checks = connections
            .map(|id| &self.connections[id])
            .filter(|connection| connection.is_check && !connection.established);
        checks.count() < MAX_CONNECTING_CHECKS
    }

    /// Returns whether a connection is established and has not ended, even if it is draining.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.established)
    }

    /// Returns whether messages may be sent on the connection at once.
    pub fn is_established(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.established && connection.draining_since.is_none())
    }

    /// Records that a message has arrived. Returns the machine at the other end, or none if the
    /// connection is closed.
    pub fn touch(&mut self, id: ConnectionId, now: Ticks) -> Option<MachineId> {
        let Some(connection) = self.connections.get_mut(&id) else {
            let half_closed = self.half_closed.get(&id);
            return half_closed
                .map(|connection| connection.machine)
                .or_else(|| self.reading_out.get(&id).copied());
        };
        connection.last_used_at = now;
        connection.silent_since = if connection.is_of_use() {
            None
        } else {
            connection.silent_since.map(|_| now)
        };
        self.last_message_at.insert(connection.machine, now);
        Some(connection.machine)
    }

    /// Queues a message. Returns false if the connection can't take it.
    pub fn send(&mut self, id: ConnectionId, message: &node::Message) -> bool {
        let line = message.to_line();
        line.is_some_and(|line| {
            self.connections
                .get(&id)
                .is_some_and(|connection| connection.sender.send(line))
        })
    }

    /// Queues a set-up. Returns false if the connection can't take it.
    pub fn send_set_up(&mut self, id: ConnectionId, attempt: AttemptId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.sender.send_set_up(attempt))
    }

    /// Removes an open connection.
    fn remove(&mut self, id: ConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&id)?;
        if let Some(connections) = self.by_machine.get_mut(&connection.machine) {
            connections.remove(&id);
            if connections.is_empty() {
                self.by_machine.remove(&connection.machine);
            }
        }
        Some(connection)
    }
}
