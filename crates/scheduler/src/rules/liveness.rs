//! Health checks, reports, lost machines, and the watch on the list.

use super::*;

/// So long without a sign of life, probes notwithstanding, and what is placed on a machine is lost.
const VANISHED: Ticks = 5 * SECOND;

impl Scheduler {
    /// The machines longest unheard of, as many as may be probed.
    pub(super) fn health_checks(&mut self, now: Ticks) -> Vec<MachineId> {
        let heard = |machine: &Machine| machine.base.map_or(0, |(at, _)| at).max(machine.probed);
        let unheard = |machine: &Machine| machine.serving() && heard(machine) + TURNOVER <= now;
        let mut probes: Vec<_> = self
            .machines
            .iter_mut()
            .filter(|(_, machine)| unheard(machine))
            .collect();
        probes.sort_by_key(|(_, machine)| heard(machine));
        probes.truncate(self.probes as usize);
        self.probes -= probes.len() as f64;
        probes
            .iter_mut()
            .for_each(|(_, machine)| machine.probed = now);
        probes.into_iter().map(|(&id, _)| id).collect()
    }

    /// What is placed on a machine that has vanished or is cut off ends without a word. One that
    /// says nothing is probed, and after a while without an answer either what is placed there
    /// is lost.
    pub(super) fn lost(&mut self, now: Ticks, probes: &mut Vec<MachineId>) -> Vec<AllocationId> {
        let mut lost = Vec::new();
        for (&id, machine) in &mut self.machines {
            let placed = machine
                .guests
                .iter()
                .filter(|(_, guest)| guest.placed)
                .map(|(&id, _)| id);
            let placed: Vec<AllocationId> = placed.collect();
            let silence = now.saturating_sub(machine.heard);
            if self.cluster.reports_losses
                || !self.cluster.health_checks
                || placed.is_empty()
                || silence < TURNOVER
            {
                continue;
            }
            if silence >= VANISHED {
                lost.extend(placed);
                machine.heard = now;
            } else if machine.probed + SECOND <= now {
                machine.probed = now;
                probes.push(id);
            }
        }
        lost
    }

    /// Asking for the list failed, or the watch on it broke: it doesn't say which.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        if self.cluster.list_poll_interval.is_some() && self.watch_at.is_none() {
            let longest = SECOND << self.watch_fails.min(2);
            self.watch_fails += 1;
            self.watch_at = Some(now + longest / 2 + self.rng.random_range(0..longest));
        }
    }

    pub fn record_health_check(
        &mut self,
        now: Ticks,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    ) {
        let at = self.machines.entry(machine).or_default();
        match ending {
            AttemptResult::Completed => (at.silent, at.heard) = (0, now),
            AttemptResult::TimedOut | AttemptResult::ConnectFailed
                if !self.cluster.reports_losses =>
            {
                at.fault(now, UNWELL)
            }
            _ => {}
        }
        self.rooms.touch(machine, true);
        self.reported(now, machine, report);
    }

    pub(super) fn reported(&mut self, now: Ticks, id: MachineId, report: Option<LoadReport>) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some((size, report)) = self.size(machine).zip(report) else {
            return;
        };
        // One too young to be in the report would be taken off a sum that never held it.
        let old = machine
            .guests
            .values()
            .filter(|guest| guest.runs && guest.sent + LAG <= now);
        let base = (size - report.available - old.map(|guest| self.use_of(guest)).sum())
            .max(Resources::default());
        self.machines.entry(id).or_default().base = Some((now, base));
    }
}
