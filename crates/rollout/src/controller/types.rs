//! What a controller is told and what it wants done.

use crate::{ClaimId, Grant};
use corkspan_scheduler::interface::Ticks;

/// A slot that quorum members report as held, and how many report this same grant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedSlot {
    /// Index of the slot, from 0 up to the rollout's limit.
    pub slot: u32,
    /// Who holds it.
    pub grant: Grant,
    /// Quorum members that report it.
    pub members: usize,
}

/// A claim to send to all quorum members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Drawn anew for each use of a slot.
    pub claim: ClaimId,
    /// Index of the slot that is wanted.
    pub slot: u32,
    /// The task whose replica is to be replaced under it.
    pub task: String,
}

/// A slot held by a dispatcher that no longer has the task's replica: a surge replica that it
/// started may still run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrphanedSurge {
    /// The other dispatcher's claim, to be released once every node has stopped the surge replica.
    pub claim: ClaimId,
    /// The task whose replica is here by now.
    pub task: String,
}

/// What to do now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Claims to send to all quorum members.
    pub claims: Vec<ClaimRequest>,
    /// Tasks whose replica is to be stopped and then replaced by the desired version, in this
    /// order.
    pub replace: Vec<String>,
    /// Tasks beside whose replica a surge replica of the desired version is to be started.
    pub surge: Vec<String>,
    /// Tasks whose surge replica takes over: the old replica is to be stopped, and this is
    /// repeated until it is gone.
    pub stop_old: Vec<String>,
    /// Tasks whose surge replica is to be stopped: its version is no longer desired.
    pub cancel_surge: Vec<String>,
    /// Claims to release at all quorum members.
    pub release: Vec<ClaimId>,
    /// Slots to release once every node has stopped what was started under them; answered by
    /// [`super::RolloutController::cleaned_up`].
    pub clean_up: Vec<OrphanedSurge>,
    /// The rollout is to halt, for this reason.
    pub halt: Option<String>,
    /// Time until the next call at the latest.
    pub wait: Ticks,
}

/// What became of claims that an earlier incarnation of this dispatcher had won.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredClaims {
    /// They hold no slot any more and are to be released.
    pub lost: Vec<ClaimId>,
    /// Too few members answer to know: to be sent to all members once more, as the same claims.
    pub retry: Vec<ClaimRequest>,
}

/// Why a surge replica is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SurgeEnd {
    /// It was cancelled by this dispatcher.
    Cancelled,
    /// It died before it had taken over.
    Failed,
    /// No machine took it in time.
    NoCapacity,
}

/// How quorum members answered a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Votes {
    /// Members that granted it.
    pub granted: usize,
    /// Members in the quorum.
    pub members: usize,
}

/// Replicas of the service at one dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// All of them.
    pub total: usize,
    /// Those of the desired version.
    pub desired: usize,
    /// Those that are not ready.
    pub unready: usize,
}
