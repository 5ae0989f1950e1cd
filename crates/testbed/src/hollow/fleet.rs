//! A fleet of dispatchers before stand-ins of nodes, run for a while without asks or with them, and
//! read.

use crate::capture::Observation;
use crate::cost::{CONTROL_KINDS, Cost, Costs, TRAFFIC_KINDS, between};
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

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Dispatchers with a process each.
    pub real: usize,
    /// Further ones, that share processes.
    pub hollow: usize,
    pub nodes: usize,
}

/// A span of time in figures.
#[derive(Clone, Debug, Default)]
pub struct Span {
    pub real: Cost,
    pub hollow: Cost,
    /// How the laboratory itself kept up.
    pub stand_ins: StandIns,
    /// As owners heard it.
    pub requested: usize,
    pub placed: usize,
}

/// Dispatchers and stand-ins, up. Nothing of the stand-ins moves but within [`Fleet::run`], so
/// calls are to follow one another closely.
pub struct Fleet {
    tasks: SharedExecutor,
    testbed: Testbed,
    _room: async_executor::Task<()>,
}

impl Fleet {
    /// Refused at once, with what is short, where it does not fit the machine. Each dispatcher
    /// knows all nodes when this returns.
    pub fn start(size: Size, seed: u64, programs: &Programs) -> Result<Fleet, String> {
        let Size {
            real,
            hollow,
            nodes,
        } = size;
        if real == 0 || real + hollow > 300 || !(1..=2600).contains(&nodes) {
            return Err(format!(
                "1 to 300 dispatchers with a real one among them, and 1 to 2600 nodes, not {size:?}"
            ));
        }
        let script = match hollow {
            0 => String::new(),
            many => format!("(hollow (many {many}))"),
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
        let room = tasks.spawn(report_capacity(
            testbed.discovery.clone(),
            testbed.nodes.clone(),
            testbed.scenario.clone(),
        ));
        Ok(Fleet {
            tasks,
            testbed,
            _room: room,
        })
    }

    /// Runs for so long while owners ask so many times a second, each for a task of a mean life of
    /// so long; at a rate of 0 nobody asks.
    pub fn run(&mut self, time: Duration, rate: f64, life: Duration) -> Result<Span, String> {
        let tasks = self.tasks.clone();
        let testbed = &mut self.testbed;
        (testbed.scenario.rate, testbed.scenario.mean_lifetime) = (rate, life);
        let whole = async {
            let (before, from) = (
                testbed.read_costs().await?,
                testbed.frontend.context.capture.lines().len(),
            );
            let (saturation, until) = (
                SaturationMonitor::start(&tasks, testbed.hollow_process_ids())
                    .map_err(|why| why.to_string())?,
                Instant::now() + time,
            );
            testbed.start = Instant::now();
            let owners = testbed.run_until(until).await?;
            Timer::at(until).await;
            let observation = saturation.end().map_err(|why| why.to_string())?;
            let after = testbed.read_costs().await?;
            // Those that are still here when the span is over are not waited for.
            drop(owners);
            let Costs { real, hollow } = between(&before, &after);
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
                spoilt,
            } = observation
            {
                span.stand_ins = StandIns {
                    busy,
                    waited,
                    late_us,
                    hollow,
                    spoilt,
                };
            }
            for line in &testbed.frontend.context.capture.lines()[from..] {
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
        let most = time + Duration::from_secs(60);
        let whole = within(most, Box::pin(whole));
        future::block_on(self.tasks.run(whole))
            .ok_or("a span of a fleet does not come to its end")?
    }

    /// All processes end, and each with 0.
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

/// `hollow against`
#[derive(Args)]
pub struct Against {
    #[arg(long, default_value_t = 20)]
    dispatchers: usize,
    #[arg(long, default_value_t = 140)]
    nodes: usize,
    /// Of each span.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Asks a second of the spans with asks.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    #[arg(long, default_value_t = 3)]
    rounds: usize,
}

/// Mean life of a task.
const LIFE: Duration = Duration::from_secs(4);

/// Real ones alone and hollow ones with one real among them, in turn, so that both meet the same
/// machine.
impl Against {
    pub fn run(self) -> Result<(), String> {
        let programs = Programs::of_current_exe()?;
        if self.dispatchers < 2
            || !(0.5..=600.0).contains(&self.seconds)
            || !(0.0..=5_000.0).contains(&self.rate)
        {
            return Err(
                "2 dispatchers or more, 0.5 to 600 seconds and 0 to 5000 asks a second".into(),
            );
        }
        let time = Duration::from_secs_f64(self.seconds);
        let (mut spoilt, mut apart) = (0, 0);
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
                    // What was learnt at the start, or of another rate, settles first.
                    fleet.run(Duration::from_secs(3), rate, LIFE)?;
                    spans.push(fleet.run(time, rate, LIFE)?);
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
                let (ratio, beside, control) = (
                    ratio(&second.hollow, &TRAFFIC_KINDS),
                    ratio(&second.real, &TRAFFIC_KINDS),
                    ratio(&second.hollow, &CONTROL_KINDS),
                );
                println!(
                    "  bytes a second and dispatcher, over real ones alone: hollow {ratio:.3} (control {control:.3}), real among them {beside:.3}"
                );
                spoilt += usize::from(first.stand_ins.spoilt || second.stand_ins.spoilt);
                apart += usize::from(!(0.9..=1.1).contains(&ratio));
            }
        }
        println!("{apart} spans apart by more than a tenth, {spoilt} spoilt");
        match apart {
            0 => Ok(()),
            _ => Err("hollow dispatchers don't pass what real ones do".into()),
        }
    }
}
