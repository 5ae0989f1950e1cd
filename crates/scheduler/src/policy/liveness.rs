//! Checks which machines are alive: health checks, lost allocations, and retries of the endpoint
//! list watch.
//!
//! The platform's protocol requires that an allocation be released within 8 s of its end on a
//! machine that has vanished, and no allocation may be released that still runs behind a partition
//! of up to 6 s. Nothing but connections tells the two apart from a machine that is merely silent:
//! a process that hangs answers no health check, but its system establishes connections. So a
//! silent machine is connected to, and only what connections show for the whole length of the
//! longest partition counts as a loss.

use super::*;

/// Time of silence after which a health check is sent to a machine with our allocations. Its answer
/// spares the machine a connection.
const HEALTH_CHECK_AFTER: Ticks = SECOND * 21 / 20;
/// Time of silence after which connections are opened to a machine with our allocations. With
/// [`MAX_PARTITION`], two [`PAIRED_CHECK_DELAY`]s and the time in which a connection must be
/// established, it must stay below the 8 s of the protocol, with time left for a busy process.
const CONNECTION_CHECK_AFTER: Ticks = SECOND * 23 / 20;
/// The longest partition that allocations outlast: 6 s, and the 50 ms by which the platform's
/// protocol extends its time limits.
const MAX_PARTITION: Ticks = 6 * SECOND + SECOND / 20;
/// The interval of the health checks of a silent machine.
const HEALTH_CHECK_INTERVAL: Ticks = SECOND;
/// The interval of the connections to a silent machine. An interruption of a partition that is
/// shorter may go unnoticed.
const CONNECTION_CHECK_INTERVAL: Ticks = SECOND / 2;
/// Time between the two connections that each begin and end the evidence of a loss: a single one
/// may fail although its machine is alive.
const PAIRED_CHECK_DELAY: Ticks = SECOND / 20;
/// Minimum time between two searches for silent machines.
const MIN_SILENCE_CHECK_INTERVAL: Ticks = SECOND / 50;
/// Maximum number of times that the delay before a failed watch is retried is doubled.
const MAX_WATCH_DOUBLINGS: u32 = 2;

impl Scheduler {
    /// Returns the machines with the oldest load reports, as many as the health check budget
    /// allows.
    fn machines_with_old_reports(&self, now: Ticks) -> Vec<MachineId> {
        let last_known_at = |machine: &Machine| {
            let reported_at = machine.reported_usage.map_or(0, |report| report.at);
            reported_at.max(machine.last_health_check)
        };
        let stale = |machine: &Machine| {
            machine.is_serving() && last_known_at(machine) + CAPACITY_TURNOVER <= now
        };
        let machines = self.machines.iter();
        let mut stale: Vec<_> = machines.filter(|(_, machine)| stale(machine)).collect();
        stale.sort_by_key(|(_, machine)| last_known_at(machine));
        stale.truncate(self.health_check_budget as usize);
        stale.into_iter().map(|(&id, _)| id).collect()
    }

    /// Returns the machines to which a health check is to be sent, and deducts the checks from the
    /// budget.
    pub(super) fn health_checks(&mut self, now: Ticks) -> Vec<MachineId> {
        let ids = self.machines_with_old_reports(now);
        self.health_check_budget -= ids.len() as f64;
        for id in &ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.last_health_check = now;
            }
        }
        ids
    }

    /// Checks silent machines that run our allocations, and adds to `result` the checks and the
    /// allocations that are lost: on a machine that has vanished or is unreachable they end without
    /// notice.
    pub(super) fn check_silent_machines(&mut self, now: Ticks, result: &mut PollResult) {
        let health_checks = self.cluster.health_checks;
        let mut next_at = now + SUMMARY_INTERVAL;
        for (&id, machine) in &mut self.machines {
            if machine.placed_allocations().next().is_none() {
                continue;
            }
            if is_lost(&machine.reachability) {
                result.lost.extend(machine.placed_allocations());
                machine.reachability = Reachability::heard_at(now);
                continue;
            }
            if health_checks && next_health_check_at(machine) <= now {
                machine.last_health_check = now;
                result.health_checks.push(id);
            }
            if next_connection_check_at(&machine.reachability) <= now {
                machine.reachability.record_check(now);
                result.connection_checks.push(id);
            }
            next_at = next_at.min(next_connection_check_at(&machine.reachability));
            if health_checks {
                next_at = next_at.min(next_health_check_at(machine));
            }
        }
        self.next_silence_check_at = next_at.max(now + MIN_SILENCE_CHECK_INTERVAL);
    }

    /// Schedules a retry after the request for the endpoint list failed or the watch on it broke;
    /// the caller doesn't distinguish these.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        if self.cluster.list_poll_interval.is_some() && self.watch_retry_at.is_none() {
            let backoff = SECOND << self.watch_failures.min(MAX_WATCH_DOUBLINGS);
            self.watch_failures += 1;
            self.watch_retry_at = Some(now + backoff / 2 + self.rng.random_range(0..backoff));
        }
    }

    /// Records the result of a health check.
    pub fn record_health_check(
        &mut self,
        now: Ticks,
        machine: MachineId,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let target = self.machines.entry(machine).or_default();
        match result {
            AttemptResult::Completed => {
                target.consecutive_timeouts = 0;
                target.reachability = Reachability::heard_at(now);
            }
            // The machine is alive, whatever the check has failed for.
            AttemptResult::Error => target.reachability = Reachability::heard_at(now),
            AttemptResult::TimedOut | AttemptResult::ConnectFailed
                if !self.cluster.caller_detects_losses =>
            {
                target.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS)
            }
            _ => {}
        }
        self.capacity_index.mark_changed(machine, true);
        self.record_report(now, machine, report);
    }

    /// Records that something has arrived from a machine, whatever it is about.
    pub fn record_heard(&mut self, now: Ticks, machine: MachineId) {
        if let Some(machine) = self.machines.get_mut(&machine) {
            machine.reachability = Reachability::heard_at(now);
        }
    }

    /// Records whether a machine has answered a request for a connection.
    pub fn record_connection(&mut self, now: Ticks, machine: MachineId, result: ConnectionResult) {
        let Some(target) = self.machines.get_mut(&machine) else {
            return;
        };
        match result {
            ConnectionResult::Answered => target.reachability = Reachability::heard_at(now),
            ConnectionResult::Failed { attempted_at } => {
                target.reachability.record_failure(attempted_at);
                if is_lost(&target.reachability) {
                    // The allocations are released as soon as this is known.
                    self.next_silence_check_at = now;
                }
            }
        }
    }
}

/// Returns whether the allocations on a machine are lost.
fn is_lost(reachability: &Reachability) -> bool {
    reachability.unreachable_for() >= MAX_PARTITION
}

/// Returns the time at which a health check is due if the machine stays silent.
fn next_health_check_at(machine: &Machine) -> Ticks {
    let silent_at = machine.reachability.last_heard_at() + HEALTH_CHECK_AFTER;
    silent_at.max(machine.last_health_check + HEALTH_CHECK_INTERVAL)
}

/// Returns the time at which a connection is to be opened if the machine stays silent: two at the
/// beginning, then one at each interval, and two when an outage has lasted for as long as a
/// partition may.
fn next_connection_check_at(reachability: &Reachability) -> Ticks {
    let (checks, last_check_at) = reachability.checks();
    let Some(last_check_at) = last_check_at else {
        return reachability.last_heard_at() + CONNECTION_CHECK_AFTER;
    };
    let unreachable_since = reachability.unreachable_since();
    let decisive_at = unreachable_since.map_or(NEVER, |since| since + MAX_PARTITION);
    if checks == 1 || last_check_at >= decisive_at {
        return last_check_at + PAIRED_CHECK_DELAY;
    }
    decisive_at.min(last_check_at + CONNECTION_CHECK_INTERVAL)
}
