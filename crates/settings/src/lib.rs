//! Defines the platform's settings, which a dispatcher receives at its start, and converts them to
//! the scheduler's cluster description. Durations are in microseconds.

#![warn(missing_docs, clippy::too_many_lines)]

mod class;
mod error;

pub use error::SettingsError;

use corkspan_scheduler::interface::*;
use serde::Deserialize;

/// Connect timeout, in microseconds, if the settings give neither a connect timeout nor a deadline.
const DEFAULT_CONNECT_TIMEOUT_US: u64 = 250_000;
/// Ratio of the shortest deadline to the connect timeout, if the settings give no connect timeout.
/// A connection that fails must leave enough time for a retry.
const DEADLINE_TO_CONNECT_TIMEOUT_RATIO: u64 = 4;

/// All settings.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    /// The number of dispatchers that share the nodes.
    #[serde(rename = "fleet-size")]
    scheduler_count: usize,
    /// The index of this dispatcher, from 0.
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
    /// The class's name in set-ups.
    #[serde(default)]
    pub name: String,
    effect: String,
    /// The scope within which set-ups with the same idempotency key are dropped.
    #[serde(rename = "dedup-scope")]
    deduplication_scope: Option<String>,
    /// The time within which an answer is on time.
    #[serde(rename = "on-time-us")]
    latency_objective_us: u64,
    /// The time that the class's clients wait for an answer.
    deadline_us: Option<u64>,
    /// The time for which idempotency keys are remembered.
    #[serde(rename = "memory-span-us")]
    deduplication_window_us: Option<u64>,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(expecting = "struct Tenant")]
pub struct TenantSettings {
    /// The tenant's name in set-ups.
    #[serde(default)]
    pub name: String,
}

/// Properties of machines and classes. Lists have an entry per class, tenant or machine type.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Family {
    /// Machines accept tasks until the requested cores reach this multiple of the machine's cores.
    #[serde(rename = "admit-cores")]
    admission_limit_cores: f64,
    /// Machines accept tasks until the requested memory reaches this multiple of the machine's
    /// memory.
    #[serde(rename = "accepts-memory")]
    admission_limit_memory: f64,
    /// Whether machines evict tasks of lower priority if a task would not fit otherwise.
    #[serde(rename = "makes-room", default)]
    preempts: bool,
    /// Whether an answer means that a task is accepted or that it is running.
    #[serde(rename = "ack")]
    placed_when: String,
    /// By class: the maximum share of busy cores at which tasks are still served in full.
    #[serde(rename = "class-calm")]
    target_utilization: Vec<f64>,
    /// By class: the index of the required machine type; negative for any.
    #[serde(rename = "needs-kind")]
    required_machine_type: Vec<i64>,
    /// By class: the maximum number of a service's tasks in one domain.
    #[serde(rename = "class-most")]
    max_per_domain: Vec<usize>,
    priority_by_class: Vec<u8>,
    /// By class: the domain over which a service's tasks are spread.
    #[serde(rename = "spread-by")]
    spread_domain: Vec<String>,
    /// The maximum number of offers to a node in slow start within a window.
    #[serde(rename = "young-limit")]
    slow_start_limit: f64,
    /// By machine type: cores.
    #[serde(rename = "kind-cores")]
    machine_type_cores: Vec<f64>,
    /// By machine type: memory.
    #[serde(rename = "kind-memory")]
    machine_type_memory: Vec<f64>,
    /// By tenant: the quota of cores requested at the same time.
    #[serde(rename = "share-cores", default)]
    quota_cores: Vec<f64>,
    /// Whether the node list reports unrequested capacity.
    #[serde(rename = "view")]
    list_reports_capacity: bool,
}

/// Limits of connections and attempts.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    max_attempts: usize,
    /// Whether dispatchers may send health checks to nodes.
    #[serde(rename = "probes")]
    health_checks: bool,
    /// The time after which the other side closes an idle connection; `None` if there is no limit.
    pub idle_close_us: Option<u64>,
    /// The time that a connection may take to be established.
    pub connect_timeout_us: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    /// The interval at which the node list is polled.
    #[serde(rename = "ask-every-us", default)]
    list_poll_interval_us: u64,
    /// The duration of a node's slow start.
    #[serde(rename = "cold-us")]
    slow_start_us: u64,
    /// The window in which offers count towards the slow start's limit.
    #[serde(rename = "fall-us")]
    slow_start_window_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Penalties {
    /// The share of a task's result that is lost by running it in another zone.
    #[serde(rename = "cross-zone", default)]
    cross_zone_cost: f64,
}

/// Converts microseconds to whole ticks of 0.1 ms, rounded down.
pub fn ticks_from_us(us: u64) -> Ticks {
    us / 100
}

impl Settings {
    /// Returns the cluster description for the scheduler.
    ///
    /// # Errors
    ///
    /// Returns an error if values contradict each other or are unknown.
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
            admission_limit: self.admission_limit(),
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

    /// Returns the time that a connection may take to be established. If the settings do not give
    /// it, it is a fraction of the shortest deadline.
    pub fn connect_timeout(&self) -> Ticks {
        let deadlines = self.classes.iter().filter_map(|class| class.deadline_us);
        let fraction_of_shortest = deadlines
            .min()
            .map(|us| us / DEADLINE_TO_CONNECT_TIMEOUT_RATIO);
        ticks_from_us(
            self.limits
                .connect_timeout_us
                .or(fraction_of_shortest)
                .unwrap_or(DEFAULT_CONNECT_TIMEOUT_US),
        )
    }

    /// Returns the longest time that clients wait for an answer, or `None` if a class has no
    /// deadline.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.classes
            .iter()
            .map(|class| class.deadline_us.map(ticks_from_us))
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// Returns whether set-ups of the class require an idempotency key.
    pub fn needs_idempotency_key(&self, class: usize) -> bool {
        self.classes
            .get(class)
            .is_some_and(|class| class.effect == "token")
    }

    /// Returns the largest total that any machine accepts, or `None` if there is no machine type.
    pub fn largest_acceptable(&self) -> Option<Resources> {
        let largest = self.machine_sizes().reduce(|one, other| one.max(other))?;
        Some(largest * self.admission_limit())
    }

    fn machine_sizes(&self) -> impl Iterator<Item = Resources> {
        let family = &self.family_info;
        std::iter::zip(&family.machine_type_cores, &family.machine_type_memory)
            .map(|(&cores, &memory)| Resources { cores, memory })
    }

    /// Returns the multiple of their size up to which machines accept requests.
    fn admission_limit(&self) -> Resources {
        Resources {
            cores: self.family_info.admission_limit_cores,
            memory: self.family_info.admission_limit_memory,
        }
    }
}
