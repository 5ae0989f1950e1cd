//! The costs of dispatchers: processor time and memory of each process as counted by the kernel,
//! and the traffic that dispatchers counted on their connections.

use crate::traffic::traffic_of;
use corkspan_api::v1::{ConnectionTraffic, connection_traffic::Kind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::time::{Duration, Instant};

/// The kinds of connection that carry control traffic instead of placements. Quorum members are
/// nodes, so the placements on these few nodes are included.
pub const CONTROL_KINDS: [Kind; 4] = [
    Kind::Roster,
    Kind::Control,
    Kind::Keepers,
    Kind::Dispatchers,
];

/// The counters of one process at one moment.
#[derive(Clone, Debug)]
pub struct Reading {
    /// The numbers of its dispatchers.
    pub dispatchers: Range<usize>,
    pub hollow: bool,
    pub process: u32,
    pub at: Instant,
    /// Processor time since the start of the process.
    pub cpu: Duration,
    pub resident_kib: u64,
    /// The traffic reported by its dispatchers, by their numbers. Dispatchers that did not report
    /// are left out.
    pub counts: BTreeMap<usize, Vec<ConnectionTraffic>>,
}

/// The cost between two moments of all real or all hollow processes that ran at both.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    pub processes: usize,
    pub dispatchers: usize,
    /// Dispatchers that reported their counts at both moments; bytes and messages are theirs.
    #[serde(rename = "told")]
    pub reporting: usize,
    pub seconds: f64,
    pub cpu_s: f64,
    /// Resident memory at the later moment, in KiB.
    pub resident_kib: u64,
    /// Traffic by kind of connection, in the order of [`TRAFFIC_KINDS`]: discovery, control
    /// service, quorum members, dispatchers, nodes, clients. Each has bytes in and out, then
    /// messages in and out.
    pub links: [[u64; 4]; 6],
}

/// All kinds of connection, in the order in which a [`Cost`] has them.
pub const TRAFFIC_KINDS: [Kind; 6] = [
    Kind::Roster,
    Kind::Control,
    Kind::Keepers,
    Kind::Dispatchers,
    Kind::Nodes,
    Kind::Owners,
];

fn counts_of_kind(counts: &[ConnectionTraffic], kind: Kind) -> [u64; 4] {
    let count = traffic_of(counts, kind);
    [
        count.bytes_in,
        count.bytes_out,
        count.messages_in,
        count.messages_out,
    ]
}

impl Cost {
    /// Returns the bytes a second and dispatcher on these kinds of connection, in both directions.
    pub fn bytes(&self, kinds: &[Kind]) -> f64 {
        let selected =
            std::iter::zip(TRAFFIC_KINDS, self.links).filter(|(kind, _)| kinds.contains(kind));
        let bytes: u64 = selected
            .map(|(_, [bytes_in, bytes_out, ..])| bytes_in + bytes_out)
            .sum();
        bytes as f64 / self.seconds.max(1e-3) / self.reporting.max(1) as f64
    }

    /// Returns the processor use of one dispatcher, as a share of a core.
    pub fn cpu(&self) -> f64 {
        self.cpu_s / self.seconds.max(1e-3) / self.dispatchers.max(1) as f64
    }

    /// Returns the resident memory of one dispatcher, in MiB.
    pub fn mib(&self) -> f64 {
        self.resident_kib as f64 / 1024.0 / self.dispatchers.max(1) as f64
    }

    fn add(&mut self, before: &Reading, after: &Reading) {
        self.processes += 1;
        self.dispatchers += after.dispatchers.len();
        self.seconds = self.seconds.max((after.at - before.at).as_secs_f64());
        self.cpu_s += after.cpu.saturating_sub(before.cpu).as_secs_f64();
        self.resident_kib += after.resident_kib;
        for (number, counts) in &after.counts {
            let Some(counts_before) = before.counts.get(number) else {
                continue;
            };
            self.reporting += 1;
            for (sum, kind) in std::iter::zip(&mut self.links, TRAFFIC_KINDS) {
                let (current, previous) = (
                    counts_of_kind(counts, kind),
                    counts_of_kind(counts_before, kind),
                );
                for (sum, (current, previous)) in
                    std::iter::zip(sum, std::iter::zip(current, previous))
                {
                    *sum += current.saturating_sub(previous);
                }
            }
        }
    }
}

/// The costs of dispatchers in processes of their own, and of hollow ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    pub real: Cost,
    pub hollow: Cost,
}

/// Returns the costs between two moments. A process that was started between them has no earlier
/// figures and is left out.
pub fn costs_between(before: &[Reading], after: &[Reading]) -> Costs {
    let Costs {
        mut real,
        mut hollow,
    } = Costs::default();
    for after in after {
        if let Some(before) = before.iter().find(|before| before.process == after.process) {
            if after.hollow { &mut hollow } else { &mut real }.add(before, after);
        }
    }
    Costs { real, hollow }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} dispatchers in {} processes; of each {:.2}% of a core, {:.1} MiB; bytes/s: control {:.0}, nodes {:.0}, owners {:.0}",
            self.dispatchers,
            self.processes,
            100.0 * self.cpu(),
            self.mib(),
            self.bytes(&CONTROL_KINDS),
            self.bytes(&[Kind::Nodes]),
            self.bytes(&[Kind::Owners]),
        )
    }
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the processor time of all threads in a process folder of /proc that still run, to the
/// nanosecond.
pub fn cpu(folder: &str) -> Option<Duration> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("{folder}/task")).ok()? {
        let path = thread.ok()?.path().join("schedstat");
        // A thread that ended after the folder was listed is skipped.
        let Ok(text) = std::fs::read_to_string(path) else {
            continue;
        };
        sum += text.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}
