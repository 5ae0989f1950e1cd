//! The filters: state, machine type, health, slow start, acceptance and spread. They say from when
//! a machine may be considered; what they let through is weighed.

use super::*;

impl Scheduler {
    /// From when the machine passes the filters, as far as that comes by itself: `now` or earlier
    /// where it passes already, [`NEVER`] where something must happen first.
    pub(super) fn passes_filters_at(
        &self,
        now: Ticks,
        id: MachineId,
        allocation: &Allocation,
    ) -> Ticks {
        let machine = &self.machines[&id];
        let service_class = &self.cluster.service_classes[allocation.service_class.0];
        let (Some(endpoint), Some(size)) = (machine.endpoint, self.size(machine)) else {
            return NEVER;
        };
        let wrong_type = service_class
            .machine_type
            .is_some_and(|machine_type| machine_type != endpoint.machine_type);
        if !machine.is_serving() || wrong_type || !self.spread_allows(id, allocation) {
            return NEVER;
        }
        let refusal = machine
            .refusal
            .filter(|refusal| refusal.requested.fits_in(allocation.requested));
        let awaits_moves = || machine.allocations.values().any(|placed| placed.moving);
        let accepts_at = match machine.reservation.filter(|one| one.until > now) {
            Some(one) if one.allocation == allocation.id && !awaits_moves() => 0,
            Some(one) => one.until,
            None if !self.cluster.list_reports_capacity => 0,
            None if self.accepts(now, machine, size, allocation.requested) => 0,
            None => now + 1,
        };
        refusal
            .map_or(0, |refusal| refusal.until)
            .max(machine.ejected_until)
            .max(accepts_at)
            .max(self.slow_start_allows_at(now, id, endpoint))
    }

    /// A machine just started fails under too many attempts, and those of the others are not known.
    /// So each scheduler keeps to its quota of what is always borne, in any window; the rest of the
    /// division goes to as many schedulers, by the machine's id. The sum is borne however many
    /// there are.
    fn slow_start_allows_at(&self, now: Ticks, id: MachineId, endpoint: Endpoint) -> Ticks {
        let slow_start = &self.cluster.slow_start;
        let Some(started_at) = endpoint.started_at else {
            return 0;
        };
        let warmed_up_at = started_at + slow_start.duration + ANSWER_MARGIN + 1;
        if now >= warmed_up_at {
            return 0;
        }
        // An earlier incarnation of ours may have used up its quota of this window.
        if now < self.started_at + slow_start.window && started_at < self.started_at {
            return warmed_up_at.min(self.started_at + slow_start.window);
        }
        let (attempts, scheduler_count) = (
            slow_start.max_offers as usize,
            self.cluster.scheduler_count.max(1),
        );
        let hash = hash_id(u64::from(id.0)) as usize;
        let position = (hash % scheduler_count + self.cluster.scheduler_index) % scheduler_count;
        let quota = attempts / scheduler_count + usize::from(position < attempts % scheduler_count);
        // An attempt may leave at any moment until its connection must be up.
        let window = slow_start.window.max(self.cluster.connect_timeout) + ANSWER_MARGIN;
        warmed_up_at.min(self.machines[&id].below_quota_at(quota, now, window))
    }

    /// Whether the machine would accept so much more by what is requested of it.
    pub(super) fn accepts(
        &self,
        now: Ticks,
        machine: &Machine,
        size: Resources,
        requested: Resources,
    ) -> bool {
        let total = self.total_requested(now, machine, || self.usage_by_others(now, now, machine));
        (total + requested).fits_in(size * self.cluster.admission_limit)
    }

    /// Our replicas of its service in each domain that its class spreads over. Counted once for an
    /// evaluation: the spread filter asks for each of hundreds of machines.
    pub(super) fn count_replicas(&self, allocation: &Allocation) -> Vec<ReplicaCount> {
        let Some((domain, _)) = self.cluster.service_classes[allocation.service_class.0].spread
        else {
            return Vec::new();
        };
        self.service_placements
            .count_by_domain(allocation.service, |id| self.domain_of(domain, id))
    }

    fn spread_allows(&self, id: MachineId, allocation: &Allocation) -> bool {
        let Some((domain, max_replicas)) =
            self.cluster.service_classes[allocation.service_class.0].spread
        else {
            return true;
        };
        let domain_id = self.domain_of(domain, id);
        let mut counts = self.replicas_by_domain.iter();
        let here = counts.find(|count| Some(count.domain) == domain_id);
        here.is_none_or(|count| count.replicas < max_replicas)
    }
}
