//! What a scenario with versions and a minimum version came to, by its capture: the time from a
//! push to its effect, from a raise to the last operation below it, how dispatchers caught up, and
//! what an audit reported against the nodes' sockets.

use crate::capture::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

const MICROSECONDS_PER_MS: f64 = 1_000.0;
const KIB_PER_MIB: f64 = 1024.0;

/// The figures of one capture.
#[derive(Default)]
pub struct VersionFigures {
    /// Versions pushed.
    pub pushed: usize,
    /// From a push to its effect at half of the dispatchers, in ms: the median over all pushes.
    pub half: f64,
    /// Likewise at six tenths. Where a third is held up, these are nearly all that hear of it.
    pub six_tenths: f64,
    /// Each raise of the minimum version.
    pub raises: Vec<Raise>,
    /// The audit at the end, if there was one.
    pub audit: Option<AuditFigures>,
    /// Resident memory of dispatchers.
    pub memory: Option<MemoryFigures>,
}

/// What followed one raise of the minimum version.
#[derive(Default)]
pub struct Raise {
    /// The minimum version.
    pub lowest: u64,
    /// To the last attempt below it that a node accepted, in ms; none where there was none.
    pub taken: Option<f64>,
    /// To the last attempt below it that reached a node, in ms; none where there was none.
    pub reached: Option<f64>,
    /// Nodes that have stored it.
    pub nodes: usize,
    /// Dispatchers below it at the raise.
    pub below: usize,
    /// Of these, how many caught up.
    pub up: usize,
    /// How long the last of them took, in s.
    pub last_up: f64,
}

/// What an audit of the fleet reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuditFigures {
    /// How long it took, in ms.
    pub took_ms: u64,
    /// Bytes it cost.
    pub bytes: u64,
    /// Its findings.
    pub findings: usize,
    /// Whether its operation counts are those that crossed the nodes' sockets.
    pub equal: bool,
}

/// Resident memory of all dispatchers, in MiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryFigures {
    /// The mean.
    pub mean: f64,
    /// The largest.
    pub max: f64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// A push, and when dispatchers had it, in ms from it.
struct Push {
    at: u64,
    effects: Vec<f64>,
}

/// The last raise, and the dispatchers that are still below it.
struct OpenRaise {
    at: u64,
    below: BTreeSet<u32>,
}

/// One attempt at one node.
type AttemptKey<'a> = (u32, &'a str, u32);

/// Reads a capture line by line.
#[derive(Default)]
struct Collector<'a> {
    figures: VersionFigures,
    pushes: BTreeMap<u64, Push>,
    active: BTreeMap<u32, u64>,
    raise: Option<OpenRaise>,
    /// The version that each attempt was decided under.
    attempts: BTreeMap<AttemptKey<'a>, u64>,
    /// Nodes that have stored the minimum version of the last raise.
    nodes: BTreeSet<u32>,
}

impl<'a> Collector<'a> {
    fn read(&mut self, line: &'a Line) {
        let now = line.t;
        match &line.observation {
            Observation::Pushed { number } => {
                let effects = Vec::new();
                self.pushes.insert(*number, Push { at: now, effects });
            }
            Observation::VersionActive { dispatcher, number } => {
                self.in_force(now, *dispatcher, *number)
            }
            Observation::MinimumVersionRaised { lowest } => self.raised(now, *lowest),
            Observation::MinimumVersionStored { node, .. } => self.stored(*node),
            Observation::Offered {
                node,
                placement_id,
                number,
                decided,
                dispatcher,
                ..
            } => {
                let attempt = (*node, placement_id.as_str(), *number);
                self.attempts.insert(attempt, *decided);
                self.offered(now, *dispatcher, *decided);
            }
            Observation::EventSent {
                node,
                placement_id,
                number,
                event: AllocationEvent::Accepted,
            } => self.accepted(now, (*node, placement_id.as_str(), *number)),
            Observation::Audited {
                took_ms,
                bytes,
                findings,
                equal,
            } => {
                self.figures.audit = Some(AuditFigures {
                    took_ms: *took_ms,
                    bytes: *bytes,
                    findings: *findings,
                    equal: *equal,
                });
            }
            Observation::Memory { mean_kib, most_kib } => {
                self.figures.memory = Some(MemoryFigures {
                    mean: *mean_kib as f64 / KIB_PER_MIB,
                    max: *most_kib as f64 / KIB_PER_MIB,
                });
            }
            _ => {}
        }
    }

    fn in_force(&mut self, now: u64, dispatcher: u32, number: u64) {
        self.active.insert(dispatcher, number);
        if let Some(push) = self.pushes.get_mut(&number) {
            push.effects.push(ms_between(push.at, now));
        }
        let (Some(open), Some(raise)) = (&mut self.raise, self.figures.raises.last_mut()) else {
            return;
        };
        if number >= raise.lowest {
            open.caught_up(dispatcher, now, raise);
        }
    }

    fn raised(&mut self, now: u64, lowest: u64) {
        let below = self.active.iter().filter(|(_, active)| **active < lowest);
        let below: BTreeSet<u32> = below.map(|(dispatcher, _)| *dispatcher).collect();
        self.figures.raises.push(Raise {
            lowest,
            below: below.len(),
            ..Raise::default()
        });
        self.raise = Some(OpenRaise { at: now, below });
        self.nodes.clear();
    }

    fn stored(&mut self, node: u32) {
        self.nodes.insert(node);
        if let Some(raise) = self.figures.raises.last_mut() {
            raise.nodes = self.nodes.len();
        }
    }

    fn offered(&mut self, now: u64, dispatcher: u32, decided: u64) {
        let (Some(open), Some(raise)) = (&mut self.raise, self.figures.raises.last_mut()) else {
            return;
        };
        if decided < raise.lowest {
            raise.reached = Some(ms_between(open.at, now));
        } else {
            // It may have caught up without a report: its first attempt from above tells.
            open.caught_up(dispatcher, now, raise);
        }
    }

    fn accepted(&mut self, now: u64, attempt: AttemptKey<'a>) {
        let (Some(open), Some(raise)) = (&self.raise, self.figures.raises.last_mut()) else {
            return;
        };
        let decided = self.attempts.get(&attempt);
        if decided.is_some_and(|decided| *decided < raise.lowest) {
            raise.taken = Some(ms_between(open.at, now));
        }
    }

    /// The median, over all pushes, of the time until this part of the dispatchers had it.
    fn effect_at(&self, part: f64) -> f64 {
        let index = (self.active.len() as f64 * part) as usize;
        let times = self.pushes.values().map(|push| push.effects.get(index));
        median(times.flatten().copied().collect())
    }

    fn finish(mut self) -> Option<VersionFigures> {
        self.figures.pushed = self.pushes.len();
        self.figures.half = self.effect_at(0.5);
        self.figures.six_tenths = self.effect_at(0.6);
        (self.figures.pushed > 0).then_some(self.figures)
    }
}

impl OpenRaise {
    /// A dispatcher is no longer below, if it was.
    fn caught_up(&mut self, dispatcher: u32, now: u64, raise: &mut Raise) {
        if self.below.remove(&dispatcher) {
            raise.up += 1;
            raise.last_up = ms_between(self.at, now) / 1_000.0;
        }
    }
}

fn ms_between(earlier: u64, later: u64) -> f64 {
    (later - earlier) as f64 / MICROSECONDS_PER_MS
}

impl VersionFigures {
    /// The figures of a capture; none where no version was pushed.
    pub fn of(lines: &[Line]) -> Option<Self> {
        let mut collector = Collector::default();
        lines.iter().for_each(|line| collector.read(line));
        collector.finish()
    }
}

impl fmt::Display for VersionFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (pushed, half, six_tenths) = (self.pushed, self.half, self.six_tenths);
        writeln!(
            f,
            "versions             {pushed} pushed; in force at half after {half:.0} ms, at 6 of 10 after {six_tenths:.0} ms"
        )?;
        self.raises.iter().try_for_each(|raise| raise.fmt(f))?;
        if let Some(audit) = self.audit {
            let equal = if audit.equal {
                "equals"
            } else {
                "DIFFERS FROM"
            };
            let (took, kib) = (audit.took_ms, audit.bytes / 1024);
            writeln!(
                f,
                "audit                {took} ms, {kib} KiB, {} findings; its acts: {equal} the sockets'",
                audit.findings
            )?;
        }
        if let Some(MemoryFigures { mean, max }) = self.memory {
            writeln!(
                f,
                "memory a dispatcher  {mean:.1} MiB, {max:.1} at the most"
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Raise {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let ms = |time: Option<f64>| time.map_or("never".into(), |time| format!("{time:.0} ms"));
        let (taken, reached) = (ms(self.taken), ms(self.reached));
        let Raise {
            lowest,
            nodes,
            below,
            up,
            last_up,
            ..
        } = self;
        writeln!(
            f,
            "floor {lowest:<14} last shot below taken after {taken}, arrived after {reached}"
        )?;
        writeln!(
            f,
            "                     {nodes} nodes have it; {up} of {below} below are up, the last after {last_up:.1} s"
        )
    }
}
