//! Polls the scheduler after each event, and keeps the one timer.

use crate::{Effects, Engine, RetryBatch};
use corkspan_scheduler::interface::{PollResult, Ticks};

impl<T> Engine<T> {
    /// Handles a timer set by [`Effects::set_timer`]. Timers set earlier may still be pending.
    pub fn timer_fired(&mut self, now: Ticks) {
        if self.timer_at.is_some_and(|at| at <= now) {
            self.timer_at = None;
        }
    }

    /// Carries out what is due and sets the timer for the next call. To be called after each event.
    pub fn poll(&mut self, now: Ticks, effects: &mut impl Effects<T>) {
        loop {
            let result = self.scheduler.poll(now);
            self.apply_poll_result(&result, effects);
            if let Some(until) = result.retry_deadline_limit {
                self.evaluate_due(now, until, effects);
                if result.retry_deferred {
                    continue;
                }
            } else if result.retry_deferred {
                self.deferred_by_deadline.clear();
                self.queue_retries(now);
            }
            if let Some(id) = self.run_queue.pop_overdue(now) {
                self.evaluate(now, id, effects);
                continue;
            }
            if !self.retries.is_empty() && now >= self.next_batch_at {
                self.evaluate_batch(now, effects);
                continue;
            }
            return self.set_timer(now, result.next_poll, effects);
        }
    }

    fn apply_poll_result(&mut self, result: &PollResult, effects: &mut impl Effects<T>) {
        if result.watch_endpoints {
            effects.watch_endpoints();
        }
        for &machine in &result.health_checks {
            effects.check_health(machine);
        }
        for &machine in &result.connection_checks {
            effects.check_connection(machine);
        }
        for id in &result.migrations {
            if let Some(tracked) = self.tracked.get_mut(id) {
                effects.migrate(&mut tracked.data, &tracked.allocation);
            }
        }
        for id in &result.lost {
            if let Some(tracked) = self.tracked.get_mut(id) {
                effects.lost(&mut tracked.data, &tracked.allocation);
            }
        }
    }

    /// Evaluates the deferred allocations whose deadline is at `until` or before.
    fn evaluate_due(&mut self, now: Ticks, until: Ticks, effects: &mut impl Effects<T>) {
        let due = |(deadline, _): &&(Ticks, _)| *deadline <= until;
        while let Some(&(_, id)) = self.deferred_by_deadline.first().filter(due) {
            self.deferred_by_deadline.pop_first();
            self.evaluate(now, id, effects);
        }
        if self.deferred_by_deadline.is_empty() {
            self.scheduler.no_deferred_left();
        }
    }

    /// Queues all deferred allocations to be evaluated again, on demand or in batches.
    fn queue_retries(&mut self, now: Ticks) {
        if self.batch != RetryBatch::ON_DEMAND {
            return self.retries.extend(self.deferred.drain(..));
        }
        for id in self.deferred.drain(..) {
            let tracked = self.tracked.get(&id);
            let (source, deadline) = tracked.map_or((0, now), |tracked| {
                (tracked.source, tracked.allocation.deadline)
            });
            self.run_queue.push_deferred(source, deadline, id);
        }
    }

    fn evaluate_batch(&mut self, now: Ticks, effects: &mut impl Effects<T>) {
        let size = self.retries.len().min(self.batch.max_size);
        let batch: Vec<_> = self.retries.drain(..size).collect();
        for id in batch {
            self.evaluate(now, id, effects);
        }
        self.next_batch_at = now + self.batch.interval;
    }

    /// Sets the timer, unless a pending one fires no later.
    fn set_timer(&mut self, now: Ticks, max_delay: Ticks, effects: &mut impl Effects<T>) {
        let batch_at = (!self.retries.is_empty()).then_some(self.next_batch_at);
        let queue_times = [batch_at, self.run_queue.first_deadline()];
        let after = match queue_times.into_iter().flatten().min() {
            Some(at) => max_delay.min(at.saturating_sub(now)).max(1),
            None => max_delay.max(1),
        };
        if self.timer_at.is_none_or(|at| at > now + after) {
            effects.set_timer(after);
            self.timer_at = Some(now + after);
        }
    }
}
