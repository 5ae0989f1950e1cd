//! What a dispatcher remembers of itself: which version was in force from when to when, how it
//! came, and its acts. Bounded; times are told by the caller, in milliseconds since 1970.

use crate::operations::OperationKind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Spans that are kept: of older ones nothing is known any more.
const MAX_INTERVALS: usize = 256;
/// Versions of this life whose acts are counted.
const MAX_COUNTED_VERSIONS: usize = 256;
const OPERATION_KINDS: usize = 5;

/// How a version came to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionOrigin {
    /// The dispatcher's own file, at a start.
    File,
    /// Kept from an earlier life, at a start.
    #[serde(rename = "kept")]
    Restored,
    Push,
    /// The one in force before it was given up.
    #[serde(rename = "gave-up")]
    Rollback,
    /// Brought by another dispatcher or a keeper.
    #[serde(rename = "brought")]
    CatchUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionInterval {
    pub version: u64,
    pub digest: String,
    #[serde(rename = "how")]
    pub origin: VersionOrigin,
    /// Of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    pub from_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// The oldest first; each goes on until the next begins.
    intervals: VecDeque<VersionInterval>,
    /// Acts of the life that goes on.
    operations: BTreeMap<(u64, OperationKind), u64>,
}

impl VersionHistory {
    /// A new life goes on from the spans that an earlier one kept.
    pub fn restore(mut intervals: VecDeque<VersionInterval>) -> VersionHistory {
        let surplus = intervals.len().saturating_sub(MAX_INTERVALS);
        intervals.drain(..surplus);
        VersionHistory {
            intervals,
            operations: BTreeMap::new(),
        }
    }

    pub fn begin(&mut self, interval: VersionInterval) {
        if self.intervals.len() >= MAX_INTERVALS {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval);
    }

    /// So many acts are about to be sent. Counted before they can reach anybody, so nobody can have
    /// seen more.
    pub fn count_operations(&mut self, version: u64, kind: OperationKind, count: u64) {
        if self.operations.len() >= MAX_COUNTED_VERSIONS * OPERATION_KINDS
            && !self.operations.contains_key(&(version, kind))
        {
            self.operations.pop_first();
        }
        *self.operations.entry((version, kind)).or_default() += count;
    }

    pub fn intervals(&self) -> &VecDeque<VersionInterval> {
        &self.intervals
    }

    /// Acts of this life, by version and kind.
    pub fn operations_by_version(&self) -> impl Iterator<Item = (u64, OperationKind, u64)> {
        self.operations
            .iter()
            .map(|(&(version, kind), &count)| (version, kind, count))
    }
}
