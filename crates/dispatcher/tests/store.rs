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

fn roll() -> Rollout {
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

fn held(claim: u64, won: bool, pair: Option<bool>) -> StoredClaim {
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
        (|store| store.save_rollout(&roll()), 1, vec![]),
        (
            |store| store.save_claim(&held(7, false, None)),
            1,
            vec![held(7, false, None)],
        ),
        (
            |store| store.save_claim(&held(7, true, None)),
            1,
            vec![held(7, true, None)],
        ),
        (
            |store| store.save_claim(&held(7, true, Some(false))),
            1,
            vec![held(7, true, Some(false))],
        ),
        (
            |store| store.save_claim(&held(7, true, Some(true))),
            1,
            vec![held(7, true, Some(true))],
        ),
        (|store| store.delete_claim(ClaimId(7)), 1, vec![]),
    ]
}

fn read(path: &Path) -> (Vec<Rollout>, Vec<StoredClaim>) {
    let stored = Store::open(Some(path)).load();
    (stored.rollouts, stored.claims)
}

#[test]
fn a_kill_after_any_write_leaves_all_that_was_written_and_nothing_else() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    for (index, (step, rolls, claims)) in steps().into_iter().enumerate() {
        step(&store).expect("written");
        // A copy of the file while the process has it open equals what a kill leaves.
        let left = folder.path().join(format!("left-{index}.redb"));
        std::fs::copy(&path, &left).expect("copied");
        let (told, held) = read(&left);
        assert_eq!((told.len(), held), (rolls, claims), "after write {index}");
        assert!(told.iter().all(|told| *told == roll()));
    }
}

#[test]
fn a_store_cut_short_anywhere_is_whole_or_set_aside_but_never_guessed_at() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    steps()
        .into_iter()
        .take(4)
        .for_each(|(step, _, _)| step(&store).expect("written"));
    drop(store);
    let whole = std::fs::read(&path).expect("read");
    let all = (vec![roll()], vec![held(7, true, Some(false))]);
    assert_eq!(read(&path), all);
    let mut aside = 0;
    for part in 0..16 {
        let cut = folder.path().join(format!("cut-{part}.redb"));
        std::fs::write(&cut, &whole[..whole.len() * part / 16]).expect("written");
        let told = read(&cut);
        let set_aside = cut.with_extension("aside").exists();
        aside += usize::from(set_aside);
        assert!(
            told == all && !set_aside || told == (vec![], vec![]),
            "part {part}: {told:?}"
        );
    }
    assert!(aside >= 8, "most cuts are noticed: {aside}");
}

#[test]
fn a_store_that_can_not_be_written_says_so() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = Store::open(Some(&folder.path().join("missing").join("rolls.redb")));
    assert!(
        store.save_claim(&held(7, false, None)).is_err() && store.save_rollout(&roll()).is_err()
    );
    assert_eq!(store.load(), StoredRollouts::default());
}

const SPANS: &str =
    r#"[{"version":3,"digest":"d","how":"push","life":9,"from_ms":1,"from_a_later_text":true}]"#;

#[test_case(SPANS, 1; "with a field that this text doesn't know")]
#[test_case("", 0; "empty")]
#[test_case("{\"version\":", 0; "torn")]
#[test_case(r#"[{"version":-3,"digest":"d","how":"push","life":9,"from_ms":1}]"#, 0; "a number that is none")]
#[test_case(r#"[{"version":3,"digest":"d","how":"dreamt","life":9,"from_ms":1}]"#, 0; "come in no known way")]
fn a_foreign_record_of_versions_is_begun_anew_and_takes_nothing_down_with_it(
    text: &str,
    spans: usize,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("rolls.redb");
    let store = Store::open(Some(&path));
    store.save_rollout(&roll()).expect("written");
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
        (spans, vec![roll()])
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
