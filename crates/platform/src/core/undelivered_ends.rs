//! Keeps the ends of running tasks whose client's connection is gone.
//!
//! The protocol does not say which connection belongs to which client, so a client that has lost its
//! connection can't be recognized on its next one. Such an end is therefore sent once on each
//! connection that may be its client's: on all that are open, and on each that is opened while the
//! client may still come back. Other clients ignore it, since they do not know the task.

use super::pending_task::task_key;
use crate::task_end::TaskEnd;
use corkspan_scheduler::interface::Ticks;
use std::collections::{BTreeSet, VecDeque};
use tracing::debug;

/// The position of an end among all that were ever recorded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EndNumber(u64);

struct UndeliveredEnd {
    number: EndNumber,
    expires_at: Ticks,
    end: TaskEnd,
}

/// The ends that are not known to have reached their client, from the oldest to the newest.
#[derive(Default)]
pub(super) struct UndeliveredEnds {
    ends: VecDeque<UndeliveredEnd>,
    tasks: BTreeSet<u64>,
    recorded: u64,
}

impl UndeliveredEnds {
    /// Records an end until the given time, unless the end of its task is recorded already. Drops the
    /// oldest end if there are `max_ends`.
    pub(super) fn record(&mut self, expires_at: Ticks, end: TaskEnd, max_ends: usize) {
        if !self.tasks.insert(end.task) {
            return;
        }
        self.recorded += 1;
        self.ends.push_back(UndeliveredEnd {
            number: EndNumber(self.recorded),
            expires_at,
            end,
        });
        while self.ends.len() > max_ends {
            self.drop_oldest();
        }
    }

    /// Drops the ends that have expired.
    pub(super) fn expire(&mut self, now: Ticks) {
        let tasks = &mut self.tasks;
        self.ends.retain(|recorded| {
            let is_current = recorded.expires_at > now;
            if !is_current {
                tasks.remove(&recorded.end.task);
            }
            is_current
        });
    }

    /// Returns the first end after the given position, and its own position.
    pub(super) fn next_after(&self, position: EndNumber) -> Option<(EndNumber, TaskEnd)> {
        let index = self.ends.partition_point(|end| end.number <= position);
        self.ends.get(index).map(|next| (next.number, next.end))
    }

    /// Returns whether the end of a task is recorded.
    pub(super) fn contains(&self, task: u64) -> bool {
        self.tasks.contains(&task)
    }

    /// Returns the number of recorded ends.
    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.ends.pop_front() {
            let task = task_key(oldest.end.task);
            debug!(task, "dropping an undelivered end: there are too many");
            self.tasks.remove(&oldest.end.task);
        }
    }
}
