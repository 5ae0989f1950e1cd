//! A day in figures, from its capture.

use crate::capture::*;
use crate::cost::Costs;
use crate::maintenance_figures::MaintenanceFigures;
use crate::runner::REPLICATED_SERVICE;
use crate::version_figures::VersionFigures;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

#[derive(Default)]
pub struct Summary {
    pub requested: u64,
    pub tasks: u64,
    pub placed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled: u64,
    /// Calls without an answer: their dispatcher was killed or stood still.
    pub unanswered: u64,
    pub within_objective: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub offers: u64,
    pub rejected_offers: u64,
    pub health_checks: u64,
    pub migrations: u64,
    pub evictions: u64,
    pub crashes: u64,
    pub rollout: Option<RolloutFigures>,
    pub replicas: Option<ReplicaFigures>,
    pub versions: Option<VersionFigures>,
    pub maintenance: Option<MaintenanceFigures>,
    /// Placed calls of owners that stand at a time.
    pub max_active_calls: usize,
    pub cost: Option<Costs>,
    pub stand_ins: Option<StandIns>,
    pub faults: BTreeMap<String, u64>,
}

/// How the laboratory itself kept up, as [`Observation::StandIns`] tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandIns {
    pub busy: f64,
    pub waited: f64,
    pub late_us: u64,
    pub hollow: f64,
    pub spoilt: bool,
}

impl fmt::Display for StandIns {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "busy {:.0}%, waiting for a core {:.0}%, late by {} ms at the worst; a hollow process {:.0}% of its worst second{}",
            self.busy * 100.0,
            self.waited * 100.0,
            self.late_us / 1000,
            self.hollow * 100.0,
            if self.spoilt {
                ": SPOILT, the figures are the laboratory's"
            } else {
                ""
            }
        )
    }
}

/// How a roll went.
#[derive(Default)]
pub struct RolloutFigures {
    pub copies: usize,
    pub rolled: usize,
    /// From its start to the last copy ready.
    pub seconds: f64,
    /// Copies over the limit, times the usual time from stopped to ready and the time to stay so.
    pub best: f64,
    pub unready_most: usize,
    /// New copies beside old ones at a time.
    pub beside_most: usize,
    pub limit: usize,
}

impl RolloutFigures {
    fn of(lines: &[Line]) -> Option<Self> {
        let rolled = |line: &Line| match &line.observation {
            Observation::RolloutStarted {
                service,
                version,
                unready_most,
                ready_for_us,
                start_first,
                ..
            } => Some((
                line.t,
                service.clone(),
                version.clone(),
                *unready_most,
                *ready_for_us,
                *start_first,
            )),
            _ => None,
        };
        let (start, service, version, limit, ready_for, beside) = lines.iter().find_map(rolled)?;
        let mut own = RolloutFigures {
            limit,
            ..RolloutFigures::default()
        };
        // Ready copies of each task, as node and version; since when it has none; when one was
        // offered to a node.
        let mut ready: BTreeMap<&str, Vec<(u32, &str)>> = BTreeMap::new();
        let (mut down, mut offered) = (HashMap::<&str, u64>::new(), HashMap::new());
        let (mut times, mut last) = (Vec::new(), start);
        let (mut calls, mut once) = (BTreeSet::new(), BTreeSet::new());
        for Line { t, observation } in lines {
            let (task, node, runs, is) = match observation {
                Observation::Offered {
                    node,
                    placement_id,
                    service: of,
                    ..
                } if *of == service => {
                    let task = placement_id.split('#').next().unwrap_or_default();
                    offered.insert((*node, task), *t);
                    continue;
                }
                Observation::Requested(asked) if asked.service == service => {
                    calls.insert(asked.call);
                    continue;
                }
                // The day is over: its owners want them no longer.
                Observation::Cancelled { call } if calls.contains(call) => break,
                Observation::Ready {
                    task,
                    node,
                    service: of,
                    version,
                    ready,
                    ..
                } if *of == service => (&task[..], *node, &version[..], *ready),
                _ => continue,
            };
            let copies = ready.entry(task).or_default();
            if is {
                // One that comes back later, since its node was struck, was rolled before.
                if runs == version && once.insert(task) {
                    last = *t;
                    let since = if beside {
                        offered.get(&(node, task)).copied()
                    } else {
                        down.get(task).copied()
                    };
                    times.extend(since.map(|since| (t - since) as f64 / 1e6));
                }
                down.remove(task);
                copies.push((node, runs));
            } else {
                // One of them: a dispatcher killed and the one after it may each have begun one on
                // this node.
                if let Some(gone) = copies.iter().position(|other| *other == (node, runs)) {
                    copies.swap_remove(gone);
                }
                if copies.is_empty() && *t > start {
                    down.insert(task, *t);
                }
            }
            own.copies = ready.len();
            let new = |copies: &&Vec<(u32, &str)>| copies.iter().any(|(_, runs)| *runs == version);
            own.rolled = ready.values().filter(new).count();
            own.unready_most = own.unready_most.max(down.len());
            let more = ready
                .values()
                .map(|copies| copies.len().saturating_sub(1))
                .sum();
            own.beside_most = own.beside_most.max(if *t > start { more } else { 0 });
        }
        times.sort_by(f64::total_cmp);
        let usual = times.get(times.len() / 2).copied().unwrap_or(0.0);
        own.seconds = (last - start) as f64 / 1e6;
        let stay = ready_for as f64 / 1e6;
        own.best = (own.copies as f64 / limit as f64).ceil() * (usual + stay) - stay;
        Some(own)
    }
}

/// The copies that run all day: how much of their time none was ready.
#[derive(Default)]
pub struct ReplicaFigures {
    pub copies: usize,
    pub lost_s: f64,
    pub all_s: f64,
}

impl ReplicaFigures {
    /// From when all are ready for the first time until their owners want them no longer.
    fn of(lines: &[Line]) -> Option<Self> {
        let mut held = BTreeMap::<u64, &str>::new();
        let mut ready: BTreeMap<&str, i64> = BTreeMap::new();
        let all: BTreeSet<&str> = (lines.iter())
            .filter_map(|line| match &line.observation {
                Observation::Requested(asked) if asked.service == REPLICATED_SERVICE => {
                    Some(&asked.task[..])
                }
                _ => None,
            })
            .collect();
        if all.is_empty() {
            return None;
        }
        let (mut own, mut since) = (
            ReplicaFigures {
                copies: all.len(),
                ..ReplicaFigures::default()
            },
            None,
        );
        for Line { t, observation } in lines {
            match observation {
                Observation::Requested(asked) if asked.service == REPLICATED_SERVICE => {
                    held.insert(asked.call, &asked.task);
                }
                Observation::HandedOver { call, task, .. } if all.contains(&task[..]) => {
                    held.insert(*call, task);
                }
                Observation::Ready {
                    task,
                    service,
                    ready: is,
                    ..
                } if *service == REPLICATED_SERVICE => {
                    own.until(*t, &mut since, &ready);
                    *ready.entry(task).or_default() += if *is { 1 } else { -1 };
                    if since.is_none()
                        && ready.values().filter(|many| **many > 0).count() == all.len()
                    {
                        since = Some(*t);
                    }
                }
                Observation::Cancelled { call } if held.contains_key(call) => {
                    own.until(*t, &mut since, &ready);
                    break;
                }
                _ => {}
            }
        }
        Some(own)
    }

    fn until(&mut self, t: u64, since: &mut Option<u64>, ready: &BTreeMap<&str, i64>) {
        let Some(from) = since.as_mut() else { return };
        let seconds = (t - std::mem::replace(from, t)) as f64 / 1e6;
        self.lost_s += seconds * ready.values().filter(|many| **many <= 0).count() as f64;
        self.all_s += seconds * self.copies as f64;
    }
}

impl Summary {
    pub fn of(lines: &[Line]) -> Self {
        let mut summary = Summary::default();
        let mut calls: HashMap<u64, (u64, usize, bool)> = HashMap::new();
        let mut standing = BTreeSet::new();
        // A minute at the most, to three figures.
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let service_classes = match lines.first() {
            Some(Line {
                observation: Observation::Rules(rules),
                ..
            }) => rules.service_classes.clone(),
            _ => Vec::new(),
        };
        for Line { t, observation } in lines {
            match observation {
                Observation::Requested(asked) => {
                    summary.requested += 1;
                    summary.tasks += u64::from(asked.first);
                    calls.insert(asked.call, (*t, asked.service_class, false));
                }
                Observation::EventReceived { call, event } => {
                    let Some((since, service_class, answered)) = calls.get_mut(call) else {
                        summary.migrations += u64::from(*event == AllocationEvent::Migrated);
                        continue;
                    };
                    match event {
                        AllocationEvent::Placed => {
                            (summary.placed, *answered) = (summary.placed + 1, true);
                            standing.insert(*call);
                            summary.max_active_calls = summary.max_active_calls.max(standing.len());
                            if let Some(times) = &mut times {
                                times.saturating_record((t - *since).max(1));
                            }
                            let contract = service_classes
                                .get(*service_class)
                                .map_or(0, |service_class| service_class.latency_objective_us);
                            summary.within_objective += u64::from(t - *since <= contract);
                        }
                        AllocationEvent::Rejected => {
                            (summary.rejected, *answered) = (summary.rejected + 1, true)
                        }
                        AllocationEvent::Failed => {
                            (summary.failed, *answered) = (summary.failed + 1, true)
                        }
                        AllocationEvent::Migrated => summary.migrations += 1,
                        AllocationEvent::Evicted | AllocationEvent::Preempted => {
                            summary.evictions += 1
                        }
                        _ => {}
                    }
                }
                Observation::Cancelled { call } => {
                    if let Some((_, _, answered)) = calls.get_mut(call)
                        && !*answered
                    {
                        (summary.cancelled, *answered) = (summary.cancelled + 1, true);
                    }
                }
                Observation::Closed { call, .. } => drop(standing.remove(call)),
                Observation::Offered { .. } => summary.offers += 1,
                Observation::HealthChecked { .. } => summary.health_checks += 1,
                Observation::EventSent {
                    event: AllocationEvent::Rejected,
                    ..
                } => summary.rejected_offers += 1,
                Observation::Node {
                    state: NodeState::Crashed,
                    ..
                } => summary.crashes += 1,
                Observation::Cost(costs) => summary.cost = Some((**costs).clone()),
                Observation::StandIns {
                    busy,
                    waited,
                    late_us,
                    hollow,
                    spoilt,
                } => {
                    let (busy, waited, late_us, hollow) = (*busy, *waited, *late_us, *hollow);
                    summary.stand_ins = Some(StandIns {
                        busy,
                        waited,
                        late_us,
                        hollow,
                        spoilt: *spoilt,
                    });
                }
                Observation::Fault { name } => {
                    *summary.faults.entry(name.clone()).or_default() += 1
                }
                _ => {}
            }
        }
        summary.rollout = RolloutFigures::of(lines);
        summary.replicas = ReplicaFigures::of(lines);
        summary.versions = VersionFigures::of(lines);
        summary.maintenance = MaintenanceFigures::of(lines);
        summary.unanswered = calls.values().filter(|(_, _, answered)| !answered).count() as u64;
        if let Some(times) = times {
            let ms = |part| times.value_at_quantile(part) as f64 / 1000.0;
            (summary.p50_ms, summary.p99_ms) = (ms(0.5), ms(0.99));
        }
        summary
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let part = |some: u64, of: u64| {
            if of == 0 {
                0.0
            } else {
                100.0 * some as f64 / of as f64
            }
        };
        writeln!(
            f,
            "asked                {} ({} tasks)",
            self.requested, self.tasks
        )?;
        writeln!(f, "placed               {}", self.placed)?;
        writeln!(f, "refused              {}", self.rejected)?;
        writeln!(f, "failed               {}", self.failed)?;
        writeln!(f, "cancelled            {}", self.cancelled)?;
        writeln!(
            f,
            "unanswered           {} (their dispatcher was killed or stood still)",
            self.unanswered
        )?;
        writeln!(
            f,
            "timely placings      {:.1}% of the placed",
            part(self.within_objective, self.placed)
        )?;
        writeln!(
            f,
            "time to placed       p50 {:.0} ms, p99 {:.0} ms",
            self.p50_ms, self.p99_ms
        )?;
        writeln!(
            f,
            "offers               {}, {:.1}% refused by nodes",
            self.offers,
            part(self.rejected_offers, self.offers)
        )?;
        writeln!(f, "standing at a time   {}", self.max_active_calls)?;
        writeln!(f, "probes               {}", self.health_checks)?;
        writeln!(f, "moves                {}", self.migrations)?;
        writeln!(f, "evicted, pushed out  {}", self.evictions)?;
        writeln!(f, "nodes fallen over    {}", self.crashes)?;
        if let Some(roll) = &self.rollout {
            let RolloutFigures {
                copies,
                rolled,
                seconds,
                best,
                unready_most,
                beside_most,
                limit,
            } = roll;
            let ratio = seconds / best.max(1e-3);
            writeln!(
                f,
                "roll                 {rolled} of {copies} copies in {seconds:.1} s, at best {best:.1} s: {ratio:.2}"
            )?;
            writeln!(
                f,
                "not ready at a time  {unready_most}, {limit} allowed; beside others {beside_most}"
            )?;
        }
        if let Some(ReplicaFigures {
            copies,
            lost_s,
            all_s,
        }) = &self.replicas
        {
            let part = 100.0 * lost_s / all_s.max(1e-3);
            writeln!(
                f,
                "copies' time lost    {lost_s:.1} of {all_s:.0} s of {copies} copies, {part:.2}%"
            )?;
        }
        if let Some(versions) = &self.versions {
            write!(f, "{versions}")?;
        }
        if let Some(work) = &self.maintenance {
            write!(f, "{work}")?;
        }
        if let Some(Costs { real, hollow }) = &self.cost {
            for (what, cost) in [("real", real), ("hollow", hollow)] {
                if cost.dispatchers > 0 {
                    writeln!(f, "{:<21}{cost}", format!("cost, {what}"))?;
                }
            }
        }
        if let Some(stand_ins) = &self.stand_ins {
            writeln!(f, "stand-ins            {stand_ins}")?;
        }
        let troubles: Vec<String> = self
            .faults
            .iter()
            .map(|(name, many)| format!("{name} {many}"))
            .collect();
        write!(
            f,
            "troubles             {}",
            if troubles.is_empty() {
                "none".into()
            } else {
                troubles.join(", ")
            }
        )
    }
}
