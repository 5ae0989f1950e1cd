//! What streamed versions of a deployment decide, without I/O and without a clock. docs/control.md
//! says why it is so.
//!
//! [`Subscriber`] decides for a dispatcher: which push is worth checking, what is turned down
//! unread and why, when a version is on trial and when it is given up. [`change`] weighs one
//! deployment against the next: what needs a restart, what cuts too deep, which ids stay.
//! [`Publisher`] keeps the other end's books. [`ReconnectBackoff`] spreads the returns of a stream that broke.

pub mod compatibility;
pub mod differences;
mod lineage;
mod publisher;
mod reconnect_backoff;
pub mod stable_ids;
mod subscriber;
mod trial;
mod version_cache;

pub use publisher::{Publisher, ReplyStatus};
pub use reconnect_backoff::ReconnectBackoff;
pub use subscriber::{
    NextPush, PersistedVersions, PushAdmission, PushReply, Subscriber, Version, VersionPush,
};
pub use trial::{RequestCounts, TrialVerdict};
pub use version_cache::{StoreOutcome, VersionCache};
