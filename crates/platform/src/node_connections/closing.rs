//! Closes connections to nodes, and requests further ones where a message of a node may be lost.

use super::NodeConnections;
use super::connection::{CloseReason, HalfClosedConnection, NodeConnection, NodeSide};
use crate::descriptor_budget::CONNECTIONS_PER_HALF_CLOSED;
use crate::ids::ConnectionId;
use crate::nodes::Nodes;
use corkspan_scheduler::interface::{AllocationId, MachineId, Ticks};
use std::collections::BTreeSet;
use tracing::debug;

/// Time without a message on a connection that has an unanswered set-up, or that is to be closed,
/// after which it may be of no more use. Each time it passes, another connection is opened: a
/// release must reach its client within 8 s, although its node may have written it on this one.
const UNANSWERED_TIMEOUT: Ticks = 30_000;
/// Time after a close by the dispatcher in which the node learns of it.
const CLOSE_DELAY: Ticks = 5_000;
/// Time after which a requested connection that failed is opened again.
const RECONNECT_INTERVAL: Ticks = 10_000;
/// The maximum number of connections to one machine that are kept although they were only opened to
/// see whether it is alive, while nothing is heard from it.
const MAX_CHECKS_PER_NODE: usize = 4;

/// The connections that may be closed to make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// Connections without which every node with tasks still has one.
    SpareOnly,
    /// Also the only connection to this machine.
    SpareOrTo(MachineId),
    /// Also the only connection to a node with tasks, which a later sweep connects again.
    Any,
}

impl NodeConnections {
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
                && nodes.needs_connection(connection.machine)
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
        let may_evict_only_connection = |machine| match eviction {
            Eviction::SpareOnly => false,
            Eviction::SpareOrTo(replaced) => machine == replaced,
            Eviction::Any => !nodes.is_draining(machine),
        };
        let may_evict = |is_only_connection: bool, machine| {
            !is_only_connection || may_evict_only_connection(machine)
        };
        let least_useful = ranked
            .filter(|&(is_only_connection, .., machine)| may_evict(is_only_connection, machine))
            .min();
        if let Some((.., id, _)) = least_useful {
            self.close(id, CloseReason::Unused, now);
        }
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
        let last_message_at = self.last_message_at.get(&machine).copied().unwrap_or(0);
        let available = self.available_to(machine).into_iter();
        let checks: Vec<ConnectionId> = available
            .filter(|id| self.connections[id].is_check && self.connections[id].established)
            .collect();
        let surplus = checks.len().saturating_sub(MAX_CHECKS_PER_NODE);
        for (index, &id) in checks.iter().enumerate().rev().skip(1) {
            let was_accepted = self.connections[&id].last_used_at < last_message_at;
            if (was_accepted || index < surplus) && !except.contains(&id) {
                self.close(id, CloseReason::Unused, now);
            }
        }
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
    /// beyond the limit both sides are closed at once, and only what has arrived is read.
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
            self.reading_out.insert(id, machine);
            connection.sender.close_and_read_out();
            self.request_reconnect(machine, now + CLOSE_DELAY);
        }
    }

    /// Closes the connections to a machine at whose address there may be another process, that of
    /// `next`. Nothing more is written on them, and what has arrived is read as messages of `next`.
    /// Returns the open attempts by connection.
    pub fn close_to_former(
        &mut self,
        former: MachineId,
        next: MachineId,
        now: Ticks,
    ) -> Vec<(ConnectionId, BTreeSet<AllocationId>)> {
        let mut closed = Vec::new();
        for id in self.all_to(former) {
            let Some(connection) = self.remove(id) else {
                continue;
            };
            if connection.established {
                self.reading_out.insert(id, next);
                self.request_reconnect(next, now + CLOSE_DELAY);
            }
            connection.sender.discard_and_read_out();
            closed.push((id, connection.open_attempts));
        }
        closed
    }

    /// Requests a further connection to a machine: its node may have written a release on one that
    /// was of no more use, and writes it again on the next one.
    fn request_reconnect(&mut self, machine: MachineId, due_at: Ticks) {
        let newest = ConnectionId(self.opened);
        debug!(
            ?machine,
            after = newest.0,
            due_at,
            "another connection to a node is needed"
        );
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
        if self.reading_out.remove(&id).is_some() {
            return None;
        }
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

    /// Requests further connections to the machines of connections that may be of no more use. No further
    /// set-up is sent on those whose set-ups were withdrawn.
    pub fn check_unanswered(&mut self, now: Ticks) {
        let mut silent = Vec::new();
        for connection in self.connections.values_mut() {
            let since = connection.silent_since;
            if since.is_some_and(|since| since + UNANSWERED_TIMEOUT <= now) {
                connection.silent_since = Some(now);
                silent.push(connection.machine);
                if connection.is_of_use() {
                    connection.draining_since = Some(now);
                }
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
        self.last_message_at.remove(&machine);
        self.reconnects.cancel(machine);
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
        if is_unused && (!nodes.needs_connection(machine) || self.has_ordinary_besides(id, machine))
        {
            self.close(id, CloseReason::Unused, now);
        }
    }

    /// Closes a draining connection once its node has been heard since. A process that hangs may
    /// still write releases on it, which would be lost. The last connection to a draining node with
    /// tasks is kept, because that node may accept no other.
    fn close_drained(&mut self, id: ConnectionId, now: Ticks, nodes: &Nodes) {
        let connection = &self.connections[&id];
        let since = connection.draining_since.unwrap_or(now);
        let machine = connection.machine;
        let last_message_at = self.last_message_at.get(&machine);
        let is_responsive = last_message_at.is_some_and(|at| *at > since);
        if nodes.is_draining(machine)
            && nodes.needs_connection(machine)
            && self.all_to(machine).len() == 1
        {
            return;
        }
        if is_responsive || !nodes.needs_connection(machine) || since + self.idle_timeout <= now {
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
