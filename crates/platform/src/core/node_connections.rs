//! Which connection a message to a node goes on, and what follows from a connection's end.

use super::pending_task::{ActiveAttempt, PendingTask};
use super::*;
use corkspan_engine::ReturnedAttempt;
use tracing::debug;

impl PlatformState {
    /// Sends on the connection given if it is established, else on any other to that machine.
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
            .of(machine)
            .first()
            .copied()
            .or_else(|| self.open_connection(machine, eviction))?;
        self.connections.send(connection, message);
        Some(connection)
    }

    /// Opens a connection. Tasks may run on more nodes than there may be connections, so where the
    /// pool is full another one is closed.
    pub(super) fn open_connection(
        &mut self,
        machine: MachineId,
        eviction: Eviction,
    ) -> Option<ConnectionId> {
        let address = self.nodes.address(machine)?;
        if self.connections.is_full() && !self.connections.is_crowded(machine) {
            // Closing one with a health check under way would count against its node.
            let tested: BTreeSet<ConnectionId> = self
                .health_checks
                .values()
                .map(|check| check.connection)
                .collect();
            self.connections.evict(&self.nodes, &tested, eviction);
        }
        let (id, queue) = self.connections.open(machine, self.now)?;
        self.effects.connect(NewConnection {
            id,
            address,
            connect_timeout: self.connections.connect_timeout(),
            queue,
        });
        Some(id)
    }

    /// A connection has ended: its attempts and health checks have too, and the tasks on a dead
    /// machine.
    pub(super) fn remove_connection(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ConnectionId,
        end: ConnectionEnd,
    ) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        debug!(?connection.machine, ?end, open = connection.open_attempts.len(), "a connection to a node has ended");
        if end == ConnectionEnd::ConnectTimeout {
            // Where its node is gone another may have its address: what is queued is not for that
            // one.
            connection.to.discard();
        }
        self.fail_attempts(now, engine, id, connection.open_attempts);
        self.fail_health_checks(now, engine, id, connection.machine);
        if end == ConnectionEnd::Refused && self.nodes.connection_refused(connection.machine) {
            self.timers.insert((
                now + UNREACHABLE_TIMEOUT,
                Timer::Unreachable(connection.machine),
            ));
        } else if end == ConnectionEnd::Refused {
            // The process is dead, and its tasks with it.
            self.machine_lost(now, engine, connection.machine, Ticks::MAX);
        } else if self.connections.of(connection.machine).is_empty()
            && self.nodes.has_tasks(connection.machine)
            && end == ConnectionEnd::Broken
        {
            // Ends of the tasks there are reported on the next connection.
            self.open_connection(connection.machine, Eviction::SpareOnly);
        }
    }

    /// The attempts on a connection that has ended have failed.
    fn fail_attempts(
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
            let on_this = |active: &mut ActiveAttempt| active.connection == Some(connection);
            let Some(active) = pending.active.take_if(on_this) else {
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
            engine.attempt_returned(
                now,
                allocation,
                number,
                ReturnedAttempt {
                    ending: result,
                    reason: None,
                    finished: false,
                    report: None,
                },
                self,
            );
        }
    }

    /// The health checks on a connection that has ended have failed.
    fn fail_health_checks(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        connection: ConnectionId,
        machine: MachineId,
    ) {
        let checks: Vec<u64> = self
            .health_checks
            .iter()
            .filter(|(_, check)| check.connection == connection)
            .map(|(&id, _)| id)
            .collect();
        for id in checks {
            self.health_checks.remove(&id);
            self.timers
                .retain(|(_, timer)| *timer != Timer::HealthCheck(id));
            engine.record_health_check(now, machine, AttemptResult::ConnectFailed, None);
        }
    }
}
