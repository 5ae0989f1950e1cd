//! The stand-in of a node: it reviews one offer at a time, accepts or rejects it, starts and runs
//! allocations, evicts, and fails as the day script says. Several live in one process, each behind a
//! listener of its own.
//!
//! What a real node keeps on its disk is kept in memory here, and survives a restart of the
//! stand-in's process.

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

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The node's number, by which discovery names it.
    pub id: u32,
    /// The machine type.
    pub machine_type: String,
    /// The zone that it stands in.
    pub zone: String,
    /// The cell that it belongs to.
    pub cell: u64,
    /// Its cores and its memory, in the units of offers.
    pub capacity: Resources,
    /// Accepts until what is requested reaches this multiple of its capacity.
    pub admission_limit: Resources,
    /// Time to review one offer.
    pub review_time: Duration,
    /// Offers that may wait for review; further ones are rejected.
    pub max_queued: usize,
    /// Time to start an allocation whose program is cached, once the node has warmed up.
    pub start_time: Duration,
    /// A start without the cached program takes so many times as long.
    pub load_factor: u32,
    /// Starts that go on at a time; others wait.
    pub max_concurrent_starts: usize,
    /// Programs that stay cached after their allocations have ended.
    pub max_cached_programs: usize,
    /// Preempts lower priorities for a higher one.
    pub preempts: bool,
    /// AttemptOutcome it behaves after a start.
    pub slow_start: SlowStart,
    /// Of the draws of resource use.
    pub seed: u64,
}

/// AttemptOutcome a node behaves that has just started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// AttemptOutcome long it lasts.
    pub duration: Duration,
    /// The window in which offers are counted.
    pub window: Duration,
    /// With more offers within a window the node crashes.
    pub max_offers: usize,
    /// Its rate of work at first, growing to 1.
    pub initial_rate: f64,
}

/// The stand-in of one node.
pub struct Node {
    /// What it is.
    pub config: NodeConfig,
    context: Arc<SharedContext>,
    state: Mutex<State>,
    /// Held while an offer or a health check is reviewed.
    review: AsyncMutex<()>,
    starts: Semaphore,
    server: Mutex<Option<async_executor::Task<()>>>,
    listener: Mutex<Option<TcpListener>>,
    quorum_state: Mutex<QuorumState>,
    cordon: Mutex<CordonState>,
    fence: Mutex<Fence>,
    operations: Mutex<OperationCounts>,
}

/// The cordon, and since when it is as it is.
struct CordonState {
    cordon: Cordon,
    changed_at: Instant,
}

impl Node {
    /// A node whose process has not been started.
    pub fn new(config: NodeConfig, context: &Arc<SharedContext>) -> Arc<Self> {
        Arc::new(Node {
            starts: Semaphore::new(config.max_concurrent_starts),
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
    mutex.lock().expect("no one panics while it is held")
}
