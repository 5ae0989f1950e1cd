//! What follows from the outcome of a shot.

use super::*;

impl Scheduler {
    /// What to do after this outcome of the allocation's last shot.
    pub fn after(
        &mut self,
        now: Tenths,
        allocation: &Allocation,
        shot: usize,
        outcome: Outcome,
    ) -> After {
        let Some(machine) = allocation.shots.get(shot).map(|shot| shot.machine) else {
            return After::Rest;
        };
        match outcome {
            Outcome::Placed => {
                self.note_placed(now, allocation, shot, machine);
                After::Rest
            }
            Outcome::Returned {
                ending,
                reason,
                over,
                report,
            } => {
                let was_placed = self.guest(allocation.id).is_some_and(|guest| guest.placed);
                self.leave(now, allocation.id, ending == Ending::Ended);
                self.reported(now, machine, report);
                self.note_ending(now, allocation, machine, (ending, reason), was_placed);
                if over { After::Rest } else { After::PlaceAgain }
            }
        }
    }

    fn note_placed(
        &mut self,
        now: Tenths,
        allocation: &Allocation,
        shot: usize,
        machine: MachineId,
    ) {
        let at = self.machines.entry(machine).or_default();
        (at.silent, at.heard) = (0, now);
        // Only now is it known that the errors before were their machines' and not the
        // allocation's.
        for earlier in &allocation.shots[..shot] {
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
        if self.cluster.placed_runs {
            self.noted(now, allocation.id, Note::Runs);
        }
    }

    /// What an ending tells of its machine.
    fn note_ending(
        &mut self,
        now: Tenths,
        allocation: &Allocation,
        machine: MachineId,
        (ending, reason): (Ending, Option<Reason>),
        was_placed: bool,
    ) {
        let at = self.machines.entry(machine).or_default();
        // A refusal or a fault may put a shorter wait in the place of a longer one.
        self.rooms.touch(machine, true);
        if matches!(ending, Ending::Ended | Ending::Refused | Ending::Error) {
            at.heard = now;
        }
        match ending {
            Ending::Ended | Ending::Cancelled | Ending::NotSent => {}
            Ending::Refused => {
                at.silent = 0;
                at.full = Some(refused(now, allocation.asks, reason));
            }
            Ending::Reset if was_placed && reason.is_some() => {}
            // A machine that answers is alive. What it can't use no other can either: shunned for
            // that, all would soon be shut by a few bad asks.
            Ending::Error => at.doubted = Some(allocation.id),
            // One answer that breaks on its way tells nothing of the machine; two in a row may.
            Ending::Reset if !was_placed && at.silent == 0 => at.silent = 1,
            // A machine that leaves shots unanswered, whatever the cause: dead, cut off, standing
            // still.
            Ending::TimedOut | Ending::Unconnected | Ending::Reset => at.fault(now, UNWELL),
        }
    }
}

/// Until when an ask of at least so much is not offered again after a refusal. Room comes back only
/// as allocations end; a line of offers is short again soon.
fn refused(now: Tenths, asks: Amount, reason: Option<Reason>) -> (Tenths, Amount) {
    match reason {
        Some(Reason::NoCores | Reason::NoMemory) => (now + TURNOVER, asks),
        Some(Reason::QueueFull) => (now + TURNOVER / 10, Amount::default()),
        _ => (now + TURNOVER, Amount::default()),
    }
}
