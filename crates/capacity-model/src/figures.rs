//! What is asked of each role at the size: from which measured line, times what, against which
//! limit.

use crate::fit::{Estimate, EstimateSource, LinearFit};
use crate::result::{Axis, CapacityResult, FleetSize};

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
pub struct FigureDefinition {
    pub role: Role,
    pub what: &'static str,
    pub unit: &'static str,
    pub axis: Axis,
    pub series: &'static str,
    pub figure: &'static str,
    /// The place on the axis.
    pub at: fn(&FleetSize) -> f64,
    /// What the line's value there is multiplied by.
    pub times: fn(&FleetSize) -> f64,
    pub limit: Limit,
    /// What carries it, or `missing`.
    pub mechanism: &'static str,
}

const DAY_S: f64 = 86_400.0;
/// That hold wishes and floors.
pub const QUORUM_MEMBERS: f64 = 3.0;

fn one(_: &FleetSize) -> f64 {
    1.0
}

fn definition(role: Role, what: &'static str, unit: &'static str) -> FigureDefinition {
    let (axis, series, at) = (Axis::Machines, "control", |size: &FleetSize| size.machines);
    FigureDefinition {
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
pub fn definitions() -> Vec<FigureDefinition> {
    use Role::*;
    let starts: fn(&FleetSize) -> f64 = |size| size.starts_a_second / size.dispatchers;
    let versions: fn(&FleetSize) -> f64 = |size| size.versions_a_day / DAY_S;
    vec![
        FigureDefinition {
            figure: "told, bytes/s",
            limit: Limit::Bytes,
            times: |size| size.capacity_reports_a_second,
            mechanism: "the roster tells each line to each dispatcher",
            ..definition(
                Dispatcher,
                "control, all links, each machine's room told once a second",
                "bytes/s",
            )
        },
        FigureDefinition {
            figure: "quiet, bytes/s",
            limit: Limit::Bytes,
            mechanism: "keepers asked each 2 s, and for the floor",
            ..definition(Dispatcher, "control, all links, nothing told", "bytes/s")
        },
        FigureDefinition {
            figure: "told, core %",
            limit: Limit::Core,
            times: |size| size.capacity_reports_a_second,
            mechanism: "each line told is taken by the one thread",
            ..definition(
                Dispatcher,
                "processor, each machine's room told once a second",
                "% of a core",
            )
        },
        FigureDefinition {
            figure: "quiet, core %",
            limit: Limit::Core,
            mechanism: "rounds to keepers, the timer of the decisions",
            ..definition(
                Dispatcher,
                "processor, nothing told, no asks",
                "% of a core",
            )
        },
        FigureDefinition {
            figure: "memory, MiB",
            limit: Limit::Memory,
            mechanism: "the list of machines, links to keepers",
            ..definition(Dispatcher, "memory, no asks", "MiB")
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "held",
            figure: "memory, MiB",
            at: |size| size.running / size.dispatchers,
            limit: Limit::Memory,
            mechanism: "bound `in-hand`",
            ..definition(Dispatcher, "memory, its part of the tasks running", "MiB")
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "held",
            figure: "core %",
            at: |size| size.running / size.dispatchers,
            limit: Limit::Core,
            mechanism: "a stream a task, silent while it runs",
            ..definition(
                Dispatcher,
                "processor, its part of the tasks running, no asks",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "core %",
            at: |size| size.waiting,
            limit: Limit::Core,
            mechanism: "looks in vain are left out until something has changed (design.md)",
            ..definition(
                Dispatcher,
                "processor, asks in vain: those that wait, machines full by use",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by asks",
            figure: "core %",
            at: |size| size.waiting,
            limit: Limit::Core,
            mechanism: "the same",
            ..definition(
                Dispatcher,
                "processor, asks in vain: those that wait, machines full by asks",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by use, before",
            figure: "core %",
            at: |size| size.waiting,
            mechanism: "as it was: each that waits asked for again each 50 ms",
            ..definition(
                Dispatcher,
                "processor, asks in vain as it was, machines full by use",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by asks, before",
            figure: "core %",
            at: |size| size.waiting,
            mechanism: "as it was",
            ..definition(
                Dispatcher,
                "processor, asks in vain as it was, machines full by asks",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "bytes/s",
            at: |size| size.waiting,
            limit: Limit::Bytes,
            mechanism: "probes and offers in vain",
            ..definition(
                Dispatcher,
                "links to nodes and keepers while they wait, machines full by use",
                "bytes/s",
            )
        },
        FigureDefinition {
            axis: Axis::Waiting,
            series: "full by use",
            figure: "memory, MiB",
            at: |size| size.waiting,
            limit: Limit::Memory,
            mechanism: "bound `in-hand`",
            ..definition(
                Dispatcher,
                "memory, those that wait, machines full by use",
                "MiB",
            )
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "starts",
            figure: "core %",
            at: starts,
            mechanism: "placing; one thread a dispatcher",
            ..definition(
                Dispatcher,
                "placing, its part of the starts at the peak",
                "% of a core",
            )
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "starts",
            figure: "nodes, bytes/s",
            at: starts,
            mechanism: "offers over links that stand",
            ..definition(
                Dispatcher,
                "placing, links to nodes, its part of the starts",
                "bytes/s",
            )
        },
        FigureDefinition {
            axis: Axis::Versions,
            series: "pushed",
            figure: "control, bytes/s",
            at: versions,
            limit: Limit::Bytes,
            mechanism: "versions streamed, changes alone (control.md)",
            ..definition(
                Dispatcher,
                "versions, link to the control service",
                "bytes/s",
            )
        },
        FigureDefinition {
            axis: Axis::Versions,
            series: "pushed",
            figure: "core %",
            at: versions,
            limit: Limit::Core,
            mechanism: "a check, a digest and a write to disk a version",
            ..definition(Dispatcher, "processor, versions, no asks", "% of a core")
        },
        FigureDefinition {
            axis: Axis::Dispatchers,
            figure: "in force, s",
            at: |size| size.dispatchers,
            limit: Limit::InForce,
            mechanism: "versions streamed to all that hear; peers and keepers for others",
            ..definition(Dispatcher, "a version in force everywhere", "s")
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "starts",
            figure: "nodes, bytes/s",
            at: |size| size.starts_a_second,
            times: |size| 1.0 / size.machines,
            mechanism: "an offer's stream, from one dispatcher",
            ..definition(NodeAgent, "its part of the starts at the peak", "bytes/s")
        },
        FigureDefinition {
            figure: "roster, bytes/s",
            times: |size| size.dispatchers * size.capacity_reports_a_second,
            mechanism: "missing: no roster but the stand-in's",
            ..definition(
                Roster,
                "each machine's room told once a second to all dispatchers",
                "bytes/s",
            )
        },
        FigureDefinition {
            figure: "roster's thread, core %",
            times: |size| size.dispatchers * size.capacity_reports_a_second,
            mechanism: "missing: no roster but the stand-in's",
            ..definition(Roster, "processor, the same", "% of a core")
        },
        FigureDefinition {
            axis: Axis::Versions,
            series: "pushed",
            figure: "control, bytes/s",
            at: versions,
            times: |size| size.dispatchers,
            mechanism: "missing: no control service but the stand-in's",
            ..definition(ControlService, "versions to all dispatchers", "bytes/s")
        },
        FigureDefinition {
            axis: Axis::Dispatchers,
            figure: "keepers, bytes/s",
            at: |size| size.dispatchers,
            times: |_| 1.0 / QUORUM_MEMBERS,
            mechanism: "each dispatcher asks each 2 s, and for the floor",
            ..definition(Keeper, "all dispatchers' rounds", "bytes/s")
        },
        FigureDefinition {
            axis: Axis::Dispatchers,
            figure: "keepers' thread, core %",
            at: |size| size.dispatchers,
            times: |_| 1.0 / QUORUM_MEMBERS,
            mechanism: "part of the node agent; the figure is the stand-in's",
            ..definition(Keeper, "processor, the same", "% of a core")
        },
        FigureDefinition {
            axis: Axis::Tasks,
            series: "starts",
            figure: "owners, bytes/s",
            at: |size| size.starts_a_second,
            mechanism: "one stream a task",
            ..definition(
                OwnersClient,
                "all owners together, starts at the peak",
                "bytes/s",
            )
        },
    ]
}

/// What carries nothing yet, and why that matters at the size.
pub const MISSING_MECHANISMS: [(&str, &str); 10] = [
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
pub enum Outcome {
    Estimated {
        value: Estimate,
        fit: LinearFit,
    },
    /// Why nothing is told.
    Unavailable(String),
}

/// A row at the size.
pub struct EvaluatedFigure {
    pub definition: FigureDefinition,
    pub outcome: Outcome,
    /// None where the size tells none.
    pub limit: Option<f64>,
    /// Which run, by its place on the page's list, and how many of its points were spoilt.
    pub run: Option<(usize, usize)>,
    pub partial: bool,
}

impl EvaluatedFigure {
    /// How often the limit is used up: above 1 it is passed.
    pub fn factor(&self) -> Option<f64> {
        match &self.outcome {
            Outcome::Estimated { value, .. } => Some(value.value / self.limit?),
            Outcome::Unavailable(_) => None,
        }
    }

    pub fn source_name(&self) -> &'static str {
        match &self.outcome {
            Outcome::Estimated {
                value:
                    Estimate {
                        source: EstimateSource::Line,
                        ..
                    },
                ..
            } => "line",
            Outcome::Estimated {
                value:
                    Estimate {
                        source: EstimateSource::Extrapolated,
                        ..
                    },
                ..
            } => "line, beyond its points",
            Outcome::Estimated {
                value:
                    Estimate {
                        source: EstimateSource::Interpolated,
                        ..
                    },
                ..
            } => "not straight: between two points",
            Outcome::Unavailable(_) => "not told",
        }
    }
}

/// All rows at a result's size.
pub fn evaluate(result: &CapacityResult) -> Vec<EvaluatedFigure> {
    definitions()
        .into_iter()
        .map(|definition| evaluate_figure(result, definition))
        .collect()
}

fn evaluate_figure(result: &CapacityResult, definition: FigureDefinition) -> EvaluatedFigure {
    let size = &result.size;
    let limit = match definition.limit {
        Limit::Core => Some(size.core_percent),
        Limit::Memory => Some(size.memory_mib),
        Limit::Bytes => Some(size.bytes_a_second),
        Limit::InForce => Some(size.in_force_s),
        Limit::None => None,
    };
    let Some(run) = result.run(definition.axis, definition.series) else {
        return EvaluatedFigure {
            definition,
            outcome: Outcome::Unavailable("not measured".into()),
            limit,
            run: None,
            partial: false,
        };
    };
    let run_place = result
        .runs
        .iter()
        .position(|own| std::ptr::eq(own, run))
        .map(|at| (at + 1, run.invalid_points()));
    let missing_places = run.missing_places();
    let points = run.figure(definition.figure);
    let outcome = match LinearFit::through(&points) {
        _ if points.is_empty() => Outcome::Unavailable("not measured".into()),
        _ if !missing_places.is_empty() => {
            let missing_places: Vec<String> = missing_places.iter().map(f64::to_string).collect();
            Outcome::Unavailable(format!(
                "partial: nothing sound at {}",
                missing_places.join(", ")
            ))
        }
        Err(reason) => Outcome::Unavailable(reason.to_string()),
        Ok(fit) => match fit.estimate((definition.at)(size)) {
            Err(reason) => Outcome::Unavailable(reason.to_string()),
            Ok(value) => {
                let times = (definition.times)(size);
                let value = Estimate {
                    value: value.value * times,
                    error: value.error * times,
                    source: value.source,
                };
                Outcome::Estimated { value, fit }
            }
        },
    };
    EvaluatedFigure {
        definition,
        outcome,
        limit,
        run: run_place,
        partial: !missing_places.is_empty(),
    }
}

/// Those with a limit, the one that passes it by the most first; then those of which nothing is
/// told.
pub fn by_factor(mut figures: Vec<EvaluatedFigure>) -> Vec<EvaluatedFigure> {
    figures.retain(|figure| figure.limit.is_some());
    figures.sort_by(|one, other| {
        let factor = |figure: &EvaluatedFigure| figure.factor().unwrap_or(f64::NEG_INFINITY);
        factor(other).total_cmp(&factor(one))
    });
    figures
}
