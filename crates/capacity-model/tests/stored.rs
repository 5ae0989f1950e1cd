//! Compares the stored result and the figures computed from it with files of an earlier version of
//! the program: the result and its page in docs/, errors for invalid results, and fits of seeded
//! points.

use corkspan_capacity_model::fit::{EstimateSource, LinearFit, Measurement};
use corkspan_capacity_model::page;
use corkspan_capacity_model::requirements::{MachineResources, check, required_for};
use corkspan_capacity_model::result::{CapacityResult, FleetSize, PLANNED_SIZE};
use std::fmt::Write;
use std::path::Path;
use test_case::test_case;

fn document(name: &str) -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    std::fs::read_to_string(docs.join(name)).expect("the document exists")
}

fn result() -> CapacityResult {
    CapacityResult::read(&document("capacity/result.json")).expect("valid")
}

/// The size is written with its keys in alphabetical order, and everything else as in the file.
#[test]
fn the_result_recorded_is_written_back_to_the_same_bytes() {
    let (stored, written) = (document("capacity/result.json"), result().to_json());
    let size = include_str!("data/size_in_result.json").trim_end();
    let lines: Vec<&str> = stored.split('\n').collect();
    let sized = format!("\"size\": {size},");
    let expected = [&lines[..1], &[&sized[..]], &lines[2..]].concat();
    assert_eq!(written.split('\n').collect::<Vec<_>>(), expected);
    assert_eq!(CapacityResult::read(&written), Ok(result()));
}

#[test]
fn the_page_recorded_is_filled_to_the_same_bytes() {
    let page = document("CAPACITY.md");
    assert_eq!(page::fill(&page, &result()).expect("valid"), page);
}

#[test]
fn a_size_is_read_and_written_back_to_the_same_bytes() {
    let stored = include_str!("data/size.json").trim_end();
    let size: FleetSize = serde_json::from_str(stored).expect("valid");
    assert_eq!(size, PLANNED_SIZE);
    assert_eq!(
        serde_json::to_string(&size).expect("it can be written"),
        stored
    );
}

/// Writes the errors for the stored result when it is truncated, and when the first occurrence of
/// one text is replaced.
fn refusals(out: &mut String) {
    let stored = document("capacity/result.json");
    for part in 1..24 {
        let cut = stored.len() * part / 24;
        let error = CapacityResult::read(&stored[..cut]).expect_err("it is cut short");
        let _ = writeln!(out, "cut at {cut}: {error}");
    }
    for (text, replacement) in [
        ("\"size\"", "\"sise\""),
        ("\"runs\"", "\"ruins\""),
        ("\"machines\":1300.0", "\"machines\":0"),
        ("\"machines\":1300.0", "\"machines\":2e9"),
        ("\"waiting\":300.0,", ""),
        ("\"teams\"", "\"groups\""),
        ("\"axis\": \"machines\"", "\"axis\": \"teams\""),
        ("\"series\": ", "\"serie\": "),
        ("\"command\": ", "\"line\": "),
        ("\"seed\": 1", "\"seed\": -1"),
        ("\"cores\": ", "\"core\": "),
        ("\"fixed\": ", "\"fix\": "),
        ("\"places\": [", "\"places\": [null,"),
        ("\"rounds\": 1", "\"rounds\": 1.5"),
        ("\"at\":140.0", "\"at\":-140.0"),
        ("\"round\":0", "\"around\":0"),
        ("\"load\":16.04,", ""),
        ("\"figures\":{", "\"figures\":{\"x\":\"y\","),
        ("\"series\": \"held\"", "\"series\": \"starts\""),
    ] {
        assert!(stored.contains(text), "{text}");
        let invalid = stored.replacen(text, replacement, 1);
        let error = CapacityResult::read(&invalid).expect_err("it is invalid");
        let _ = writeln!(out, "{text} as {replacement}: {error}");
    }
    let page = document("CAPACITY.md");
    for (text, replacement) in [
        ("<!-- by role -->", ""),
        ("<!-- links -->", "<!-- by role -->"),
        ("| 1 | ", "| 2 | "),
    ] {
        let invalid = page.replacen(text, replacement, 1);
        let error = page::check(&invalid, &result()).expect_err("it differs");
        let _ = writeln!(out, "{text} as {replacement}: {error}");
    }
    let machine = MachineResources {
        memory_mib: 24_000,
        processes: 1_000,
        descriptors: 20_000,
    };
    for (dispatchers, machines, tasks) in [(1, 140, 0), (600, 1_300, 300), (500, 900_000, 9_999)] {
        let checked = check(required_for(dispatchers, machines, tasks), machine);
        let text = checked.map_or_else(|error| error.to_string(), |()| "enough".into());
        let _ = writeln!(out, "{dispatchers}, {machines}, {tasks}: {text}");
    }
}

/// Returns a pseudorandom fraction from 0 to 1. The generator is implemented here because the draws
/// of a library's generator might change.
fn fraction(state: &mut u64) -> f64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*state >> 11) as f64 / (1u64 << 53) as f64
}

fn points(state: &mut u64, shape: u32) -> Vec<Measurement> {
    let noise = [0.0, 0.02, 0.2, 1.0][(fraction(state) * 4.0) as usize];
    let rounds = 1 + (fraction(state) * 3.0) as u32;
    let places = 2 + (fraction(state) * 5.0) as u32;
    let value = |at: f64| match shape % 4 {
        0 => 10.0 + 3.0 * at,
        1 => 1.0 + 0.01 * at * at,
        2 => 7.0,
        _ => 100.0 / (1.0 + at),
    };
    (0..places * rounds)
        .map(|index| {
            let at = f64::from(index % places) * 40.0;
            Measurement {
                at,
                value: value(at) * (1.0 + noise * (fraction(state) - 0.5)),
            }
        })
        .collect()
}

/// Writes fits of seeded points with nine digits, because the last ones may differ between
/// processors.
fn fitted(out: &mut String) {
    let mut state = 1;
    for shape in 0..48 {
        let points = points(&mut state, shape);
        let fit = match LinearFit::through(&points) {
            Ok(fit) => fit,
            Err(error) => {
                let _ = writeln!(out, "{shape}: {error}");
                continue;
            }
        };
        let noise_free = fit.residual < 1e-9;
        let error = |value: f64| if noise_free { 0.0 } else { value };
        let _ = writeln!(
            out,
            "{shape}: {} points, slope {:.8e} error {:.8e} residual {:.8e}, straight {}, range {:?}",
            fit.points,
            if fit.slope.abs() < 1e-9 {
                0.0
            } else {
                fit.slope
            },
            error(fit.slope_error),
            error(fit.residual),
            fit.is_straight,
            (fit.range.start(), fit.range.end())
        );
        for at in [-1.0, 0.0, 55.0, 300.0, 1e4] {
            let text = match fit.estimate(at) {
                Ok(value) => {
                    let source = match value.source {
                        EstimateSource::Line => "line",
                        EstimateSource::Extrapolated => "beyond",
                        EstimateSource::Interpolated => "between",
                    };
                    format!(
                        "{:.8e} error {:.8e} {source}",
                        value.value,
                        error(value.error)
                    )
                }
                Err(error) => error.to_string(),
            };
            let _ = writeln!(out, "  at {at}: {text}");
        }
    }
}

#[test_case("refusals", refusals)]
#[test_case("fits", fitted)]
fn computed_text_matches_the_recorded_file(name: &str, compute: fn(&mut String)) {
    let (mut computed, file) = (String::new(), format!("{name}.txt"));
    compute(&mut computed);
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let recorded = std::fs::read_to_string(data.join(&file)).unwrap_or_default();
    if computed == recorded {
        return;
    }
    let computed_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(&file);
    std::fs::write(&computed_file, &computed).expect("the temporary folder can be written");
    let pairs = computed.lines().zip(recorded.lines());
    let line = pairs.take_while(|(one, other)| one == other).count();
    panic!(
        "{file} line {}: computed {:?}, recorded {:?}; the computed text is in {}",
        line + 1,
        computed.lines().nth(line),
        recorded.lines().nth(line),
        computed_file.display()
    );
}
