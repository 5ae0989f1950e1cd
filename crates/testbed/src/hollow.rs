//! Hollow dispatchers, many of which share a process and its one thread. Each schedules, listens
//! and communicates over loopback sockets with the same code as a real dispatcher, but has no
//! process, disk or log of its own.

pub mod fleet;

use clap::{Parser, Subcommand};
use corkspan_config::Deployment;
use corkspan_dispatcher::{DispatcherError, rollout_control::Store};
use corkspan_rpc::SharedExecutor;
use corkspan_runtime::{Signal, signals};
use futures_lite::{StreamExt, future};
use std::io::Write;
use std::path::PathBuf;

#[derive(Parser)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a hollow dispatcher for each deployment file, until SIGTERM.
    #[command(hide = true)]
    Serve {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Compares hollow dispatchers with real ones in a fleet of the same size, without requests and
    /// with them.
    Against(fleet::Against),
}

/// Runs the subcommand of a parsed command line.
pub fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        Command::Serve { files } => serve(&files),
        Command::Against(against) => against.run(),
    }
}

fn serve(files: &[PathBuf]) -> Result<(), String> {
    let mut deployments = Vec::new();
    for file in files {
        let deployment = Deployment::load(file).map_err(|why| why.to_string())?;
        let Deployment {
            endpoint_cache,
            rollout_store,
            version_cache,
            ..
        } = &deployment;
        if endpoint_cache.is_some() || rollout_store.is_some() || version_cache.is_some() {
            let file = file.display();
            return Err(format!(
                "{file}: a hollow dispatcher has no disk to store its endpoint list, rollouts or versions"
            ));
        }
        deployments.push(deployment);
    }
    let mut stop_signals = signals([Signal::Term, Signal::Int]).map_err(|why| why.to_string())?;
    let tasks = SharedExecutor::default();
    let run_all = async {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut running = Vec::new();
        for (index, deployment) in deployments.into_iter().enumerate() {
            let stopped = stopped.clone();
            let stopped = async move {
                let _ = stopped.recv().await;
            };
            // A write error is ignored: once the reader of this pipe is gone, the process is
            // stopped soon anyway.
            let ready = move |address| {
                let _ = writeln!(std::io::stdout(), "listening {index} {address}");
            };
            let store = Store::open(None);
            let run = corkspan_dispatcher::run_with_store(
                store,
                tasks.clone(),
                deployment,
                ready,
                stopped,
            );
            running.push(tasks.spawn(run));
        }
        let all_ended = async {
            for dispatcher in running {
                dispatcher.await?;
            }
            Ok::<(), DispatcherError>(())
        };
        let stop_requested = async {
            stop_signals.next().await;
            drop(stop);
            future::pending().await
        };
        future::or(all_ended, stop_requested)
            .await
            .map_err(|why| why.to_string())
    };
    future::block_on(tasks.run(run_all))
}
