//! The cost of each role at a size: a measured line's value there, against its limit.

use crate::catalog::definitions;
use crate::fit::{Estimate, EstimateSource, LinearFit};
use crate::result::{Axis, CapacityResult, FleetSize, Run};

/// Parts of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Places tasks.
    Dispatcher,
    /// Runs tasks on a machine.
    NodeAgent,
    /// Holds the list of machines.
    Roster,
    /// Streams versions of the configuration.
    ControlService,
    /// A member of the quorum.
    Keeper,
    /// Asks for tasks.
    OwnersClient,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Role; 6] = [
        Role::Dispatcher,
        Role::NodeAgent,
        Role::Roster,
        Role::ControlService,
        Role::Keeper,
        Role::OwnersClient,
    ];

    /// The name on the page.
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

/// Which limit of the size a figure is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Processor time, in percent of a core.
    Core,
    /// Memory, in MiB.
    Memory,
    /// Traffic, in bytes a second.
    Bytes,
    /// Time until a version is in force everywhere, in seconds.
    InForce,
    /// The size has none.
    None,
}

impl Limit {
    fn of(self, size: &FleetSize) -> Option<f64> {
        match self {
            Limit::Core => Some(size.core_percent),
            Limit::Memory => Some(size.memory_mib),
            Limit::Bytes => Some(size.bytes_a_second),
            Limit::InForce => Some(size.in_force_s),
            Limit::None => None,
        }
    }
}

/// One figure of a role.
pub struct FigureDefinition {
    /// Whose cost it is.
    pub role: Role,
    /// What it is, as on the page.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Axis of the run that it is computed from.
    pub axis: Axis,
    /// Series of that run.
    pub series: &'static str,
    /// Name of the measured figure in that run.
    pub figure: &'static str,
    /// The place on the axis.
    pub at: fn(&FleetSize) -> f64,
    /// What the line's value there is multiplied by.
    pub times: fn(&FleetSize) -> f64,
    /// What it is compared with.
    pub limit: Limit,
    /// The mechanism that carries it, or `missing`.
    pub mechanism: &'static str,
}

/// What a figure comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A value at the size.
    Estimated {
        /// The value with its error.
        value: Estimate,
        /// The line behind it.
        fit: LinearFit,
    },
    /// There is no value, for this reason.
    Unavailable(String),
}

/// A figure at the size.
pub struct EvaluatedFigure {
    /// What was computed.
    pub definition: FigureDefinition,
    /// What it comes to.
    pub outcome: Outcome,
    /// None where the size has no limit for it.
    pub limit: Option<f64>,
    /// The run that it was computed from, by its position on the page, from 1.
    pub run: Option<usize>,
}

impl EvaluatedFigure {
    /// The value as a multiple of its limit: above 1 the limit is exceeded.
    pub fn factor(&self) -> Option<f64> {
        match &self.outcome {
            Outcome::Estimated { value, .. } => Some(value.value / self.limit?),
            Outcome::Unavailable(_) => None,
        }
    }

    /// How the value was obtained, as on the page.
    pub fn source_name(&self) -> &'static str {
        let Outcome::Estimated { value, .. } = &self.outcome else {
            return "not told";
        };
        match value.source {
            EstimateSource::Line => "line",
            EstimateSource::Extrapolated => "line, beyond its points",
            EstimateSource::Interpolated => "not straight: between two points",
        }
    }
}

/// All figures at a result's size.
pub fn evaluate(result: &CapacityResult) -> Vec<EvaluatedFigure> {
    definitions()
        .into_iter()
        .map(|definition| evaluate_figure(result, definition))
        .collect()
}

fn evaluate_figure(result: &CapacityResult, definition: FigureDefinition) -> EvaluatedFigure {
    let run = result.run(definition.axis, definition.series);
    let outcome = match run {
        Some(run) => outcome(run, &definition, &result.size),
        None => not_measured(),
    };
    let position = run.and_then(|run| {
        result
            .runs
            .iter()
            .position(|listed| std::ptr::eq(listed, run))
    });
    EvaluatedFigure {
        outcome,
        limit: definition.limit.of(&result.size),
        run: position.map(|index| index + 1),
        definition,
    }
}

fn not_measured() -> Outcome {
    Outcome::Unavailable("not measured".into())
}

fn outcome(run: &Run, definition: &FigureDefinition, size: &FleetSize) -> Outcome {
    let points = run.figure(definition.figure);
    if points.is_empty() {
        return not_measured();
    }
    let missing = run.missing_places();
    if !missing.is_empty() {
        let missing: Vec<String> = missing.iter().map(f64::to_string).collect();
        let missing = missing.join(", ");
        return Outcome::Unavailable(format!("partial: nothing sound at {missing}"));
    }
    let fit = match LinearFit::through(&points) {
        Ok(fit) => fit,
        Err(error) => return Outcome::Unavailable(error.to_string()),
    };
    match fit.estimate((definition.at)(size)) {
        Ok(estimate) => {
            let times = (definition.times)(size);
            let value = Estimate {
                value: estimate.value * times,
                error: estimate.error * times,
                source: estimate.source,
            };
            Outcome::Estimated { value, fit }
        }
        Err(error) => Outcome::Unavailable(error.to_string()),
    }
}

/// Figures with a limit: the one that exceeds it the most first, those without a value last.
pub fn by_factor(mut figures: Vec<EvaluatedFigure>) -> Vec<EvaluatedFigure> {
    figures.retain(|figure| figure.limit.is_some());
    figures.sort_by(|one, other| {
        let factor = |figure: &EvaluatedFigure| figure.factor().unwrap_or(f64::NEG_INFINITY);
        factor(other).total_cmp(&factor(one))
    });
    figures
}
