//! A node's counts of operations, by kind, sender and version. Memory use is bounded, whatever
//! arrives.

use std::collections::BTreeMap;
use std::fmt;

/// Largest number of rows in a node's counts. It has room for one incarnation of each of 300
/// dispatchers with several versions and kinds, and a peer that invents incarnations can't exhaust
/// the memory.
const MAX_ROWS: usize = 8_192;

/// The kinds of operations that dispatchers send to nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OperationKind {
    /// An attempt to start a task.
    Attempt,
    /// Following a task that a node already has.
    Attend,
    /// Stopping a task.
    Stop,
    /// Stopping a task that has migrated to another node.
    Migrate,
    /// Claiming a slot at a quorum member.
    Claim,
}

impl OperationKind {
    /// All kinds, in the order of their numbers on the wire.
    pub const ALL: [OperationKind; 5] = [
        OperationKind::Attempt,
        OperationKind::Attend,
        OperationKind::Stop,
        OperationKind::Migrate,
        OperationKind::Claim,
    ];
}

/// Writes the plural, as the audit prints it.
impl fmt::Display for OperationKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            OperationKind::Attempt => "attempts",
            OperationKind::Attend => "attendances",
            OperationKind::Stop => "stops",
            OperationKind::Migrate => "migrations",
            OperationKind::Claim => "claims",
        })
    }
}

/// A kind of operation under one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionedOperation {
    /// The version that it was decided under.
    pub version: u64,
    /// Kind of the operation.
    pub kind: OperationKind,
}

/// The sender of an operation: the process, and the version that it decided under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OperationSource {
    /// Number of the dispatcher in its fleet.
    pub dispatcher: u32,
    /// Incarnation of the process, which changes with each start.
    pub incarnation: u64,
    /// The version decided under.
    pub version: u64,
}

/// The number of operations of one source and kind at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCount {
    /// Operations that arrived.
    pub seen: u64,
    /// Operations among them that were rejected as below the minimum version.
    pub rejected: u64,
}

/// One row of a node's counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperationRow {
    /// Sender of the operations.
    pub source: OperationSource,
    /// Kind of the operations.
    pub kind: OperationKind,
    /// Number of the operations.
    pub count: OperationCount,
}

/// A node's counts of operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    rows: BTreeMap<(OperationSource, OperationKind), OperationCount>,
    uncounted: u64,
}

impl OperationCounts {
    /// Counts an operation that arrived.
    pub fn record(&mut self, source: OperationSource, kind: OperationKind) {
        match self.row(source, kind) {
            Some(count) => count.seen += 1,
            None => self.uncounted += 1,
        }
    }

    /// Counts an operation that was recorded before as rejected.
    pub fn record_rejected(&mut self, source: OperationSource, kind: OperationKind) {
        if let Some(count) = self.rows.get_mut(&(source, kind)) {
            count.rejected += 1;
        }
    }

    fn row(&mut self, source: OperationSource, kind: OperationKind) -> Option<&mut OperationCount> {
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&(source, kind)) {
            return None;
        }
        Some(self.rows.entry((source, kind)).or_default())
    }

    /// Iterates over all rows, in order of dispatcher, incarnation, version and kind.
    pub fn rows(&self) -> impl Iterator<Item = OperationRow> {
        self.rows
            .iter()
            .map(|(&(source, kind), &count)| OperationRow {
                source,
                kind,
                count,
            })
    }

    /// Returns the number of operations that were not counted because all rows were in use.
    pub fn uncounted(&self) -> u64 {
        self.uncounted
    }
}
