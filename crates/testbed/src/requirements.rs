//! Computes what a scenario requires of the machine, before anything is started, and compares it
//! with the machine's limits. Only [`Limits::of_this_machine`] reads from the system.

use crate::scenario::{ConnectionPeer, FaultKind, Scenario};
use std::time::Duration;

/// Upper bounds of a dispatcher's memory with the records of a thousand nodes, for real and hollow
/// dispatchers.
const REAL_DISPATCHER_KIB: u64 = 24 * 1024;
const HOLLOW_DISPATCHER_KIB: u64 = 8 * 1024;
/// Upper bound of a task's memory at its dispatcher while its connection is open, including flow
/// control windows.
const CONNECTION_KIB: u64 = 200;
/// Memory of the stand-ins: at the start, for each node, and for each task from its first request
/// on, including its lines of the capture.
const STAND_INS_KIB: u64 = 128 * 1024;
const NODE_KIB: u64 = 64;
const TASK_KIB: u64 = 16;
/// Memory for each node's entry that each dispatcher receives at its start, kept in the capture.
const ENDPOINT_BYTES: u64 = 200;
/// Time after which a connection without calls is closed, or up to a quarter later.
const IDLE_TIMEOUT: Duration = Duration::from_secs(19);
/// Maximum processes that a scenario may use.
const MAX_PROCESSES: u64 = 400;

/// Upper bounds of what a scenario requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    pub memory_kib: u64,
    pub processes: u64,
    /// Descriptors in the stand-ins' process.
    pub descriptors: u64,
    /// Descriptors in the hollow process that requires the most.
    pub hollow_descriptors: u64,
}

/// What a scenario may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_kib: u64,
    pub processes: u64,
    pub descriptors: u64,
}

impl Requirements {
    /// Computes the requirements of a scenario.
    pub fn for_scenario(scenario: &Scenario) -> Requirements {
        let (dispatchers, hollow, nodes) = (
            scenario.dispatchers as u64,
            scenario.hollow as u64,
            scenario.nodes as u64,
        );
        let demand_steps = scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Demand);
        let rate = demand_steps.fold(scenario.rate, |rate, step| {
            rate.max(scenario.rate * step.demand_factor)
        });
        let bursts = scenario
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::Burst);
        let burst: u64 = bursts.map(|fault| fault.count as u64).sum();
        // Each task may have a connection of its own, from its offer to its end and then until the
        // idle connection is closed.
        let connection_lifetime = scenario
            .length
            .min(scenario.mean_lifetime.mul_f64(1.7) + IDLE_TIMEOUT);
        let tasks =
            (rate * connection_lifetime.as_secs_f64()) as u64 + burst + scenario.replicas as u64;
        let connections = tasks.min(dispatchers * nodes);
        let relays = match (
            scenario.needs_fault_proxies(),
            scenario.affects(ConnectionPeer::Nodes),
        ) {
            (false, _) => 0,
            (true, all) => dispatchers * (if all { nodes } else { 3 } + 6),
        };
        let processes = scenario.processes().len() as u64;
        let hollow_per_process = (scenario.per_process as u64).min(hollow);
        let requested = (rate * scenario.length.as_secs_f64()) as u64 + burst;
        Requirements {
            memory_kib: STAND_INS_KIB
                + (dispatchers - hollow) * REAL_DISPATCHER_KIB
                + hollow * HOLLOW_DISPATCHER_KIB
                + nodes * NODE_KIB
                + tasks * CONNECTION_KIB
                + requested * TASK_KIB
                + dispatchers * nodes * ENDPOINT_BYTES / 1024,
            processes: processes + 1,
            // A relay has a listener and a connection to either side.
            descriptors: nodes
                + connections
                + dispatchers * 4
                + relays
                + 2 * connections.min(relays)
                + 100,
            hollow_descriptors: hollow_per_process * 8
                + (connections * hollow_per_process).div_ceil(dispatchers) * 2
                + 100,
        }
    }

    /// Compares with the limits. The error lists everything that is short.
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
        let short = rows.iter().filter(|(_, need, available)| need > available);
        let short: Vec<String> = short
            .map(|(what, need, available)| format!("{need} {what}, and {available} may be used"))
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
    /// Reads the limits of this machine and process.
    pub fn of_this_machine() -> Result<Limits, String> {
        let text = std::fs::read_to_string("/proc/meminfo")
            .map_err(|why| format!("/proc/meminfo: {why}"))?;
        let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let total: Option<u64> = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
        let total = total.ok_or("/proc/meminfo does not contain MemTotal")?;
        // A container may have less than the machine.
        let container = std::fs::read_to_string("/sys/fs/cgroup/memory.max").ok();
        let container = container
            .and_then(|text| text.trim().parse::<u64>().ok())
            .map_or(total, |bytes| bytes / 1024);
        let limit = |resource| {
            rustix::process::getrlimit(resource)
                .current
                .unwrap_or(u64::MAX)
        };
        Ok(Limits {
            memory_kib: total.min(container) / 2,
            processes: MAX_PROCESSES.min(limit(rustix::process::Resource::Nproc)),
            descriptors: limit(rustix::process::Resource::Nofile),
        })
    }
}
