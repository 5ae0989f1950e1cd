//! Implements the command line of corkspan: `serve` and `platform` run a dispatcher, other commands
//! call one over `corkspan.v1`.
#![warn(missing_docs, clippy::too_many_lines)]

mod config_versions;
mod connection;
mod error;
mod fleet;
mod maintenance;
mod place;
mod rollout;
mod serve;
mod status;

use clap::{CommandFactory as _, Parser, Subcommand};
use connection::with_connection;
use corkspan_config::Deployment;
use error::Error;
use serve::LogFormat;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing_subscriber::filter::Targets;

/// A cluster scheduler that packs machines by expected usage instead of requests.
#[derive(Parser)]
#[command(name = "corkspan", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a dispatcher until it receives a stop signal.
    Serve {
        /// The deployment file.
        file: PathBuf,
        /// The format of the log on standard error.
        #[arg(long, value_enum, default_value = "text")]
        log: LogFormat,
        /// The minimum level that is logged.
        #[arg(long, default_value = "info")]
        level: tracing::Level,
    },
    /// Runs a dispatcher on the platform's protocol, with the file that NODE_CONFIG names, until
    /// SIGTERM.
    Platform {
        /// The minimum level that is logged, of all modules or of single ones, as in
        /// `info,corkspan_platform::core=debug`.
        #[arg(long, default_value = "info")]
        level: Targets,
    },
    /// Checks a deployment file and prints its errors.
    Check {
        /// The deployment file.
        file: PathBuf,
    },
    /// Requests one allocation from a dispatcher and prints its events.
    Place(place::Place),
    /// Manages rolling updates of a service's program.
    #[command(name = "roll")]
    Rollout {
        #[command(subcommand)]
        command: rollout::Rollout,
    },
    /// Prints the JSON Schema of the deployment file, or of streamed versions.
    Schema {
        /// Prints the schema of streamed versions instead, which hold the shared parts only.
        #[arg(long)]
        version_only: bool,
    },
    /// Inspects streamed versions of the deployment.
    #[command(name = "control")]
    ConfigVersions {
        #[command(subcommand)]
        command: config_versions::ConfigVersions,
    },
    /// Audits the versions of dispatchers and raises the minimum version.
    Fleet {
        #[command(subcommand)]
        command: fleet::Fleet,
    },
    /// Takes machines out for maintenance, a few at a time.
    Maintenance {
        #[command(subcommand)]
        command: maintenance::Maintenance,
    },
    /// Prints a dispatcher's counters of requests, attempts and connections.
    Status {
        /// Where the dispatcher listens.
        dispatcher: SocketAddr,
    },
}

/// Returns the clap definition of all commands and their arguments.
pub fn command() -> clap::Command {
    CommandLine::command()
}

/// Runs a command line, which starts with the program's name. The exit code is 2 if the command
/// line is invalid, and 1 if the command fails.
pub fn run(line: impl IntoIterator<Item = OsString>) -> ExitCode {
    let line = match CommandLine::try_parse_from(line) {
        Ok(line) => line,
        Err(error) => {
            let _ = error.print();
            return if error.use_stderr() {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            };
        }
    };
    match run_command(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("corkspan: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_command(command: Command) -> Result<(), Error> {
    match command {
        Command::Serve { file, log, level } => serve::serve(file, log, level),
        Command::Platform { level } => serve::platform(level),
        Command::Check { file } => {
            Deployment::load(&file)?;
            println!("{}: valid", file.display());
            Ok(())
        }
        Command::Place(place) => with_connection(place.dispatcher, |connection| {
            place::place(connection, place)
        }),
        Command::Status { dispatcher } => with_connection(dispatcher, status::status),
        Command::Schema { version_only } => config_versions::print_schema(version_only),
        Command::ConfigVersions { command } => config_versions::run(command),
        Command::Rollout { command } => rollout::run(command),
        Command::Maintenance { command } => maintenance::run(command),
        Command::Fleet { command } => fleet::run(command),
    }
}
