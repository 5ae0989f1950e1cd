//! Finds evaluations that can be skipped because they would find no machine. No decision changes:
//! an evaluation is skipped only if the complete one would defer the allocation, which tests
//! compare call by call.

use super::overload::{Candidate, THETA, overload_limit, usable_share};
use super::*;

/// Relative allowance for rounding errors.
const ROUNDING_ALLOWANCE: f64 = 1e-9;
const NO_CAPACITY: Resources = Resources {
    cores: f64::NEG_INFINITY,
    memory: f64::NEG_INFINITY,
};

/// Lower bounds of a machine's usage as they count for an allocation of one service class.
struct UsageBounds {
    expected: Resources,
    least_draw: Resources,
}

impl Scheduler {
    /// Returns the time until which no machine can take the allocation if nothing else happens, or
    /// `now` if one may take it. Only machines whose bounds allow it are scored; for a group that
    /// was infeasible before, only those of them that have gained capacity since.
    pub(super) fn infeasible_until(&mut self, now: Ticks, new: &Allocation) -> Ticks {
        let reservation = self.reservation();
        if reservation.is_some_and(|(_, reservation)| reservation.allocation == new.id) {
            return now;
        }
        self.refresh_capacity(now);
        let changes = self.capacity_index.changes();
        self.retry_schedule.record_evaluation(changes);
        let group = AllocationGroup::of(new);
        let service_class = &self.cluster.service_classes[new.service_class.0];
        let start = self.start_usage(true, service_class);
        let start = start.min(self.start_usage(false, service_class));
        let required = AvailableCapacity {
            by_expected_usage: new.requested * self.learned.peak_usage.mean_or_one() + start,
            by_least_draw: new.requested * self.usage_history.least_peak(new.service),
            by_requests: new.requested,
        };
        let possible = self.capacity_index.possible_machines(now, group, required);
        let mut until = possible.until;
        let mut over_quota = None;
        for id in possible.machines {
            let at = self.feasible_from(now, id, new, &mut over_quota);
            if at <= now {
                return now;
            }
            until = until.min(at);
        }
        let index = &mut self.capacity_index;
        index.record_infeasible(group, new.requested, until, MAX_SERVICES);
        until
    }

    /// Returns the time from which the machine, scored now, might take the allocation if nothing
    /// else happens.
    fn feasible_from(
        &self,
        now: Ticks,
        id: MachineId,
        new: &Allocation,
        over_quota: &mut Option<bool>,
    ) -> Ticks {
        let passes_filters_at = self.passes_filters_at(now, id, new);
        let discounted = self.counted_share(new.service_class, None) < 1.0;
        let scored = self.score(now, id, new, discounted);
        let Some(candidate) = scored.filter(|_| passes_filters_at <= now) else {
            return passes_filters_at;
        };
        let mut within_quota = || !*over_quota.get_or_insert_with(|| self.over_quota(new));
        if candidate.within_overload_limit && within_quota() {
            return now;
        }
        let candidate = Candidate {
            within_overload_limit: false,
            ..candidate
        };
        let under_theta = self.violation_risk(now, &candidate, new).with <= THETA;
        now + Ticks::from(!under_theta)
    }

    /// Updates the bounds: all of them after each new summary and after a change of the means on
    /// which they are based, otherwise those of the changed machines.
    fn refresh_capacity(&mut self, now: Ticks) {
        let until = self.summary.computed_at.unwrap_or(now) + SUMMARY_INTERVAL;
        let means = [self.learned.peak_usage, self.learned.current_usage];
        if self.capacity_index.is_current(until, means) {
            for id in self.capacity_index.changed_machines() {
                let bounds = self.available_capacity(now, until, id);
                self.capacity_index.update(id, bounds);
            }
        } else {
            let ids = self.machines.keys();
            let bounds = ids.map(|&id| (id, self.available_capacity(now, until, id)));
            let bounds = bounds.collect();
            self.capacity_index.rebuild(until, means, bounds);
        }
    }

    /// Returns, for each service class, an upper bound of the machine's available capacity from
    /// `now` to `until`, valid as long as no event changes the machine. Usage by others lies
    /// between its values at both ends. Our allocations that reach the report delay in this time
    /// are treated as if they had already reached it.
    fn available_capacity(
        &self,
        now: Ticks,
        until: Ticks,
        id: MachineId,
    ) -> Vec<AvailableCapacity> {
        let none = AvailableCapacity {
            by_expected_usage: NO_CAPACITY,
            by_least_draw: NO_CAPACITY,
            by_requests: NO_CAPACITY,
        };
        let machine = self
            .machines
            .get(&id)
            .filter(|machine| machine.is_serving());
        let known =
            machine.and_then(|machine| Some((machine, self.size(machine)?, machine.endpoint?)));
        let Some((machine, size, endpoint)) = known else {
            return vec![none; self.cluster.service_classes.len()];
        };
        let others = self
            .usage_by_others(until, now, machine)
            .min(self.usage_by_others(until, until, machine));
        let requested = self.total_requested(until, machine, || others);
        let by_requests = match self.cluster.list_reports_capacity {
            true => size * self.cluster.admission_limit - requested + size * ROUNDING_ALLOWANCE,
            false => Resources::ONE * f64::INFINITY,
        };
        let rounding = Resources::ONE * ROUNDING_ALLOWANCE;
        let service_classes = self.cluster.service_classes.iter().enumerate();
        let bounds = service_classes.map(|(index, service_class)| {
            if service_class
                .machine_type
                .is_some_and(|machine_type| machine_type != endpoint.machine_type)
            {
                return none;
            }
            let usage = self.usage_bounds(machine, ServiceClassId(index), others);
            AvailableCapacity {
                by_expected_usage: size * (overload_limit(service_class) + rounding)
                    - usage.expected,
                by_least_draw: size * (usable_share(service_class) + rounding) - usage.least_draw,
                by_requests,
            }
        });
        bounds.collect()
    }

    /// Returns lower bounds of the machine's usage for an allocation of this service class.
    fn usage_bounds(
        &self,
        machine: &Machine,
        service_class: ServiceClassId,
        others: Resources,
    ) -> UsageBounds {
        let share = |counted| self.counted_share(service_class, counted);
        let mut usage = UsageBounds {
            expected: others * share(None),
            least_draw: others * share(None),
        };
        for placed in machine.allocations.values() {
            let least_drawn = || placed.requested * self.usage_history.least_peak(placed.service);
            let drawn = placed
                .current_usage
                .map_or_else(least_drawn, |_| placed.peak_usage);
            let share = share(Some(placed.service_class));
            usage.expected = usage.expected + self.usage_of(placed) * share;
            usage.least_draw = usage.least_draw + drawn * share;
        }
        usage
    }

    /// Returns whether a deferred allocation that found no machine in the last round might find one
    /// now.
    pub(super) fn retry_worthwhile(&mut self, now: Ticks) -> bool {
        let computed_at = self.summary.computed_at;
        let outdated = computed_at.is_none_or(|at| at + SUMMARY_INTERVAL <= now);
        if outdated || self.retry_schedule.may_be_feasible_at <= now {
            return true;
        }
        self.refresh_capacity(now);
        self.capacity_index.changes() != self.retry_schedule.changes
    }
}
