//! An environment of real dispatcher processes and stand-ins, with one thread for each role of the
//! stand-ins. Relays count the traffic of all connections.

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

/// Nodes that are quorum members. They are full stand-ins; all other nodes accept each attempt at
/// once.
const QUORUM_MEMBERS: u32 = 3;
const TIMEOUT: Duration = Duration::from_secs(90);
/// Slices of an interval over which capacity reports are spread, so that one message does not hold
/// all machines.
const REPORT_SLICES: u32 = 10;
/// The share of time above which a busy thread of stand-ins may be the bottleneck, so that a
/// measurement is invalid.
const MAX_THREAD_UTILIZATION: f64 = 0.7;
/// The share of time above which a dispatcher's wait for a processor makes a measurement invalid,
/// since the dispatcher is slower than on a machine with free processors.
const MAX_CPU_WAIT: f64 = 0.25;
/// The share of the machine's processor time that may be stolen by other virtual machines.
const MAX_STOLEN: f64 = 0.1;
/// The wait for relays and stand-ins to close their connections.
const CLOSE_TIME: Duration = Duration::from_millis(500);
/// The wait of a client between a rejected request and its next one.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);
/// The largest number of dispatchers whose own counts are queried at both ends of an observation.
const MAX_POLLED_DISPATCHERS: usize = 20;
/// The valid relative difference between the counts of dispatchers and relays, besides the bytes in
/// flight at the two readings.
const MAX_COUNT_DIFFERENCE: f64 = 0.02;
/// The valid difference between these counts for bytes in flight.
const MAX_BYTES_IN_FLIGHT: f64 = 16_000.0;
const PEER_KINDS: [(Peer, Kind); 4] = [
    (Peer::Discovery, Kind::Roster),
    (Peer::Control, Kind::Control),
    (Peer::QuorumMembers, Kind::Keepers),
    (Peer::Nodes, Kind::Nodes),
];

/// The other end of a dispatcher's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Peer {
    Discovery,
    Control,
    QuorumMembers,
    Nodes,
    Clients,
}

impl Peer {
    /// Returns the name in recorded results, which differs from the variant's name.
    pub(super) fn recorded_name(self) -> &'static str {
        match self {
            Peer::Discovery => "Roster",
            Peer::Control => "Control",
            Peer::QuorumMembers => "Keepers",
            Peer::Nodes => "Nodes",
            Peer::Clients => "Owners",
        }
    }
}

/// A thread that runs the stand-ins of one role.
struct StandInThread {
    tasks: SharedExecutor,
    id: i32,
    stop: async_channel::Sender<()>,
}

impl StandInThread {
    fn start() -> Result<StandInThread, String> {
        let tasks = SharedExecutor::default();
        let (sender, receiver) = std::sync::mpsc::channel();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let executor = Arc::clone(&tasks);
        std::thread::spawn(move || {
            let _ = sender.send(kernel::current_thread_id());
            let _ = future::block_on(executor.run(stopped.recv()));
        });
        let id = receiver.recv().map_err(|why| why.to_string())??;
        Ok(StandInThread { tasks, id, stop })
    }
}

impl Drop for StandInThread {
    fn drop(&mut self) {
        self.stop.close();
    }
}

/// The free capacity of the machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreeCapacity {
    Plenty,
    /// The endpoint list reports that reservations have reached the nodes' admission limits.
    NoneByReservations,
    /// Load reports show no available capacity, and nodes reject attempts.
    NoneByUsage,
}

/// The settings of an environment.
#[derive(Clone, Copy, Debug)]
pub struct EnvironmentConfig {
    pub machines: u32,
    pub dispatchers: usize,
    /// The number of dispatchers in the deployment files. It exceeds `dispatchers` where a few of a
    /// large fleet are measured.
    pub schedulers: usize,
    pub free_capacity: FreeCapacity,
    pub seed: u64,
}

/// Dispatchers, stand-ins and the relays between them.
pub struct Environment {
    pub config: EnvironmentConfig,
    pub tasks: SharedExecutor,
    threads: BTreeMap<Peer, StandInThread>,
    relays: StandInThread,
    discovery: Arc<Discovery>,
    endpoints: Vec<v1::Endpoint>,
    control: ControlService,
    _control_guard: ControlServiceGuard,
    meters: BTreeMap<Peer, Arc<Meter>>,
    client_addresses: Vec<SocketAddr>,
    dispatchers: Vec<Process>,
    /// The dispatchers' files; dropped after the dispatchers.
    _folder: tempfile::TempDir,
    shared_parts: SharedParts,
}

/// The event streams of requested tasks. Dropping them cancels the requests.
pub type PlacementStreams = Vec<tonic::Streaming<v1::PlacementEvent>>;

/// Returns a placement request for half a core.
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

fn to_text(why: std::io::Error) -> String {
    why.to_string()
}

fn quorum_member_config(id: u32, seed: u64) -> NodeConfig {
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
        uncached_start_factor: 8,
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
        config: EnvironmentConfig,
    ) -> Result<Environment, String> {
        let mut threads = BTreeMap::new();
        for peer in [
            Peer::Discovery,
            Peer::Control,
            Peer::QuorumMembers,
            Peer::Nodes,
        ] {
            threads.insert(peer, StandInThread::start()?);
        }
        let relays = StandInThread::start()?;
        let context = |peer| {
            let capture = Capture::new(None).map_err(to_text)?;
            Ok::<_, String>(SharedContext::new(capture, &threads[&peer].tasks, None))
        };
        let (discovery, discovery_address) = Discovery::start(&context(Peer::Discovery)?)
            .await
            .map_err(to_text)?;
        let (control, control_guard) = ControlService::start(&context(Peer::Control)?)
            .await
            .map_err(to_text)?;
        let nodes = TcpListener::bind("127.0.0.1:0").await.map_err(to_text)?;
        let nodes_address = nodes.local_addr().map_err(to_text)?;
        let node_tasks = &threads[&Peer::Nodes].tasks;
        if config.free_capacity == FreeCapacity::NoneByUsage {
            let served = corkspan_rpc::serve(
                nodes,
                NodeServer::new(FullNode),
                ConnectionLimits::default(),
            );
            node_tasks.spawn(async move { drop(served.await) }).detach();
        } else {
            let served = corkspan_rpc::serve(
                nodes,
                NodeServer::new(InstantNode),
                ConnectionLimits::default(),
            );
            node_tasks.spawn(async move { drop(served.await) }).detach();
        }
        let mut meters = BTreeMap::new();
        let mut metered = async |peer: Peer, to: SocketAddr| {
            let (address, meter) = meter::relay(&relays.tasks, to).await.map_err(to_text)?;
            meters.insert(peer, meter);
            Ok::<_, String>(address)
        };
        let discovery_relay = metered(Peer::Discovery, discovery_address).await?;
        let control_relay = metered(Peer::Control, control.address).await?;
        let nodes_relay = metered(Peer::Nodes, nodes_address).await?;
        // Each quorum member has a relay of its own; all share one meter.
        let quorum_context = context(Peer::QuorumMembers)?;
        let quorum_meter = Arc::new(Meter::default());
        let mut endpoints = Vec::new();
        for id in 0..config.machines {
            let address = match id < QUORUM_MEMBERS {
                true => {
                    let node = Node::new(quorum_member_config(id, config.seed), &quorum_context);
                    let at = node.start_process(false).await.map_err(to_text)?;
                    let to = (at, Arc::clone(&quorum_meter));
                    meter::relay_with_meter(&relays.tasks, to.0, to.1)
                        .await
                        .map_err(to_text)?
                }
                false => nodes_relay,
            };
            // Nodes admit twice the cores and 1.5 times the memory of a machine; these amounts
            // remain unreserved when reservations have reached that limit.
            let full = config.free_capacity == FreeCapacity::NoneByReservations;
            let (cores, memory) = if full { (-64.0, -128.0) } else { (30.0, 30.0) };
            // The quorum members' stand-ins would accept some attempts, so they are reported full.
            let (cores, memory) =
                if config.free_capacity == FreeCapacity::Plenty || id >= QUORUM_MEMBERS {
                    (cores, memory)
                } else {
                    (-64.0, -128.0)
                };
            let unreserved = Some(v1::Resources { cores, memory });
            endpoints.push(v1::Endpoint {
                unreserved,
                ..measure::endpoint(id, address)
            });
        }
        meters.insert(Peer::QuorumMembers, quorum_meter);
        endpoints
            .iter()
            .for_each(|endpoint| discovery.update(Duration::ZERO, endpoint.clone()));
        let folder = tempfile::tempdir().map_err(to_text)?;
        let (mut dispatchers, mut client_addresses, mut shared_parts) =
            (Vec::new(), Vec::new(), None);
        let clients_meter = Arc::new(Meter::default());
        for number in 0..config.dispatchers {
            // A dispatcher writes files beside its deployment file whose names differ in the
            // extension alone, so each deployment file has a name of its own.
            let at = |name: &str| folder.path().join(format!("{number}-{name}"));
            let (versions, rollouts, list): (PathBuf, PathBuf, PathBuf) =
                (at("versions.json"), at("rolls.redb"), at("list.json"));
            let extra_parts = format!(
                "(shows-room #t) (may-probe #t) (keepers 0 1 2) (rolls {rollouts:?}) (remembered {list:?})
                 (control \"{control_relay}\") (versions {versions:?}) (floor (every 2 s)) (seed {})",
                config.seed
            );
            let file = measure::deployment(discovery_relay, &extra_parts)
                .replace("(number 0)", &format!("(number {number})"))
                .replace(
                    "(schedulers 1)",
                    &format!("(schedulers {})", config.schedulers),
                );
            shared_parts =
                Some(SharedParts::parse("deployment", &file).map_err(|why| why.to_string())?);
            let process = Process::start_in(program, &at("file.sexp"), &file)?;
            let client_relay =
                meter::relay_with_meter(&relays.tasks, process.address, Arc::clone(&clients_meter))
                    .await;
            client_addresses.push(client_relay.map_err(to_text)?);
            dispatchers.push(process);
        }
        meters.insert(Peer::Clients, clients_meter);
        let environment = Environment {
            config,
            tasks: Arc::clone(tasks),
            threads,
            relays,
            discovery,
            endpoints,
            control,
            _control_guard: control_guard,
            meters,
            client_addresses,
            dispatchers,
            _folder: folder,
            shared_parts: shared_parts.ok_or("the environment has no dispatchers")?,
        };
        environment.wait_until_ready().await?;
        Ok(environment)
    }

    /// Waits until each dispatcher knows all machines and has opened its stream of versions.
    async fn wait_until_ready(&self) -> Result<(), String> {
        let ready = async {
            for process in &self.dispatchers {
                let mut client =
                    PlacementClient::new(measure::connect(&self.tasks, process.address).await?);
                loop {
                    let status = client
                        .status(v1::StatusRequest {})
                        .await
                        .map_err(|why| why.to_string())?;
                    if status.get_ref().machines_serving >= u64::from(self.config.machines) {
                        break;
                    }
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
            while self.control.streams_opened() < self.dispatchers.len() {
                Timer::after(Duration::from_millis(20)).await;
            }
            Ok(())
        };
        within(TIMEOUT, ready)
            .await
            .ok_or("the dispatchers did not learn of all machines in time")?
    }

    /// Returns the status of the first dispatcher.
    pub async fn status(&self) -> Result<v1::StatusResponse, String> {
        let mut client =
            PlacementClient::new(measure::connect(&self.tasks, self.dispatchers[0].address).await?);
        let status = client
            .status(v1::StatusRequest {})
            .await
            .map_err(|why| why.to_string())?;
        Ok(status.into_inner())
    }

    /// Connects to the first dispatcher in the way that clients do.
    pub async fn client(&self) -> Result<PlacementClient<Connection>, String> {
        Ok(PlacementClient::new(
            measure::connect(&self.tasks, self.client_addresses[0]).await?,
        ))
    }

    /// Requests `count` tasks that don't end. Dropping the result cancels the requests.
    pub async fn request_tasks(&self, count: usize) -> Result<PlacementStreams, String> {
        let client = self.client().await?;
        let mut streams = Vec::new();
        for number in 0..count {
            let request = placement_request(&format!("waits{number}"), 3_600_000, 600_000);
            streams.push(
                client
                    .clone()
                    .place(request)
                    .await
                    .map_err(|why| why.to_string())?
                    .into_inner(),
            );
        }
        Ok(streams)
    }

    /// Starts `count` clients. Each repeats its request some time after a rejection, until the
    /// result is dropped.
    pub async fn request_repeatedly(
        &self,
        count: usize,
    ) -> Result<Vec<async_executor::Task<()>>, String> {
        let client = self.client().await?;
        let repeat_request = |number: usize| {
            let mut client = client.clone();
            self.tasks.spawn(async move {
                for attempt in 0u64.. {
                    let placed = client.place(placement_request(
                        &format!("returns{number}-{attempt}"),
                        3_600_000,
                        600_000,
                    ));
                    if let Ok(events) = placed.await {
                        let mut events = events.into_inner();
                        while let Ok(Some(_)) = events.message().await {}
                    }
                    Timer::after(REQUEST_INTERVAL).await;
                }
            })
        };
        Ok((0..count).map(repeat_request).collect())
    }

    /// Reports each machine's capacity once in each interval, a slice of the machines at a time,
    /// until the result is dropped.
    pub fn report_capacity(&self, interval: Duration) -> async_executor::Task<()> {
        let (discovery, endpoints) = (Arc::clone(&self.discovery), self.endpoints.clone());
        let mut rng = Pcg64Mcg::seed_from_u64(self.config.seed);
        self.threads[&Peer::Discovery].tasks.spawn(async move {
            let mut due = Instant::now();
            loop {
                for slice in 0..REPORT_SLICES {
                    due += interval / REPORT_SLICES;
                    Timer::at(due).await;
                    for endpoint in endpoints
                        .iter()
                        .filter(|endpoint| endpoint.node % REPORT_SLICES == slice)
                    {
                        let (cores, memory) =
                            (rng.random_range(1.0..60.0), rng.random_range(1.0..200.0));
                        let unreserved = Some(v1::Resources { cores, memory });
                        discovery.update(
                            Duration::ZERO,
                            v1::Endpoint {
                                unreserved,
                                ..endpoint.clone()
                            },
                        );
                    }
                }
            }
        })
    }

    /// Reports each machine's capacity once and returns the number of endpoint lines.
    pub fn report_capacity_once(&self, cores: f64) -> u64 {
        for endpoint in &self.endpoints {
            let unreserved = Some(v1::Resources {
                cores,
                memory: cores,
            });
            self.discovery.update(
                Duration::ZERO,
                v1::Endpoint {
                    unreserved,
                    ..endpoint.clone()
                },
            );
        }
        self.endpoints.len() as u64
    }

    /// Returns the bytes so far, both ways, on the connections of all dispatchers to this peer.
    pub fn bytes(&self, peer: Peer) -> u64 {
        self.meters[&peer].bytes()
    }

    /// Returns the bytes that a step causes on the connections to this peer, after the traffic has
    /// stopped.
    pub async fn bytes_caused_by(&self, peer: Peer, step: impl FnOnce()) -> u64 {
        let before = self.bytes(peer);
        step();
        let (mut last, mut unchanged_readings) = (before, 0);
        while unchanged_readings < 5 || last == before {
            Timer::after(Duration::from_millis(100)).await;
            let now = self.bytes(peer);
            unchanged_readings = if now == last {
                unchanged_readings + 1
            } else {
                0
            };
            last = now;
        }
        last - before
    }

    /// Publishes the next version to all dispatchers. Its change has no effect on placement.
    pub fn publish(&self, number: u64) -> VersionId {
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + number);
        let changes = [("accounts".to_string(), accounts)];
        self.control.publish(
            self.shared_parts
                .with_changes(&changes.into_iter().collect(), &[]),
            false,
        )
    }

    /// Waits until each dispatcher has acknowledged the version as active.
    pub async fn wait_until_active(&self, version: VersionId) -> Result<(), String> {
        let dispatchers = self.dispatchers.len() as u32;
        let active_at_all = async {
            while !(0..dispatchers)
                .all(|dispatcher| self.control.active_version(dispatcher) == Some(version))
            {
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        within(TIMEOUT, active_at_all)
            .await
            .ok_or_else(|| format!("{version} is not active at all dispatchers after {TIMEOUT:?}"))
    }

    /// Returns the sums of the dispatchers' own counts, or none if there are too many dispatchers
    /// to query during an observation.
    async fn counted(&self) -> Result<Option<BTreeMap<Peer, [u64; 3]>>, String> {
        if self.dispatchers.len() > MAX_POLLED_DISPATCHERS {
            return Ok(None);
        }
        let mut sums: BTreeMap<Peer, [u64; 3]> =
            PEER_KINDS.iter().map(|(peer, _)| (*peer, [0; 3])).collect();
        for process in &self.dispatchers {
            let mut client =
                PlacementClient::new(measure::connect(&self.tasks, process.address).await?);
            let status = client
                .status(v1::StatusRequest {})
                .await
                .map_err(|why| why.to_string())?
                .into_inner();
            for (peer, kind) in PEER_KINDS {
                let counts = crate::traffic::traffic_of(&status.connection_traffic, kind);
                let counts = [
                    counts.bytes_in + counts.bytes_out,
                    counts.messages_in,
                    counts.messages_out,
                ];
                let sum = sums.entry(peer).or_default();
                std::iter::zip(sum, counts).for_each(|(sum, counts)| *sum += counts);
            }
        }
        Ok(Some(sums))
    }

    async fn read(&self) -> Result<Reading, String> {
        let counted = self.counted().await?;
        let cpu_times = self
            .dispatchers
            .iter()
            .map(|thread| kernel::process_cpu_time(thread.id()))
            .collect::<Result<_, _>>()?;
        let threads = self
            .threads
            .iter()
            .map(|(peer, thread)| Ok((*peer, kernel::thread_cpu_time(thread.id)?)));
        Ok(Reading {
            counted,
            at: Instant::now(),
            dispatchers: cpu_times,
            threads: threads.collect::<Result<_, String>>()?,
            relays: kernel::thread_cpu_time(self.relays.id)?,
            ticks: kernel::cpu_ticks()?,
            bytes: self
                .meters
                .iter()
                .map(|(peer, meter)| (*peer, meter.bytes()))
                .collect(),
        })
    }

    /// Observes the environment for this time.
    pub async fn observe(&self, time: Duration) -> Result<ObservedFigures, String> {
        let before = self.read().await?;
        Timer::after(time).await;
        let after = self.read().await?;
        let mut kib = Vec::new();
        for process in &self.dispatchers {
            kib.push(process.resident()? as f64);
        }
        Ok(ObservedFigures::between(&before, &after, &kib))
    }

    /// Returns the number of connections that dispatchers have opened so far, by peer.
    pub fn connections_opened(&self) -> BTreeMap<Peer, u64> {
        self.meters
            .iter()
            .map(|(peer, meter)| (*peer, meter.connections_opened()))
            .collect()
    }
}

impl Drop for Environment {
    /// Stops the dispatchers first and keeps the threads running for a moment, so that relays and
    /// stand-ins close their connections. Otherwise each measured point leaks hundreds of
    /// descriptors.
    fn drop(&mut self) {
        self.dispatchers.clear();
        std::thread::sleep(CLOSE_TIME);
    }
}

/// All counters at one moment.
struct Reading {
    counted: Option<BTreeMap<Peer, [u64; 3]>>,
    at: Instant,
    dispatchers: Vec<CpuTime>,
    threads: BTreeMap<Peer, CpuTime>,
    relays: CpuTime,
    ticks: (u64, u64),
    bytes: BTreeMap<Peer, u64>,
}

/// The figures of an observation.
#[derive(Clone, Debug)]
pub struct ObservedFigures {
    pub seconds: f64,
    /// Bytes a second, both ways, of all dispatchers together, by peer.
    pub bytes_per_second: BTreeMap<Peer, f64>,
    /// Processor use of one dispatcher, in percent of a core.
    pub core_percent: f64,
    /// Processor use of the stand-ins' threads, in percent of a core.
    pub thread_percent: BTreeMap<Peer, f64>,
    /// Resident memory of one dispatcher, in MiB.
    pub resident_mib: f64,
    /// Bytes, messages in and messages out a second, as the dispatchers counted them themselves.
    pub counted_per_second: Option<BTreeMap<Peer, [f64; 3]>>,
    /// The reasons why the figures are invalid, if any.
    pub invalid_reasons: Vec<String>,
}

impl ObservedFigures {
    fn between(before: &Reading, after: &Reading, kib: &[f64]) -> ObservedFigures {
        let seconds = (after.at - before.at).as_secs_f64();
        let percent = |ran: u64| ran as f64 / 1e7 / seconds;
        let dispatchers = before.dispatchers.len().max(1) as f64;
        let cpu_time =
            std::iter::zip(&after.dispatchers, &before.dispatchers).map(|(a, b)| a.since(*b));
        let cpu_time = cpu_time.fold(CpuTime::default(), |sum, cpu_time| CpuTime {
            ran_ns: sum.ran_ns + cpu_time.ran_ns,
            waited_ns: sum.waited_ns + cpu_time.waited_ns,
        });
        let thread_percent: BTreeMap<Peer, f64> = (after.threads.iter())
            .map(|(peer, ran)| (*peer, percent(ran.since(before.threads[peer]).ran_ns)))
            .collect();
        let mut invalid_reasons = Vec::new();
        let relays = percent(after.relays.since(before.relays).ran_ns);
        for (name, busy) in thread_percent
            .iter()
            .map(|(peer, busy)| (peer.recorded_name().to_string(), *busy))
            .chain([("relays".into(), relays)])
        {
            if busy > MAX_THREAD_UTILIZATION * 100.0 {
                invalid_reasons.push(format!(
                    "the thread of the stand-ins ({name}) was busy {busy:.0}% of the time"
                ));
            }
        }
        let waited = cpu_time.waited_ns as f64 / 1e9 / seconds / dispatchers;
        if waited > MAX_CPU_WAIT {
            invalid_reasons.push(format!(
                "a dispatcher waited for a processor {:.0}% of the time",
                waited * 100.0
            ));
        }
        let (total, stolen) = (
            after.ticks.0 - before.ticks.0,
            after.ticks.1 - before.ticks.1,
        );
        if stolen as f64 > MAX_STOLEN * total.max(1) as f64 {
            invalid_reasons.push(format!(
                "{:.0}% of the machine was stolen",
                100.0 * stolen as f64 / total as f64
            ));
        }
        let bytes_per_second: BTreeMap<Peer, f64> = (after.bytes.iter())
            .map(|(peer, bytes)| (*peer, (bytes - before.bytes[peer]) as f64 / seconds))
            .collect();
        let counted_per_second =
            after
                .counted
                .as_ref()
                .zip(before.counted.as_ref())
                .map(|(after, before)| {
                    let rates = |peer: &Peer| {
                        let (after, before) = (after[peer], before[peer]);
                        [0, 1, 2].map(|index| (after[index] - before[index]) as f64 / seconds)
                    };
                    after
                        .keys()
                        .map(|peer| (*peer, rates(peer)))
                        .collect::<BTreeMap<Peer, [f64; 3]>>()
                });
        for (peer, [counted_bytes, ..]) in counted_per_second.iter().flatten() {
            if (counted_bytes - bytes_per_second[peer]).abs()
                > bytes_per_second[peer] * MAX_COUNT_DIFFERENCE + MAX_BYTES_IN_FLIGHT / seconds
            {
                let relayed = bytes_per_second[peer];
                invalid_reasons.push(format!(
                    "{}: dispatchers count {counted_bytes:.0} bytes/s, relays {relayed:.0}",
                    peer.recorded_name()
                ));
            }
        }
        ObservedFigures {
            seconds,
            bytes_per_second,
            counted_per_second,
            core_percent: percent(cpu_time.ran_ns) / dispatchers,
            thread_percent,
            resident_mib: kib.iter().sum::<f64>() / 1_024.0 / kib.len().max(1) as f64,
            invalid_reasons,
        }
    }

    /// Returns the control traffic of one dispatcher, in bytes a second: that of all connections
    /// except those of clients. Attempts sent to nodes are not control traffic, but are included.
    pub fn control_bytes(&self, dispatchers: usize) -> f64 {
        let peers = [
            Peer::Discovery,
            Peer::Control,
            Peer::QuorumMembers,
            Peer::Nodes,
        ];
        peers
            .iter()
            .map(|peer| self.bytes_per_second[peer])
            .sum::<f64>()
            / dispatchers.max(1) as f64
    }
}
