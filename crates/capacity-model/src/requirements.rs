//! What a measurement requires of the machine that it runs on, and what is short there.

use std::fmt;

/// What is required of a machine, or what is available there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineResources {
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Processes.
    pub processes: u64,
    /// File descriptors of one process.
    pub descriptors: u64,
}

/// Memory of one real dispatcher that knows 1,300 machines.
const MIB_PER_DISPATCHER: u64 = 24;
/// Memory of the stand-ins for 1,000 machines over the length of a measurement.
const MIB_PER_1000_MACHINES: u64 = 120;
/// Memory of 1,000 tasks in flight, at both ends.
const MIB_PER_1000_TASKS: u64 = 40;
/// A proxy has two ends for each connection of a dispatcher: to roster, control service, quorum and
/// nodes.
const DESCRIPTORS_PER_DISPATCHER: u64 = 32;
const DESCRIPTORS_PER_MACHINE: u64 = 4;
/// Descriptors of the process itself.
const OWN_DESCRIPTORS: u64 = 200;
/// A measurement takes at most this part of a machine's memory: one half.
const MEMORY_DIVISOR: u64 = 2;
/// Processes that a measurement starts at most.
pub const MAX_PROCESSES: u64 = 400;

/// What a measurement requires with so many dispatchers, machines known and tasks in flight.
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
    /// What is short, with its unit.
    pub resource: &'static str,
    /// How much is required.
    pub required: u64,
    /// How much of it a measurement may use here.
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
            "{required} {resource} are needed, and {usable} may be taken here"
        )
    }
}

/// A machine can't carry a measurement.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("asks for too much: {}", joined(.0))]
pub struct InsufficientMachine(
    /// All that is short.
    pub Vec<Shortage>,
);

fn joined(shortages: &[Shortage]) -> String {
    let texts: Vec<String> = shortages.iter().map(Shortage::to_string).collect();
    texts.join("; ")
}

/// Checks that a machine can carry what is required.
///
/// # Errors
///
/// [`InsufficientMachine`] with all that is short.
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
