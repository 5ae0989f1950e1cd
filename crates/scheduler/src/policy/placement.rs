//! Where an allocation goes: PrV-WorstFit over the machines that the filters let through.

use super::overload::{Candidate, HELD_BACK_TIER, THETA};
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// W Max, and rises in risk, that differ by no more than this part count as equal.
const TIE_TOLERANCE: f64 = 0.02;
/// So many open machines of a service's rendezvous order are tried before all others.
const FIRST_CANDIDATES: usize = 2;
/// An idempotent attempt times out after this multiple of the usual answer time.
const TIMEOUT_MULTIPLE: f64 = 8.0;
/// Health checks for each allocation placed.
const HEALTH_CHECKS_PER_ALLOCATION: f64 = 1.0;

/// The machines that an allocation may go to.
enum Eligible {
    All,
    Only(Vec<MachineId>),
}

impl Scheduler {
    /// Where to dispatch this allocation, or that it waits, or that it is given up.
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
        // Where others were deferred, this one most likely finds no machine either.
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

    fn record_demand(&mut self, now: Ticks, allocation: &Allocation) {
        let requested = &mut self.learned.requested_cores;
        // A deferred one may count as large from here on.
        if allocation.requested.cores < requested.mean_or(0.0) {
            self.retry_schedule.may_be_feasible_at = now;
        }
        requested.add(allocation.requested.cores, MEAN_RETENTION);
        let budget = self.health_check_budget + HEALTH_CHECKS_PER_ALLOCATION;
        self.health_check_budget = budget.min(self.machines.len() as f64);
    }

    /// The machines at which an attempt can't run the allocation twice; none where no attempt is
    /// safe any more.
    fn eligible(&self, now: Ticks, allocation: &Allocation) -> Option<Eligible> {
        let Some(first) = allocation.possibly_executed_attempt() else {
            return Some(Eligible::All);
        };
        let ids = self.machines.keys().copied();
        let latest = now + self.cluster.connect_timeout + ANSWER_MARGIN;
        match self.cluster.service_classes[allocation.service_class.0].retry_safety {
            // A machine that still runs an earlier attempt would refuse another.
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
            // Repeats are dropped only within the window, and only in the domain.
            RetrySafety::Deduplicated { window, .. } if latest >= first.sent_at + window => None,
            RetrySafety::Deduplicated { scope, .. } => {
                let deduplicates = |&id: &MachineId| {
                    scope.is_none_or(|domain| self.same_domain(domain, id, first.machine))
                };
                Some(Eligible::Only(ids.filter(deduplicates).collect()))
            }
        }
    }

    /// The machine with a reservation for this allocation, if it is eligible and open.
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

    /// The machines first in the service's rendezvous order, if one is under theta: all schedulers
    /// then use the same few machines, which keep its program cached. Else the best of all.
    fn choose_by_rank(
        &self,
        now: Ticks,
        allocation: &Allocation,
        eligible: &Eligible,
    ) -> Option<MachineId> {
        let service = allocation.service;
        let rank = |id, machine| Reverse((self.rendezvous_rank(service, id, machine), id));
        // A heap: mostly a few are needed, and to sort all would cost as much as all the rest.
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
        // Those tried first, without the ones that the filters left out; then the rest in order.
        let rest = ranked.into_sorted_vec().into_iter().rev();
        ordered_ids.extend(rest.map(|Reverse((_, id))| id));
        // Usage of lower priorities is discounted only where no machine is under theta without that.
        let passes: &[bool] = match self.counted_share(allocation.service_class, None) < 1.0 {
            true => &[false, true],
            false => &[true],
        };
        passes
            .iter()
            .find_map(|&final_pass| self.choose_among(now, &ordered_ids, allocation, final_pass))
    }

    /// The best of these machines. Without `last`, and for a tenant over its quota, only one under
    /// theta will do.
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

    /// The lowest W Max among those under theta and not held back; else among the held back under
    /// theta; else the smallest rise in risk. Ties at random, so that schedulers which know the
    /// same don't all choose one machine.
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
            // From the lowest W Max up: no later one can win any more.
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
            // A machine over the line already rises by nothing: all would go to it.
            let within_limit = || {
                std::iter::zip(&candidates, &increases).filter(|(one, _)| one.within_overload_limit)
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
        // An attempt given up while it waits in a queue may run all the same, and binds what must
        // not run twice. So only what may run again times out, and only where a machine is far
        // slower than usual.
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

    /// It waits until then, or until something changes.
    fn defer(&mut self, now: Ticks, new: &Allocation, until: Ticks) -> Placement {
        // One that may have run is given up when its repeats are no longer dropped.
        let abandon_at = match (
            self.cluster.service_classes[new.service_class.0].retry_safety,
            new.possibly_executed_attempt(),
        ) {
            (RetrySafety::Deduplicated { window, .. }, Some(first)) => first.sent_at + window,
            _ => NEVER,
        };
        let until =
            until.min(abandon_at.saturating_sub(self.cluster.connect_timeout + ANSWER_MARGIN));
        // With the next summary all are evaluated again.
        let next_full_evaluation = now + SUMMARY_INTERVAL + RETRY_INTERVAL;
        let deadline = Some(new.deadline - ANSWER_MARGIN).filter(|at| *at <= next_full_evaluation);
        let schedule = &mut self.retry_schedule;
        schedule.defer(now, now + RETRY_INTERVAL, until, deadline);
        if self.is_large(new.requested) {
            // Capacity is cleared anew once the last reservation is over.
            let reserved_until = self.reservation().map_or(0, |(_, one)| one.until);
            if reserved_until <= now {
                self.starved = Some(new.clone());
            }
            let next_clearing_at = self.next_sweep_at.max(reserved_until);
            let schedule = &mut self.retry_schedule;
            schedule.may_be_feasible_at = schedule.may_be_feasible_at.min(next_clearing_at);
        }
        Placement::Deferred
    }

    /// The safe answer: shed only where no attempt may have run, or where a repeat does no harm.
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

    /// Weighted rendezvous hashing: a machine's place in the order of a service, the same at every
    /// scheduler. Larger machines come earlier in proportion; one more or less changes little.
    fn rendezvous_rank(&self, service: ServiceId, id: MachineId, machine: &Machine) -> u64 {
        let hash = hash_id(service.0 ^ hash_id(u64::from(id.0)));
        let uniform_draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let cores = self.size(machine).map_or(1.0, |size| size.cores);
        (-uniform_draw.ln() / cores * 1e12) as u64
    }
}
