//! State that all stand-ins of a scenario share.

use super::lock;
use crate::capture::Capture;
use corkspan_rpc::SharedExecutor;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Zone and task name: identifies a task within one zone.
pub(super) type DedupKey = (String, String);

/// State that all stand-ins share: the capture, the executor, the deduplicated tasks of each zone
/// and the faults of versions.
pub struct SharedContext {
    /// The capture in which each event is recorded.
    pub capture: Capture,
    /// The executor that runs the stand-ins' tasks.
    pub tasks: SharedExecutor,
    /// The service class whose tasks run at most once in a zone, if there is one.
    pub dedup_class: Option<String>,
    /// The node on which each deduplicated task runs.
    deduplicated: Mutex<HashMap<DedupKey, u32>>,
    version_faults: Mutex<HashMap<String, VersionFault>>,
}

/// A fault of a version of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// Its allocations never become ready.
    NeverReady,
    /// Its allocations become ready and fail this long afterwards.
    FailsAfter(Duration),
}

impl SharedContext {
    /// Returns a context without deduplicated tasks, in which no version has a fault.
    pub fn new(capture: Capture, tasks: &SharedExecutor, dedup_class: Option<String>) -> Arc<Self> {
        Arc::new(SharedContext {
            capture,
            tasks: Arc::clone(tasks),
            dedup_class,
            deduplicated: Mutex::default(),
            version_faults: Mutex::default(),
        })
    }

    /// Injects a fault into all allocations of this version from now on.
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
