//! A dispatcher's end of the stream: which version it runs, and what it does about the next.

mod pushes;
mod state;
mod trials;
mod types;

pub use state::Subscriber;
pub use types::{NextPush, PersistedVersions, PushAdmission, PushReply, Version, VersionPush};
