//! The version history of a dispatcher: which version was active from which time, its origin, and
//! how many operations were sent under it. Memory use is bounded. Times are passed in, in
//! milliseconds since 1970.

use crate::operations::{OperationKind, VersionedOperation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Largest number of intervals kept; the oldest are dropped first.
const MAX_INTERVALS: usize = 256;
/// Largest number of versions whose operations are counted in this incarnation.
const MAX_COUNTED_VERSIONS: usize = 256;
const MAX_COUNTS: usize = MAX_COUNTED_VERSIONS * OperationKind::ALL.len();

/// The origin of an active version. The stored names are those of earlier releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionOrigin {
    /// Read from the dispatcher's own file at the start.
    File,
    /// Restored at the start, as an earlier incarnation had stored it.
    #[serde(rename = "kept")]
    Restored,
    /// Pushed by the control service.
    Push,
    /// The last good version, after a later one was rolled back.
    #[serde(rename = "gave-up")]
    Rollback,
    /// Fetched from another dispatcher or a quorum member.
    #[serde(rename = "brought")]
    CatchUp,
}

/// The time for which a version is active, until the next interval begins. Stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    /// The version.
    pub version: u64,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// Its origin.
    #[serde(rename = "how")]
    pub origin: VersionOrigin,
    /// Incarnation of the process that activated it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of its activation, in milliseconds since 1970.
    pub from_ms: u64,
}

/// The versions that were active at a dispatcher over its incarnations, and the operations of the
/// present incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// In order of time, the oldest first.
    intervals: VecDeque<VersionInterval>,
    operations: BTreeMap<VersionedOperation, u64>,
}

impl VersionHistory {
    /// Creates the history of a new incarnation, which continues the intervals of earlier ones.
    pub fn restore(mut intervals: VecDeque<VersionInterval>) -> VersionHistory {
        let excess = intervals.len().saturating_sub(MAX_INTERVALS);
        intervals.drain(..excess);
        VersionHistory {
            intervals,
            operations: BTreeMap::new(),
        }
    }

    /// Begins an interval and ends the previous one.
    pub fn begin(&mut self, interval: VersionInterval) {
        if self.intervals.len() >= MAX_INTERVALS {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval);
    }

    /// Counts operations that are about to be sent. To be called before they are sent, so that no
    /// node can have seen more than are counted.
    pub fn count_operations(&mut self, version: u64, kind: OperationKind, count: u64) {
        let operation = VersionedOperation { version, kind };
        if self.operations.len() >= MAX_COUNTS && !self.operations.contains_key(&operation) {
            self.operations.pop_first();
        }
        *self.operations.entry(operation).or_default() += count;
    }

    /// Returns the intervals, the oldest first.
    pub fn intervals(&self) -> &VecDeque<VersionInterval> {
        &self.intervals
    }

    /// Iterates over the number of operations that this incarnation has sent, by version and kind.
    pub fn operations(&self) -> impl Iterator<Item = (VersionedOperation, u64)> {
        self.operations
            .iter()
            .map(|(&operation, &count)| (operation, count))
    }
}
