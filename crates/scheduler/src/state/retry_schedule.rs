//! When deferred allocations are worth another evaluation.

use super::NEVER;
use crate::interface::Ticks;
use std::collections::BTreeSet;

/// When deferred allocations are to be evaluated again.
pub struct RetrySchedule {
    /// The next round, if anything has changed by then or `may_open_at` has come.
    pub next_round_at: Option<Ticks>,
    /// From here on a machine might take one of them though nothing happens.
    pub may_be_feasible_at: Ticks,
    /// Last moments to answer, of those that come before the next summary.
    deadlines: BTreeSet<Ticks>,
    /// The changes of the capacity index when the last round began.
    pub changes: u64,
    /// The first evaluation of the round is still to come: it computes the summary anew, which
    /// is no change after the round began.
    awaits_first_evaluation: bool,
    last_deferred_at: Option<Ticks>,
    /// Nothing is left out. Only for tests to compare with.
    pub exhaustive: bool,
}

impl Default for RetrySchedule {
    fn default() -> Self {
        RetrySchedule {
            next_round_at: None,
            may_be_feasible_at: NEVER,
            deadlines: BTreeSet::new(),
            changes: 0,
            awaits_first_evaluation: false,
            last_deferred_at: None,
            exhaustive: false,
        }
    }
}

impl RetrySchedule {
    /// Whether one was deferred at that moment or later, and evaluations may be left out.
    pub fn deferred_since(&self, moment: Ticks) -> bool {
        !self.exhaustive && self.last_deferred_at.is_some_and(|at| at >= moment)
    }

    /// One was deferred. It may be placed from `may_open_at` on, and must be answered by `deadline`
    /// if that comes soon.
    pub fn defer(
        &mut self,
        now: Ticks,
        round_at: Ticks,
        may_be_feasible_at: Ticks,
        deadline: Option<Ticks>,
    ) {
        self.last_deferred_at = Some(now);
        let earlier = |other: Ticks| other.min(round_at);
        self.next_round_at = Some(self.next_round_at.map_or(round_at, earlier));
        self.may_be_feasible_at = self.may_be_feasible_at.min(may_be_feasible_at);
        self.deadlines.extend(deadline);
    }

    /// When it is next to be asked, by a round or a deadline.
    pub fn next_at(&self) -> Option<Ticks> {
        let deadline = self.deadlines.first().copied();
        [self.next_round_at, deadline].into_iter().flatten().min()
    }

    /// Whether a round or a deadline has come.
    pub fn is_due(&self, now: Ticks) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// All deferred allocations are evaluated again.
    pub fn begin_round(&mut self, changes: u64) {
        *self = RetrySchedule {
            changes,
            awaits_first_evaluation: true,
            last_deferred_at: self.last_deferred_at,
            exhaustive: self.exhaustive,
            ..RetrySchedule::default()
        };
    }

    /// An evaluation begins; the changes up to the first one of a round belong to the round.
    pub fn record_evaluation(&mut self, changes: u64) {
        if std::mem::take(&mut self.awaits_first_evaluation) {
            self.changes = changes;
        }
    }

    /// The round is left out. Whether a deadline has come: then some are evaluated all the same.
    pub fn skip_round(&mut self, now: Ticks, next_round_at: Ticks) -> bool {
        let before = self.deadlines.len();
        self.deadlines = self.deadlines.split_off(&(now + 1));
        self.next_round_at = Some(next_round_at);
        self.deadlines.len() < before
    }
}
