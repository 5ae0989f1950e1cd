//! A dispatcher's end of the stream: which version it runs, and what it does about the next.
//!
//! The state is in [`Subscriber`]; the steps with a push (received, chosen, admitted) and the steps
//! of a trial (prepared, started, evaluated, finished) have a module each.

mod pushes;
mod state;
mod trials;
mod types;

pub use state::Subscriber;
pub(crate) use types::OfferedVersion;
pub use types::{
    AddressedReply, NextPush, PersistedVersions, PushAdmission, PushReply, RejectionReason,
    TrialOutcome, TrialVersion, Version, VersionPush,
};
