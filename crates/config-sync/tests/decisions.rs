//! What a dispatcher does about versions, one story for each failure.

use corkspan_config::Deployment;
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    AddressedReply, NextPush, PersistedVersions, Publisher, PushAdmission, PushReply,
    ReconnectBackoff, RequestCounts, Subscriber, VersionPush, compatibility, stable_ids,
};
use corkspan_scheduler::interface::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;

const SECOND: Ticks = 10_000;

fn texts(number: u64) -> SharedParts {
    [("shots".to_string(), format!("(shots {number})"))]
        .into_iter()
        .collect()
}

fn push(nonce: u64, number: u64, predecessors: &[VersionId]) -> VersionPush {
    let changes = texts(number);
    let stamp = VersionId {
        number,
        digest: changes.digest(),
    };
    VersionPush {
        nonce,
        version: stamp,
        predecessors: predecessors.to_vec(),
        base: None,
        changes,
        removed: Vec::new(),
        allows_cuts: false,
    }
}

fn subscriber() -> Subscriber {
    Subscriber::restore(texts(0), PersistedVersions::default(), 0).0
}

/// Puts a version in force.
fn takes(own: &mut Subscriber, now: Ticks, number: u64, counts: RequestCounts) -> VersionId {
    let running = own.active_version();
    let push = push(number, number, &[running]);
    assert!(matches!(own.admit(&push), PushAdmission::Validate(_)));
    let kept = own.prepare_trial(now, counts, push.version, push.changes);
    own.start_trial(now, kept, counts);
    push.version
}

fn superseded(nonce: u64, by: u64) -> AddressedReply {
    AddressedReply {
        nonce,
        reply: PushReply::Superseded(by),
    }
}

fn counts(asked: u64, refused: u64) -> RequestCounts {
    RequestCounts {
        requests: asked,
        rejected: refused,
    }
}

#[test]
fn of_a_flood_the_newest_is_looked_at_and_each_other_is_told_so() {
    let mut own = subscriber();
    takes(&mut own, 0, 1, RequestCounts::default());
    assert_eq!(own.receive(push(10, 2, &[])), None);
    assert_eq!(own.receive(push(11, 4, &[])), Some(superseded(10, 11)));
    assert_eq!(
        own.receive(push(12, 3, &[])),
        Some(superseded(12, 11)),
        "late, and older"
    );
    assert_eq!(own.next_push(100), NextPush::After(400));
    assert_eq!(own.next_push(500), NextPush::Now);
    assert_eq!(own.take_push().map(|push| push.nonce), Some(11));
    assert_eq!(own.next_push(500), NextPush::None);
}

#[test]
fn what_waits_of_a_broken_stream_is_not_looked_at() {
    let mut own = subscriber();
    assert_eq!(own.receive(push(10, 2, &[])), None);
    own.stream_closed();
    assert_eq!(own.take_push(), None);
}

#[test]
fn a_version_under_which_the_dispatcher_ends_again_and_again_is_given_up() {
    let mut own = subscriber();
    let one = takes(&mut own, 0, 1, RequestCounts::default());
    let two = takes(&mut own, 40 * SECOND, 2, counts(100, 0));
    let mut kept = own.persisted().clone();
    assert_eq!(
        kept.last_good.as_ref().map(|good| good.id),
        Some(one),
        "it did no harm to a hundred asks"
    );
    for start in 0..3 {
        let (own, changed) = Subscriber::restore(texts(0), kept.clone(), 0);
        kept = changed.expect("each start is counted on disk");
        assert_eq!(own.active_version(), if start < 2 { two } else { one });
    }
    let (own, changed) = Subscriber::restore(texts(0), kept, 0);
    assert_eq!(changed, None);
    assert_eq!(
        own.admit(&push(9, 2, &[one])),
        PushAdmission::Reply(PushReply::Rejected(vec![format!(
            "version {two} was given up here; a next one is needed"
        )]))
    );
    assert!(matches!(
        own.admit(&push(9, 3, &[one])),
        PushAdmission::Validate(_)
    ));
}

#[test_case(20, 0, 12; "from few, much more")]
#[test_case(1_000, 500, 40; "from half, nearly all")]
fn asks_refused_far_more_often_than_before_give_the_version_up(
    asked: u64,
    refused: u64,
    spared: u64,
) {
    let mut own = subscriber();
    assert_eq!(own.evaluate_trial(SECOND, counts(asked, refused)), None);
    takes(&mut own, SECOND, 1, counts(asked, refused));
    let some = counts(asked + 49, refused + 49);
    assert_eq!(
        own.evaluate_trial(2 * SECOND, some),
        None,
        "not enough to tell by"
    );
    let all = counts(asked + 400, refused + 400 - spared);
    let outcome = own.evaluate_trial(2 * SECOND, all).expect("it is decided");
    assert!(
        outcome
            .rollback_reason
            .expect("with a reason")
            .contains("of 400 asks refused in 1.0 s")
    );
    own.finish_trial(2 * SECOND, outcome.persisted, all);
    assert_eq!((own.active_version().number, own.on_trial()), (0, false));
}

#[test_case(1_000, 500, 1_000, 600; "of a crowded hour, a little more")]
#[test_case(0, 0, 0, 0; "no asks at all, for long")]
#[test_case(100, 0, 100, 5; "some refusals")]
fn a_version_that_does_no_harm_is_good_after_its_trial(
    asked: u64,
    refused: u64,
    more: u64,
    turned: u64,
) {
    let mut own = subscriber();
    assert_eq!(own.evaluate_trial(SECOND, counts(asked, refused)), None);
    let one = takes(&mut own, SECOND, 1, counts(asked, refused));
    let after = counts(asked + more, refused + turned);
    assert_eq!(own.evaluate_trial(30 * SECOND, after), None, "not yet");
    let outcome = own.evaluate_trial(151 * SECOND, after).expect("decided");
    assert_eq!(
        (
            outcome.persisted.last_good.map(|good| good.id),
            outcome.rollback_reason
        ),
        (Some(one), None)
    );
}

#[test]
fn the_measure_of_a_version_that_takes_a_bad_ones_place_is_from_before_both() {
    let mut own = subscriber();
    assert_eq!(own.evaluate_trial(SECOND, counts(1_000, 0)), None);
    takes(&mut own, SECOND, 1, counts(1_000, 0));
    takes(&mut own, 2 * SECOND, 2, counts(1_040, 40));
    let outcome = own
        .evaluate_trial(3 * SECOND, counts(1_140, 140))
        .expect("decided");
    let reason = outcome.rollback_reason.expect("a reason");
    assert!(reason.contains("0% before"));
}

proptest! {
    #[test]
    fn hundreds_that_lost_a_service_at_once_come_back_spread(seed in any::<u64>(), fails in 1..6u32) {
        let waits = (0..300u64).map(|own| {
            let mut retry = ReconnectBackoff::new(seed ^ own << 32);
            (0..fails).map(|_| retry.next_delay(0)).last().unwrap_or(0)
        });
        let mut seconds: BTreeMap<Ticks, usize> = BTreeMap::new();
        waits.for_each(|wait| *seconds.entry(wait / SECOND).or_default() += 1);
        let span = (5_000u64 << fails).min(200_000) / SECOND;
        let most = seconds.values().max().copied().unwrap_or(0);
        prop_assert!(most <= (300 / span.max(1) as usize) * 2 + 60, "{seconds:?}");
    }
}

const FILE: &str = r#"(deployment (listen "127.0.0.1:0") (roster "127.0.0.1:7000") (hall a) (number 1)
  (schedulers 3) (halls a b) (kinds (small (cores 8) (memory 16)))
  (tracks (web (repeat idempotent) (contract-time 600 ms)) (once (repeat unrepeatable) (contract-time 1 s)))
  (accounts (one (share-cores 10)) (two)) (accepts (cores 2) (memory 1.5)) (placed-when running)
  (cold (lasts 14 s) (window 1 s) (offers 29)))"#;

fn file() -> Deployment {
    Deployment::parse("d", FILE).unwrap_or_else(|why| panic!("{why}"))
}

fn next(from: &str, to: &str) -> Deployment {
    assert!(FILE.contains(from));
    let texts = SharedParts::parse("v", &FILE.replace(from, to)).expect("a form");
    file()
        .with_version("v", &texts)
        .unwrap_or_else(|why| panic!("{why}"))
}

#[test_case("(offers 29)", "(offers 10)", "cold/offers: cut from 29 to 10"; "cold offers")]
#[test_case("(share-cores 10)", "(share-cores 4)", "accounts/one: cut"; "a share")]
#[test_case("(two)", "(two (share-cores 4))", ""; "a share where there was none")]
#[test_case("(one (share-cores 10)) ", "", "accounts/one: cut"; "an account gone")]
#[test_case("(cores 2)", "(cores 0.2)", "accepts/cores: cut"; "a slip of the point")]
#[test_case("(cores 2)", "(cores 1)", ""; "half is borne")]
fn limits_cut_deep_need_the_mark_of_intent(from: &str, to: &str, why: &str) {
    let next = next(from, to);
    let told = compatibility::violations(&file(), &next, false, |_| 0);
    assert_eq!(
        told.first()
            .map_or("", |told| &told[..why.len().min(told.len())]),
        why
    );
    assert_eq!(
        compatibility::violations(&file(), &next, true, |_| 0),
        [""; 0]
    );
}

#[test_case("(schedulers 3)", "(schedulers 4)", "schedulers: a change needs a restart"; "how many there are")]
#[test_case("(cores 8)", "(cores 9)", "kinds: a change needs a restart"; "a kind")]
#[test_case("(placed-when running)", "(placed-when accepted)", "placed-when: a change needs a restart"; "what placed means")]
fn what_needs_a_restart_is_turned_down(from: &str, to: &str, why: &str) {
    assert_eq!(
        compatibility::violations(&file(), &next(from, to), true, |_| 0),
        [why]
    );
}

#[test]
fn ids_stay_with_their_names_whatever_the_order() {
    let tracks = "(tracks (once (repeat unrepeatable) (contract-time 1 s)) (new (repeat idempotent) (contract-time 1 s)) (web (repeat idempotent) (contract-time 700 ms)))";
    let from =
        &FILE[FILE.find("(tracks").expect("there")..FILE.find("\n  (accounts").expect("there")];
    let ids = stable_ids::assign(&file(), next(from, tracks), |_| 1).expect("room");
    assert_eq!(ids.service_classes, ["web", "once", "new"]);
    assert_eq!(ids.cluster.service_classes[0].latency_objective, 7_000);
}

#[test]
fn a_track_whose_promise_changes_leaves_what_is_in_hand_under_the_old_one() {
    let loose = next("(once (repeat unrepeatable)", "(once (repeat idempotent)");
    let ids = stable_ids::assign(&file(), loose, |track| {
        usize::from(track == ServiceClassId(1))
    })
    .expect("room");
    assert_eq!(ids.service_classes, ["web", "", "once"]);
    assert_eq!(
        ids.cluster.service_classes[1].retry_safety,
        RetrySafety::NotRetryable
    );
    assert_eq!(
        ids.cluster.service_classes[2].retry_safety,
        RetrySafety::Idempotent
    );
    // Once nothing is of it any more, the row is another's.
    let strict = next("(accepts", "(accepts");
    let ids = stable_ids::assign(&ids, strict, |track| {
        usize::from(track == ServiceClassId(2))
    })
    .expect("room");
    assert_eq!(ids.service_classes, ["web", "once", ""]);
}

#[test]
fn an_account_that_is_gone_keeps_its_row_and_bears_nothing_more() {
    let ids =
        stable_ids::assign(&file(), next("(one (share-cores 10)) ", ""), |_| 0).expect("room");
    assert_eq!(
        (&ids.tenants[..], ids.cluster.tenants[0].quota_cores),
        (&["".into(), "two".into()][..], Some(0.0))
    );
}

/// A flood while one of the fleet is away, further than whole versions are remembered.
#[test_case(3, true; "just behind")]
#[test_case(2_348, true; "it was on 7652 of 10000")]
#[test_case(9_999, true; "it has the first of all")]
#[test_case(2_348, false; "it runs another of that number: a split")]
fn however_far_behind_one_is_it_takes_the_newest_of_its_own_line(behind: u64, ours: bool) {
    const ALL: u64 = 10_000;
    let (mut books, mut own) = (Publisher::default(), subscriber());
    for number in 1..=ALL {
        books.publish(texts(number), false);
        if number + behind == ALL {
            takes(&mut own, 0, number, RequestCounts::default());
        }
    }
    let running = own.active_version();
    books.subscriber_connected(
        7,
        if ours {
            running
        } else {
            VersionId {
                digest: texts(1).digest(),
                ..running
            }
        },
    );
    let push = books.push_for(7).expect("it has not got the newest");
    match own.admit(&push) {
        PushAdmission::Validate(whole) => assert!(ours && whole == texts(ALL)),
        PushAdmission::Reply(PushReply::Rejected(why)) => {
            assert!(!ours && why[0].starts_with("split"), "{why:?}")
        }
        other => panic!("{other:?}"),
    }
}

/// More versions than are remembered whole come between what it told and what it runs as it reads
/// the newest.
#[test]
fn one_that_is_known_too_late_to_run_another_is_told_again_and_once() {
    let mut books = Publisher::default();
    let stamps: Vec<VersionId> = (1..=5_000)
        .map(|number| books.publish(texts(number), false))
        .collect();
    books.subscriber_connected(7, stamps[0]);
    let first = books.push_for(7).expect("a push");
    assert!(
        !first.predecessors.contains(&stamps[2_000]),
        "of those between, not all are told"
    );
    let split = PushReply::Rejected(vec!["split".into()]);
    books.receive_reply(7, first.nonce, &split, stamps[2_000]);
    let again = books.push_for(7).expect("once more");
    assert!(again.predecessors.contains(&stamps[2_000]));
    books.receive_reply(7, again.nonce, &split, stamps[2_000]);
    assert_eq!(
        books.push_for(7),
        None,
        "what it turns down for another reason is not pushed on and on"
    );
}
