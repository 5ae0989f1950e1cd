//! Tests of hollow dispatchers beside real ones, and of the scenarios at their size.

use corkspan_api::v1::connection_traffic::Kind;
use corkspan_testbed::capture::{DispatcherState, Line, NodeState, Observation};
use corkspan_testbed::checker::check;
use corkspan_testbed::cost::{Cost, Costs, TRAFFIC_KINDS};
use corkspan_testbed::hollow::fleet::{Fleet, Size};
use corkspan_testbed::process::Programs;
use corkspan_testbed::requirements::{Limits, Requirements};
use corkspan_testbed::runner::ScenarioRun;
use corkspan_testbed::scenario::{NodeLocation, Scenario};
use corkspan_testbed::summary::Summary;
use std::collections::BTreeSet;
use std::time::Duration;
use test_case::test_case;

fn programs() -> Programs {
    Programs::with_binary(env!("CARGO_BIN_EXE_corkspan-testbed").as_ref())
}

fn run(script: &str) -> Result<Vec<Line>, String> {
    let scenario = Scenario::read("scenario", script).unwrap_or_else(|why| panic!("{why}"));
    ScenarioRun {
        scenario,
        seed: 1,
        programs: programs(),
        capture: None,
        rewrite_deployment: |text| text,
        logs: None,
    }
    .run()
}

/// Returns the bytes in and out and the messages in and out of one dispatcher.
fn per_dispatcher(cost: &Cost, kind: Kind) -> [f64; 4] {
    let index = TRAFFIC_KINDS
        .iter()
        .position(|other| *other == kind)
        .expect("a known kind");
    cost.links[index].map(|count| count as f64 / cost.reporting as f64)
}

#[test]
fn hollow_dispatchers_receive_and_send_what_real_ones_do() {
    let size = Size {
        real: 2,
        hollow: 4,
        nodes: 40,
    };
    let mut fleet = Fleet::start(size, 1, &programs()).unwrap_or_else(|why| panic!("{why}"));
    let idle = fleet
        .run(Duration::from_secs(4), 0.0, Duration::from_secs(1))
        .unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(
        (idle.real.reporting, idle.hollow.reporting, idle.requested),
        (2, 4, 0)
    );
    let (real, hollow) = (
        per_dispatcher(&idle.real, Kind::Roster),
        per_dispatcher(&idle.hollow, Kind::Roster),
    );
    assert!(
        real[0] > 1_000.0,
        "the endpoint list reports capacity: {real:?}"
    );
    for (real, hollow) in std::iter::zip(real, hollow) {
        // The times of the readings differ a little, so one endpoint list more or less is allowed.
        assert!(
            (real - hollow).abs() <= 0.1 * real.max(10.0) + 1_500.0,
            "{real} and {hollow}"
        );
    }
    assert_eq!(
        per_dispatcher(&idle.hollow, Kind::Nodes),
        [0.0; 4],
        "without requests, nothing is sent to nodes that are not quorum members"
    );
    let busy = fleet
        .run(Duration::from_secs(3), 60.0, Duration::from_secs(1))
        .unwrap_or_else(|why| panic!("{why}"));
    assert!(
        busy.requested > 100 && busy.placed > 90,
        "{} requested, {} placed",
        busy.requested,
        busy.placed
    );
    for cost in [&busy.real, &busy.hollow] {
        let ([_, _, requests, _], [_, _, _, offers]) = (
            per_dispatcher(cost, Kind::Owners),
            per_dispatcher(cost, Kind::Nodes),
        );
        assert!(
            requests > 5.0 && offers > 5.0,
            "{requests} requests and {offers} attempts a dispatcher"
        );
    }
    fleet.stop().unwrap_or_else(|why| panic!("{why}"));
}

/// A failure domain is lost and returns in slow start, and a hollow process is paused with all its
/// dispatchers.
#[test]
fn a_scenario_with_hollow_dispatchers_and_a_lost_zone_keeps_the_rules() {
    let script = "(day (length 8 s) (dispatchers 6) (hollow (many 5) (a-process 5)) (nodes 56) (zones 7) (rate 60) (life 2 s)
        (troubles (lose-zone (at 2 s) (for 1500 ms)) (pause-dispatchers (at 5 s) (for 1 s) (many 2))))";
    let lines = run(script).unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(check(&lines).expect("readable"), []);
    let nodes_in_state = |wanted| {
        lines.iter().filter_map(move |line| match line.observation {
            Observation::Node { node, state } if state == wanted => Some(node),
            _ => None,
        })
    };
    let (gone, slow_starting): (BTreeSet<u32>, BTreeSet<u32>) = (
        nodes_in_state(NodeState::Gone).collect(),
        nodes_in_state(NodeState::SlowStart).collect(),
    );
    assert_eq!(gone.len(), 8, "56 nodes in 7 zones");
    assert_eq!(gone, slow_starting);
    let cells: BTreeSet<u32> = gone.iter().map(|node| (node - 100) / 4 % 7).collect();
    assert_eq!(cells.len(), 1, "all in one failure domain");
    let paused = lines.iter().filter_map(|line| match line.observation {
        Observation::Dispatcher {
            dispatcher,
            state: DispatcherState::Paused,
        } => Some(dispatcher),
        _ => None,
    });
    assert_eq!(paused.collect::<BTreeSet<_>>().len(), 6);
    let summary = Summary::of(&lines);
    let Costs { real, hollow } = summary.cost.as_ref().expect("the summary has costs");
    assert_eq!(
        (real.dispatchers, hollow.dispatchers, hollow.processes),
        (1, 5, 1)
    );
    assert!(summary.placed > 300, "{summary}");
}

const AMPLE_LIMITS: Limits = Limits {
    memory_kib: 12 << 20,
    processes: 400,
    descriptors: 20_000,
};
const SIZE_SCENARIO: &str = include_str!("../days/size.sexp");

#[test]
fn the_scenarios_of_the_planned_size_fit_a_machine_of_24_gib() {
    for script in [
        SIZE_SCENARIO,
        include_str!("../days/size-zone.sexp"),
        include_str!("../days/hollow-still.sexp"),
    ] {
        let scenario = Scenario::read("size", script).unwrap_or_else(|why| panic!("{why}"));
        assert_eq!(
            Requirements::for_scenario(&scenario).check(&AMPLE_LIMITS),
            Ok(())
        );
    }
}

#[test_case(Limits { memory_kib: 1 << 20, ..AMPLE_LIMITS }, &["KiB of memory"]; "memory")]
#[test_case(Limits { processes: 8, ..AMPLE_LIMITS }, &["9 processes, and 8 may be used"]; "processes")]
#[test_case(Limits { descriptors: 10_000, ..AMPLE_LIMITS }, &["descriptors of one process"]; "descriptors")]
#[test_case(Limits { memory_kib: 1, processes: 1, descriptors: 1 }, &["memory", "processes", "descriptors"]; "all of it")]
fn a_scenario_too_large_for_a_machine_is_rejected_with_the_missing_resources(
    limits: Limits,
    missing: &[&str],
) {
    let scenario = Scenario::read("size", SIZE_SCENARIO).unwrap_or_else(|why| panic!("{why}"));
    let why = Requirements::for_scenario(&scenario)
        .check(&limits)
        .expect_err("too large");
    assert!(missing.iter().all(|what| why.contains(what)), "{why}");
    assert_eq!(why.matches("may be used").count(), missing.len(), "{why}");
}

#[test]
fn a_scenario_too_large_is_rejected_before_any_process_starts() {
    let why = run("(day (length 600 s) (dispatchers 300) (nodes 2600) (rate 1000000))")
        .expect_err("too large");
    assert!(why.starts_with("too large for this machine"), "{why}");
    let no_real_one = Size {
        real: 0,
        hollow: 5,
        nodes: 5,
    };
    assert!(
        Fleet::start(no_real_one, 1, &programs())
            .is_err_and(|why| why.contains("a real one among them"))
    );
}

#[test]
fn failure_domains_have_one_zone_and_processes_the_configured_size() {
    let scenario = Scenario::read("size", SIZE_SCENARIO).unwrap_or_else(|why| panic!("{why}"));
    let mut locations = BTreeSet::new();
    for node in 0..scenario.nodes {
        let NodeLocation { cell, zone } = scenario.location(node);
        locations.insert((scenario.failure_domain(cell), zone));
    }
    let domains: BTreeSet<usize> = locations.iter().map(|(domain, _)| *domain).collect();
    assert_eq!((domains.len(), locations.len()), (7, 7));
    let processes = scenario.processes();
    assert_eq!(
        processes
            .iter()
            .map(ExactSizeIterator::len)
            .collect::<Vec<_>>(),
        [1, 1, 1, 1, 4, 4, 4, 4]
    );
    assert!(!scenario.is_hollow(3) && scenario.is_hollow(4) && scenario.is_hollow(19));
}
