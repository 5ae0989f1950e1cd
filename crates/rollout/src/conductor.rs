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

use crate::{ClaimId, Phase, Roll};
use corkspan_scheduler::interface::Ticks;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use replica::{Claim, Copy, Step};
use std::collections::{BTreeMap, BTreeSet};
pub use types::{
    ClaimRequest, Look, OrphanedSurge, Recalled, ReplicaCounts, ReportedSlot, Votes, Withdrawn,
};

/// Between two calls where nothing falls due before.
const LOOK: Ticks = 5_000;
/// Shortest wait after a first lost claim before the next one is sent; it doubles with each further
/// loss, and up to as much again is added by chance.
const BACK_OFF: Ticks = 500;
/// Longest wait after lost claims.
const LONGEST_BACK_OFF: Ticks = 20_000;
/// A replica that was handed over reports within this time whether it is ready.
const SAY: Ticks = 10_000;
/// A grant that its holder was not seen to use is released after this many times the time that a
/// replica has to get ready.
const FORGET: u64 = 3;

/// One dispatcher's part of a service's rollout.
pub struct Conductor {
    /// This dispatcher's number.
    me: u32,
    rng: Pcg64Mcg,
    roll: Roll,
    /// Replicas of this dispatcher, by task.
    copies: BTreeMap<String, Copy>,
    /// Own claims that were sent or are held.
    claims: BTreeMap<ClaimId, Claim>,
    /// Claims of an earlier incarnation that was never known to have won: nothing was stopped
    /// under them.
    unwon: Vec<ClaimId>,
    /// Tasks of which two replicas must never run at a time, whatever the rollout's order.
    once: BTreeSet<String>,
    /// Claims of an earlier incarnation that may or may not still hold their slots.
    recalled: BTreeSet<ClaimId>,
    /// Replicas of this version that failed here.
    failures: u32,
    /// Of those, surge replicas that found no machine.
    without_room: u32,
    /// It asked for a halt, which has not come in force yet.
    halted: bool,
    lost_in_a_row: u32,
    /// No claim is sent before.
    claim_at: Ticks,
    /// Claims of others that are being cleaned up, and for which task.
    clearing: BTreeMap<ClaimId, String>,
    /// Grants that nobody was seen to use, and since when.
    idle: BTreeMap<ClaimId, Ticks>,
}

impl Conductor {
    /// A controller that knows of no replica yet. `me` is the dispatcher's number; `seed` fixes
    /// its random draws.
    pub fn new(me: u32, seed: u64, roll: Roll, now: Ticks) -> Self {
        Conductor {
            me,
            rng: Pcg64Mcg::seed_from_u64(seed),
            roll,
            copies: BTreeMap::new(),
            claims: BTreeMap::new(),
            unwon: Vec::new(),
            once: BTreeSet::new(),
            recalled: BTreeSet::new(),
            failures: 0,
            without_room: 0,
            halted: false,
            lost_in_a_row: 0,
            claim_at: now,
            clearing: BTreeMap::new(),
            idle: BTreeMap::new(),
        }
    }

    /// The rollout that it follows.
    pub fn roll(&self) -> &Roll {
        &self.roll
    }

    /// Follows a later revision of the rollout. What is being replaced goes on under the slot that
    /// it holds. An earlier revision is ignored.
    pub fn adopt(&mut self, roll: Roll) {
        if roll.number > self.roll.number {
            // Only a change of version begins anew: a pause must not forget what has failed.
            if roll.version != self.roll.version {
                (self.failures, self.without_room) = (0, 0);
            }
            self.halted = false;
            self.lost_in_a_row = 0;
            self.roll = roll;
        }
    }

    /// Whether a surge replica is wanted beside the task's replica.
    pub fn grows(&self, task: &str) -> bool {
        self.copies
            .get(task)
            .is_some_and(|copy| matches!(copy.step, Step::Grows { .. }))
    }

    /// The claim under which the task's replica is replaced.
    pub fn claim_of(&self, task: &str) -> Option<ClaimId> {
        self.copies.get(task)?.claim
    }

    /// Counts the replicas here.
    pub fn counts(&self) -> ReplicaCounts {
        let desired = self.roll.wanted();
        let count = |counted: &dyn Fn(&Copy) -> bool| {
            self.copies.values().filter(|copy| counted(copy)).count()
        };
        ReplicaCounts {
            total: self.copies.len(),
            desired: count(&|copy| copy.version == desired),
            unready: count(&|copy| copy.ready.is_none()),
        }
    }

    /// Whether, while the rollout is in progress, a replica here is of another version than desired
    /// or is not ready.
    pub fn has_steps(&self) -> bool {
        let desired = self.roll.wanted();
        self.in_progress()
            && self
                .copies
                .values()
                .any(|copy| copy.version != desired || copy.ready.is_none())
    }

    /// Own claims that were sent or are held.
    pub fn claims(&self) -> impl Iterator<Item = ClaimId> {
        self.claims.keys().copied()
    }

    /// Whether steps may be begun: neither paused nor halted.
    fn in_progress(&self) -> bool {
        self.roll.phase == Phase::Rolling && !self.halted
    }
}
