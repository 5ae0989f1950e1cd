//! The steps of a push: it is received, taken and admitted.

use super::state::Subscriber;
use super::types::{
    AddressedReply, NextPush, PushAdmission, PushReply, RejectionReason, VersionPush,
};
use corkspan_scheduler::interface::Ticks;

/// Minimum time between two versions that take effect (50 ms), so that only the newest of many
/// pushes is validated.
const MIN_APPLY_INTERVAL: Ticks = 500;

impl Subscriber {
    /// Receives a push. If one is waiting already, the one with the higher version number is kept,
    /// or the later one if the numbers are equal. Returns the reply to the other, which is
    /// superseded.
    #[must_use]
    pub fn receive(&mut self, push: VersionPush) -> Option<AddressedReply> {
        let superseded = |older: &VersionPush, newer: &VersionPush| AddressedReply {
            nonce: older.nonce,
            reply: PushReply::Superseded(newer.nonce),
        };
        match &self.waiting {
            Some(waiting) if push.version.number < waiting.version.number => {
                Some(superseded(&push, waiting))
            }
            waiting => {
                let reply = waiting.as_ref().map(|waiting| superseded(waiting, &push));
                self.waiting = Some(push);
                reply
            }
        }
    }

    /// Drops the waiting push, which belonged to the stream that broke.
    pub fn stream_closed(&mut self) {
        self.waiting = None;
    }

    /// Returns when the waiting push may be taken.
    #[must_use]
    pub fn next_push(&self, now: Ticks) -> NextPush {
        let earliest = self.applied_at.map(|at| at + MIN_APPLY_INTERVAL);
        match (&self.waiting, earliest) {
            (None, _) => NextPush::None,
            (Some(_), Some(earliest)) if now < earliest => NextPush::After(earliest - now),
            _ => NextPush::Now,
        }
    }

    /// Takes the waiting push.
    #[must_use]
    pub fn take_push(&mut self) -> Option<VersionPush> {
        self.waiting.take()
    }

    /// Decides whether the content of a push is to be validated or can be replied to at once.
    #[must_use]
    pub fn admit(&self, push: &VersionPush) -> PushAdmission {
        let active = self.active_version();
        if push.version == active {
            return PushAdmission::Reply(PushReply::Unchanged);
        }
        if let Some(reason) = self.order_violation(push) {
            return PushAdmission::Reply(reason.into());
        }
        let content = match push.base {
            None => push.changes.clone(),
            Some(base) if base == active => {
                let active = self.active_texts();
                active.with_changes(&push.changes, &push.removed)
            }
            Some(_) => return PushAdmission::Reply(PushReply::FullRequired),
        };
        let (actual, stated) = (content.digest(), push.version.digest);
        if actual != stated {
            let reason = RejectionReason::DigestMismatch { actual, stated };
            return PushAdmission::Reply(reason.into());
        }
        PushAdmission::Validate(content)
    }

    /// Returns why the pushed version must not replace the active one, if there is a reason.
    fn order_violation(&self, push: &VersionPush) -> Option<RejectionReason> {
        let (active, version) = (self.active_version(), push.version);
        if self.persisted.rolled_back.contains(&version) {
            return Some(RejectionReason::RolledBack(version));
        }
        if version.number == active.number {
            return Some(RejectionReason::SameNumber { active });
        }
        if version.number < active.number {
            return Some(RejectionReason::Stale { active });
        }
        // A service that was cut off from the others may have continued the numbers from an older
        // state.
        let follows = active.number == 0 || push.predecessors.contains(&active);
        (!follows).then_some(RejectionReason::OtherLineage { active })
    }
}
