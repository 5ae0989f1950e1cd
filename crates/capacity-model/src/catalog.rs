//! Defines the figures of each role: the measured series, the position on its axis, the factor and
//! the limit. The texts appear on docs/CAPACITY.md exactly as written here.

use crate::figures::{FigureDefinition, Limit, Role};
use crate::result::Axis::{Dispatchers, Machines, Tasks, Versions, Waiting};
use crate::result::{Axis, FleetSize};
use Role::{ControlService, Dispatcher, Keeper, NodeAgent, OwnersClient, Roster};

const SECONDS_PER_DAY: f64 = 86_400.0;
/// The number of quorum members in the measured fleets.
pub const QUORUM_MEMBERS: f64 = 3.0;

const BYTES: &str = "bytes/s";
const CORE: &str = "% of a core";
const MIB: &str = "MiB";
const SECONDS: &str = "s";

// Positions on an axis, and factors of a value.

fn once(_: &FleetSize) -> f64 {
    1.0
}

fn machines(size: &FleetSize) -> f64 {
    size.machines
}

fn dispatchers(size: &FleetSize) -> f64 {
    size.dispatchers
}

fn waiting(size: &FleetSize) -> f64 {
    size.waiting
}

fn starts(size: &FleetSize) -> f64 {
    size.starts_a_second
}

fn starts_per_dispatcher(size: &FleetSize) -> f64 {
    size.starts_a_second / size.dispatchers
}

fn tasks_per_dispatcher(size: &FleetSize) -> f64 {
    size.running / size.dispatchers
}

fn versions_per_second(size: &FleetSize) -> f64 {
    size.versions_a_day / SECONDS_PER_DAY
}

fn capacity_reports(size: &FleetSize) -> f64 {
    size.capacity_reports_a_second
}

fn capacity_reports_to_all(size: &FleetSize) -> f64 {
    size.dispatchers * size.capacity_reports_a_second
}

fn per_machine(size: &FleetSize) -> f64 {
    1.0 / size.machines
}

fn per_quorum_member(_: &FleetSize) -> f64 {
    1.0 / QUORUM_MEMBERS
}

/// Creates a figure with defaults: the series `control` by machines, without a limit.
fn figure(role: Role, what: &'static str, unit: &'static str) -> FigureDefinition {
    FigureDefinition {
        role,
        what,
        unit,
        axis: Machines,
        series: "control",
        figure: "",
        at: machines,
        times: once,
        limit: Limit::None,
        mechanism: "",
    }
}

impl FigureDefinition {
    fn measured(self, axis: Axis, series: &'static str, figure: &'static str) -> Self {
        FigureDefinition {
            axis,
            series,
            figure,
            ..self
        }
    }

    fn at(self, at: fn(&FleetSize) -> f64) -> Self {
        FigureDefinition { at, ..self }
    }

    fn times(self, times: fn(&FleetSize) -> f64) -> Self {
        FigureDefinition { times, ..self }
    }

    fn limit(self, limit: Limit) -> Self {
        FigureDefinition { limit, ..self }
    }

    fn carried_by(self, mechanism: &'static str) -> Self {
        FigureDefinition { mechanism, ..self }
    }
}

/// Returns the definitions of all figures, by role.
pub fn definitions() -> Vec<FigureDefinition> {
    [
        idle_dispatcher(),
        dispatcher_running(),
        dispatcher_processor_waiting(),
        dispatcher_waiting(),
        dispatcher_starts(),
        dispatcher_versions(),
        other_roles(),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Defines the figures of a dispatcher that has no requests.
fn idle_dispatcher() -> Vec<FigureDefinition> {
    vec![
        figure(
            Dispatcher,
            "control, all links, each machine's room told once a second",
            BYTES,
        )
        .measured(Machines, "control", "told, bytes/s")
        .times(capacity_reports)
        .limit(Limit::Bytes)
        .carried_by("the roster tells each line to each dispatcher"),
        figure(Dispatcher, "control, all links, nothing told", BYTES)
            .measured(Machines, "control", "quiet, bytes/s")
            .limit(Limit::Bytes)
            .carried_by("keepers asked each 2 s, and for the floor"),
        figure(
            Dispatcher,
            "processor, each machine's room told once a second",
            CORE,
        )
        .measured(Machines, "control", "told, core %")
        .times(capacity_reports)
        .limit(Limit::Core)
        .carried_by("each line told is taken by the one thread"),
        figure(Dispatcher, "processor, nothing told, no asks", CORE)
            .measured(Machines, "control", "quiet, core %")
            .limit(Limit::Core)
            .carried_by("rounds to keepers, the timer of the decisions"),
        figure(Dispatcher, "memory, no asks", MIB)
            .measured(Machines, "control", "memory, MiB")
            .limit(Limit::Memory)
            .carried_by("the list of machines, links to keepers"),
    ]
}

/// Defines the figures of a dispatcher with its share of the running tasks.
fn dispatcher_running() -> Vec<FigureDefinition> {
    vec![
        figure(Dispatcher, "memory, its part of the tasks running", MIB)
            .measured(Tasks, "held", "memory, MiB")
            .at(tasks_per_dispatcher)
            .limit(Limit::Memory)
            .carried_by("bound `in-hand`"),
        figure(
            Dispatcher,
            "processor, its part of the tasks running, no asks",
            CORE,
        )
        .measured(Tasks, "held", "core %")
        .at(tasks_per_dispatcher)
        .limit(Limit::Core)
        .carried_by("a stream a task, silent while it runs"),
    ]
}

/// Defines the processor time of a dispatcher at which allocations wait.
fn dispatcher_processor_waiting() -> Vec<FigureDefinition> {
    vec![
        figure(
            Dispatcher,
            "processor, asks in vain: those that wait, machines full by use",
            CORE,
        )
        .measured(Waiting, "full by use", "core %")
        .at(waiting)
        .limit(Limit::Core)
        .carried_by("looks in vain are left out until something has changed (design.md)"),
        figure(
            Dispatcher,
            "processor, asks in vain: those that wait, machines full by asks",
            CORE,
        )
        .measured(Waiting, "full by asks", "core %")
        .at(waiting)
        .limit(Limit::Core)
        .carried_by("the same"),
        figure(
            Dispatcher,
            "processor, asks in vain as it was, machines full by use",
            CORE,
        )
        .measured(Waiting, "full by use, before", "core %")
        .at(waiting)
        .carried_by("as it was: each that waits asked for again each 50 ms"),
        figure(
            Dispatcher,
            "processor, asks in vain as it was, machines full by asks",
            CORE,
        )
        .measured(Waiting, "full by asks, before", "core %")
        .at(waiting)
        .carried_by("as it was"),
    ]
}

/// Defines the traffic and memory of a dispatcher at which allocations wait.
fn dispatcher_waiting() -> Vec<FigureDefinition> {
    vec![
        figure(
            Dispatcher,
            "links to nodes and keepers while they wait, machines full by use",
            BYTES,
        )
        .measured(Waiting, "full by use", "bytes/s")
        .at(waiting)
        .limit(Limit::Bytes)
        .carried_by("probes and offers in vain"),
        figure(
            Dispatcher,
            "memory, those that wait, machines full by use",
            MIB,
        )
        .measured(Waiting, "full by use", "memory, MiB")
        .at(waiting)
        .limit(Limit::Memory)
        .carried_by("bound `in-hand`"),
    ]
}

/// Defines the figures of a dispatcher with its share of the starts at the peak.
fn dispatcher_starts() -> Vec<FigureDefinition> {
    vec![
        figure(
            Dispatcher,
            "placing, its part of the starts at the peak",
            CORE,
        )
        .measured(Tasks, "starts", "core %")
        .at(starts_per_dispatcher)
        .carried_by("placing; one thread a dispatcher"),
        figure(
            Dispatcher,
            "placing, links to nodes, its part of the starts",
            BYTES,
        )
        .measured(Tasks, "starts", "nodes, bytes/s")
        .at(starts_per_dispatcher)
        .carried_by("offers over links that stand"),
    ]
}

/// Defines the figures of a dispatcher to which versions are streamed.
fn dispatcher_versions() -> Vec<FigureDefinition> {
    vec![
        figure(Dispatcher, "versions, link to the control service", BYTES)
            .measured(Versions, "pushed", "control, bytes/s")
            .at(versions_per_second)
            .limit(Limit::Bytes)
            .carried_by("versions streamed, changes alone (config-sync.md)"),
        figure(Dispatcher, "processor, versions, no asks", CORE)
            .measured(Versions, "pushed", "core %")
            .at(versions_per_second)
            .limit(Limit::Core)
            .carried_by("a check, a digest and a write to disk a version"),
        figure(Dispatcher, "a version in force everywhere", SECONDS)
            .measured(Dispatchers, "control", "in force, s")
            .at(dispatchers)
            .limit(Limit::InForce)
            .carried_by("versions streamed to all that hear; peers and keepers for others"),
    ]
}

/// Defines the figures of all roles other than the dispatcher.
fn other_roles() -> Vec<FigureDefinition> {
    vec![
        figure(NodeAgent, "its part of the starts at the peak", BYTES)
            .measured(Tasks, "starts", "nodes, bytes/s")
            .at(starts)
            .times(per_machine)
            .carried_by("an offer's stream, from one dispatcher"),
        figure(
            Roster,
            "each machine's room told once a second to all dispatchers",
            BYTES,
        )
        .measured(Machines, "control", "roster, bytes/s")
        .times(capacity_reports_to_all)
        .carried_by("missing: no roster but the stand-in's"),
        figure(Roster, "processor, the same", CORE)
            .measured(Machines, "control", "roster's thread, core %")
            .times(capacity_reports_to_all)
            .carried_by("missing: no roster but the stand-in's"),
        figure(ControlService, "versions to all dispatchers", BYTES)
            .measured(Versions, "pushed", "control, bytes/s")
            .at(versions_per_second)
            .times(dispatchers)
            .carried_by("missing: no control service but the stand-in's"),
        figure(Keeper, "all dispatchers' rounds", BYTES)
            .measured(Dispatchers, "control", "keepers, bytes/s")
            .at(dispatchers)
            .times(per_quorum_member)
            .carried_by("each dispatcher asks each 2 s, and for the floor"),
        figure(Keeper, "processor, the same", CORE)
            .measured(Dispatchers, "control", "keepers' thread, core %")
            .at(dispatchers)
            .times(per_quorum_member)
            .carried_by("part of the node agent; the figure is the stand-in's"),
        figure(
            OwnersClient,
            "all owners together, starts at the peak",
            BYTES,
        )
        .measured(Tasks, "starts", "owners, bytes/s")
        .at(starts)
        .carried_by("one stream a task"),
    ]
}

/// A requirement of the size that no mechanism supports yet.
pub struct MissingMechanism {
    /// The requirement.
    pub need: &'static str,
    /// The present state of support.
    pub state: &'static str,
}

/// The requirements of the size that no mechanism supports yet, with the reasons.
pub const MISSING_MECHANISMS: [MissingMechanism; 10] = [
    MissingMechanism {
        need: "gangs of up to 128",
        state: "missing: each ask is placed alone; nothing holds room for a whole gang, and none starts or fails as one",
    },
    MissingMechanism {
        need: "urgent work within 2.7 s",
        state: "missing: priorities exist (0 to 3, `makes-room`), no bound on the time to a start",
    },
    MissingMechanism {
        need: "quotas of 350 teams over a fleet",
        state: "missing: shares alone; each dispatcher guesses its own times the number of dispatchers, and a team has some 12 tasks (issue 16)",
    },
    MissingMechanism {
        need: "accelerators",
        state: "missing: the decisions know cores and memory only",
    },
    MissingMechanism {
        need: "regions",
        state: "missing: halls stand for zones; no level above them, no link told as far",
    },
    MissingMechanism {
        need: "a roster",
        state: "missing: a stand-in of the laboratory alone",
    },
    MissingMechanism {
        need: "a control service",
        state: "missing: a stand-in of the laboratory alone",
    },
    MissingMechanism {
        need: "news of room within a budget of bytes",
        state: "missing: each line goes to each dispatcher, however many there are",
    },
    MissingMechanism {
        need: "five machines set aside told as such",
        state: "missing: no kind of machine is kept from asks but by a kind of its own",
    },
    MissingMechanism {
        need: "dispatchers found by owners",
        state: "missing: an owner is given addresses; none tells it of others when a zone goes",
    },
];
