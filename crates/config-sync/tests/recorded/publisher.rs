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
        let mut peers: Vec<Dispatcher> = (0..3)
            .map(|_| Dispatcher::start(PersistedVersions::default(), 0, &mut out))
            .collect();
        let mut old_nonce = 0;
        writeln!(out, "seed {seed}").unwrap();
        for step in 0..100 {
            let who = rng.random_range(0..3_u32);
            let peer = &mut peers[who as usize];
            peer.pass(SECOND, 10, 0);
            match rng.random_range(0..10) {
                0..4 => {
                    let version = publisher.publish(parts(rng.random_range(0..50)), step % 7 == 0);
                    writeln!(out, "publish {}", id_text(version)).unwrap();
                }
                4 | 5 => {
                    let running = peer.subscriber.active_version();
                    publisher.subscriber_connected(who, running);
                    writeln!(out, "{who} opens with {}", id_text(running)).unwrap();
                }
                6 => {
                    let running = peer.subscriber.active_version();
                    let credited =
                        publisher.receive_reply(who, old_nonce, &PushReply::Unchanged, running);
                    writeln!(
                        out,
                        "{who} answers nonce {old_nonce}: {}",
                        receipt_text(credited)
                    )
                    .unwrap();
                }
                _ => {
                    let Some(push) = publisher.push_for(who) else {
                        writeln!(out, "{who} is sent nothing").unwrap();
                        continue;
                    };
                    write!(out, "{who} ").unwrap();
                    let mut reply = peer.evaluate(&push, &mut out);
                    if rng.random_range(0..4) == 0 {
                        reply = match rng.random_range(0..3) {
                            0 => PushReply::FullRequired,
                            1 => PushReply::Rejected(vec!["unsound".into(), "twice".into()]),
                            _ => PushReply::Superseded(push.nonce + 1),
                        };
                    }
                    old_nonce = push.nonce;
                    let running = peer.subscriber.active_version();
                    let credited = publisher.receive_reply(who, push.nonce, &reply, running);
                    writeln!(
                        out,
                        "{who} answers {}: {}",
                        reply_text(&reply),
                        receipt_text(credited)
                    )
                    .unwrap();
                }
            }
            for who in 0..3 {
                let running = optional(publisher.active_version(who).as_ref(), |id| id_text(*id));
                let rejected = optional(publisher.last_rejection(who), |rejection| {
                    let reasons = rejection.reasons.join(" / ");
                    format!("{} for {reasons}", id_text(rejection.version))
                });
                writeln!(out, "  {who} runs {running}, rejected {rejected}").unwrap();
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
        let mut retry = ReconnectBackoff::new(seed);
        let short: Vec<u64> = (0..12).map(|_| retry.next_delay(0)).collect();
        let stood = [99_999, 100_000, 0, 1_000_000, 5].map(|time| retry.next_delay(time));
        writeln!(
            out,
            "seed {seed}: {short:?}, after streams that lasted: {stood:?}"
        )
        .unwrap();
    }
    compare("retry.txt", &out);
}
