//! What the decisions keep in mind: plain state, by which `rules` alone decides.

mod capacity_index;
mod machine;
mod retry_schedule;
mod service_index;
mod statistics;
mod usage_history;

use crate::interface::*;
use std::collections::BTreeSet;

pub use capacity_index::{Kind, Room, Rooms};
pub use machine::{Guest, Machine};
pub use retry_schedule::Waits;
pub use service_index::Services;
pub use statistics::Learnt;
pub use usage_history::{Record, Records};

/// A moment that never comes by itself.
pub const NEVER: Ticks = Ticks::MAX;

/// What holds over all machines.
#[derive(Default)]
pub struct View {
    pub taken: Option<Ticks>,
    /// Use by others as a share of size, in the mean.
    pub average: Resources,
    /// The machines not held back.
    pub open: BTreeSet<MachineId>,
}

/// A machine weighed for one allocation.
#[derive(Clone, Copy)]
pub struct Weighed {
    pub machine: MachineId,
    /// Whether lower priorities were taken to yield.
    pub yields: bool,
    pub load: f64,
    /// Whether it can bear the allocation by present use, draws aside.
    pub bears: bool,
    pub base: Resources,
    pub line: Resources,
    /// 0: to be used first; held-back machines come last.
    pub rank: u8,
}

/// Scatters an id, alike at every scheduler (the last steps of splitmix64).
pub fn mix(id: u64) -> u64 {
    let id = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
