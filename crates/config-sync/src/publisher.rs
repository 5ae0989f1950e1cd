//! A control service's end of the stream: its versions, and what it knows of each subscriber.

use crate::subscriber::{Push, Said, Version};
use corkspan_config::version::{Stamp, Texts};
use std::collections::{BTreeMap, VecDeque};

/// Versions that are remembered whole, to make changes from. A subscriber that runs an older one is
/// sent the whole.
const HISTORY: usize = 1_000;
/// Versions whose stamps alone are remembered: by these a subscriber however far behind is told
/// that what it runs stands in the line, and one whose version does not is left to find the split.
/// 40 bytes each, so 40 MB at the most.
const LINE: usize = 1_000_000;
const SUBSCRIBERS: usize = 100_000;

#[derive(Clone, Debug, Default)]
struct Subscriber {
    running: Option<Stamp>,
    /// Of the line, what the push sent last names: this one, and all from that number on.
    named: Option<(Stamp, u64)>,
    /// Of the push sent last on its stream, and which it was.
    nonce: u64,
    sent: Option<Stamp>,
    refused: Option<(Stamp, Vec<String>)>,
    whole: bool,
}

/// What a reply was worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    Counted,
    /// It answers an older push than the last: what it says of it is passed over.
    Older,
    Unknown,
}

#[derive(Clone, Debug, Default)]
pub struct Publisher {
    /// In their order; stamps alone for all but the newest, whose texts all changes are made from.
    versions: VecDeque<(Version, bool)>,
    /// Stamps of all, the newest among them.
    line: VecDeque<Stamp>,
    subscribers: BTreeMap<u32, Subscriber>,
    nonces: u64,
}

impl Publisher {
    /// The next version. Its number is one more than the highest there is, of this service or told
    /// by a subscriber: a service that lost its state must not count from 1 again.
    pub fn publish(&mut self, texts: Texts, cuts: bool) -> Stamp {
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
        let stamp = Stamp {
            number,
            digest: texts.digest(),
        };
        self.versions.push_back((Version { stamp, texts }, cuts));
        if self.versions.len() > HISTORY {
            self.versions.pop_front();
        }
        self.line.push_back(stamp);
        if self.line.len() > LINE {
            self.line.pop_front();
        }
        stamp
    }

    pub fn newest(&self) -> Option<Stamp> {
        self.versions.back().map(|(version, _)| version.stamp)
    }

    /// A subscriber opens a stream and tells what it runs. Nothing of an earlier stream counts any
    /// more.
    pub fn opened(&mut self, who: u32, running: Stamp) {
        if self.subscribers.len() < SUBSCRIBERS || self.subscribers.contains_key(&who) {
            let fresh = Subscriber {
                running: Some(running),
                ..Subscriber::default()
            };
            self.subscribers.insert(who, fresh);
        }
    }

    /// A reply, with what runs there now.
    pub fn heard(&mut self, who: u32, nonce: u64, said: &Said, running: Stamp) -> Heard {
        let Some(own) = self.subscribers.get_mut(&who) else {
            return Heard::Unknown;
        };
        // That it runs is so, whichever push it answers.
        own.running = Some(running);
        if nonce != own.nonce {
            return Heard::Older;
        }
        match (said, own.sent) {
            (Said::Refused(why), Some(sent)) => {
                own.refused = Some((sent, why.clone()));
                // It ran another by the time that it read that push than was known when it was
                // sent, and took the line for split: now that this is known, it is
                // told again, once for what it runs.
                let named = own
                    .named
                    .is_some_and(|(told, from)| running == told || running.number >= from);
                if !named && stands(&self.line, running) {
                    own.sent = None;
                }
            }
            (Said::WantsWhole, _) => (own.whole, own.sent) = (true, None),
            _ => {}
        }
        Heard::Counted
    }

    /// What to push to it now, if it hasn't got the newest and hasn't turned it down.
    pub fn push_for(&mut self, who: u32) -> Option<Push> {
        let (newest, cuts) = self.versions.back()?;
        let own = self.subscribers.get_mut(&who)?;
        let running = own.running?;
        if own.sent == Some(newest.stamp) || running == newest.stamp {
            return None;
        }
        let at = self
            .versions
            .iter()
            .position(|(version, _)| version.stamp == running);
        let theirs = at.map(|at| &self.versions[at].0);
        // All from theirs on: those that are on their way may be in force there by the time that it
        // reads this. Of one that is further behind than that, all that is remembered.
        let first = match at {
            Some(at) => at,
            None if stands(&self.line, running) => 0,
            None => self.versions.len().saturating_sub(2),
        };
        let before = self.versions.len() - 1;
        let recent = self
            .versions
            .range(first.min(before)..before)
            .map(|(version, _)| version.stamp);
        let far = Some(running).filter(|_| at.is_none() && stands(&self.line, running));
        let follows: Vec<Stamp> = far.into_iter().chain(recent).collect();
        own.named = Some((
            running,
            follows
                .iter()
                .map(|stamp| stamp.number)
                .nth(far.iter().len())
                .unwrap_or(u64::MAX),
        ));
        let base = theirs.filter(|_| !own.whole);
        let (changes, removed) = match base {
            Some(base) => base.texts.changes_to(&newest.texts),
            None => (newest.texts.clone(), Vec::new()),
        };
        self.nonces += 1;
        (own.nonce, own.sent, own.whole) = (self.nonces, Some(newest.stamp), false);
        Some(Push {
            nonce: self.nonces,
            stamp: newest.stamp,
            follows,
            onto: base.map(|version| version.stamp),
            changes,
            removed,
            cuts: *cuts,
        })
    }

    /// What a subscriber runs, as it told last.
    pub fn running(&self, who: u32) -> Option<Stamp> {
        self.subscribers.get(&who)?.running
    }

    /// What a subscriber turned down last on the stream that stands, and why.
    pub fn turned_down(&self, who: u32) -> Option<&(Stamp, Vec<String>)> {
        self.subscribers.get(&who)?.refused.as_ref()
    }
}

/// Whether a version stands in the line. Numbers grow along it.
fn stands(line: &VecDeque<Stamp>, stamp: Stamp) -> bool {
    line.binary_search_by_key(&stamp.number, |other| other.number)
        .is_ok_and(|at| line[at] == stamp)
}
