//! Defines the planned size of a fleet and checks its figures.

use serde::{Deserialize, Serialize};

/// The maximum of any figure of a size; a larger figure is a typing error.
pub(crate) const MAX_FIGURE: f64 = 1e9;

/// The planned size of a fleet, and the limits on its cost at that size. All figures are above 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, try_from = "UncheckedSize")]
pub struct FleetSize {
    /// The number of machines that run tasks.
    pub machines: f64,
    /// The task starts per second at the peak.
    pub starts_a_second: f64,
    /// The number of tasks that run at a time.
    pub running: f64,
    /// The number of teams that share the fleet.
    pub teams: f64,
    /// The number of configuration versions per day.
    pub versions_a_day: f64,
    /// The number of machines that are restarted or replaced per day.
    pub restarts_a_day: f64,
    /// The limit on the processor time of one dispatcher for control, in percent of a core.
    pub core_percent: f64,
    /// The limit on the memory of one dispatcher, in MiB.
    pub memory_mib: f64,
    /// The limit on the control traffic of one dispatcher, in bytes per second.
    pub bytes_a_second: f64,
    /// The limit on the time until a version is active everywhere, in seconds.
    pub in_force_s: f64,
    /// The number of dispatchers; docs/CAPACITY.md explains the choice.
    pub dispatchers: f64,
    /// The number of allocations that wait at one dispatcher.
    pub waiting: f64,
    /// The capacity reports per second about each machine to each dispatcher.
    #[serde(rename = "room_told_a_second")]
    pub capacity_reports_a_second: f64,
}

/// A size as parsed, before its figures are checked.
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

/// The error for a figure of a size that is out of bounds.
#[derive(Debug, thiserror::Error)]
#[error("`{key}` is {value}, but must be above 0 and at most {MAX_FIGURE}")]
struct OutOfBounds {
    key: &'static str,
    value: f64,
}

impl TryFrom<UncheckedSize> for FleetSize {
    type Error = OutOfBounds;

    fn try_from(unchecked: UncheckedSize) -> Result<FleetSize, OutOfBounds> {
        let size = FleetSize {
            machines: unchecked.machines,
            starts_a_second: unchecked.starts_a_second,
            running: unchecked.running,
            teams: unchecked.teams,
            versions_a_day: unchecked.versions_a_day,
            restarts_a_day: unchecked.restarts_a_day,
            core_percent: unchecked.core_percent,
            memory_mib: unchecked.memory_mib,
            bytes_a_second: unchecked.bytes_a_second,
            in_force_s: unchecked.in_force_s,
            dispatchers: unchecked.dispatchers,
            waiting: unchecked.waiting,
            capacity_reports_a_second: unchecked.capacity_reports_a_second,
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
    /// Returns all figures with their stored keys.
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

/// The size that issue 37 plans for.
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
