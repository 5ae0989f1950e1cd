//! The settings of the scheduler.

use crate::interface::{MachineTypeId, Resources, Ticks, ZoneId};

/// The retry safety of an allocation: the effect of running it a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It does no harm, so the allocation may be retried on any machine.
    Idempotent,
    /// Machines drop repeated attempts with the same idempotency key.
    Deduplicated {
        /// The domain whose machines drop them together; `None` if all machines do.
        scope: Option<Domain>,
        /// The time for which they are dropped, from the dispatch of the first attempt that may
        /// have run.
        window: Ticks,
    },
    /// The allocation must not run twice.
    NotRetryable,
}

/// A failure domain, within which repeated attempts are dropped or replicas are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Domain {
    /// One machine.
    Machine,
    /// A small group of related machines.
    Cell,
    /// An availability zone.
    Zone,
}

/// The settings shared by the services of a class.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Whether an allocation may run twice.
    pub retry_safety: RetrySafety,
    /// The time within which an allocation should have started.
    pub latency_objective: Ticks,
    /// The share of a machine's cores in use up to which allocations are served in full.
    pub target_utilization: f64,
    /// The priority; higher values take precedence.
    pub priority: u8,
    /// The only machine type on which allocations run; `None` if they run on any.
    pub machine_type: Option<MachineTypeId>,
    /// The kind of domain over which the replicas of each service are spread, and the maximum
    /// number of replicas in one such domain; `None` if they need not be spread.
    pub spread: Option<(Domain, usize)>,
}

/// A tenant, which requests allocations.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The cores that it may have requested at a time, over all schedulers; `None` without a quota.
    pub quota_cores: Option<f64>,
}

/// The limit of attempts to a machine while it warms up.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// The time after which a machine has certainly warmed up.
    pub duration: Ticks,
    /// The time over which attempts are counted.
    pub window: Ticks,
    /// The attempts that a machine can always take within a window, from all schedulers together.
    pub max_attempts: f64,
}

/// The settings of the scheduler, set at start and with each new configuration.
#[derive(Clone, Debug)]
pub struct Cluster {
    /// Our zone.
    pub zone: ZoneId,
    /// Our index among the schedulers that share the machines, from 0.
    pub scheduler_index: usize,
    /// The number of schedulers that share the machines.
    pub scheduler_count: usize,
    /// The size of each machine type.
    pub machine_types: Vec<Resources>,
    /// The service classes.
    pub service_classes: Vec<ServiceClass>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The multiple of its size up to which a machine accepts requests.
    pub admission_limit: Resources,
    /// Whether machines preempt allocations of lower priority when a request would not fit.
    pub preempts: bool,
    /// The maximum number of attempts for an allocation.
    pub max_attempts: usize,
    /// Whether an allocation is reported as placed when it runs rather than when it is accepted.
    pub placed_means_running: bool,
    /// Whether the endpoint list reports each machine's capacity that isn't requested.
    pub list_reports_capacity: bool,
    /// Whether health checks may be sent.
    pub health_checks: bool,
    /// The maximum time between two requests for the endpoint list; `None` if it arrives
    /// unrequested.
    pub list_poll_interval: Option<Ticks>,
    /// The limit of attempts to a machine while it warms up.
    pub slow_start: SlowStart,
    /// The maximum time that an attempt waits for a connection before it is sent; 0 if attempts are
    /// sent at once.
    pub connect_timeout: Ticks,
    /// The share of an allocation's result that is lost by running it in another zone.
    pub cross_zone_cost: f64,
    /// Whether the caller itself detects when allocations are lost with their machine.
    pub caller_detects_losses: bool,
}
