//! Records whether a machine can be reached: its last sign of life, the connections that were opened
//! to it since, and those of them that were not established.

use super::NEVER;
use crate::interface::Ticks;

/// Connections to a machine that were neither established nor refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionFailures {
    /// The times of the first two attempts, in order.
    first: [Ticks; 2],
    /// The times of the last two attempts, in order.
    last: [Ticks; 2],
}

impl Default for ConnectionFailures {
    fn default() -> Self {
        ConnectionFailures {
            first: [NEVER; 2],
            last: [0; 2],
        }
    }
}

impl ConnectionFailures {
    /// Records a connection that was attempted at the given time. Failures may become known in
    /// another order than that of the attempts.
    fn record(&mut self, attempted_at: Ticks) {
        let mut earliest = [self.first[0], self.first[1], attempted_at];
        earliest.sort();
        self.first = [earliest[0], earliest[1]];
        let mut latest = [self.last[0], self.last[1], attempted_at];
        latest.sort();
        self.last = [latest[1], latest[2]];
    }
}

/// What is known of a machine's reachability.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reachability {
    last_heard_at: Ticks,
    /// The number of connections that were requested since, to see whether the machine is alive.
    requested_checks: u32,
    last_check_at: Ticks,
    failures: ConnectionFailures,
}

impl Reachability {
    /// Returns the state of a machine whose last sign of life was at the given time.
    pub fn heard_at(now: Ticks) -> Reachability {
        Reachability {
            last_heard_at: now,
            ..Reachability::default()
        }
    }

    /// Returns the time from which the machine's silence counts: that of its last sign of life, of
    /// a later dispatch while it held none of our allocations, or of the loss of its allocations.
    pub fn last_heard_at(&self) -> Ticks {
        self.last_heard_at
    }

    /// Records that a connection is requested to see whether the machine is alive.
    pub fn record_check(&mut self, now: Ticks) {
        self.requested_checks = self.requested_checks.saturating_add(1);
        self.last_check_at = now;
    }

    /// Returns the number of connections requested since the last sign of life, and the time of the
    /// last one if there is one.
    pub fn checks(&self) -> (u32, Option<Ticks>) {
        let last_check_at = (self.requested_checks > 0).then_some(self.last_check_at);
        (self.requested_checks, last_check_at)
    }

    /// Records a connection that was attempted at the given time and neither established nor
    /// refused. It shows nothing if the machine has been heard since.
    pub fn record_failure(&mut self, attempted_at: Ticks) {
        if attempted_at > self.last_heard_at {
            self.failures.record(attempted_at);
        }
    }

    /// Returns the time from which the machine has certainly been unreachable. A single connection
    /// may fail although the machine is alive, so this is the time of the second one.
    pub fn unreachable_since(&self) -> Option<Ticks> {
        Some(self.failures.first[1]).filter(|&at| at != NEVER)
    }

    /// Returns the time for which the machine has certainly been unreachable: until the last
    /// connection but one, since the last one may have failed although the machine was reachable
    /// again.
    pub fn unreachable_for(&self) -> Ticks {
        self.failures.last[0].saturating_sub(self.failures.first[1])
    }
}
