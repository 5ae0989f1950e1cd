//! Day scripts: what happens when. The grammar is written down in docs/days.md.

use corkspan_deployment::sexp::{self, Fault, Form};
use std::path::Path;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// Owners ask for new tasks so long.
    pub length: Duration,
    pub dispatchers: usize,
    pub nodes: usize,
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
pub struct Trouble {
    pub kind: Kind,
    pub at: Duration,
    pub lasts: Duration,
    /// How many nodes or dispatchers it strikes.
    pub many: usize,
    /// Of a demand step: times the usual rate.
    pub times: f64,
}

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
    RosterAway,
    Demand,
    KillDispatchers,
    PauseDispatchers,
    Burst,
}

pub const KINDS: [(&str, Kind); 13] = [
    ("kill-nodes", Kind::KillNodes),
    ("stall-nodes", Kind::StallNodes),
    ("cut-links", Kind::CutLinks),
    ("lose-answers", Kind::LoseAnswers),
    ("delay-reports", Kind::DelayReports),
    ("lose-programs", Kind::LosePrograms),
    ("drain-nodes", Kind::DrainNodes),
    ("restart-rack", Kind::RestartRack),
    ("roster-away", Kind::RosterAway),
    ("demand", Kind::Demand),
    ("kill-dispatchers", Kind::KillDispatchers),
    ("pause-dispatchers", Kind::PauseDispatchers),
    ("burst", Kind::Burst),
];

/// The built-in day of trouble.
pub const BUILT_IN: &str = include_str!("../days/trouble.sexp");
/// A short one, for CI.
pub const SHORT: &str = include_str!("../days/short.sexp");

impl Day {
    pub fn load(path: &Path) -> Result<Self, Fault> {
        Self::read(&path.display().to_string(), &sexp::load(path)?)
    }

    pub fn read(file: &str, text: &str) -> Result<Self, Fault> {
        sexp::with_form(file, text, "day", |form| {
            let known = [
                "length",
                "dispatchers",
                "nodes",
                "rate",
                "deduplicated",
                "unrepeatable",
                "cancels",
                "life",
                "copies",
                "roll",
                "troubles",
            ];
            let parts = form.parts(&known)?;
            let percent = |form: &Form| match form.amount()? {
                value if value <= 100.0 => Ok(value),
                _ => Err(form.fault("must be 100 at the most")),
            };
            let length = span(parts.need("length")?, 600)?;
            let day = Day {
                length,
                dispatchers: parts.need("dispatchers")?.whole(1, 300)? as usize,
                nodes: parts.need("nodes")?.whole(1, 1000)? as usize,
                rate: parts.need("rate")?.above_zero()?,
                deduplicated: parts.or("deduplicated", 10.0, percent)?,
                unrepeatable: parts.or("unrepeatable", 5.0, percent)?,
                cancels: parts.or("cancels", 1.0, percent)?,
                life: parts.or("life", Duration::from_secs(4), |form| span(form, 3600))?,
                copies: parts.or("copies", 0, |form| Ok(form.whole(0, 10_000)? as usize))?,
                roll: parts.find("roll").map(roll).transpose()?,
                troubles: Vec::new(),
            };
            if let (Some(form), 0) = (parts.find("roll"), day.copies) {
                return Err(form.fault("stands only beside `(copies …)`"));
            }
            if day.deduplicated + day.unrepeatable > 100.0 {
                return Err(form.fault("deduplicated and unrepeatable are over 100 together"));
            }
            let kinds = KINDS.map(|(name, _)| name);
            let troubles = parts.or("troubles", Vec::new(), |form| form.all(&kinds))?;
            let troubles = troubles.iter().map(|form| trouble(form, &day)).collect::<Result<_, _>>()?;
            Ok(Day { troubles, ..day })
        })
    }

    /// Tasks a second at this time of the day.
    pub fn rate_at(&self, at: Duration) -> f64 {
        let steps = self.troubles.iter().filter(|trouble| trouble.kind == Kind::Demand);
        let now = steps.filter(|step| at >= step.at && at < step.at + step.lasts);
        now.fold(self.rate, |rate, step| rate * step.times)
    }
}

fn span(form: &Form, most_s: u64) -> Result<Duration, Fault> {
    let time = Duration::from_micros(form.time()? * 100);
    if time.is_zero() || time > Duration::from_secs(most_s) {
        return Err(form.fault(format!("must be above 0 and {most_s} s at the most")));
    }
    Ok(time)
}

fn roll(form: &Form) -> Result<Roll, Fault> {
    let parts = form.parts(&["at", "unready-most", "ready-for", "start-first"])?;
    Ok(Roll {
        at: span(parts.need("at")?, 600)?,
        unready_most: parts.need("unready-most")?.whole(1, 10_000)? as u32,
        ready_for: parts.or("ready-for", Duration::from_secs(1), |form| span(form, 600))?,
        start_first: parts.or("start-first", false, Form::truth)?,
    })
}

fn trouble(form: &Form, day: &Day) -> Result<Trouble, Fault> {
    let kind = KINDS.iter().find(|(name, _)| *name == form.name).map(|(_, kind)| *kind);
    let kind = kind.ok_or_else(|| form.fault("unknown"))?;
    let parts = form.parts(&["at", "for", "many", "times"])?;
    let of = match kind {
        Kind::KillDispatchers | Kind::PauseDispatchers => day.dispatchers,
        Kind::Burst => 100_000,
        _ => day.nodes,
    };
    let at = Duration::from_micros(parts.need("at")?.time()? * 100);
    if at > day.length {
        return Err(form.fault("comes after the day's end"));
    }
    let (wants_for, wants_times) = match kind {
        Kind::LosePrograms | Kind::Burst => (false, false),
        kind => (true, kind == Kind::Demand),
    };
    for (part, wanted) in [("for", wants_for), ("times", wants_times)] {
        match (parts.find(part), wanted) {
            (None, true) => return Err(form.fault(format!("lacks `({part} …)`"))),
            (Some(there), false) => return Err(there.fault("means nothing here")),
            _ => {}
        }
    }
    Ok(Trouble {
        kind,
        at,
        lasts: parts.or("for", Duration::ZERO, |form| span(form, 600))?,
        many: parts.or("many", 1, |form| Ok(form.whole(1, of as u64)? as usize))?,
        times: parts.or("times", 1.0, Form::above_zero)?,
    })
}
