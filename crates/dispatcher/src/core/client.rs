//! The state of an allocation for its client, and replicas that must be removed.

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

/// The state of an allocation in flight, for its client.
pub struct ClientAllocation {
    pub request: v1::PlacementRequest,
    pub replies: async_channel::Sender<v1::PlacementEvent>,
    /// When the client stops waiting; none for an allocation that was handed over.
    pub deadline: Option<Ticks>,
    /// The call itself has a deadline: its end then does not cancel the allocation.
    pub call_deadline: Option<Ticks>,
    pub migrating: bool,
    /// Its present id: a rollout gives it another with each replica.
    pub current_id: CurrentAllocation,
    pub version: String,
    /// Since when its replica reports that it is ready.
    pub ready_since: Option<Ticks>,
    /// A rollout is stopping its replica, to place another.
    pub stopping_for_rollout: bool,
    /// It is being placed instead of a replica that a rollout has stopped: its client had its
    /// answer before.
    pub replacement: bool,
    /// The new replica that a rollout runs beside this one.
    pub successor: Option<AllocationId>,
    /// It is such a new replica, beside this one. Its client knows nothing of it yet.
    pub predecessor: Option<AllocationId>,
    /// The new replica takes over as soon as this one is known to be gone.
    pub superseded: bool,
    /// This new replica is cancelled, and its reports no longer count.
    pub surge_cancelled: bool,
}

/// A replica of a rollout that must be known to be gone before its slot is released.
pub struct PendingRemoval {
    pub service: String,
    pub task: String,
    pub placing_ids: Vec<String>,
    /// All other replicas of the task, instead.
    pub except: Option<String>,
    /// Where it may be; on any node if none.
    pub nodes: Option<Vec<MachineId>>,
    /// Nodes that have confirmed that it is not there.
    pub confirmed_by: BTreeSet<MachineId>,
    pub after: AfterRemoval,
}

#[derive(Clone, PartialEq, Eq)]
pub enum AfterRemoval {
    /// The old replica is gone, and the new one has taken over.
    ReplacementCompleted,
    SurgeCancelled(SurgeEnd),
    /// Of an earlier incarnation: its claim alone is left, without the pair.
    RestartCleanup(ClaimId, ReplicaPair),
    /// A claim of another dispatcher, dead or gone, is released.
    ForeignClaimCleared(ClaimId),
}

/// The present id of a client's allocation.
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

    /// Sends a reply that must arrive. There is always room: optional replies leave some.
    pub fn send_reply(&self, said: Reply) {
        if self
            .replies
            .try_send(v1::PlacementEvent { event: Some(said) })
            .is_err()
        {
            debug!(task = self.request.task, "an owner is gone before its word");
        }
    }

    /// Sends a reply that may be left out where the client does not read.
    pub fn send_optional_reply(&self, said: Reply) {
        const RESERVED_REPLIES: usize = 4;
        if self.replies.len() + RESERVED_REPLIES < self.replies.capacity().unwrap_or(usize::MAX) {
            let _ = self
                .replies
                .try_send(v1::PlacementEvent { event: Some(said) });
        }
    }
}
