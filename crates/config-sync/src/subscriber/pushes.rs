//! Steps with a push: received, chosen, admitted.

use super::state::Subscriber;
use super::types::{Admitted, Pace, Push, Said};
use corkspan_scheduler::interface::Ticks;

/// Between two versions that take effect: a flood of them is passed over for the newest.
const APART: Ticks = 500;
impl Subscriber {
    /// A push has come. The answer to the one that it passes over, by nonce.
    pub fn heard(&mut self, push: Push) -> Option<(u64, Said)> {
        let newer = self
            .waits
            .as_ref()
            .is_none_or(|waits| push.stamp.number >= waits.stamp.number);
        if newer {
            let nonce = push.nonce;
            self.waits
                .replace(push)
                .map(|passed| (passed.nonce, Said::Superseded(nonce)))
        } else {
            self.waits
                .as_ref()
                .map(|waits| (push.nonce, Said::Superseded(waits.nonce)))
        }
    }

    /// What waits belongs to a stream that broke.
    pub fn broke(&mut self) {
        self.waits = None;
    }

    pub fn pace(&self, now: Ticks) -> Pace {
        match (&self.waits, self.applied_at) {
            (None, _) => Pace::Idle,
            (Some(_), Some(at)) if now < at + APART => Pace::Wait(at + APART - now),
            _ => Pace::Now,
        }
    }

    /// Takes the push that waits.
    pub fn take(&mut self) -> Option<Push> {
        self.waits.take()
    }

    /// Whether it is worth reading, by its stamp alone.
    pub fn admit(&self, push: &Push) -> Admitted {
        let (running, texts) = self.running();
        let refuse = |why: String| Admitted::Answer(Said::Refused(vec![why]));
        let stamp = push.stamp;
        if stamp == running {
            return Admitted::Answer(Said::Running);
        }
        if self.kept.given_up.contains(&stamp) {
            return refuse(format!(
                "version {stamp} was given up here; a next one is needed"
            ));
        }
        if stamp.number == running.number {
            return refuse(format!(
                "stale: {running} runs here, of the same number and another content"
            ));
        }
        if stamp.number < running.number {
            return refuse(format!("stale: {running} runs here"));
        }
        // A service that was cut off from the others may count on from an older state.
        if running.number > 0 && !push.follows.contains(&running) {
            return refuse(format!(
                "split: it does not follow {running}, which runs here"
            ));
        }
        let whole = match push.onto {
            None => push.changes.clone(),
            Some(onto) if onto == running => texts.changed(&push.changes, &push.removed),
            Some(_) => return Admitted::Answer(Said::WantsWhole),
        };
        if whole.digest() != stamp.digest {
            return refuse(format!(
                "what it says has the digest {:?}, not {:?}",
                whole.digest(),
                stamp.digest
            ));
        }
        Admitted::Check(whole)
    }
}
