//! The dispatcher that these tests drive: a subscriber, its disk, a clock and request counts.

use crate::transcript::*;
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    NextPush, PersistedVersions, PushAdmission, PushReply, RequestCounts, Subscriber, VersionPush,
};
use std::fmt::Write;

pub const SECOND: u64 = 10_000;

/// Returns the shared parts of a version with this content.
pub fn parts(content: u64) -> SharedParts {
    let max_attempts = ("shots".to_string(), format!("(shots {content})"));
    let zones = ("halls".to_string(), format!("(halls a{})", content % 3));
    let slow_start = ("cold".to_string(), format!("(cold {content})"));
    let all = [
        Some(max_attempts),
        Some(zones),
        (content % 2 == 1).then_some(slow_start),
    ];
    all.into_iter().flatten().collect()
}

pub fn version_id(number: u64, content: u64) -> VersionId {
    let digest = parts(content).digest();
    VersionId { number, digest }
}

pub fn full_push(
    nonce: u64,
    version: VersionId,
    content: u64,
    predecessors: &[VersionId],
) -> VersionPush {
    VersionPush {
        nonce,
        version,
        predecessors: predecessors.to_vec(),
        base: None,
        changes: parts(content),
        removed: Vec::new(),
        allows_cuts: false,
    }
}

/// A subscriber with the disk and the request counts that its dispatcher would have.
pub struct Dispatcher {
    pub subscriber: Subscriber,
    pub disk: PersistedVersions,
    pub now: u64,
    pub counts: RequestCounts,
}

impl Dispatcher {
    pub fn start(disk: PersistedVersions, now: u64, out: &mut String) -> Self {
        let (subscriber, changed) = Subscriber::restore(parts(0), disk.clone(), now);
        writeln!(
            out,
            "start at {now}: to disk {}",
            optional(changed.as_ref(), disk_text)
        )
        .unwrap();
        let disk = changed.unwrap_or(disk);
        let counts = RequestCounts::default();
        Dispatcher {
            subscriber,
            disk,
            now,
            counts,
        }
    }

    pub fn receive(&mut self, push: VersionPush, out: &mut String) {
        let text = push_text(&push);
        let reply = self.subscriber.receive(push);
        let reply = optional(reply.as_ref(), |addressed| {
            format!(
                "{} to nonce {}",
                reply_text(&addressed.reply),
                addressed.nonce
            )
        });
        writeln!(out, "receive {text}: {reply}").unwrap();
    }

    /// Admits a push and starts its trial if its content is to be validated.
    pub fn evaluate(&mut self, push: &VersionPush, out: &mut String) -> PushReply {
        let admitted = self.subscriber.admit(push);
        writeln!(
            out,
            "admit {}: {}",
            push_text(push),
            admission_text(&admitted)
        )
        .unwrap();
        match admitted {
            PushAdmission::Reply(reply) => reply,
            PushAdmission::Validate(whole) => {
                self.disk =
                    self.subscriber
                        .prepare_trial(self.now, self.counts, push.version, whole);
                self.subscriber
                    .start_trial(self.now, self.disk.clone(), self.counts);
                self.state(out);
                PushReply::Applied
            }
        }
    }

    pub fn observe(&mut self, out: &mut String) {
        let outcome = self.subscriber.evaluate_trial(self.now, self.counts);
        let text = optional(outcome.as_ref(), |outcome| {
            format!(
                "{}; {}",
                disk_text(&outcome.persisted),
                optional(outcome.rollback_reason.as_ref(), |why| format!(
                    "given up: {why}"
                ))
            )
        });
        let RequestCounts { requests, rejected } = self.counts;
        writeln!(
            out,
            "observe at {} after {requests} requests, {rejected} rejected: {text}",
            self.now
        )
        .unwrap();
        if let Some(outcome) = outcome {
            let disk = outcome.persisted;
            self.disk = disk.clone();
            self.subscriber.finish_trial(self.now, disk, self.counts);
            self.state(out);
        }
    }

    pub fn next_push(&self, out: &mut String) {
        let next = match self.subscriber.next_push(self.now) {
            NextPush::None => "idle".to_string(),
            NextPush::After(time) => format!("in {time}"),
            NextPush::Now => "now".to_string(),
        };
        writeln!(out, "next push at {}: {next}", self.now).unwrap();
    }

    pub fn state(&self, out: &mut String) {
        let active = self.subscriber.active_version();
        let texts = self.subscriber.active_texts();
        assert_eq!(self.subscriber.persisted(), &self.disk);
        let trial = if self.subscriber.on_trial() {
            "on trial"
        } else {
            "confirmed"
        };
        let disk = disk_text(&self.disk);
        writeln!(
            out,
            "  runs {} {} {trial}; disk {disk}",
            id_text(active),
            parts_text(texts)
        )
        .unwrap();
    }

    pub fn advance(&mut self, time: u64, new_requests: u64, new_rejections: u64) {
        self.now += time;
        self.counts.requests += new_requests;
        self.counts.rejected += new_rejections;
    }
}
