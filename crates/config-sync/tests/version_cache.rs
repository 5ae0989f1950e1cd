//! The versions that one dispatcher or quorum member offers to another, without a control service.

use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, PushAdmission, PushReply, StoreOutcome, Subscriber, VersionCache,
    VersionPush,
};

fn texts(content: u64) -> SharedParts {
    [("tracks".to_string(), format!("(tracks {content})"))]
        .into_iter()
        .collect()
}

fn version_id(number: u64, content: u64) -> VersionId {
    VersionId {
        number,
        digest: texts(content).digest(),
    }
}

/// Returns the cache of a dispatcher that ran each version of a lineage in turn.
fn cache(newest: u64) -> VersionCache {
    let mut cache = VersionCache::default();
    for number in 1..=newest {
        let predecessors = if number > 1 {
            vec![version_id(number - 1, number - 1)]
        } else {
            Vec::new()
        };
        cache.record_active(
            version_id(number, number),
            texts(number),
            false,
            &predecessors,
        );
    }
    cache
}

/// Returns how a dispatcher that runs this version admits a push.
fn admission_at(number: u64, content: u64, push: &VersionPush) -> PushAdmission {
    let mut subscriber = Subscriber::restore(texts(0), PersistedVersions::default(), 0).0;
    let persisted = subscriber.prepare_trial(
        0,
        Default::default(),
        version_id(number, content),
        texts(content),
    );
    subscriber.start_trial(0, persisted, Default::default());
    subscriber.admit(push)
}

#[test]
fn a_dispatcher_of_the_lineage_applies_the_newest_version_however_far_behind_and_one_of_another_rejects_it()
 {
    let push = cache(50_000)
        .push_for(version_id(3, 3))
        .expect("the cached version is newer");
    assert_eq!(
        admission_at(3, 3, &push),
        PushAdmission::Validate(texts(50_000))
    );
    let push = cache(50_000)
        .push_for(version_id(3, 77))
        .expect("the cached version is newer");
    assert!(
        matches!(admission_at(3, 77, &push), PushAdmission::Reply(PushReply::Rejected(reasons)) if reasons[0].contains("split"))
    );
}

#[test]
fn a_version_older_than_all_remembered_is_not_named_as_a_predecessor() {
    let cache = cache(100_010);
    assert_eq!(
        cache
            .push_for(version_id(5, 5))
            .expect("the cached version is newer")
            .predecessors,
        []
    );
    assert_eq!(
        cache
            .push_for(version_id(100_000, 100_000))
            .expect("the cached version is newer")
            .predecessors,
        [version_id(100_000, 100_000)]
    );
}

#[test]
fn a_dispatcher_that_runs_the_same_or_a_newer_version_is_offered_nothing() {
    assert_eq!(cache(7).push_for(version_id(7, 7)), None);
    assert_eq!(cache(7).push_for(version_id(8, 8)), None);
}

#[test]
fn only_a_newer_version_of_the_lineage_with_the_right_digest_is_stored() {
    let mut cache = cache(7);
    assert_eq!(
        cache.store(version_id(7, 7), texts(7), false, &[version_id(6, 6)]),
        StoreOutcome::NotNewer
    );
    assert_eq!(
        cache.store(version_id(9, 9), texts(9), false, &[version_id(7, 70)]),
        StoreOutcome::OtherLineage
    );
    assert_eq!(
        cache.store(version_id(9, 9), texts(8), false, &[version_id(7, 7)]),
        StoreOutcome::DigestMismatch
    );
    assert_eq!(cache.newest(), Some(version_id(7, 7)));
    assert_eq!(
        cache.store(version_id(9, 9), texts(9), true, &[version_id(7, 7)]),
        StoreOutcome::Stored
    );
    assert!(
        cache
            .push_for(version_id(7, 7))
            .is_some_and(|push| push.allows_cuts && push.predecessors == [version_id(7, 7)])
    );
}

#[test]
fn after_another_lineage_was_active_no_version_of_the_former_is_named() {
    let mut cache = cache(7);
    cache.record_active(version_id(7, 70), texts(70), false, &[version_id(6, 60)]);
    cache.record_active(version_id(8, 80), texts(80), false, &[version_id(7, 70)]);
    for old in 1..=6 {
        assert_eq!(
            cache
                .push_for(version_id(old, old))
                .expect("the cached version is newer")
                .predecessors,
            [],
            "{old}"
        );
    }
    assert_eq!(
        cache
            .push_for(version_id(7, 70))
            .expect("the cached version is newer")
            .predecessors,
        [version_id(7, 70)]
    );
}
