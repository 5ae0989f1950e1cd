//! Functions shared by several tests of this package.

use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, PushAdmission, RequestCounts, Subscriber, VersionPush,
};
use corkspan_scheduler::interface::Ticks;

pub const SECOND: Ticks = 10_000;

pub fn texts(number: u64) -> SharedParts {
    [("shots".to_string(), format!("(shots {number})"))]
        .into_iter()
        .collect()
}

pub fn push(nonce: u64, number: u64, predecessors: &[VersionId]) -> VersionPush {
    let changes = texts(number);
    let version = VersionId {
        number,
        digest: changes.digest(),
    };
    VersionPush {
        nonce,
        version,
        predecessors: predecessors.to_vec(),
        base: None,
        changes,
        removed: Vec::new(),
        allows_cuts: false,
    }
}

pub fn subscriber() -> Subscriber {
    Subscriber::restore(texts(0), PersistedVersions::default(), 0).0
}

/// Makes a version the active one.
pub fn apply(
    subscriber: &mut Subscriber,
    now: Ticks,
    number: u64,
    counts: RequestCounts,
) -> VersionId {
    let running = subscriber.active_version();
    let push = push(number, number, &[running]);
    assert!(matches!(
        subscriber.admit(&push),
        PushAdmission::Validate(_)
    ));
    let persisted = subscriber.prepare_trial(now, counts, push.version, push.changes);
    subscriber.start_trial(now, persisted, counts);
    push.version
}
