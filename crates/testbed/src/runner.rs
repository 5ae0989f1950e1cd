//! Runs a scenario: starts real dispatchers, each in its own process, and the stand-ins around
//! them, and injects the scenario's faults.

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
use crate::scenario::{ConnectionPeer, FaultKind, NodeLocation, Scenario, ScheduledFault};
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

/// A scenario and the options of its run.
pub struct ScenarioRun {
    pub scenario: Scenario,
    pub seed: u64,
    pub programs: Programs,
    /// The file that receives the capture, if it is kept.
    pub capture: Option<PathBuf>,
    /// Rewrites the dispatchers' deployment. Tests use it to make dispatchers break a rule that the
    /// checker must find.
    pub rewrite_deployment: fn(String) -> String,
    /// The folder for the dispatchers' logs. `None` discards them.
    pub logs: Option<PathBuf>,
}

const ZONES: [&str; 2] = ["hall-a", "hall-b"];
const SERVICE_CLASSES: [&str; 3] = ["web", "index", "ledger"];
/// Ids of the nodes that are quorum members.
const QUORUM_MEMBERS: [u32; 3] = [100, 101, 102];
/// The service whose replicas run for the whole scenario.
pub const REPLICATED_SERVICE: &str = "held";
const SPREAD: usize = 4;
const DEDUP_WINDOW: Duration = Duration::from_secs(6);
const SLOW_START: SlowStart = SlowStart {
    duration: Duration::from_secs(5),
    window: Duration::from_secs(1),
    max_offers: 16,
    initial_rate: 0.25,
};
/// Offers per window during slow start in the dispatchers' deployment. It is below the limit at
/// which a node fails, because network delay varies.
const DEPLOYED_MAX_OFFERS: usize = 12;

impl ScenarioRun {
    fn rules(&self, configs: &[NodeConfig]) -> RuleParameters {
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
            nodes: configs
                .iter()
                .map(|config| capture::NodeSite {
                    node: config.id,
                    zone: config.zone.clone(),
                    cell: config.cell,
                })
                .collect(),
            grace_us: 1_000_000,
            slow_start: capture::SlowStartLimits {
                lasts_us: SLOW_START.duration.as_micros() as u64,
                window_us: SLOW_START.window.as_micros() as u64,
                max_offers: SLOW_START.max_offers,
            },
            slack_us: 250_000,
        }
    }

    fn deployment(
        &self,
        number: usize,
        discovery: SocketAddr,
        extra_parts: &str,
        folder: &Path,
    ) -> String {
        let Scenario { dispatchers, .. } = self.scenario;
        let zone = ZONES[number % ZONES.len()];
        let endpoint_list = folder.join(format!("list-{number}.json"));
        let rollouts = folder.join(format!("rolls-{number}.redb"));
        // A hollow dispatcher has no disk.
        let disk = match self.scenario.is_hollow(number) {
            true => String::new(),
            false => format!("(remembered {endpoint_list:?}) (rolls {rollouts:?})"),
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
  (keepers 100 101 102) {disk} {extra_parts}
  (cold (lasts 6 s) (window 1 s) (offers {DEPLOYED_MAX_OFFERS})) (other-hall-price 0.03))
"#,
            seed = self.seed,
        );
        (self.rewrite_deployment)(text)
    }

    fn node_configs(&self, rng: &mut Pcg64Mcg) -> Vec<NodeConfig> {
        let config = |id: usize| {
            let is_wide = id % 2 == 1;
            let (cores, memory) = if is_wide { (40.0, 60.0) } else { (24.0, 40.0) };
            let NodeLocation { cell, zone } = self.scenario.location(id);
            NodeConfig {
                id: 100 + id as u32,
                machine_type: if is_wide { "wide" } else { "compact" }.into(),
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
                uncached_start_factor: 8,
                max_concurrent_starts: 4,
                max_cached_programs: 6,
                preempts: true,
                slow_start: SLOW_START,
                seed: rng.random(),
            }
        };
        (0..self.scenario.nodes).map(config).collect()
    }

    /// Runs the scenario to its end and returns the capture.
    pub fn run(self) -> Result<Vec<capture::Line>, String> {
        let tasks = SharedExecutor::default();
        future::block_on(tasks.clone().run(self.execute(tasks)))
    }

    async fn execute(self, tasks: SharedExecutor) -> Result<Vec<capture::Line>, String> {
        let mut testbed = self.start(&tasks).await?;
        let Testbed {
            discovery,
            nodes,
            frontend,
            start,
            ..
        } = &testbed;
        let (frontend, until) = (Arc::clone(frontend), *start + self.scenario.length);
        let capacity_reports = tasks.spawn(report_capacity(
            Arc::clone(discovery),
            nodes.clone(),
            self.scenario.clone(),
        ));
        let versions = self.scenario.version_interval.map(|interval| {
            let text = self.deployment(0, discovery.address, "", testbed.folder.path());
            let parts = SharedParts::parse("deployment", &text).map_err(|why| why.to_string());
            parts.map(|parts| tasks.spawn(push_versions(testbed.control.clone(), parts, interval)))
        });
        let versions = versions.transpose()?;
        let (saturation, before) = (
            SaturationMonitor::start(&tasks, testbed.hollow_process_ids())
                .map_err(|why| why.to_string())?,
            testbed.read_costs().await?,
        );
        let clients = testbed.run_until(until).await?;
        let after = testbed.read_costs().await?;
        frontend
            .context
            .capture
            .record(saturation.end().map_err(|why| why.to_string())?);
        frontend
            .context
            .capture
            .record(Observation::Cost(Box::new(cost::costs_between(
                &before, &after,
            ))));
        // Clients that still wait or run get this long to finish.
        let remaining = async {
            for client in clients {
                client.await;
            }
        };
        let ended = within(Duration::from_secs(40), remaining).await;
        drop((capacity_reports, versions));
        if let Some(work) = testbed.maintenance_work.take() {
            let finished = within(MAINTENANCE_TIMEOUT, work).await;
            finished.ok_or("the maintenance does not finish")??;
        }
        if self.scenario.audit {
            testbed.audit(&self.programs.real).await?;
        }
        for process in &mut testbed.fleet {
            process.stop(&frontend).await?;
        }
        ended.ok_or("clients are still waiting long after the scenario's end")?;
        Ok(frontend.context.capture.lines())
    }

    /// Starts all stand-ins and dispatchers, and waits until the dispatchers know all nodes.
    pub(crate) async fn start(&self, tasks: &SharedExecutor) -> Result<Testbed, String> {
        let to_text = |why: std::io::Error| why.to_string();
        Requirements::for_scenario(&self.scenario).check(&Limits::of_this_machine()?)?;
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let folder = tempfile::tempdir().map_err(to_text)?;
        let capture = Capture::new(self.capture.as_deref()).map_err(to_text)?;
        let configs = self.node_configs(&mut rng);
        capture.record(Observation::Rules(self.rules(&configs)));
        let context = SharedContext::new(capture, tasks, Some(SERVICE_CLASSES[1].into()));
        let (discovery, discovery_address) = Discovery::start(&context).await.map_err(to_text)?;
        let nodes: Vec<Arc<Node>> = configs
            .into_iter()
            .map(|config| Node::new(config, &context))
            .collect();
        for node in &nodes {
            let address = node.start_process(false).await.map_err(to_text)?;
            discovery.update(Duration::ZERO, endpoint_entry(node, address, 0));
        }
        let (control, guard) = ControlService::start(&context).await.map_err(to_text)?;
        let proxies = match self.scenario.needs_fault_proxies() {
            true => {
                let service = self.scenario.version_interval.map(|_| control.address);
                let proxies_all_nodes = self.scenario.affects(ConnectionPeer::Nodes);
                let proxied = nodes
                    .iter()
                    .filter(|node| proxies_all_nodes || QUORUM_MEMBERS.contains(&node.config.id));
                let addresses: Vec<(u32, SocketAddr)> = proxied
                    .filter_map(|node| {
                        let entry = discovery.endpoint(node.config.id)?;
                        Some((entry.node, entry.address.parse().ok()?))
                    })
                    .collect();
                let dispatchers = self.scenario.dispatchers;
                Some(
                    FaultProxies::start(
                        tasks,
                        dispatchers,
                        &discovery,
                        service,
                        &addresses,
                        &QUORUM_MEMBERS,
                    )
                    .await
                    .map_err(to_text)?,
                )
            }
            false => None,
        };
        let frontend = Frontend::new(&context, &nodes, self.scenario.dispatchers);
        let mut files = Vec::new();
        for number in 0..self.scenario.dispatchers {
            let file = folder.path().join(format!("dispatcher-{number}.sexp"));
            let proxy_address = |peer| {
                proxies
                    .as_ref()
                    .and_then(|proxies| proxies.address(number, peer))
            };
            let discovery = proxy_address(ConnectionPeer::Discovery).unwrap_or(discovery_address);
            let extra_parts = self.scenario.version_interval.map(|_| {
                let (version_file, control) = (
                    folder.path().join(format!("versions-{number}.json")),
                    proxy_address(ConnectionPeer::Control).unwrap_or(control.address),
                );
                let peers = proxies
                    .iter()
                    .flat_map(|proxies| proxies.addresses(number, ConnectionPeer::Dispatchers));
                let peers: String = peers.map(|peer| format!(" \"{peer}\"")).collect();
                let peers = if peers.is_empty() {
                    peers
                } else {
                    format!("(peers{peers})")
                };
                let versions = match self.scenario.is_hollow(number) {
                    true => String::new(),
                    false => format!("(versions {version_file:?})"),
                };
                format!("(control \"{control}\") {versions} (floor (every 1 s) {peers})")
            });
            let mut extra_parts = extra_parts.unwrap_or_default();
            if self.scenario.maintenance.is_some() {
                extra_parts.push_str(" (maintenance (every 500 ms))");
            }
            let file_text = self.deployment(number, discovery, &extra_parts, folder.path());
            std::fs::write(&file, file_text).map_err(to_text)?;
            files.push(file);
        }
        let mut fleet = Vec::new();
        for dispatchers in self.scenario.processes() {
            let hollow = self.scenario.is_hollow(dispatchers.start);
            let log = self
                .logs
                .as_ref()
                .map(|logs| logs.join(format!("dispatcher-{}.log", dispatchers.start)));
            let program = if hollow {
                &self.programs.hollow
            } else {
                &self.programs.real
            };
            let files = files[dispatchers.clone()].to_vec();
            let (program, log) = (program.clone(), log.filter(|_| !hollow));
            let fills_disk = self.scenario.fills_disks();
            let mut process = Process {
                dispatchers,
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
        // The scenario begins once the dispatchers know all nodes.
        let all_known = async {
            for number in 0..self.scenario.dispatchers {
                while frontend.serving_machines(number).await < nodes.len() as u64 {
                    Timer::after(Duration::from_millis(10)).await;
                }
            }
        };
        within(Duration::from_secs(30), all_known)
            .await
            .ok_or("the dispatchers do not learn of all nodes")?;
        let (scenario, start) = (self.scenario.clone(), Instant::now());
        let control_guard = guard;
        Ok(Testbed {
            scenario,
            frontend,
            nodes,
            discovery,
            fleet,
            rng,
            start,
            proxies,
            maintenance_work: None,
            folder,
            control,
            _control_guard: control_guard,
        })
    }
}

impl Frontend {
    async fn serving_machines(&self, dispatcher: usize) -> u64 {
        let Some(mut client) = self.placement_client(dispatcher).await else {
            return 0;
        };
        client
            .status(v1::StatusRequest {})
            .await
            .map_or(0, |status| status.into_inner().machines_serving)
    }
}

fn endpoint_entry(node: &Node, address: SocketAddr, started_ms: u64) -> v1::Endpoint {
    let unrequested = node.unrequested();
    v1::Endpoint {
        node: node.config.id,
        address: address.to_string(),
        machine_type: node.config.machine_type.clone(),
        zone: node.config.zone.clone(),
        cell: node.config.cell,
        state: v1::endpoint::State::Serving.into(),
        started_ms,
        unreserved: Some(v1::Resources {
            cores: unrequested.cores,
            memory: unrequested.memory,
        }),
    }
}

/// Works on the machines under maintenance: requests the list of them from random dispatchers,
/// restarts each machine, and reports it as done.
async fn run_maintenance(
    frontend: Arc<Frontend>,
    nodes: Vec<Arc<Node>>,
    discovery: Arc<Discovery>,
    dispatchers: usize,
    plan: crate::scenario::MaintenancePlan,
    seed: u64,
) -> Result<(), String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut in_progress: BTreeMap<u32, (Instant, bool)> = BTreeMap::new();
    loop {
        Timer::after(Duration::from_millis(300)).await;
        let Some(mut client) = frontend
            .rollouts_client(rng.random_range(0..dispatchers))
            .await
        else {
            continue;
        };
        let request = v1::MaintenanceRequest::default();
        let reply = within(Duration::from_secs(10), Box::pin(client.maintain(request))).await;
        let Some(Ok(reply)) = reply else { continue };
        let reply = reply.into_inner();
        // A machine that is being worked on does not respond and is missing from the dispatcher's
        // list, so those in progress are added.
        in_progress.retain(|id, _| !reply.completed.contains(id));
        let assigned: BTreeSet<u32> = reply
            .in_maintenance
            .iter()
            .copied()
            .chain(in_progress.keys().copied())
            .collect();
        let mut done = Vec::new();
        for id in &assigned {
            let Some(node) = nodes.iter().find(|node| node.config.id == *id) else {
                continue;
            };
            match in_progress.get_mut(id) {
                None => {
                    let allocations = node.allocation_count();
                    frontend
                        .context
                        .capture
                        .record(Observation::MaintenanceWork {
                            node: *id,
                            begins: true,
                            allocations,
                        });
                    node.kill(NodeState::Gone);
                    in_progress.insert(*id, (Instant::now() + plan.work_duration, false));
                }
                Some((until, restarted)) if !*restarted && Instant::now() >= *until => {
                    let address = node
                        .start_process(true)
                        .await
                        .map_err(|why| why.to_string())?;
                    let entry =
                        endpoint_entry(node, address, corkspan_dispatcher::clock::wall_ms());
                    discovery.update(Duration::from_millis(rng.random_range(50..500)), entry);
                    frontend
                        .context
                        .capture
                        .record(Observation::MaintenanceWork {
                            node: *id,
                            begins: false,
                            allocations: node.allocation_count(),
                        });
                    *restarted = true;
                }
                Some((_, true)) if reply.in_maintenance.contains(id) => done.push(*id),
                Some(_) => {}
            }
        }
        if !done.is_empty() {
            let done_action = v1::maintenance_request::Action::Done.into();
            let request = v1::MaintenanceRequest {
                action: done_action,
                nodes: done,
                ..v1::MaintenanceRequest::default()
            };
            within(Duration::from_secs(10), Box::pin(client.maintain(request))).await;
        }
        let total = reply
            .current
            .as_ref()
            .map_or(usize::MAX, |current| current.machines.len());
        if reply.completed.len() + reply.skipped.len() >= total && reply.leases.is_empty() {
            return Ok(());
        }
    }
}

/// Publishes one valid version after the other. They differ only in a quota with no effect.
async fn push_versions(control: ControlService, parts: SharedParts, interval: Duration) {
    for number in 0u64.. {
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + number);
        let changes = [("accounts".to_string(), accounts)];
        control.publish(
            parts.with_changes(&changes.into_iter().collect(), &[]),
            false,
        );
        Timer::after(interval).await;
    }
}

/// Capacity updates a second that the discovery service sends to all dispatchers together.
const CAPACITY_LINES_PER_SECOND: usize = 10_000;

/// Reports each node's unrequested resources to the discovery service, at the scenario's interval
/// or every second, and less often in a large fleet.
pub(crate) async fn report_capacity(
    discovery: Arc<Discovery>,
    nodes: Vec<Arc<Node>>,
    scenario: Scenario,
) {
    let lines = nodes.len() * scenario.dispatchers;
    let default_interval =
        Duration::from_secs_f64((lines as f64 / CAPACITY_LINES_PER_SECOND as f64).max(1.0));
    let interval = scenario.capacity_interval.unwrap_or(default_interval);
    loop {
        Timer::after(interval).await;
        for node in nodes.iter().filter(|node| node.is_running()) {
            if let Some(entry) = discovery.endpoint(node.config.id) {
                let unrequested = node.unrequested();
                let unrequested = Some(v1::Resources {
                    cores: unrequested.cores,
                    memory: unrequested.memory,
                });
                discovery.update(
                    Duration::from_millis(300),
                    v1::Endpoint {
                        unreserved: unrequested,
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
    maintenance_work: Option<async_executor::Task<Result<(), String>>>,
    folder: tempfile::TempDir,
    control: ControlService,
    _control_guard: ControlServiceGuard,
}

/// An action that ends a fault.
enum Undo {
    StartNode(usize),
    EndDrain(usize),
    RestartDispatchers(usize),
    Resume(usize),
    HealConnections(usize, Vec<ConnectionPeer>),
    FreeDisk(usize),
}

impl Testbed {
    /// Runs clients and injects faults until the scenario ends. Returns the clients' tasks.
    pub async fn run_until(
        &mut self,
        until: Instant,
    ) -> Result<Vec<async_executor::Task<()>>, String> {
        let mut faults = self.scenario.faults.clone();
        faults.sort_by_key(|fault| fault.at);
        let mut faults = faults.into_iter().peekable();
        let mut undos: Vec<(Instant, Undo)> = Vec::new();
        let mut clients = Vec::new();
        let mut next_request_at = self.start;
        let mut task_number = 0;
        for replica in 0..self.scenario.replicas {
            clients.push(self.run_replica(replica, until));
        }
        let (mut rollout, mut minimum_version_at, mut maintenance) = (
            self.scenario.rollout,
            self.scenario.minimum_version_at,
            self.scenario.maintenance,
        );
        loop {
            let rollout_at = rollout.map(|plan| self.start + plan.at);
            let raise_at = minimum_version_at.map(|at| self.start + at);
            let maintenance_at = maintenance.map(|plan| self.start + plan.at);
            let fault_at = faults.peek().map(|fault| self.start + fault.at);
            let undo_at = undos.iter().map(|(at, _)| *at).min();
            let request_at =
                (next_request_at < until && self.scenario.rate > 0.0).then_some(next_request_at);
            let Some(at) = [
                fault_at,
                undo_at,
                request_at,
                rollout_at,
                raise_at,
                maintenance_at,
            ]
            .into_iter()
            .flatten()
            .min() else {
                return Ok(clients);
            };
            Timer::at(at).await;
            if rollout_at == Some(at)
                && let Some(plan) = rollout.take()
            {
                self.start_rollout(plan).await?;
            } else if maintenance_at == Some(at)
                && let Some(plan) = maintenance.take()
            {
                self.start_maintenance(plan).await?;
            } else if raise_at == Some(at) {
                minimum_version_at = None;
                self.raise_minimum_version().await?;
            } else if undo_at == Some(at) {
                let index = undos
                    .iter()
                    .position(|(when, _)| *when == at)
                    .unwrap_or_default();
                let (_, undo) = undos.swap_remove(index);
                self.undo(undo).await?;
            } else if fault_at == Some(at)
                && let Some(fault) = faults.next()
            {
                let ends = Instant::now() + fault.duration;
                let burst = if fault.kind == FaultKind::Burst {
                    fault.count
                } else {
                    0
                };
                for _ in 0..burst {
                    clients.push(self.request_task(task_number, until));
                    task_number += 1;
                }
                undos.extend(self.inject(&fault)?.into_iter().map(|undo| (ends, undo)));
            } else {
                clients.push(self.request_task(task_number, until));
                task_number += 1;
                let rate = self.scenario.rate_at(next_request_at - self.start);
                let gap: f64 = -(1.0 - self.rng.random::<f64>()).ln() / rate;
                next_request_at += Duration::from_secs_f64(gap.min(10.0));
            }
        }
    }

    /// Spawns the client of a replica that is to run until the scenario ends.
    fn run_replica(&mut self, replica: usize, until: Instant) -> async_executor::Task<()> {
        let task = Task {
            name: format!("copy{replica}"),
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
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let run = client::run_task(Arc::clone(&self.frontend), task, rng, until);
        self.frontend.context.tasks.spawn(async move {
            within(
                until.saturating_duration_since(Instant::now()),
                Box::pin(run),
            )
            .await;
        })
    }

    /// Starts the rollout of the replicated service at the first dispatcher that accepts it.
    async fn start_rollout(&mut self, plan: crate::scenario::RolloutPlan) -> Result<(), String> {
        let (service, version) = (String::from(REPLICATED_SERVICE), String::from("v2"));
        let unavailable_limit = plan.max_unavailable;
        self.frontend
            .context
            .capture
            .record(Observation::RolloutStarted {
                service: service.clone(),
                version: version.clone(),
                max_unavailable: unavailable_limit as usize,
                min_ready_us: plan.min_ready.as_micros() as u64,
                surge: plan.surge,
                progress_deadline_us: PROGRESS_DEADLINE.as_micros() as u64,
                max_failures: MAX_FAILURES as usize,
            });
        let request = v1::StartRolloutRequest {
            service,
            version,
            previous_version: "v1".into(),
            max_unavailable: unavailable_limit,
            max_in_progress: unavailable_limit.max(1),
            min_ready_ms: plan.min_ready.as_millis() as u64,
            progress_deadline_ms: PROGRESS_DEADLINE.as_millis() as u64,
            max_failures: MAX_FAILURES,
            surge: plan.surge,
        };
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.rollouts_client(dispatcher).await
                && let Some(Ok(reply)) = within(
                    Duration::from_secs(5),
                    Box::pin(client.start(request.clone())),
                )
                .await
                && reply.into_inner().accepted
            {
                return Ok(());
            }
        }
        Err("no dispatcher accepted the rollout".into())
    }

    /// Requests maintenance of all machines except two quorum members, so that a majority stays up,
    /// at the first dispatcher that accepts it, and spawns the maintenance work.
    async fn start_maintenance(
        &mut self,
        plan: crate::scenario::MaintenancePlan,
    ) -> Result<(), String> {
        let nodes = self.nodes.iter().map(|node| node.config.id);
        let nodes: Vec<u32> = nodes
            .filter(|id| !QUORUM_MEMBERS[1..].contains(id))
            .collect();
        let machines = nodes.len();
        let (max_concurrent, max_per_zone) = (plan.max_concurrent, plan.max_per_zone);
        let request = v1::MaintenanceRequest {
            action: v1::maintenance_request::Action::Start.into(),
            nodes,
            limits: vec![max_concurrent, max_per_zone, max_concurrent, max_concurrent],
            warm_up_ms: SLOW_START.duration.as_millis() as u64,
            drain_timeout_ms: 3_600_000,
            ..v1::MaintenanceRequest::default()
        };
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.rollouts_client(dispatcher).await
                && let Some(Ok(reply)) = within(
                    Duration::from_secs(5),
                    Box::pin(client.maintain(request.clone())),
                )
                .await
                && reply.into_inner().accepted
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
                let work = run_maintenance(
                    frontend,
                    nodes,
                    discovery,
                    self.scenario.dispatchers,
                    plan,
                    seed,
                );
                self.maintenance_work = Some(self.frontend.context.tasks.spawn(work));
                return Ok(());
            }
        }
        Err("no dispatcher accepted the maintenance request".into())
    }

    /// Raises the minimum version to the newest one at the first dispatcher that accepts it.
    async fn raise_minimum_version(&mut self) -> Result<(), String> {
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
        let version_number = newest.ok_or("no version has been published yet")?;
        for dispatcher in 0..self.scenario.dispatchers {
            if let Some(mut client) = self.frontend.versions_client(dispatcher).await
                && let Some(Ok(reply)) = within(
                    Duration::from_secs(5),
                    Box::pin(client.raise(v1::RaiseMinimumVersionRequest {
                        version: version_number,
                    })),
                )
                .await
                && reply.get_ref().accepted
            {
                self.frontend
                    .context
                    .capture
                    .record(Observation::MinimumVersionRaised { version_number });
                return Ok(());
            }
        }
        Err("no dispatcher raised the minimum version".into())
    }

    /// Runs the operator's `fleet audit` over the whole fleet and compares its operations with what
    /// the nodes' sockets received.
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
        let report: serde_json::Value = serde_json::from_slice(&output.stdout)
            .map_err(|why| format!("the audit's output is not valid JSON: {why}"))?;
        let mut sockets: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        for line in self.frontend.context.capture.lines() {
            if let Observation::Offered {
                dispatcher,
                version_number,
                ..
            } = line.observation
            {
                *sockets
                    .entry((u64::from(dispatcher), version_number))
                    .or_default() += 1;
            }
        }
        let number = |row: &serde_json::Value, name: &str| row[name].as_u64().unwrap_or(u64::MAX);
        let rows = report["acts"].as_array().into_iter().flatten();
        let rows = rows.map(|row| {
            (
                (number(row, "dispatcher"), number(row, "version")),
                number(row, "shots"),
            )
        });
        let equal = rows
            .filter(|(_, attempts)| *attempts > 0)
            .collect::<BTreeMap<_, _>>()
            == sockets;
        let capture = &self.frontend.context.capture;
        // Records each dispatcher's version at the end: one that caught up from peers has reported
        // it to no control service.
        for dispatcher in report["dispatchers"].as_array().into_iter().flatten() {
            if let (Some(dispatcher), Some(version)) = (
                dispatcher["number"].as_u64(),
                dispatcher["version"].as_u64(),
            ) {
                capture.record(Observation::VersionActive {
                    dispatcher: dispatcher as u32,
                    number: version,
                });
            }
        }
        let findings = report["findings"].as_array().map_or(0, Vec::len);
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

    /// Spawns a client with a random task.
    fn request_task(&mut self, number: u64, until: Instant) -> async_executor::Task<()> {
        let rng = &mut self.rng;
        let draw = rng.random_range(0.0..100.0);
        let service_class = match draw {
            draw if draw < self.scenario.deduplicated => 1,
            draw if draw < self.scenario.deduplicated + self.scenario.not_retryable => 2,
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
        let task_rng = Pcg64Mcg::seed_from_u64(rng.random());
        self.frontend.context.tasks.spawn(client::run_task(
            Arc::clone(&self.frontend),
            task,
            task_rng,
            until,
        ))
    }

    /// Injects a fault and returns the actions that end it.
    fn inject(&mut self, fault: &ScheduledFault) -> Result<Vec<Undo>, String> {
        let name = crate::scenario::FAULT_KINDS
            .iter()
            .find(|(_, kind)| *kind == fault.kind)
            .map_or("", |(name, _)| name);
        self.frontend
            .context
            .capture
            .record(Observation::Fault { name: name.into() });
        let time = fault.duration;
        let mut running_nodes: Vec<usize> = (0..self.nodes.len())
            .filter(|&index| self.nodes[index].is_running())
            .collect();
        running_nodes.shuffle(&mut self.rng);
        running_nodes.truncate(fault.count);
        // Faults of dispatchers affect whole processes, each with all its dispatchers.
        let mut processes: Vec<usize> = (0..self.fleet.len())
            .filter(|&index| self.fleet[index].child.is_some())
            .collect();
        processes.shuffle(&mut self.rng);
        processes.truncate(fault.count);
        let mut undos = Vec::new();
        match fault.kind {
            FaultKind::KillNodes => {
                for index in running_nodes {
                    self.kill(index);
                    undos.push(Undo::StartNode(index));
                }
            }
            FaultKind::RestartCell => {
                let cell = running_nodes
                    .first()
                    .map(|&index| self.nodes[index].config.cell);
                let of_cell = |index: &usize| Some(self.nodes[*index].config.cell) == cell;
                for index in (0..self.nodes.len()).filter(of_cell).collect::<Vec<_>>() {
                    self.kill(index);
                    undos.push(Undo::StartNode(index));
                }
            }
            FaultKind::LoseFailureDomain => {
                let domain = running_nodes
                    .first()
                    .map(|&index| self.scenario.failure_domain(self.nodes[index].config.cell));
                let of_domain = |index: &usize| {
                    Some(self.scenario.failure_domain(self.nodes[*index].config.cell)) == domain
                };
                for index in (0..self.nodes.len()).filter(of_domain).collect::<Vec<_>>() {
                    self.kill(index);
                    undos.push(Undo::StartNode(index));
                }
            }
            FaultKind::DrainNodes => {
                for index in running_nodes {
                    self.nodes[index].drain();
                    self.update_endpoint(index, v1::endpoint::State::Draining);
                    undos.push(Undo::EndDrain(index));
                }
            }
            FaultKind::StallNodes => running_nodes
                .iter()
                .for_each(|&index| self.nodes[index].stall(time)),
            FaultKind::CutNodeConnections => running_nodes
                .iter()
                .for_each(|&index| self.nodes[index].cut_connections(time)),
            FaultKind::LoseReplies => running_nodes
                .iter()
                .for_each(|&index| self.nodes[index].drop_events(time)),
            FaultKind::DelayReports => {
                let extra_age = Duration::from_millis(self.rng.random_range(700..4000));
                running_nodes
                    .iter()
                    .for_each(|&index| self.nodes[index].delay_reports(time, extra_age));
            }
            FaultKind::ClearProgramCaches => running_nodes
                .iter()
                .for_each(|&index| self.nodes[index].clear_program_cache()),
            FaultKind::DiscoveryUnreachable => self.discovery.disconnect(Some(time)),
            FaultKind::Demand | FaultKind::Burst => {}
            FaultKind::KillDispatchers => {
                for index in processes {
                    self.fleet[index].kill(&self.frontend)?;
                    undos.push(Undo::RestartDispatchers(index));
                }
            }
            FaultKind::CutDispatchers | FaultKind::DelayDispatchers | FaultKind::HoldVersions => {
                let Some(proxies) = &self.proxies else {
                    return Err("no fault proxies are running".into());
                };
                let numbers = processes
                    .iter()
                    .flat_map(|&index| self.fleet[index].dispatchers.clone());
                for index in numbers.take(fault.count) {
                    self.record_connection_fault(index, true, fault.delay);
                    if fault.kind == FaultKind::HoldVersions {
                        proxies.hold_versions(index);
                        undos.push(Undo::HealConnections(index, vec![ConnectionPeer::Control]));
                    } else {
                        proxies.inject(index, fault);
                        undos.push(Undo::HealConnections(index, fault.peers.clone()));
                    }
                }
            }
            FaultKind::FullDisk => {
                for index in processes {
                    self.fleet[index].limit_file_size(Some(0))?;
                    undos.push(Undo::FreeDisk(index));
                }
            }
            FaultKind::PauseDispatchers => {
                for index in processes {
                    self.fleet[index].signal(
                        &self.frontend,
                        rustix::process::Signal::STOP,
                        DispatcherState::Paused,
                    )?;
                    undos.push(Undo::Resume(index));
                }
            }
        }
        Ok(undos)
    }

    /// Returns the ids of the running hollow processes.
    pub fn hollow_process_ids(&self) -> Vec<u32> {
        let hollow = self.fleet.iter().filter(|process| process.hollow);
        hollow
            .filter_map(|process| Some(process.child.as_ref()?.id()))
            .collect()
    }

    /// Reads the cost of each process so far and its dispatchers' counters.
    pub async fn read_costs(&self) -> Result<Vec<cost::Reading>, String> {
        let mut readings = Vec::new();
        for process in &self.fleet {
            let Some(mut reading) = process.cost() else {
                continue;
            };
            for number in process.dispatchers.clone() {
                let status = async {
                    let mut client = self.frontend.placement_client(number).await?;
                    client.status(v1::StatusRequest {}).await.ok()
                };
                // A paused or unreachable dispatcher returns no counters and is left out of the
                // figures.
                let status = within(Duration::from_secs(5), Box::pin(status))
                    .await
                    .flatten();
                reading
                    .counts
                    .extend(status.map(|status| (number, status.into_inner().connection_traffic)));
            }
            readings.push(reading);
        }
        Ok(readings)
    }

    fn record_connection_fault(&self, index: usize, begins: bool, delay: Duration) {
        let (dispatcher, delay_us) = (index as u32, delay.as_micros() as u64);
        self.frontend
            .context
            .capture
            .record(Observation::ConnectionFault {
                dispatcher,
                begins,
                delay_us,
            });
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].kill(NodeState::Gone);
        self.update_endpoint(index, v1::endpoint::State::Gone);
    }

    /// Updates a node's state at the discovery service after a random delay.
    fn update_endpoint(&mut self, index: usize, state: v1::endpoint::State) {
        let delay = Duration::from_millis(self.rng.random_range(100..900));
        if let Some(entry) = self.discovery.endpoint(self.nodes[index].config.id) {
            self.discovery.update(
                delay,
                v1::Endpoint {
                    state: state.into(),
                    ..entry
                },
            );
        }
    }

    async fn undo(&mut self, undo: Undo) -> Result<(), String> {
        match undo {
            Undo::StartNode(index) => {
                let node = &self.nodes[index];
                if !node.is_running() {
                    let address = node
                        .start_process(true)
                        .await
                        .map_err(|why| why.to_string())?;
                    let entry =
                        endpoint_entry(node, address, corkspan_dispatcher::clock::wall_ms());
                    let delay = Duration::from_millis(self.rng.random_range(50..500));
                    self.discovery.update(delay, entry);
                }
            }
            Undo::EndDrain(index) => {
                // The node's process ends with the drain and starts again.
                if self.nodes[index].is_running() {
                    self.kill(index);
                }
                Box::pin(self.undo(Undo::StartNode(index))).await?;
            }
            Undo::RestartDispatchers(index) => {
                if self.fleet[index].child.is_none() {
                    self.fleet[index]
                        .start(&self.frontend, self.proxies.as_ref())
                        .await?;
                }
            }
            Undo::HealConnections(index, peers) => {
                self.record_connection_fault(index, false, Duration::ZERO);
                self.proxies
                    .iter()
                    .for_each(|proxies| proxies.heal(index, &peers));
            }
            Undo::FreeDisk(index) => self.fleet[index].limit_file_size(None)?,
            Undo::Resume(index) => {
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

/// Time after the scenario's end within which all maintenance must finish.
const MAINTENANCE_TIMEOUT: Duration = Duration::from_secs(180);
/// Time for a new replica of the rollout to get ready.
const PROGRESS_DEADLINE: Duration = Duration::from_secs(20);
/// High, since faults on nodes and dispatchers during the rollout must not halt it.
const MAX_FAILURES: u32 = 1_000;
