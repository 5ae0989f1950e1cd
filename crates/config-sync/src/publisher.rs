//! A control service's end of the stream: its versions, and what it knows of each subscriber.

use crate::subscriber::{PushReply, Version, VersionPush};
use corkspan_config::version::{Texts, VersionId};
use std::collections::{BTreeMap, VecDeque};

/// Versions that are remembered whole, to make changes from. A subscriber that runs an older one is
/// sent the whole.
const MAX_FULL_VERSIONS: usize = 1_000;
/// Versions whose stamps alone are remembered: by these a subscriber however far behind is told
/// that what it runs stands in the line, and one whose version does not is left to find the split.
/// 40 bytes each, so 40 MB at the most.
const MAX_LINEAGE_IDS: usize = 1_000_000;
const MAX_SUBSCRIBERS: usize = 100_000;

#[derive(Clone, Debug, Default)]
struct Subscriber {
    running: Option<VersionId>,
    /// Of the line, what the push sent last names: this one, and all from that number on.
    named_predecessors: Option<(VersionId, u64)>,
    /// Of the push sent last on its stream, and which it was.
    sent_nonce: u64,
    last_sent: Option<VersionId>,
    last_rejection: Option<(VersionId, Vec<String>)>,
    needs_full: bool,
}

/// What a reply was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    Accepted,
    /// It answers an older push than the last: what it says of it is passed over.
    StaleNonce,
    UnknownSubscriber,
}

#[derive(Clone, Debug, Default)]
pub struct Publisher {
    /// In their order; stamps alone for all but the newest, whose texts all changes are made from.
    versions: VecDeque<(Version, bool)>,
    /// Stamps of all, the newest among them.
    lineage: VecDeque<VersionId>,
    subscribers: BTreeMap<u32, Subscriber>,
    last_nonce: u64,
}

impl Publisher {
    /// The next version. Its number is one more than the highest there is, of this service or told
    /// by a subscriber: a service that lost its state must not count from 1 again.
    pub fn publish(&mut self, texts: Texts, cuts: bool) -> VersionId {
        let told = self
            .subscribers
            .values()
            .filter_map(|own| own.running)
            .map(|running| running.number);
        let number = told
            .chain(self.newest().map(|stamp| stamp.number))
            .max()
            .unwrap_or(0)
            + 1;
        let stamp = VersionId {
            number,
            digest: texts.digest(),
        };
        self.versions
            .push_back((Version { id: stamp, texts }, cuts));
        if self.versions.len() > MAX_FULL_VERSIONS {
            self.versions.pop_front();
        }
        self.lineage.push_back(stamp);
        if self.lineage.len() > MAX_LINEAGE_IDS {
            self.lineage.pop_front();
        }
        stamp
    }

    pub fn newest(&self) -> Option<VersionId> {
        self.versions.back().map(|(version, _)| version.id)
    }

    /// A subscriber opens a stream and tells what it runs. Nothing of an earlier stream counts any
    /// more.
    pub fn subscriber_connected(&mut self, who: u32, running: VersionId) {
        if self.subscribers.len() < MAX_SUBSCRIBERS || self.subscribers.contains_key(&who) {
            let fresh = Subscriber {
                running: Some(running),
                ..Subscriber::default()
            };
            self.subscribers.insert(who, fresh);
        }
    }

    /// A reply, with what runs there now.
    pub fn receive_reply(
        &mut self,
        who: u32,
        nonce: u64,
        said: &PushReply,
        running: VersionId,
    ) -> ReplyStatus {
        let Some(own) = self.subscribers.get_mut(&who) else {
            return ReplyStatus::UnknownSubscriber;
        };
        // That it runs is so, whichever push it answers.
        own.running = Some(running);
        if nonce != own.sent_nonce {
            return ReplyStatus::StaleNonce;
        }
        match (said, own.last_sent) {
            (PushReply::Rejected(why), Some(sent)) => {
                own.last_rejection = Some((sent, why.clone()));
                // It ran another by the time that it read that push than was known when it was
                // sent, and took the line for split: now that this is known, it is
                // told again, once for what it runs.
                let named = own
                    .named_predecessors
                    .is_some_and(|(told, from)| running == told || running.number >= from);
                if !named && in_lineage(&self.lineage, running) {
                    own.last_sent = None;
                }
            }
            (PushReply::FullRequired, _) => (own.needs_full, own.last_sent) = (true, None),
            _ => {}
        }
        ReplyStatus::Accepted
    }

    /// What to push to it now, if it hasn't got the newest and hasn't turned it down.
    pub fn push_for(&mut self, who: u32) -> Option<VersionPush> {
        let (newest, cuts) = self.versions.back()?;
        let own = self.subscribers.get_mut(&who)?;
        let running = own.running?;
        if own.last_sent == Some(newest.id) || running == newest.id {
            return None;
        }
        let at = self
            .versions
            .iter()
            .position(|(version, _)| version.id == running);
        let theirs = at.map(|at| &self.versions[at].0);
        // All from theirs on: those that are on their way may be in force there by the time that it
        // reads this. Of one that is further behind than that, all that is remembered.
        let first = match at {
            Some(at) => at,
            None if in_lineage(&self.lineage, running) => 0,
            None => self.versions.len().saturating_sub(2),
        };
        let before = self.versions.len() - 1;
        let recent = self
            .versions
            .range(first.min(before)..before)
            .map(|(version, _)| version.id);
        let far = Some(running).filter(|_| at.is_none() && in_lineage(&self.lineage, running));
        let predecessors: Vec<VersionId> = far.into_iter().chain(recent).collect();
        own.named_predecessors = Some((
            running,
            predecessors
                .iter()
                .map(|stamp| stamp.number)
                .nth(far.iter().len())
                .unwrap_or(u64::MAX),
        ));
        let base = theirs.filter(|_| !own.needs_full);
        let (changes, removed) = match base {
            Some(base) => base.texts.changes_to(&newest.texts),
            None => (newest.texts.clone(), Vec::new()),
        };
        self.last_nonce += 1;
        (own.sent_nonce, own.last_sent, own.needs_full) = (self.last_nonce, Some(newest.id), false);
        Some(VersionPush {
            nonce: self.last_nonce,
            version: newest.id,
            predecessors,
            base: base.map(|version| version.id),
            changes,
            removed,
            allows_cuts: *cuts,
        })
    }

    /// What a subscriber runs, as it told last.
    pub fn active_version(&self, who: u32) -> Option<VersionId> {
        self.subscribers.get(&who)?.running
    }

    /// What a subscriber turned down last on the stream that stands, and why.
    pub fn last_rejection(&self, who: u32) -> Option<&(VersionId, Vec<String>)> {
        self.subscribers.get(&who)?.last_rejection.as_ref()
    }
}

/// Whether a version stands in the line. Numbers grow along it.
fn in_lineage(line: &VecDeque<VersionId>, stamp: VersionId) -> bool {
    line.binary_search_by_key(&stamp.number, |other| other.number)
        .is_ok_and(|at| line[at] == stamp)
}
