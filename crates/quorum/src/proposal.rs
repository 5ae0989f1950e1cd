//! Proposals, and which of those that members report is committed.

use crate::is_majority;

/// What somebody wants to be in force. Two proposals of one key and revision that are not equal
/// compete, and at most one of them is committed.
pub trait Proposal: Clone + PartialEq {
    /// What it is about: one proposal is in force for each key.
    type Key: Clone + Ord;

    /// The key that it is about.
    fn key(&self) -> Self::Key;

    /// Counts the proposals of a key. Of those that a majority holds the highest is in force.
    fn revision(&self) -> u64;

    /// The same proposal with another revision.
    #[must_use]
    fn with_revision(&self, revision: u64) -> Self;

    /// How many slots may be held under it at a time.
    fn max_slots(&self) -> u32;
}

/// The committed proposal among those that members report for one key: the highest that a majority
/// of all `members` holds. None where the reports show no majority; whatever was committed before
/// then stays so.
pub fn committed<'a, P: Proposal>(
    reported: impl IntoIterator<Item = &'a P>,
    members: usize,
) -> Option<&'a P> {
    let reported: Vec<&P> = reported.into_iter().collect();
    let agreed = reported.iter().filter(|proposal| {
        is_majority(
            reported.iter().filter(|other| other == proposal).count(),
            members,
        )
    });
    agreed.max_by_key(|proposal| proposal.revision()).copied()
}

/// What the next proposal builds on, by what a majority of members reports for one key: the
/// committed one, with the highest revision reported. A proposal that no majority took counts for
/// its revision, or the next one could not be above it everywhere.
pub fn base_proposal<P: Proposal>(reported: &[P], members: usize) -> Option<P> {
    let highest = reported.iter().max_by_key(|proposal| proposal.revision())?;
    let base = committed(reported, members).unwrap_or(highest);
    Some(base.with_revision(highest.revision()))
}
