//! The core of the dispatcher: the engine with its decisions, the state of each client's
//! allocation, and the effects on nodes and clients. Each message is handled by a call into the
//! core, and the messages that result from it are sent before the call returns. The core does not
//! depend on the modules that use it (rollouts, version streams, the minimum version).

mod attempt_events;
mod client;
mod effects;
mod lifecycle;
mod machines;
mod placement;
mod removals;
mod replicas;

use crate::active_version::{self, ActiveVersion};
use crate::attempts;
use crate::clock::{Clock, duration};
use crate::link_counters::{ConnectionCounters, ConnectionKind};
use crate::node_links::NodeConnection;
use crate::rollouts::Rollouts;
use crate::store::{Store, StoredRollouts};
use crate::version_gate::{self, FencingState};
pub use client::CurrentAllocation;
use client::{AfterRemoval, ClientAllocation, PendingRemoval};
use corkspan_api::v1;
use corkspan_config::Deployment;
use corkspan_config::version::{Digest, VersionId};
use corkspan_config_sync::{compatibility, stable_ids};
use corkspan_engine::{AdmissionError, AllocationRequest, Engine, RetryBatch, service_id};
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_rpc::SharedExecutor;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use effects::{DispatcherEffects, RequestCounters};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tracing::{info, warn};
use v1::placement_event::Event as Reply;

pub struct CoreState {
    engine: Engine<ClientAllocation>,
    effects: DispatcherEffects,
}

pub struct DispatcherCore {
    inner: Mutex<CoreState>,
    pub clock: Clock,
    /// The active deployment. It is replaced only while the state lock is held, so it never changes
    /// during a decision.
    active_deployment: RwLock<Arc<Deployment>>,
    pub active_version: ActiveVersion,
    pub fencing: FencingState,
    pub connection_limits: corkspan_rpc::ConnectionLimits,
    pub connection_counters: ConnectionCounters,
    pub tasks: SharedExecutor,
    /// Sends the time at which the engine must be polled next.
    wake_sender: async_channel::Sender<Instant>,
    /// Requests to watch the endpoint list.
    pub watch_sender: async_channel::Sender<()>,
    /// Counts the open calls: each holds one reference, and the core holds one.
    open_calls: Arc<()>,
    /// Rollouts and claims stored on disk.
    pub store: Arc<Store>,
    /// Receives claims to release at the quorum members.
    pub returned_claims: async_channel::Receiver<(String, ClaimId)>,
}

/// The result of a client's call: the stream of its replies, and the id of its allocation if it was
/// admitted.
pub struct OpenCall {
    pub replies: async_channel::Receiver<v1::PlacementEvent>,
    pub id: Option<CurrentAllocation>,
    pub open_guard: Arc<()>,
}

impl DispatcherCore {
    pub fn new(
        deployment: Deployment,
        seed: u64,
        clock: Clock,
        tasks: &SharedExecutor,
        wake_sender: async_channel::Sender<Instant>,
        watch_sender: async_channel::Sender<()>,
        store: Store,
    ) -> Arc<Self> {
        let now = clock.now();
        let (active_version, deployment) = ActiveVersion::start(deployment, now);
        let (claim_returns, returned_claims) = async_channel::bounded(RETURNED_CLAIMS_QUEUE);
        let store = Arc::new(store);
        let intervals = store.version_history();
        active_version.remember_lineage(intervals.iter().filter_map(|interval| {
            let (number, digest) = (interval.version, Digest::from_hex(&interval.digest)?);
            Some(VersionId { number, digest })
        }));
        let fencing = FencingState::new(seed, intervals, deployment.version);
        let stored = store.load();
        let pending_removals = restart_removals(&stored);
        Arc::new_cyclic(|core| {
            let engine = Engine::new(
                cluster(&deployment),
                seed,
                now,
                deployment.limits.max_allocations,
                RETRY_BATCH,
            );
            let effects = DispatcherEffects {
                core: core.clone(),
                now,
                nodes: BTreeMap::new(),
                entries: BTreeMap::new(),
                counters: RequestCounters::default(),
                stopping: false,
                decision_time: Duration::ZERO,
                serving: 0,
                rollouts: Rollouts::new(
                    deployment.cluster.scheduler_index as u32,
                    seed,
                    now,
                    stored,
                ),
                pending_removals,
                claim_returns,
            };
            DispatcherCore {
                inner: Mutex::new(CoreState { engine, effects }),
                clock,
                connection_limits: crate::node_links::connection_limits(&deployment.limits),
                connection_counters: ConnectionCounters::default(),
                active_deployment: RwLock::new(Arc::new(deployment)),
                active_version,
                fencing,
                tasks: Arc::clone(tasks),
                wake_sender,
                watch_sender,
                open_calls: Arc::new(()),
                store,
                returned_claims,
            }
        })
    }

    pub fn deployment(&self) -> Arc<Deployment> {
        Arc::clone(
            &self
                .active_deployment
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Returns the reasons why `next` can't replace the active deployment; empty if it can.
    pub fn compatibility_violations(&self, next: &Deployment, allows_cuts: bool) -> Vec<String> {
        let allocations_by_class = self.lock().engine.count_by_class();
        let in_use = |class| allocations_by_class.get(&class).copied().unwrap_or(0);
        compatibility::violations(&self.deployment(), next, allows_cuts, in_use)
    }

    /// Makes a deployment active between two decisions. Returns false, and keeps the active one, if
    /// its names can't be given stable ids.
    pub fn activate(&self, next: Deployment) -> bool {
        self.with(|now, engine, _| {
            let allocations_by_class = engine.count_by_class();
            let in_use = |class| allocations_by_class.get(&class).copied().unwrap_or(0);
            let Ok(next) = stable_ids::assign(&self.deployment(), next, in_use) else {
                return false;
            };
            engine.reconfigure(now, cluster(&next), next.limits.max_allocations);
            *self
                .active_deployment
                .write()
                .unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
            true
        })
    }

    pub fn request_counters(&self) -> (u64, u64) {
        let inner = self.lock();
        (
            inner.effects.counters.requested,
            inner.effects.counters.rejected,
        )
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        // After a panic under the lock the state may be inconsistent, so the process ends.
        self.inner.lock().expect("the core state is not poisoned")
    }

    /// Applies a change to the engine, then polls the engine for the decisions that follow from it.
    fn with<R>(
        &self,
        call: impl FnOnce(Ticks, &mut Engine<ClientAllocation>, &mut DispatcherEffects) -> R,
    ) -> R {
        let mut inner = self.lock();
        let CoreState { engine, effects } = &mut *inner;
        let (now, began) = (self.clock.now(), Instant::now());
        effects.now = now;
        let result = call(now, engine, effects);
        engine.poll(now, effects);
        effects.decision_time += began.elapsed();
        result
    }

    /// Returns the minimum version that fences this dispatcher, if any does.
    pub fn fenced_by(&self) -> Option<corkspan_version_fencing::MinimumVersion> {
        self.fencing.fenced_by(self.deployment().version)
    }

    pub fn timer_fired(&self) {
        self.with(|now, engine, _| engine.timer_fired(now));
    }
}

/// Returns the replica pairs of an earlier incarnation that was killed before it had removed one
/// replica of the pair.
fn restart_removals(stored: &StoredRollouts) -> Vec<PendingRemoval> {
    let removals = stored.claims.iter().filter_map(|claim| {
        let pair = claim.pair.as_ref()?;
        let old = pair.retires.then(|| pair.old.clone());
        Some(PendingRemoval {
            service: claim.service.clone(),
            task: claim.task.clone(),
            placement_ids: old.into_iter().chain([pair.new.clone()]).collect(),
            except: None,
            nodes: None,
            confirmed_by: BTreeSet::new(),
            after: AfterRemoval::RestartCleanup(claim.claim, pair.clone()),
        })
    });
    removals.collect()
}

/// Returns the cluster as the scheduler sees it. An attempt may be sent up to `connect_timeout`
/// after its decision, so the attempts of two slow-start windows could reach a machine closer
/// together than was decided. The window is therefore extended by that time.
fn cluster(deployment: &Deployment) -> Cluster {
    let mut cluster = deployment.cluster.clone();
    cluster.slow_start.window += deployment.limits.connect_timeout;
    cluster
}

/// Each batch takes about 2 ms, and the same time is left between batches for the sockets.
const RETRY_BATCH: RetryBatch = RetryBatch {
    max_size: 32,
    interval: 20,
};

/// Returns the id of the placement that replaces this one in a rollout. It must differ from every
/// earlier one, because a request to stop that one may still be in flight.
fn next_placement_id(placement_id: &str) -> String {
    let (base, _) = placement_id.rsplit_once('~').unwrap_or((placement_id, ""));
    format!("{base}~{:x}", crate::clock::wall_ms())
}

/// Largest number of claims that wait to be released.
const RETURNED_CLAIMS_QUEUE: usize = 65_536;
