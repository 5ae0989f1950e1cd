//! How a dispatcher handles pushes and trials, with one test for each failure.

mod support;

use corkspan_config_sync::{
    AddressedReply, NextPush, PushAdmission, PushReply, RequestCounts, Subscriber,
};
use support::*;
use test_case::test_case;

fn superseded(nonce: u64, by: u64) -> AddressedReply {
    AddressedReply {
        nonce,
        reply: PushReply::Superseded(by),
    }
}

fn counts(requests: u64, rejected: u64) -> RequestCounts {
    RequestCounts { requests, rejected }
}

#[test]
fn of_many_pushes_the_newest_is_taken_and_each_other_is_answered_as_superseded() {
    let mut subscriber = subscriber();
    apply(&mut subscriber, 0, 1, RequestCounts::default());
    assert_eq!(subscriber.receive(push(10, 2, &[])), None);
    assert_eq!(
        subscriber.receive(push(11, 4, &[])),
        Some(superseded(10, 11))
    );
    assert_eq!(
        subscriber.receive(push(12, 3, &[])),
        Some(superseded(12, 11)),
        "an older version arrives late"
    );
    assert_eq!(subscriber.next_push(100), NextPush::After(400));
    assert_eq!(subscriber.next_push(500), NextPush::Now);
    assert_eq!(subscriber.take_push().map(|push| push.nonce), Some(11));
    assert_eq!(subscriber.next_push(500), NextPush::None);
}

#[test]
fn a_push_that_waits_is_dropped_when_its_stream_breaks() {
    let mut subscriber = subscriber();
    assert_eq!(subscriber.receive(push(10, 2, &[])), None);
    subscriber.stream_closed();
    assert_eq!(subscriber.take_push(), None);
}

#[test]
fn a_version_on_trial_is_rolled_back_after_three_starts_under_it() {
    let mut subscriber = subscriber();
    let one = apply(&mut subscriber, 0, 1, RequestCounts::default());
    let two = apply(&mut subscriber, 40 * SECOND, 2, counts(100, 0));
    let mut persisted = subscriber.persisted().clone();
    assert_eq!(
        persisted.last_good.as_ref().map(|good| good.id),
        Some(one),
        "no regression over a hundred requests"
    );
    for start in 0..3 {
        let (subscriber, changed) = Subscriber::restore(texts(0), persisted.clone(), 0);
        persisted = changed.expect("each start is recorded on disk");
        assert_eq!(
            subscriber.active_version(),
            if start < 2 { two } else { one }
        );
    }
    let (subscriber, changed) = Subscriber::restore(texts(0), persisted, 0);
    assert_eq!(changed, None);
    assert_eq!(
        subscriber.admit(&push(9, 2, &[one])),
        PushAdmission::Reply(PushReply::Rejected(vec![format!(
            "version {two} was rolled back here; publish a new version"
        )]))
    );
    assert!(matches!(
        subscriber.admit(&push(9, 3, &[one])),
        PushAdmission::Validate(_)
    ));
}

#[test_case(20, 0, 12; "from none to nearly all")]
#[test_case(1_000, 500, 40; "from half to nearly all")]
fn a_far_higher_rejection_rate_rolls_the_version_back(requests: u64, rejected: u64, accepted: u64) {
    let mut subscriber = subscriber();
    assert_eq!(
        subscriber.evaluate_trial(SECOND, counts(requests, rejected)),
        None
    );
    apply(&mut subscriber, SECOND, 1, counts(requests, rejected));
    let some = counts(requests + 49, rejected + 49);
    assert_eq!(
        subscriber.evaluate_trial(2 * SECOND, some),
        None,
        "too few requests to evaluate"
    );
    let all = counts(requests + 400, rejected + 400 - accepted);
    let outcome = subscriber
        .evaluate_trial(2 * SECOND, all)
        .expect("the trial is decided");
    assert!(
        outcome
            .rollback_reason
            .expect("the rollback has a reason")
            .contains("of 400 requests rejected in 1.0 s")
    );
    subscriber.finish_trial(2 * SECOND, outcome.persisted, all);
    assert_eq!(
        (subscriber.active_version().number, subscriber.on_trial()),
        (0, false)
    );
}

#[test_case(1_000, 500, 1_000, 600; "slightly more rejections under overload")]
#[test_case(0, 0, 0, 0; "no requests for a long time")]
#[test_case(100, 0, 100, 5; "some rejections")]
fn a_version_without_regression_passes_its_trial(
    requests: u64,
    rejected: u64,
    more_requests: u64,
    more_rejected: u64,
) {
    let mut subscriber = subscriber();
    assert_eq!(
        subscriber.evaluate_trial(SECOND, counts(requests, rejected)),
        None
    );
    let one = apply(&mut subscriber, SECOND, 1, counts(requests, rejected));
    let after = counts(requests + more_requests, rejected + more_rejected);
    assert_eq!(
        subscriber.evaluate_trial(30 * SECOND, after),
        None,
        "the trial continues"
    );
    let outcome = subscriber
        .evaluate_trial(151 * SECOND, after)
        .expect("the trial is decided");
    assert_eq!(
        (
            outcome.persisted.last_good.map(|good| good.id),
            outcome.rollback_reason
        ),
        (Some(one), None)
    );
}

#[test]
fn a_version_that_replaces_one_on_trial_is_evaluated_by_the_baseline_from_before_both() {
    let mut subscriber = subscriber();
    assert_eq!(subscriber.evaluate_trial(SECOND, counts(1_000, 0)), None);
    apply(&mut subscriber, SECOND, 1, counts(1_000, 0));
    apply(&mut subscriber, 2 * SECOND, 2, counts(1_040, 40));
    let outcome = subscriber
        .evaluate_trial(3 * SECOND, counts(1_140, 140))
        .expect("the trial is decided");
    let reason = outcome.rollback_reason.expect("the rollback has a reason");
    assert!(reason.contains("0% before"));
}
