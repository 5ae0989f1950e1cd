//! What streamed versions cost and whether they hold, with dispatchers as processes of their own:
//! random exchanges with kills, a flood, time from push to effect, returns after a service was
//! away, placing while versions come.

mod environment;
mod random_exchange;

pub use random_exchange::{Exchange, exchange};

use crate::capture::Capture;
use crate::control_service::ControlService;
use crate::discovery::Discovery;
use crate::measure::{self, InstantNode, Measure, Round, median};
use crate::node::SharedContext;
use async_io::Timer;
use corkspan_api::v1::{self, push_reply::Answer};
use corkspan_rpc::SharedExecutor;
use environment::{Environment, in_environment};
use futures_lite::future;
use hdrhistogram::Histogram;
use std::ffi::OsString;
use std::time::{Duration, Instant};

/// How it is measured.
pub struct ConfigPushExperiment {
    pub program: Vec<OsString>,
    pub rounds: usize,
    pub seconds: f64,
    pub instances: usize,
    pub returns: usize,
    pub seeds: u64,
    pub versions: usize,
}

impl ConfigPushExperiment {
    pub fn run(self) -> Result<(), String> {
        self.exchanges()?;
        self.flood()?;
        self.effect()?;
        self.returning()?;
        self.placing()
    }

    fn exchanges(&self) -> Result<(), String> {
        for seed in 1..=self.seeds {
            let out = exchange(&self.program, seed, self.versions)
                .map_err(|why| format!("seed {seed}: {why}"))?;
            println!("random exchange, seed {seed}: {out:?}");
        }
        Ok(())
    }

    /// A thousand versions a second for ten seconds.
    fn flood(&self) -> Result<(), String> {
        let (many, apart) = (10_000u64, Duration::from_millis(1));
        in_environment(&self.program, 1, async |environment| {
            let began = Instant::now();
            let mut newest = None;
            for number in 0..many {
                newest = Some(
                    environment
                        .control
                        .publish(environment.texts(1, number), true),
                );
                Timer::at(began + apart * (number as u32 + 1)).await;
            }
            let published = began.elapsed();
            environment
                .until("the newest is in force", |environment| {
                    environment.control.running(0) == newest
                })
                .await?;
            let caught_up = began.elapsed() - published;
            let pushes = environment.control.pushes().len();
            let answers = |answer| {
                environment
                    .control
                    .replies()
                    .iter()
                    .filter(|own| own.message.answer() == answer)
                    .count()
            };
            environment
                .until("each is answered", |environment| {
                    environment
                        .control
                        .replies()
                        .iter()
                        .filter(|reply| reply.message.nonce > 0)
                        .count()
                        >= environment.control.pushes().len()
                })
                .await?;
            let status = environment.status(0).await?;
            println!(
                "flood: {many} versions in {published:.1?}, {pushes} pushed; applied {}, passed over {}, turned down {}, whole wanted {}; the newest in force {caught_up:.1?} after the last; in force by status: {}",
                answers(Answer::Applied),
                answers(Answer::Superseded),
                answers(Answer::Rejected),
                answers(Answer::FullRequired),
                status.active.map_or(0, |running| running.number),
            );
            Ok(())
        })
    }

    /// From push to effect, as told by each instance's acknowledgement.
    fn effect(&self) -> Result<(), String> {
        let many = self.instances;
        in_environment(&self.program, many, async |environment| {
            let mut times = histogram()?;
            for which in 0..20 {
                let (before, began) = (environment.control.replies().len(), Instant::now());
                let stamp = environment
                    .control
                    .publish(environment.texts(many, which), true);
                let all = |environment: &Environment| {
                    (0..many).all(|who| environment.control.running(who as u32) == Some(stamp))
                };
                environment.until("all have it", all).await?;
                for reply in &environment.control.replies()[before..] {
                    if reply.message.answer() == Answer::Applied {
                        times.saturating_record((reply.received_at - began).as_micros() as u64);
                    }
                }
                // Not paced by the one before.
                Timer::after(Duration::from_millis(100)).await;
            }
            println!(
                "push to effect over {many} instances, 20 versions: {}",
                quantiles(&times)
            );
            Ok(())
        })
    }

    /// All come back after a service that was away.
    fn returning(&self) -> Result<(), String> {
        let many = self.returns;
        in_environment(&self.program, many, async |mut environment| {
            let opened = environment.control.opened();
            drop(environment.up.take());
            environment.control.hang_up();
            // Long enough for every one to have failed some times.
            Timer::after(Duration::from_secs(4)).await;
            let began = Instant::now();
            environment.up = Some(
                environment
                    .control
                    .restart(&environment.context)
                    .await
                    .map_err(|why| why.to_string())?,
            );
            environment
                .until("all are back", |environment| {
                    environment.control.opened() >= opened + many
                })
                .await?;
            let mut times = histogram()?;
            let mut by_second = std::collections::BTreeMap::<u64, usize>::new();
            for reply in environment
                .control
                .replies()
                .iter()
                .filter(|own| own.message.nonce == 0 && own.received_at > began)
            {
                times.saturating_record((reply.received_at - began).as_micros() as u64);
                *by_second
                    .entry((reply.received_at - began).as_secs())
                    .or_default() += 1;
            }
            let most = by_second.values().max().copied().unwrap_or(0);
            println!(
                "{many} instances come back after 4 s: {}, {most} in one second at the most",
                quantiles(&times)
            );
            Ok(())
        })
    }

    /// Time to placed while ten versions a second take effect, beside none.
    fn placing(&self) -> Result<(), String> {
        let node = measure::serve_on_own_thread(|| v1::node_server::NodeServer::new(InstantNode))?;
        let measure = Measure {
            program: self.program.clone(),
            rounds: self.rounds,
            seconds: self.seconds,
            at_once: 16,
            nodes: 40,
            held: 0,
        };
        let (mut calm, mut pushed) = (Vec::<Round>::new(), Vec::<Round>::new());
        let tasks = SharedExecutor::default();
        let whole = async {
            let text = |why: std::io::Error| why.to_string();
            let context = SharedContext::new(Capture::new(None).map_err(text)?, &tasks, None);
            let (discovery, address) = Discovery::start(&context).await.map_err(text)?;
            for id in 0..measure.nodes {
                discovery.update(Duration::ZERO, measure::endpoint(id, node));
            }
            let (control, up) = ControlService::start(&context).await.map_err(text)?;
            let mut environment = Environment {
                tasks: tasks.clone(),
                context,
                program: self.program.clone(),
                folder: tempfile::tempdir().map_err(text)?,
                discovery: address,
                control,
                up: Some(up),
                dispatchers: Vec::new(),
            };
            let process = environment.start(0, 1)?;
            let at = process.address;
            environment.dispatchers.push(process);
            environment
                .until("its stream stands", |environment| {
                    environment.control.opened() == 1
                })
                .await?;
            measure.wait_until_ready(&tasks, at).await?;
            let mut which = 0;
            for _ in 0..self.rounds {
                calm.push(measure.round(&tasks, "no pushes", at).await?);
                let pushes = async {
                    loop {
                        which += 1;
                        environment
                            .control
                            .publish(environment.texts(1, which), true);
                        Timer::after(Duration::from_millis(100)).await;
                    }
                };
                pushed.push(future::or(measure.round(&tasks, "10 a second", at), pushes).await?);
            }
            let applied = environment.status(0).await?.applied;
            let ratio = |of: fn(&Round) -> f64| median(&pushed, of) / median(&calm, of);
            println!(
                "placing with 10 versions a second over without, medians of {} rounds: asks/s {:.2}, p50 {:.2}, p99 {:.2}; {applied} applied of {which}",
                self.rounds,
                ratio(|r| r.per_second),
                ratio(|r| r.p50_us),
                ratio(|r| r.p99_us)
            );
            Ok(())
        };
        future::block_on(tasks.run(whole))
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|why| why.to_string())
}

fn quantiles(times: &Histogram<u64>) -> String {
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    format!(
        "p50 {:.1} ms, p99 {:.1} ms, last {:.1} ms of {}",
        ms(0.5),
        ms(0.99),
        ms(1.0),
        times.len()
    )
}
