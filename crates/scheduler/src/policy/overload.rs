//! Estimates the usage and the requests on a machine and the probability that it becomes
//! overloaded.

use super::*;

/// The paper's theta: the maximum share of draws in which usage may exceed the usable capacity.
pub(super) const THETA: f64 = 0.01;
/// The paper's number of draws.
const DRAWS: usize = 100;
/// The paper's f for memory. It is below 1 because machines slow down before they evict. For cores,
/// f is the service class's target utilization.
pub(super) const F_MEMORY: f64 = 0.9;
/// Share of a machine's memory that may be used when no machine is under theta. Beyond it all
/// allocations on the machine slow down, and then some are evicted.
pub(super) const MAX_MEMORY_SHARE: f64 = 0.92;
/// Share of a machine's cores by which the target utilization may be exceeded when no machine is
/// under theta: an overloaded machine still serves, only less well.
pub(super) const CORE_OVERLOAD_ALLOWANCE: f64 = 0.25;
/// Share of the usage of lower priorities that counts when it is discounted.
const LOWER_PRIORITY_SHARE: f64 = 0.5;
/// Time in ticks in which the weight of a load report, against the usage expected without it,
/// halves.
const REPORT_HALF_LIFE: f64 = 4.0 * SECOND as f64;
/// Multiple of its quota above which a tenant counts as over it. It exceeds 1 because requests are
/// not spread evenly over the schedulers.
const OVER_QUOTA_FACTOR: f64 = 1.3;
/// The tier of candidates that are held back: they are used last.
pub(super) const HELD_BACK_TIER: u8 = 3;

/// A machine scored for one allocation.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub machine: MachineId,
    /// Whether the usage of lower priorities was discounted.
    pub discounted: bool,
    /// The paper's W Max: the larger share of cores and memory in use with the allocation.
    pub w_max: f64,
    /// Whether the expected usage with the allocation stays within the overload limit, so that the
    /// machine may be chosen even above theta. Cleared if only machines under theta may be
    /// chosen.
    pub within_overload_limit: bool,
    /// Usage by other schedulers' allocations.
    pub others: Resources,
    /// The machine's size multiplied by f.
    pub usable_capacity: Resources,
    /// The order in which machines are used: 0 first, [`HELD_BACK_TIER`] last.
    pub tier: u8,
}

/// The shares of draws in which usage exceeds the usable capacity, with and without the allocation.
pub(super) struct Risk {
    pub with: f64,
    pub without: f64,
}

impl Scheduler {
    /// Returns the current usage of one of our allocations: as last reported, or else the usual
    /// share of its request.
    pub(crate) fn usage_of(&self, placed: &PlacedAllocation) -> Resources {
        placed
            .current_usage
            .unwrap_or(placed.requested * self.learned.peak_usage.mean_or_one())
    }

    /// Returns the usage by other schedulers' allocations: a mean of the last load report and the
    /// usage expected from the endpoint list or from the average, in which the weight of the report
    /// decays with its age. One of many schedulers seldom gets a report from a given machine. The
    /// ages of our own allocations are taken at `ages_at`.
    pub(super) fn usage_by_others(
        &self,
        ages_at: Ticks,
        now: Ticks,
        machine: &Machine,
    ) -> Resources {
        let size = self.size(machine).unwrap_or_default();
        let listed_own = machine
            .allocations
            .values()
            .filter(|placed| placed.sent_at + REPORT_DELAY <= ages_at);
        let listed = machine
            .listed_requested
            .filter(|_| self.learned.current_usage.cores.mean_or(0.0) > 0.0);
        let expected = listed.map_or(self.summary.average_usage * size, |requested| {
            let others = requested - listed_own.map(|placed| placed.requested).sum();
            others.max(Resources::default()) * self.learned.current_usage.mean_or_one()
        });
        machine.reported_usage.map_or(expected, |report| {
            expected + (report.usage - expected) * report_weight(now - report.at)
        })
    }

    /// Returns the usage of all allocations on the machine.
    pub(super) fn total_usage(&self, now: Ticks, machine: &Machine) -> Resources {
        let own_allocations = machine.allocations.values();
        self.usage_by_others(now, now, machine)
            + own_allocations.map(|placed| self.usage_of(placed)).sum()
    }

    /// Returns the sum of the requests of all schedulers' allocations on a machine. The endpoint
    /// list lags behind, so our dispatches since then are added. Without the list, the other
    /// schedulers' requests are estimated from their usage.
    pub(super) fn total_requested(
        &self,
        now: Ticks,
        machine: &Machine,
        others: impl Fn() -> Resources,
    ) -> Resources {
        let listed = machine.listed_requested;
        let unlisted_since = listed.map_or(0, |_| now.saturating_sub(REPORT_DELAY));
        let own_requested = machine
            .allocations
            .values()
            .filter(|placed| placed.sent_at >= unlisted_since)
            .map(|placed| placed.requested);
        let estimated = || others() / self.learned.current_usage.mean_or_one();
        listed.unwrap_or_else(estimated) + own_requested.sum()
    }

    /// Returns the share of the usage of class `counted` (with `None`: of other schedulers' usage,
    /// whose class is unknown) that counts when an allocation of class `new` is placed. A machine
    /// that is short of a resource takes it from lower priorities, so their usage is discounted.
    /// Where machines preempt them instead, they count in full because they would be requested
    /// again.
    pub(super) fn counted_share(
        &self,
        new: ServiceClassId,
        counted: Option<ServiceClassId>,
    ) -> f64 {
        let service_classes = &self.cluster.service_classes;
        let priority = |service_class: ServiceClassId| service_classes[service_class.0].priority;
        let lowest = || {
            service_classes
                .iter()
                .map(|service_class| service_class.priority)
                .min()
                .unwrap_or(0)
        };
        let lower = !self.cluster.preempts && counted.map_or_else(lowest, priority) < priority(new);
        if lower { LOWER_PRIORITY_SHARE } else { 1.0 }
    }

    /// Returns whether the tenant is well over its quota of cores, assuming that it holds as much
    /// at each other scheduler. One standard error is subtracted because one of many schedulers
    /// holds a few allocations by chance.
    pub(super) fn over_quota(&self, allocation: &Allocation) -> bool {
        let tenant = self.cluster.tenants.get(allocation.tenant.0);
        let quota = tenant.and_then(|tenant| tenant.quota_cores);
        let machines = self.machines.values();
        let own_cores = machines
            .flat_map(|machine| machine.allocations.values())
            .filter(|placed| placed.tenant == allocation.tenant)
            .map(|placed| placed.requested.cores);
        let held = allocation.requested.cores + own_cores.sum::<f64>();
        let lower_bound = held - (held * self.learned.requested_cores.mean_or(0.0)).sqrt();
        let total = lower_bound * self.cluster.scheduler_count as f64;
        quota.is_some_and(|quota| total > quota * OVER_QUOTA_FACTOR)
    }

    /// Returns the cores that a starting allocation needs to finish its start within the latency
    /// objective of its class. A start takes far longer if the program must be loaded first.
    pub(super) fn start_usage(&self, cached: bool, service_class: &ServiceClass) -> Resources {
        let times = &self.learned.start_time;
        let time = times[usize::from(cached)].mean_or(times[1].mean_or(0.0));
        Resources {
            cores: time / service_class.latency_objective.max(1) as f64,
            memory: 0.0,
        }
    }

    /// Scores the machine with the allocation starting on it, before any draw. Returns `None` if
    /// the filters reject the machine.
    pub(super) fn score(
        &self,
        now: Ticks,
        id: MachineId,
        new: &Allocation,
        discounted: bool,
    ) -> Option<Candidate> {
        let share = |counted| match discounted {
            true => self.counted_share(new.service_class, counted),
            false => 1.0,
        };
        let machine = &self.machines[&id];
        let size = self
            .size(machine)
            .filter(|_| self.passes_filters_at(now, id, new) <= now)?;
        let service_class = &self.cluster.service_classes[new.service_class.0];
        let others = self.usage_by_others(now, now, machine) * share(None);
        let own_usage = machine.allocations.values().map(|placed| {
            let class = &self.cluster.service_classes[placed.service_class.0];
            let start = self.start_usage(placed.program_was_cached, class);
            self.usage_of(placed) * share(Some(placed.service_class))
                + start * f64::from(u8::from(!placed.running))
        });
        let load = others
            + own_usage.sum()
            + new.requested * self.learned.peak_usage.mean_or_one()
            + self.start_usage(machine.has_program(new.service), service_class);
        let same_zone = machine
            .endpoint
            .is_some_and(|endpoint| endpoint.zone == self.cluster.zone);
        let needed = self.summary.needed_machines.contains(&id);
        Some(Candidate {
            machine: id,
            discounted,
            others,
            usable_capacity: size * usable_share(service_class),
            w_max: load.fraction_of(size),
            within_overload_limit: load.fits_in(size * overload_limit(service_class)),
            tier: match needed && self.accepts(now, machine, size, new.requested) {
                true => 1 + u8::from(!same_zone && self.cluster.cross_zone_cost > 0.0),
                false => HELD_BACK_TIER,
            },
        })
    }

    /// Estimates the risk of exceeding the usable capacity by drawing a peak for the new allocation
    /// and for each of our allocations on the machine from their matching usage records.
    pub(super) fn violation_risk(
        &self,
        now: Ticks,
        candidate: &Candidate,
        new: &Allocation,
    ) -> Risk {
        let history = &self.usage_history;
        let placed = self.machines[&candidate.machine].allocations.values();
        let placed_peaks = placed.map(|placed| {
            let peak = placed.peak_usage / placed.requested;
            // If no record matches the usage so far, its own peak is used, or its request while no
            // usage is known.
            let fallback = placed.current_usage.map_or(Resources::ONE, |_| peak);
            let share = match candidate.discounted {
                true => self.counted_share(new.service_class, Some(placed.service_class)),
                false => 1.0,
            };
            let age = now - placed.sent_at;
            let matching = history.matching_peaks(placed.service, age, peak, fallback);
            (matching, placed.requested * share)
        });
        let placed_peaks: Vec<(Vec<Resources>, Resources)> = placed_peaks.collect();
        let new_peaks =
            history.matching_peaks(new.service, 0, Resources::default(), Resources::ONE);
        // The generator is seeded by machine, service and time, so that a skipped evaluation
        // doesn't change later draws and similar allocations get the same draws.
        let machine = u64::from(candidate.machine.0);
        let seed = hash_id(new.service.0 ^ hash_id(now ^ hash_id(machine ^ self.seed)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut with, mut without) = (0, 0);
        for _ in 0..DRAWS {
            let mut sum = candidate.others;
            for (peaks, requested) in &placed_peaks {
                sum = sum + *requested * peaks[rng.random_range(0..peaks.len())];
            }
            without += usize::from(!sum.fits_in(candidate.usable_capacity));
            sum = sum + new.requested * new_peaks[rng.random_range(0..new_peaks.len())];
            with += usize::from(!sum.fits_in(candidate.usable_capacity));
            // The candidate is over theta. By how much matters only within the overload limit.
            if !candidate.within_overload_limit && with as f64 > THETA * DRAWS as f64 {
                break;
            }
        }
        Risk {
            with: with as f64 / DRAWS as f64,
            without: without as f64 / DRAWS as f64,
        }
    }
}

/// Returns the paper's f for each resource.
pub(super) fn usable_share(service_class: &ServiceClass) -> Resources {
    Resources {
        cores: service_class.target_utilization,
        memory: F_MEMORY,
    }
}

/// Returns the share of a machine that may be in use when no machine is under theta.
pub(super) fn overload_limit(service_class: &ServiceClass) -> Resources {
    Resources {
        cores: service_class.target_utilization + CORE_OVERLOAD_ALLOWANCE,
        memory: MAX_MEMORY_SHARE,
    }
}

/// Returns the remaining weight of a load report of this age.
pub(super) fn report_weight(age: Ticks) -> f64 {
    (-(age as f64) / REPORT_HALF_LIFE).exp2()
}
