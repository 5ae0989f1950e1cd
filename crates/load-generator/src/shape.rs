//! When requests are sent: rates over time, and the times that they come to.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A stretch of time with a constant or evenly changing rate, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    /// How long it takes.
    pub duration: Duration,
    /// Rate at its beginning.
    pub from: f64,
    /// Rate at its end.
    pub to: f64,
    /// Requests that are all sent at its beginning, on top.
    pub burst: u32,
}

/// How requests are spaced at a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// As evenly as the rate allows.
    Even,
    /// By chance: each request is independent of the others.
    Poisson,
}

/// When requests are sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// At a rate, one phase after the other.
    Phases(Vec<Phase>, Spacing),
    /// At recorded times since the beginning, in order.
    Recorded(Vec<Duration>),
}

impl Shape {
    /// How long the load lasts.
    pub fn duration(&self) -> Duration {
        match self {
            Shape::Phases(phases, _) => phases.iter().map(|phase| phase.duration).sum(),
            Shape::Recorded(times) => times.last().copied().unwrap_or_default(),
        }
    }

    /// The times at which requests are sent, in order; the same for the same seed.
    pub fn arrivals(&self, seed: u64) -> Arrivals<'_> {
        Arrivals {
            shape: self,
            rng: Pcg64Mcg::seed_from_u64(seed),
            index: 0,
            at: 0.0,
            began: 0.0,
            left_in_burst: match self {
                Shape::Phases(phases, _) => phases.first().map_or(0, |phase| phase.burst),
                Shape::Recorded(_) => 0,
            },
        }
    }
}

/// The times at which requests are sent, since the beginning.
pub struct Arrivals<'a> {
    shape: &'a Shape,
    rng: Pcg64Mcg,
    /// The phase, or the next of the recorded times.
    index: usize,
    /// Seconds since the phase began.
    at: f64,
    /// When the phase began, in seconds.
    began: f64,
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
            return Some(Duration::from_secs_f64(self.began));
        }
        // The integral of the rate until the next request: 1, or an exponential draw.
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
                return Some(Duration::from_secs_f64(self.began + self.at));
            }
            needed -= total.max(0.0);
            (self.index, self.began, self.at) = (self.index + 1, self.began + length, 0.0);
            let next = phases.get(self.index)?;
            if next.burst > 0 {
                self.left_in_burst = next.burst - 1;
                return Some(Duration::from_secs_f64(self.began));
            }
        }
    }
}

/// Time until the integral of a rate that changes by `slope` comes to `needed`.
fn time_for(needed: f64, rate: f64, slope: f64) -> f64 {
    if slope.abs() < 1e-12 {
        return needed / rate;
    }
    // The smaller root, in the form that loses no digits where the slope is slight.
    let root = (rate * rate + 2.0 * slope * needed).max(0.0).sqrt();
    2.0 * needed / (rate + root)
}
