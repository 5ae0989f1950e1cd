//! Where an allocation goes, and what follows from the outcome of an attempt.

use crate::queues::RunQueue;
use crate::{Effects, Engine, RetryBatch, ReturnedAttempt};
use corkspan_scheduler::interface::*;

/// Unwanted entries of the run queue are dropped when it holds more than twice as many as there are
/// allocations, and this many more.
const RUN_QUEUE_SLACK: usize = 64;

impl<T> Engine<T> {
    /// Places an allocation: at once, or on demand when its turn comes.
    pub fn place(&mut self, now: Ticks, id: AllocationId, effects: &mut impl Effects<T>) {
        if self.batch != RetryBatch::ON_DEMAND {
            return self.evaluate(now, id, effects);
        }
        let Some(tracked) = self.tracked.get(&id) else {
            return;
        };
        self.run_queue.push_fresh(tracked.allocation.deadline, id);
        // Those that clients gave up must not pile up behind those that are wanted.
        if self.run_queue.fresh_len() > 2 * self.tracked.len() + RUN_QUEUE_SLACK {
            let tracked = &self.tracked;
            self.run_queue.retain_fresh(|id| tracked.contains_key(id));
        }
    }

    /// The next allocation to be evaluated on demand, for [`Engine::evaluate`].
    pub fn next_queued(&mut self) -> Option<AllocationId> {
        while let Some(id) = self.run_queue.pop() {
            if self.tracked.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Whether one waits to be evaluated on demand.
    pub fn has_queued(&self) -> bool {
        !self.run_queue.is_empty()
    }

    /// Asks the scheduler where an allocation goes, also again for a deferred one.
    pub fn evaluate(&mut self, now: Ticks, id: AllocationId, effects: &mut impl Effects<T>) {
        let tracked = self.tracked.get_mut(&id);
        let Some(tracked) = tracked.filter(|tracked| !tracked.finished) else {
            return;
        };
        if !std::mem::replace(&mut tracked.evaluated, true) {
            // The scheduler learns of its request once, when it first sees it.
            tracked.allocation.accepted_at = now;
        }
        match self.scheduler.place(now, &tracked.allocation) {
            Placement::Dispatch { machine, timeout } => {
                effects.dispatch(&mut tracked.data, &tracked.allocation, machine, timeout);
                tracked.allocation.attempts.push(Attempt {
                    machine,
                    sent_at: now,
                    state: AttemptState::Pending,
                });
                tracked.pending_attempts += 1;
            }
            Placement::Deferred => {
                let deadline = tracked.allocation.deadline;
                self.deferred_by_deadline.insert((deadline, id));
                self.deferred.push(id);
            }
            Placement::Shed => self.shed(id, effects),
            Placement::Indeterminate => self.indeterminate(id, effects),
        }
    }

    /// Its last attempt has left only now, later than it was dispatched: a connection had to come up
    /// first.
    pub fn attempt_sent(&mut self, now: Ticks, id: AllocationId) {
        let tracked = self.tracked.get(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.allocation.attempts.last()) {
            self.scheduler
                .record_attempt_sent(now, attempt.machine, attempt.sent_at);
        }
    }

    /// An attempt is placed. False where the answer is of no use: the allocation is over, or has
    /// been answered.
    pub fn attempt_placed(
        &mut self,
        now: Ticks,
        id: AllocationId,
        attempt: usize,
        effects: &mut impl Effects<T>,
    ) -> bool {
        let Some(tracked) = self.tracked.get_mut(&id) else {
            return false;
        };
        let first = tracked.awaits_answer();
        tracked.placed = true;
        self.outcome(now, id, attempt, Outcome::Placed, effects);
        first
    }

    /// An attempt has ended. False where there is no such attempt.
    pub fn attempt_returned(
        &mut self,
        now: Ticks,
        id: AllocationId,
        attempt: usize,
        returned: ReturnedAttempt,
        effects: &mut impl Effects<T>,
    ) -> bool {
        let Some(tracked) = self.tracked.get_mut(&id) else {
            return true;
        };
        let Some(ended) = tracked.allocation.attempts.get_mut(attempt) else {
            return false;
        };
        ended.state = match returned.ending {
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent => {
                AttemptState::NotExecuted
            }
            _ => AttemptState::PossiblyExecuted,
        };
        tracked.pending_attempts = tracked.pending_attempts.saturating_sub(1);
        let finished = returned.finished || tracked.finished;
        let outcome = Outcome::Returned {
            ending: returned.ending,
            reason: returned.reason,
            finished,
            report: returned.report,
        };
        self.outcome(now, id, attempt, outcome, effects);
        if finished {
            self.finish(id);
        }
        true
    }

    /// The caller stops: each allocation that is owed an answer gets one as soon as its pending
    /// attempt, if any, has returned.
    pub fn stop(&mut self, now: Ticks, effects: &mut impl Effects<T>) {
        let mut waiting = Vec::new();
        let tracked = self.tracked.iter_mut();
        for (&id, tracked) in tracked.filter(|(_, one)| one.awaits_answer()) {
            let allocation = &mut tracked.allocation;
            allocation.deadline = allocation.deadline.min(now);
            if tracked.pending_attempts == 0 {
                waiting.push(id);
            }
        }
        for id in waiting {
            self.evaluate(now, id, effects);
        }
        self.deferred.clear();
        self.deferred_by_deadline.clear();
        self.retries.clear();
        self.run_queue = RunQueue::default();
    }

    fn outcome(
        &mut self,
        now: Ticks,
        id: AllocationId,
        attempt: usize,
        outcome: Outcome,
        effects: &mut impl Effects<T>,
    ) {
        let Some(tracked) = self.tracked.get(&id) else {
            return;
        };
        let allocation = &tracked.allocation;
        match self.scheduler.on_outcome(now, allocation, attempt, outcome) {
            NextStep::Done => {}
            NextStep::Retry => self.place(now, id, effects),
            NextStep::Shed => self.shed(id, effects),
            NextStep::Indeterminate => self.indeterminate(id, effects),
        }
    }

    fn shed(&mut self, id: AllocationId, effects: &mut impl Effects<T>) {
        if let Some(tracked) = self.tracked.get_mut(&id) {
            effects.shed(&mut tracked.data, &tracked.allocation);
        }
        self.finish(id);
    }

    fn indeterminate(&mut self, id: AllocationId, effects: &mut impl Effects<T>) {
        if let Some(tracked) = self.tracked.get_mut(&id) {
            effects.indeterminate(&mut tracked.data, &tracked.allocation);
        }
        self.finish(id);
    }
}
