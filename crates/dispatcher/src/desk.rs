//! Where everything meets: the host with its decisions, what it holds for clients, and the ways out. Whoever
//! reads a message calls in here directly; the answers leave as messages before the call returns.

use crate::clock::{Clock, duration};
use crate::control::{self, Versions};
use crate::fleet::{self, Fleet};
use crate::links::{Counted, NodeLink};
use crate::rolls::{self, Rolls};
use crate::shots;
use corkspan::interface::*;
use corkspan_api::v1;
use corkspan_control::change;
use corkspan_deployment::Deployment;
use corkspan_host::{Asked, Host, NotTaken, Slice, Wire, service};
use corkspan_roll::conductor::Withdrawn;
use corkspan_roll::{ClaimId, Roll};
use corkspan_rpc::Tasks;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak};
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};
use v1::word::Word as Said;

/// What is kept for the owner of an allocation in hand.
pub struct Client {
    pub ask: v1::Ask,
    words: async_channel::Sender<v1::Word>,
    /// When the owner stops waiting; none for one handed over.
    deadline: Option<Tenths>,
    /// The call itself has a deadline: that it ends then says nothing of the allocation.
    hangs_up: Option<Tenths>,
    moving: bool,
    /// Its id now: a roll gives it another with each copy.
    current: Current,
    version: String,
    /// Since when its copy is ready, by its own word.
    ready: Option<Tenths>,
    /// A roll is having its copy stopped, to place another.
    stopping: bool,
    /// It is being placed in the place of a copy that a roll has stopped: its owner had its answer before.
    anew: bool,
    /// A new copy that a roll starts beside this one.
    successor: Option<AllocationId>,
    /// It is such a new copy, beside this one. Its owner knows nothing of it yet.
    beside: Option<AllocationId>,
    /// The new copy takes over as soon as this one is known to be gone.
    retiring: bool,
    /// Such a new copy is put away, and what is told of it no longer counts.
    withdrawn: bool,
}

/// What a roll has left somewhere and must be known to be gone before its slot comes back.
struct Orphan {
    service: String,
    task: String,
    placings: Vec<String>,
    /// All other copies of the task, instead.
    but: Option<String>,
    /// Where it may be; anywhere, if none is told.
    nodes: Option<Vec<MachineId>>,
    /// Nodes that have said that it is not there.
    told: BTreeSet<MachineId>,
    then: Then,
}

#[derive(Clone, PartialEq, Eq)]
enum Then {
    /// The old one is gone, the new one has taken over.
    Retired,
    Withdrawn(Withdrawn),
    /// Of an earlier life: only its claim is left, without the two.
    Forgotten(ClaimId, rolls::Pair),
    /// A claim of another, dead or gone, goes back.
    Cleared(ClaimId),
}

/// The id of an owner's allocation, as it is now.
#[derive(Clone)]
pub struct Current(Arc<AtomicU64>);

impl Current {
    fn new() -> Self {
        Current(Arc::new(AtomicU64::new(u64::MAX)))
    }

    pub fn get(&self) -> AllocationId {
        AllocationId(self.0.load(Ordering::Relaxed))
    }

    fn set(&self, id: AllocationId) {
        self.0.store(id.0, Ordering::Relaxed);
    }
}

impl Client {
    fn new(ask: v1::Ask, words: &async_channel::Sender<v1::Word>) -> Self {
        Client {
            ask,
            words: words.clone(),
            deadline: None,
            hangs_up: None,
            moving: false,
            current: Current::new(),
            version: String::new(),
            ready: None,
            stopping: false,
            anew: false,
            successor: None,
            beside: None,
            retiring: false,
            withdrawn: false,
        }
    }

    /// A word that must arrive. There is always room: notes leave some.
    fn say(&self, said: Said) {
        if self.words.try_send(v1::Word { word: Some(said) }).is_err() {
            debug!(task = self.ask.task, "an owner is gone before its word");
        }
    }

    /// A word that may be left out where the owner doesn't read.
    fn note(&self, said: Said) {
        const KEPT_FREE: usize = 4;
        if self.words.len() + KEPT_FREE < self.words.capacity().unwrap_or(usize::MAX) {
            let _ = self.words.try_send(v1::Word { word: Some(said) });
        }
    }
}

#[derive(Default)]
struct Counters {
    asked: u64,
    placed: u64,
    refused: u64,
    failed: u64,
    cancelled: u64,
}

/// The ways out: to nodes, owners and the timer.
pub struct Port {
    desk: Weak<Desk>,
    now: Tenths,
    nodes: BTreeMap<MachineId, Arc<NodeLink>>,
    counters: Counters,
    stopping: bool,
    decided: Duration,
    serving: usize,
    rolls: Rolls,
    orphans: Vec<Orphan>,
}

pub struct Inner {
    host: Host<Client>,
    port: Port,
}

pub struct Desk {
    inner: Mutex<Inner>,
    pub clock: Clock,
    /// What is in force. Changed under the books' lock alone, so never between a decision and what it is made by.
    in_force: RwLock<Arc<Deployment>>,
    pub versions: Versions,
    pub fleet: Fleet,
    pub link_bounds: corkspan_rpc::Bounds,
    pub tasks: Tasks,
    /// When to look again.
    wakes: async_channel::Sender<Instant>,
    /// The list is to be watched.
    pub watches: async_channel::Sender<()>,
    /// Calls of clients that are open.
    calls: Arc<()>,
    /// Where rolls and claims are kept.
    pub store: Arc<rolls::Store>,
}

/// What an owner's call gets: words, and the id where it was taken into hand.
pub struct Taken {
    pub words: async_channel::Receiver<v1::Word>,
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
        store: rolls::Store,
    ) -> Arc<Self> {
        let now = clock.now();
        let (versions, deployment) = Versions::start(deployment, now);
        let store = Arc::new(store);
        let fleet = Fleet::new(seed, store.spans(), deployment.stamp);
        let kept = store.read();
        // Whatever an earlier life had started beside a copy, and was killed before it had put away one of the two.
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
            let host = Host::new(cluster(&deployment), seed, now, deployment.bounds.in_hand, SLICE);
            let port = Port {
                desk: desk.clone(),
                now,
                nodes: BTreeMap::new(),
                counters: Counters::default(),
                stopping: false,
                decided: Duration::ZERO,
                serving: 0,
                rolls: Rolls::new(deployment.cluster.number as u32, seed, now, kept),
                orphans,
            };
            Desk {
                inner: Mutex::new(Inner { host, port }),
                clock,
                link_bounds: crate::links::bounds(&deployment.bounds),
                in_force: RwLock::new(Arc::new(deployment)),
                versions,
                fleet,
                tasks: Arc::clone(tasks),
                wakes,
                watches,
                calls: Arc::new(()),
                store,
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
        change::obstacles(&self.deployment(), next, cuts, in_use)
    }

    /// Puts it in force between two decisions. False where it can't be, and the former stays.
    pub fn put_in_force(&self, next: Deployment) -> bool {
        self.with(|now, host, _| {
            let by_track = host.by_track();
            let in_use = |track| by_track.get(&track).copied().unwrap_or(0);
            let Some(next) = change::with_ids(&self.deployment(), next, in_use) else { return false };
            host.adopt(now, cluster(&next), next.bounds.in_hand);
            *self.in_force.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
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
    fn with<R>(&self, call: impl FnOnce(Tenths, &mut Host<Client>, &mut Port) -> R) -> R {
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
    pub fn ask(self: &Arc<Self>, ask: v1::Ask, hangs_up: Option<Duration>) -> Taken {
        let (words, heard) = async_channel::bounded(self.deployment().bounds.words_a_client);
        let taken = Taken { words: heard, id: None, open: Arc::clone(&self.calls) };
        let refuse = |why: v1::refused::Why, text: String| {
            let word = v1::Refused { why: why.into(), text, shots: 0 };
            let _ = words.try_send(v1::Word { word: Some(Said::Refused(word)) });
        };
        let mut inner = self.lock();
        inner.port.counters.asked += 1;
        inner.port.counters.refused += 1;
        if inner.port.stopping {
            refuse(v1::refused::Why::Stopping, "this dispatcher is about to stop".into());
            return taken;
        }
        if let Some(floor) = self.shut_out() {
            let text =
                format!("this dispatcher is behind: version {} is the lowest that may act", floor.lowest);
            refuse(v1::refused::Why::Behind, text);
            return taken;
        }
        if Arc::strong_count(&self.calls) > self.deployment().bounds.calls as usize {
            refuse(v1::refused::Why::TooMany, "as many calls as may be are open".into());
            return taken;
        }
        let now = self.clock.now();
        let left = [
            hangs_up.map(crate::clock::tenths),
            Some(ask.abandon_ms.saturating_mul(10)).filter(|&ms| ms > 0),
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
                refuse(v1::refused::Why::BadAsk, why);
                return taken;
            }
        };
        // A dispatcher that stands still can't answer: so the decisions are told of less time than there is.
        let ahead = self.deployment().bounds.answer_ahead.min(left / 2);
        let asked = Asked { abandon: now + left - ahead, ..asked };
        let task = ask.task.clone();
        let hangs_up = hangs_up.map(|after| now + crate::clock::tenths(after));
        let client = Client { deadline: Some(now + left), hangs_up, ..Client::new(ask, &words) };
        let current = client.current.clone();
        let why = match inner.host.take(now, &task, asked, client) {
            Ok(id) => {
                current.set(id);
                inner.port.counters.refused -= 1;
                drop(inner);
                self.with(|now, host, port| host.place(now, id, port));
                return Taken { id: Some(current), ..taken };
            }
            Err((why, _)) => why,
        };
        refuse(refusal(why), why.to_string());
        taken
    }

    /// An owner hands over an allocation that already runs.
    pub fn hand_over(self: &Arc<Self>, running: v1::Running) -> Taken {
        let (words, heard) = async_channel::bounded(self.deployment().bounds.words_a_client);
        let open = Arc::clone(&self.calls);
        let refuse = |why: v1::refused::Why, text: String| {
            let word = v1::Refused { why: why.into(), text, shots: 0 };
            let _ = words.try_send(v1::Word { word: Some(Said::Refused(word)) });
        };
        let ask = running.ask.unwrap_or_default();
        let machine = MachineId(running.node);
        let id = self.with(|now, host, port| {
            let asked = self.asked(now, &ask).map_err(|why| refuse(v1::refused::Why::BadAsk, why)).ok()?;
            if port.stopping {
                refuse(v1::refused::Why::Stopping, "this dispatcher is about to stop".into());
                return None;
            }
            let (task, shot) = (ask.task.clone(), self.shot(&ask, &asked, 0, String::new()));
            let service_name = ask.service.clone();
            let client = Client::new(ask, &words);
            let current = client.current.clone();
            match host.take_running(now, &task, asked, machine, client) {
                Ok(id) => {
                    self.tasks
                        .spawn(shots::attend(self.clone(), id, port.node(machine), machine, shot))
                        .detach();
                    current.set(id);
                    if let Some(conductor) = port.rolls.of(&service_name) {
                        conductor.copy(now, &task, "", false);
                    }
                    Some(current)
                }
                Err((why, _)) => {
                    refuse(refusal(why), why.to_string());
                    None
                }
            }
        });
        Taken { words: heard, id, open }
    }

    /// What an ask is to the decisions, or what is wrong with it. Its abandon time is not set.
    fn asked(&self, now: Tenths, ask: &v1::Ask) -> Result<Asked, String> {
        // A row without a name is of one that is gone.
        let index = |names: &[String], name: &str| {
            names.iter().position(|known| known == name).filter(|_| !name.is_empty())
        };
        let deployment = self.deployment();
        let track = index(&deployment.tracks, &ask.track);
        let account = match (&ask.account[..], &deployment.accounts[..]) {
            ("", _) | (_, []) => Some(0),
            (name, names) => index(names, name),
        };
        let amount = |value: f64| value.is_finite() && value > 0.0 && value <= 1e9;
        for (what, text) in [("task", &ask.task), ("placing", &ask.placing), ("service", &ask.service)] {
            if text.is_empty() || text.len() > 256 {
                return Err(format!("{what}: 1 to 256 bytes are wanted, not {}", text.len()));
            }
        }
        if !amount(ask.cores) || !amount(ask.memory) {
            return Err(format!("cores and memory must be above 0, not {} and {}", ask.cores, ask.memory));
        }
        Ok(Asked {
            service: service(&ask.service),
            track: TrackId(track.ok_or_else(|| format!("unknown track `{}`", ask.track))?),
            account: AccountId(account.ok_or_else(|| format!("unknown account `{}`", ask.account))?),
            asks: Amount { cores: ask.cores, memory: ask.memory },
            abandon: now,
        })
    }

    fn shot(&self, ask: &v1::Ask, asked: &Asked, number: usize, version: String) -> v1::Shot {
        v1::Shot {
            placing: ask.placing.clone(),
            number: number as u32,
            task: ask.task.clone(),
            service: ask.service.clone(),
            track: ask.track.clone(),
            account: ask.account.clone(),
            cores: ask.cores,
            memory: ask.memory,
            life_ms: ask.life_ms,
            dispatcher: self.deployment().cluster.number as u32,
            priority: u32::from(self.deployment().cluster.tracks[asked.track.0].priority),
            version,
            by: Some(self.by(1)),
            floor: self.fleet.floor().map(fleet::message),
        }
    }

    /// Who acts, and under which version: told with each act, from what is in force as it is decided. `many`: nodes that
    /// it goes to.
    pub fn by(&self, many: usize) -> v1::By {
        let deployment = self.deployment();
        self.fleet.acts(deployment.stamp, many);
        let stamp = Some(control::message(deployment.stamp));
        v1::By { stamp, life: self.fleet.life, dispatcher: deployment.cluster.number as u32 }
    }

    /// The floor of versions that shuts this dispatcher out, if one does.
    pub fn shut_out(&self) -> Option<corkspan_fleet::Floor> {
        self.fleet.shut_out(self.deployment().stamp)
    }

    /// The owner's call is over. Unless the allocation has ended too, or the call had its own deadline, it is no
    /// longer wanted.
    pub fn hung_up(self: &Arc<Self>, id: AllocationId) {
        self.with(|now, host, port| {
            let Some((client, _)) = host.own(id) else { return };
            let placed = client.deadline.is_none() || client.anew;
            if placed && (port.stopping || client.hangs_up.is_some_and(|at| now >= at)) {
                return;
            }
            self.unwanted(id, host, port);
        });
    }

    /// Ends an allocation without an answer and stops what may run of it.
    fn unwanted(self: &Arc<Self>, id: AllocationId, host: &mut Host<Client>, port: &mut Port) {
        let Some((client, allocation)) = host.own(id) else { return };
        if let Some(machine) = allocation.shots.last().map(|shot| shot.machine) {
            port.stop(self, client, machine, false);
        }
        if client.beside.is_some() {
            return self.withdraw(id, Withdrawn::NoRoom, host, port);
        }
        let successor = client.successor.take();
        port.copy_gone(client, true);
        port.counters.cancelled += 1;
        host.finish(id);
        if let Some(next) = successor {
            self.withdraw(next, Withdrawn::NotWanted, host, port);
        }
    }

    /// Puts a new copy away that stands beside an old one. It is told to stop until it is known to be gone.
    fn withdraw(
        self: &Arc<Self>,
        id: AllocationId,
        why: Withdrawn,
        host: &mut Host<Client>,
        port: &mut Port,
    ) {
        let Some((client, allocation)) = host.own(id) else { return };
        let old = client.beside;
        port.put_away(client, allocation, why);
        host.finish(id);
        if let Some((old, _)) = old.and_then(|old| host.own(old)) {
            old.successor = None;
        }
    }

    /// The new copy that stands beside this one takes its place with its owner. False where there is none that
    /// runs.
    fn take_over(&self, id: AllocationId, gone: bool, host: &mut Host<Client>, port: &mut Port) -> bool {
        let Some((old, allocation)) = host.own(id) else { return false };
        let Some(next) = old.successor else { return false };
        let (current, hangs_up) = (old.current.clone(), old.hangs_up);
        let (service, task, placing) =
            (old.ask.service.clone(), old.ask.task.clone(), old.ask.placing.clone());
        let nodes = allocation.shots.iter().map(|shot| shot.machine).collect();
        let Some((new, allocation)) = host.own(next) else { return false };
        let Some(machine) = allocation.shots.last().map(|shot| shot.machine) else { return false };
        (new.beside, new.current, new.hangs_up) = (None, current, hangs_up);
        new.current.set(next);
        let (version, name) = (new.version.clone(), new.ask.placing.clone());
        new.say(Said::Replaced(v1::Replaced { node: machine.0, version, placing: name }));
        host.swap_names(id, next);
        if gone {
            port.retired(&service, &task);
        } else {
            let (placings, nodes, told) = (vec![placing], Some(nodes), BTreeSet::new());
            port.orphans.push(Orphan {
                service,
                task,
                placings,
                but: None,
                nodes,
                told,
                then: Then::Retired,
            });
        }
        true
    }

    /// A node has placed a shot. False where the shot need not be followed any longer.
    pub fn placed(self: &Arc<Self>, id: AllocationId, shot: usize, machine: MachineId) {
        self.with(|now, host, port| {
            let late = host.own(id).is_some_and(|(client, _)| client.deadline.is_some_and(|at| now >= at));
            if late {
                // The owner has given up: an answer now would be one too late. The outcome is told all the same.
                host.placed(now, id, shot, port);
                self.unwanted(id, host, port);
            } else if host.placed(now, id, shot, port)
                && let Some((client, allocation)) = host.own(id)
            {
                client.deadline = None;
                if client.beside.is_some() {
                    return;
                }
                if std::mem::take(&mut client.anew) {
                    let (version, placing) = (client.version.clone(), client.ask.placing.clone());
                    client.say(Said::Replaced(v1::Replaced { node: machine.0, version, placing }));
                    return;
                }
                port.counters.placed += 1;
                let shots = allocation.shots.len() as u32;
                client.say(Said::Placed(v1::Placed { node: machine.0, shots }));
            } else if let Some((client, _)) = host.own(id) {
                // Wanted no longer by the time the node took it: an earlier word to stop found nothing there.
                port.stop(self, client, machine, false);
            }
        });
    }

    /// A shot has returned. `over` where it was placed and the allocation ends with it, in this way.
    pub fn returned(
        self: &Arc<Self>,
        id: AllocationId,
        shot: usize,
        ending: Ending,
        reason: Option<Reason>,
        over: Option<v1::ended::How>,
        report: Option<Report>,
    ) {
        self.with(|now, host, port| {
            let mut anew = None;
            if let Some((client, _)) = host.own(id)
                && over.is_some()
                && client.beside.is_some()
            {
                self.withdraw(id, Withdrawn::Failed, host, port);
            } else if host.own(id).is_some_and(|(client, _)| over.is_some() && client.retiring)
                && self.take_over(id, ending == Ending::Cancelled, host, port)
            {
                // Its owner goes on with the new one.
            } else if let (Some(how), Some((client, allocation))) = (over, host.own(id)) {
                // Known to be gone, since its node says so: now a copy of the version wanted may be placed.
                if client.stopping && ending == Ending::Cancelled && !port.stopping {
                    anew = port.anew(client, allocation);
                } else {
                    let how = if client.moving && how == v1::ended::How::Lost {
                        v1::ended::How::Moved
                    } else {
                        how
                    };
                    let successor = client.successor.take();
                    port.copy_gone(client, ending == Ending::Ended);
                    client.say(Said::Ended(v1::Ended { how: how.into() }));
                    client.words.close();
                    if let Some(next) = successor {
                        self.withdraw(next, Withdrawn::NotWanted, host, port);
                    }
                }
            }
            host.returned(now, id, shot, ending, reason, over.is_some(), report, port);
            let Some((asked, client)) = anew else { return };
            let (task, current) = (client.ask.task.clone(), client.current.clone());
            match host.take(now, &task, asked, client) {
                Ok(id) => {
                    current.set(id);
                    host.place(now, id, port);
                }
                Err((why, mut client)) => {
                    warn!(task, %why, "a copy taken down for a roll can't be placed anew here");
                    port.answer(&mut client, Said::Failed(v1::Failed::default()));
                }
            }
        });
    }

    /// A copy says which version it runs: one handed over is known by that alone.
    pub fn runs(&self, id: AllocationId, version: String) {
        self.with(|now, host, port| {
            let other = |client: &Client| client.version != version && client.beside.is_none();
            let Some((client, _)) = host.own(id).filter(|(client, _)| other(client)) else {
                return;
            };
            if let Some(conductor) = port.rolls.of(&client.ask.service) {
                conductor.copy(now, &client.ask.task, &version, false);
            }
            client.version = version;
        });
    }

    /// A copy's own word that it is ready, or no longer.
    pub fn ready(&self, id: AllocationId, ready: bool) {
        self.with(|now, host, port| {
            let Some((client, _)) = host.own(id) else { return };
            client.ready = if ready { client.ready.or(Some(now)) } else { None };
            match port.rolls.of(&client.ask.service) {
                Some(_) if client.withdrawn => {}
                Some(conductor) if client.beside.is_some() => conductor.grown(now, &client.ask.task, ready),
                Some(conductor) if ready => conductor.ready(now, &client.ask.task),
                Some(conductor) => drop(conductor.unready(now, &client.ask.task)),
                None => {}
            }
        });
    }

    /// A later roll is in force. Copies that were here before it are its own from now on.
    pub fn adopt(&self, roll: Roll) {
        self.with(|now, host, port| {
            let known = port.rolls.of(&roll.service).is_some();
            let service = roll.service.clone();
            port.rolls.adopt(now, roll);
            let Some(conductor) = port.rolls.of(&service).filter(|_| !known) else { return };
            let copies = host.all().filter(|(_, client, placed)| {
                *placed && client.ask.service == service && client.beside.is_none()
            });
            let copies: Vec<AllocationId> = copies.map(|(id, _, _)| id).collect();
            for id in copies {
                let Some((client, allocation)) = host.own(id) else { continue };
                conductor.copy(now, &client.ask.task, &client.version, false);
                if let Some(at) = client.ready {
                    conductor.ready(at, &client.ask.task);
                }
                if !self.may_run_twice(allocation.track) {
                    conductor.only_once(&client.ask.task);
                }
            }
        });
    }

    /// Replaces a copy by one of the version wanted: stopped first, and placed anew once it is known to be gone.
    pub fn replace(self: &Arc<Self>, task: &str) {
        self.with(|_, host, port| {
            let Some((client, allocation)) = host.find(task).and_then(|id| host.own(id)) else { return };
            client.stopping = true;
            if let Some(shot) = allocation.shots.last() {
                port.stop(self, client, shot.machine, false);
            }
        });
    }

    fn may_run_twice(&self, track: TrackId) -> bool {
        let deployment = self.deployment();
        deployment.cluster.tracks.get(track.0).is_some_and(|track| track.repeat == Repeat::Idempotent)
    }

    /// The two of a copy that grows: to be kept on disk before the new one is offered anywhere.
    pub fn pair(&self, task: &str) -> Option<rolls::Pair> {
        let mut inner = self.lock();
        let id = inner.host.find(task)?;
        let (client, _) = inner.host.own(id)?;
        let (old, successor, retires) = (client.ask.placing.clone(), client.successor, client.retiring);
        let new = successor.and_then(|next| inner.host.own(next));
        let new = new.map_or_else(|| next_placing(&old), |(client, _)| client.ask.placing.clone());
        Some(rolls::Pair { new, old, retires })
    }

    /// Whether a copy of this task is still to be known to be gone.
    pub fn puts_away(&self, task: &str) -> bool {
        self.lock().port.orphans.iter().any(|orphan| orphan.task == task)
    }

    /// Starts a copy of the version wanted beside one that runs, by the ordinary path.
    pub fn grow(self: &Arc<Self>, task: &str, placing: &str) {
        self.with(|now, host, port| {
            let Some(old) = host.find(task) else { return };
            let successor = host.own(old).and_then(|(client, _)| client.successor);
            let stands = |(client, _): (&mut Client, &Allocation)| !client.withdrawn;
            if successor.and_then(|next| host.own(next)).is_some_and(stands) {
                return;
            }
            let Some((client, allocation)) = host.own(old) else { return };
            let ask = v1::Ask { placing: placing.into(), ..client.ask.clone() };
            let Some(within) = port.rolls.of(&ask.service).map(|own| own.roll().ready_within) else { return };
            let asked = Asked {
                service: allocation.service,
                track: allocation.track,
                account: allocation.account,
                asks: allocation.asks,
                abandon: now + within,
            };
            let fresh = Client::new(ask, &client.words);
            let fresh = Client { deadline: Some(now + within), beside: Some(old), ..fresh };
            // A name that no owner gives: its own is taken by the old one.
            match host.take(now, &format!("{task}\u{0}{placing}"), asked, fresh) {
                Ok(id) => {
                    if let Some((client, _)) = host.own(old) {
                        client.successor = Some(id);
                    }
                    host.place(now, id, port);
                }
                Err((why, client)) => {
                    warn!(task, %why, "no new copy can be placed beside an old one here");
                    port.withdrawn(&client.ask.service, task, Withdrawn::NoRoom);
                }
            }
        });
    }

    /// Stops an old copy whose new one has stayed ready for its time.
    pub fn retire(self: &Arc<Self>, task: &str) {
        let found = {
            let mut inner = self.lock();
            let id = inner.host.find(task);
            id.and_then(|id| inner.host.own(id).map(|(client, _)| client.retiring = true))
        };
        if found.is_some() {
            self.replace(task);
        }
    }

    /// A new copy that could not even be begun.
    pub fn not_grown(&self, service: &str, task: &str) {
        // That it can't be kept on disk says nothing of the version: it must not halt the roll.
        self.with(|_, _, port| port.withdrawn(service, task, Withdrawn::NotWanted));
    }

    /// Puts away a new copy that is not wanted any more.
    pub fn put_away(self: &Arc<Self>, task: &str) {
        self.with(|_, host, port| {
            let next = host.find(task).and_then(|id| host.own(id)).and_then(|(client, _)| client.successor);
            if let Some(next) = next {
                self.withdraw(next, Withdrawn::NotWanted, host, port);
            }
        });
    }

    /// Has every node put away what a dead dispatcher may have begun beside our copy.
    pub fn clear(&self, service: &str, task: &str, claim: ClaimId) {
        self.with(|_, host, port| {
            let Some((client, _)) = host.find(task).and_then(|id| host.own(id)) else { return };
            if port.orphans.iter().any(|orphan| orphan.then == Then::Cleared(claim)) {
                return;
            }
            port.orphans.push(Orphan {
                service: service.into(),
                task: task.into(),
                placings: Vec::new(),
                but: Some(client.ask.placing.clone()),
                nodes: None,
                told: BTreeSet::new(),
                then: Then::Cleared(claim),
            });
        });
    }

    /// Tells nodes of what is to be gone, each until it has answered; gives slots back whose copies are.
    pub async fn clear_orphans(self: &Arc<Self>) {
        let asks: Vec<(usize, MachineId, Arc<NodeLink>, Vec<v1::StopAsk>)> = {
            let mut inner = self.lock();
            let Inner { host, port } = &mut *inner;
            // A copy that has another placing by now is not to be stopped by word of the one before.
            port.orphans.retain(|orphan| {
                let own = host.find(&orphan.task).and_then(|id| host.own(id));
                orphan
                    .but
                    .as_ref()
                    .is_none_or(|but| own.is_some_and(|(client, _)| client.ask.placing == *but))
            });
            let port = &inner.port;
            let all = port.orphans.iter().enumerate().flat_map(|(index, orphan)| {
                let here = port.nodes.iter().filter(|(machine, _)| {
                    orphan.nodes.as_ref().is_none_or(|nodes| nodes.contains(machine))
                        && !orphan.told.contains(machine)
                });
                here.map(move |(machine, node)| {
                    // Whoever holds it by now hears that it moved, and asks again.
                    let stop = |placing: &String| v1::StopAsk {
                        placing: placing.clone(),
                        task: orphan.task.clone(),
                        moved: true,
                        but: String::new(),
                        by: Some(self.by(1)),
                    };
                    let mut stops: Vec<v1::StopAsk> = orphan.placings.iter().map(stop).collect();
                    stops.extend(orphan.but.iter().map(|but| v1::StopAsk {
                        placing: String::new(),
                        task: orphan.task.clone(),
                        moved: true,
                        but: but.clone(),
                        by: Some(self.by(1)),
                    }));
                    (index, *machine, Arc::clone(node), stops)
                })
            });
            all.collect()
        };
        let calls: Vec<_> = asks
            .into_iter()
            .map(|(index, machine, node, stops)| {
                let desk = Arc::clone(self);
                let tasks = Arc::clone(&self.tasks);
                tasks.spawn(async move {
                    for stop in stops {
                        shots::stop(desk.clone(), node.clone(), stop).await?;
                    }
                    Some((index, machine))
                })
            })
            .collect();
        let mut told = Vec::new();
        for call in calls {
            told.extend(call.await);
        }
        let forgotten = self.with(|_, _, port| {
            for (index, machine) in told {
                // Only this task takes any out, so the places are the same.
                port.orphans[index].told.insert(machine);
            }
            let known: BTreeSet<MachineId> = port.nodes.keys().copied().collect();
            let gone = |orphan: &Orphan| {
                let mut all = known.iter();
                // Before the list is known nothing is.
                !known.is_empty()
                    && all.all(|machine| {
                        let else_where = orphan.nodes.as_ref().is_some_and(|nodes| !nodes.contains(machine));
                        else_where || orphan.told.contains(machine)
                    })
            };
            let (done, rest) = std::mem::take(&mut port.orphans).into_iter().partition(gone);
            port.orphans = rest;
            let done: Vec<Orphan> = done;
            done.into_iter()
                .filter_map(|orphan| match orphan.then {
                    Then::Retired => {
                        port.retired(&orphan.service, &orphan.task);
                        None
                    }
                    Then::Withdrawn(why) => {
                        port.withdrawn(&orphan.service, &orphan.task, why);
                        None
                    }
                    Then::Forgotten(claim, pair) => Some((claim, pair)),
                    Then::Cleared(claim) => {
                        if let Some(conductor) = port.rolls.of(&orphan.service) {
                            conductor.cleared(claim);
                        }
                        port.give_back(&orphan.service, vec![claim]);
                        None
                    }
                })
                .collect::<Vec<_>>()
        });
        for (claim, pair) in forgotten {
            info!(
                old = pair.old,
                new = pair.new,
                "what was left of a replacing before the restart is put away"
            );
            rolls::forget_pair(self, claim, pair).await;
        }
    }

    /// Says it again to nodes that have not stopped a copy yet: word to them is one try each.
    pub fn stop_old_copies(self: &Arc<Self>) {
        let tasks: Vec<String> = {
            let mut inner = self.lock();
            let stopping = inner.host.all().filter(|(_, client, _)| client.stopping);
            stopping.map(|(_, client, _)| client.ask.task.clone()).collect()
        };
        tasks.iter().for_each(|task| self.replace(task));
    }

    pub fn with_rolls<R>(&self, call: impl FnOnce(Tenths, &mut Rolls) -> R) -> R {
        let mut inner = self.lock();
        call(self.clock.now(), &mut inner.port.rolls)
    }

    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeLink>> {
        self.lock().port.node(machine)
    }

    pub fn noted(&self, id: AllocationId, note: Note) {
        self.with(|now, host, _| {
            host.noted(now, id, note);
            let Some((client, _)) = host.own(id) else { return };
            match note {
                Note::Runs => client.note(Said::Runs(v1::Runs {})),
                Note::Served(part) => client.note(Said::Served(v1::Served { part })),
                _ => {}
            }
        });
    }

    pub fn probed(&self, machine: MachineId, ending: Ending, report: Option<Report>) {
        self.with(|now, host, _| host.probed(now, machine, ending, report));
    }

    /// The list of machines, or changes of it, with their addresses.
    pub fn listed(&self, scope: Scope, entries: &[(Entry, std::net::SocketAddr)]) {
        self.with(|_, host, port| {
            if scope == Scope::Whole {
                port.nodes.retain(|id, _| entries.iter().any(|(entry, _)| entry.machine == *id));
            }
            let dispatcher = self.deployment().cluster.number as u32;
            for (entry, address) in entries {
                match port.nodes.get(&entry.machine) {
                    Some(node) if node.address == *address => {}
                    _ => drop(
                        port.nodes
                            .insert(entry.machine, NodeLink::new(*address, entry.machine.0, dispatcher)),
                    ),
                }
            }
            let list: Vec<Entry> = entries.iter().map(|(entry, _)| *entry).collect();
            host.listed(scope, &list);
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

    pub fn status(&self) -> v1::StatusWord {
        let inner = self.lock();
        let (counts, port) = (inner.host.counts(), &inner.port);
        let idle = duration(self.deployment().bounds.idle_close);
        v1::StatusWord {
            number: self.deployment().cluster.number as u32,
            schedulers: self.deployment().cluster.schedulers as u32,
            in_hand: counts.in_hand as u64,
            not_yet: counts.not_yet as u64,
            shots_out: counts.shots_out as u64,
            running: counts.placed as u64,
            asked: port.counters.asked,
            placed: port.counters.placed,
            refused: port.counters.refused,
            failed: port.counters.failed,
            cancelled: port.counters.cancelled,
            links: port.nodes.values().filter(|node| node.close_idle(idle)).count() as u64,
            machines_serving: port.serving as u64,
            machines_known: port.nodes.len() as u64,
            decided_us: port.decided.as_micros() as u64,
            stopping: port.stopping,
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
                host.returned(now, id, shot, Ending::TimedOut, None, false, None, port);
            }
            for (_, client, runs) in host.all() {
                if runs && client.beside.is_none() {
                    client.say(Said::Ended(v1::Ended { how: v1::ended::How::HandedBack.into() }));
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

/// What the decisions are handed. An offer may leave `connect_within` later than it is decided: two windows' worth,
/// the first late and the second not, would reach a cold node closer together than they were decided.
fn cluster(deployment: &Deployment) -> Cluster {
    let mut cluster = deployment.cluster.clone();
    cluster.cold.window += deployment.bounds.connect_within;
    cluster
}

/// Some 2 ms of work, and as long for the sockets.
const SLICE: Slice = Slice { most: 32, apart: 20 };

/// The name of a placing that follows this one in a roll. None of an earlier life or try may be met again: word to
/// stop that one may still be under way.
fn next_placing(placing: &str) -> String {
    let (first, _) = placing.rsplit_once('~').unwrap_or((placing, ""));
    format!("{first}~{:x}", crate::clock::wall_ms())
}

/// No owner waits longer for a placing.
const LONGEST: Tenths = 24 * 3600 * 10_000;

fn refusal(why: NotTaken) -> v1::refused::Why {
    match why {
        NotTaken::Full => v1::refused::Why::TooMany,
        NotTaken::SameName => v1::refused::Why::InHand,
    }
}

impl Port {
    fn node(&self, machine: MachineId) -> Option<Arc<NodeLink>> {
        self.nodes.get(&machine).cloned()
    }

    fn stop(&mut self, desk: &Arc<Desk>, client: &Client, machine: MachineId, moved: bool) {
        let Some(node) = self.node(machine) else { return };
        let (placing, task) = (client.ask.placing.clone(), client.ask.task.clone());
        let stop = v1::StopAsk { placing, task, moved, but: String::new(), by: Some(desk.by(1)) };
        desk.tasks.spawn(shots::stop(desk.clone(), node, stop)).detach();
    }

    /// What is placed anew in the place of a copy that a roll has stopped.
    fn anew(&mut self, client: &Client, allocation: &Allocation) -> Option<(Asked, Client)> {
        let within = self.rolls.of(&client.ask.service)?.roll().ready_within;
        let abandon = self.now + within;
        let asked = Asked {
            service: allocation.service,
            track: allocation.track,
            account: allocation.account,
            asks: allocation.asks,
            abandon,
        };
        let placing = next_placing(&client.ask.placing);
        let fresh = Client::new(v1::Ask { placing, ..client.ask.clone() }, &client.words);
        let (current, hangs_up) = (client.current.clone(), client.hangs_up);
        Some((asked, Client { deadline: Some(abandon), hangs_up, current, anew: true, ..fresh }))
    }

    /// The old copy is gone, and the new one has its place.
    fn retired(&mut self, service: &str, task: &str) {
        let claims = self.rolls.of(service).map(|own| own.retired(task)).unwrap_or_default();
        self.give_back(service, claims);
    }

    /// From here on a new copy beside an old one counts for nothing; its slot comes back when it is known to be
    /// gone.
    fn put_away(&mut self, client: &mut Client, allocation: &Allocation, why: Withdrawn) {
        if std::mem::replace(&mut client.withdrawn, true) {
            return;
        }
        self.orphans.push(Orphan {
            service: client.ask.service.clone(),
            task: client.ask.task.clone(),
            placings: vec![client.ask.placing.clone()],
            but: None,
            nodes: Some(allocation.shots.iter().map(|shot| shot.machine).collect()),
            told: BTreeSet::new(),
            then: Then::Withdrawn(why),
        });
    }

    /// A new copy beside an old one is no more.
    fn withdrawn(&mut self, service: &str, task: &str, why: Withdrawn) {
        let now = self.now;
        let claims = self.rolls.of(service).map(|own| own.withdrawn(now, task, why)).unwrap_or_default();
        self.give_back(service, claims);
    }

    fn give_back(&mut self, service: &str, claims: Vec<ClaimId>) {
        let Some(desk) = self.desk.upgrade() else { return };
        for claim in claims {
            let (desk, service) = (Arc::clone(&desk), service.to_string());
            let tasks = Arc::clone(&desk.tasks);
            tasks.spawn(async move { rolls::release(&desk, &service, claim).await }).detach();
        }
    }

    /// A copy is ours no longer. `wanted_no_more`: its owner does not come again for it.
    fn copy_gone(&mut self, client: &Client, wanted_no_more: bool) {
        let (service, task) = (&client.ask.service, &client.ask.task);
        let Some(conductor) = self.rolls.of(service) else { return };
        if !wanted_no_more {
            return conductor.died(self.now, task);
        }
        let claims = conductor.gone(task);
        self.give_back(service, claims);
    }

    /// The final answer, unless the owner's time is already up.
    fn answer(&mut self, client: &mut Client, said: Said) -> bool {
        if client.anew {
            // Its owner had its answer long ago: to it the copy is sent away, and it comes again.
            self.copy_gone(client, false);
            client.say(Said::Ended(v1::Ended { how: v1::ended::How::SentAway.into() }));
            client.words.close();
            return false;
        }
        self.copy_gone(client, true);
        let in_time = client.deadline.take().is_some_and(|at| self.now < at);
        if in_time {
            client.say(said);
        }
        client.words.close();
        in_time
    }
}

impl Wire<Client> for Port {
    fn send(&mut self, client: &mut Client, allocation: &Allocation, machine: MachineId, time_out: Tenths) {
        let Some(desk) = self.desk.upgrade() else { return };
        let asked = Asked {
            service: allocation.service,
            track: allocation.track,
            account: allocation.account,
            asks: allocation.asks,
            abandon: allocation.abandon,
        };
        client.version = self.rolls.wanted(&client.ask.service);
        (client.ready, client.stopping) = (None, false);
        if let Some(conductor) = self.rolls.of(&client.ask.service).filter(|_| client.beside.is_none()) {
            conductor.copy(self.now, &client.ask.task, &client.version, client.ask.again && !client.anew);
            if !desk.may_run_twice(allocation.track) {
                conductor.only_once(&client.ask.task);
            }
        }
        let shot = desk.shot(&client.ask, &asked, allocation.shots.len(), client.version.clone());
        let node = self.node(machine);
        let most = desk.deployment().bounds.offers_a_node;
        let open: Option<Counted> = node.as_ref().and_then(|node| node.offer(most));
        let (id, number, decided) = (allocation.id, allocation.shots.len(), Instant::now());
        let offer = shots::Offer { id, number, machine, node, open, decided };
        let tasks = Arc::clone(&desk.tasks);
        tasks.spawn(shots::offer(desk, offer, shot, duration(time_out))).detach();
    }

    fn shed(&mut self, client: &mut Client, allocation: &Allocation) {
        if client.beside.is_some() {
            // Its owner has the old one, and knows of none other.
            return self.put_away(client, allocation, Withdrawn::NoRoom);
        }
        let (why, shots) = (v1::refused::Why::NoRoom.into(), allocation.shots.len() as u32);
        let text = "no machine could take it in its time".into();
        if self.answer(client, Said::Refused(v1::Refused { why, text, shots })) {
            self.counters.refused += 1;
        }
    }

    fn scrap(&mut self, client: &mut Client, allocation: &Allocation) {
        if client.beside.is_some() {
            return self.put_away(client, allocation, Withdrawn::NoRoom);
        }
        let shots = allocation.shots.len() as u32;
        let text = "a shot may have run, and a further one is not allowed".into();
        if self.answer(client, Said::Failed(v1::Failed { text, shots })) {
            self.counters.failed += 1;
        }
    }

    fn relocate(&mut self, client: &mut Client, allocation: &Allocation) {
        let (Some(desk), Some(shot)) = (self.desk.upgrade(), allocation.shots.last()) else { return };
        client.moving = true;
        self.stop(&desk, client, shot.machine, true);
    }

    fn probe(&mut self, machine: MachineId) {
        let (Some(desk), Some(node)) = (self.desk.upgrade(), self.node(machine)) else { return };
        let tasks = Arc::clone(&desk.tasks);
        tasks.spawn(shots::probe(desk, machine, node)).detach();
    }

    fn watch_list(&mut self) {
        if let Some(desk) = self.desk.upgrade() {
            // Full: one is asked for already.
            let _ = desk.watches.try_send(());
        }
    }

    fn wake(&mut self, after: Tenths) {
        if let Some(desk) = self.desk.upgrade() {
            // Always earlier than what is waited for, so it may take its place.
            let _ = desk.wakes.force_send(Instant::now() + duration(after));
        }
    }
}
