//! What a day with machine maintenance came to, by the nodes' own cordons.

use crate::capture::{AllocationEvent, Line, Observation};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Figures of the maintenance of one day.
#[derive(Default)]
pub struct MaintenanceFigures {
    /// Machines that the request named.
    pub machines: usize,
    /// The limit of machines out at a time.
    pub max_out: usize,
    /// The limit of machines out at a time in one zone.
    pub max_out_of_zone: usize,
    /// Machines on which work has begun.
    pub completed: BTreeSet<u32>,
    /// How often work has begun.
    pub completions: usize,
    /// The most machines that were cordoned at a time.
    pub peak_out: usize,
    /// The most machines of one zone that were cordoned at a time.
    pub peak_out_of_zone: usize,
    /// From the request to the last machine uncordoned, in s.
    pub duration_s: f64,
    /// The median time for which a machine was cordoned, in s.
    pub median_cordoned_s: f64,
    /// Work begun while something ran there or without a cordon, and offers accepted by a cordoned
    /// machine.
    pub violations: usize,
    /// Machines that were still cordoned at the end.
    pub left_cordoned: usize,
}

/// Goes through a capture.
#[derive(Default)]
struct Reader<'a> {
    figures: MaintenanceFigures,
    zones: BTreeMap<u32, &'a str>,
    /// When the request was made, in µs.
    began_at: Option<u64>,
    /// Since when each machine is cordoned, in µs.
    cordoned_since: BTreeMap<u32, u64>,
    /// In s, of each that was uncordoned.
    cordoned_times: Vec<f64>,
}

impl Reader<'_> {
    fn read(&mut self, at: u64, observation: &Observation) {
        match observation {
            Observation::MaintenanceRequested {
                machines,
                max_concurrent,
                max_per_zone,
            } => {
                self.began_at = Some(at);
                self.figures.machines = *machines;
                self.figures.max_out = *max_concurrent;
                self.figures.max_out_of_zone = *max_per_zone;
            }
            Observation::Cordon { node, closed: true } => self.cordoned(at, *node),
            Observation::Cordon {
                node,
                closed: false,
            } => self.uncordoned(at, *node),
            Observation::MaintenanceWork {
                node,
                begins: true,
                runs,
            } => {
                let is_sound = *runs == 0 && self.cordoned_since.contains_key(node);
                self.figures.completed.insert(*node);
                self.figures.completions += 1;
                self.figures.violations += usize::from(!is_sound);
            }
            Observation::EventSent {
                node,
                event: AllocationEvent::Accepted,
                ..
            } => {
                let is_cordoned = self.cordoned_since.contains_key(node);
                self.figures.violations += usize::from(is_cordoned);
            }
            _ => {}
        }
    }

    fn cordoned(&mut self, at: u64, node: u32) {
        self.cordoned_since.insert(node, at);
        self.figures.peak_out = self.figures.peak_out.max(self.cordoned_since.len());
        let zone = self.zones.get(&node);
        let of_zone = self
            .cordoned_since
            .keys()
            .filter(|other| self.zones.get(other) == zone)
            .count();
        self.figures.peak_out_of_zone = self.figures.peak_out_of_zone.max(of_zone);
    }

    fn uncordoned(&mut self, at: u64, node: u32) {
        if let Some(since) = self.cordoned_since.remove(&node) {
            self.cordoned_times.push(seconds(at - since));
        }
        self.figures.duration_s = self.began_at.map_or(0.0, |began| seconds(at - began));
    }
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

impl MaintenanceFigures {
    /// The figures of a capture; none where no machine was to be taken out.
    pub fn of(lines: &[Line]) -> Option<Self> {
        let mut reader = Reader::default();
        if let Some(Line {
            observation: Observation::Rules(rules),
            ..
        }) = lines.first()
        {
            let zones = rules.nodes.iter().map(|home| (home.node, &home.zone[..]));
            reader.zones = zones.collect();
        }
        for Line { t, observation } in lines {
            reader.read(*t, observation);
        }
        reader.began_at?;
        let mut figures = reader.figures;
        let mut times = reader.cordoned_times;
        times.sort_by(f64::total_cmp);
        figures.median_cordoned_s = times.get(times.len() / 2).copied().unwrap_or(0.0);
        figures.left_cordoned = reader.cordoned_since.len();
        Some(figures)
    }
}

impl fmt::Display for MaintenanceFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let MaintenanceFigures {
            machines,
            max_out,
            max_out_of_zone,
            completed,
            completions,
            peak_out,
            peak_out_of_zone,
            duration_s,
            median_cordoned_s,
            violations,
            left_cordoned,
        } = self;
        // As many at a time as the limit allows, each for the median time.
        let waves = (*machines as f64 / (*max_out).max(1) as f64).ceil();
        let ratio = duration_s / (median_cordoned_s * waves).max(1e-3);
        writeln!(
            f,
            "work on machines     {} of {machines}, {completions} times in all, in {duration_s:.1} s; each closed {median_cordoned_s:.1} s; over waves without a gap {ratio:.2}",
            completed.len()
        )?;
        writeln!(
            f,
            "out at a time        {peak_out}, {max_out} allowed; of a hall {peak_out_of_zone}, {max_out_of_zone} allowed; unsound {violations}, left closed {left_cordoned}"
        )
    }
}
