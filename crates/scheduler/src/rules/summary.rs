//! The view over all machines: the average use by others, and which machines are held back.

use super::overload::weight;
use super::*;
use std::collections::BTreeSet;

/// Load share that present need should fill on the machines not held back.
const FILL: f64 = 0.7;
/// Of the standard error of a count, taken on top of need.
const DOUBT: f64 = 3.0;
/// Weight in the average of what we guess from our own, against one of a fresh report.
const FAINT: f64 = 0.1;

impl Scheduler {
    /// Takes the view over all machines anew when it is old.
    pub(super) fn look(&mut self, now: Ticks) {
        if self.view.taken.is_some_and(|taken| taken + LOOK > now) {
            return;
        }
        let (mut all, mut own) = (Resources::ONE * 1e-9, Resources::default());
        let (mut reported, mut weights) = (Resources::default(), 0.0);
        for machine in self.machines.values() {
            let Some(size) = self.size(machine).filter(|_| machine.serving()) else {
                continue;
            };
            all = all + size;
            own = own
                + machine
                    .guests
                    .values()
                    .map(|guest| self.use_of(guest))
                    .sum();
            if let Some((at, base)) = machine.base {
                (reported, weights) = (
                    reported + base / size * weight(now - at),
                    weights + weight(now - at),
                );
            }
        }
        let others = self.cluster.scheduler_count.saturating_sub(1) as f64;
        // Where hardly anything was told, as at start, each of the others is taken to use as much
        // as we do.
        let guess = own / all * others;
        self.view.average = (reported + guess * FAINT) * (1.0 / (weights + FAINT));
        self.view.taken = Some(now);
        self.view.open = self.needed(now, all, weights);
    }

    /// The machines that are not held back. Held back are those that present need does not fill,
    /// the last by id: an order common to all.
    fn needed(&self, now: Ticks, all: Resources, reported: f64) -> BTreeSet<MachineId> {
        let mut order = Vec::new();
        let (mut need, mut asked) = (Resources::default(), Resources::default());
        for (&id, machine) in &self.machines {
            let Some(size) = self.size(machine) else {
                continue;
            };
            need = need + self.present_use(now, machine);
            asked = asked + self.asked(now, machine, || self.others(now, now, machine));
            if machine.serving() && machine.shunned <= now {
                order.push((id, size));
            }
        }
        // What one of many schedulers knows of need is chance, the more so the fewer it holds. A
        // machine that only some hold back costs as much as one that none does.
        // Machines that have just reported tell it without chance.
        let known = self.at.len() as f64 + 1.0;
        let unheard = 1.0
            - reported
                / (self
                    .machines
                    .values()
                    .filter(|m| m.serving())
                    .count()
                    .max(1) as f64);
        let doubt = (DOUBT / known.sqrt()) * unheard.max(0.0);
        need = need.max(asked / self.cluster.admission_limit) * (1.0 + doubt) + all * (1.0 / known);
        let mut room = Resources::default();
        let enough = order.iter().position(|&(_, size)| {
            room = room + size;
            need.fits_in(room * FILL)
        });
        order.truncate(enough.map_or(order.len(), |last| last + 1));
        order.into_iter().map(|(id, _)| id).collect()
    }
}
