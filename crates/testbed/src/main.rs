//! The `corkspan-testbed` command: scenarios with faults, the checker, and measurements.

use clap::{Parser, Subcommand};
use corkspan_capacity_model::result::{self, Axis};
use corkspan_testbed::capacity::Capacity;
use corkspan_testbed::{
    capture, checker, config_push_experiment::ConfigPushExperiment, hollow, loads,
    measure::Measure, process::Programs, runner::ScenarioRun, scenario::Scenario, summary::Summary,
};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Runs scenarios with faults against real dispatchers and checks what crossed the sockets.
#[derive(Parser)]
#[command(name = "corkspan-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario: the built-in one, or a script of your own.
    Day {
        /// A scenario script; see docs/days.md.
        file: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs the built-in short scenario instead.
        #[arg(long, conflicts_with = "file")]
        short: bool,
        /// Writes the capture to this file.
        #[arg(long)]
        capture: Option<PathBuf>,
        /// A program to run instead of the built-in one, called with `serve FILE`.
        #[arg(long)]
        program: Option<PathBuf>,
        /// A folder for the dispatchers' logs.
        #[arg(long)]
        logs: Option<PathBuf>,
    },
    /// Runs hollow dispatchers: many in one process, without disk or log, for the testbed only; see
    /// docs/days.md.
    Hollow(hollow::Arguments),
    /// Checks an existing capture.
    Judge { capture: PathBuf },
    /// Measures a dispatcher against the bare RPC stack, side by side.
    Measure {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Length of each round.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Requests in flight at a time.
        #[arg(long, default_value_t = 64)]
        at_once: usize,
        #[arg(long, default_value_t = 40)]
        nodes: u32,
        /// Allocations held for the memory figure.
        #[arg(long, default_value_t = 3000)]
        held: usize,
    },
    /// Streams versions to dispatchers: random exchanges with kills, a flood, time to effect,
    /// reconnections, and placement with and without pushes.
    Versions {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Length of each placement round.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Dispatchers for the time from push to effect.
        #[arg(long, default_value_t = 100)]
        instances: usize,
        /// Dispatchers that lose their control service at once.
        #[arg(long, default_value_t = 300)]
        returns: usize,
        /// Number of random exchanges.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Versions in each random exchange.
        #[arg(long, default_value_t = 1000)]
        versions: usize,
    },
    /// Sends open-loop load to dispatchers and stores the report; see docs/load.md.
    Load {
        /// The load file.
        file: PathBuf,
        /// Addresses of dispatchers; requests go to each in turn.
        #[arg(required = true)]
        to: Vec<std::net::SocketAddr>,
        /// Number of clients that wait for their answers instead (closed loop), for comparison
        /// only.
        #[arg(long)]
        closed: Option<usize>,
        /// A folder for report.json and report.svg.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compares stored runs of two variants in pairs with the same load.
    Compare {
        /// Folders of the old variant, written by `load --out`.
        #[arg(long, required = true, num_args = 1..)]
        old: Vec<PathBuf>,
        /// Folders of the new one, in the same order.
        #[arg(long, required = true, num_args = 1..)]
        new: Vec<PathBuf>,
    },
    /// Measures the load generator itself: intended against actual arrival times, and the effect of
    /// a paused dispatcher.
    LoadError {
        /// Requests a second in each round.
        #[arg(long, value_delimiter = ',', default_value = "50,500,5000")]
        rates: Vec<u32>,
        #[arg(long, default_value_t = 1500)]
        pause_ms: u64,
    },
    /// Measures what each role costs along one axis at a time; see docs/CAPACITY.md.
    #[command(args_conflicts_with_subcommands = true)]
    Capacity {
        #[command(subcommand)]
        page: Option<CapacityCommand>,
        /// Fewer points and rounds, and shorter ones.
        #[arg(long)]
        quick: bool,
        /// Measures only this axis.
        #[arg(long, value_parser = axis)]
        axis: Option<Axis>,
        /// A size file, in the form of `size` in a stored result.
        #[arg(long)]
        size: Option<PathBuf>,
        #[arg(long)]
        rounds: Option<u32>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Stores the runs in this file, replacing earlier ones of the same axis.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// The dispatcher's program, as scenarios start it.
    #[command(hide = true, disable_help_flag = true)]
    Corkspan {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        line: Vec<OsString>,
    },
}

#[derive(Subcommand)]
enum CapacityCommand {
    /// Prints the tables of docs/CAPACITY.md from a stored result.
    Page {
        file: PathBuf,
        /// Checks a page against the tables instead.
        #[arg(long, conflicts_with = "write")]
        check: Option<PathBuf>,
        /// Writes the tables into a page.
        #[arg(long)]
        write: Option<PathBuf>,
    },
}

fn axis(name: &str) -> Result<Axis, String> {
    let axes = || Axis::ALL.iter();
    let names: Vec<&str> = axes().map(|axis| axis.name()).collect();
    let found = axes().find(|axis| axis.name() == name);
    found
        .copied()
        .ok_or_else(|| format!("the axes are {}", names.join(", ")))
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Day {
            file,
            seed,
            short,
            capture,
            program,
            logs,
        } => {
            let scenario = match (&file, short) {
                (Some(file), _) => Scenario::load(file),
                (None, true) => Scenario::read("short scenario", corkspan_testbed::scenario::SHORT),
                (None, false) => {
                    Scenario::read("built-in scenario", corkspan_testbed::scenario::BUILT_IN)
                }
            };
            scenario
                .map_err(|why| why.to_string())
                .and_then(|scenario| {
                    let real = match program {
                        Some(program) => vec![program.into_os_string()],
                        None => built_in_program()?,
                    };
                    let programs = Programs {
                        real,
                        ..Programs::of_current_exe()?
                    };
                    let lines = ScenarioRun {
                        scenario,
                        seed,
                        programs,
                        capture,
                        rewrite_deployment: |text| text,
                        logs,
                    }
                    .run()?;
                    println!("{}", Summary::of(&lines));
                    check_capture(&lines)
                })
        }
        Command::Measure {
            rounds,
            seconds,
            at_once,
            nodes,
            held,
        } => built_in_program().and_then(|program| {
            let rounds = rounds.clamp(1, 1_000);
            Measure {
                program,
                rounds,
                seconds,
                concurrent_requests: at_once,
                nodes,
                held_allocations: held,
            }
            .run()
        }),
        Command::Versions {
            rounds,
            seconds,
            instances,
            returns,
            seeds,
            versions,
        } => built_in_program().and_then(|program| {
            let rounds = rounds.clamp(1, 1_000);
            ConfigPushExperiment {
                program,
                rounds,
                seconds,
                effect_dispatchers: instances,
                reconnecting_dispatchers: returns,
                seeds,
                versions,
            }
            .run()
        }),
        Command::Load {
            file,
            to,
            closed,
            out,
        } => load(&file, &to, closed, out.as_deref()),
        Command::Compare { old, new } => compare(&old, &new),
        Command::LoadError { rates, pause_ms } => built_in_program().and_then(|program| {
            for rate in rates {
                println!("{}", loads::measure_lateness(rate)?);
            }
            let (open, closed) =
                loads::measure_pause(&program, std::time::Duration::from_millis(pause_ms))?;
            println!("a dispatcher paused for {pause_ms} ms, open loop:\n{open}");
            println!("the same at the same time, closed loop with one client:\n{closed}");
            Ok(())
        }),
        Command::Hollow(arguments) => hollow::run(arguments),
        Command::Capacity {
            page: Some(page), ..
        } => capacity_page(page),
        Command::Capacity {
            page: None,
            quick,
            axis,
            size,
            rounds,
            seed,
            json,
        } => measure_capacity(quick, axis, size, rounds, seed, json),
        Command::Judge { capture } => check_file(&capture),
        Command::Corkspan { line } => {
            return corkspan_cli::run(std::iter::once("corkspan".into()).chain(line));
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("corkspan-testbed: {why}");
            ExitCode::FAILURE
        }
    }
}

fn load(
    file: &Path,
    to: &[std::net::SocketAddr],
    closed: Option<usize>,
    out: Option<&Path>,
) -> Result<(), String> {
    use corkspan_load_generator::run::Loop;
    let plan = corkspan_load_generator::plan::Plan::load(file).map_err(|why| why.to_string())?;
    let duration = plan.shape.duration();
    // Created before the load is sent: a missing folder must not lose the report at the end.
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|why| format!("{}: {why}", out.display()))?;
    }
    let loop_mode = closed.map_or(Loop::Open, Loop::Closed);
    let report_progress = |at: std::time::Duration, requests: usize| {
        let left = duration.saturating_sub(at).as_secs();
        eprintln!(
            "{} s of {}, {requests} requests, {left} s left",
            at.as_secs(),
            duration.as_secs()
        );
    };
    let report = loads::send(plan, to, loop_mode, report_progress)?;
    print!("{report}");
    if let Some(out) = out {
        let text = serde_json::to_string_pretty(&report).map_err(|why| why.to_string())?;
        let path = out.join("report.json");
        std::fs::write(&path, text).map_err(|why| format!("{}: {why}", path.display()))?;
        corkspan_load_generator::plot::draw(&report, &out.join("report.svg"))
            .map_err(|why| why.to_string())?;
    }
    Ok(())
}

fn compare(old: &[PathBuf], new: &[PathBuf]) -> Result<(), String> {
    use corkspan_load_generator::compare::{Figure, compare};
    if old.len() != new.len() {
        return Err(format!(
            "{} old runs and {} new ones do not form pairs",
            old.len(),
            new.len()
        ));
    }
    let read = |folder: &PathBuf| {
        let path = folder.join("report.json");
        let place = |why: String| format!("{}: {why}", path.display());
        let text = std::fs::read(&path).map_err(|why| place(why.to_string()))?;
        let report: corkspan_load_generator::tally::Report =
            serde_json::from_slice(&text).map_err(|why| place(why.to_string()))?;
        if report.fell_behind {
            eprintln!("{}: the load generator fell behind", path.display());
        }
        Ok::<_, String>(report)
    };
    let old = old.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    let new = new.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    for figure in Figure::ALL {
        let pairs: Vec<(f64, f64)> = std::iter::zip(&old, &new)
            .map(|(old, new)| (figure.value_in(old), figure.value_in(new)))
            .collect();
        let comparison = compare(&pairs, 1);
        println!(
            "{:<28} {:+10.3}, from {:+.3} to {:+.3}: {:?}",
            figure.name(),
            comparison.difference,
            comparison.low,
            comparison.high,
            comparison.verdict
        );
    }
    Ok(())
}

fn measure_capacity(
    quick: bool,
    axis: Option<Axis>,
    size: Option<PathBuf>,
    rounds: Option<u32>,
    seed: u64,
    json: Option<PathBuf>,
) -> Result<(), String> {
    let size = match size {
        None => result::PLANNED_SIZE,
        Some(path) => {
            let place = |why: String| format!("{}: {why}", path.display());
            let text = std::fs::read_to_string(&path).map_err(|why| place(why.to_string()))?;
            serde_json::from_str(&text).map_err(|why| place(why.to_string()))?
        }
    };
    // The output file is left out of the stored command, since it changes no figure.
    let arguments: Vec<String> = std::env::args().skip(2).collect();
    let json_at = arguments.iter().position(|argument| argument == "--json");
    let is_other = |at: usize| json_at.is_none_or(|json| at != json && at != json + 1);
    let others: Vec<String> = arguments
        .into_iter()
        .enumerate()
        .filter(|(at, _)| is_other(*at))
        .map(|(_, argument)| argument)
        .collect();
    let capacity = Capacity {
        program: built_in_program()?,
        axes: axis.map_or(Axis::ALL.to_vec(), |axis| vec![axis]),
        rounds: rounds.unwrap_or(if quick { 2 } else { 3 }).clamp(1, 100),
        watch: std::time::Duration::from_secs(if quick { 4 } else { 8 }),
        size: size.clone(),
        quick,
        seed,
        command: format!("corkspan-testbed capacity {}", others.join(" "))
            .trim()
            .into(),
    };
    let mut kept = result::CapacityResult {
        size: size.clone(),
        runs: Vec::new(),
    };
    capacity.run(|run| {
        if let Some(path) = &json {
            corkspan_testbed::capacity::store_run(path, &size, run.clone())?;
        }
        kept.insert(run);
        Ok(())
    })?;
    for table in corkspan_capacity_model::page::tables(&kept) {
        println!("{}", table.markdown);
    }
    Ok(())
}

fn capacity_page(
    CapacityCommand::Page { file, check, write }: CapacityCommand,
) -> Result<(), String> {
    use corkspan_capacity_model::page;
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))
    };
    let kept = result::CapacityResult::read(&read(&file)?)
        .map_err(|why| format!("{}: {why}", file.display()))?;
    if let Some(path) = check {
        page::check(&read(&path)?, &kept).map_err(|why| format!("{}: {why}", path.display()))?;
        println!("{} matches {}", path.display(), file.display());
    } else if let Some(path) = write {
        let page =
            page::fill(&read(&path)?, &kept).map_err(|why| format!("{}: {why}", path.display()))?;
        std::fs::write(&path, page).map_err(|why| format!("{}: {why}", path.display()))?;
    } else {
        page::tables(&kept)
            .iter()
            .for_each(|table| println!("{}", table.markdown));
    }
    Ok(())
}

/// Returns the command line that starts the built-in dispatcher as a process of its own.
fn built_in_program() -> Result<Vec<OsString>, String> {
    let program = std::env::current_exe().map_err(|why| why.to_string())?;
    Ok(vec![program.into_os_string(), "corkspan".into()])
}

fn check_file(path: &Path) -> Result<(), String> {
    let lines = capture::read(path)?;
    println!("{}", Summary::of(&lines));
    check_capture(&lines)
}

fn check_capture(lines: &[capture::Line]) -> Result<(), String> {
    let violations = checker::check(lines)?;
    if violations.is_empty() {
        println!("rules                all five kept");
        return Ok(());
    }
    violations
        .iter()
        .for_each(|violation| println!("{violation}"));
    Err(format!("{} broken rules", violations.len()))
}
