//! Tests when requests are sent and how they are counted, with a case for each way in which a load
//! can mislead.

use corkspan_load_generator::compare::{Verdict, compare};
use corkspan_load_generator::mix::{Mix, WorkloadKind};
use corkspan_load_generator::plan::Plan;
use corkspan_load_generator::plot::draw;
use corkspan_load_generator::shape::{Phase, Shape, Spacing};
use corkspan_load_generator::tally::{Outcome, RequestRecord, Tally};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn phase(seconds: u64, from: f64, to: f64) -> Phase {
    Phase {
        duration: Duration::from_secs(seconds),
        from,
        to,
        burst: 0,
    }
}

fn times(phases: Vec<Phase>, spacing: Spacing) -> Vec<Duration> {
    Shape::Phases(phases, spacing).arrivals(7).collect()
}

#[test]
fn a_step_applies_its_new_rate_immediately() {
    let times = times(
        vec![phase(2, 50.0, 50.0), phase(2, 5_000.0, 5_000.0)],
        Spacing::Even,
    );
    let before = times.iter().filter(|at| **at < ms(2_000)).count();
    assert!((99..=100).contains(&before), "{before}");
    assert!((10_098..=10_100).contains(&times.len()), "{}", times.len());
}

#[test]
fn a_ramp_has_the_mean_of_its_rates_and_most_requests_in_its_second_half() {
    let times = times(vec![phase(10, 0.0, 200.0)], Spacing::Even);
    let half = times.iter().filter(|at| **at < ms(5_000)).count();
    assert!(
        (999..=1_000).contains(&times.len()) && (249..=251).contains(&half),
        "{half} of {}",
        times.len()
    );
}

#[test]
fn all_requests_of_a_burst_are_sent_at_its_time() {
    let burst = Phase {
        duration: Duration::ZERO,
        from: 0.0,
        to: 0.0,
        burst: 300,
    };
    let times = times(
        vec![phase(1, 10.0, 10.0), burst, phase(1, 10.0, 10.0)],
        Spacing::Even,
    );
    let at_burst = times.iter().filter(|at| **at == ms(1_000)).count();
    assert!(
        (300..=301).contains(&at_burst),
        "{at_burst}, with the last before it"
    );
}

proptest! {
    #[test]
    fn arrivals_are_in_order_within_their_time_and_as_many_as_intended(
        rates in prop::collection::vec((0.0..500.0f64, 0.0..500.0f64, 1..4u64, 0..50u32), 1..6),
        seed in any::<u64>(),
    ) {
        let phases: Vec<Phase> = rates.iter().map(|&(from, to, seconds, burst)| {
            Phase { duration: Duration::from_secs(seconds), from, to, burst }
        }).collect();
        let intended: f64 = phases.iter().map(|phase| {
            (phase.from + phase.to) / 2.0 * phase.duration.as_secs_f64() + f64::from(phase.burst)
        }).sum();
        for spacing in [Spacing::Even, Spacing::Poisson] {
            let shape = Shape::Phases(phases.clone(), spacing);
            let times: Vec<Duration> = shape.arrivals(seed).collect();
            prop_assert!(times.is_sorted());
            prop_assert!(times.last().is_none_or(|last| *last <= shape.duration() + ms(1)));
            let deviation = (times.len() as f64 - intended).abs();
            let slack = if spacing == Spacing::Even { rates.len() as f64 + 1.0 } else { 6.0 * intended.sqrt() + 6.0 };
            prop_assert!(deviation <= slack, "{} for {intended}", times.len());
            prop_assert_eq!(shape.arrivals(seed).collect::<Vec<_>>(), times, "the same again");
        }
    }
}

#[test]
fn kinds_are_drawn_by_weight() {
    let kind = |service_class: &str, weight| WorkloadKind {
        service_class: service_class.into(),
        tenant: String::new(),
        services: 3,
        weight,
        cores: 1.0,
        memory: 1.0,
        lifetime_ms: 1,
        abandon_ms: 1,
    };
    let kinds = [kind("often", 99.0), kind("seldom", 1.0)];
    let mut mix = Mix::new(&kinds, 1);
    let seldom = (0..10_000).filter(|_| mix.draw().0 == 1).count();
    assert!((60..150).contains(&seldom), "{seldom}");
}

fn request(intended: u64, sent: u64, answered: u64, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        kind: 0,
        intended: ms(intended),
        sent: ms(sent),
        answered: ms(answered),
        outcome,
    }
}

#[test]
fn a_request_sent_late_is_counted_from_its_intended_time() {
    let mut tally = Tally::new(1);
    (0..100).for_each(|at| tally.record(&request(at * 10, 1_000, 1_005, Outcome::Placed)));
    let report = tally.report(&["web".into()], ms(1_000));
    let kind = &report.kinds[0];
    assert!(
        kind.from_intended.p50 > 500_000 && kind.from_sent.max < 5_100,
        "{kind:?}"
    );
    assert!(
        report.fell_behind,
        "the generator reports that it fell behind"
    );
}

#[test]
fn requests_without_a_reply_or_never_sent_are_counted() {
    let mut tally = Tally::new(1);
    (0..98).for_each(|at| tally.record(&request(at, at, at + 1, Outcome::Placed)));
    tally.record(&request(98, 98, 8_098, Outcome::Unanswered));
    tally.record(&request(99, 99, 99, Outcome::NotSent));
    let report = tally.report(&["web".into()], ms(100));
    assert!(report.kinds[0].from_intended.max >= 7_990_000);
    assert!(report.fell_behind && report.kinds[0].outcomes[&Outcome::NotSent] == 1);
    assert!(report.to_string().contains("FELL BEHIND"));
}

const PLAN: &str = "(load (phases (constant (for 1 s) (rate 50))) (kinds (web (cores 1) (memory 1) (life 1 s) (abandon-time 4 s))))";

#[test_case("(rate 50)", "(rate -1)", "0 or more"; "a rate below zero")]
#[test_case("(rate 50)", "(rate 100000000)", "more than 50000000 requests"; "too many requests")]
#[test_case("(life 1 s)", "", "lacks `(life …)`"; "no lifetime")]
#[test_case("(phases", "(recorded \"no.csv\") (phases", "either"; "two shapes")]
#[test_case("(phases (constant (for 1 s) (rate 50)))", "(recorded \"no.csv\")", "no.csv"; "a missing file")]
fn an_invalid_load_file_is_rejected_with_the_position_of_the_error(
    from: &str,
    to: &str,
    reason: &str,
) {
    let error = Plan::read("p", &PLAN.replace(from, to), Path::new(""))
        .map(drop)
        .expect_err("an error")
        .to_string();
    assert!(
        error.starts_with("p:1:") && error.contains(reason),
        "{error}"
    );
}

#[test_case("ms\n0\n5.5\n7\n", Ok(3); "in order")]
#[test_case("ms\r\n0\r\n5\r\n", Ok(2); "with CRLF line ends")]
#[test_case("ms\n5\n4\n", Err("line 3: earlier than the line above it"); "out of order")]
#[test_case("ms\n5\nx\n", Err("line 3: `x` is not a time"); "an invalid time")]
#[test_case("s\n5\n", Err("lacks a column"); "no column")]
fn recorded_times_are_read_in_order(text: &str, expected: Result<usize, &str>) {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("times.csv"), text).expect("written");
    let plan = PLAN.replace(
        "(phases (constant (for 1 s) (rate 50)))",
        "(recorded \"times.csv\")",
    );
    let read = Plan::read("p", &plan, folder.path()).map_err(|error| error.to_string());
    match (read, expected) {
        (Ok(plan), Ok(count)) => assert_eq!(plan.shape.arrivals(1).count(), count),
        (Err(error), Err(expected)) => assert!(error.contains(expected), "{error}"),
        (read, expected) => panic!("{read:?}, not {expected:?}"),
    }
}

#[test_case(10.0, Verdict::Worse; "10 more on each")]
#[test_case(-10.0, Verdict::Better; "10 less on each")]
#[test_case(0.0, Verdict::CanNotTell; "the same")]
fn a_difference_is_found_among_loads_that_differ_far_more(difference: f64, verdict: Verdict) {
    // Loads have values between 100 and 500; each new value has additional noise of up to 5.
    let noise = |index: usize| ((index * 7919) % 11) as f64 - 5.0;
    let pairs: Vec<(f64, f64)> = (0..10)
        .map(|load| {
            (
                100.0 + 44.0 * load as f64,
                100.0 + 44.0 * load as f64 + difference + noise(load),
            )
        })
        .collect();
    assert_eq!(compare(&pairs, 1).verdict, verdict);
    assert_eq!(
        compare(&pairs[..4], 1).verdict,
        Verdict::CanNotTell,
        "four loads allow no verdict"
    );
}

#[test]
fn two_equal_variants_are_seldom_found_to_differ() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let found = (0..200).filter(|&round| {
        let pairs: Vec<(f64, f64)> = (0..10)
            .map(|_| (rng.random::<f64>(), rng.random::<f64>()))
            .collect();
        compare(&pairs, round).verdict != Verdict::CanNotTell
    });
    let found = found.count();
    assert!(found <= 30, "{found} of 200, where 10 are expected");
}

#[test]
fn a_report_is_drawn_or_the_error_names_the_file() {
    let mut tally = Tally::new(1);
    (0..98).for_each(|at| tally.record(&request(at * 50, at * 50, at * 51, Outcome::Placed)));
    let report = tally.report(&["web".into()], ms(5_000));
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("report.svg");
    draw(&report, &path).expect("it can be drawn");
    let image = std::fs::read_to_string(&path).expect("written");
    assert!(image.starts_with("<svg") && image.contains("slowest reply"));
    let missing = folder.path().join("no such folder/report.svg");
    let error = draw(&report, &missing).expect_err("there is no folder");
    assert!(
        error
            .to_string()
            .starts_with(&missing.display().to_string()),
        "{error}"
    );
}
