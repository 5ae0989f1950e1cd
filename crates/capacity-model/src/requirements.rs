//! Computes the resources that a measurement requires of its machine, and those that are short.

use std::fmt;

/// The resources that are required of a machine, or available there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineResources {
    /// The memory, in MiB.
    pub memory_mib: u64,
    /// The number of processes.
    pub processes: u64,
    /// The number of file descriptors of one process.
    pub descriptors: u64,
}

/// The memory of one real dispatcher that knows 1,300 machines, in MiB.
const MIB_PER_DISPATCHER: u64 = 24;
/// The memory of the stand-ins for 1,000 machines over the length of a measurement, in MiB.
const MIB_PER_1000_MACHINES: u64 = 120;
/// The memory of 1,000 tasks in flight, at both ends, in MiB.
const MIB_PER_1000_TASKS: u64 = 40;
/// The descriptors for one dispatcher. A proxy has two ends for each connection of a dispatcher: to
/// roster, control service, quorum and nodes.
const DESCRIPTORS_PER_DISPATCHER: u64 = 32;
const DESCRIPTORS_PER_MACHINE: u64 = 4;
/// The descriptors of the process itself.
const OWN_DESCRIPTORS: u64 = 200;
/// The divisor of a machine's memory: a measurement uses at most one half of it.
const MEMORY_DIVISOR: u64 = 2;
/// The maximum number of processes that a measurement starts.
pub const MAX_PROCESSES: u64 = 400;

/// Returns the resources that a measurement requires for these numbers of dispatchers, known
/// machines and tasks in flight.
pub fn required_for(dispatchers: u64, machines: u64, tasks: u64) -> MachineResources {
    let per_thousand = |count: u64, mib: u64| (count / 1_000 + 1).saturating_mul(mib);
    let memory_mib = dispatchers
        .saturating_mul(MIB_PER_DISPATCHER)
        .saturating_add(per_thousand(machines, MIB_PER_1000_MACHINES))
        .saturating_add(per_thousand(tasks, MIB_PER_1000_TASKS));
    let descriptors = dispatchers
        .saturating_mul(DESCRIPTORS_PER_DISPATCHER)
        .saturating_add(machines.saturating_mul(DESCRIPTORS_PER_MACHINE))
        .saturating_add(OWN_DESCRIPTORS);
    MachineResources {
        memory_mib,
        processes: dispatchers,
        descriptors,
    }
}

/// One resource that is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The resource that is short, with its unit.
    pub resource: &'static str,
    /// The required amount.
    pub required: u64,
    /// The amount that a measurement may use on this machine.
    pub usable: u64,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Shortage {
            resource,
            required,
            usable,
        } = self;
        write!(
            f,
            "{required} {resource} are required, but only {usable} may be used here"
        )
    }
}

/// The error for a machine that has too few resources for a measurement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("insufficient resources: {}", joined(.0))]
pub struct InsufficientMachine(
    /// All resources that are short.
    pub Vec<Shortage>,
);

fn joined(shortages: &[Shortage]) -> String {
    let texts: Vec<String> = shortages.iter().map(Shortage::to_string).collect();
    texts.join("; ")
}

/// Checks that a machine has the required resources.
///
/// # Errors
///
/// Returns [`InsufficientMachine`] with all resources that are short.
pub fn check(
    required: MachineResources,
    available: MachineResources,
) -> Result<(), InsufficientMachine> {
    let resources = [
        (
            "MiB of memory",
            required.memory_mib,
            available.memory_mib / MEMORY_DIVISOR,
        ),
        (
            "processes",
            required.processes,
            available.processes.min(MAX_PROCESSES),
        ),
        ("descriptors", required.descriptors, available.descriptors),
    ];
    let shortages: Vec<Shortage> = resources
        .into_iter()
        .filter(|(_, required, usable)| required > usable)
        .map(|(resource, required, usable)| Shortage {
            resource,
            required,
            usable,
        })
        .collect();
    if shortages.is_empty() {
        Ok(())
    } else {
        Err(InsufficientMachine(shortages))
    }
}
