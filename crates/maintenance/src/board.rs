//! A keeper's part: the wish, the outings with their slots, and what has come of them. Answered
//! from what survives its own restart.

use crate::{ClaimId, Course, Machine, Outing, Phase, Slots, Wish, shares};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Claims that a keeper remembers as withdrawn.
const WITHDRAWN: usize = 1_024;
/// Votes that are remembered on outings which are not here: of those that are, each is, however
/// many come meanwhile, or this keeper could vote twice on one.
const VOTES: usize = 4 * crate::MOST;
/// Votes of those that are told at a time: word is asked for twice a second by each of hundreds.
const TOLD: usize = 512;
/// Dispatchers whose bids a keeper remembers, and machines that one may bid for.
const BIDDERS: usize = 1_024;
/// No bid counts for more: one that is not a number, or huge, must not hold a machine back for
/// good.
pub const DEAREST: f64 = 1e6;

/// What became of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    Worked,
    /// It could not be emptied in its time.
    Skipped,
}

/// What a keeper says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    Granted,
    /// A slot is held by another, or is none under its limit; or the machine is out, or has been.
    Taken,
    /// Another wish stands here, or none that takes machines out.
    OtherWish,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Board {
    wish: Option<Wish>,
    outings: BTreeMap<Machine, Outing>,
    /// With the job that each belongs to.
    ended: BTreeMap<Machine, (u64, End)>,
    withdrawn: VecDeque<ClaimId>,
    /// Whether an outing is to be handed over or returned.
    votes: VecDeque<(ClaimId, Phase)>,
    bids: BTreeMap<u32, BTreeMap<Machine, f64>>,
}

impl Board {
    /// Takes the wish if it is later than what stands. What stands after.
    pub fn propose(&mut self, wish: Wish) -> Option<&Wish> {
        let later = self
            .wish
            .as_ref()
            .is_none_or(|stands| stands.number < wish.number);
        if later && wish.machines.len() <= crate::MOST {
            self.ended.retain(|_, (job, _)| *job == wish.job);
            self.wish = Some(wish);
        }
        self.wish.as_ref()
    }

    /// Slots of outings that are here stay theirs over any wish: limits that have shrunk let nobody
    /// in until fewer are out.
    pub fn claim(
        &mut self,
        number: u64,
        machine: Machine,
        claim: ClaimId,
        slots: Slots,
    ) -> Claimed {
        let Some(wish) = self.wish.as_ref().filter(|wish| wish.number == number) else {
            return Claimed::OtherWish;
        };
        let Some(&at) = wish
            .machines
            .get(&machine)
            .filter(|_| wish.course == Course::Going)
        else {
            return Claimed::OtherWish;
        };
        if let Some(outing) = self.outings.get(&machine) {
            let same = outing.claim == claim && outing.slots == slots;
            return if same {
                Claimed::Granted
            } else {
                Claimed::Taken
            };
        }
        let limits = wish.limits.each();
        let taken = |limit: usize| {
            let mut others = self
                .outings
                .values()
                .filter(|other| shares(limit, other.at, at));
            slots[limit] >= limits[limit] || others.any(|other| other.slots[limit] == slots[limit])
        };
        if self.ended.contains_key(&machine) || self.withdrawn.contains(&claim) || (0..4).any(taken)
        {
            return Claimed::Taken;
        }
        let job = wish.job;
        self.outings.insert(
            machine,
            Outing {
                claim,
                job,
                at,
                slots,
                phase: Phase::Asked,
            },
        );
        Claimed::Granted
    }

    /// An outing has come so far. One that this keeper has not heard of is none here, but for its
    /// vote: it may have been withdrawn, and another may hold its slots.
    pub fn advance(&mut self, machine: Machine, claim: ClaimId, phase: Phase) {
        if matches!(phase, Phase::Handed | Phase::Returned) {
            if !self.votes.iter().any(|(of, _)| *of == claim) {
                self.votes.push_back((claim, phase));
            }
            if self.votes.len() > VOTES {
                let here = |claim| self.outings.values().any(|outing| outing.claim == claim);
                let oldest = self.votes.iter().position(|(claim, _)| !here(*claim));
                oldest.map(|oldest| self.votes.remove(oldest));
            }
        } else if let Some(outing) = self
            .outings
            .get_mut(&machine)
            .filter(|outing| outing.claim == claim)
        {
            outing.phase = outing.phase.max(phase);
        }
    }

    /// On the outings that are here, and the latest of the others.
    pub fn votes(&self) -> impl Iterator<Item = (ClaimId, Phase)> {
        let here: BTreeSet<ClaimId> = self.outings.values().map(|outing| outing.claim).collect();
        let old = self.votes.len().saturating_sub(TOLD);
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
            .outings
            .get(&machine)
            .filter(|outing| outing.claim == claim);
        if here.is_some_and(|outing| outing.phase > Phase::Asked) || self.withdrawn.contains(&claim)
        {
            return;
        }
        if here.is_some() {
            self.outings.remove(&machine);
        }
        self.withdrawn.push_back(claim);
        if self.withdrawn.len() > WITHDRAWN {
            self.withdrawn.pop_front();
        }
    }

    /// The outing is over, or a majority has withdrawn it: its slots are free. `ended` for this
    /// job, if it has.
    pub fn release(&mut self, machine: Machine, claim: ClaimId, ended: Option<(u64, End)>) {
        if self
            .outings
            .get(&machine)
            .is_some_and(|outing| outing.claim == claim)
        {
            self.outings.remove(&machine);
        }
        // Late word of an earlier job says nothing of this one.
        let job = self.wish.as_ref().map(|wish| wish.job);
        if let Some(ended) = ended.filter(|(of, _)| Some(*of) == job) {
            self.ended.entry(machine).or_insert(ended);
        }
    }

    /// What taking out each machine would cost, as a dispatcher sees it. Bids that are no numbers,
    /// or below 0, are left out.
    pub fn bid(&mut self, dispatcher: u32, bids: impl IntoIterator<Item = (Machine, f64)>) {
        if self.bids.len() >= BIDDERS && !self.bids.contains_key(&dispatcher) {
            return;
        }
        let sound = bids
            .into_iter()
            .filter(|(_, cost)| cost.is_finite() && *cost >= 0.0);
        let own = sound
            .take(crate::MOST)
            .map(|(machine, cost)| (machine, cost.min(DEAREST)));
        self.bids.insert(dispatcher, own.collect());
    }

    pub fn wish(&self) -> Option<&Wish> {
        self.wish.as_ref()
    }

    pub fn outings(&self) -> &BTreeMap<Machine, Outing> {
        &self.outings
    }

    pub fn ended(&self) -> impl Iterator<Item = (Machine, End)> {
        self.ended
            .iter()
            .map(|(machine, (_, end))| (*machine, *end))
    }

    pub fn withdrawn(&self) -> impl Iterator<Item = ClaimId> {
        self.withdrawn.iter().copied()
    }

    /// Of dispatchers numbered below `fleet`: one that does not exist has no say.
    pub fn bids(&self, fleet: u32) -> BTreeMap<Machine, f64> {
        let mut sums = BTreeMap::new();
        for bids in self.bids.range(..fleet).map(|(_, bids)| bids) {
            bids.iter()
                .for_each(|(machine, cost)| *sums.entry(*machine).or_default() += cost);
        }
        sums
    }
}
