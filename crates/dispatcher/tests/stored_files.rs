//! Tests that files stored by earlier releases are read, and written back byte for byte. The files
//! under tests/data were written by release 0.2.0 and are never regenerated.

use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{PersistedVersions, TrialVersion, Version};
use corkspan_dispatcher::endpoint_list::EndpointList;
use corkspan_dispatcher::rollout_control::{ReplicaPair, Store, StoredClaim, StoredRollouts};
use corkspan_dispatcher::version_files;
use corkspan_rollout::{ClaimId, Order, Phase, Rollout};
use corkspan_version_fencing::history::{VersionInterval, VersionOrigin};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tempfile::TempDir;

fn data(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/data")
        .join(name)
}

/// Returns a copy of a stored file, in a directory of its own.
fn copy_of(name: &str) -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join(name);
    std::fs::copy(data(name), &path).expect("copied");
    (directory, path)
}

/// Returns a copy of a stored file, truncated to its first half.
fn half_of(name: &str) -> (TempDir, PathBuf) {
    let (directory, path) = copy_of(name);
    let content = std::fs::read(&path).expect("read");
    std::fs::write(&path, &content[..content.len() / 2]).expect("written");
    (directory, path)
}

/// Returns the result of `act`, and the log lines that it wrote.
fn logged<T>(directory: &TempDir, act: impl FnOnce() -> T) -> (T, String) {
    let path = directory.path().join("log");
    let file = Arc::new(std::fs::File::create(&path).expect("created"));
    let subscriber = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(file)
        .finish();
    let result = tracing::subscriber::with_default(subscriber, act);
    (result, std::fs::read_to_string(path).expect("read"))
}

/// Returns each row of a database as `table key value`, in the order of tables and keys.
fn rows(path: &Path) -> String {
    let database = Database::open(path).expect("a database");
    let transaction = database.begin_read().expect("readable");
    let mut rows = String::new();
    let claims = TableDefinition::<u64, &str>::new("claims");
    let table = transaction.open_table(claims).expect("claims");
    for row in table.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        rows += &format!("claims {} {}\n", key.value(), value.value());
    }
    for name in ["rolls", "record"] {
        let definition = TableDefinition::<&str, &str>::new(name);
        let table = transaction.open_table(definition).expect("a table");
        for row in table.iter().expect("rows") {
            let (key, value) = row.expect("a row");
            rows += &format!("{name} {} {}\n", key.value(), value.value());
        }
    }
    rows
}

fn rollout(service: &str, order: Order, phase: Phase) -> Rollout {
    Rollout {
        service: service.into(),
        revision: 3,
        proposer: 0x0123_4567_89ab_cdef,
        version: "v3".into(),
        previous_version: "v2".into(),
        initial_version: "v1".into(),
        max_unavailable: 4,
        max_in_progress: 2,
        order,
        min_ready: 10_000,
        progress_deadline: 600_000,
        max_failures: 1,
        phase,
    }
}

fn rollouts() -> Vec<Rollout> {
    vec![
        rollout("mail", Order::StopFirst, Phase::Rolling),
        rollout("search", Order::StartFirst, Phase::Paused),
        rollout(
            "video",
            Order::StopFirst,
            Phase::Halted("2 copies failed".into()),
        ),
    ]
}

fn claim(claim: u64, won: bool, pair: Option<bool>) -> StoredClaim {
    let pair = pair.map(|retires| ReplicaPair {
        old: "mail#0".into(),
        new: "mail#0~1".into(),
        retires,
    });
    StoredClaim {
        claim: ClaimId(claim),
        service: "mail".into(),
        task: format!("mail#{claim}"),
        won,
        pair,
    }
}

fn claims() -> Vec<StoredClaim> {
    vec![
        claim(7, false, None),
        claim(8, true, None),
        claim(9, true, Some(false)),
        claim(u64::MAX, true, Some(true)),
    ]
}

fn intervals() -> Vec<VersionInterval> {
    let origins = [
        VersionOrigin::File,
        VersionOrigin::Restored,
        VersionOrigin::Push,
        VersionOrigin::Rollback,
        VersionOrigin::CatchUp,
    ];
    let intervals = (0..).zip(origins).map(|(version, origin)| VersionInterval {
        version,
        digest: format!("{version:064x}"),
        origin,
        incarnation: 77,
        from_ms: 1_700_000_000_000 + version,
    });
    intervals.collect()
}

#[test]
fn a_stored_database_is_read_and_its_rows_are_written_back_unchanged() {
    let stored = std::fs::read_to_string(data("rollouts.txt")).expect("text");
    let (directory, path) = copy_of("rollouts.redb");
    assert_eq!(rows(&path), stored, "before anything is opened by our code");
    let store = Store::open(Some(&path));
    let StoredRollouts {
        rollouts: read_rollouts,
        claims: read_claims,
    } = store.load();
    let read_intervals = store.version_history();
    assert_eq!(read_rollouts, rollouts());
    assert_eq!(read_claims, claims());
    assert_eq!(Vec::from(read_intervals.clone()), intervals());

    let fresh_path = directory.path().join("fresh.redb");
    let fresh = Store::open(Some(&fresh_path));
    for store in [&store, &fresh] {
        read_rollouts
            .iter()
            .for_each(|rollout| store.save_rollout(rollout).expect("written"));
        read_claims
            .iter()
            .for_each(|claim| store.save_claim(claim).expect("written"));
        store
            .save_version_history(&read_intervals)
            .expect("written");
    }
    drop((store, fresh));
    assert_eq!(rows(&path), stored, "written over the old rows");
    assert_eq!(rows(&fresh_path), stored, "written to a new database");

    let again = Store::open(Some(&path));
    let expected = StoredRollouts {
        rollouts: rollouts(),
        claims: claims(),
    };
    assert_eq!(again.load(), expected);
    again.delete_claim(ClaimId(8)).expect("written");
    drop(again);
    let remaining = stored.lines().filter(|row| !row.starts_with("claims 8 "));
    assert!(
        remaining.eq(rows(&path).lines()),
        "a released claim is removed"
    );
}

#[test]
fn a_truncated_database_is_reported_and_moved_aside() {
    let (directory, path) = half_of("rollouts.redb");
    let half = std::fs::read(&path).expect("read");
    let (store, log) = logged(&directory, || Store::open(Some(&path)));
    assert!(
        log.contains(" WARN ") && log.contains("the rollout store can't be read; moved aside"),
        "{log}"
    );
    let aside = std::fs::read(path.with_extension("aside")).expect("moved aside");
    assert_eq!(aside.len(), half.len());
    assert_eq!(store.load(), StoredRollouts::default());
    store.save_claim(&claim(8, true, None)).expect("written");
    assert_eq!(store.load().claims, [claim(8, true, None)]);
}

#[test]
fn a_stored_endpoint_list_is_read_and_written_back_unchanged() {
    let (directory, path) = copy_of("endpoint-list.json");
    let (list, log) = logged(&directory, || EndpointList::load(&path));
    assert_eq!(log, "");
    let fresh = directory.path().join("fresh.json");
    list.save(&fresh).expect("written");
    let stored = std::fs::read_to_string(data("endpoint-list.json")).expect("text");
    assert_eq!(std::fs::read_to_string(fresh).expect("text"), stored);
    list.save(&path).expect("written over the old one");
    assert_eq!(std::fs::read_to_string(path).expect("text"), stored);
}

#[test]
fn a_truncated_endpoint_list_is_reported_and_moved_aside() {
    let (directory, path) = half_of("endpoint-list.json");
    let half = std::fs::read(&path).expect("read");
    let (list, log) = logged(&directory, || EndpointList::load(&path));
    assert!(
        log.contains(" WARN ")
            && log.contains("the stored endpoint list can't be read; moved aside"),
        "{log}"
    );
    let aside = std::fs::read(path.with_extension("aside")).expect("moved aside");
    assert_eq!((aside, path.exists()), (half, false));
    list.save(&path).expect("written");
    let empty = std::fs::read_to_string(path).expect("text");
    assert!(
        empty.starts_with(r#"{"version":0,"sum":"#) && empty.ends_with(r#","lines":[]}"#),
        "{empty}"
    );
}

fn version(number: u64, class_text: &str) -> Version {
    let texts: SharedParts = [
        ("bounds/in-hand", "(in-hand 100)"),
        ("tracks/x", class_text),
    ]
    .map(|(name, text)| (name.to_string(), text.to_string()))
    .into_iter()
    .collect();
    Version {
        id: VersionId {
            number,
            digest: texts.digest(),
        },
        texts,
    }
}

fn persisted() -> PersistedVersions {
    PersistedVersions {
        last_good: Some(version(4, "(calm 0.5)")),
        trial: Some(TrialVersion {
            version: version(6, "(calm 0.75)"),
            starts: 2,
        }),
        rolled_back: vec![version(3, "a").id, version(5, "b").id],
    }
}

#[test]
fn stored_versions_are_read_and_written_back_unchanged() {
    let (directory, path) = copy_of("versions.json");
    let (read, log) = logged(&directory, || version_files::load(&path));
    assert_eq!((&read, log.as_str()), (&persisted(), ""));
    version_files::save(&path, &read).expect("written");
    let stored = std::fs::read_to_string(data("versions.json")).expect("text");
    for written in [&path, &path.with_extension("before")] {
        assert_eq!(std::fs::read_to_string(written).expect("text"), stored);
    }
}

#[test]
fn a_truncated_version_file_is_reported_and_moved_aside_and_the_previous_one_is_read() {
    let (directory, path) = half_of("versions.json");
    let half = std::fs::read(&path).expect("read");
    std::fs::copy(data("versions.json"), path.with_extension("before")).expect("copied");
    let (read, log) = logged(&directory, || version_files::load(&path));
    assert_eq!(read, persisted());
    let message = "the stored version can't be read; moved aside, using the previous file";
    assert!(log.contains(" WARN ") && log.contains(message), "{log}");
    let aside = std::fs::read(path.with_extension("aside")).expect("moved aside");
    assert_eq!((aside, path.exists()), (half, false));
}

#[test]
fn two_truncated_version_files_leave_the_deployment_file_active() {
    let (directory, path) = half_of("versions.json");
    std::fs::copy(&path, path.with_extension("before")).expect("copied");
    let (read, log) = logged(&directory, || version_files::load(&path));
    assert_eq!(read, PersistedVersions::default());
    let message = "the previous file can't be read either; using the deployment file";
    assert!(log.contains(" WARN ") && log.contains(message), "{log}");
    assert!(path.with_extension("before").exists(), "it stays in place");
}
