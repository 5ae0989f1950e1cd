//! A dispatcher's end of the stream: which version it runs and how it handles the next one.
//!
//! The state is in [`Subscriber`]. The steps of a push (received, taken, admitted) and the steps of
//! a trial (prepared, started, evaluated, finished) each have a module.

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
