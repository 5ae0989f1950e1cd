//! What is wrong in a fleet, by what its dispatchers tell of themselves.

use crate::operations::OperationKind;
use std::collections::BTreeMap;

/// What one dispatcher tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatcherReport {
    /// Its number in the fleet.
    pub dispatcher: u32,
    /// Which process it is.
    pub incarnation: u64,
    pub version: u64,
    pub digest: String,
    pub on_trial: bool,
    /// A control service streams versions to it.
    pub has_stream: bool,
    /// What it turned down last, with the reasons, where that is later than what it runs.
    pub last_rejected: Option<(u64, String)>,
    /// Versions that it gave up by itself.
    pub rolled_back: Vec<u64>,
    pub fenced: bool,
    /// Its acts in this life, as it counts them itself.
    pub operations: BTreeMap<(u64, OperationKind), u64>,
}

/// Why a dispatcher is behind, as far as it can tell.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LagReason {
    #[error("it gave version {0} up")]
    RolledBack(u64),
    #[error("it turned version {0} down: {1}")]
    Rejected(u64, String),
    #[error("no control service streams to it")]
    NoStream,
    #[error("it does not tell why")]
    Unknown,
}

/// One thing that is wrong. Dispatchers are named as they were asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    #[error("{0} does not answer")]
    Unreachable(String),
    #[error("{address} is behind: on version {version}, the newest is {newest}; {reason}")]
    Behind {
        address: String,
        version: u64,
        newest: u64,
        reason: LagReason,
    },
    #[error("{0} is shut out by the floor of versions")]
    Fenced(String),
    #[error("{address} and {other} are two processes under the number {dispatcher}")]
    DuplicateNumber {
        address: String,
        other: String,
        dispatcher: u32,
    },
    #[error(
        "{rejected} acts of dispatcher {dispatcher} under version {version} were turned away by the floor"
    )]
    RejectedOperations {
        dispatcher: u32,
        version: u64,
        rejected: u64,
    },
    #[error(
        "{address} says that it runs version {reported}, and nodes have seen acts of it under version {version}"
    )]
    Ahead {
        address: String,
        version: u64,
        reported: u64,
    },
    #[error(
        "nodes have seen {seen} {kind} of {address} under version {version}, and it counts {counted}"
    )]
    ExcessOperations {
        address: String,
        version: u64,
        kind: OperationKind,
        seen: u64,
        counted: u64,
    },
    #[error("{address} and {other} run version {version} with different digests")]
    DigestMismatch {
        address: String,
        other: String,
        version: u64,
    },
}

/// What one node tells of one process's acts of one kind under one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    pub dispatcher: u32,
    pub incarnation: u64,
    pub version: u64,
    pub kind: OperationKind,
    pub seen: u64,
    /// Of them, turned away by the floor.
    pub rejected: u64,
}

/// How many acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationTotals {
    pub attempts: u64,
    /// Attendances, stops, moves and claims.
    pub others: u64,
    /// Of all, turned away by the floor.
    pub rejected: u64,
}

/// What nodes have seen by dispatcher and version, over all lives and nodes.
pub fn operation_totals(
    nodes: &[(String, Option<Vec<NodeObservation>>)],
) -> BTreeMap<(u32, u64), OperationTotals> {
    let mut sums: BTreeMap<(u32, u64), OperationTotals> = BTreeMap::new();
    for observation in nodes
        .iter()
        .flat_map(|(_, operations)| operations)
        .flatten()
    {
        let sum = sums
            .entry((observation.dispatcher, observation.version))
            .or_default();
        let of_kind = if observation.kind == OperationKind::Attempt {
            &mut sum.attempts
        } else {
            &mut sum.others
        };
        *of_kind = of_kind.saturating_add(observation.seen);
        sum.rejected = sum.rejected.saturating_add(observation.rejected);
    }
    sums
}

/// What nodes tell that is wrong by itself, or against what the dispatchers tell of themselves.
pub fn node_findings(
    reports: &[(String, Option<DispatcherReport>)],
    nodes: &[(String, Option<Vec<NodeObservation>>)],
) -> Vec<Finding> {
    let unreachable = nodes
        .iter()
        .filter(|(_, operations)| operations.is_none())
        .map(|(address, _)| Finding::Unreachable(address.clone()));
    let mut findings: Vec<Finding> = unreachable.collect();
    for ((dispatcher, version), OperationTotals { rejected, .. }) in operation_totals(nodes) {
        if rejected > 0 {
            findings.push(Finding::RejectedOperations {
                dispatcher,
                version,
                rejected,
            });
        }
    }
    for (address, report) in reports {
        let Some(report) = report else { continue };
        let seen = nodes
            .iter()
            .flat_map(|(_, operations)| operations)
            .flatten();
        let own = seen.filter(|observation| {
            observation.dispatcher == report.dispatcher
                && observation.incarnation == report.incarnation
        });
        let mut sums: BTreeMap<(u64, OperationKind), u64> = BTreeMap::new();
        for observation in own {
            let sum = sums
                .entry((observation.version, observation.kind))
                .or_default();
            *sum = sum.saturating_add(observation.seen);
        }
        // Of a version that it counts no more, it tells nothing.
        for (&(version, kind), &counted) in &report.operations {
            let seen = sums.get(&(version, kind)).copied().unwrap_or(0);
            if seen > counted {
                findings.push(Finding::ExcessOperations {
                    address: address.clone(),
                    version,
                    kind,
                    seen,
                    counted,
                });
            }
        }
        let versions = sums.keys().map(|(version, _)| *version);
        let ahead = versions.filter(|version| *version > report.version).max();
        // It may have given that one up since.
        if let Some(version) = ahead.filter(|version| !report.rolled_back.contains(version)) {
            findings.push(Finding::Ahead {
                address: address.clone(),
                version,
                reported: report.version,
            });
        }
    }
    findings
}

/// All findings, in the order in which the dispatchers were asked for.
pub fn dispatcher_findings(reports: &[(String, Option<DispatcherReport>)]) -> Vec<Finding> {
    let newest = reports
        .iter()
        .filter_map(|(_, report)| report.as_ref())
        .map(|report| report.version)
        .max()
        .unwrap_or(0);
    let mut numbers: BTreeMap<u32, (&String, u64)> = BTreeMap::new();
    let mut digests: BTreeMap<u64, (&String, &String)> = BTreeMap::new();
    let mut findings = Vec::new();
    for (address, report) in reports {
        let Some(report) = report else {
            findings.push(Finding::Unreachable(address.clone()));
            continue;
        };
        let (dispatcher, version) = (report.dispatcher, report.version);
        if version < newest {
            findings.push(Finding::Behind {
                address: address.clone(),
                version,
                newest,
                reason: reason(report),
            });
        }
        if report.fenced {
            findings.push(Finding::Fenced(address.clone()));
        }
        // One that is named twice by two addresses is the same life.
        let (other, incarnation) = *numbers
            .entry(dispatcher)
            .or_insert((address, report.incarnation));
        if incarnation != report.incarnation {
            findings.push(Finding::DuplicateNumber {
                address: address.clone(),
                other: other.clone(),
                dispatcher,
            });
        }
        // Version 0 is each one's own file, and may well differ.
        let (other, digest) = *digests.entry(version).or_insert((address, &report.digest));
        if version > 0 && *digest != report.digest {
            findings.push(Finding::DigestMismatch {
                address: address.clone(),
                other: other.clone(),
                version,
            });
        }
    }
    findings
}

fn reason(report: &DispatcherReport) -> LagReason {
    let rolled_back = report
        .rolled_back
        .iter()
        .copied()
        .filter(|rolled_back| *rolled_back > report.version)
        .max();
    match (rolled_back, &report.last_rejected) {
        (Some(version), _) => LagReason::RolledBack(version),
        (None, Some((version, reason))) if *version > report.version => {
            LagReason::Rejected(*version, reason.clone())
        }
        _ if !report.has_stream => LagReason::NoStream,
        _ => LagReason::Unknown,
    }
}
