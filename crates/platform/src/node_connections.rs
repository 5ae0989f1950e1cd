//! The pool of connections to nodes.

mod reconnects;

use crate::descriptor_budget::CONNECTIONS_PER_HALF_CLOSED;
use crate::ids::{AttemptId, ConnectionId};
use crate::nodes::Nodes;
use crate::writer::{MessageQueue, MessageSender, message_queue};
use corkspan_platform_wire::node;
use corkspan_scheduler::interface::*;
use reconnects::Reconnects;
use std::collections::{BTreeMap, BTreeSet};
use tracing::debug;

/// The maximum number of connections to one node.
const MAX_CONNECTIONS_PER_NODE: usize = 24;

/// Time without a message on a connection that has an unanswered set-up, or that is to be closed,
/// after which it may be of no more use. Each time it passes, another connection is opened: a
/// release must reach its client within 8 s, although its node may have written it on this one.
const UNANSWERED_TIMEOUT: Ticks = 30_000;
/// Time after a close by the dispatcher in which the node learns of it.
const CLOSE_DELAY: Ticks = 5_000;
/// Time after which a requested connection that failed is opened again.
const RECONNECT_INTERVAL: Ticks = 10_000;
/// Time within which a connection must be established that is only opened to see whether its machine
/// is alive, unless the settings leave less.
const CHECK_CONNECT_TIMEOUT: Ticks = 2_500;
/// The maximum number of connections to one machine that are kept although they were only opened to
/// see whether it is alive, while nothing is heard from it.
const MAX_CHECKS_PER_NODE: usize = 4;

/// A connection to a node.
pub struct NodeConnection {
    pub machine: MachineId,
    pub sender: MessageSender,
    established: bool,
    /// The time since when no further set-up may be sent on the connection.
    draining_since: Option<Ticks>,
    /// The time since when nothing has arrived, if a set-up is unanswered or the connection is
    /// draining.
    silent_since: Option<Ticks>,
    /// Whether the connection was only opened to see whether its machine is alive, and has carried
    /// no set-up yet.
    is_check: bool,
    pub open_attempts: BTreeSet<AllocationId>,
    /// The time at which the connection was opened.
    pub opened_at: Ticks,
    last_used_at: Ticks,
}

impl NodeConnection {
    /// Returns whether no message that the dispatcher waits for is pending on the connection.
    fn is_idle(&self) -> bool {
        self.established && self.open_attempts.is_empty()
    }
}

/// Why the dispatcher closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// It is idle, or its descriptor is needed.
    Unused,
    /// The node did not answer on it in time, so what it has written may be lost.
    Unanswered,
}

/// A connection that only the dispatcher has closed. Messages of its node may still arrive.
#[derive(Clone, Copy, Debug)]
struct HalfClosedConnection {
    machine: MachineId,
    reason: CloseReason,
}

/// How a connection to a node has ended, as far as the node is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSide {
    /// The node has closed its side, so it writes nothing more.
    Closed,
    /// The node's side was still open, and what it wrote last is lost.
    Open,
    /// The connection was never established.
    NotEstablished,
}

/// A connection that was just established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstablishedConnection {
    pub machine: MachineId,
    /// Whether the connection was only opened to see whether the machine is alive.
    pub is_check: bool,
}

/// The connections that may be closed to make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Connections without which every node with tasks still has one.
    SpareOnly,
    /// Also the only connection to a node with tasks, which a later sweep connects again.
    Any,
}

/// The pool of open and half-closed connections to nodes.
pub struct NodeConnections {
    connections: BTreeMap<ConnectionId, NodeConnection>,
    by_machine: BTreeMap<MachineId, BTreeSet<ConnectionId>>,
    half_closed: BTreeMap<ConnectionId, HalfClosedConnection>,
    /// The time of the last message of each machine with an open connection.
    heard_at: BTreeMap<MachineId, Ticks>,
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
            heard_at: BTreeMap::new(),
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
                opened_at: now,
                last_used_at: now,
            },
        );
        self.by_machine.entry(machine).or_default().insert(id);
        Some((id, queue))
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

    /// Closes the least useful connection: one without an open attempt and not in `except`. A
    /// connection that is not the only one to a node with tasks is closed first, then a draining
    /// one, then the one unused the longest. The only connection to a draining node with tasks is
    /// kept, because that node may accept no other.
    pub fn evict(
        &mut self,
        nodes: &Nodes,
        except: &BTreeSet<ConnectionId>,
        eviction: Eviction,
        now: Ticks,
    ) {
        let idle = self
            .connections
            .iter()
            .filter(|(id, connection)| connection.is_idle() && !except.contains(id));
        let is_only_connection = |connection: &NodeConnection| {
            connection.draining_since.is_none()
                && nodes.has_tasks(connection.machine)
                && !self.has_several_available(connection.machine)
        };
        let ranked = idle.map(|(&id, connection)| {
            (
                is_only_connection(connection),
                connection.draining_since.is_none(),
                connection.last_used_at,
                id,
                connection.machine,
            )
        });
        let may_evict = |is_only_connection: bool, machine| {
            !is_only_connection || eviction == Eviction::Any && !nodes.is_draining(machine)
        };
        let least_useful = ranked
            .filter(|&(is_only_connection, .., machine)| may_evict(is_only_connection, machine))
            .min();
        if let Some((.., id, _)) = least_useful {
            self.close(id, CloseReason::Unused, now);
        }
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
            + self.heard_at.len()
            + self.reconnects.len()
    }

    /// Returns the numbers of open and half-closed connections.
    #[cfg(test)]
    pub fn open_and_half_closed(&self) -> (usize, usize) {
        (self.connections.len(), self.half_closed.len())
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
    /// the next one if the connection breaks.
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

    /// Records that an attempt on a connection has returned.
    pub fn attempt_finished(&mut self, id: ConnectionId, allocation: AllocationId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.open_attempts.remove(&allocation);
            connection.last_used_at = now;
            if connection.is_idle() && connection.draining_since.is_none() {
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

    /// Closes connections to a machine that were only opened to see whether it is alive, unless they
    /// are in `except`: those before its last message, and the oldest of many. A process that hangs
    /// has not accepted the others yet, and what it writes on them first must be read.
    pub fn close_earlier_checks(
        &mut self,
        machine: MachineId,
        except: &BTreeSet<ConnectionId>,
        now: Ticks,
    ) {
        let heard_at = self.heard_at.get(&machine).copied().unwrap_or(0);
        let available = self.available_to(machine).into_iter();
        let checks: Vec<ConnectionId> = available
            .filter(|id| self.connections[id].is_check && self.connections[id].established)
            .collect();
        let surplus = checks.len().saturating_sub(MAX_CHECKS_PER_NODE);
        for (index, &id) in checks.iter().enumerate().rev().skip(1) {
            let was_accepted = self.connections[&id].last_used_at < heard_at;
            if (was_accepted || index < surplus) && !except.contains(&id) {
                self.close(id, CloseReason::Unused, now);
            }
        }
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
            return self
                .half_closed
                .get(&id)
                .map(|connection| connection.machine);
        };
        connection.last_used_at = now;
        connection.silent_since = connection.silent_since.map(|_| now);
        self.heard_at.insert(connection.machine, now);
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
                .is_some_and(|connection| connection.sender.send_set_up(attempt, line))
        })
    }

    /// Stops sending set-ups on a connection on which the node did not answer in time. It is closed
    /// by [`NodeConnections::close_idle`].
    pub fn drain(&mut self, id: ConnectionId, now: Ticks) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.draining_since.get_or_insert(now);
            connection.silent_since.get_or_insert(now);
        }
    }

    /// Half-closes a connection: the dispatcher's side is closed once all messages are written, and
    /// the node's messages are still read. Otherwise a release that is already in transit would
    /// arrive only on the next connection, which may not be opened for a long time while another
    /// one exists. A half-closed connection keeps its descriptor, so their number is limited;
    /// beyond the limit both sides are closed at once.
    fn close(&mut self, id: ConnectionId, reason: CloseReason, now: Ticks) {
        let has_room = self.half_closed.len() < self.max_connections / CONNECTIONS_PER_HALF_CLOSED;
        debug!(
            connection = id.0,
            ?reason,
            has_room,
            "closing a connection to a node"
        );
        let Some(connection) = self.remove(id).filter(|connection| connection.established) else {
            return;
        };
        let machine = connection.machine;
        if has_room {
            self.half_closed
                .insert(id, HalfClosedConnection { machine, reason });
            connection.sender.half_close();
        } else {
            self.request_reconnect(machine, now + RECONNECT_INTERVAL);
        }
    }

    /// Requests a further connection to a machine: its node may have written a release on one that
    /// was of no more use, and writes it again on the next one.
    fn request_reconnect(&mut self, machine: MachineId, due_at: Ticks) {
        let newest = ConnectionId(self.opened);
        self.reconnects.request(machine, newest, due_at);
    }

    /// Handles the end of a connection, and requests another one if a message of its node may be
    /// lost. Returns `None` if the dispatcher had closed it.
    pub fn end(
        &mut self,
        id: ConnectionId,
        node_side: NodeSide,
        now: Ticks,
    ) -> Option<NodeConnection> {
        if let Some(HalfClosedConnection { machine, reason }) = self.half_closed.remove(&id) {
            match (node_side, reason) {
                (NodeSide::Closed, CloseReason::Unused) => {}
                (NodeSide::Closed, CloseReason::Unanswered) => self.request_reconnect(machine, now),
                _ => self.request_reconnect(machine, now + CLOSE_DELAY),
            }
            return None;
        }
        let connection = self.remove(id)?;
        let machine = connection.machine;
        match node_side {
            NodeSide::Closed => self.request_reconnect(machine, now),
            NodeSide::Open => self.request_reconnect(machine, now + CLOSE_DELAY),
            NodeSide::NotEstablished => self.reconnects.failed(machine, now + RECONNECT_INTERVAL),
        }
        Some(connection)
    }

    /// Requests further connections to the machines of connections that may be of no more use.
    pub fn check_unanswered(&mut self, now: Ticks) {
        let mut silent = Vec::new();
        for connection in self.connections.values_mut() {
            let since = connection.silent_since;
            if since.is_some_and(|since| since + UNANSWERED_TIMEOUT <= now) {
                connection.silent_since = Some(now);
                silent.push(connection.machine);
            }
        }
        for machine in silent {
            self.request_reconnect(machine, now);
        }
    }

    /// Returns the machines to which a further connection is due and none is being established,
    /// each with the time since when.
    pub fn due_reconnects(&self, now: Ticks) -> Vec<(MachineId, Ticks)> {
        let mut due = self.reconnects.due(now);
        due.retain(|&(machine, _)| !self.is_connecting(machine));
        due
    }

    /// Cancels the request for a further connection to a machine.
    pub fn cancel_reconnect(&mut self, machine: MachineId) {
        self.reconnects.cancel(machine);
    }

    /// Forgets a machine that is gone and has no connection.
    pub fn forget_machine(&mut self, machine: MachineId) {
        self.heard_at.remove(&machine);
        self.reconnects.cancel(machine);
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

    /// Closes the connections that are idle for too long, but keeps one to each machine with tasks.
    /// One that was only opened to see whether the machine is alive does not count as that one.
    pub fn close_idle(&mut self, now: Ticks, nodes: &Nodes) {
        let idle: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.open_attempts.is_empty())
            .map(|(&id, _)| id)
            .collect();
        for id in idle {
            if self.connections[&id].draining_since.is_some() {
                self.close_drained(id, now, nodes);
            } else {
                self.close_unused(id, now, nodes);
            }
        }
    }

    fn close_unused(&mut self, id: ConnectionId, now: Ticks, nodes: &Nodes) {
        let connection = &self.connections[&id];
        let is_unused = connection.last_used_at + self.idle_timeout <= now;
        let machine = connection.machine;
        if is_unused && (!nodes.has_tasks(machine) || self.has_ordinary_besides(id, machine)) {
            self.close(id, CloseReason::Unused, now);
        }
    }

    /// Closes a draining connection once its node has been heard since. A process that hangs may
    /// still write releases on it, which would be lost.
    fn close_drained(&mut self, id: ConnectionId, now: Ticks, nodes: &Nodes) {
        let connection = &self.connections[&id];
        let since = connection.draining_since.unwrap_or(now);
        let machine = connection.machine;
        let heard_at = self.heard_at.get(&machine);
        let is_responsive = heard_at.is_some_and(|at| *at > since);
        if is_responsive || !nodes.has_tasks(machine) || since + self.idle_timeout <= now {
            self.close(id, CloseReason::Unanswered, now);
        }
    }

    /// Returns whether a connection other than this one may carry set-ups to a machine, and was not
    /// only opened to see whether it is alive.
    fn has_ordinary_besides(&self, id: ConnectionId, machine: MachineId) -> bool {
        let mut available = self.available_to(machine).into_iter();
        available.any(|other| other != id && !self.connections[&other].is_check)
    }
}
