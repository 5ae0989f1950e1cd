//! The fence of a node, which decides whether an operation takes effect there.

use crate::MinimumVersion;
use corkspan_quorum::{committed, is_majority};

/// The state that a node finds on its disk when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// The disk can be trusted. The value is the minimum version that the node had stored, if any.
    Intact(Option<MinimumVersion>),
    /// The disk has no state that can be trusted. An empty disk counts as lost until it records
    /// that the quorum was queried and held no minimum version: a node that restarts between the
    /// loss of its disk and the quorum's reply does not know the reply.
    Lost,
}

/// A node's decision on an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use = "an attempt that is not accepted must not run"]
pub enum FenceDecision {
    /// The attempt may run.
    Accepted,
    /// The attempt is rejected: its version is below this minimum, which is reported to the sender.
    Fenced(MinimumVersion),
    /// The node lost its state and has no replies from a majority of the quorum yet.
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
    /// Creates the fence of a node that starts with this state on its disk.
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

    /// Returns whether a reported minimum version is newer than the stored one, and so is to be
    /// written to disk and passed to [`Fence::apply_stored`]. To be called right before the write:
    /// a later minimum may have arrived since the report.
    pub fn should_store(&self, reported: MinimumVersion) -> bool {
        reported.is_newer_than(self.stored)
    }

    /// Enforces a minimum version that is already on disk. A node that enforced one earlier and
    /// forgot it in a restart would then accept attempts that it had rejected.
    pub fn apply_stored(&mut self, minimum: MinimumVersion) {
        if self.should_store(minimum) {
            self.stored = Some(minimum);
        }
    }

    /// Applies the quorum's replies after the disk was lost. The minimum that a majority holds must
    /// already be on disk. Returns whether the fence can decide from now on.
    ///
    /// The highest minimum that any single member reports is not used, although it would be
    /// stricter: it may never be committed, and would spread from this node as if it were.
    #[must_use = "false: the quorum must be queried again"]
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        // At least one member of any majority holds a committed minimum: if a majority holds none,
        // none was ever committed.
        let never_committed =
            is_majority(replies.len(), members) && replies.iter().all(Option::is_none);
        let committed = committed(replies.iter().flatten(), members).copied();
        if let Some(minimum) = committed {
            self.apply_stored(minimum);
        }
        self.initialized |= never_committed || committed.is_some();
        self.initialized
    }

    /// Decides on an attempt by the version that it was decided under. The sender's current version
    /// does not count, since an attempt of an earlier incarnation may arrive late.
    pub fn decide(&self, version: u64) -> FenceDecision {
        match self.stored {
            _ if !self.initialized => FenceDecision::Unknown,
            Some(minimum) if version < minimum.version => FenceDecision::Fenced(minimum),
            _ => FenceDecision::Accepted,
        }
    }

    /// Returns the minimum version that is enforced here.
    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.stored
    }
}
