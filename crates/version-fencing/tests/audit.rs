//! What an audit tells of a fleet, and what keeps a floor from being raised.

use corkspan_version_fencing::audit::{
    DispatcherReport, Finding, LagReason, NodeObservation, dispatcher_findings, node_findings,
};
use corkspan_version_fencing::history::{VersionHistory, VersionInterval, VersionOrigin};
use corkspan_version_fencing::operations::{
    OperationCount, OperationCounts, OperationKind, OperationSource,
};
use corkspan_version_fencing::{
    MinimumVersion, RaiseError, ReportedVersion, check_adoption, propose,
};
use std::collections::VecDeque;
use test_case::test_case;

fn told(dispatcher: u32, version: u64) -> DispatcherReport {
    DispatcherReport {
        dispatcher,
        incarnation: u64::from(dispatcher) + 100,
        version,
        digest: format!("of {version}"),
        on_trial: false,
        has_stream: true,
        last_rejected: None,
        rolled_back: Vec::new(),
        fenced: false,
        operations: [((version, OperationKind::Attempt), 6)]
            .into_iter()
            .collect(),
    }
}

fn of(all: Vec<Option<DispatcherReport>>) -> Vec<Finding> {
    let named = all
        .into_iter()
        .enumerate()
        .map(|(index, told)| (index.to_string(), told));
    dispatcher_findings(&named.collect::<Vec<_>>())
}

#[test]
fn a_sound_fleet_has_no_findings() {
    assert_eq!(
        of(vec![Some(told(0, 7)), Some(told(1, 7)), Some(told(1, 7))]),
        []
    );
}

#[test_case(DispatcherReport { has_stream: false, ..told(1, 6) }, LagReason::NoStream)]
#[test_case(DispatcherReport { last_rejected: Some((7, "split".into())), ..told(1, 6) }, LagReason::Rejected(7, "split".into()))]
#[test_case(DispatcherReport { rolled_back: vec![7], has_stream: false, ..told(1, 6) }, LagReason::RolledBack(7))]
#[test_case(DispatcherReport { last_rejected: Some((5, "old".into())), ..told(1, 6) }, LagReason::Unknown)]
fn who_is_behind_is_told_with_the_reason(straggler: DispatcherReport, reason: LagReason) {
    let behind = Finding::Behind {
        address: "1".into(),
        version: 6,
        newest: 7,
        reason,
    };
    assert_eq!(of(vec![Some(told(0, 7)), Some(straggler)]), [behind]);
}

#[test]
fn silence_a_second_process_another_digest_and_a_shut_out_one_are_told() {
    let (twice, liar) = (
        DispatcherReport {
            incarnation: 1,
            ..told(0, 7)
        },
        DispatcherReport {
            digest: "another".into(),
            ..told(2, 7)
        },
    );
    let out = DispatcherReport {
        fenced: true,
        ..told(3, 7)
    };
    let (address, other) = ("2".to_string(), "0".to_string());
    let expected = [
        Finding::Unreachable("1".into()),
        Finding::DuplicateNumber {
            address,
            other: other.clone(),
            dispatcher: 0,
        },
        Finding::DigestMismatch {
            address: "3".into(),
            other,
            version: 7,
        },
        Finding::Fenced("4".into()),
    ];
    assert_eq!(
        of(vec![
            Some(told(0, 7)),
            None,
            Some(twice),
            Some(liar),
            Some(out)
        ]),
        expected
    );
}

#[test_case(2, 0, Ok(()); "half of the fleet has it")]
#[test_case(1, 1, Err(1); "one has it on trial")]
#[test_case(1, 0, Err(1); "too few")]
fn a_floor_waits_until_enough_have_taken_the_version(
    good: usize,
    on_trial: usize,
    result: Result<(), usize>,
) {
    let runs = |version, on_trial| Some(ReportedVersion { version, on_trial });
    let mut fleet = vec![runs(8, false); good];
    fleet.extend(vec![runs(8, true); on_trial]);
    fleet.extend([None, runs(7, false), runs(7, false)]);
    fleet.truncate(4);
    let result = result.map_err(|adopted| RaiseError::NotAdopted {
        adopted,
        fleet: 4,
        required: 2,
        minimum: 8,
    });
    assert_eq!(check_adoption(&fleet, Some(7), 8, 500), result);
    assert_eq!(
        check_adoption(&fleet, Some(9), 8, 500),
        Ok(()),
        "lowering is never held back"
    );
}

#[test]
fn the_next_wish_is_above_all_that_was_ever_asked_and_needs_a_majority_to_tell() {
    let floor = |revision, proposer, version| MinimumVersion {
        revision,
        proposer,
        version,
    };
    assert_eq!(
        propose(&[Some(floor(1, 1, 2))], 3, 5, 9),
        Err(RaiseError::NoMajority {
            replies: 1,
            members: 3
        })
    );
    assert_eq!(propose(&[None, None], 3, 5, 9), Ok(floor(1, 9, 5)));
    // One that no majority took counts for its number.
    let split = [
        Some(floor(1, 1, 2)),
        Some(floor(4, 2, 3)),
        Some(floor(1, 1, 2)),
    ];
    assert_eq!(propose(&split, 3, 5, 9), Ok(floor(5, 9, 5)));
    assert_eq!(propose(&split, 3, 2, 9), Err(RaiseError::Unchanged(2)));
    let last = [Some(floor(u64::MAX, 1, 2)), None, None];
    assert_eq!(
        propose(&last, 3, 5, 9),
        Ok(floor(u64::MAX, 9, 5)),
        "a liar takes nobody down"
    );
}

#[test]
fn what_nodes_have_seen_of_a_dispatcher_is_held_against_its_own_word() {
    let acted = |incarnation, version, rejected| NodeObservation {
        dispatcher: 1,
        incarnation,
        version,
        kind: OperationKind::Attempt,
        seen: 6,
        rejected,
    };
    let named = |told: DispatcherReport| [("a".to_string(), Some(told))];
    let nodes =
        |acts: Vec<NodeObservation>| [("n".to_string(), Some(acts)), ("m".to_string(), None)];
    let silent = Finding::Unreachable("m".into());
    let of = |told, acts| node_findings(&named(told), &nodes(acts));
    assert_eq!(
        of(told(1, 7), vec![acted(101, 7, 0), acted(1, 9, 0)]),
        std::slice::from_ref(&silent),
        "another life is another"
    );
    let rejected = Finding::RejectedOperations {
        dispatcher: 1,
        version: 6,
        rejected: 2,
    };
    assert_eq!(
        of(told(1, 7), vec![acted(101, 6, 2)]),
        [silent.clone(), rejected]
    );
    let (address, more) = ("a".to_string(), vec![acted(101, 7, 0), acted(101, 7, 0)]);
    let more = (
        of(told(1, 7), more),
        Finding::ExcessOperations {
            address,
            version: 7,
            kind: OperationKind::Attempt,
            seen: 12,
            counted: 6,
        },
    );
    assert_eq!(
        more.0,
        [silent.clone(), more.1],
        "another process under its number and life, or a copy of its acts"
    );
    let ahead = Finding::Ahead {
        address: "a".into(),
        version: 8,
        reported: 7,
    };
    assert_eq!(
        of(told(1, 7), vec![acted(101, 8, 0)]),
        [silent.clone(), ahead]
    );
    assert_eq!(
        of(
            DispatcherReport {
                rolled_back: vec![8],
                ..told(1, 7)
            },
            vec![acted(101, 8, 0)]
        ),
        [silent]
    );
}

#[test]
fn a_peer_that_invents_lives_fills_no_memory_and_hides_nobody_who_was_there() {
    let mut record = OperationCounts::default();
    let by = |incarnation| OperationSource {
        dispatcher: 1,
        incarnation,
        version: 3,
    };
    (0..100_000).for_each(|incarnation| record.record(by(incarnation), OperationKind::Attempt));
    record.record(by(0), OperationKind::Attempt);
    record.record_rejected(by(0), OperationKind::Attempt);
    assert_eq!(
        record.rows().next(),
        Some((
            by(0),
            OperationKind::Attempt,
            OperationCount {
                seen: 2,
                rejected: 1
            }
        ))
    );
    assert_eq!(
        (record.rows().count(), record.uncounted()),
        (8_192, 100_000 - 8_192)
    );
}

#[test]
fn a_record_keeps_the_latest_spans_across_lives_and_counts_one_life_alone() {
    let interval = |version, incarnation| VersionInterval {
        version,
        digest: "d".into(),
        origin: VersionOrigin::Push,
        incarnation,
        from_ms: version,
    };
    let mut record = VersionHistory::restore(VecDeque::new());
    (0..300).for_each(|version| record.begin(interval(version, 1)));
    record.count_operations(299, OperationKind::Attempt, 3);
    assert_eq!(
        (record.intervals().len(), record.intervals()[0].version),
        (256, 44)
    );
    let mut following = VersionHistory::restore(record.intervals().clone());
    assert_eq!(
        (
            following.intervals(),
            following.operations_by_version().count()
        ),
        (record.intervals(), 0)
    );
    following.begin(interval(300, 2));
    (0..10_000).for_each(|version| following.count_operations(version, OperationKind::Stop, 1));
    assert_eq!(
        (
            following.intervals().len(),
            following.operations_by_version().count(),
            following.operations_by_version().last()
        ),
        (256, 1_280, Some((9_999, OperationKind::Stop, 1)))
    );
}
