//! The state of a control service, and the spread of reconnects.

mod support;

use corkspan_config::version::VersionId;
use corkspan_config_sync::{Publisher, PushAdmission, PushReply, ReconnectBackoff, RequestCounts};
use corkspan_scheduler::interface::Ticks;
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::*;
use test_case::test_case;

proptest! {
    #[test]
    fn hundreds_of_reconnects_after_a_lost_service_are_spread(seed in any::<u64>(), failures in 1..6u32) {
        let delays = (0..300u64).map(|subscriber| {
            let mut backoff = ReconnectBackoff::new(seed ^ subscriber << 32);
            (0..failures).map(|_| backoff.next_delay(0)).last().unwrap_or(0)
        });
        let mut seconds: BTreeMap<Ticks, usize> = BTreeMap::new();
        delays.for_each(|delay| *seconds.entry(delay / SECOND).or_default() += 1);
        let span = (5_000u64 << failures).min(200_000) / SECOND;
        let max = seconds.values().max().copied().unwrap_or(0);
        prop_assert!(max <= (300 / span.max(1) as usize) * 2 + 60, "{seconds:?}");
    }
}

/// While a subscriber is away, more versions are published than are remembered with their content.
#[test_case(3, true; "just behind")]
#[test_case(2_348, true; "at 7652 of 10000")]
#[test_case(9_999, true; "at the first version")]
#[test_case(2_348, false; "at a version of another lineage with that number")]
fn a_subscriber_however_far_behind_applies_the_newest_of_its_own_lineage(
    behind: u64,
    same_lineage: bool,
) {
    const NEWEST: u64 = 10_000;
    let (mut publisher, mut subscriber) = (Publisher::default(), subscriber());
    for number in 1..=NEWEST {
        publisher.publish(texts(number), false);
        if number + behind == NEWEST {
            apply(&mut subscriber, 0, number, RequestCounts::default());
        }
    }
    let active = subscriber.active_version();
    publisher.subscriber_connected(
        7,
        if same_lineage {
            active
        } else {
            VersionId {
                digest: texts(1).digest(),
                ..active
            }
        },
    );
    let push = publisher.push_for(7).expect("the newest version is pushed");
    match subscriber.admit(&push) {
        PushAdmission::Validate(content) => assert!(same_lineage && content == texts(NEWEST)),
        PushAdmission::Reply(PushReply::Rejected(reason)) => {
            assert!(
                !same_lineage && reason[0].starts_with("split"),
                "{reason:?}"
            )
        }
        other => panic!("{other:?}"),
    }
}

/// Between the version that the subscriber reported and the one that is active when it reads the
/// push, more versions are published than are remembered with their content.
#[test]
fn a_rejection_for_an_unnamed_predecessor_is_retried_once() {
    let mut publisher = Publisher::default();
    let versions: Vec<VersionId> = (1..=5_000)
        .map(|number| publisher.publish(texts(number), false))
        .collect();
    publisher.subscriber_connected(7, versions[0]);
    let first = publisher.push_for(7).expect("the newest version is pushed");
    assert!(
        !first.predecessors.contains(&versions[2_000]),
        "not all versions in between are named"
    );
    let split = PushReply::Rejected(vec!["split".into()]);
    publisher.receive_reply(7, first.nonce, &split, versions[2_000]);
    let retry = publisher.push_for(7).expect("the push is repeated");
    assert!(retry.predecessors.contains(&versions[2_000]));
    publisher.receive_reply(7, retry.nonce, &split, versions[2_000]);
    assert_eq!(
        publisher.push_for(7),
        None,
        "a push rejected for another reason is not repeated"
    );
}
