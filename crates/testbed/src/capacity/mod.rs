//! What each role costs by machines, dispatchers, tasks, waiting allocations and versions: one axis
//! at a time, several places each, in rounds side by side. Real dispatchers before stand-ins; the
//! arithmetic is `corkspan_capacity_model`'s.

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
    Environment, EnvironmentConfig, FreeCapacity, Peer, PlacementStreams, Watched,
};
use futures_lite::future;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How it is measured.
pub struct Capacity {
    pub program: Vec<OsString>,
    pub size: FleetSize,
    pub axes: Vec<Axis>,
    pub rounds: u32,
    /// Of each watch; keepers are asked each 2 s.
    pub watch: Duration,
    pub quick: bool,
    pub seed: u64,
    /// As it was typed, for the page.
    pub command: String,
}

/// A place that was spoilt is measured again at most so often.
const AGAIN: u32 = 1;
/// After dispatchers have come up, before they are watched.
const SETTLE: Duration = Duration::from_secs(3);
/// Asks that leave so late, at the 99th percentile, are another load than was meant.
const LATE: Duration = Duration::from_millis(50);
/// Of what was to be told or asked, so much must have been.
const WHOLE: f64 = 0.95;
/// On the axis of dispatchers.
const FEW_MACHINES: u32 = 140;
const ROOM_EVERY: Duration = Duration::from_secs(5);

type Figures = BTreeMap<String, f64>;

/// What one place came to: figures, and why they tell nothing.
#[derive(Default)]
struct Measured {
    figures: Figures,
    spoilt: Vec<String>,
}

impl Measured {
    fn put(&mut self, name: &str, value: f64) {
        // Digits beyond these are noise, and make a kept file hard to read.
        self.figures
            .insert(name.into(), (value * 1e4).round() / 1e4);
    }

    fn spoils(&mut self, what: &str, watched: &Watched) {
        self.spoilt
            .extend(watched.spoilt.iter().map(|why| format!("{what}: {why}")));
    }
}

/// What to measure along an axis.
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
        let some = |full: &[f64], small: &[f64]| if quick { small.to_vec() } else { full.to_vec() };
        let of = |axis: Axis| match axis {
            Axis::Machines => vec![Series {
                axis,
                name: "control",
                fixed: format!("1 dispatcher of {}, 3 keepers, no asks", size.dispatchers),
                places: some(
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
                places: some(&[5.0, 20.0, 60.0, 150.0, 300.0], &[5.0, 10.0, 20.0]),
            }],
            Axis::Tasks => vec![
                Series {
                    axis,
                    name: "held",
                    fixed: format!(
                        "1 dispatcher of {}, {machines} machines, no further asks",
                        size.dispatchers
                    ),
                    places: some(
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
                let series = |name, how| Series {
                    axis,
                    name,
                    fixed: format!(
                        "1 dispatcher of {}, {machines} machines {how}",
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
        self.axes.iter().flat_map(|axis| of(*axis)).collect()
    }

    /// Refused at once where this machine can't carry it.
    fn fits(&self) -> Result<(), String> {
        let has = kernel::machine();
        for series in self.series() {
            let most = series.places.iter().copied().fold(0.0, f64::max) as u64;
            let machines = self.size.machines as u64;
            let needs = match series.axis {
                Axis::Machines => requirements::required_for(1, most, 0),
                Axis::Dispatchers => requirements::required_for(most, u64::from(FEW_MACHINES), 0),
                Axis::Tasks | Axis::Waiting => requirements::required_for(1, machines, most),
                Axis::Versions => requirements::required_for(1, u64::from(FEW_MACHINES), 0),
            };
            requirements::check(needs, has)
                .map_err(|why| format!("{} / {}: {why}", series.axis.name(), series.name))?;
        }
        // What the size itself says stands as processes.
        let whole = requirements::required_for(
            self.size.dispatchers as u64,
            self.size.machines as u64,
            self.size.running as u64,
        );
        requirements::check(whole, has).map_err(|why| format!("the size: {why}"))
    }

    /// Measures, telling each run as soon as it is whole.
    pub fn run(&self, mut whole: impl FnMut(Run) -> Result<(), String>) -> Result<(), String> {
        self.fits()?;
        for series in self.series() {
            let mut run = Run {
                axis: series.axis,
                series: series.name.into(),
                command: self.command.clone(),
                seed: self.seed,
                cores: kernel::cores(),
                memory_mib: kernel::machine().memory_mib,
                fixed: series.fixed.clone(),
                places: series.places.clone(),
                rounds: self.rounds,
                points: Vec::new(),
            };
            for round in 0..self.rounds {
                for &at in &series.places {
                    let mut point = self.point(&series, at, round)?;
                    for _ in 0..AGAIN {
                        if point.invalid.is_some() {
                            run.points.push(std::mem::replace(
                                &mut point,
                                self.point(&series, at, round)?,
                            ));
                        }
                    }
                    run.points.push(point);
                }
            }
            whole(run)?;
        }
        Ok(())
    }

    fn point(&self, series: &Series, at: f64, round: u32) -> Result<Point, String> {
        let (before, tasks) = (kernel::load(), SharedExecutor::default());
        let measured = match (series.axis, series.name) {
            (Axis::Machines, _) => future::block_on(tasks.clone().run(self.machines(tasks, at))),
            (Axis::Dispatchers, _) => {
                future::block_on(tasks.clone().run(self.dispatchers(tasks, at)))
            }
            (Axis::Tasks, "held") => future::block_on(tasks.clone().run(self.held(tasks, at))),
            (Axis::Tasks, _) => future::block_on(tasks.clone().run(self.starts(tasks, at))),
            (Axis::Waiting, "full by asks") => future::block_on(tasks.clone().run(self.waiting(
                tasks,
                at,
                FreeCapacity::NoneByAsks,
            ))),
            (Axis::Waiting, _) => future::block_on(tasks.clone().run(self.waiting(
                tasks,
                at,
                FreeCapacity::NoneByUse,
            ))),
            (Axis::Versions, _) => future::block_on(tasks.clone().run(self.versions(tasks, at))),
        };
        let measured = measured
            .map_err(|why| format!("{} / {} at {at}: {why}", series.axis.name(), series.name))?;
        let spoilt = (!measured.spoilt.is_empty()).then(|| measured.spoilt.join("; "));
        let load = before.max(kernel::load());
        let told = spoilt
            .as_ref()
            .map_or(String::new(), |why| format!("  SPOILT: {why}"));
        println!(
            "{} / {} at {at}, round {round}, load {load:.1}{told}",
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
            invalid: spoilt,
            figures: measured.figures,
        })
    }

    fn setting(&self, machines: u32, dispatchers: usize) -> EnvironmentConfig {
        let schedulers = dispatchers.max(self.size.dispatchers as usize);
        EnvironmentConfig {
            machines,
            dispatchers,
            schedulers,
            room: FreeCapacity::Plenty,
            seed: self.seed,
        }
    }

    async fn machines(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment =
            Environment::start(&tasks, &self.program, self.setting(at as u32, 1)).await?;
        Timer::after(SETTLE).await;
        let mut out = Measured::default();
        let quiet = environment.watch(self.watch).await?;
        let telling = environment.report_capacity(Duration::from_secs(1));
        Timer::after(Duration::from_secs(1)).await;
        let told = environment.watch(self.watch).await?;
        drop(telling);
        for (name, watched) in [("quiet", &quiet), ("told", &told)] {
            out.put(&format!("{name}, bytes/s"), watched.control_bytes(1));
            out.put(&format!("{name}, core %"), watched.core);
            out.spoils(name, watched);
            for end in [Peer::Roster, Peer::Keepers, Peer::Control, Peer::Nodes] {
                let kind = format!("{end:?}").to_lowercase();
                out.put(&format!("{name}, {kind}, bytes/s"), watched.bytes[&end]);
                if let Some([bytes, came, went]) =
                    watched.counted.as_ref().and_then(|own| own.get(&end))
                {
                    out.put(&format!("{name}, {kind}, bytes/s by its own count"), *bytes);
                    out.put(&format!("{name}, {kind}, messages/s"), came + went);
                }
            }
        }
        out.put("roster, bytes/s", told.bytes[&Peer::Roster]);
        out.put("roster's thread, core %", told.threads[&Peer::Roster]);
        out.put("told, bytes a line", told.bytes[&Peer::Roster] / at);
        out.put("memory, MiB", told.mib);
        Ok(out)
    }

    async fn dispatchers(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let many = at as usize;
        let environment =
            Environment::start(&tasks, &self.program, self.setting(FEW_MACHINES, many)).await?;
        Timer::after(SETTLE).await;
        let mut out = Measured::default();
        let telling = environment.report_capacity(ROOM_EVERY);
        Timer::after(Duration::from_secs(1)).await;
        let told = environment.watch(self.watch).await?;
        drop(telling);
        out.spoils("told", &told);
        out.put("told, bytes/s", told.control_bytes(many));
        out.put("core %", told.core);
        out.put("memory, MiB", told.mib);
        for end in [Peer::Roster, Peer::Keepers, Peer::Control] {
            let kind = format!("{end:?}").to_lowercase();
            out.put(&format!("{kind}, bytes/s"), told.bytes[&end]);
            out.put(
                &format!(
                    "{kind}{} thread, core %",
                    if end == Peer::Keepers { "'" } else { "'s" }
                ),
                told.threads[&end],
            );
        }
        // The first is taken whole by each; the next are changes.
        environment
            .wait_until_active(environment.publish(0))
            .await?;
        let mut slowest: f64 = 0.0;
        for which in 1..=3 {
            let began = Instant::now();
            environment
                .wait_until_active(environment.publish(which))
                .await?;
            slowest = slowest.max(began.elapsed().as_secs_f64());
        }
        out.put("in force, s", slowest);
        Ok(out)
    }

    async fn held(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.setting(self.size.machines as u32, 1),
        )
        .await?;
        let mut words = environment.request_tasks(at as usize).await?;
        for own in &mut words {
            let word = within(Duration::from_secs(60), own.message()).await;
            word.ok_or("a task is not placed in 60 s")?
                .map_err(|why| why.to_string())?;
        }
        Timer::after(SETTLE).await;
        let watched = environment.watch(self.watch).await?;
        let mut out = Measured::default();
        out.spoils("held", &watched);
        out.put("core %", watched.core);
        out.put("memory, MiB", watched.mib);
        out.put("bytes/s", watched.control_bytes(1));
        out.put("in hand", environment.status().await?.in_flight as f64);
        Ok(out)
    }

    async fn starts(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment = Environment::start(
            &tasks,
            &self.program,
            self.setting(self.size.machines as u32, 1),
        )
        .await?;
        let client = environment.client().await?;
        let late: Arc<Mutex<Vec<Duration>>> = Arc::default();
        let before = environment.status().await?;
        let asking = {
            let (tasks, late, apart) = (
                tasks.clone(),
                Arc::clone(&late),
                Duration::from_secs_f64(1.0 / at),
            );
            tasks.clone().spawn(async move {
                let mut due = Instant::now();
                for number in 0u64.. {
                    due += apart;
                    Timer::at(due).await;
                    late.lock()
                        .expect("no one panics over the times")
                        .push(due.elapsed());
                    let mut client = client.clone();
                    tasks
                        .spawn(async move {
                            let placed = client
                                .place(placement_request(&format!("start{number}"), 1, 10_000))
                                .await;
                            let Ok(words) = placed else { return };
                            let mut words = words.into_inner();
                            while let Ok(Some(_)) = words.message().await {}
                        })
                        .detach();
                }
            })
        };
        Timer::after(SETTLE).await;
        let began = environment.status().await?;
        let watched = environment.watch(self.watch).await?;
        let ended = environment.status().await?;
        drop(asking);
        let mut out = Measured::default();
        out.spoils("starts", &watched);
        let mut late = std::mem::take(&mut *late.lock().expect("no one panics over the times"));
        late.sort();
        let p99 = late.get(late.len() * 99 / 100).copied().unwrap_or_default();
        if p99 > LATE {
            out.spoilt.push(format!(
                "asks left {} ms late at the 99th percentile",
                p99.as_millis()
            ));
        }
        let placed = (ended.placed - began.placed) as f64 / watched.seconds;
        if placed < at * WHOLE {
            out.spoilt.push(format!("{placed:.0} a second were placed"));
        }
        out.put("core %", watched.core);
        out.put("core us a start", watched.core * 1e4 / placed.max(1.0));
        out.put(
            "nodes, bytes/s",
            watched.bytes[&Peer::Nodes] + watched.bytes[&Peer::Keepers],
        );
        out.put("owners, bytes/s", watched.bytes[&Peer::Owners]);
        out.put("placed a second", placed);
        out.put(
            "links to nodes opened",
            environment.opened()[&Peer::Nodes] as f64,
        );
        out.put(
            "asked before it was watched",
            (began.requested - before.requested) as f64,
        );
        out.put("memory, MiB", watched.mib);
        Ok(out)
    }

    async fn waiting(
        &self,
        tasks: SharedExecutor,
        at: f64,
        room: FreeCapacity,
    ) -> Result<Measured, String> {
        let setting = EnvironmentConfig {
            room,
            ..self.setting(self.size.machines as u32, 1)
        };
        let environment = Environment::start(&tasks, &self.program, setting).await?;
        let many = at as usize;
        let (mut held, mut owners) = (Vec::new(), Vec::new());
        match room {
            // Some of these are offered until the dispatcher has heard of enough machines, and come
            // back refused.
            FreeCapacity::NoneByUse => owners = environment.request_repeatedly(many).await?,
            _ => held = environment.request_tasks(many).await?,
        }
        Timer::after(SETTLE * 2).await;
        let before = environment.status().await?;
        let watched = environment.watch(self.watch).await?;
        let status = environment.status().await?;
        let mut out = Measured::default();
        out.spoils("waiting", &watched);
        let least = if room == FreeCapacity::NoneByUse {
            at * 0.8
        } else {
            at
        };
        if status.placed > 0 || (status.in_flight as f64) < least {
            out.spoilt.push(format!(
                "{} were placed and {} are in hand",
                status.placed, status.in_flight
            ));
        }
        drop((held, owners));
        out.put("core %", watched.core);
        out.put("memory, MiB", watched.mib);
        out.put("bytes/s", watched.control_bytes(1));
        out.put("in hand", status.in_flight as f64);
        out.put(
            "asked anew a second",
            (status.requested - before.requested) as f64 / watched.seconds,
        );
        Ok(out)
    }

    async fn versions(&self, tasks: SharedExecutor, at: f64) -> Result<Measured, String> {
        let environment =
            Environment::start(&tasks, &self.program, self.setting(FEW_MACHINES, 1)).await?;
        environment
            .wait_until_active(environment.publish(0))
            .await?;
        Timer::after(SETTLE).await;
        let pushes = async {
            if at == 0.0 {
                future::pending::<()>().await;
            }
            let (apart, mut due) = (Duration::from_secs_f64(1.0 / at), Instant::now());
            for which in 1u64.. {
                due += apart;
                Timer::at(due).await;
                environment.publish(which);
            }
            Err(String::new())
        };
        let watched = future::or(environment.watch(self.watch), pushes).await?;
        let mut out = Measured::default();
        out.spoils("versions", &watched);
        out.put("core %", watched.core);
        out.put("control, bytes/s", watched.bytes[&Peer::Control]);
        out.put("control's thread, core %", watched.threads[&Peer::Control]);
        out.put("keepers, bytes/s", watched.bytes[&Peer::Keepers]);
        Ok(out)
    }
}

/// A kept result with this run in it.
pub fn put(path: &std::path::Path, size: &FleetSize, run: Run) -> Result<(), String> {
    let place = |why: String| format!("{}: {why}", path.display());
    let mut kept = match std::fs::read_to_string(path) {
        Ok(text) => CapacityResult::read(&text).map_err(|why| place(why.to_string()))?,
        Err(why) if why.kind() == std::io::ErrorKind::NotFound => CapacityResult {
            size: size.clone(),
            runs: Vec::new(),
        },
        Err(why) => return Err(place(why.to_string())),
    };
    if kept.size != *size {
        return Err(place("it is of another size".into()));
    }
    kept.insert(run);
    let new = path.with_extension("new");
    std::fs::write(&new, kept.to_json()).map_err(|why| place(why.to_string()))?;
    std::fs::rename(&new, path).map_err(|why| place(why.to_string()))
}
