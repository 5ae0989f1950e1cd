//! Agreement at a majority of a few nodes, without I/O and without a clock. docs/rollout.md says
//! why it is done this way.
//!
//! Dispatchers share nothing, and none of them leads. What they must agree on is a [`Proposal`]
//! with a revision: it is committed once a majority of the quorum members, a few nodes that the
//! deployment names, holds it. Under a committed proposal a limited number of slots may be claimed.
//! A slot is held by whoever a majority has granted it to, whichever other nodes die or hear
//! nothing.
//!
//! A [`QuorumMember`] is the state of one of these nodes. It must survive the node's restart; a
//! node that has lost it must come back as another member. What a proposal is about is for its user
//! to say: rolling updates, the minimum version, or maintenance.

#![warn(missing_docs, clippy::too_many_lines)]

mod member;
mod proposal;

pub use member::{ClaimId, ClaimOutcome, Entry, Grant, QuorumMember};
pub use proposal::{Proposal, base_proposal, committed};

/// Whether this many of all members are more than half of them.
#[must_use]
pub fn is_majority(count: usize, members: usize) -> bool {
    2 * count > members
}

/// Whether one of this many dispatchers acts on what all of them see in the same round: a few are
/// enough, and more would only get in each other's way at the quorum. `draw` is drawn evenly from
/// 0 to 1.
#[must_use]
pub fn sampled(dispatchers: usize, draw: f64) -> bool {
    /// Dispatchers that act, on average.
    const EXPECTED_ACTORS: f64 = 3.0;
    draw < EXPECTED_ACTORS / dispatchers.max(1) as f64
}
