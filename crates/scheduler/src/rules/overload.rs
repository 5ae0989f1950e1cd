//! What is in use and asked for on a machine, and the probability that it is overloaded.

use super::*;

/// The paper's figures for the share of draws that may cross the line and for the number of draws.
pub(super) const THETA: f64 = 0.01;
const DRAWS: usize = 100;
/// f for memory, below the size since machines slow down before they evict; f for cores is the
/// track's calm.
pub(super) const F_MEMORY: f64 = 0.9;
/// Share of memory that a machine is filled to when none is under theta: beyond, all slow down,
/// then some are evicted. Cores may pass the calm share by some: crowded ones serve worse, but
/// serve.
pub(super) const LIMIT: f64 = 0.92;
pub(super) const FADE: f64 = 0.25;
/// Part of the use of lower priorities that stays.
const YIELDS: f64 = 0.5;
/// In this time a report loses half its weight against what is expected of the machine without it.
const REPORT_HALF: f64 = 4.0 * SECOND as f64;
/// So many times its share is well beyond it: the front is not even.
const BEYOND: f64 = 1.3;
pub(super) const HELD_BACK: u8 = 3;

impl Scheduler {
    /// What a guest of ours uses now, by its last notes or as usual.
    pub(super) fn use_of(&self, guest: &Guest) -> Resources {
        guest
            .present
            .unwrap_or(guest.asks * self.learnt.usual.or_one())
    }

    /// Present use of a machine by others: what it last reported and, as that ages, what the list
    /// leads us to expect, or the average. One of many schedulers hears of a machine only now
    /// and then.
    pub(super) fn others(&self, aged: Ticks, now: Ticks, machine: &Machine) -> Resources {
        let size = self.size(machine).unwrap_or_default();
        let old = machine
            .guests
            .values()
            .filter(|guest| guest.sent + LAG <= aged);
        let listed = machine
            .listed
            .filter(|_| self.learnt.present.cores.or(0.0) > 0.0);
        let expected = listed.map_or(self.view.average * size, |asked| {
            let others = asked - old.map(|guest| guest.asks).sum();
            others.max(Resources::default()) * self.learnt.present.or_one()
        });
        machine.base.map_or(expected, |(at, base)| {
            expected + (base - expected) * weight(now - at)
        })
    }

    pub(super) fn present_use(&self, now: Ticks, machine: &Machine) -> Resources {
        self.others(now, now, machine)
            + machine
                .guests
                .values()
                .map(|guest| self.use_of(guest))
                .sum()
    }

    /// What all schedulers' allocations on a machine ask for. The listed room is late: what was
    /// sent since counts on top. Where no room is listed, others' asks are guessed from what
    /// they use.
    pub(super) fn asked(
        &self,
        now: Ticks,
        machine: &Machine,
        others: impl Fn() -> Resources,
    ) -> Resources {
        let since = machine.listed.map_or(0, |_| now.saturating_sub(LAG));
        let own = machine
            .guests
            .values()
            .filter(|guest| guest.sent >= since)
            .map(|guest| guest.asks);
        machine
            .listed
            .unwrap_or_else(|| others() / self.learnt.present.or_one())
            + own.sum()
    }

    /// Part of a track's use, or of others' unknown, that counts where one of another track comes:
    /// a machine takes from lower priorities what it is short of, if only in use. Those it
    /// pushes out would come again.
    pub(super) fn stays(&self, new: ServiceClassId, of: Option<ServiceClassId>) -> f64 {
        let priority = |track: ServiceClassId| self.cluster.service_classes[track.0].priority;
        let lowest = || {
            self.cluster
                .service_classes
                .iter()
                .map(|track| track.priority)
                .min()
                .unwrap_or(0)
        };
        let yields = !self.cluster.preempts && of.map_or_else(lowest, priority) < priority(new);
        if yields { YIELDS } else { 1.0 }
    }

    /// Whether the account holds well over its share of cores, if it has as much at each other
    /// scheduler. A standard error is left out: one of many holds a few of its allocations by
    /// chance.
    pub(super) fn beyond_share(&self, allocation: &Allocation) -> bool {
        let share = self
            .cluster
            .tenants
            .get(allocation.tenant.0)
            .and_then(|own| own.quota_cores);
        let guests = self
            .machines
            .values()
            .flat_map(|machine| machine.guests.values());
        let held = guests
            .filter(|guest| guest.account == allocation.tenant)
            .map(|guest| guest.asks.cores);
        let held = allocation.requested.cores + held.sum::<f64>();
        let sure = held - (held * self.learnt.ask.or(0.0)).sqrt();
        share.is_some_and(|share| sure * self.cluster.scheduler_count as f64 > share * BEYOND)
    }

    /// Cores for a start, which takes far more where the program must be loaded: those that do it
    /// in contract time.
    pub(super) fn start(&self, has: bool, track: &ServiceClass) -> Resources {
        let time = self.learnt.start_time[usize::from(has)].or(self.learnt.start_time[1].or(0.0));
        Resources {
            cores: time / track.latency_objective.max(1) as f64,
            memory: 0.0,
        }
    }

    /// W Max with the allocation's expected start use, before any draw.
    pub(super) fn weigh(
        &self,
        now: Ticks,
        id: MachineId,
        new: &Allocation,
        yields: bool,
    ) -> Option<Weighed> {
        let stays = |of| match yields {
            true => self.stays(new.service_class, of),
            false => 1.0,
        };
        let machine = &self.machines[&id];
        let size = self
            .size(machine)
            .filter(|_| self.opens(now, id, new) <= now)?;
        let track = &self.cluster.service_classes[new.service_class.0];
        let base = self.others(now, now, machine) * stays(None);
        let own = machine.guests.values().map(|guest| {
            let starts = self.start(
                guest.had_program,
                &self.cluster.service_classes[guest.track.0],
            );
            self.use_of(guest) * stays(Some(guest.track))
                + starts * f64::from(u8::from(!guest.runs))
        });
        let load = base
            + own.sum()
            + new.requested * self.learnt.usual.or_one()
            + self.start(machine.has_program(new.service), track);
        let near = machine
            .entry
            .is_some_and(|entry| entry.zone == self.cluster.zone);
        let line = Resources {
            cores: track.target_utilization,
            memory: F_MEMORY,
        };
        let limit = Resources {
            cores: track.target_utilization + FADE,
            memory: LIMIT,
        };
        Some(Weighed {
            machine: id,
            yields,
            base,
            line: size * line,
            load: load.fraction_of(size),
            bears: load.fits_in(size * limit),
            rank: match self.view.open.contains(&id) && self.fits(now, machine, size, new.requested)
            {
                true => 1 + u8::from(!near && self.cluster.cross_zone_cost > 0.0),
                false => HELD_BACK,
            },
        })
    }

    /// Shares of draws that cross the line, with and without the allocation: the base, and for the
    /// new one and each guest of ours a peak from the records that fit it.
    pub(super) fn risk(&self, now: Ticks, weighed: &Weighed, new: &Allocation) -> (f64, f64) {
        let guests = self.machines[&weighed.machine]
            .guests
            .values()
            .map(|guest| {
                let highest = guest.highest / guest.asks;
                // Where no record reaches what it uses: its own highest use, or its ask while
                // nothing is known.
                let own = guest.present.map_or(Resources::ONE, |_| highest);
                let stays = if weighed.yields {
                    self.stays(new.service_class, Some(guest.track))
                } else {
                    1.0
                };
                (
                    self.records
                        .fitting(guest.service, now - guest.sent, highest, own),
                    guest.asks * stays,
                )
            });
        let pools: Vec<(Vec<Resources>, Resources)> = guests.collect();
        let pool = self
            .records
            .fitting(new.service, 0, Resources::default(), Resources::ONE);
        // Of its own for each machine, service and moment: a look that is left out moves no later
        // draw, and likes that ask for more draw alike.
        let dice = mix(new.service.0 ^ mix(now ^ mix(u64::from(weighed.machine.0) ^ self.seed)));
        let mut rng = Pcg64Mcg::seed_from_u64(dice);
        let (mut with, mut without) = (0, 0);
        for _ in 0..DRAWS {
            let mut sum = weighed.base;
            for (pool, asks) in &pools {
                sum = sum + *asks * pool[rng.random_range(0..pool.len())];
            }
            without += usize::from(!sum.fits_in(weighed.line));
            sum = sum + new.requested * pool[rng.random_range(0..pool.len())];
            with += usize::from(!sum.fits_in(weighed.line));
            // It is out of the question, and how far is asked only of those that could bear it.
            if !weighed.bears && with as f64 > THETA * DRAWS as f64 {
                break;
            }
        }
        (with as f64 / DRAWS as f64, without as f64 / DRAWS as f64)
    }
}

/// What is left of a report's weight at this age.
pub(super) fn weight(age: Ticks) -> f64 {
    (-(age as f64) / REPORT_HALF).exp2()
}
