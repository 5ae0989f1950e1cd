//! Measures the cost and correctness of streamed versions with dispatchers as processes: random
//! exchanges with kills, a flood of versions, the time from push to effect, reconnects after an
//! outage of the control service, and placement while versions are pushed.

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

/// The settings of the experiment.
pub struct ConfigPushExperiment {
    pub program: Vec<OsString>,
    pub rounds: usize,
    pub seconds: f64,
    /// Dispatchers for the time from push to effect.
    pub effect_dispatchers: usize,
    /// Dispatchers that reconnect after an outage.
    pub reconnecting_dispatchers: usize,
    pub seeds: u64,
    pub versions: usize,
}

impl ConfigPushExperiment {
    pub fn run(self) -> Result<(), String> {
        self.measure_exchanges()?;
        self.measure_flood()?;
        self.measure_effect()?;
        self.measure_reconnects()?;
        self.measure_placement()
    }

    fn measure_exchanges(&self) -> Result<(), String> {
        for seed in 1..=self.seeds {
            let figures = exchange(&self.program, seed, self.versions)
                .map_err(|why| format!("seed {seed}: {why}"))?;
            println!("random exchange, seed {seed}: {figures:?}");
        }
        Ok(())
    }

    /// Publishes a thousand versions a second for ten seconds.
    fn measure_flood(&self) -> Result<(), String> {
        let (versions, interval) = (10_000u64, Duration::from_millis(1));
        in_environment(&self.program, 1, async |environment| {
            let started = Instant::now();
            let mut newest = None;
            for number in 0..versions {
                newest = Some(
                    environment
                        .control
                        .publish(environment.shared_parts_with_change(1, number), true),
                );
                Timer::at(started + interval * (number as u32 + 1)).await;
            }
            let publish_time = started.elapsed();
            environment
                .wait_for("the newest version is active", |environment| {
                    environment.control.active_version(0) == newest
                })
                .await?;
            let catch_up_time = started.elapsed() - publish_time;
            let pushes = environment.control.pushes().len();
            let count_replies = |status| {
                environment
                    .control
                    .replies()
                    .iter()
                    .filter(|reply| reply.message.answer() == status)
                    .count()
            };
            environment
                .wait_for("each push is answered", |environment| {
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
                "flood: {versions} versions in {publish_time:.1?}, {pushes} pushed; applied {}, superseded {}, rejected {}, full version required {}; the newest active {catch_up_time:.1?} after the last; active by status: {}",
                count_replies(Answer::Applied),
                count_replies(Answer::Superseded),
                count_replies(Answer::Rejected),
                count_replies(Answer::FullRequired),
                status.active.map_or(0, |version| version.number),
            );
            Ok(())
        })
    }

    /// Measures the time from a push until each instance has acknowledged it as applied.
    fn measure_effect(&self) -> Result<(), String> {
        let instances = self.effect_dispatchers;
        in_environment(&self.program, instances, async |environment| {
            let mut times = histogram()?;
            for change in 0..20 {
                let (replies_before, published_at) =
                    (environment.control.replies().len(), Instant::now());
                let version = environment.control.publish(
                    environment.shared_parts_with_change(instances, change),
                    true,
                );
                let is_active_at_all = |environment: &Environment| {
                    (0..instances).all(|dispatcher| {
                        environment.control.active_version(dispatcher as u32) == Some(version)
                    })
                };
                environment
                    .wait_for("all instances have applied the version", is_active_at_all)
                    .await?;
                for reply in &environment.control.replies()[replies_before..] {
                    if reply.message.answer() == Answer::Applied {
                        times.saturating_record(
                            (reply.received_at - published_at).as_micros() as u64
                        );
                    }
                }
                // The pause keeps one push from delaying the next.
                Timer::after(Duration::from_millis(100)).await;
            }
            println!(
                "push to effect over {instances} instances, 20 versions: {}",
                quantiles(&times)
            );
            Ok(())
        })
    }

    /// Measures how all instances reconnect after an outage of the control service.
    fn measure_reconnects(&self) -> Result<(), String> {
        let instances = self.reconnecting_dispatchers;
        in_environment(&self.program, instances, async |mut environment| {
            let opened = environment.control.streams_opened();
            drop(environment.control_guard.take());
            environment.control.close_streams();
            // Long enough that each instance fails several times to connect.
            Timer::after(Duration::from_secs(4)).await;
            let restarted_at = Instant::now();
            environment.control_guard = Some(
                environment
                    .control
                    .restart(&environment.context)
                    .await
                    .map_err(|why| why.to_string())?,
            );
            environment
                .wait_for("all instances have reconnected", |environment| {
                    environment.control.streams_opened() >= opened + instances
                })
                .await?;
            let mut times = histogram()?;
            let mut by_second = std::collections::BTreeMap::<u64, usize>::new();
            for reply in environment
                .control
                .replies()
                .iter()
                .filter(|reply| reply.message.nonce == 0 && reply.received_at > restarted_at)
            {
                times.saturating_record((reply.received_at - restarted_at).as_micros() as u64);
                *by_second
                    .entry((reply.received_at - restarted_at).as_secs())
                    .or_default() += 1;
            }
            let max_per_second = by_second.values().max().copied().unwrap_or(0);
            println!(
                "{instances} instances reconnect after an outage of 4 s: {}, at most {max_per_second} in one second",
                quantiles(&times)
            );
            Ok(())
        })
    }

    /// Compares the time until placement with ten versions a second and without any.
    fn measure_placement(&self) -> Result<(), String> {
        let node = measure::serve_on_own_thread(|| v1::node_server::NodeServer::new(InstantNode))?;
        let measure = Measure {
            program: self.program.clone(),
            rounds: self.rounds,
            seconds: self.seconds,
            concurrent_requests: 16,
            nodes: 40,
            held_allocations: 0,
        };
        let (mut without_pushes, mut with_pushes) = (Vec::<Round>::new(), Vec::<Round>::new());
        let tasks = SharedExecutor::default();
        let measurement = async {
            let to_text = |why: std::io::Error| why.to_string();
            let context = SharedContext::new(Capture::new(None).map_err(to_text)?, &tasks, None);
            let (discovery, address) = Discovery::start(&context).await.map_err(to_text)?;
            for id in 0..measure.nodes {
                discovery.update(Duration::ZERO, measure::endpoint(id, node));
            }
            let (control, control_guard) =
                ControlService::start(&context).await.map_err(to_text)?;
            let mut environment = Environment {
                tasks: tasks.clone(),
                context,
                program: self.program.clone(),
                folder: tempfile::tempdir().map_err(to_text)?,
                discovery: address,
                control,
                control_guard: Some(control_guard),
                dispatchers: Vec::new(),
            };
            let process = environment.start(0, 1)?;
            let at = process.address;
            environment.dispatchers.push(process);
            environment
                .wait_for("the dispatcher's version stream is open", |environment| {
                    environment.control.streams_opened() == 1
                })
                .await?;
            measure.wait_until_ready(&tasks, at).await?;
            let mut change = 0;
            for _ in 0..self.rounds {
                without_pushes.push(measure.round(&tasks, "no pushes", at).await?);
                let pushes = async {
                    loop {
                        change += 1;
                        environment
                            .control
                            .publish(environment.shared_parts_with_change(1, change), true);
                        Timer::after(Duration::from_millis(100)).await;
                    }
                };
                with_pushes
                    .push(future::or(measure.round(&tasks, "10 a second", at), pushes).await?);
            }
            let applied = environment.status(0).await?.applied;
            let ratio = |figure: fn(&Round) -> f64| {
                median(&with_pushes, figure) / median(&without_pushes, figure)
            };
            println!(
                "placing with 10 versions a second over without, medians of {} rounds: asks/s {:.2}, p50 {:.2}, p99 {:.2}; {applied} applied of {change}",
                self.rounds,
                ratio(|r| r.per_second),
                ratio(|r| r.p50_us),
                ratio(|r| r.p99_us)
            );
            Ok(())
        };
        future::block_on(tasks.run(measurement))
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
