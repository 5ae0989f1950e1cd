//! The settings that an instance is handed at its start, and what the decisions are handed of them.

use corkspan_scheduler::interface::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Facts {
    fleet_size: usize,
    me: usize,
    locality: usize,
    pub classes: Vec<Class>,
    pub zones: Vec<String>,
    pub skus: Vec<String>,
    #[serde(default)]
    pub tenants: Vec<TenantSettings>,
    discovery: String,
    family_info: Family,
    pub limits: Limits,
    rules: Rules,
    penalties: Penalties,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Class {
    #[serde(default)]
    pub name: String,
    effect: String,
    dedup_scope: Option<String>,
    on_time_us: u64,
    /// So long its owners wait for an answer.
    deadline_us: Option<u64>,
    memory_span_us: Option<u64>,
}

#[derive(Deserialize)]
#[serde(expecting = "struct Tenant")]
pub struct TenantSettings {
    #[serde(default)]
    pub name: String,
}

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

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Limits {
    max_attempts: usize,
    probes: bool,
    /// A connection without traffic is closed after so long; none where there is no such limit.
    pub idle_close_us: Option<u64>,
    /// So long a connection may take to come up.
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

/// Microseconds as whole tenths of a millisecond, never more than was given.
pub fn tenths(us: u64) -> Ticks {
    us / 100
}

impl Facts {
    pub fn cluster(&self) -> Result<Cluster, String> {
        let family = &self.family_info;
        if family.kind_cores.len() != self.skus.len() || family.kind_memory.len() != self.skus.len()
        {
            return Err(
                "family-info.kind-cores and kind-memory must have an entry for each of skus".into(),
            );
        }
        if self.locality >= self.zones.len() {
            return Err("locality names none of zones".into());
        }
        Ok(Cluster {
            zone: ZoneId(self.locality),
            scheduler_index: self.me,
            scheduler_count: self.fleet_size,
            machine_types: std::iter::zip(&family.kind_cores, &family.kind_memory)
                .map(|(&cores, &memory)| Resources { cores, memory })
                .collect(),
            service_classes: (0..self.classes.len())
                .map(|index| self.track(index))
                .collect::<Result<_, _>>()?,
            tenants: (0..self.tenants.len())
                .map(|index| Tenant {
                    quota_cores: family.share_cores.get(index).copied(),
                })
                .collect(),
            admission_limit: Resources {
                cores: family.admit_cores,
                memory: family.accepts_memory,
            },
            preempts: family.makes_room,
            max_attempts: self.limits.max_attempts,
            placed_means_running: family.ack == "running",
            list_reports_capacity: family.view,
            health_checks: self.limits.probes,
            list_poll_interval: (self.discovery == "on_request")
                .then(|| tenths(self.rules.ask_every_us)),
            slow_start: SlowStart {
                duration: tenths(self.rules.cold_us),
                window: tenths(self.rules.fall_us),
                max_offers: family.young_limit,
            },
            connect_timeout: self.opens_within(),
            cross_zone_cost: self.penalties.cross_zone,
            reports_losses: true,
        })
    }

    /// So long a connection may take to come up. Where the settings don't say, no more than a
    /// quarter of what the most impatient owners wait: another try must still be worth it.
    pub fn opens_within(&self) -> Ticks {
        let shortest = self
            .classes
            .iter()
            .filter_map(|class| class.deadline_us)
            .min();
        tenths(
            self.limits
                .connect_timeout_us
                .or(shortest.map(|us| us / 4))
                .unwrap_or(250_000),
        )
    }

    /// The longest that owners wait for an answer; none where the settings don't say.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.classes
            .iter()
            .map(|class| class.deadline_us.map(tenths))
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .max()
    }

    /// Whether repeats of the class are known by a key.
    pub fn keyed(&self, class: usize) -> bool {
        self.classes
            .get(class)
            .is_some_and(|class| class.effect == "token")
    }

    /// The most that any machine accepts in all.
    pub fn largest(&self) -> Option<Resources> {
        let family = &self.family_info;
        let kinds = std::iter::zip(&family.kind_cores, &family.kind_memory);
        let sizes = kinds.map(|(&cores, &memory)| Resources { cores, memory });
        let largest = sizes.reduce(|one, other| one.max(other))?;
        Some(
            largest
                * Resources {
                    cores: family.admit_cores,
                    memory: family.accepts_memory,
                },
        )
    }

    fn track(&self, index: usize) -> Result<ServiceClass, String> {
        let (class, family) = (&self.classes[index], &self.family_info);
        let lacks = |part: &str| format!("{part} has no entry for class {index}");
        let repeat = match class.effect.as_str() {
            "pure" => RetrySafety::Idempotent,
            "side_effect" => RetrySafety::NotRetryable,
            "token" => RetrySafety::Deduplicated {
                scope: match class.dedup_scope.as_deref() {
                    Some("all") => None,
                    Some("zone") => Some(Domain::Zone),
                    Some("cell") => Some(Domain::Cell),
                    other => {
                        return Err(format!("dedup-scope of class {index} can't be {other:?}"));
                    }
                },
                window: tenths(
                    class
                        .memory_span_us
                        .ok_or_else(|| lacks("memory-span-us"))?,
                ),
            },
            other => return Err(format!("effect of class {index} can't be `{other}`")),
        };
        let most = *family
            .class_most
            .get(index)
            .ok_or_else(|| lacks("class-most"))?;
        let spread = match family
            .spread_by
            .get(index)
            .ok_or_else(|| lacks("spread-by"))?
            .as_str()
        {
            "silent" => None,
            "machine" => Some((Domain::Machine, most)),
            "cell" => Some((Domain::Cell, most)),
            "zone" => Some((Domain::Zone, most)),
            other => return Err(format!("spread-by of class {index} can't be `{other}`")),
        };
        let kind = *family
            .needs_kind
            .get(index)
            .ok_or_else(|| lacks("needs-kind"))?;
        Ok(ServiceClass {
            retry_safety: repeat,
            latency_objective: tenths(class.on_time_us),
            target_utilization: *family
                .class_calm
                .get(index)
                .ok_or_else(|| lacks("class-calm"))?,
            priority: *family
                .priority_by_class
                .get(index)
                .ok_or_else(|| lacks("priority-by-class"))?,
            machine_type: usize::try_from(kind).ok().map(MachineTypeId),
            spread,
        })
    }
}
