//! Tests of the findings of an audit.

use corkspan_version_fencing::audit::{
    DispatcherReport, Finding, LagReason, NodeObservation, RejectedVersion, Reply,
    dispatcher_findings, node_findings,
};
use corkspan_version_fencing::operations::{OperationKind, VersionedOperation};
use test_case::test_case;

fn report(dispatcher: u32, version: u64) -> DispatcherReport {
    let operation = VersionedOperation {
        version,
        kind: OperationKind::Attempt,
    };
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
        operations: [(operation, 6)].into_iter().collect(),
    }
}

fn rejected(version: u64, reason: &str) -> RejectedVersion {
    RejectedVersion {
        version,
        reason: reason.into(),
    }
}

fn findings_of(reports: Vec<Option<DispatcherReport>>) -> Vec<Finding> {
    let replies = reports
        .into_iter()
        .enumerate()
        .map(|(index, report)| Reply {
            address: index.to_string(),
            report,
        });
    dispatcher_findings(&replies.collect::<Vec<_>>())
}

#[test]
fn a_healthy_fleet_has_no_findings() {
    assert_eq!(
        findings_of(vec![
            Some(report(0, 7)),
            Some(report(1, 7)),
            Some(report(1, 7))
        ]),
        []
    );
}

#[test_case(DispatcherReport { has_stream: false, ..report(1, 6) }, LagReason::NoStream)]
#[test_case(DispatcherReport { last_rejected: Some(rejected(7, "split")), ..report(1, 6) }, LagReason::Rejected(rejected(7, "split")))]
#[test_case(DispatcherReport { rolled_back: vec![7], has_stream: false, ..report(1, 6) }, LagReason::RolledBack(7))]
#[test_case(DispatcherReport { last_rejected: Some(rejected(5, "old")), ..report(1, 6) }, LagReason::Unknown)]
fn a_dispatcher_that_is_behind_is_reported_with_the_reason(
    lagging: DispatcherReport,
    reason: LagReason,
) {
    let behind = Finding::Behind {
        address: "1".into(),
        version: 6,
        newest: 7,
        reason,
    };
    assert_eq!(
        findings_of(vec![Some(report(0, 7)), Some(lagging)]),
        [behind]
    );
}

#[test]
fn unreachable_duplicate_diverging_and_fenced_dispatchers_are_reported() {
    let duplicate = DispatcherReport {
        incarnation: 1,
        ..report(0, 7)
    };
    let diverging = DispatcherReport {
        digest: "another".into(),
        ..report(2, 7)
    };
    let fenced = DispatcherReport {
        fenced: true,
        ..report(3, 7)
    };
    let expected = [
        Finding::Unreachable("1".into()),
        Finding::DuplicateNumber {
            address: "2".into(),
            other: "0".into(),
            dispatcher: 0,
        },
        Finding::DigestMismatch {
            address: "3".into(),
            other: "0".into(),
            version: 7,
        },
        Finding::Fenced("4".into()),
    ];
    assert_eq!(
        findings_of(vec![
            Some(report(0, 7)),
            None,
            Some(duplicate),
            Some(diverging),
            Some(fenced)
        ]),
        expected
    );
}

/// Returns a node's report of six attempts of dispatcher 1.
fn observation(incarnation: u64, version: u64, rejected: u64) -> NodeObservation {
    NodeObservation {
        dispatcher: 1,
        incarnation,
        version,
        kind: OperationKind::Attempt,
        seen: 6,
        rejected,
    }
}

/// Returns the findings for one dispatcher, one node with these counts and one unreachable node,
/// without the finding for the unreachable node.
fn findings_with_nodes(
    dispatcher: DispatcherReport,
    observations: Vec<NodeObservation>,
) -> Vec<Finding> {
    let dispatchers = [Reply {
        address: "a".into(),
        report: Some(dispatcher),
    }];
    let nodes = [("n", Some(observations)), ("m", None)].map(|(address, report)| Reply {
        address: address.into(),
        report,
    });
    let mut findings = node_findings(&dispatchers, &nodes);
    assert_eq!(findings.remove(0), Finding::Unreachable("m".into()));
    findings
}

#[test]
fn counts_of_nodes_are_compared_with_the_dispatchers_own_report() {
    let own = observation(101, 7, 0);
    assert_eq!(
        findings_with_nodes(report(1, 7), vec![own, observation(1, 9, 0)]),
        [],
        "another incarnation is another process"
    );
    assert_eq!(
        findings_with_nodes(report(1, 7), vec![observation(101, 6, 2)]),
        [Finding::RejectedOperations {
            dispatcher: 1,
            version: 6,
            rejected: 2,
        }]
    );
    assert_eq!(
        findings_with_nodes(report(1, 7), vec![own, own]),
        [Finding::ExcessOperations {
            address: "a".into(),
            version: 7,
            kind: OperationKind::Attempt,
            seen: 12,
            counted: 6,
        }],
        "another process with its number and incarnation, or duplicated operations"
    );
    let later = observation(101, 8, 0);
    assert_eq!(
        findings_with_nodes(report(1, 7), vec![later]),
        [Finding::Ahead {
            address: "a".into(),
            version: 8,
            reported: 7,
        }]
    );
    let rolled_back = DispatcherReport {
        rolled_back: vec![8],
        ..report(1, 7)
    };
    assert_eq!(findings_with_nodes(rolled_back, vec![later]), []);
}
