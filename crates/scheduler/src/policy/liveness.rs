//! Checks which machines are alive: health checks, lost allocations, and retries of the endpoint
//! list watch.

use super::*;

/// Time without any answer, health checks included, after which the allocations on a machine count
/// as lost.
const LOST_AFTER: Ticks = 5 * SECOND;
/// Shortest time without any answer after which connections are opened to a machine where health
/// checks may not be sent.
const MIN_CONNECTION_CHECK_AFTER: Ticks = SECOND;
/// Longest such time, for a machine that is often silent: each connection costs it work.
const MAX_CONNECTION_CHECK_AFTER: Ticks = 5 * SECOND;
/// The usual time between two messages of a machine is multiplied by this to tell that it is silent.
const SILENT_GAP_MULTIPLE: f64 = 1.25;
/// The longest partition that allocations outlast where health checks may not be sent. The
/// platform's protocol leaves 8 s from an allocation's end to its release, of which
/// [`MIN_CONNECTION_CHECK_AFTER`] and the time for the last connections remain.
const MAX_PARTITION: Ticks = 6 * SECOND;
/// Minimum number of failed connections before the allocations on a machine count as lost. A few
/// connections fail or are late although the machine is alive.
const MIN_FAILED_CONNECTIONS: u32 = 3;
/// The interval of the health checks of a silent machine.
const HEALTH_CHECK_INTERVAL: Ticks = SECOND;
/// The minimum interval of the connections opened to a silent machine.
const CONNECTION_CHECK_INTERVAL: Ticks = SECOND / 2;
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
    /// allocations that are lost. An allocation on a machine that has disappeared or is unreachable
    /// ends without notice. So a silent machine is checked, and when it hasn't answered for a time
    /// its allocations count as lost.
    pub(super) fn check_silent_machines(&mut self, now: Ticks, result: &mut PollResult) {
        if self.cluster.caller_detects_losses {
            return;
        }
        let health_checks = self.cluster.health_checks;
        for (&id, machine) in &mut self.machines {
            let placed = machine.allocations.iter();
            let placed = placed.filter(|(_, placed)| placed.placed);
            let placed: Vec<AllocationId> = placed.map(|(&id, _)| id).collect();
            let silence = now.saturating_sub(machine.last_heard_at);
            let check_after = match health_checks {
                true => CAPACITY_TURNOVER,
                false => connection_check_after(machine),
            };
            if placed.is_empty() || silence < check_after {
                continue;
            }
            if is_lost(machine, silence, health_checks) {
                result.lost.extend(placed);
                machine.record_heard(now);
                continue;
            }
            let (checks, interval) = match health_checks {
                true => (&mut result.health_checks, HEALTH_CHECK_INTERVAL),
                false => (&mut result.connection_checks, CONNECTION_CHECK_INTERVAL),
            };
            if machine.last_health_check + interval <= now {
                machine.last_health_check = now;
                checks.push(id);
            }
        }
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
                target.record_message(now);
            }
            // The machine is alive, whatever the check has failed for.
            AttemptResult::Error => target.record_message(now),
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

    /// Records whether a connection to a machine could be established. Where health checks may be
    /// sent they decide instead: a process that answers none may still have its connections
    /// accepted by the system.
    pub fn record_connection(&mut self, now: Ticks, machine: MachineId, result: ConnectionResult) {
        if self.cluster.health_checks {
            return;
        }
        let Some(target) = self.machines.get_mut(&machine) else {
            return;
        };
        match result {
            ConnectionResult::Established => target.record_heard(now),
            ConnectionResult::Failed { opened_at } if opened_at > target.last_heard_at => {
                let failures = target
                    .connection_failures
                    .get_or_insert(ConnectionFailures::new(opened_at));
                failures.record(opened_at);
                if failures.show_loss() {
                    // The allocations are released as soon as this is known.
                    self.next_sweep_at = self.next_sweep_at.min(now);
                }
            }
            ConnectionResult::Failed { .. } => {}
        }
    }
}

impl ConnectionFailures {
    /// Returns whether they show that the machine's allocations are lost.
    fn show_loss(&self) -> bool {
        self.count >= MIN_FAILED_CONNECTIONS && self.duration() >= MAX_PARTITION
    }
}

/// Returns the time of silence after which connections are opened to a machine.
fn connection_check_after(machine: &Machine) -> Ticks {
    let usual_gap = machine.message_gaps.usual().unwrap_or(0.0);
    let unusual_gap = (usual_gap * SILENT_GAP_MULTIPLE) as Ticks;
    unusual_gap.clamp(MIN_CONNECTION_CHECK_AFTER, MAX_CONNECTION_CHECK_AFTER)
}

/// Returns whether the allocations on a machine that has been silent for this time are lost.
fn is_lost(machine: &Machine, silence: Ticks, health_checks: bool) -> bool {
    match health_checks {
        true => silence >= LOST_AFTER,
        false => machine
            .connection_failures
            .is_some_and(|failures| failures.show_loss()),
    }
}
