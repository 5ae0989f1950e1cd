//! Finds faults in a fleet by comparing the reports of its dispatchers and the counts of its nodes.

use crate::operations::{OperationKind, VersionedOperation};
use std::collections::BTreeMap;

/// The reply of one process to the audit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<T> {
    /// Address of the process, as the operator gave it.
    pub address: String,
    /// The report; `None` if the process did not reply.
    pub report: Option<T>,
}

/// A dispatcher's report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatcherReport {
    /// Its number in the fleet.
    pub dispatcher: u32,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// The active version.
    pub version: u64,
    /// Digest of that version, in hexadecimal.
    pub digest: String,
    /// Whether the active version is on trial.
    pub on_trial: bool,
    /// Whether a control service streams versions to it.
    pub has_stream: bool,
    /// The version that it rejected last.
    pub last_rejected: Option<RejectedVersion>,
    /// Versions that it rolled back on its own.
    pub rolled_back: Vec<u64>,
    /// Whether its version is below the minimum that it knows of.
    pub fenced: bool,
    /// Operations of this incarnation, by its own count.
    pub operations: BTreeMap<VersionedOperation, u64>,
}

/// A version that a dispatcher did not activate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedVersion {
    /// The version.
    pub version: u64,
    /// The reason that the dispatcher gives.
    pub reason: String,
}

/// A node's report about the operations of one process, of one kind and under one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeObservation {
    /// Number of the dispatcher.
    pub dispatcher: u32,
    /// Incarnation of the dispatcher's process.
    pub incarnation: u64,
    /// The version that the operations were decided under.
    pub version: u64,
    /// Kind of the operations.
    pub kind: OperationKind,
    /// Number of operations that arrived.
    pub seen: u64,
    /// Number of them that were rejected as below the minimum version.
    pub rejected: u64,
}

/// The reason why a dispatcher is behind, as far as its report shows it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LagReason {
    /// It rolled back a later version.
    #[error("it rolled back version {0}")]
    RolledBack(u64),
    /// It rejected a later version.
    #[error("it rejected version {}: {}", .0.version, .0.reason)]
    Rejected(RejectedVersion),
    /// No control service streams versions to it.
    #[error("no control service streams to it")]
    NoStream,
    /// The report gives no reason.
    #[error("its report gives no reason")]
    Unknown,
}

/// A fault that the audit found. `address` is the address of the process concerned.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    /// A process did not reply.
    #[error("{0} does not answer")]
    Unreachable(String),
    /// A dispatcher runs an earlier version than another.
    #[error("{address} is behind: on version {version}, the newest is {newest}; {reason}")]
    Behind {
        /// The dispatcher.
        address: String,
        /// The version that it runs.
        version: u64,
        /// The newest version that any dispatcher runs.
        newest: u64,
        /// The reason why it does not run the newest.
        reason: LagReason,
    },
    /// A dispatcher is fenced.
    #[error("{0} is fenced: its version is below the minimum version")]
    Fenced(String),
    /// Two processes run under the same number.
    #[error("{address} and {other} are two processes under the number {dispatcher}")]
    DuplicateNumber {
        /// Address of the process that was polled later.
        address: String,
        /// Address of the process that was polled first.
        other: String,
        /// Their number.
        dispatcher: u32,
    },
    /// Nodes have rejected operations of a dispatcher.
    #[error(
        "{rejected} operations of dispatcher {dispatcher} under version {version} were rejected as below the minimum version"
    )]
    RejectedOperations {
        /// Number of the dispatcher.
        dispatcher: u32,
        /// The version that the operations were decided under.
        version: u64,
        /// Number of rejected operations.
        rejected: u64,
    },
    /// Nodes have seen operations under a later version than a dispatcher reports.
    #[error(
        "{address} reports version {reported}, and nodes have seen operations of it under version {version}"
    )]
    Ahead {
        /// The dispatcher.
        address: String,
        /// The version of the operations that nodes have seen.
        version: u64,
        /// The version that it reports.
        reported: u64,
    },
    /// Nodes have seen more operations than a dispatcher has sent.
    #[error(
        "nodes have seen {seen} {kind} of {address} under version {version}, and it counts {counted}"
    )]
    ExcessOperations {
        /// The dispatcher.
        address: String,
        /// The version that the operations were decided under.
        version: u64,
        /// Kind of the operations.
        kind: OperationKind,
        /// Number of operations that nodes have seen.
        seen: u64,
        /// Number of operations that the dispatcher counts.
        counted: u64,
    },
    /// Two dispatchers run one version with different contents.
    #[error("{address} and {other} run version {version} with different digests")]
    DigestMismatch {
        /// Address of the dispatcher that was polled later.
        address: String,
        /// Address of the dispatcher that was polled first.
        other: String,
        /// The version that both run.
        version: u64,
    },
}

/// A dispatcher and a version, which identify its operations over all incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DispatcherVersion {
    /// Number of the dispatcher.
    pub dispatcher: u32,
    /// The version that the operations were decided under.
    pub version: u64,
}

/// The number of operations that nodes have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationTotals {
    /// Attempts to start a task.
    pub attempts: u64,
    /// Operations of all other kinds.
    pub others: u64,
    /// Operations of all kinds that were rejected as below the minimum version.
    pub rejected: u64,
}

fn observations(nodes: &[Reply<Vec<NodeObservation>>]) -> impl Iterator<Item = &NodeObservation> {
    nodes.iter().flat_map(|node| &node.report).flatten()
}

/// Sums the operations that nodes have seen, over nodes and incarnations.
pub fn operation_totals(
    nodes: &[Reply<Vec<NodeObservation>>],
) -> BTreeMap<DispatcherVersion, OperationTotals> {
    let mut totals: BTreeMap<DispatcherVersion, OperationTotals> = BTreeMap::new();
    for observation in observations(nodes) {
        let total = totals
            .entry(DispatcherVersion {
                dispatcher: observation.dispatcher,
                version: observation.version,
            })
            .or_default();
        let count = match observation.kind {
            OperationKind::Attempt => &mut total.attempts,
            _ => &mut total.others,
        };
        *count = count.saturating_add(observation.seen);
        total.rejected = total.rejected.saturating_add(observation.rejected);
    }
    totals
}

/// Returns the faults that the nodes' reports show, alone or compared with the dispatchers'
/// reports.
pub fn node_findings(
    dispatchers: &[Reply<DispatcherReport>],
    nodes: &[Reply<Vec<NodeObservation>>],
) -> Vec<Finding> {
    let unreachable = nodes
        .iter()
        .filter(|node| node.report.is_none())
        .map(|node| Finding::Unreachable(node.address.clone()));
    let mut findings: Vec<Finding> = unreachable.collect();
    for (operations, totals) in operation_totals(nodes) {
        if totals.rejected > 0 {
            findings.push(Finding::RejectedOperations {
                dispatcher: operations.dispatcher,
                version: operations.version,
                rejected: totals.rejected,
            });
        }
    }
    for dispatcher in dispatchers {
        if let Some(report) = &dispatcher.report {
            let seen = seen_by_nodes(report, nodes);
            findings.extend(excess_operations(&dispatcher.address, report, &seen));
            findings.extend(ahead(&dispatcher.address, report, &seen));
        }
    }
    findings
}

/// Sums the operations of one process over all nodes.
fn seen_by_nodes(
    report: &DispatcherReport,
    nodes: &[Reply<Vec<NodeObservation>>],
) -> BTreeMap<VersionedOperation, u64> {
    let mut sums: BTreeMap<VersionedOperation, u64> = BTreeMap::new();
    let process_observations = observations(nodes).filter(|observation| {
        observation.dispatcher == report.dispatcher && observation.incarnation == report.incarnation
    });
    for observation in process_observations {
        let sum = sums
            .entry(VersionedOperation {
                version: observation.version,
                kind: observation.kind,
            })
            .or_default();
        *sum = sum.saturating_add(observation.seen);
    }
    sums
}

/// Returns the operations of which nodes have seen more than the dispatcher counts. Versions that
/// the dispatcher has forgotten have no counts in its report and are not compared.
fn excess_operations<'a>(
    address: &'a str,
    report: &'a DispatcherReport,
    seen: &'a BTreeMap<VersionedOperation, u64>,
) -> impl Iterator<Item = Finding> + 'a {
    report
        .operations
        .iter()
        .filter_map(move |(operation, &counted)| {
            let seen = seen.get(operation).copied().unwrap_or(0);
            (seen > counted).then(|| Finding::ExcessOperations {
                address: address.into(),
                version: operation.version,
                kind: operation.kind,
                seen,
                counted,
            })
        })
}

/// Returns the latest version above the reported one under which nodes have seen operations, unless
/// the dispatcher has rolled it back since.
fn ahead(
    address: &str,
    report: &DispatcherReport,
    seen: &BTreeMap<VersionedOperation, u64>,
) -> Option<Finding> {
    let versions = seen.keys().map(|operation| operation.version);
    let latest = versions.filter(|version| *version > report.version).max()?;
    (!report.rolled_back.contains(&latest)).then(|| Finding::Ahead {
        address: address.into(),
        version: latest,
        reported: report.version,
    })
}

/// Returns the faults that the dispatchers' reports show, in the order of the reports.
pub fn dispatcher_findings(dispatchers: &[Reply<DispatcherReport>]) -> Vec<Finding> {
    let reports = dispatchers.iter().filter_map(|reply| reply.report.as_ref());
    let newest = reports.map(|report| report.version).max().unwrap_or(0);
    let mut comparison = Comparison::default();
    let mut findings = Vec::new();
    for Reply { address, report } in dispatchers {
        let Some(report) = report else {
            findings.push(Finding::Unreachable(address.clone()));
            continue;
        };
        if report.version < newest {
            findings.push(Finding::Behind {
                address: address.clone(),
                version: report.version,
                newest,
                reason: lag_reason(report),
            });
        }
        if report.fenced {
            findings.push(Finding::Fenced(address.clone()));
        }
        findings.extend(comparison.duplicate_number(address, report));
        findings.extend(comparison.digest_mismatch(address, report));
    }
    findings
}

/// The first dispatcher seen with each number and with each version.
#[derive(Default)]
struct Comparison<'a> {
    by_number: BTreeMap<u32, (&'a str, u64)>,
    by_version: BTreeMap<u64, (&'a str, &'a str)>,
}

impl<'a> Comparison<'a> {
    /// Returns a finding if another process has the same number. A process that was polled at two
    /// addresses has the same incarnation, and is no duplicate.
    fn duplicate_number(&mut self, address: &'a str, report: &DispatcherReport) -> Option<Finding> {
        let (other, incarnation) = *self
            .by_number
            .entry(report.dispatcher)
            .or_insert((address, report.incarnation));
        (incarnation != report.incarnation).then(|| Finding::DuplicateNumber {
            address: address.into(),
            other: other.into(),
            dispatcher: report.dispatcher,
        })
    }

    /// Returns a finding if another dispatcher has different contents under the same version.
    /// Version 0 is each dispatcher's own file, and may differ.
    fn digest_mismatch(
        &mut self,
        address: &'a str,
        report: &'a DispatcherReport,
    ) -> Option<Finding> {
        let (other, digest) = *self
            .by_version
            .entry(report.version)
            .or_insert((address, &report.digest));
        (report.version > 0 && digest != report.digest).then(|| Finding::DigestMismatch {
            address: address.into(),
            other: other.into(),
            version: report.version,
        })
    }
}

fn lag_reason(report: &DispatcherReport) -> LagReason {
    let rolled_back = report.rolled_back.iter().copied();
    let later = rolled_back.filter(|version| *version > report.version);
    match (later.max(), &report.last_rejected) {
        (Some(version), _) => LagReason::RolledBack(version),
        (None, Some(rejected)) if rejected.version > report.version => {
            LagReason::Rejected(rejected.clone())
        }
        _ if !report.has_stream => LagReason::NoStream,
        _ => LagReason::Unknown,
    }
}
