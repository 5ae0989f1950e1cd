//! Decides one dispatcher's part of a service's rollout, from its own replicas and from the slots
//! that quorum members report.
//!
//! [`types`] has what goes in and out. A controller is told what becomes of its replicas and
//! claims, and is asked regularly for the next steps.

mod claims;
mod events;
mod replica;
mod steps;
pub mod types;

use crate::{ClaimId, Phase, Rollout};
use corkspan_scheduler::interface::Ticks;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use replica::{Claim, Replica, Step};
use std::collections::{BTreeMap, BTreeSet};
pub use types::{
    Actions, ClaimRequest, OrphanedSurge, ReplicaCounts, ReportedSlot, RestoredClaims, SurgeEnd,
    Votes,
};

/// Between two calls where nothing falls due before.
const RECONCILE_INTERVAL: Ticks = 5_000;
/// Shortest wait after a first lost claim before the next one is sent; it doubles with each further
/// loss, and up to as much again is added by chance.
const MIN_BACKOFF: Ticks = 500;
/// Longest wait after lost claims.
const MAX_BACKOFF: Ticks = 20_000;
/// A replica that was handed over reports within this time whether it is ready.
const READINESS_REPORT_TIMEOUT: Ticks = 10_000;
/// A grant that its holder was not seen to use is released after this many times the time that a
/// replica has to get ready.
const UNUSED_GRANT_DEADLINES: u64 = 3;

/// One dispatcher's part of a service's rollout.
pub struct RolloutController {
    /// This dispatcher's number.
    dispatcher: u32,
    rng: Pcg64Mcg,
    rollout: Rollout,
    /// Replicas of this dispatcher, by task.
    replicas: BTreeMap<String, Replica>,
    /// Own claims that were sent or are held.
    claims: BTreeMap<ClaimId, Claim>,
    /// Claims of an earlier incarnation that was never known to have won: nothing was stopped
    /// under them.
    never_won: Vec<ClaimId>,
    /// Tasks of which two replicas must never run at a time, whatever the rollout's order.
    no_surge: BTreeSet<String>,
    /// Claims of an earlier incarnation that may or may not still hold their slots.
    unverified: BTreeSet<ClaimId>,
    /// Replicas of this version that failed here.
    failures: u32,
    /// Of those, surge replicas that found no machine.
    failed_without_capacity: u32,
    /// It asked for a halt, which has not come in force yet.
    halt_requested: bool,
    consecutive_losses: u32,
    /// No claim is sent before.
    next_claim_at: Ticks,
    /// Claims of others that are being cleaned up, and for which task.
    cleaning_up: BTreeMap<ClaimId, String>,
    /// Grants that nobody was seen to use, and since when.
    unused_since: BTreeMap<ClaimId, Ticks>,
}

impl RolloutController {
    /// A controller that knows of no replica yet. `dispatcher` is the dispatcher's number; `seed`
    /// fixes its random draws.
    pub fn new(dispatcher: u32, seed: u64, rollout: Rollout, now: Ticks) -> Self {
        RolloutController {
            dispatcher,
            rng: Pcg64Mcg::seed_from_u64(seed),
            rollout,
            replicas: BTreeMap::new(),
            claims: BTreeMap::new(),
            never_won: Vec::new(),
            no_surge: BTreeSet::new(),
            unverified: BTreeSet::new(),
            failures: 0,
            failed_without_capacity: 0,
            halt_requested: false,
            consecutive_losses: 0,
            next_claim_at: now,
            cleaning_up: BTreeMap::new(),
            unused_since: BTreeMap::new(),
        }
    }

    /// The rollout that it follows.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Follows a later revision of the rollout. What is being replaced goes on under the slot that
    /// it holds. An earlier revision is ignored.
    pub fn adopt(&mut self, rollout: Rollout) {
        if rollout.revision > self.rollout.revision {
            // Only a change of version begins anew: a pause must not forget what has failed.
            if rollout.version != self.rollout.version {
                (self.failures, self.failed_without_capacity) = (0, 0);
            }
            self.halt_requested = false;
            self.consecutive_losses = 0;
            self.rollout = rollout;
        }
    }

    /// Whether a surge replica is wanted beside the task's replica.
    pub fn is_surging(&self, task: &str) -> bool {
        self.replicas
            .get(task)
            .is_some_and(|replica| matches!(replica.step, Step::Surging { .. }))
    }

    /// The claim under which the task's replica is replaced.
    pub fn claim_of(&self, task: &str) -> Option<ClaimId> {
        self.replicas.get(task)?.claim
    }

    /// Counts the replicas here.
    pub fn counts(&self) -> ReplicaCounts {
        let desired = self.rollout.desired_version();
        let count = |counted: &dyn Fn(&Replica) -> bool| {
            self.replicas
                .values()
                .filter(|replica| counted(replica))
                .count()
        };
        ReplicaCounts {
            total: self.replicas.len(),
            desired: count(&|replica| replica.version == desired),
            unready: count(&|replica| replica.ready_since.is_none()),
        }
    }

    /// Whether, while the rollout is in progress, a replica here is of another version than desired
    /// or is not ready.
    pub fn has_work(&self) -> bool {
        let desired = self.rollout.desired_version();
        self.in_progress()
            && self
                .replicas
                .values()
                .any(|replica| replica.version != desired || replica.ready_since.is_none())
    }

    /// Own claims that were sent or are held.
    pub fn claims(&self) -> impl Iterator<Item = ClaimId> {
        self.claims.keys().copied()
    }

    /// Whether steps may be begun: neither paused nor halted.
    fn in_progress(&self) -> bool {
        self.rollout.phase == Phase::Rolling && !self.halt_requested
    }
}
