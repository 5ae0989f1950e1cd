//! Remembers for a while which nodes are gone, so that a task that is handed over on one of them is not
//! taken for a task on a node that is not listed yet.

use corkspan_scheduler::interface::{MachineId, Ticks};
use std::collections::VecDeque;

/// Time for which a node is remembered.
const LIFETIME: Ticks = 100_000;
/// The maximum number of remembered nodes.
const MAX_NODES: usize = 4_096;

/// The nodes that are gone, from the oldest to the newest.
#[derive(Default)]
pub struct GoneNodes {
    nodes: VecDeque<(Ticks, MachineId)>,
}

impl GoneNodes {
    /// Records that a node is gone.
    pub fn add(&mut self, now: Ticks, machine: MachineId) {
        let is_expired = |&(gone_at, _): &(Ticks, MachineId)| gone_at + LIFETIME <= now;
        while self.nodes.front().is_some_and(is_expired) || self.nodes.len() >= MAX_NODES {
            self.nodes.pop_front();
        }
        self.nodes.push_back((now, machine));
    }

    /// Returns whether a node is remembered as gone.
    pub fn contains(&self, machine: MachineId) -> bool {
        self.nodes.iter().any(|&(_, gone)| gone == machine)
    }

    /// Returns the number of remembered nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }
}
