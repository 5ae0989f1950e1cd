//! What every caller of the scheduler keeps and nothing else: its allocations, their attempts, the
//! deferred ones and the one timer. No I/O, no clock of its own, and no decision: those are asked
//! of [`corkspan_scheduler::Scheduler`], whose answers go straight to the caller's [`Effects`].

#![warn(missing_docs, clippy::too_many_lines)]

mod attempts;
mod effects;
mod engine;
mod poll;
mod queues;
mod requests;

pub use effects::Effects;
pub use engine::Engine;
pub use queues::RetryBatch;
pub use requests::{AdmissionError, AllocationCounts, AllocationRequest, ReturnedAttempt};

use corkspan_scheduler::interface::ServiceId;
use fnv::FnvHasher;
use std::hash::Hasher;

/// The id of a service. No instance sees all services, so it comes from the name and not from the
/// order of requests, and is the same everywhere.
pub fn service_id(name: &str) -> ServiceId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    ServiceId(hasher.finish())
}
