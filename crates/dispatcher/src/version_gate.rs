//! The minimum version as this dispatcher knows it, and the history of its own versions and
//! operations.

use crate::clock::wall_ms;
use corkspan_api::v1;
use corkspan_config::version::VersionId;
use corkspan_version_fencing::history::{VersionHistory, VersionInterval, VersionOrigin};
use corkspan_version_fencing::operations::{OperationKind, VersionedOperation};
use corkspan_version_fencing::{MinimumVersion, VersionGate};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing::{info, warn};

/// Largest number of dispatchers that catch up from this one at a time.
const MAX_CATCH_UP_STREAMS: usize = 4;

/// The minimum version as this dispatcher knows it, its incarnation, and the history of its
/// versions.
pub struct FencingState {
    /// Number of this incarnation, sent with each operation. It changes with each start.
    pub incarnation: u64,
    gate: Mutex<VersionGate>,
    /// Counts the dispatchers that catch up from here: each holds one reference, and this struct
    /// holds one.
    catch_up_permits: Arc<()>,
    history: Mutex<VersionHistory>,
    /// Number of changes of the history.
    pub history_changes: AtomicU64,
    /// Number of these changes that are on disk.
    pub history_changes_written: AtomicU64,
}

impl FencingState {
    /// Creates the state. `intervals`: the history of earlier incarnations. `running`: the active
    /// version at the start.
    pub fn new(incarnation: u64, intervals: VecDeque<VersionInterval>, running: VersionId) -> Self {
        let history = Mutex::new(VersionHistory::restore(intervals));
        let (gate, catch_up_permits, history_changes, history_changes_written) = Default::default();
        let fencing = FencingState {
            incarnation,
            gate,
            catch_up_permits,
            history,
            history_changes,
            history_changes_written,
        };
        fencing.version_activated(
            running,
            if running.number == 0 {
                VersionOrigin::File
            } else {
                VersionOrigin::Restored
            },
        );
        fencing
    }

    pub fn history(&self) -> MutexGuard<'_, VersionHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a version is active from now on.
    pub fn version_activated(&self, version_id: VersionId, version_origin: VersionOrigin) {
        let (version, digest, from_ms) =
            (version_id.number, version_id.digest.to_string(), wall_ms());
        self.history().begin(VersionInterval {
            version,
            digest,
            origin: version_origin,
            incarnation: self.incarnation,
            from_ms,
        });
        self.history_changes.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a permit, valid until dropped, for one more dispatcher to catch up from here. The
    /// number is limited because hundreds at once would delay placements.
    pub fn catch_up_permit(&self) -> Option<Arc<()>> {
        (Arc::strong_count(&self.catch_up_permits) <= MAX_CATCH_UP_STREAMS)
            .then(|| Arc::clone(&self.catch_up_permits))
    }

    /// Returns whether a part of the history is not on disk yet.
    pub fn has_unwritten_history(&self) -> bool {
        self.history_changes_written.load(Ordering::Relaxed)
            < self.history_changes.load(Ordering::Relaxed)
    }

    /// Counts operations that are about to be sent.
    pub fn record_operations(&self, version_id: VersionId, kind: OperationKind, count_sent: usize) {
        self.history()
            .count_operations(version_id.number, kind, count_sent as u64);
    }

    /// Returns the history and the counts of operations as messages for operators.
    pub fn history_messages(&self) -> (Vec<v1::VersionInterval>, Vec<v1::OperationCount>) {
        let history = self.history();
        let span = |span: &VersionInterval| v1::VersionInterval {
            version: Some(v1::VersionId {
                number: span.version,
                digest: span.digest.clone(),
            }),
            origin: match span.origin {
                VersionOrigin::File => v1::version_interval::Origin::File,
                VersionOrigin::Restored => v1::version_interval::Origin::Cached,
                VersionOrigin::Push => v1::version_interval::Origin::Push,
                VersionOrigin::Rollback => v1::version_interval::Origin::Rollback,
                VersionOrigin::CatchUp => v1::version_interval::Origin::CatchUp,
            }
            .into(),
            incarnation: span.incarnation,
            from_ms: span.from_ms,
        };
        let count = |(operation, count_sent): (VersionedOperation, u64)| v1::OperationCount {
            version: operation.version,
            kind: operation.kind as u32,
            count: count_sent,
        };
        (
            history.intervals().iter().map(span).collect(),
            history.operations().map(count).collect(),
        )
    }

    pub fn gate(&self) -> MutexGuard<'_, VersionGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn minimum_version(&self) -> Option<MinimumVersion> {
        self.gate().minimum()
    }

    /// Returns the minimum version that fences a dispatcher with this version, if any does.
    pub fn fenced_by(&self, running: VersionId) -> Option<MinimumVersion> {
        self.gate().fenced_by(running.number)
    }

    /// Handles the minimum version that a node has reported when it rejected an attempt.
    pub fn node_reported(&self, minimum: MinimumVersion, running: VersionId) {
        if self.gate().apply_node_report(minimum) {
            log_minimum_version(minimum, running, "a node");
        }
    }
}

/// Logs a new minimum version.
pub fn log_minimum_version(minimum: MinimumVersion, running: VersionId, from: &str) {
    let MinimumVersion {
        revision: number,
        version: lowest,
        ..
    } = minimum;
    if running.number < lowest {
        warn!(
            number,
            lowest,
            running = running.number,
            from,
            "fenced: the running version is below the minimum version"
        );
    } else {
        info!(number, lowest, from, "the minimum version has changed");
    }
}

/// Converts a minimum version to a message.
pub fn minimum_version_message(minimum: MinimumVersion) -> v1::MinimumVersion {
    v1::MinimumVersion {
        revision: minimum.revision,
        proposer: minimum.proposer,
        version: minimum.version,
    }
}

/// Converts a message to a minimum version.
pub fn minimum_version_from_message(minimum: &v1::MinimumVersion) -> MinimumVersion {
    MinimumVersion {
        revision: minimum.revision,
        proposer: minimum.proposer,
        version: minimum.version,
    }
}
