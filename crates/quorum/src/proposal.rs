//! Proposals, and the rule for which of the reported proposals is committed.

use crate::is_majority;

/// A value for the quorum to agree on. Two different proposals with the same key and revision
/// compete, and at most one of them is committed.
pub trait Proposal: Clone + PartialEq {
    /// Identifies the subject of a proposal: at most one proposal is in effect for each key.
    type Key: Clone + Ord;

    /// Returns the proposal's key.
    fn key(&self) -> Self::Key;

    /// Returns the proposal's number among those of its key. The highest number that a majority
    /// holds is in effect.
    fn revision(&self) -> u64;

    /// Returns the same proposal with another revision.
    #[must_use]
    fn with_revision(&self, revision: u64) -> Self;

    /// Returns the maximum number of slots that may be held under it at a time.
    fn max_slots(&self) -> u32;
}

/// Returns the committed proposal among those that members report for one key: the highest that a
/// majority of all `members` holds. Returns `None` if the reports show no majority; a proposal that
/// was committed before then stays committed.
pub fn committed<'a, P: Proposal>(
    reported: impl IntoIterator<Item = &'a P>,
    members: usize,
) -> Option<&'a P> {
    let reported: Vec<&P> = reported.into_iter().collect();
    let committed = reported.iter().filter(|proposal| {
        is_majority(
            reported.iter().filter(|other| other == proposal).count(),
            members,
        )
    });
    committed
        .max_by_key(|proposal| proposal.revision())
        .copied()
}

/// Returns the base of the next proposal, from the proposals that a majority of members reports for
/// one key: the committed one, with the highest revision reported. The revision of an uncommitted
/// proposal counts too, since the next one must be above it at every member.
pub fn base_proposal<P: Proposal>(reported: &[P], members: usize) -> Option<P> {
    let highest = reported.iter().max_by_key(|proposal| proposal.revision())?;
    let base = committed(reported, members).unwrap_or(highest);
    Some(base.with_revision(highest.revision()))
}
