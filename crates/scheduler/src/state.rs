//! The state that the scheduler keeps between calls. All decisions are made in `policy`.

mod capacity_index;
mod machine;
mod reachability;
mod retry_schedule;
mod service_placements;
mod statistics;
mod usage_history;

pub use capacity_index::{AllocationGroup, AvailableCapacity, CapacityIndex};
pub use machine::{Machine, PlacedAllocation, Rejection, ReportedUsage, Reservation};
pub use reachability::Reachability;
pub use retry_schedule::RetrySchedule;
pub use service_placements::{ReplicaCount, ServicePlacements};
pub use statistics::{ClusterSummary, LearnedStatistics};
pub use usage_history::{UsageHistory, UsageRecord};

use crate::interface::Ticks;

/// A time that is never reached, for a condition that only an event can fulfil.
pub const NEVER: Ticks = Ticks::MAX;

/// Hashes an id with the final steps of splitmix64. The result is the same at every scheduler.
pub fn hash_id(id: u64) -> u64 {
    let id = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
