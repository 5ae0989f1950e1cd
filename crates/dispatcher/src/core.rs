//! Where everything meets: the host with its decisions, what it holds for clients, and the ways
//! out. Whoever reads a message calls in here directly; the answers leave as messages before the
//! call returns. What uses the desk stands above it and is not known here: the rolls, the streams
//! of versions, the floor.

mod attempt_events;
mod client;
mod effects;
mod replicas;

use crate::active_version::{self, ActiveVersion};
use crate::attempts;
use crate::clock::{Clock, duration};
use crate::link_counters::{LinkCounters, LinkKind};
use crate::node_links::NodeLink;
use crate::rollouts::Rollouts;
use crate::store::Store;
use crate::version_gate::{self, FencingState};
pub use client::CurrentAllocation;
use client::{AfterRemoval, ClientAllocation, PendingRemoval};
use corkspan_api::v1;
use corkspan_config::Deployment;
use corkspan_config::version::{Digest, VersionId};
use corkspan_config_sync::{compatibility, stable_ids};
use corkspan_engine::{Asked, Host, NotTaken, Slice, service};
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_rpc::Tasks;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use effects::{DispatcherEffects, RequestCounters};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tracing::{info, warn};
use v1::placement_event::Event as Reply;

pub struct CoreState {
    engine: Host<ClientAllocation>,
    effects: DispatcherEffects,
}

pub struct DispatcherCore {
    inner: Mutex<CoreState>,
    pub clock: Clock,
    /// What is in force. Changed under the books' lock alone, so never between a decision and what
    /// it is made by.
    in_force: RwLock<Arc<Deployment>>,
    pub active_version: ActiveVersion,
    pub fencing: FencingState,
    pub link_bounds: corkspan_rpc::Bounds,
    pub link_counters: LinkCounters,
    pub tasks: Tasks,
    /// When to look again.
    wakes: async_channel::Sender<Instant>,
    /// The list is to be watched.
    pub watches: async_channel::Sender<()>,
    /// Calls of clients that are open.
    open_calls: Arc<()>,
    /// Where rolls and claims are kept.
    pub store: Arc<Store>,
    /// Claims that the keepers are to be told of as given back.
    pub returned_claims: async_channel::Receiver<(String, ClaimId)>,
}

/// What an owner's call gets: words, and the id where it was taken into hand.
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
        tasks: &Tasks,
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
        // Whatever an earlier life had started beside a copy, and was killed before it had put away
        // one of the two.
        let pending_removals = stored.1.iter().filter_map(|held| {
            let pair = held.pair.as_ref()?;
            let old = pair.retires.then(|| pair.old.clone());
            Some(PendingRemoval {
                service: held.service.clone(),
                task: held.task.clone(),
                placing_ids: old.into_iter().chain([pair.new.clone()]).collect(),
                except: None,
                nodes: None,
                confirmed_by: BTreeSet::new(),
                after: AfterRemoval::RestartCleanup(held.claim, pair.clone()),
            })
        });
        let pending_removals: Vec<PendingRemoval> = pending_removals.collect();
        Arc::new_cyclic(|core| {
            let engine = Host::new(
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
                link_bounds: crate::node_links::bounds(&deployment.limits),
                link_counters: LinkCounters::default(),
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

    /// Why this one can't take the place of the one in force.
    pub fn obstacles(&self, next: &Deployment, cuts: bool) -> Vec<String> {
        let by_track = self.lock().engine.by_track();
        let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
        compatibility::violations(&self.deployment(), next, cuts, in_use)
    }

    /// Puts it in force between two decisions. False where it can't be, and the former stays.
    pub fn activate(&self, next: Deployment) -> bool {
        self.with(|now, engine, _| {
            let by_track = engine.by_track();
            let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
            let Ok(next) = stable_ids::assign(&self.deployment(), next, in_use) else {
                return false;
            };
            engine.adopt(now, cluster(&next), next.limits.max_allocations);
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
        // A panic under the lock would leave the books in doubt: go down with it rather than guess.
        self.inner.lock().expect("the desk's books are whole")
    }

    /// Hands something over and sets going what follows from it.
    fn with<R>(
        &self,
        call: impl FnOnce(Ticks, &mut Host<ClientAllocation>, &mut DispatcherEffects) -> R,
    ) -> R {
        let mut inner = self.lock();
        let CoreState { engine, effects } = &mut *inner;
        let (now, began) = (self.clock.now(), Instant::now());
        effects.now = now;
        let result = call(now, engine, effects);
        engine.rest(now, effects);
        effects.decision_time += began.elapsed();
        result
    }

    /// An owner asks. The answer is among the words, at once or later.
    pub fn place(
        self: &Arc<Self>,
        ask: v1::PlacementRequest,
        call_deadline: Option<Duration>,
    ) -> OpenCall {
        let (replies, heard) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let taken = OpenCall {
            replies: heard,
            id: None,
            open: Arc::clone(&self.open_calls),
        };
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = replies.try_send(v1::PlacementEvent {
                event: Some(Reply::Rejected(word)),
            });
        };
        let mut inner = self.lock();
        inner.effects.counters.asked += 1;
        inner.effects.counters.refused += 1;
        if inner.effects.stopping {
            refuse(
                v1::rejected::RejectionReason::Stopping,
                "this dispatcher is about to stop".into(),
            );
            return taken;
        }
        if let Some(floor) = self.fenced_by() {
            let text = format!(
                "this dispatcher is behind: version {} is the lowest that may act",
                floor.version
            );
            refuse(v1::rejected::RejectionReason::Behind, text);
            return taken;
        }
        if Arc::strong_count(&self.open_calls) > self.deployment().limits.max_calls as usize {
            refuse(
                v1::rejected::RejectionReason::TooMany,
                "as many calls as may be are open".into(),
            );
            return taken;
        }
        let now = self.clock.now();
        let left = [
            call_deadline.map(crate::clock::ticks),
            Some(ask.deadline_ms.saturating_mul(10)).filter(|&ms| ms > 0),
        ];
        let asked = match (
            self.engine_request(now, &ask),
            left.into_iter().flatten().min(),
        ) {
            (Err(why), _) => Err(why),
            (_, None) => Err("no deadline: neither abandon_ms nor one of the call".into()),
            (_, Some(left)) if left > MAX_DEADLINE => Err(format!(
                "a deadline more than {} s away",
                MAX_DEADLINE / 10_000
            )),
            (Ok(asked), Some(left)) => Ok((asked, left)),
        };
        let (asked, left) = match asked {
            Ok(asked) => asked,
            Err(why) => {
                refuse(v1::rejected::RejectionReason::BadAsk, why);
                return taken;
            }
        };
        // A dispatcher that stands still can't answer: so the decisions are told of less time than
        // there is.
        let ahead = self.deployment().limits.answer_margin.min(left / 2);
        let asked = Asked {
            abandon: now + left - ahead,
            ..asked
        };
        let task = ask.task.clone();
        let call_deadline = call_deadline.map(|after| now + crate::clock::ticks(after));
        let client = ClientAllocation {
            deadline: Some(now + left),
            call_deadline,
            ..ClientAllocation::new(ask, &replies)
        };
        let current_id = client.current_id.clone();
        let why = match inner.engine.take(now, &task, asked, client) {
            Ok(id) => {
                current_id.set(id);
                inner.effects.counters.refused -= 1;
                drop(inner);
                self.with(|now, engine, effects| engine.place(now, id, effects));
                return OpenCall {
                    id: Some(current_id),
                    ..taken
                };
            }
            Err((why, _)) => why,
        };
        refuse(refusal_reason(why), why.to_string());
        taken
    }

    /// An owner hands over an allocation that already runs.
    pub fn hand_over(self: &Arc<Self>, running: v1::HandOverRequest) -> OpenCall {
        let (replies, heard) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let open = Arc::clone(&self.open_calls);
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = replies.try_send(v1::PlacementEvent {
                event: Some(Reply::Rejected(word)),
            });
        };
        let ask = running.request.unwrap_or_default();
        let machine = MachineId(running.node);
        let id = self.with(|now, engine, effects| {
            let asked = self
                .engine_request(now, &ask)
                .map_err(|why| refuse(v1::rejected::RejectionReason::BadAsk, why))
                .ok()?;
            if effects.stopping {
                refuse(
                    v1::rejected::RejectionReason::Stopping,
                    "this dispatcher is about to stop".into(),
                );
                return None;
            }
            let (task, shot) = (
                ask.task.clone(),
                self.attempt_message(&ask, &asked, 0, String::new(), OperationKind::Attend),
            );
            let service_name = ask.service.clone();
            let client = ClientAllocation::new(ask, &replies);
            let current_id = client.current_id.clone();
            match engine.take_running(now, &task, asked, machine, client) {
                Ok(id) => {
                    self.tasks
                        .spawn(attempts::follow_existing(
                            self.clone(),
                            id,
                            effects.node(machine),
                            machine,
                            shot,
                        ))
                        .detach();
                    current_id.set(id);
                    if let Some(controller) = effects.rollouts.controller(&service_name) {
                        controller.replica_assigned(now, &task, "", false);
                    }
                    Some(current_id)
                }
                Err((why, _)) => {
                    refuse(refusal_reason(why), why.to_string());
                    None
                }
            }
        });
        OpenCall {
            replies: heard,
            id,
            open,
        }
    }

    /// What an ask is to the decisions, or what is wrong with it. Its abandon time is not set.
    fn engine_request(&self, now: Ticks, ask: &v1::PlacementRequest) -> Result<Asked, String> {
        // A row without a name is of one that is gone.
        let index = |names: &[String], name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .filter(|_| !name.is_empty())
        };
        let deployment = self.deployment();
        let track = index(&deployment.service_classes, &ask.service_class);
        let account = match (&ask.tenant[..], &deployment.tenants[..]) {
            ("", _) | (_, []) => Some(0),
            (name, names) => index(names, name),
        };
        let amount = |value: f64| value.is_finite() && value > 0.0 && value <= 1e9;
        for (what, text) in [
            ("task", &ask.task),
            ("placing", &ask.placement_id),
            ("service", &ask.service),
        ] {
            if text.is_empty() || text.len() > 256 {
                return Err(format!(
                    "{what}: 1 to 256 bytes are wanted, not {}",
                    text.len()
                ));
            }
        }
        if !amount(ask.cores) || !amount(ask.memory) {
            return Err(format!(
                "cores and memory must be above 0, not {} and {}",
                ask.cores, ask.memory
            ));
        }
        Ok(Asked {
            service: service(&ask.service),
            track: ServiceClassId(
                track.ok_or_else(|| format!("unknown track `{}`", ask.service_class))?,
            ),
            account: TenantId(account.ok_or_else(|| format!("unknown account `{}`", ask.tenant))?),
            asks: Resources {
                cores: ask.cores,
                memory: ask.memory,
            },
            abandon: now,
        })
    }

    fn attempt_message(
        &self,
        ask: &v1::PlacementRequest,
        asked: &Asked,
        number: usize,
        version: String,
        kind: OperationKind,
    ) -> v1::AttemptRequest {
        v1::AttemptRequest {
            placement_id: ask.placement_id.clone(),
            attempt: number as u32,
            task: ask.task.clone(),
            service: ask.service.clone(),
            service_class: ask.service_class.clone(),
            tenant: ask.tenant.clone(),
            cores: ask.cores,
            memory: ask.memory,
            expected_duration_ms: ask.expected_duration_ms,
            dispatcher: self.deployment().cluster.scheduler_index as u32,
            priority: u32::from(self.deployment().cluster.service_classes[asked.track.0].priority),
            version,
            decider: Some(self.sender(kind, 1)),
            minimum_version: self
                .fencing
                .minimum_version()
                .map(version_gate::minimum_version_message),
        }
    }

    /// Who acts, and under which version: told with each act, from what is in force as it is
    /// decided. `many`: nodes that it goes to.
    pub fn sender(&self, kind: OperationKind, many: usize) -> v1::Decider {
        let deployment = self.deployment();
        self.fencing
            .record_operations(deployment.version, kind, many);
        let stamp = Some(active_version::version_id_message(deployment.version));
        v1::Decider {
            version: stamp,
            incarnation: self.fencing.incarnation,
            dispatcher: deployment.cluster.scheduler_index as u32,
        }
    }

    /// The floor of versions that shuts this dispatcher out, if one does.
    pub fn fenced_by(&self) -> Option<corkspan_version_fencing::MinimumVersion> {
        self.fencing.fenced_by(self.deployment().version)
    }

    /// The owner's call is over. Unless the allocation has ended too, or the call had its own
    /// deadline, it is no longer wanted.
    pub fn call_ended(self: &Arc<Self>, id: AllocationId) {
        self.with(|now, engine, effects| {
            let Some((client, _)) = engine.own(id) else {
                return;
            };
            let placed = client.deadline.is_none() || client.replacement;
            if placed && (effects.stopping || client.call_deadline.is_some_and(|at| now >= at)) {
                return;
            }
            self.cancel(id, engine, effects);
        });
    }

    /// Ends an allocation without an answer and stops what may run of it.
    fn cancel(
        self: &Arc<Self>,
        id: AllocationId,
        engine: &mut Host<ClientAllocation>,
        effects: &mut DispatcherEffects,
    ) {
        let Some((client, allocation)) = engine.own(id) else {
            return;
        };
        if let Some(machine) = allocation.attempts.last().map(|shot| shot.machine) {
            effects.stop(self, client, machine, false);
        }
        if client.predecessor.is_some() {
            return self.cancel_surge(id, SurgeEnd::NoCapacity, engine, effects);
        }
        let successor = client.successor.take();
        effects.replica_gone(client, true);
        effects.counters.cancelled += 1;
        engine.finish(id);
        if let Some(next) = successor {
            self.cancel_surge(next, SurgeEnd::Cancelled, engine, effects);
        }
    }

    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeLink>> {
        self.lock().effects.node(machine)
    }

    /// The list of machines, or changes of it, with their addresses.
    pub fn apply_endpoint_list(
        &self,
        scope: ListUpdate,
        entries: &[(Endpoint, std::net::SocketAddr)],
    ) {
        self.with(|_, engine, effects| {
            if scope == ListUpdate::Complete {
                effects
                    .nodes
                    .retain(|id, _| entries.iter().any(|(entry, _)| entry.machine == *id));
            }
            let dispatcher = self.deployment().cluster.scheduler_index as u32;
            if scope == ListUpdate::Complete {
                effects.entries.clear();
            }
            for (entry, address) in entries {
                match entry.state {
                    MachineState::Removed => drop(effects.entries.remove(&entry.machine)),
                    _ => drop(effects.entries.insert(entry.machine, *entry)),
                }
                if effects
                    .nodes
                    .get(&entry.machine)
                    .is_none_or(|node| node.address != *address)
                {
                    let keeps = self.deployment().quorum_members.contains(&entry.machine);
                    let meter = self.link_counters.meter(if keeps {
                        LinkKind::Keepers
                    } else {
                        LinkKind::Nodes
                    });
                    let node = NodeLink::new(*address, entry.machine.0, dispatcher, meter);
                    effects.nodes.insert(entry.machine, node);
                }
            }
            let list: Vec<Endpoint> = entries.iter().map(|(entry, _)| *entry).collect();
            engine.listed(scope, &list);
        });
    }

    /// The machines that the roster names.
    pub fn endpoints(&self) -> BTreeMap<MachineId, Endpoint> {
        self.lock().effects.entries.clone()
    }

    /// Our allocations by machine: how many may be moved, and how many may not.
    pub fn allocations_by_machine(&self) -> BTreeMap<MachineId, (usize, usize)> {
        let mut inner = self.lock();
        let mut held: BTreeMap<MachineId, (usize, usize)> = BTreeMap::new();
        for (_, machine, track) in running_allocations(&mut inner.engine) {
            let (movable, once) = held.entry(machine).or_default();
            *(if self.is_unrepeatable(track) {
                once
            } else {
                movable
            }) += 1;
        }
        held
    }

    fn is_unrepeatable(&self, track: ServiceClassId) -> bool {
        let deployment = self.deployment();
        deployment
            .cluster
            .service_classes
            .get(track.0)
            .is_none_or(|track| track.retry_safety == RetrySafety::NotRetryable)
    }

    /// Moves what may be moved off a machine that is taken out: its owner asks for it anew. Told
    /// again in each look, since word to the machine is one try, and one that is lost would
    /// hold it up until that allocation ends by itself.
    pub fn drain(self: &Arc<Self>, machine: MachineId) {
        self.with(|_, engine, effects| {
            for (id, at, track) in running_allocations(engine) {
                let Some((client, _)) = engine
                    .own(id)
                    .filter(|_| at == machine && !self.is_unrepeatable(track))
                else {
                    continue;
                };
                client.migrating = true;
                effects.stop(self, client, machine, true);
            }
        });
    }

    pub fn set_serving(&self, serving: usize) {
        self.lock().effects.serving = serving;
    }

    pub fn endpoint_watch_failed(&self) {
        self.with(|now, engine, _| engine.list_failed(now));
    }

    pub fn timer_fired(&self) {
        self.with(|now, engine, _| engine.woken(now));
    }

    pub fn status(&self) -> v1::StatusResponse {
        let inner = self.lock();
        let (counts, effects) = (inner.engine.counts(), &inner.effects);
        let idle = duration(self.deployment().limits.idle_timeout);
        v1::StatusResponse {
            number: self.deployment().cluster.scheduler_index as u32,
            schedulers: self.deployment().cluster.scheduler_count as u32,
            in_flight: counts.in_hand as u64,
            deferred: counts.not_yet as u64,
            attempts_in_flight: counts.shots_out as u64,
            running: counts.placed as u64,
            requested: effects.counters.asked,
            placed: effects.counters.placed,
            rejected: effects.counters.refused,
            failed: effects.counters.failed,
            cancelled: effects.counters.cancelled,
            connections: effects
                .nodes
                .values()
                .filter(|node| node.close_idle(idle))
                .count() as u64,
            machines_serving: effects.serving as u64,
            machines_known: effects.nodes.len() as u64,
            decision_time_us: effects.decision_time.as_micros() as u64,
            stopping: effects.stopping,
            connection_traffic: self.link_counters.messages(),
        }
    }

    /// Closes links that nothing has crossed for a while.
    pub fn close_idle(&self) {
        let nodes: Vec<Arc<NodeLink>> = self.lock().effects.nodes.values().cloned().collect();
        let idle = duration(self.deployment().limits.idle_timeout);
        for node in nodes {
            node.close_idle(idle);
        }
    }

    /// No new asks from here on; whatever waits for room is answered.
    pub fn stop(&self) {
        info!("stopping: no new asks");
        self.with(|now, engine, effects| {
            effects.stopping = true;
            engine.stop(now, effects);
        });
    }

    pub fn unanswered_count(&self) -> usize {
        self.lock().engine.unanswered().len()
    }

    /// Gives up on shots still out, and hands the running ones back to their owners.
    pub fn end_all(&self) {
        self.with(|now, engine, effects| {
            for (id, shot) in engine.unanswered() {
                warn!(?id, shot, "no answer from a node before the stop");
                engine.returned(
                    now,
                    id,
                    shot,
                    AttemptResult::TimedOut,
                    None,
                    false,
                    None,
                    effects,
                );
            }
            for (_, client, runs) in engine.all() {
                if runs && client.predecessor.is_none() {
                    client.send_reply(Reply::Ended(v1::Ended {
                        reason: v1::ended::EndReason::HandedBack.into(),
                    }));
                }
                client.replies.close();
            }
        });
    }

    /// Whether calls of clients are open.
    pub fn has_open_calls(&self) -> bool {
        Arc::strong_count(&self.open_calls) > 1
    }
}

/// What the decisions are handed. An offer may leave `connect_within` later than it is decided: two
/// windows' worth, the first late and the second not, would reach a cold node closer together than
/// they were decided.
fn cluster(deployment: &Deployment) -> Cluster {
    let mut cluster = deployment.cluster.clone();
    cluster.slow_start.window += deployment.limits.connect_timeout;
    cluster
}

/// Some 2 ms of work, and as long for the sockets.
const RETRY_BATCH: Slice = Slice {
    most: 32,
    apart: 20,
};

/// What stands, and where.
fn running_allocations(
    engine: &mut Host<ClientAllocation>,
) -> Vec<(AllocationId, MachineId, ServiceClassId)> {
    let placed: Vec<AllocationId> = engine
        .all()
        .filter(|(_, _, placed)| *placed)
        .map(|(id, _, _)| id)
        .collect();
    let at = |id| {
        let (_, allocation) = engine.own(id)?;
        Some((
            id,
            allocation.attempts.last()?.machine,
            allocation.service_class,
        ))
    };
    placed.into_iter().filter_map(at).collect()
}

/// No owner waits longer for a placing.
const MAX_DEADLINE: Ticks = 24 * 3600 * 10_000;

fn refusal_reason(why: NotTaken) -> v1::rejected::RejectionReason {
    match why {
        NotTaken::Full => v1::rejected::RejectionReason::TooMany,
        NotTaken::SameName => v1::rejected::RejectionReason::InHand,
    }
}

/// The name of a placing that follows this one in a roll. None of an earlier life or try may be met
/// again: word to stop that one may still be under way.
fn next_placing_id(placing: &str) -> String {
    let (first, _) = placing.rsplit_once('~').unwrap_or((placing, ""));
    format!("{first}~{:x}", crate::clock::wall_ms())
}

/// Claims on their way back to the keepers.
const RETURNED_CLAIMS_QUEUE: usize = 65_536;
