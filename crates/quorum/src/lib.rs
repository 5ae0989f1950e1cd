//! What holds truth at a majority of a few nodes, without I/O and without a clock. docs/roll.md
//! says why it is so.
//!
//! Dispatchers share nothing, and none of them leads. What they must agree on is a wish: numbered,
//! and in force once a majority of the keepers, a few nodes that the deployment names, holds it.
//! Under a wish a limited number of slots may be claimed; who holds one at a majority holds it,
//! whoever else dies or hears nothing.
//!
//! A [`Keeper`] is one of these nodes. It must answer from what survives its own restart; one that
//! has lost it must come back as another. What a wish is about is its user's: rolls, or the floor
//! of versions.

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// One claim of a slot; drawn anew for each, so that word of an earlier one can't be taken for a
/// later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(pub u64);

/// What somebody wants to be in force. Two wishes with one number that are not equal are rivals.
pub trait Wish: Clone + PartialEq {
    /// What it is about: of each matter one wish is in force.
    type Matter: Clone + Ord;

    fn matter(&self) -> Self::Matter;

    /// Counts the wishes of a matter; the highest that a majority of keepers holds is in force.
    fn number(&self) -> u64;

    /// The same under another number.
    fn numbered(&self, number: u64) -> Self;

    /// How many slots may be held under it at a time.
    fn slots(&self) -> u32;
}

/// Who holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub claim: ClaimId,
    pub task: String,
    pub dispatcher: u32,
}

/// What a keeper says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    Granted,
    /// Another holds it, or as many are held as may be.
    Taken,
    /// Another wish of the matter stands here.
    OtherWish,
}

/// What a keeper holds of one matter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept<W> {
    pub wish: W,
    pub slots: BTreeMap<u32, Grant>,
}

/// Matters of one kind that one keeper keeps at the most: what is asked of it over a wire must not
/// grow without end.
const MOST: usize = 10_000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "W: Serialize, W::Matter: Serialize",
    deserialize = "W: Deserialize<'de>, W::Matter: Deserialize<'de>"
))]
pub struct Keeper<W: Wish> {
    matters: BTreeMap<W::Matter, Kept<W>>,
}

impl<W: Wish> Default for Keeper<W> {
    fn default() -> Self {
        Keeper {
            matters: BTreeMap::new(),
        }
    }
}

impl<W: Wish> Keeper<W> {
    /// Takes a wish if it is later than the one it has. What stands here afterwards: the wish
    /// itself where it was taken, now or before; none where no more matters can be kept. Claims
    /// under the earlier one go on holding their slots.
    pub fn propose(&mut self, wish: W) -> Option<&W> {
        let matter = wish.matter();
        if !self.matters.contains_key(&matter) {
            if self.matters.len() >= MOST {
                return None;
            }
            let kept = Kept {
                wish: wish.clone(),
                slots: BTreeMap::new(),
            };
            self.matters.insert(matter.clone(), kept);
        }
        let kept = self.matters.get_mut(&matter)?;
        if kept.wish.number() < wish.number() {
            kept.wish = wish;
        }
        Some(&kept.wish)
    }

    /// Grants a slot of the wish that stands here. A smaller limit than the one before holds for
    /// those held under that too: none is granted until so many have come back.
    pub fn claim<M>(&mut self, matter: &M, number: u64, slot: u32, grant: Grant) -> Claimed
    where
        W::Matter: Borrow<M>,
        M: Ord + ?Sized,
    {
        let Some(kept) = self
            .matters
            .get_mut(matter)
            .filter(|kept| kept.wish.number() == number)
        else {
            return Claimed::OtherWish;
        };
        if let Some(held) = kept.slots.get(&slot) {
            return if held.claim == grant.claim {
                Claimed::Granted
            } else {
                Claimed::Taken
            };
        }
        if slot >= kept.wish.slots() || kept.slots.len() >= kept.wish.slots() as usize {
            return Claimed::Taken;
        }
        kept.slots.insert(slot, grant);
        Claimed::Granted
    }

    /// Frees what this claim holds, and nothing else: word that comes late or twice frees no later
    /// claim's.
    pub fn release<M>(&mut self, matter: &M, claim: ClaimId)
    where
        W::Matter: Borrow<M>,
        M: Ord + ?Sized,
    {
        if let Some(kept) = self.matters.get_mut(matter) {
            kept.slots.retain(|_, grant| grant.claim != claim);
        }
    }

    pub fn all(&self) -> impl Iterator<Item = &Kept<W>> {
        self.matters.values()
    }
}

/// Whether so many of all are more than half.
pub fn majority(some: usize, all: usize) -> bool {
    2 * some > all
}

/// The wish in force among what keepers tell of one matter, with how many keepers there are: the
/// highest that a majority holds. None where no majority is seen to agree; what was in force before
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

/// What the next wish follows, of what a majority of keepers tells: the one in force, by the
/// highest number told. A wish that no majority took counts for its number, or the next one could
/// never be above it everywhere.
pub fn to_follow<W: Wish>(told: &[W], keepers: usize) -> Option<W> {
    let highest = told.iter().max_by_key(|wish| wish.number())?;
    let base = in_force(told, keepers).unwrap_or(highest);
    Some(base.numbered(highest.number()))
}

/// Whether one of a fleet acts on what all of it sees in the same round: a few are enough, and more
/// would only get in each other's way at the keepers. `chance` is drawn from 0 to 1.
pub fn of_a_few(fleet: usize, chance: f64) -> bool {
    const FEW: f64 = 3.0;
    chance < FEW / fleet.max(1) as f64
}
