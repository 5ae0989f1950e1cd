//! Where everything meets: the host with its decisions, what it holds for clients, and the ways
//! out. Whoever reads a message calls in here directly; the answers leave as messages before the
//! call returns. What uses the desk stands above it and is not known here: the rolls, the streams
//! of versions, the floor.

mod attempt_events;
mod client;
mod effects;
mod replicas;

use crate::active_version::{self, Versions};
use crate::attempts;
use crate::clock::{Clock, duration};
use crate::link_counters::{Counts, LinkKind};
use crate::node_links::NodeLink;
use crate::rollouts::Rolls;
use crate::store::Store;
use crate::version_gate::{self, Fleet};
pub use client::Current;
use client::{Client, Orphan, Then};
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
use effects::{Counters, Port};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tracing::{info, warn};
use v1::placement_event::Event as Said;

pub struct Inner {
    host: Host<Client>,
    port: Port,
}

pub struct Desk {
    inner: Mutex<Inner>,
    pub clock: Clock,
    /// What is in force. Changed under the books' lock alone, so never between a decision and what
    /// it is made by.
    in_force: RwLock<Arc<Deployment>>,
    pub versions: Versions,
    pub fleet: Fleet,
    pub link_bounds: corkspan_rpc::Bounds,
    pub counts: Counts,
    pub tasks: Tasks,
    /// When to look again.
    wakes: async_channel::Sender<Instant>,
    /// The list is to be watched.
    pub watches: async_channel::Sender<()>,
    /// Calls of clients that are open.
    calls: Arc<()>,
    /// Where rolls and claims are kept.
    pub store: Arc<Store>,
    /// Claims that the keepers are to be told of as given back.
    pub given_back: async_channel::Receiver<(String, ClaimId)>,
}

/// What an owner's call gets: words, and the id where it was taken into hand.
pub struct Taken {
    pub words: async_channel::Receiver<v1::PlacementEvent>,
    pub id: Option<Current>,
    pub open: Arc<()>,
}

impl Desk {
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
        let (versions, deployment) = Versions::start(deployment, now);
        let (gives_back, given_back) = async_channel::bounded(GIVEN_BACK);
        let store = Arc::new(store);
        let spans = store.spans();
        versions.learn(spans.iter().filter_map(|span| {
            let (number, digest) = (span.version, Digest::read(&span.digest)?);
            Some(VersionId { number, digest })
        }));
        let fleet = Fleet::new(seed, spans, deployment.stamp);
        let kept = store.read();
        // Whatever an earlier life had started beside a copy, and was killed before it had put away
        // one of the two.
        let orphans = kept.1.iter().filter_map(|held| {
            let pair = held.pair.as_ref()?;
            let old = pair.retires.then(|| pair.old.clone());
            Some(Orphan {
                service: held.service.clone(),
                task: held.task.clone(),
                placings: old.into_iter().chain([pair.new.clone()]).collect(),
                but: None,
                nodes: None,
                told: BTreeSet::new(),
                then: Then::Forgotten(held.claim, pair.clone()),
            })
        });
        let orphans: Vec<Orphan> = orphans.collect();
        Arc::new_cyclic(|desk| {
            let host = Host::new(
                cluster(&deployment),
                seed,
                now,
                deployment.bounds.in_hand,
                SLICE,
            );
            let port = Port {
                desk: desk.clone(),
                now,
                nodes: BTreeMap::new(),
                entries: BTreeMap::new(),
                counters: Counters::default(),
                stopping: false,
                decided: Duration::ZERO,
                serving: 0,
                rolls: Rolls::new(deployment.cluster.scheduler_index as u32, seed, now, kept),
                orphans,
                gives_back,
            };
            Desk {
                inner: Mutex::new(Inner { host, port }),
                clock,
                link_bounds: crate::node_links::bounds(&deployment.bounds),
                counts: Counts::default(),
                in_force: RwLock::new(Arc::new(deployment)),
                versions,
                fleet,
                tasks: Arc::clone(tasks),
                wakes,
                watches,
                calls: Arc::new(()),
                store,
                given_back,
            }
        })
    }

    pub fn deployment(&self) -> Arc<Deployment> {
        Arc::clone(&self.in_force.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Why this one can't take the place of the one in force.
    pub fn obstacles(&self, next: &Deployment, cuts: bool) -> Vec<String> {
        let by_track = self.lock().host.by_track();
        let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
        compatibility::violations(&self.deployment(), next, cuts, in_use)
    }

    /// Puts it in force between two decisions. False where it can't be, and the former stays.
    pub fn put_in_force(&self, next: Deployment) -> bool {
        self.with(|now, host, _| {
            let by_track = host.by_track();
            let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
            let Ok(next) = stable_ids::assign(&self.deployment(), next, in_use) else {
                return false;
            };
            host.adopt(now, cluster(&next), next.bounds.in_hand);
            *self
                .in_force
                .write()
                .unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
            true
        })
    }

    pub fn asked_and_refused(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.port.counters.asked, inner.port.counters.refused)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic under the lock would leave the books in doubt: go down with it rather than guess.
        self.inner.lock().expect("the desk's books are whole")
    }

    /// Hands something over and sets going what follows from it.
    fn with<R>(&self, call: impl FnOnce(Ticks, &mut Host<Client>, &mut Port) -> R) -> R {
        let mut inner = self.lock();
        let Inner { host, port } = &mut *inner;
        let (now, began) = (self.clock.now(), Instant::now());
        port.now = now;
        let result = call(now, host, port);
        host.rest(now, port);
        port.decided += began.elapsed();
        result
    }

    /// An owner asks. The answer is among the words, at once or later.
    pub fn ask(self: &Arc<Self>, ask: v1::PlacementRequest, hangs_up: Option<Duration>) -> Taken {
        let (words, heard) = async_channel::bounded(self.deployment().bounds.words_a_client);
        let taken = Taken {
            words: heard,
            id: None,
            open: Arc::clone(&self.calls),
        };
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = words.try_send(v1::PlacementEvent {
                event: Some(Said::Rejected(word)),
            });
        };
        let mut inner = self.lock();
        inner.port.counters.asked += 1;
        inner.port.counters.refused += 1;
        if inner.port.stopping {
            refuse(
                v1::rejected::RejectionReason::Stopping,
                "this dispatcher is about to stop".into(),
            );
            return taken;
        }
        if let Some(floor) = self.shut_out() {
            let text = format!(
                "this dispatcher is behind: version {} is the lowest that may act",
                floor.version
            );
            refuse(v1::rejected::RejectionReason::Behind, text);
            return taken;
        }
        if Arc::strong_count(&self.calls) > self.deployment().bounds.calls as usize {
            refuse(
                v1::rejected::RejectionReason::TooMany,
                "as many calls as may be are open".into(),
            );
            return taken;
        }
        let now = self.clock.now();
        let left = [
            hangs_up.map(crate::clock::ticks),
            Some(ask.deadline_ms.saturating_mul(10)).filter(|&ms| ms > 0),
        ];
        let asked = match (self.asked(now, &ask), left.into_iter().flatten().min()) {
            (Err(why), _) => Err(why),
            (_, None) => Err("no deadline: neither abandon_ms nor one of the call".into()),
            (_, Some(left)) if left > LONGEST => {
                Err(format!("a deadline more than {} s away", LONGEST / 10_000))
            }
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
        let ahead = self.deployment().bounds.answer_ahead.min(left / 2);
        let asked = Asked {
            abandon: now + left - ahead,
            ..asked
        };
        let task = ask.task.clone();
        let hangs_up = hangs_up.map(|after| now + crate::clock::ticks(after));
        let client = Client {
            deadline: Some(now + left),
            hangs_up,
            ..Client::new(ask, &words)
        };
        let current = client.current.clone();
        let why = match inner.host.take(now, &task, asked, client) {
            Ok(id) => {
                current.set(id);
                inner.port.counters.refused -= 1;
                drop(inner);
                self.with(|now, host, port| host.place(now, id, port));
                return Taken {
                    id: Some(current),
                    ..taken
                };
            }
            Err((why, _)) => why,
        };
        refuse(refusal(why), why.to_string());
        taken
    }

    /// An owner hands over an allocation that already runs.
    pub fn hand_over(self: &Arc<Self>, running: v1::HandOverRequest) -> Taken {
        let (words, heard) = async_channel::bounded(self.deployment().bounds.words_a_client);
        let open = Arc::clone(&self.calls);
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = words.try_send(v1::PlacementEvent {
                event: Some(Said::Rejected(word)),
            });
        };
        let ask = running.request.unwrap_or_default();
        let machine = MachineId(running.node);
        let id = self.with(|now, host, port| {
            let asked = self
                .asked(now, &ask)
                .map_err(|why| refuse(v1::rejected::RejectionReason::BadAsk, why))
                .ok()?;
            if port.stopping {
                refuse(
                    v1::rejected::RejectionReason::Stopping,
                    "this dispatcher is about to stop".into(),
                );
                return None;
            }
            let (task, shot) = (
                ask.task.clone(),
                self.shot(&ask, &asked, 0, String::new(), OperationKind::Attend),
            );
            let service_name = ask.service.clone();
            let client = Client::new(ask, &words);
            let current = client.current.clone();
            match host.take_running(now, &task, asked, machine, client) {
                Ok(id) => {
                    self.tasks
                        .spawn(attempts::attend(
                            self.clone(),
                            id,
                            port.node(machine),
                            machine,
                            shot,
                        ))
                        .detach();
                    current.set(id);
                    if let Some(conductor) = port.rolls.of(&service_name) {
                        conductor.replica_assigned(now, &task, "", false);
                    }
                    Some(current)
                }
                Err((why, _)) => {
                    refuse(refusal(why), why.to_string());
                    None
                }
            }
        });
        Taken {
            words: heard,
            id,
            open,
        }
    }

    /// What an ask is to the decisions, or what is wrong with it. Its abandon time is not set.
    fn asked(&self, now: Ticks, ask: &v1::PlacementRequest) -> Result<Asked, String> {
        // A row without a name is of one that is gone.
        let index = |names: &[String], name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .filter(|_| !name.is_empty())
        };
        let deployment = self.deployment();
        let track = index(&deployment.tracks, &ask.service_class);
        let account = match (&ask.tenant[..], &deployment.accounts[..]) {
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

    fn shot(
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
            decider: Some(self.by(kind, 1)),
            minimum_version: self.fleet.floor().map(version_gate::message),
        }
    }

    /// Who acts, and under which version: told with each act, from what is in force as it is
    /// decided. `many`: nodes that it goes to.
    pub fn by(&self, kind: OperationKind, many: usize) -> v1::Decider {
        let deployment = self.deployment();
        self.fleet.acts(deployment.stamp, kind, many);
        let stamp = Some(active_version::message(deployment.stamp));
        v1::Decider {
            version: stamp,
            incarnation: self.fleet.life,
            dispatcher: deployment.cluster.scheduler_index as u32,
        }
    }

    /// The floor of versions that shuts this dispatcher out, if one does.
    pub fn shut_out(&self) -> Option<corkspan_version_fencing::MinimumVersion> {
        self.fleet.shut_out(self.deployment().stamp)
    }

    /// The owner's call is over. Unless the allocation has ended too, or the call had its own
    /// deadline, it is no longer wanted.
    pub fn hung_up(self: &Arc<Self>, id: AllocationId) {
        self.with(|now, host, port| {
            let Some((client, _)) = host.own(id) else {
                return;
            };
            let placed = client.deadline.is_none() || client.anew;
            if placed && (port.stopping || client.hangs_up.is_some_and(|at| now >= at)) {
                return;
            }
            self.unwanted(id, host, port);
        });
    }

    /// Ends an allocation without an answer and stops what may run of it.
    fn unwanted(self: &Arc<Self>, id: AllocationId, host: &mut Host<Client>, port: &mut Port) {
        let Some((client, allocation)) = host.own(id) else {
            return;
        };
        if let Some(machine) = allocation.attempts.last().map(|shot| shot.machine) {
            port.stop(self, client, machine, false);
        }
        if client.beside.is_some() {
            return self.withdraw(id, SurgeEnd::NoCapacity, host, port);
        }
        let successor = client.successor.take();
        port.copy_gone(client, true);
        port.counters.cancelled += 1;
        host.finish(id);
        if let Some(next) = successor {
            self.withdraw(next, SurgeEnd::Cancelled, host, port);
        }
    }

    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeLink>> {
        self.lock().port.node(machine)
    }

    /// The list of machines, or changes of it, with their addresses.
    pub fn listed(&self, scope: ListUpdate, entries: &[(Endpoint, std::net::SocketAddr)]) {
        self.with(|_, host, port| {
            if scope == ListUpdate::Complete {
                port.nodes
                    .retain(|id, _| entries.iter().any(|(entry, _)| entry.machine == *id));
            }
            let dispatcher = self.deployment().cluster.scheduler_index as u32;
            if scope == ListUpdate::Complete {
                port.entries.clear();
            }
            for (entry, address) in entries {
                match entry.state {
                    MachineState::Removed => drop(port.entries.remove(&entry.machine)),
                    _ => drop(port.entries.insert(entry.machine, *entry)),
                }
                if port
                    .nodes
                    .get(&entry.machine)
                    .is_none_or(|node| node.address != *address)
                {
                    let keeps = self.deployment().keepers.contains(&entry.machine);
                    let meter = self.counts.meter(if keeps {
                        LinkKind::Keepers
                    } else {
                        LinkKind::Nodes
                    });
                    let node = NodeLink::new(*address, entry.machine.0, dispatcher, meter);
                    port.nodes.insert(entry.machine, node);
                }
            }
            let list: Vec<Endpoint> = entries.iter().map(|(entry, _)| *entry).collect();
            host.listed(scope, &list);
        });
    }

    /// The machines that the roster names.
    pub fn entries(&self) -> BTreeMap<MachineId, Endpoint> {
        self.lock().port.entries.clone()
    }

    /// Our allocations by machine: how many may be moved, and how many may not.
    pub fn held(&self) -> BTreeMap<MachineId, (usize, usize)> {
        let mut inner = self.lock();
        let mut held: BTreeMap<MachineId, (usize, usize)> = BTreeMap::new();
        for (_, machine, track) in standing(&mut inner.host) {
            let (movable, once) = held.entry(machine).or_default();
            *(if self.once(track) { once } else { movable }) += 1;
        }
        held
    }

    fn once(&self, track: ServiceClassId) -> bool {
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
    pub fn empty(self: &Arc<Self>, machine: MachineId) {
        self.with(|_, host, port| {
            for (id, at, track) in standing(host) {
                let Some((client, _)) = host.own(id).filter(|_| at == machine && !self.once(track))
                else {
                    continue;
                };
                client.moving = true;
                port.stop(self, client, machine, true);
            }
        });
    }

    pub fn count_serving(&self, serving: usize) {
        self.lock().port.serving = serving;
    }

    pub fn list_failed(&self) {
        self.with(|now, host, _| host.list_failed(now));
    }

    pub fn woken(&self) {
        self.with(|now, host, _| host.woken(now));
    }

    pub fn status(&self) -> v1::StatusResponse {
        let inner = self.lock();
        let (counts, port) = (inner.host.counts(), &inner.port);
        let idle = duration(self.deployment().bounds.idle_close);
        v1::StatusResponse {
            number: self.deployment().cluster.scheduler_index as u32,
            schedulers: self.deployment().cluster.scheduler_count as u32,
            in_flight: counts.in_hand as u64,
            deferred: counts.not_yet as u64,
            attempts_in_flight: counts.shots_out as u64,
            running: counts.placed as u64,
            requested: port.counters.asked,
            placed: port.counters.placed,
            rejected: port.counters.refused,
            failed: port.counters.failed,
            cancelled: port.counters.cancelled,
            connections: port
                .nodes
                .values()
                .filter(|node| node.close_idle(idle))
                .count() as u64,
            machines_serving: port.serving as u64,
            machines_known: port.nodes.len() as u64,
            decision_time_us: port.decided.as_micros() as u64,
            stopping: port.stopping,
            connection_traffic: self.counts.told(),
        }
    }

    /// Closes links that nothing has crossed for a while.
    pub fn close_idle(&self) {
        let nodes: Vec<Arc<NodeLink>> = self.lock().port.nodes.values().cloned().collect();
        let idle = duration(self.deployment().bounds.idle_close);
        for node in nodes {
            node.close_idle(idle);
        }
    }

    /// No new asks from here on; whatever waits for room is answered.
    pub fn stop(&self) {
        info!("stopping: no new asks");
        self.with(|now, host, port| {
            port.stopping = true;
            host.stop(now, port);
        });
    }

    pub fn unanswered(&self) -> usize {
        self.lock().host.unanswered().len()
    }

    /// Gives up on shots still out, and hands the running ones back to their owners.
    pub fn let_go(&self) {
        self.with(|now, host, port| {
            for (id, shot) in host.unanswered() {
                warn!(?id, shot, "no answer from a node before the stop");
                host.returned(
                    now,
                    id,
                    shot,
                    AttemptResult::TimedOut,
                    None,
                    false,
                    None,
                    port,
                );
            }
            for (_, client, runs) in host.all() {
                if runs && client.beside.is_none() {
                    client.say(Said::Ended(v1::Ended {
                        reason: v1::ended::EndReason::HandedBack.into(),
                    }));
                }
                client.words.close();
            }
        });
    }

    /// Whether calls of clients are open.
    pub fn calls_open(&self) -> bool {
        Arc::strong_count(&self.calls) > 1
    }
}

/// What the decisions are handed. An offer may leave `connect_within` later than it is decided: two
/// windows' worth, the first late and the second not, would reach a cold node closer together than
/// they were decided.
fn cluster(deployment: &Deployment) -> Cluster {
    let mut cluster = deployment.cluster.clone();
    cluster.slow_start.window += deployment.bounds.connect_within;
    cluster
}

/// Some 2 ms of work, and as long for the sockets.
const SLICE: Slice = Slice {
    most: 32,
    apart: 20,
};

/// What stands, and where.
fn standing(host: &mut Host<Client>) -> Vec<(AllocationId, MachineId, ServiceClassId)> {
    let placed: Vec<AllocationId> = host
        .all()
        .filter(|(_, _, placed)| *placed)
        .map(|(id, _, _)| id)
        .collect();
    let at = |id| {
        let (_, allocation) = host.own(id)?;
        Some((
            id,
            allocation.attempts.last()?.machine,
            allocation.service_class,
        ))
    };
    placed.into_iter().filter_map(at).collect()
}

/// No owner waits longer for a placing.
const LONGEST: Ticks = 24 * 3600 * 10_000;

fn refusal(why: NotTaken) -> v1::rejected::RejectionReason {
    match why {
        NotTaken::Full => v1::rejected::RejectionReason::TooMany,
        NotTaken::SameName => v1::rejected::RejectionReason::InHand,
    }
}

/// The name of a placing that follows this one in a roll. None of an earlier life or try may be met
/// again: word to stop that one may still be under way.
fn next_placing(placing: &str) -> String {
    let (first, _) = placing.rsplit_once('~').unwrap_or((placing, ""));
    format!("{first}~{:x}", crate::clock::wall_ms())
}

/// Claims on their way back to the keepers.
const GIVEN_BACK: usize = 65_536;
