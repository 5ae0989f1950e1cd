//! What a measurement asks of a machine, and what is short there.

/// What it needs, or what there is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    pub memory_mib: u64,
    pub processes: u64,
    pub descriptors: u64,
}

/// Of one real dispatcher, with 1,300 machines known.
const MIB_A_DISPATCHER: u64 = 24;
/// Of 1,000 machines that the stand-ins tell of, over a measurement's length.
const MIB_A_THOUSAND: u64 = 120;
/// Of 1,000 tasks in hand, at both ends.
const MIB_A_THOUSAND_TASKS: u64 = 40;
/// No run takes more of a machine's memory than this part, or more processes.
const PART: u64 = 2;
pub const PROCESSES: u64 = 400;

/// Of so many processes, machines told and tasks in hand.
pub fn needs(dispatchers: u64, machines: u64, tasks: u64) -> Machine {
    let memory_mib = dispatchers
        .saturating_mul(MIB_A_DISPATCHER)
        .saturating_add((machines / 1_000 + 1).saturating_mul(MIB_A_THOUSAND))
        .saturating_add((tasks / 1_000 + 1).saturating_mul(MIB_A_THOUSAND_TASKS));
    // A relay has two ends for each of a dispatcher's links: roster, control, keepers, nodes.
    let descriptors = dispatchers
        .saturating_mul(32)
        .saturating_add(machines.saturating_mul(4))
        .saturating_add(200);
    Machine {
        memory_mib,
        processes: dispatchers,
        descriptors,
    }
}

/// Refused at once, with all that is short.
pub fn fits(needs: Machine, has: Machine) -> Result<(), String> {
    let may = [
        ("MiB of memory", needs.memory_mib, has.memory_mib / PART),
        ("processes", needs.processes, has.processes.min(PROCESSES)),
        ("descriptors", needs.descriptors, has.descriptors),
    ];
    let short: Vec<String> = may
        .iter()
        .filter(|(_, needs, may)| needs > may)
        .map(|(what, needs, may)| format!("{needs} {what} are needed, and {may} may be taken here"))
        .collect();
    if short.is_empty() {
        Ok(())
    } else {
        Err(format!("asks for too much: {}", short.join("; ")))
    }
}
