//! Decides what follows from the outcome of an attempt and updates the health of its machine.

use super::*;

impl Scheduler {
    /// Records the outcome of the attempt with this index and returns what to do next.
    pub fn on_outcome(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        attempt: usize,
        outcome: Outcome,
    ) -> NextStep {
        let Some(machine) = allocation
            .attempts
            .get(attempt)
            .map(|attempt| attempt.machine)
        else {
            return NextStep::Done;
        };
        match outcome {
            Outcome::Placed => {
                self.record_placed(now, allocation, attempt, machine);
                NextStep::Done
            }
            Outcome::Returned {
                result,
                reason,
                finished,
                report,
            } => {
                let placed = self.placed_allocation(allocation.id);
                let was_placed = placed.is_some_and(|placed| placed.placed);
                self.remove_placed(now, allocation.id, result == AttemptResult::Completed);
                self.record_report(now, machine, report);
                match result {
                    AttemptResult::Rejected => {
                        self.record_rejection(now, allocation, machine, reason)
                    }
                    // The machine evicted, preempted or migrated it, which is not a fault: treated
                    // as cancelled.
                    AttemptResult::Reset if was_placed && reason.is_some() => self
                        .record_attempt_result(
                            now,
                            allocation,
                            machine,
                            AttemptResult::Cancelled,
                            true,
                        ),
                    _ => self.record_attempt_result(now, allocation, machine, result, was_placed),
                }
                if finished {
                    NextStep::Done
                } else if shows_end_after_placement(result, reason) {
                    // The allocation is over, and must not be sent again.
                    NextStep::Indeterminate
                } else {
                    NextStep::Retry
                }
            }
        }
    }

    /// Decides whether an allocation is over, since the machine of an attempt that has already returned
    /// reports its end there, even if another machine has placed it meanwhile: it is one allocation to its
    /// client. A machine also reports as cancelled what it was asked to cancel.
    pub fn is_over_after_late_end(&self, allocation: &Allocation, end: LateEnd) -> bool {
        let mut attempts = allocation.attempts.iter();
        let was_tried = attempts.any(|attempt| attempt.machine == end.machine);
        let was_reset = end.was_placed && end.result == AttemptResult::Reset;
        was_tried
            && end.result != AttemptResult::Cancelled
            && (was_reset || shows_end_after_placement(end.result, end.reason))
    }

    /// Records that the machine has placed the allocation.
    fn record_placed(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        attempt: usize,
        machine: MachineId,
    ) {
        let target = self.machines.entry(machine).or_default();
        target.consecutive_timeouts = 0;
        target.reachability = Reachability::heard_at(now);
        // Since another machine has placed the allocation, earlier errors were faults of their
        // machines and not of the allocation.
        for earlier in &allocation.attempts[..attempt] {
            let target = self.machines.entry(earlier.machine).or_default();
            let confirmed = target.unconfirmed_error.take_if(|id| *id == allocation.id);
            if confirmed.is_some() {
                target.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS);
                self.capacity_index.mark_changed(earlier.machine, true);
            }
        }
        if let Some(placed) = self.placed_allocation(allocation.id) {
            placed.placed = true;
            let answer_time = (now - placed.sent_at) as f64;
            self.learned.answer_time.add(answer_time, MEAN_RETENTION);
        }
        if self.cluster.placed_means_running {
            self.record_metric(now, allocation.id, Metric::Running);
        }
    }

    /// Records that the machine rejected the allocation. A lack of capacity lasts until allocations
    /// end; a full attempt queue empties sooner.
    fn record_rejection(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        machine: MachineId,
        reason: Option<ReturnReason>,
    ) {
        // The new rejection may end before the one that it replaces.
        self.capacity_index.mark_changed(machine, true);
        let target = self.machines.entry(machine).or_default();
        target.consecutive_timeouts = 0;
        target.reachability = Reachability::heard_at(now);
        let (duration, requested) = match reason {
            Some(ReturnReason::NoCores | ReturnReason::NoMemory) => {
                (CAPACITY_TURNOVER, allocation.requested)
            }
            Some(ReturnReason::QueueFull) => (CAPACITY_TURNOVER / 10, Resources::default()),
            _ => (CAPACITY_TURNOVER, Resources::default()),
        };
        let until = now + duration;
        target.rejection = Some(Rejection { until, requested });
    }

    /// Records how an attempt ended, and a fault of the machine if the result shows one.
    fn record_attempt_result(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        machine: MachineId,
        result: AttemptResult,
        was_placed: bool,
    ) {
        // The new ejection may end before the one that it replaces.
        self.capacity_index.mark_changed(machine, true);
        let target = self.machines.entry(machine).or_default();
        if matches!(result, AttemptResult::Completed | AttemptResult::Error) {
            target.reachability = Reachability::heard_at(now);
        }
        match result {
            // Possibly no machine can run this allocation; counting each error as a fault would let
            // a few bad requests eject every machine.
            AttemptResult::Error => target.unconfirmed_error = Some(allocation.id),
            // A single reset doesn't indicate a faulty machine; two in a row may.
            AttemptResult::Reset if !was_placed && target.consecutive_timeouts == 0 => {
                target.consecutive_timeouts = 1
            }
            // The machine doesn't answer attempts, whether it has failed, is unreachable or is
            // stalled.
            AttemptResult::TimedOut | AttemptResult::ConnectFailed | AttemptResult::Reset => {
                target.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS)
            }
            AttemptResult::Rejected
            | AttemptResult::Completed
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => {}
        }
    }
}

/// Returns whether a result can only follow a placement: the machine has placed the allocation and ended
/// it, even if its answer was lost.
fn shows_end_after_placement(result: AttemptResult, reason: Option<ReturnReason>) -> bool {
    match result {
        AttemptResult::Completed | AttemptResult::Cancelled => true,
        AttemptResult::Reset => matches!(
            reason,
            Some(ReturnReason::Evicted | ReturnReason::Preempted | ReturnReason::Migrated)
        ),
        AttemptResult::Error
        | AttemptResult::Rejected
        | AttemptResult::TimedOut
        | AttemptResult::ConnectFailed
        | AttemptResult::NotSent => false,
    }
}
