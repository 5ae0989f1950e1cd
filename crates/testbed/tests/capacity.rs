//! Tests of the cost of control traffic in messages and bytes, at a small size. None depends on the
//! speed of the machine.

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

const TIMEOUT: Duration = Duration::from_secs(60);
const PROGRAM: &str = env!("CARGO_BIN_EXE_corkspan-testbed");

fn in_environment<F: Future<Output = ()>>(
    machines: u32,
    dispatchers: usize,
    free_capacity: FreeCapacity,
    test: impl FnOnce(Environment) -> F,
) {
    let tasks = SharedExecutor::default();
    let program: [OsString; 2] = [PROGRAM.into(), "corkspan".into()];
    let config = EnvironmentConfig {
        machines,
        dispatchers,
        schedulers: dispatchers,
        free_capacity,
        seed: 1,
    };
    let run = async {
        test(
            Environment::start(&tasks, &program, config)
                .await
                .expect("the environment starts"),
        )
        .await;
    };
    future::block_on(tasks.run(within(TIMEOUT, run))).expect("the test ends in time");
}

/// An endpoint line has about 50 bytes. Its framing must not cost more than as much again.
#[test_case(40, 1 ; "few machines")]
#[test_case(400, 1 ; "ten times as many")]
#[test_case(40, 4 ; "four dispatchers")]
fn an_endpoint_line_costs_the_same_at_each_number_of_machines_and_dispatchers(
    machines: u32,
    dispatchers: usize,
) {
    in_environment(
        machines,
        dispatchers,
        FreeCapacity::Plenty,
        async |environment| {
            for cores in [20.5, 21.5] {
                let mut lines = 0;
                let bytes = environment
                    .bytes_caused_by(Peer::Discovery, || {
                        lines = environment.report_capacity_once(cores)
                    })
                    .await;
                let bytes_per_line = bytes as f64 / lines as f64 / dispatchers as f64;
                assert!(
                    (40.0..=110.0).contains(&bytes_per_line),
                    "{bytes_per_line} bytes a line, {lines} lines"
                );
            }
        },
    );
}

#[test]
fn a_version_sent_as_changes_costs_less_than_a_whole_one() {
    in_environment(40, 2, FreeCapacity::Plenty, async |environment| {
        let mut costs = Vec::new();
        for number in 0..4 {
            let mut version = None;
            let bytes = environment
                .bytes_caused_by(Peer::Control, || {
                    version = Some(environment.publish(number))
                })
                .await;
            environment
                .wait_until_active(version.expect("published"))
                .await
                .expect("active at both dispatchers");
            costs.push(bytes / 2);
        }
        let (first, later) = (costs[0], &costs[1..]);
        assert!(
            later.iter().all(|bytes| *bytes < first && *bytes < 1_500),
            "bytes a dispatcher: {costs:?}"
        );
        // A push names the versions in its lineage: it grows by a version id, not by a text.
        assert!(
            later.windows(2).all(|pair| pair[1] <= pair[0] + 100),
            "bytes a dispatcher: {costs:?}"
        );
    });
}

/// Retries of waiting allocations every 50 ms may cost the dispatcher, but not the machines: each
/// allocation causes one greeting and one health check, however long it waits.
#[test]
fn waiting_allocations_send_full_machines_only_health_checks() {
    in_environment(
        40,
        1,
        FreeCapacity::NoneByReservations,
        async |environment| {
            let streams = environment
                .request_tasks(30)
                .await
                .expect("all requests are accepted");
            environment
                .observe(Duration::from_secs(2))
                .await
                .expect("the kernel reports its figures");
            let status = environment.status().await.expect("the dispatcher responds");
            assert_eq!((status.in_flight, status.placed), (30, 0));
            let sent = traffic::traffic_of(&status.connection_traffic, Kind::Nodes).messages_out;
            assert!(sent <= 2 * 30, "{sent} messages went to nodes");
            drop(streams);
        },
    );
}

/// Returns the stored result and the page from docs/.
fn documents() -> (String, String) {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs");
    let read = |name: &str| {
        std::fs::read_to_string(format!("{docs}/{name}")).expect("the file is readable")
    };
    (read("capacity/result.json"), read("CAPACITY.md"))
}

#[test]
fn the_page_agrees_with_the_stored_result() {
    let (result, page) = documents();
    let stored = CapacityResult::read(&result)
        .unwrap_or_else(|why| panic!("docs/capacity/result.json: {why}"));
    page::check(&page, &stored).unwrap_or_else(|why| panic!("docs/CAPACITY.md: {why}"));
}

#[test]
fn a_changed_result_does_not_agree_with_the_page() {
    let (result, page) = documents();
    let mut stored = CapacityResult::read(&result).expect("the stored result is readable");
    stored.size.waiting /= 2.0;
    stored.size.bytes_a_second += 1.0;
    assert!(page::check(&page, &stored).is_err());
}

fn run_program(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("the program starts");
    (
        output.status.success(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn a_size_that_requires_too_much_is_rejected_at_once() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("size.json");
    let size = corkspan_capacity_model::result::FleetSize {
        dispatchers: 3_000.0,
        machines: 900_000.0,
        ..corkspan_capacity_model::result::PLANNED_SIZE
    };
    std::fs::write(&path, serde_json::to_string(&size).expect("numbers")).expect("written");
    let path = path.to_str().expect("the path is UTF-8");
    let (succeeded, stderr) = run_program(&["capacity", "--axis", "versions", "--size", path]);
    assert!(
        !succeeded && stderr.contains("the size: insufficient resources"),
        "{stderr}"
    );
    assert!(
        stderr.contains("processes") && stderr.contains("descriptors") && stderr.contains("MiB"),
        "{stderr}"
    );
    std::fs::write(path, "{\n\"machines\": 12,\n\"machine\": 3}").expect("written");
    let (succeeded, stderr) = run_program(&["capacity", "--axis", "versions", "--size", path]);
    assert!(
        !succeeded && stderr.contains("size.json") && stderr.contains("line 3"),
        "{stderr}"
    );
}

#[test]
fn a_page_that_differs_is_reported_with_its_line() {
    let folder = tempfile::tempdir().expect("a folder");
    let (result, page) = documents();
    let (result_path, page_path) = (
        folder.path().join("result.json"),
        folder.path().join("page.md"),
    );
    std::fs::write(&result_path, result).expect("written");
    std::fs::write(&page_path, page.replacen("| 1 | ", "| 1 | no ", 1)).expect("written");
    let line = page
        .lines()
        .position(|line| line.starts_with("| 1 | "))
        .expect("the page has a first row")
        + 1;
    let (result_path, page_path) = (
        result_path.to_str().expect("the path is UTF-8"),
        page_path.to_str().expect("the path is UTF-8"),
    );
    let (succeeded, stderr) = run_program(&["capacity", "page", result_path, "--check", page_path]);
    assert!(
        !succeeded && stderr.contains(&format!("page.md: line {line}: ")),
        "{stderr}"
    );
    std::fs::write(result_path, "{\"size\": {},\n\"runs\": 4}").expect("written");
    let (succeeded, stderr) = run_program(&["capacity", "page", result_path]);
    assert!(
        !succeeded && stderr.contains("result.json: line 1: "),
        "{stderr}"
    );
}
