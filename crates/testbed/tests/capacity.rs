//! What control costs by counts and bytes, in a small form: nothing here depends on how fast the
//! machine is.

use corkspan_api::v1::connection_traffic::Kind;
use corkspan_capacity_model::{page, result::CapacityResult};
use corkspan_rpc::{SharedExecutor, within};
use corkspan_testbed::capacity::{Environment, EnvironmentConfig, FreeCapacity, Peer};
use corkspan_testbed::traffic;
use futures_lite::future;
use std::ffi::OsString;
use std::process::Command;
use std::time::Duration;
use test_case::test_case;

const PATIENCE: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_corkspan-testbed");

fn in_environment<F: Future<Output = ()>>(
    machines: u32,
    dispatchers: usize,
    room: FreeCapacity,
    story: impl FnOnce(Environment) -> F,
) {
    let tasks = SharedExecutor::default();
    let program: [OsString; 2] = [PROGRAM.into(), "corkspan".into()];
    let setting = EnvironmentConfig {
        machines,
        dispatchers,
        schedulers: dispatchers,
        room,
        seed: 1,
    };
    let whole = async {
        story(
            Environment::start(&tasks, &program, setting)
                .await
                .expect("it comes up"),
        )
        .await;
    };
    future::block_on(tasks.run(within(PATIENCE, whole))).expect("the story comes to its end");
}

/// A line of the roster is some 50 bytes; what carries it must not come to more than as much again.
#[test_case(40, 1 ; "few machines")]
#[test_case(400, 1 ; "ten times as many")]
#[test_case(40, 4 ; "four dispatchers")]
fn a_line_told_costs_the_same_however_many_there_are(machines: u32, dispatchers: usize) {
    in_environment(
        machines,
        dispatchers,
        FreeCapacity::Plenty,
        async |environment| {
            for cores in [20.5, 21.5] {
                let mut lines = 0;
                let bytes = environment
                    .bytes_caused_by(Peer::Roster, || {
                        lines = environment.report_capacity_once(cores)
                    })
                    .await;
                let a_line = bytes as f64 / lines as f64 / dispatchers as f64;
                assert!(
                    (40.0..=110.0).contains(&a_line),
                    "{a_line} bytes a line, {lines} lines"
                );
            }
        },
    );
}

#[test]
fn a_version_of_small_changes_costs_less_than_it_whole() {
    in_environment(40, 2, FreeCapacity::Plenty, async |environment| {
        let mut costs = Vec::new();
        for which in 0..4 {
            let mut stamp = None;
            let bytes = environment
                .bytes_caused_by(Peer::Control, || stamp = Some(environment.publish(which)))
                .await;
            environment
                .wait_until_active(stamp.expect("published"))
                .await
                .expect("in force at both");
            costs.push(bytes / 2);
        }
        let (first, rest) = (costs[0], &costs[1..]);
        assert!(
            rest.iter().all(|bytes| *bytes < first && *bytes < 1_500),
            "bytes a dispatcher: {costs:?}"
        );
        // Versions in its line are named: it grows by a stamp, not by a text.
        assert!(
            rest.windows(2).all(|two| two[1] <= two[0] + 100),
            "bytes a dispatcher: {costs:?}"
        );
    });
}

/// Asked for again each 50 ms, they may cost the dispatcher, and not the machines: a greeting and a
/// probe for each that was taken, however long it waits.
#[test]
fn those_that_wait_before_full_machines_send_them_probes_alone() {
    in_environment(40, 1, FreeCapacity::NoneByAsks, async |environment| {
        let held = environment
            .request_tasks(30)
            .await
            .expect("all are taken in hand");
        environment
            .watch(Duration::from_secs(2))
            .await
            .expect("the kernel tells");
        let status = environment.status().await.expect("it answers");
        assert_eq!((status.in_flight, status.placed), (30, 0));
        let sent = traffic::traffic_of(&status.connection_traffic, Kind::Nodes).messages_out;
        assert!(sent <= 2 * 30, "{sent} messages went to nodes");
        drop(held);
    });
}

/// The file and the page as they stand in docs/.
fn documents() -> (String, String) {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");
    let read =
        |name: &str| std::fs::read_to_string(format!("{docs}/{name}")).expect("it stands there");
    (read("capacity/result.json"), read("CAPACITY.md"))
}

#[test]
fn the_page_is_as_the_kept_result_has_it() {
    let (result, page) = documents();
    let kept = CapacityResult::read(&result)
        .unwrap_or_else(|why| panic!("docs/capacity/result.json: {why}"));
    page::check(&page, &kept).unwrap_or_else(|why| panic!("docs/CAPACITY.md: {why}"));
}

#[test]
fn a_result_that_was_changed_no_longer_fits_the_page() {
    let (result, page) = documents();
    let mut kept = CapacityResult::read(&result).expect("the test before this one");
    kept.size.waiting /= 2.0;
    kept.size.bytes_a_second += 1.0;
    assert!(page::check(&page, &kept).is_err());
}

fn run_program(line: &[&str]) -> (bool, String) {
    let out = Command::new(PROGRAM)
        .args(line)
        .output()
        .expect("it starts");
    (
        out.status.success(),
        String::from_utf8_lossy(&out.stderr).into_owned(),
    )
}

#[test]
fn a_size_that_asks_for_too_much_is_refused_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("size.json");
    let size = corkspan_capacity_model::result::FleetSize {
        dispatchers: 3_000.0,
        machines: 900_000.0,
        ..corkspan_capacity_model::result::PLANNED_SIZE
    };
    std::fs::write(&path, serde_json::to_string(&size).expect("numbers")).expect("written");
    let path = path.to_str().expect("plain");
    let (well, told) = run_program(&["capacity", "--axis", "versions", "--size", path]);
    assert!(
        !well && told.contains("the size: insufficient resources"),
        "{told}"
    );
    assert!(
        told.contains("processes") && told.contains("descriptors") && told.contains("MiB"),
        "{told}"
    );
    std::fs::write(path, "{\n\"machines\": 12,\n\"machine\": 3}").expect("written");
    let (well, told) = run_program(&["capacity", "--axis", "versions", "--size", path]);
    assert!(
        !well && told.contains("size.json") && told.contains("line 3"),
        "{told}"
    );
}

#[test]
fn a_page_that_differs_is_an_error_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let (result, page) = documents();
    let (file, own) = (
        folder.path().join("result.json"),
        folder.path().join("page.md"),
    );
    std::fs::write(&file, result).expect("written");
    std::fs::write(&own, page.replacen("| 1 | ", "| 1 | no ", 1)).expect("written");
    let line = page
        .lines()
        .position(|line| line.starts_with("| 1 | "))
        .expect("the first of the list")
        + 1;
    let (file, own) = (file.to_str().expect("plain"), own.to_str().expect("plain"));
    let (well, told) = run_program(&["capacity", "page", file, "--check", own]);
    assert!(
        !well && told.contains(&format!("page.md: line {line}: ")),
        "{told}"
    );
    std::fs::write(file, "{\"size\": {},\n\"runs\": 4}").expect("written");
    let (well, told) = run_program(&["capacity", "page", file]);
    assert!(!well && told.contains("result.json: line 1: "), "{told}");
}
