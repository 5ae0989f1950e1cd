//! Claims on the rollout's slots: how they come out, and which of them outlived a restart.

use super::replica::{Claim, Step};
use super::types::{ClaimRequest, Recalled, ReportedSlot, Votes};
use super::{BACK_OFF, Conductor, LONGEST_BACK_OFF};
use crate::{ClaimId, is_majority};
use corkspan_scheduler::interface::Ticks;
use rand::RngExt;

impl Conductor {
    /// Takes over a claim that an earlier incarnation had stored. One that was known to be won is
    /// used again once [`Conductor::recall`] finds that it still holds its slot: it may have been
    /// released right before the restart.
    pub fn remember(&mut self, claim: ClaimId, task: &str, won: bool) {
        if won {
            let task = task.into();
            self.claims.insert(claim, Claim { task, won: false });
            self.recalled.insert(claim);
        } else {
            self.unwon.push(claim);
        }
    }

    /// Finds out what became of the claims of an earlier incarnation, by the slots that `heard` of
    /// the members report. Where a member is gone for good, waiting for its answer would leave
    /// their replicas as they are for good: such claims are made again instead.
    #[must_use]
    pub fn recall(&mut self, held: &[ReportedSlot], heard: usize, keepers: usize) -> Recalled {
        let mut recalled = Recalled::default();
        for claim in self.recalled.clone() {
            let reported = held
                .iter()
                .filter(|reported| reported.grant.claim == claim)
                .map(|reported| (reported.members, reported.slot))
                .max();
            let members = reported.map_or(0, |(members, _)| members);
            let silent = keepers.saturating_sub(heard);
            let holds = is_majority(members, keepers);
            if holds || !is_majority(members + silent, keepers) {
                self.recalled.remove(&claim);
                if !(holds && self.use_again(claim)) {
                    self.forget(claim);
                    recalled.gone.push(claim);
                }
            } else if let Some((_, slot)) = reported
                && self.copies.values().any(|copy| copy.claim == Some(claim))
                && let Some(own) = self.claims.get(&claim)
            {
                let task = own.task.clone();
                recalled.again.push(ClaimRequest { claim, slot, task });
                self.recalled.remove(&claim);
            }
        }
        recalled
    }

    /// The claim still holds its slot: the replica goes on being replaced. False where the claim
    /// has become of no use meanwhile.
    fn use_again(&mut self, claim: ClaimId) -> bool {
        let Some(own) = self.claims.get_mut(&claim) else {
            return false;
        };
        own.won = true;
        if let Some(copy) = self.copies.values_mut().find(|c| c.claim == Some(claim)) {
            copy.step = Step::Replaced;
        }
        true
    }

    /// The claim holds no slot, or is of no use: its replica stays as it is.
    fn forget(&mut self, claim: ClaimId) {
        self.claims.remove(&claim);
        if let Some(copy) = self.copies.values_mut().find(|c| c.claim == Some(claim)) {
            (copy.claim, copy.step) = (None, Step::Stays);
        }
    }

    /// Takes a claim's outcome. False where it is lost: it is to be released at all members, for
    /// some may have granted it, or may still.
    #[must_use]
    pub fn claimed(&mut self, now: Ticks, claim: ClaimId, votes: Votes) -> bool {
        let Some(task) = self.claims.get(&claim).map(|claim| claim.task.clone()) else {
            return false;
        };
        let won = is_majority(votes.granted, votes.keepers);
        let in_progress = self.in_progress();
        let copy = self
            .copies
            .get_mut(&task)
            .filter(|copy| copy.claim == Some(claim));
        match copy {
            // Meanwhile its replica may have gone, or the rollout been paused: then the slot is not
            // used.
            Some(copy) if won && (in_progress || copy.ready.is_none()) => {
                copy.step = Step::Replaced;
                self.claims.insert(claim, Claim { task, won });
                self.lost_in_a_row = 0;
                true
            }
            copy => {
                if let Some(copy) = copy {
                    (copy.claim, copy.step) = (None, Step::Stays);
                }
                self.claims.remove(&claim);
                self.lost_in_a_row = self.lost_in_a_row.saturating_add(1);
                let longest = (BACK_OFF << self.lost_in_a_row.min(6)).min(LONGEST_BACK_OFF);
                self.back_off(now, longest);
                false
            }
        }
    }

    /// Sends no claim for half of this time at the least, and all of it at the most.
    pub(super) fn back_off(&mut self, now: Ticks, longest: Ticks) {
        self.claim_at = now + longest / 2 + self.rng.random_range(0..longest / 2);
    }
}
