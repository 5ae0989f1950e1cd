//! Runs a fleet of dispatchers and stand-ins of nodes for a time, with or without requests, and
//! reads its costs.

use crate::capture::Observation;
use crate::cost::{CONTROL_KINDS, Cost, Costs, TRAFFIC_KINDS, costs_between};
use crate::process::Programs;
use crate::runner::{ScenarioRun, Testbed, report_capacity};
use crate::saturation::SaturationMonitor;
use crate::scenario::Scenario;
use crate::summary::StandIns;
use async_io::Timer;
use clap::Args;
use corkspan_api::v1::connection_traffic::Kind;
use corkspan_rpc::{SharedExecutor, within};
use futures_lite::future;
use std::time::{Duration, Instant};

/// The size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Dispatchers with a process of their own.
    pub real: usize,
    /// Further dispatchers, which share processes.
    pub hollow: usize,
    pub nodes: usize,
}

/// The figures of a span of time.
#[derive(Clone, Debug, Default)]
pub struct Span {
    pub real: Cost,
    pub hollow: Cost,
    /// Whether the testbed itself kept up.
    pub stand_ins: StandIns,
    /// Allocations that clients requested.
    pub requested: usize,
    /// Allocations that clients saw placed.
    pub placed: usize,
}

/// Running dispatchers and stand-ins. The stand-ins make progress only within [`Fleet::run`], so
/// its calls should follow one another closely.
pub struct Fleet {
    tasks: SharedExecutor,
    testbed: Testbed,
    _capacity_reports: async_executor::Task<()>,
}

impl Fleet {
    /// Starts a fleet and waits until each dispatcher knows all nodes. Returns an error at once
    /// that names the missing resources if this machine can't carry the fleet.
    pub fn start(size: Size, seed: u64, programs: &Programs) -> Result<Fleet, String> {
        let Size {
            real,
            hollow,
            nodes,
        } = size;
        if real == 0 || real + hollow > 300 || !(1..=2600).contains(&nodes) {
            return Err(format!(
                "a fleet has 1 to 300 dispatchers with a real one among them, and 1 to 2600 nodes, not {size:?}"
            ));
        }
        let script = match hollow {
            0 => String::new(),
            hollow => format!("(hollow (many {hollow}))"),
        };
        let script = format!(
            "(day (length 600 s) (dispatchers {}) {script} (nodes {nodes}) (rate 1) (cancels 0))",
            real + hollow
        );
        let mut scenario = Scenario::read("fleet", &script).map_err(|why| why.to_string())?;
        scenario.rate = 0.0;
        let (rewrite_deployment, programs) =
            ((|text| text) as fn(String) -> String, programs.clone());
        let scenario_run = ScenarioRun {
            scenario,
            seed,
            programs,
            capture: None,
            rewrite_deployment,
            logs: None,
        };
        let tasks = SharedExecutor::default();
        let testbed = future::block_on(tasks.run(scenario_run.start(&tasks)))?;
        let capacity_reports = tasks.spawn(report_capacity(
            testbed.discovery.clone(),
            testbed.nodes.clone(),
            testbed.scenario.clone(),
        ));
        Ok(Fleet {
            tasks,
            testbed,
            _capacity_reports: capacity_reports,
        })
    }

    /// Runs the fleet for this time while clients send `rate` requests a second, for tasks with the
    /// lifetime `mean_lifetime`. At a rate of 0 no request is sent.
    pub fn run(
        &mut self,
        time: Duration,
        rate: f64,
        mean_lifetime: Duration,
    ) -> Result<Span, String> {
        let tasks = self.tasks.clone();
        let testbed = &mut self.testbed;
        (testbed.scenario.rate, testbed.scenario.mean_lifetime) = (rate, mean_lifetime);
        let measurement = async {
            let (before, first_line) = (
                testbed.read_costs().await?,
                testbed.frontend.context.capture.lines().len(),
            );
            let (saturation, end) = (
                SaturationMonitor::start(&tasks, testbed.hollow_process_ids())
                    .map_err(|why| why.to_string())?,
                Instant::now() + time,
            );
            testbed.start = Instant::now();
            let clients = testbed.run_until(end).await?;
            Timer::at(end).await;
            let observation = saturation.end().map_err(|why| why.to_string())?;
            let after = testbed.read_costs().await?;
            // Clients that are still connected at the end of the span are not awaited.
            drop(clients);
            let Costs { real, hollow } = costs_between(&before, &after);
            let mut span = Span {
                real,
                hollow,
                ..Span::default()
            };
            if let Observation::StandIns {
                busy,
                waited,
                late_us,
                hollow,
                invalid,
            } = observation
            {
                span.stand_ins = StandIns {
                    busy,
                    waited,
                    late_us,
                    hollow,
                    invalid,
                };
            }
            for line in &testbed.frontend.context.capture.lines()[first_line..] {
                match line.observation {
                    Observation::Requested(_) => span.requested += 1,
                    Observation::EventReceived {
                        event: crate::capture::AllocationEvent::Placed,
                        ..
                    } => span.placed += 1,
                    _ => {}
                }
            }
            Ok(span)
        };
        let timeout = time + Duration::from_secs(60);
        let measurement = within(timeout, Box::pin(measurement));
        future::block_on(self.tasks.run(measurement))
            .ok_or("a span of the fleet did not end in time")?
    }

    /// Stops all processes, which must exit with 0.
    pub fn stop(mut self) -> Result<(), String> {
        let tasks = self.tasks.clone();
        let frontend = self.testbed.frontend.clone();
        future::block_on(tasks.run(async {
            for process in &mut self.testbed.fleet {
                process.stop(&frontend).await?;
            }
            Ok(())
        }))
    }
}

/// The arguments of `hollow against`.
#[derive(Args)]
pub struct Against {
    #[arg(long, default_value_t = 20)]
    dispatchers: usize,
    #[arg(long, default_value_t = 140)]
    nodes: usize,
    /// Duration of each span, in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Requests a second in the spans with requests.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 3)]
    rounds: usize,
}

/// The mean lifetime of a task.
const MEAN_LIFETIME: Duration = Duration::from_secs(4);

impl Against {
    /// Measures a fleet of real dispatchers and one of hollow dispatchers with a real one among
    /// them in turn, so that both run under the same conditions of the machine.
    pub fn run(self) -> Result<(), String> {
        let programs = Programs::of_current_exe()?;
        if self.dispatchers < 2
            || !(0.5..=600.0).contains(&self.seconds)
            || !(0.0..=5_000.0).contains(&self.rate)
        {
            return Err(
                "2 dispatchers or more, 0.5 to 600 seconds and 0 to 5000 requests a second are allowed".into(),
            );
        }
        let time = Duration::from_secs_f64(self.seconds);
        let (mut invalid, mut differing) = (0, 0);
        let rates = [0.0, self.rate];
        for round in 0..self.rounds.clamp(1, 100) as u64 {
            let mut spans = Vec::new();
            for hollow in [0, self.dispatchers - 1] {
                let size = Size {
                    real: self.dispatchers - hollow,
                    hollow,
                    nodes: self.nodes,
                };
                let mut fleet = Fleet::start(size, round + 1, &programs)?;
                for rate in rates {
                    // A short run first removes the effects of the start or of another rate.
                    fleet.run(Duration::from_secs(3), rate, MEAN_LIFETIME)?;
                    spans.push(fleet.run(time, rate, MEAN_LIFETIME)?);
                }
                fleet.stop()?;
            }
            for (rate, (first, second)) in
                std::iter::zip(rates, std::iter::zip(&spans, &spans[rates.len()..]))
            {
                println!("round {}, {rate} asks a second:", round + 1);
                println!("  real               {}", first.real);
                println!("  hollow             {}", second.hollow);
                println!("  real among hollow  {}", second.real);
                for (span, name) in [(first, "real"), (second, "hollow")] {
                    println!(
                        "  stand-ins, {name}: {}; {} asked, {} placed",
                        span.stand_ins, span.requested, span.placed
                    );
                }
                let ratio =
                    |cost: &Cost, kinds: &[Kind]| cost.bytes(kinds) / first.real.bytes(kinds);
                let (ratio, real_ratio, control_ratio) = (
                    ratio(&second.hollow, &TRAFFIC_KINDS),
                    ratio(&second.real, &TRAFFIC_KINDS),
                    ratio(&second.hollow, &CONTROL_KINDS),
                );
                println!(
                    "  bytes a second and dispatcher, over real ones alone: hollow {ratio:.3} (control {control_ratio:.3}), real among them {real_ratio:.3}"
                );
                invalid += usize::from(first.stand_ins.invalid || second.stand_ins.invalid);
                differing += usize::from(!(0.9..=1.1).contains(&ratio));
            }
        }
        println!("{differing} spans differ by more than a tenth, {invalid} are invalid");
        match differing {
            0 => Ok(()),
            _ => Err("hollow dispatchers don't send and receive as many bytes as real ones".into()),
        }
    }
}
