//! The version gate of a dispatcher, which decides whether it may act as far as it knows.

use crate::MinimumVersion;
use corkspan_quorum::committed;

/// A dispatcher's knowledge of the minimum version. It avoids operations that the nodes would
/// reject; correctness depends only on the nodes' fences.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    minimum: Option<MinimumVersion>,
}

impl VersionGate {
    /// Applies the replies of quorum members, each with the minimum version that the member holds,
    /// if any. Only a minimum held by a majority counts. Returns whether it was newer.
    pub fn apply_quorum_replies(
        &mut self,
        replies: &[Option<MinimumVersion>],
        members: usize,
    ) -> bool {
        committed(replies.iter().flatten(), members)
            .copied()
            .is_some_and(|minimum| self.apply(minimum))
    }

    /// Applies the minimum version by which a node rejected an attempt. The node has it from a
    /// dispatcher that received it from a majority. Returns whether it was newer.
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

    /// Returns the minimum version, which each attempt carries to its node.
    pub fn minimum(&self) -> Option<MinimumVersion> {
        self.minimum
    }

    /// Returns the minimum version that fences a dispatcher which runs this version, or `None` if
    /// it may act. A dispatcher is not fenced for being cut off from the quorum or the control
    /// service.
    pub fn fenced_by(&self, running: u64) -> Option<MinimumVersion> {
        self.minimum.filter(|minimum| running < minimum.version)
    }
}
