//! The size that a fleet is to grow to.

use serde::{Deserialize, Serialize};

/// No figure of a size is larger: beyond this it is a typing error.
pub(crate) const MAX_FIGURE: f64 = 1e9;

/// What the fleet is to grow to, and what it may cost there. All figures are above 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, try_from = "UncheckedSize")]
pub struct FleetSize {
    /// Machines that run tasks.
    pub machines: f64,
    /// Task starts a second at the peak.
    pub starts_a_second: f64,
    /// Tasks that run at a time.
    pub running: f64,
    /// Teams that share the fleet.
    pub teams: f64,
    /// Versions of the configuration a day.
    pub versions_a_day: f64,
    /// Machines that are restarted or replaced a day.
    pub restarts_a_day: f64,
    /// Limit on the processor time of one dispatcher for control, in percent of a core.
    pub core_percent: f64,
    /// Limit on the memory of one dispatcher, in MiB.
    pub memory_mib: f64,
    /// Limit on the traffic of one dispatcher for control, in bytes a second.
    pub bytes_a_second: f64,
    /// Limit on the time until a version is in force everywhere, in seconds.
    pub in_force_s: f64,
    /// Dispatchers. Chosen, not given: docs/CAPACITY.md says why.
    pub dispatchers: f64,
    /// Allocations that wait at one dispatcher.
    pub waiting: f64,
    /// How often a second each machine's capacity is reported to each dispatcher.
    #[serde(rename = "room_told_a_second")]
    pub capacity_reports_a_second: f64,
}

/// A size as it is read, before its figures are checked.
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

/// A figure of a size is out of bounds.
#[derive(Debug, thiserror::Error)]
#[error("`{key}` is {value}, not above 0 and at most {MAX_FIGURE} of a size")]
struct OutOfBounds {
    key: &'static str,
    value: f64,
}

impl TryFrom<UncheckedSize> for FleetSize {
    type Error = OutOfBounds;

    fn try_from(read: UncheckedSize) -> Result<FleetSize, OutOfBounds> {
        let size = FleetSize {
            machines: read.machines,
            starts_a_second: read.starts_a_second,
            running: read.running,
            teams: read.teams,
            versions_a_day: read.versions_a_day,
            restarts_a_day: read.restarts_a_day,
            core_percent: read.core_percent,
            memory_mib: read.memory_mib,
            bytes_a_second: read.bytes_a_second,
            in_force_s: read.in_force_s,
            dispatchers: read.dispatchers,
            waiting: read.waiting,
            capacity_reports_a_second: read.capacity_reports_a_second,
        };
        let is_out_of_bounds = |value: f64| !(value > 0.0 && value <= MAX_FIGURE);
        match size
            .figures()
            .into_iter()
            .find(|(_, value)| is_out_of_bounds(*value))
        {
            Some((key, value)) => Err(OutOfBounds { key, value }),
            None => Ok(size),
        }
    }
}

impl FleetSize {
    /// All figures by their stored keys.
    fn figures(&self) -> [(&'static str, f64); 13] {
        [
            ("machines", self.machines),
            ("starts_a_second", self.starts_a_second),
            ("running", self.running),
            ("teams", self.teams),
            ("versions_a_day", self.versions_a_day),
            ("restarts_a_day", self.restarts_a_day),
            ("core_percent", self.core_percent),
            ("memory_mib", self.memory_mib),
            ("bytes_a_second", self.bytes_a_second),
            ("in_force_s", self.in_force_s),
            ("dispatchers", self.dispatchers),
            ("waiting", self.waiting),
            ("room_told_a_second", self.capacity_reports_a_second),
        ]
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
