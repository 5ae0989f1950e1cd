//! Prints the tables of docs/CAPACITY.md from a stored result, and compares a page with them.

use crate::catalog::MISSING_MECHANISMS;
use crate::figures::{self, EvaluatedFigure, Outcome, Role};
use crate::fit::{Estimate, EstimateSource, LinearFit};
use crate::result::{Axis, CapacityResult, Run};
use std::fmt::Write;

/// A table of the page, which is between `<!-- NAME -->` and `<!-- end -->` there.
pub struct Table {
    /// The name on the page.
    pub name: &'static str,
    /// The table as Markdown.
    pub markdown: String,
}

/// Returns all tables, in the order of the page.
pub fn tables(result: &CapacityResult) -> Vec<Table> {
    [
        ("by factor", by_factor(result)),
        ("by role", by_role(result)),
        ("links", links(result)),
        ("missing", missing()),
        ("runs", runs(result)),
    ]
    .map(|(name, markdown)| Table { name, markdown })
    .into()
}

/// Returns the number of decimals for three significant digits; below 1 it is from 3 to 8.
fn decimals(size: f64) -> usize {
    match size {
        _ if size >= 100.0 || size == 0.0 => 0,
        _ if size >= 10.0 => 1,
        _ if size >= 1.0 => 2,
        _ => (2 - size.log10().floor() as i32).clamp(3, 8) as usize,
    }
}

/// Formats a number with three significant digits and thousands separators.
pub fn format_number(value: f64) -> String {
    let decimals = decimals(value.abs());
    let text = format!("{value:.decimals$}");
    let (whole, fraction) = text
        .split_once('.')
        .map_or((text.as_str(), None), |(whole, fraction)| {
            (whole, Some(fraction))
        });
    let (sign, whole) = whole
        .strip_prefix('-')
        .map_or(("", whole), |rest| ("-", rest));
    let mut out = String::from(sign);
    for (index, digit) in whole.chars().enumerate() {
        if index > 0 && (whole.len() - index).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    if let Some(fraction) = fraction {
        out.push('.');
        out.push_str(fraction);
    }
    out
}

/// Formats the header lines of a table.
fn header(columns: &[&str]) -> String {
    let rule = vec!["---"; columns.len()];
    // The column of positions has no name, and one space less than the others.
    let names = columns.join(" | ");
    format!("| {} |\n| {} |\n", names.trim_start(), rule.join(" | "))
}

fn run_name(figure: &EvaluatedFigure) -> String {
    figure.run.map_or("none".into(), |run| format!("R{run}"))
}

fn by_factor(result: &CapacityResult) -> String {
    let mut out = header(&[
        "",
        "role",
        "figure",
        "at the size",
        "limit",
        "factor",
        "run",
    ]);
    let figures = figures::by_factor(figures::evaluate(result));
    for (index, figure) in figures.iter().enumerate() {
        let (definition, unit) = (&figure.definition, figure.definition.unit);
        let limit = figure.limit.map(format_number).unwrap_or_default();
        let (value, factor) = match (&figure.outcome, figure.factor()) {
            (Outcome::Estimated { value, .. }, Some(factor)) => (
                format!("{} {unit}", format_number(value.value)),
                format_number(factor),
            ),
            (Outcome::Unavailable(reason), _) => (reason.clone(), "not told".into()),
            _ => Default::default(),
        };
        let is_exceeded = figure.factor().is_some_and(|factor| factor > 1.0);
        let bold = if is_exceeded { "**" } else { "" };
        let _ = writeln!(
            out,
            "| {} | {} | {} | {value} | {limit} {unit} | {bold}{factor}{bold} | {} |",
            index + 1,
            definition.role.name(),
            definition.what,
            run_name(figure)
        );
    }
    out
}

fn by_role(result: &CapacityResult) -> String {
    let mut out = String::new();
    let figures = figures::evaluate(result);
    for role in Role::ALL {
        let _ = writeln!(out, "**{}**\n", role.name());
        out.push_str(&header(&[
            "figure",
            "at the size",
            "slope",
            "measured over",
            "limit",
            "room left",
            "how",
            "carried by",
            "run",
        ]));
        let of_role = figures
            .iter()
            .filter(|figure| figure.definition.role == role);
        for figure in of_role {
            let _ = writeln!(out, "{}", role_line(figure));
        }
        out.push('\n');
    }
    out
}

fn role_line(figure: &EvaluatedFigure) -> String {
    let (definition, unit) = (&figure.definition, figure.definition.unit);
    let limit = figure.limit.map_or("none told".into(), |limit| {
        format!("{} {unit}", format_number(limit))
    });
    let (what, mechanism, run) = (definition.what, definition.mechanism, run_name(figure));
    let (value, fit) = match &figure.outcome {
        Outcome::Estimated { value, fit } => (value, fit),
        Outcome::Unavailable(reason) => {
            return format!(
                "| {what} | {reason} | | | {limit} | | not told | {mechanism} | {run} |"
            );
        }
    };
    let left = figure
        .limit
        .map_or(String::new(), |limit| capacity_left(limit, value, unit));
    format!(
        "| {what} | {} ± {} {unit} | {} | {} to {} {} | {limit} | {left} | {} | {mechanism} | {run} |",
        format_number(value.value),
        format_number(value.error),
        slope(value, fit),
        format_number(*fit.range.start()),
        format_number(*fit.range.end()),
        definition.axis.name(),
        figure.source_name(),
    )
}

fn slope(value: &Estimate, fit: &LinearFit) -> String {
    match value.source {
        EstimateSource::Interpolated => "none".into(),
        EstimateSource::Line | EstimateSource::Extrapolated => format!(
            "{} ± {}",
            format_number(fit.slope),
            format_number(fit.slope_error)
        ),
    }
}

/// Formats the capacity that is left below a limit, or how far the limit is exceeded.
fn capacity_left(limit: f64, value: &Estimate, unit: &str) -> String {
    if limit > value.value {
        format!("{} {unit}", format_number(limit - value.value))
    } else {
        let factor = format_number(value.value / limit);
        format!("none: {factor} times the limit")
    }
}

/// Formats the control traffic of one dispatcher at the size, by kind of connection, as measured by
/// the proxies and as counted by the dispatcher.
fn links(result: &CapacityResult) -> String {
    let mut out = header(&[
        "link to",
        "told of room",
        "bytes/s, relays",
        "bytes/s, its own count",
        "messages/s, its own count",
    ]);
    let run = result.run(Axis::Machines, "control");
    let estimate = |figure: &str| {
        let points = run.map(|run| run.figure(figure)).unwrap_or_default();
        let fit = LinearFit::through(&points).ok()?;
        fit.estimate(result.size.machines).ok()
    };
    let cell = |figure: String| {
        estimate(&figure).map_or("not told".into(), |estimate| format_number(estimate.value))
    };
    for kind in ["roster", "control", "keepers", "nodes"] {
        for (phase, reports) in [("quiet", "nothing"), ("told", "each machine once a second")] {
            let _ = writeln!(
                out,
                "| {kind} | {reports} | {} | {} | {} |",
                cell(format!("{phase}, {kind}, bytes/s")),
                cell(format!("{phase}, {kind}, bytes/s by its own count")),
                cell(format!("{phase}, {kind}, messages/s")),
            );
        }
    }
    out
}

fn missing() -> String {
    let mut out = header(&["what the size asks for", "mechanism"]);
    for missing in MISSING_MECHANISMS {
        let _ = writeln!(out, "| {} | {} |", missing.need, missing.state);
    }
    out
}

fn runs(result: &CapacityResult) -> String {
    let mut out = header(&[
        "run",
        "axis, series",
        "command",
        "seed",
        "places, rounds",
        "the same at each point",
        "spoilt points",
        "load",
        "machine",
    ]);
    for (index, run) in result.runs.iter().enumerate() {
        let _ = writeln!(out, "| R{} | {} |", index + 1, run_cells(run));
    }
    out
}

fn run_cells(run: &Run) -> String {
    let places: Vec<String> = run.places.iter().copied().map(format_number).collect();
    let loads = || run.points.iter().map(|point| point.load);
    let partial = if run.missing_places().is_empty() {
        ""
    } else {
        ", **partial**"
    };
    let cells = [
        format!("{}, {}", run.axis.name(), run.series),
        format!("`{}`", run.command),
        run.seed.to_string(),
        format!("{}; {}", places.join(" / "), run.rounds),
        run.fixed.clone(),
        format!("{} of {}{partial}", run.invalid_points(), run.points.len()),
        format!(
            "{:.1} to {:.1}",
            loads().fold(f64::MAX, f64::min),
            loads().fold(0.0, f64::max)
        ),
        format!(
            "{} cores, {} MiB",
            run.cores,
            format_number(run.memory_mib as f64)
        ),
    ];
    cells.join(" | ")
}

/// The error for a page that does not match its result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct PageError {
    /// The line of the page, from 1.
    pub line: usize,
    /// The description of the error.
    pub reason: String,
}

const END: &str = "<!-- end -->";

/// Returns the page with its tables filled from the result.
///
/// # Errors
///
/// Returns [`PageError`] if a table is missing, occurs twice or has no end.
pub fn fill(page: &str, result: &CapacityResult) -> Result<String, PageError> {
    let tables = tables(result);
    let mut is_filled = vec![false; tables.len()];
    let mut out = String::new();
    let mut lines = page.lines().enumerate();
    while let Some((index, line)) = lines.next() {
        out.push_str(line);
        out.push('\n');
        let starts_here = |table: &Table| line.trim() == format!("<!-- {} -->", table.name);
        let Some(position) = tables.iter().position(starts_here) else {
            continue;
        };
        let table = &tables[position];
        let error = |reason| PageError {
            line: index + 1,
            reason,
        };
        if std::mem::replace(&mut is_filled[position], true) {
            return Err(error(format!("a second table `{}`", table.name)));
        }
        if !lines.any(|(_, line)| line.trim() == END) {
            return Err(error(format!("`{}` has no {END}", table.name)));
        }
        let blank = if table.markdown.ends_with("\n\n") {
            ""
        } else {
            "\n"
        };
        let _ = writeln!(out, "\n{}{blank}{END}", table.markdown);
    }
    match is_filled.iter().position(|is_filled| !is_filled) {
        Some(position) => Err(PageError {
            line: page.lines().count(),
            reason: format!("the page has no table `{}`", tables[position].name),
        }),
        None => Ok(out),
    }
}

/// Checks that a page matches the result.
///
/// # Errors
///
/// Returns [`PageError`] with the first line that differs, or an error of [`fill`].
pub fn check(page: &str, result: &CapacityResult) -> Result<(), PageError> {
    let filled = fill(page, result)?;
    let (mut actual, mut expected) = (page.lines(), filled.lines());
    for line in 1.. {
        match (actual.next(), expected.next()) {
            (None, None) => break,
            (actual, expected) if actual == expected => {}
            (actual, expected) => {
                let quoted =
                    |line: Option<&str>| line.map_or("nothing".into(), |line| format!("`{line}`"));
                let reason = format!(
                    "the page has {}, the result {}",
                    quoted(actual),
                    quoted(expected)
                );
                return Err(PageError { line, reason });
            }
        }
    }
    Ok(())
}
