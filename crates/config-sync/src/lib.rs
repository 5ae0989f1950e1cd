//! Distribution of configuration versions: the decisions of a dispatcher and of a control service,
//! without I/O and without a clock. `docs/config-sync.md` explains the design.
//!
//! * [`Subscriber`] decides for a dispatcher which push is validated, which is rejected without
//!   validation and why, when a version is on trial, and when it is rolled back.
//! * [`Publisher`] is the state of a control service: its versions and what each subscriber runs.
//! * [`VersionCache`] holds the newest version for dispatchers that no control service reaches.
//! * [`compatibility`], [`stable_ids`] and [`differences`] compare one deployment with the next.
//! * [`ReconnectBackoff`] spreads the reconnects after a stream broke.
//!
//! Times are [`Ticks`](corkspan_scheduler::interface::Ticks) of 0.1 ms.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod compatibility;
pub mod differences;
mod lineage;
mod publisher;
mod reconnect_backoff;
pub mod stable_ids;
mod subscriber;
mod trial;
mod version_cache;

pub use publisher::{Publisher, Rejection, ReplyStatus};
pub use reconnect_backoff::ReconnectBackoff;
pub use subscriber::{
    AddressedReply, NextPush, PersistedVersions, PushAdmission, PushReply, RejectionReason,
    Subscriber, TrialOutcome, TrialVersion, Version, VersionPush,
};
pub use trial::{RequestCounts, TrialVerdict};
pub use version_cache::{StoreOutcome, VersionCache};
