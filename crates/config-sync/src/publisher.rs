//! A control service's end of the stream: its versions and what it knows of each subscriber.

use crate::subscriber::{OfferedVersion, PushReply, Version, VersionPush};
use corkspan_config::version::{SharedParts, VersionId};
use std::collections::{BTreeMap, VecDeque};

/// Number of versions that are remembered with their content, as bases for pushes of changes. A
/// subscriber that runs an older version is sent a complete push.
const MAX_FULL_VERSIONS: usize = 1_000;
/// Number of version ids that are remembered, so that a push to a subscriber that is far behind can
/// still name its version as a predecessor. 40 bytes each, so 40 MB at most.
const MAX_LINEAGE_IDS: usize = 1_000_000;
/// Number of subscribers that are remembered. Further subscribers are sent no pushes.
const MAX_SUBSCRIBERS: usize = 100_000;

/// A version that a subscriber rejected, and the reasons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The rejected version.
    pub version: VersionId,
    /// Why the version is not active there.
    pub reasons: Vec<String>,
}

/// The predecessors that a push named: the subscriber's active version, and all versions from a
/// number on.
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

/// What is known of one subscriber from its open or most recent stream.
#[derive(Clone, Debug, Default)]
struct SubscriberState {
    active: Option<VersionId>,
    /// The nonce, the version and the named predecessors of the last push on the stream.
    sent_nonce: u64,
    last_sent: Option<VersionId>,
    named_predecessors: Option<NamedPredecessors>,
    last_rejection: Option<Rejection>,
    /// Whether the subscriber requested a complete push.
    needs_full: bool,
}

/// How a reply was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The reply answers the last push.
    Accepted,
    /// The reply answers an earlier push and only updates the active version.
    StaleNonce,
    /// The subscriber has not opened a stream.
    UnknownSubscriber,
}

/// The versions and subscribers of a control service.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    /// The latest versions with their content, newest last.
    versions: VecDeque<OfferedVersion>,
    /// The ids of all versions, in order of increasing number.
    lineage: VecDeque<VersionId>,
    subscribers: BTreeMap<u32, SubscriberState>,
    last_nonce: u64,
}

impl Publisher {
    /// Publishes the next version. Its number is one more than the highest number known, whether
    /// from this service or reported by a subscriber: a service that lost its state must not start
    /// from 1 again.
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

    /// Returns the newest version.
    #[must_use]
    pub fn newest(&self) -> Option<VersionId> {
        self.versions.back().map(|newest| newest.version.id)
    }

    /// Records that a subscriber has opened a stream and reported its active version. Anything
    /// known from an earlier stream is discarded.
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

    /// Records a subscriber's reply to the push with this nonce, and its active version.
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
        // The reported active version is valid whichever push the reply answers.
        state.active = Some(active);
        if nonce != state.sent_nonce {
            return ReplyStatus::StaleNonce;
        }
        match (reply, state.last_sent) {
            (PushReply::Rejected(reasons), Some(version)) => {
                let reasons = reasons.clone();
                state.last_rejection = Some(Rejection { version, reasons });
                // When the subscriber read the push, it ran another version than was known when the
                // push was made, and the push did not name that version. It is sent once more.
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

    /// Returns the push to send to a subscriber now, or `None` if it runs the newest version or was
    /// sent it already.
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

    /// Returns the predecessors that a push names for a subscriber that runs `active`. `position`
    /// is that of `active` among the versions remembered with their content.
    fn predecessors(
        &self,
        active: VersionId,
        position: Option<usize>,
    ) -> (Vec<VersionId>, NamedPredecessors) {
        let last = self.versions.len() - 1;
        let far_behind = position.is_none() && self.in_lineage(active);
        // Names all versions from the active one on, since a push in transit may be active at the
        // subscriber by the time it reads this one. If the active version is older than all those
        // remembered with their content, names it and all of these. For a version that was not
        // published here, names only the last version before the newest.
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

    /// Returns the position of a version among those remembered with their content.
    fn position(&self, id: VersionId) -> Option<usize> {
        let mut ids = self.versions.iter().map(|offered| offered.version.id);
        ids.position(|known| known == id)
    }

    /// Returns whether a version was published here.
    fn in_lineage(&self, id: VersionId) -> bool {
        let position = self
            .lineage
            .binary_search_by_key(&id.number, |known| known.number);
        position.is_ok_and(|position| self.lineage[position] == id)
    }

    /// Returns the active version that a subscriber reported last.
    #[must_use]
    pub fn active_version(&self, subscriber: u32) -> Option<VersionId> {
        self.subscribers.get(&subscriber)?.active
    }

    /// Returns what a subscriber rejected last on its stream.
    #[must_use]
    pub fn last_rejection(&self, subscriber: u32) -> Option<&Rejection> {
        self.subscribers.get(&subscriber)?.last_rejection.as_ref()
    }
}
