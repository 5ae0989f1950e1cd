//! Scenarios, read from scripts: what is requested, and which faults are injected when.
//! `docs/days.md` has the grammar.

mod faults;
mod reader;

pub use faults::{CONNECTION_PEERS, ConnectionPeer, FAULT_KINDS, FaultKind, ScheduledFault};

use corkspan_config::sexp::{self, Diagnostic};
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// A scenario: the size of the fleet, the load on it and the faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Clients request new tasks for this long.
    pub length: Duration,
    /// Number of dispatchers, including the hollow ones.
    pub dispatchers: usize,
    /// Number of hollow dispatchers, which share processes. They have the highest numbers.
    pub hollow: usize,
    /// Hollow dispatchers in each process.
    pub per_process: usize,
    /// Stand-in nodes.
    pub nodes: usize,
    /// Number of groups of nodes that fail together, each in one of two zones, if there are any.
    pub failure_domains: Option<usize>,
    /// How often the endpoint list reports capacity. `None` means every second, and less often in a
    /// large fleet.
    pub capacity_interval: Option<Duration>,
    /// New tasks a second.
    pub rate: f64,
    /// Percentage of tasks that are deduplicated.
    pub deduplicated: f64,
    /// Percentage of tasks that must not be retried; the others are idempotent.
    pub not_retryable: f64,
    /// Percentage of clients that cancel.
    pub cancels: f64,
    /// Mean lifetime of a task.
    pub mean_lifetime: Duration,
    /// Replicas of one service that runs all the time.
    pub replicas: usize,
    /// A rolling update of that service.
    pub rollout: Option<RolloutPlan>,
    /// How often the control service pushes a valid version. `None` means that there is no control
    /// service.
    pub version_interval: Option<Duration>,
    /// When an operator raises the minimum version to the newest one.
    pub minimum_version_at: Option<Duration>,
    /// Whether the fleet is audited at the end.
    pub audit: bool,
    /// Maintenance of all machines but two quorum members.
    pub maintenance: Option<MaintenancePlan>,
    /// The faults to inject.
    pub faults: Vec<ScheduledFault>,
}

/// A rolling update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutPlan {
    /// When it begins.
    pub at: Duration,
    /// Replicas that may be unavailable at a time.
    pub max_unavailable: u32,
    /// How long a replica must be ready to count as available.
    pub min_ready: Duration,
    /// Whether a new replica is ready before an old one is stopped.
    pub surge: bool,
}

/// Maintenance of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenancePlan {
    /// When it begins.
    pub at: Duration,
    /// Maximum machines out of service at a time.
    pub max_concurrent: u32,
    /// Maximum machines of one zone out of service at a time.
    pub max_per_zone: u32,
    /// How long the work on one machine takes.
    pub work_duration: Duration,
}

/// The location of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Its cell, a group of four nodes.
    pub cell: u64,
    /// Its zone: 0 or 1.
    pub zone: usize,
}

/// Default number of hollow dispatchers in a process.
pub const DEFAULT_PER_PROCESS: usize = 50;

/// Number of nodes in a cell.
const NODES_PER_CELL: usize = 4;

/// The built-in scenario.
pub const BUILT_IN: &str = include_str!("../days/trouble.sexp");
/// A short scenario, for CI.
pub const SHORT: &str = include_str!("../days/short.sexp");

impl Scenario {
    /// Reads a script from a file.
    ///
    /// # Errors
    /// Returns a diagnostic with the place of the error in the script.
    pub fn load(path: &Path) -> Result<Self, Diagnostic> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Reads a script; `file` is its name in diagnostics.
    ///
    /// # Errors
    /// Returns a diagnostic with the place of the error in the script.
    pub fn read(file: &str, text: &str) -> Result<Self, Diagnostic> {
        sexp::with_form(file, text, "day", reader::scenario)
    }

    /// Returns whether the scenario depends on what dispatchers store on disk.
    fn needs_disks(&self) -> bool {
        self.rollout.is_some() || self.maintenance.is_some() || self.fills_disks()
    }

    /// Returns whether this dispatcher is hollow.
    pub fn is_hollow(&self, dispatcher: usize) -> bool {
        dispatcher >= self.dispatchers - self.hollow
    }

    /// Returns the dispatchers of each process.
    pub fn processes(&self) -> Vec<Range<usize>> {
        let real = self.dispatchers - self.hollow;
        let hollow = (real..self.dispatchers).step_by(self.per_process);
        let hollow = hollow.map(|first| first..(first + self.per_process).min(self.dispatchers));
        (0..real)
            .map(|number| number..number + 1)
            .chain(hollow)
            .collect()
    }

    /// Returns a node's location. A failure domain is in one zone; without failure domains, a cell
    /// spans both zones.
    pub fn location(&self, node: usize) -> NodeLocation {
        let cell = (node / NODES_PER_CELL) as u64;
        let zone = match self.failure_domains {
            Some(domains) => usize::from(self.failure_domain(cell) >= domains.div_ceil(2)),
            None => node / 2 % 2,
        };
        NodeLocation { cell, zone }
    }

    /// Returns the failure domain of a cell.
    pub fn failure_domain(&self, cell: u64) -> usize {
        (cell % self.failure_domains.unwrap_or(1) as u64) as usize
    }

    /// Returns whether the dispatchers' connections must run through fault proxies.
    pub fn needs_fault_proxies(&self) -> bool {
        let affects_connections = |fault: &ScheduledFault| {
            matches!(
                fault.kind,
                FaultKind::CutDispatchers | FaultKind::DelayDispatchers | FaultKind::HoldVersions
            )
        };
        self.faults.iter().any(affects_connections)
    }

    /// Returns whether a fault affects connections to this peer.
    pub fn affects(&self, peer: ConnectionPeer) -> bool {
        self.faults.iter().any(|fault| fault.peers.contains(&peer))
    }

    /// Returns whether a fault fills disks.
    pub fn fills_disks(&self) -> bool {
        let fills = |fault: &ScheduledFault| fault.kind == FaultKind::FullDisk;
        self.faults.iter().any(fills)
    }

    /// Returns the rate of new tasks per second at this time since the start.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let steps = self
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Demand);
        let active = steps.filter(|step| at >= step.at && at < step.at + step.duration);
        active.fold(self.rate, |rate, step| rate * step.demand_factor)
    }
}
