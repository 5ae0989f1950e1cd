//! What streamed versions of a deployment decide, without I/O and without a clock. docs/control.md
//! says why it is so.
//!
//! [`Subscriber`] decides for a dispatcher: which push is worth checking, what is turned down
//! unread and why, when a version is on trial and when it is given up. [`change`] weighs one
//! deployment against the next: what needs a restart, what cuts too deep, which ids stay.
//! [`Publisher`] keeps the other end's books. [`Retry`] spreads the returns of a stream that broke.

mod compatibility;
mod differences;
mod lineage;
mod publisher;
mod retry;
mod stable_ids;
mod subscriber;
mod trial;
mod version_cache;

/// One deployment against the next.
pub mod change {
    pub use crate::compatibility::obstacles;
    pub use crate::differences::told;
    pub use crate::stable_ids::with_ids;
}

pub use publisher::{Heard, Publisher};
pub use retry::Retry;
pub use subscriber::{Admitted, Kept, Pace, Push, Said, Subscriber, Version};
pub use trial::{Counts, Verdict};
pub use version_cache::{Laid, Shelf};
