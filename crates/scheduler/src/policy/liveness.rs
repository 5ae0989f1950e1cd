//! Which machines are alive: health checks, lost machines, and the watch on the endpoint list.

use super::*;

/// After so long without an answer, health checks included, what is placed on a machine is lost.
const LOST_AFTER: Ticks = 5 * SECOND;
/// The wait before a failed watch is tried again is doubled so many times at most.
const MAX_WATCH_DOUBLINGS: u32 = 2;

impl Scheduler {
    /// The machines whose load report is the oldest, as many as may be checked.
    fn oldest_reports(&self, now: Ticks) -> Vec<MachineId> {
        let known_at = |machine: &Machine| {
            let reported_at = machine.reported_usage.map_or(0, |report| report.at);
            reported_at.max(machine.last_health_check)
        };
        let old = |machine: &Machine| {
            machine.is_serving() && known_at(machine) + CAPACITY_TURNOVER <= now
        };
        let machines = self.machines.iter();
        let mut old: Vec<_> = machines.filter(|(_, machine)| old(machine)).collect();
        old.sort_by_key(|(_, machine)| known_at(machine));
        old.truncate(self.health_check_budget as usize);
        old.into_iter().map(|(&id, _)| id).collect()
    }

    /// The machines to send a health check to.
    pub(super) fn health_checks(&mut self, now: Ticks) -> Vec<MachineId> {
        let ids = self.oldest_reports(now);
        self.health_check_budget -= ids.len() as f64;
        for id in &ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.last_health_check = now;
            }
        }
        ids
    }

    /// Our allocations that are lost. One on a machine that has vanished or is cut off ends without
    /// notice: a silent machine gets a health check, and after a while without an answer what is
    /// placed there is lost.
    pub(super) fn lost_allocations(
        &mut self,
        now: Ticks,
        probes: &mut Vec<MachineId>,
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
                probes.push(id);
            }
        }
        lost
    }

    /// The request for the endpoint list failed, or the watch on it broke: it doesn't say which.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        if self.cluster.list_poll_interval.is_some() && self.watch_retry_at.is_none() {
            let backoff = SECOND << self.watch_failures.min(MAX_WATCH_DOUBLINGS);
            self.watch_failures += 1;
            self.watch_retry_at = Some(now + backoff / 2 + self.rng.random_range(0..backoff));
        }
    }

    /// A health check has come to this.
    pub fn record_health_check(
        &mut self,
        now: Ticks,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let at = self.machines.entry(machine).or_default();
        match ending {
            AttemptResult::Completed => (at.consecutive_timeouts, at.last_heard_at) = (0, now),
            AttemptResult::TimedOut | AttemptResult::ConnectFailed
                if !self.cluster.caller_detects_losses =>
            {
                at.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS)
            }
            _ => {}
        }
        self.capacity_index.mark_changed(machine, true);
        self.record_report(now, machine, report);
    }
}
