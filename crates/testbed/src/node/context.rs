//! What all stand-ins of one day share.

use super::lock;
use crate::capture::Capture;
use corkspan_rpc::SharedExecutor;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Names a task in one zone.
pub(super) type DedupKey = (String, String);

/// What all stand-ins share: the capture, the executor, and what the nodes of a zone know together.
pub struct SharedContext {
    /// Where each event is recorded.
    pub capture: Capture,
    /// Where the stand-ins' tasks run.
    pub tasks: SharedExecutor,
    /// The service class whose tasks run at most once in a zone, if there is one.
    pub dedup_class: Option<String>,
    /// The node on which each deduplicated task runs.
    deduplicated: Mutex<HashMap<DedupKey, u32>>,
    version_faults: Mutex<HashMap<String, VersionFault>>,
}

/// What is wrong with a version of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// Its allocations never become ready.
    NeverReady,
    /// Its allocations become ready, and fail so long later.
    FailsAfter(Duration),
}

impl SharedContext {
    /// A world without nodes, in which every version is sound.
    pub fn new(capture: Capture, tasks: &SharedExecutor, dedup_class: Option<String>) -> Arc<Self> {
        Arc::new(SharedContext {
            capture,
            tasks: Arc::clone(tasks),
            dedup_class,
            deduplicated: Mutex::default(),
            version_faults: Mutex::default(),
        })
    }

    /// From now on, allocations of this version have the fault.
    pub fn inject_version_fault(&self, version: &str, fault: VersionFault) {
        lock(&self.version_faults).insert(version.into(), fault);
    }

    pub(super) fn version_fault(&self, version: &str) -> Option<VersionFault> {
        lock(&self.version_faults).get(version).copied()
    }

    pub(super) fn deduplicated(&self) -> MutexGuard<'_, HashMap<DedupKey, u32>> {
        lock(&self.deduplicated)
    }
}
