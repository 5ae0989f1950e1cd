//! When asks go out: rates over time, and the times that they come to.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// A stretch of time with a rate that stays or moves evenly, in asks a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phase {
    pub duration: Duration,
    pub from: f64,
    pub to: f64,
    /// Asks that all come at its beginning, on top.
    pub burst: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// As even as the rate allows.
    Even,
    /// By chance: each ask comes whatever the others do.
    Poisson,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    Phases(Vec<Phase>, Spacing),
    /// Times since the beginning, in order.
    Recorded(Vec<Duration>),
}

impl Shape {
    pub fn duration(&self) -> Duration {
        match self {
            Shape::Phases(phases, _) => phases.iter().map(|phase| phase.duration).sum(),
            Shape::Recorded(times) => times.last().copied().unwrap_or_default(),
        }
    }

    /// The times at which asks go out, in order; the same for the same seed.
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

pub struct Arrivals<'a> {
    shape: &'a Shape,
    rng: Pcg64Mcg,
    /// The phase, or the next of the recorded times.
    index: usize,
    /// Seconds since the phase began, and when that was.
    at: f64,
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
        // So much must come together of rate times time: one ask's worth, or as chance has it.
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

/// How long until so much has come together, at a rate that grows so.
fn time_for(needed: f64, rate: f64, slope: f64) -> f64 {
    if slope.abs() < 1e-12 {
        return needed / rate;
    }
    // The smaller root, in the form that loses no digits where the slope is slight.
    let root = (rate * rate + 2.0 * slope * needed).max(0.0).sqrt();
    2.0 * needed / (rate + root)
}
