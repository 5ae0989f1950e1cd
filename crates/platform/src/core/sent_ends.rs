//! Remembers the ends of running tasks that were sent on a client's connection.
//!
//! A message that the system has taken may still be lost: when the connection breaks, nothing tells
//! whether its client has read it. The ends that were sent shortly before are therefore sent again on
//! other connections.

use super::client_connections::CloseReason;
use super::limits::{END_REPORT_LIMIT, MAX_SENT_ENDS, ORDERLY_CLOSE_DOUBT};
use super::pending_task::task_key;
use crate::task_end::TaskEnd;
use corkspan_scheduler::interface::Ticks;
use std::collections::VecDeque;
use tracing::debug;

struct SentEnd {
    sent_at: Ticks,
    end: TaskEnd,
}

/// The ends that were sent on a connection and not acknowledged, from the oldest to the newest.
#[derive(Default)]
pub(super) struct SentEnds {
    ends: VecDeque<SentEnd>,
}

impl SentEnds {
    /// Records an end. Drops the oldest one if there are [`MAX_SENT_ENDS`].
    pub(super) fn record(&mut self, now: Ticks, end: TaskEnd) {
        self.expire(now);
        if self.ends.len() >= MAX_SENT_ENDS {
            let oldest = self.ends.pop_front();
            let task = oldest.map(|oldest| task_key(oldest.end.task));
            debug!(task, "forgetting an end that was sent: there are too many");
        }
        self.ends.push_back(SentEnd { sent_at: now, end });
    }

    /// Removes the end of a task, which its client has acknowledged. Returns false if there is none.
    pub(super) fn acknowledge(&mut self, task: u64) -> bool {
        let before = self.ends.len();
        self.ends.retain(|sent| sent.end.task != task);
        self.ends.len() < before
    }

    /// Drops the ends that are not in doubt any more, however the connection ends.
    pub(super) fn expire(&mut self, now: Ticks) {
        while self
            .ends
            .front()
            .is_some_and(|oldest| oldest.sent_at + END_REPORT_LIMIT <= now)
        {
            self.ends.pop_front();
        }
    }

    /// Returns the ends that may not have reached the client when its connection ends.
    pub(super) fn in_doubt(self, now: Ticks, reason: CloseReason) -> Vec<TaskEnd> {
        let doubt = match reason {
            CloseReason::ClosedByClient => ORDERLY_CLOSE_DOUBT,
            _ => END_REPORT_LIMIT,
        };
        let ends = self.ends.into_iter();
        ends.filter(|sent| sent.sent_at + doubt > now)
            .map(|sent| sent.end)
            .collect()
    }

    /// Returns the number of recorded ends.
    pub(super) fn len(&self) -> usize {
        self.ends.len()
    }
}
