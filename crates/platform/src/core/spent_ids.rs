//! Remembers the ids of requests that may have run and are over. Every set-up has a new id, so one
//! that comes again would run a second time.

use corkspan_scheduler::interface::Ticks;
use std::collections::BTreeSet;

/// The remembered ids, each until nobody waits for its request any more.
#[derive(Default)]
pub(super) struct SpentIds {
    by_expiry: BTreeSet<(Ticks, u64)>,
    ids: BTreeSet<u64>,
}

impl SpentIds {
    /// Remembers an id until the given time. Beyond `max_ids`, the one that expires next is
    /// forgotten.
    pub(super) fn record(&mut self, task: u64, expires_at: Ticks, max_ids: usize) {
        if !self.ids.insert(task) {
            return;
        }
        self.by_expiry.insert((expires_at, task));
        while self.by_expiry.len() > max_ids {
            self.forget_first();
        }
    }

    /// Forgets the ids that have expired.
    pub(super) fn expire(&mut self, now: Ticks) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.forget_first();
        }
    }

    /// Returns whether the id is remembered.
    pub(super) fn contains(&self, task: u64) -> bool {
        self.ids.contains(&task)
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    fn forget_first(&mut self) {
        if let Some((_, task)) = self.by_expiry.pop_first() {
            self.ids.remove(&task);
        }
    }
}
