//! Reads scenario scripts as users have written them. Each keyword must be read as before, and an
//! unknown one rejected with the same message and place (`tests/data/days`).

use corkspan_testbed::relay::Direction;
use corkspan_testbed::scenario::{CONNECTION_PEERS, ConnectionPeer, FAULT_KINDS, Scenario};
use std::fmt::Write;
use std::time::Duration;

const EVERY_KEYWORD: &str = include_str!("data/days/every-keyword.sexp");
const HOLLOW: &str = include_str!("data/days/hollow.sexp");

fn read(name: &str, text: &str) -> Scenario {
    Scenario::read(name, text).unwrap_or_else(|diagnostic| panic!("{diagnostic}"))
}

/// Describes a scenario as lines of text, with the keywords of the scripts.
fn describe(scenario: &Scenario) -> String {
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
    line("unrepeatable", scenario.not_retryable.to_string());
    line("cancels", scenario.cancels.to_string());
    line("life", millis(scenario.mean_lifetime));
    line("copies", scenario.replicas.to_string());
    let rollout = scenario.rollout.map(|rollout| {
        let (at, ready_for) = (millis(rollout.at), millis(rollout.min_ready));
        format!(
            "at {at}, unready-most {}, ready-for {ready_for}, start-first {}",
            rollout.max_unavailable, rollout.surge
        )
    });
    line("roll", format!("{rollout:?}"));
    line(
        "versions",
        format!("{:?}", scenario.version_interval.map(millis)),
    );
    line(
        "floor",
        format!("{:?}", scenario.minimum_version_at.map(millis)),
    );
    line("audit", scenario.audit.to_string());
    let maintenance = scenario.maintenance.map(|plan| {
        let (at, takes) = (millis(plan.at), millis(plan.work_duration));
        format!(
            "at {at}, at-a-time {}, by-hall {}, takes {takes}",
            plan.max_concurrent, plan.max_per_zone
        )
    });
    line("maintenance", format!("{maintenance:?}"));
    for fault in &scenario.faults {
        let name = FAULT_KINDS
            .iter()
            .find(|(_, kind)| *kind == fault.kind)
            .expect("a known fault kind")
            .0;
        let peers: Vec<&str> = fault.peers.iter().map(|peer| peer_name(*peer)).collect();
        let directions: Vec<&str> = fault
            .directions
            .iter()
            .map(|direction| direction_name(*direction))
            .collect();
        let (at, duration, delay) = (
            millis(fault.at),
            millis(fault.duration),
            millis(fault.delay),
        );
        let (count, factor) = (fault.count, fault.demand_factor);
        line(
            name,
            format!(
                "at {at}, for {duration}, many {count}, times {factor}, from {peers:?}, way {directions:?}, by {delay}"
            ),
        );
    }
    out
}

fn peer_name(peer: ConnectionPeer) -> &'static str {
    CONNECTION_PEERS
        .iter()
        .find(|(_, known)| *known == peer)
        .expect("a known peer")
        .0
}

fn direction_name(direction: Direction) -> &'static str {
    match direction {
        Direction::In => "in",
        Direction::Out => "out",
    }
}

/// Compares with the recorded text. On a difference, the actual text is written to a file.
fn compare(name: &str, got: &str, recorded: &str) {
    let lines = std::iter::zip(got.lines(), recorded.lines());
    let same = lines.take_while(|(got, recorded)| got == recorded).count();
    let output = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if got != recorded {
        std::fs::write(&output, got).expect("the temporary folder is writable");
        let (got, recorded) = (got.lines().nth(same), recorded.lines().nth(same));
        panic!(
            "{name}, line {}: got {got:?}, recorded {recorded:?}; complete output: {}",
            same + 1,
            output.display()
        );
    }
}

#[test]
fn each_keyword_is_read_as_before() {
    let scenario = read("every-keyword", EVERY_KEYWORD);
    let hollow = read("hollow", HOLLOW);
    let got = format!("{}\n{}", describe(&scenario), describe(&hollow));
    compare("read.txt", &got, include_str!("data/days/read.txt"));
}

/// Guards against a new keyword that the recorded script does not cover.
#[test]
fn the_script_uses_every_kind_of_fault_and_every_peer() {
    let scenario = read("every-keyword", EVERY_KEYWORD);
    for (name, kind) in FAULT_KINDS {
        let uses = scenario.faults.iter().filter(|fault| fault.kind == kind);
        assert_eq!(uses.count(), 1, "{name}");
    }
    for (name, peer) in CONNECTION_PEERS {
        assert!(scenario.affects(peer), "{name}");
    }
}

/// Misspells each keyword in turn.
#[test]
fn an_unknown_keyword_is_rejected_with_its_place() {
    let mut out = String::new();
    for (file, text) in [("every-keyword", EVERY_KEYWORD), ("hollow", HOLLOW)] {
        let code = text
            .lines()
            .map(|line| if line.starts_with(';') { "" } else { line });
        let code = code.collect::<Vec<_>>().join("\n");
        for (open, _) in code.match_indices('(') {
            let (before, from) = code.split_at(open + 1);
            let changed = format!("{before}x{from}");
            let end_of_keyword = from.find([' ', '\n', ')']).expect("a keyword ends");
            let diagnostic = Scenario::read(file, &changed).expect_err(&from[..end_of_keyword]);
            writeln!(out, "x{}: {diagnostic}", &from[..end_of_keyword]).expect("a string");
        }
        for token in ["dispatchers keepers", "in)", "#t", " ms)", " min)"] {
            for (at, _) in code.match_indices(token) {
                let changed = format!(
                    "{}{}",
                    &code[..at],
                    code[at..].replacen(token, &format!("y{token}"), 1)
                );
                let diagnostic = Scenario::read(file, &changed).expect_err(token);
                writeln!(out, "y{token}: {diagnostic}").expect("a string");
            }
        }
    }
    compare("refused.txt", &out, include_str!("data/days/refused.txt"));
}

/// The diagnostic points at the place where the script ends.
#[test]
fn half_a_script_is_rejected() {
    let half = &EVERY_KEYWORD[..EVERY_KEYWORD.len() / 2];
    let diagnostic = Scenario::read("every-keyword", half)
        .expect_err("half of it")
        .to_string();
    assert_eq!(
        diagnostic,
        "every-keyword:24:11: file: EOF while parsing a list at line 24 column 11"
    );
}
