//! Tests of the rollout store: a kill after each write, truncated files, and a version history that
//! can't be read.

use corkspan_dispatcher::rollout_control::{
    ReplicaPair, Store, StoreError, StoredClaim, StoredRollouts,
};
use corkspan_rollout::{ClaimId, Order, Phase, Rollout};
use corkspan_version_fencing::history::{VersionInterval, VersionOrigin};
use std::collections::VecDeque;
use std::path::Path;
use test_case::test_case;

fn rollout() -> Rollout {
    Rollout {
        service: "s".into(),
        revision: 1,
        proposer: 1,
        version: "v2".into(),
        previous_version: "v1".into(),
        initial_version: "v1".into(),
        max_unavailable: 2,
        max_in_progress: 2,
        order: Order::StartFirst,
        min_ready: 10_000,
        progress_deadline: 10_000,
        max_failures: 1,
        phase: Phase::Rolling,
    }
}

fn claim(claim: u64, won: bool, pair: Option<bool>) -> StoredClaim {
    let pair = pair.map(|retires| ReplicaPair {
        old: "c#0".into(),
        new: "c#0~1".into(),
        retires,
    });
    StoredClaim {
        claim: ClaimId(claim),
        service: "s".into(),
        task: format!("c{claim}"),
        won,
        pair,
    }
}

type Write = fn(&Store) -> Result<(), StoreError>;

/// Returns the writes of one replacement in order, each with the number of rollouts and the claims
/// that the store holds after it.
fn steps() -> Vec<(Write, usize, Vec<StoredClaim>)> {
    vec![
        (|store| store.save_rollout(&rollout()), 1, vec![]),
        (
            |store| store.save_claim(&claim(7, false, None)),
            1,
            vec![claim(7, false, None)],
        ),
        (
            |store| store.save_claim(&claim(7, true, None)),
            1,
            vec![claim(7, true, None)],
        ),
        (
            |store| store.save_claim(&claim(7, true, Some(false))),
            1,
            vec![claim(7, true, Some(false))],
        ),
        (
            |store| store.save_claim(&claim(7, true, Some(true))),
            1,
            vec![claim(7, true, Some(true))],
        ),
        (|store| store.delete_claim(ClaimId(7)), 1, vec![]),
    ]
}

fn read(path: &Path) -> (Vec<Rollout>, Vec<StoredClaim>) {
    let stored = Store::open(Some(path)).load();
    (stored.rollouts, stored.claims)
}

#[test]
fn a_kill_after_any_write_leaves_exactly_what_was_written() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    for (index, (step, rollout_count, claims)) in steps().into_iter().enumerate() {
        step(&store).expect("written");
        // A copy of the file while the process has it open equals what a kill leaves.
        let left = directory.path().join(format!("left-{index}.redb"));
        std::fs::copy(&path, &left).expect("copied");
        let (stored, stored_claims) = read(&left);
        assert_eq!(
            (stored.len(), stored_claims),
            (rollout_count, claims),
            "after write {index}"
        );
        assert!(stored.iter().all(|stored| *stored == rollout()));
    }
}

#[test]
fn a_truncated_store_is_read_completely_or_is_replaced_by_an_empty_one() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    steps()
        .into_iter()
        .take(4)
        .for_each(|(step, _, _)| step(&store).expect("written"));
    drop(store);
    let whole = std::fs::read(&path).expect("read");
    let all = (vec![rollout()], vec![claim(7, true, Some(false))]);
    assert_eq!(read(&path), all);
    let mut moved_count = 0;
    for sixteenth in 0..16 {
        let cut = directory.path().join(format!("cut-{sixteenth}.redb"));
        std::fs::write(&cut, &whole[..whole.len() * sixteenth / 16]).expect("written");
        let stored = read(&cut);
        let moved_aside = cut.with_extension("aside").exists();
        moved_count += usize::from(moved_aside);
        assert!(
            stored == all && !moved_aside || stored == (vec![], vec![]),
            "{sixteenth}/16: {stored:?}"
        );
    }
    assert!(
        moved_count >= 8,
        "most truncations are detected: {moved_count}"
    );
}

#[test]
fn a_store_that_can_not_be_written_returns_errors() {
    let directory = tempfile::tempdir().expect("a directory");
    let store = Store::open(Some(&directory.path().join("missing").join("rolls.redb")));
    assert!(
        store.save_claim(&claim(7, false, None)).is_err()
            && store.save_rollout(&rollout()).is_err()
    );
    assert_eq!(store.load(), StoredRollouts::default());
}

const INTERVALS: &str =
    r#"[{"version":3,"digest":"d","how":"push","life":9,"from_ms":1,"from_a_later_text":true}]"#;

#[test_case(INTERVALS, 1; "with an unknown field")]
#[test_case("", 0; "empty")]
#[test_case("{\"version\":", 0; "truncated")]
#[test_case(r#"[{"version":-3,"digest":"d","how":"push","life":9,"from_ms":1}]"#, 0; "negative version")]
#[test_case(r#"[{"version":3,"digest":"d","how":"dreamt","life":9,"from_ms":1}]"#, 0; "unknown origin")]
fn an_unreadable_version_history_is_begun_anew_and_the_rollouts_are_kept(
    text: &str,
    interval_count: usize,
) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    store.save_rollout(&rollout()).expect("written");
    drop(store);
    let database = redb::Database::create(&path).expect("it opens");
    let transaction = database.begin_write().expect("it can be written");
    let table = redb::TableDefinition::<&str, &str>::new("record");
    transaction
        .open_table(table)
        .expect("there")
        .insert("spans", text)
        .expect("taken");
    transaction.commit().expect("written");
    drop(database);
    let store = Store::open(Some(&path));
    assert_eq!(
        (store.version_history().len(), store.load().rollouts),
        (interval_count, vec![rollout()])
    );
    let next = VecDeque::from([VersionInterval {
        version: 4,
        digest: "e".into(),
        origin: VersionOrigin::Rollback,
        incarnation: 10,
        from_ms: 2,
    }]);
    store.save_version_history(&next).expect("written");
    assert_eq!(store.version_history(), next);
}
