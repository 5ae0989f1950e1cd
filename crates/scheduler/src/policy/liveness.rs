//! Checks which machines are alive: health checks, lost allocations, and retries of the endpoint
//! list watch.

use super::*;

/// Time without any answer, health checks included, after which the allocations on a machine count
/// as lost.
const LOST_AFTER: Ticks = 5 * SECOND;
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

    /// Returns our allocations that are lost. An allocation on a machine that has disappeared or is
    /// unreachable ends without notice. So a silent machine gets health checks, and when it hasn't
    /// answered for [`LOST_AFTER`] its allocations count as lost.
    pub(super) fn lost_allocations(
        &mut self,
        now: Ticks,
        health_checks: &mut Vec<MachineId>,
    ) -> Vec<AllocationId> {
        let mut lost = Vec::new();
        if self.cluster.caller_detects_losses || !self.cluster.health_checks {
            return lost;
        }
        for (&id, machine) in &mut self.machines {
            let placed = machine.allocations.iter();
            let placed = placed.filter(|(_, placed)| placed.placed);
            let placed: Vec<AllocationId> = placed.map(|(&id, _)| id).collect();
            let silence = now.saturating_sub(machine.last_heard_at);
            if placed.is_empty() || silence < CAPACITY_TURNOVER {
                continue;
            }
            if silence >= LOST_AFTER {
                lost.extend(placed);
                machine.last_heard_at = now;
            } else if machine.last_health_check + SECOND <= now {
                machine.last_health_check = now;
                health_checks.push(id);
            }
        }
        lost
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
                (target.consecutive_timeouts, target.last_heard_at) = (0, now)
            }
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
}
