//! What streamed versions cost and whether they hold, with dispatchers as processes of their own:
//! random exchanges with kills, a flood, time from push to effect, returns after a service was
//! away, placing while versions come.

use crate::capture::Capture;
use crate::control_service::{ControlService, ControlServiceGuard, parse_version_id, push_message};
use crate::discovery::Discovery;
use crate::measure::{self, Measure, Process, Prompt, Round, median};
use crate::node::World;
use async_io::Timer;
use corkspan_api::v1::{self, push_reply::Answer, versions_client::VersionsClient};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::VersionPush;
use corkspan_rpc::{Tasks, within};
use futures_lite::future;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Nothing here takes longer.
const PATIENCE: Duration = Duration::from_secs(60);

/// A control service, and dispatchers that take their versions from it.
struct Stage {
    tasks: Tasks,
    world: std::sync::Arc<World>,
    program: Vec<OsString>,
    folder: tempfile::TempDir,
    roster: SocketAddr,
    control: ControlService,
    up: Option<ControlServiceGuard>,
    dispatchers: Vec<Process>,
}

/// Runs a story on this thread.
fn on_stage<T, F: Future<Output = Result<T, String>>>(
    program: &[OsString],
    dispatchers: usize,
    story: impl FnOnce(Stage) -> F,
) -> Result<T, String> {
    let tasks = Tasks::default();
    let whole = async {
        let text = |why: std::io::Error| why.to_string();
        let world = World::new(Capture::new(None).map_err(text)?, &tasks, None);
        let (_roster, roster) = Discovery::start(&world).await.map_err(text)?;
        let (control, up) = ControlService::start(&world).await.map_err(text)?;
        let mut stage = Stage {
            tasks: tasks.clone(),
            world,
            program: program.to_vec(),
            folder: tempfile::tempdir().map_err(text)?,
            roster,
            control,
            up: Some(up),
            dispatchers: Vec::new(),
        };
        for number in 0..dispatchers {
            let process = stage.start(number, dispatchers)?;
            stage.dispatchers.push(process);
        }
        stage
            .until("all streams stand", |stage| {
                stage.control.opened() >= dispatchers
            })
            .await?;
        story(stage).await
    };
    future::block_on(tasks.run(whole))
}

impl Stage {
    fn file(&self, number: usize, of: usize) -> String {
        let kept = self.folder.path().join(format!("versions-{number}.json"));
        let more = format!("(control \"{}\") (versions {kept:?})", self.control.address);
        let text = measure::deployment(self.roster, &more);
        text.replace("(number 0)", &format!("(number {number})"))
            .replace("(schedulers 1)", &format!("(schedulers {of})"))
    }

    fn start(&self, number: usize, of: usize) -> Result<Process, String> {
        let path: PathBuf = self.folder.path().join(format!("{number}.sexp"));
        Process::start_in(&self.program, &path, &self.file(number, of))
    }

    /// The file's shared parts with one more track, and other shots: always another version, and a
    /// sound one.
    fn texts(&self, dispatchers: usize, which: u64) -> SharedParts {
        let shared =
            SharedParts::parse("file", &self.file(0, dispatchers)).expect("the file is sound");
        let tracks = shared.get("tracks").unwrap_or_default();
        let more = format!(
            "(t{} (repeat idempotent) (contract-time 300 ms))",
            which % 9
        );
        let tracks = format!("{} {more})", &tracks[..tracks.len() - 1]);
        let accounts = format!("(accounts (a (share-cores {})))", 1_000_000 + which);
        let changes = [
            ("tracks".to_string(), tracks),
            ("accounts".to_string(), accounts),
        ];
        shared.with_changes(&changes.into_iter().collect(), &[])
    }

    async fn until(&self, what: &str, mut done: impl FnMut(&Stage) -> bool) -> Result<(), String> {
        let waits = async {
            while !done(self) {
                Timer::after(Duration::from_millis(2)).await;
            }
        };
        within(PATIENCE, waits)
            .await
            .ok_or_else(|| format!("waited {PATIENCE:?} in vain: {what}"))
    }

    async fn status(&self, dispatcher: usize) -> Result<v1::VersionStatus, String> {
        let link = measure::link(&self.tasks, self.dispatchers[dispatcher].address).await?;
        let status = VersionsClient::new(link)
            .status(v1::VersionStatusRequest {})
            .await;
        Ok(status
            .map_err(|why| why.message().to_string())?
            .into_inner())
    }
}

/// What a random exchange came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exchange {
    pub sent: usize,
    pub applied: usize,
    pub refused: usize,
    pub superseded: usize,
    pub kills: usize,
    /// Acknowledged and then given up, since it was started under three times.
    pub given_up: usize,
}

/// So many versions at random, sound, unsound, stale, split and foreign, in bursts, with kills in
/// between and in the middle. What is in force, by status, must always be what was acknowledged
/// last; after a kill that, a sound one sent after it, or the one before where it was given up for
/// its many starts.
pub fn exchange(program: &[OsString], seed: u64, versions: usize) -> Result<Exchange, String> {
    on_stage(program, 1, async |mut stage| {
        stage.control.scripted();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut out = Exchange::default();
        let mut acknowledged = stage
            .status(0)
            .await?
            .active
            .as_ref()
            .and_then(parse_version_id)
            .ok_or("no stamp")?;
        while out.sent < versions {
            let burst: Vec<(VersionPush, bool)> = (0..rng.random_range(1..40))
                .map(|at| {
                    let nonce = (out.sent + at + 1) as u64;
                    random_push(&stage, &mut rng, nonce, acknowledged)
                })
                .collect();
            out.sent += burst.len();
            if !burst
                .iter()
                .all(|(push, _)| stage.control.send(0, push_message(push)))
            {
                return Err("the stream does not stand".into());
            }
            let sound = |stamp: VersionId| {
                burst
                    .iter()
                    .any(|(push, sound)| *sound && push.version == stamp)
            };
            let killed = rng.random_range(0..6) == 0;
            if killed {
                // In the middle of it, at no time in particular.
                Timer::after(Duration::from_micros(rng.random_range(0..5_000))).await;
                let opened = stage.control.opened();
                stage.dispatchers.clear();
                let again = stage.start(0, 1)?;
                stage.dispatchers.push(again);
                out.kills += 1;
                stage
                    .until("it comes back", |stage| stage.control.opened() > opened)
                    .await?;
            } else {
                let answered = |stage: &Stage| {
                    burst
                        .iter()
                        .all(|(push, _)| stage.control.reply_to(push.nonce).is_some())
                };
                stage.until("each push is answered", answered).await?;
                for (push, sound) in &burst {
                    let told = stage.control.reply_to(push.nonce).ok_or("no reply")?;
                    match told.answer() {
                        Answer::Applied if !sound => {
                            return Err(format!("unsound, and in force: {push:?}"));
                        }
                        Answer::Applied => {
                            out.applied += 1;
                            acknowledged = push.version;
                        }
                        Answer::Rejected if told.reasons.is_empty() => {
                            return Err("refused without a reason".into());
                        }
                        Answer::Rejected => out.refused += 1,
                        Answer::Superseded => out.superseded += 1,
                        Answer::Unchanged | Answer::FullRequired => {}
                        other => return Err(format!("{other:?} is no answer to a push")),
                    }
                }
            }
            let status = stage.status(0).await?;
            let running = status
                .active
                .as_ref()
                .and_then(parse_version_id)
                .ok_or("no stamp")?;
            let in_force =
                SharedParts::parse("in force", &status.text).map_err(|why| why.to_string())?;
            // Three starts under a version on trial, and it is given up: it may be what ended them.
            let given_up = killed
                && status
                    .given_up
                    .iter()
                    .filter_map(parse_version_id)
                    .any(|own| own == acknowledged);
            out.given_up += usize::from(given_up);
            let newer = killed && sound(running) && running.number > acknowledged.number;
            let may = running == acknowledged || given_up || newer;
            if !may || in_force.digest() != running.digest {
                return Err(format!(
                    "{running} is in force, {acknowledged} was acknowledged last; {out:?}"
                ));
            }
            acknowledged = running;
        }
        Ok(out)
    })
}

/// A push, and whether it may ever be in force.
fn random_push(
    stage: &Stage,
    rng: &mut Pcg64Mcg,
    nonce: u64,
    after: VersionId,
) -> (VersionPush, bool) {
    let sound = stage.texts(1, rng.random_range(0..1_000));
    let change = |name: &str, text: &str| {
        sound.with_changes(
            &[(name.to_string(), text.to_string())].into_iter().collect(),
            &[],
        )
    };
    let (changes, fit) = match rng.random_range(0..8) {
        0 => (change("shots", "(shots 0)"), false),
        1 => (change("halls", "(halls hall other)"), false),
        2 => (change("listen", "(listen \"127.0.0.1:1\")"), false),
        3 => (change("cold", "(cold (lasts"), false),
        _ => (sound.clone(), true),
    };
    let number = (after.number + rng.random_range(0..20))
        .saturating_sub(3)
        .max(1);
    let follows = if rng.random_range(0..6) > 0 {
        vec![after]
    } else {
        Vec::new()
    };
    let stamp = VersionId {
        number,
        digest: changes.digest(),
    };
    let fit = fit && (!follows.is_empty() || after.number == 0);
    (
        VersionPush {
            nonce,
            version: stamp,
            predecessors: follows,
            base: None,
            changes,
            removed: Vec::new(),
            allows_cuts: true,
        },
        fit,
    )
}

/// How it is measured.
pub struct Pushes {
    pub program: Vec<OsString>,
    pub rounds: usize,
    pub seconds: f64,
    pub instances: usize,
    pub returns: usize,
    pub seeds: u64,
    pub versions: usize,
}

impl Pushes {
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
        on_stage(&self.program, 1, async |stage| {
            let began = Instant::now();
            let mut newest = None;
            for number in 0..many {
                newest = Some(stage.control.publish(stage.texts(1, number), true));
                Timer::at(began + apart * (number as u32 + 1)).await;
            }
            let published = began.elapsed();
            stage
                .until("the newest is in force", |stage| {
                    stage.control.running(0) == newest
                })
                .await?;
            let caught_up = began.elapsed() - published;
            let pushes = stage.control.pushes().len();
            let answers = |answer| {
                stage
                    .control
                    .replies()
                    .iter()
                    .filter(|own| own.message.answer() == answer)
                    .count()
            };
            stage
                .until("each is answered", |stage| {
                    stage
                        .control
                        .replies()
                        .iter()
                        .filter(|reply| reply.message.nonce > 0)
                        .count()
                        >= stage.control.pushes().len()
                })
                .await?;
            let status = stage.status(0).await?;
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
        on_stage(&self.program, many, async |stage| {
            let mut times = histogram()?;
            for which in 0..20 {
                let (before, began) = (stage.control.replies().len(), Instant::now());
                let stamp = stage.control.publish(stage.texts(many, which), true);
                let all = |stage: &Stage| {
                    (0..many).all(|who| stage.control.running(who as u32) == Some(stamp))
                };
                stage.until("all have it", all).await?;
                for reply in &stage.control.replies()[before..] {
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
        on_stage(&self.program, many, async |mut stage| {
            let opened = stage.control.opened();
            drop(stage.up.take());
            stage.control.hang_up();
            // Long enough for every one to have failed some times.
            Timer::after(Duration::from_secs(4)).await;
            let began = Instant::now();
            stage.up = Some(
                stage
                    .control
                    .restart(&stage.world)
                    .await
                    .map_err(|why| why.to_string())?,
            );
            stage
                .until("all are back", |stage| {
                    stage.control.opened() >= opened + many
                })
                .await?;
            let mut times = histogram()?;
            let mut by_second = std::collections::BTreeMap::<u64, usize>::new();
            for reply in stage
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
        let node = measure::apart(|| v1::node_server::NodeServer::new(Prompt))?;
        let measure = Measure {
            program: self.program.clone(),
            rounds: self.rounds,
            seconds: self.seconds,
            at_once: 16,
            nodes: 40,
            held: 0,
        };
        let (mut calm, mut pushed) = (Vec::<Round>::new(), Vec::<Round>::new());
        let tasks = Tasks::default();
        let whole = async {
            let text = |why: std::io::Error| why.to_string();
            let world = World::new(Capture::new(None).map_err(text)?, &tasks, None);
            let (roster, address) = Discovery::start(&world).await.map_err(text)?;
            for id in 0..measure.nodes {
                roster.update(Duration::ZERO, measure::entry(id, node));
            }
            let (control, up) = ControlService::start(&world).await.map_err(text)?;
            let mut stage = Stage {
                tasks: tasks.clone(),
                world,
                program: self.program.clone(),
                folder: tempfile::tempdir().map_err(text)?,
                roster: address,
                control,
                up: Some(up),
                dispatchers: Vec::new(),
            };
            let process = stage.start(0, 1)?;
            let at = process.address;
            stage.dispatchers.push(process);
            stage
                .until("its stream stands", |stage| stage.control.opened() == 1)
                .await?;
            measure.until_ready(&tasks, at).await?;
            let mut which = 0;
            for _ in 0..self.rounds {
                calm.push(measure.round(&tasks, "no pushes", at).await?);
                let pushes = async {
                    loop {
                        which += 1;
                        stage.control.publish(stage.texts(1, which), true);
                        Timer::after(Duration::from_millis(100)).await;
                    }
                };
                pushed.push(future::or(measure.round(&tasks, "10 a second", at), pushes).await?);
            }
            let applied = stage.status(0).await?.applied;
            let ratio = |of: fn(&Round) -> f64| median(&pushed, of) / median(&calm, of);
            println!(
                "placing with 10 versions a second over without, medians of {} rounds: asks/s {:.2}, p50 {:.2}, p99 {:.2}; {applied} applied of {which}",
                self.rounds,
                ratio(|r| r.a_second),
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
