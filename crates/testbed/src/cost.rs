//! What dispatchers cost: processor time and memory as the kernel counts them by process, and what
//! they counted on their links.

use crate::traffic::traffic_of;
use corkspan_api::v1::{ConnectionTraffic, connection_traffic::Kind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Kinds of link that carry control, and not placing. Keepers are nodes: what is placed on these
/// few is with them.
pub const CONTROL_KINDS: [Kind; 4] = [
    Kind::Roster,
    Kind::Control,
    Kind::Keepers,
    Kind::Dispatchers,
];

/// One process at one moment.
#[derive(Clone, Debug)]
pub struct Reading {
    pub numbers: Range<usize>,
    pub hollow: bool,
    pub process: u32,
    pub at: Instant,
    /// Since its start.
    pub cpu: Duration,
    pub resident_kib: u64,
    /// As its dispatchers told them, by their numbers; those that told nothing are left out.
    pub counts: BTreeMap<usize, Vec<ConnectionTraffic>>,
}

/// Between two moments, of all processes of one sort that ran at both.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    pub processes: usize,
    pub dispatchers: usize,
    /// Dispatchers that told their counts at both moments: bytes and messages are of these.
    #[serde(rename = "told")]
    pub reporting: usize,
    pub seconds: f64,
    pub cpu_s: f64,
    /// At the later moment.
    pub resident_kib: u64,
    /// By kind of link, in this order: roster, control, keepers, dispatchers, nodes, owners; each
    /// bytes in and out, and messages in and out.
    pub links: [[u64; 4]; 6],
}

pub const TRAFFIC_KINDS: [Kind; 6] = [
    Kind::Roster,
    Kind::Control,
    Kind::Keepers,
    Kind::Dispatchers,
    Kind::Nodes,
    Kind::Owners,
];

fn figures(counts: &[ConnectionTraffic], kind: Kind) -> [u64; 4] {
    let count = traffic_of(counts, kind);
    [
        count.bytes_in,
        count.bytes_out,
        count.messages_in,
        count.messages_out,
    ]
}

impl Cost {
    /// Bytes a second and dispatcher of these kinds of link, both ways.
    pub fn bytes(&self, kinds: &[Kind]) -> f64 {
        let own =
            std::iter::zip(TRAFFIC_KINDS, self.links).filter(|(kind, _)| kinds.contains(kind));
        let bytes: u64 = own.map(|(_, [came, went, ..])| came + went).sum();
        bytes as f64 / self.seconds.max(1e-3) / self.reporting.max(1) as f64
    }

    /// Share of a core, of one dispatcher.
    pub fn cpu(&self) -> f64 {
        self.cpu_s / self.seconds.max(1e-3) / self.dispatchers.max(1) as f64
    }

    /// Of one dispatcher.
    pub fn mib(&self) -> f64 {
        self.resident_kib as f64 / 1024.0 / self.dispatchers.max(1) as f64
    }

    fn add(&mut self, before: &Reading, after: &Reading) {
        self.processes += 1;
        self.dispatchers += after.numbers.len();
        self.seconds = self.seconds.max((after.at - before.at).as_secs_f64());
        self.cpu_s += after.cpu.saturating_sub(before.cpu).as_secs_f64();
        self.resident_kib += after.resident_kib;
        for (number, counts) in &after.counts {
            let Some(former) = before.counts.get(number) else {
                continue;
            };
            self.reporting += 1;
            for (sum, kind) in std::iter::zip(&mut self.links, TRAFFIC_KINDS) {
                let (now, then) = (figures(counts, kind), figures(former, kind));
                for (sum, (now, then)) in std::iter::zip(sum, std::iter::zip(now, then)) {
                    *sum += now.saturating_sub(then);
                }
            }
        }
    }
}

/// Of dispatchers in processes of their own, and of hollow ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Costs {
    pub real: Cost,
    pub hollow: Cost,
}

/// A process that was started meanwhile has no former figures, and is left out.
pub fn between(before: &[Reading], after: &[Reading]) -> Costs {
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

pub fn resident_kib(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Processor time of all threads below a folder of /proc, to the nanosecond, as far as they still
/// run.
pub fn cpu(folder: &str) -> Option<Duration> {
    let mut sum = 0;
    for thread in std::fs::read_dir(format!("{folder}/task")).ok()? {
        let path = thread.ok()?.path().join("schedstat");
        // A thread that ends as we look is passed over.
        let Ok(text) = std::fs::read_to_string(path) else {
            continue;
        };
        sum += text.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Duration::from_nanos(sum))
}
