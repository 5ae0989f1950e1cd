//! Parses the load file, an S-expression. docs/load.md documents its grammar.

use crate::mix::WorkloadKind;
use crate::shape::{Phase, Shape, Spacing};
use corkspan_config::sexp::{self, Diagnostic, Form};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The maximum number of requests in one load.
const MAX_REQUESTS: f64 = 50_000_000.0;

/// A load as described by its file.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The times at which requests are sent.
    pub shape: Shape,
    /// The kinds of work that are requested.
    pub kinds: Vec<WorkloadKind>,
    /// The seed of the send times and of the drawn kinds.
    pub seed: u64,
    /// The maximum number of requests without a reply; a request that is due beyond it is counted
    /// as not sent.
    pub max_in_flight: usize,
    /// The number of connections to each dispatcher.
    pub connections: usize,
}

impl Plan {
    /// Reads and parses a load file.
    pub fn load(path: &Path) -> Result<Plan, Diagnostic> {
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        Plan::read(&path.display().to_string(), &sexp::load(path)?, &folder)
    }

    /// Parses the text of a load file. `file` is its name in messages, and `folder` the folder that
    /// contains files of recorded times.
    pub fn read(file: &str, text: &str, folder: &Path) -> Result<Plan, Diagnostic> {
        sexp::with_form(file, text, "load", |form| {
            let parts = form.parts(&[
                "phases",
                "spacing",
                "recorded",
                "kinds",
                "seed",
                "under-way",
                "links",
            ])?;
            let shape = match (parts.get("phases"), parts.get("recorded")) {
                (Some(phases), None) => {
                    let spacing =
                        parts.get_or("spacing", 1, |form| form.choice(&["even", "poisson"]))?;
                    Shape::Phases(
                        self::phases(phases)?,
                        [Spacing::Even, Spacing::Poisson][spacing],
                    )
                }
                (None, Some(recorded)) => Shape::Recorded(self::recorded(recorded, folder)?),
                _ => return Err(form.diagnostic("needs either `(phases …)` or `(recorded …)`")),
            };
            let forms = parts.required("kinds")?.user_named_forms()?;
            let kinds = forms.iter().map(kind).collect::<Result<Vec<_>, _>>()?;
            if kinds.is_empty() {
                return Err(parts.required("kinds")?.diagnostic("names no kind"));
            }
            Ok(Plan {
                shape,
                kinds,
                seed: parts.get_or("seed", 1, |form| form.integer(0, u64::MAX))?,
                max_in_flight: parts.get_or("under-way", 20_000, |form| {
                    Ok(form.integer(1, 1_000_000)? as usize)
                })?,
                connections: parts
                    .get_or("links", 4, |form| Ok(form.integer(1, 1_000)? as usize))?,
            })
        })
    }

    /// Returns the names of the kinds, as reports print them.
    pub fn names(&self) -> Vec<String> {
        let name = |kind: &WorkloadKind| match &kind.tenant[..] {
            "" => kind.service_class.clone(),
            tenant => format!("{} of {tenant}", kind.service_class),
        };
        self.kinds.iter().map(name).collect()
    }
}

fn duration(form: &Form) -> Result<Duration, Diagnostic> {
    Ok(Duration::from_micros(form.time()? * 100))
}

/// Parses all phases, and checks that they have at most [`MAX_REQUESTS`] requests in total.
fn phases(form: &Form) -> Result<Vec<Phase>, Diagnostic> {
    let mut requests = 0.0;
    let mut phases = Vec::new();
    for form in form.forms(&["constant", "ramp", "burst"])? {
        let phase = phase(&form)?;
        requests +=
            (phase.from + phase.to) / 2.0 * phase.duration.as_secs_f64() + f64::from(phase.burst);
        if requests > MAX_REQUESTS {
            return Err(form.diagnostic(format!("has more than {MAX_REQUESTS} requests")));
        }
        phases.push(phase);
    }
    match phases.is_empty() {
        true => Err(form.diagnostic("names no phase")),
        false => Ok(phases),
    }
}

/// Parses one phase.
fn phase(form: &Form) -> Result<Phase, Diagnostic> {
    Ok(match form.name {
        "constant" => {
            let parts = form.parts(&["for", "rate"])?;
            let rate = parts.required("rate")?.non_negative()?;
            Phase {
                duration: duration(parts.required("for")?)?,
                from: rate,
                to: rate,
                burst: 0,
            }
        }
        "ramp" => {
            let parts = form.parts(&["for", "from", "to"])?;
            let (from, to) = (
                parts.required("from")?.non_negative()?,
                parts.required("to")?.non_negative()?,
            );
            Phase {
                duration: duration(parts.required("for")?)?,
                from,
                to,
                burst: 0,
            }
        }
        _ => {
            let parts = form.parts(&["asks"])?;
            let burst = parts.required("asks")?.integer(1, 1_000_000)? as u32;
            Phase {
                duration: Duration::ZERO,
                from: 0.0,
                to: 0.0,
                burst,
            }
        }
    })
}

/// Parses a kind of work; the name of its form is the service class.
fn kind(form: &Form) -> Result<WorkloadKind, Diagnostic> {
    let parts = form.parts(&[
        "account",
        "services",
        "weight",
        "cores",
        "memory",
        "life",
        "abandon-time",
    ])?;
    Ok(WorkloadKind {
        service_class: form.name.into(),
        tenant: parts.get_or("account", String::new(), |form| {
            Ok(form.symbol()?.to_string())
        })?,
        services: parts.get_or(
            "services",
            10,
            |form| Ok(form.integer(1, 1_000_000)? as u32),
        )?,
        weight: parts.get_or("weight", 1.0, Form::positive)?,
        cores: parts.required("cores")?.positive()?,
        memory: parts.required("memory")?.positive()?,
        lifetime_ms: parts.required("life")?.time()? / 10,
        abandon_ms: (parts.required("abandon-time")?.time()? / 10).max(1),
    })
}

/// Reads the file in `(recorded "times.csv")`, which has a column `ms` of times in ascending order.
fn recorded(form: &Form, folder: &Path) -> Result<Vec<Duration>, Diagnostic> {
    let path: PathBuf = folder.join(form.string()?);
    let error = |reason: String| form.diagnostic(format!("{}: {reason}", path.display()));
    let mut reader = csv::Reader::from_path(&path).map_err(|source| error(source.to_string()))?;
    let headers = reader
        .headers()
        .map_err(|source| error(source.to_string()))?;
    let column = headers.iter().position(|name| name.trim() == "ms");
    let column = column.ok_or_else(|| error("lacks a column `ms`".into()))?;
    let mut times: Vec<Duration> = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|source| error(source.to_string()))?;
        let line = record.position().map_or(0, csv::Position::line);
        let text = record.get(column).unwrap_or_default().trim();
        let ms = text
            .parse::<f64>()
            .ok()
            .filter(|ms| (0.0..=1e12).contains(ms));
        let ms = ms.ok_or_else(|| error(format!("line {line}: `{text}` is not a time in ms")))?;
        let time = Duration::from_secs_f64(ms / 1_000.0);
        if times.last().is_some_and(|last| *last > time) {
            return Err(error(format!(
                "line {line}: earlier than the line above it"
            )));
        }
        if times.len() as f64 >= MAX_REQUESTS {
            return Err(error(format!("more than {MAX_REQUESTS} times")));
        }
        times.push(time);
    }
    Ok(times)
}
