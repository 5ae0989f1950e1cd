//! Allocations that wait for an evaluation, in batches or on demand.

use crate::fair_queue::FairQueue;
use corkspan_scheduler::interface::{AllocationId, Ticks};
use std::collections::BTreeSet;

/// The size of the batches in which deferred allocations are evaluated again, and the time between
/// them. A caller that evaluates thousands at once does not read its sockets meanwhile: it misses
/// the reports that the allocations wait for, and the evaluations achieve nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBatch {
    /// Largest number of allocations in a batch.
    pub max_size: usize,
    /// Time between two batches.
    pub interval: Ticks,
}

impl RetryBatch {
    /// All at once, for a caller that has nothing else to do.
    pub const ALL: RetryBatch = RetryBatch {
        max_size: usize::MAX,
        interval: 0,
    };
    /// No automatic batches: the caller calls [`Engine::evaluate`](crate::Engine::evaluate) when it
    /// has time between messages.
    pub const ON_DEMAND: RetryBatch = RetryBatch {
        max_size: 0,
        interval: 0,
    };
}

/// An allocation with its deadline.
type Deadline = (Ticks, AllocationId);

/// Allocations that wait for an evaluation on demand, see [`RetryBatch::ON_DEMAND`]. Those of different
/// sources take turns, so that a source with many does not delay the others. An evaluation
/// costs about a hundred times as much as reading a message. If messages waited behind evaluations,
/// an overloaded caller would learn too late that attempts have ended to pass that on in time.
#[derive(Default)]
pub(crate) struct RunQueue {
    /// New allocations, and those whose attempt has returned.
    fresh: FairQueue<Deadline>,
    deferred: FairQueue<Deadline>,
    /// Whether the deferred queue was tried first last time. The two take turns, so that neither
    /// starves the other.
    deferred_first: bool,
    /// All queued allocations by deadline: each is evaluated at its deadline, however many wait.
    by_deadline: BTreeSet<Deadline>,
}

impl RunQueue {
    /// Queues a new allocation, or one whose attempt has returned.
    pub fn push_fresh(&mut self, source: u64, deadline: Ticks, id: AllocationId) {
        self.fresh.push(source, (deadline, id));
        self.by_deadline.insert((deadline, id));
    }

    /// Queues an allocation that was deferred.
    pub fn push_deferred(&mut self, source: u64, deadline: Ticks, id: AllocationId) {
        self.deferred.push(source, (deadline, id));
        self.by_deadline.insert((deadline, id));
    }

    /// Drops the new entries that are no longer wanted.
    pub fn retain_fresh(&mut self, wanted: impl Fn(&AllocationId) -> bool) {
        self.fresh.retain(|(_, id)| wanted(id));
        self.by_deadline.retain(|(_, id)| wanted(id));
    }

    /// Removes and returns the next allocation.
    pub fn pop(&mut self) -> Option<AllocationId> {
        self.deferred_first = !self.deferred_first;
        let (first, second) = match self.deferred_first {
            true => (&mut self.deferred, &mut self.fresh),
            false => (&mut self.fresh, &mut self.deferred),
        };
        let next = first.pop().or_else(|| second.pop())?;
        self.by_deadline.remove(&next);
        Some(next.1)
    }

    /// Removes and returns the next allocation whose deadline has passed.
    pub fn pop_overdue(&mut self, now: Ticks) -> Option<AllocationId> {
        let &(at, id) = self.by_deadline.first()?;
        if at > now {
            return None;
        }
        self.by_deadline.pop_first();
        Some(id)
    }

    /// Returns the earliest deadline.
    pub fn first_deadline(&self) -> Option<Ticks> {
        self.by_deadline.first().map(|(at, _)| *at)
    }

    /// Returns the number of queued new allocations.
    pub fn fresh_len(&self) -> usize {
        self.fresh.len()
    }

    /// Returns whether no allocation is queued.
    pub fn is_empty(&self) -> bool {
        self.fresh.is_empty() && self.deferred.is_empty()
    }

    /// Returns the number of entries in all three collections.
    pub fn entries(&self) -> usize {
        self.fresh.len() + self.deferred.len() + self.by_deadline.len()
    }
}
