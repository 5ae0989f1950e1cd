//! Places allocations, and applies the outcomes of their attempts.

use crate::queues::RunQueue;
use crate::{Effects, Engine, RetryBatch, ReturnedAttempt};
use corkspan_scheduler::interface::*;

/// The run queue drops entries of finished allocations when its new entries outnumber twice the
/// tracked allocations by more than this.
const RUN_QUEUE_SLACK: usize = 64;

impl<T> Engine<T> {
    /// Evaluates an allocation at once, or queues it if evaluations are on demand.
    pub fn place(&mut self, now: Ticks, id: AllocationId, effects: &mut impl Effects<T>) {
        if self.batch != RetryBatch::ON_DEMAND {
            return self.evaluate(now, id, effects);
        }
        let Some(tracked) = self.tracked.get(&id) else {
            return;
        };
        let deadline = tracked.allocation.deadline;
        self.run_queue.push_fresh(tracked.source, deadline, id);
        // Entries of allocations that clients have cancelled must not accumulate.
        if self.run_queue.fresh_len() > 2 * self.tracked.len() + RUN_QUEUE_SLACK {
            let tracked = &self.tracked;
            self.run_queue.retain_fresh(|id| tracked.contains_key(id));
        }
    }

    /// Removes and returns the next allocation to evaluate on demand with [`Engine::evaluate`].
    pub fn next_queued(&mut self) -> Option<AllocationId> {
        while let Some(id) = self.run_queue.pop() {
            if self.tracked.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Returns whether an allocation waits to be evaluated on demand.
    pub fn has_queued(&self) -> bool {
        !self.run_queue.is_empty()
    }

    /// Lets the scheduler place an allocation, new, deferred or to be retried, and applies its
    /// decision.
    pub fn evaluate(&mut self, now: Ticks, id: AllocationId, effects: &mut impl Effects<T>) {
        let tracked = self.tracked.get_mut(&id);
        let Some(tracked) = tracked.filter(|tracked| !tracked.finished) else {
            return;
        };
        if !std::mem::replace(&mut tracked.evaluated, true) {
            // For the scheduler, an allocation is accepted when it is first evaluated.
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

    /// Records that the allocation's last attempt was sent only now, after its connection was
    /// established.
    pub fn attempt_sent(&mut self, now: Ticks, id: AllocationId) {
        let tracked = self.tracked.get(&id);
        if let Some(attempt) = tracked.and_then(|tracked| tracked.allocation.attempts.last()) {
            self.scheduler
                .record_attempt_sent(now, attempt.machine, attempt.sent_at);
        }
    }

    /// Records that an attempt was placed. Returns false if no answer is needed: the allocation has
    /// ended, or its client has its answer already.
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
        self.apply_outcome(now, id, attempt, Outcome::Placed, effects);
        first
    }

    /// Records the end of an attempt. Returns false if the allocation is known and has no such
    /// attempt.
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
        ended.state = match returned.result {
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent => {
                AttemptState::NotExecuted
            }
            _ => AttemptState::PossiblyExecuted,
        };
        tracked.pending_attempts = tracked.pending_attempts.saturating_sub(1);
        let finished = returned.finished || tracked.finished;
        let outcome = Outcome::Returned {
            result: returned.result,
            reason: returned.reason,
            finished,
            report: returned.report,
        };
        self.apply_outcome(now, id, attempt, outcome, effects);
        if finished {
            self.finish(id);
        }
        true
    }

    /// Returns whether an allocation that its client waits for or uses is over, since a machine to which
    /// an earlier attempt was sent reports its end only now.
    pub fn is_over_after_late_end(&self, id: AllocationId, end: LateEnd) -> bool {
        let tracked = self.tracked.get(&id);
        let wanted = tracked.filter(|tracked| !tracked.finished);
        wanted.is_some_and(|tracked| {
            self.scheduler
                .is_over_after_late_end(&tracked.allocation, end)
        })
    }

    /// Stops the engine. Each allocation whose client waits for an answer gets one now, or once its
    /// pending attempt has returned.
    pub fn stop(&mut self, now: Ticks, effects: &mut impl Effects<T>) {
        let mut waiting = Vec::new();
        let tracked = self.tracked.iter_mut();
        for (&id, tracked) in tracked.filter(|(_, tracked)| tracked.awaits_answer()) {
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

    fn apply_outcome(
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
