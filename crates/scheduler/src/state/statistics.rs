//! Decaying means, and what is learned over all machines.

use crate::interface::{MachineId, Resources, Ticks};
use std::collections::BTreeSet;

/// A mean in which earlier values decay.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct DecayingMean {
    sum: f64,
    weight: f64,
}

impl DecayingMean {
    /// Adds a value; the weight of those before is multiplied by `retention`.
    pub fn add(&mut self, value: f64, retention: f64) {
        (self.sum, self.weight) = (self.sum * retention + value, self.weight * retention + 1.0);
    }

    /// The mean, or `default` before the first value.
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
    /// Mean of cores.
    pub cores: DecayingMean,
    /// Mean of memory.
    pub memory: DecayingMean,
}

impl ResourceMeans {
    /// The means, 1 where there is none yet.
    pub fn mean_or_one(&self) -> Resources {
        Resources {
            cores: self.cores.mean_or(1.0),
            memory: self.memory.mean_or(1.0),
        }
    }
}

/// Means over all machines and services. Usage is a share of what was requested; times are in
/// ticks.
#[derive(Default)]
pub struct LearnedStatistics {
    /// Peak usage of ended allocations: expected of one whose usage is not known yet.
    pub peak_usage: ResourceMeans,
    /// Usage of running allocations at any time.
    pub current_usage: ResourceMeans,
    /// Time from dispatch to running, without the program cached `[0]` and with it `[1]`.
    pub start_time: [DecayingMean; 2],
    /// Time from dispatch to the machine's answer that it is placed.
    pub answer_time: DecayingMean,
    /// Cores requested by new allocations.
    pub requested_cores: DecayingMean,
}

/// What is true over all machines, computed anew from time to time.
#[derive(Default)]
pub struct ClusterSummary {
    /// When it was computed; none if it must be computed anew.
    pub computed_at: Option<Ticks>,
    /// Mean usage by other schedulers' allocations, as a share of a machine's size.
    pub average_usage: Resources,
    /// The machines that are not held back.
    pub needed_machines: BTreeSet<MachineId>,
}
