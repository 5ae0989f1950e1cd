//! The command line of corkspan.

mod fleet;
mod maintenance;

use clap::{Args, CommandFactory as _, Parser, Subcommand, ValueEnum};
use corkspan_api::v1::{
    self, placement_client::PlacementClient, placement_event::Event as Said,
    rolls_client::RollsClient, versions_client::VersionsClient,
};
use corkspan_config::version::SharedParts;
use corkspan_config::{Deployment, schema, sexp};
use corkspan_dispatcher::config_stream::ACTIVE_VERSION_NUMBER;
use corkspan_rpc::{Bounds, Link, Tasks, within};
use futures_lite::future;
use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::fmt::format::{Writer, format};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// A cluster scheduler that fills machines by likely use, not by asks.
#[derive(Parser)]
#[command(name = "corkspan", version)]
struct Line {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Runs a dispatcher until a signal asks it to stop.
    Serve {
        /// The deployment file.
        file: PathBuf,
        /// How the log on standard error is written.
        #[arg(long, value_enum, default_value = "text")]
        log: Log,
        /// The least level that is logged.
        #[arg(long, default_value = "info")]
        level: tracing::Level,
    },
    /// Runs a dispatcher on the platform's protocol, by the file that NODE_CONFIG names, until
    /// SIGTERM.
    Platform {
        /// The least level that is logged.
        #[arg(long, default_value = "info")]
        level: tracing::Level,
    },
    /// Checks a deployment file and says what is wrong with it.
    Check {
        /// The deployment file.
        file: PathBuf,
    },
    /// Asks a dispatcher for one allocation and prints each word of it.
    Place(Place),
    /// Rolling updates of a service's program.
    Roll {
        #[command(subcommand)]
        call: Roll,
    },
    /// Prints the JSON Schema of the deployment file, or of streamed versions.
    Schema {
        /// Of versions instead: what all dispatchers share.
        #[arg(long)]
        version_only: bool,
    },
    /// Streamed versions of the deployment.
    Control {
        #[command(subcommand)]
        call: Control,
    },
    /// Dispatchers by their versions: who is behind, and who may act.
    Fleet {
        #[command(subcommand)]
        call: fleet::Fleet,
    },
    /// Machines taken out for work, few at a time.
    Maintenance {
        #[command(subcommand)]
        call: maintenance::Maintenance,
    },
    /// Prints what a dispatcher holds and has answered.
    Status {
        /// Where the dispatcher listens.
        dispatcher: SocketAddr,
    },
}

#[derive(Subcommand)]
enum Control {
    /// Tells which version is in force, what was turned down last, and why.
    Status { dispatcher: SocketAddr },
    /// Prints the shared parts in force that a file or version would change. Ends with 1 where
    /// there are any.
    Diff {
        dispatcher: SocketAddr,
        file: PathBuf,
    },
}

#[derive(Subcommand)]
enum Roll {
    /// Begins a roll, unless another stands in its way.
    Start {
        /// Where any one of the dispatchers listens.
        dispatcher: SocketAddr,
        service: String,
        /// The version to roll out.
        #[arg(long)]
        to: String,
        /// The version that runs, for an undo; after an earlier roll its own is taken.
        #[arg(long, default_value = "")]
        from: String,
        /// Copies that may be not ready at a time, over all dispatchers.
        #[arg(long)]
        unready_most: u32,
        /// Copies that one dispatcher replaces at a time.
        #[arg(long, default_value_t = 4)]
        batch: u32,
        /// So long a copy must stay ready, ms.
        #[arg(long, default_value_t = 3_000)]
        ready_for_ms: u64,
        /// So long a copy may take to get ready, ms.
        #[arg(long, default_value_t = 60_000)]
        ready_within_ms: u64,
        /// Copies that may fail at one dispatcher before the roll halts.
        #[arg(long, default_value_t = 1)]
        failures_most: u32,
        /// Start each new copy beside the old one, and stop that once the new one has stayed
        /// ready; the limit is then on copies beside others too. What must not run twice
        /// is stopped first all the same.
        #[arg(long)]
        start_first: bool,
    },
    /// Tells how far a roll is, as one dispatcher sees it.
    Status {
        dispatcher: SocketAddr,
        service: String,
    },
    /// No further copy is taken down; those that are, come back.
    Pause {
        dispatcher: SocketAddr,
        service: String,
    },
    /// Goes on after a pause or a halt.
    Resume {
        dispatcher: SocketAddr,
        service: String,
    },
    /// Goes back to the former version, by the same limits.
    Undo {
        dispatcher: SocketAddr,
        service: String,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Log {
    Text,
    Json,
}

#[derive(Args)]
struct Place {
    /// Where the dispatcher listens.
    dispatcher: SocketAddr,
    /// The task's name, the same on every return.
    #[arg(long)]
    task: String,
    #[arg(long)]
    service: String,
    #[arg(long)]
    track: String,
    #[arg(long, default_value = "")]
    account: String,
    #[arg(long)]
    cores: f64,
    #[arg(long)]
    memory: f64,
    /// Expected life, ms.
    #[arg(long, default_value_t = 0)]
    life_ms: u64,
    /// How long to wait for the final answer, ms.
    #[arg(long, default_value_t = 6000)]
    abandon_ms: u64,
    /// The task was asked for before.
    #[arg(long)]
    again: bool,
    /// Stay and print word of the allocation until it ends; to break off then stops it. Without
    /// this the call ends with the final answer, and so does the allocation.
    #[arg(long)]
    stay: bool,
}

/// All commands and their arguments, as clap knows them.
pub fn command() -> clap::Command {
    Line::command()
}

/// Runs the command line given, the program's name first.
pub fn run(line: impl IntoIterator<Item = OsString>) -> ExitCode {
    let line = match Line::try_parse_from(line) {
        Ok(line) => line,
        Err(why) => {
            let _ = why.print();
            return if why.use_stderr() {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    let result = match line.call {
        Call::Serve { file, log, level } => serve(file, log, level),
        Call::Platform { level } => platform(level),
        Call::Check { file } => Deployment::load(&file)
            .map(|_| println!("{}: sound", file.display()))
            .map_err(text),
        Call::Place(place) => called(place.dispatcher, |link| {
            ask(PlacementClient::new(link), place)
        }),
        Call::Status { dispatcher } => {
            called(dispatcher, |link| status(PlacementClient::new(link)))
        }
        Call::Schema { version_only } => schema(version_only),
        Call::Control { call } => control(call),
        Call::Roll { call } => roll(call),
        Call::Maintenance { call } => maintenance::run(call),
        Call::Fleet { call } => fleet::run(call),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("corkspan: {why}");
            ExitCode::FAILURE
        }
    }
}

fn text(why: impl ToString) -> String {
    why.to_string()
}

fn serve(file: PathBuf, log: Log, level: tracing::Level) -> Result<(), String> {
    let deployment = Deployment::load(&file).map_err(text)?;
    // A log whose disk is full must not end the dispatcher: telling of a line that could not be
    // written would.
    let to = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    let to = to.log_internal_errors(false);
    match log {
        Log::Text => to
            .event_format(Versioned {
                inner: format(),
                json: false,
            })
            .init(),
        Log::Json => to
            .json()
            .event_format(Versioned {
                inner: format().json(),
                json: true,
            })
            .init(),
    }
    let ready = |address| {
        // Whoever started it on port 0 reads here where it listens; that nobody reads is no harm.
        let mut out = std::io::stdout();
        let _ = writeln!(out, "listening {address}").and_then(|()| out.flush());
    };
    corkspan_dispatcher::serve(deployment, ready).map_err(text)
}

fn platform(level: tracing::Level) -> Result<(), String> {
    let to = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    to.log_internal_errors(false).init();
    let file = std::env::var_os("NODE_CONFIG").ok_or("NODE_CONFIG names no file")?;
    corkspan_platform::serve(std::path::Path::new(&file)).map_err(text)
}

/// Log lines that begin with the number of the version in force: what a line tells of was decided
/// by it.
struct Versioned<F> {
    inner: F,
    json: bool,
}

impl<S, N, F> FormatEvent<S, N> for Versioned<F>
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
    F: FormatEvent<S, N>,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &tracing::Event<'_>,
    ) -> std::fmt::Result {
        let version = ACTIVE_VERSION_NUMBER.load(std::sync::atomic::Ordering::Relaxed);
        if !self.json {
            write!(writer, "v{version} ")?;
            return self.inner.format_event(context, writer, event);
        }
        let mut line = String::new();
        self.inner
            .format_event(context, Writer::new(&mut line), event)?;
        let rest = line.strip_prefix('{').unwrap_or(&line);
        write!(writer, "{{\"version\":{version},{rest}")
    }
}

/// Runs one call of a client to its end.
fn called<F: Future<Output = Result<(), String>>>(
    dispatcher: SocketAddr,
    call: impl FnOnce(Link) -> F,
) -> Result<(), String> {
    let tasks = Tasks::default();
    let whole = async {
        let bounds = Bounds {
            connect_within: Duration::from_secs(2),
            ..Bounds::default()
        };
        let link = Link::open(&tasks, dispatcher, &bounds)
            .await
            .map_err(|why| format!("{dispatcher}: {why}"))?;
        call(link).await
    };
    future::block_on(tasks.run(whole))
}

fn roll(call: Roll) -> Result<(), String> {
    let change = |dispatcher, service: String, what: v1::change_rollout_request::Action| {
        called(dispatcher, async |link| {
            let ask = v1::ChangeRolloutRequest {
                service,
                action: what.into(),
            };
            taken(RollsClient::new(link).change(ask).await)
        })
    };
    match call {
        Roll::Start {
            dispatcher,
            service,
            to,
            from,
            unready_most,
            batch,
            ready_for_ms,
            ready_within_ms,
            failures_most,
            start_first,
        } => called(dispatcher, async |link| {
            let ask = v1::StartRolloutRequest {
                service,
                version: to,
                previous_version: from,
                max_unavailable: unready_most,
                max_in_progress: batch,
                min_ready_ms: ready_for_ms,
                progress_deadline_ms: ready_within_ms,
                max_failures: failures_most,
                surge: start_first,
            };
            taken(RollsClient::new(link).start(ask).await)
        }),
        Roll::Status {
            dispatcher,
            service,
        } => called(dispatcher, async |link| {
            let status = RollsClient::new(link)
                .status(v1::RolloutStatusRequest { service })
                .await;
            let status = status
                .map_err(|why| why.message().to_string())?
                .into_inner();
            match &status.rollout {
                Some(roll) => println!("{}", told(roll)),
                None => println!("no roll is known here"),
            }
            let v1::RolloutStatus {
                replicas: copies,
                updated: wanted,
                unavailable: unready,
                quorum_members: keepers,
                quorum_members_heard: keepers_heard,
                ..
            } = status;
            println!("copies here {copies}, of the version wanted {wanted}, not ready {unready}");
            println!("keepers heard {keepers_heard} of {keepers}");
            for slot in status.held_slots {
                println!(
                    "slot {} held for {} by dispatcher {}",
                    slot.slot, slot.task, slot.dispatcher
                );
            }
            Ok(())
        }),
        Roll::Pause {
            dispatcher,
            service,
        } => change(
            dispatcher,
            service,
            v1::change_rollout_request::Action::Pause,
        ),
        Roll::Resume {
            dispatcher,
            service,
        } => change(
            dispatcher,
            service,
            v1::change_rollout_request::Action::Resume,
        ),
        Roll::Undo {
            dispatcher,
            service,
        } => change(
            dispatcher,
            service,
            v1::change_rollout_request::Action::Undo,
        ),
    }
}

fn schema(version_only: bool) -> Result<(), String> {
    let of = if version_only {
        schema::DocumentKind::Version
    } else {
        schema::DocumentKind::File
    };
    let text = serde_json::to_string_pretty(&schema::json_schema(of)).map_err(text)?;
    // Whoever pipes it into a pager may close it early.
    let _ = writeln!(std::io::stdout(), "{text}");
    Ok(())
}

fn control(call: Control) -> Result<(), String> {
    let status = async |link| {
        let status = VersionsClient::new(link).max_decoding_message_size(16 << 20);
        let mut status = status;
        let status = within(
            Duration::from_secs(5),
            status.status(v1::VersionStatusRequest {}),
        )
        .await;
        let status = status
            .ok_or("no answer within 5 s")?
            .map_err(|why| why.message().to_string())?;
        Ok::<_, String>(status.into_inner())
    };
    match call {
        Control::Status { dispatcher } => called(dispatcher, async |link| {
            let told = status(link).await?;
            let name = |stamp: &Option<v1::VersionId>| match stamp {
                Some(stamp) if stamp.number > 0 => {
                    format!(
                        "{} ({})",
                        stamp.number,
                        stamp.digest.get(..8).unwrap_or_default()
                    )
                }
                _ => "its own file".into(),
            };
            println!(
                "in force: {}{}",
                name(&told.active),
                if told.on_trial { ", on trial" } else { "" }
            );
            println!("last good: {}", name(&told.last_good));
            let service = if told.control_service.is_empty() {
                "none"
            } else {
                &told.control_service
            };
            println!("control service: {service}");
            let v1::VersionStatus {
                applied,
                rejected: refused,
                superseded,
                ..
            } = told;
            println!("applied {applied}, turned down {refused}, passed over {superseded}");
            told.given_up
                .iter()
                .for_each(|stamp| println!("given up: {}", name(&Some(stamp.clone()))));
            if told.last_rejected.is_some() {
                println!("turned down last: {}", name(&told.last_rejected));
                told.reasons.iter().for_each(|why| println!("  {why}"));
            }
            Ok(())
        }),
        Control::Diff { dispatcher, file } => called(dispatcher, async |link| {
            let path = file.display().to_string();
            let next =
                SharedParts::parse(&path, &sexp::load(&file).map_err(text)?).map_err(text)?;
            let now = SharedParts::parse("in force", &status(link).await?.text).map_err(text)?;
            let (changes, removed) = now.changes_to(&next);
            for name in removed
                .iter()
                .map(String::as_str)
                .chain(changes.iter().map(|(name, _)| name))
            {
                now.get(name).iter().for_each(|text| println!("- {text}"));
                next.get(name).iter().for_each(|text| println!("+ {text}"));
            }
            match removed.len() + changes.iter().count() {
                0 => Ok(()),
                many => Err(format!("{many} parts differ")),
            }
        }),
    }
}

fn taken(word: Result<tonic::Response<v1::RolloutResponse>, tonic::Status>) -> Result<(), String> {
    let word = word.map_err(|why| why.message().to_string())?.into_inner();
    match word.current {
        Some(roll) if word.accepted => {
            println!("{}", told(&roll));
            Ok(())
        }
        _ => Err(word.message),
    }
}

fn told(roll: &v1::Rollout) -> String {
    let v1::Rollout {
        service,
        revision: number,
        version,
        previous_version: former,
        max_unavailable: unready_most,
        reason: why,
        ..
    } = roll;
    let phase = match roll.phase() {
        v1::rollout::Phase::Rolling => "rolling".into(),
        v1::rollout::Phase::Paused => "paused".into(),
        v1::rollout::Phase::Halted => format!("halted: {why}"),
    };
    let former = if former.is_empty() { "none" } else { former };
    format!(
        "roll {number} of {service} to {version} (before: {former}), at most {unready_most} not ready: {phase}"
    )
}

async fn status(mut client: PlacementClient<Link>) -> Result<(), String> {
    let word = within(Duration::from_secs(5), client.status(v1::StatusRequest {})).await;
    let word = word
        .ok_or("no answer within 5 s")?
        .map_err(|why| why.message().to_string())?
        .into_inner();
    let rows = [
        ("in hand", word.in_flight),
        ("not yet placed", word.deferred),
        ("shots out", word.attempts_in_flight),
        ("running", word.running),
        ("asked", word.requested),
        ("placed", word.placed),
        ("refused", word.rejected),
        ("failed", word.failed),
        ("cancelled", word.cancelled),
        ("links to nodes", word.connections),
        ("machines serving", word.machines_serving),
        ("machines known", word.machines_known),
        ("decided, us", word.decision_time_us),
    ];
    println!(
        "dispatcher {} of {}{}",
        word.number,
        word.schedulers,
        if word.stopping { ", stopping" } else { "" }
    );
    rows.iter()
        .for_each(|(what, value)| println!("{what:>18} {value}"));
    for count in &word.connection_traffic {
        println!(
            "{:>18} {} bytes in, {} out; {} messages in, {} out",
            count.kind().as_str_name().to_lowercase(),
            count.bytes_in,
            count.bytes_out,
            count.messages_in,
            count.messages_out
        );
    }
    Ok(())
}

async fn ask(mut client: PlacementClient<Link>, place: Place) -> Result<(), String> {
    let Place {
        task,
        service,
        track,
        account,
        cores,
        memory,
        life_ms,
        abandon_ms,
        again,
        stay,
        ..
    } = place;
    let placing = format!("{task}/{:x}", corkspan_dispatcher::clock::wall_ms());
    let ask = v1::PlacementRequest {
        placement_id: placing,
        task,
        service,
        service_class: track,
        tenant: account,
        cores,
        memory,
        expected_duration_ms: life_ms,
        deadline_ms: abandon_ms,
        retry: again,
    };
    let mut words = client
        .place(ask)
        .await
        .map_err(|why| why.message().to_string())?
        .into_inner();
    let late = Duration::from_millis(abandon_ms.saturating_add(1000));
    let mut answered = false;
    loop {
        let word = if answered {
            words.message().await
        } else {
            within(late, words.message())
                .await
                .unwrap_or_else(|| Err(tonic::Status::deadline_exceeded("no answer")))
        };
        let Some(word) = word.map_err(|why| why.message().to_string())? else {
            return if answered {
                Ok(())
            } else {
                Err("the dispatcher gave no final answer".into())
            };
        };
        match word.event {
            Some(Said::Placed(placed)) => {
                println!("placed on node {} by shot {}", placed.node, placed.attempts);
                answered = true;
                if !stay {
                    return Ok(());
                }
            }
            Some(Said::Rejected(refused)) => {
                return Err(format!(
                    "refused ({:?}): {}; another try is harmless",
                    refused.reason(),
                    refused.message
                ));
            }
            Some(Said::Failed(failed)) => return Err(format!("failed: {}", failed.message)),
            Some(Said::Running(_)) => println!("runs"),
            Some(Said::ServiceLevel(served)) => {
                println!("served at {:.0}%", served.fraction * 100.0)
            }
            Some(Said::Replaced(replaced)) => {
                println!(
                    "replaced by version {} on node {}",
                    replaced.version, replaced.node
                );
            }
            Some(Said::Ended(ended)) => println!("ended: {:?}", ended.reason()),
            None => {}
        }
    }
}
