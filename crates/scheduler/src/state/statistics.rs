//! Decaying means and the statistics learned over all machines.

use crate::interface::{MachineId, Resources, Ticks};
use std::collections::BTreeSet;

/// A mean in which the weight of earlier values decays.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct DecayingMean {
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// Adds a value and multiplies the weight of earlier values by `retention`.
    pub fn add(&mut self, value: f64, retention: f64) {
        (self.sum, self.weight) = (self.sum * retention + value, self.weight * retention + 1.0);
    }

    /// Returns the mean, or `default` before the first value.
    pub fn mean_or(&self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}

/// A decaying mean for each resource.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct ResourceMeans {
    /// The mean for cores.
    pub cores: DecayingMean,
    /// The mean for memory.
    pub memory: DecayingMean,
}

impl ResourceMeans {
    /// Returns the means, with 1 for a resource without values.
    pub fn mean_or_one(&self) -> Resources {
        Resources {
            cores: self.cores.mean_or(1.0),
            memory: self.memory.mean_or(1.0),
        }
    }
}

/// Means over all machines and services. Usage is a share of the request; times are in ticks.
#[derive(Default)]
pub struct LearnedStatistics {
    /// Peak usage of ended allocations, expected of an allocation whose usage isn't known yet.
    pub peak_usage: ResourceMeans,
    /// Usage of running allocations, over all metrics reported.
    pub current_usage: ResourceMeans,
    /// Time from dispatch to running: `[0]` without the program cached, `[1]` with it.
    pub start_time: [DecayingMean; 2],
    /// Time from dispatch to the machine's answer that the allocation is placed.
    pub answer_time: DecayingMean,
    /// Cores requested by new allocations.
    pub requested_cores: DecayingMean,
}

/// A summary of all machines, recomputed at intervals.
#[derive(Default)]
pub struct ClusterSummary {
    /// The time at which it was computed; `None` if it must be recomputed.
    pub computed_at: Option<Ticks>,
    /// Mean usage by other schedulers' allocations, as a share of a machine's size.
    pub average_usage: Resources,
    /// The machines needed for the demand; the others are held back.
    pub needed_machines: BTreeSet<MachineId>,
}
