//! The platform's settings, as a dispatcher is handed them at its start, and what the scheduler is
//! handed of them. Durations are microseconds.

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
    /// How many dispatchers share the nodes.
    #[serde(rename = "fleet-size")]
    scheduler_count: usize,
    /// The number of this dispatcher, from 0.
    #[serde(rename = "me")]
    scheduler_index: usize,
    /// The index of the dispatcher's zone.
    #[serde(rename = "locality")]
    zone: usize,
    /// The service classes.
    pub classes: Vec<Class>,
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine types.
    #[serde(rename = "skus")]
    pub machine_types: Vec<String>,
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
    /// Where repeats with one key are dropped.
    #[serde(rename = "dedup-scope")]
    deduplication_scope: Option<String>,
    /// Answers are on time within this.
    #[serde(rename = "on-time-us")]
    latency_objective_us: u64,
    /// How long its clients wait for an answer.
    deadline_us: Option<u64>,
    /// How long keys are remembered.
    #[serde(rename = "memory-span-us")]
    deduplication_window_us: Option<u64>,
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
    /// Machines accept until the requested cores reach this multiple of theirs.
    #[serde(rename = "admit-cores")]
    admission_limit_cores: f64,
    /// The same for memory.
    #[serde(rename = "accepts-memory")]
    admission_limit_memory: f64,
    /// Machines evict lower priorities where a task would not fit.
    #[serde(rename = "makes-room", default)]
    preempts: bool,
    /// Whether an answer means accepted or running.
    #[serde(rename = "ack")]
    placed_when: String,
    /// By class: served in full while the cores are busy up to this share.
    #[serde(rename = "class-calm")]
    target_utilization: Vec<f64>,
    /// By class: the index of a machine type, negative for any.
    #[serde(rename = "needs-kind")]
    required_machine_type: Vec<i64>,
    /// By class: the maximum of a service's tasks in one domain.
    #[serde(rename = "class-most")]
    max_per_domain: Vec<usize>,
    priority_by_class: Vec<u8>,
    /// By class: the domain over which a service's tasks are spread.
    #[serde(rename = "spread-by")]
    spread_domain: Vec<String>,
    /// Offers that a node that is warming up bears within a window.
    #[serde(rename = "young-limit")]
    slow_start_limit: f64,
    /// By machine type.
    #[serde(rename = "kind-cores")]
    machine_type_cores: Vec<f64>,
    /// By machine type.
    #[serde(rename = "kind-memory")]
    machine_type_memory: Vec<f64>,
    /// By tenant: cores requested at a time that are within its quota.
    #[serde(rename = "share-cores", default)]
    quota_cores: Vec<f64>,
    /// The list of nodes reports capacity that nobody has requested.
    #[serde(rename = "view")]
    list_reports_capacity: bool,
}

/// Limits of connections and attempts.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    max_attempts: usize,
    /// Whether nodes may be sent health checks.
    #[serde(rename = "probes")]
    health_checks: bool,
    /// How long a connection may be without traffic before the other side closes it; none where
    /// there is no such limit.
    pub idle_close_us: Option<u64>,
    /// How long a connection may take to be established.
    pub connect_timeout_us: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    /// How often the list of nodes is polled.
    #[serde(rename = "ask-every-us", default)]
    list_poll_interval_us: u64,
    /// How long a node is warming up.
    #[serde(rename = "cold-us")]
    slow_start_us: u64,
    /// The window of the slow start's limit.
    #[serde(rename = "fall-us")]
    slow_start_window_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Penalties {
    /// Part of the result that running in another zone costs.
    #[serde(rename = "cross-zone", default)]
    cross_zone_cost: f64,
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
        if family.machine_type_cores.len() != self.machine_types.len()
            || family.machine_type_memory.len() != self.machine_types.len()
        {
            return Err(SettingsError::MachineTypeSizes);
        }
        if self.zone >= self.zones.len() {
            return Err(SettingsError::Locality);
        }
        Ok(Cluster {
            zone: ZoneId(self.zone),
            scheduler_index: self.scheduler_index,
            scheduler_count: self.scheduler_count,
            machine_types: self.machine_sizes().collect(),
            service_classes: (0..self.classes.len())
                .map(|index| self.service_class(index))
                .collect::<Result<_, _>>()?,
            tenants: (0..self.tenants.len())
                .map(|index| Tenant {
                    quota_cores: family.quota_cores.get(index).copied(),
                })
                .collect(),
            admission_limit: self.accept_factor(),
            preempts: family.preempts,
            max_attempts: self.limits.max_attempts,
            placed_means_running: family.placed_when == "running",
            list_reports_capacity: family.list_reports_capacity,
            health_checks: self.limits.health_checks,
            list_poll_interval: (self.discovery == "on_request")
                .then(|| ticks_from_us(self.rules.list_poll_interval_us)),
            slow_start: SlowStart {
                duration: ticks_from_us(self.rules.slow_start_us),
                window: ticks_from_us(self.rules.slow_start_window_us),
                max_attempts: family.slow_start_limit,
            },
            connect_timeout: self.connect_timeout(),
            cross_zone_cost: self.penalties.cross_zone_cost,
            caller_detects_losses: true,
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
        std::iter::zip(&family.machine_type_cores, &family.machine_type_memory)
            .map(|(&cores, &memory)| Resources { cores, memory })
    }

    /// Machines accept until what is requested reaches this multiple of their size.
    fn accept_factor(&self) -> Resources {
        Resources {
            cores: self.family_info.admission_limit_cores,
            memory: self.family_info.admission_limit_memory,
        }
    }
}
