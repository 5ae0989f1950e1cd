//! Computes when requests are sent, from rates over time or from recorded times.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A period with a constant or linearly changing rate, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// The duration of the phase.
    pub duration: Duration,
    /// The rate at its start.
    pub from: f64,
    /// The rate at its end.
    pub to: f64,
    /// The number of additional requests that are all sent at its start.
    pub burst: u32,
}

/// The spacing of requests at a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// Evenly spaced.
    Even,
    /// A Poisson process: each request is independent of the others.
    Poisson,
}

/// The times at which requests are sent, as given in the load file.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Rates, one phase after the other.
    Phases(Vec<Phase>, Spacing),
    /// Recorded times since the start, in ascending order.
    Recorded(Vec<Duration>),
}

impl Shape {
    /// Returns the duration of the load.
    pub fn duration(&self) -> Duration {
        match self {
            Shape::Phases(phases, _) => phases.iter().map(|phase| phase.duration).sum(),
            Shape::Recorded(times) => times.last().copied().unwrap_or_default(),
        }
    }

    /// Returns the times at which requests are sent, in ascending order. They are the same for the
    /// same seed.
    pub fn arrivals(&self, seed: u64) -> Arrivals<'_> {
        Arrivals {
            shape: self,
            rng: Pcg64Mcg::seed_from_u64(seed),
            index: 0,
            at: 0.0,
            phase_start: 0.0,
            left_in_burst: match self {
                Shape::Phases(phases, _) => phases.first().map_or(0, |phase| phase.burst),
                Shape::Recorded(_) => 0,
            },
        }
    }
}

/// An iterator over the send times, measured from the start of the load.
pub struct Arrivals<'a> {
    shape: &'a Shape,
    rng: Pcg64Mcg,
    /// The index of the phase, or of the next recorded time.
    index: usize,
    /// The time since the start of the phase, in seconds.
    at: f64,
    /// The start of the phase, in seconds.
    phase_start: f64,
    left_in_burst: u32,
}

impl Iterator for Arrivals<'_> {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let (phases, spacing) = match self.shape {
            Shape::Recorded(times) => {
                self.index += 1;
                return times.get(self.index - 1).copied();
            }
            Shape::Phases(phases, spacing) => (phases, *spacing),
        };
        if self.left_in_burst > 0 {
            self.left_in_burst -= 1;
            return Some(Duration::from_secs_f64(self.phase_start));
        }
        // The integral of the rate up to the next request: 1, or an exponential draw.
        let mut needed = match spacing {
            Spacing::Even => 1.0,
            Spacing::Poisson => -(1.0 - self.rng.random::<f64>()).ln(),
        };
        loop {
            let phase = phases.get(self.index)?;
            let length = phase.duration.as_secs_f64();
            let slope = if length > 0.0 {
                (phase.to - phase.from) / length
            } else {
                0.0
            };
            let rate = phase.from + slope * self.at;
            let left = length - self.at;
            let total = rate * left + slope * left * left / 2.0;
            if total > needed {
                self.at += time_for(needed, rate, slope).min(left);
                return Some(Duration::from_secs_f64(self.phase_start + self.at));
            }
            needed -= total.max(0.0);
            (self.index, self.phase_start, self.at) =
                (self.index + 1, self.phase_start + length, 0.0);
            let next = phases.get(self.index)?;
            if next.burst > 0 {
                self.left_in_burst = next.burst - 1;
                return Some(Duration::from_secs_f64(self.phase_start));
            }
        }
    }
}

/// Returns the time until the integral of a rate that changes by `slope` reaches `needed`.
fn time_for(needed: f64, rate: f64, slope: f64) -> f64 {
    if slope.abs() < 1e-12 {
        return needed / rate;
    }
    // The smaller root, in a form that loses no digits if the slope is small.
    let root = (rate * rate + 2.0 * slope * needed).max(0.0).sqrt();
    2.0 * needed / (rate + root)
}
