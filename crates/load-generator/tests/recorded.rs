//! Compares arrivals, draws, reports and verdicts with those of an earlier version of this program:
//! the same seeds must give the same bytes, and a stored report must be read and written unchanged.

use corkspan_load_generator::compare::{Figure, compare};
use corkspan_load_generator::mix::Mix;
use corkspan_load_generator::plan::Plan;
use corkspan_load_generator::tally::{Outcome, Report, RequestRecord, Tally};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

const PLAN: &str = include_str!("data/load.sexp");
const ARRIVALS: &str = include_str!("data/arrivals.txt");
const REPORT: &str = include_str!("data/report.json");
const REPORT_TEXT: &str = include_str!("data/report.txt");
const COMPARED: &str = include_str!("data/compared.txt");
/// The error messages for truncated copies of the stored report, by their length in bytes.
const ERRORS: &str = include_str!("data/refused.txt");

fn plan(text: &str) -> Plan {
    Plan::read("load.sexp", text, Path::new("")).expect("valid")
}

/// Formats every arrival of a plan with its draw, one per line.
fn arrivals() -> String {
    let mut text = String::new();
    for (spacing, seed) in [("poisson", 7), ("even", 7), ("poisson", 8)] {
        let plan = plan(
            &PLAN
                .replace("(spacing poisson)", &format!("(spacing {spacing})"))
                .replace("(seed 7)", &format!("(seed {seed})")),
        );
        let mut mix = Mix::new(&plan.kinds, plan.seed);
        for at in plan.shape.arrivals(plan.seed) {
            let (kind, service) = mix.draw();
            writeln!(text, "{spacing} {seed} {at:?} {kind} {service}").expect("text");
        }
    }
    text
}

/// Returns a report about outcomes that are derived from the arrivals.
fn report() -> Report {
    let plan = plan(PLAN);
    let mut tally = Tally::new(plan.kinds.len());
    let mut mix = Mix::new(&plan.kinds, plan.seed);
    for (number, intended) in plan.shape.arrivals(plan.seed).enumerate() {
        let (kind, _) = mix.draw();
        let number = number as u64;
        let sent = intended + Duration::from_micros(number * 37 % 20_000);
        let outcomes = [
            Outcome::Placed,
            Outcome::Placed,
            Outcome::Rejected,
            Outcome::Placed,
            Outcome::Failed,
            Outcome::Unanswered,
            Outcome::NotSent,
        ];
        tally.start();
        tally.record(&RequestRecord {
            kind,
            intended,
            sent,
            answered: sent + Duration::from_micros(500 + number * 7919 % 90_000),
            outcome: outcomes[number as usize % outcomes.len()],
        });
    }
    tally.report(&plan.names(), plan.shape.duration())
}

/// Formats the figures of the report, and the verdict on pairs derived from each.
fn comparisons() -> String {
    let report = report();
    let mut text = String::new();
    for figure in Figure::ALL {
        let value = figure.value_in(&report);
        let pairs: Vec<(f64, f64)> = (0..8i32)
            .map(|index| {
                let old = value * f64::from(index + 1);
                (old, old + value * f64::from(index * 7 % 5 - 1))
            })
            .collect();
        let compared = compare(&pairs, 3);
        let (difference, from, to) = (compared.difference, compared.low, compared.high);
        let (name, verdict) = (figure.name(), compared.verdict);
        writeln!(text, "{name}: {value} {difference} {from} {to} {verdict:?}").expect("text");
    }
    text
}

#[test]
fn arrivals_and_draws_are_those_of_the_earlier_version() {
    for (number, (new, old)) in arrivals().lines().zip(ARRIVALS.lines()).enumerate() {
        assert_eq!(new, old, "line {}", number + 1);
    }
    assert!(arrivals() == ARRIVALS, "one is longer than the other");
}

#[test]
fn a_report_is_the_same_as_by_the_earlier_version() {
    assert_eq!(
        serde_json::to_string_pretty(&report()).expect("writable"),
        REPORT.trim_end()
    );
    assert_eq!(report().to_string(), REPORT_TEXT);
}

#[test]
fn a_stored_report_is_read_and_written_back_byte_for_byte() {
    let read: Report = serde_json::from_str(REPORT).expect("readable");
    assert_eq!(read, report());
    assert_eq!(
        serde_json::to_string_pretty(&read).expect("writable"),
        REPORT.trim_end()
    );
}

#[test]
fn a_truncated_report_is_rejected_with_the_same_message() {
    for line in ERRORS.lines() {
        let (cut, message) = line.split_once(' ').expect("a cut and a message");
        let truncated = &REPORT[..cut.parse().expect("a number of bytes")];
        let error = serde_json::from_str::<Report>(truncated).expect_err("it is cut short");
        assert_eq!(error.to_string(), message, "cut after {cut} bytes");
    }
    assert!(ERRORS.lines().count() >= 8);
}

#[test]
fn a_comparison_gives_the_same_figures() {
    assert_eq!(comparisons(), COMPARED);
}
