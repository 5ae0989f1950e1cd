//! The tables of docs/CAPACITY.md, printed from a kept result, and a page held against them.

use crate::figures::{self, EvaluatedFigure, MISSING_MECHANISMS, Outcome, Role};
use crate::fit::{EstimateSource, LinearFit};
use crate::result::{Axis, CapacityResult};
use std::fmt::Write;

/// Tables by name; each stands on the page between `<!-- NAME -->` and `<!-- end -->`.
pub fn tables(result: &CapacityResult) -> Vec<(&'static str, String)> {
    vec![
        ("by factor", by_factor(result)),
        ("by role", by_role(result)),
        ("links", links(result)),
        ("missing", missing()),
        ("runs", runs(result)),
    ]
}

/// Three digits that count, thousands apart.
pub fn format_number(value: f64) -> String {
    let size = value.abs();
    let digits = match size {
        _ if size >= 100.0 || size == 0.0 => 0,
        _ if size >= 10.0 => 1,
        _ if size >= 1.0 => 2,
        _ => (2 - size.log10().floor() as i32).clamp(3, 8) as usize,
    };
    let text = format!("{value:.digits$}");
    let (whole, part) = text
        .split_once('.')
        .map_or((text.as_str(), None), |(a, b)| (a, Some(b)));
    let (sign, whole) = whole
        .strip_prefix('-')
        .map_or(("", whole), |rest| ("-", rest));
    let mut out = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    match part {
        Some(part) => format!("{sign}{out}.{part}"),
        None => format!("{sign}{out}"),
    }
}

fn run(told: &EvaluatedFigure) -> String {
    told.run.map_or("none".into(), |(run, _)| format!("R{run}"))
}

fn by_factor(result: &CapacityResult) -> String {
    let mut out = String::from(
        "| | role | figure | at the size | limit | factor | run |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (at, told) in figures::by_factor(figures::evaluate(result))
        .iter()
        .enumerate()
    {
        let limit = told.limit.map(format_number).unwrap_or_default();
        let (definition, unit) = (&told.definition, told.definition.unit);
        let (value, factor) = match (&told.outcome, told.factor()) {
            (Outcome::Estimated { value, .. }, Some(factor)) => (
                format!("{} {unit}", format_number(value.value)),
                format_number(factor),
            ),
            (Outcome::Unavailable(reason), _) => (reason.clone(), "not told".into()),
            _ => Default::default(),
        };
        let passes = if told.factor().is_some_and(|factor| factor > 1.0) {
            "**"
        } else {
            ""
        };
        let (role, what) = (definition.role.name(), definition.what);
        let _ = writeln!(
            out,
            "| {} | {role} | {what} | {value} | {limit} {unit} | {passes}{factor}{passes} | {} |",
            at + 1,
            run(told)
        );
    }
    out
}

fn by_role(result: &CapacityResult) -> String {
    let mut out = String::new();
    let all = figures::evaluate(result);
    for role in Role::ALL {
        let _ = writeln!(out, "**{}**\n", role.name());
        out.push_str(
            "| figure | at the size | slope | measured over | limit | room left | how | carried by | run |\n",
        );
        out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for told in all.iter().filter(|told| told.definition.role == role) {
            let _ = writeln!(out, "{}", role_line(told));
        }
        out.push('\n');
    }
    out
}

fn role_line(told: &EvaluatedFigure) -> String {
    let (definition, unit) = (&told.definition, told.definition.unit);
    let limit = told.limit.map_or("none told".into(), |limit| {
        format!("{} {unit}", format_number(limit))
    });
    let Outcome::Estimated { value, fit } = &told.outcome else {
        let Outcome::Unavailable(reason) = &told.outcome else {
            return String::new();
        };
        return format!(
            "| {} | {reason} | | | {limit} | | not told | {} | {} |",
            definition.what,
            definition.mechanism,
            run(told)
        );
    };
    let at = format!(
        "{} ± {} {unit}",
        format_number(value.value),
        format_number(value.error)
    );
    let slope = match value.source {
        EstimateSource::Interpolated => "none".into(),
        _ => format!(
            "{} ± {}",
            format_number(fit.slope),
            format_number(fit.slope_error)
        ),
    };
    let range = format!(
        "{} to {} {}",
        format_number(fit.range.0),
        format_number(fit.range.1),
        definition.axis.name()
    );
    let room = match told.limit {
        Some(limit) if limit > value.value => {
            format!("{} {unit}", format_number(limit - value.value))
        }
        Some(limit) => format!(
            "none: {} times the limit",
            format_number(value.value / limit)
        ),
        None => String::new(),
    };
    let how = told.source_name();
    format!(
        "| {} | {at} | {slope} | {range} | {limit} | {room} | {how} | {} | {} |",
        definition.what,
        definition.mechanism,
        run(told)
    )
}

/// What control costs a dispatcher at the size by kind of link, as relays saw it and as it counted
/// itself.
fn links(result: &CapacityResult) -> String {
    let mut out = String::from(
        "| link to | told of room | bytes/s, relays | bytes/s, its own count | messages/s, its own count |\n| --- | --- | --- | --- | --- |\n",
    );
    let run = result.run(Axis::Machines, "control");
    let told = |figure: String| {
        let fit = LinearFit::through(&run.map(|run| run.figure(&figure)).unwrap_or_default());
        fit.ok()
            .and_then(|fit| fit.estimate(result.size.machines).ok())
            .map_or("not told".into(), |estimate| format_number(estimate.value))
    };
    for kind in ["roster", "control", "keepers", "nodes"] {
        for (name, how) in [("quiet", "nothing"), ("told", "each machine once a second")] {
            let figure = |of: &str| told(format!("{name}, {kind}, {of}"));
            let _ = writeln!(
                out,
                "| {kind} | {how} | {} | {} | {} |",
                figure("bytes/s"),
                figure("bytes/s by its own count"),
                figure("messages/s"),
            );
        }
    }
    out
}

fn missing() -> String {
    let mut out = String::from("| what the size asks for | mechanism |\n| --- | --- |\n");
    for (what, how) in MISSING_MECHANISMS {
        let _ = writeln!(out, "| {what} | {how} |");
    }
    out
}

fn runs(result: &CapacityResult) -> String {
    let mut out = String::from(
        "| run | axis, series | command | seed | places, rounds | the same at each point | spoilt points | load | machine |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (at, run) in result.runs.iter().enumerate() {
        let places: Vec<String> = run.places.iter().copied().map(format_number).collect();
        let loads = || run.points.iter().map(|point| point.load);
        let (least, most) = (
            loads().fold(f64::MAX, f64::min),
            loads().fold(0.0, f64::max),
        );
        let missing_places = if run.missing_places().is_empty() {
            ""
        } else {
            ", **partial**"
        };
        let _ = writeln!(
            out,
            "| R{} | {}, {} | `{}` | {} | {}; {} | {} | {} of {}{missing_places} | {least:.1} to {most:.1} | {} cores, {} MiB |",
            at + 1,
            run.axis.name(),
            run.series,
            run.command,
            run.seed,
            places.join(" / "),
            run.rounds,
            run.fixed,
            run.invalid_points(),
            run.points.len(),
            run.cores,
            format_number(run.memory_mib as f64)
        );
    }
    out
}

/// Where a page differs.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct PageError {
    pub line: usize,
    pub reason: String,
}

const END: &str = "<!-- end -->";

/// The page with its tables as the result has them.
pub fn fill(page: &str, result: &CapacityResult) -> Result<String, PageError> {
    let tables = tables(result);
    let mut filled = vec![false; tables.len()];
    let mut out = String::new();
    let mut lines = page.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        out.push_str(line);
        out.push('\n');
        let named = |name: &str| line.trim() == format!("<!-- {name} -->");
        let Some(which) = tables.iter().position(|(name, _)| named(name)) else {
            continue;
        };
        if std::mem::replace(&mut filled[which], true) {
            return Err(PageError {
                line: at + 1,
                reason: format!("a second table `{}`", tables[which].0),
            });
        }
        if !lines.any(|(_, line)| line.trim() == END) {
            return Err(PageError {
                line: at + 1,
                reason: format!("`{}` has no {END}", tables[which].0),
            });
        }
        out.push('\n');
        out.push_str(&tables[which].1);
        out.push_str(if tables[which].1.ends_with("\n\n") {
            ""
        } else {
            "\n"
        });
        out.push_str(END);
        out.push('\n');
    }
    match filled.iter().position(|filled| !filled) {
        Some(which) => {
            let reason = format!("the page has no table `{}`", tables[which].0);
            Err(PageError {
                line: page.lines().count(),
                reason,
            })
        }
        None => Ok(out),
    }
}

/// The first line of a page that is not as the result has it.
pub fn check(page: &str, result: &CapacityResult) -> Result<(), PageError> {
    let filled = fill(page, result)?;
    let (mut own, mut wanted) = (page.lines(), filled.lines());
    for line in 1.. {
        match (own.next(), wanted.next()) {
            (None, None) => break,
            (has, wants) if has == wants => {}
            (has, wants) => {
                let text =
                    |line: Option<&str>| line.map_or("nothing".into(), |line| format!("`{line}`"));
                let reason = format!("the page has {}, the result {}", text(has), text(wants));
                return Err(PageError { line, reason });
            }
        }
    }
    Ok(())
}
