//! The settings that the scheduler acts on.

use crate::interface::{MachineTypeId, Resources, Ticks, ZoneId};

/// What a second run of an allocation would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// No harm: it may be retried anywhere.
    Idempotent,
    /// Machines drop repeats by an idempotency key.
    Deduplicated {
        /// The machines of one such domain drop them; all machines if there is none.
        scope: Option<Domain>,
        /// So long after the dispatch of the first attempt that may have run.
        window: Ticks,
    },
    /// It must not run twice.
    NotRetryable,
}

/// A failure domain: repeats are dropped within it, or replicas limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Domain {
    /// One machine.
    Machine,
    /// A small group of related machines.
    Cell,
    /// An availability zone.
    Zone,
}

/// What the services of a class have in common.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Whether an allocation may run twice.
    pub retry_safety: RetrySafety,
    /// A start within this time is in time.
    pub latency_objective: Ticks,
    /// Served in full while the cores are busy up to this share.
    pub target_utilization: f64,
    /// Higher ones go first.
    pub priority: u8,
    /// The only machine type that it runs on, if there is one.
    pub machine_type: Option<MachineTypeId>,
    /// Over which domains the replicas of each service are spread, with so many in one of them at
    /// most; none if they need not be.
    pub spread: Option<(Domain, usize)>,
}

/// Who requests allocations.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Cores that it may request at a time, over all schedulers; none if there is no quota.
    pub quota_cores: Option<f64>,
}

/// The attempts that a machine bears while it warms up.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// It has warmed up after this time at the latest.
    pub duration: Ticks,
    /// The time over which attempts are counted.
    pub window: Ticks,
    /// Always borne within a window, from all schedulers together.
    pub max_offers: f64,
}

/// The settings that the scheduler acts on, read at start and with each new configuration.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Our zone.
    pub zone: ZoneId,
    /// Our index among the schedulers that share the machines, from 0.
    pub scheduler_index: usize,
    /// How many schedulers share the machines.
    pub scheduler_count: usize,
    /// The size of each machine type.
    pub machine_types: Vec<Resources>,
    /// The service classes.
    pub service_classes: Vec<ServiceClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// Machines accept until the requests reach this multiple of their size.
    pub admission_limit: Resources,
    /// Machines evict lower priorities where a request would not fit.
    pub preempts: bool,
    /// The attempts that an allocation may have.
    pub max_attempts: usize,
    /// Placed is reported when the allocation runs, not when it is accepted.
    pub placed_means_running: bool,
    /// The endpoint list tells the capacity that is not requested.
    pub list_reports_capacity: bool,
    /// Health checks may be sent.
    pub health_checks: bool,
    /// The longest time that the endpoint list may go unasked; none if it comes by itself.
    pub list_poll_interval: Option<Ticks>,
    /// What a machine bears while it warms up.
    pub slow_start: SlowStart,
    /// An attempt may wait so long for a connection before it leaves; 0 where it leaves at once.
    pub connect_timeout: Ticks,
    /// Part of the result that running in another zone costs.
    pub cross_zone_cost: f64,
    /// The caller learns by itself when what is placed on a machine is lost with it.
    pub caller_detects_losses: bool,
}
