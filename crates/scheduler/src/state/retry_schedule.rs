//! When those that were answered "not yet" are to be looked at again.

use super::NEVER;
use crate::interface::Ticks;
use std::collections::BTreeSet;

/// When those that were answered "not yet" are to be looked at again.
pub struct Waits {
    /// The next moment for it, if anything has changed by then or `open_at` has come.
    pub ask_at: Option<Ticks>,
    /// From here on one might find a machine though nothing happens.
    pub open_at: Ticks,
    /// Last moments to answer, of those that come before all are looked at again.
    ends: BTreeSet<Ticks>,
    /// The changes that the last round of looks began with, and whether its first look is still to
    /// come: that takes the view anew, which is no change after it.
    pub changes: u64,
    begins: bool,
    last: Option<Ticks>,
    /// Only to compare with: each ask is a whole look.
    pub looks_always: bool,
}

impl Default for Waits {
    fn default() -> Self {
        let ends = BTreeSet::new();
        Waits {
            ask_at: None,
            open_at: NEVER,
            ends,
            changes: 0,
            begins: false,
            last: None,
            looks_always: false,
        }
    }
}

impl Waits {
    /// Whether one was answered "not yet" after that moment, and looks may be left out.
    pub fn since(&self, moment: Ticks) -> bool {
        !self.looks_always && self.last.is_some_and(|at| at >= moment)
    }

    pub fn not_yet(&mut self, now: Ticks, ask_at: Ticks, open_at: Ticks, end: Option<Ticks>) {
        self.last = Some(now);
        self.ask_at = Some(self.ask_at.map_or(ask_at, |other| other.min(ask_at)));
        self.open_at = self.open_at.min(open_at);
        self.ends.extend(end);
    }

    pub fn next(&self) -> Option<Ticks> {
        [self.ask_at, self.ends.first().copied()]
            .into_iter()
            .flatten()
            .min()
    }

    pub fn due(&self, now: Ticks) -> bool {
        self.next().is_some_and(|at| at <= now)
    }

    /// All are looked at again.
    pub fn round(&mut self, changes: u64) {
        let Waits {
            last, looks_always, ..
        } = *self;
        *self = Waits {
            changes,
            begins: true,
            last,
            looks_always,
            ..Waits::default()
        };
    }

    /// With this look, of so many changes.
    pub fn begun(&mut self, changes: u64) {
        if std::mem::take(&mut self.begins) {
            self.changes = changes;
        }
    }

    /// None but those whose last moment has come, if any.
    pub fn end(&mut self, now: Ticks, ask_at: Ticks) -> bool {
        let many = self.ends.len();
        self.ends = self.ends.split_off(&(now + 1));
        self.ask_at = Some(ask_at);
        self.ends.len() < many
    }
}
