//! What an operator asks of all dispatchers at once. What is wrong, and whether a floor may be
//! raised, is decided in `corkspan_version_fencing`.

use clap::Subcommand;
use corkspan_api::v1::{self, node_client::NodeClient, versions_client::VersionsClient};
use corkspan_dispatcher::clock::wall_ms;
use corkspan_rpc::{Bounds, Link, Tasks, within};
use corkspan_version_fencing::audit::{
    DispatcherReport, DispatcherVersion, Finding, NodeObservation, OperationTotals,
    RejectedVersion, Reply, dispatcher_findings, node_findings, operation_totals,
};
use corkspan_version_fencing::operations::{OperationKind, VersionedOperation};
use corkspan_version_fencing::{ReportedVersion, check_adoption};
use futures_lite::future;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// So long one dispatcher may take to answer.
const ANSWERS_WITHIN: Duration = Duration::from_secs(5);
/// Of one answer: the shared parts in force are among it.
const ANSWER: usize = 16 << 20;

/// Nodes by address, each with what it has seen; none of who does not answer.
type Seen = Vec<Reply<Vec<NodeObservation>>>;

#[derive(Subcommand)]
pub enum Fleet {
    /// Tells each dispatcher's version and what is wrong. Ends with 1 where anything is.
    Audit {
        /// Where the dispatchers listen.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// Where nodes listen whose records of acts are asked for too; may be told many times.
        #[arg(long = "node")]
        nodes: Vec<SocketAddr>,
        /// Tells also which versions were in force at each within the last so many seconds.
        #[arg(long)]
        since: Option<u64>,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Asks the keepers that no version below this one may act.
    Floor {
        /// The lowest version that may act; 0 lets all.
        version: u64,
        /// Where the dispatchers listen: those that may be asked, and of which a part must have
        /// taken the version.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// The part of them that must run it for good, in thousandths.
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(0..=1000))]
        part: u32,
    },
}

pub fn run(call: Fleet) -> Result<(), String> {
    let tasks = Tasks::default();
    future::block_on(tasks.run(async {
        match call {
            Fleet::Audit {
                dispatchers,
                nodes,
                since,
                json,
            } => {
                // Nodes first: a dispatcher counts its acts before it sends them, so what it tells
                // later is never less than what nodes have seen before, however
                // many are under way.
                let acted = ask_nodes(&tasks, &nodes).await;
                let all = ask_all(&tasks, &dispatchers).await;
                let named: Vec<_> = dispatchers
                    .iter()
                    .zip(&all)
                    .map(|(address, own)| Reply {
                        address: address.to_string(),
                        report: own.as_ref().map(told),
                    })
                    .collect();
                let mut found = dispatcher_findings(&named);
                found.extend(node_findings(&named, &acted));
                match json {
                    true => as_json(&dispatchers, &all, &acted, since, &found),
                    false => as_table(&dispatchers, &all, &acted, since, &found),
                }
                if found.is_empty() {
                    Ok(())
                } else {
                    Err(format!("{} things are wrong", found.len()))
                }
            }
            Fleet::Floor {
                version,
                dispatchers,
                part,
            } => floor(&tasks, version, &dispatchers, part).await,
        }
    }))
}

async fn link(tasks: &Tasks, address: SocketAddr) -> Result<VersionsClient<Link>, String> {
    let bounds = Bounds {
        connect_within: Duration::from_secs(2),
        ..Bounds::default()
    };
    let link = Link::open(tasks, address, &bounds)
        .await
        .map_err(|why| format!("{address}: {why}"))?;
    Ok(VersionsClient::new(link).max_decoding_message_size(ANSWER))
}

/// What each tells, all asked at once; none of who does not answer in time.
async fn ask_all(tasks: &Tasks, addresses: &[SocketAddr]) -> Vec<Option<v1::VersionStatus>> {
    let asked: Vec<_> = addresses
        .iter()
        .map(|&address| {
            let own = tasks.clone();
            tasks.spawn(within(ANSWERS_WITHIN, async move {
                let mut client = link(&own, address).await.ok()?;
                client
                    .status(v1::VersionStatusRequest {})
                    .await
                    .ok()
                    .map(tonic::Response::into_inner)
            }))
        })
        .collect();
    let mut told = Vec::new();
    for ask in asked {
        told.push(ask.await.flatten());
    }
    told
}

/// What nodes have seen of acts.
async fn ask_nodes(tasks: &Tasks, addresses: &[SocketAddr]) -> Seen {
    let asked: Vec<_> = addresses
        .iter()
        .map(|&address| {
            let own = tasks.clone();
            tasks.spawn(within(ANSWERS_WITHIN, async move {
                let bounds = Bounds {
                    connect_within: Duration::from_secs(2),
                    ..Bounds::default()
                };
                let link = Link::open(&own, address, &bounds).await.ok()?;
                let mut client = NodeClient::new(link).max_decoding_message_size(ANSWER);
                client
                    .acts(v1::OperationsRequest {})
                    .await
                    .ok()
                    .map(tonic::Response::into_inner)
            }))
        })
        .collect();
    let mut told = Vec::new();
    for (address, ask) in addresses.iter().zip(asked) {
        let acts = ask.await.flatten().map(|word| {
            let acts = word.operations.iter();
            acts.map(|act| NodeObservation {
                dispatcher: act.dispatcher,
                incarnation: act.incarnation,
                version: act.version,
                kind: kind(act.kind),
                seen: act.count,
                rejected: act.fenced,
            })
            .collect()
        });
        told.push(Reply {
            address: address.to_string(),
            report: acts,
        });
    }
    told
}

/// One that a later program tells of and this one does not know counts among claims, which nobody
/// is shown apart.
fn kind(kind: i32) -> OperationKind {
    usize::try_from(kind)
        .ok()
        .and_then(|kind| OperationKind::ALL.get(kind))
        .copied()
        .unwrap_or(OperationKind::Claim)
}

fn told(status: &v1::VersionStatus) -> DispatcherReport {
    let running = status.active.clone().unwrap_or_default();
    let turned_down = status.last_rejected.as_ref().map(|stamp| RejectedVersion {
        version: stamp.number,
        reason: status.reasons.join("; "),
    });
    DispatcherReport {
        dispatcher: status.dispatcher,
        incarnation: status.incarnation,
        version: running.number,
        digest: running.digest,
        on_trial: status.on_trial,
        has_stream: !status.control_service.is_empty(),
        last_rejected: turned_down,
        rolled_back: status.given_up.iter().map(|stamp| stamp.number).collect(),
        fenced: status.fenced,
        operations: status
            .operation_counts
            .iter()
            .map(|own| {
                (
                    VersionedOperation {
                        version: own.version,
                        kind: kind(own.kind as i32),
                    },
                    own.count,
                )
            })
            .collect(),
    }
}

/// The versions of one dispatcher that were in force at any time within so many seconds, by its own
/// clock: each with when that ended.
fn over_time(
    spans: &[v1::VersionInterval],
    now_ms: u64,
    since_s: u64,
) -> Vec<(&v1::VersionInterval, Option<u64>)> {
    let since = now_ms.saturating_sub(since_s.saturating_mul(1_000));
    let ends = spans
        .iter()
        .skip(1)
        .map(|next| Some(next.from_ms))
        .chain([None]);
    spans
        .iter()
        .zip(ends)
        .filter(|(_, end)| end.is_none_or(|end| end > since))
        .collect()
}

fn how(span: &v1::VersionInterval) -> &'static str {
    match span.origin() {
        v1::version_interval::Origin::File => "its own file",
        v1::version_interval::Origin::Cached => "kept, at a start",
        v1::version_interval::Origin::Push => "pushed",
        v1::version_interval::Origin::Rollback => "after giving up",
        v1::version_interval::Origin::CatchUp => "brought by another",
    }
}

fn number(span: &v1::VersionInterval) -> u64 {
    span.version.as_ref().map_or(0, |stamp| stamp.number)
}

fn state(told: &DispatcherReport) -> &'static str {
    match (told.fenced, told.on_trial) {
        (true, _) => "shut out",
        (false, true) => "on trial",
        (false, false) => "acts",
    }
}

fn as_table(
    addresses: &[SocketAddr],
    all: &[Option<v1::VersionStatus>],
    acted: &Seen,
    since: Option<u64>,
    found: &[Finding],
) {
    println!(
        "{:<22} {:>6} {:>8} {:<9} {:>6} state",
        "dispatcher", "number", "version", "digest", "floor"
    );
    for (address, status) in addresses.iter().zip(all) {
        let address = address.to_string();
        let Some(status) = status else {
            println!(
                "{address:<22} {:>6} {:>8} {:<9} {:>6} does not answer",
                "-", "-", "-", "-"
            );
            continue;
        };
        let told = told(status);
        let floor = status
            .minimum_version
            .as_ref()
            .map_or("-".into(), |floor| floor.version.to_string());
        let (digest, state) = (told.digest.get(..8).unwrap_or_default(), state(&told));
        println!(
            "{address:<22} {:>6} {:>8} {digest:<9} {floor:>6} {state}",
            told.dispatcher, told.version
        );
    }
    if let Some(since) = since {
        let now = wall_ms();
        let ago = |at: u64| now.saturating_sub(at) as f64 / 1_000.0;
        for (address, status) in addresses.iter().zip(all) {
            for (span, end) in status
                .iter()
                .flat_map(|status| over_time(&status.intervals, now, since))
            {
                let to = end.map_or("now".into(), |end| format!("{:.1} s ago", ago(end)));
                let (version, how, from) = (number(span), how(span), ago(span.from_ms));
                println!(
                    "{address}: version {version} ({how}) from {from:.1} s ago to {to}, life {:x}",
                    span.incarnation
                );
            }
        }
    }
    if !acted.is_empty() {
        let head = [
            "acts of dispatcher",
            "version",
            "shots",
            "others",
            "turned away",
        ];
        println!(
            "{:>22} {:>8} {:>10} {:>10} {:>11}",
            head[0], head[1], head[2], head[3], head[4]
        );
        for (
            DispatcherVersion {
                dispatcher,
                version,
            },
            OperationTotals {
                attempts: shots,
                others,
                rejected: below,
            },
        ) in operation_totals(acted)
        {
            println!("{dispatcher:>22} {version:>8} {shots:>10} {others:>10} {below:>11}");
        }
    }
    found.iter().for_each(|finding| println!("{finding}"));
}

fn as_json(
    addresses: &[SocketAddr],
    all: &[Option<v1::VersionStatus>],
    acted: &Seen,
    since: Option<u64>,
    found: &[Finding],
) {
    let now = wall_ms();
    let dispatchers = addresses.iter().zip(all).map(|(address, status)| {
        let Some(status) = status else { return json!({ "address": address, "answers": false }) };
        let told = told(status);
        let spans = since.map(|since| over_time(&status.intervals, now, since)).unwrap_or_default();
        let spans = spans.into_iter().map(|(span, end)| {
            json!({ "version": number(span), "how": how(span), "life": format!("{:x}", span.incarnation),
                "from_ms": span.from_ms, "to_ms": end })
        });
        json!({
            "address": address, "answers": true, "number": told.dispatcher, "life": format!("{:x}", told.incarnation),
            "version": told.version, "digest": told.digest, "state": state(&told),
            "floor": status.minimum_version.as_ref().map(|floor| floor.version), "spans": spans.collect::<Vec<_>>(),
        })
    });
    let acts = operation_totals(acted).into_iter().map(|(DispatcherVersion { dispatcher, version }, OperationTotals { attempts: shots, others, rejected: below })| {
        json!({ "dispatcher": dispatcher, "version": version, "shots": shots, "others": others, "below": below })
    });
    let findings: Vec<String> = found.iter().map(Finding::to_string).collect();
    let (dispatchers, acts) = (dispatchers.collect::<Vec<_>>(), acts.collect::<Vec<_>>());
    println!(
        "{}",
        json!({ "dispatchers": dispatchers, "acts": acts, "findings": findings })
    );
}

async fn floor(
    tasks: &Tasks,
    version: u64,
    addresses: &[SocketAddr],
    part: u32,
) -> Result<(), String> {
    let all = ask_all(tasks, addresses).await;
    let stands = all
        .iter()
        .flatten()
        .filter_map(|status| status.minimum_version.as_ref())
        .max_by_key(|floor| floor.revision);
    let runs = |status: &v1::VersionStatus| {
        let version = status.active.as_ref().map_or(0, |running| running.number);
        ReportedVersion {
            version,
            on_trial: status.on_trial,
        }
    };
    let runs: Vec<Option<ReportedVersion>> =
        all.iter().map(|status| status.as_ref().map(runs)).collect();
    let stands = stands.map(|floor| floor.version);
    check_adoption(&runs, stands, version, part).map_err(|why| why.to_string())?;
    let answers = addresses
        .iter()
        .zip(&all)
        .find(|(_, status)| status.is_some());
    let (address, _) = answers.ok_or("no dispatcher answers")?;
    let mut client = link(tasks, *address).await?;
    let word = within(
        ANSWERS_WITHIN,
        client.raise(v1::RaiseMinimumVersionRequest { version: version }),
    )
    .await;
    let word = word
        .ok_or("no answer within 5 s")?
        .map_err(|why| why.message().to_string())?
        .into_inner();
    match word.current {
        Some(floor) if word.accepted => {
            println!(
                "floor {} by wish {}: no version below it may act",
                floor.version, floor.revision
            );
            Ok(())
        }
        _ => Err(word.message),
    }
}
