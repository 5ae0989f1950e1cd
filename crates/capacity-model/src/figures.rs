//! Evaluates the cost of each role at a size from fitted lines, and compares it with its limit.

use crate::catalog::definitions;
use crate::fit::{Estimate, EstimateSource, LinearFit};
use crate::result::{Axis, CapacityResult, FleetSize, Run};

/// A part of a fleet.
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
    /// Requests tasks.
    OwnersClient,
}

impl Role {
    /// All roles, in the order of the capacity page.
    pub const ALL: [Role; 6] = [
        Role::Dispatcher,
        Role::NodeAgent,
        Role::Roster,
        Role::ControlService,
        Role::Keeper,
        Role::OwnersClient,
    ];

    /// Returns the name on the page.
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

/// The limit of the size that a figure is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limit {
    /// Processor time, in percent of a core.
    Core,
    /// Memory, in MiB.
    Memory,
    /// Traffic, in bytes per second.
    Bytes,
    /// Time until a version is active everywhere, in seconds.
    InForce,
    /// No limit.
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

/// The definition of one figure of a role.
pub struct FigureDefinition {
    /// The role whose cost it is.
    pub role: Role,
    /// The description of the figure, as on the page.
    pub what: &'static str,
    /// The unit of the figure.
    pub unit: &'static str,
    /// The axis of the run that it is computed from.
    pub axis: Axis,
    /// The series of that run.
    pub series: &'static str,
    /// The name of the measured figure in that run.
    pub figure: &'static str,
    /// Returns the position on the axis.
    pub at: fn(&FleetSize) -> f64,
    /// Returns the factor by which the line's value at that position is multiplied.
    pub times: fn(&FleetSize) -> f64,
    /// The limit that the figure is compared with.
    pub limit: Limit,
    /// The mechanism that supports the figure, or `missing`.
    pub mechanism: &'static str,
}

/// The result of evaluating a figure.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A value at the size.
    Estimated {
        /// The value with its error.
        value: Estimate,
        /// The line from which the value is computed.
        fit: LinearFit,
    },
    /// No value, for the reason given.
    Unavailable(String),
}

/// A figure evaluated at the size.
pub struct EvaluatedFigure {
    /// The definition of the figure.
    pub definition: FigureDefinition,
    /// The value, or the reason why there is none.
    pub outcome: Outcome,
    /// The limit, or `None` if the size has no limit for this figure.
    pub limit: Option<f64>,
    /// The position on the page, from 1, of the run that it was computed from.
    pub run: Option<usize>,
}

impl EvaluatedFigure {
    /// Returns the value as a multiple of its limit; above 1 the limit is exceeded.
    pub fn factor(&self) -> Option<f64> {
        match &self.outcome {
            Outcome::Estimated { value, .. } => Some(value.value / self.limit?),
            Outcome::Unavailable(_) => None,
        }
    }

    /// Returns how the value was obtained, as on the page.
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

/// Evaluates all figures at a result's size.
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

/// Returns the figures with a limit, sorted by decreasing factor; those without a value are last.
pub fn by_factor(mut figures: Vec<EvaluatedFigure>) -> Vec<EvaluatedFigure> {
    figures.retain(|figure| figure.limit.is_some());
    figures.sort_by(|one, other| {
        let factor = |figure: &EvaluatedFigure| figure.factor().unwrap_or(f64::NEG_INFINITY);
        factor(other).total_cmp(&factor(one))
    });
    figures
}
