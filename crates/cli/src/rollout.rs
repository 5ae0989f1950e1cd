//! Implements the command `roll`, which manages rolling updates of a service's program.

use crate::connection::with_connection;
use crate::error::Error;
use clap::{Args, Subcommand};
use corkspan_api::v1::{self, change_rollout_request::Action, rolls_client::RollsClient};
use std::net::SocketAddr;

#[derive(Subcommand)]
pub(crate) enum Rollout {
    /// Starts a rollout, unless another is in progress.
    Start(Start),
    /// Prints the progress of a rollout as one dispatcher sees it.
    Status {
        dispatcher: SocketAddr,
        service: String,
    },
    /// Stops replacing further replicas; those in progress are completed.
    Pause {
        dispatcher: SocketAddr,
        service: String,
    },
    /// Continues after a pause or a halt.
    Resume {
        dispatcher: SocketAddr,
        service: String,
    },
    /// Rolls back to the previous version, within the same limits.
    Undo {
        dispatcher: SocketAddr,
        service: String,
    },
}

/// The arguments of `roll start`.
#[derive(Args)]
pub(crate) struct Start {
    /// The address at which any of the dispatchers listens.
    dispatcher: SocketAddr,
    service: String,
    /// The version to roll out.
    #[arg(long = "to")]
    version: String,
    /// The version that runs now, to which an undo returns; after an earlier rollout its version is
    /// used.
    #[arg(long = "from", default_value = "")]
    previous_version: String,
    /// The maximum number of replicas that are unavailable at a time, over all dispatchers.
    #[arg(long = "unready-most")]
    max_unavailable: u32,
    /// The maximum number of replicas that one dispatcher replaces at a time.
    #[arg(long = "batch", default_value_t = 4)]
    max_in_progress: u32,
    /// How long a replica must stay ready, ms.
    #[arg(long = "ready-for-ms", default_value_t = 3_000)]
    min_ready_ms: u64,
    /// How long a replica may take to become ready, ms.
    #[arg(long = "ready-within-ms", default_value_t = 60_000)]
    progress_deadline_ms: u64,
    /// The number of replicas that may fail at one dispatcher before the rollout halts.
    #[arg(long = "failures-most", default_value_t = 1)]
    max_failures: u32,
    /// Surge: starts each new replica before the old one is stopped, and stops the old one once
    /// the new one has stayed ready. The limit then counts surplus replicas too. A replica that
    /// must not run twice is still stopped first.
    #[arg(long = "start-first")]
    surge: bool,
}

/// Runs one of the commands.
pub(crate) fn run(command: Rollout) -> Result<(), Error> {
    match command {
        Rollout::Start(start) => with_connection(start.dispatcher, async |connection| {
            let response = RollsClient::new(connection)
                .start(start_request(start))
                .await?;
            print_response(response.into_inner())
        }),
        Rollout::Status {
            dispatcher,
            service,
        } => with_connection(dispatcher, async |connection| {
            let request = v1::RolloutStatusRequest { service };
            let status = RollsClient::new(connection).status(request).await?;
            print_status(&status.into_inner());
            Ok(())
        }),
        Rollout::Pause {
            dispatcher,
            service,
        } => change(dispatcher, service, Action::Pause),
        Rollout::Resume {
            dispatcher,
            service,
        } => change(dispatcher, service, Action::Resume),
        Rollout::Undo {
            dispatcher,
            service,
        } => change(dispatcher, service, Action::Undo),
    }
}

fn start_request(start: Start) -> v1::StartRolloutRequest {
    v1::StartRolloutRequest {
        service: start.service,
        version: start.version,
        previous_version: start.previous_version,
        max_unavailable: start.max_unavailable,
        max_in_progress: start.max_in_progress,
        min_ready_ms: start.min_ready_ms,
        progress_deadline_ms: start.progress_deadline_ms,
        max_failures: start.max_failures,
        surge: start.surge,
    }
}

fn change(dispatcher: SocketAddr, service: String, action: Action) -> Result<(), Error> {
    with_connection(dispatcher, async |connection| {
        let request = v1::ChangeRolloutRequest {
            service,
            action: action.into(),
        };
        let response = RollsClient::new(connection).change(request).await?;
        print_response(response.into_inner())
    })
}

fn print_response(response: v1::RolloutResponse) -> Result<(), Error> {
    match response.current {
        Some(rollout) if response.accepted => {
            println!("{}", describe(&rollout));
            Ok(())
        }
        _ => Err(Error::Rejected(response.message)),
    }
}

fn print_status(status: &v1::RolloutStatus) {
    match &status.rollout {
        Some(rollout) => println!("{}", describe(rollout)),
        None => println!("the dispatcher knows no rollout of this service"),
    }
    println!(
        "replicas here {}, updated {}, unavailable {}",
        status.replicas, status.updated, status.unavailable
    );
    println!(
        "quorum members heard {} of {}",
        status.quorum_members_heard, status.quorum_members
    );
    for slot in &status.held_slots {
        println!(
            "slot {} held for {} by dispatcher {}",
            slot.slot, slot.task, slot.dispatcher
        );
    }
}

fn describe(rollout: &v1::Rollout) -> String {
    let phase = match rollout.phase() {
        v1::rollout::Phase::Rolling => "rolling".into(),
        v1::rollout::Phase::Paused => "paused".into(),
        v1::rollout::Phase::Halted => format!("halted: {}", rollout.reason),
    };
    let previous = match rollout.previous_version.as_str() {
        "" => "none",
        version => version,
    };
    format!(
        "rollout {} of {} to {} (previous version: {previous}), at most {} unavailable: {phase}",
        rollout.revision, rollout.service, rollout.version, rollout.max_unavailable
    )
}
