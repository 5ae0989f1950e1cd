//! What follows from the outcome of a shot.

use super::*;

impl Scheduler {
    /// What to do after this outcome of the allocation's last shot.
    pub fn on_outcome(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        shot: usize,
        outcome: Outcome,
    ) -> NextStep {
        let Some(machine) = allocation.attempts.get(shot).map(|shot| shot.machine) else {
            return NextStep::Done;
        };
        match outcome {
            Outcome::Placed => {
                self.note_placed(now, allocation, shot, machine);
                NextStep::Done
            }
            Outcome::Returned {
                ending,
                reason,
                over,
                report,
            } => {
                let was_placed = self.guest(allocation.id).is_some_and(|guest| guest.placed);
                self.leave(now, allocation.id, ending == AttemptResult::Completed);
                self.reported(now, machine, report);
                self.note_ending(now, allocation, machine, (ending, reason), was_placed);
                if over {
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
        shot: usize,
        machine: MachineId,
    ) {
        let at = self.machines.entry(machine).or_default();
        (at.silent, at.heard) = (0, now);
        // Only now is it known that the errors before were their machines' and not the
        // allocation's.
        for earlier in &allocation.attempts[..shot] {
            let at = self.machines.entry(earlier.machine).or_default();
            if at.doubted.take_if(|of| *of == allocation.id).is_some() {
                at.fault(now, UNWELL);
                self.rooms.touch(earlier.machine, true);
            }
        }
        if let Some(guest) = self.guest(allocation.id) {
            guest.placed = true;
            let time = (now - guest.sent) as f64;
            self.learnt.answer_time.add(time, KEEP);
        }
        if self.cluster.placed_means_running {
            self.record_metric(now, allocation.id, Metric::Running);
        }
    }

    /// What an ending tells of its machine.
    fn note_ending(
        &mut self,
        now: Ticks,
        allocation: &Allocation,
        machine: MachineId,
        (ending, reason): (AttemptResult, Option<ReturnReason>),
        was_placed: bool,
    ) {
        let at = self.machines.entry(machine).or_default();
        // A refusal or a fault may put a shorter wait in the place of a longer one.
        self.rooms.touch(machine, true);
        if matches!(
            ending,
            AttemptResult::Completed | AttemptResult::Rejected | AttemptResult::Error
        ) {
            at.heard = now;
        }
        match ending {
            AttemptResult::Completed | AttemptResult::Cancelled | AttemptResult::NotSent => {}
            AttemptResult::Rejected => {
                at.silent = 0;
                at.full = Some(refused(now, allocation.requested, reason));
            }
            AttemptResult::Reset if was_placed && reason.is_some() => {}
            // A machine that answers is alive. What it can't use no other can either: shunned for
            // that, all would soon be shut by a few bad asks.
            AttemptResult::Error => at.doubted = Some(allocation.id),
            // One answer that breaks on its way tells nothing of the machine; two in a row may.
            AttemptResult::Reset if !was_placed && at.silent == 0 => at.silent = 1,
            // A machine that leaves shots unanswered, whatever the cause: dead, cut off, standing
            // still.
            AttemptResult::TimedOut | AttemptResult::ConnectFailed | AttemptResult::Reset => {
                at.fault(now, UNWELL)
            }
        }
    }
}

/// Until when an ask of at least so much is not offered again after a refusal. Room comes back only
/// as allocations end; a line of offers is short again soon.
fn refused(now: Ticks, asks: Resources, reason: Option<ReturnReason>) -> (Ticks, Resources) {
    match reason {
        Some(ReturnReason::NoCores | ReturnReason::NoMemory) => (now + TURNOVER, asks),
        Some(ReturnReason::QueueFull) => (now + TURNOVER / 10, Resources::default()),
        _ => (now + TURNOVER, Resources::default()),
    }
}
