//! Hollow dispatchers beside real ones, and days of their size in small.

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

fn play(script: &str) -> Result<Vec<Line>, String> {
    let scenario = Scenario::read("day", script).unwrap_or_else(|why| panic!("{why}"));
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

/// In and out, bytes and messages, of one dispatcher.
fn each(cost: &Cost, kind: Kind) -> [f64; 4] {
    let index = TRAFFIC_KINDS
        .iter()
        .position(|other| *other == kind)
        .expect("a kind");
    cost.links[index].map(|many| many as f64 / cost.reporting as f64)
}

#[test]
fn hollow_dispatchers_hear_and_say_what_real_ones_do() {
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
        each(&idle.real, Kind::Roster),
        each(&idle.hollow, Kind::Roster),
    );
    assert!(real[0] > 1_000.0, "the roster tells of room: {real:?}");
    for (real, hollow) in std::iter::zip(real, hollow) {
        // A listing more or less: the moments of reading differ a little.
        assert!(
            (real - hollow).abs() <= 0.1 * real.max(10.0) + 1_500.0,
            "{real} and {hollow}"
        );
    }
    assert_eq!(
        each(&idle.hollow, Kind::Nodes),
        [0.0; 4],
        "nobody asks, so nothing passes to nodes that are no keepers"
    );
    let busy = fleet
        .run(Duration::from_secs(3), 60.0, Duration::from_secs(1))
        .unwrap_or_else(|why| panic!("{why}"));
    assert!(
        busy.requested > 100 && busy.placed > 90,
        "{} asked, {} placed",
        busy.requested,
        busy.placed
    );
    for cost in [&busy.real, &busy.hollow] {
        let ([_, _, heard, _], [_, _, _, offered]) =
            (each(cost, Kind::Owners), each(cost, Kind::Nodes));
        assert!(
            heard > 5.0 && offered > 5.0,
            "{heard} asks and {offered} offers a dispatcher"
        );
    }
    fleet.stop().unwrap_or_else(|why| panic!("{why}"));
}

/// A zone is lost and comes back cold, and a hollow process stands still with all that are in it.
#[test]
fn a_day_of_hollow_dispatchers_with_a_zone_lost_keeps_the_rules() {
    let script = "(day (length 8 s) (dispatchers 6) (hollow (many 5) (a-process 5)) (nodes 56) (zones 7) (rate 60) (life 2 s)
        (troubles (lose-zone (at 2 s) (for 1500 ms)) (pause-dispatchers (at 5 s) (for 1 s) (many 2))))";
    let lines = play(script).unwrap_or_else(|why| panic!("{why}"));
    assert_eq!(check(&lines).expect("readable"), []);
    let struck = |wanted| {
        lines.iter().filter_map(move |line| match line.observation {
            Observation::Node { node, state } if state == wanted => Some(node),
            _ => None,
        })
    };
    let (gone, cold): (BTreeSet<u32>, BTreeSet<u32>) = (
        struck(NodeState::Gone).collect(),
        struck(NodeState::SlowStart).collect(),
    );
    assert_eq!(gone.len(), 8, "56 nodes in 7 zones");
    assert_eq!(gone, cold);
    let cells: BTreeSet<u32> = gone.iter().map(|node| (node - 100) / 4 % 7).collect();
    assert_eq!(cells.len(), 1, "all of one zone");
    let paused = lines.iter().filter_map(|line| match line.observation {
        Observation::Dispatcher {
            dispatcher,
            state: DispatcherState::Paused,
        } => Some(dispatcher),
        _ => None,
    });
    assert_eq!(paused.collect::<BTreeSet<_>>().len(), 6);
    let summary = Summary::of(&lines);
    let Costs { real, hollow } = summary.cost.as_ref().expect("costs are told");
    assert_eq!(
        (real.dispatchers, hollow.dispatchers, hollow.processes),
        (1, 5, 1)
    );
    assert!(summary.placed > 300, "{summary}");
}

const PLENTY: Limits = Limits {
    memory_kib: 12 << 20,
    processes: 400,
    descriptors: 20_000,
};
const SIZE: &str = include_str!("../days/size.sexp");

#[test]
fn the_days_of_the_size_fit_a_machine_of_24_gib() {
    for script in [
        SIZE,
        include_str!("../days/size-zone.sexp"),
        include_str!("../days/hollow-still.sexp"),
    ] {
        let scenario = Scenario::read("size", script).unwrap_or_else(|why| panic!("{why}"));
        assert_eq!(Requirements::for_scenario(&scenario).check(&PLENTY), Ok(()));
    }
}

#[test_case(Limits { memory_kib: 1 << 20, ..PLENTY }, &["KiB of memory"]; "memory")]
#[test_case(Limits { processes: 8, ..PLENTY }, &["9 processes, and 8 may be used"]; "processes")]
#[test_case(Limits { descriptors: 10_000, ..PLENTY }, &["descriptors of one process"]; "descriptors")]
#[test_case(Limits { memory_kib: 1, processes: 1, descriptors: 1 }, &["memory", "processes", "descriptors"]; "all of it")]
fn a_day_too_large_for_a_machine_is_refused_with_what_is_short(limits: Limits, short: &[&str]) {
    let scenario = Scenario::read("size", SIZE).unwrap_or_else(|why| panic!("{why}"));
    let why = Requirements::for_scenario(&scenario)
        .check(&limits)
        .expect_err("too large");
    assert!(short.iter().all(|what| why.contains(what)), "{why}");
    assert_eq!(why.matches("may be used").count(), short.len(), "{why}");
}

#[test]
fn a_day_too_large_is_refused_before_anything_is_started() {
    let why = play("(day (length 600 s) (dispatchers 300) (nodes 2600) (rate 1000000))")
        .expect_err("too large");
    assert!(why.starts_with("too large for this machine"), "{why}");
    let nothing = Size {
        real: 0,
        hollow: 5,
        nodes: 5,
    };
    assert!(
        Fleet::start(nothing, 1, &programs())
            .is_err_and(|why| why.contains("a real one among them"))
    );
}

#[test]
fn a_zone_is_in_one_hall_and_a_process_has_as_many_as_it_may() {
    let scenario = Scenario::read("size", SIZE).unwrap_or_else(|why| panic!("{why}"));
    let mut places = BTreeSet::new();
    for node in 0..scenario.nodes {
        let NodeLocation { cell, zone: hall } = scenario.location(node);
        places.insert((scenario.failure_domain(cell), hall));
    }
    let zones: BTreeSet<usize> = places.iter().map(|(zone, _)| *zone).collect();
    assert_eq!((zones.len(), places.len()), (7, 7));
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
