//! What a day with machines taken out for work came to, by the nodes' own doors.

use crate::capture::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Default)]
pub struct WorkFigures {
    pub machines: usize,
    pub at_a_time: usize,
    pub by_hall: usize,
    /// Worked on, and how often altogether.
    pub worked: BTreeSet<u32>,
    pub times: usize,
    /// Closed at a time at the most.
    pub most: usize,
    pub most_of_a_hall: usize,
    /// From the wish to the last machine open again, in s, and the middle time that one was
    /// closed.
    pub seconds: f64,
    pub closed: f64,
    /// Begun while something stood there, and accepted where closed.
    pub unsound: usize,
    pub left_closed: usize,
}

impl WorkFigures {
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
        let mut own = WorkFigures::default();
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
                    (own.machines, own.at_a_time, own.by_hall) = (*machines, *at_a_time, *by_hall);
                }
                Seen::Door { node, closed: true } => {
                    closed.insert(*node, *t);
                    own.most = own.most.max(closed.len());
                    let hall = halls.get(node);
                    let there = closed
                        .keys()
                        .filter(|other| halls.get(other) == hall)
                        .count();
                    own.most_of_a_hall = own.most_of_a_hall.max(there);
                }
                Seen::Door {
                    node,
                    closed: false,
                } => {
                    if let Some(since) = closed.remove(node) {
                        all.push((*t - since) as f64 / 1e6);
                    }
                    own.seconds = began.map_or(0.0, |began| (*t - began) as f64 / 1e6);
                }
                Seen::Worked {
                    node,
                    begins: true,
                    runs,
                } => {
                    own.worked.insert(*node);
                    own.times += 1;
                    own.unsound += usize::from(*runs > 0 || !closed.contains_key(node));
                }
                Seen::Said {
                    node,
                    word: Word::Accepted,
                    ..
                } => {
                    own.unsound += usize::from(closed.contains_key(node));
                }
                _ => {}
            }
        }
        all.sort_by(f64::total_cmp);
        own.closed = all.get(all.len() / 2).copied().unwrap_or(0.0);
        own.left_closed = closed.len();
        began.map(|_| own)
    }
}

impl fmt::Display for WorkFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let WorkFigures {
            machines,
            worked,
            times,
            seconds,
            closed,
            most,
            at_a_time,
            ..
        } = self;
        let (most_of_a_hall, by_hall, unsound, left) = (
            self.most_of_a_hall,
            self.by_hall,
            self.unsound,
            self.left_closed,
        );
        // As many at a time as may be, each as long as it took.
        let best = closed * (*machines as f64 / (*at_a_time).max(1) as f64).ceil();
        let ratio = seconds / best.max(1e-3);
        writeln!(
            f,
            "work on machines     {} of {machines}, {times} times in all, in {seconds:.1} s; each closed {closed:.1} s; over waves without a gap {ratio:.2}",
            worked.len()
        )?;
        writeln!(
            f,
            "out at a time        {most}, {at_a_time} allowed; of a hall {most_of_a_hall}, {by_hall} allowed; unsound {unsound}, left closed {left}"
        )
    }
}
