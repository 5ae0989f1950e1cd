//! A control service's end of the stream: its versions, and what it knows of each subscriber.

use crate::subscriber::{OfferedVersion, PushReply, Version, VersionPush};
use corkspan_config::version::{SharedParts, VersionId};
use std::collections::{BTreeMap, VecDeque};

/// Versions that are remembered with their content, to make changes from. A subscriber that runs an
/// older one is sent a complete push.
const MAX_FULL_VERSIONS: usize = 1_000;
/// Versions of which only the id is remembered: by these a subscriber however far behind is told
/// that its version belongs to the lineage. 40 bytes each, so 40 MB at most.
const MAX_LINEAGE_IDS: usize = 1_000_000;
/// Subscribers that are remembered; pushes go to none beyond.
const MAX_SUBSCRIBERS: usize = 100_000;

/// What a subscriber rejected, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The version.
    pub version: VersionId,
    /// Why it is not active there.
    pub reasons: Vec<String>,
}

/// Which predecessors a push named: one version, and all from a number on.
#[derive(Clone, Copy, Debug)]
struct NamedPredecessors {
    active: VersionId,
    from_number: u64,
}

impl NamedPredecessors {
    fn include(&self, version: VersionId) -> bool {
        version == self.active || version.number >= self.from_number
    }
}

/// What is known of one subscriber, from the stream that is open or was open last.
#[derive(Clone, Debug, Default)]
struct SubscriberState {
    active: Option<VersionId>,
    /// Of the last push on the stream: its nonce, its version and the predecessors it named.
    sent_nonce: u64,
    last_sent: Option<VersionId>,
    named_predecessors: Option<NamedPredecessors>,
    last_rejection: Option<Rejection>,
    /// It asked for a complete push.
    needs_full: bool,
}

/// How a reply was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It answers the last push.
    Accepted,
    /// It answers an earlier push, of which it tells nothing any more.
    StaleNonce,
    /// It comes from a subscriber that has not opened a stream.
    UnknownSubscriber,
}

/// The bookkeeping of a control service.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    /// The last versions, the newest at the back.
    versions: VecDeque<OfferedVersion>,
    /// Ids of all versions, the newest at the back; numbers grow along it.
    lineage: VecDeque<VersionId>,
    subscribers: BTreeMap<u32, SubscriberState>,
    last_nonce: u64,
}

impl Publisher {
    /// Publishes the next version. Its number is one more than the highest known, of this service
    /// or reported by a subscriber: a service that lost its state must not count from 1 again.
    pub fn publish(&mut self, texts: SharedParts, allows_cuts: bool) -> VersionId {
        let reported = self.subscribers.values().filter_map(|known| known.active);
        let highest = reported.chain(self.newest()).map(|id| id.number).max();
        let id = VersionId {
            number: highest.unwrap_or(0) + 1,
            digest: texts.digest(),
        };
        self.versions.push_back(OfferedVersion {
            version: Version { id, texts },
            allows_cuts,
        });
        if self.versions.len() > MAX_FULL_VERSIONS {
            self.versions.pop_front();
        }
        self.lineage.push_back(id);
        if self.lineage.len() > MAX_LINEAGE_IDS {
            self.lineage.pop_front();
        }
        id
    }

    /// The newest version.
    #[must_use]
    pub fn newest(&self) -> Option<VersionId> {
        self.versions.back().map(|newest| newest.version.id)
    }

    /// A subscriber has opened a stream and reported its active version. What is known from an
    /// earlier stream no longer counts.
    pub fn subscriber_connected(&mut self, subscriber: u32, active: VersionId) {
        let known = self.subscribers.contains_key(&subscriber);
        if known || self.subscribers.len() < MAX_SUBSCRIBERS {
            let state = SubscriberState {
                active: Some(active),
                ..SubscriberState::default()
            };
            self.subscribers.insert(subscriber, state);
        }
    }

    /// A subscriber has replied to the push of this nonce, and reported its active version.
    pub fn receive_reply(
        &mut self,
        subscriber: u32,
        nonce: u64,
        reply: &PushReply,
        active: VersionId,
    ) -> ReplyStatus {
        let follows = self.in_lineage(active);
        let Some(state) = self.subscribers.get_mut(&subscriber) else {
            return ReplyStatus::UnknownSubscriber;
        };
        // The active version is a fact, whichever push the reply answers.
        state.active = Some(active);
        if nonce != state.sent_nonce {
            return ReplyStatus::StaleNonce;
        }
        match (reply, state.last_sent) {
            (PushReply::Rejected(reasons), Some(version)) => {
                let reasons = reasons.clone();
                state.last_rejection = Some(Rejection { version, reasons });
                // By the time that it read the push, it ran another version than was known when
                // the push was made, one that the push did not name: it is sent once more.
                let named = state
                    .named_predecessors
                    .is_some_and(|named| named.include(active));
                if !named && follows {
                    state.last_sent = None;
                }
            }
            (PushReply::FullRequired, _) => {
                (state.needs_full, state.last_sent) = (true, None);
            }
            _ => {}
        }
        ReplyStatus::Accepted
    }

    /// What to push to a subscriber now; none if it runs the newest version or was sent it.
    #[must_use]
    pub fn push_for(&mut self, subscriber: u32) -> Option<VersionPush> {
        let newest = self.versions.back()?;
        let (id, allows_cuts) = (newest.version.id, newest.allows_cuts);
        let state = self.subscribers.get(&subscriber)?;
        let active = state.active?;
        if state.last_sent == Some(id) || active == id {
            return None;
        }
        let position = self.position(active);
        let base = position
            .filter(|_| !state.needs_full)
            .map(|position| &self.versions[position].version);
        let (changes, removed) = match base {
            Some(base) => base.texts.changes_to(&newest.version.texts),
            None => (newest.version.texts.clone(), Vec::new()),
        };
        let base = base.map(|version| version.id);
        let (predecessors, named) = self.predecessors(active, position);
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let state = self.subscribers.get_mut(&subscriber)?;
        state.sent_nonce = nonce;
        state.last_sent = Some(id);
        state.named_predecessors = Some(named);
        state.needs_full = false;
        Some(VersionPush {
            nonce,
            version: id,
            predecessors,
            base,
            changes,
            removed,
            allows_cuts,
        })
    }

    /// The versions that a push to a subscriber names, which runs `active` and is remembered at
    /// this position.
    fn predecessors(
        &self,
        active: VersionId,
        position: Option<usize>,
    ) -> (Vec<VersionId>, NamedPredecessors) {
        let last = self.versions.len() - 1;
        let far_behind = position.is_none() && self.in_lineage(active);
        // All from the active version on: pushes on their way may be active there by the time that
        // it reads this one. For one that is further behind, all that are remembered.
        let first = match position {
            Some(position) => position,
            None if far_behind => 0,
            None => self.versions.len().saturating_sub(2),
        };
        let recent = self.versions.range(first.min(last)..last);
        let recent: Vec<VersionId> = recent.map(|offered| offered.version.id).collect();
        let named = NamedPredecessors {
            active,
            from_number: recent.first().map_or(u64::MAX, |first| first.number),
        };
        let all = far_behind.then_some(active).into_iter().chain(recent);
        (all.collect(), named)
    }

    /// Where a version stands among those remembered with their content.
    fn position(&self, id: VersionId) -> Option<usize> {
        let mut ids = self.versions.iter().map(|offered| offered.version.id);
        ids.position(|known| known == id)
    }

    /// Whether a version was published here.
    fn in_lineage(&self, id: VersionId) -> bool {
        let position = self
            .lineage
            .binary_search_by_key(&id.number, |known| known.number);
        position.is_ok_and(|position| self.lineage[position] == id)
    }

    /// The active version of a subscriber, as it reported last.
    #[must_use]
    pub fn active_version(&self, subscriber: u32) -> Option<VersionId> {
        self.subscribers.get(&subscriber)?.active
    }

    /// What a subscriber rejected last on its stream.
    #[must_use]
    pub fn last_rejection(&self, subscriber: u32) -> Option<&Rejection> {
        self.subscribers.get(&subscriber)?.last_rejection.as_ref()
    }
}
