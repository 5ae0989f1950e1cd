//! A kept result: the size, and the runs that were measured. What does not fit is told with its
//! line.

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What the fleet is to grow to, and what it may cost there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, try_from = "UncheckedSize")]
pub struct FleetSize {
    pub machines: f64,
    pub starts_a_second: f64,
    pub running: f64,
    pub teams: f64,
    pub versions_a_day: f64,
    pub restarts_a_day: f64,
    /// Of one dispatcher, for control.
    pub core_percent: f64,
    pub memory_mib: f64,
    pub bytes_a_second: f64,
    /// A version is in force everywhere within.
    pub in_force_s: f64,
    /// Chosen, not given: see the page.
    pub dispatchers: f64,
    pub waiting: f64,
    /// Times that each machine's room is told a second, to each dispatcher.
    #[serde(rename = "room_told_a_second")]
    pub capacity_reports_a_second: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UncheckedSize {
    machines: f64,
    starts_a_second: f64,
    running: f64,
    teams: f64,
    versions_a_day: f64,
    restarts_a_day: f64,
    core_percent: f64,
    memory_mib: f64,
    bytes_a_second: f64,
    in_force_s: f64,
    dispatchers: f64,
    waiting: f64,
    #[serde(rename = "room_told_a_second")]
    capacity_reports_a_second: f64,
}

/// No figure of a size is larger: beyond, it is a slip of the pen.
const MAX_FIGURE: f64 = 1e9;

impl TryFrom<UncheckedSize> for FleetSize {
    type Error = String;

    fn try_from(own: UncheckedSize) -> Result<FleetSize, String> {
        let size = FleetSize {
            machines: own.machines,
            starts_a_second: own.starts_a_second,
            running: own.running,
            teams: own.teams,
            versions_a_day: own.versions_a_day,
            restarts_a_day: own.restarts_a_day,
            core_percent: own.core_percent,
            memory_mib: own.memory_mib,
            bytes_a_second: own.bytes_a_second,
            in_force_s: own.in_force_s,
            dispatchers: own.dispatchers,
            waiting: own.waiting,
            capacity_reports_a_second: own.capacity_reports_a_second,
        };
        let all = [
            ("machines", size.machines),
            ("starts_a_second", size.starts_a_second),
            ("running", size.running),
            ("teams", size.teams),
            ("versions_a_day", size.versions_a_day),
            ("restarts_a_day", size.restarts_a_day),
            ("core_percent", size.core_percent),
            ("memory_mib", size.memory_mib),
            ("bytes_a_second", size.bytes_a_second),
            ("in_force_s", size.in_force_s),
            ("dispatchers", size.dispatchers),
            ("waiting", size.waiting),
            ("room_told_a_second", size.capacity_reports_a_second),
        ];
        match all
            .iter()
            .find(|(_, value)| !(*value > 0.0 && *value <= MAX_FIGURE))
        {
            Some((name, value)) => Err(format!(
                "`{name}` is {value}, not above 0 and at most {MAX_FIGURE} of a size"
            )),
            None => Ok(size),
        }
    }
}

/// The size of issue 37.
pub const PLANNED_SIZE: FleetSize = FleetSize {
    machines: 1_300.0,
    starts_a_second: 330.0,
    running: 4_300.0,
    teams: 350.0,
    versions_a_day: 530.0,
    restarts_a_day: 76.0,
    core_percent: 1.2,
    memory_mib: 256.0,
    bytes_a_second: 10_000.0,
    in_force_s: 14.0,
    dispatchers: 10.0,
    waiting: 300.0,
    capacity_reports_a_second: 1.0,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Axis {
    Machines,
    Dispatchers,
    Tasks,
    Waiting,
    Versions,
}

impl Axis {
    pub const ALL: [Axis; 5] = [
        Axis::Machines,
        Axis::Dispatchers,
        Axis::Tasks,
        Axis::Waiting,
        Axis::Versions,
    ];

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

/// One place on an axis in one round.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    #[serde(deserialize_with = "place")]
    pub at: f64,
    pub round: u32,
    /// Processes that ran or waited for a processor, by the machine's own mean over a minute.
    pub load: f64,
    /// Why it tells nothing, if it does not.
    #[serde(rename = "spoilt", default, skip_serializing_if = "Option::is_none")]
    pub invalid: Option<String>,
    #[serde(deserialize_with = "figures")]
    pub figures: BTreeMap<String, f64>,
}

// Checked as they are read: of a point that was checked afterwards, the reader would tell the next
// line.
fn place<'a, D: Deserializer<'a>>(from: D) -> Result<f64, D::Error> {
    let at = f64::deserialize(from)?;
    (0.0..=MAX_FIGURE)
        .contains(&at)
        .then_some(at)
        .ok_or_else(|| D::Error::custom(format!("a point is at {at}, which is no place")))
}

fn figures<'a, D: Deserializer<'a>>(from: D) -> Result<BTreeMap<String, f64>, D::Error> {
    let all = BTreeMap::<String, f64>::deserialize(from)?;
    (!all.is_empty())
        .then_some(all)
        .ok_or_else(|| D::Error::custom("a point has no figures"))
}

/// Points along one axis, all else the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub axis: Axis,
    pub series: String,
    pub command: String,
    pub seed: u64,
    pub cores: usize,
    pub memory_mib: u64,
    /// What was the same at each point.
    pub fixed: String,
    /// The places that were to be measured, in each of so many rounds.
    pub places: Vec<f64>,
    pub rounds: u32,
    pub points: Vec<Point>,
}

impl Run {
    /// Points of one figure that were not spoilt.
    pub fn figure(&self, name: &str) -> Vec<(f64, f64)> {
        let sound = self.points.iter().filter(|point| point.invalid.is_none());
        sound
            .filter_map(|point| Some((point.at, *point.figures.get(name)?)))
            .collect()
    }

    pub fn invalid_points(&self) -> usize {
        self.points
            .iter()
            .filter(|point| point.invalid.is_some())
            .count()
    }

    /// Places with no sound point: a line without them is not what was to be measured.
    pub fn missing_places(&self) -> Vec<f64> {
        let sound = |place: &f64| {
            self.points
                .iter()
                .any(|point| point.at == *place && point.invalid.is_none())
        };
        self.places
            .iter()
            .copied()
            .filter(|place| !sound(place))
            .collect()
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacityResult {
    pub size: FleetSize,
    pub runs: Vec<Run>,
}

/// A file that is no kept result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {reason}")]
pub struct ResultError {
    pub line: usize,
    pub reason: String,
}

impl CapacityResult {
    pub fn read(text: &str) -> Result<CapacityResult, ResultError> {
        let result: CapacityResult = serde_json::from_str(text).map_err(|reason| {
            let message = reason.to_string();
            let short = message
                .rsplit_once(" at line ")
                .map_or(message.as_str(), |(short, _)| short);
            ResultError {
                line: reason.line(),
                reason: short.into(),
            }
        })?;
        let mut seen = BTreeSet::new();
        match result
            .runs
            .iter()
            .find(|run| !seen.insert((run.axis, run.series.clone())))
        {
            Some(duplicate) => {
                let named = format!("\"series\": \"{}\"", duplicate.series);
                let line = text
                    .lines()
                    .enumerate()
                    .filter(|(_, own)| own.contains(&named))
                    .last();
                let reason = format!(
                    "a second run of {} / {}",
                    duplicate.axis.name(),
                    duplicate.series
                );
                Err(ResultError {
                    line: line.map_or(0, |(at, _)| at + 1),
                    reason,
                })
            }
            None => Ok(result),
        }
    }

    pub fn run(&self, axis: Axis, series: &str) -> Option<&Run> {
        self.runs
            .iter()
            .find(|run| run.axis == axis && run.series == series)
    }

    /// In the place of an earlier run of the same series.
    pub fn insert(&mut self, run: Run) {
        self.runs
            .retain(|own| (own.axis, &own.series) != (run.axis, &run.series));
        self.runs.push(run);
        self.runs
            .sort_by(|one, other| (one.axis, &one.series).cmp(&(other.axis, &other.series)));
    }

    /// One point a line, so that what does not fit is found.
    pub fn to_json(&self) -> String {
        let whole = serde_json::to_value(self).expect("numbers and texts alone");
        let mut out = format!("{{\n\"size\": {},\n\"runs\": [", whole["size"]);
        for (at, run) in self.runs.iter().enumerate() {
            let json = |value: &dyn Fn(&Run) -> serde_json::Value| value(run).to_string();
            let comma = if at == 0 { "" } else { "," };
            out.push_str(&format!(
                "{comma}\n{{\"axis\": \"{}\", \"series\": \"{}\",\n\"command\": {},\n\"seed\": {}, \"cores\": {}, \"memory_mib\": {},\n\"fixed\": {},\n\"places\": {}, \"rounds\": {},\n\"points\": [",
                run.axis.name(),
                run.series,
                json(&|run| run.command.clone().into()),
                run.seed,
                run.cores,
                run.memory_mib,
                json(&|run| run.fixed.clone().into()),
                json(&|run| run.places.clone().into()),
                run.rounds,
            ));
            let lines: Vec<String> = run
                .points
                .iter()
                .map(|point| serde_json::to_string(point).expect("numbers and texts alone"))
                .collect();
            out.push_str(&format!("\n{}\n]}}", lines.join(",\n")));
        }
        out.push_str("\n]\n}\n");
        out
    }
}
