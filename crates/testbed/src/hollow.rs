//! Hollow dispatchers: many share a process and its one thread. Each decides, listens, and speaks
//! over loopback sockets as a real one does, by the same code; none has a process, a disk or a log
//! of its own.

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
pub struct Line {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Runs a hollow dispatcher for each deployment file, until SIGTERM.
    #[command(hide = true)]
    Serve {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Holds hollow dispatchers against real ones, at a size at which both fit, without asks and
    /// with them.
    Against(fleet::Against),
}

pub fn run(line: Line) -> Result<(), String> {
    match line.call {
        Call::Serve { files } => serve(&files),
        Call::Against(against) => against.run(),
    }
}

fn serve(files: &[PathBuf]) -> Result<(), String> {
    let mut deployments = Vec::new();
    for file in files {
        let deployment = Deployment::load(file).map_err(|why| why.to_string())?;
        let Deployment {
            endpoint_cache: remembered,
            rollout_store: rolls,
            version_cache: versions,
            ..
        } = &deployment;
        if remembered.is_some() || rolls.is_some() || versions.is_some() {
            let file = file.display();
            return Err(format!(
                "{file}: a hollow dispatcher has no disk for its list, rolls or versions"
            ));
        }
        deployments.push(deployment);
    }
    let mut stops = signals([Signal::Term, Signal::Int]).map_err(|why| why.to_string())?;
    let tasks = SharedExecutor::default();
    let all = async {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut own = Vec::new();
        for (which, deployment) in deployments.into_iter().enumerate() {
            let stopped = stopped.clone();
            let stopped = async move {
                let _ = stopped.recv().await;
            };
            // A pipe that nobody reads any more ends us soon enough.
            let ready = move |address| {
                let _ = writeln!(std::io::stdout(), "listening {which} {address}");
            };
            let store = Store::open(None);
            let run = corkspan_dispatcher::run_with_store(
                store,
                tasks.clone(),
                deployment,
                ready,
                stopped,
            );
            own.push(tasks.spawn(run));
        }
        let ended = async {
            for one in own {
                one.await?;
            }
            Ok::<(), DispatcherError>(())
        };
        let asked = async {
            stops.next().await;
            drop(stop);
            future::pending().await
        };
        future::or(ended, asked)
            .await
            .map_err(|why| why.to_string())
    };
    future::block_on(tasks.run(all))
}
