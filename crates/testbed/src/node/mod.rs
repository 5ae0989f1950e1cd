//! The stand-in node: it reviews one offer at a time, accepts or rejects it, starts and runs
//! allocations, evicts them, and injects the faults of the scenario. Several stand-in nodes run in
//! one process, each with its own listener.
//!
//! State that a real node stores on disk is held in memory here. It survives a simulated restart of
//! the node's process.

mod allocations;
mod connections;
mod context;
mod controls;
mod events;
mod offers;
mod quorum_member;
mod service;
mod state;

pub use context::{SharedContext, VersionFault};
pub use events::EventStream;

use async_lock::{Mutex as AsyncMutex, Semaphore};
use async_net::TcpListener;
use corkspan_maintenance::cordon::Cordon;
use corkspan_scheduler::interface::Resources;
use corkspan_version_fencing::operations::OperationCounts;
use corkspan_version_fencing::{Fence, StoredState};
use quorum_member::QuorumState;
use state::State;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The configuration of a stand-in node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's number in the endpoint list.
    pub id: u32,
    /// The machine type.
    pub machine_type: String,
    /// The zone of the node.
    pub zone: String,
    /// The cell of the node.
    pub cell: u64,
    /// Cores and memory of the node, in the units that offers use.
    pub capacity: Resources,
    /// The sum of the accepted requests may reach this multiple of the capacity.
    pub admission_limit: Resources,
    /// The time that the review of one offer takes.
    pub review_time: Duration,
    /// The maximum number of offers that wait for review; further ones are rejected.
    pub max_queued: usize,
    /// The time to start an allocation whose program is cached, after the slow start.
    pub start_time: Duration,
    /// The factor by which a start takes longer when the program is not cached.
    pub uncached_start_factor: u32,
    /// The maximum number of concurrent starts; others wait.
    pub max_concurrent_starts: usize,
    /// The maximum number of programs that stay cached after their allocations have ended.
    pub max_cached_programs: usize,
    /// Whether the node preempts allocations for an offer of higher priority.
    pub preempts: bool,
    /// The behaviour of the node after a start of its process.
    pub slow_start: SlowStart,
    /// The seed of the random resource use.
    pub seed: u64,
}

/// How a node behaves after its process has started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// How long the slow start lasts.
    pub duration: Duration,
    /// The length of the sliding window in which offers are counted.
    pub window: Duration,
    /// The node crashes when a window has more offers than this.
    pub max_offers: usize,
    /// The work rate at the start, which grows to 1 during the slow start.
    pub initial_rate: f64,
}

/// A stand-in node.
pub struct Node {
    pub config: NodeConfig,
    context: Arc<SharedContext>,
    state: Mutex<State>,
    /// Held while an offer is reviewed or a health check is answered.
    review: AsyncMutex<()>,
    start_permits: Semaphore,
    server: Mutex<Option<async_executor::Task<()>>>,
    listener: Mutex<Option<TcpListener>>,
    quorum_state: Mutex<QuorumState>,
    cordon: Mutex<CordonState>,
    fence: Mutex<Fence>,
    operations: Mutex<OperationCounts>,
}

/// The cordon and the time of its last change.
struct CordonState {
    cordon: Cordon,
    changed_at: Instant,
}

impl Node {
    /// Returns a node whose process has not been started.
    pub fn new(config: NodeConfig, context: &Arc<SharedContext>) -> Arc<Self> {
        Arc::new(Node {
            start_permits: Semaphore::new(config.max_concurrent_starts),
            config,
            context: Arc::clone(context),
            state: Mutex::default(),
            review: AsyncMutex::new(()),
            server: Mutex::default(),
            listener: Mutex::default(),
            quorum_state: Mutex::default(),
            cordon: Mutex::new(CordonState {
                cordon: Cordon::default(),
                changed_at: Instant::now(),
            }),
            fence: Mutex::new(Fence::restore(StoredState::Intact(None))),
            operations: Mutex::default(),
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    fn cordon(&self) -> MutexGuard<'_, CordonState> {
        lock(&self.cordon)
    }

    fn operations(&self) -> MutexGuard<'_, OperationCounts> {
        lock(&self.operations)
    }

    fn fence(&self) -> MutexGuard<'_, Fence> {
        lock(&self.fence)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while holding the lock")
}
