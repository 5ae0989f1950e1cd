//! Tests linear fits through measurements, and measurements that are not linear.

use corkspan_capacity_model::fit::{
    EstimateError, EstimateSource, FitError, LinearFit, Measurement,
};
use test_case::test_case;

fn through(points: &[(f64, f64)]) -> Result<LinearFit, FitError> {
    let measurement = |&(at, value): &(f64, f64)| Measurement { at, value };
    LinearFit::through(&points.iter().map(measurement).collect::<Vec<_>>())
}

const POSITIONS: [f64; 4] = [140.0, 400.0, 1_300.0, 2_600.0];

/// Returns three rounds: one exact, one too high and one too low by the fraction `noise`.
fn rounds(value: impl Fn(f64) -> f64, noise: f64) -> Vec<(f64, f64)> {
    let factors = [1.0, 1.0 + noise, 1.0 - noise];
    POSITIONS
        .iter()
        .flat_map(|&at| factors.map(|factor| (at, value(at) * factor)))
        .collect()
}

#[test]
fn the_line_that_generated_the_points_is_found() {
    let fit = through(&rounds(|at| 200.0 + 3.0 * at, 0.0)).expect("twelve points");
    assert!(
        (fit.slope - 3.0).abs() < 1e-9 && (fit.intercept - 200.0).abs() < 1e-6,
        "{fit:?}"
    );
    assert!(fit.is_straight && fit.max_deviation < 1e-6);
}

/// Worked by hand: positions 0, 1, 2 and values 0, 2, 1 have the slope 1/2 and a sum of squares of
/// 3/2 with one degree of freedom.
#[test]
fn residuals_match_a_calculation_by_hand() {
    let fit = through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)]).expect("three places");
    assert!((fit.slope - 0.5).abs() < 1e-12);
    assert!((fit.residual - 1.5_f64.sqrt()).abs() < 1e-12);
    // Student's quantile for one degree at 97.5% is 12.706.
    assert!(
        (fit.slope_error - 12.706 * (1.5_f64 / 2.0).sqrt()).abs() < 1e-2,
        "{}",
        fit.slope_error
    );
}

#[test_case(|at| at * at ; "a square")]
#[test_case(|at| if at > 1_000.0 { at * 5.0 } else { at } ; "a step")]
#[test_case(|at| 10_000.0 / at ; "a hyperbola")]
fn a_curve_is_not_linear(value: fn(f64) -> f64) {
    let fit = through(&rounds(value, 0.02)).expect("twelve points");
    assert!(!fit.is_straight);
    assert_eq!(fit.estimate(2_601.0), Err(EstimateError::NotStraight));
    let estimate = fit.estimate(1_300.0).expect("it was measured there");
    assert_eq!(estimate.source, EstimateSource::Interpolated);
    assert!((estimate.value - value(1_300.0)).abs() < 1e-6 * value(1_300.0));
}

#[test]
fn noise_alone_does_not_make_points_nonlinear() {
    let noisy = [
        8.0, 12.0, 10.0, 11.0, 9.0, 10.5, 10.0, 8.5, 11.5, 9.0, 12.5, 9.5,
    ];
    let points: Vec<(f64, f64)> = (0..12)
        .map(|index| (POSITIONS[index / 3], noisy[index]))
        .collect();
    assert!(through(&points).expect("twelve points").is_straight);
}

#[test_case(5_200.0, true ; "twice the measured range")]
#[test_case(5_201.0, false ; "beyond twice the range")]
fn a_straight_line_is_extrapolated_to_twice_its_range(at: f64, within: bool) {
    let fit = through(&rounds(|at| 200.0 + 3.0 * at, 0.01)).expect("twelve points");
    match fit.estimate(at) {
        Ok(value) => {
            assert!(within && value.source == EstimateSource::Extrapolated && value.error > 0.0)
        }
        Err(reason) => assert!(!within && reason == EstimateError::TooFar(2_600.0)),
    }
}

#[test_case(&[(1.0, 1.0), (2.0, 2.0), (2.0, 2.1)], FitError::TooFewPlaces(2) ; "two places")]
#[test_case(&[], FitError::TooFewPlaces(0) ; "no points")]
#[test_case(&[(1.0, 1.0), (2.0, f64::NAN), (3.0, 2.0)], FitError::NotFinite ; "not a number")]
fn points_that_allow_no_fit_are_rejected(points: &[(f64, f64)], reason: FitError) {
    assert_eq!(through(points), Err(reason));
}
