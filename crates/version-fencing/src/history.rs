//! What a dispatcher remembers of itself: which version was in force from when on, where it came
//! from, and how many operations it sent. Bounded in memory. Times are passed by the caller, in
//! milliseconds since 1970.

use crate::operations::{OperationKind, VersionedOperation};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Intervals that are remembered; the oldest are dropped first.
const MAX_INTERVALS: usize = 256;
/// Versions of this incarnation whose operations are counted.
const MAX_COUNTED_VERSIONS: usize = 256;
const MAX_COUNTS: usize = MAX_COUNTED_VERSIONS * OperationKind::ALL.len();

/// Where a version in force came from. Stored under the names that it had before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionOrigin {
    /// The dispatcher's own file, at a start.
    File,
    /// The one that an earlier incarnation had stored, at a start.
    #[serde(rename = "kept")]
    Restored,
    /// Pushed by the control service.
    Push,
    /// The last good one, after a later one was rolled back.
    #[serde(rename = "gave-up")]
    Rollback,
    /// Fetched from another dispatcher or a quorum member.
    #[serde(rename = "brought")]
    CatchUp,
}

/// A version in force, until the next interval begins. Stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    /// The version.
    pub version: u64,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// Where it came from.
    #[serde(rename = "how")]
    pub origin: VersionOrigin,
    /// Incarnation of the process that put it in force.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// When it came in force, in milliseconds since 1970.
    pub from_ms: u64,
}

/// The versions that a dispatcher had in force over its incarnations, and the operations of the
/// present one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// The oldest first.
    intervals: VecDeque<VersionInterval>,
    operations: BTreeMap<VersionedOperation, u64>,
}

impl VersionHistory {
    /// The history of a new incarnation, which continues the intervals of earlier ones.
    pub fn restore(mut intervals: VecDeque<VersionInterval>) -> VersionHistory {
        let surplus = intervals.len().saturating_sub(MAX_INTERVALS);
        intervals.drain(..surplus);
        VersionHistory {
            intervals,
            operations: BTreeMap::new(),
        }
    }

    /// Begins an interval, which ends the one before.
    pub fn begin(&mut self, interval: VersionInterval) {
        if self.intervals.len() >= MAX_INTERVALS {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval);
    }

    /// Counts operations that are about to be sent. Before they can reach anybody, so that no node
    /// can have seen more than are counted.
    pub fn count_operations(&mut self, version: u64, kind: OperationKind, count: u64) {
        let operation = VersionedOperation { version, kind };
        if self.operations.len() >= MAX_COUNTS && !self.operations.contains_key(&operation) {
            self.operations.pop_first();
        }
        *self.operations.entry(operation).or_default() += count;
    }

    /// The intervals, the oldest first.
    pub fn intervals(&self) -> &VecDeque<VersionInterval> {
        &self.intervals
    }

    /// How many operations of each version and kind this incarnation has sent.
    pub fn operations(&self) -> impl Iterator<Item = (VersionedOperation, u64)> {
        self.operations
            .iter()
            .map(|(&operation, &count)| (operation, count))
    }
}
