//! What becomes of the replicas of this dispatcher, as it is told.

use super::replica::{Copy, Step};
use super::types::Withdrawn;
use super::{Conductor, LONGEST_BACK_OFF};
use crate::ClaimId;
use corkspan_scheduler::interface::Ticks;

impl Conductor {
    /// A replica is this dispatcher's, of this version and not known to be ready: placed, being
    /// placed, or handed over. An empty version is what ran before the first rollout. `returning`:
    /// its client asks for it again after it was lost, evicted or sent away.
    pub fn copy(&mut self, now: Ticks, task: &str, version: &str, returning: bool) {
        let own = self.claims.iter().find(|(_, own)| own.task == task);
        let (claim, step) = match own {
            Some((claim, own)) if own.won => (Some(*claim), Step::Replaced),
            // Not yet known to be won: nothing may be stopped under it.
            Some((claim, _)) => (Some(*claim), Step::Claims),
            None => (None, Step::Stays),
        };
        let version = match version {
            "" => &self.roll.unversioned,
            version => version,
        };
        let copy = Copy {
            version: version.into(),
            ready: None,
            unready: now,
            returning,
            claim,
            step,
        };
        self.copies.insert(task.into(), copy);
    }

    /// Two replicas of this task must never run at a time: the old one is stopped first, whatever
    /// the rollout's order.
    pub fn only_once(&mut self, task: &str) {
        if self.copies.contains_key(task) {
            self.once.insert(task.into());
        }
    }

    /// The surge replica reports itself ready, or no longer ready.
    pub fn grown(&mut self, now: Ticks, task: &str, is_ready: bool) {
        let copy = self.copies.get_mut(task);
        if let Some(Step::Grows { ready, .. }) = copy.map(|copy| &mut copy.step) {
            *ready = if is_ready { ready.or(Some(now)) } else { None };
        }
    }

    /// The surge replica is known to be gone, or was never placed. `why` says whether that counts
    /// as a failure of the version. Returns the claims to release.
    #[must_use]
    pub fn withdrawn(&mut self, now: Ticks, task: &str, why: Withdrawn) -> Vec<ClaimId> {
        let Some(copy) = self.copies.get_mut(task) else {
            return Vec::new();
        };
        let failed = u32::from(why != Withdrawn::NotWanted);
        match copy.step {
            // The old one is being stopped already: what follows is a replacement like any other.
            Step::Retires { .. } => {
                copy.step = Step::Replaced;
                (copy.version, copy.ready, copy.unready) = (self.roll.wanted().into(), None, now);
                self.failures += failed;
                Vec::new()
            }
            Step::Grows { .. } => {
                copy.step = Step::Stays;
                let claim = copy.claim.take();
                self.failures += failed;
                self.without_room += u32::from(why == Withdrawn::NoRoom);
                self.back_off(now, LONGEST_BACK_OFF);
                self.drop_claim(claim)
            }
            _ => Vec::new(),
        }
    }

    /// The old replica is gone, and the surge replica has taken over. Returns the claims to
    /// release.
    #[must_use]
    pub fn retired(&mut self, task: &str) -> Vec<ClaimId> {
        let Some(copy) = self.copies.get_mut(task) else {
            return Vec::new();
        };
        let Step::Retires { version, ready } = &copy.step else {
            return Vec::new();
        };
        (copy.version, copy.ready, copy.step) = (version.clone(), Some(*ready), Step::Stays);
        let claim = copy.claim.take();
        self.drop_claim(claim)
    }

    /// An earlier surge replica is still to be stopped before a new one may be started: it will be
    /// asked for again.
    pub fn grow_later(&mut self, task: &str) {
        if let Some(copy) = self
            .copies
            .get_mut(task)
            .filter(|copy| matches!(copy.step, Step::Grows { .. }))
        {
            copy.step = Step::Replaced;
        }
    }

    /// No node has any replica left that was started under this claim of another dispatcher.
    pub fn cleared(&mut self, claim: ClaimId) {
        self.clearing.remove(&claim);
    }

    /// The replica reports itself ready.
    pub fn ready(&mut self, now: Ticks, task: &str) {
        if let Some(copy) = self.copies.get_mut(task) {
            copy.ready.get_or_insert(now);
        }
    }

    /// The replica reports itself unready, or its node is lost, evicts it, or sends it away. True
    /// where that is a failure of the version being rolled out: it had not yet stayed ready for its
    /// time.
    pub fn unready(&mut self, now: Ticks, task: &str) -> bool {
        let Some(copy) = self.copies.get_mut(task) else {
            return false;
        };
        let Some(since) = copy.ready.take() else {
            return false;
        };
        copy.unready = now;
        let failed = copy.version == self.roll.version
            && copy.claim.is_some()
            && now < since + self.roll.ready_for;
        self.failures += u32::from(failed);
        failed
    }

    /// The replica is not wanted any more. Returns the claims to release.
    #[must_use]
    pub fn gone(&mut self, task: &str) -> Vec<ClaimId> {
        self.copies.remove(task);
        self.once.remove(task);
        let dropped = self.claims.extract_if(.., |_, own| own.task == task);
        dropped.map(|(claim, _)| claim).collect()
    }

    /// The replica is no longer here: lost with its node, evicted, sent away, or without a machine
    /// for the new one. Its client asks for it again, here or at another dispatcher, and a slot
    /// that it holds stays held until it is ready there.
    pub fn died(&mut self, now: Ticks, task: &str) {
        let Some(copy) = self.copies.remove(task) else {
            return;
        };
        let settled = copy.ready_for(self.roll.ready_for, now);
        let replaced = copy.step == Step::Replaced && copy.version == self.roll.version;
        self.failures += u32::from(replaced && !settled);
    }

    /// The claim is of no more use; returned if there was one.
    fn drop_claim(&mut self, claim: Option<ClaimId>) -> Vec<ClaimId> {
        let claims: Vec<ClaimId> = claim.into_iter().collect();
        for claim in &claims {
            self.claims.remove(claim);
        }
        claims
    }
}
