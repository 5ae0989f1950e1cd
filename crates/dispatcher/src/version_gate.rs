//! What a dispatcher has heard of the floor of versions, and what it remembers of its own versions
//! and acts.

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

/// Stragglers brought up from one dispatcher at a time.
const GIVES: usize = 4;

/// What a dispatcher has heard of the floor, and which process it is.
pub struct Fleet {
    /// Told with each act: another after each start.
    pub life: u64,
    standing: Mutex<VersionGate>,
    /// One for each that is brought up from here at this moment, and one of its own.
    gives: Arc<()>,
    record: Mutex<VersionHistory>,
    /// Changes of the record, and how many of them are on disk.
    pub changed: AtomicU64,
    pub written: AtomicU64,
}

impl Fleet {
    /// `spans`: of earlier lives; `running`: what is in force at the start.
    pub fn new(life: u64, spans: VecDeque<VersionInterval>, running: VersionId) -> Self {
        let record = Mutex::new(VersionHistory::restore(spans));
        let (standing, gives, changed, written) = Default::default();
        let fleet = Fleet {
            life,
            standing,
            gives,
            record,
            changed,
            written,
        };
        fleet.began(
            running,
            if running.number == 0 {
                VersionOrigin::File
            } else {
                VersionOrigin::Restored
            },
        );
        fleet
    }

    pub fn record(&self) -> MutexGuard<'_, VersionHistory> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A version is in force from now on.
    pub fn began(&self, stamp: VersionId, how: VersionOrigin) {
        let (version, digest, from_ms) = (stamp.number, stamp.digest.to_string(), wall_ms());
        self.record().begin(VersionInterval {
            version,
            digest,
            origin: how,
            incarnation: self.life,
            from_ms,
        });
        self.changed.fetch_add(1, Ordering::Relaxed);
    }

    /// Leave to bring one more up, until dropped: hundreds of stragglers must not keep us from
    /// placing.
    pub fn gives(&self) -> Option<Arc<()>> {
        (Arc::strong_count(&self.gives) <= GIVES).then(|| Arc::clone(&self.gives))
    }

    /// Whether something of the record is not on disk yet.
    pub fn unwritten(&self) -> bool {
        self.written.load(Ordering::Relaxed) < self.changed.load(Ordering::Relaxed)
    }

    /// So many acts are about to be sent.
    pub fn acts(&self, stamp: VersionId, kind: OperationKind, many: usize) {
        self.record()
            .count_operations(stamp.number, kind, many as u64);
    }

    /// What operators are told.
    pub fn told(&self) -> (Vec<v1::VersionInterval>, Vec<v1::OperationCount>) {
        let record = self.record();
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
        let count = |(operation, many): (VersionedOperation, u64)| v1::OperationCount {
            version: operation.version,
            kind: operation.kind as u32,
            count: many,
        };
        (
            record.intervals().iter().map(span).collect(),
            record.operations().map(count).collect(),
        )
    }

    pub fn standing(&self) -> MutexGuard<'_, VersionGate> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn floor(&self) -> Option<MinimumVersion> {
        self.standing().minimum()
    }

    /// The floor that shuts a dispatcher out that runs this version.
    pub fn shut_out(&self, running: VersionId) -> Option<MinimumVersion> {
        self.standing().fenced_by(running.number)
    }

    /// A node has turned a shot away.
    pub fn node_tells(&self, floor: MinimumVersion, running: VersionId) {
        if self.standing().apply_node_report(floor) {
            say(floor, running, "a node");
        }
    }
}

/// For the log.
pub fn say(floor: MinimumVersion, running: VersionId, from: &str) {
    let MinimumVersion {
        revision: number,
        version: lowest,
        ..
    } = floor;
    if running.number < lowest {
        warn!(
            number,
            lowest,
            running = running.number,
            from,
            "shut out: below the floor of versions"
        );
    } else {
        info!(
            number,
            lowest, from, "another floor of versions is in force"
        );
    }
}

pub fn message(floor: MinimumVersion) -> v1::MinimumVersion {
    v1::MinimumVersion {
        revision: floor.revision,
        proposer: floor.proposer,
        version: floor.version,
    }
}

pub fn read(floor: &v1::MinimumVersion) -> MinimumVersion {
    MinimumVersion {
        revision: floor.revision,
        proposer: floor.proposer,
        version: floor.version,
    }
}
