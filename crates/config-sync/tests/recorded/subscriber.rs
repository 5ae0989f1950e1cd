//! The decisions at a dispatcher's end of the stream.

use crate::dispatcher::*;
use crate::transcript::*;
use corkspan_config_sync::{NextPush, PersistedVersions, Subscriber, VersionPush};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

/// Each reply and each end of a trial once, in the order of the checks.
#[test]
fn subscriber_replies_and_trials() {
    let mut out = String::new();
    let mut dispatcher = Dispatcher::start(PersistedVersions::default(), 0, &mut out);
    dispatcher.state(&mut out);
    let (one, two, four) = (version_id(1, 1), version_id(2, 2), version_id(4, 4));
    dispatcher.advance(SECOND, 200, 10);
    dispatcher.observe(&mut out);
    // Applied without predecessors, since the file is not part of a lineage.
    dispatcher.evaluate(&full_push(1, one, 1, &[]), &mut out);
    dispatcher.evaluate(&full_push(2, one, 1, &[]), &mut out);
    dispatcher.evaluate(&full_push(3, version_id(1, 5), 5, &[one]), &mut out);
    dispatcher.evaluate(&full_push(4, version_id(0, 0), 0, &[]), &mut out);
    dispatcher.evaluate(&full_push(5, two, 2, &[]), &mut out);
    dispatcher.evaluate(&full_push(6, two, 3, &[one]), &mut out);
    let (changes, removed) = parts(1).changes_to(&parts(2));
    let delta = |base| VersionPush {
        base: Some(base),
        changes: changes.clone(),
        removed: removed.clone(),
        allows_cuts: true,
        ..full_push(7, two, 2, &[one])
    };
    dispatcher.evaluate(&delta(version_id(9, 9)), &mut out);
    dispatcher.evaluate(&delta(one), &mut out);
    // Another version while one is on trial, and pushes received in between.
    dispatcher.advance(100, 60, 3);
    dispatcher.next_push(&mut out);
    dispatcher.receive(full_push(10, version_id(3, 3), 3, &[two]), &mut out);
    dispatcher.receive(full_push(11, four, 4, &[two]), &mut out);
    dispatcher.receive(full_push(12, version_id(3, 3), 3, &[two]), &mut out);
    dispatcher.next_push(&mut out);
    dispatcher.advance(400, 0, 0);
    dispatcher.next_push(&mut out);
    let taken = dispatcher
        .subscriber
        .take_push()
        .expect("the newest push is waiting");
    dispatcher.evaluate(&taken, &mut out);
    dispatcher.receive(full_push(13, version_id(5, 5), 5, &[four]), &mut out);
    dispatcher.subscriber.stream_closed();
    dispatcher.advance(SECOND, 0, 0);
    dispatcher.next_push(&mut out);
    // Too few requests, then enough of them rejected: rolled back, and not admitted again.
    dispatcher.advance(SECOND, 49, 49);
    dispatcher.observe(&mut out);
    dispatcher.advance(SECOND, 51, 50);
    dispatcher.observe(&mut out);
    dispatcher.evaluate(&full_push(14, four, 4, &[two]), &mut out);
    // A trial that passes.
    dispatcher.evaluate(&full_push(15, version_id(6, 6), 6, &[two]), &mut out);
    dispatcher.advance(29 * SECOND, 100, 5);
    dispatcher.observe(&mut out);
    dispatcher.advance(SECOND, 0, 0);
    dispatcher.observe(&mut out);
    // A trial without requests lasts five times as long.
    dispatcher.evaluate(
        &full_push(16, version_id(7, 7), 7, &[version_id(6, 6)]),
        &mut out,
    );
    dispatcher.advance(149 * SECOND, 0, 0);
    dispatcher.observe(&mut out);
    dispatcher.advance(SECOND, 0, 0);
    dispatcher.observe(&mut out);
    // The dispatcher is started repeatedly under a version on trial.
    dispatcher.evaluate(
        &full_push(17, version_id(8, 8), 8, &[version_id(7, 7)]),
        &mut out,
    );
    for start in 0..4 {
        dispatcher = Dispatcher::start(dispatcher.disk, start * SECOND, &mut out);
        dispatcher.state(&mut out);
    }
    let persisted = dispatcher.disk.clone().without_newest();
    writeln!(out, "without the newest: {}", disk_text(&persisted)).unwrap();
    compare("subscriber.txt", &out);
}

/// Long random sequences of pushes from three lineages, complete or as changes, with broken
/// streams, restarts and load.
#[test]
fn subscriber_over_seeded_sequences() {
    let mut out = String::new();
    for seed in 1..=4 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        writeln!(out, "seed {seed}").unwrap();
        let mut dispatcher = Dispatcher::start(PersistedVersions::default(), 0, &mut out);
        for nonce in 1..=120 {
            dispatcher.advance(rng.random_range(0..40_000), rng.random_range(0..80), 0);
            match rng.random_range(0..12) {
                0 => dispatcher = Dispatcher::start(dispatcher.disk, dispatcher.now, &mut out),
                1 => dispatcher.subscriber.stream_closed(),
                2..4 => {
                    let requests = rng.random_range(20..200);
                    dispatcher.advance(SECOND, requests, rng.random_range(0..=requests));
                    dispatcher.observe(&mut out);
                }
                4 => dispatcher.observe(&mut out),
                _ => dispatcher.receive(
                    random_push(&mut rng, nonce, &dispatcher.subscriber),
                    &mut out,
                ),
            }
            dispatcher.next_push(&mut out);
            if dispatcher.subscriber.next_push(dispatcher.now) == NextPush::Now {
                let push = dispatcher
                    .subscriber
                    .take_push()
                    .expect("a push is waiting");
                dispatcher.evaluate(&push, &mut out);
            }
        }
        dispatcher.state(&mut out);
    }
    compare("subscriber-seeded.txt", &out);
}

fn random_push(rng: &mut Pcg64Mcg, nonce: u64, subscriber: &Subscriber) -> VersionPush {
    let (active, texts) = (subscriber.active_version(), subscriber.active_texts());
    let number = (active.number + rng.random_range(0..6)).saturating_sub(1);
    let content = rng.random_range(0..12);
    let version = version_id(number, content);
    let mut push = full_push(nonce, version, content, &[]);
    if rng.random_range(0..5) > 0 {
        push.predecessors = vec![version_id(number.saturating_sub(9), 3), active];
    }
    match rng.random_range(0..6) {
        0 => push.base = Some(version_id(number, content + 1)),
        1 | 2 => {
            (push.changes, push.removed) = texts.changes_to(&parts(content));
            push.base = Some(active);
        }
        3 => push.changes = parts(content + 1),
        _ => {}
    }
    push
}
