//! A keeper's part: the wish, the outings with their slots, and what has come of them. Answered
//! from what survives its own restart.

use crate::{
    ClaimId, LeasePhase, Machine, MaintenanceLease, MaintenanceRequest, RunState, Slots, shares,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Claims that a keeper remembers as withdrawn.
const MAX_WITHDRAWN_CLAIMS: usize = 1_024;
/// Votes that are remembered on outings which are not here: of those that are, each is, however
/// many come meanwhile, or this keeper could vote twice on one.
const MAX_VOTES: usize = 4 * crate::MAX_MACHINES;
/// Votes of those that are told at a time: word is asked for twice a second by each of hundreds.
const MAX_REPORTED_VOTES: usize = 512;
/// Dispatchers whose bids a keeper remembers, and machines that one may bid for.
const MAX_ESTIMATORS: usize = 1_024;
/// No bid counts for more: one that is not a number, or huge, must not hold a machine back for
/// good.
pub const MAX_COST: f64 = 1e6;

/// What became of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseOutcome {
    #[serde(rename = "worked")]
    Completed,
    /// It could not be emptied in its time.
    Skipped,
}

/// What a keeper says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    Granted,
    /// A slot is held by another, or is none under its limit; or the machine is out, or has been.
    Occupied,
    /// Another wish stands here, or none that takes machines out.
    StaleRevision,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    #[serde(rename = "wish")]
    request: Option<MaintenanceRequest>,
    #[serde(rename = "outings")]
    leases: BTreeMap<Machine, MaintenanceLease>,
    /// With the job that each belongs to.
    #[serde(rename = "ended")]
    outcomes: BTreeMap<Machine, (u64, LeaseOutcome)>,
    withdrawn: VecDeque<ClaimId>,
    /// Whether an outing is to be handed over or returned.
    votes: VecDeque<(ClaimId, LeasePhase)>,
    #[serde(rename = "bids")]
    cost_estimates: BTreeMap<u32, BTreeMap<Machine, f64>>,
}

impl LeaseTable {
    /// Takes the wish if it is later than what stands. What stands after.
    pub fn propose(&mut self, wish: MaintenanceRequest) -> Option<&MaintenanceRequest> {
        let later = self
            .request
            .as_ref()
            .is_none_or(|stands| stands.revision < wish.revision);
        if later && wish.machines.len() <= crate::MAX_MACHINES {
            self.outcomes.retain(|_, (job, _)| *job == wish.job);
            self.request = Some(wish);
        }
        self.request.as_ref()
    }

    /// Slots of outings that are here stay theirs over any wish: limits that have shrunk let nobody
    /// in until fewer are out.
    pub fn claim(
        &mut self,
        number: u64,
        machine: Machine,
        claim: ClaimId,
        slots: Slots,
    ) -> ClaimOutcome {
        let Some(wish) = self.request.as_ref().filter(|wish| wish.revision == number) else {
            return ClaimOutcome::StaleRevision;
        };
        let Some(&at) = wish
            .machines
            .get(&machine)
            .filter(|_| wish.run_state == RunState::Running)
        else {
            return ClaimOutcome::StaleRevision;
        };
        if let Some(outing) = self.leases.get(&machine) {
            let same = outing.claim == claim && outing.slots == slots;
            return if same {
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Occupied
            };
        }
        let limits = wish.limits.each();
        let taken = |limit: usize| {
            let mut others = self
                .leases
                .values()
                .filter(|other| shares(limit, other.domains, at));
            slots[limit] >= limits[limit] || others.any(|other| other.slots[limit] == slots[limit])
        };
        if self.outcomes.contains_key(&machine)
            || self.withdrawn.contains(&claim)
            || (0..4).any(taken)
        {
            return ClaimOutcome::Occupied;
        }
        let job = wish.job;
        self.leases.insert(
            machine,
            MaintenanceLease {
                claim,
                job,
                domains: at,
                slots,
                phase: LeasePhase::Requested,
            },
        );
        ClaimOutcome::Granted
    }

    /// An outing has come so far. One that this keeper has not heard of is none here, but for its
    /// vote: it may have been withdrawn, and another may hold its slots.
    pub fn advance(&mut self, machine: Machine, claim: ClaimId, phase: LeasePhase) {
        if matches!(phase, LeasePhase::Drained | LeasePhase::Cancelled) {
            if !self.votes.iter().any(|(of, _)| *of == claim) {
                self.votes.push_back((claim, phase));
            }
            if self.votes.len() > MAX_VOTES {
                let here = |claim| self.leases.values().any(|outing| outing.claim == claim);
                let oldest = self.votes.iter().position(|(claim, _)| !here(*claim));
                oldest.map(|oldest| self.votes.remove(oldest));
            }
        } else if let Some(outing) = self
            .leases
            .get_mut(&machine)
            .filter(|outing| outing.claim == claim)
        {
            outing.phase = outing.phase.max(phase);
        }
    }

    /// On the outings that are here, and the latest of the others.
    pub fn votes(&self) -> impl Iterator<Item = (ClaimId, LeasePhase)> {
        let here: BTreeSet<ClaimId> = self.leases.values().map(|outing| outing.claim).collect();
        let old = self.votes.len().saturating_sub(MAX_REPORTED_VOTES);
        let told = self
            .votes
            .iter()
            .enumerate()
            .filter(move |(index, (claim, _))| *index >= old || here.contains(claim));
        told.map(|(_, vote)| *vote)
    }

    /// A claim that a majority has never held is never to be held: from here on this keeper does
    /// not let it.
    pub fn withdraw(&mut self, machine: Machine, claim: ClaimId) {
        let here = self
            .leases
            .get(&machine)
            .filter(|outing| outing.claim == claim);
        if here.is_some_and(|outing| outing.phase > LeasePhase::Requested)
            || self.withdrawn.contains(&claim)
        {
            return;
        }
        if here.is_some() {
            self.leases.remove(&machine);
        }
        self.withdrawn.push_back(claim);
        if self.withdrawn.len() > MAX_WITHDRAWN_CLAIMS {
            self.withdrawn.pop_front();
        }
    }

    /// The outing is over, or a majority has withdrawn it: its slots are free. `ended` for this
    /// job, if it has.
    pub fn release(
        &mut self,
        machine: Machine,
        claim: ClaimId,
        ended: Option<(u64, LeaseOutcome)>,
    ) {
        if self
            .leases
            .get(&machine)
            .is_some_and(|outing| outing.claim == claim)
        {
            self.leases.remove(&machine);
        }
        // Late word of an earlier job says nothing of this one.
        let job = self.request.as_ref().map(|wish| wish.job);
        if let Some(ended) = ended.filter(|(of, _)| Some(*of) == job) {
            self.outcomes.entry(machine).or_insert(ended);
        }
    }

    /// What taking out each machine would cost, as a dispatcher sees it. Bids that are no numbers,
    /// or below 0, are left out.
    pub fn record_cost_estimates(
        &mut self,
        dispatcher: u32,
        bids: impl IntoIterator<Item = (Machine, f64)>,
    ) {
        if self.cost_estimates.len() >= MAX_ESTIMATORS
            && !self.cost_estimates.contains_key(&dispatcher)
        {
            return;
        }
        let sound = bids
            .into_iter()
            .filter(|(_, cost)| cost.is_finite() && *cost >= 0.0);
        let own = sound
            .take(crate::MAX_MACHINES)
            .map(|(machine, cost)| (machine, cost.min(MAX_COST)));
        self.cost_estimates.insert(dispatcher, own.collect());
    }

    pub fn request(&self) -> Option<&MaintenanceRequest> {
        self.request.as_ref()
    }

    pub fn leases(&self) -> &BTreeMap<Machine, MaintenanceLease> {
        &self.leases
    }

    pub fn outcomes(&self) -> impl Iterator<Item = (Machine, LeaseOutcome)> {
        self.outcomes
            .iter()
            .map(|(machine, (_, end))| (*machine, *end))
    }

    pub fn withdrawn(&self) -> impl Iterator<Item = ClaimId> {
        self.withdrawn.iter().copied()
    }

    /// Of dispatchers numbered below `fleet`: one that does not exist has no say.
    pub fn total_costs(&self, fleet: u32) -> BTreeMap<Machine, f64> {
        let mut sums = BTreeMap::new();
        for bids in self.cost_estimates.range(..fleet).map(|(_, bids)| bids) {
            bids.iter()
                .for_each(|(machine, cost)| *sums.entry(*machine).or_default() += cost);
        }
        sums
    }
}
