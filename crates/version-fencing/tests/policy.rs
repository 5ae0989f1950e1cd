//! Tests of raises by a policy, and of how dispatchers that are behind catch up.

use corkspan_version_fencing::ReportedVersion;
use corkspan_version_fencing::catch_up::{
    CatchUp, CatchUpStatus, NextStep, RequestIntervals, RequestOutcome, VersionSource, should_store,
};
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch, ReportedVersions};
use test_case::test_case;

fn reports_of(versions: &[(u64, bool)]) -> ReportedVersions {
    let mut reports = ReportedVersions::default();
    for (dispatcher, &(version, on_trial)) in versions.iter().enumerate() {
        reports.report(dispatcher as u32, ReportedVersion { version, on_trial });
    }
    reports
}

#[test_case(&[(9, false), (9, false), (5, false)], 3, 600, Some(9); "two of three are enough")]
#[test_case(&[(9, false), (9, true), (5, false)], 3, 600, Some(5); "one still runs it on trial")]
#[test_case(&[(9, false), (9, false)], 4, 750, None; "one never reported")]
#[test_case(&[(9, false), (8, false), (7, false)], 3, 1000, Some(7); "all are required")]
fn a_version_is_adopted_once_enough_dispatchers_run_it_past_its_trial(
    versions: &[(u64, bool)],
    fleet: usize,
    adoption_permille: u32,
    adopted: Option<u64>,
) {
    assert_eq!(
        reports_of(versions).adopted(fleet, adoption_permille),
        adopted
    );
}

#[test]
fn dispatchers_beyond_the_size_of_the_fleet_do_not_count() {
    let mut reports = reports_of(&[(4, false), (4, false)]);
    (90..99).for_each(|dispatcher| {
        reports.report(
            dispatcher,
            ReportedVersion {
                version: 9,
                on_trial: false,
            },
        )
    });
    assert_eq!(reports.adopted(2, 1000), Some(4));
}

#[test]
fn a_rollback_lowers_the_adopted_version() {
    let mut reports = reports_of(&[(9, false), (9, false)]);
    reports.report(
        1,
        ReportedVersion {
            version: 4,
            on_trial: false,
        },
    );
    assert_eq!(reports.adopted(2, 1000), Some(4));
}

const POLICY: MinimumVersionPolicy = MinimumVersionPolicy {
    max_behind: Some(10),
    max_age: None,
    adoption_permille: 900,
};

#[test_case(&[Some(30)], None; "one member of three replies")]
#[test_case(&[Some(30), Some(30)], Some(20); "two members agree")]
#[test_case(&[Some(90), Some(30), Some(30)], Some(20); "one member reports a version that is too high")]
#[test_case(&[Some(30), None, None], None; "two members have too few reports")]
#[test_case(&[Some(12), Some(12), Some(12)], None; "not above the present minimum")]
fn a_policy_needs_a_majority_of_the_quorum(replies: &[Option<u64>], minimum: Option<u64>) {
    assert_eq!(
        PolicyWatch::default().evaluate(0, POLICY, replies, 3, Some(2)),
        minimum
    );
}

#[test]
fn an_age_counts_from_adoption_and_starts_again_after_a_rollback() {
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
        "6 was rolled back at 70, and its age starts at 120"
    );
    assert_eq!((evaluate(179, 6), evaluate(180, 6)), (Some(5), Some(6)));
}

const INTERVALS: RequestIntervals = RequestIntervals {
    initial: 10,
    max: 200,
    idle: 100,
};
const FENCED: CatchUpStatus = CatchUpStatus {
    has_stream: false,
    fenced: true,
    peers: 3,
    members: 2,
};

/// Returns the time and the source of each request before `until`.
fn requests(
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
fn a_fenced_dispatcher_soon_queries_all_peers_then_all_members_and_then_backs_off() {
    let all = requests(&mut CatchUp::new(1, INTERVALS), 2_000, FENCED, || {
        RequestOutcome::Unchanged
    });
    let peers = all[..3]
        .iter()
        .all(|(_, source)| matches!(source, VersionSource::Peer(_)));
    let members = all[3..5]
        .iter()
        .all(|(_, source)| matches!(source, VersionSource::QuorumMember(_)));
    assert!(all[4].0 <= 50 && peers && members, "{all:?}");
    let gaps: Vec<u64> = all.windows(2).map(|pair| pair[1].0 - pair[0].0).collect();
    assert!(
        gaps.iter().all(|gap| *gap <= 210) && gaps.len() < 100,
        "{gaps:?}"
    );
}

#[test]
fn requests_of_three_hundred_at_once_spread_over_time_and_peers() {
    let mut all: Vec<(u64, VersionSource)> = Vec::new();
    for seed in 0..300 {
        all.extend(
            requests(
                &mut CatchUp::new(
                    seed,
                    RequestIntervals {
                        initial: 1_000,
                        ..INTERVALS
                    },
                ),
                1_000,
                FENCED,
                || RequestOutcome::Advanced,
            )
            .first(),
        );
    }
    for tenth in 0..10 {
        let requests = all.iter().filter(|(at, _)| at / 100 == tenth).count();
        assert!(requests < 60, "{requests} in one tenth");
    }
    let requests_to = |peer| {
        all.iter()
            .filter(|(_, source)| *source == VersionSource::Peer(peer))
            .count()
    };
    assert!(
        (0..3).all(|peer| requests_to(peer) > 60),
        "{:?}",
        [requests_to(0), requests_to(1), requests_to(2)]
    );
}

#[test]
fn a_dispatcher_with_a_stream_makes_no_requests_unless_it_is_fenced() {
    let status = CatchUpStatus {
        has_stream: true,
        fenced: false,
        ..FENCED
    };
    assert_eq!(
        requests(&mut CatchUp::new(1, INTERVALS), 5_000, status, || {
            RequestOutcome::Unchanged
        }),
        []
    );
    let stale = CatchUpStatus {
        has_stream: true,
        ..FENCED
    };
    assert!(
        !requests(&mut CatchUp::new(1, INTERVALS), 50, stale, || {
            RequestOutcome::Unchanged
        })
        .is_empty()
    );
}

#[test]
fn a_dispatcher_without_a_stream_makes_requests_at_the_idle_interval() {
    let status = CatchUpStatus {
        fenced: false,
        ..FENCED
    };
    let all = requests(&mut CatchUp::new(1, INTERVALS), 10_000, status, || {
        RequestOutcome::Unchanged
    });
    assert!((40..110).contains(&all.len()), "{}", all.len());
}

#[test]
fn a_few_of_a_fleet_store_a_new_version_at_the_quorum_and_none_an_old_one() {
    let stores = |version| {
        (0..300)
            .filter(|draw| should_store(version, Some(7), 300, f64::from(*draw) / 300.0))
            .count()
    };
    assert_eq!((stores(8), stores(7), stores(6)), (3, 0, 0));
    assert!(should_store(1, None, 1, 0.99));
}
