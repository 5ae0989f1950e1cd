//! The fence of a node: whether an operation takes effect there.

use crate::MinimumVersion;
use corkspan_quorum::{committed, is_majority};

/// What a node finds on its disk at a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The disk can be trusted: the minimum version that the node had stored, if it knew one.
    Intact(Option<MinimumVersion>),
    /// Nothing that can be trusted. An empty disk counts as lost until it records that the quorum
    /// was asked and held no minimum version: a node that restarts between the loss and the reply
    /// has not asked.
    Lost,
}

/// What a node answers to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not accepted must not run"]
pub enum FenceDecision {
    /// The attempt may run.
    Accepted,
    /// Rejected: its version is below this minimum, which the sender is to be notified of.
    Fenced(MinimumVersion),
    /// The node lost its state and has yet to hear from a majority of the quorum.
    Unknown,
}

/// A node's enforcement of the minimum version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fence {
    stored: Option<MinimumVersion>,
    /// Whether `stored` can be trusted.
    initialized: bool,
}

impl Fence {
    /// The fence of a node that starts with this state on its disk.
    pub fn restore(state: StoredState) -> Self {
        match state {
            StoredState::Intact(stored) => Fence {
                stored,
                initialized: true,
            },
            StoredState::Lost => Fence {
                stored: None,
                initialized: false,
            },
        }
    }

    /// Whether a reported minimum version is newer than the stored one, and so is to be written to
    /// disk and passed to [`Fence::apply_stored`]. Ask right before the write: a later one may have
    /// arrived since the report did.
    pub fn should_store(&self, reported: MinimumVersion) -> bool {
        reported.is_newer_than(self.stored)
    }

    /// Enforces a minimum version that is on disk by now. Not before: a node that rejected by a
    /// minimum and forgot it in a restart would accept afterwards what it had rejected.
    pub fn apply_stored(&mut self, minimum: MinimumVersion) {
        if self.should_store(minimum) {
            self.stored = Some(minimum);
        }
    }

    /// Applies the quorum's replies after the disk was lost; what a majority holds must be on disk
    /// by now. Returns whether the fence can decide from here on.
    ///
    /// The highest minimum that any single member reports is not used, although it would be
    /// stricter: it may never be committed, and would spread from here as if it had been.
    #[must_use = "false: the quorum must be asked again"]
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        // Whatever was committed is held by at least one member of any majority: where a majority
        // holds none, there never was one.
        let never_committed =
            is_majority(replies.len(), members) && replies.iter().all(Option::is_none);
        let committed = committed(replies.iter().flatten(), members).copied();
        if let Some(minimum) = committed {
            self.apply_stored(minimum);
        }
        self.initialized |= never_committed || committed.is_some();
        self.initialized
    }

    /// Decides on an attempt by the version that it was decided under. What is known of the sender
    /// does not count: an attempt of an earlier incarnation may arrive late.
    pub fn decide(&self, version: u64) -> FenceDecision {
        match self.stored {
            _ if !self.initialized => FenceDecision::Unknown,
            Some(minimum) if version < minimum.version => FenceDecision::Fenced(minimum),
            _ => FenceDecision::Accepted,
        }
    }

    /// The minimum version that is enforced here.
    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.stored
    }
}
