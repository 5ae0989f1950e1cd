//! Day scripts as users have written them: each keyword is read as before, and an unknown one is
//! refused with the same message and place (`tests/data/days`).

use corkspan_testbed::relay::Direction;
use corkspan_testbed::scenario::{FAULT_KINDS, LINK_PEERS, LinkPeer, Scenario};
use std::fmt::Write;
use std::time::Duration;

const EVERY_KEYWORD: &str = include_str!("data/days/every-keyword.sexp");
const HOLLOW: &str = include_str!("data/days/hollow.sexp");

fn read(name: &str, text: &str) -> Scenario {
    Scenario::read(name, text).unwrap_or_else(|fault| panic!("{fault}"))
}

/// A day as lines of text, in the words of the scripts.
fn described(scenario: &Scenario) -> String {
    let mut out = String::new();
    let millis = |time: Duration| format!("{} ms", time.as_millis());
    let mut line = |name: &str, value: String| writeln!(out, "{name}: {value}").expect("a string");
    line("length", millis(scenario.length));
    line("dispatchers", scenario.dispatchers.to_string());
    line(
        "hollow",
        format!("{}, {} a process", scenario.hollow, scenario.per_process),
    );
    line("nodes", scenario.nodes.to_string());
    line("zones", format!("{:?}", scenario.failure_domains));
    line(
        "room",
        format!("{:?}", scenario.capacity_interval.map(millis)),
    );
    line("rate", scenario.rate.to_string());
    line("deduplicated", scenario.deduplicated.to_string());
    line("unrepeatable", scenario.unrepeatable.to_string());
    line("cancels", scenario.cancels.to_string());
    line("life", millis(scenario.mean_lifetime));
    line("copies", scenario.replicas.to_string());
    let roll = scenario.rollout.map(|roll| {
        let (at, ready_for) = (millis(roll.at), millis(roll.min_ready));
        format!(
            "at {at}, unready-most {}, ready-for {ready_for}, start-first {}",
            roll.max_unavailable, roll.surge
        )
    });
    line("roll", format!("{roll:?}"));
    line(
        "versions",
        format!("{:?}", scenario.version_interval.map(millis)),
    );
    line(
        "floor",
        format!("{:?}", scenario.minimum_version_at.map(millis)),
    );
    line("audit", scenario.audit.to_string());
    let maintenance = scenario.maintenance.map(|work| {
        let (at, takes) = (millis(work.at), millis(work.work_duration));
        format!(
            "at {at}, at-a-time {}, by-hall {}, takes {takes}",
            work.max_concurrent, work.max_per_zone
        )
    });
    line("maintenance", format!("{maintenance:?}"));
    for trouble in &scenario.faults {
        let name = FAULT_KINDS
            .iter()
            .find(|(_, kind)| *kind == trouble.kind)
            .expect("a known kind")
            .0;
        let ends: Vec<&str> = trouble.peers.iter().map(|end| end_name(*end)).collect();
        let ways: Vec<&str> = trouble
            .directions
            .iter()
            .map(|way| way_name(*way))
            .collect();
        let (at, lasts, by) = (
            millis(trouble.at),
            millis(trouble.duration),
            millis(trouble.delay),
        );
        let (many, times) = (trouble.count, trouble.demand_factor);
        line(
            name,
            format!(
                "at {at}, for {lasts}, many {many}, times {times}, from {ends:?}, way {ways:?}, by {by}"
            ),
        );
    }
    out
}

fn end_name(end: LinkPeer) -> &'static str {
    LINK_PEERS
        .iter()
        .find(|(_, known)| *known == end)
        .expect("a known end")
        .0
}

fn way_name(way: Direction) -> &'static str {
    match way {
        Direction::In => "in",
        Direction::Out => "out",
    }
}

/// What was got is left beside the test for a look.
fn compare(name: &str, got: &str, recorded: &str) {
    let lines = std::iter::zip(got.lines(), recorded.lines());
    let same = lines.take_while(|(got, recorded)| got == recorded).count();
    let left = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if got != recorded {
        std::fs::write(&left, got).expect("the folder for temporary files takes it");
        let (got, recorded) = (got.lines().nth(same), recorded.lines().nth(same));
        panic!(
            "{name}, line {}: got {got:?}, recorded {recorded:?}; all of it: {}",
            same + 1,
            left.display()
        );
    }
}

#[test]
fn each_keyword_is_read_as_before() {
    let scenario = read("every-keyword", EVERY_KEYWORD);
    let hollow = read("hollow", HOLLOW);
    let got = format!("{}\n{}", described(&scenario), described(&hollow));
    compare("read.txt", &got, include_str!("data/days/read.txt"));
}

/// The script above leaves out none that is known.
#[test]
fn the_script_uses_every_kind_of_fault_and_every_end() {
    let scenario = read("every-keyword", EVERY_KEYWORD);
    for (name, kind) in FAULT_KINDS {
        let uses = scenario
            .faults
            .iter()
            .filter(|trouble| trouble.kind == kind);
        assert_eq!(uses.count(), 1, "{name}");
    }
    for (name, end) in LINK_PEERS {
        assert!(scenario.affects(end), "{name}");
    }
}

/// Each keyword in turn by another name: refused, with its place.
#[test]
fn an_unknown_keyword_is_refused_with_its_place() {
    let mut out = String::new();
    for (file, text) in [("every-keyword", EVERY_KEYWORD), ("hollow", HOLLOW)] {
        let code = text
            .lines()
            .map(|line| if line.starts_with(';') { "" } else { line });
        let code = code.collect::<Vec<_>>().join("\n");
        for (open, _) in code.match_indices('(') {
            let (before, from) = code.split_at(open + 1);
            let changed = format!("{before}x{from}");
            let end = from.find([' ', '\n', ')']).expect("a keyword ends");
            let fault = Scenario::read(file, &changed).expect_err(&from[..end]);
            writeln!(out, "x{}: {fault}", &from[..end]).expect("a string");
        }
        for word in ["dispatchers keepers", "in)", "#t", " ms)", " min)"] {
            for (at, _) in code.match_indices(word) {
                let changed = format!(
                    "{}{}",
                    &code[..at],
                    code[at..].replacen(word, &format!("y{word}"), 1)
                );
                let fault = Scenario::read(file, &changed).expect_err(word);
                writeln!(out, "y{word}: {fault}").expect("a string");
            }
        }
    }
    compare("refused.txt", &out, include_str!("data/days/refused.txt"));
}

/// Half a script is refused at the place where it ends.
#[test]
fn half_a_script_is_refused() {
    let half = &EVERY_KEYWORD[..EVERY_KEYWORD.len() / 2];
    let fault = Scenario::read("every-keyword", half)
        .expect_err("half of it")
        .to_string();
    assert_eq!(
        fault,
        "every-keyword:24:11: file: EOF while parsing a list at line 24 column 11"
    );
}
