//! Tests of the bounds on a node's counts and on a dispatcher's history.

use corkspan_version_fencing::history::{VersionHistory, VersionInterval, VersionOrigin};
use corkspan_version_fencing::operations::{
    OperationCount, OperationCounts, OperationKind, OperationRow, OperationSource,
    VersionedOperation,
};
use std::collections::VecDeque;

#[test]
fn a_peer_that_invents_incarnations_cannot_exhaust_memory_or_displace_rows() {
    let mut counts = OperationCounts::default();
    let source = |incarnation| OperationSource {
        dispatcher: 1,
        incarnation,
        version: 3,
    };
    (0..100_000).for_each(|incarnation| counts.record(source(incarnation), OperationKind::Attempt));
    counts.record(source(0), OperationKind::Attempt);
    counts.record_rejected(source(0), OperationKind::Attempt);
    let expected = OperationRow {
        source: source(0),
        kind: OperationKind::Attempt,
        count: OperationCount {
            seen: 2,
            rejected: 1,
        },
    };
    assert_eq!(counts.rows().next(), Some(expected));
    assert_eq!(
        (counts.rows().count(), counts.uncounted()),
        (8_192, 100_000 - 8_192)
    );
}

#[test]
fn a_history_keeps_the_latest_intervals_of_all_incarnations_and_the_counts_of_one() {
    let interval = |version, incarnation| VersionInterval {
        version,
        digest: "d".into(),
        origin: VersionOrigin::Push,
        incarnation,
        from_ms: version,
    };
    let mut history = VersionHistory::restore(VecDeque::new());
    (0..300).for_each(|version| history.begin(interval(version, 1)));
    history.count_operations(299, OperationKind::Attempt, 3);
    assert_eq!(
        (history.intervals().len(), history.intervals()[0].version),
        (256, 44)
    );
    let mut next = VersionHistory::restore(history.intervals().clone());
    assert_eq!(
        (next.intervals(), next.operations().count()),
        (history.intervals(), 0)
    );
    next.begin(interval(300, 2));
    (0..10_000).for_each(|version| next.count_operations(version, OperationKind::Stop, 1));
    let last = VersionedOperation {
        version: 9_999,
        kind: OperationKind::Stop,
    };
    assert_eq!(
        (
            next.intervals().len(),
            next.operations().count(),
            next.operations().last()
        ),
        (256, 1_280, Some((last, 1)))
    );
}
