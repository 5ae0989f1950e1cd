//! The state of a quorum member: the request, the leases with their slots, and the outcomes. A
//! member must reply only from state that survives its restart.

use crate::{
    ClaimId, JobOutcome, LeaseOutcome, LeasePhase, LimitScope, MAX_MACHINES, Machine,
    MachineDomains, MaintenanceLease, MaintenanceRequest, RunState, Slots,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of withdrawn claims that a member remembers.
const MAX_WITHDRAWN_CLAIMS: usize = 1_024;
/// Number of votes kept. Beyond it, the oldest vote on a lease that is not held here is dropped. A
/// vote on a lease that is held here always stays, or this member could vote twice on it.
const MAX_VOTES: usize = 4 * MAX_MACHINES;
/// Number of the latest votes that are reported in addition to those on leases held here. It is
/// limited because hundreds of dispatchers poll twice a second.
const MAX_REPORTED_VOTES: usize = 512;
/// Number of dispatchers whose cost estimates a member keeps.
const MAX_ESTIMATORS: usize = 1_024;
/// Upper bound of a cost estimate, so that no dispatcher can hold a machine back forever.
pub const MAX_COST: f64 = 1e6;

/// A member's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "a claim may not have been granted"]
pub enum ClaimOutcome {
    /// The lease is held here.
    Granted,
    /// A slot is held by another lease or is beyond its limit, the machine has another lease or
    /// already an outcome in this job, or the claim is withdrawn.
    Occupied,
    /// The member holds another revision, or the request is not running or does not name the
    /// machine.
    StaleRevision,
}

/// The maintenance state of one quorum member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    #[serde(rename = "wish")]
    request: Option<MaintenanceRequest>,
    #[serde(rename = "outings")]
    leases: BTreeMap<Machine, MaintenanceLease>,
    #[serde(rename = "ended")]
    outcomes: BTreeMap<Machine, JobOutcome>,
    withdrawn: VecDeque<ClaimId>,
    /// Votes on whether a lease is drained or cancelled, oldest first.
    votes: VecDeque<(ClaimId, LeasePhase)>,
    /// Cost estimates by dispatcher number.
    #[serde(rename = "bids")]
    cost_estimates: BTreeMap<u32, BTreeMap<Machine, f64>>,
}

impl LeaseTable {
    /// Accepts the request if its revision is later than that of the held request and it names at
    /// most [`MAX_MACHINES`] machines. Returns the request that is held afterwards.
    pub fn propose(&mut self, request: MaintenanceRequest) -> Option<&MaintenanceRequest> {
        let is_later = self
            .request
            .as_ref()
            .is_none_or(|held| held.revision < request.revision);
        if is_later && request.machines.len() <= MAX_MACHINES {
            self.outcomes
                .retain(|_, outcome| outcome.job == request.job);
            self.request = Some(request);
        }
        self.request.as_ref()
    }

    /// Grants a lease on a machine if all its slots are free. Held leases keep their slots when a
    /// new revision is accepted: after a limit has shrunk, no claim is granted until fewer machines
    /// are out of service.
    pub fn claim(
        &mut self,
        revision: u64,
        machine: Machine,
        claim: ClaimId,
        slots: Slots,
    ) -> ClaimOutcome {
        let Some(request) = self
            .request
            .as_ref()
            .filter(|held| held.revision == revision && held.run_state == RunState::Running)
        else {
            return ClaimOutcome::StaleRevision;
        };
        let Some(&domains) = request.machines.get(&machine) else {
            return ClaimOutcome::StaleRevision;
        };
        if let Some(held) = self.leases.get(&machine) {
            return if held.claim == claim && held.slots == slots {
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Occupied
            };
        }
        if self.outcomes.contains_key(&machine)
            || self.withdrawn.contains(&claim)
            || LimitScope::ALL
                .iter()
                .any(|&scope| self.is_occupied(request, domains, scope, slots))
        {
            return ClaimOutcome::Occupied;
        }
        let lease = MaintenanceLease {
            claim,
            job: request.job,
            domains,
            slots,
            phase: LeasePhase::Requested,
        };
        self.leases.insert(machine, lease);
        ClaimOutcome::Granted
    }

    /// Returns whether the slot of this scope is beyond the limit or held by another lease.
    fn is_occupied(
        &self,
        request: &MaintenanceRequest,
        domains: MachineDomains,
        scope: LimitScope,
        slots: Slots,
    ) -> bool {
        let slot = slots.for_scope(scope);
        let mut others = self
            .leases
            .values()
            .filter(|other| scope.is_shared(other.domains, domains));
        slot >= request.limits.for_scope(scope)
            || others.any(|other| other.slots.for_scope(scope) == slot)
    }

    /// Records that a lease has reached a phase. [`LeasePhase::Drained`] and
    /// [`LeasePhase::Cancelled`] are recorded as votes, even if the lease is not held here; any
    /// other phase is recorded only if it is held: the lease may have been withdrawn, and another
    /// lease may hold its slots.
    pub fn advance(&mut self, machine: Machine, claim: ClaimId, phase: LeasePhase) {
        if matches!(phase, LeasePhase::Drained | LeasePhase::Cancelled) {
            self.vote(claim, phase);
        } else if let Some(lease) = self
            .leases
            .get_mut(&machine)
            .filter(|lease| lease.claim == claim)
        {
            lease.phase = lease.phase.max(phase);
        }
    }

    /// Records a vote on a lease, unless this member has voted on it already.
    fn vote(&mut self, claim: ClaimId, phase: LeasePhase) {
        if !self.votes.iter().any(|(voted, _)| *voted == claim) {
            self.votes.push_back((claim, phase));
        }
        if self.votes.len() > MAX_VOTES {
            let is_held = |claim| self.leases.values().any(|lease| lease.claim == claim);
            let oldest = self.votes.iter().position(|(claim, _)| !is_held(*claim));
            oldest.map(|oldest| self.votes.remove(oldest));
        }
    }

    /// Returns the votes on leases that are held here, and the latest of the other votes.
    pub fn votes(&self) -> impl Iterator<Item = (ClaimId, LeasePhase)> {
        let held: BTreeSet<ClaimId> = self.leases.values().map(|lease| lease.claim).collect();
        let first_recent = self.votes.len().saturating_sub(MAX_REPORTED_VOTES);
        self.votes
            .iter()
            .enumerate()
            .filter(move |(index, (claim, _))| *index >= first_recent || held.contains(claim))
            .map(|(_, vote)| *vote)
    }

    /// Withdraws a claim that no majority has ever held: this member will not grant it any more.
    /// Does nothing if the lease is beyond [`LeasePhase::Requested`].
    pub fn withdraw(&mut self, machine: Machine, claim: ClaimId) {
        let held = self
            .leases
            .get(&machine)
            .filter(|lease| lease.claim == claim);
        if held.is_some_and(|lease| lease.phase > LeasePhase::Requested)
            || self.withdrawn.contains(&claim)
        {
            return;
        }
        if held.is_some() {
            self.leases.remove(&machine);
        }
        self.withdrawn.push_back(claim);
        if self.withdrawn.len() > MAX_WITHDRAWN_CLAIMS {
            self.withdrawn.pop_front();
        }
    }

    /// Frees the slots of a lease that has ended or that a majority has withdrawn. `outcome` is
    /// given if the job is finished with the machine; it is ignored if it belongs to another job
    /// than the held request.
    pub fn release(&mut self, machine: Machine, claim: ClaimId, outcome: Option<JobOutcome>) {
        if self
            .leases
            .get(&machine)
            .is_some_and(|lease| lease.claim == claim)
        {
            self.leases.remove(&machine);
        }
        let job = self.request.as_ref().map(|request| request.job);
        if let Some(outcome) = outcome.filter(|outcome| Some(outcome.job) == job) {
            self.outcomes.entry(machine).or_insert(outcome);
        }
    }

    /// Records a dispatcher's estimates of what draining each machine would cost. Estimates that
    /// are not finite or are negative are ignored.
    pub fn record_cost_estimates(
        &mut self,
        dispatcher: u32,
        estimates: impl IntoIterator<Item = (Machine, f64)>,
    ) {
        if self.cost_estimates.len() >= MAX_ESTIMATORS
            && !self.cost_estimates.contains_key(&dispatcher)
        {
            return;
        }
        let valid = estimates
            .into_iter()
            .filter(|(_, cost)| cost.is_finite() && *cost >= 0.0)
            .take(MAX_MACHINES)
            .map(|(machine, cost)| (machine, cost.min(MAX_COST)));
        self.cost_estimates.insert(dispatcher, valid.collect());
    }

    /// Returns the request held here.
    pub fn request(&self) -> Option<&MaintenanceRequest> {
        self.request.as_ref()
    }

    /// Returns the leases held here.
    pub fn leases(&self) -> &BTreeMap<Machine, MaintenanceLease> {
        &self.leases
    }

    /// Returns the outcomes of leases in the current job, by machine.
    pub fn outcomes(&self) -> impl Iterator<Item = (Machine, LeaseOutcome)> {
        self.outcomes
            .iter()
            .map(|(machine, job_outcome)| (*machine, job_outcome.outcome))
    }

    /// Returns the claims that are remembered as withdrawn, oldest first.
    pub fn withdrawn(&self) -> impl Iterator<Item = ClaimId> {
        self.withdrawn.iter().copied()
    }

    /// Returns the sum of the estimates for each machine, over dispatchers numbered below
    /// `fleet_size`. Estimates from numbers outside the fleet are ignored.
    pub fn total_costs(&self, fleet_size: u32) -> BTreeMap<Machine, f64> {
        let mut sums = BTreeMap::new();
        for estimates in self
            .cost_estimates
            .range(..fleet_size)
            .map(|(_, by_machine)| by_machine)
        {
            for (machine, cost) in estimates {
                *sums.entry(*machine).or_default() += cost;
            }
        }
        sums
    }
}
