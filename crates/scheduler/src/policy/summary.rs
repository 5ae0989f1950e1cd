//! Computes the summary of all machines: the average usage by other schedulers' allocations, and
//! which machines are needed or held back.

use super::overload::report_weight;
use super::*;
use std::collections::BTreeSet;

/// Share of the needed machines' total size that the demand should fill.
const TARGET_FILL: f64 = 0.7;
/// Number of standard errors of a count that are added to the demand.
const DEMAND_MARGIN: f64 = 3.0;
/// Weight, in the average, of the estimate from our own usage; a fresh load report has weight 1.
const OWN_ESTIMATE_WEIGHT: f64 = 0.1;

impl Scheduler {
    /// Recomputes the summary if it is older than [`SUMMARY_INTERVAL`].
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
        // With hardly any load reports, as after a start, each other scheduler is assumed to use as
        // much as we do.
        let estimate = own_usage / total_size * other_schedulers;
        let sum = reported + estimate * OWN_ESTIMATE_WEIGHT;
        self.summary.average_usage = sum * (1.0 / (total_weight + OWN_ESTIMATE_WEIGHT));
        self.summary.computed_at = Some(now);
        self.summary.needed_machines = self.machines_needed(now, total_size, total_weight);
    }

    /// Returns the machines needed for the demand, taken in the order of their ids, which is the
    /// same at all schedulers. The other machines are held back.
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
        // One of many schedulers knows only a sample of the demand, and the fewer allocations it
        // holds the smaller the sample. Holding back a machine that other schedulers use saves
        // nothing, so a margin is added to the demand. The usage of machines that have just
        // reported is known without this error.
        let sample_size = self.machine_of.len() as f64 + 1.0;
        let serving = self
            .machines
            .values()
            .filter(|machine| machine.is_serving());
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
