//! Day scripts: what happens when. The grammar is written down in docs/days.md.

use crate::relay::Way;
use corkspan_config::sexp::{self, Diagnostic, Form};
use std::ops::Range;
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Owners ask for new tasks so long.
    pub length: Duration,
    pub dispatchers: usize,
    /// So many of them, the last ones, are hollow: they share processes, with so many in each.
    pub hollow: usize,
    pub a_process: usize,
    pub nodes: usize,
    /// Nodes that fail together, in two halls; none where nothing is said of it.
    pub zones: Option<usize>,
    /// The roster tells room so often; none: every second, and less often to a large fleet.
    pub room: Option<Duration>,
    /// New tasks a second.
    pub rate: f64,
    /// Of each hundred, so many are deduplicated and unrepeatable; the others are idempotent.
    pub deduplicated: f64,
    pub unrepeatable: f64,
    /// Of each hundred owners, so many change their minds.
    pub cancels: f64,
    /// Mean life of a task.
    pub life: Duration,
    /// Copies of one service that run all day, and a roll of their program.
    pub copies: usize,
    pub roll: Option<Roll>,
    /// The control service pushes a sound version so often; none where there is no such service.
    pub versions: Option<Duration>,
    /// An operator raises the floor to the newest version then, and audits the fleet at the end of
    /// the day.
    pub floor: Option<Duration>,
    pub audit: bool,
    /// All machines that may be are taken out for work, and a worker works on each.
    pub maintenance: Option<Maintenance>,
    pub troubles: Vec<Trouble>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Roll {
    pub at: Duration,
    pub unready_most: u32,
    pub ready_for: Duration,
    pub start_first: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Maintenance {
    pub at: Duration,
    pub at_a_time: u32,
    pub by_hall: u32,
    /// The work on one machine.
    pub takes: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub kind: Kind,
    pub at: Duration,
    pub lasts: Duration,
    /// How many nodes or dispatchers it strikes.
    pub many: usize,
    /// Of a demand step: times the usual rate.
    pub times: f64,
    /// Of cuts and delays: which links of the dispatchers, which way, and by how much.
    pub from: Vec<End>,
    pub ways: Vec<Way>,
    pub by: Duration,
}

/// Who is at the other end of a dispatcher's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Dispatchers,
    Keepers,
    Control,
    Roster,
    Nodes,
}

/// By name, as scripts have them.
pub const ENDS: [(&str, End); 5] = [
    ("dispatchers", End::Dispatchers),
    ("keepers", End::Keepers),
    ("control", End::Control),
    ("roster", End::Roster),
    ("nodes", End::Nodes),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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

pub const KINDS: [(&str, Kind); 18] = [
    ("kill-nodes", Kind::KillNodes),
    ("stall-nodes", Kind::StallNodes),
    ("cut-links", Kind::CutLinks),
    ("lose-answers", Kind::LoseAnswers),
    ("delay-reports", Kind::DelayReports),
    ("lose-programs", Kind::LosePrograms),
    ("drain-nodes", Kind::DrainNodes),
    ("restart-rack", Kind::RestartRack),
    ("lose-zone", Kind::LoseZone),
    ("roster-away", Kind::RosterAway),
    ("demand", Kind::Demand),
    ("kill-dispatchers", Kind::KillDispatchers),
    ("pause-dispatchers", Kind::PauseDispatchers),
    ("burst", Kind::Burst),
    ("cut-dispatchers", Kind::CutDispatchers),
    ("delay-dispatchers", Kind::DelayDispatchers),
    ("hold-versions", Kind::HoldVersions),
    ("full-disk", Kind::FullDisk),
];

/// Hollow dispatchers in a process, where a script does not say.
pub const A_PROCESS: usize = 50;

/// The built-in day of trouble.
pub const BUILT_IN: &str = include_str!("../days/trouble.sexp");
/// A short one, for CI.
pub const SHORT: &str = include_str!("../days/short.sexp");

impl Day {
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
            let day = Day {
                length,
                dispatchers: parts.required("dispatchers")?.integer(1, 300)? as usize,
                hollow: 0,
                a_process: A_PROCESS,
                nodes: parts.required("nodes")?.integer(1, 2600)? as usize,
                zones: None,
                room: parts.get("room").map(every).transpose()?,
                rate: parts.required("rate")?.positive()?,
                deduplicated: parts.get_or("deduplicated", 10.0, percent)?,
                unrepeatable: parts.get_or("unrepeatable", 5.0, percent)?,
                cancels: parts.get_or("cancels", 1.0, percent)?,
                life: parts.get_or("life", Duration::from_secs(4), |form| span(form, 3600))?,
                copies: parts.get_or("copies", 0, |form| Ok(form.integer(0, 10_000)? as usize))?,
                roll: parts.get("roll").map(roll).transpose()?,
                versions: parts.get("versions").map(every).transpose()?,
                floor: parts
                    .get("floor")
                    .map(|form| span(form.parts(&["at"])?.required("at")?, 600))
                    .transpose()?,
                audit: parts.get_or("audit", false, Form::boolean)?,
                maintenance: parts.get("maintenance").map(maintenance).transpose()?,
                troubles: Vec::new(),
            };
            let (hollow, a_process) = match parts.get("hollow") {
                Some(form) => hollow(form, &day)?,
                None => (0, A_PROCESS),
            };
            let most = day.nodes.min(100) as u64;
            let zones = parts
                .get("zones")
                .map(|form| form.integer(2, most))
                .transpose()?;
            let day = Day {
                hollow,
                a_process,
                zones: zones.map(|zones| zones as usize),
                ..day
            };
            if let (Some(form), 0) = (parts.get("roll"), day.copies) {
                return Err(form.diagnostic("stands only beside `(copies …)`"));
            }
            if let (Some(form), None) = (parts.get("floor").or(parts.get("audit")), day.versions) {
                return Err(form.diagnostic("stands only beside `(versions …)`"));
            }
            if day.deduplicated + day.unrepeatable > 100.0 {
                return Err(form.diagnostic("deduplicated and unrepeatable are over 100 together"));
            }
            let kinds = KINDS.map(|(name, _)| name);
            let troubles = parts.get_or("troubles", Vec::new(), |form| form.forms(&kinds))?;
            let troubles = troubles
                .iter()
                .map(|form| trouble(form, &day))
                .collect::<Result<_, _>>()?;
            let day = Day { troubles, ..day };
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
        self.roll.is_some() || self.maintenance.is_some() || self.fills_disks()
    }

    pub fn is_hollow(&self, dispatcher: usize) -> bool {
        dispatcher >= self.dispatchers - self.hollow
    }

    /// The dispatchers of each process.
    pub fn processes(&self) -> Vec<Range<usize>> {
        let real = self.dispatchers - self.hollow;
        let hollow = (real..self.dispatchers).step_by(self.a_process);
        let hollow = hollow.map(|first| first..(first + self.a_process).min(self.dispatchers));
        (0..real)
            .map(|number| number..number + 1)
            .chain(hollow)
            .collect()
    }

    /// Cell and hall of the node that is the how-manieth. A zone is in one hall; without zones a
    /// cell is in both.
    pub fn place(&self, node: usize) -> (u64, usize) {
        let cell = (node / 4) as u64;
        match self.zones {
            Some(zones) => (cell, usize::from(self.zone(cell) >= zones.div_ceil(2))),
            None => (cell, node / 2 % 2),
        }
    }

    /// Of a cell.
    pub fn zone(&self, cell: u64) -> usize {
        (cell % self.zones.unwrap_or(1) as u64) as usize
    }

    /// Whether the dispatchers' links run through relays.
    pub fn has_wires(&self) -> bool {
        let on_links = |trouble: &Trouble| {
            matches!(
                trouble.kind,
                Kind::CutDispatchers | Kind::DelayDispatchers | Kind::HoldVersions
            )
        };
        self.troubles.iter().any(on_links)
    }

    pub fn strikes(&self, end: End) -> bool {
        self.troubles
            .iter()
            .any(|trouble| trouble.from.contains(&end))
    }

    pub fn fills_disks(&self) -> bool {
        self.troubles
            .iter()
            .any(|trouble| trouble.kind == Kind::FullDisk)
    }

    /// Tasks a second at this time of the day.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let steps = self
            .troubles
            .iter()
            .filter(|trouble| trouble.kind == Kind::Demand);
        let now = steps.filter(|step| at >= step.at && at < step.at + step.lasts);
        now.fold(self.rate, |rate, step| rate * step.times)
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
fn hollow(form: &Form, day: &Day) -> Result<(usize, usize), Diagnostic> {
    let parts = form.parts(&["many", "a-process"])?;
    let most = day.dispatchers as u64 - 1;
    if most == 0 {
        return Err(form.diagnostic(
            "at least one dispatcher is a process of its own, and there is one alone",
        ));
    }
    let many = parts.required("many")?.integer(1, most)?;
    let a_process = parts.get_or("a-process", A_PROCESS as u64, |form| form.integer(1, 100))?;
    Ok((many as usize, a_process as usize))
}

/// `(maintenance (at 5 s) (at-a-time 10) (by-hall 6) (takes 1 s))`
fn maintenance(form: &Form) -> Result<Maintenance, Diagnostic> {
    let parts = form.parts(&["at", "at-a-time", "by-hall", "takes"])?;
    let at_a_time = parts.required("at-a-time")?.integer(1, 1_000)? as u32;
    Ok(Maintenance {
        at: span(parts.required("at")?, 600)?,
        at_a_time,
        by_hall: parts.get_or("by-hall", at_a_time, |form| {
            Ok(form.integer(1, 1_000)? as u32)
        })?,
        takes: parts.get_or("takes", Duration::from_secs(1), |form| span(form, 600))?,
    })
}

/// `(versions (every 5 s))`, `(room (every 1 s))`
fn every(form: &Form) -> Result<Duration, Diagnostic> {
    span(form.parts(&["every"])?.required("every")?, 600)
}

/// `(from keepers control)`
fn ends(form: &Form) -> Result<Vec<End>, Diagnostic> {
    let end = |name: &str| {
        let known = ENDS
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

fn roll(form: &Form) -> Result<Roll, Diagnostic> {
    let parts = form.parts(&["at", "unready-most", "ready-for", "start-first"])?;
    Ok(Roll {
        at: span(parts.required("at")?, 600)?,
        unready_most: parts.required("unready-most")?.integer(1, 10_000)? as u32,
        ready_for: parts.get_or("ready-for", Duration::from_secs(1), |form| span(form, 600))?,
        start_first: parts.get_or("start-first", false, Form::boolean)?,
    })
}

fn trouble(form: &Form, day: &Day) -> Result<Trouble, Diagnostic> {
    let kind = KINDS
        .iter()
        .find(|(name, _)| *name == form.name)
        .map(|(_, kind)| *kind);
    let kind = kind.ok_or_else(|| form.diagnostic("unknown"))?;
    let parts = form.parts(&["at", "for", "many", "times", "from", "way", "by"])?;
    let of = match kind {
        Kind::KillDispatchers
        | Kind::PauseDispatchers
        | Kind::CutDispatchers
        | Kind::DelayDispatchers
        | Kind::HoldVersions
        | Kind::FullDisk => day.dispatchers,
        Kind::Burst => 100_000,
        _ => day.nodes,
    };
    let at = Duration::from_micros(parts.required("at")?.time()? * 100);
    if at > day.length {
        return Err(form.diagnostic("comes after the day's end"));
    }
    let (wants_for, wants_times) = match kind {
        Kind::LosePrograms | Kind::Burst => (false, false),
        kind => (true, kind == Kind::Demand),
    };
    let on_links = matches!(kind, Kind::CutDispatchers | Kind::DelayDispatchers);
    let wants = [
        ("for", wants_for, true),
        ("times", wants_times, true),
        ("from", on_links, true),
        ("way", on_links, false),
        ("by", kind == Kind::DelayDispatchers, true),
    ];
    for (part, wanted, needed) in wants {
        match (parts.get(part), wanted) {
            (None, true) if needed => return Err(form.diagnostic(format!("lacks `({part} …)`"))),
            (Some(there), false) => return Err(there.diagnostic("means nothing here")),
            _ => {}
        }
    }
    if kind == Kind::LoseZone && day.zones.is_none() {
        return Err(form.diagnostic("stands only beside `(zones …)`"));
    }
    let no_versions = day.versions.is_none();
    if let (Kind::HoldVersions, true) = (kind, no_versions) {
        return Err(form.diagnostic("stands only beside `(versions …)`"));
    }
    let ways = parts.get_or("way", vec![Way::In, Way::Out], |form| {
        Ok(vec![[Way::In, Way::Out][form.choice(&["in", "out"])?]])
    })?;
    Ok(Trouble {
        from: parts.get_or("from", Vec::new(), ends)?,
        ways,
        by: parts.get_or("by", Duration::ZERO, |form| span(form, 60))?,
        kind,
        at,
        lasts: parts.get_or("for", Duration::ZERO, |form| span(form, 600))?,
        many: parts.get_or("many", 1, |form| Ok(form.integer(1, of as u64)? as usize))?,
        times: parts.get_or("times", 1.0, Form::positive)?,
    })
}
