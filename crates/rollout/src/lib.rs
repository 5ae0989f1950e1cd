//! Decisions of rolling updates, without I/O and without a clock. docs/rollout.md gives the reasons
//! for this design.
//!
//! A [`Rollout`] replaces the replicas of a service by a new version. It limits how many of them
//! are unavailable at a time over all dispatchers together, which share no state. The quorum
//! members of [`corkspan_quorum`] hold each service's latest rollout and the grants of its slots. A
//! replica may be stopped only by the dispatcher that holds a slot at a majority of the members. A
//! [`controller::RolloutController`] decides for one dispatcher which replica to replace next, when
//! to wait and when to halt.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod controller;
mod rollout;

pub use corkspan_quorum::{ClaimId, ClaimOutcome, Grant, base_proposal, committed, is_majority};
pub use rollout::{Order, Phase, Rollout};

/// The state of a quorum member for rollouts.
pub type QuorumMember = corkspan_quorum::QuorumMember<Rollout>;
