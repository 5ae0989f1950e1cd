//! Figures of a scenario with versions and a minimum version, from its capture: the time from a
//! push to its effect and from a raise to the last operation below it, how dispatchers caught up,
//! and how an audit's report compares with the nodes' sockets.

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
    /// Time from a push until half of the dispatchers have it active, in ms: the median over all
    /// pushes.
    pub half_active_ms: f64,
    /// The same for six tenths of the dispatchers. Where a third of them is delayed, these are
    /// nearly all that receive the push.
    pub six_tenths_active_ms: f64,
    /// Each raise of the minimum version.
    pub raises: Vec<Raise>,
    /// The audit at the end, if any.
    pub audit: Option<AuditFigures>,
    /// Resident memory of dispatchers.
    pub memory: Option<MemoryFigures>,
}

/// The effects of one raise of the minimum version.
#[derive(Default)]
pub struct Raise {
    /// The minimum version.
    pub minimum_version: u64,
    /// Time to the last attempt below it that a node accepted, in ms, if any.
    pub last_accepted_ms: Option<f64>,
    /// Time to the last attempt below it that reached a node, in ms, if any.
    pub last_arrived_ms: Option<f64>,
    /// Nodes that have stored it.
    pub nodes_stored: usize,
    /// Dispatchers below it at the raise.
    pub dispatchers_below: usize,
    /// How many of these caught up.
    pub caught_up: usize,
    /// Time that the last of them took to catch up, in s.
    pub last_caught_up_s: f64,
}

/// The report of an audit of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AuditFigures {
    /// Duration of the audit, in ms.
    pub took_ms: u64,
    /// Bytes transferred for it.
    pub bytes: u64,
    /// Number of findings.
    pub findings: usize,
    /// Whether its operation counts equal those observed at the nodes' sockets.
    pub equal: bool,
}

/// Resident memory of all dispatchers, in MiB.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemoryFigures {
    /// Mean over all dispatchers.
    pub mean: f64,
    /// Largest of one dispatcher.
    pub max: f64,
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// A push, and the times until it took effect at dispatchers, in ms.
struct Push {
    at: u64,
    effect_times_ms: Vec<f64>,
}

/// The last raise, and the dispatchers that are still below it.
struct RaiseInProgress {
    at: u64,
    below: BTreeSet<u32>,
}

/// One attempt at one node.
type AttemptKey<'a> = (u32, &'a str, u32);

/// A collector of figures that reads a capture line by line.
#[derive(Default)]
struct Collector<'a> {
    figures: VersionFigures,
    pushes: BTreeMap<u64, Push>,
    active: BTreeMap<u32, u64>,
    raise: Option<RaiseInProgress>,
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
                let effect_times_ms = Vec::new();
                self.pushes.insert(
                    *number,
                    Push {
                        at: now,
                        effect_times_ms,
                    },
                );
            }
            Observation::VersionActive { dispatcher, number } => {
                self.record_active(now, *dispatcher, *number)
            }
            Observation::MinimumVersionRaised { version_number } => {
                self.record_raise(now, *version_number)
            }
            Observation::MinimumVersionStored { node, .. } => self.record_stored(*node),
            Observation::Offered {
                node,
                placement_id,
                number,
                version_number,
                dispatcher,
                ..
            } => {
                let attempt = (*node, placement_id.as_str(), *number);
                self.attempts.insert(attempt, *version_number);
                self.record_offer(now, *dispatcher, *version_number);
            }
            Observation::EventSent {
                node,
                placement_id,
                number,
                event: AllocationEvent::Accepted,
            } => self.record_accepted(now, (*node, placement_id.as_str(), *number)),
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

    fn record_active(&mut self, now: u64, dispatcher: u32, number: u64) {
        self.active.insert(dispatcher, number);
        if let Some(push) = self.pushes.get_mut(&number) {
            push.effect_times_ms.push(ms_between(push.at, now));
        }
        let (Some(in_progress), Some(raise)) = (&mut self.raise, self.figures.raises.last_mut())
        else {
            return;
        };
        if number >= raise.minimum_version {
            in_progress.record_caught_up(dispatcher, now, raise);
        }
    }

    fn record_raise(&mut self, now: u64, minimum_version: u64) {
        let below = self
            .active
            .iter()
            .filter(|(_, active)| **active < minimum_version);
        let below: BTreeSet<u32> = below.map(|(dispatcher, _)| *dispatcher).collect();
        self.figures.raises.push(Raise {
            minimum_version,
            dispatchers_below: below.len(),
            ..Raise::default()
        });
        self.raise = Some(RaiseInProgress { at: now, below });
        self.nodes.clear();
    }

    fn record_stored(&mut self, node: u32) {
        self.nodes.insert(node);
        if let Some(raise) = self.figures.raises.last_mut() {
            raise.nodes_stored = self.nodes.len();
        }
    }

    fn record_offer(&mut self, now: u64, dispatcher: u32, version_number: u64) {
        let (Some(in_progress), Some(raise)) = (&mut self.raise, self.figures.raises.last_mut())
        else {
            return;
        };
        if version_number < raise.minimum_version {
            raise.last_arrived_ms = Some(ms_between(in_progress.at, now));
        } else {
            // A dispatcher may catch up without a report; its first attempt at or above the minimum
            // version shows it.
            in_progress.record_caught_up(dispatcher, now, raise);
        }
    }

    fn record_accepted(&mut self, now: u64, attempt: AttemptKey<'a>) {
        let (Some(in_progress), Some(raise)) = (&self.raise, self.figures.raises.last_mut()) else {
            return;
        };
        let version_number = self.attempts.get(&attempt);
        if version_number.is_some_and(|number| *number < raise.minimum_version) {
            raise.last_accepted_ms = Some(ms_between(in_progress.at, now));
        }
    }

    /// Returns the median over all pushes of the time until this share of the dispatchers had the
    /// version, in ms.
    fn effect_at(&self, share: f64) -> f64 {
        let index = (self.active.len() as f64 * share) as usize;
        let times = self
            .pushes
            .values()
            .map(|push| push.effect_times_ms.get(index));
        median(times.flatten().copied().collect())
    }

    fn finish(mut self) -> Option<VersionFigures> {
        self.figures.pushed = self.pushes.len();
        self.figures.half_active_ms = self.effect_at(0.5);
        self.figures.six_tenths_active_ms = self.effect_at(0.6);
        (self.figures.pushed > 0).then_some(self.figures)
    }
}

impl RaiseInProgress {
    /// Records that a dispatcher is no longer below the minimum version, if it was.
    fn record_caught_up(&mut self, dispatcher: u32, now: u64, raise: &mut Raise) {
        if self.below.remove(&dispatcher) {
            raise.caught_up += 1;
            raise.last_caught_up_s = ms_between(self.at, now) / 1_000.0;
        }
    }
}

fn ms_between(earlier: u64, later: u64) -> f64 {
    (later - earlier) as f64 / MICROSECONDS_PER_MS
}

impl VersionFigures {
    /// Returns the figures of a capture, or none if no version was pushed.
    pub fn of(lines: &[Line]) -> Option<Self> {
        let mut collector = Collector::default();
        lines.iter().for_each(|line| collector.read(line));
        collector.finish()
    }
}

impl fmt::Display for VersionFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (pushed, half, six_tenths) =
            (self.pushed, self.half_active_ms, self.six_tenths_active_ms);
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
        let (last_accepted, last_arrived) = (ms(self.last_accepted_ms), ms(self.last_arrived_ms));
        let Raise {
            minimum_version,
            nodes_stored,
            dispatchers_below,
            caught_up,
            last_caught_up_s,
            ..
        } = self;
        writeln!(
            f,
            "floor {minimum_version:<14} last shot below taken after {last_accepted}, arrived after {last_arrived}"
        )?;
        writeln!(
            f,
            "                     {nodes_stored} nodes have it; {caught_up} of {dispatchers_below} below are up, the last after {last_caught_up_s:.1} s"
        )
    }
}
