//! What a subscriber is handed and hands back.

use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// One complete version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// Its number and digest.
    pub id: VersionId,
    /// The shared parts of the deployment that it consists of.
    pub texts: SharedParts,
}

/// A version on trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialVersion {
    /// The version itself.
    pub version: Version,
    /// How often the dispatcher was started under it.
    pub starts: u32,
}

/// What must be on disk before the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedVersions {
    /// The last version that passed its trial; none: the dispatcher's own file.
    pub last_good: Option<Version>,
    /// The version on trial, if there is one.
    pub trial: Option<TrialVersion>,
    /// Versions that were rolled back here, the oldest first.
    pub rolled_back: Vec<VersionId>,
}

impl PersistedVersions {
    /// What is left where the newest version no longer fits the file: the version before it, and
    /// at last the file alone.
    #[must_use]
    pub fn without_newest(mut self) -> PersistedVersions {
        if self.trial.take().is_none() {
            self.last_good = None;
        }
        self
    }
}

/// A version as it comes from the stream, its content not yet validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPush {
    /// Identifies the push in its reply.
    pub nonce: u64,
    /// The version that is pushed.
    pub version: VersionId,
    /// Earlier versions of the same lineage, as the service says.
    pub predecessors: Vec<VersionId>,
    /// The version that the changes are made to; none where the push is complete.
    pub base: Option<VersionId>,
    /// Parts that are new or changed.
    pub changes: SharedParts,
    /// Names of parts that are gone.
    pub removed: Vec<String>,
    /// The author intends to cut limits below [half](crate::compatibility::violations).
    pub allows_cuts: bool,
}

/// The answer to a push. Its JSON keeps the names of earlier releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PushReply {
    /// The version is active now.
    Applied,
    /// The version was active already.
    #[serde(rename = "Running")]
    Unchanged,
    /// The version is not active, for these reasons.
    #[serde(rename = "Refused")]
    Rejected(Vec<String>),
    /// The push was dropped unread for the push of this nonce.
    Superseded(u64),
    /// The changes are made to another version than is active: a complete push is required.
    #[serde(rename = "WantsWhole")]
    FullRequired,
}

impl From<RejectionReason> for PushReply {
    fn from(reason: RejectionReason) -> Self {
        PushReply::Rejected(vec![reason.to_string()])
    }
}

/// Why a push is rejected before its content is validated. The texts are sent to the service and
/// shown to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionReason {
    /// The version was rolled back here.
    #[error("version {0} was given up here; a next one is needed")]
    RolledBack(VersionId),
    /// The active version has the same number and another content.
    #[error("stale: {active} runs here, of the same number and another content")]
    SameNumber {
        /// The active version.
        active: VersionId,
    },
    /// The active version has a higher number.
    #[error("stale: {active} runs here")]
    Stale {
        /// The active version.
        active: VersionId,
    },
    /// The active version is none of the predecessors: two control services disagree.
    #[error("split: it does not follow {active}, which runs here")]
    OtherLineage {
        /// The active version.
        active: VersionId,
    },
    /// The content does not have the digest that the push states.
    #[error("what it says has the digest {actual:?}, not {stated:?}")]
    DigestMismatch {
        /// Of the content.
        actual: Digest,
        /// Of the push.
        stated: Digest,
    },
}

/// A reply and the push that it answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedReply {
    /// The nonce of that push.
    pub nonce: u64,
    /// The reply.
    pub reply: PushReply,
}

/// What to do with a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushAdmission {
    /// Reply at once; the content need not be read.
    Reply(PushReply),
    /// Validate this complete content.
    Validate(SharedParts),
}

/// When the next push is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPush {
    /// No push waits.
    None,
    /// One waits, and may be taken after so long.
    After(Ticks),
    /// One may be taken now.
    Now,
}

/// How a trial ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialOutcome {
    /// What must be on disk, and active once it is.
    pub persisted: PersistedVersions,
    /// Why the version is rolled back; none where it passed.
    pub rollback_reason: Option<String>,
}

/// A version that is offered to others, and its author's intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OfferedVersion {
    pub(crate) version: Version,
    pub(crate) allows_cuts: bool,
}
