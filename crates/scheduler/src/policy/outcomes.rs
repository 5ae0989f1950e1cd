//! What follows from the outcome of an attempt.

use super::*;

impl Scheduler {
    /// What to do after this outcome of the attempt of this number.
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
                self.note_placed(now, allocation, attempt, machine);
                NextStep::Done
            }
            Outcome::Returned {
                ending,
                reason,
                finished,
                report,
            } => {
                let placed = self.placed_allocation(allocation.id);
                let was_placed = placed.is_some_and(|placed| placed.placed);
                self.remove_placed(now, allocation.id, ending == AttemptResult::Completed);
                self.record_report(now, machine, report);
                match ending {
                    AttemptResult::Rejected => self.note_refusal(now, allocation, machine, reason),
                    // Evicted or sent away, which is no fault of the machine: as one cancelled.
                    AttemptResult::Reset if was_placed && reason.is_some() => {
                        self.note_ending(now, allocation, machine, AttemptResult::Cancelled, true)
                    }
                    _ => self.note_ending(now, allocation, machine, ending, was_placed),
                }
                if finished {
                    NextStep::Done
                } else {
                    NextStep::Retry
                }
            }
        }
    }

    fn note_placed(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        attempt: usize,
        machine: MachineId,
    ) {
        let at = self.machines.entry(machine).or_default();
        (at.consecutive_timeouts, at.last_heard_at) = (0, now);
        // Only now is it known that earlier errors were their machines' and not the allocation's.
        for earlier in &allocation.attempts[..attempt] {
            let at = self.machines.entry(earlier.machine).or_default();
            let confirmed = at.unconfirmed_error.take_if(|of| *of == allocation.id);
            if confirmed.is_some() {
                at.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS);
                self.capacity_index.mark_changed(earlier.machine, true);
            }
        }
        if let Some(placed) = self.placed_allocation(allocation.id) {
            placed.placed = true;
            let time = (now - placed.sent_at) as f64;
            self.learned.answer_time.add(time, MEAN_RETENTION);
        }
        if self.cluster.placed_means_running {
            self.record_metric(now, allocation.id, Metric::Running);
        }
    }

    /// Capacity comes back only as allocations end; a full queue of attempts is short again soon.
    fn note_refusal(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        machine: MachineId,
        reason: Option<ReturnReason>,
    ) {
        // A new refusal may end before the one that it replaces.
        self.capacity_index.mark_changed(machine, true);
        let at = self.machines.entry(machine).or_default();
        (at.consecutive_timeouts, at.last_heard_at) = (0, now);
        let (time, requested) = match reason {
            Some(ReturnReason::NoCores | ReturnReason::NoMemory) => {
                (CAPACITY_TURNOVER, allocation.requested)
            }
            Some(ReturnReason::QueueFull) => (CAPACITY_TURNOVER / 10, Resources::default()),
            _ => (CAPACITY_TURNOVER, Resources::default()),
        };
        let until = now + time;
        at.refusal = Some(Refusal { until, requested });
    }

    fn note_ending(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        machine: MachineId,
        ending: AttemptResult,
        was_placed: bool,
    ) {
        // A new fault may end before the one that it replaces.
        self.capacity_index.mark_changed(machine, true);
        let at = self.machines.entry(machine).or_default();
        if matches!(ending, AttemptResult::Completed | AttemptResult::Error) {
            at.last_heard_at = now;
        }
        match ending {
            // What this machine can't run no other may: a few bad requests would eject all.
            AttemptResult::Error => at.unconfirmed_error = Some(allocation.id),
            // One broken answer tells nothing of the machine; two in a row may.
            AttemptResult::Reset if !was_placed && at.consecutive_timeouts == 0 => {
                at.consecutive_timeouts = 1
            }
            // It leaves attempts unanswered, whatever the cause: dead, cut off or standing still.
            AttemptResult::TimedOut | AttemptResult::ConnectFailed | AttemptResult::Reset => {
                at.record_fault(now, EJECTION_TIME, MAX_EJECTION_DOUBLINGS)
            }
            AttemptResult::Rejected
            | AttemptResult::Completed
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => {}
        }
    }
}
