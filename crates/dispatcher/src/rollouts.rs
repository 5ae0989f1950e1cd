//! The rollouts that a dispatcher follows. The core reports the state of replicas to their
//! controllers; `rollout_control` carries out what the controllers decide.

use crate::store::{StoredClaim, StoredRollouts};
use corkspan_rollout::Rollout;
use corkspan_rollout::controller::{ReportedSlot, RolloutController};
use corkspan_scheduler::interface::Ticks;
use std::collections::BTreeMap;
use tracing::warn;

/// Largest number of services with a rollout that one dispatcher follows.
const MAX_ROLLOUTS: usize = 10_000;

/// The rollouts that a dispatcher follows, by service.
pub struct Rollouts {
    dispatcher: u32,
    seed: u64,
    pub controllers: BTreeMap<String, RolloutController>,
    /// The slots that the quorum members reported last, by service.
    pub reported_slots: BTreeMap<String, Vec<ReportedSlot>>,
    pub members_heard: usize,
}

impl Rollouts {
    pub fn new(dispatcher: u32, seed: u64, now: Ticks, stored: StoredRollouts) -> Self {
        let mut rollouts = Rollouts {
            dispatcher,
            seed,
            controllers: BTreeMap::new(),
            reported_slots: BTreeMap::new(),
            members_heard: 0,
        };
        for rollout in stored.rollouts {
            rollouts.adopt(now, rollout);
        }
        for StoredClaim {
            claim,
            service,
            task,
            won,
            ..
        } in stored.claims
        {
            match rollouts.controllers.get_mut(&service) {
                Some(controller) => controller.restore_claim(claim, &task, won),
                None => warn!(
                    service,
                    task, "a stored claim belongs to a rollout that is not in the store"
                ),
            }
        }
        rollouts
    }

    /// Returns the version that a new replica of the service gets; empty without a rollout.
    pub fn wanted(&self, service: &str) -> String {
        self.controllers
            .get(service)
            .map_or_else(String::new, |controller| {
                controller.rollout().desired_version().into()
            })
    }

    /// Returns whether any rollout is unfinished: replicas of another version, slots in use, or
    /// claims of this dispatcher.
    pub fn in_progress(&self) -> bool {
        let steps = |rollouts: &RolloutController| {
            rollouts.claims().next().is_some() || rollouts.has_work()
        };
        self.controllers.values().any(steps)
            || self
                .reported_slots
                .values()
                .any(|reported_slots| !reported_slots.is_empty())
    }

    pub fn controller(&mut self, service: &str) -> Option<&mut RolloutController> {
        self.controllers.get_mut(service)
    }

    pub fn adopt(&mut self, now: Ticks, rollout: Rollout) {
        let full = self.controllers.len() >= MAX_ROLLOUTS;
        match self.controllers.get_mut(&rollout.service) {
            Some(controller) => controller.adopt(rollout),
            None if !full => {
                let seed = self.seed ^ corkspan_engine::service_id(&rollout.service).0;
                self.controllers.insert(
                    rollout.service.clone(),
                    RolloutController::new(self.dispatcher, seed, rollout, now),
                );
            }
            None => warn!(
                service = rollout.service,
                "too many rollouts; this one is not followed"
            ),
        }
    }
}
