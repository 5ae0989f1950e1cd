//! Fits lines by least squares, tests points for linearity, and computes estimates with errors.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, FisherSnedecor, StudentsT};
use std::ops::RangeInclusive;

/// The multiple of the largest measured position up to which a line is extrapolated.
pub const MAX_EXTRAPOLATION: f64 = 2.0;
/// The significance level of the test for lack of fit. Points are not linear if the probability
/// that noise alone causes such a lack of fit is lower.
const SIGNIFICANCE: f64 = 0.01;
/// The part of the span of the means below which a deviation is ignored.
const NEGLIGIBLE_OF_SPAN: f64 = 0.05;
/// The part of the mean of the means below which a deviation is ignored.
const NEGLIGIBLE_OF_MEAN: f64 = 0.05;
/// The two-sided confidence level of all errors.
const CONFIDENCE: f64 = 0.95;
/// The minimum number of positions for a line.
const MIN_PLACES: usize = 3;
/// The bound below which singular values are treated as zero.
const SINGULAR_EPSILON: f64 = 1e-12;

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// The position on the axis, such as the number of machines.
    pub at: f64,
    /// The measured value.
    pub value: f64,
}

/// A position with a summary of all values measured there.
#[derive(Clone, Debug, PartialEq)]
struct Position {
    at: f64,
    mean: f64,
    /// The largest distance of a value from the mean.
    deviation: f64,
}

/// A line through measurements.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at 0.
    pub intercept: f64,
    /// The change of the value per unit of the axis.
    pub slope: f64,
    /// The error of the slope at 95% confidence.
    pub slope_error: f64,
    /// The standard error of the residuals.
    pub residual: f64,
    /// The largest distance of a position's mean from the line.
    pub max_deviation: f64,
    /// Whether the measurements lie on the line, up to noise.
    pub is_straight: bool,
    /// The range of measured positions.
    pub range: RangeInclusive<f64>,
    /// The number of measurements.
    pub points: usize,
    /// The mean of the positions of all measurements.
    centre: f64,
    /// The sum of squares of their distances from the centre.
    spread: f64,
    /// The quantile of Student's t-distribution.
    student_quantile: f64,
    /// The measured positions, in ascending order.
    places: Vec<Position>,
}

/// The reason why no line can be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// Fewer than three different positions were measured.
    #[error("a line needs three places, and {0} were measured")]
    TooFewPlaces(usize),
    /// A measurement is infinite or not a number.
    #[error("a point is no number")]
    NotFinite,
}

/// How an estimate was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EstimateSource {
    /// From the line, within the measured range.
    Line,
    /// From the line, beyond the measured range.
    Extrapolated,
    /// Between the two nearest positions, because the measurements are not linear.
    Interpolated,
}

/// The expected value at a position.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The value.
    pub value: f64,
    /// Its error at 95% confidence; for an interpolated value, the largest distance of a
    /// measurement from its position's mean.
    pub error: f64,
    /// How the value was obtained.
    pub source: EstimateSource,
}

/// The reason why there is no estimate at a position.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum EstimateError {
    /// The measurements are not linear, and the position is outside their range.
    #[error("not straight: not extrapolated")]
    NotStraight,
    /// The position is too far beyond the largest measured one, which is given.
    #[error("measured to {0} only: not extrapolated")]
    TooFar(f64),
}

/// The least-squares solution about the centre.
struct Solution {
    /// The value at the centre.
    middle: f64,
    slope: f64,
    /// The sum of squares of the residuals.
    residual_squares: f64,
}

impl LinearFit {
    /// Fits a line through measurements.
    ///
    /// # Errors
    ///
    /// Returns [`FitError`] if a measurement is not finite or there are fewer than three positions.
    pub fn through(points: &[Measurement]) -> Result<LinearFit, FitError> {
        let is_finite = |point: &Measurement| point.at.is_finite() && point.value.is_finite();
        if !points.iter().all(is_finite) {
            return Err(FitError::NotFinite);
        }
        let places = places(points);
        if places.len() < MIN_PLACES {
            return Err(FitError::TooFewPlaces(places.len()));
        }
        let count = points.len() as f64;
        let centre = points.iter().map(|point| point.at).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.at - centre).powi(2)).sum();
        let Solution {
            middle,
            slope,
            residual_squares,
        } = solve(points, centre)?;
        let degrees_of_freedom = count - 2.0;
        let residual = (residual_squares / degrees_of_freedom).sqrt();
        let distribution =
            StudentsT::new(0.0, 1.0, degrees_of_freedom).map_err(|_| FitError::NotFinite)?;
        let student_quantile = distribution.inverse_cdf(0.5 + CONFIDENCE / 2.0);
        let line = |at: f64| middle + slope * (at - centre);
        let max_deviation = places
            .iter()
            .map(|place| (place.mean - line(place.at)).abs())
            .fold(0.0, f64::max);
        Ok(LinearFit {
            intercept: line(0.0),
            slope,
            slope_error: student_quantile * residual / spread.sqrt(),
            residual,
            max_deviation,
            is_straight: is_straight(points, &places, residual_squares, max_deviation),
            range: places[0].at..=places[places.len() - 1].at,
            points: points.len(),
            centre,
            spread,
            student_quantile,
            places,
        })
    }

    /// Returns the expected value at a position.
    ///
    /// # Errors
    ///
    /// Returns [`EstimateError`] if the line can't be extrapolated to the position.
    pub fn estimate(&self, at: f64) -> Result<Estimate, EstimateError> {
        let within = self.range.contains(&at);
        if !self.is_straight {
            return if within {
                Ok(self.interpolate(at))
            } else {
                Err(EstimateError::NotStraight)
            };
        }
        let largest = *self.range.end();
        if at < 0.0 || at > largest * MAX_EXTRAPOLATION {
            return Err(EstimateError::TooFar(largest));
        }
        let value = self.intercept + self.slope * at;
        let part = 1.0 / self.points as f64 + (at - self.centre).powi(2) / self.spread;
        let error = self.student_quantile * self.residual * part.sqrt();
        Ok(Estimate {
            value,
            error,
            source: if within {
                EstimateSource::Line
            } else {
                EstimateSource::Extrapolated
            },
        })
    }

    /// Interpolates between the means of the two nearest positions.
    fn interpolate(&self, at: f64) -> Estimate {
        let above = self
            .places
            .iter()
            .position(|place| place.at >= at)
            .unwrap_or(self.places.len() - 1);
        let (high, low) = (&self.places[above], &self.places[above.saturating_sub(1)]);
        let part = if high.at > low.at {
            (at - low.at) / (high.at - low.at)
        } else {
            0.0
        };
        Estimate {
            value: low.mean + (high.mean - low.mean) * part,
            error: low.deviation.max(high.deviation),
            source: EstimateSource::Interpolated,
        }
    }
}

/// Solves the least-squares problem about the centre, so that the two columns are independent and
/// large positions lose no digits.
fn solve(points: &[Measurement], centre: f64) -> Result<Solution, FitError> {
    let design = DMatrix::from_fn(points.len(), 2, |row, column| {
        if column == 0 {
            1.0
        } else {
            points[row].at - centre
        }
    });
    let values = points.iter().map(|point| point.value);
    let measured = DVector::from_iterator(points.len(), values);
    let solution = design
        .clone()
        .svd(true, true)
        .solve(&measured, SINGULAR_EPSILON)
        .map_err(|_| FitError::NotFinite)?;
    let (middle, slope) = (solution[0], solution[1]);
    let residual_squares = (measured - design * solution).norm_squared();
    Ok(Solution {
        middle,
        slope,
        residual_squares,
    })
}

/// Groups measurements by position, in ascending order.
fn places(points: &[Measurement]) -> Vec<Position> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.at.total_cmp(&other.at));
    let place = |measured: &[Measurement]| {
        let values = || measured.iter().map(|point| point.value);
        let mean = values().sum::<f64>() / measured.len() as f64;
        Position {
            at: measured[0].at,
            mean,
            deviation: values()
                .map(|value| (value - mean).abs())
                .fold(0.0, f64::max),
        }
    };
    sorted
        .chunk_by(|one, other| one.at == other.at)
        .map(place)
        .collect()
}

/// Returns whether the points are linear, by an F-test for lack of fit: it compares the distances
/// of the means from the line with the differences between rounds at one position. A deviation too
/// small to matter for planning is ignored even if it is significant, and so is one that may be due
/// to the noise of the rounds.
fn is_straight(
    points: &[Measurement],
    places: &[Position],
    residual_squares: f64,
    max_deviation: f64,
) -> bool {
    let means = || places.iter().map(|place| place.mean);
    let span = means().fold(f64::MIN, f64::max) - means().fold(f64::MAX, f64::min);
    let mean = means().map(f64::abs).sum::<f64>() / places.len() as f64;
    if max_deviation <= (span * NEGLIGIBLE_OF_SPAN).max(mean * NEGLIGIBLE_OF_MEAN) {
        return true;
    }
    let mean_at = |at: f64| {
        places
            .iter()
            .find(|place| place.at == at)
            .map_or(0.0, |place| place.mean)
    };
    let pure_error: f64 = points
        .iter()
        .map(|point| (point.value - mean_at(point.at)).powi(2))
        .sum();
    let lack_of_fit_freedom = places.len() as f64 - 2.0;
    let pure_error_freedom = (points.len() - places.len()) as f64;
    // With one round, or rounds that agree in every digit, only the deviation decides.
    if pure_error_freedom < 1.0 || pure_error <= 0.0 {
        return false;
    }
    let lack_of_fit = (residual_squares - pure_error).max(0.0);
    let ratio = (lack_of_fit / lack_of_fit_freedom) / (pure_error / pure_error_freedom);
    FisherSnedecor::new(lack_of_fit_freedom, pure_error_freedom)
        .is_ok_and(|noise| noise.sf(ratio) >= SIGNIFICANCE)
}
