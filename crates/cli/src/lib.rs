//! The command line of corkspan: `serve` and `platform` run a dispatcher, the other commands call
//! one over `corkspan.v1`.
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

/// A cluster scheduler that fills machines by likely use, not by requests.
#[derive(Parser)]
#[command(name = "corkspan", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a dispatcher until a signal asks it to stop.
    Serve {
        /// The deployment file.
        file: PathBuf,
        /// How the log on standard error is written.
        #[arg(long, value_enum, default_value = "text")]
        log: LogFormat,
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
    /// Checks a deployment file and prints what is wrong with it.
    Check {
        /// The deployment file.
        file: PathBuf,
    },
    /// Requests one allocation from a dispatcher and prints each event of it.
    Place(place::Place),
    /// Rolling updates of a service's program.
    #[command(name = "roll")]
    Rollout {
        #[command(subcommand)]
        command: rollout::Rollout,
    },
    /// Prints the JSON Schema of the deployment file, or of streamed versions.
    Schema {
        /// Of versions instead: what all dispatchers share.
        #[arg(long)]
        version_only: bool,
    },
    /// Streamed versions of the deployment.
    #[command(name = "control")]
    ConfigVersions {
        #[command(subcommand)]
        command: config_versions::ConfigVersions,
    },
    /// Dispatchers by their versions: who is behind, and who may act.
    Fleet {
        #[command(subcommand)]
        command: fleet::Fleet,
    },
    /// Machines taken out for maintenance, few at a time.
    Maintenance {
        #[command(subcommand)]
        command: maintenance::Maintenance,
    },
    /// Prints what a dispatcher has in flight and has answered.
    Status {
        /// Where the dispatcher listens.
        dispatcher: SocketAddr,
    },
}

/// All commands and their arguments, as clap knows them.
pub fn command() -> clap::Command {
    CommandLine::command()
}

/// Runs the command line given, the program's name first. The exit code is 2 where it is no valid
/// command line, and 1 where the command fails.
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
            println!("{}: sound", file.display());
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
