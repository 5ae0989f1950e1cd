//! `corkspan-testbed`: days of trouble, their judge, and measurements.

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

/// Plays days of trouble through real dispatchers and judges what crossed the sockets.
#[derive(Parser)]
#[command(name = "corkspan-testbed", version)]
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
    /// Hollow dispatchers: many in a process, without a disk or a log, for the laboratory alone;
    /// see docs/days.md.
    Hollow(hollow::Line),
    /// Judges a capture alone.
    Judge { capture: PathBuf },
    /// Measures a dispatcher against the RPC stack alone, side by side.
    Measure {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Of each round.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Asks under way at a time.
        #[arg(long, default_value_t = 64)]
        at_once: usize,
        #[arg(long, default_value_t = 40)]
        nodes: u32,
        /// Allocations held for the memory figure.
        #[arg(long, default_value_t = 3000)]
        held: usize,
    },
    /// Streams versions to dispatchers: random exchanges with kills, a flood, time to effect,
    /// returns, and placing meanwhile beside placing without.
    Versions {
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Of each round of placing.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Dispatchers for the time from push to effect.
        #[arg(long, default_value_t = 100)]
        instances: usize,
        /// Dispatchers that lose their service at once.
        #[arg(long, default_value_t = 300)]
        returns: usize,
        /// Of random exchanges.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Versions of each.
        #[arg(long, default_value_t = 1000)]
        versions: usize,
    },
    /// Sends open-loop load to dispatchers, and keeps what came of it; see docs/load.md.
    Load {
        /// The load file.
        file: PathBuf,
        /// Where dispatchers listen; asks go to one after the other.
        #[arg(required = true)]
        to: Vec<std::net::SocketAddr>,
        /// So many owners that wait for their answers instead, for comparison alone.
        #[arg(long)]
        closed: Option<usize>,
        /// A folder for report.json and report.svg.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Compares kept runs of two variants, pair by pair: each pair is of the same load.
    Compare {
        /// Folders of the old variant, as `load --out` wrote them.
        #[arg(long, required = true, num_args = 1..)]
        old: Vec<PathBuf>,
        /// Folders of the new one, in the same order.
        #[arg(long, required = true, num_args = 1..)]
        new: Vec<PathBuf>,
    },
    /// Measures the load generator itself: intended against captured arrivals, and a dispatcher
    /// that stands still.
    LoadError {
        /// Asks a second of each round.
        #[arg(long, value_delimiter = ',', default_value = "50,500,5000")]
        rates: Vec<u32>,
        #[arg(long, default_value_t = 1500)]
        pause_ms: u64,
    },
    /// Measures what each role costs along one axis at a time; see docs/CAPACITY.md.
    #[command(args_conflicts_with_subcommands = true)]
    Capacity {
        #[command(subcommand)]
        page: Option<Page>,
        /// Fewer places and rounds, and shorter ones.
        #[arg(long)]
        quick: bool,
        /// One axis alone.
        #[arg(long, value_parser = axis)]
        axis: Option<Axis>,
        /// A size file, as the `size` of a kept result.
        #[arg(long)]
        size: Option<PathBuf>,
        #[arg(long)]
        rounds: Option<u32>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keeps the runs here, in the place of earlier ones of the same axis.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// The program itself, as days start it.
    #[command(hide = true, disable_help_flag = true)]
    Corkspan {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        line: Vec<OsString>,
    },
}

#[derive(Subcommand)]
enum Page {
    /// Prints the tables of docs/CAPACITY.md from a kept result.
    Page {
        file: PathBuf,
        /// Holds a page against them instead.
        #[arg(long, conflicts_with = "write")]
        check: Option<PathBuf>,
        /// Writes them into a page.
        #[arg(long)]
        write: Option<PathBuf>,
    },
}

fn axis(name: &str) -> Result<Axis, String> {
    let all = || Axis::ALL.iter();
    let names: Vec<&str> = all().map(|axis| axis.name()).collect();
    let found = all().find(|axis| axis.name() == name);
    found
        .copied()
        .ok_or_else(|| format!("the axes are {}", names.join(", ")))
}

fn main() -> ExitCode {
    let result = match Line::parse().call {
        Call::Day {
            file,
            seed,
            short,
            capture,
            program,
            logs,
        } => {
            let scenario = match (&file, short) {
                (Some(file), _) => Scenario::load(file),
                (None, true) => Scenario::read("the short day", corkspan_testbed::scenario::SHORT),
                (None, false) => {
                    Scenario::read("the built-in day", corkspan_testbed::scenario::BUILT_IN)
                }
            };
            scenario
                .map_err(|why| why.to_string())
                .and_then(|scenario| {
                    let real = match program {
                        Some(program) => vec![program.into_os_string()],
                        None => own()?,
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
                    judged(&lines)
                })
        }
        Call::Measure {
            rounds,
            seconds,
            at_once,
            nodes,
            held,
        } => own().and_then(|program| {
            let rounds = rounds.clamp(1, 1_000);
            Measure {
                program,
                rounds,
                seconds,
                at_once,
                nodes,
                held,
            }
            .run()
        }),
        Call::Versions {
            rounds,
            seconds,
            instances,
            returns,
            seeds,
            versions,
        } => own().and_then(|program| {
            let rounds = rounds.clamp(1, 1_000);
            ConfigPushExperiment {
                program,
                rounds,
                seconds,
                instances,
                returns,
                seeds,
                versions,
            }
            .run()
        }),
        Call::Load {
            file,
            to,
            closed,
            out,
        } => load(&file, &to, closed, out.as_deref()),
        Call::Compare { old, new } => compare(&old, &new),
        Call::LoadError { rates, pause_ms } => own().and_then(|program| {
            for rate in rates {
                println!("{}", loads::error(rate)?);
            }
            let (open, closed) =
                loads::stalled(&program, std::time::Duration::from_millis(pause_ms))?;
            println!("a dispatcher that stands still for {pause_ms} ms, open loop:\n{open}");
            println!(
                "the same, at the same time, by one owner that waits for its answers:\n{closed}"
            );
            Ok(())
        }),
        Call::Hollow(line) => hollow::run(line),
        Call::Capacity {
            page: Some(page), ..
        } => tables(page),
        Call::Capacity {
            page: None,
            quick,
            axis,
            size,
            rounds,
            seed,
            json,
        } => measured(quick, axis, size, rounds, seed, json),
        Call::Judge { capture } => judge_file(&capture),
        Call::Corkspan { line } => {
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
    let lasts = plan.shape.duration();
    // Said now: a load that is lost at its end for want of a folder is dear.
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|why| format!("{}: {why}", out.display()))?;
    }
    let how = closed.map_or(Loop::Open, Loop::Closed);
    let tell = |at: std::time::Duration, asks: usize| {
        let left = lasts.saturating_sub(at).as_secs();
        eprintln!(
            "{} s of {}, {asks} asks, {left} s left",
            at.as_secs(),
            lasts.as_secs()
        );
    };
    let report = loads::send(plan, to, how, tell)?;
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
            "{} old runs and {} new ones are no pairs",
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
            eprintln!("{}: its generator fell behind", path.display());
        }
        Ok::<_, String>(report)
    };
    let old = old.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    let new = new.iter().map(read).collect::<Result<Vec<_>, _>>()?;
    for figure in Figure::ALL {
        let pairs: Vec<(f64, f64)> = std::iter::zip(&old, &new)
            .map(|(old, new)| (figure.value_in(old), figure.value_in(new)))
            .collect();
        let told = compare(&pairs, 1);
        println!(
            "{:<28} {:+10.3}, from {:+.3} to {:+.3}: {:?}",
            figure.name(),
            told.difference,
            told.low,
            told.high,
            told.verdict
        );
    }
    Ok(())
}

fn measured(
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
    // Where it is kept changes no figure.
    let all: Vec<String> = std::env::args().skip(2).collect();
    let kept_at = all.iter().position(|word| word == "--json");
    let apart = |at: usize| kept_at.is_none_or(|own| at != own && at != own + 1);
    let line: Vec<String> = all
        .into_iter()
        .enumerate()
        .filter(|(at, _)| apart(*at))
        .map(|(_, word)| word)
        .collect();
    let capacity = Capacity {
        program: own()?,
        axes: axis.map_or(Axis::ALL.to_vec(), |axis| vec![axis]),
        rounds: rounds.unwrap_or(if quick { 2 } else { 3 }).clamp(1, 100),
        watch: std::time::Duration::from_secs(if quick { 4 } else { 8 }),
        size: size.clone(),
        quick,
        seed,
        command: format!("corkspan-lab capacity {}", line.join(" "))
            .trim()
            .into(),
    };
    let mut all = result::CapacityResult {
        size: size.clone(),
        runs: Vec::new(),
    };
    capacity.run(|run| {
        if let Some(path) = &json {
            corkspan_testbed::capacity::put(path, &size, run.clone())?;
        }
        all.insert(run);
        Ok(())
    })?;
    for table in corkspan_capacity_model::page::tables(&all) {
        println!("{}", table.markdown);
    }
    Ok(())
}

fn tables(Page::Page { file, check, write }: Page) -> Result<(), String> {
    use corkspan_capacity_model::page;
    let read = |path: &Path| {
        std::fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()))
    };
    let kept = result::CapacityResult::read(&read(&file)?)
        .map_err(|why| format!("{}: {why}", file.display()))?;
    if let Some(path) = check {
        page::check(&read(&path)?, &kept).map_err(|why| format!("{}: {why}", path.display()))?;
        println!("{} is as {} has it", path.display(), file.display());
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

/// The dispatcher built in, as a process of its own.
fn own() -> Result<Vec<OsString>, String> {
    let own = std::env::current_exe().map_err(|why| why.to_string())?;
    Ok(vec![own.into_os_string(), "corkspan".into()])
}

fn judge_file(path: &Path) -> Result<(), String> {
    let lines = capture::read(path)?;
    println!("{}", Summary::of(&lines));
    judged(&lines)
}

fn judged(lines: &[capture::Line]) -> Result<(), String> {
    let breaches = checker::check(lines)?;
    if breaches.is_empty() {
        println!("rules                all five kept");
        return Ok(());
    }
    breaches.iter().for_each(|breach| println!("{breach}"));
    Err(format!("{} broken rules", breaches.len()))
}
