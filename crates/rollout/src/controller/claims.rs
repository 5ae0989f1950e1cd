//! Claims on the rollout's slots: how they come out, and which of them outlived a restart.

use super::replica::{Claim, Step};
use super::types::{ClaimRequest, ReportedSlot, RestoredClaims, Votes};
use super::{MAX_BACKOFF, MIN_BACKOFF, RolloutController};
use crate::{ClaimId, is_majority};
use corkspan_scheduler::interface::Ticks;
use rand::RngExt;

impl RolloutController {
    /// Takes over a claim that an earlier incarnation had stored. One that was known to be won is
    /// used again once [`RolloutController::verify_restored_claims`] finds that it still holds its
    /// slot: it may have been released right before the restart.
    pub fn restore_claim(&mut self, claim: ClaimId, task: &str, won: bool) {
        if won {
            let task = task.into();
            self.claims.insert(claim, Claim { task, won: false });
            self.unverified.insert(claim);
        } else {
            self.never_won.push(claim);
        }
    }

    /// Finds out what became of the claims of an earlier incarnation, by the slots that `answering`
    /// of all `members` report. Where a member is gone for good, waiting for its answer would leave
    /// their replicas as they are for good: such claims are made again instead.
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
                && let Some(own) = self.claims.get(&claim)
            {
                let task = own.task.clone();
                restored.retry.push(ClaimRequest { claim, slot, task });
                self.unverified.remove(&claim);
            }
        }
        restored
    }

    /// The claim still holds its slot: the replica goes on being replaced. False where the claim
    /// has become of no use meanwhile.
    fn resume_claim(&mut self, claim: ClaimId) -> bool {
        let Some(own) = self.claims.get_mut(&claim) else {
            return false;
        };
        own.won = true;
        if let Some(replica) = self
            .replicas
            .values_mut()
            .find(|replica| replica.claim == Some(claim))
        {
            replica.step = Step::Replacing;
        }
        true
    }

    /// The claim holds no slot, or is of no use: its replica stays as it is.
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

    /// Takes a claim's outcome. False where it is lost: it is to be released at all members, for
    /// some may have granted it, or may still.
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
            // Meanwhile its replica may have gone, or the rollout been paused: then the slot is not
            // used.
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
                let longest = (MIN_BACKOFF << self.consecutive_losses.min(6)).min(MAX_BACKOFF);
                self.back_off(now, longest);
                false
            }
        }
    }

    /// Sends no claim for half of this time at the least, and all of it at the most.
    pub(super) fn back_off(&mut self, now: Ticks, longest: Ticks) {
        self.next_claim_at = now + longest / 2 + self.rng.random_range(0..longest / 2);
    }
}
