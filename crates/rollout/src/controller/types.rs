//! The inputs of a controller and the actions that it requests.

use crate::{ClaimId, Grant};
use corkspan_scheduler::interface::Ticks;

/// A slot that quorum members report as held, and the number of members that report this grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSlot {
    /// Index of the slot, from 0 up to the rollout's limit.
    pub slot: u32,
    /// Its holder.
    pub grant: Grant,
    /// Number of quorum members that report it.
    pub members: usize,
}

/// A claim to send to all quorum members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Random id, new for each claim.
    pub claim: ClaimId,
    /// Index of the claimed slot.
    pub slot: u32,
    /// The task whose replica is to be replaced under it.
    pub task: String,
}

/// A slot held by a dispatcher that no longer has the task's replica, and that may have started a
/// surge replica which still runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrphanedSurge {
    /// The other dispatcher's claim, to be released once every node has stopped the surge replica.
    pub claim: ClaimId,
    /// The task whose replica now belongs to this dispatcher.
    pub task: String,
}

/// What the caller has to do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Claims to send to all quorum members.
    pub claims: Vec<ClaimRequest>,
    /// Tasks whose replica is to be stopped and then replaced by one of the desired version, in
    /// this order.
    pub replace: Vec<String>,
    /// Tasks for which a surge replica of the desired version is to be started.
    pub surge: Vec<String>,
    /// Tasks whose surge replica takes over: the old replica is to be stopped. Repeated until it
    /// has stopped.
    pub stop_old: Vec<String>,
    /// Tasks whose surge replica is to be stopped, since its version is no longer desired.
    pub cancel_surge: Vec<String>,
    /// Claims to release at all quorum members.
    pub release: Vec<ClaimId>,
    /// Slots to release once every node has stopped the replicas that were started under them.
    /// Completion is reported by [`super::RolloutController::cleaned_up`].
    pub clean_up: Vec<OrphanedSurge>,
    /// Reason for which the rollout is to be halted.
    pub halt: Option<String>,
    /// Longest time until the next call.
    pub wait: Ticks,
}

/// The result of verifying claims that an earlier incarnation of this dispatcher had won.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredClaims {
    /// Claims that no longer hold a slot, and are to be released.
    pub lost: Vec<ClaimId>,
    /// Claims left undecided because too few members answer. They are to be sent to all members
    /// again, with the same ids.
    pub retry: Vec<ClaimRequest>,
}

/// The reason for the end of a surge replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurgeEnd {
    /// This dispatcher cancelled it.
    Cancelled,
    /// It failed before it had taken over.
    Failed,
    /// No machine accepted it in time.
    NoCapacity,
}

/// The quorum members' answers to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Votes {
    /// Number of members that granted it.
    pub granted: usize,
    /// Number of members in the quorum.
    pub members: usize,
}

/// The number of the service's replicas at one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// All replicas.
    pub total: usize,
    /// Replicas of the desired version.
    pub desired: usize,
    /// Replicas that are not ready.
    pub unready: usize,
}
