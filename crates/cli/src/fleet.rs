//! Implements the command `fleet`, which polls all dispatchers at once. `corkspan_version_fencing`
//! determines the findings and whether the minimum version may be raised.

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
    /// Prints each dispatcher's version and the findings. Exits with 1 if there are any findings.
    Audit {
        /// The addresses at which the dispatchers listen.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// The address of a node whose recorded operations are audited too; may be repeated.
        #[arg(long = "node")]
        nodes: Vec<SocketAddr>,
        /// Also prints the versions that were active at each dispatcher within this many seconds.
        #[arg(long)]
        since: Option<u64>,
        /// Prints one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Proposes to the quorum that no version below this one may act on nodes.
    Floor {
        /// The lowest version that may act; 0 admits all.
        version: u64,
        /// The addresses at which the dispatchers listen. They are polled, and a part of them must
        /// have adopted the version.
        #[arg(required = true)]
        dispatchers: Vec<SocketAddr>,
        /// The part of them that must run the version past its trial, in thousandths.
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
    // Polls nodes first: a dispatcher counts its operations before it sends them, so a count that
    // it reports later is never less than what nodes saw before, however many are in flight.
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
                "minimum version {}, revision {}: no version below it may act",
                minimum.version, minimum.revision
            );
            Ok(())
        }
        _ => Err(Error::Rejected(response.message)),
    }
}
