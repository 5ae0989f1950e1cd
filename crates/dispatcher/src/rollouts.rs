//! The rolls that a dispatcher knows of: the desk tells their conductors what becomes of copies,
//! and `rolls` asks them what to do next.

use crate::store::{Held, Kept};
use corkspan_rollout::Rollout;
use corkspan_rollout::controller::{ReportedSlot, RolloutController};
use corkspan_scheduler::interface::Ticks;
use std::collections::BTreeMap;
use tracing::warn;

/// Services with a roll that one dispatcher follows at the most.
const MOST: usize = 10_000;

/// The rolls that a dispatcher knows of, by service.
pub struct Rolls {
    me: u32,
    seed: u64,
    pub conductors: BTreeMap<String, RolloutController>,
    /// What keepers told last.
    pub held: BTreeMap<String, Vec<ReportedSlot>>,
    pub heard: usize,
}

impl Rolls {
    pub fn new(me: u32, seed: u64, now: Ticks, (rolls, claims): Kept) -> Self {
        let mut own = Rolls {
            me,
            seed,
            conductors: BTreeMap::new(),
            held: BTreeMap::new(),
            heard: 0,
        };
        rolls.into_iter().for_each(|roll| own.adopt(now, roll));
        for Held {
            claim,
            service,
            task,
            won,
            ..
        } in claims
        {
            match own.conductors.get_mut(&service) {
                Some(conductor) => conductor.restore_claim(claim, &task, won),
                None => warn!(
                    service,
                    task, "a claim of a roll that the store doesn't know"
                ),
            }
        }
        own
    }

    /// The version of its program that a copy of the service gets now; empty where there was no
    /// roll.
    pub fn wanted(&self, service: &str) -> String {
        self.conductors
            .get(service)
            .map_or_else(String::new, |conductor| {
                conductor.rollout().desired_version().into()
            })
    }

    /// Whether any roll has steps left to take: copies of another version, slots in use, or claims
    /// of ours.
    pub fn goes_on(&self) -> bool {
        let steps = |own: &RolloutController| own.claims().next().is_some() || own.has_work();
        self.conductors.values().any(steps) || self.held.values().any(|held| !held.is_empty())
    }

    pub fn of(&mut self, service: &str) -> Option<&mut RolloutController> {
        self.conductors.get_mut(service)
    }

    pub fn adopt(&mut self, now: Ticks, roll: Rollout) {
        let full = self.conductors.len() >= MOST;
        match self.conductors.get_mut(&roll.service) {
            Some(conductor) => conductor.adopt(roll),
            None if !full => {
                let seed = self.seed ^ corkspan_engine::service(&roll.service).0;
                self.conductors.insert(
                    roll.service.clone(),
                    RolloutController::new(self.me, seed, roll, now),
                );
            }
            None => warn!(
                service = roll.service,
                "too many rolls; this one is left out"
            ),
        }
    }
}
