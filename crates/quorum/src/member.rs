//! One quorum member: the proposals that it holds, and who holds their slots.

use crate::proposal::Wish;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Keys of one kind that a member holds at the most: what others may ask of it over a wire must not
/// grow without end.
const MOST: usize = 10_000;

/// One claim of a slot. It is drawn anew for each claim, so that a late message about an earlier
/// one can't be taken for a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(pub u64);

/// Who holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The claim that it was granted to.
    pub claim: ClaimId,
    /// The task that it is used for.
    pub task: String,
    /// Number of the dispatcher that claimed it.
    pub dispatcher: u32,
}

/// A member's answer to a claim.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// This claim holds the slot here.
    Granted,
    /// Another claim holds it, or as many slots are held as may be.
    Taken,
    /// The member holds another proposal for the key, or none.
    OtherWish,
}

/// What a member holds for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept<W> {
    /// The latest proposal that was taken here.
    pub wish: W,
    /// The slots that are held here, by index.
    pub slots: BTreeMap<u32, Grant>,
}

impl<W> Kept<W> {
    fn new(wish: W) -> Self {
        Kept {
            wish,
            slots: BTreeMap::new(),
        }
    }
}

/// The state of one quorum member.
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
    /// Takes a proposal if its revision is above that of the one held. Returns what is held
    /// afterwards: the proposal itself where it was taken, now or before; none where no more keys
    /// can be held. Claims under the earlier proposal go on holding their slots.
    pub fn propose(&mut self, wish: W) -> Option<&W> {
        let matter = wish.matter();
        if !self.matters.contains_key(&matter) && self.matters.len() >= MOST {
            return None;
        }
        let kept = self
            .matters
            .entry(matter)
            .or_insert_with(|| Kept::new(wish.clone()));
        if kept.wish.number() < wish.number() {
            kept.wish = wish;
        }
        Some(&kept.wish)
    }

    /// Claims a slot under the proposal held for the key, if that has this number. A limit below
    /// the one before holds for slots granted under that too: none is granted until enough have
    /// been released.
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
        if let Some(holder) = kept.slots.get(&slot) {
            return if holder.claim == grant.claim {
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

    /// Frees what this claim holds, and nothing else: a late or repeated message frees no later
    /// claim's slot.
    pub fn release<M>(&mut self, matter: &M, claim: ClaimId)
    where
        W::Matter: Borrow<M>,
        M: Ord + ?Sized,
    {
        if let Some(kept) = self.matters.get_mut(matter) {
            kept.slots.retain(|_, grant| grant.claim != claim);
        }
    }

    /// What is held, in the order of the keys.
    pub fn all(&self) -> impl Iterator<Item = &Kept<W>> {
        self.matters.values()
    }
}
