//! Tests invalid results, pages that differ from their result, and machines that are too small.

use corkspan_capacity_model::figures::{self, Outcome};
use corkspan_capacity_model::page;
use corkspan_capacity_model::requirements::{MachineResources, check, required_for};
use corkspan_capacity_model::result::{Axis, CapacityResult, PLANNED_SIZE, Point, Run};
use test_case::test_case;

/// Returns a result in which bytes grow by 50 per machine, and processor time with the square of
/// the number of machines.
fn sample() -> CapacityResult {
    let places = vec![140.0, 400.0, 1_300.0, 2_600.0];
    let point = |at: f64, round: u32| Point {
        at,
        round,
        load: 1.5,
        invalid: None,
        figures: [
            (
                "told, bytes/s".to_string(),
                600.0 + 50.0 * at + f64::from(round),
            ),
            (
                "told, core %".to_string(),
                (at * at * 1e-6 * f64::from(round + 9) * 1e4).round() / 1e4,
            ),
        ]
        .into(),
    };
    let run = Run {
        axis: Axis::Machines,
        series: "control".into(),
        command: "corkspan-lab capacity".into(),
        seed: 1,
        cores: 8,
        memory_mib: 24_000,
        fixed: "1 dispatcher".into(),
        points: (0..3)
            .flat_map(|round| places.iter().map(move |&at| point(at, round)))
            .collect(),
        places,
        rounds: 3,
    };
    CapacityResult {
        size: PLANNED_SIZE,
        runs: vec![run],
    }
}

fn evaluated(result: &CapacityResult, name: &str) -> figures::EvaluatedFigure {
    let mut figures = figures::evaluate(result);
    let index = figures
        .iter()
        .position(|figure| figure.definition.figure == name)
        .expect("a figure");
    figures.swap_remove(index)
}

fn page_of(result: &CapacityResult) -> String {
    let names = page::tables(result)
        .into_iter()
        .map(|table| format!("<!-- {} -->\n<!-- end -->\n", table.name));
    let empty: String = std::iter::once("# Page\n\n".to_string())
        .chain(names)
        .collect();
    page::fill(&empty, result).expect("each table has its place")
}

#[test]
fn a_line_is_evaluated_at_the_size_against_its_limit() {
    let figure = evaluated(&sample(), "told, bytes/s");
    let Outcome::Estimated { value, .. } = &figure.outcome else {
        panic!("{:?}", figure.outcome)
    };
    assert!((value.value - 65_601.0).abs() < 1e-6 && value.error > 0.0);
    assert!((figure.factor().expect("a limit") - 6.5601).abs() < 1e-6);
}

#[test]
fn figures_are_sorted_by_factor_with_unmeasured_ones_last() {
    let sorted = figures::by_factor(figures::evaluate(&sample()));
    assert_eq!(sorted[0].definition.figure, "told, core %");
    assert_eq!(sorted[1].definition.figure, "told, bytes/s");
    assert!(
        sorted[2..]
            .iter()
            .all(|figure| figure.outcome == Outcome::Unavailable("not measured".into()))
    );
    assert!(!sorted[2..].is_empty());
}

#[test]
fn a_place_without_a_valid_point_makes_the_run_partial() {
    let mut result = sample();
    for point in result.runs[0]
        .points
        .iter_mut()
        .filter(|point| point.at == 400.0)
    {
        point.invalid = Some("stolen".into());
    }
    assert_eq!(
        evaluated(&result, "told, bytes/s").outcome,
        Outcome::Unavailable("partial: nothing sound at 400".into())
    );
    let runs = page::tables(&result).pop().expect("tables").markdown;
    assert!(runs.contains("3 of 12, **partial**"), "{runs}");
}

#[test]
fn an_invalid_point_is_ignored() {
    let mut result = sample();
    let point = &mut result.runs[0].points[2];
    point.invalid = Some("the generator was late".into());
    point.figures.insert("told, bytes/s".into(), 1e9);
    let Outcome::Estimated { value, .. } = evaluated(&result, "told, bytes/s").outcome else {
        panic!("there is a value")
    };
    assert!((value.value - 65_601.0).abs() < 1.0);
}

#[test]
fn a_written_result_is_read_to_the_same_content() {
    let result = sample();
    assert_eq!(CapacityResult::read(&result.to_json()), Ok(result));
}

#[test_case("\"at\":1300.0", "\"at\":-4", "has the invalid position" ; "a position below zero")]
#[test_case("\"figures\":{\"told, bytes/s\":130602.0,\"told, core %\":74.36}", "\"figures\":{}", "has no figures" ; "no figures")]
#[test_case("\"load\":1.5", "\"lode\":1.5", "unknown field" ; "an unknown field")]
#[test_case("\"figures\":{", "\"figures\":{\"x\":null,", "invalid type" ; "not a number")]
#[test_case("\"machines\"", "\"machine\"", "unknown variant `machine`" ; "an unknown axis")]
#[test_case("\"waiting\":300.0", "\"waiting\":0", "must be above 0" ; "a size of zero")]
fn an_invalid_file_is_reported_with_its_line(valid: &str, invalid: &str, reason: &str) {
    let text = sample().to_json();
    // For the axis, replaces the first match; for all others, the last.
    let at = match valid {
        "\"machines\"" => text.find("\"axis\": \"machines\"").expect("present") + 8,
        _ => text.rfind(valid).expect("the text is present"),
    };
    let line = text[..at].lines().count();
    let text = format!("{}{invalid}{}", &text[..at], &text[at + valid.len()..]);
    let error = CapacityResult::read(&text).expect_err("it is invalid");
    assert!(error.reason.contains(reason), "{error}");
    assert_eq!(error.line, line, "{error}");
}

#[test]
fn a_file_that_is_cut_short_is_reported_with_its_line() {
    let text = sample().to_json();
    let error = CapacityResult::read(&text[..text.len() / 2]).expect_err("half of it");
    assert_eq!(
        error.line,
        text[..text.len() / 2].lines().count(),
        "{error}"
    );
}

#[test]
fn a_second_run_of_a_series_is_reported() {
    let mut result = sample();
    result.runs.push(result.runs[0].clone());
    let error = CapacityResult::read(&result.to_json()).expect_err("twice");
    assert!(
        error.line > 15 && error.reason.contains("machines / control"),
        "{error}"
    );
}

#[test]
fn a_filled_page_matches_its_result() {
    let result = sample();
    assert_eq!(page::check(&page_of(&result), &result), Ok(()));
}

#[test]
fn a_difference_is_reported_with_its_line() {
    let result = sample();
    let page = page_of(&result);
    let line = page
        .lines()
        .position(|line| line.contains("65,601"))
        .expect("it is on the page");
    let error =
        page::check(&page.replacen("65,601", "65,600", 1), &result).expect_err("it differs");
    assert_eq!(error.line, line + 1);
    assert!(
        error.reason.contains("65,600") && error.reason.contains("65,601"),
        "{error}"
    );
}

#[test_case("<!-- runs -->", "", "no table `runs`" ; "a missing table")]
#[test_case("<!-- missing -->", "<!-- runs -->", "a second table `runs`" ; "a repeated table")]
fn a_page_without_its_tables_is_rejected(original: &str, replacement: &str, reason: &str) {
    let result = sample();
    let error = page::check(
        &page_of(&result).replacen(original, replacement, 1),
        &result,
    )
    .expect_err("it does not fit");
    assert!(error.reason.contains(reason), "{error}");
}

const SMALL: MachineResources = MachineResources {
    memory_mib: 2_000,
    processes: 100,
    descriptors: 1_024,
};

#[test_case(5, 140, 0, &[] ; "it fits")]
#[test_case(300, 140, 0, &["MiB of memory", "processes", "descriptors"] ; "too many dispatchers")]
#[test_case(1, 2_600, 0, &["descriptors"] ; "too many machines")]
#[test_case(1, 140, 60_000, &["MiB of memory"] ; "too many tasks")]
#[test_case(u64::MAX, 140, 0, &["MiB of memory", "processes", "descriptors"] ; "an arithmetic overflow")]
fn all_that_is_short_is_reported_at_once(
    dispatchers: u64,
    machines: u64,
    tasks: u64,
    short: &[&str],
) {
    match check(required_for(dispatchers, machines, tasks), SMALL) {
        Ok(()) => assert!(short.is_empty()),
        Err(error) => {
            let resources: Vec<&str> = error.0.iter().map(|shortage| shortage.resource).collect();
            assert!(!short.is_empty());
            assert_eq!(resources, short);
            let text = error.to_string();
            assert!(
                short.iter().all(|resource| text.contains(resource)),
                "{text}"
            );
        }
    }
}
