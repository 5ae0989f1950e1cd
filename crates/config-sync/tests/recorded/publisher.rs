//! The pushes of a control service, and the delays before a broken stream is reconnected.

use crate::dispatcher::*;
use crate::transcript::*;
use corkspan_config_sync::{PersistedVersions, Publisher, PushReply, ReconnectBackoff};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// A control service with three subscribers, over streams that lose and delay messages and break.
#[test]
fn publisher_over_seeded_sequences() {
    let mut out = String::new();
    for seed in 1..=3 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut publisher = Publisher::default();
        let mut dispatchers: Vec<Dispatcher> = (0..3)
            .map(|_| Dispatcher::start(PersistedVersions::default(), 0, &mut out))
            .collect();
        let mut old_nonce = 0;
        writeln!(out, "seed {seed}").unwrap();
        for step in 0..100 {
            let index = rng.random_range(0..3_u32);
            let dispatcher = &mut dispatchers[index as usize];
            dispatcher.advance(SECOND, 10, 0);
            match rng.random_range(0..10) {
                0..4 => {
                    let version = publisher.publish(parts(rng.random_range(0..50)), step % 7 == 0);
                    writeln!(out, "publish {}", id_text(version)).unwrap();
                }
                4 | 5 => {
                    let active = dispatcher.subscriber.active_version();
                    publisher.subscriber_connected(index, active);
                    writeln!(out, "{index} opens with {}", id_text(active)).unwrap();
                }
                6 => {
                    let active = dispatcher.subscriber.active_version();
                    let status =
                        publisher.receive_reply(index, old_nonce, &PushReply::Unchanged, active);
                    writeln!(
                        out,
                        "{index} answers nonce {old_nonce}: {}",
                        reply_status_text(status)
                    )
                    .unwrap();
                }
                _ => {
                    let Some(push) = publisher.push_for(index) else {
                        writeln!(out, "{index} is sent nothing").unwrap();
                        continue;
                    };
                    write!(out, "{index} ").unwrap();
                    let mut reply = dispatcher.evaluate(&push, &mut out);
                    if rng.random_range(0..4) == 0 {
                        reply = match rng.random_range(0..3) {
                            0 => PushReply::FullRequired,
                            1 => PushReply::Rejected(vec!["unsound".into(), "twice".into()]),
                            _ => PushReply::Superseded(push.nonce + 1),
                        };
                    }
                    old_nonce = push.nonce;
                    let active = dispatcher.subscriber.active_version();
                    let status = publisher.receive_reply(index, push.nonce, &reply, active);
                    writeln!(
                        out,
                        "{index} answers {}: {}",
                        reply_text(&reply),
                        reply_status_text(status)
                    )
                    .unwrap();
                }
            }
            for index in 0..3 {
                let active = optional(publisher.active_version(index).as_ref(), |id| id_text(*id));
                let rejected = optional(publisher.last_rejection(index), |rejection| {
                    let reasons = rejection.reasons.join(" / ");
                    format!("{} for {reasons}", id_text(rejection.version))
                });
                writeln!(out, "  {index} runs {active}, rejected {rejected}").unwrap();
            }
        }
        let newest = optional(publisher.newest().as_ref(), |id| id_text(*id));
        writeln!(out, "newest {newest}").unwrap();
    }
    compare("publisher.txt", &out);
}

#[test]
fn retry_delays() {
    let mut out = String::new();
    for seed in [0, 1, 7, u64::MAX] {
        let mut backoff = ReconnectBackoff::new(seed);
        let after_failures: Vec<u64> = (0..12).map(|_| backoff.next_delay(0)).collect();
        let after_streams = [99_999, 100_000, 0, 1_000_000, 5].map(|time| backoff.next_delay(time));
        writeln!(
            out,
            "seed {seed}: {after_failures:?}, after streams that lasted: {after_streams:?}"
        )
        .unwrap();
    }
    compare("retry.txt", &out);
}
