//! Transcripts of audits, of nodes' counts and of dispatchers' histories.

use crate::{draw, generator, kind, operation};
use corkspan_version_fencing::audit::{
    self, DispatcherReport, Finding, LagReason, NodeObservation, RejectedVersion, Reply,
    dispatcher_findings, node_findings,
};
use corkspan_version_fencing::history::{VersionHistory, VersionInterval, VersionOrigin};
use corkspan_version_fencing::operations::{OperationCounts, OperationSource, VersionedOperation};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;

fn format_lag_reason(reason: &LagReason) -> String {
    match reason {
        LagReason::RolledBack(version) => format!("rolled back {version}"),
        LagReason::Rejected(rejected) => {
            format!("rejected {}: {}", rejected.version, rejected.reason)
        }
        LagReason::NoStream => "no stream".into(),
        LagReason::Unknown => "unknown".into(),
    }
}

fn format_finding(finding: &Finding) -> String {
    match finding {
        Finding::Unreachable(address) => format!("silent {address}"),
        Finding::Behind {
            address,
            version,
            newest,
            reason,
        } => format!(
            "behind {address}: {version} of {newest}, {}",
            format_lag_reason(reason)
        ),
        Finding::Fenced(address) => format!("fenced {address}"),
        Finding::DuplicateNumber {
            address,
            other,
            dispatcher,
        } => format!("duplicate number {dispatcher}: {address} and {other}"),
        Finding::RejectedOperations {
            dispatcher,
            version,
            rejected,
        } => format!("rejected operations of {dispatcher} under {version}: {rejected}"),
        Finding::Ahead {
            address,
            version,
            reported,
        } => format!("ahead {address}: {version} over {reported}"),
        Finding::ExcessOperations {
            address,
            version,
            kind,
            seen,
            counted,
        } => {
            let kind = operation(*kind);
            format!("surplus {address} under {version}: {kind} {seen} over {counted}")
        }
        Finding::DigestMismatch {
            address,
            other,
            version,
        } => format!("digests differ at {version}: {address} and {other}"),
    }
}

fn draw_report(rng: &mut Pcg64Mcg, dispatcher: u32) -> DispatcherReport {
    let version = 6 + draw(rng, 3);
    DispatcherReport {
        dispatcher: dispatcher - u32::from(dispatcher > 0 && draw(rng, 8) == 0),
        incarnation: 100 + draw(rng, 2),
        version,
        digest: format!("d{}", version + 10 * (draw(rng, 6) / 5)),
        on_trial: draw(rng, 4) == 0,
        has_stream: draw(rng, 3) > 0,
        last_rejected: (draw(rng, 3) == 0).then(|| RejectedVersion {
            version: 6 + draw(rng, 4),
            reason: "split".into(),
        }),
        rolled_back: (0..draw(rng, 2)).map(|_| 6 + draw(rng, 4)).collect(),
        fenced: draw(rng, 5) == 0,
        operations: (0..draw(rng, 4))
            .map(|_| {
                (
                    VersionedOperation {
                        version: 6 + draw(rng, 3),
                        kind: kind(rng),
                    },
                    draw(rng, 9),
                )
            })
            .collect(),
    }
}

fn draw_observation(rng: &mut Pcg64Mcg) -> NodeObservation {
    let seen = draw(rng, 9);
    NodeObservation {
        dispatcher: draw(rng, 4) as u32,
        incarnation: 100 + draw(rng, 2),
        version: 6 + draw(rng, 3),
        kind: kind(rng),
        seen,
        rejected: draw(rng, seen + 1) / 3,
    }
}

/// Writes the findings of audits in fleets of four dispatchers and two nodes.
pub fn audits(out: &mut String) {
    let mut rng = generator(5);
    for step in 0..60 {
        let fleet: Vec<Reply<DispatcherReport>> = (0..4)
            .map(|index| {
                let replies = draw(&mut rng, 8) > 0;
                Reply {
                    address: format!("d{index}"),
                    report: replies.then(|| draw_report(&mut rng, index as u32)),
                }
            })
            .collect();
        let nodes: Vec<Reply<Vec<NodeObservation>>> = (0..2)
            .map(|index| {
                let seen = (0..draw(&mut rng, 6))
                    .map(|_| draw_observation(&mut rng))
                    .collect();
                Reply {
                    address: format!("n{index}"),
                    report: (draw(&mut rng, 6) > 0).then_some(seen),
                }
            })
            .collect();
        let findings = dispatcher_findings(&fleet);
        for finding in findings.iter().chain(&node_findings(&fleet, &nodes)) {
            let _ = writeln!(out, "{step}: {}", format_finding(finding));
        }
        for (operations, total) in audit::operation_totals(&nodes) {
            let audit::DispatcherVersion {
                dispatcher,
                version,
            } = operations;
            let audit::OperationTotals {
                attempts,
                others,
                rejected,
            } = total;
            let _ = writeln!(
                out,
                "{step}: sums of {dispatcher} under {version}: {attempts} {others} {rejected}"
            );
        }
    }
}

/// Writes a node's counts of operations and a dispatcher's history of versions.
pub fn counts(out: &mut String) {
    let mut rng = generator(6);
    let mut counts = OperationCounts::default();
    let mut history = VersionHistory::restore(VecDeque::new());
    for step in 0..400 {
        let source = OperationSource {
            dispatcher: draw(&mut rng, 3) as u32,
            incarnation: draw(&mut rng, 2),
            version: draw(&mut rng, 3),
        };
        let kind = kind(&mut rng);
        if draw(&mut rng, 4) == 0 {
            counts.record_rejected(source, kind);
        } else {
            counts.record(source, kind);
        }
        history.count_operations(step / 90, kind, draw(&mut rng, 5));
        history.begin(VersionInterval {
            version: step,
            digest: format!("d{step}"),
            origin: [
                VersionOrigin::File,
                VersionOrigin::Restored,
                VersionOrigin::Push,
                VersionOrigin::Rollback,
                VersionOrigin::CatchUp,
            ][draw(&mut rng, 5) as usize],
            incarnation: step / 100,
            from_ms: 10 * step,
        });
    }
    for row in counts.rows() {
        let (source, count, kind) = (row.source, row.count, operation(row.kind));
        let _ = writeln!(
            out,
            "{} {} {} {kind}: {} of them rejected {}",
            source.dispatcher, source.incarnation, source.version, count.seen, count.rejected
        );
    }
    for (operation_key, count) in history.operations() {
        let _ = writeln!(
            out,
            "{} {}: {count}",
            operation_key.version,
            operation(operation_key.kind)
        );
    }
    let mut origins: BTreeMap<&str, u64> = BTreeMap::new();
    for interval in history.intervals() {
        let origin = match interval.origin {
            VersionOrigin::File => "file",
            VersionOrigin::Restored => "kept",
            VersionOrigin::Push => "push",
            VersionOrigin::Rollback => "rollback",
            VersionOrigin::CatchUp => "caught up",
        };
        *origins.entry(origin).or_default() += interval.version;
    }
    let first = history.intervals().front().map(|interval| interval.version);
    let _ = writeln!(
        out,
        "{} from {first:?}: {origins:?}",
        history.intervals().len()
    );
}
