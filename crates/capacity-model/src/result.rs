//! Reads and writes a stored result: the size and the measured runs. Errors are reported with their
//! line.

use crate::fit::Measurement;
use crate::size::MAX_FIGURE;
pub use crate::size::{FleetSize, PLANNED_SIZE};
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The quantity that is varied in a run while everything else stays the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    /// Number of machines that the dispatcher knows.
    Machines,
    /// Number of dispatchers of the fleet.
    Dispatchers,
    /// Number of tasks that run, or that start per second.
    Tasks,
    /// Number of allocations that wait.
    Waiting,
    /// Number of versions per second.
    Versions,
}

impl Axis {
    /// All axes, in the order of the page.
    pub const ALL: [Axis; 5] = [
        Axis::Machines,
        Axis::Dispatchers,
        Axis::Tasks,
        Axis::Waiting,
        Axis::Versions,
    ];

    /// Returns the name on the page, on the command line and in stored results.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Machines => "machines",
            Axis::Dispatchers => "dispatchers",
            Axis::Tasks => "tasks",
            Axis::Waiting => "waiting",
            Axis::Versions => "versions",
        }
    }
}

/// The measurement at one position on an axis in one round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// The position on the axis.
    #[serde(deserialize_with = "place")]
    pub at: f64,
    /// The round, from 0.
    pub round: u32,
    /// The machine's load average over one minute: processes that ran or waited for a processor.
    pub load: f64,
    /// The reason why the point is invalid, if it is.
    #[serde(rename = "spoilt", default, skip_serializing_if = "Option::is_none")]
    pub invalid: Option<String>,
    /// The measured figures, by name with unit.
    #[serde(deserialize_with = "figures")]
    pub figures: BTreeMap<String, f64>,
}

// Points are checked while they are parsed: a later error would be reported with the next line.
fn place<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let at = f64::deserialize(deserializer)?;
    (0.0..=MAX_FIGURE)
        .contains(&at)
        .then_some(at)
        .ok_or_else(|| D::Error::custom(format!("a point has the invalid position {at}")))
}

fn figures<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BTreeMap<String, f64>, D::Error> {
    let figures = BTreeMap::<String, f64>::deserialize(deserializer)?;
    (!figures.is_empty())
        .then_some(figures)
        .ok_or_else(|| D::Error::custom("a point has no figures"))
}

/// Measurements along one axis, with everything else the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// The quantity that was varied.
    pub axis: Axis,
    /// The name of the measured series; one run is stored for each axis and series.
    pub series: String,
    /// The command line that measured it.
    pub command: String,
    /// The seed of the measurement.
    pub seed: u64,
    /// The number of cores of the machine.
    pub cores: usize,
    /// The memory of the machine, in MiB.
    pub memory_mib: u64,
    /// A description of what was the same at each point.
    pub fixed: String,
    /// The positions to measure in each round.
    pub places: Vec<f64>,
    /// The number of rounds.
    pub rounds: u32,
    /// The measured points, including invalid ones.
    pub points: Vec<Point>,
}

impl Run {
    /// Returns one figure at all valid points.
    pub fn figure(&self, name: &str) -> Vec<Measurement> {
        let valid = self.points.iter().filter(|point| point.invalid.is_none());
        valid
            .filter_map(|point| {
                Some(Measurement {
                    at: point.at,
                    value: *point.figures.get(name)?,
                })
            })
            .collect()
    }

    /// Returns the number of invalid points.
    pub fn invalid_points(&self) -> usize {
        self.points
            .iter()
            .filter(|point| point.invalid.is_some())
            .count()
    }

    /// Places without a valid point. A line without them is not what was to be measured.
    pub fn missing_places(&self) -> Vec<f64> {
        let is_measured = |place: &f64| {
            self.points
                .iter()
                .any(|point| point.at == *place && point.invalid.is_none())
        };
        self.places
            .iter()
            .copied()
            .filter(|place| !is_measured(place))
            .collect()
    }

    /// Formats the run as JSON, with one point per line.
    fn to_json(&self) -> String {
        let quoted = |text: &str| serde_json::Value::from(text).to_string();
        let points: Vec<String> = self
            .points
            .iter()
            .map(|point| serde_json::to_string(point).expect("numbers and texts alone"))
            .collect();
        format!(
            "{{\"axis\": \"{}\", \"series\": \"{}\",\n\"command\": {},\n\
             \"seed\": {}, \"cores\": {}, \"memory_mib\": {},\n\"fixed\": {},\n\
             \"places\": {}, \"rounds\": {},\n\"points\": [\n{}\n]}}",
            self.axis.name(),
            self.series,
            quoted(&self.command),
            self.seed,
            self.cores,
            self.memory_mib,
            quoted(&self.fixed),
            serde_json::Value::from(self.places.clone()),
            self.rounds,
            points.join(",\n"),
        )
    }
}

/// All measurements for one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityResult {
    /// The size that the measurements are for.
    pub size: FleetSize,
    /// The runs, sorted by axis and series, with one run for each pair.
    pub runs: Vec<Run>,
}

/// The error for a text that is not a valid stored result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct ResultError {
    /// The line of the text, from 1.
    pub line: usize,
    /// The description of the error.
    pub reason: String,
}

impl From<serde_json::Error> for ResultError {
    /// Separates the line from the message.
    fn from(error: serde_json::Error) -> ResultError {
        let message = error.to_string();
        let reason = message
            .rsplit_once(" at line ")
            .map_or(message.as_str(), |(reason, _)| reason);
        ResultError {
            line: error.line(),
            reason: reason.into(),
        }
    }
}

impl CapacityResult {
    /// Parses a stored result.
    ///
    /// # Errors
    ///
    /// Returns [`ResultError`] with the line that can't be parsed, or that has a second run of a
    /// series.
    pub fn read(text: &str) -> Result<CapacityResult, ResultError> {
        let result: CapacityResult = serde_json::from_str(text)?;
        let mut seen = BTreeSet::new();
        let duplicate = result
            .runs
            .iter()
            .find(|run| !seen.insert((run.axis, &run.series)));
        match duplicate {
            Some(duplicate) => Err(ResultError {
                line: last_line_of_series(text, &duplicate.series),
                reason: format!(
                    "a second run of {} / {}",
                    duplicate.axis.name(),
                    duplicate.series
                ),
            }),
            None => Ok(result),
        }
    }

    /// Returns the run of a series.
    pub fn run(&self, axis: Axis, series: &str) -> Option<&Run> {
        self.runs
            .iter()
            .find(|run| run.axis == axis && run.series == series)
    }

    /// Adds a run, replacing an earlier one of the same series.
    pub fn insert(&mut self, run: Run) {
        self.runs
            .retain(|known| (known.axis, &known.series) != (run.axis, &run.series));
        self.runs.push(run);
        self.runs
            .sort_by(|one, other| (one.axis, &one.series).cmp(&(other.axis, &other.series)));
    }

    /// Returns the stored form, with one point per line so that the line in an error message
    /// identifies the point.
    pub fn to_json(&self) -> String {
        let size = serde_json::to_value(&self.size).expect("numbers alone");
        let runs: Vec<String> = self.runs.iter().map(Run::to_json).collect();
        let separator = if runs.is_empty() { "" } else { "\n" };
        format!(
            "{{\n\"size\": {size},\n\"runs\": [{separator}{}\n]\n}}\n",
            runs.join(",\n")
        )
    }
}

/// Returns the last line that names a series, or 0 if there is none.
fn last_line_of_series(text: &str, series: &str) -> usize {
    let key = format!("\"series\": \"{series}\"");
    let lines = text.lines().enumerate();
    let named = lines.filter(|(_, line)| line.contains(&key)).last();
    named.map_or(0, |(index, _)| index + 1)
}
