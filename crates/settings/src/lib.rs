//! The platform's settings, as a dispatcher is handed them at its start, and what the scheduler is
//! handed of them. Fields are named by the keys of the settings; durations are microseconds.

#![warn(missing_docs, clippy::too_many_lines)]

mod class;
mod error;

pub use error::SettingsError;

use corkspan_scheduler::interface::*;
use serde::Deserialize;

/// How long a connection may take to be established, where the settings say neither that nor a
/// deadline.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;
/// Of the shortest deadline a connection may take one in so many parts to be established, where the
/// settings do not say: a retry must still be of use.
const DEADLINES_PER_CONNECT_TIMEOUT: u64 = 4;

/// All settings.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    fleet_size: usize,
    me: usize,
    locality: usize,
    /// The service classes.
    pub classes: Vec<Class>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine types.
    pub skus: Vec<String>,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    discovery: String,
    family_info: Family,
    /// Limits of connections and attempts.
    pub limits: Limits,
    rules: Rules,
    penalties: Penalties,
}

/// A service class.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Class {
    /// Its name in set-ups.
    #[serde(default)]
    pub name: String,
    effect: String,
    dedup_scope: Option<String>,
    on_time_us: u64,
    /// How long its clients wait for an answer.
    deadline_us: Option<u64>,
    memory_span_us: Option<u64>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct Tenant")]
pub struct TenantSettings {
    /// Its name in set-ups.
    #[serde(default)]
    pub name: String,
}

/// What machines and classes are like. Lists are by class, or by machine type.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Family {
    admit_cores: f64,
    accepts_memory: f64,
    #[serde(default)]
    makes_room: bool,
    ack: String,
    class_calm: Vec<f64>,
    needs_kind: Vec<i64>,
    class_most: Vec<usize>,
    priority_by_class: Vec<u8>,
    spread_by: Vec<String>,
    young_limit: f64,
    kind_cores: Vec<f64>,
    kind_memory: Vec<f64>,
    #[serde(default)]
    share_cores: Vec<f64>,
    view: bool,
}

/// Limits of connections and attempts.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    max_attempts: usize,
    probes: bool,
    /// How long a connection may be without traffic before the other side closes it; none where
    /// there is no such limit.
    pub idle_close_us: Option<u64>,
    /// How long a connection may take to be established.
    pub connect_timeout_us: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(default)]
    ask_every_us: u64,
    cold_us: u64,
    fall_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Penalties {
    #[serde(default)]
    cross_zone: f64,
}

/// Microseconds as whole ticks of 0.1 ms, rounded down.
pub fn ticks_from_us(us: u64) -> Ticks {
    us / 100
}

impl Settings {
    /// What the scheduler is handed.
    ///
    /// # Errors
    ///
    /// Values that contradict each other or are not known.
    pub fn cluster(&self) -> Result<Cluster, SettingsError> {
        let family = &self.family_info;
        if family.kind_cores.len() != self.skus.len() || family.kind_memory.len() != self.skus.len()
        {
            return Err(SettingsError::MachineTypeSizes);
        }
        if self.locality >= self.zones.len() {
            return Err(SettingsError::Locality);
        }
        Ok(Cluster {
            zone: ZoneId(self.locality),
            scheduler_index: self.me,
            scheduler_count: self.fleet_size,
            machine_types: self.machine_sizes().collect(),
            service_classes: (0..self.classes.len())
                .map(|index| self.service_class(index))
                .collect::<Result<_, _>>()?,
            tenants: (0..self.tenants.len())
                .map(|index| Tenant {
                    quota_cores: family.share_cores.get(index).copied(),
                })
                .collect(),
            admission_limit: self.accept_factor(),
            preempts: family.makes_room,
            max_attempts: self.limits.max_attempts,
            placed_means_running: family.ack == "running",
            list_reports_capacity: family.view,
            health_checks: self.limits.probes,
            list_poll_interval: (self.discovery == "on_request")
                .then(|| ticks_from_us(self.rules.ask_every_us)),
            slow_start: SlowStart {
                duration: ticks_from_us(self.rules.cold_us),
                window: ticks_from_us(self.rules.fall_us),
                max_offers: family.young_limit,
            },
            connect_timeout: self.connect_timeout(),
            cross_zone_cost: self.penalties.cross_zone,
            reports_losses: true,
        })
    }

    /// How long a connection may take to be established. Where the settings do not say, a part of
    /// the shortest deadline.
    pub fn connect_timeout(&self) -> Ticks {
        let deadlines = self.classes.iter().filter_map(|class| class.deadline_us);
        let part_of_shortest = deadlines.min().map(|us| us / DEADLINES_PER_CONNECT_TIMEOUT);
        ticks_from_us(
            self.limits
                .connect_timeout_us
                .or(part_of_shortest)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT_US),
        )
    }

    /// The longest time that clients wait for an answer; none where the settings do not say it of
    /// each class.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.classes
            .iter()
            .map(|class| class.deadline_us.map(ticks_from_us))
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// Whether set-ups of the class need an idempotency key.
    pub fn needs_idempotency_key(&self, class: usize) -> bool {
        self.classes
            .get(class)
            .is_some_and(|class| class.effect == "token")
    }

    /// The most that any machine accepts in all; none where there is no machine type.
    pub fn largest_acceptable(&self) -> Option<Resources> {
        let largest = self.machine_sizes().reduce(|one, other| one.max(other))?;
        Some(largest * self.accept_factor())
    }

    fn machine_sizes(&self) -> impl Iterator<Item = Resources> {
        let family = &self.family_info;
        std::iter::zip(&family.kind_cores, &family.kind_memory)
            .map(|(&cores, &memory)| Resources { cores, memory })
    }

    /// Machines accept until what is requested reaches this multiple of their size.
    fn accept_factor(&self) -> Resources {
        Resources {
            cores: self.family_info.admit_cores,
            memory: self.family_info.accepts_memory,
        }
    }
}
