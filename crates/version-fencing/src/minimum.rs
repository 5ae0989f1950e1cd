//! The minimum version as a proposal to the quorum, and the conditions for raising it.

use corkspan_quorum::{Proposal, base_proposal, committed, is_majority};
use serde::{Deserialize, Serialize};

/// Denominator of the fractions of a fleet, which are given in thousandths.
pub(crate) const PERMILLE: usize = 1_000;

/// The lowest version of the deployment that may act. It can also be lowered by a proposal, since
/// the highest revision counts and not the highest version.
///
/// Stored as JSON by quorum members and nodes under the keys `number`, `asker` and `lowest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MinimumVersion {
    /// Number by which the proposals are ordered.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Random number of the proposer, which distinguishes two proposals of the same revision.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// The version. 0 is the dispatcher's own file; an operation that carries no version counts as
    /// 0.
    #[serde(rename = "lowest")]
    pub version: u64,
}

impl MinimumVersion {
    /// Returns whether it replaces the known minimum version, if any.
    pub(crate) fn is_newer_than(&self, known: Option<MinimumVersion>) -> bool {
        known.is_none_or(|known| known.revision < self.revision)
    }
}

impl Proposal for MinimumVersion {
    /// A fleet has one minimum version.
    type Key = ();

    fn key(&self) {}

    fn revision(&self) -> u64 {
        self.revision
    }

    fn with_revision(&self, revision: u64) -> Self {
        MinimumVersion { revision, ..*self }
    }

    /// Returns 0: nothing is claimed under a minimum version.
    fn max_slots(&self) -> u32 {
        0
    }
}

/// The version that a dispatcher reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedVersion {
    /// The version that is active there.
    pub version: u64,
    /// Whether it is on trial, and may still be rolled back.
    pub on_trial: bool,
}

/// The reason why no other minimum version is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RaiseError {
    /// Too few members of the quorum reply.
    #[error("{replies} of {members} quorum members reply; a majority is required")]
    NoMajority {
        /// Number of members that reply.
        replies: usize,
        /// Number of members in the quorum.
        members: usize,
    },
    /// Too few dispatchers run the version, or a later one, past its trial.
    #[error(
        "{adopted} of {fleet} dispatchers have adopted version {minimum} or a later one; {required} are required"
    )]
    NotAdopted {
        /// Number of dispatchers that run it.
        adopted: usize,
        /// Number of dispatchers polled, including those that did not reply.
        fleet: usize,
        /// Number of dispatchers that must run it.
        required: usize,
        /// The requested minimum version.
        minimum: u64,
    },
    /// The minimum version has this value already.
    #[error("the minimum version is {0} already")]
    Unchanged(u64),
}

/// Returns the number of dispatchers that make up `permille` thousandths of a fleet, rounded up.
pub(crate) fn fleet_share(fleet: usize, permille: u32) -> usize {
    let permille = (permille as usize).min(PERMILLE);
    (fleet * permille).div_ceil(PERMILLE)
}

/// Checks that enough dispatchers of a fleet run a version past its trial for it to become the
/// minimum.
///
/// `reports` has an entry for each dispatcher polled, which is `None` if it did not reply;
/// `current` is the minimum version that they know of. A minimum that is not above `current` fences
/// no further dispatcher and is always allowed.
///
/// # Errors
///
/// Returns [`RaiseError::NotAdopted`] if fewer than `permille` thousandths of the fleet run it.
pub fn check_adoption(
    reports: &[Option<ReportedVersion>],
    current: Option<u64>,
    minimum: u64,
    permille: u32,
) -> Result<(), RaiseError> {
    if current.is_some_and(|current| current >= minimum) {
        return Ok(());
    }
    let has_adopted = |report: &&ReportedVersion| report.version >= minimum && !report.on_trial;
    let adopted = reports.iter().flatten().filter(has_adopted).count();
    let required = fleet_share(reports.len(), permille);
    if adopted >= required {
        return Ok(());
    }
    Err(RaiseError::NotAdopted {
        adopted,
        fleet: reports.len(),
        required,
        minimum,
    })
}

/// Returns the proposal of another minimum version, based on the members' replies.
///
/// # Errors
///
/// Returns [`RaiseError::NoMajority`] if too few members reply, and [`RaiseError::Unchanged`] if a
/// majority holds this minimum already.
pub fn propose(
    replies: &[Option<MinimumVersion>],
    members: usize,
    minimum: u64,
    proposer: u64,
) -> Result<MinimumVersion, RaiseError> {
    if !is_majority(replies.len(), members) {
        return Err(RaiseError::NoMajority {
            replies: replies.len(),
            members,
        });
    }
    let known: Vec<MinimumVersion> = replies.iter().flatten().copied().collect();
    if committed(&known, members).is_some_and(|current| current.version == minimum) {
        return Err(RaiseError::Unchanged(minimum));
    }
    // If a member reports the largest possible revision, none is above it: the proposal is then
    // not accepted, but the revision does not overflow.
    let revision = base_proposal(&known, members)
        .map_or(0, |latest| latest.revision)
        .saturating_add(1);
    Ok(MinimumVersion {
        revision,
        proposer,
        version: minimum,
    })
}
