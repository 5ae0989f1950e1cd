//! Straight lines by least squares, and whether they are straight.

use nalgebra::{DMatrix, DVector};
use statrs::distribution::{ContinuousCDF, FisherSnedecor, StudentsT};

/// A line is told at most so many times beyond the largest place that was measured.
pub const MAX_EXTRAPOLATION: f64 = 2.0;
/// Chance of so large a lack of fit by noise alone, below which a line is not straight.
const SIGNIFICANCE: f64 = 0.01;
/// What no one plans by: a bend below this part of the span, or of the mean, is none.
const NEGLIGIBLE_OF_SPAN: f64 = 0.05;
const NEGLIGIBLE_OF_MEAN: f64 = 0.05;
/// Errors are told for this level, both sides.
const CONFIDENCE: f64 = 0.95;

/// A line through points, each a place and what was measured there.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    pub intercept: f64,
    pub slope: f64,
    /// Of the slope, at 95%.
    pub slope_error: f64,
    /// The usual residual, as a standard error.
    pub residual: f64,
    /// The largest distance of a place's mean from the line.
    pub max_deviation: f64,
    pub is_straight: bool,
    /// Of the places measured.
    pub range: (f64, f64),
    pub points: usize,
    centre: f64,
    spread: f64,
    student: f64,
    /// Place, mean, and the largest distance of a point from it.
    places: Vec<(f64, f64, f64)>,
}

/// Why there is no line.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    #[error("a line needs three places, and {0} were measured")]
    TooFewPlaces(usize),
    #[error("a point is no number")]
    NotFinite,
}

/// How a value at a place came to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EstimateSource {
    /// By the line, within what was measured.
    Line,
    /// By the line, beyond what was measured.
    Extrapolated,
    /// The points are on no line: between the two nearest places.
    Interpolated,
}

/// What is told at a place, and its error at 95%.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    pub value: f64,
    pub error: f64,
    pub source: EstimateSource,
}

/// Why nothing is told at a place.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum EstimateError {
    #[error("not straight: not extrapolated")]
    NotStraight,
    #[error("measured to {0} only: not extrapolated")]
    TooFar(f64),
}

impl LinearFit {
    pub fn through(points: &[(f64, f64)]) -> Result<LinearFit, FitError> {
        if points
            .iter()
            .any(|(at, value)| !at.is_finite() || !value.is_finite())
        {
            return Err(FitError::NotFinite);
        }
        let places = places(points);
        if places.len() < 3 {
            return Err(FitError::TooFewPlaces(places.len()));
        }
        let count = points.len() as f64;
        let centre = points.iter().map(|(at, _)| at).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(at, _)| (at - centre).powi(2)).sum();
        // About the centre, so that the two columns are independent and large places lose no
        // digits.
        let design = DMatrix::from_fn(points.len(), 2, |row, column| {
            if column == 0 {
                1.0
            } else {
                points[row].0 - centre
            }
        });
        let measured = DVector::from_iterator(points.len(), points.iter().map(|(_, value)| *value));
        let found = design
            .clone()
            .svd(true, true)
            .solve(&measured, 1e-12)
            .map_err(|_| FitError::NotFinite)?;
        let (middle, slope) = (found[0], found[1]);
        let degrees_of_freedom = count - 2.0;
        let squares = (measured - design * found).norm_squared();
        let residual = (squares / degrees_of_freedom).sqrt();
        let student =
            StudentsT::new(0.0, 1.0, degrees_of_freedom).map_err(|_| FitError::NotFinite)?;
        let student = student.inverse_cdf(0.5 + CONFIDENCE / 2.0);
        let line = |at: f64| middle + slope * (at - centre);
        let max_deviation = places
            .iter()
            .map(|(at, mean, _)| (mean - line(*at)).abs())
            .fold(0.0, f64::max);
        Ok(LinearFit {
            intercept: line(0.0),
            slope,
            slope_error: student * residual / spread.sqrt(),
            residual,
            max_deviation,
            is_straight: is_straight(points, &places, squares, max_deviation),
            range: (places[0].0, places[places.len() - 1].0),
            points: points.len(),
            centre,
            spread,
            student,
            places,
        })
    }

    /// What is to be expected at a place.
    pub fn estimate(&self, at: f64) -> Result<Estimate, EstimateError> {
        let within = at >= self.range.0 && at <= self.range.1;
        if !self.is_straight {
            return if within {
                Ok(self.interpolate(at))
            } else {
                Err(EstimateError::NotStraight)
            };
        }
        if at < 0.0 || at > self.range.1 * MAX_EXTRAPOLATION {
            return Err(EstimateError::TooFar(self.range.1));
        }
        let value = self.intercept + self.slope * at;
        let part = 1.0 / self.points as f64 + (at - self.centre).powi(2) / self.spread;
        let error = self.student * self.residual * part.sqrt();
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

    fn interpolate(&self, at: f64) -> Estimate {
        let above = self
            .places
            .iter()
            .position(|(place, ..)| *place >= at)
            .unwrap_or(self.places.len() - 1);
        let (high, low) = (self.places[above], self.places[above.saturating_sub(1)]);
        let part = if high.0 > low.0 {
            (at - low.0) / (high.0 - low.0)
        } else {
            0.0
        };
        Estimate {
            value: low.1 + (high.1 - low.1) * part,
            error: low.2.max(high.2),
            source: EstimateSource::Interpolated,
        }
    }
}

/// Each place once, in order.
fn places(points: &[(f64, f64)]) -> Vec<(f64, f64, f64)> {
    let mut sorted = points.to_vec();
    sorted.sort_by(|one, other| one.0.total_cmp(&other.0));
    let one = |own: &[(f64, f64)]| {
        let mean = own.iter().map(|(_, value)| value).sum::<f64>() / own.len() as f64;
        let spread = own
            .iter()
            .map(|(_, value)| (value - mean).abs())
            .fold(0.0, f64::max);
        (own[0].0, mean, spread)
    };
    sorted
        .chunk_by(|one, other| one.0 == other.0)
        .map(one)
        .collect()
}

/// The usual test for lack of fit: what the places' means miss the line by against what rounds at a
/// place differ by. A bend too small to plan by is none, however sure; nor is one that the rounds'
/// own noise may be.
fn is_straight(
    points: &[(f64, f64)],
    places: &[(f64, f64, f64)],
    squares: f64,
    max_deviation: f64,
) -> bool {
    let means = || places.iter().map(|(_, mean, _)| *mean);
    let span = means().fold(f64::MIN, f64::max) - means().fold(f64::MAX, f64::min);
    let mean = means().map(f64::abs).sum::<f64>() / places.len() as f64;
    if max_deviation <= (span * NEGLIGIBLE_OF_SPAN).max(mean * NEGLIGIBLE_OF_MEAN) {
        return true;
    }
    let mean_at = |at: f64| {
        places
            .iter()
            .find(|(place, ..)| *place == at)
            .map_or(0.0, |(_, mean, _)| *mean)
    };
    let pure: f64 = points
        .iter()
        .map(|(at, value)| (value - mean_at(*at)).powi(2))
        .sum();
    let (lacking, rounds) = (
        places.len() as f64 - 2.0,
        (points.len() - places.len()) as f64,
    );
    // One round, or rounds that agree in every digit: the bend alone tells.
    if rounds < 1.0 || pure <= 0.0 {
        return false;
    }
    let ratio = ((squares - pure).max(0.0) / lacking) / (pure / rounds);
    FisherSnedecor::new(lacking, rounds).is_ok_and(|noise| noise.sf(ratio) >= SIGNIFICANCE)
}
