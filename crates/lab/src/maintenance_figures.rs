//! What a day with machines taken out for work came to, by the nodes' own doors.

use crate::capture::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Default)]
pub struct MaintenanceFigures {
    pub machines: usize,
    pub max_out: usize,
    pub max_out_of_zone: usize,
    /// Worked on, and how often altogether.
    pub completed: BTreeSet<u32>,
    pub completions: usize,
    /// Closed at a time at the most.
    pub peak_out: usize,
    pub peak_out_of_zone: usize,
    /// From the wish to the last machine open again, in s, and the middle time that one was
    /// closed.
    pub duration_s: f64,
    pub median_cordoned_s: f64,
    /// Begun while something stood there, and accepted where closed.
    pub violations: usize,
    pub left_cordoned: usize,
}

impl MaintenanceFigures {
    pub fn of(lines: &[Line]) -> Option<Self> {
        let halls: BTreeMap<u32, &str> = match lines.first() {
            Some(Line {
                seen: Seen::Day(rules),
                ..
            }) => rules
                .nodes
                .iter()
                .map(|home| (home.node, &home.hall[..]))
                .collect(),
            _ => BTreeMap::new(),
        };
        let mut own = MaintenanceFigures::default();
        let mut began = None;
        let mut closed: BTreeMap<u32, u64> = BTreeMap::new();
        let mut all = Vec::new();
        for Line { t, seen } in lines {
            match seen {
                Seen::Maintenance {
                    machines,
                    at_a_time,
                    by_hall,
                } => {
                    began = Some(*t);
                    (own.machines, own.max_out, own.max_out_of_zone) =
                        (*machines, *at_a_time, *by_hall);
                }
                Seen::Door { node, closed: true } => {
                    closed.insert(*node, *t);
                    own.peak_out = own.peak_out.max(closed.len());
                    let hall = halls.get(node);
                    let there = closed
                        .keys()
                        .filter(|other| halls.get(other) == hall)
                        .count();
                    own.peak_out_of_zone = own.peak_out_of_zone.max(there);
                }
                Seen::Door {
                    node,
                    closed: false,
                } => {
                    if let Some(since) = closed.remove(node) {
                        all.push((*t - since) as f64 / 1e6);
                    }
                    own.duration_s = began.map_or(0.0, |began| (*t - began) as f64 / 1e6);
                }
                Seen::Worked {
                    node,
                    begins: true,
                    runs,
                } => {
                    own.completed.insert(*node);
                    own.completions += 1;
                    own.violations += usize::from(*runs > 0 || !closed.contains_key(node));
                }
                Seen::Said {
                    node,
                    word: Word::Accepted,
                    ..
                } => {
                    own.violations += usize::from(closed.contains_key(node));
                }
                _ => {}
            }
        }
        all.sort_by(f64::total_cmp);
        own.median_cordoned_s = all.get(all.len() / 2).copied().unwrap_or(0.0);
        own.left_cordoned = closed.len();
        began.map(|_| own)
    }
}

impl fmt::Display for MaintenanceFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let MaintenanceFigures {
            machines,
            completed,
            completions,
            duration_s,
            median_cordoned_s,
            peak_out,
            max_out,
            ..
        } = self;
        let (most_of_a_hall, by_hall, unsound, left) = (
            self.peak_out_of_zone,
            self.max_out_of_zone,
            self.violations,
            self.left_cordoned,
        );
        // As many at a time as may be, each as long as it took.
        let best = median_cordoned_s * (*machines as f64 / (*max_out).max(1) as f64).ceil();
        let ratio = duration_s / best.max(1e-3);
        writeln!(
            f,
            "work on machines     {} of {machines}, {completions} times in all, in {duration_s:.1} s; each closed {median_cordoned_s:.1} s; over waves without a gap {ratio:.2}",
            completed.len()
        )?;
        writeln!(
            f,
            "out at a time        {peak_out}, {max_out} allowed; of a hall {most_of_a_hall}, {by_hall} allowed; unsound {unsound}, left closed {left}"
        )
    }
}
