//! What one dispatcher or keeper vouches for to another, without a control service.

use corkspan_config::version::{Texts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, PushAdmission, PushReply, StoreOutcome, Subscriber, VersionCache,
    VersionPush,
};

fn texts(what: u64) -> Texts {
    [("tracks".to_string(), format!("(tracks {what})"))]
        .into_iter()
        .collect()
}

fn stamp(number: u64, what: u64) -> VersionId {
    VersionId {
        number,
        digest: texts(what).digest(),
    }
}

/// A shelf at one that ran each version of a line in turn.
fn shelf(newest: u64) -> VersionCache {
    let mut shelf = VersionCache::default();
    for number in 1..=newest {
        let before = if number > 1 {
            vec![stamp(number - 1, number - 1)]
        } else {
            Vec::new()
        };
        shelf.record_active(stamp(number, number), texts(number), false, &before);
    }
    shelf
}

/// What a straggler that runs this version makes of a push.
fn says(running: u64, what: u64, push: &VersionPush) -> PushAdmission {
    let mut own = Subscriber::restore(texts(0), PersistedVersions::default(), 0).0;
    let kept = own.prepare_trial(0, Default::default(), stamp(running, what), texts(what));
    own.start_trial(0, kept, Default::default());
    own.admit(push)
}

#[test]
fn a_straggler_of_the_line_takes_the_newest_at_any_distance_and_one_of_another_line_refuses() {
    let push = shelf(50_000).push_for(stamp(3, 3)).expect("later");
    assert_eq!(says(3, 3, &push), PushAdmission::Validate(texts(50_000)));
    let push = shelf(50_000).push_for(stamp(3, 77)).expect("later");
    assert!(
        matches!(says(3, 77, &push), PushAdmission::Reply(PushReply::Rejected(why)) if why[0].contains("split"))
    );
}

#[test]
fn what_is_further_back_than_is_remembered_is_not_vouched_for() {
    let shelf = shelf(100_010);
    assert_eq!(shelf.push_for(stamp(5, 5)).expect("later").predecessors, []);
    assert_eq!(
        shelf
            .push_for(stamp(100_000, 100_000))
            .expect("later")
            .predecessors,
        [stamp(100_000, 100_000)]
    );
}

#[test]
fn nothing_is_given_to_one_that_runs_as_new_a_version() {
    assert_eq!(shelf(7).push_for(stamp(7, 7)), None);
    assert_eq!(shelf(7).push_for(stamp(8, 8)), None);
}

#[test]
fn a_keeper_takes_what_follows_and_neither_an_older_nor_a_rival_nor_a_liars() {
    let mut shelf = shelf(7);
    assert_eq!(
        shelf.store(stamp(7, 7), texts(7), false, &[stamp(6, 6)]),
        StoreOutcome::NotNewer
    );
    assert_eq!(
        shelf.store(stamp(9, 9), texts(9), false, &[stamp(7, 70)]),
        StoreOutcome::OtherLineage
    );
    assert_eq!(
        shelf.store(stamp(9, 9), texts(8), false, &[stamp(7, 7)]),
        StoreOutcome::DigestMismatch
    );
    assert_eq!(shelf.newest(), Some(stamp(7, 7)));
    assert_eq!(
        shelf.store(stamp(9, 9), texts(9), true, &[stamp(7, 7)]),
        StoreOutcome::Stored
    );
    assert!(
        shelf
            .push_for(stamp(7, 7))
            .is_some_and(|push| push.allows_cuts && push.predecessors == [stamp(7, 7)])
    );
}

#[test]
fn once_a_rival_line_was_run_nothing_of_the_former_is_vouched_for() {
    let mut shelf = shelf(7);
    shelf.record_active(stamp(7, 70), texts(70), false, &[stamp(6, 60)]);
    shelf.record_active(stamp(8, 80), texts(80), false, &[stamp(7, 70)]);
    for old in 1..=6 {
        assert_eq!(
            shelf.push_for(stamp(old, old)).expect("later").predecessors,
            [],
            "{old}"
        );
    }
    assert_eq!(
        shelf.push_for(stamp(7, 70)).expect("later").predecessors,
        [stamp(7, 70)]
    );
}
