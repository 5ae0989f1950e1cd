//! `corkspan-lab`: days of trouble, their judge, and measurements.

use clap::{Parser, Subcommand};
use corkspan_lab::{capture, day::Day, judge, play::Play, table::Table};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Plays days of trouble through real dispatchers and judges what crossed the sockets.
#[derive(Parser)]
#[command(name = "corkspan-lab", version)]
struct Line {
    #[command(subcommand)]
    call: Call,
}

#[derive(Subcommand)]
enum Call {
    /// Plays a day: the built-in day of trouble, or a script of your own.
    Day {
        /// A day script; see docs/days.md.
        file: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The built-in short day instead.
        #[arg(long, conflicts_with = "file")]
        short: bool,
        /// Keeps the capture here.
        #[arg(long)]
        capture: Option<PathBuf>,
        /// Another program than the one built in, to be called with `serve FILE`.
        #[arg(long)]
        program: Option<PathBuf>,
        /// A folder for the dispatchers' logs.
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Judges a capture alone.
    Judge { capture: PathBuf },
    /// The program itself, as days start it.
    #[command(hide = true, disable_help_flag = true)]
    Corkspan {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        line: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    let result = match Line::parse().call {
        Call::Day { file, seed, short, capture, program, logs } => {
            let day = match (&file, short) {
                (Some(file), _) => Day::load(file),
                (None, true) => Day::read("the short day", corkspan_lab::day::SHORT),
                (None, false) => Day::read("the built-in day", corkspan_lab::day::BUILT_IN),
            };
            day.map_err(|why| why.to_string()).and_then(|day| {
                let program = match program {
                    Some(program) => vec![program.into_os_string()],
                    None => {
                        let own = std::env::current_exe().map_err(|why| why.to_string())?;
                        vec![own.into_os_string(), "corkspan".into()]
                    }
                };
                let lines = Play { day, seed, program, capture, tell: |text| text, logs }.run()?;
                println!("{}", Table::of(&lines));
                judged(&lines)
            })
        }
        Call::Judge { capture } => judge_file(&capture),
        Call::Corkspan { line } => {
            return corkspan_cli::run(std::iter::once("corkspan".into()).chain(line));
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("corkspan-lab: {why}");
            ExitCode::FAILURE
        }
    }
}

fn judge_file(path: &Path) -> Result<(), String> {
    let lines = capture::read(path)?;
    println!("{}", Table::of(&lines));
    judged(&lines)
}

fn judged(lines: &[capture::Line]) -> Result<(), String> {
    let breaches = judge::judge(lines)?;
    if breaches.is_empty() {
        println!("rules                all five kept");
        return Ok(());
    }
    breaches.iter().for_each(|breach| println!("{breach}"));
    Err(format!("{} broken rules", breaches.len()))
}
