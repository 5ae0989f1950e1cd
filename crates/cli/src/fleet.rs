//! `fleet`: what an operator asks of all dispatchers at once. What is wrong, and whether the minimum
//! version may be raised, is decided in `corkspan_version_fencing`.

mod poll;
mod report;

use crate::connection::{ANSWER_TIMEOUT, answer_within};
use crate::error::Error;
use clap::Subcommand;
use corkspan_api::v1;
use corkspan_rpc::SharedExecutor;
use corkspan_version_fencing::audit::{Reply, dispatcher_findings, node_findings};
use corkspan_version_fencing::{ReportedVersion, check_adoption};
use futures_lite::future;
use poll::{dispatcher_report, poll_dispatchers, poll_nodes, versions_client};
use report::Audit;
use std::net::SocketAddr;

/// The commands of `fleet`.
#[derive(Subcommand)]
pub(crate) enum Fleet {
    /// Prints each dispatcher's version and what is wrong. Ends with 1 where anything is.
    Audit {
        /// Where the dispatchers listen.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// Where nodes listen whose records of acts are pending for too; may be report many times.
        #[arg(long = "node")]
        nodes: Vec<SocketAddr>,
        /// Prints also which versions were active at each within the last so many seconds.
        #[arg(long)]
        since: Option<u64>,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Proposes to the quorum that no version below this one may act.
    Floor {
        /// The lowest version that may act; 0 lets all.
        version: u64,
        /// Where the dispatchers listen: those that may be pending, and of which a part must have
        /// taken the version.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// The part of them that must run it for good, in thousandths.
        #[arg(long, default_value_t = 500, value_parser = clap::value_parser!(u32).range(0..=1000))]
        part: u32,
    },
}

/// Runs one of the commands.
pub(crate) fn run(command: Fleet) -> Result<(), Error> {
    let tasks = SharedExecutor::default();
    future::block_on(tasks.run(async {
        match command {
            Fleet::Audit {
                dispatchers,
                nodes,
                since,
                json,
            } => audit(&tasks, &dispatchers, &nodes, since, json).await,
            Fleet::Floor {
                version,
                dispatchers,
                part,
            } => raise_minimum_version(&tasks, version, &dispatchers, part).await,
        }
    }))
}

async fn audit(
    tasks: &SharedExecutor,
    dispatchers: &[SocketAddr],
    nodes: &[SocketAddr],
    since_s: Option<u64>,
    json: bool,
) -> Result<(), Error> {
    // Nodes first: a dispatcher counts its operations before it sends them, so what it reports
    // later is never less than what nodes have seen before, however many are in flight.
    let observations = poll_nodes(tasks, nodes).await;
    let statuses = poll_dispatchers(tasks, dispatchers).await;
    let named = dispatchers.iter().zip(&statuses);
    let replies: Vec<_> = named
        .map(|(address, status)| Reply {
            address: address.to_string(),
            report: status.as_ref().map(dispatcher_report),
        })
        .collect();
    let mut findings = dispatcher_findings(&replies);
    findings.extend(node_findings(&replies, &observations));
    let audit = Audit {
        dispatchers,
        statuses: &statuses,
        observations: &observations,
        since_s,
        findings: &findings,
    };
    match json {
        true => audit.print_json(),
        false => audit.print_table(),
    }
    match findings.len() {
        0 => Ok(()),
        count => Err(Error::Findings(count)),
    }
}

async fn raise_minimum_version(
    tasks: &SharedExecutor,
    version: u64,
    addresses: &[SocketAddr],
    part: u32,
) -> Result<(), Error> {
    let statuses = poll_dispatchers(tasks, addresses).await;
    let current = statuses
        .iter()
        .flatten()
        .filter_map(|status| status.minimum_version.as_ref())
        .max_by_key(|minimum| minimum.revision);
    let reported = |status: &v1::VersionStatus| {
        let version = status.active.as_ref().map_or(0, |running| running.number);
        ReportedVersion {
            version,
            on_trial: status.on_trial,
        }
    };
    let reported: Vec<Option<ReportedVersion>> = statuses
        .iter()
        .map(|status| status.as_ref().map(reported))
        .collect();
    let current = current.map(|minimum| minimum.version);
    check_adoption(&reported, current, version, part)?;
    let answers = addresses
        .iter()
        .zip(&statuses)
        .find(|(_, status)| status.is_some());
    let (address, _) = answers.ok_or(Error::NoDispatcher)?;
    let mut client = versions_client(tasks, *address).await?;
    let request = v1::RaiseMinimumVersionRequest { version };
    let response = answer_within(ANSWER_TIMEOUT, client.raise(request)).await?;
    match response.current {
        Some(minimum) if response.accepted => {
            println!(
                "floor {} by wish {}: no version below it may act",
                minimum.version, minimum.revision
            );
            Ok(())
        }
        _ => Err(Error::Rejected(response.message)),
    }
}
