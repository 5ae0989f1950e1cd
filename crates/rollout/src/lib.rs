//! Decisions of rolling updates, without I/O and without a clock. docs/rollout.md says why it is
//! done this way.
//!
//! A [`Rollout`] replaces the replicas of a service by a new version, so that at no time more than
//! a stated number of them are unavailable over all dispatchers together, which share nothing. The
//! quorum members of [`corkspan_quorum`] hold each service's latest rollout and who holds its
//! slots. A replica may be stopped only by the dispatcher that holds a slot at a majority of them.
//! A [`controller::RolloutController`] decides for one dispatcher: which replica next, when to
//! wait, when to halt.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod controller;
mod rollout;

pub use corkspan_quorum::{ClaimId, ClaimOutcome, Grant, base_proposal, committed, is_majority};
pub use rollout::{Order, Phase, Rollout};

/// What a quorum member holds of rollouts.
pub type QuorumMember = corkspan_quorum::QuorumMember<Rollout>;
