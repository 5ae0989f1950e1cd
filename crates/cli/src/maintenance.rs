//! Machines taken out for work, as an operator and the worker see it.

use clap::{Args, Subcommand, ValueEnum};
use corkspan_api::v1::{self, maintenance_request::Action, rolls_client::RollsClient};
use corkspan_rpc::{Bounds, Link, Tasks, within};
use futures_lite::future;
use std::net::SocketAddr;
use std::time::Duration;

/// So long a dispatcher may take: it asks keepers and machines.
const ANSWERS_WITHIN: Duration = Duration::from_secs(20);

#[derive(Subcommand)]
pub enum Maintenance {
    /// Has machines taken out, emptied and handed to the work, few at a time.
    Start(Start),
    /// Tells which machines are out, which are the worker's, and which have had their work.
    Status { dispatcher: SocketAddr },
    /// Takes no further machine; those that are out go on.
    Pause { dispatcher: SocketAddr },
    /// Goes on after a pause, or after an abort.
    Resume { dispatcher: SocketAddr },
    /// Opens those again that have not been handed to the work.
    Abort { dispatcher: SocketAddr },
    /// The worker's word: the work on these machines is done.
    Done {
        dispatcher: SocketAddr,
        #[arg(required = true)]
        machines: Vec<u32>,
    },
}

#[derive(Args)]
pub struct Start {
    /// Where any one of the dispatchers listens.
    dispatcher: SocketAddr,
    /// By their numbers in the roster.
    #[arg(required = true)]
    machines: Vec<u32>,
    /// So many may be out at a time.
    #[arg(long, default_value_t = 1)]
    at_a_time: u32,
    /// Of them in one hall, cell, and of one kind; as many as at a time, if not told.
    #[arg(long)]
    by_hall: Option<u32>,
    #[arg(long)]
    by_cell: Option<u32>,
    #[arg(long)]
    by_kind: Option<u32>,
    /// So long a machine that is back counts as out still, in seconds.
    #[arg(long, default_value_t = 60)]
    warm_s: u64,
    /// So long it may take to empty one, in seconds.
    #[arg(long, default_value_t = 3600)]
    empty_within_s: u64,
    /// What then becomes of what may be neither moved nor repeated.
    #[arg(long, value_enum, default_value = "wait")]
    then: Then,
}

#[derive(Clone, Copy, ValueEnum)]
enum Then {
    Wait,
    /// The machine is opened again and left out.
    Skip,
    Stop,
}

pub fn run(call: Maintenance) -> Result<(), String> {
    let plain = |what: Action, nodes: Vec<u32>| v1::MaintenanceRequest {
        action: what.into(),
        nodes,
        ..v1::MaintenanceRequest::default()
    };
    let (dispatcher, ask) = match call {
        Maintenance::Start(start) => (start.dispatcher, started(start)),
        Maintenance::Status { dispatcher } => (dispatcher, plain(Action::Status, Vec::new())),
        Maintenance::Pause { dispatcher } => (dispatcher, plain(Action::Pause, Vec::new())),
        Maintenance::Resume { dispatcher } => (dispatcher, plain(Action::Resume, Vec::new())),
        Maintenance::Abort { dispatcher } => (dispatcher, plain(Action::Abort, Vec::new())),
        Maintenance::Done {
            dispatcher,
            machines,
        } => (dispatcher, plain(Action::Done, machines)),
    };
    let tasks = Tasks::default();
    let word = future::block_on(tasks.run(within(ANSWERS_WITHIN, async {
        let bounds = Bounds {
            connect_within: Duration::from_secs(2),
            ..Bounds::default()
        };
        let link = Link::open(&tasks, dispatcher, &bounds)
            .await
            .map_err(|why| format!("{dispatcher}: {why}"))?;
        let word = RollsClient::new(link).maintain(ask).await;
        word.map(tonic::Response::into_inner)
            .map_err(|why| why.message().to_string())
    })));
    let word = word.ok_or("no answer within 20 s")??;
    tell(&word);
    if word.accepted {
        Ok(())
    } else {
        Err(word.message)
    }
}

fn started(start: Start) -> v1::MaintenanceRequest {
    let all = start.at_a_time;
    let or_all = |limit: Option<u32>| limit.unwrap_or(all);
    v1::MaintenanceRequest {
        action: Action::Start.into(),
        nodes: start.machines,
        limits: vec![
            all,
            or_all(start.by_hall),
            or_all(start.by_cell),
            or_all(start.by_kind),
        ],
        warm_up_ms: start.warm_s.saturating_mul(1_000),
        drain_timeout_ms: start.empty_within_s.saturating_mul(1_000),
        on_drain_timeout: match start.then {
            Then::Wait => v1::maintenance_plan::DrainTimeoutAction::Wait,
            Then::Skip => v1::maintenance_plan::DrainTimeoutAction::Skip,
            Then::Stop => v1::maintenance_plan::DrainTimeoutAction::Stop,
        }
        .into(),
    }
}

fn tell(word: &v1::MaintenanceResponse) {
    let Some(work) = &word.current else {
        return println!("no work on machines is wished for");
    };
    let course = match work.run_state() {
        v1::maintenance_plan::RunState::Running => "going",
        v1::maintenance_plan::RunState::Paused => "paused",
        v1::maintenance_plan::RunState::Aborted => "aborted",
    };
    let (all, worked) = (work.machines.len(), word.completed.len());
    println!(
        "wish {}: {course}, {worked} of {all} machines worked on, {} skipped",
        work.revision,
        word.skipped.len()
    );
    for out in &word.leases {
        let node = out.machine.as_ref().map_or(0, |machine| machine.node);
        let state = match out.phase() {
            _ if word.in_maintenance.contains(&node) => "in work",
            v1::maintenance_step::Step::Granted => "to be closed",
            v1::maintenance_step::Step::Cordoned => "being emptied",
            v1::maintenance_step::Step::Drained => "handed over, and does not answer",
            v1::maintenance_step::Step::Completed => "done, warming",
            v1::maintenance_step::Step::Cancelled => "to be opened unworked",
            _ => "out",
        };
        println!("machine {node}: {state}");
    }
}
