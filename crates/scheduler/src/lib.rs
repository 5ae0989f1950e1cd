//! corkspan: a cluster scheduler that fills machines by expected usage, not by requests.
//!
//! [`Scheduler`] makes all decisions; [`interface`] has the types of its arguments and results. The
//! private modules are `policy` for decisions, `updates` for recording reports and `state` for the
//! data that both keep.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod interface;
mod policy;
mod state;
mod updates;

use interface::{Allocation, AllocationId, Cluster, MachineId, Ticks};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use state::*;
use std::collections::BTreeMap;

/// The scheduler of one dispatcher, with its state.
pub struct Scheduler {
    cluster: Cluster,
    rng: Pcg64Mcg,
    seed: u64,
    machines: BTreeMap<MachineId, Machine>,
    /// The machine that holds each of our allocations.
    machine_of: BTreeMap<AllocationId, MachineId>,
    service_placements: ServicePlacements,
    /// Replicas of the service being placed, by the domains over which its class is spread.
    replicas_by_domain: Vec<ReplicaCount>,
    usage_history: UsageHistory,
    learned: LearnedStatistics,
    /// The time from which no other process has sent attempts in the place of this one.
    started_at: Ticks,
    watch_retry_at: Option<Ticks>,
    watch_failures: u32,
    retry_schedule: RetrySchedule,
    capacity_index: CapacityIndex,
    /// A large allocation that fits on no machine, though enough capacity may be available in
    /// fragments.
    starved: Option<Allocation>,
    /// The machine of the last reservation.
    reserved_machine: Option<MachineId>,
    next_sweep_at: Ticks,
    /// The time of the next search for silent machines.
    next_silence_check_at: Ticks,
    summary: ClusterSummary,
    /// Health checks that may be sent. It grows with each new allocation, so that their cost stays
    /// proportional to the load.
    health_check_budget: f64,
}

impl Scheduler {
    /// Creates a scheduler without machines or allocations. Its random draws depend only on `seed`
    /// and its inputs.
    pub fn new(cluster: Cluster, seed: u64, now: Ticks) -> Self {
        Scheduler {
            watch_retry_at: cluster.list_poll_interval.map(|_| now),
            cluster,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed: hash_id(seed),
            machines: BTreeMap::new(),
            machine_of: BTreeMap::new(),
            service_placements: ServicePlacements::default(),
            replicas_by_domain: Vec::new(),
            usage_history: UsageHistory::default(),
            learned: LearnedStatistics::default(),
            started_at: now,
            watch_failures: 0,
            retry_schedule: RetrySchedule::default(),
            capacity_index: CapacityIndex::default(),
            starved: None,
            reserved_machine: None,
            next_sweep_at: now,
            next_silence_check_at: now,
            summary: ClusterSummary::default(),
            health_check_budget: 0.0,
        }
    }
}
