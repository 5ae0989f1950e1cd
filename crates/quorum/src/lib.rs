//! Agreement by a majority of a few nodes, without I/O and without a clock. docs/rollout.md gives
//! the reasons for this design.
//!
//! Dispatchers share no state and have no leader. They agree on a [`Proposal`] with a revision: it
//! is committed once it is held by a majority of the quorum members, which are a few nodes that the
//! deployment names. Under a committed proposal a limited number of slots may be claimed. A claim
//! holds a slot once a majority has granted it, even if other nodes fail or receive no messages.
//!
//! A [`QuorumMember`] is the state of one of these nodes. It must survive the node's restart; a
//! node that has lost it must rejoin as another member. Users of this package define what is
//! proposed: rolling updates, the minimum version, or maintenance.

#![warn(missing_docs, clippy::too_many_lines)]

mod member;
mod proposal;

pub use member::{ClaimId, ClaimOutcome, Entry, Grant, QuorumMember};
pub use proposal::{Proposal, base_proposal, committed};

/// Returns whether `count` is more than half of all members.
#[must_use]
pub fn is_majority(count: usize, members: usize) -> bool {
    2 * count > members
}

/// Returns whether a dispatcher is among the few that act on an event that all `dispatchers`
/// observe in the same round. A few are enough, and more would only compete at the quorum. `draw`
/// is drawn uniformly from 0 to 1, anew at each dispatcher.
#[must_use]
pub fn sampled(dispatchers: usize, draw: f64) -> bool {
    /// Average number of dispatchers that act.
    const EXPECTED_ACTORS: f64 = 3.0;
    draw < EXPECTED_ACTORS / dispatchers.max(1) as f64
}
