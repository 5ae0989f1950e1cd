//! Whole days through real dispatchers, each a process of its own.

use corkspan_testbed::capture::{Line, Observation};
use corkspan_testbed::checker::check;
use corkspan_testbed::process::Programs;
use corkspan_testbed::runner::ScenarioRun;
use corkspan_testbed::scenario::{BUILT_IN, SHORT, Scenario};
use corkspan_testbed::summary::Summary;
use std::sync::{PoisonError, RwLock};
use test_case::test_case;

/// Days are played side by side, but for one that needs the machine to itself: it judges to the
/// tenth of a second.
static ALONE: RwLock<()> = RwLock::new(());

fn play(script: &str, seed: u64, rewrite_deployment: fn(String) -> String) -> Vec<Line> {
    let _others = ALONE.read().unwrap_or_else(PoisonError::into_inner);
    play_here(script, seed, rewrite_deployment)
}

fn play_here(script: &str, seed: u64, rewrite_deployment: fn(String) -> String) -> Vec<Line> {
    let scenario = Scenario::read("day", script).unwrap_or_else(|why| panic!("{why}"));
    let programs = Programs::with_binary(env!("CARGO_BIN_EXE_corkspan-testbed").as_ref());
    let played = ScenarioRun {
        scenario,
        seed,
        programs,
        capture: None,
        rewrite_deployment,
        logs: None,
    }
    .run();
    played.unwrap_or_else(|why| panic!("{why}"))
}

fn broken(lines: &[Line]) -> Vec<u8> {
    let mut rules: Vec<u8> = check(lines)
        .expect("readable")
        .iter()
        .map(|breach| breach.rule)
        .collect();
    rules.dedup();
    rules
}

#[test]
fn the_short_day_keeps_the_rules() {
    let lines = play(SHORT, 1, |text| text);
    assert_eq!(broken(&lines), [0; 0]);
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

/// Eight processes whose links run through relays.
#[test]
fn dispatchers_that_are_cut_off_held_up_and_out_of_disk_keep_the_rules_while_versions_come() {
    let lines = play(include_str!("../days/cuts.sexp"), 1, |text| text);
    assert_eq!(broken(&lines), [0; 0]);
    let summary = Summary::of(&lines);
    assert!(summary.placed > 500, "{summary}");
    let newest = lines.iter().filter_map(|line| match line.observation {
        Observation::Offered { decided, .. } => Some(decided),
        _ => None,
    });
    assert!(newest.max() >= Some(5), "versions came, and were acted on");
    let struck = lines.iter().filter(|line| {
        matches!(
            line.observation,
            Observation::ConnectionFault { struck: true, .. }
        )
    });
    assert!(struck.count() >= 12);
}

#[test]
fn all_machines_have_their_work_within_the_limits_whoever_is_cut_killed_or_stands_still() {
    let lines = play(include_str!("../days/work-short.sexp"), 1, |text| text);
    assert_eq!(broken(&lines), [0; 0]);
    let work = Summary::of(&lines)
        .maintenance
        .expect("machines were taken out");
    // The other two are keepers, and stay.
    assert_eq!(
        (
            work.completed.len(),
            work.completions,
            work.left_cordoned,
            work.violations
        ),
        (22, 22, 0, 0),
        "{work}"
    );
    assert!(
        (2..=6).contains(&work.peak_out) && work.peak_out_of_zone <= 4,
        "{work}"
    );
}

const UNREPEATABLE: &str = "(day (length 4 s) (dispatchers 2) (nodes 4) (rate 40) (unrepeatable 80)
    (life 2 s) (troubles (lose-answers (at 500 ms) (for 3 s) (many 2))))";
const RACK: &str = "(day (length 5 s) (dispatchers 2) (nodes 4) (rate 60) (life 1 s)
    (troubles (restart-rack (at 1 s) (for 500 ms))))";

fn repeats_what_must_not(text: String) -> String {
    replace(
        text,
        "(repeat unrepeatable) (contract-time 1500 ms)",
        "(repeat idempotent) (contract-time 100 ms)",
    )
}

fn knows_no_spread(text: String) -> String {
    replace(text, "(spread machine) (most 4)", "")
}

fn knows_no_cold(text: String) -> String {
    replace(text, "(offers 12)", "(offers 100000)")
}

fn replace(text: String, from: &str, to: &str) -> String {
    assert!(text.contains(from), "the deployment says `{from}`");
    text.replace(from, to)
}

#[test_case(UNREPEATABLE, repeats_what_must_not, 2; "one that repeats what must not run twice")]
#[test_case(UNREPEATABLE, knows_no_spread, 5; "one that knows no spread")]
#[test_case(RACK, knows_no_cold, 4; "one that floods what has just started")]
fn a_dispatcher_with_wrong_decisions_is_found_out(
    script: &str,
    wrong: fn(String) -> String,
    rule: u8,
) {
    assert!(
        broken(&play(script, 1, wrong)).contains(&rule),
        "the judge finds rule {rule} broken"
    );
    assert_eq!(
        broken(&play(script, 1, |text| text)),
        [0; 0],
        "and the right one keeps all"
    );
}

/// Far more than fits, so that nearly all wait to the end of their time; and a second of standing
/// still.
const CROWDED: &str =
    "(day (length 6 s) (dispatchers 2) (nodes 2) (rate 120) (life 20 s) (cancels 0)
    (troubles (pause-dispatchers (at 4900 ms) (for 1 s) (many 2))))";

#[test]
fn a_second_of_standing_still_makes_no_answer_late() {
    let _alone = ALONE.write().unwrap_or_else(PoisonError::into_inner);
    let mut lines = play_here(CROWDED, 1, |text| text);
    assert!(
        Summary::of(&lines).rejected > 50,
        "many are refused at the end of their time"
    );
    // Without its excuse: the judge is not told that it stood still.
    let excuse = |line: &Line| matches!(line.observation, Observation::Dispatcher { .. });
    lines.retain(|line| !excuse(line));
    assert_eq!(broken(&lines), [0; 0]);
}

#[test]
fn the_built_in_days_are_sound_scripts() {
    let scenario = Scenario::read("built-in", BUILT_IN).expect("sound");
    assert!(scenario.rate * scenario.length.as_secs_f64() > 2_000.0 && scenario.faults.len() >= 6);
    Scenario::read("short", SHORT).expect("sound");
}

#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4))", "d:1:1: day: lacks `(rate …)`"; "a part missing")]
#[test_case("(day (length 4 s) (dispatchers 0) (nodes 4) (rate 1))", "d:1:32: day/dispatchers: a whole number from 1 to 300"; "no dispatchers")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (rain (at 1 s))))", "troubles/rain: unknown"; "an unknown trouble")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (demand (at 1 s) (for 1 s))))", "lacks `(times …)`"; "a demand step without its size")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (kill-nodes (at 9 s) (for 1 s))))", "after the day's end"; "a trouble too late")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (kill-nodes (at 1 s) (for 1 s) (many 5))))", "from 1 to 4"; "more nodes than there are")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (deduplicated 70) (unrepeatable 40))", "over 100 together"; "parts beyond the whole")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (cut-dispatchers (at 1 s) (for 1 s))))", "lacks `(from …)`"; "a cut of no links")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (cut-dispatchers (at 1 s) (for 1 s) (from owners))))", "`owners` is none of"; "a cut of unknown links")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (hold-versions (at 1 s) (for 1 s))))", "only beside `(versions …)`"; "versions held where none come")]
#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4) (rate 1) (hollow (many 2)))", "from 1 to 1"; "no real dispatcher left")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (hollow (many 1)))", "a process of its own"; "one alone and hollow")]
#[test_case("(day (length 4 s) (dispatchers 2) (nodes 4) (rate 1) (hollow (many 1)) (troubles (full-disk (at 1 s) (for 1 s))))", "has no disk"; "a full disk where there is none")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (troubles (lose-zone (at 1 s) (for 1 s))))", "only beside `(zones …)`"; "a zone lost where there is none")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 4) (rate 1) (zones 5))", "from 2 to 4"; "more zones than nodes")]
#[test_case("(day (length 4 s) (dispatchers 1) (nodes 2601) (rate 1))", "from 1 to 2600"; "too many nodes")]
#[test_case("(day (length 4 s)", "d:1:"; "cut off")]
fn a_malformed_day_is_told_with_its_place(script: &str, why: &str) {
    let fault = Scenario::read("d", script)
        .expect_err("a fault")
        .to_string();
    assert!(fault.starts_with("d:1:") && fault.contains(why), "{fault}");
}
