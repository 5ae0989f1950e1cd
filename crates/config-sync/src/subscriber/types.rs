//! The inputs and results of a subscriber's steps.

use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_scheduler::interface::Ticks;
use serde::{Deserialize, Serialize};

/// One complete version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    /// The number and digest.
    pub id: VersionId,
    /// The shared parts of the deployment that make up the version.
    pub texts: SharedParts,
}

/// A version on trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialVersion {
    /// The version itself.
    pub version: Version,
    /// Number of times that the dispatcher was started under this version.
    pub starts: u32,
}

/// The state that must be on disk before the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedVersions {
    /// The last version that passed its trial, or `None` for the dispatcher's own file.
    pub last_good: Option<Version>,
    /// The version on trial, if there is one.
    pub trial: Option<TrialVersion>,
    /// Versions that were rolled back here, oldest first.
    pub rolled_back: Vec<VersionId>,
}

impl PersistedVersions {
    /// Removes the newest version, which no longer fits the file. The version before it remains, or
    /// the file alone.
    #[must_use]
    pub fn without_newest(mut self) -> PersistedVersions {
        if self.trial.take().is_none() {
            self.last_good = None;
        }
        self
    }
}

/// A version as received from the stream, with content that is not yet validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionPush {
    /// Identifies the push in its reply.
    pub nonce: u64,
    /// The version that is pushed.
    pub version: VersionId,
    /// Earlier versions of the same lineage according to the service.
    pub predecessors: Vec<VersionId>,
    /// The version that the changes apply to, or `None` if the push is complete.
    pub base: Option<VersionId>,
    /// Parts that are new or changed.
    pub changes: SharedParts,
    /// Names of removed parts.
    pub removed: Vec<String>,
    /// Whether the author intends to cut limits below
    /// [half](crate::compatibility::violations) of their values.
    pub allows_cuts: bool,
}

/// The reply to a push. Its JSON keeps the names of earlier releases.
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
    /// The push was dropped without validation in favor of the push with this nonce.
    Superseded(u64),
    /// The changes apply to a version that is not the active one; a complete push is required.
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
    #[error("version {0} was rolled back here; publish a new version")]
    RolledBack(VersionId),
    /// The active version has the same number and different content.
    #[error("stale: the active version {active} has the same number and different content")]
    SameNumber {
        /// The active version.
        active: VersionId,
    },
    /// The active version has a higher number.
    #[error("stale: the active version {active} is newer")]
    Stale {
        /// The active version.
        active: VersionId,
    },
    /// The active version is not among the predecessors: two control services disagree.
    #[error("split: the version does not follow the active version {active}")]
    OtherLineage {
        /// The active version.
        active: VersionId,
    },
    /// The content does not have the digest that the push states.
    #[error("the content has the digest {actual:?}, not {stated:?}")]
    DigestMismatch {
        /// The digest of the content.
        actual: Digest,
        /// The digest that the push states.
        stated: Digest,
    },
}

/// A reply with the nonce of the push that it answers.
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
    /// Reply at once; the content need not be validated.
    Reply(PushReply),
    /// Validate this complete content.
    Validate(SharedParts),
}

/// When the next push can be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPush {
    /// No push is waiting.
    None,
    /// A push is waiting and may be taken after this time.
    After(Ticks),
    /// A push may be taken now.
    Now,
}

/// How a trial ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialOutcome {
    /// The state that must be on disk, and that is active from then on.
    pub persisted: PersistedVersions,
    /// Why the version is rolled back, or `None` if it passed.
    pub rollback_reason: Option<String>,
}

/// A version that is offered to others, and whether its author allows deep cuts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OfferedVersion {
    pub(crate) version: Version,
    pub(crate) allows_cuts: bool,
}
