//! The state kept for the client of each allocation, and for replicas that must be removed.

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

/// The state kept for the client of an allocation in flight.
pub struct ClientAllocation {
    pub request: v1::PlacementRequest,
    pub replies: async_channel::Sender<v1::PlacementEvent>,
    /// Time at which the client stops waiting for an answer; `None` once it is answered, and for an
    /// allocation that was handed over.
    pub deadline: Option<Ticks>,
    /// Deadline of the call itself. A call that ends at its deadline does not cancel the
    /// allocation.
    pub call_deadline: Option<Ticks>,
    pub migrating: bool,
    /// The current id of the allocation. A rollout changes it with each replica.
    pub current_id: CurrentAllocation,
    pub version: String,
    /// Time since which the replica has reported that it is ready.
    pub ready_since: Option<Ticks>,
    /// Whether a rollout is stopping this replica to place another.
    pub stopping_for_rollout: bool,
    /// Whether this replica replaces one that a rollout has stopped. The client has been answered
    /// already.
    pub replacement: bool,
    /// The surge replica that a rollout runs beside this one.
    pub successor: Option<AllocationId>,
    /// The old replica, if this is the surge replica beside it. The client does not know of a surge
    /// replica until it takes over.
    pub predecessor: Option<AllocationId>,
    /// Whether the surge replica takes over as soon as this one is known to be gone.
    pub superseded: bool,
    /// Whether this surge replica is cancelled. Its reports are then ignored.
    pub surge_cancelled: bool,
}

/// A replica of a rollout that must be known to be gone before its slot is released.
pub struct PendingRemoval {
    pub service: String,
    pub task: String,
    pub placement_ids: Vec<String>,
    /// If set, all replicas of the task are removed except the one with this placement id.
    pub except: Option<String>,
    /// The nodes that may run it; `None` if any node may.
    pub nodes: Option<Vec<MachineId>>,
    /// Nodes that have confirmed that they do not run it.
    pub confirmed_by: BTreeSet<MachineId>,
    pub after: AfterRemoval,
}

#[derive(Clone, PartialEq, Eq)]
pub enum AfterRemoval {
    /// The old replica is gone, and the new one has taken over.
    ReplacementCompleted,
    SurgeCancelled(SurgeEnd),
    /// The pair is left from an earlier incarnation. Only its claim is kept.
    RestartCleanup(ClaimId, ReplicaPair),
    /// A claim of another dispatcher that has stopped is released.
    ForeignClaimCleared(ClaimId),
}

/// The current id of a client's allocation.
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

    /// Sends a reply that must arrive. There is always room for it, because optional replies leave
    /// `RESERVED_REPLIES` places free.
    pub fn send_reply(&self, reply: Reply) {
        if self
            .replies
            .try_send(v1::PlacementEvent { event: Some(reply) })
            .is_err()
        {
            debug!(
                task = self.request.task,
                "client disconnected before its reply was sent"
            );
        }
    }

    /// Sends a reply that is dropped if the client does not read its replies.
    pub fn send_optional_reply(&self, reply: Reply) {
        const RESERVED_REPLIES: usize = 4;
        if self.replies.len() + RESERVED_REPLIES < self.replies.capacity().unwrap_or(usize::MAX) {
            let _ = self
                .replies
                .try_send(v1::PlacementEvent { event: Some(reply) });
        }
    }
}
