//! Chooses the machine for an allocation: PrV-WorstFit over the machines that pass the filters.

use super::overload::{Candidate, HELD_BACK_TIER, THETA};
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Tolerance within which two values count as equal: relative for W Max, absolute for increases in
/// risk.
const TIE_TOLERANCE: f64 = 0.02;
/// Number of candidates not held back, first in the service's rendezvous order, that are tried
/// before all other machines.
const FIRST_CANDIDATES: usize = 2;
/// Multiple of the usual answer time after which an idempotent attempt times out.
const TIMEOUT_MULTIPLE: f64 = 8.0;
/// Health checks allowed for each new allocation.
const HEALTH_CHECKS_PER_ALLOCATION: f64 = 1.0;

/// The machines to which an allocation may be dispatched.
enum Eligible {
    All,
    Only(Vec<MachineId>),
}

impl Scheduler {
    /// Decides whether to dispatch the allocation to a machine, defer it or abandon it.
    #[must_use]
    pub fn place(&mut self, now: Ticks, allocation: &Allocation) -> Placement {
        let deadline = allocation.deadline;
        if now + ANSWER_MARGIN >= deadline || allocation.attempts.len() >= self.cluster.max_attempts
        {
            return self.abandon(allocation);
        }
        if allocation.attempts.is_empty() && allocation.accepted_at == now {
            self.record_demand(now, allocation);
        }
        let Some(eligible) = self.eligible(now, allocation) else {
            return self.abandon(allocation);
        };
        self.refresh_summary(now);
        self.replicas_by_domain = self.count_replicas(allocation);
        // If other allocations were deferred recently, most likely no machine can take this one
        // either.
        let recently = now.saturating_sub(2 * SUMMARY_INTERVAL);
        let others_deferred = self.retry_schedule.deferred_since(recently);
        if others_deferred {
            let until = self.infeasible_until(now, allocation);
            if until > now {
                return self.defer(now, allocation, until);
            }
        }
        let reserved = self.reserved(now, allocation, &eligible);
        match reserved.or_else(|| self.choose_by_rank(now, allocation, &eligible)) {
            Some(machine) => self.dispatch(now, machine, allocation),
            None => {
                if allocation.possibly_executed_attempt().is_none() && others_deferred {
                    let group = AllocationGroup::of(allocation);
                    let index = &mut self.capacity_index;
                    index.record_infeasible(group, allocation.requested, now + 1, MAX_SERVICES);
                }
                self.defer(now, allocation, now + 1)
            }
        }
    }

    /// Records the request of a new allocation and adds to the health check budget.
    fn record_demand(&mut self, now: Ticks, allocation: &Allocation) {
        let requested = &mut self.learned.requested_cores;
        // The mean falls, so a deferred allocation may count as large from now on.
        if allocation.requested.cores < requested.mean_or(0.0) {
            self.retry_schedule.may_be_feasible_at = now;
        }
        requested.add(allocation.requested.cores, MEAN_RETENTION);
        let budget = self.health_check_budget + HEALTH_CHECKS_PER_ALLOCATION;
        self.health_check_budget = budget.min(self.machines.len() as f64);
    }

    /// Returns the machines at which another attempt can't cause harm by running the allocation
    /// twice, or `None` if no further attempt is safe.
    fn eligible(&self, now: Ticks, allocation: &Allocation) -> Option<Eligible> {
        let Some(first) = allocation.possibly_executed_attempt() else {
            return Some(Eligible::All);
        };
        let ids = self.machines.keys().copied();
        let latest = now + self.cluster.connect_timeout + ANSWER_MARGIN;
        match self.cluster.service_classes[allocation.service_class.0].retry_safety {
            // A machine that still runs an earlier attempt would reject another one.
            RetrySafety::Idempotent => {
                let may_run = |id: MachineId| {
                    let mut attempts = allocation.attempts.iter();
                    attempts.any(|attempt| {
                        attempt.machine == id && attempt.state != AttemptState::NotExecuted
                    })
                };
                let other_machines: Vec<MachineId> = ids.filter(|&id| !may_run(id)).collect();
                Some(match other_machines.is_empty() {
                    true => Eligible::All,
                    false => Eligible::Only(other_machines),
                })
            }
            RetrySafety::NotRetryable => None,
            // Repeated attempts are deduplicated only within the window and within the domain.
            RetrySafety::Deduplicated { window, .. } if latest >= first.sent_at + window => None,
            RetrySafety::Deduplicated { scope, .. } => {
                let deduplicates = |&id: &MachineId| {
                    scope.is_none_or(|domain| self.same_domain(domain, id, first.machine))
                };
                Some(Eligible::Only(ids.filter(deduplicates).collect()))
            }
        }
    }

    /// Returns the machine with a reservation for this allocation, if it is eligible and passes the
    /// filters.
    fn reserved(
        &self,
        now: Ticks,
        allocation: &Allocation,
        eligible: &Eligible,
    ) -> Option<MachineId> {
        let (id, reservation) = self.reservation()?;
        let eligible = match eligible {
            Eligible::All => true,
            Eligible::Only(ids) => ids.contains(&id),
        };
        let passes_filters = || self.passes_filters_at(now, id, allocation) <= now;
        (reservation.allocation == allocation.id && eligible && passes_filters()).then_some(id)
    }

    /// Returns one of the machines first in the service's rendezvous order if one of them is under
    /// theta, otherwise the best of all machines. All schedulers thus use the same few machines for
    /// a service, and these keep its program cached.
    fn choose_by_rank(
        &self,
        now: Ticks,
        allocation: &Allocation,
        eligible: &Eligible,
    ) -> Option<MachineId> {
        let service = allocation.service;
        let rank = |id, machine| Reverse((self.rendezvous_rank(service, id, machine), id));
        // Usually only a few machines are popped from this heap; sorting all of them would cost as
        // much as the rest of the placement.
        let mut ranked: BinaryHeap<_> = match eligible {
            Eligible::All => {
                let machines = self.machines.iter();
                machines.map(|(&id, machine)| rank(id, machine)).collect()
            }
            Eligible::Only(ids) => {
                let ids = ids.iter();
                ids.map(|&id| rank(id, &self.machines[&id])).collect()
            }
        };
        let (mut first_candidates, mut ordered_ids) = (Vec::new(), Vec::new());
        while first_candidates.len() < FIRST_CANDIDATES
            && let Some(Reverse((_, id))) = ranked.pop()
        {
            let Some(candidate) = self.score(now, id, allocation, false) else {
                continue;
            };
            ordered_ids.push(id);
            if candidate.tier < HELD_BACK_TIER {
                first_candidates.push(Candidate {
                    tier: 0,
                    within_overload_limit: false,
                    ..candidate
                });
            }
        }
        if let Some(machine) = self.choose(now, first_candidates, allocation) {
            return Some(machine);
        }
        // The machines tried first, except those that the filters rejected, followed by the
        // remaining machines in rendezvous order.
        let rest = ranked.into_sorted_vec().into_iter().rev();
        ordered_ids.extend(rest.map(|Reverse((_, id))| id));
        // Usage of lower priorities is discounted only if no machine is under theta without the
        // discount.
        let passes: &[bool] = match self.counted_share(allocation.service_class, None) < 1.0 {
            true => &[false, true],
            false => &[true],
        };
        passes
            .iter()
            .find_map(|&final_pass| self.choose_among(now, &ordered_ids, allocation, final_pass))
    }

    /// Returns the best of these machines. Before the final pass, and for a tenant over its quota,
    /// only a machine under theta may be chosen.
    fn choose_among(
        &self,
        now: Ticks,
        ids: &[MachineId],
        new: &Allocation,
        final_pass: bool,
    ) -> Option<MachineId> {
        let score = |&id: &MachineId| self.score(now, id, new, final_pass);
        let mut candidates: Vec<Candidate> = ids.iter().filter_map(score).collect();
        let any_within_limit = candidates
            .iter()
            .any(|candidate| candidate.within_overload_limit);
        let under_theta_only = !final_pass || any_within_limit && self.over_quota(new);
        for candidate in &mut candidates {
            candidate.within_overload_limit &= !under_theta_only;
        }
        any_within_limit
            .then(|| self.choose(now, candidates, new))
            .flatten()
    }

    /// Returns the candidate under theta with the lowest W Max, from the lowest tier that has one.
    /// If none is under theta, returns the candidate with the smallest increase in risk. Ties are
    /// broken at random so that schedulers with the same information don't all choose the same
    /// machine.
    fn choose(
        &self,
        now: Ticks,
        mut candidates: Vec<Candidate>,
        new: &Allocation,
    ) -> Option<MachineId> {
        candidates.sort_by(|a, b| a.tier.cmp(&b.tier).then(a.w_max.total_cmp(&b.w_max)));
        let mut best: Vec<&Candidate> = Vec::new();
        let mut increases = Vec::new();
        for candidate in &candidates {
            // Candidates are in ascending order, so no later one can win.
            if best.first().is_some_and(|first| {
                candidate.tier > first.tier || candidate.w_max > first.w_max * (1.0 + TIE_TOLERANCE)
            }) {
                break;
            }
            let risk = self.violation_risk(now, candidate, new);
            increases.push(risk.with - risk.without);
            if risk.with <= THETA {
                best.push(candidate);
            }
        }
        if best.is_empty() {
            // A machine already over its usable capacity shows no increase in risk and would
            // attract every allocation, so only candidates within the overload limit are
            // considered.
            let within_limit = || {
                std::iter::zip(&candidates, &increases)
                    .filter(|(candidate, _)| candidate.within_overload_limit)
            };
            let increases = within_limit().map(|(_, increase)| *increase);
            let increase_limit = increases.fold(f64::INFINITY, f64::min) + TIE_TOLERANCE;
            let lowest_increase =
                within_limit().filter(|(_, increase)| **increase <= increase_limit);
            best = lowest_increase.map(|(candidate, _)| candidate).collect();
            let w_max_values = best.iter().map(|candidate| candidate.w_max);
            let lowest = w_max_values.fold(f64::INFINITY, f64::min);
            best.retain(|candidate| candidate.w_max <= lowest * (1.0 + TIE_TOLERANCE));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(hash_id(new.id.0 ^ hash_id(now ^ self.seed)));
        (!best.is_empty()).then(|| best[rng.random_range(0..best.len())].machine)
    }

    /// Records the dispatch to the machine and sets the timeout of the attempt.
    fn dispatch(&mut self, now: Ticks, machine: MachineId, allocation: &Allocation) -> Placement {
        self.add_placed(now, allocation, machine);
        let (slow_start, connect_timeout) =
            (&self.cluster.slow_start, self.cluster.connect_timeout);
        let window = slow_start.window.max(connect_timeout) + ANSWER_MARGIN;
        let dispatches = &mut self.machines.entry(machine).or_default().recent_dispatches;
        dispatches.push_back(now);
        dispatches.retain(|&at| at + window >= now);
        let remaining = allocation.deadline - ANSWER_MARGIN / 2 - now;
        let service_class = &self.cluster.service_classes[allocation.service_class.0];
        // An attempt that is abandoned while it waits in a queue may still run, after which an
        // allocation that must not run twice can't be retried freely. So only idempotent attempts
        // time out before the deadline, and only when a machine is far slower than usual.
        let usual_answer_time = self.learned.answer_time.mean_or(remaining as f64);
        let slow_answer_time = (usual_answer_time * TIMEOUT_MULTIPLE) as Ticks;
        let may_retry = service_class.retry_safety == RetrySafety::Idempotent
            && allocation.attempts.len() + 1 < self.cluster.max_attempts;
        let timeout = match may_retry {
            true => remaining.min(slow_answer_time.max(2 * service_class.latency_objective)),
            false => remaining,
        };
        Placement::Dispatch { machine, timeout }
    }

    /// Defers the allocation until that time or until capacity changes.
    fn defer(&mut self, now: Ticks, new: &Allocation, until: Ticks) -> Placement {
        // An allocation that may have run is abandoned when repeated attempts are no longer
        // deduplicated.
        let abandon_at = match (
            self.cluster.service_classes[new.service_class.0].retry_safety,
            new.possibly_executed_attempt(),
        ) {
            (RetrySafety::Deduplicated { window, .. }, Some(first)) => first.sent_at + window,
            _ => NEVER,
        };
        let until =
            until.min(abandon_at.saturating_sub(self.cluster.connect_timeout + ANSWER_MARGIN));
        // The next summary causes all deferred allocations to be evaluated again.
        let next_full_evaluation = now + SUMMARY_INTERVAL + RETRY_INTERVAL;
        let deadline = Some(new.deadline - ANSWER_MARGIN).filter(|at| *at <= next_full_evaluation);
        let schedule = &mut self.retry_schedule;
        schedule.defer(now, now + RETRY_INTERVAL, until, deadline);
        if self.is_large(new.requested) {
            // Capacity is cleared again once the last reservation has ended.
            let reserved_until = self
                .reservation()
                .map_or(0, |(_, reservation)| reservation.until);
            if reserved_until <= now {
                self.starved = Some(new.clone());
            }
            let next_clearing_at = self.next_sweep_at.max(reserved_until);
            let schedule = &mut self.retry_schedule;
            schedule.may_be_feasible_at = schedule.may_be_feasible_at.min(next_clearing_at);
        }
        Placement::Deferred
    }

    /// Returns the safe answer: `Shed` only if no attempt can have run or a repeat does no harm,
    /// otherwise `Indeterminate`.
    fn abandon(&self, allocation: &Allocation) -> Placement {
        let repeatable_anywhere = matches!(
            self.cluster.service_classes[allocation.service_class.0].retry_safety,
            RetrySafety::Idempotent | RetrySafety::Deduplicated { scope: None, .. }
        );
        match allocation.possibly_executed_attempt().is_none() || repeatable_anywhere {
            true => Placement::Shed,
            false => Placement::Indeterminate,
        }
    }

    /// Returns the machine's rank for a service by weighted rendezvous hashing, which is the same
    /// at every scheduler. A machine's chance of ranking first is proportional to its cores, and
    /// adding or removing a machine changes few ranks.
    fn rendezvous_rank(&self, service: ServiceId, id: MachineId, machine: &Machine) -> u64 {
        let hash = hash_id(service.0 ^ hash_id(u64::from(id.0)));
        let uniform_draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let cores = self.size(machine).map_or(1.0, |size| size.cores);
        (-uniform_draw.ln() / cores * 1e12) as u64
    }
}
