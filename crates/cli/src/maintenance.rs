//! Implements the command `maintenance`, which takes machines out for maintenance. Operators and
//! maintainers use it.

use crate::connection::with_connection_within;
use crate::error::Error;
use clap::{Args, Subcommand, ValueEnum};
use corkspan_api::v1::{self, maintenance_request::Action, rolls_client::RollsClient};
use std::net::SocketAddr;
use std::time::Duration;

/// The time that a dispatcher has to answer; it polls the quorum and machines.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// The commands of `maintenance`.
#[derive(Subcommand)]
pub(crate) enum Maintenance {
    /// Takes machines out, drains them and hands them over to maintenance, a few at a time.
    Start(Start),
    /// Prints the progress, and the state of each machine that is out.
    Status { dispatcher: SocketAddr },
    /// Takes no further machines out; those that are out continue.
    Pause { dispatcher: SocketAddr },
    /// Continues after a pause or an abort.
    Resume { dispatcher: SocketAddr },
    /// Uncordons the machines that have not been handed over to maintenance.
    Abort { dispatcher: SocketAddr },
    /// Reports that the maintenance of these machines is completed.
    Done {
        dispatcher: SocketAddr,
        #[arg(required = true)]
        machines: Vec<u32>,
    },
}

#[derive(Args)]
pub(crate) struct Start {
    /// The address at which any of the dispatchers listens.
    dispatcher: SocketAddr,
    /// The numbers of the machines in the roster.
    #[arg(required = true)]
    machines: Vec<u32>,
    /// The maximum number of machines that are out at a time.
    #[arg(long = "at-a-time", default_value_t = 1)]
    max_out: u32,
    /// The maximum number in one zone; by default the same as the total.
    #[arg(long = "by-hall")]
    max_per_zone: Option<u32>,
    /// The maximum number in one cell; by default the same as the total.
    #[arg(long = "by-cell")]
    max_per_cell: Option<u32>,
    /// The maximum number of one machine type; by default the same as the total.
    #[arg(long = "by-kind")]
    max_per_machine_type: Option<u32>,
    /// How long a machine that is back in service still counts as out, in seconds.
    #[arg(long = "warm-s", default_value_t = 60)]
    warm_up_s: u64,
    /// The drain timeout of a machine, in seconds.
    #[arg(long = "empty-within-s", default_value_t = 3600)]
    drain_timeout_s: u64,
    /// The action on a drain timeout for allocations that can be neither migrated nor restarted.
    #[arg(long = "then", value_enum, default_value = "wait")]
    on_drain_timeout: OnDrainTimeout,
}

#[derive(Clone, Copy, ValueEnum)]
enum OnDrainTimeout {
    Wait,
    /// Uncordons and skips the machine.
    Skip,
    Stop,
}

/// Runs one of the commands.
pub(crate) fn run(command: Maintenance) -> Result<(), Error> {
    let request = |action: Action, nodes: Vec<u32>| v1::MaintenanceRequest {
        action: action.into(),
        nodes,
        ..v1::MaintenanceRequest::default()
    };
    let (dispatcher, request) = match command {
        Maintenance::Start(start) => (start.dispatcher, start_request(start)),
        Maintenance::Status { dispatcher } => (dispatcher, request(Action::Status, Vec::new())),
        Maintenance::Pause { dispatcher } => (dispatcher, request(Action::Pause, Vec::new())),
        Maintenance::Resume { dispatcher } => (dispatcher, request(Action::Resume, Vec::new())),
        Maintenance::Abort { dispatcher } => (dispatcher, request(Action::Abort, Vec::new())),
        Maintenance::Done {
            dispatcher,
            machines,
        } => (dispatcher, request(Action::Done, machines)),
    };
    with_connection_within(dispatcher, ANSWER_TIMEOUT, async |connection| {
        let response = RollsClient::new(connection)
            .maintain(request)
            .await?
            .into_inner();
        print(&response);
        if response.accepted {
            Ok(())
        } else {
            Err(Error::Rejected(response.message))
        }
    })
}

fn start_request(start: Start) -> v1::MaintenanceRequest {
    let all = start.max_out;
    let or_all = |limit: Option<u32>| limit.unwrap_or(all);
    v1::MaintenanceRequest {
        action: Action::Start.into(),
        nodes: start.machines,
        limits: vec![
            all,
            or_all(start.max_per_zone),
            or_all(start.max_per_cell),
            or_all(start.max_per_machine_type),
        ],
        warm_up_ms: start.warm_up_s.saturating_mul(1_000),
        drain_timeout_ms: start.drain_timeout_s.saturating_mul(1_000),
        on_drain_timeout: match start.on_drain_timeout {
            OnDrainTimeout::Wait => v1::maintenance_plan::DrainTimeoutAction::Wait,
            OnDrainTimeout::Skip => v1::maintenance_plan::DrainTimeoutAction::Skip,
            OnDrainTimeout::Stop => v1::maintenance_plan::DrainTimeoutAction::Stop,
        }
        .into(),
    }
}

fn print(response: &v1::MaintenanceResponse) {
    let Some(plan) = &response.current else {
        return println!("no maintenance is planned");
    };
    let run_state = match plan.run_state() {
        v1::maintenance_plan::RunState::Running => "running",
        v1::maintenance_plan::RunState::Paused => "paused",
        v1::maintenance_plan::RunState::Aborted => "aborted",
    };
    let (all, completed) = (plan.machines.len(), response.completed.len());
    println!(
        "plan {}: {run_state}, {completed} of {all} machines completed, {} skipped",
        plan.revision,
        response.skipped.len()
    );
    for lease in &response.leases {
        let node = lease.machine.as_ref().map_or(0, |machine| machine.node);
        let state = match lease.phase() {
            _ if response.in_maintenance.contains(&node) => "in maintenance",
            v1::maintenance_step::Step::Granted => "to be cordoned",
            v1::maintenance_step::Step::Cordoned => "draining",
            v1::maintenance_step::Step::Drained => "handed over to maintenance, does not answer",
            v1::maintenance_step::Step::Completed => "completed, warming up",
            v1::maintenance_step::Step::Cancelled => "cancelled, to be uncordoned",
            _ => "out",
        };
        println!("machine {node}: {state}");
    }
}
