//! Proposals, and which of those that members report is committed.

use crate::majority;

/// What somebody wants to be in force. Two proposals of one key and revision that are not equal
/// compete, and at most one of them is committed.
pub trait Wish: Clone + PartialEq {
    /// What it is about: one proposal is in force for each key.
    type Matter: Clone + Ord;

    /// The key that it is about.
    fn matter(&self) -> Self::Matter;

    /// Counts the proposals of a key. Of those that a majority holds the highest is in force.
    fn number(&self) -> u64;

    /// The same proposal with another revision.
    #[must_use]
    fn numbered(&self, number: u64) -> Self;

    /// How many slots may be held under it at a time.
    fn slots(&self) -> u32;
}

/// The committed proposal among those that members report for one key: the highest that a majority
/// of all `keepers` holds. None where the reports show no majority; whatever was committed before
/// then stays so.
pub fn in_force<'a, W: Wish>(
    told: impl IntoIterator<Item = &'a W>,
    keepers: usize,
) -> Option<&'a W> {
    let told: Vec<&W> = told.into_iter().collect();
    let agreed = told
        .iter()
        .filter(|wish| majority(told.iter().filter(|other| other == wish).count(), keepers));
    agreed.max_by_key(|wish| wish.number()).copied()
}

/// What the next proposal builds on, by what a majority of members reports for one key: the
/// committed one, with the highest revision reported. A proposal that no majority took counts for
/// its revision, or the next one could not be above it everywhere.
pub fn to_follow<W: Wish>(told: &[W], keepers: usize) -> Option<W> {
    let highest = told.iter().max_by_key(|wish| wish.number())?;
    let base = in_force(told, keepers).unwrap_or(highest);
    Some(base.numbered(highest.number()))
}
