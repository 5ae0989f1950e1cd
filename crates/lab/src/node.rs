//! A node's stand-in: it looks at one ask at a time, accepts or refuses, starts, runs, evicts, and
//! fails as the day's script says. Several live in one process, each behind a listener of its own.

use crate::capture::{Capture, NodeState, Seen, Word};
use async_io::Timer;
use async_lock::{Mutex as AsyncMutex, Semaphore};
use async_net::TcpListener;
use corkspan_api::v1::{
    self, attempt_event::Event, attempt_rejected::Rejection, node_server::NodeServer,
};
use corkspan_config_sync::VersionCache;
use corkspan_dispatcher::{config_stream, maintenance_messages, minimum_version};
use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::lease_table::LeaseTable;
use corkspan_maintenance::{ClaimId, Machine};
use corkspan_rollout::{ClaimOutcome, Grant, QuorumMember};
use corkspan_rpc::{Bounds, Tasks};
use corkspan_scheduler::interface::Resources;
use corkspan_version_fencing::operations::{
    OperationCounts, OperationKind, OperationRow, OperationSource,
};
use corkspan_version_fencing::policy::ReportedVersions;
use corkspan_version_fencing::{
    Fence, FenceDecision, MinimumVersion, ReportedVersion, StoredState,
};
use futures_lite::Stream;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

/// What a node is.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    pub id: u32,
    pub machine_type: String,
    pub zone: String,
    pub cell: u64,
    pub capacity: Resources,
    /// Accepts until the asks reach this multiple of its size.
    pub admission_limit: Resources,
    /// To look at one ask.
    pub review_time: Duration,
    /// Asks that may wait to be looked at.
    pub max_queued: usize,
    /// A start with the program in place, warm; without it takes `loads` times as long.
    pub start_time: Duration,
    pub load_factor: u32,
    pub max_concurrent_starts: usize,
    pub max_cached_programs: usize,
    /// Pushes out lower priorities for a higher one.
    pub preempts: bool,
    pub slow_start: SlowStart,
    pub seed: u64,
}

/// How a node is that has just started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    pub duration: Duration,
    pub window: Duration,
    /// With more offers within a window it falls over.
    pub max_offers: usize,
    /// Its pace at first, growing to 1.
    pub initial_rate: f64,
}

/// What all stand-ins share: the capture, and what nodes of a hall know together.
pub struct World {
    pub capture: Capture,
    pub tasks: Tasks,
    /// Copies of deduplicated tasks that stand, by hall and task.
    stand: Mutex<HashMap<(String, String), u32>>,
    pub dedup_class: Option<String>,
    /// Versions of programs that are no good.
    bad: Mutex<HashMap<String, VersionFault>>,
}

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    NeverReady,
    /// Ready, and so long later it fails.
    FailsAfter(Duration),
}

impl World {
    pub fn new(capture: Capture, tasks: &Tasks, dedup_track: Option<String>) -> Arc<Self> {
        let (stand, bad) = Default::default();
        Arc::new(World {
            capture,
            tasks: Arc::clone(tasks),
            stand,
            dedup_class: dedup_track,
            bad,
        })
    }

    pub fn inject_version_fault(&self, version: &str, how: VersionFault) {
        self.bad
            .lock()
            .expect("unshared")
            .insert(version.into(), how);
    }

    fn bad(&self, version: &str) -> Option<VersionFault> {
        self.bad.lock().expect("unshared").get(version).copied()
    }
}

struct Guest {
    shot: v1::AttemptRequest,
    used: Resources,
    runs: bool,
    ready: bool,
    words: async_channel::Sender<v1::AttemptEvent>,
}

#[derive(Default)]
struct State {
    /// Counts the starts of the process: what belongs to an earlier one is gone.
    life: u64,
    up: bool,
    draining: bool,
    started: Option<Instant>,
    still_until: Option<Instant>,
    mute_until: Option<Instant>,
    lag_until: Option<(Instant, Duration)>,
    guests: BTreeMap<String, Guest>,
    kept: VecDeque<String>,
    offers: VecDeque<Instant>,
    waiting: usize,
    loads: VecDeque<(Instant, v1::LoadReport)>,
}

pub struct Node {
    pub config: NodeConfig,
    world: Arc<World>,
    state: Mutex<State>,
    look: AsyncMutex<()>,
    starts: Semaphore,
    server: Mutex<Option<async_executor::Task<()>>>,
    listener: Mutex<Option<TcpListener>>,
    /// On its disk: it survives the process.
    keeper: Mutex<QuorumMember>,
    floors: Mutex<corkspan_quorum::QuorumMember<MinimumVersion>>,
    rows: Mutex<ReportedVersions>,
    shelf: Mutex<VersionCache>,
    board: Mutex<LeaseTable>,
    /// With since when it is as it is.
    door: Mutex<(Cordon, Instant)>,
    fence: Mutex<Fence>,
    /// On its disk too.
    acts: Mutex<OperationCounts>,
}

const NOTES: Duration = Duration::from_millis(250);

impl Node {
    pub fn new(plan: NodeConfig, world: &Arc<World>) -> Arc<Self> {
        Arc::new(Node {
            starts: Semaphore::new(plan.max_concurrent_starts),
            config: plan,
            world: Arc::clone(world),
            state: Mutex::default(),
            look: AsyncMutex::new(()),
            server: Mutex::default(),
            listener: Mutex::default(),
            keeper: Mutex::default(),
            floors: Mutex::default(),
            rows: Mutex::default(),
            shelf: Mutex::default(),
            board: Mutex::default(),
            door: Mutex::new((Cordon::default(), Instant::now())),
            fence: Mutex::new(Fence::restore(StoredState::Intact(None))),
            acts: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no one panics while a node's state is held")
    }

    /// Starts the process, warm at the start of a day and cold otherwise. Where it listens.
    pub async fn start_process(self: &Arc<Self>, cold: bool) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        {
            let mut state = self.lock();
            *state = State {
                life: state.life + 1,
                up: true,
                ..State::default()
            };
            state.started = cold.then(Instant::now);
            self.door().1 = Instant::now();
        }
        let seen = if cold {
            NodeState::Cold
        } else {
            NodeState::Serving
        };
        self.world.capture.see(Seen::Node {
            node: self.config.id,
            state: seen,
        });
        *self.listener.lock().expect("unshared") = Some(listener);
        self.listen();
        Ok(address)
    }

    fn listen(self: &Arc<Self>) {
        let Some(listener) = self.listener.lock().expect("unshared").clone() else {
            return;
        };
        let service = NodeServer::new(Service(Arc::clone(self)));
        let served = corkspan_rpc::serve(listener, service, Bounds::default());
        let server = self.world.tasks.spawn(async move {
            served.await;
        });
        *self.server.lock().expect("unshared") = Some(server);
    }

    /// The process dies, and with it all that runs.
    pub fn kill(&self, why: NodeState) {
        *self.listener.lock().expect("unshared") = None;
        let server = self.server.lock().expect("unshared").take();
        let mut state = self.lock();
        if state.up {
            self.world.capture.see(Seen::Node {
                node: self.config.id,
                state: why,
            });
        }
        for guest in state.guests.values().filter(|guest| guest.ready) {
            self.see_ready(&guest.shot, false, false, false);
        }
        *state = State {
            life: state.life,
            ..State::default()
        };
        drop(state);
        drop(server);
        self.stand().retain(|_, node| *node != self.config.id);
    }

    /// All links break and for so long none comes to stand; what runs goes on.
    pub fn cut_connections(self: &Arc<Self>, time: Duration) {
        let server = self.server.lock().expect("unshared").take();
        self.world.capture.see(Seen::Cut {
            node: self.config.id,
        });
        drop(server);
        let node = Arc::clone(self);
        let life = self.lock().life;
        let again = async move {
            Timer::after(time).await;
            if node.lock().life == life {
                node.listen();
            }
        };
        self.world.tasks.spawn(again).detach();
    }

    pub fn stall(&self, time: Duration) {
        self.lock().still_until = Some(Instant::now() + time);
    }

    /// What it says is lost on the way.
    pub fn mute(&self, time: Duration) {
        self.lock().mute_until = Some(Instant::now() + time);
    }

    /// Load reports are so much older than they are.
    pub fn delay_reports(&self, time: Duration, by: Duration) {
        self.lock().lag_until = Some((Instant::now() + time, by));
    }

    pub fn clear_program_cache(&self) {
        self.lock().kept.clear();
    }

    /// Takes nothing new from here on.
    pub fn drain(&self) {
        self.lock().draining = true;
        self.world.capture.see(Seen::Node {
            node: self.config.id,
            state: NodeState::Draining,
        });
    }

    pub fn is_running(&self) -> bool {
        self.lock().up
    }

    /// The copies of a task that are here, by their placings.
    pub fn allocations_of(&self, task: &str) -> Vec<String> {
        let state = self.lock();
        let own = state
            .guests
            .iter()
            .filter(|(_, guest)| guest.shot.task == task);
        own.map(|(placing, _)| placing.clone()).collect()
    }

    /// What nobody has asked for.
    pub fn unrequested(&self) -> Resources {
        self.config.capacity - asked(&self.lock())
    }

    fn stand(&self) -> MutexGuard<'_, HashMap<(String, String), u32>> {
        self.world
            .stand
            .lock()
            .expect("no one panics while it is held")
    }

    fn mark(&self, shot: &v1::AttemptRequest) -> Option<(String, String)> {
        let deduplicated = self.world.dedup_class.as_ref() == Some(&shot.service_class);
        deduplicated.then(|| (self.config.zone.clone(), shot.task.clone()))
    }

    /// What is not in use, as of a little while ago, and longer where reports are late.
    fn load(&self, state: &mut State) -> v1::LoadReport {
        let now = Instant::now();
        let used: Resources = state
            .guests
            .values()
            .filter(|guest| guest.runs)
            .map(|guest| guest.used)
            .sum();
        let free = self.config.capacity - used;
        state.loads.push_back((
            now,
            v1::LoadReport {
                cores: free.cores,
                memory: free.memory,
            },
        ));
        let usual = Duration::from_millis(200);
        let age = state
            .lag_until
            .filter(|(until, _)| *until > now)
            .map_or(usual, |(_, by)| usual + by);
        while state.loads.len() > 2 && state.loads[1].0 + age <= now {
            state.loads.pop_front();
        }
        state.loads.truncate(4096);
        state.loads[0].1
    }

    fn say(
        &self,
        state: &mut State,
        shot: &v1::AttemptRequest,
        words: &async_channel::Sender<v1::AttemptEvent>,
        said: Event,
    ) {
        let word = match &said {
            Event::Accepted(_) => Some(Word::Accepted),
            Event::Running(_) => Some(Word::Running),
            Event::Rejected(_) => Some(Word::Refused),
            Event::Ended(over) => Some(match over.outcome() {
                v1::attempt_ended::AttemptOutcome::Evicted => Word::Evicted,
                v1::attempt_ended::AttemptOutcome::Preempted => Word::PushedOut,
                v1::attempt_ended::AttemptOutcome::Drained => Word::SentAway,
                v1::attempt_ended::AttemptOutcome::Stopped => Word::Stopped,
                v1::attempt_ended::AttemptOutcome::Migrated => Word::Moved,
                v1::attempt_ended::AttemptOutcome::Error => Word::Lost,
                v1::attempt_ended::AttemptOutcome::Ended => Word::Ended,
            }),
            _ => None,
        };
        let load = Some(self.load(state));
        if let Some(word) = word {
            let (node, placing) = (self.config.id, shot.placement_id.clone());
            self.world.capture.see(Seen::Said {
                node,
                placing,
                number: shot.attempt,
                word,
            });
        }
        if state.mute_until.is_none_or(|until| until <= Instant::now()) {
            // Notes that a dispatcher doesn't read are left out.
            let _ = words.try_send(v1::AttemptEvent {
                event: Some(said),
                load_report: load,
            });
        }
    }

    fn refuse(
        &self,
        state: &mut State,
        shot: &v1::AttemptRequest,
        words: &async_channel::Sender<v1::AttemptEvent>,
        why: Rejection,
    ) {
        let floor = self
            .fence()
            .minimum()
            .filter(|_| why == Rejection::BelowMinimumVersion)
            .map(minimum_version::minimum_version_message);
        self.say(
            state,
            shot,
            words,
            Event::Rejected(v1::AttemptRejected {
                reason: why.into(),
                minimum_version: floor,
            }),
        );
        words.close();
    }

    /// Allocations that stand here.
    pub fn allocation_count(&self) -> usize {
        self.lock().guests.len()
    }

    fn door(&self) -> MutexGuard<'_, (Cordon, Instant)> {
        self.door.lock().expect("no one panics while it is held")
    }

    fn acts(&self) -> MutexGuard<'_, OperationCounts> {
        self.acts.lock().expect("no one panics while it is held")
    }

    fn fence(&self) -> MutexGuard<'_, Fence> {
        self.fence.lock().expect("no one panics while it is held")
    }

    fn see_ready(&self, shot: &v1::AttemptRequest, ready: bool, done: bool, stopped: bool) {
        let (task, service) = (shot.task.clone(), shot.service.clone());
        let (node, version) = (self.config.id, shot.version.clone());
        self.world.capture.see(Seen::Ready {
            node,
            task,
            service,
            version,
            ready,
            done,
            stopped,
        });
    }

    /// Ends one that is here, in this way.
    fn end(&self, state: &mut State, placing: &str, how: v1::attempt_ended::AttemptOutcome) {
        let Some(guest) = state.guests.remove(placing) else {
            return;
        };
        if guest.ready {
            let (done, stopped) = (
                how == v1::attempt_ended::AttemptOutcome::Ended,
                how == v1::attempt_ended::AttemptOutcome::Stopped,
            );
            self.see_ready(&guest.shot, false, done, stopped);
        }
        if let Some(mark) = self.mark(&guest.shot) {
            self.stand().remove(&mark);
        }
        if guest.runs {
            let service = guest.shot.service.clone();
            state.kept.retain(|other| *other != service);
            state.kept.push_back(service);
            if state.kept.len() > self.config.max_cached_programs {
                state.kept.pop_front();
            }
        }
        self.say(
            state,
            &guest.shot,
            &guest.words,
            Event::Ended(v1::AttemptEnded {
                outcome: how.into(),
            }),
        );
        guest.words.close();
    }

    async fn gate(&self, life: u64) -> bool {
        loop {
            let (alive, until) = {
                let state = self.lock();
                (state.up && state.life == life, state.still_until)
            };
            match until.filter(|until| *until > Instant::now()) {
                Some(until) if alive => drop(Timer::at(until).await),
                _ => return alive,
            }
        }
    }

    /// An offer is here: counts it, and says whether the node bears it, and in which life. Called
    /// as its call is served, not in a task of its own: one that a process saw after its death
    /// would be out for good, as the judge sees it.
    fn arrives(self: &Arc<Self>, shot: &v1::AttemptRequest) -> Option<u64> {
        self.acts().record(
            by(shot.decider.as_ref(), shot.dispatcher),
            OperationKind::Attempt,
        );
        self.world.capture.see(Seen::Offered {
            node: self.config.id,
            placing: shot.placement_id.clone(),
            number: shot.attempt,
            dispatcher: shot.dispatcher,
            service: shot.service.clone(),
            task: shot.task.clone(),
            version: shot.version.clone(),
            decided: decided(shot),
        });
        if let Some(floor) = shot
            .minimum_version
            .as_ref()
            .map(minimum_version::minimum_version_from_message)
        {
            let mut fence = self.fence();
            if fence.should_store(floor) {
                fence.apply_stored(floor);
                self.world.capture.see(Seen::Floor {
                    node: self.config.id,
                    lowest: floor.version,
                });
            }
        }
        let mut state = self.lock();
        let now = Instant::now();
        state.offers.push_back(now);
        while state
            .offers
            .front()
            .is_some_and(|&at| at + self.config.slow_start.window <= now)
        {
            state.offers.pop_front();
        }
        let cold = state
            .started
            .is_some_and(|at| now < at + self.config.slow_start.duration);
        if cold && state.offers.len() > self.config.slow_start.max_offers {
            drop(state);
            let node = Arc::clone(self);
            // Not from within its own server.
            self.world
                .tasks
                .spawn(async move { node.kill(NodeState::FellOver) })
                .detach();
            return None;
        }
        state.up.then_some(state.life)
    }

    async fn consider(
        self: Arc<Self>,
        life: u64,
        shot: v1::AttemptRequest,
        words: async_channel::Sender<v1::AttemptEvent>,
    ) {
        {
            let mut state = self.lock();
            if !state.up || state.life != life {
                return;
            }
            if state.waiting >= self.config.max_queued {
                return self.refuse(&mut state, &shot, &words, Rejection::QueueFull);
            }
            state.waiting += 1;
        }
        let looked = async {
            let _turn = self.look.lock().await;
            // One that its dispatcher has let go of while it waited is not looked at: a node that
            // spent its time on such would be late for all others too.
            if !words.is_closed() {
                Timer::after(self.config.review_time).await;
            }
            self.gate(life).await
        };
        let alive = looked.await;
        if alive && self.answer(life, &shot, &words) {
            self.start(life, &shot).await;
            self.run(life, shot).await;
        }
    }

    /// Accepts an offer that has been looked at, or refuses it.
    fn answer(
        &self,
        life: u64,
        shot: &v1::AttemptRequest,
        words: &async_channel::Sender<v1::AttemptEvent>,
    ) -> bool {
        let mut state = self.lock();
        if state.life != life {
            return false;
        }
        state.waiting -= 1;
        if words.is_closed() {
            return false;
        }
        // Here and not as it arrives: while it waited to be looked at, the floor may have come.
        let below = match self.fence().decide(decided(shot)) {
            FenceDecision::Accepted => None,
            FenceDecision::Fenced(_) => Some(Rejection::BelowMinimumVersion),
            FenceDecision::Unknown => Some(Rejection::NotPresent),
        };
        if let Some(why) = below {
            if why == Rejection::BelowMinimumVersion {
                self.acts().record_rejected(
                    by(shot.decider.as_ref(), shot.dispatcher),
                    OperationKind::Attempt,
                );
            }
            self.refuse(&mut state, shot, words, why);
            return false;
        }
        if let Err(why) = self.fits(&mut state, shot) {
            self.refuse(&mut state, shot, words, why);
            return false;
        }
        if let Some(mark) = self.mark(shot) {
            if self.stand().contains_key(&mark) {
                self.refuse(&mut state, shot, words, Rejection::NotPresent);
                return false;
            }
            self.stand().insert(mark, self.config.id);
        }
        let ask = Resources {
            cores: shot.cores,
            memory: shot.memory,
        };
        let used = ask
            * Resources {
                cores: 0.5,
                memory: 0.7,
            };
        let guest = Guest {
            shot: shot.clone(),
            used,
            runs: false,
            ready: false,
            words: words.clone(),
        };
        state.guests.insert(shot.placement_id.clone(), guest);
        self.say(&mut state, shot, words, Event::Accepted(v1::Accepted {}));
        true
    }

    fn fits(&self, state: &mut State, shot: &v1::AttemptRequest) -> Result<(), Rejection> {
        let closed = self.door().0.active().is_some();
        if closed || state.draining || state.guests.contains_key(&shot.placement_id) {
            return Err(Rejection::NotPresent);
        }
        let most = self.config.capacity * self.config.admission_limit;
        let mut sum = asked(state)
            + Resources {
                cores: shot.cores,
                memory: shot.memory,
            };
        let mut out = Vec::new();
        if self.config.preempts {
            let mut lower: Vec<_> = state
                .guests
                .iter()
                .filter(|(_, guest)| guest.shot.priority < shot.priority)
                .collect();
            lower.sort_by_key(|(_, guest)| guest.shot.priority);
            for (placing, guest) in lower {
                if sum.fits_in(most) {
                    break;
                }
                sum = sum
                    - Resources {
                        cores: guest.shot.cores,
                        memory: guest.shot.memory,
                    };
                out.push(placing.clone());
            }
        }
        if sum.memory > most.memory {
            return Err(Rejection::NoMemory);
        }
        if sum.cores > most.cores {
            return Err(Rejection::NoCores);
        }
        out.iter().for_each(|placing| {
            self.end(state, placing, v1::attempt_ended::AttemptOutcome::Preempted)
        });
        Ok(())
    }

    async fn start(&self, life: u64, shot: &v1::AttemptRequest) {
        let _slot = self.starts.acquire().await;
        let (has, pace) = {
            let state = self.lock();
            let near = |guest: &Guest| guest.shot.service == shot.service && guest.runs;
            let has = state.kept.contains(&shot.service) || state.guests.values().any(near);
            let warm = state.started.map_or(1.0, |at| {
                at.elapsed()
                    .div_duration_f64(self.config.slow_start.duration)
                    .min(1.0)
            });
            (
                has,
                self.config.slow_start.initial_rate
                    + (1.0 - self.config.slow_start.initial_rate) * warm,
            )
        };
        let time = if has {
            self.config.start_time
        } else {
            self.config.start_time * self.config.load_factor
        };
        Timer::after(time.div_f64(pace)).await;
        if !self.gate(life).await {
            return;
        }
        let mut state = self.lock();
        if state.life != life {
            return;
        }
        let Some(guest) = state.guests.get_mut(&shot.placement_id) else {
            return;
        };
        guest.runs = true;
        let words = guest.words.clone();
        self.say(
            &mut state,
            shot,
            &words,
            Event::Running(v1::Started {
                version: shot.version.clone(),
            }),
        );
    }

    /// Runs it to its end: notes of its use, eviction where memory runs out.
    async fn run(&self, life: u64, shot: v1::AttemptRequest) {
        let mut rng = Pcg64Mcg::seed_from_u64(
            self.config.seed ^ corkspan_engine::service(&shot.placement_id).0,
        );
        let ask = Resources {
            cores: shot.cores,
            memory: shot.memory,
        };
        let until = Instant::now() + Duration::from_millis(shot.expected_duration_ms.max(1));
        let bad = self.world.bad(&shot.version);
        let mut dies = None;
        if bad != Some(VersionFault::NeverReady) {
            Timer::after(self.config.start_time / 2).await;
            let mut state = self.lock();
            let Some(guest) = state
                .guests
                .get_mut(&shot.placement_id)
                .filter(|guest| guest.runs)
            else {
                return;
            };
            guest.ready = true;
            let words = guest.words.clone();
            self.see_ready(&shot, true, false, false);
            self.say(&mut state, &shot, &words, Event::Ready(true));
            if let Some(VersionFault::FailsAfter(time)) = bad {
                dies = Some(Instant::now() + time);
            }
        }
        loop {
            Timer::at(until.min(Instant::now() + NOTES)).await;
            if !self.gate(life).await {
                return;
            }
            let mut state = self.lock();
            if state.life != life {
                return;
            }
            let Some(guest) = state.guests.get_mut(&shot.placement_id) else {
                return;
            };
            if dies.is_some_and(|at| Instant::now() >= at) {
                return self.end(
                    &mut state,
                    &shot.placement_id,
                    v1::attempt_ended::AttemptOutcome::Error,
                );
            }
            if Instant::now() >= until {
                return self.end(
                    &mut state,
                    &shot.placement_id,
                    v1::attempt_ended::AttemptOutcome::Ended,
                );
            }
            let swing = |least: f64, most: f64, rng: &mut Pcg64Mcg| rng.random_range(least..most);
            let memory = swing(0.55, 0.9, &mut rng) * ask.memory;
            guest.used = Resources {
                cores: swing(0.3, 0.8, &mut rng) * ask.cores,
                memory: guest.used.memory.max(memory),
            };
            let (words, used) = (guest.words.clone(), guest.used);
            let said = Event::Usage(v1::Usage {
                cores: used.cores,
                memory: used.memory,
            });
            self.say(&mut state, &shot, &words, said);
            let in_use: Resources = state
                .guests
                .values()
                .filter(|guest| guest.runs)
                .map(|guest| guest.used)
                .sum();
            if in_use.cores > self.config.capacity.cores {
                let part = self.config.capacity.cores / in_use.cores;
                self.say(&mut state, &shot, &words, Event::ServiceLevel(part));
            }
            if in_use.memory > self.config.capacity.memory {
                let lowest = state.guests.iter().filter(|(_, guest)| guest.runs);
                let lowest = lowest
                    .min_by_key(|(_, guest)| guest.shot.priority)
                    .map(|(placing, _)| placing.clone());
                if let Some(placing) = lowest {
                    self.end(
                        &mut state,
                        &placing,
                        v1::attempt_ended::AttemptOutcome::Evicted,
                    );
                }
            }
        }
    }
}

/// The number of the version that a shot was decided under.
fn decided(shot: &v1::AttemptRequest) -> u64 {
    by(shot.decider.as_ref(), shot.dispatcher).version
}

/// Who acts. One that tells nothing counts as on its own file, in no life that is known.
fn by(told: Option<&v1::Decider>, dispatcher: u32) -> OperationSource {
    let version = told
        .and_then(|by| by.version.as_ref())
        .map_or(0, |stamp| stamp.number);
    let (life, dispatcher) = told.map_or((0, dispatcher), |by| (by.incarnation, by.dispatcher));
    OperationSource {
        dispatcher,
        incarnation: life,
        version,
    }
}

fn asked(state: &State) -> Resources {
    let asks = state.guests.values().map(|guest| Resources {
        cores: guest.shot.cores,
        memory: guest.shot.memory,
    });
    asks.sum()
}

/// Words that wait for a dispatcher.
const WORDS: usize = 256;

struct Service(Arc<Node>);

impl Clone for Service {
    fn clone(&self) -> Self {
        Service(Arc::clone(&self.0))
    }
}

/// The words on one offer or attendance.
pub struct Saying {
    said: Pin<Box<async_channel::Receiver<v1::AttemptEvent>>>,
    /// Of an offer: the node, and which it is.
    offer: Option<(Arc<Node>, String, u32)>,
}

impl Drop for Saying {
    /// A stream that goes before its node has closed it: the dispatcher has let go, or its link
    /// broke.
    fn drop(&mut self) {
        if let Some((node, placing, number)) = self.offer.take()
            && !self.said.is_closed()
        {
            node.world.capture.see(Seen::LetGo {
                node: node.config.id,
                placing,
                number,
            });
        }
    }
}

impl Stream for Saying {
    type Item = Result<v1::AttemptEvent, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.said.as_mut().poll_next(cx).map(|said| said.map(Ok))
    }
}

#[tonic::async_trait]
impl v1::node_server::Node for Service {
    type OfferStream = Saying;
    type AttendStream = Saying;

    async fn greet(&self, _: Request<v1::Greeting>) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(v1::Greeting {
            node: self.0.config.id,
            dispatcher: 0,
        }))
    }

    async fn offer(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<Saying>, Status> {
        let (words, said) = async_channel::bounded(WORDS);
        let (node, shot) = (Arc::clone(&self.0), request.into_inner());
        let offer = Some((Arc::clone(&node), shot.placement_id.clone(), shot.attempt));
        if let Some(life) = node.arrives(&shot) {
            node.world
                .tasks
                .clone()
                .spawn(node.consider(life, shot, words))
                .detach();
        }
        Ok(Response::new(Saying {
            said: Box::pin(said),
            offer,
        }))
    }

    async fn attend(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<Saying>, Status> {
        let shot = request.into_inner();
        self.0.acts().record(
            by(shot.decider.as_ref(), shot.dispatcher),
            OperationKind::Attend,
        );
        let (words, said) = async_channel::bounded(WORDS);
        let mut state = self.0.lock();
        match state.guests.get_mut(&shot.placement_id) {
            Some(guest) => {
                guest.words = words.clone();
                let (runs, ready, shot) = (guest.runs, guest.ready, guest.shot.clone());
                if runs {
                    let version = shot.version.clone();
                    self.0.say(
                        &mut state,
                        &shot,
                        &words,
                        Event::Running(v1::Started { version }),
                    );
                }
                if ready {
                    self.0.say(&mut state, &shot, &words, Event::Ready(true));
                }
            }
            None => {
                let turned = v1::AttemptRejected {
                    reason: Rejection::NotPresent.into(),
                    minimum_version: None,
                };
                let _ = words.try_send(v1::AttemptEvent {
                    event: Some(Event::Rejected(turned)),
                    load_report: None,
                });
                words.close();
            }
        }
        Ok(Response::new(Saying {
            said: Box::pin(said),
            offer: None,
        }))
    }

    async fn keep(
        &self,
        request: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        use corkspan_api::v1::quorum_request::Operation;
        let kept = |roll: &corkspan_rollout::Rollout, slots| v1::QuorumEntry {
            rollout: Some(corkspan_dispatcher::rollout_control::rollout_message(roll)),
            slots,
        };
        let mut keeper = self
            .0
            .keeper
            .lock()
            .expect("no one panics while it is held");
        let mut word = v1::QuorumResponse::default();
        match request.into_inner().operation {
            Some(Operation::Propose(roll)) => {
                let roll = corkspan_dispatcher::rollout_control::rollout_from_message(&roll);
                let roll = roll.ok_or_else(|| Status::invalid_argument("no roll"))?;
                word.entries
                    .extend(keeper.propose(roll).map(|roll| kept(roll, Vec::new())));
            }
            Some(Operation::Claim(claim)) => {
                let dispatcher = claim.slot.as_ref().map_or(u32::MAX, |slot| slot.dispatcher);
                self.0
                    .acts()
                    .record(by(claim.decider.as_ref(), dispatcher), OperationKind::Claim);
                let slot = claim
                    .slot
                    .ok_or_else(|| Status::invalid_argument("no slot"))?;
                let own = corkspan_rollout::ClaimId(slot.claim);
                let grant = Grant {
                    claim: own,
                    task: slot.task,
                    dispatcher: slot.dispatcher,
                };
                let claimed = keeper.claim(&claim.service, claim.revision, slot.slot, grant);
                word.granted = claimed == ClaimOutcome::Granted;
            }
            Some(Operation::Release(release)) => {
                keeper.release(&release.service, corkspan_rollout::ClaimId(release.claim));
            }
            Some(Operation::MinimumVersion(floor)) => {
                let mut floors = self
                    .0
                    .floors
                    .lock()
                    .expect("no one panics while it is held");
                word.minimum_version = floors
                    .propose(minimum_version::minimum_version_from_message(&floor))
                    .copied()
                    .map(minimum_version::minimum_version_message);
            }
            Some(Operation::Maintenance(work)) => {
                let wish = maintenance_messages::proposal_from_message(&work)
                    .ok_or_else(|| Status::invalid_argument("four limits"))?;
                let mut board = self.0.board.lock().expect("no one panics while it is held");
                board.propose(wish);
                word.leases = Some(maintenance_messages::lease_table_message(&board, u32::MAX));
            }
            Some(Operation::MaintenanceClaim(claim)) => {
                let mut board = self.0.board.lock().expect("no one panics while it is held");
                word.granted = maintenance_messages::apply_claim(&mut board, &claim);
            }
            Some(Operation::MaintenanceStep(step)) => {
                maintenance_messages::apply_step(
                    &mut self.0.board.lock().expect("no one panics while it is held"),
                    &step,
                );
            }
            Some(Operation::CostEstimates(bids)) => {
                let costs = bids
                    .costs
                    .iter()
                    .map(|(node, cost)| (Machine(*node), *cost));
                let mut board = self.0.board.lock().expect("no one panics while it is held");
                board.record_cost_estimates(bids.dispatcher, costs);
            }
            Some(Operation::StoreVersion(push)) => {
                let push = config_stream::push_from_message(push)
                    .ok_or_else(|| Status::invalid_argument("no version"))?;
                let mut shelf = self.0.shelf.lock().expect("no one panics while it is held");
                shelf.store(
                    push.version,
                    push.changes,
                    push.allows_cuts,
                    &push.predecessors,
                );
                word.stored_version = shelf.newest().map(config_stream::version_id_message);
            }
            Some(Operation::FetchVersion(ask)) => {
                let theirs = ask
                    .active
                    .as_ref()
                    .and_then(config_stream::version_id_from_message);
                let theirs = theirs.ok_or_else(|| Status::invalid_argument("no stamp"))?;
                let shelf = self.0.shelf.lock().expect("no one panics while it is held");
                word.fetched_version = shelf.push_for(theirs).map(config_stream::push_message);
            }
            Some(Operation::Query(tell)) => {
                let floors = self
                    .0
                    .floors
                    .lock()
                    .expect("no one panics while it is held");
                word.minimum_version = floors
                    .entries()
                    .next()
                    .map(|kept| minimum_version::minimum_version_message(kept.proposal));
                let mut rows = self.0.rows.lock().expect("no one panics while it is held");
                if let Some(v1::ActiveVersion {
                    dispatcher,
                    version: Some(stamp),
                    on_trial,
                }) = tell.active_version
                {
                    rows.report(
                        dispatcher,
                        ReportedVersion {
                            version: stamp.number,
                            on_trial,
                        },
                    );
                }
                word.adopted_version = (tell.required_thousandths > 0)
                    .then(|| rows.adopted(tell.fleet_size as usize, tell.required_thousandths))
                    .flatten();
                let shelf = self.0.shelf.lock().expect("no one panics while it is held");
                word.stored_version = shelf.newest().map(config_stream::version_id_message);
                if tell.include_leases {
                    let board = self.0.board.lock().expect("no one panics while it is held");
                    word.leases = Some(maintenance_messages::lease_table_message(
                        &board,
                        tell.fleet_size,
                    ));
                }
                if tell.minimum_version_only {
                    return Ok(Response::new(word));
                }
                for own in keeper.entries() {
                    let slots = own.slots.iter().map(|(slot, grant)| v1::Slot {
                        slot: *slot,
                        claim: grant.claim.0,
                        task: grant.task.clone(),
                        dispatcher: grant.dispatcher,
                    });
                    word.entries.push(kept(&own.proposal, slots.collect()));
                }
            }
            None => return Err(Status::invalid_argument("nothing is asked")),
        }
        Ok(Response::new(word))
    }

    async fn door(
        &self,
        request: Request<v1::CordonRequest>,
    ) -> Result<Response<v1::CordonResponse>, Status> {
        let ask = request.into_inner();
        let claim = ClaimId(ask.claim);
        let mut state = self.0.lock();
        let mut door = self.0.door();
        let before = door.0.active();
        match ask.action() {
            v1::cordon_request::CordonAction::Get => {}
            v1::cordon_request::CordonAction::Cordon => drop(door.0.cordon(claim)),
            v1::cordon_request::CordonAction::Uncordon => door.0.uncordon(claim),
            v1::cordon_request::CordonAction::Stop if before == Some(claim) => {
                let guests: Vec<String> = state.guests.keys().cloned().collect();
                guests.iter().for_each(|name| {
                    self.0
                        .end(&mut state, name, v1::attempt_ended::AttemptOutcome::Drained)
                });
            }
            v1::cordon_request::CordonAction::Stop => {}
        }
        let closed = door.0.active();
        if before != closed {
            door.1 = Instant::now();
            self.0.world.capture.see(Seen::Door {
                node: self.0.config.id,
                closed: closed.is_some(),
            });
        }
        // One that waits to be looked at may still be taken.
        let runs = (state.guests.len() + state.waiting) as u32;
        let since_ms = door.1.elapsed().as_millis() as u64;
        let (closed, over) = (closed.map_or(0, |claim| claim.0), door.0.is_finished(claim));
        Ok(Response::new(v1::CordonResponse {
            cordoned_for: closed,
            claim_ended: over,
            running: runs,
            since_ms,
        }))
    }

    async fn acts(
        &self,
        _: Request<v1::OperationsRequest>,
    ) -> Result<Response<v1::OperationsResponse>, Status> {
        let (acts, floor) = (self.0.acts().clone(), self.0.fence().minimum());
        let rows = acts.rows().map(
            |OperationRow {
                 source: by,
                 kind,
                 count: many,
             }| v1::OperationRecord {
                dispatcher: by.dispatcher,
                incarnation: by.incarnation,
                version: by.version,
                kind: match kind {
                    OperationKind::Attempt => v1::operation_record::Kind::Attempt,
                    OperationKind::Attend => v1::operation_record::Kind::Attend,
                    OperationKind::Stop => v1::operation_record::Kind::Stop,
                    OperationKind::Migrate => v1::operation_record::Kind::Migrate,
                    OperationKind::Claim => v1::operation_record::Kind::Claim,
                }
                .into(),
                count: many.seen,
                fenced: many.rejected,
            },
        );
        Ok(Response::new(v1::OperationsResponse {
            node: self.0.config.id,
            operations: rows.collect(),
            omitted: acts.uncounted(),
            minimum_version: floor.map(minimum_version::minimum_version_message),
        }))
    }

    async fn stop(
        &self,
        request: Request<v1::StopRequest>,
    ) -> Result<Response<v1::StopResponse>, Status> {
        let ask = request.into_inner();
        // Whoever acts is told by the stop alone: an older dispatcher tells none.
        let kind = if ask.migrated {
            OperationKind::Migrate
        } else {
            OperationKind::Stop
        };
        self.0
            .acts()
            .record(by(ask.decider.as_ref(), u32::MAX), kind);
        let mut state = self.0.lock();
        let was_here = state.guests.contains_key(&ask.placement_id);
        let how = if ask.migrated {
            v1::attempt_ended::AttemptOutcome::Migrated
        } else {
            v1::attempt_ended::AttemptOutcome::Stopped
        };
        self.0.end(&mut state, &ask.placement_id, how);
        if ask.placement_id.is_empty() && !ask.except_placement_id.is_empty() {
            let others = state.guests.iter().filter(|(name, own)| {
                own.shot.task == ask.task && **name != ask.except_placement_id
            });
            let others: Vec<String> = others.map(|(name, _)| name.clone()).collect();
            others
                .iter()
                .for_each(|name| self.0.end(&mut state, name, how));
        }
        Ok(Response::new(v1::StopResponse {
            was_present: was_here,
        }))
    }

    async fn probe(
        &self,
        _: Request<v1::HealthCheckRequest>,
    ) -> Result<Response<v1::HealthCheckResponse>, Status> {
        self.0.world.capture.see(Seen::Probed {
            node: self.0.config.id,
        });
        let life = self.0.lock().life;
        {
            let _turn = self.0.look.lock().await;
            Timer::after(self.0.config.review_time / 8).await;
        }
        if !self.0.gate(life).await {
            return Err(Status::unavailable("gone"));
        }
        let load = self.0.load(&mut self.0.lock());
        Ok(Response::new(v1::HealthCheckResponse {
            load_report: Some(load),
        }))
    }
}
