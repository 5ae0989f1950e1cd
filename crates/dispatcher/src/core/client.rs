//! What is kept of an allocation for its owner, and of what a roll has left somewhere.

use crate::store::ReplicaPair;
use corkspan_api::v1;
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_scheduler::interface::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::debug;
use v1::placement_event::Event as Reply;

/// What is kept for the owner of an allocation in hand.
pub struct ClientAllocation {
    pub request: v1::PlacementRequest,
    pub replies: async_channel::Sender<v1::PlacementEvent>,
    /// When the owner stops waiting; none for one handed over.
    pub deadline: Option<Ticks>,
    /// The call itself has a deadline: that it ends then says nothing of the allocation.
    pub call_deadline: Option<Ticks>,
    pub migrating: bool,
    /// Its id now: a roll gives it another with each copy.
    pub current_id: CurrentAllocation,
    pub version: String,
    /// Since when its copy is ready, by its own word.
    pub ready_since: Option<Ticks>,
    /// A roll is having its copy stopped, to place another.
    pub stopping_for_rollout: bool,
    /// It is being placed in the place of a copy that a roll has stopped: its owner had its answer
    /// before.
    pub replacement: bool,
    /// A new copy that a roll starts beside this one.
    pub successor: Option<AllocationId>,
    /// It is such a new copy, beside this one. Its owner knows nothing of it yet.
    pub predecessor: Option<AllocationId>,
    /// The new copy takes over as soon as this one is known to be gone.
    pub superseded: bool,
    /// Such a new copy is put away, and what is told of it no longer counts.
    pub surge_cancelled: bool,
}

/// What a roll has left somewhere and must be known to be gone before its slot comes back.
pub struct PendingRemoval {
    pub service: String,
    pub task: String,
    pub placing_ids: Vec<String>,
    /// All other copies of the task, instead.
    pub except: Option<String>,
    /// Where it may be; anywhere, if none is told.
    pub nodes: Option<Vec<MachineId>>,
    /// Nodes that have said that it is not there.
    pub confirmed_by: BTreeSet<MachineId>,
    pub after: AfterRemoval,
}

#[derive(Clone, PartialEq, Eq)]
pub enum AfterRemoval {
    /// The old one is gone, the new one has taken over.
    ReplacementCompleted,
    SurgeCancelled(SurgeEnd),
    /// Of an earlier life: only its claim is left, without the two.
    RestartCleanup(ClaimId, ReplicaPair),
    /// A claim of another, dead or gone, goes back.
    ForeignClaimCleared(ClaimId),
}

/// The id of an owner's allocation, as it is now.
#[derive(Clone)]
pub struct CurrentAllocation(Arc<AtomicU64>);

impl CurrentAllocation {
    pub fn new() -> Self {
        CurrentAllocation(Arc::new(AtomicU64::new(u64::MAX)))
    }

    pub fn get(&self) -> AllocationId {
        AllocationId(self.0.load(Ordering::Relaxed))
    }

    pub fn set(&self, id: AllocationId) {
        self.0.store(id.0, Ordering::Relaxed);
    }
}

impl ClientAllocation {
    pub fn new(
        request: v1::PlacementRequest,
        replies: &async_channel::Sender<v1::PlacementEvent>,
    ) -> Self {
        ClientAllocation {
            request,
            replies: replies.clone(),
            deadline: None,
            call_deadline: None,
            migrating: false,
            current_id: CurrentAllocation::new(),
            version: String::new(),
            ready_since: None,
            stopping_for_rollout: false,
            replacement: false,
            successor: None,
            predecessor: None,
            superseded: false,
            surge_cancelled: false,
        }
    }

    /// A word that must arrive. There is always room: notes leave some.
    pub fn send_reply(&self, said: Reply) {
        if self
            .replies
            .try_send(v1::PlacementEvent { event: Some(said) })
            .is_err()
        {
            debug!(task = self.request.task, "an owner is gone before its word");
        }
    }

    /// A word that may be left out where the owner doesn't read.
    pub fn send_optional_reply(&self, said: Reply) {
        const RESERVED_REPLIES: usize = 4;
        if self.replies.len() + RESERVED_REPLIES < self.replies.capacity().unwrap_or(usize::MAX) {
            let _ = self
                .replies
                .try_send(v1::PlacementEvent { event: Some(said) });
        }
    }
}
