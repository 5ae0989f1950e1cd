//! Plays a day: starts real dispatchers, each a process of its own, and the stand-ins around them,
//! and lets the script's troubles strike.

use crate::capture::{
    self, Capture, DispatcherState, NodeState, Observation, RetrySafety, RuleParameters,
};
use crate::client::{self, Frontend, Task};
use crate::control_service::{ControlService, ControlServiceGuard};
use crate::cost;
use crate::discovery::Discovery;
use crate::fault_proxies::FaultProxies;
use crate::node::{Node, NodeConfig, SharedContext, SlowStart};
use crate::process::{Process, Programs};
use crate::requirements::{Limits, Requirements};
use crate::saturation::SaturationMonitor;
use crate::scenario::{FaultKind, LinkPeer, NodeLocation, Scenario, ScheduledFault};
use async_io::Timer;
use corkspan_api::v1;
use corkspan_config::version::SharedParts;
use corkspan_rpc::{SharedExecutor, within};
use corkspan_scheduler::interface::Resources;
use futures_lite::future;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How a day is played.
pub struct ScenarioRun {
    pub scenario: Scenario,
    pub seed: u64,
    pub programs: Programs,
    /// Where the capture goes, if it is kept.
    pub capture: Option<PathBuf>,
    /// Changes what the dispatchers are told, for tests that must find a wrong one out.
    pub rewrite_deployment: fn(String) -> String,
    /// Where dispatchers write their logs; nowhere if none.
    pub logs: Option<PathBuf>,
}

const ZONES: [&str; 2] = ["hall-a", "hall-b"];
const SERVICE_CLASSES: [&str; 3] = ["web", "index", "ledger"];
/// The nodes that hold wishes and floors.
const QUORUM_MEMBERS: [u32; 3] = [100, 101, 102];
/// The service of the copies that run all day.
pub const REPLICATED_SERVICE: &str = "held";
const SPREAD: usize = 4;
const DEDUP_WINDOW: Duration = Duration::from_secs(6);
const SLOW_START: SlowStart = SlowStart {
    duration: Duration::from_secs(5),
    window: Duration::from_secs(1),
    max_offers: 16,
    initial_rate: 0.25,
};
/// What dispatchers are told that a cold node bears: less than pushes it over, for the way is
/// uneven.
const BEARS: usize = 12;

impl ScenarioRun {
    fn rules(&self, plans: &[NodeConfig]) -> RuleParameters {
        let service_class =
            |name: &str, retry_safety, contract_ms: u64, spread| capture::ServiceClass {
                name: name.into(),
                retry_safety,
                latency_objective_us: contract_ms * 1000,
                spread,
            };
        let window_us = DEDUP_WINDOW.as_micros() as u64;
        RuleParameters {
            seed: self.seed,
            service_classes: vec![
                service_class(SERVICE_CLASSES[0], RetrySafety::Idempotent, 600, None),
                service_class(
                    SERVICE_CLASSES[1],
                    RetrySafety::Deduplicated { window_us },
                    1500,
                    None,
                ),
                service_class(
                    SERVICE_CLASSES[2],
                    RetrySafety::NotRetryable,
                    1500,
                    Some(SPREAD),
                ),
            ],
            nodes: plans
                .iter()
                .map(|plan| capture::NodeSite {
                    node: plan.id,
                    zone: plan.zone.clone(),
                    cell: plan.cell,
                })
                .collect(),
            grace_us: 1_000_000,
            slow_start: capture::SlowStartLimits {
                lasts_us: SLOW_START.duration.as_micros() as u64,
                window_us: SLOW_START.window.as_micros() as u64,
                most: SLOW_START.max_offers,
            },
            slack_us: 250_000,
        }
    }

    fn deployment(
        &self,
        number: usize,
        discovery: SocketAddr,
        more: &str,
        folder: &Path,
    ) -> String {
        let Scenario { dispatchers, .. } = self.scenario;
        let zone = ZONES[number % ZONES.len()];
        let kept = folder.join(format!("list-{number}.json"));
        let rolls = folder.join(format!("rolls-{number}.redb"));
        // A hollow one has no disk.
        let disk = match self.scenario.is_hollow(number) {
            true => String::new(),
            false => format!("(remembered {kept:?}) (rolls {rolls:?})"),
        };
        let text = format!(
            r#"(deployment
  (listen "127.0.0.1:0") (roster "{discovery}") (seed {seed})
  (hall {zone}) (number {number}) (schedulers {dispatchers}) (halls hall-a hall-b)
  (kinds (compact (cores 24) (memory 40)) (wide (cores 40) (memory 60)))
  (tracks
    (web (repeat idempotent) (contract-time 600 ms))
    (index (repeat deduplicated) (within hall) (window 6 s) (contract-time 1500 ms) (priority 1))
    (ledger (repeat unrepeatable) (contract-time 1500 ms) (priority 2) (spread machine) (most {SPREAD})))
  (accepts (cores 2) (memory 1.5)) (makes-room #t) (placed-when accepted) (shows-room #t) (may-probe #t)
  (keepers 100 101 102) {disk} {more}
  (cold (lasts 6 s) (window 1 s) (offers {BEARS})) (other-hall-price 0.03))
"#,
            seed = self.seed,
        );
        (self.rewrite_deployment)(text)
    }

    fn plans(&self, rng: &mut Pcg64Mcg) -> Vec<NodeConfig> {
        let plan = |id: usize| {
            let wide = id % 2 == 1;
            let (cores, memory) = if wide { (40.0, 60.0) } else { (24.0, 40.0) };
            let NodeLocation { cell, zone } = self.scenario.location(id);
            NodeConfig {
                id: 100 + id as u32,
                machine_type: if wide { "wide" } else { "compact" }.into(),
                zone: ZONES[zone].into(),
                cell,
                capacity: Resources { cores, memory },
                admission_limit: Resources {
                    cores: 2.0,
                    memory: 1.5,
                },
                review_time: Duration::from_micros(rng.random_range(4_000..12_000)),
                max_queued: 24,
                start_time: Duration::from_millis(rng.random_range(15..40)),
                load_factor: 8,
                max_concurrent_starts: 4,
                max_cached_programs: 6,
                preempts: true,
                slow_start: SLOW_START,
                seed: rng.random(),
            }
        };
        (0..self.scenario.nodes).map(plan).collect()
    }

    /// Plays the day to its end and returns what was seen.
    pub fn run(self) -> Result<Vec<capture::Line>, String> {
        let tasks = SharedExecutor::default();
        future::block_on(tasks.clone().run(self.play(tasks)))
    }

    async fn play(self, tasks: SharedExecutor) -> Result<Vec<capture::Line>, String> {
        let mut testbed = self.start(&tasks).await?;
        let Testbed {
            discovery,
            nodes,
            frontend,
            start,
            ..
        } = &testbed;
        let (frontend, until) = (Arc::clone(frontend), *start + self.scenario.length);
        let room = tasks.spawn(report_capacity(
            Arc::clone(discovery),
            nodes.clone(),
            self.scenario.clone(),
        ));
        let versions = self.scenario.version_interval.map(|every| {
            let text = self.deployment(0, discovery.address, "", testbed.folder.path());
            let texts = SharedParts::parse("day", &text).map_err(|why| why.to_string());
            texts.map(|texts| tasks.spawn(push_versions(testbed.control.clone(), texts, every)))
        });
        let versions = versions.transpose()?;
        let (saturation, before) = (
            SaturationMonitor::start(&tasks, testbed.hollow_process_ids())
                .map_err(|why| why.to_string())?,
            testbed.read_costs().await?,
        );
        let owners = testbed.run_until(until).await?;
        let after = testbed.read_costs().await?;
        frontend
            .context
            .capture
            .record(saturation.end().map_err(|why| why.to_string())?);
        frontend
            .context
            .capture
            .record(Observation::Cost(Box::new(cost::between(&before, &after))));
        // Whoever still waits or runs has so long to come to an end.
        let rest = async {
            for owner in owners {
                owner.await;
            }
        };
        let ended = within(Duration::from_secs(40), rest).await;
        drop((room, versions));
        if let Some(worker) = testbed.worker.take() {
            let worked = within(WORKED_WITHIN, worker).await;
            worked.ok_or("the work on machines does not come to its end")??;
        }
        if self.scenario.audit {
            testbed.audit(&self.programs.real).await?;
        }
        for process in &mut testbed.fleet {
            process.stop(&frontend).await?;
        }
        ended.ok_or("owners are still waiting long after the day's end")?;
        Ok(frontend.context.capture.lines())
    }

    /// All stand-ins and dispatchers, which have heard of all nodes.
    pub(crate) async fn start(&self, tasks: &SharedExecutor) -> Result<Testbed, String> {
        let text = |why: std::io::Error| why.to_string();
        Requirements::for_scenario(&self.scenario).check(&Limits::of_this_machine()?)?;
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let folder = tempfile::tempdir().map_err(text)?;
        let capture = Capture::new(self.capture.as_deref()).map_err(text)?;
        let plans = self.plans(&mut rng);
        capture.record(Observation::Rules(self.rules(&plans)));
        let context = SharedContext::new(capture, tasks, Some(SERVICE_CLASSES[1].into()));
        let (discovery, discovery_address) = Discovery::start(&context).await.map_err(text)?;
        let nodes: Vec<Arc<Node>> = plans
            .into_iter()
            .map(|plan| Node::new(plan, &context))
            .collect();
        for node in &nodes {
            let address = node.start_process(false).await.map_err(text)?;
            discovery.update(Duration::ZERO, entry(node, address, 0));
        }
        let (control, control_up) = ControlService::start(&context).await.map_err(text)?;
        let proxies = match self.scenario.needs_fault_proxies() {
            true => {
                let service = self.scenario.version_interval.map(|_| control.address);
                let all = self.scenario.affects(LinkPeer::Nodes);
                let struck = nodes
                    .iter()
                    .filter(|node| all || QUORUM_MEMBERS.contains(&node.config.id));
                let listed: Vec<(u32, SocketAddr)> = struck
                    .filter_map(|node| {
                        let entry = discovery.endpoint(node.config.id)?;
                        Some((entry.node, entry.address.parse().ok()?))
                    })
                    .collect();
                let many = self.scenario.dispatchers;
                Some(
                    FaultProxies::start(tasks, many, &discovery, service, &listed, &QUORUM_MEMBERS)
                        .await
                        .map_err(text)?,
                )
            }
            false => None,
        };
        let frontend = Frontend::new(&context, &nodes, self.scenario.dispatchers);
        let mut files = Vec::new();
        for number in 0..self.scenario.dispatchers {
            let file = folder.path().join(format!("dispatcher-{number}.sexp"));
            let wired = |end| {
                proxies
                    .as_ref()
                    .and_then(|proxies| proxies.address(number, end))
            };
            let discovery = wired(LinkPeer::Roster).unwrap_or(discovery_address);
            let more = self.scenario.version_interval.map(|_| {
                let (kept, control) = (
                    folder.path().join(format!("versions-{number}.json")),
                    wired(LinkPeer::Control).unwrap_or(control.address),
                );
                let peers = proxies
                    .iter()
                    .flat_map(|proxies| proxies.addresses(number, LinkPeer::Dispatchers));
                let peers: String = peers.map(|peer| format!(" \"{peer}\"")).collect();
                let peers = if peers.is_empty() {
                    peers
                } else {
                    format!("(peers{peers})")
                };
                let versions = match self.scenario.is_hollow(number) {
                    true => String::new(),
                    false => format!("(versions {kept:?})"),
                };
                format!("(control \"{control}\") {versions} (floor (every 1 s) {peers})")
            });
            let mut more = more.unwrap_or_default();
            if self.scenario.maintenance.is_some() {
                more.push_str(" (maintenance (every 500 ms))");
            }
            let file_text = self.deployment(number, discovery, &more, folder.path());
            std::fs::write(&file, file_text).map_err(text)?;
            files.push(file);
        }
        let mut fleet = Vec::new();
        for numbers in self.scenario.processes() {
            let hollow = self.scenario.is_hollow(numbers.start);
            let log = self
                .logs
                .as_ref()
                .map(|logs| logs.join(format!("dispatcher-{}.log", numbers.start)));
            let program = if hollow {
                &self.programs.hollow
            } else {
                &self.programs.real
            };
            let files = files[numbers.clone()].to_vec();
            let (program, log) = (program.clone(), log.filter(|_| !hollow));
            let fills_disk = self.scenario.fills_disks();
            let mut process = Process {
                numbers,
                hollow,
                files,
                program,
                log,
                fills_disk,
                child: None,
            };
            process.start(&frontend, proxies.as_ref()).await?;
            fleet.push(process);
        }
        // The day begins when dispatchers have had a moment to hear of the nodes.
        let heard = async {
            for number in 0..self.scenario.dispatchers {
                while frontend.serving(number).await < nodes.len() as u64 {
                    Timer::after(Duration::from_millis(10)).await;
                }
            }
        };
        within(Duration::from_secs(30), heard)
            .await
            .ok_or("the dispatchers don't hear of the nodes")?;
        let (scenario, start) = (self.scenario.clone(), Instant::now());
        let up = control_up;
        Ok(Testbed {
            scenario,
            frontend,
            nodes,
            discovery,
            fleet,
            rng,
            start,
            proxies,
            worker: None,
            folder,
            control,
            _up: up,
        })
    }
}

impl Frontend {
    async fn serving(&self, dispatcher: usize) -> u64 {
        let Some(mut client) = self.placement_client(dispatcher).await else {
            return 0;
        };
        client
            .status(v1::StatusRequest {})
            .await
            .map_or(0, |word| word.into_inner().machines_serving)
    }
}

fn entry(node: &Node, address: SocketAddr, started_ms: u64) -> v1::Endpoint {
    let unasked = node.unrequested();
    v1::Endpoint {
        node: node.config.id,
        address: address.to_string(),
        machine_type: node.config.machine_type.clone(),
        zone: node.config.zone.clone(),
        cell: node.config.cell,
        state: v1::endpoint::State::Serving.into(),
        started_ms,
        unreserved: Some(v1::Resources {
            cores: unasked.cores,
            memory: unasked.memory,
        }),
    }
}

/// The worker: asks one dispatcher after the other which machines are his, restarts each, and says
/// that it is done.
async fn works(
    frontend: Arc<Frontend>,
    nodes: Vec<Arc<Node>>,
    discovery: Arc<Discovery>,
    dispatchers: usize,
    work: crate::scenario::MaintenancePlan,
    seed: u64,
) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut under_way: BTreeMap<u32, (Instant, bool)> = BTreeMap::new();
    loop {
        Timer::after(Duration::from_millis(300)).await;
        let Some(mut client) = frontend
            .rollouts_client(rng.random_range(0..dispatchers))
            .await
        else {
            continue;
        };
        let ask = v1::MaintenanceRequest::default();
        let word = within(Duration::from_secs(10), Box::pin(client.maintain(ask))).await;
        let Some(Ok(word)) = word else { continue };
        let word = word.into_inner();
        // While it is worked on it does not answer, and so is not told as the worker's: he knows.
        under_way.retain(|id, _| !word.completed.contains(id));
        let mine: BTreeSet<u32> = word
            .in_maintenance
            .iter()
            .copied()
            .chain(under_way.keys().copied())
            .collect();
        let mut done = Vec::new();
        for id in &mine {
            let Some(node) = nodes.iter().find(|node| node.config.id == *id) else {
                continue;
            };
            match under_way.get_mut(id) {
                None => {
                    let runs = node.allocation_count();
                    frontend
                        .context
                        .capture
                        .record(Observation::MaintenanceWork {
                            node: *id,
                            begins: true,
                            runs,
                        });
                    node.kill(NodeState::Gone);
                    under_way.insert(*id, (Instant::now() + work.work_duration, false));
                }
                Some((until, up)) if !*up && Instant::now() >= *until => {
                    let address = node
                        .start_process(true)
                        .await
                        .map_err(|why| why.to_string())?;
                    let entry = entry(node, address, corkspan_dispatcher::clock::wall_ms());
                    discovery.update(Duration::from_millis(rng.random_range(50..500)), entry);
                    frontend
                        .context
                        .capture
                        .record(Observation::MaintenanceWork {
                            node: *id,
                            begins: false,
                            runs: node.allocation_count(),
                        });
                    *up = true;
                }
                Some((_, true)) if word.in_maintenance.contains(id) => done.push(*id),
                Some(_) => {}
            }
        }
        if !done.is_empty() {
            let what = v1::maintenance_request::Action::Done.into();
            let ask = v1::MaintenanceRequest {
                action: what,
                nodes: done,
                ..v1::MaintenanceRequest::default()
            };
            within(Duration::from_secs(10), Box::pin(client.maintain(ask))).await;
        }
        let all = word
            .current
            .as_ref()
            .map_or(usize::MAX, |work| work.machines.len());
        if word.completed.len() + word.skipped.len() >= all && word.leases.is_empty() {
            return Ok(());
        }
    }
}

/// An operator pushes one sound version after the other: the same but for what nobody feels.
async fn push_versions(control: ControlService, texts: SharedParts, every: Duration) {
    for which in 0u64.. {
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + which);
        let changes = [("accounts".to_string(), accounts)];
        control.publish(
            texts.with_changes(&changes.into_iter().collect(), &[]),
            false,
        );
        Timer::after(every).await;
    }
}

/// Lines a second that the roster tells all dispatchers together of room alone.
const ROOM_LINES: usize = 10_000;

/// Tells the roster again and again what nobody has asked for: as often as the day says, or every
/// second, and less often to a large fleet.
pub(crate) async fn report_capacity(
    discovery: Arc<Discovery>,
    nodes: Vec<Arc<Node>>,
    scenario: Scenario,
) {
    let lines = nodes.len() * scenario.dispatchers;
    let usual = Duration::from_secs_f64((lines as f64 / ROOM_LINES as f64).max(1.0));
    let apart = scenario.capacity_interval.unwrap_or(usual);
    loop {
        Timer::after(apart).await;
        for node in nodes.iter().filter(|node| node.is_running()) {
            if let Some(entry) = discovery.endpoint(node.config.id) {
                let unasked = node.unrequested();
                let unasked = Some(v1::Resources {
                    cores: unasked.cores,
                    memory: unasked.memory,
                });
                discovery.update(
                    Duration::from_millis(300),
                    v1::Endpoint {
                        unreserved: unasked,
                        ..entry
                    },
                );
            }
        }
    }
}

pub(crate) struct Testbed {
    pub scenario: Scenario,
    pub frontend: Arc<Frontend>,
    pub nodes: Vec<Arc<Node>>,
    pub discovery: Arc<Discovery>,
    pub fleet: Vec<Process>,
    rng: Pcg64Mcg,
    pub start: Instant,
    proxies: Option<FaultProxies>,
    worker: Option<async_executor::Task<Result<(), String>>>,
    folder: tempfile::TempDir,
    control: ControlService,
    _up: ControlServiceGuard,
}

/// What is undone at the end of a trouble.
enum Undo {
    Up(usize),
    Undrain(usize),
    Restart(usize),
    GoOn(usize),
    Heal(usize, Vec<LinkPeer>),
    Room(usize),
}

impl Testbed {
    /// Lets owners ask and troubles strike until the day is over.
    pub async fn run_until(
        &mut self,
        until: Instant,
    ) -> Result<Vec<async_executor::Task<()>>, String> {
        let mut faults = self.scenario.faults.clone();
        faults.sort_by_key(|fault| fault.at);
        let mut faults = faults.into_iter().peekable();
        let mut undos: Vec<(Instant, Undo)> = Vec::new();
        let mut owners = Vec::new();
        let mut next = self.start;
        let mut number = 0;
        for copy in 0..self.scenario.replicas {
            owners.push(self.hold(copy, until));
        }
        let (mut roll, mut floor, mut maintenance) = (
            self.scenario.rollout,
            self.scenario.minimum_version_at,
            self.scenario.maintenance,
        );
        loop {
            let rolls = roll.map(|roll| self.start + roll.at);
            let floors = floor.map(|at| self.start + at);
            let works = maintenance.map(|own| self.start + own.at);
            let fault = faults.peek().map(|fault| self.start + fault.at);
            let undo = undos.iter().map(|(at, _)| *at).min();
            let asks = (next < until && self.scenario.rate > 0.0).then_some(next);
            let Some(at) = [fault, undo, asks, rolls, floors, works]
                .into_iter()
                .flatten()
                .min()
            else {
                return Ok(owners);
            };
            Timer::at(at).await;
            if rolls == Some(at)
                && let Some(roll) = roll.take()
            {
                self.roll(roll).await?;
            } else if works == Some(at)
                && let Some(work) = maintenance.take()
            {
                self.maintain(work).await?;
            } else if floors == Some(at) {
                floor = None;
                self.raise().await?;
            } else if undo == Some(at) {
                let index = undos
                    .iter()
                    .position(|(when, _)| *when == at)
                    .unwrap_or_default();
                let (_, undo) = undos.swap_remove(index);
                self.undo(undo).await?;
            } else if fault == Some(at)
                && let Some(fault) = faults.next()
            {
                let ends = Instant::now() + fault.duration;
                let burst = if fault.kind == FaultKind::Burst {
                    fault.count
                } else {
                    0
                };
                for _ in 0..burst {
                    owners.push(self.ask(number, until));
                    number += 1;
                }
                undos.extend(self.strike(&fault)?.into_iter().map(|undo| (ends, undo)));
            } else {
                owners.push(self.ask(number, until));
                number += 1;
                let rate = self.scenario.rate_at(next - self.start);
                let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                next += Duration::from_secs_f64(gap.min(10.0));
            }
        }
    }

    /// A copy that its owner wants until the day is over.
    fn hold(&mut self, copy: usize, until: Instant) -> async_executor::Task<()> {
        let task = Task {
            name: format!("copy{copy}"),
            service: REPLICATED_SERVICE.into(),
            service_class: 0,
            service_class_name: SERVICE_CLASSES[0].into(),
            retry_safety: RetrySafety::Idempotent,
            cores: 0.5,
            memory: 0.8,
            lifetime: Duration::from_secs(3600),
            deadline: Duration::from_secs(5),
            max_requests: u32::MAX,
            cancel_after: None,
        };
        let own = Pcg64Mcg::seed_from_u64(self.rng.random());
        let lives = client::run_task(Arc::clone(&self.frontend), task, own, until);
        self.frontend.context.tasks.spawn(async move {
            within(
                until.saturating_duration_since(Instant::now()),
                Box::pin(lives),
            )
            .await;
        })
    }

    /// An operator rolls the copies' program, asking one dispatcher after the other.
    async fn roll(&mut self, roll: crate::scenario::RolloutPlan) -> Result<(), String> {
        let (service, version) = (String::from(REPLICATED_SERVICE), String::from("v2"));
        let unready_most = roll.max_unavailable;
        self.frontend
            .context
            .capture
            .record(Observation::RolloutStarted {
                service: service.clone(),
                version: version.clone(),
                unready_most: unready_most as usize,
                ready_for_us: roll.min_ready.as_micros() as u64,
                start_first: roll.surge,
                ready_within_us: READY_WITHIN.as_micros() as u64,
                failures_most: FAILURES_MOST as usize,
            });
        let ask = v1::StartRolloutRequest {
            service,
            version,
            previous_version: "v1".into(),
            max_unavailable: unready_most,
            max_in_progress: unready_most.max(1),
            min_ready_ms: roll.min_ready.as_millis() as u64,
            progress_deadline_ms: READY_WITHIN.as_millis() as u64,
            max_failures: FAILURES_MOST,
            surge: roll.surge,
        };
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.rollouts_client(dispatcher).await
                && let Some(Ok(word)) =
                    within(Duration::from_secs(5), Box::pin(client.start(ask.clone()))).await
                && word.into_inner().accepted
            {
                return Ok(());
            }
        }
        Err("no dispatcher has taken the roll".into())
    }

    /// An operator has all machines taken out for work but so many keepers that a majority stays,
    /// and the worker begins.
    async fn maintain(&mut self, work: crate::scenario::MaintenancePlan) -> Result<(), String> {
        let nodes = self.nodes.iter().map(|node| node.config.id);
        let nodes: Vec<u32> = nodes
            .filter(|id| !QUORUM_MEMBERS[1..].contains(id))
            .collect();
        let machines = nodes.len();
        let (max_concurrent, max_per_zone) = (work.max_concurrent, work.max_per_zone);
        let ask = v1::MaintenanceRequest {
            action: v1::maintenance_request::Action::Start.into(),
            nodes,
            limits: vec![max_concurrent, max_per_zone, max_concurrent, max_concurrent],
            warm_up_ms: SLOW_START.duration.as_millis() as u64,
            drain_timeout_ms: 3_600_000,
            ..v1::MaintenanceRequest::default()
        };
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.rollouts_client(dispatcher).await
                && let Some(Ok(word)) = within(
                    Duration::from_secs(5),
                    Box::pin(client.maintain(ask.clone())),
                )
                .await
                && word.into_inner().accepted
            {
                let (max_concurrent, max_per_zone) =
                    (max_concurrent as usize, max_per_zone as usize);
                self.frontend
                    .context
                    .capture
                    .record(Observation::MaintenanceRequested {
                        machines,
                        max_concurrent,
                        max_per_zone,
                    });
                let (frontend, nodes, discovery) = (
                    Arc::clone(&self.frontend),
                    self.nodes.clone(),
                    Arc::clone(&self.discovery),
                );
                let seed = self.rng.random();
                let works = works(
                    frontend,
                    nodes,
                    discovery,
                    self.scenario.dispatchers,
                    work,
                    seed,
                );
                self.worker = Some(self.frontend.context.tasks.spawn(works));
                return Ok(());
            }
        }
        Err("no dispatcher has taken the wish for work on machines".into())
    }

    /// An operator raises the floor to the newest version, asking one dispatcher after the other.
    async fn raise(&mut self) -> Result<(), String> {
        let newest = self
            .frontend
            .context
            .capture
            .lines()
            .iter()
            .rev()
            .find_map(|line| match line.observation {
                Observation::Pushed { number } => Some(number),
                _ => None,
            });
        let lowest = newest.ok_or("no version has been pushed yet")?;
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.versions_client(dispatcher).await
                && let Some(Ok(word)) = within(
                    Duration::from_secs(5),
                    Box::pin(client.raise(v1::RaiseMinimumVersionRequest { version: lowest })),
                )
                .await
                && word.get_ref().accepted
            {
                self.frontend
                    .context
                    .capture
                    .record(Observation::MinimumVersionRaised { lowest });
                return Ok(());
            }
        }
        Err("no dispatcher has had the floor raised".into())
    }

    /// The operator's command line over the whole fleet, and its acts against what the nodes'
    /// sockets saw.
    async fn audit(&self, program: &[OsString]) -> Result<(), String> {
        let (first, rest) = program.split_first().ok_or("no program is given")?;
        let mut command = Command::new(first);
        command.args(rest).args(["fleet", "audit", "--json"]);
        for node in &self.nodes {
            if let Some(entry) = self
                .discovery
                .endpoint(node.config.id)
                .filter(|_| node.is_running())
            {
                command.args(["--node", &entry.address]);
            }
        }
        let addresses =
            (0..self.scenario.dispatchers).filter_map(|number| self.frontend.address(number));
        command.args(addresses.map(|address| address.to_string()));
        let began = Instant::now();
        let output = blocking::unblock(move || command.output())
            .await
            .map_err(|why| why.to_string())?;
        let took_ms = began.elapsed().as_millis() as u64;
        let told: serde_json::Value = serde_json::from_slice(&output.stdout)
            .map_err(|why| format!("the audit tells no JSON: {why}"))?;
        let mut sockets: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for line in self.frontend.context.capture.lines() {
            if let Observation::Offered {
                dispatcher,
                decided,
                ..
            } = line.observation
            {
                *sockets.entry((u64::from(dispatcher), decided)).or_default() += 1;
            }
        }
        let number = |row: &serde_json::Value, name: &str| row[name].as_u64().unwrap_or(u64::MAX);
        let rows = told["acts"].as_array().into_iter().flatten();
        let rows = rows.map(|row| {
            (
                (number(row, "dispatcher"), number(row, "version")),
                number(row, "shots"),
            )
        });
        let equal = rows
            .filter(|(_, shots)| *shots > 0)
            .collect::<BTreeMap<_, _>>()
            == sockets;
        let capture = &self.frontend.context.capture;
        // What runs where at the end: those that were brought up by others told no control service.
        for own in told["dispatchers"].as_array().into_iter().flatten() {
            if let (Some(dispatcher), Some(version)) =
                (own["number"].as_u64(), own["version"].as_u64())
            {
                capture.record(Observation::VersionActive {
                    dispatcher: dispatcher as u32,
                    number: version,
                });
            }
        }
        let findings = told["findings"].as_array().map_or(0, Vec::len);
        let bytes = output.stdout.len() as u64;
        capture.record(Observation::Audited {
            took_ms,
            bytes,
            findings,
            equal,
        });
        let pages = self.fleet.iter().filter_map(Process::resident_kib);
        let kib: Vec<u64> = pages.collect();
        let (mean_kib, most_kib) = (
            kib.iter().sum::<u64>() / kib.len().max(1) as u64,
            kib.iter().max(),
        );
        capture.record(Observation::Memory {
            mean_kib,
            most_kib: most_kib.copied().unwrap_or(0),
        });
        Ok(())
    }

    fn ask(&mut self, number: u64, until: Instant) -> async_executor::Task<()> {
        let rng = &mut self.rng;
        let draw = rng.random_range(0.0..100.0);
        let service_class = match draw {
            draw if draw < self.scenario.deduplicated => 1,
            draw if draw < self.scenario.deduplicated + self.scenario.unrepeatable => 2,
            _ => 0,
        };
        let window_us = DEDUP_WINDOW.as_micros() as u64;
        let (cores, memory) = [(1.0, 1.5), (2.0, 3.0), (1.0, 2.0)][service_class];
        let service = rng.random_range(0..[14, 4, 3][service_class]);
        let lifetime = self
            .scenario
            .mean_lifetime
            .mul_f64(rng.random_range(0.3..1.7));
        let cancels = rng.random_range(0.0..100.0) < self.scenario.cancels;
        let task = Task {
            name: format!("t{number}"),
            service: format!("{}-{service}", SERVICE_CLASSES[service_class]),
            service_class,
            service_class_name: SERVICE_CLASSES[service_class].into(),
            retry_safety: [
                RetrySafety::Idempotent,
                RetrySafety::Deduplicated { window_us },
                RetrySafety::NotRetryable,
            ][service_class],
            cores,
            memory,
            lifetime,
            deadline: Duration::from_secs([5, 7, 7][service_class]),
            max_requests: 8,
            cancel_after: cancels.then(|| Duration::from_millis(rng.random_range(0..3000))),
        };
        let own = Pcg64Mcg::seed_from_u64(rng.random());
        self.frontend.context.tasks.spawn(client::run_task(
            Arc::clone(&self.frontend),
            task,
            own,
            until,
        ))
    }

    fn strike(&mut self, fault: &ScheduledFault) -> Result<Vec<Undo>, String> {
        let name = crate::scenario::FAULT_KINDS
            .iter()
            .find(|(_, kind)| *kind == fault.kind)
            .map_or("", |(name, _)| name);
        self.frontend
            .context
            .capture
            .record(Observation::Fault { name: name.into() });
        let time = fault.duration;
        let mut up: Vec<usize> = (0..self.nodes.len())
            .filter(|&index| self.nodes[index].is_running())
            .collect();
        up.shuffle(&mut self.rng);
        up.truncate(fault.count);
        // Processes, each with all its dispatchers.
        let mut running: Vec<usize> = (0..self.fleet.len())
            .filter(|&index| self.fleet[index].child.is_some())
            .collect();
        running.shuffle(&mut self.rng);
        running.truncate(fault.count);
        let mut undos = Vec::new();
        match fault.kind {
            FaultKind::KillNodes => {
                for index in up {
                    self.kill(index);
                    undos.push(Undo::Up(index));
                }
            }
            FaultKind::RestartRack => {
                let cell = up.first().map(|&index| self.nodes[index].config.cell);
                let of = |index: &usize| Some(self.nodes[*index].config.cell) == cell;
                for index in (0..self.nodes.len()).filter(of).collect::<Vec<_>>() {
                    self.kill(index);
                    undos.push(Undo::Up(index));
                }
            }
            FaultKind::LoseZone => {
                let zone = up
                    .first()
                    .map(|&index| self.scenario.failure_domain(self.nodes[index].config.cell));
                let lost = |index: &usize| {
                    Some(self.scenario.failure_domain(self.nodes[*index].config.cell)) == zone
                };
                for index in (0..self.nodes.len()).filter(lost).collect::<Vec<_>>() {
                    self.kill(index);
                    undos.push(Undo::Up(index));
                }
            }
            FaultKind::DrainNodes => {
                for index in up {
                    self.nodes[index].drain();
                    self.update_endpoint(index, v1::endpoint::State::Draining);
                    undos.push(Undo::Undrain(index));
                }
            }
            FaultKind::StallNodes => up.iter().for_each(|&index| self.nodes[index].stall(time)),
            FaultKind::CutLinks => up
                .iter()
                .for_each(|&index| self.nodes[index].cut_connections(time)),
            FaultKind::LoseAnswers => up.iter().for_each(|&index| self.nodes[index].mute(time)),
            FaultKind::DelayReports => {
                let by = Duration::from_millis(self.rng.random_range(700..4000));
                up.iter()
                    .for_each(|&index| self.nodes[index].delay_reports(time, by));
            }
            FaultKind::LosePrograms => up
                .iter()
                .for_each(|&index| self.nodes[index].clear_program_cache()),
            FaultKind::RosterAway => self.discovery.disconnect(Some(time)),
            FaultKind::Demand | FaultKind::Burst => {}
            FaultKind::KillDispatchers => {
                for index in running {
                    self.fleet[index].kill(&self.frontend)?;
                    undos.push(Undo::Restart(index));
                }
            }
            FaultKind::CutDispatchers | FaultKind::DelayDispatchers | FaultKind::HoldVersions => {
                let Some(proxies) = &self.proxies else {
                    return Err("no relays stand".into());
                };
                let numbers = running
                    .iter()
                    .flat_map(|&index| self.fleet[index].numbers.clone());
                for index in numbers.take(fault.count) {
                    self.record_connection_fault(index, true, fault.delay);
                    if fault.kind == FaultKind::HoldVersions {
                        proxies.hold_versions(index);
                        undos.push(Undo::Heal(index, vec![LinkPeer::Control]));
                    } else {
                        proxies.inject(index, fault);
                        undos.push(Undo::Heal(index, fault.peers.clone()));
                    }
                }
            }
            FaultKind::FullDisk => {
                for index in running {
                    self.fleet[index].limit_file_size(Some(0))?;
                    undos.push(Undo::Room(index));
                }
            }
            FaultKind::PauseDispatchers => {
                for index in running {
                    self.fleet[index].signal(
                        &self.frontend,
                        rustix::process::Signal::STOP,
                        DispatcherState::Paused,
                    )?;
                    undos.push(Undo::GoOn(index));
                }
            }
        }
        Ok(undos)
    }

    /// Hollow processes that run.
    pub fn hollow_process_ids(&self) -> Vec<u32> {
        let hollow = self.fleet.iter().filter(|process| process.hollow);
        hollow
            .filter_map(|process| Some(process.child.as_ref()?.id()))
            .collect()
    }

    /// What each process has cost so far, and what its dispatchers counted.
    pub async fn read_costs(&self) -> Result<Vec<cost::Reading>, String> {
        let mut read = Vec::new();
        for process in &self.fleet {
            let Some(mut own) = process.cost() else {
                continue;
            };
            for number in process.numbers.clone() {
                let told = async {
                    let mut client = self.frontend.placement_client(number).await?;
                    client.status(v1::StatusRequest {}).await.ok()
                };
                // One that stands still, or is away, tells nothing: it is left out of the figures.
                let told = within(Duration::from_secs(5), Box::pin(told))
                    .await
                    .flatten();
                own.counts
                    .extend(told.map(|word| (number, word.into_inner().connection_traffic)));
            }
            read.push(own);
        }
        Ok(read)
    }

    fn record_connection_fault(&self, index: usize, struck: bool, late: Duration) {
        let (dispatcher, late_us) = (index as u32, late.as_micros() as u64);
        self.frontend
            .context
            .capture
            .record(Observation::ConnectionFault {
                dispatcher,
                struck,
                late_us,
            });
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].kill(NodeState::Gone);
        self.update_endpoint(index, v1::endpoint::State::Gone);
    }

    /// The roster hears of it late.
    fn update_endpoint(&mut self, index: usize, state: v1::endpoint::State) {
        let late = Duration::from_millis(self.rng.random_range(100..900));
        if let Some(entry) = self.discovery.endpoint(self.nodes[index].config.id) {
            self.discovery.update(
                late,
                v1::Endpoint {
                    state: state.into(),
                    ..entry
                },
            );
        }
    }

    async fn undo(&mut self, undo: Undo) -> Result<(), String> {
        match undo {
            Undo::Up(index) => {
                let node = &self.nodes[index];
                if !node.is_running() {
                    let address = node
                        .start_process(true)
                        .await
                        .map_err(|why| why.to_string())?;
                    let entry = entry(node, address, corkspan_dispatcher::clock::wall_ms());
                    let late = Duration::from_millis(self.rng.random_range(50..500));
                    self.discovery.update(late, entry);
                }
            }
            Undo::Undrain(index) => {
                // Its process goes at the end of the drain, and comes back anew.
                if self.nodes[index].is_running() {
                    self.kill(index);
                }
                Box::pin(self.undo(Undo::Up(index))).await?;
            }
            Undo::Restart(index) => {
                if self.fleet[index].child.is_none() {
                    self.fleet[index]
                        .start(&self.frontend, self.proxies.as_ref())
                        .await?;
                }
            }
            Undo::Heal(index, ends) => {
                self.record_connection_fault(index, false, Duration::ZERO);
                self.proxies
                    .iter()
                    .for_each(|proxies| proxies.heal(index, &ends));
            }
            Undo::Room(index) => self.fleet[index].limit_file_size(None)?,
            Undo::GoOn(index) => {
                if self.fleet[index].child.is_some() {
                    self.fleet[index].signal(
                        &self.frontend,
                        rustix::process::Signal::CONT,
                        DispatcherState::Resumed,
                    )?;
                }
            }
        }
        Ok(())
    }
}

/// After the day, all machines have had their work within this.
const WORKED_WITHIN: Duration = Duration::from_secs(180);
/// A copy of a day's roll may take so long to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// Nodes and dispatchers may be struck during a day's roll: that is not the version's fault.
const FAILURES_MOST: u32 = 1_000;
