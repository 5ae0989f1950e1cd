//! The gate of a dispatcher: whether it may act, as far as it knows.

use crate::MinimumVersion;
use corkspan_quorum::committed;

/// What a dispatcher knows of the minimum version. It spares operations that the nodes would
/// reject; correctness rests on their fences alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    minimum: Option<MinimumVersion>,
}

impl VersionGate {
    /// Applies the replies of quorum members, each with the minimum version that it holds if it
    /// holds one. Only what a majority agrees on counts. Returns whether it was newer.
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        committed(replies.iter().flatten(), members)
            .copied()
            .is_some_and(|minimum| self.apply(minimum))
    }

    /// Applies the minimum version that a node rejected an attempt by: it comes from a dispatcher
    /// that had learnt it from a majority. Returns whether it was newer.
    pub fn apply_node_report(&mut self, minimum: MinimumVersion) -> bool {
        self.apply(minimum)
    }

    fn apply(&mut self, minimum: MinimumVersion) -> bool {
        let newer = minimum.is_newer_than(self.minimum);
        if newer {
            self.minimum = Some(minimum);
        }
        newer
    }

    /// The minimum version, which each attempt carries to its node.
    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.minimum
    }

    /// The minimum version that fences a dispatcher which runs this version; none where it may act.
    /// To be cut off from the quorum or the control service fences nobody.
    pub fn fenced_by(&self, running: u64) -> Option<MinimumVersion> {
        self.minimum.filter(|minimum| running < minimum.version)
    }
}
