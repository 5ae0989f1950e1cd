//! One quorum member: the proposals that it holds, and who holds their slots.

use crate::proposal::Proposal;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Keys of one kind that a member holds at the most: what others may ask of it over a wire must not
/// grow without end.
const MAX_KEYS: usize = 10_000;

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
pub enum ClaimOutcome {
    /// This claim holds the slot here.
    Granted,
    /// Another claim holds it, or as many slots are held as may be.
    Occupied,
    /// The member holds another proposal for the key, or none.
    StaleRevision,
}

/// What a member holds for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<P> {
    /// The latest proposal that was taken here.
    #[serde(rename = "wish")]
    pub proposal: P,
    /// The slots that are held here, by index.
    pub slots: BTreeMap<u32, Grant>,
}

impl<P> Entry<P> {
    fn new(proposal: P) -> Self {
        Entry {
            proposal,
            slots: BTreeMap::new(),
        }
    }
}

/// The state of one quorum member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "P: Serialize, P::Key: Serialize",
    deserialize = "P: Deserialize<'de>, P::Key: Deserialize<'de>"
))]
pub struct QuorumMember<P: Proposal> {
    #[serde(rename = "matters")]
    entries: BTreeMap<P::Key, Entry<P>>,
}

impl<P: Proposal> Default for QuorumMember<P> {
    fn default() -> Self {
        QuorumMember {
            entries: BTreeMap::new(),
        }
    }
}

impl<P: Proposal> QuorumMember<P> {
    /// Takes a proposal if its revision is above that of the one held. Returns what is held
    /// afterwards: the proposal itself where it was taken, now or before; none where no more keys
    /// can be held. Claims under the earlier proposal go on holding their slots.
    pub fn propose(&mut self, proposal: P) -> Option<&P> {
        let key = proposal.key();
        if !self.entries.contains_key(&key) && self.entries.len() >= MAX_KEYS {
            return None;
        }
        let entry = self
            .entries
            .entry(key)
            .or_insert_with(|| Entry::new(proposal.clone()));
        if entry.proposal.revision() < proposal.revision() {
            entry.proposal = proposal;
        }
        Some(&entry.proposal)
    }

    /// Claims a slot under the proposal held for the key, if that has this revision. A limit below
    /// the one before holds for slots granted under that too: none is granted until enough have
    /// been released.
    pub fn claim<K>(&mut self, key: &K, revision: u64, slot: u32, grant: Grant) -> ClaimOutcome
    where
        P::Key: Borrow<K>,
        K: Ord + ?Sized,
    {
        let Some(entry) = self
            .entries
            .get_mut(key)
            .filter(|entry| entry.proposal.revision() == revision)
        else {
            return ClaimOutcome::StaleRevision;
        };
        if let Some(holder) = entry.slots.get(&slot) {
            return if holder.claim == grant.claim {
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Occupied
            };
        }
        if slot >= entry.proposal.max_slots()
            || entry.slots.len() >= entry.proposal.max_slots() as usize
        {
            return ClaimOutcome::Occupied;
        }
        entry.slots.insert(slot, grant);
        ClaimOutcome::Granted
    }

    /// Frees what this claim holds, and nothing else: a late or repeated message frees no later
    /// claim's slot.
    pub fn release<K>(&mut self, key: &K, claim: ClaimId)
    where
        P::Key: Borrow<K>,
        K: Ord + ?Sized,
    {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slots.retain(|_, grant| grant.claim != claim);
        }
    }

    /// What is held, in the order of the keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry<P>> {
        self.entries.values()
    }
}
