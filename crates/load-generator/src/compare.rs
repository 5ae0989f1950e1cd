//! Compares two variants on the same loads: paired differences, their confidence interval, and a
//! verdict.

use crate::tally::{Outcome, Report};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of bootstrap resamples from which the interval is computed.
const RESAMPLES: usize = 4_000;
/// The part of the resamples that lies within the interval.
const CONFIDENCE: f64 = 0.95;
/// The minimum number of pairs for a verdict: with fewer, even the clearest order occurs by chance
/// too often.
const MIN_PAIRS: usize = 5;

/// A figure that is compared. Smaller is better for all figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// The median latency from the intended time, in ms; the worst over all kinds of work.
    P50,
    /// The 99th percentile of that latency, in ms; the worst over all kinds of work.
    P99,
    /// The fraction of the intended requests that were not placed, from 0 to 1.
    NotPlaced,
}

impl Figure {
    /// All figures, in the order in which they are printed.
    pub const ALL: [Figure; 3] = [Figure::P50, Figure::P99, Figure::NotPlaced];

    /// Returns the name and unit, as printed.
    pub fn name(self) -> &'static str {
        match self {
            Figure::P50 => "p50 from intended time, ms",
            Figure::P99 => "p99 from intended time, ms",
            Figure::NotPlaced => "part not placed",
        }
    }

    /// Returns the value of the figure in a report.
    pub fn value_in(self, report: &Report) -> f64 {
        let worst_ms = |quantile: fn(&crate::tally::Quantiles) -> u64| {
            report
                .kinds
                .iter()
                .map(|kind| quantile(&kind.from_intended))
                .max()
                .unwrap_or(0) as f64
                / 1_000.0
        };
        match self {
            Figure::P50 => worst_ms(|latency| latency.p50),
            Figure::P99 => worst_ms(|latency| latency.p99),
            Figure::NotPlaced => {
                let outcomes = || report.kinds.iter().flat_map(|kind| &kind.outcomes);
                let placed: u64 = outcomes()
                    .filter(|(outcome, _)| **outcome == Outcome::Placed)
                    .map(|(_, count)| count)
                    .sum();
                let all: u64 = outcomes().map(|(_, count)| count).sum();
                1.0 - placed as f64 / all.max(1) as f64
            }
        }
    }
}

/// The verdict of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The new variant is better.
    Better,
    /// The new variant is worse.
    Worse,
    /// The interval contains zero, or there are too few pairs.
    CanNotTell,
}

/// The difference between two variants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// The mean over all pairs of the new value minus the old one.
    pub difference: f64,
    /// The lower end of the confidence interval.
    pub low: f64,
    /// The upper end of the confidence interval.
    pub high: f64,
    /// Whether the new variant is better.
    pub verdict: Verdict,
}

/// Compares pairs of an old and a new value, each pair measured on the same load. The interval is
/// computed by a bootstrap over the pairs, and is the same for the same seed.
#[must_use]
pub fn compare(pairs: &[(f64, f64)], seed: u64) -> Comparison {
    let differences: Vec<f64> = pairs.iter().map(|(old, new)| new - old).collect();
    let mean = |values: &mut dyn Iterator<Item = f64>| {
        values.sum::<f64>() / differences.len().max(1) as f64
    };
    let difference = mean(&mut differences.iter().copied());
    if differences.len() < MIN_PAIRS {
        let (low, high) = (f64::NEG_INFINITY, f64::INFINITY);
        return Comparison {
            difference,
            low,
            high,
            verdict: Verdict::CanNotTell,
        };
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            mean(
                &mut (0..differences.len())
                    .map(|_| differences[rng.random_range(0..differences.len())]),
            )
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let quantile =
        |fraction: f64| means[((RESAMPLES as f64 * fraction) as usize).min(RESAMPLES - 1)];
    let (low, high) = (
        quantile((1.0 - CONFIDENCE) / 2.0),
        quantile((1.0 + CONFIDENCE) / 2.0),
    );
    let verdict = match (low, high) {
        (_, high) if high < 0.0 => Verdict::Better,
        (low, _) if low > 0.0 => Verdict::Worse,
        _ => Verdict::CanNotTell,
    };
    Comparison {
        difference,
        low,
        high,
        verdict,
    }
}
