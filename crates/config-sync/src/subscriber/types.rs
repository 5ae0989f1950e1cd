//! What a subscriber is handed and hands back.

use corkspan_config::version::{Texts, VersionId};
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// One version whole, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    pub id: VersionId,
    pub texts: Texts,
}

/// What must be on disk before the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedVersions {
    /// None: the dispatcher's own file.
    pub last_good: Option<Version>,
    /// On trial, and how often the dispatcher was started under it.
    pub trial: Option<(Version, u32)>,
    pub rolled_back: Vec<VersionId>,
}

impl PersistedVersions {
    /// What is left where the newest version in it no longer fits the file: the one before, at last
    /// the file alone.
    pub fn without_newest(mut self) -> PersistedVersions {
        if self.trial.take().is_none() {
            self.last_good = None;
        }
        self
    }
}

/// A push as it comes from the stream, its content unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPush {
    pub nonce: u64,
    pub version: VersionId,
    /// Earlier versions in whose line it stands, as its service says.
    pub predecessors: Vec<VersionId>,
    /// What its changes are made to; none where it is whole.
    pub base: Option<VersionId>,
    pub changes: Texts,
    pub removed: Vec<String>,
    /// Its author means it to cut limits deep.
    pub allows_cuts: bool,
}

/// An answer to a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PushReply {
    /// It is in force.
    Applied,
    /// It is in force already.
    #[serde(rename = "Running")]
    Unchanged,
    /// It is not, for these reasons.
    #[serde(rename = "Refused")]
    Rejected(Vec<String>),
    /// It was passed over unread for the push of this nonce.
    Superseded(u64),
    /// Its changes are made to another version than runs here: all of it is wanted.
    #[serde(rename = "WantsWhole")]
    FullRequired,
}

/// What to do with a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushAdmission {
    /// To be answered so, unread.
    Reply(PushReply),
    /// To be checked: what it comes to, whole.
    Validate(Texts),
}

/// When the next push is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPush {
    None,
    After(Ticks),
    Now,
}
