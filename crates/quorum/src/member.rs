//! The state of one quorum member: the proposals that it holds and the claims on their slots.

use crate::proposal::Proposal;
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::collections::BTreeMap;

/// Largest number of keys that a member holds, so that requests from the network can't make it grow
/// without bound.
const MAX_KEYS: usize = 10_000;

/// Random id of one claim of a slot. Each claim gets a new id, so that a late message about an
/// earlier claim can't be mistaken for a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId(pub u64);

/// The holder of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The claim that the slot was granted to.
    pub claim: ClaimId,
    /// The task that the slot is used for.
    pub task: String,
    /// Number of the dispatcher that claimed the slot.
    pub dispatcher: u32,
}

/// A member's answer to a claim.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This claim holds the slot here.
    Granted,
    /// Another claim holds the slot, or the limit of held slots is reached.
    Occupied,
    /// The member holds another revision for the key, or no proposal.
    StaleRevision,
}

/// A member's state for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry<P> {
    /// The latest proposal that the member accepted.
    #[serde(rename = "wish")]
    pub proposal: P,
    /// The holders of the slots at this member, by slot index.
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
    /// Accepts a proposal if its revision is above that of the one held. Returns the proposal that
    /// is held afterwards, which equals the given one if that was accepted now or before. Returns
    /// `None` if the limit of keys is reached. Claims under the earlier proposal keep their slots.
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

    /// Claims a slot under the proposal held for the key, if that has this revision. Slots granted
    /// under an earlier proposal count against a lowered limit: none is granted until enough of
    /// them are released.
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

    /// Releases the slot that this claim holds, if any. A late or repeated message can't release
    /// the slot of a later claim.
    pub fn release<K>(&mut self, key: &K, claim: ClaimId)
    where
        P::Key: Borrow<K>,
        K: Ord + ?Sized,
    {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.slots.retain(|_, grant| grant.claim != claim);
        }
    }

    /// Iterates over the entries in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry<P>> {
        self.entries.values()
    }
}
