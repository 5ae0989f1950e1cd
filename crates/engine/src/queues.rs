//! Allocations that wait for an evaluation: in batches, or until the caller finds time.

use corkspan_scheduler::interface::{AllocationId, Ticks};
use std::collections::{BTreeSet, VecDeque};

/// How many deferred allocations are evaluated again in one go, and the time between two goes.
/// Thousands at once would keep a caller with sockets from reading them: it would miss the reports
/// that are waited for, and all would be evaluated in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBatch {
    /// So many at most.
    pub max_size: usize,
    /// So long between two batches.
    pub interval: Ticks,
}

impl RetryBatch {
    /// All at once, for a caller that has nothing else to do meanwhile.
    pub const ALL: RetryBatch = RetryBatch {
        max_size: usize::MAX,
        interval: 0,
    };
    /// None by itself: the caller calls [`Engine::evaluate`](crate::Engine::evaluate) as it finds
    /// time, between what it reads.
    pub const ON_DEMAND: RetryBatch = RetryBatch {
        max_size: 0,
        interval: 0,
    };
}

/// Allocations with their deadlines.
type Deadline = (Ticks, AllocationId);

/// Those that wait for an evaluation on demand, [`RetryBatch::ON_DEMAND`]. An evaluation costs some
/// hundred times what reading a message costs; where messages wait behind evaluations, an
/// overloaded caller learns of ends too late to pass them on in time.
#[derive(Default)]
pub(crate) struct RunQueue {
    /// New ones and those whose attempt has returned.
    fresh: VecDeque<Deadline>,
    deferred: VecDeque<Deadline>,
    /// Which of the two goes first, in turns: neither can hold up the other.
    deferred_first: bool,
    /// All of them: however many wait, each is evaluated at its deadline.
    by_deadline: BTreeSet<Deadline>,
}

impl RunQueue {
    /// A new one, or one whose attempt has returned.
    pub fn push_fresh(&mut self, deadline: Ticks, id: AllocationId) {
        self.fresh.push_back((deadline, id));
        self.by_deadline.insert((deadline, id));
    }

    /// One that was deferred.
    pub fn push_deferred(&mut self, deadline: Ticks, id: AllocationId) {
        self.deferred.push_back((deadline, id));
        self.by_deadline.insert((deadline, id));
    }

    /// Drops those that are no longer wanted.
    pub fn retain_fresh(&mut self, wanted: impl Fn(&AllocationId) -> bool) {
        self.fresh.retain(|(_, id)| wanted(id));
        self.by_deadline.retain(|(_, id)| wanted(id));
    }

    /// The next one.
    pub fn pop(&mut self) -> Option<AllocationId> {
        self.deferred_first = !self.deferred_first;
        let (first, second) = match self.deferred_first {
            true => (&mut self.deferred, &mut self.fresh),
            false => (&mut self.fresh, &mut self.deferred),
        };
        let next = first.pop_front().or_else(|| second.pop_front())?;
        self.by_deadline.remove(&next);
        Some(next.1)
    }

    /// The next one whose deadline has come.
    pub fn pop_overdue(&mut self, now: Ticks) -> Option<AllocationId> {
        let &(at, id) = self.by_deadline.first()?;
        if at > now {
            return None;
        }
        self.by_deadline.pop_first();
        Some(id)
    }

    /// The first deadline.
    pub fn first_deadline(&self) -> Option<Ticks> {
        self.by_deadline.first().map(|(at, _)| *at)
    }

    /// How many new ones wait.
    pub fn fresh_len(&self) -> usize {
        self.fresh.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.fresh.is_empty() && self.deferred.is_empty()
    }

    /// The number of entries in all.
    pub fn entries(&self) -> usize {
        self.fresh.len() + self.deferred.len() + self.by_deadline.len()
    }
}
