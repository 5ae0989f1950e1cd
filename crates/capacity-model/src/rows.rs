//! What is asked of each role at the size: from which measured line, times what, against which
//! limit.

use crate::fit::{Fit, How, Value};
use crate::kept::{Axis, Kept, Size};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Dispatcher,
    NodeAgent,
    Roster,
    ControlService,
    Keeper,
    OwnersClient,
}

impl Role {
    pub const ALL: [Role; 6] = [
        Role::Dispatcher,
        Role::NodeAgent,
        Role::Roster,
        Role::ControlService,
        Role::Keeper,
        Role::OwnersClient,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Role::Dispatcher => "dispatcher",
            Role::NodeAgent => "node agent",
            Role::Roster => "roster",
            Role::ControlService => "control service",
            Role::Keeper => "keeper",
            Role::OwnersClient => "owner's client",
        }
    }
}

/// What a figure is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    Core,
    Memory,
    Bytes,
    InForce,
    /// The size tells none.
    None,
}

/// One figure of a role.
pub struct Row {
    pub role: Role,
    pub what: &'static str,
    pub unit: &'static str,
    pub axis: Axis,
    pub series: &'static str,
    pub figure: &'static str,
    /// The place on the axis.
    pub at: fn(&Size) -> f64,
    /// What the line's value there is multiplied by.
    pub times: fn(&Size) -> f64,
    pub limit: Limit,
    /// What carries it, or `missing`.
    pub mechanism: &'static str,
}

const DAY_S: f64 = 86_400.0;
/// That hold wishes and floors.
pub const KEEPERS: f64 = 3.0;

fn one(_: &Size) -> f64 {
    1.0
}

fn row(role: Role, what: &'static str, unit: &'static str) -> Row {
    let (axis, series, at) = (Axis::Machines, "control", |size: &Size| size.machines);
    Row {
        role,
        what,
        unit,
        axis,
        series,
        figure: "",
        at,
        times: one,
        limit: Limit::None,
        mechanism: "",
    }
}

/// All that is told, by role.
pub fn all() -> Vec<Row> {
    use Role::*;
    let starts: fn(&Size) -> f64 = |size| size.starts_a_second / size.dispatchers;
    let versions: fn(&Size) -> f64 = |size| size.versions_a_day / DAY_S;
    vec![
        Row {
            figure: "told, bytes/s",
            limit: Limit::Bytes,
            times: |size| size.room_told_a_second,
            mechanism: "the roster tells each line to each dispatcher",
            ..row(
                Dispatcher,
                "control, all links, each machine's room told once a second",
                "bytes/s",
            )
        },
        Row {
            figure: "quiet, bytes/s",
            limit: Limit::Bytes,
            mechanism: "keepers asked each 2 s, and for the floor",
            ..row(Dispatcher, "control, all links, nothing told", "bytes/s")
        },
        Row {
            figure: "told, core %",
            limit: Limit::Core,
            times: |size| size.room_told_a_second,
            mechanism: "each line told is taken by the one thread",
            ..row(
                Dispatcher,
                "processor, each machine's room told once a second",
                "% of a core",
            )
        },
        Row {
            figure: "quiet, core %",
            limit: Limit::Core,
            mechanism: "rounds to keepers, the timer of the decisions",
            ..row(
                Dispatcher,
                "processor, nothing told, no asks",
                "% of a core",
            )
        },
        Row {
            figure: "memory, MiB",
            limit: Limit::Memory,
            mechanism: "the list of machines, links to keepers",
            ..row(Dispatcher, "memory, no asks", "MiB")
        },
        Row {
            axis: Axis::Tasks,
            series: "held",
            figure: "memory, MiB",
            at: |size| size.running / size.dispatchers,
            limit: Limit::Memory,
            mechanism: "bound `in-hand`",
            ..row(Dispatcher, "memory, its part of the tasks running", "MiB")
        },
        Row {
            axis: Axis::Tasks,
            series: "held",
            figure: "core %",
            at: |size| size.running / size.dispatchers,
            limit: Limit::Core,
            mechanism: "a stream a task, silent while it runs",
            ..row(
                Dispatcher,
                "processor, its part of the tasks running, no asks",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "core %",
            at: |size| size.waiting,
            limit: Limit::Core,
            mechanism: "looks in vain are left out until something has changed (design.md)",
            ..row(
                Dispatcher,
                "processor, asks in vain: those that wait, machines full by use",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by asks",
            figure: "core %",
            at: |size| size.waiting,
            limit: Limit::Core,
            mechanism: "the same",
            ..row(
                Dispatcher,
                "processor, asks in vain: those that wait, machines full by asks",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by use, before",
            figure: "core %",
            at: |size| size.waiting,
            mechanism: "as it was: each that waits asked for again each 50 ms",
            ..row(
                Dispatcher,
                "processor, asks in vain as it was, machines full by use",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by asks, before",
            figure: "core %",
            at: |size| size.waiting,
            mechanism: "as it was",
            ..row(
                Dispatcher,
                "processor, asks in vain as it was, machines full by asks",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "bytes/s",
            at: |size| size.waiting,
            limit: Limit::Bytes,
            mechanism: "probes and offers in vain",
            ..row(
                Dispatcher,
                "links to nodes and keepers while they wait, machines full by use",
                "bytes/s",
            )
        },
        Row {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "memory, MiB",
            at: |size| size.waiting,
            limit: Limit::Memory,
            mechanism: "bound `in-hand`",
            ..row(
                Dispatcher,
                "memory, those that wait, machines full by use",
                "MiB",
            )
        },
        Row {
            axis: Axis::Tasks,
            series: "starts",
            figure: "core %",
            at: starts,
            mechanism: "placing; one thread a dispatcher",
            ..row(
                Dispatcher,
                "placing, its part of the starts at the peak",
                "% of a core",
            )
        },
        Row {
            axis: Axis::Tasks,
            series: "starts",
            figure: "nodes, bytes/s",
            at: starts,
            mechanism: "offers over links that stand",
            ..row(
                Dispatcher,
                "placing, links to nodes, its part of the starts",
                "bytes/s",
            )
        },
        Row {
            axis: Axis::Versions,
            series: "pushed",
            figure: "control, bytes/s",
            at: versions,
            limit: Limit::Bytes,
            mechanism: "versions streamed, changes alone (control.md)",
            ..row(
                Dispatcher,
                "versions, link to the control service",
                "bytes/s",
            )
        },
        Row {
            axis: Axis::Versions,
            series: "pushed",
            figure: "core %",
            at: versions,
            limit: Limit::Core,
            mechanism: "a check, a digest and a write to disk a version",
            ..row(Dispatcher, "processor, versions, no asks", "% of a core")
        },
        Row {
            axis: Axis::Dispatchers,
            figure: "in force, s",
            at: |size| size.dispatchers,
            limit: Limit::InForce,
            mechanism: "versions streamed to all that hear; peers and keepers for others",
            ..row(Dispatcher, "a version in force everywhere", "s")
        },
        Row {
            axis: Axis::Tasks,
            series: "starts",
            figure: "nodes, bytes/s",
            at: |size| size.starts_a_second,
            times: |size| 1.0 / size.machines,
            mechanism: "an offer's stream, from one dispatcher",
            ..row(NodeAgent, "its part of the starts at the peak", "bytes/s")
        },
        Row {
            figure: "roster, bytes/s",
            times: |size| size.dispatchers * size.room_told_a_second,
            mechanism: "missing: no roster but the stand-in's",
            ..row(
                Roster,
                "each machine's room told once a second to all dispatchers",
                "bytes/s",
            )
        },
        Row {
            figure: "roster's thread, core %",
            times: |size| size.dispatchers * size.room_told_a_second,
            mechanism: "missing: no roster but the stand-in's",
            ..row(Roster, "processor, the same", "% of a core")
        },
        Row {
            axis: Axis::Versions,
            series: "pushed",
            figure: "control, bytes/s",
            at: versions,
            times: |size| size.dispatchers,
            mechanism: "missing: no control service but the stand-in's",
            ..row(ControlService, "versions to all dispatchers", "bytes/s")
        },
        Row {
            axis: Axis::Dispatchers,
            figure: "keepers, bytes/s",
            at: |size| size.dispatchers,
            times: |_| 1.0 / KEEPERS,
            mechanism: "each dispatcher asks each 2 s, and for the floor",
            ..row(Keeper, "all dispatchers' rounds", "bytes/s")
        },
        Row {
            axis: Axis::Dispatchers,
            figure: "keepers' thread, core %",
            at: |size| size.dispatchers,
            times: |_| 1.0 / KEEPERS,
            mechanism: "part of the node agent; the figure is the stand-in's",
            ..row(Keeper, "processor, the same", "% of a core")
        },
        Row {
            axis: Axis::Tasks,
            series: "starts",
            figure: "owners, bytes/s",
            at: |size| size.starts_a_second,
            mechanism: "one stream a task",
            ..row(
                OwnersClient,
                "all owners together, starts at the peak",
                "bytes/s",
            )
        },
    ]
}

/// What carries nothing yet, and why that matters at the size.
pub const MISSING: [(&str, &str); 10] = [
    (
        "gangs of up to 128",
        "missing: each ask is placed alone; nothing holds room for a whole gang, and none starts or fails as one",
    ),
    (
        "urgent work within 2.7 s",
        "missing: priorities exist (0 to 3, `makes-room`), no bound on the time to a start",
    ),
    (
        "quotas of 350 teams over a fleet",
        "missing: shares alone; each dispatcher guesses its own times the number of dispatchers, and a team has some 12 tasks (issue 16)",
    ),
    (
        "accelerators",
        "missing: the decisions know cores and memory only",
    ),
    (
        "regions",
        "missing: halls stand for zones; no level above them, no link told as far",
    ),
    ("a roster", "missing: a stand-in of the laboratory alone"),
    (
        "a control service",
        "missing: a stand-in of the laboratory alone",
    ),
    (
        "news of room within a budget of bytes",
        "missing: each line goes to each dispatcher, however many there are",
    ),
    (
        "five machines set aside told as such",
        "missing: no kind of machine is kept from asks but by a kind of its own",
    ),
    (
        "dispatchers found by owners",
        "missing: an owner is given addresses; none tells it of others when a zone goes",
    ),
];

/// A row as it comes out.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Told {
        value: Value,
        fit: Fit,
    },
    /// Why nothing is told.
    Not(String),
}

/// A row at the size.
pub struct Told {
    pub row: Row,
    pub out: Out,
    /// None where the size tells none.
    pub limit: Option<f64>,
    /// Which run, by its place on the page's list, and how many of its points were spoilt.
    pub run: Option<(usize, usize)>,
    pub partial: bool,
}

impl Told {
    /// How often the limit is used up: above 1 it is passed.
    pub fn factor(&self) -> Option<f64> {
        match &self.out {
            Out::Told { value, .. } => Some(value.value / self.limit?),
            Out::Not(_) => None,
        }
    }

    pub fn how(&self) -> &'static str {
        match &self.out {
            Out::Told {
                value: Value { how: How::Line, .. },
                ..
            } => "line",
            Out::Told {
                value: Value {
                    how: How::Beyond, ..
                },
                ..
            } => "line, beyond its points",
            Out::Told {
                value: Value {
                    how: How::Between, ..
                },
                ..
            } => "not straight: between two points",
            Out::Not(_) => "not told",
        }
    }
}

/// All rows at a result's size.
pub fn told(kept: &Kept) -> Vec<Told> {
    all().into_iter().map(|row| one_told(kept, row)).collect()
}

fn one_told(kept: &Kept, row: Row) -> Told {
    let size = &kept.size;
    let limit = match row.limit {
        Limit::Core => Some(size.core_percent),
        Limit::Memory => Some(size.memory_mib),
        Limit::Bytes => Some(size.bytes_a_second),
        Limit::InForce => Some(size.in_force_s),
        Limit::None => None,
    };
    let Some(run) = kept.run(row.axis, row.series) else {
        return Told {
            row,
            out: Out::Not("not measured".into()),
            limit,
            run: None,
            partial: false,
        };
    };
    let place = kept
        .runs
        .iter()
        .position(|own| std::ptr::eq(own, run))
        .map(|at| (at + 1, run.spoilt()));
    let lacks = run.lacks();
    let points = run.figure(row.figure);
    let out = match Fit::of(&points) {
        _ if points.is_empty() => Out::Not("not measured".into()),
        _ if !lacks.is_empty() => {
            let lacks: Vec<String> = lacks.iter().map(f64::to_string).collect();
            Out::Not(format!("partial: nothing sound at {}", lacks.join(", ")))
        }
        Err(why) => Out::Not(why.to_string()),
        Ok(fit) => match fit.at((row.at)(size)) {
            Err(why) => Out::Not(why.to_string()),
            Ok(value) => {
                let times = (row.times)(size);
                let value = Value {
                    value: value.value * times,
                    error: value.error * times,
                    how: value.how,
                };
                Out::Told { value, fit }
            }
        },
    };
    Told {
        row,
        out,
        limit,
        run: place,
        partial: !lacks.is_empty(),
    }
}

/// Those with a limit, the one that passes it by the most first; then those of which nothing is
/// told.
pub fn by_factor(mut all: Vec<Told>) -> Vec<Told> {
    all.retain(|told| told.limit.is_some());
    all.sort_by(|one, other| {
        let factor = |told: &Told| told.factor().unwrap_or(f64::NEG_INFINITY);
        factor(other).total_cmp(&factor(one))
    });
    all
}
