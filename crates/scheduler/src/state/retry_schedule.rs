//! Schedules the repeated evaluation of deferred allocations.

use super::NEVER;
use crate::interface::Ticks;
use std::collections::BTreeSet;

/// The times at which deferred allocations are evaluated again.
pub struct RetrySchedule {
    /// The time of the next round, which takes place if anything has changed by then or
    /// `may_be_feasible_at` has been reached.
    pub next_round_at: Option<Ticks>,
    /// The time from which a machine might take a deferred allocation without any other change.
    pub may_be_feasible_at: Ticks,
    /// The latest times to answer deferred allocations whose deadline is before the next summary.
    deadlines: BTreeSet<Ticks>,
    /// The capacity index's number of changes when the last round began.
    pub changes: u64,
    /// Whether the first evaluation of the round is still to come. It recomputes the summary, which
    /// must not count as a change after the round began.
    awaits_first_evaluation: bool,
    last_deferred_at: Option<Ticks>,
    /// Whether no evaluation is skipped; set only by tests that compare with it.
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
    /// Returns whether an allocation was deferred at that time or later and evaluations may be
    /// skipped.
    pub fn deferred_since(&self, since: Ticks) -> bool {
        !self.exhaustive && self.last_deferred_at.is_some_and(|at| at >= since)
    }

    /// Records a deferred allocation, which may be placed from `may_be_feasible_at` on and, if a
    /// `deadline` is given, must be answered by then.
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

    /// Returns the time of the next round or deadline, whichever is earlier.
    pub fn next_at(&self) -> Option<Ticks> {
        let deadline = self.deadlines.first().copied();
        [self.next_round_at, deadline].into_iter().flatten().min()
    }

    /// Returns whether a round or a deadline is due.
    pub fn is_due(&self, now: Ticks) -> bool {
        self.next_at().is_some_and(|at| at <= now)
    }

    /// Begins a round in which all deferred allocations are evaluated again.
    pub fn begin_round(&mut self, changes: u64) {
        *self = RetrySchedule {
            changes,
            awaits_first_evaluation: true,
            last_deferred_at: self.last_deferred_at,
            exhaustive: self.exhaustive,
            ..RetrySchedule::default()
        };
    }

    /// Records the start of an evaluation. Changes before the first evaluation of a round count as
    /// part of the round.
    pub fn record_evaluation(&mut self, changes: u64) {
        if std::mem::take(&mut self.awaits_first_evaluation) {
            self.changes = changes;
        }
    }

    /// Skips the round. Returns whether a deadline is due, in which case some allocations are
    /// evaluated all the same.
    pub fn skip_round(&mut self, now: Ticks, next_round_at: Ticks) -> bool {
        let before = self.deadlines.len();
        self.deadlines = self.deadlines.split_off(&(now + 1));
        self.next_round_at = Some(next_round_at);
        self.deadlines.len() < before
    }
}
