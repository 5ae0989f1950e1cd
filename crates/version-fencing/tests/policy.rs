//! When a floor is raised by itself, and how stragglers ask to be brought up.

use corkspan_version_fencing::ReportedVersion;
use corkspan_version_fencing::catch_up::{
    CatchUp, CatchUpStatus, NextStep, RequestIntervals, RequestOutcome, VersionSource, should_store,
};
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch, ReportedVersions};
use test_case::test_case;

fn reported_by(versions: &[(u64, bool)]) -> ReportedVersions {
    let mut reported_by = ReportedVersions::default();
    for (dispatcher, &(version, on_trial)) in versions.iter().enumerate() {
        reported_by.report(dispatcher as u32, ReportedVersion { version, on_trial });
    }
    reported_by
}

#[test_case(&[(9, false), (9, false), (5, false)], 3, 600, Some(9); "two of three are enough")]
#[test_case(&[(9, false), (9, true), (5, false)], 3, 600, Some(5); "one may yet give it up")]
#[test_case(&[(9, false), (9, false)], 4, 750, None; "who never told counts as not having it")]
#[test_case(&[(9, false), (8, false), (7, false)], 3, 1000, Some(7); "all")]
fn what_enough_have_taken(
    versions: &[(u64, bool)],
    fleet: usize,
    adoption_permille: u32,
    adopted: Option<u64>,
) {
    assert_eq!(
        reported_by(versions).adopted(fleet, adoption_permille),
        adopted
    );
}

#[test]
fn dispatchers_beyond_the_fleet_have_no_say() {
    let mut reported_by = reported_by(&[(4, false), (4, false)]);
    (90..99).for_each(|own| {
        reported_by.report(
            own,
            ReportedVersion {
                version: 9,
                on_trial: false,
            },
        )
    });
    assert_eq!(reported_by.adopted(2, 1000), Some(4));
}

#[test]
fn one_that_falls_back_to_an_older_version_holds_the_floor_back() {
    let mut reported_by = reported_by(&[(9, false), (9, false)]);
    reported_by.report(
        1,
        ReportedVersion {
            version: 4,
            on_trial: false,
        },
    );
    assert_eq!(reported_by.adopted(2, 1000), Some(4));
}

const POLICY: MinimumVersionPolicy = MinimumVersionPolicy {
    max_behind: Some(10),
    max_age: None,
    adoption_permille: 900,
};

#[test_case(&[Some(30)], None; "one keeper of three")]
#[test_case(&[Some(30), Some(30)], Some(20); "two agree")]
#[test_case(&[Some(90), Some(30), Some(30)], Some(20); "one that tells too much")]
#[test_case(&[Some(30), None, None], None; "two have not heard of enough")]
#[test_case(&[Some(12), Some(12), Some(12)], None; "no further than the floor that stands")]
fn a_rule_needs_a_majority_of_keepers(told: &[Option<u64>], minimum: Option<u64>) {
    assert_eq!(
        PolicyWatch::default().evaluate(0, POLICY, told, 3, Some(2)),
        minimum
    );
}

#[test]
fn so_long_counts_from_when_enough_had_it_and_anew_once_they_gave_it_up() {
    let policy = MinimumVersionPolicy {
        max_behind: None,
        max_age: Some(60),
        adoption_permille: 900,
    };
    let mut watch = PolicyWatch::default();
    let mut evaluate = |now, adopted| watch.evaluate(now, policy, &[Some(adopted); 3], 3, Some(1));
    assert_eq!(
        (evaluate(0, 5), evaluate(50, 6), evaluate(60, 6)),
        (None, None, Some(5))
    );
    assert_eq!(
        (evaluate(70, 5), evaluate(120, 6)),
        (Some(5), Some(5)),
        "6 was given up at 70, and counts from 120"
    );
    assert_eq!((evaluate(179, 6), evaluate(180, 6)), (Some(5), Some(6)));
}

const INTERVALS: RequestIntervals = RequestIntervals {
    initial: 10,
    max: 200,
    idle: 100,
};
const OUT: CatchUpStatus = CatchUpStatus {
    has_stream: false,
    fenced: true,
    peers: 3,
    members: 2,
};

/// When each ask comes, and of whom, until `until`.
fn asks(
    catch_up: &mut CatchUp,
    until: u64,
    status: CatchUpStatus,
    mut outcome: impl FnMut() -> RequestOutcome,
) -> Vec<(u64, VersionSource)> {
    let (mut now, mut all) = (0, Vec::new());
    while now < until {
        match catch_up.poll(now, status) {
            NextStep::Request(source) => {
                all.push((now, source));
                catch_up.complete(now, outcome());
            }
            NextStep::Wait(time) => now += time.max(1),
        }
    }
    all
}

#[test]
fn one_that_is_shut_out_asks_each_peer_and_then_each_keeper_soon_and_then_ever_less_often() {
    let all = asks(&mut CatchUp::new(1, INTERVALS), 2_000, OUT, || {
        RequestOutcome::Unchanged
    });
    let peers = all[..3]
        .iter()
        .all(|(_, source)| matches!(source, VersionSource::Peer(_)));
    let members = all[3..5]
        .iter()
        .all(|(_, source)| matches!(source, VersionSource::QuorumMember(_)));
    assert!(all[4].0 <= 50 && peers && members, "{all:?}");
    let gaps: Vec<u64> = all.windows(2).map(|two| two[1].0 - two[0].0).collect();
    assert!(
        gaps.iter().all(|gap| *gap <= 210) && gaps.len() < 100,
        "{gaps:?}"
    );
}

#[test]
fn three_hundred_at_once_spread_over_time_and_peers() {
    let mut all: Vec<(u64, VersionSource)> = Vec::new();
    for seed in 0..300 {
        all.extend(
            asks(
                &mut CatchUp::new(
                    seed,
                    RequestIntervals {
                        initial: 1_000,
                        ..INTERVALS
                    },
                ),
                1_000,
                OUT,
                || RequestOutcome::Advanced,
            )
            .first(),
        );
    }
    for tenth in 0..10 {
        let many = all.iter().filter(|(at, _)| at / 100 == tenth).count();
        assert!(many < 60, "{many} in one tenth");
    }
    let of = |one| {
        all.iter()
            .filter(|(_, source)| *source == VersionSource::Peer(one))
            .count()
    };
    assert!(
        (0..3).all(|peer| of(peer) > 60),
        "{:?}",
        [of(0), of(1), of(2)]
    );
}

#[test]
fn whom_a_control_service_reaches_asks_nobody_unless_it_is_shut_out() {
    let status = CatchUpStatus {
        has_stream: true,
        fenced: false,
        ..OUT
    };
    assert_eq!(
        asks(&mut CatchUp::new(1, INTERVALS), 5_000, status, || {
            RequestOutcome::Unchanged
        }),
        []
    );
    let stale = CatchUpStatus {
        has_stream: true,
        ..OUT
    };
    assert!(
        !asks(&mut CatchUp::new(1, INTERVALS), 50, stale, || {
            RequestOutcome::Unchanged
        })
        .is_empty()
    );
}

#[test]
fn one_without_a_stream_that_is_not_known_to_be_behind_asks_now_and_then() {
    let status = CatchUpStatus {
        fenced: false,
        ..OUT
    };
    let all = asks(&mut CatchUp::new(1, INTERVALS), 10_000, status, || {
        RequestOutcome::Unchanged
    });
    assert!((40..110).contains(&all.len()), "{}", all.len());
}

#[test]
fn a_few_of_a_fleet_lay_a_new_version_on_a_shelf_and_none_an_old_one() {
    let many = |good| {
        (0..300)
            .filter(|own| should_store(good, Some(7), 300, f64::from(*own) / 300.0))
            .count()
    };
    assert_eq!((many(8), many(7), many(6)), (3, 0, 0));
    assert!(should_store(1, None, 1, 0.99));
}
