//! Means in which what came earlier decays.

use crate::interface::Resources;

/// A mean in which what came earlier decays by `keep` with each value.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    pub fn add(&mut self, value: f64, keep: f64) {
        (self.sum, self.weight) = (self.sum * keep + value, self.weight * keep + 1.0);
    }

    pub fn or(&self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}

/// A mean of cores and one of memory.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct Means {
    pub cores: Mean,
    pub memory: Mean,
}

impl Means {
    pub fn or_one(&self) -> Resources {
        Resources {
            cores: self.cores.or(1.0),
            memory: self.memory.or(1.0),
        }
    }
}

/// What is learnt over all machines.
#[derive(Default)]
pub struct Learnt {
    /// Use by asked unit over all records: what is expected of one whose use is not known yet.
    pub usual: Means,
    /// Likewise use at any time, of the running.
    pub present: Means,
    /// Time from offer to running without [0] and with [1] the program in place.
    pub start_time: [Mean; 2],
    /// Time from offer to the placed answer.
    pub answer_time: Mean,
    /// Cores asked by the allocations taken.
    pub ask: Mean,
}
