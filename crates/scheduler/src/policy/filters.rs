//! Filters machines by state, machine type, health, slow start, accepted requests and spread. The
//! filters determine the time from which a machine may be considered; the machines that pass are
//! scored.

use super::*;

impl Scheduler {
    /// Returns the time from which the machine passes the filters if nothing else happens: `now` or
    /// earlier if it passes already, [`NEVER`] if some event must happen first.
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
        let rejection = machine
            .rejection
            .filter(|rejection| rejection.requested.fits_in(allocation.requested));
        let awaits_moves = || machine.allocations.values().any(|placed| placed.moving);
        let accepts_at = match machine
            .reservation
            .filter(|reservation| reservation.until > now)
        {
            Some(reservation) if reservation.allocation == allocation.id && !awaits_moves() => 0,
            Some(reservation) => reservation.until,
            None if !self.cluster.list_reports_capacity => 0,
            None if self.accepts(now, machine, size, allocation.requested) => 0,
            None => now + 1,
        };
        rejection
            .map_or(0, |rejection| rejection.until)
            .max(machine.ejected_until)
            .max(accepts_at)
            .max(self.slow_start_allows_at(now, id, endpoint))
    }

    /// Returns the time from which slow start allows another attempt. A machine that has just
    /// started fails under too many attempts, and the attempts of other schedulers are not known.
    /// So in any window each scheduler keeps to its quota of the attempts that the machine can
    /// always take. The remainder of the division is spread over the schedulers, one attempt
    /// each, starting at one that depends on the machine's id, so the quotas add up to the limit
    /// for any number of schedulers.
    fn slow_start_allows_at(&self, now: Ticks, id: MachineId, endpoint: Endpoint) -> Ticks {
        let slow_start = &self.cluster.slow_start;
        let Some(started_at) = endpoint.started_at else {
            return 0;
        };
        let warmed_up_at = started_at + slow_start.duration + ANSWER_MARGIN + 1;
        if now >= warmed_up_at {
            return 0;
        }
        // Our own previous incarnation may have used up the quota of this window.
        if now < self.started_at + slow_start.window && started_at < self.started_at {
            return warmed_up_at.min(self.started_at + slow_start.window);
        }
        let (attempts, scheduler_count) = (
            slow_start.max_attempts as usize,
            self.cluster.scheduler_count.max(1),
        );
        let hash = hash_id(u64::from(id.0)) as usize;
        let position = (hash % scheduler_count + self.cluster.scheduler_index) % scheduler_count;
        let quota = attempts / scheduler_count + usize::from(position < attempts % scheduler_count);
        // An attempt may be sent at any time until the connect timeout.
        let window = slow_start.window.max(self.cluster.connect_timeout) + ANSWER_MARGIN;
        warmed_up_at.min(self.machines[&id].below_quota_at(quota, now, window))
    }

    /// Returns whether the machine, given the requests on it, would accept this request as well.
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

    /// Returns the number of our replicas of the allocation's service in each domain over which its
    /// class is spread. They are counted once for each evaluation because the spread filter runs
    /// for hundreds of machines.
    pub(super) fn count_replicas(&self, allocation: &Allocation) -> Vec<ReplicaCount> {
        let Some((domain, _)) = self.cluster.service_classes[allocation.service_class.0].spread
        else {
            return Vec::new();
        };
        self.service_placements
            .count_by_domain(allocation.service, |id| self.domain_of(domain, id))
    }

    /// Returns whether the machine's domain has fewer replicas of the service than its class
    /// allows.
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
