//! The tables of docs/CAPACITY.md, printed from a kept result, and a page held against them.

use crate::fit::{Fit, How};
use crate::kept::{Axis, Kept};
use crate::rows::{self, MISSING, Out, Role, Told};
use std::fmt::Write;

/// Tables by name; each stands on the page between `<!-- NAME -->` and `<!-- end -->`.
pub fn tables(kept: &Kept) -> Vec<(&'static str, String)> {
    vec![
        ("by factor", by_factor(kept)),
        ("by role", by_role(kept)),
        ("links", links(kept)),
        ("missing", missing()),
        ("runs", runs(kept)),
    ]
}

/// Three digits that count, thousands apart.
pub fn number(value: f64) -> String {
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

fn run(told: &Told) -> String {
    told.run.map_or("none".into(), |(run, _)| format!("R{run}"))
}

fn by_factor(kept: &Kept) -> String {
    let mut out = String::from(
        "| | role | figure | at the size | limit | factor | run |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (at, told) in rows::by_factor(rows::told(kept)).iter().enumerate() {
        let limit = told.limit.map(number).unwrap_or_default();
        let (row, unit) = (&told.row, told.row.unit);
        let (value, factor) = match (&told.out, told.factor()) {
            (Out::Told { value, .. }, Some(factor)) => {
                (format!("{} {unit}", number(value.value)), number(factor))
            }
            (Out::Not(why), _) => (why.clone(), "not told".into()),
            _ => Default::default(),
        };
        let passes = if told.factor().is_some_and(|factor| factor > 1.0) {
            "**"
        } else {
            ""
        };
        let (role, what) = (row.role.name(), row.what);
        let _ = writeln!(
            out,
            "| {} | {role} | {what} | {value} | {limit} {unit} | {passes}{factor}{passes} | {} |",
            at + 1,
            run(told)
        );
    }
    out
}

fn by_role(kept: &Kept) -> String {
    let mut out = String::new();
    let all = rows::told(kept);
    for role in Role::ALL {
        let _ = writeln!(out, "**{}**\n", role.name());
        out.push_str(
            "| figure | at the size | slope | measured over | limit | room left | how | carried by | run |\n",
        );
        out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for told in all.iter().filter(|told| told.row.role == role) {
            let _ = writeln!(out, "{}", role_line(told));
        }
        out.push('\n');
    }
    out
}

fn role_line(told: &Told) -> String {
    let (row, unit) = (&told.row, told.row.unit);
    let limit = told.limit.map_or("none told".into(), |limit| {
        format!("{} {unit}", number(limit))
    });
    let Out::Told { value, fit } = &told.out else {
        let Out::Not(why) = &told.out else {
            return String::new();
        };
        return format!(
            "| {} | {why} | | | {limit} | | not told | {} | {} |",
            row.what,
            row.mechanism,
            run(told)
        );
    };
    let at = format!("{} ± {} {unit}", number(value.value), number(value.error));
    let slope = match value.how {
        How::Between => "none".into(),
        _ => format!("{} ± {}", number(fit.slope), number(fit.slope_error)),
    };
    let range = format!(
        "{} to {} {}",
        number(fit.range.0),
        number(fit.range.1),
        row.axis.name()
    );
    let room = match told.limit {
        Some(limit) if limit > value.value => format!("{} {unit}", number(limit - value.value)),
        Some(limit) => format!("none: {} times the limit", number(value.value / limit)),
        None => String::new(),
    };
    let how = told.how();
    format!(
        "| {} | {at} | {slope} | {range} | {limit} | {room} | {how} | {} | {} |",
        row.what,
        row.mechanism,
        run(told)
    )
}

/// What control costs a dispatcher at the size by kind of link, as relays saw it and as it counted
/// itself.
fn links(kept: &Kept) -> String {
    let mut out = String::from(
        "| link to | told of room | bytes/s, relays | bytes/s, its own count | messages/s, its own count |\n| --- | --- | --- | --- | --- |\n",
    );
    let run = kept.run(Axis::Machines, "control");
    let told = |figure: String| {
        let fit = Fit::of(&run.map(|run| run.figure(&figure)).unwrap_or_default());
        fit.ok()
            .and_then(|fit| fit.at(kept.size.machines).ok())
            .map_or("not told".into(), |told| number(told.value))
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
    for (what, how) in MISSING {
        let _ = writeln!(out, "| {what} | {how} |");
    }
    out
}

fn runs(kept: &Kept) -> String {
    let mut out = String::from(
        "| run | axis, series | command | seed | places, rounds | the same at each point | spoilt points | load | machine |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for (at, run) in kept.runs.iter().enumerate() {
        let places: Vec<String> = run.places.iter().copied().map(number).collect();
        let loads = || run.points.iter().map(|point| point.load);
        let (least, most) = (
            loads().fold(f64::MAX, f64::min),
            loads().fold(0.0, f64::max),
        );
        let lacks = if run.lacks().is_empty() {
            ""
        } else {
            ", **partial**"
        };
        let _ = writeln!(
            out,
            "| R{} | {}, {} | `{}` | {} | {}; {} | {} | {} of {}{lacks} | {least:.1} to {most:.1} | {} cores, {} MiB |",
            at + 1,
            run.axis.name(),
            run.series,
            run.command,
            run.seed,
            places.join(" / "),
            run.rounds,
            run.fixed,
            run.spoilt(),
            run.points.len(),
            run.cores,
            number(run.memory_mib as f64)
        );
    }
    out
}

/// Where a page differs.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {why}")]
pub struct Differs {
    pub line: usize,
    pub why: String,
}

const END: &str = "<!-- end -->";

/// The page with its tables as the result has them.
pub fn fill(page: &str, kept: &Kept) -> Result<String, Differs> {
    let tables = tables(kept);
    let mut stood = vec![false; tables.len()];
    let mut out = String::new();
    let mut lines = page.lines().enumerate();
    while let Some((at, line)) = lines.next() {
        out.push_str(line);
        out.push('\n');
        let named = |name: &str| line.trim() == format!("<!-- {name} -->");
        let Some(which) = tables.iter().position(|(name, _)| named(name)) else {
            continue;
        };
        if std::mem::replace(&mut stood[which], true) {
            return Err(Differs {
                line: at + 1,
                why: format!("a second table `{}`", tables[which].0),
            });
        }
        if !lines.any(|(_, line)| line.trim() == END) {
            return Err(Differs {
                line: at + 1,
                why: format!("`{}` has no {END}", tables[which].0),
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
    match stood.iter().position(|stood| !stood) {
        Some(which) => {
            let why = format!("the page has no table `{}`", tables[which].0);
            Err(Differs {
                line: page.lines().count(),
                why,
            })
        }
        None => Ok(out),
    }
}

/// The first line of a page that is not as the result has it.
pub fn check(page: &str, kept: &Kept) -> Result<(), Differs> {
    let filled = fill(page, kept)?;
    let (mut own, mut wanted) = (page.lines(), filled.lines());
    for line in 1.. {
        match (own.next(), wanted.next()) {
            (None, None) => break,
            (has, wants) if has == wants => {}
            (has, wants) => {
                let text =
                    |line: Option<&str>| line.map_or("nothing".into(), |line| format!("`{line}`"));
                let why = format!("the page has {}, the result {}", text(has), text(wants));
                return Err(Differs { line, why });
            }
        }
    }
    Ok(())
}
