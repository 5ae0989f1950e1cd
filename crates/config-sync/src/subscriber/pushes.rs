//! Steps with a push: received, chosen, admitted.

use super::state::Subscriber;
use super::types::{NextPush, PushAdmission, PushReply, VersionPush};
use corkspan_scheduler::interface::Ticks;

/// Between two versions that take effect: a flood of them is passed over for the newest.
const MIN_APPLY_INTERVAL: Ticks = 500;
impl Subscriber {
    /// A push has come. The answer to the one that it passes over, by nonce.
    pub fn receive(&mut self, push: VersionPush) -> Option<(u64, PushReply)> {
        let newer = self
            .waiting
            .as_ref()
            .is_none_or(|waits| push.version.number >= waits.version.number);
        if newer {
            let nonce = push.nonce;
            self.waiting
                .replace(push)
                .map(|passed| (passed.nonce, PushReply::Superseded(nonce)))
        } else {
            self.waiting
                .as_ref()
                .map(|waits| (push.nonce, PushReply::Superseded(waits.nonce)))
        }
    }

    /// What waits belongs to a stream that broke.
    pub fn stream_closed(&mut self) {
        self.waiting = None;
    }

    pub fn next_push(&self, now: Ticks) -> NextPush {
        match (&self.waiting, self.applied_at) {
            (None, _) => NextPush::None,
            (Some(_), Some(at)) if now < at + MIN_APPLY_INTERVAL => {
                NextPush::After(at + MIN_APPLY_INTERVAL - now)
            }
            _ => NextPush::Now,
        }
    }

    /// Takes the push that waits.
    pub fn take_push(&mut self) -> Option<VersionPush> {
        self.waiting.take()
    }

    /// Whether it is worth reading, by its stamp alone.
    pub fn admit(&self, push: &VersionPush) -> PushAdmission {
        let (running, texts) = self.active_version();
        let refuse = |why: String| PushAdmission::Reply(PushReply::Rejected(vec![why]));
        let stamp = push.version;
        if stamp == running {
            return PushAdmission::Reply(PushReply::Unchanged);
        }
        if self.persisted.rolled_back.contains(&stamp) {
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
        if running.number > 0 && !push.predecessors.contains(&running) {
            return refuse(format!(
                "split: it does not follow {running}, which runs here"
            ));
        }
        let whole = match push.base {
            None => push.changes.clone(),
            Some(base) if base == running => texts.changed(&push.changes, &push.removed),
            Some(_) => return PushAdmission::Reply(PushReply::FullRequired),
        };
        if whole.digest() != stamp.digest {
            return refuse(format!(
                "what it says has the digest {:?}, not {:?}",
                whole.digest(),
                stamp.digest
            ));
        }
        PushAdmission::Validate(whole)
    }
}
