//! Scenarios: what happens when, read from day scripts. `docs/days.md` has the grammar.

mod faults;
mod reader;

pub use faults::{FAULT_KINDS, FaultKind, LINK_PEERS, LinkPeer, ScheduledFault};

use corkspan_config::sexp::{self, Diagnostic};
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

/// A scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Clients request new tasks for this long.
    pub length: Duration,
    /// Dispatchers, the hollow ones among them.
    pub dispatchers: usize,
    /// Hollow dispatchers, the last ones: they share processes.
    pub hollow: usize,
    /// Hollow dispatchers in each process.
    pub per_process: usize,
    /// Stand-in nodes.
    pub nodes: usize,
    /// Groups of nodes that fail together, each in one of two zones; none where there are none.
    pub failure_domains: Option<usize>,
    /// How often the endpoint list reports capacity; none: every second, and less often to a large
    /// fleet.
    pub capacity_interval: Option<Duration>,
    /// New tasks a second.
    pub rate: f64,
    /// Percentage of tasks that are deduplicated.
    pub deduplicated: f64,
    /// Percentage of tasks that must not be retried; the others are idempotent.
    pub unrepeatable: f64,
    /// Percentage of clients that cancel.
    pub cancels: f64,
    /// Mean lifetime of a task.
    pub mean_lifetime: Duration,
    /// Replicas of one service that runs all the time.
    pub replicas: usize,
    /// A rolling update of that service.
    pub rollout: Option<RolloutPlan>,
    /// How often the control service pushes a sound version; none where there is no such service.
    pub version_interval: Option<Duration>,
    /// When an operator raises the minimum version to the newest one.
    pub minimum_version_at: Option<Duration>,
    /// Whether the fleet is audited at the end.
    pub audit: bool,
    /// Maintenance of all machines but two quorum members.
    pub maintenance: Option<MaintenancePlan>,
    /// What goes wrong.
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
    /// Machines out of service at a time,
    pub max_concurrent: u32,
    /// and of one zone.
    pub max_per_zone: u32,
    /// How long the work on one machine takes.
    pub work_duration: Duration,
}

/// Where a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Its cell: four nodes.
    pub cell: u64,
    /// Its zone: 0 or 1.
    pub zone: usize,
}

/// Hollow dispatchers in a process, where a script does not say.
pub const DEFAULT_PER_PROCESS: usize = 50;

/// Nodes of one cell.
const NODES_PER_CELL: usize = 4;

/// The built-in scenario.
pub const BUILT_IN: &str = include_str!("../days/trouble.sexp");
/// A short one, for CI.
pub const SHORT: &str = include_str!("../days/short.sexp");

impl Scenario {
    /// Reads a script from a file.
    ///
    /// # Errors
    /// What is wrong with it, with its place.
    pub fn load(path: &Path) -> Result<Self, Diagnostic> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    /// Reads a script; `file` is its name in diagnostics.
    ///
    /// # Errors
    /// What is wrong with it, with its place.
    pub fn read(file: &str, text: &str) -> Result<Self, Diagnostic> {
        sexp::with_form(file, text, "day", reader::scenario)
    }

    /// Whether what dispatchers store on disk is part of the scenario.
    fn needs_disks(&self) -> bool {
        self.rollout.is_some() || self.maintenance.is_some() || self.fills_disks()
    }

    /// Whether this dispatcher is hollow.
    pub fn is_hollow(&self, dispatcher: usize) -> bool {
        dispatcher >= self.dispatchers - self.hollow
    }

    /// The dispatchers of each process.
    pub fn processes(&self) -> Vec<Range<usize>> {
        let real = self.dispatchers - self.hollow;
        let hollow = (real..self.dispatchers).step_by(self.per_process);
        let hollow = hollow.map(|first| first..(first + self.per_process).min(self.dispatchers));
        (0..real)
            .map(|number| number..number + 1)
            .chain(hollow)
            .collect()
    }

    /// Where a node is. A failure domain is in one zone; without failure domains a cell is in both.
    pub fn location(&self, node: usize) -> NodeLocation {
        let cell = (node / NODES_PER_CELL) as u64;
        let zone = match self.failure_domains {
            Some(domains) => usize::from(self.failure_domain(cell) >= domains.div_ceil(2)),
            None => node / 2 % 2,
        };
        NodeLocation { cell, zone }
    }

    /// The failure domain of a cell.
    pub fn failure_domain(&self, cell: u64) -> usize {
        (cell % self.failure_domains.unwrap_or(1) as u64) as usize
    }

    /// Whether the dispatchers' connections run through fault proxies.
    pub fn needs_fault_proxies(&self) -> bool {
        let on_links = |fault: &ScheduledFault| {
            matches!(
                fault.kind,
                FaultKind::CutDispatchers | FaultKind::DelayDispatchers | FaultKind::HoldVersions
            )
        };
        self.faults.iter().any(on_links)
    }

    /// Whether a fault strikes connections to this peer.
    pub fn affects(&self, peer: LinkPeer) -> bool {
        self.faults.iter().any(|fault| fault.peers.contains(&peer))
    }

    /// Whether a fault fills disks.
    pub fn fills_disks(&self) -> bool {
        let fills = |fault: &ScheduledFault| fault.kind == FaultKind::FullDisk;
        self.faults.iter().any(fills)
    }

    /// New tasks a second at this time from the start.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let steps = self
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Demand);
        let active = steps.filter(|step| at >= step.at && at < step.at + step.duration);
        active.fold(self.rate, |rate, step| rate * step.demand_factor)
    }
}
