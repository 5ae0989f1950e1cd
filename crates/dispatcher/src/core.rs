//! The core of the dispatcher: the engine with its decisions, the state of each client's
//! allocation, and the effects on nodes and clients. Messages are handled by calls into the core;
//! the resulting messages leave before the call returns. The core knows nothing of the modules that
//! use it: rollouts, version streams, the minimum version.

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
    /// The active deployment. Replaced under the state lock only, so never between a decision and
    /// the deployment that it is made by.
    in_force: RwLock<Arc<Deployment>>,
    pub active_version: ActiveVersion,
    pub fencing: FencingState,
    pub connection_limits: corkspan_rpc::ConnectionLimits,
    pub connection_counters: ConnectionCounters,
    pub tasks: SharedExecutor,
    /// When the engine is to be polled next.
    wakes: async_channel::Sender<Instant>,
    /// Requests to watch the endpoint list.
    pub watches: async_channel::Sender<()>,
    /// One reference for each open call of a client, and one of its own.
    open_calls: Arc<()>,
    /// Rollouts and claims on disk.
    pub store: Arc<Store>,
    /// Claims to release at the quorum members.
    pub returned_claims: async_channel::Receiver<(String, ClaimId)>,
}

/// What a client's call gets: its replies, and the id of its allocation where it was admitted.
pub struct OpenCall {
    pub replies: async_channel::Receiver<v1::PlacementEvent>,
    pub id: Option<CurrentAllocation>,
    pub open: Arc<()>,
}

impl DispatcherCore {
    pub fn new(
        deployment: Deployment,
        seed: u64,
        clock: Clock,
        tasks: &SharedExecutor,
        wakes: async_channel::Sender<Instant>,
        watches: async_channel::Sender<()>,
        store: Store,
    ) -> Arc<Self> {
        let now = clock.now();
        let (active_version, deployment) = ActiveVersion::start(deployment, now);
        let (claim_returns, returned_claims) = async_channel::bounded(RETURNED_CLAIMS_QUEUE);
        let store = Arc::new(store);
        let spans = store.version_history();
        active_version.remember_lineage(spans.iter().filter_map(|span| {
            let (number, digest) = (span.version, Digest::from_hex(&span.digest)?);
            Some(VersionId { number, digest })
        }));
        let fencing = FencingState::new(seed, spans, deployment.version);
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
                in_force: RwLock::new(Arc::new(deployment)),
                active_version,
                fencing,
                tasks: Arc::clone(tasks),
                wakes,
                watches,
                open_calls: Arc::new(()),
                store,
                returned_claims,
            }
        })
    }

    pub fn deployment(&self) -> Arc<Deployment> {
        Arc::clone(&self.in_force.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Why this deployment can't replace the active one.
    pub fn obstacles(&self, next: &Deployment, cuts: bool) -> Vec<String> {
        let by_track = self.lock().engine.count_by_class();
        let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
        compatibility::violations(&self.deployment(), next, cuts, in_use)
    }

    /// Makes a deployment active between two decisions. False where it can't be, and the former
    /// stays.
    pub fn activate(&self, next: Deployment) -> bool {
        self.with(|now, engine, _| {
            let by_track = engine.count_by_class();
            let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
            let Ok(next) = stable_ids::assign(&self.deployment(), next, in_use) else {
                return false;
            };
            engine.reconfigure(now, cluster(&next), next.limits.max_allocations);
            *self
                .in_force
                .write()
                .unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
            true
        })
    }

    pub fn request_counters(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.effects.counters.asked, inner.effects.counters.refused)
    }

    fn lock(&self) -> MutexGuard<'_, CoreState> {
        // After a panic under the lock the state is in doubt: end the process rather than guess.
        self.inner.lock().expect("the desk's books are whole")
    }

    /// Runs a change on the engine, and polls the engine for what follows from it.
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

    /// The minimum version that fences this dispatcher, if it does.
    pub fn fenced_by(&self) -> Option<corkspan_version_fencing::MinimumVersion> {
        self.fencing.fenced_by(self.deployment().version)
    }

    pub fn timer_fired(&self) {
        self.with(|now, engine, _| engine.timer_fired(now));
    }
}

/// Replicas that an earlier incarnation had started beside others, and was killed before it had
/// removed one of the two.
fn restart_removals(stored: &StoredRollouts) -> Vec<PendingRemoval> {
    let removals = stored.claims.iter().filter_map(|claim| {
        let pair = claim.pair.as_ref()?;
        let old = pair.retires.then(|| pair.old.clone());
        Some(PendingRemoval {
            service: claim.service.clone(),
            task: claim.task.clone(),
            placing_ids: old.into_iter().chain([pair.new.clone()]).collect(),
            except: None,
            nodes: None,
            confirmed_by: BTreeSet::new(),
            after: AfterRemoval::RestartCleanup(claim.claim, pair.clone()),
        })
    });
    removals.collect()
}

/// The cluster as the decisions get it. An offer may leave `connect_timeout` later than it is
/// decided, so two windows' worth could reach a machine in slow start closer together than decided:
/// the window is longer by that.
fn cluster(deployment: &Deployment) -> Cluster {
    let mut cluster = deployment.cluster.clone();
    cluster.slow_start.window += deployment.limits.connect_timeout;
    cluster
}

/// About 2 ms of work, and as long for the sockets.
const RETRY_BATCH: RetryBatch = RetryBatch {
    max_size: 32,
    interval: 20,
};

/// The id of the placement that follows this one in a rollout. It must differ from any earlier one:
/// a request to stop that one may still be under way.
fn next_placing_id(placing: &str) -> String {
    let (first, _) = placing.rsplit_once('~').unwrap_or((placing, ""));
    format!("{first}~{:x}", crate::clock::wall_ms())
}

/// Claims that wait to be released, at most.
const RETURNED_CLAIMS_QUEUE: usize = 65_536;
