//! What a subscriber is handed and hands back.

use corkspan_config::version::{Stamp, Texts};
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// One version whole, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    pub stamp: Stamp,
    pub texts: Texts,
}

/// What must be on disk before the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// None: the dispatcher's own file.
    pub good: Option<Version>,
    /// On trial, and how often the dispatcher was started under it.
    pub trial: Option<(Version, u32)>,
    pub given_up: Vec<Stamp>,
}

impl Kept {
    /// What is left where the newest version in it no longer fits the file: the one before, at last
    /// the file alone.
    pub fn before_newest(mut self) -> Kept {
        if self.trial.take().is_none() {
            self.good = None;
        }
        self
    }
}

/// A push as it comes from the stream, its content unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    pub nonce: u64,
    pub stamp: Stamp,
    /// Earlier versions in whose line it stands, as its service says.
    pub follows: Vec<Stamp>,
    /// What its changes are made to; none where it is whole.
    pub onto: Option<Stamp>,
    pub changes: Texts,
    pub removed: Vec<String>,
    /// Its author means it to cut limits deep.
    pub cuts: bool,
}

/// An answer to a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// It is in force.
    Applied,
    /// It is in force already.
    Running,
    /// It is not, for these reasons.
    Refused(Vec<String>),
    /// It was passed over unread for the push of this nonce.
    Superseded(u64),
    /// Its changes are made to another version than runs here: all of it is wanted.
    WantsWhole,
}

/// What to do with a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// To be answered so, unread.
    Answer(Said),
    /// To be checked: what it comes to, whole.
    Check(Texts),
}

/// When the next push is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Idle,
    Wait(Ticks),
    Now,
}
