//! Decides one dispatcher's part of a service's rollout, from its own replicas and from the slots
//! that quorum members report.
//!
//! [`types`] has the types of the interface. The caller reports events of replicas and claims to
//! the controller, and regularly calls [`RolloutController::reconcile`] for the next steps.

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

/// Time between two calls of `reconcile` if nothing is due earlier.
const RECONCILE_INTERVAL: Ticks = 5_000;
/// Shortest delay between a first lost claim and the next claim. It doubles with each further loss,
/// and a random time up to the same length is added.
const MIN_BACKOFF: Ticks = 500;
/// Longest delay after lost claims.
const MAX_BACKOFF: Ticks = 20_000;
/// Time within which a replica that was handed over reports whether it is ready.
const READINESS_REPORT_TIMEOUT: Ticks = 10_000;
/// Number of progress deadlines after which a grant is released that names this dispatcher but
/// belongs to none of its claims and replicas.
const UNUSED_GRANT_DEADLINES: u64 = 3;

/// One dispatcher's part of a service's rollout.
pub struct RolloutController {
    /// Number of this dispatcher.
    dispatcher: u32,
    rng: Pcg64Mcg,
    rollout: Rollout,
    /// Replicas of this dispatcher, by task.
    replicas: BTreeMap<String, Replica>,
    /// This dispatcher's claims that were sent or are held.
    claims: BTreeMap<ClaimId, Claim>,
    /// Claims of an earlier incarnation that are not known to have been won: no replica was stopped
    /// under them.
    never_won: Vec<ClaimId>,
    /// Tasks of which two replicas must never run at a time, whatever the rollout's order.
    no_surge: BTreeSet<String>,
    /// Won claims of an earlier incarnation that may no longer hold their slots.
    unverified: BTreeSet<ClaimId>,
    /// Number of replicas of the current version that failed here.
    failures: u32,
    /// Number of these failures that were surge replicas for which no machine was found.
    failed_without_capacity: u32,
    /// Whether it has requested a halt that is not in effect yet.
    halt_requested: bool,
    consecutive_losses: u32,
    /// Earliest time of the next claim.
    next_claim_at: Ticks,
    /// Claims of other dispatchers that are being cleaned up, with their tasks.
    cleaning_up: BTreeMap<ClaimId, String>,
    /// Grants that belong to none of this dispatcher's claims, with the time when each was first
    /// seen.
    unused_since: BTreeMap<ClaimId, Ticks>,
}

impl RolloutController {
    /// Creates a controller without replicas. `dispatcher` is the dispatcher's number; `seed`
    /// initializes the random number generator.
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

    /// Returns the rollout that the controller follows.
    pub fn rollout(&self) -> &Rollout {
        &self.rollout
    }

    /// Adopts a later revision of the rollout, and ignores an earlier one. Replacements in progress
    /// continue under the slots that they hold.
    pub fn adopt(&mut self, rollout: Rollout) {
        if rollout.revision > self.rollout.revision {
            // Failures are reset only by a change of version: a pause must not forget them.
            if rollout.version != self.rollout.version {
                (self.failures, self.failed_without_capacity) = (0, 0);
            }
            self.halt_requested = false;
            self.consecutive_losses = 0;
            self.rollout = rollout;
        }
    }

    /// Returns whether a surge replica is wanted beside the task's replica.
    pub fn is_surging(&self, task: &str) -> bool {
        self.replicas
            .get(task)
            .is_some_and(|replica| matches!(replica.step, Step::Surging { .. }))
    }

    /// Returns the claim under which the task's replica is replaced.
    pub fn claim_of(&self, task: &str) -> Option<ClaimId> {
        self.replicas.get(task)?.claim
    }

    /// Counts the replicas of this dispatcher.
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

    /// Returns whether the rollout is in progress and a replica of this dispatcher is unready or
    /// not of the desired version.
    pub fn has_work(&self) -> bool {
        let desired = self.rollout.desired_version();
        self.in_progress()
            && self
                .replicas
                .values()
                .any(|replica| replica.version != desired || replica.ready_since.is_none())
    }

    /// Returns this dispatcher's claims that were sent or are held.
    pub fn claims(&self) -> impl Iterator<Item = ClaimId> {
        self.claims.keys().copied()
    }

    /// Returns whether new steps may be started: the rollout is neither paused nor halted, and no
    /// halt has been requested.
    fn in_progress(&self) -> bool {
        self.rollout.phase == Phase::Rolling && !self.halt_requested
    }
}
