//! Handles the events of this dispatcher's replicas.

use super::replica::{Replica, Step};
use super::types::SurgeEnd;
use super::{MAX_BACKOFF, RolloutController};
use crate::ClaimId;
use corkspan_scheduler::interface::Ticks;

impl RolloutController {
    /// Records a replica of this dispatcher that is not known to be ready: it was placed, is being
    /// placed, or was handed over. An empty version stands for the initial one. `returning` is true
    /// if the client requests the replica again after it was lost, evicted or drained.
    pub fn replica_assigned(&mut self, now: Ticks, task: &str, version: &str, returning: bool) {
        let own_claim = self
            .claims
            .iter()
            .find(|(_, own_claim)| own_claim.task == task);
        let (claim, step) = match own_claim {
            Some((claim, own_claim)) if own_claim.won => (Some(*claim), Step::Replacing),
            // The claim may not be won: no replica may be stopped under it yet.
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

    /// Marks a task of which two replicas must never run at a time. Its old replica is stopped
    /// first, whatever the rollout's order.
    pub fn forbid_surge(&mut self, task: &str) {
        if self.replicas.contains_key(task) {
            self.no_surge.insert(task.into());
        }
    }

    /// Records that the surge replica reports itself ready or unready.
    pub fn surge_readiness(&mut self, now: Ticks, task: &str, is_ready: bool) {
        let replica = self.replicas.get_mut(task);
        if let Some(Step::Surging { ready, .. }) = replica.map(|replica| &mut replica.step) {
            *ready = if is_ready { ready.or(Some(now)) } else { None };
        }
    }

    /// Records that the surge replica has ended or was never placed. `reason` determines whether
    /// that counts as a failure of the version. Returns the claims to release.
    #[must_use]
    pub fn surge_ended(&mut self, now: Ticks, task: &str, reason: SurgeEnd) -> Vec<ClaimId> {
        let Some(replica) = self.replicas.get_mut(task) else {
            return Vec::new();
        };
        let failed = u32::from(reason != SurgeEnd::Cancelled);
        match replica.step {
            // The old replica is already being stopped: an ordinary replacement follows.
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
                self.failed_without_capacity += u32::from(reason == SurgeEnd::NoCapacity);
                self.back_off(now, MAX_BACKOFF);
                self.drop_claim(claim)
            }
            _ => Vec::new(),
        }
    }

    /// Records that the old replica has ended and the surge replica has taken over. Returns the
    /// claims to release.
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

    /// Postpones the start of a surge replica until an earlier one is stopped. It will be requested
    /// again.
    pub fn postpone_surge(&mut self, task: &str) {
        if let Some(replica) = self
            .replicas
            .get_mut(task)
            .filter(|replica| matches!(replica.step, Step::Surging { .. }))
        {
            replica.step = Step::Replacing;
        }
    }

    /// Records that no node has a replica any more that was started under this claim of another
    /// dispatcher.
    pub fn cleaned_up(&mut self, claim: ClaimId) {
        self.cleaning_up.remove(&claim);
    }

    /// Records that the replica reports itself ready.
    pub fn replica_ready(&mut self, now: Ticks, task: &str) {
        if let Some(replica) = self.replicas.get_mut(task) {
            replica.ready_since.get_or_insert(now);
        }
    }

    /// Records that the replica reports itself unready, or that its node is lost, evicts it or
    /// drains it. Returns true if that counts as a failure of the version being rolled out,
    /// because the replica had not stayed ready for the minimum time.
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

    /// Removes a replica that is not wanted any more. Returns the claims to release.
    #[must_use]
    pub fn replica_removed(&mut self, task: &str) -> Vec<ClaimId> {
        self.replicas.remove(task);
        self.no_surge.remove(task);
        let dropped = self
            .claims
            .extract_if(.., |_, own_claim| own_claim.task == task);
        dropped.map(|(claim, _)| claim).collect()
    }

    /// Records that this dispatcher has lost the replica: it was lost with its node, evicted or
    /// drained, or no machine was found for the new one. Its client requests it again, here or at
    /// another dispatcher. A slot that it holds stays held until the replica is ready there.
    pub fn replica_lost(&mut self, now: Ticks, task: &str) {
        let Some(replica) = self.replicas.remove(task) else {
            return;
        };
        let settled = replica.stayed_ready(self.rollout.min_ready, now);
        let replaced = replica.step == Step::Replacing && replica.version == self.rollout.version;
        self.failures += u32::from(replaced && !settled);
    }

    /// Drops the claim, if any, and returns it.
    fn drop_claim(&mut self, claim: Option<ClaimId>) -> Vec<ClaimId> {
        let claims: Vec<ClaimId> = claim.into_iter().collect();
        for claim in &claims {
            self.claims.remove(claim);
        }
        claims
    }
}
