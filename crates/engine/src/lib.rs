//! The state that every caller of the scheduler needs: allocations, their attempts, deferred
//! allocations and one timer. It has no I/O and no clock, and decides nothing itself: it calls
//! [`corkspan_scheduler::Scheduler`] and passes each decision to the caller's [`Effects`].

#![warn(missing_docs, clippy::too_many_lines)]

mod attempts;
mod effects;
mod engine;
mod fair_queue;
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

/// Returns the id of a service, a hash of its name. No instance sees all services, so ids given in
/// the order of requests would differ between instances.
pub fn service_id(name: &str) -> ServiceId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    ServiceId(hasher.finish())
}
