//! What one dispatcher decides of a rollout.

mod claims;
mod failures;
mod restarts;
mod support;
mod surges;
