//! Outcomes of claims on the rollout's slots, and the recovery of claims after a restart.

use super::replica::{Claim, Step};
use super::types::{ClaimRequest, ReportedSlot, RestoredClaims, Votes};
use super::{MAX_BACKOFF, MIN_BACKOFF, RolloutController};
use crate::{ClaimId, is_majority};
use corkspan_scheduler::interface::Ticks;
use rand::RngExt;

impl RolloutController {
    /// Restores a claim that an earlier incarnation had stored. A won claim may have been released
    /// right before the restart, so it is used only after
    /// [`RolloutController::verify_restored_claims`] has found that it still holds its slot.
    pub fn restore_claim(&mut self, claim: ClaimId, task: &str, won: bool) {
        if won {
            let task = task.into();
            self.claims.insert(claim, Claim { task, won: false });
            self.unverified.insert(claim);
        } else {
            self.never_won.push(claim);
        }
    }

    /// Determines which claims of an earlier incarnation still hold their slots, from the slots
    /// that `answering` of all `members` report. Claims that these answers leave undecided are sent
    /// again: if a member never answers any more, waiting for it would block their replicas
    /// forever.
    #[must_use]
    pub fn verify_restored_claims(
        &mut self,
        reported: &[ReportedSlot],
        answering: usize,
        members: usize,
    ) -> RestoredClaims {
        let mut restored = RestoredClaims::default();
        for claim in self.unverified.clone() {
            let reported = reported
                .iter()
                .filter(|reported| reported.grant.claim == claim)
                .map(|reported| (reported.members, reported.slot))
                .max();
            let reporting = reported.map_or(0, |(reporting, _)| reporting);
            let silent = members.saturating_sub(answering);
            let holds = is_majority(reporting, members);
            if holds || !is_majority(reporting + silent, members) {
                self.unverified.remove(&claim);
                if !(holds && self.resume_claim(claim)) {
                    self.abandon_claim(claim);
                    restored.lost.push(claim);
                }
            } else if let Some((_, slot)) = reported
                && self
                    .replicas
                    .values()
                    .any(|replica| replica.claim == Some(claim))
                && let Some(own_claim) = self.claims.get(&claim)
            {
                let task = own_claim.task.clone();
                restored.retry.push(ClaimRequest { claim, slot, task });
                self.unverified.remove(&claim);
            }
        }
        restored
    }

    /// Continues the replacement of the claim's replica, since the claim still holds its slot.
    /// Returns false if the claim is no longer known.
    fn resume_claim(&mut self, claim: ClaimId) -> bool {
        let Some(own_claim) = self.claims.get_mut(&claim) else {
            return false;
        };
        own_claim.won = true;
        if let Some(replica) = self
            .replicas
            .values_mut()
            .find(|replica| replica.claim == Some(claim))
        {
            replica.step = Step::Replacing;
        }
        true
    }

    /// Drops a claim that holds no slot or is not needed, and leaves its replica as it is.
    fn abandon_claim(&mut self, claim: ClaimId) {
        self.claims.remove(&claim);
        if let Some(replica) = self
            .replicas
            .values_mut()
            .find(|replica| replica.claim == Some(claim))
        {
            (replica.claim, replica.step) = (None, Step::Idle);
        }
    }

    /// Records a claim's outcome. Returns false if the claim is lost or not used. It must then be
    /// released at all members, since some may have granted it or may still grant it.
    #[must_use]
    pub fn claim_decided(&mut self, now: Ticks, claim: ClaimId, votes: Votes) -> bool {
        let Some(task) = self.claims.get(&claim).map(|claim| claim.task.clone()) else {
            return false;
        };
        let won = is_majority(votes.granted, votes.members);
        let in_progress = self.in_progress();
        let replica = self
            .replicas
            .get_mut(&task)
            .filter(|replica| replica.claim == Some(claim));
        match replica {
            // The slot is not used if the replica was removed meanwhile, or if it is ready and no
            // new step may be started any more.
            Some(replica) if won && (in_progress || replica.ready_since.is_none()) => {
                replica.step = Step::Replacing;
                self.claims.insert(claim, Claim { task, won });
                self.consecutive_losses = 0;
                true
            }
            replica => {
                if let Some(replica) = replica {
                    (replica.claim, replica.step) = (None, Step::Idle);
                }
                self.claims.remove(&claim);
                self.consecutive_losses = self.consecutive_losses.saturating_add(1);
                let max_delay = (MIN_BACKOFF << self.consecutive_losses.min(6)).min(MAX_BACKOFF);
                self.back_off(now, max_delay);
                false
            }
        }
    }

    /// Delays the next claim by a random time between half of `max_delay` and all of it.
    pub(super) fn back_off(&mut self, now: Ticks, max_delay: Ticks) {
        self.next_claim_at = now + max_delay / 2 + self.rng.random_range(0..max_delay / 2);
    }
}
