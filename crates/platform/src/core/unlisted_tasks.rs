//! Keeps the running tasks that were handed over on a node that the list does not name yet. The list
//! may be late, and the node may be gone: a task waits for the list as long as its end could still be
//! reported in time.

use super::hand_overs::HandOver;
use super::limits::{MAX_UNLISTED_TASKS, UNLISTED_NODE_TIMEOUT};
use crate::ids::ClientId;
use corkspan_scheduler::interface::Ticks;
use std::collections::BTreeMap;

/// A task whose node is not listed.
pub(super) struct UnlistedTask {
    pub(super) hand_over: HandOver,
    /// The cause with which its client has released it.
    pub(super) released: Option<u8>,
}

/// The waiting tasks, by their id.
#[derive(Default)]
pub(super) struct UnlistedTasks {
    tasks: BTreeMap<u64, UnlistedTask>,
}

impl UnlistedTasks {
    /// Records a task. If there are too many, removes and returns the oldest task of the connection
    /// that has handed over the most.
    pub(super) fn add(&mut self, mut hand_over: HandOver) -> Option<UnlistedTask> {
        // The task runs, so its description is of no more use.
        hand_over.set_up.description = String::new();
        let waiting = UnlistedTask {
            hand_over,
            released: None,
        };
        self.tasks.insert(waiting.hand_over.task(), waiting);
        if self.tasks.len() <= MAX_UNLISTED_TASKS {
            return None;
        }
        let largest = self.largest_connection()?;
        let hand_overs = self.tasks.values().map(|waiting| &waiting.hand_over);
        let of_largest = hand_overs.filter(|hand_over| hand_over.from == largest);
        let oldest = of_largest.min_by_key(|hand_over| hand_over.sent_at)?;
        let task = oldest.task();
        self.tasks.remove(&task)
    }

    fn largest_connection(&self) -> Option<ClientId> {
        let mut counts: BTreeMap<ClientId, usize> = BTreeMap::new();
        for waiting in self.tasks.values() {
            *counts.entry(waiting.hand_over.from).or_default() += 1;
        }
        let largest = counts.into_iter().max_by_key(|(_, count)| *count);
        largest.map(|(from, _)| from)
    }

    /// Records that a task's client has released it. Returns false if the task does not wait.
    pub(super) fn release(&mut self, task: u64, cause: u8) -> bool {
        let waiting = self.tasks.get_mut(&task);
        waiting.is_some_and(|waiting| {
            waiting.released = Some(cause);
            true
        })
    }

    /// Removes and returns a task.
    pub(super) fn take(&mut self, task: u64) -> Option<UnlistedTask> {
        self.tasks.remove(&task)
    }

    /// Removes and returns the tasks whose node fits.
    pub(super) fn take_of_nodes(&mut self, fits: impl Fn(&str) -> bool) -> Vec<UnlistedTask> {
        let taken = self
            .tasks
            .extract_if(.., |_, waiting| fits(&waiting.hand_over.node_name));
        taken.map(|(_, task)| task).collect()
    }

    /// Removes and returns the tasks whose node the list has not named in time.
    pub(super) fn take_expired(&mut self, now: Ticks) -> Vec<UnlistedTask> {
        let taken = self.tasks.extract_if(.., |_, waiting| {
            waiting.hand_over.sent_at + UNLISTED_NODE_TIMEOUT <= now
        });
        taken.map(|(_, task)| task).collect()
    }

    /// Returns the number of waiting tasks.
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }
}
