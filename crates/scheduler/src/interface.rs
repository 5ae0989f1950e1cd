//! What the decisions are handed and what they hand back: plain values, free of any wire.

/// A moment or a length of time in whole tenths of a millisecond. Callers round moments down and
/// allowances down, so that "earlier than" here is never later than in the caller's finer time.
pub type Ticks = u64;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

id! {
    /// One placing of an allocation; a returning allocation gets a new one.
    AllocationId(u64);
    /// The same at every scheduler, also after the machine's process restarts.
    MachineId(u32);
    /// The allocations of a service have one track, one shape and one program. The same at every scheduler.
    ServiceId(u64);
    ServiceClassId(usize);
    TenantId(usize);
    MachineTypeId(usize);
    ZoneId(usize);
    /// A small group of related machines.
    CellId(u64);
}

/// Cores and memory, asked, used or offered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cores: f64,
    pub memory: f64,
}

impl Resources {
    pub const ONE: Resources = Resources {
        cores: 1.0,
        memory: 1.0,
    };

    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.max(other.cores),
            memory: self.memory.max(other.memory),
        }
    }

    pub fn min(self, other: Resources) -> Resources {
        Resources {
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    pub fn fits_in(self, limit: Resources) -> bool {
        self.cores <= limit.cores && self.memory <= limit.memory
    }

    /// The larger of the two shares.
    pub fn fraction_of(self, size: Resources) -> f64 {
        (self.cores / size.cores).max(self.memory / size.memory)
    }
}

macro_rules! each {
    ($($operator:ident $call:ident $sign:tt;)*) => {$(
        impl std::ops::$operator for Resources {
            type Output = Resources;
            fn $call(self, other: Resources) -> Resources {
                Resources { cores: self.cores $sign other.cores, memory: self.memory $sign other.memory }
            }
        }
    )*};
}

each! { Add add +; Sub sub -; Mul mul *; Div div /; }

impl std::ops::Mul<f64> for Resources {
    type Output = Resources;
    fn mul(self, times: f64) -> Resources {
        Resources {
            cores: self.cores * times,
            memory: self.memory * times,
        }
    }
}

impl std::iter::Sum for Resources {
    fn sum<I: Iterator<Item = Resources>>(all: I) -> Resources {
        all.fold(Resources::default(), |sum, each| sum + each)
    }
}

/// What a second run of an allocation would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    Idempotent,
    /// The machines of one such place, or all where none is named, drop repeats for `window` from
    /// the first send that may have run.
    Deduplicated {
        scope: Option<Domain>,
        window: Ticks,
    },
    NotRetryable,
}

/// A place in which repeats are dropped, or a service's allocations limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Domain {
    Machine,
    Cell,
    Zone,
}

#[derive(Clone, Debug)]
pub struct ServiceClass {
    pub retry_safety: RetrySafety,
    pub latency_objective: Ticks,
    /// Served in full while the cores are busy up to this share.
    pub target_utilization: f64,
    pub priority: u8,
    pub machine_type: Option<MachineTypeId>,
    pub spread: Option<(Domain, usize)>,
}

#[derive(Clone, Debug)]
pub struct Tenant {
    /// Cores asked at a time, over all schedulers, that lie within the account's share.
    pub quota_cores: Option<f64>,
}

/// Offers that a just started machine bears.
#[derive(Clone, Debug)]
pub struct SlowStart {
    pub duration: Ticks,
    pub window: Ticks,
    /// Always borne within a window, from all schedulers together.
    pub max_offers: f64,
}

/// What is read at start.
#[derive(Clone, Debug)]
pub struct Cluster {
    pub zone: ZoneId,
    /// Our number among the schedulers that share the machines, from 0, and how many there are.
    pub scheduler_index: usize,
    pub scheduler_count: usize,
    pub machine_types: Vec<Resources>,
    pub service_classes: Vec<ServiceClass>,
    pub tenants: Vec<Tenant>,
    /// Machines accept until the asks reach this multiple of their size.
    pub admission_limit: Resources,
    /// Machines push out lower priorities where an ask would not fit.
    pub preempts: bool,
    pub max_attempts: usize,
    /// Placed is answered when the allocation runs, not when it is accepted.
    pub placed_means_running: bool,
    /// The list tells the room that nobody has asked for.
    pub list_reports_capacity: bool,
    pub health_checks: bool,
    /// Whether the list must be asked for, and how long it may go unasked.
    pub list_poll_interval: Option<Ticks>,
    pub slow_start: SlowStart,
    /// A shot may wait so long for a connection before it leaves; 0 where it leaves at once.
    pub connect_timeout: Ticks,
    /// Part of the result that running in another hall costs.
    pub cross_zone_cost: f64,
    /// The caller learns by itself when what stands on a machine is lost with it.
    pub reports_losses: bool,
}

/// What one shot has come to. Only some of it proves that the allocation never ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    Pending,
    NotExecuted,
    PossiblyExecuted,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub machine: MachineId,
    pub sent_at: Ticks,
    pub state: AttemptState,
}

/// An allocation in the caller's hands.
#[derive(Clone, Debug)]
pub struct Allocation {
    pub id: AllocationId,
    pub service: ServiceId,
    pub service_class: ServiceClassId,
    pub tenant: TenantId,
    pub requested: Resources,
    pub accepted_at: Ticks,
    pub deadline: Ticks,
    pub attempts: Vec<Attempt>,
}

impl Allocation {
    /// The first shot of which it is not proven that it never ran.
    pub fn possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NotExecuted)
    }
}

/// Where to send an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    Dispatch { machine: MachineId, timeout: Ticks },
    Deferred,
    Shed,
    Indeterminate,
}

/// Why a machine refused or ended an allocation, where it says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnReason {
    NoCores,
    NoMemory,
    QueueFull,
    Unfit,
    Evicted,
    Preempted,
    Migrated,
}

/// What a machine reports of itself: room not in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    pub available: Resources,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    Completed,
    Error,
    Rejected,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Accepted or running, as [`Cluster::placed_runs`] says.
    Placed,
    Returned {
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        over: bool,
        report: Option<LoadReport>,
    },
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    Done,
    Retry,
    Shed,
    Indeterminate,
}

/// How long to wait before asking again, and what to set going meanwhile.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollResult {
    pub next_poll: Ticks,
    /// Allocations answered with "not yet" are worth another call now.
    pub retry_deferred: bool,
    /// Where told, only such of them are that are abandoned up to then: the others would find no
    /// machine. [`crate::rules::Scheduler::none_waits`] is the answer where there are no
    /// others.
    pub deadlines_until: Option<Ticks>,
    pub watch_endpoints: bool,
    pub health_checks: Vec<MachineId>,
    pub migrations: Vec<AllocationId>,
    /// Placed ones that are lost with their machines, where the caller doesn't learn that by
    /// itself.
    pub lost: Vec<AllocationId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Metric {
    Running,
    Cores(f64),
    Memory(f64),
    Served(f64),
    MachineMemory(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    Serving,
    Draining,
    Removed,
}

/// One line of the list of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    pub machine: MachineId,
    pub machine_type: MachineTypeId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub state: MachineState,
    /// When its process last started; none means long ago.
    pub started_at: Option<Ticks>,
    /// Room that nobody has asked for, where the list tells it.
    pub unreserved: Option<Resources>,
}

impl Endpoint {
    /// Which place of this kind it is.
    pub fn domain(&self, place: Domain) -> u64 {
        match place {
            Domain::Machine => u64::from(self.machine.0),
            Domain::Cell => self.cell.0,
            Domain::Zone => self.zone.0 as u64,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    Incremental,
    Complete,
    /// The last list of an earlier life.
    Cached,
}
