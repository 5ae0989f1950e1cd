//! Day scripts: what happens when. The grammar is written down in docs/days.md.

use crate::relay::Way;
use corkspan_config::sexp::{self, Diagnostic, Form};
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Owners ask for new tasks so long.
    pub length: Duration,
    pub dispatchers: usize,
    /// So many of them, the last ones, are hollow: they share processes, with so many in each.
    pub hollow: usize,
    pub per_process: usize,
    pub nodes: usize,
    /// Nodes that fail together, in two halls; none where nothing is said of it.
    pub failure_domains: Option<usize>,
    /// The roster tells room so often; none: every second, and less often to a large fleet.
    pub capacity_interval: Option<Duration>,
    /// New tasks a second.
    pub rate: f64,
    /// Of each hundred, so many are deduplicated and unrepeatable; the others are idempotent.
    pub deduplicated: f64,
    pub unrepeatable: f64,
    /// Of each hundred owners, so many change their minds.
    pub cancels: f64,
    /// Mean life of a task.
    pub mean_lifetime: Duration,
    /// Copies of one service that run all day, and a roll of their program.
    pub replicas: usize,
    pub rollout: Option<RolloutPlan>,
    /// The control service pushes a sound version so often; none where there is no such service.
    pub version_interval: Option<Duration>,
    /// An operator raises the floor to the newest version then, and audits the fleet at the end of
    /// the day.
    pub minimum_version_at: Option<Duration>,
    pub audit: bool,
    /// All machines that may be are taken out for work, and a worker works on each.
    pub maintenance: Option<MaintenancePlan>,
    pub faults: Vec<ScheduledFault>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutPlan {
    pub at: Duration,
    pub max_unavailable: u32,
    pub min_ready: Duration,
    pub surge: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenancePlan {
    pub at: Duration,
    pub max_concurrent: u32,
    pub max_per_zone: u32,
    /// The work on one machine.
    pub work_duration: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub kind: FaultKind,
    pub at: Duration,
    pub duration: Duration,
    /// How many nodes or dispatchers it strikes.
    pub count: usize,
    /// Of a demand step: times the usual rate.
    pub demand_factor: f64,
    /// Of cuts and delays: which links of the dispatchers, which way, and by how much.
    pub peers: Vec<LinkPeer>,
    pub directions: Vec<Way>,
    pub delay: Duration,
}

/// Who is at the other end of a dispatcher's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkPeer {
    Dispatchers,
    Keepers,
    Control,
    Roster,
    Nodes,
}

/// By name, as scripts have them.
pub const LINK_PEERS: [(&str, LinkPeer); 5] = [
    ("dispatchers", LinkPeer::Dispatchers),
    ("keepers", LinkPeer::Keepers),
    ("control", LinkPeer::Control),
    ("roster", LinkPeer::Roster),
    ("nodes", LinkPeer::Nodes),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    KillNodes,
    StallNodes,
    CutLinks,
    LoseAnswers,
    DelayReports,
    LosePrograms,
    DrainNodes,
    RestartRack,
    LoseZone,
    RosterAway,
    Demand,
    KillDispatchers,
    PauseDispatchers,
    Burst,
    CutDispatchers,
    DelayDispatchers,
    HoldVersions,
    FullDisk,
}

pub const FAULT_KINDS: [(&str, FaultKind); 18] = [
    ("kill-nodes", FaultKind::KillNodes),
    ("stall-nodes", FaultKind::StallNodes),
    ("cut-links", FaultKind::CutLinks),
    ("lose-answers", FaultKind::LoseAnswers),
    ("delay-reports", FaultKind::DelayReports),
    ("lose-programs", FaultKind::LosePrograms),
    ("drain-nodes", FaultKind::DrainNodes),
    ("restart-rack", FaultKind::RestartRack),
    ("lose-zone", FaultKind::LoseZone),
    ("roster-away", FaultKind::RosterAway),
    ("demand", FaultKind::Demand),
    ("kill-dispatchers", FaultKind::KillDispatchers),
    ("pause-dispatchers", FaultKind::PauseDispatchers),
    ("burst", FaultKind::Burst),
    ("cut-dispatchers", FaultKind::CutDispatchers),
    ("delay-dispatchers", FaultKind::DelayDispatchers),
    ("hold-versions", FaultKind::HoldVersions),
    ("full-disk", FaultKind::FullDisk),
];

/// Hollow dispatchers in a process, where a script does not say.
pub const DEFAULT_PER_PROCESS: usize = 50;

/// The built-in day of trouble.
pub const BUILT_IN: &str = include_str!("../days/trouble.sexp");
/// A short one, for CI.
pub const SHORT: &str = include_str!("../days/short.sexp");

impl Scenario {
    pub fn load(path: &Path) -> Result<Self, Diagnostic> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    pub fn read(file: &str, text: &str) -> Result<Self, Diagnostic> {
        sexp::with_form(file, text, "day", |form| {
            let known = [
                "length",
                "dispatchers",
                "hollow",
                "nodes",
                "zones",
                "room",
                "rate",
                "deduplicated",
                "unrepeatable",
                "cancels",
                "life",
                "copies",
                "roll",
                "versions",
                "floor",
                "audit",
                "maintenance",
                "troubles",
            ];
            let parts = form.parts(&known)?;
            let percent = |form: &Form| match form.non_negative()? {
                value if value <= 100.0 => Ok(value),
                _ => Err(form.diagnostic("must be 100 at the most")),
            };
            let length = span(parts.required("length")?, 600)?;
            let day =
                Scenario {
                    length,
                    dispatchers: parts.required("dispatchers")?.integer(1, 300)? as usize,
                    hollow: 0,
                    per_process: DEFAULT_PER_PROCESS,
                    nodes: parts.required("nodes")?.integer(1, 2600)? as usize,
                    failure_domains: None,
                    capacity_interval: parts.get("room").map(every).transpose()?,
                    rate: parts.required("rate")?.positive()?,
                    deduplicated: parts.get_or("deduplicated", 10.0, percent)?,
                    unrepeatable: parts.get_or("unrepeatable", 5.0, percent)?,
                    cancels: parts.get_or("cancels", 1.0, percent)?,
                    mean_lifetime: parts
                        .get_or("life", Duration::from_secs(4), |form| span(form, 3600))?,
                    replicas: parts
                        .get_or("copies", 0, |form| Ok(form.integer(0, 10_000)? as usize))?,
                    rollout: parts.get("roll").map(roll).transpose()?,
                    version_interval: parts.get("versions").map(every).transpose()?,
                    minimum_version_at: parts
                        .get("floor")
                        .map(|form| span(form.parts(&["at"])?.required("at")?, 600))
                        .transpose()?,
                    audit: parts.get_or("audit", false, Form::boolean)?,
                    maintenance: parts.get("maintenance").map(maintenance).transpose()?,
                    faults: Vec::new(),
                };
            let (hollow, a_process) = match parts.get("hollow") {
                Some(form) => hollow(form, &day)?,
                None => (0, DEFAULT_PER_PROCESS),
            };
            let most = day.nodes.min(100) as u64;
            let zones = parts
                .get("zones")
                .map(|form| form.integer(2, most))
                .transpose()?;
            let day = Scenario {
                hollow,
                per_process: a_process,
                failure_domains: zones.map(|zones| zones as usize),
                ..day
            };
            if let (Some(form), 0) = (parts.get("roll"), day.replicas) {
                return Err(form.diagnostic("stands only beside `(copies …)`"));
            }
            if let (Some(form), None) = (
                parts.get("floor").or(parts.get("audit")),
                day.version_interval,
            ) {
                return Err(form.diagnostic("stands only beside `(versions …)`"));
            }
            if day.deduplicated + day.unrepeatable > 100.0 {
                return Err(form.diagnostic("deduplicated and unrepeatable are over 100 together"));
            }
            let kinds = FAULT_KINDS.map(|(name, _)| name);
            let troubles = parts.get_or("troubles", Vec::new(), |form| form.forms(&kinds))?;
            let troubles = troubles
                .iter()
                .map(|form| trouble(form, &day))
                .collect::<Result<_, _>>()?;
            let day = Scenario {
                faults: troubles,
                ..day
            };
            if let Some(form) = parts.get("hollow").filter(|_| day.needs_disks()) {
                return Err(form.diagnostic(
                    "a hollow dispatcher has no disk, and a roll, work on machines or a full disk needs one",
                ));
            }
            Ok(day)
        })
    }

    /// Whether what dispatchers keep on disk is part of the day.
    fn needs_disks(&self) -> bool {
        self.rollout.is_some() || self.maintenance.is_some() || self.fills_disks()
    }

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

    /// Cell and hall of the node that is the how-manieth. A zone is in one hall; without zones a
    /// cell is in both.
    pub fn location(&self, node: usize) -> (u64, usize) {
        let cell = (node / 4) as u64;
        match self.failure_domains {
            Some(zones) => (
                cell,
                usize::from(self.failure_domain(cell) >= zones.div_ceil(2)),
            ),
            None => (cell, node / 2 % 2),
        }
    }

    /// Of a cell.
    pub fn failure_domain(&self, cell: u64) -> usize {
        (cell % self.failure_domains.unwrap_or(1) as u64) as usize
    }

    /// Whether the dispatchers' links run through relays.
    pub fn needs_fault_proxies(&self) -> bool {
        let on_links = |trouble: &ScheduledFault| {
            matches!(
                trouble.kind,
                FaultKind::CutDispatchers | FaultKind::DelayDispatchers | FaultKind::HoldVersions
            )
        };
        self.faults.iter().any(on_links)
    }

    pub fn affects(&self, end: LinkPeer) -> bool {
        self.faults
            .iter()
            .any(|trouble| trouble.peers.contains(&end))
    }

    pub fn fills_disks(&self) -> bool {
        self.faults
            .iter()
            .any(|trouble| trouble.kind == FaultKind::FullDisk)
    }

    /// Tasks a second at this time of the day.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let steps = self
            .faults
            .iter()
            .filter(|trouble| trouble.kind == FaultKind::Demand);
        let now = steps.filter(|step| at >= step.at && at < step.at + step.duration);
        now.fold(self.rate, |rate, step| rate * step.demand_factor)
    }
}

fn span(form: &Form, most_s: u64) -> Result<Duration, Diagnostic> {
    let time = Duration::from_micros(form.time()? * 100);
    if time.is_zero() || time > Duration::from_secs(most_s) {
        return Err(form.diagnostic(format!("must be above 0 and {most_s} s at the most")));
    }
    Ok(time)
}

/// `(hollow (many 99) (a-process 50))`: at least one dispatcher is a process of its own.
fn hollow(form: &Form, day: &Scenario) -> Result<(usize, usize), Diagnostic> {
    let parts = form.parts(&["many", "a-process"])?;
    let most = day.dispatchers as u64 - 1;
    if most == 0 {
        return Err(form.diagnostic(
            "at least one dispatcher is a process of its own, and there is one alone",
        ));
    }
    let many = parts.required("many")?.integer(1, most)?;
    let a_process = parts.get_or("a-process", DEFAULT_PER_PROCESS as u64, |form| {
        form.integer(1, 100)
    })?;
    Ok((many as usize, a_process as usize))
}

/// `(maintenance (at 5 s) (at-a-time 10) (by-hall 6) (takes 1 s))`
fn maintenance(form: &Form) -> Result<MaintenancePlan, Diagnostic> {
    let parts = form.parts(&["at", "at-a-time", "by-hall", "takes"])?;
    let at_a_time = parts.required("at-a-time")?.integer(1, 1_000)? as u32;
    Ok(MaintenancePlan {
        at: span(parts.required("at")?, 600)?,
        max_concurrent: at_a_time,
        max_per_zone: parts.get_or("by-hall", at_a_time, |form| {
            Ok(form.integer(1, 1_000)? as u32)
        })?,
        work_duration: parts.get_or("takes", Duration::from_secs(1), |form| span(form, 600))?,
    })
}

/// `(versions (every 5 s))`, `(room (every 1 s))`
fn every(form: &Form) -> Result<Duration, Diagnostic> {
    span(form.parts(&["every"])?.required("every")?, 600)
}

/// `(from keepers control)`
fn ends(form: &Form) -> Result<Vec<LinkPeer>, Diagnostic> {
    let end = |name: &str| {
        let known = LINK_PEERS
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, end)| *end);
        known.ok_or_else(|| {
            form.diagnostic(format!(
                "`{name}` is none of dispatchers, keepers, control, roster, nodes"
            ))
        })
    };
    form.symbols()?.into_iter().map(end).collect()
}

fn roll(form: &Form) -> Result<RolloutPlan, Diagnostic> {
    let parts = form.parts(&["at", "unready-most", "ready-for", "start-first"])?;
    Ok(RolloutPlan {
        at: span(parts.required("at")?, 600)?,
        max_unavailable: parts.required("unready-most")?.integer(1, 10_000)? as u32,
        min_ready: parts.get_or("ready-for", Duration::from_secs(1), |form| span(form, 600))?,
        surge: parts.get_or("start-first", false, Form::boolean)?,
    })
}

fn trouble(form: &Form, day: &Scenario) -> Result<ScheduledFault, Diagnostic> {
    let kind = FAULT_KINDS
        .iter()
        .find(|(name, _)| *name == form.name)
        .map(|(_, kind)| *kind);
    let kind = kind.ok_or_else(|| form.diagnostic("unknown"))?;
    let parts = form.parts(&["at", "for", "many", "times", "from", "way", "by"])?;
    let of = match kind {
        FaultKind::KillDispatchers
        | FaultKind::PauseDispatchers
        | FaultKind::CutDispatchers
        | FaultKind::DelayDispatchers
        | FaultKind::HoldVersions
        | FaultKind::FullDisk => day.dispatchers,
        FaultKind::Burst => 100_000,
        _ => day.nodes,
    };
    let at = Duration::from_micros(parts.required("at")?.time()? * 100);
    if at > day.length {
        return Err(form.diagnostic("comes after the day's end"));
    }
    let (wants_for, wants_times) = match kind {
        FaultKind::LosePrograms | FaultKind::Burst => (false, false),
        kind => (true, kind == FaultKind::Demand),
    };
    let on_links = matches!(
        kind,
        FaultKind::CutDispatchers | FaultKind::DelayDispatchers
    );
    let wants = [
        ("for", wants_for, true),
        ("times", wants_times, true),
        ("from", on_links, true),
        ("way", on_links, false),
        ("by", kind == FaultKind::DelayDispatchers, true),
    ];
    for (part, wanted, needed) in wants {
        match (parts.get(part), wanted) {
            (None, true) if needed => return Err(form.diagnostic(format!("lacks `({part} …)`"))),
            (Some(there), false) => return Err(there.diagnostic("means nothing here")),
            _ => {}
        }
    }
    if kind == FaultKind::LoseZone && day.failure_domains.is_none() {
        return Err(form.diagnostic("stands only beside `(zones …)`"));
    }
    let no_versions = day.version_interval.is_none();
    if let (FaultKind::HoldVersions, true) = (kind, no_versions) {
        return Err(form.diagnostic("stands only beside `(versions …)`"));
    }
    let ways = parts.get_or("way", vec![Way::In, Way::Out], |form| {
        Ok(vec![[Way::In, Way::Out][form.choice(&["in", "out"])?]])
    })?;
    Ok(ScheduledFault {
        peers: parts.get_or("from", Vec::new(), ends)?,
        directions: ways,
        delay: parts.get_or("by", Duration::ZERO, |form| span(form, 60))?,
        kind,
        at,
        duration: parts.get_or("for", Duration::ZERO, |form| span(form, 600))?,
        count: parts.get_or("many", 1, |form| Ok(form.integer(1, of as u64)? as usize))?,
        demand_factor: parts.get_or("times", 1.0, Form::positive)?,
    })
}
