//! What a measurement asks of a machine, and what is short there.

/// What it needs, or what there is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineResources {
    pub memory_mib: u64,
    pub processes: u64,
    pub descriptors: u64,
}

/// Of one real dispatcher, with 1,300 machines known.
const MIB_PER_DISPATCHER: u64 = 24;
/// Of 1,000 machines that the stand-ins tell of, over a measurement's length.
const MIB_PER_1000_MACHINES: u64 = 120;
/// Of 1,000 tasks in hand, at both ends.
const MIB_PER_1000_TASKS: u64 = 40;
/// No run takes more of a machine's memory than this part, or more processes.
const MAX_MEMORY_DIVISOR: u64 = 2;
pub const MAX_PROCESSES: u64 = 400;

/// Of so many processes, machines told and tasks in hand.
pub fn required_for(dispatchers: u64, machines: u64, tasks: u64) -> MachineResources {
    let memory_mib = dispatchers
        .saturating_mul(MIB_PER_DISPATCHER)
        .saturating_add((machines / 1_000 + 1).saturating_mul(MIB_PER_1000_MACHINES))
        .saturating_add((tasks / 1_000 + 1).saturating_mul(MIB_PER_1000_TASKS));
    // A relay has two ends for each of a dispatcher's links: roster, control, keepers, nodes.
    let descriptors = dispatchers
        .saturating_mul(32)
        .saturating_add(machines.saturating_mul(4))
        .saturating_add(200);
    MachineResources {
        memory_mib,
        processes: dispatchers,
        descriptors,
    }
}

/// Refused at once, with all that is short.
pub fn check(required: MachineResources, available: MachineResources) -> Result<(), String> {
    let usable = [
        (
            "MiB of memory",
            required.memory_mib,
            available.memory_mib / MAX_MEMORY_DIVISOR,
        ),
        (
            "processes",
            required.processes,
            available.processes.min(MAX_PROCESSES),
        ),
        ("descriptors", required.descriptors, available.descriptors),
    ];
    let short: Vec<String> = usable
        .iter()
        .filter(|(_, required, usable)| required > usable)
        .map(|(what, required, usable)| {
            format!("{required} {what} are needed, and {usable} may be taken here")
        })
        .collect();
    if short.is_empty() {
        Ok(())
    } else {
        Err(format!("asks for too much: {}", short.join("; ")))
    }
}
