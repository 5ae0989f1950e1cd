//! Sends health checks to nodes, and handles their answers and timeouts.

use super::node_messages::parse_load;
use super::pending_task::{PendingTask, Timer};
use super::*;
use tracing::debug;

/// The difference between the ids of two successive health checks. It is odd, so that none comes
/// again before all others, and large, so that they are unlikely to be those of tasks.
const ID_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A health check in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthCheck {
    pub(super) machine: MachineId,
    pub(super) connection: ConnectionId,
}

impl PlatformState {
    /// Sends a health check to a machine, if it has a connection or one can be opened.
    pub(super) fn send_health_check(&mut self, machine: MachineId) {
        self.last_health_check_id = self.last_health_check_id.wrapping_add(ID_STEP);
        let id = self.last_health_check_id;
        let message = node::Message::new(node::MessageType::Probe, id).with_cause(0);
        let sent_on = self.send_to_node(machine, None, &message, Eviction::SpareOnly);
        let Some(connection) = sent_on else {
            return;
        };
        let check = HealthCheck {
            machine,
            connection,
        };
        self.health_checks.insert(id, check);
        let times_out_at = self.now + HEALTH_CHECK_TIMEOUT;
        self.timers.insert((times_out_at, Timer::HealthCheck(id)));
    }

    /// Returns the connections on which a health check is pending. Closing one would count as a
    /// failure of its node.
    pub(super) fn connections_with_health_check(&self) -> BTreeSet<ConnectionId> {
        let checks = self.health_checks.values();
        checks.map(|check| check.connection).collect()
    }

    /// Handles a node's reply to a health check.
    pub(super) fn handle_health_check_reply(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        check: u64,
        message: &node::Message,
    ) {
        let Some(HealthCheck { machine, .. }) = self.health_checks.remove(&check) else {
            return;
        };
        self.timers
            .retain(|(_, timer)| *timer != Timer::HealthCheck(check));
        let has_passed = message.message_type == node::MessageType::Probed;
        let result = if has_passed && message.cause == Some(1) {
            AttemptResult::Completed
        } else {
            AttemptResult::Error
        };
        engine.record_health_check(now, machine, result, parse_load(message));
    }

    /// Handles the timeout of a health check. Its connection may be open but permanently silent, so
    /// no set-up is sent on it any more.
    pub(super) fn health_check_timed_out(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        check: u64,
    ) {
        let Some(HealthCheck {
            machine,
            connection,
        }) = self.health_checks.remove(&check)
        else {
            return;
        };
        debug!(
            ?machine,
            connection = connection.0,
            "a health check has timed out"
        );
        self.connections.drain(connection, now);
        engine.record_health_check(now, machine, AttemptResult::TimedOut, None);
    }

    /// Fails the health checks on a connection that has ended.
    pub(super) fn fail_health_checks(
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
