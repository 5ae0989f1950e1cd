//! What becomes of the replicas of this dispatcher, as it is told.

use super::replica::{Replica, Step};
use super::types::SurgeEnd;
use super::{MAX_BACKOFF, RolloutController};
use crate::ClaimId;
use corkspan_scheduler::interface::Ticks;

impl RolloutController {
    /// A replica is this dispatcher's, of this version and not known to be ready: placed, being
    /// placed, or handed over. An empty version is what ran before the first rollout. `returning`:
    /// its client asks for it again after it was lost, evicted or sent away.
    pub fn replica_assigned(&mut self, now: Ticks, task: &str, version: &str, returning: bool) {
        let own = self.claims.iter().find(|(_, own)| own.task == task);
        let (claim, step) = match own {
            Some((claim, own)) if own.won => (Some(*claim), Step::Replacing),
            // Not yet known to be won: nothing may be stopped under it.
            Some((claim, _)) => (Some(*claim), Step::Claiming),
            None => (None, Step::Idle),
        };
        let version = match version {
            "" => &self.rollout.initial_version,
            version => version,
        };
        let replica = Replica {
            version: version.into(),
            ready_since: None,
            unready_since: now,
            returning,
            claim,
            step,
        };
        self.replicas.insert(task.into(), replica);
    }

    /// Two replicas of this task must never run at a time: the old one is stopped first, whatever
    /// the rollout's order.
    pub fn forbid_surge(&mut self, task: &str) {
        if self.replicas.contains_key(task) {
            self.no_surge.insert(task.into());
        }
    }

    /// The surge replica reports itself ready, or no longer ready.
    pub fn surge_readiness(&mut self, now: Ticks, task: &str, is_ready: bool) {
        let replica = self.replicas.get_mut(task);
        if let Some(Step::Surging { ready, .. }) = replica.map(|replica| &mut replica.step) {
            *ready = if is_ready { ready.or(Some(now)) } else { None };
        }
    }

    /// The surge replica is known to be gone, or was never placed. `why` says whether that counts
    /// as a failure of the version. Returns the claims to release.
    #[must_use]
    pub fn surge_ended(&mut self, now: Ticks, task: &str, why: SurgeEnd) -> Vec<ClaimId> {
        let Some(replica) = self.replicas.get_mut(task) else {
            return Vec::new();
        };
        let failed = u32::from(why != SurgeEnd::Cancelled);
        match replica.step {
            // The old one is being stopped already: what follows is a replacement like any other.
            Step::TakingOver { .. } => {
                replica.step = Step::Replacing;
                (replica.version, replica.ready_since, replica.unready_since) =
                    (self.rollout.desired_version().into(), None, now);
                self.failures += failed;
                Vec::new()
            }
            Step::Surging { .. } => {
                replica.step = Step::Idle;
                let claim = replica.claim.take();
                self.failures += failed;
                self.failed_without_capacity += u32::from(why == SurgeEnd::NoCapacity);
                self.back_off(now, MAX_BACKOFF);
                self.drop_claim(claim)
            }
            _ => Vec::new(),
        }
    }

    /// The old replica is gone, and the surge replica has taken over. Returns the claims to
    /// release.
    #[must_use]
    pub fn surge_took_over(&mut self, task: &str) -> Vec<ClaimId> {
        let Some(replica) = self.replicas.get_mut(task) else {
            return Vec::new();
        };
        let Step::TakingOver { version, ready } = &replica.step else {
            return Vec::new();
        };
        (replica.version, replica.ready_since, replica.step) =
            (version.clone(), Some(*ready), Step::Idle);
        let claim = replica.claim.take();
        self.drop_claim(claim)
    }

    /// An earlier surge replica is still to be stopped before a new one may be started: it will be
    /// asked for again.
    pub fn postpone_surge(&mut self, task: &str) {
        if let Some(replica) = self
            .replicas
            .get_mut(task)
            .filter(|replica| matches!(replica.step, Step::Surging { .. }))
        {
            replica.step = Step::Replacing;
        }
    }

    /// No node has any replica left that was started under this claim of another dispatcher.
    pub fn cleaned_up(&mut self, claim: ClaimId) {
        self.cleaning_up.remove(&claim);
    }

    /// The replica reports itself ready.
    pub fn replica_ready(&mut self, now: Ticks, task: &str) {
        if let Some(replica) = self.replicas.get_mut(task) {
            replica.ready_since.get_or_insert(now);
        }
    }

    /// The replica reports itself unready, or its node is lost, evicts it, or sends it away. True
    /// where that is a failure of the version being rolled out: it had not yet stayed ready for its
    /// time.
    pub fn replica_unready(&mut self, now: Ticks, task: &str) -> bool {
        let Some(replica) = self.replicas.get_mut(task) else {
            return false;
        };
        let Some(since) = replica.ready_since.take() else {
            return false;
        };
        replica.unready_since = now;
        let failed = replica.version == self.rollout.version
            && replica.claim.is_some()
            && now < since + self.rollout.min_ready;
        self.failures += u32::from(failed);
        failed
    }

    /// The replica is not wanted any more. Returns the claims to release.
    #[must_use]
    pub fn replica_removed(&mut self, task: &str) -> Vec<ClaimId> {
        self.replicas.remove(task);
        self.no_surge.remove(task);
        let dropped = self.claims.extract_if(.., |_, own| own.task == task);
        dropped.map(|(claim, _)| claim).collect()
    }

    /// The replica is no longer here: lost with its node, evicted, sent away, or without a machine
    /// for the new one. Its client asks for it again, here or at another dispatcher, and a slot
    /// that it holds stays held until it is ready there.
    pub fn replica_lost(&mut self, now: Ticks, task: &str) {
        let Some(replica) = self.replicas.remove(task) else {
            return;
        };
        let settled = replica.stayed_ready(self.rollout.min_ready, now);
        let replaced = replica.step == Step::Replacing && replica.version == self.rollout.version;
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
