//! Runs whole scenarios against real dispatchers, each in its own process.

use corkspan_testbed::capture::{Line, Observation};
use corkspan_testbed::checker::check;
use corkspan_testbed::process::Programs;
use corkspan_testbed::runner::ScenarioRun;
use corkspan_testbed::scenario::{BUILT_IN, SHORT, Scenario};
use corkspan_testbed::summary::Summary;
use std::sync::{PoisonError, RwLock};
use test_case::test_case;

/// Lets scenarios run in parallel, except for one that needs the machine to itself because it
/// checks times to a tenth of a second.
static EXCLUSIVE: RwLock<()> = RwLock::new(());

fn run(script: &str, seed: u64, rewrite_deployment: fn(String) -> String) -> Vec<Line> {
    let _shared = EXCLUSIVE.read().unwrap_or_else(PoisonError::into_inner);
    run_unlocked(script, seed, rewrite_deployment)
}

fn run_unlocked(script: &str, seed: u64, rewrite_deployment: fn(String) -> String) -> Vec<Line> {
    let scenario = Scenario::read("day", script).unwrap_or_else(|why| panic!("{why}"));
    let programs = Programs::with_binary(env!("CARGO_BIN_EXE_corkspan-testbed").as_ref());
    let lines = ScenarioRun {
        scenario,
        seed,
        programs,
        capture: None,
        rewrite_deployment,
        logs: None,
    }
    .run();
    lines.unwrap_or_else(|why| panic!("{why}"))
}

fn violated_rules(lines: &[Line]) -> Vec<u8> {
    let mut rules: Vec<u8> = check(lines)
        .expect("readable")
        .iter()
        .map(|violation| violation.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn the_short_scenario_keeps_the_rules() {
    let lines = run(SHORT, 1, |text| text);
    assert_eq!(violated_rules(&lines), [0; 0]);
    let summary = Summary::of(&lines);
    assert!(
        summary.tasks > 200 && summary.placed > 200 && summary.health_checks > 10,
        "{summary}"
    );
    assert_eq!(
        summary.requested,
        summary.placed + summary.rejected + summary.failed + summary.cancelled + summary.unanswered
    );
}

/// Eight processes whose connections run through fault proxies.
#[test]
fn dispatchers_with_connection_and_disk_faults_keep_the_rules_while_versions_are_pushed() {
    let lines = run(include_str!("../days/cuts.sexp"), 1, |text| text);
    assert_eq!(violated_rules(&lines), [0; 0]);
    let summary = Summary::of(&lines);
    assert!(summary.placed > 500, "{summary}");
    let versions = lines.iter().filter_map(|line| match line.observation {
        Observation::Offered { version_number, .. } => Some(version_number),
        _ => None,
    });
    assert!(
        versions.max() >= Some(5),
        "decisions were made under pushed versions"
    );
    let faults = lines.iter().filter(|line| {
        matches!(
            line.observation,
            Observation::ConnectionFault { begins: true, .. }
        )
    });
    assert!(faults.count() >= 12);
}

#[test]
fn maintenance_finishes_within_its_limits_despite_cuts_kills_and_pauses() {
    let lines = run(include_str!("../days/work-short.sexp"), 1, |text| text);
    assert_eq!(violated_rules(&lines), [0; 0]);
    let maintenance = Summary::of(&lines)
        .maintenance
        .expect("maintenance was requested");
    // The other two nodes are quorum members and are not taken out.
    assert_eq!(
        (
            maintenance.completed.len(),
            maintenance.completions,
            maintenance.left_cordoned,
            maintenance.violations
        ),
        (22, 22, 0, 0),
        "{maintenance}"
    );
    assert!(
        (2..=6).contains(&maintenance.peak_out) && maintenance.peak_out_of_zone <= 4,
        "{maintenance}"
    );
}

const UNREPEATABLE: &str = "(day (length 4 s) (dispatchers 2) (nodes 4) (rate 40) (unrepeatable 80)
    (life 2 s) (troubles (lose-answers (at 500 ms) (for 3 s) (many 2))))";
const RACK: &str = "(day (length 5 s) (dispatchers 2) (nodes 4) (rate 60) (life 1 s)
    (troubles (restart-rack (at 1 s) (for 500 ms))))";

fn retry_everything(text: String) -> String {
    replace(
        text,
        "(repeat unrepeatable) (contract-time 1500 ms)",
        "(repeat idempotent) (contract-time 100 ms)",
    )
}

fn without_spread(text: String) -> String {
    replace(text, "(spread machine) (most 4)", "")
}

fn without_slow_start(text: String) -> String {
    replace(text, "(offers 12)", "(offers 100000)")
}

fn replace(text: String, from: &str, to: &str) -> String {
    assert!(text.contains(from), "the deployment contains `{from}`");
    text.replace(from, to)
}

#[test_case(UNREPEATABLE, retry_everything, 2; "one that retries what is not retryable")]
#[test_case(UNREPEATABLE, without_spread, 5; "one without a spread limit")]
#[test_case(RACK, without_slow_start, 4; "one that floods a node in slow start")]
fn the_checker_finds_a_dispatcher_with_wrong_decisions(
    script: &str,
    wrong: fn(String) -> String,
    rule: u8,
) {
    assert!(
        violated_rules(&run(script, 1, wrong)).contains(&rule),
        "the checker finds a violation of rule {rule}"
    );
    assert_eq!(
        violated_rules(&run(script, 1, |text| text)),
        [0; 0],
        "and the unchanged dispatcher violates none"
    );
}

/// Far more load than fits, so that nearly all requests wait until their deadline, and a pause of
/// one second.
const CROWDED: &str =
    "(day (length 6 s) (dispatchers 2) (nodes 2) (rate 120) (life 20 s) (cancels 0)
    (troubles (pause-dispatchers (at 4900 ms) (for 1 s) (many 2))))";

#[test]
fn a_pause_of_a_second_makes_no_answer_late() {
    let _exclusive = EXCLUSIVE.write().unwrap_or_else(PoisonError::into_inner);
    let mut lines = run_unlocked(CROWDED, 1, |text| text);
    assert!(
        Summary::of(&lines).rejected > 50,
        "many are rejected at their deadline"
    );
    // Without the lines that excuse late answers: the checker does not see the pause.
    let shows_state = |line: &Line| matches!(line.observation, Observation::Dispatcher { .. });
    lines.retain(|line| !shows_state(line));
    assert_eq!(violated_rules(&lines), [0; 0]);
}

#[test]
fn the_built_in_scenarios_are_valid() {
    let scenario = Scenario::read("built-in", BUILT_IN).expect("sound");
    assert!(scenario.rate * scenario.length.as_secs_f64() > 2_000.0 && scenario.faults.len() >= 6);
    Scenario::read("short", SHORT).expect("sound");
}

#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4))", "d:1:1: day: lacks `(rate …)`"; "a part missing")]
#[test_case("(day (length 4 s) (dispatchers 0) (nodes 4) (rate 1))", "d:1:32: day/dispatchers: a whole number from 1 to 300"; "no dispatchers")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (rain (at 1 s))))", "troubles/rain: unknown"; "an unknown fault")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (demand (at 1 s) (for 1 s))))", "lacks `(times …)`"; "a demand step without its factor")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (kill-nodes (at 9 s) (for 1 s))))", "after the scenario's end"; "a fault after the end")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (kill-nodes (at 1 s) (for 1 s) (many 5))))", "from 1 to 4"; "more nodes than there are")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (deduplicated 70) (unrepeatable 40))", "over 100 together"; "percentages over 100")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (cut-dispatchers (at 1 s) (for 1 s))))", "lacks `(from …)`"; "a cut without peers")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (cut-dispatchers (at 1 s) (for 1 s) (from owners))))", "`owners` is none of"; "a cut with an unknown peer")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (hold-versions (at 1 s) (for 1 s))))", "only beside `(versions …)`"; "held versions without pushes")]
#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4) (rate 1) (hollow (many 2)))", "from 1 to 1"; "no real dispatcher left")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (hollow (many 1)))", "a process of its own"; "a single hollow dispatcher")]
#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4) (rate 1) (hollow (many 1)) (troubles (full-disk (at 1 s) (for 1 s))))", "has no disk"; "a full disk with hollow dispatchers")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (lose-zone (at 1 s) (for 1 s))))", "only beside `(zones …)`"; "a lost zone without zones")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (zones 5))", "from 2 to 4"; "more zones than nodes")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 2601) (rate 1))", "from 1 to 2600"; "too many nodes")]
#[test_case("(day (length 4 s)", "d:1:"; "cut off")]
fn a_malformed_scenario_is_rejected_with_its_place(script: &str, why: &str) {
    let diagnostic = Scenario::read("d", script)
        .expect_err("a diagnostic")
        .to_string();
    assert!(
        diagnostic.starts_with("d:1:") && diagnostic.contains(why),
        "{diagnostic}"
    );
}
