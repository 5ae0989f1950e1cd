//! The summary of all machines: the average usage by others, and which machines are held back.

use super::overload::report_weight;
use super::*;
use std::collections::BTreeSet;

/// Share of the open machines that the demand should fill.
const TARGET_FILL: f64 = 0.7;
/// Standard errors of a count that are added to the demand.
const DEMAND_MARGIN: f64 = 3.0;
/// Weight in the average of an estimate from our own usage, against 1 of a fresh load report.
const OWN_ESTIMATE_WEIGHT: f64 = 0.1;

impl Scheduler {
    /// Computes the summary anew when it is old.
    pub(super) fn refresh_summary(&mut self, now: Ticks) {
        let computed_at = self.summary.computed_at;
        if computed_at.is_some_and(|at| at + SUMMARY_INTERVAL > now) {
            return;
        }
        let (mut total_size, mut own_usage) = (Resources::ONE * 1e-9, Resources::default());
        let (mut reported, mut total_weight) = (Resources::default(), 0.0);
        for machine in self.machines.values() {
            let Some(size) = self.size(machine).filter(|_| machine.is_serving()) else {
                continue;
            };
            total_size = total_size + size;
            let placed = machine.allocations.values();
            own_usage = own_usage + placed.map(|placed| self.usage_of(placed)).sum();
            if let Some(report) = machine.reported_usage {
                let weight = report_weight(now - report.at);
                reported = reported + report.usage / size * weight;
                total_weight += weight;
            }
        }
        let other_schedulers = self.cluster.scheduler_count.saturating_sub(1) as f64;
        // With hardly any report, as at start, each other scheduler is taken to use as much as we do.
        let estimate = own_usage / total_size * other_schedulers;
        let sum = reported + estimate * OWN_ESTIMATE_WEIGHT;
        self.summary.average_usage = sum * (1.0 / (total_weight + OWN_ESTIMATE_WEIGHT));
        self.summary.computed_at = Some(now);
        self.summary.needed_machines = self.machines_needed(now, total_size, total_weight);
    }

    /// The machines that the demand fills, the first ones by id: an order common to all schedulers.
    /// The others are held back.
    fn machines_needed(
        &self,
        now: Ticks,
        total_size: Resources,
        total_weight: f64,
    ) -> BTreeSet<MachineId> {
        let mut usable = Vec::new();
        let (mut used, mut requested) = (Resources::default(), Resources::default());
        for (&id, machine) in &self.machines {
            let Some(size) = self.size(machine) else {
                continue;
            };
            used = used + self.total_usage(now, machine);
            let others = || self.usage_by_others(now, now, machine);
            requested = requested + self.total_requested(now, machine, others);
            if machine.is_serving() && machine.ejected_until <= now {
                usable.push((id, size));
            }
        }
        // What one of many schedulers knows of the demand is a sample, the smaller the less it
        // holds, and a machine that only some hold back costs as much as an open one. Machines that
        // have just reported are known without that error.
        let sample_size = self.machine_of.len() as f64 + 1.0;
        let serving = self.machines.values().filter(|one| one.is_serving());
        let unreported = 1.0 - total_weight / (serving.count().max(1) as f64);
        let margin = (DEMAND_MARGIN / sample_size.sqrt()) * unreported.max(0.0);
        let demand = used.max(requested / self.cluster.admission_limit) * (1.0 + margin)
            + total_size * (1.0 / sample_size);
        let mut needed_size = Resources::default();
        let last = usable.iter().position(|&(_, size)| {
            needed_size = needed_size + size;
            demand.fits_in(needed_size * TARGET_FILL)
        });
        usable.truncate(last.map_or(usable.len(), |last| last + 1));
        usable.into_iter().map(|(id, _)| id).collect()
    }
}
