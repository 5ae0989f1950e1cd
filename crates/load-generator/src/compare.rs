//! Two variants on the same loads: paired differences, how sure they are, and a plain verdict.

use crate::tally::{Outcome, Report};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Resamples that the interval is read from, and the part of them that it holds.
const RESAMPLES: usize = 4_000;
const CONFIDENCE: f64 = 0.95;
/// Pairs from which anything can be told: with fewer even the plainest order comes by chance too
/// often.
const MIN_PAIRS: usize = 5;

/// What is compared, smaller being better in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// µs from the intended time, over all kinds the worst.
    P50,
    P99,
    /// Part of the intended asks that were not placed.
    NotPlaced,
}

impl Figure {
    pub const ALL: [Figure; 3] = [Figure::P50, Figure::P99, Figure::NotPlaced];

    pub fn name(self) -> &'static str {
        match self {
            Figure::P50 => "p50 from intended time, ms",
            Figure::P99 => "p99 from intended time, ms",
            Figure::NotPlaced => "part not placed",
        }
    }

    pub fn of(self, report: &Report) -> f64 {
        let worst = |of: fn(&crate::tally::Quantiles) -> u64| {
            report
                .kinds
                .iter()
                .map(|kind| of(&kind.from_intended))
                .max()
                .unwrap_or(0) as f64
                / 1_000.0
        };
        match self {
            Figure::P50 => worst(|own| own.p50),
            Figure::P99 => worst(|own| own.p99),
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    CanNotTell,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Mean of new less old, pair by pair, and the interval that holds it.
    pub difference: f64,
    pub low: f64,
    pub high: f64,
    pub verdict: Verdict,
}

/// Compares pairs of (old, new) on the same load. The interval is read from the pairs drawn anew
/// many times, the same for the same seed.
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
    let at = |part: f64| means[((RESAMPLES as f64 * part) as usize).min(RESAMPLES - 1)];
    let (low, high) = (at((1.0 - CONFIDENCE) / 2.0), at((1.0 + CONFIDENCE) / 2.0));
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
