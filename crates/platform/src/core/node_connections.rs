//! Selects or opens the connection for a message to a node, and handles the end of a connection.

use super::pending_task::{ActiveAttempt, PendingTask, task_key};
use super::*;
use corkspan_engine::ReturnedAttempt;
use tracing::debug;

impl PlatformState {
    /// Sends a message on the given connection if it is established, else on any other to the
    /// machine, which is opened if there is none. Returns the connection used.
    pub(super) fn send_to_node(
        &mut self,
        machine: MachineId,
        connection: Option<ConnectionId>,
        message: &node::Message,
        eviction: Eviction,
    ) -> Option<ConnectionId> {
        if let Some(connection) =
            connection.filter(|&connection| self.connections.is_established(connection))
        {
            self.connections.send(connection, message);
            return Some(connection);
        }
        let connection = self
            .connections
            .available_to(machine)
            .first()
            .copied()
            .or_else(|| self.open_connection(machine, eviction))?;
        self.connections.send(connection, message);
        Some(connection)
    }

    /// Opens a connection. Tasks may run on more nodes than the pool has connections, so another
    /// connection is closed if the pool is full.
    pub(super) fn open_connection(
        &mut self,
        machine: MachineId,
        eviction: Eviction,
    ) -> Option<ConnectionId> {
        let connect_timeout = self.connections.connect_timeout();
        self.open_connection_within(machine, eviction, connect_timeout)
    }

    /// Opens a connection only to see whether its machine is alive, unless several such are being
    /// established.
    pub(super) fn open_check_connection(&mut self, machine: MachineId, eviction: Eviction) {
        if !self.connections.may_open_check(machine) {
            return;
        }
        let connect_timeout = self.connections.check_connect_timeout();
        let connection = self.open_connection_within(machine, eviction, connect_timeout);
        if let Some(connection) = connection {
            self.connections.mark_check(connection);
        }
    }

    fn open_connection_within(
        &mut self,
        machine: MachineId,
        eviction: Eviction,
        connect_timeout: Ticks,
    ) -> Option<ConnectionId> {
        let address = self.nodes.address(machine)?;
        if self.connections.is_full() && !self.connections.is_node_full(machine) {
            let with_health_check = self.connections_with_health_check();
            self.connections
                .evict(&self.nodes, &with_health_check, eviction, self.now);
        }
        let (id, queue) = self.connections.open(machine, self.now)?;
        debug!(
            ?machine,
            connection = id.0,
            "opening a connection to a node"
        );
        self.effects.connect(NewConnection {
            id,
            address,
            connect_timeout,
            queue,
        });
        Some(id)
    }

    /// Handles a connection that is established, which shows that its machine is alive.
    pub(super) fn connection_established(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ConnectionId,
    ) {
        debug!(connection = id.0, "a connection to a node is established");
        let Some(established) = self.connections.mark_established(id, now) else {
            return;
        };
        engine.record_connection(now, established.machine, ConnectionResult::Answered);
        if established.is_check {
            let kept = self.connections_with_health_check();
            self.connections
                .close_earlier_checks(established.machine, &kept, now);
        }
    }

    /// Handles the end of a connection: its attempts and health checks fail, and if the machine is
    /// dead its tasks are lost.
    pub(super) fn remove_connection(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ConnectionId,
        end: ConnectionEnd,
    ) {
        let Some(connection) = self.connections.end(id, end.node_side(), now) else {
            return;
        };
        debug!(?connection.machine, connection = id.0, ?end, open = connection.open_attempts.len(), "a connection to a node has ended");
        if let ConnectionEnd::ConnectTimeout { attempted_at } = end {
            engine.record_connection(
                now,
                connection.machine,
                ConnectionResult::Failed { attempted_at },
            );
        }
        if matches!(
            end,
            ConnectionEnd::ConnectTimeout { .. } | ConnectionEnd::NotAttempted
        ) {
            // If the node is gone, another one may have its address and must not receive the queued
            // messages.
            connection.sender.discard();
        }
        self.fail_attempts(now, engine, id, connection.open_attempts);
        self.fail_health_checks(now, engine, id, connection.machine);
        if end == ConnectionEnd::Refused {
            debug!(
                ?connection.machine,
                draining = self.nodes.is_draining(connection.machine),
                established = self.connections.has_established(connection.machine),
                "a connection to a node was refused"
            );
            self.connection_refused(now, engine, connection.machine);
        } else if self.connections.available_to(connection.machine).is_empty()
            && self.nodes.needs_connection(connection.machine)
            && matches!(end, ConnectionEnd::Broken | ConnectionEnd::Closed)
        {
            // The node reports the ends of its tasks on the next connection.
            self.open_connection(connection.machine, Eviction::SpareOnly);
        }
    }

    /// Handles a refused connection. If the process were dead, its connections would have been
    /// reset, so nothing is concluded while one is open: a node that drains refuses new ones before
    /// the list says so.
    fn connection_refused(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        machine: MachineId,
    ) {
        engine.record_connection(now, machine, ConnectionResult::Answered);
        let is_draining = self.nodes.connection_refused(machine);
        if self.connections.has_established(machine) {
            return;
        }
        if is_draining {
            self.timers
                .insert((now + UNREACHABLE_TIMEOUT, Timer::Unreachable(machine)));
            // It may have died right after its last message.
            if let Some(heard_at) = self.connections.last_message_at(machine) {
                let lost_at = (heard_at + 1 + UNREACHABLE_TIMEOUT).max(now);
                self.timers.insert((lost_at, Timer::Unreachable(machine)));
            }
        } else {
            // The process is dead, and its tasks died with it.
            self.machine_lost(now, engine, machine, Ticks::MAX);
        }
    }

    /// Fails the attempts on a connection that has ended.
    pub(super) fn fail_attempts(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        connection: ConnectionId,
        attempts: BTreeSet<AllocationId>,
    ) {
        for allocation in attempts {
            let Some((pending, _)) = engine.data_mut(allocation) else {
                continue;
            };
            let is_on_connection =
                |active: &mut ActiveAttempt| active.connection == Some(connection);
            let Some(active) = pending.active.take_if(is_on_connection) else {
                continue;
            };
            let number = active.number;
            self.timers
                .remove(&(active.deadline, Timer::Attempt(allocation, number)));
            let result = if active.started {
                AttemptResult::Reset
            } else {
                AttemptResult::ConnectFailed
            };
            if active.started {
                self.nodes.add_possible_task(active.machine, allocation);
            }
            let task = task_key(pending.task);
            debug!(
                task,
                number,
                connection = connection.0,
                ?result,
                "an attempt has failed with its connection"
            );
            engine.attempt_returned(
                now,
                allocation,
                number,
                ReturnedAttempt {
                    result,
                    reason: None,
                    finished: false,
                    report: None,
                },
                self,
            );
        }
    }

    /// Closes idle connections to nodes, and opens missing ones.
    pub(super) fn sweep_node_connections(&mut self, now: Ticks) {
        self.connections.close_idle(now, &self.nodes);
        let connected = |machine| !self.connections.available_to(machine).is_empty();
        for (since, machine) in self.nodes.unreached(connected, now) {
            self.open_connection(machine, sweep_eviction(since, now));
        }
        self.connections.check_unanswered(now);
        for (machine, since) in self.connections.due_reconnects(now) {
            if !self.nodes.needs_connection(machine) || self.nodes.is_closed_to_connections(machine)
            {
                self.connections.cancel_reconnect(machine);
                continue;
            }
            self.open_check_connection(machine, sweep_eviction(since, now));
        }
    }
}

/// Returns which connections may be closed for one that has been missing since the given time.
fn sweep_eviction(since: Ticks, now: Ticks) -> Eviction {
    if since + UNREACHED_GRACE <= now {
        Eviction::Any
    } else {
        Eviction::SpareOnly
    }
}
