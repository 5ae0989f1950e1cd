//! Measures what each role costs depending on the number of machines, dispatchers, tasks, waiting
//! allocations and versions. One axis is varied at a time, over several values and in repeated
//! rounds, with real dispatchers and stand-ins for all else. `corkspan_capacity_model` evaluates
//! the results.

mod environment;
mod full_node;
mod kernel;
mod meter;
pub mod scheduling_cost;

use async_io::Timer;
use corkspan_capacity_model::requirements;
use corkspan_capacity_model::result::{Axis, CapacityResult, FleetSize, Point, Run};
use corkspan_rpc::{SharedExecutor, within};
use environment::placement_request;
pub use environment::{
    Environment, EnvironmentConfig, FreeCapacity, ObservedFigures, Peer, PlacementStreams,
};
use futures_lite::future;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings of a capacity measurement.
pub struct Capacity {
    pub program: Vec<OsString>,
    pub size: FleetSize,
    pub axes: Vec<Axis>,
    pub rounds: u32,
    /// The duration of each observation; dispatchers poll quorum members every 2 s.
    pub watch: Duration,
    pub quick: bool,
    pub seed: u64,
    /// The command line, for the capacity page.
    pub command: String,
}

/// The largest number of times that an invalid point is measured again.
const MAX_REPEATS: u32 = 1;
/// The wait between the start of the dispatchers and their observation.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The limit on the 99th percentile of the delay with which requests are sent. Beyond it, the load
/// differs from the intended one.
const MAX_LATENESS: Duration = Duration::from_millis(50);
/// The smallest valid ratio of placements to intended requests.
const MIN_COMPLETION: f64 = 0.95;
/// Machines of the measurements along the axes of dispatchers and versions.
const FEW_MACHINES: u32 = 140;
const CAPACITY_REPORT_INTERVAL: Duration = Duration::from_secs(5);

type Figures = BTreeMap<String, f64>;

/// The figures measured at one point, and the reasons why they are invalid, if any.
#[derive(Default)]
struct Measured {
    figures: Figures,
    invalid: Vec<String>,
}

impl Measured {
    fn record(&mut self, name: &str, value: f64) {
        // Further digits are noise and make the stored file hard to read.
        self.figures
            .insert(name.into(), (value * 1e4).round() / 1e4);
    }

    fn add_invalid(&mut self, phase: &str, observed: &ObservedFigures) {
        self.invalid.extend(
            observed
                .invalid_reasons
                .iter()
                .map(|why| format!("{phase}: {why}")),
        );
    }
}

/// A series of measurements along an axis.
struct Series {
    axis: Axis,
    name: &'static str,
    fixed: String,
    places: Vec<f64>,
}

impl Capacity {
    fn series(&self) -> Vec<Series> {
        let size = &self.size;
        let (machines, quick) = (size.machines, self.quick);
        let choose_places =
            |full: &[f64], small: &[f64]| if quick { small.to_vec() } else { full.to_vec() };
        let series_of = |axis: Axis| match axis {
            Axis::Machines => vec![Series {
                axis,
                name: "control",
                fixed: format!("1 dispatcher of {}, 3 keepers, no asks", size.dispatchers),
                places: choose_places(
                    &[140.0, 400.0, machines, machines * 2.0],
                    &[140.0, 400.0, machines],
                ),
            }],
            Axis::Dispatchers => vec![Series {
                axis,
                name: "control",
                fixed: format!(
                    "{FEW_MACHINES} machines, each one's room told each 5 s, 3 keepers, no asks"
                ),
                places: choose_places(&[5.0, 20.0, 60.0, 150.0, 300.0], &[5.0, 10.0, 20.0]),
            }],
            Axis::Tasks => vec![
                Series {
                    axis,
                    name: "held",
                    fixed: format!(
                        "1 dispatcher of {}, {machines} machines, no further asks",
                        size.dispatchers
                    ),
                    places: choose_places(
                        &[200.0, 500.0, 1_000.0, 2_000.0, size.running],
                        &[100.0, 300.0, 600.0],
                    ),
                },
                Series {
                    axis,
                    name: "starts",
                    fixed: format!(
                        "1 dispatcher of {}, {machines} machines with room, tasks that end at once",
                        size.dispatchers
                    ),
                    places: [0.1, 0.3, 0.6, 1.0]
                        .map(|part| (part * size.starts_a_second).round())
                        .to_vec(),
                },
            ],
            Axis::Waiting => {
                let series = |name, load| Series {
                    axis,
                    name,
                    fixed: format!(
                        "1 dispatcher of {}, {machines} machines {load}",
                        size.dispatchers
                    ),
                    places: [0.0, 0.1, 0.3, 1.0]
                        .map(|part| (part * size.waiting).round())
                        .to_vec(),
                };
                vec![
                    series(
                        "full by asks",
                        "on which as much is asked for as they accept",
                    ),
                    series("full by use", "whose memory is in use"),
                ]
            }
            Axis::Versions => vec![Series {
                axis,
                name: "pushed",
                fixed: format!(
                    "1 dispatcher of {}, {FEW_MACHINES} machines, no asks",
                    size.dispatchers
                ),
                places: vec![0.0, 1.0, 2.0, 5.0],
            }],
        };
        self.axes.iter().flat_map(|axis| series_of(*axis)).collect()
    }

    /// Returns an error if this machine lacks the resources for a measurement or for the fleet
    /// size.
    fn check_requirements(&self) -> Result<(), String> {
        let available = kernel::machine_resources();
        for series in self.series() {
            let max_place = series.places.iter().copied().fold(0.0, f64::max) as u64;
            let machines = self.size.machines as u64;
            let required = match series.axis {
                Axis::Machines => requirements::required_for(1, max_place, 0),
                Axis::Dispatchers => {
                    requirements::required_for(max_place, u64::from(FEW_MACHINES), 0)
                }
                Axis::Tasks | Axis::Waiting => requirements::required_for(1, machines, max_place),
                Axis::Versions => requirements::required_for(1, u64::from(FEW_MACHINES), 0),
            };
            requirements::check(required, available)
                .map_err(|why| format!("{} / {}: {why}", series.axis.name(), series.name))?;
        }
        // The fleet size itself, with each of its dispatchers as a process.
        let required = requirements::required_for(
            self.size.dispatchers as u64,
            self.size.machines as u64,
            self.size.running as u64,
        );
        requirements::check(required, available).map_err(|why| format!("the size: {why}"))
    }

    /// Runs all measurements and passes each run to `on_run` as soon as it is complete.
    pub fn run(&self, mut on_run: impl FnMut(Run) -> Result<(), String>) -> Result<(), String> {
        self.check_requirements()?;
        for series in self.series() {
            let mut run = Run {
                axis: series.axis,
                series: series.name.into(),
                command: self.command.clone(),
                seed: self.seed,
                cores: kernel::cores(),
                memory_mib: kernel::machine_resources().memory_mib,
                fixed: series.fixed.clone(),
                places: series.places.clone(),
                rounds: self.rounds,
                points: Vec::new(),
            };
            for round in 0..self.rounds {
                for &at in &series.places {
                    let mut point = self.measure_point(&series, at, round)?;
                    for _ in 0..MAX_REPEATS {
                        if point.invalid.is_some() {
                            run.points.push(std::mem::replace(
                                &mut point,
                                self.measure_point(&series, at, round)?,
                            ));
                        }
                    }
                    run.points.push(point);
                }
            }
            on_run(run)?;
        }
        Ok(())
    }

    fn measure_point(&self, series: &Series, at: f64, round: u32) -> Result<Point, String> {
        let (before, tasks) = (kernel::load_average(), SharedExecutor::default());
        let measured = match (series.axis, series.name) {
            (Axis::Machines, _) => {
                future::block_on(tasks.clone().run(self.measure_machines(tasks, at)))
            }
            (Axis::Dispatchers, _) => {
                future::block_on(tasks.clone().run(self.measure_dispatchers(tasks, at)))
            }
            (Axis::Tasks, "held") => {
                future::block_on(tasks.clone().run(self.measure_held(tasks, at)))
            }
            (Axis::Tasks, _) => future::block_on(tasks.clone().run(self.measure_starts(tasks, at))),
            (Axis::Waiting, "full by asks") => {
                future::block_on(tasks.clone().run(self.measure_waiting(
                    tasks,
                    at,
                    FreeCapacity::NoneByReservations,
                )))
            }
            (Axis::Waiting, _) => future::block_on(tasks.clone().run(self.measure_waiting(
                tasks,
                at,
                FreeCapacity::NoneByUsage,
            ))),
            (Axis::Versions, _) => {
                future::block_on(tasks.clone().run(self.measure_versions(tasks, at)))
            }
        };
        let measured = measured
            .map_err(|why| format!("{} / {} at {at}: {why}", series.axis.name(), series.name))?;
        let invalid = (!measured.invalid.is_empty()).then(|| measured.invalid.join("; "));
        let load = before.max(kernel::load_average());
        let reason = invalid
            .as_ref()
            .map_or(String::new(), |why| format!("  SPOILT: {why}"));
        println!(
            "{} / {} at {at}, round {round}, load {load:.1}{reason}",
            series.axis.name(),
            series.name
        );
        for (name, value) in &measured.figures {
            println!("    {name:<32} {value:>14.3}");
        }
        Ok(Point {
            at,
            round,
            load,
            invalid,
            figures: measured.figures,
        })
    }

    fn environment_config(&self, machines: u32, dispatchers: usize) -> EnvironmentConfig {
        let schedulers = dispatchers.max(self.size.dispatchers as usize);
        EnvironmentConfig {
            machines,
            dispatchers,
            schedulers,
            free_capacity: FreeCapacity::Plenty,
            seed: self.seed,
        }
    }

    async fn measure_machines(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment =
            Environment::start(&tasks, &self.program, self.environment_config(at as u32, 1))
                .await?;
        Timer::after(SETTLE_TIME).await;
        let mut measured = Measured::default();
        let quiet = environment.observe(self.watch).await?;
        let reports = environment.report_capacity(Duration::from_secs(1));
        Timer::after(Duration::from_secs(1)).await;
        let reported = environment.observe(self.watch).await?;
        drop(reports);
        for (name, observed) in [("quiet", &quiet), ("told", &reported)] {
            measured.record(&format!("{name}, bytes/s"), observed.control_bytes(1));
            measured.record(&format!("{name}, core %"), observed.core_percent);
            measured.add_invalid(name, observed);
            for peer in [
                Peer::Discovery,
                Peer::QuorumMembers,
                Peer::Control,
                Peer::Nodes,
            ] {
                let kind = peer.recorded_name().to_lowercase();
                measured.record(
                    &format!("{name}, {kind}, bytes/s"),
                    observed.bytes_per_second[&peer],
                );
                if let Some([bytes, messages_in, messages_out]) = observed
                    .counted_per_second
                    .as_ref()
                    .and_then(|counts| counts.get(&peer))
                {
                    measured.record(&format!("{name}, {kind}, bytes/s by its own count"), *bytes);
                    measured.record(
                        &format!("{name}, {kind}, messages/s"),
                        messages_in + messages_out,
                    );
                }
            }
        }
        measured.record(
            "roster, bytes/s",
            reported.bytes_per_second[&Peer::Discovery],
        );
        measured.record(
            "roster's thread, core %",
            reported.thread_percent[&Peer::Discovery],
        );
        measured.record(
            "told, bytes a line",
            reported.bytes_per_second[&Peer::Discovery] / at,
        );
        measured.record("memory, MiB", reported.resident_mib);
        Ok(measured)
    }

    async fn measure_dispatchers(
        &self,
        tasks: SharedExecutor,
        at: f64,
    ) -> Result<Measured, String> {
        let dispatchers = at as usize;
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.environment_config(FEW_MACHINES, dispatchers),
        )
        .await?;
        Timer::after(SETTLE_TIME).await;
        let mut measured = Measured::default();
        let reports = environment.report_capacity(CAPACITY_REPORT_INTERVAL);
        Timer::after(Duration::from_secs(1)).await;
        let reported = environment.observe(self.watch).await?;
        drop(reports);
        measured.add_invalid("told", &reported);
        measured.record("told, bytes/s", reported.control_bytes(dispatchers));
        measured.record("core %", reported.core_percent);
        measured.record("memory, MiB", reported.resident_mib);
        for peer in [Peer::Discovery, Peer::QuorumMembers, Peer::Control] {
            let kind = peer.recorded_name().to_lowercase();
            measured.record(
                &format!("{kind}, bytes/s"),
                reported.bytes_per_second[&peer],
            );
            measured.record(
                &format!(
                    "{kind}{} thread, core %",
                    if peer == Peer::QuorumMembers {
                        "'"
                    } else {
                        "'s"
                    }
                ),
                reported.thread_percent[&peer],
            );
        }
        // Each dispatcher receives the first version whole, and the next ones as changes.
        environment
            .wait_until_active(environment.publish(0))
            .await?;
        let mut slowest: f64 = 0.0;
        for number in 1..=3 {
            let published_at = Instant::now();
            environment
                .wait_until_active(environment.publish(number))
                .await?;
            slowest = slowest.max(published_at.elapsed().as_secs_f64());
        }
        measured.record("in force, s", slowest);
        Ok(measured)
    }

    async fn measure_held(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.environment_config(self.size.machines as u32, 1),
        )
        .await?;
        let mut streams = environment.request_tasks(at as usize).await?;
        for stream in &mut streams {
            let event = within(Duration::from_secs(60), stream.message()).await;
            event
                .ok_or("a task was not placed within 60 s")?
                .map_err(|why| why.to_string())?;
        }
        Timer::after(SETTLE_TIME).await;
        let observed = environment.observe(self.watch).await?;
        let mut measured = Measured::default();
        measured.add_invalid("held", &observed);
        measured.record("core %", observed.core_percent);
        measured.record("memory, MiB", observed.resident_mib);
        measured.record("bytes/s", observed.control_bytes(1));
        measured.record("in hand", environment.status().await?.in_flight as f64);
        Ok(measured)
    }

    async fn measure_starts(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.environment_config(self.size.machines as u32, 1),
        )
        .await?;
        let client = environment.client().await?;
        let delays: Arc<Mutex<Vec<Duration>>> = Arc::default();
        let initial = environment.status().await?;
        let requests = {
            let (tasks, delays, interval) = (
                tasks.clone(),
                Arc::clone(&delays),
                Duration::from_secs_f64(1.0 / at),
            );
            tasks.clone().spawn(async move {
                let mut due = Instant::now();
                for number in 0u64.. {
                    due += interval;
                    Timer::at(due).await;
                    delays
                        .lock()
                        .expect("no thread panics while it holds the lock")
                        .push(due.elapsed());
                    let mut client = client.clone();
                    tasks
                        .spawn(async move {
                            let placed = client
                                .place(placement_request(&format!("start{number}"), 1, 10_000))
                                .await;
                            let Ok(events) = placed else { return };
                            let mut events = events.into_inner();
                            while let Ok(Some(_)) = events.message().await {}
                        })
                        .detach();
                }
            })
        };
        Timer::after(SETTLE_TIME).await;
        let before = environment.status().await?;
        let observed = environment.observe(self.watch).await?;
        let after = environment.status().await?;
        drop(requests);
        let mut measured = Measured::default();
        measured.add_invalid("starts", &observed);
        let mut delays = std::mem::take(
            &mut *delays
                .lock()
                .expect("no thread panics while it holds the lock"),
        );
        delays.sort();
        let p99 = delays
            .get(delays.len() * 99 / 100)
            .copied()
            .unwrap_or_default();
        if p99 > MAX_LATENESS {
            measured.invalid.push(format!(
                "asks left {} ms late at the 99th percentile",
                p99.as_millis()
            ));
        }
        let placed = (after.placed - before.placed) as f64 / observed.seconds;
        if placed < at * MIN_COMPLETION {
            measured
                .invalid
                .push(format!("{placed:.0} a second were placed"));
        }
        measured.record("core %", observed.core_percent);
        measured.record(
            "core us a start",
            observed.core_percent * 1e4 / placed.max(1.0),
        );
        measured.record(
            "nodes, bytes/s",
            observed.bytes_per_second[&Peer::Nodes]
                + observed.bytes_per_second[&Peer::QuorumMembers],
        );
        measured.record("owners, bytes/s", observed.bytes_per_second[&Peer::Clients]);
        measured.record("placed a second", placed);
        measured.record(
            "links to nodes opened",
            environment.connections_opened()[&Peer::Nodes] as f64,
        );
        measured.record(
            "asked before it was watched",
            (before.requested - initial.requested) as f64,
        );
        measured.record("memory, MiB", observed.resident_mib);
        Ok(measured)
    }

    async fn measure_waiting(
        &self,
        tasks: SharedExecutor,
        at: f64,
        free_capacity: FreeCapacity,
    ) -> Result<Measured, String> {
        let environment_config = EnvironmentConfig {
            free_capacity,
            ..self.environment_config(self.size.machines as u32, 1)
        };
        let environment = Environment::start(&tasks, &self.program, environment_config).await?;
        let requests = at as usize;
        let (mut streams, mut clients) = (Vec::new(), Vec::new());
        match free_capacity {
            // The dispatcher offers some of these, and they are rejected, until it has load reports
            // of enough machines.
            FreeCapacity::NoneByUsage => clients = environment.request_repeatedly(requests).await?,
            _ => streams = environment.request_tasks(requests).await?,
        }
        Timer::after(SETTLE_TIME * 2).await;
        let before = environment.status().await?;
        let observed = environment.observe(self.watch).await?;
        let status = environment.status().await?;
        let mut measured = Measured::default();
        measured.add_invalid("waiting", &observed);
        let min_in_flight = if free_capacity == FreeCapacity::NoneByUsage {
            at * 0.8
        } else {
            at
        };
        if status.placed > 0 || (status.in_flight as f64) < min_in_flight {
            measured.invalid.push(format!(
                "{} were placed and {} are in hand",
                status.placed, status.in_flight
            ));
        }
        drop((streams, clients));
        measured.record("core %", observed.core_percent);
        measured.record("memory, MiB", observed.resident_mib);
        measured.record("bytes/s", observed.control_bytes(1));
        measured.record("in hand", status.in_flight as f64);
        measured.record(
            "asked anew a second",
            (status.requested - before.requested) as f64 / observed.seconds,
        );
        Ok(measured)
    }

    async fn measure_versions(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.environment_config(FEW_MACHINES, 1),
        )
        .await?;
        environment
            .wait_until_active(environment.publish(0))
            .await?;
        Timer::after(SETTLE_TIME).await;
        let pushes = async {
            if at == 0.0 {
                future::pending::<()>().await;
            }
            let (interval, mut due) = (Duration::from_secs_f64(1.0 / at), Instant::now());
            for number in 1u64.. {
                due += interval;
                Timer::at(due).await;
                environment.publish(number);
            }
            Err(String::new())
        };
        let observed = future::or(environment.observe(self.watch), pushes).await?;
        let mut measured = Measured::default();
        measured.add_invalid("versions", &observed);
        measured.record("core %", observed.core_percent);
        measured.record(
            "control, bytes/s",
            observed.bytes_per_second[&Peer::Control],
        );
        measured.record(
            "control's thread, core %",
            observed.thread_percent[&Peer::Control],
        );
        measured.record(
            "keepers, bytes/s",
            observed.bytes_per_second[&Peer::QuorumMembers],
        );
        Ok(measured)
    }
}

/// Adds a run to the stored result, which is created if it does not exist.
pub fn store_run(path: &std::path::Path, size: &FleetSize, run: Run) -> Result<(), String> {
    let with_path = |why: String| format!("{}: {why}", path.display());
    let mut stored = match std::fs::read_to_string(path) {
        Ok(text) => CapacityResult::read(&text).map_err(|why| with_path(why.to_string()))?,
        Err(why) if why.kind() == std::io::ErrorKind::NotFound => CapacityResult {
            size: size.clone(),
            runs: Vec::new(),
        },
        Err(why) => return Err(with_path(why.to_string())),
    };
    if stored.size != *size {
        return Err(with_path(
            "the stored result is for another fleet size".into(),
        ));
    }
    stored.insert(run);
    let new_path = path.with_extension("new");
    std::fs::write(&new_path, stored.to_json()).map_err(|why| with_path(why.to_string()))?;
    std::fs::rename(&new_path, path).map_err(|why| with_path(why.to_string()))
}
