//! Real dispatchers, each a process, before stand-ins that run on a thread a role, with every link
//! counted.

use super::full_node::FullNode;
use super::kernel::{self, CpuTime};
use super::meter::{self, Meter};
use crate::capture::Capture;
use crate::control_service::{ControlService, ControlServiceGuard};
use crate::discovery::Discovery;
use crate::measure::{self, InstantNode, Process};
use crate::node::{Node, NodeConfig, SharedContext, SlowStart};
use async_io::Timer;
use async_net::TcpListener;
use corkspan_api::v1::{
    self, connection_traffic::Kind, node_server::NodeServer, placement_client::PlacementClient,
};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor, within};
use corkspan_scheduler::interface::Resources;
use futures_lite::future;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The nodes that hold wishes and floors, stand-ins that can; all others take everything at once.
const QUORUM_MEMBERS: u32 = 3;
const PATIENCE: Duration = Duration::from_secs(90);
/// Of a second: so many at a time, not all machines in one message.
const SLICES: u32 = 10;
/// A thread of stand-ins that is busier than this part of the time may be what is measured.
const BUSY: f64 = 0.7;
/// A dispatcher that waits for a processor longer than this part of the time is not measured as it
/// would run.
const WAITS: f64 = 0.25;
const STOLEN: f64 = 0.1;
const CLOSES: Duration = Duration::from_millis(500);
/// After a refusal, before its owner asks anew.
const AGAIN_AFTER: Duration = Duration::from_millis(500);
/// Dispatchers whose own counts are asked for at both ends of a watch.
const ASKED: usize = 20;
/// Their counts and the relays' may differ by this part, and by what is on its way at the two
/// moments.
const APART: f64 = 0.02;
const UNDER_WAY: f64 = 16_000.0;
const KINDS: [(Peer, Kind); 4] = [
    (Peer::Roster, Kind::Roster),
    (Peer::Control, Kind::Control),
    (Peer::Keepers, Kind::Keepers),
    (Peer::Nodes, Kind::Nodes),
];

/// The other end of a dispatcher's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    Roster,
    Control,
    Keepers,
    Nodes,
    Owners,
}

/// A thread that carries stand-ins of one role.
struct Thread {
    tasks: SharedExecutor,
    id: i32,
    ends: async_channel::Sender<()>,
}

impl Thread {
    fn start() -> Result<Thread, String> {
        let tasks = SharedExecutor::default();
        let (tell, told) = std::sync::mpsc::channel();
        let (ends, ended) = async_channel::bounded::<()>(1);
        let own = Arc::clone(&tasks);
        std::thread::spawn(move || {
            let _ = tell.send(kernel::this_thread());
            let _ = future::block_on(own.run(ended.recv()));
        });
        let id = told.recv().map_err(|why| why.to_string())??;
        Ok(Thread { tasks, id, ends })
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.ends.close();
    }
}

/// What machines have room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeCapacity {
    Plenty,
    /// The roster tells that as much is asked for as nodes accept.
    NoneByAsks,
    /// Nodes tell that all is in use, and refuse.
    NoneByUse,
}

/// What the dispatchers of a stage are.
#[derive(Clone, Copy, Debug)]
pub struct EnvironmentConfig {
    pub machines: u32,
    pub dispatchers: usize,
    /// As their files tell; more than stand here where one is measured of many.
    pub schedulers: usize,
    pub room: FreeCapacity,
    pub seed: u64,
}

pub struct Environment {
    pub setting: EnvironmentConfig,
    pub tasks: SharedExecutor,
    threads: BTreeMap<Peer, Thread>,
    relays: Thread,
    discovery: Arc<Discovery>,
    entries: Vec<v1::Endpoint>,
    control: ControlService,
    _up: ControlServiceGuard,
    meters: BTreeMap<Peer, Arc<Meter>>,
    owners: Vec<SocketAddr>,
    dispatchers: Vec<Process>,
    /// Goes last: the dispatchers' files.
    _folder: tempfile::TempDir,
    texts: SharedParts,
}

/// Words of tasks that are asked for; dropped, the tasks are no longer wanted.
pub type PlacementStreams = Vec<tonic::Streaming<v1::PlacementEvent>>;

/// An ask of half a core.
pub fn placement_request(task: &str, life_ms: u64, abandon_ms: u64) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id: task.into(),
        task: task.into(),
        service: format!("s{}", task.len() % 7),
        service_class: "web".into(),
        tenant: String::new(),
        cores: 0.5,
        memory: 1.0,
        expected_duration_ms: life_ms,
        deadline_ms: abandon_ms,
        retry: false,
    }
}

fn text(why: std::io::Error) -> String {
    why.to_string()
}

fn keeper(id: u32, seed: u64) -> NodeConfig {
    NodeConfig {
        id,
        machine_type: "wide".into(),
        zone: "hall".into(),
        cell: u64::from(id / 4),
        capacity: Resources {
            cores: 64.0,
            memory: 256.0,
        },
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.5,
        },
        review_time: Duration::from_millis(1),
        max_queued: 24,
        start_time: Duration::from_millis(15),
        load_factor: 8,
        max_concurrent_starts: 4,
        max_cached_programs: 6,
        preempts: false,
        slow_start: SlowStart {
            duration: Duration::from_secs(5),
            window: Duration::from_secs(1),
            max_offers: 16,
            initial_rate: 0.25,
        },
        seed,
    }
}

impl Environment {
    pub async fn start(
        tasks: &SharedExecutor,
        program: &[OsString],
        setting: EnvironmentConfig,
    ) -> Result<Environment, String> {
        let mut threads = BTreeMap::new();
        for end in [Peer::Roster, Peer::Control, Peer::Keepers, Peer::Nodes] {
            threads.insert(end, Thread::start()?);
        }
        let relays = Thread::start()?;
        let context = |end| {
            let capture = Capture::new(None).map_err(text)?;
            Ok::<_, String>(SharedContext::new(capture, &threads[&end].tasks, None))
        };
        let (discovery, discovery_address) = Discovery::start(&context(Peer::Roster)?)
            .await
            .map_err(text)?;
        let (control, up) = ControlService::start(&context(Peer::Control)?)
            .await
            .map_err(text)?;
        let nodes = TcpListener::bind("127.0.0.1:0").await.map_err(text)?;
        let nodes_address = nodes.local_addr().map_err(text)?;
        let tasks_there = &threads[&Peer::Nodes].tasks;
        if setting.room == FreeCapacity::NoneByUse {
            let served = corkspan_rpc::serve(
                nodes,
                NodeServer::new(FullNode),
                ConnectionLimits::default(),
            );
            tasks_there
                .spawn(async move { drop(served.await) })
                .detach();
        } else {
            let served = corkspan_rpc::serve(
                nodes,
                NodeServer::new(InstantNode),
                ConnectionLimits::default(),
            );
            tasks_there
                .spawn(async move { drop(served.await) })
                .detach();
        }
        let mut meters = BTreeMap::new();
        let mut metered = async |end: Peer, to: SocketAddr| {
            let (address, meter) = meter::relay(&relays.tasks, to).await.map_err(text)?;
            meters.insert(end, meter);
            Ok::<_, String>(address)
        };
        let discovery_there = metered(Peer::Roster, discovery_address).await?;
        let control_there = metered(Peer::Control, control.address).await?;
        let nodes_there = metered(Peer::Nodes, nodes_address).await?;
        // Keepers have a relay each, and one meter.
        let keepers_world = context(Peer::Keepers)?;
        let keepers_meter = Arc::new(Meter::default());
        let mut entries = Vec::new();
        for id in 0..setting.machines {
            let address = match id < QUORUM_MEMBERS {
                true => {
                    let node = Node::new(keeper(id, setting.seed), &keepers_world);
                    let at = node.start_process(false).await.map_err(text)?;
                    let to = (at, Arc::clone(&keepers_meter));
                    meter::relay_onto(&relays.tasks, to.0, to.1)
                        .await
                        .map_err(text)?
                }
                false => nodes_there,
            };
            // Full by asks: what nodes accept is twice the cores and one and a half times the
            // memory of a machine.
            let full = setting.room == FreeCapacity::NoneByAsks;
            let (cores, memory) = if full { (-64.0, -128.0) } else { (30.0, 30.0) };
            // Keepers' stand-ins would take some.
            let (cores, memory) = if setting.room == FreeCapacity::Plenty || id >= QUORUM_MEMBERS {
                (cores, memory)
            } else {
                (-64.0, -128.0)
            };
            let unasked = Some(v1::Resources { cores, memory });
            entries.push(v1::Endpoint {
                unreserved: unasked,
                ..measure::endpoint(id, address)
            });
        }
        meters.insert(Peer::Keepers, keepers_meter);
        entries
            .iter()
            .for_each(|entry| discovery.update(Duration::ZERO, entry.clone()));
        let folder = tempfile::tempdir().map_err(text)?;
        let (mut dispatchers, mut owners, mut texts) = (Vec::new(), Vec::new(), None);
        let owners_meter = Arc::new(Meter::default());
        for number in 0..setting.dispatchers {
            // A dispatcher writes beside its file, under the same name but for what stands after
            // the dot.
            let at = |name: &str| folder.path().join(format!("{number}-{name}"));
            let (versions, rolls, list): (PathBuf, PathBuf, PathBuf) =
                (at("versions.json"), at("rolls.redb"), at("list.json"));
            let more = format!(
                "(shows-room #t) (may-probe #t) (keepers 0 1 2) (rolls {rolls:?}) (remembered {list:?})
                 (control \"{control_there}\") (versions {versions:?}) (floor (every 2 s)) (seed {})",
                setting.seed
            );
            let file = measure::deployment(discovery_there, &more)
                .replace("(number 0)", &format!("(number {number})"))
                .replace(
                    "(schedulers 1)",
                    &format!("(schedulers {})", setting.schedulers),
                );
            texts = Some(SharedParts::parse("the first", &file).map_err(|why| why.to_string())?);
            let process = Process::start_in(program, &at("file.sexp"), &file)?;
            let there =
                meter::relay_onto(&relays.tasks, process.address, Arc::clone(&owners_meter)).await;
            owners.push(there.map_err(text)?);
            dispatchers.push(process);
        }
        meters.insert(Peer::Owners, owners_meter);
        let environment = Environment {
            setting,
            tasks: Arc::clone(tasks),
            threads,
            relays,
            discovery,
            entries,
            control,
            _up: up,
            meters,
            owners,
            dispatchers,
            _folder: folder,
            texts: texts.ok_or("no dispatcher is asked for")?,
        };
        environment.wait_until_ready().await?;
        Ok(environment)
    }

    /// All know all machines and have their stream of versions.
    async fn wait_until_ready(&self) -> Result<(), String> {
        let ready = async {
            for process in &self.dispatchers {
                let mut client =
                    PlacementClient::new(measure::connect(&self.tasks, process.address).await?);
                loop {
                    let word = client
                        .status(v1::StatusRequest {})
                        .await
                        .map_err(|why| why.to_string())?;
                    if word.get_ref().machines_serving >= u64::from(self.setting.machines) {
                        break;
                    }
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
            while self.control.opened() < self.dispatchers.len() {
                Timer::after(Duration::from_millis(20)).await;
            }
            Ok(())
        };
        within(PATIENCE, ready)
            .await
            .ok_or("the dispatchers don't hear of all machines")?
    }

    pub async fn status(&self) -> Result<v1::StatusResponse, String> {
        let mut client =
            PlacementClient::new(measure::connect(&self.tasks, self.dispatchers[0].address).await?);
        let word = client
            .status(v1::StatusRequest {})
            .await
            .map_err(|why| why.to_string())?;
        Ok(word.into_inner())
    }

    /// A link to the first dispatcher, as owners have it.
    pub async fn client(&self) -> Result<PlacementClient<Connection>, String> {
        Ok(PlacementClient::new(
            measure::connect(&self.tasks, self.owners[0]).await?,
        ))
    }

    /// So many asks that nobody ends; dropped, they are no longer wanted.
    pub async fn request_tasks(&self, many: usize) -> Result<PlacementStreams, String> {
        let client = self.client().await?;
        let mut held = Vec::new();
        for number in 0..many {
            let ask = placement_request(&format!("waits{number}"), 3_600_000, 600_000);
            held.push(
                client
                    .clone()
                    .place(ask)
                    .await
                    .map_err(|why| why.to_string())?
                    .into_inner(),
            );
        }
        Ok(held)
    }

    /// So many owners that each ask again a while after they were refused, until dropped.
    pub async fn request_repeatedly(
        &self,
        many: usize,
    ) -> Result<Vec<async_executor::Task<()>>, String> {
        let client = self.client().await?;
        let owner = |number: usize| {
            let mut client = client.clone();
            self.tasks.spawn(async move {
                for turn in 0u64.. {
                    let placed = client.place(placement_request(
                        &format!("returns{number}-{turn}"),
                        3_600_000,
                        600_000,
                    ));
                    if let Ok(words) = placed.await {
                        let mut words = words.into_inner();
                        while let Ok(Some(_)) = words.message().await {}
                    }
                    Timer::after(AGAIN_AFTER).await;
                }
            })
        };
        Ok((0..many).map(owner).collect())
    }

    /// Tells each machine's room every so often, a slice of the machines at a time, until dropped.
    pub fn report_capacity(&self, every: Duration) -> async_executor::Task<()> {
        let (discovery, entries) = (Arc::clone(&self.discovery), self.entries.clone());
        let mut rng = Pcg64Mcg::seed_from_u64(self.setting.seed);
        self.threads[&Peer::Roster].tasks.spawn(async move {
            let mut due = Instant::now();
            loop {
                for slice in 0..SLICES {
                    due += every / SLICES;
                    Timer::at(due).await;
                    for entry in entries.iter().filter(|entry| entry.node % SLICES == slice) {
                        let (cores, memory) =
                            (rng.random_range(1.0..60.0), rng.random_range(1.0..200.0));
                        let unasked = Some(v1::Resources { cores, memory });
                        discovery.update(
                            Duration::ZERO,
                            v1::Endpoint {
                                unreserved: unasked,
                                ..entry.clone()
                            },
                        );
                    }
                }
            }
        })
    }

    /// Tells each machine's room once, and how many lines that was.
    pub fn report_capacity_once(&self, cores: f64) -> u64 {
        for entry in &self.entries {
            let unasked = Some(v1::Resources {
                cores,
                memory: cores,
            });
            self.discovery.update(
                Duration::ZERO,
                v1::Endpoint {
                    unreserved: unasked,
                    ..entry.clone()
                },
            );
        }
        self.entries.len() as u64
    }

    /// Bytes so far, both ways, on links of all dispatchers that end there.
    pub fn bytes(&self, end: Peer) -> u64 {
        self.meters[&end].bytes()
    }

    /// What a step brings on those links, once no more comes.
    pub async fn bytes_caused_by(&self, end: Peer, step: impl FnOnce()) -> u64 {
        let before = self.bytes(end);
        step();
        let (mut last, mut still) = (before, 0);
        while still < 5 || last == before {
            Timer::after(Duration::from_millis(100)).await;
            let now = self.bytes(end);
            still = if now == last { still + 1 } else { 0 };
            last = now;
        }
        last - before
    }

    /// The next version, streamed to all: one that changes what nobody feels.
    pub fn publish(&self, which: u64) -> VersionId {
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + which);
        let changes = [("accounts".to_string(), accounts)];
        self.control.publish(
            self.texts.with_changes(&changes.into_iter().collect(), &[]),
            false,
        )
    }

    /// Until each has answered that it is in force.
    pub async fn wait_until_active(&self, stamp: VersionId) -> Result<(), String> {
        let many = self.dispatchers.len() as u32;
        let all = async {
            while !(0..many).all(|who| self.control.running(who) == Some(stamp)) {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        within(PATIENCE, all)
            .await
            .ok_or_else(|| format!("{stamp} is not in force everywhere in {PATIENCE:?}"))
    }

    /// What dispatchers counted themselves, all together; none where they are too many to ask
    /// beside a watch.
    async fn counted(&self) -> Result<Option<BTreeMap<Peer, [u64; 3]>>, String> {
        if self.dispatchers.len() > ASKED {
            return Ok(None);
        }
        let mut sums: BTreeMap<Peer, [u64; 3]> =
            KINDS.iter().map(|(end, _)| (*end, [0; 3])).collect();
        for process in &self.dispatchers {
            let mut client =
                PlacementClient::new(measure::connect(&self.tasks, process.address).await?);
            let word = client
                .status(v1::StatusRequest {})
                .await
                .map_err(|why| why.to_string())?
                .into_inner();
            for (end, kind) in KINDS {
                let own = crate::traffic::traffic_of(&word.connection_traffic, kind);
                let own = [
                    own.bytes_in + own.bytes_out,
                    own.messages_in,
                    own.messages_out,
                ];
                let sum = sums.entry(end).or_default();
                std::iter::zip(sum, own).for_each(|(sum, own)| *sum += own);
            }
        }
        Ok(Some(sums))
    }

    async fn look(&self) -> Result<Look, String> {
        let counted = self.counted().await?;
        let ran = self
            .dispatchers
            .iter()
            .map(|own| kernel::process(own.id()))
            .collect::<Result<_, _>>()?;
        let threads = self
            .threads
            .iter()
            .map(|(end, own)| Ok((*end, kernel::thread(own.id)?)));
        Ok(Look {
            counted,
            at: Instant::now(),
            dispatchers: ran,
            threads: threads.collect::<Result<_, String>>()?,
            relays: kernel::thread(self.relays.id)?,
            ticks: kernel::ticks()?,
            bytes: self
                .meters
                .iter()
                .map(|(end, meter)| (*end, meter.bytes()))
                .collect(),
        })
    }

    /// Watches for so long.
    pub async fn watch(&self, time: Duration) -> Result<Watched, String> {
        let before = self.look().await?;
        Timer::after(time).await;
        let after = self.look().await?;
        let mut kib = Vec::new();
        for process in &self.dispatchers {
            kib.push(process.resident()? as f64);
        }
        Ok(Watched::between(&before, &after, &kib))
    }

    /// Links that dispatchers ever opened, by their other end.
    pub fn opened(&self) -> BTreeMap<Peer, u64> {
        self.meters
            .iter()
            .map(|(end, meter)| (*end, meter.opened()))
            .collect()
    }
}

impl Drop for Environment {
    /// The dispatchers end first and the threads go on for a moment, so that relays and stand-ins
    /// see their links end and close them: hundreds of descriptors a place were left open.
    fn drop(&mut self) {
        self.dispatchers.clear();
        std::thread::sleep(CLOSES);
    }
}

struct Look {
    counted: Option<BTreeMap<Peer, [u64; 3]>>,
    at: Instant,
    dispatchers: Vec<CpuTime>,
    threads: BTreeMap<Peer, CpuTime>,
    relays: CpuTime,
    ticks: (u64, u64),
    bytes: BTreeMap<Peer, u64>,
}

/// What a while came to.
#[derive(Clone, Debug)]
pub struct Watched {
    pub seconds: f64,
    /// Bytes a second, both ways, by link's end, of all dispatchers together.
    pub bytes: BTreeMap<Peer, f64>,
    /// Percent of a core, of one dispatcher.
    pub core: f64,
    /// Percent of a core, of the stand-ins' threads.
    pub threads: BTreeMap<Peer, f64>,
    pub mib: f64,
    /// Bytes, messages in and messages out a second, as the dispatchers counted them themselves.
    pub counted: Option<BTreeMap<Peer, [f64; 3]>>,
    pub spoilt: Vec<String>,
}

impl Watched {
    fn between(before: &Look, after: &Look, kib: &[f64]) -> Watched {
        let seconds = (after.at - before.at).as_secs_f64();
        let percent = |ran: u64| ran as f64 / 1e7 / seconds;
        let many = before.dispatchers.len().max(1) as f64;
        let own = std::iter::zip(&after.dispatchers, &before.dispatchers).map(|(a, b)| a.since(*b));
        let own = own.fold(CpuTime::default(), |sum, own| CpuTime {
            ran: sum.ran + own.ran,
            waited: sum.waited + own.waited,
        });
        let threads: BTreeMap<Peer, f64> = (after.threads.iter())
            .map(|(end, ran)| (*end, percent(ran.since(before.threads[end]).ran)))
            .collect();
        let mut spoilt = Vec::new();
        let relays = percent(after.relays.since(before.relays).ran);
        for (name, busy) in threads
            .iter()
            .map(|(end, busy)| (format!("{end:?}"), *busy))
            .chain([("relays".into(), relays)])
        {
            if busy > BUSY * 100.0 {
                spoilt.push(format!(
                    "the thread of the stand-ins ({name}) was busy {busy:.0}% of the time"
                ));
            }
        }
        let waited = own.waited as f64 / 1e9 / seconds / many;
        if waited > WAITS {
            spoilt.push(format!(
                "a dispatcher waited for a processor {:.0}% of the time",
                waited * 100.0
            ));
        }
        let (all, stolen) = (
            after.ticks.0 - before.ticks.0,
            after.ticks.1 - before.ticks.1,
        );
        if stolen as f64 > STOLEN * all.max(1) as f64 {
            spoilt.push(format!(
                "{:.0}% of the machine was stolen",
                100.0 * stolen as f64 / all as f64
            ));
        }
        let bytes: BTreeMap<Peer, f64> = (after.bytes.iter())
            .map(|(end, bytes)| (*end, (bytes - before.bytes[end]) as f64 / seconds))
            .collect();
        let counted = after
            .counted
            .as_ref()
            .zip(before.counted.as_ref())
            .map(|(after, before)| {
                let rates = |end: &Peer| {
                    let (after, before) = (after[end], before[end]);
                    [0, 1, 2].map(|which| (after[which] - before[which]) as f64 / seconds)
                };
                after
                    .keys()
                    .map(|end| (*end, rates(end)))
                    .collect::<BTreeMap<Peer, [f64; 3]>>()
            });
        for (end, [own, ..]) in counted.iter().flatten() {
            if (own - bytes[end]).abs() > bytes[end] * APART + UNDER_WAY / seconds {
                let seen = bytes[end];
                spoilt.push(format!(
                    "{end:?}: dispatchers count {own:.0} bytes/s, relays {seen:.0}"
                ));
            }
        }
        Watched {
            seconds,
            bytes,
            counted,
            core: percent(own.ran) / many,
            threads,
            mib: kib.iter().sum::<f64>() / 1_024.0 / kib.len().max(1) as f64,
            spoilt,
        }
    }

    /// Of control, of one dispatcher: all but owners and what nodes are offered.
    pub fn control_bytes(&self, dispatchers: usize) -> f64 {
        let control = [Peer::Roster, Peer::Control, Peer::Keepers, Peer::Nodes];
        control.iter().map(|end| self.bytes[end]).sum::<f64>() / dispatchers.max(1) as f64
    }
}
