//! What a day needs of the machine, worked out before anything is started, and what the machine
//! has. Plain arithmetic, but for [`Limits::of_this_machine`].

use crate::scenario::{FaultKind, LinkPeer, Scenario};
use std::time::Duration;

/// Real dispatchers and hollow ones with a thousand nodes' records, and what a task takes at its
/// dispatcher while its link stands, with the links' windows: above what was seen.
const REAL_KIB: u64 = 24 * 1024;
const HOLLOW_KIB: u64 = 8 * 1024;
const LINK_KIB: u64 = 200;
/// The stand-ins: at the start, a node, and a task from its first ask on, with its lines of the
/// capture.
const STAND_INS_KIB: u64 = 128 * 1024;
const NODE_KIB: u64 = 64;
const TASK_KIB: u64 = 16;
/// Told at the start of each dispatcher of each node, and kept in the capture.
const TOLD_BYTES: u64 = 200;
/// A link without a call on it is closed after so long, or a quarter later.
const IDLE: Duration = Duration::from_secs(19);
/// "A few hundred".
const PROCESSES: u64 = 400;

/// What is needed at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    pub memory_kib: u64,
    pub processes: u64,
    /// In the stand-ins' process.
    pub descriptors: u64,
    /// In the hollow process that needs most.
    pub hollow_descriptors: u64,
}

/// What may be used.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_kib: u64,
    pub processes: u64,
    pub descriptors: u64,
}

impl Requirements {
    pub fn for_scenario(scenario: &Scenario) -> Requirements {
        let (dispatchers, hollow, nodes) = (
            scenario.dispatchers as u64,
            scenario.hollow as u64,
            scenario.nodes as u64,
        );
        let highest = scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Demand);
        let rate = highest.fold(scenario.rate, |rate, step| {
            rate.max(scenario.rate * step.demand_factor)
        });
        let burst = scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Burst);
        let burst: u64 = burst.map(|fault| fault.count as u64).sum();
        // Each task may have a link of its own, from its offer to its end and until that has been
        // idle for long.
        let stands = scenario
            .length
            .min(scenario.mean_lifetime.mul_f64(1.7) + IDLE);
        let tasks = (rate * stands.as_secs_f64()) as u64 + burst + scenario.replicas as u64;
        let links = tasks.min(dispatchers * nodes);
        let relayed = match (
            scenario.needs_fault_proxies(),
            scenario.affects(LinkPeer::Nodes),
        ) {
            (false, _) => 0,
            (true, all) => dispatchers * (if all { nodes } else { 3 } + 6),
        };
        let processes = scenario.processes().len() as u64;
        let a_process = (scenario.per_process as u64).min(hollow);
        let asked = (rate * scenario.length.as_secs_f64()) as u64 + burst;
        Requirements {
            memory_kib: STAND_INS_KIB
                + (dispatchers - hollow) * REAL_KIB
                + hollow * HOLLOW_KIB
                + nodes * NODE_KIB
                + tasks * LINK_KIB
                + asked * TASK_KIB
                + dispatchers * nodes * TOLD_BYTES / 1024,
            processes: processes + 1,
            // A relay listens, and has a link to either side.
            descriptors: nodes + links + dispatchers * 4 + relayed + 2 * links.min(relayed) + 100,
            hollow_descriptors: a_process * 8 + (links * a_process).div_ceil(dispatchers) * 2 + 100,
        }
    }

    /// What is short, all of it.
    pub fn check(&self, limits: &Limits) -> Result<(), String> {
        let rows = [
            (
                "KiB of memory, half of the machine's",
                self.memory_kib,
                limits.memory_kib,
            ),
            ("processes", self.processes, limits.processes),
            (
                "descriptors of one process",
                self.descriptors.max(self.hollow_descriptors),
                limits.descriptors,
            ),
        ];
        let short = rows.iter().filter(|(_, wanted, there)| wanted > there);
        let short: Vec<String> = short
            .map(|(what, wanted, there)| format!("{wanted} {what}, and {there} may be used"))
            .collect();
        match short.is_empty() {
            true => Ok(()),
            false => Err(format!(
                "too large for this machine: it may need {}",
                short.join("; ")
            )),
        }
    }
}

impl Limits {
    pub fn of_this_machine() -> Result<Limits, String> {
        let text = std::fs::read_to_string("/proc/meminfo")
            .map_err(|why| format!("/proc/meminfo: {why}"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let all: Option<u64> = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        let all = all.ok_or("the kernel does not tell the machine's memory")?;
        // A container may have less than the machine.
        let own = std::fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
        let own = own
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map_or(all, |bytes| bytes / 1024);
        let limit = |resource| {
            rustix::process::getrlimit(resource)
                .current
                .unwrap_or(u64::MAX)
        };
        Ok(Limits {
            memory_kib: all.min(own) / 2,
            processes: PROCESSES.min(limit(rustix::process::Resource::Nproc)),
            descriptors: limit(rustix::process::Resource::Nofile),
        })
    }
}
