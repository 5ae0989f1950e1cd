//! What is kept of an allocation for its owner, and of what a roll has left somewhere.

use crate::store::Pair;
use corkspan_api::v1;
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_scheduler::interface::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::debug;
use v1::placement_event::Event as Said;

/// What is kept for the owner of an allocation in hand.
pub struct Client {
    pub ask: v1::PlacementRequest,
    pub words: async_channel::Sender<v1::PlacementEvent>,
    /// When the owner stops waiting; none for one handed over.
    pub deadline: Option<Ticks>,
    /// The call itself has a deadline: that it ends then says nothing of the allocation.
    pub hangs_up: Option<Ticks>,
    pub moving: bool,
    /// Its id now: a roll gives it another with each copy.
    pub current: Current,
    pub version: String,
    /// Since when its copy is ready, by its own word.
    pub ready: Option<Ticks>,
    /// A roll is having its copy stopped, to place another.
    pub stopping: bool,
    /// It is being placed in the place of a copy that a roll has stopped: its owner had its answer
    /// before.
    pub anew: bool,
    /// A new copy that a roll starts beside this one.
    pub successor: Option<AllocationId>,
    /// It is such a new copy, beside this one. Its owner knows nothing of it yet.
    pub beside: Option<AllocationId>,
    /// The new copy takes over as soon as this one is known to be gone.
    pub retiring: bool,
    /// Such a new copy is put away, and what is told of it no longer counts.
    pub withdrawn: bool,
}

/// What a roll has left somewhere and must be known to be gone before its slot comes back.
pub struct Orphan {
    pub service: String,
    pub task: String,
    pub placings: Vec<String>,
    /// All other copies of the task, instead.
    pub but: Option<String>,
    /// Where it may be; anywhere, if none is told.
    pub nodes: Option<Vec<MachineId>>,
    /// Nodes that have said that it is not there.
    pub told: BTreeSet<MachineId>,
    pub then: Then,
}

#[derive(Clone, PartialEq, Eq)]
pub enum Then {
    /// The old one is gone, the new one has taken over.
    Retired,
    Withdrawn(SurgeEnd),
    /// Of an earlier life: only its claim is left, without the two.
    Forgotten(ClaimId, Pair),
    /// A claim of another, dead or gone, goes back.
    Cleared(ClaimId),
}

/// The id of an owner's allocation, as it is now.
#[derive(Clone)]
pub struct Current(Arc<AtomicU64>);

impl Current {
    pub fn new() -> Self {
        Current(Arc::new(AtomicU64::new(u64::MAX)))
    }

    pub fn get(&self) -> AllocationId {
        AllocationId(self.0.load(Ordering::Relaxed))
    }

    pub fn set(&self, id: AllocationId) {
        self.0.store(id.0, Ordering::Relaxed);
    }
}

impl Client {
    pub fn new(
        ask: v1::PlacementRequest,
        words: &async_channel::Sender<v1::PlacementEvent>,
    ) -> Self {
        Client {
            ask,
            words: words.clone(),
            deadline: None,
            hangs_up: None,
            moving: false,
            current: Current::new(),
            version: String::new(),
            ready: None,
            stopping: false,
            anew: false,
            successor: None,
            beside: None,
            retiring: false,
            withdrawn: false,
        }
    }

    /// A word that must arrive. There is always room: notes leave some.
    pub fn say(&self, said: Said) {
        if self
            .words
            .try_send(v1::PlacementEvent { event: Some(said) })
            .is_err()
        {
            debug!(task = self.ask.task, "an owner is gone before its word");
        }
    }

    /// A word that may be left out where the owner doesn't read.
    pub fn note(&self, said: Said) {
        const KEPT_FREE: usize = 4;
        if self.words.len() + KEPT_FREE < self.words.capacity().unwrap_or(usize::MAX) {
            let _ = self
                .words
                .try_send(v1::PlacementEvent { event: Some(said) });
        }
    }
}
