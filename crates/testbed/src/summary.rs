//! Summarizes a capture in figures.

use crate::capture::*;
use crate::cost::Costs;
use crate::maintenance_figures::MaintenanceFigures;
use crate::runner::REPLICATED_SERVICE;
use crate::version_figures::VersionFigures;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// The figures of a scenario's run.
#[derive(Default)]
pub struct Summary {
    pub requested: u64,
    pub tasks: u64,
    pub placed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled: u64,
    /// Calls without a final answer: their dispatcher was killed or paused.
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
    /// Maximum number of placed client calls open at a time.
    pub max_active_calls: usize,
    pub cost: Option<Costs>,
    pub stand_ins: Option<StandIns>,
    pub faults: BTreeMap<String, u64>,
}

/// The load on the stand-ins themselves, from [`Observation::StandIns`].
#[derive(Clone, Copy, Debug, Default)]
pub struct StandIns {
    pub busy: f64,
    pub waited: f64,
    pub late_us: u64,
    pub hollow: f64,
    pub invalid: bool,
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
            if self.invalid {
                ": SPOILT, the figures are the laboratory's"
            } else {
                ""
            }
        )
    }
}

/// The figures of a rollout.
#[derive(Default)]
pub struct RolloutFigures {
    pub replicas: usize,
    pub updated: usize,
    /// Time from its start until the last replica was ready.
    pub seconds: f64,
    /// Shortest possible duration, in seconds: the replicas divided by the limit, times the sum of
    /// the median time to get ready and the time to stay ready.
    pub min_seconds: f64,
    pub max_unready: usize,
    /// Maximum number of new replicas beside old ones at a time.
    pub max_surplus: usize,
    pub limit: usize,
}

impl RolloutFigures {
    fn of(lines: &[Line]) -> Option<Self> {
        let started = |line: &Line| match &line.observation {
            Observation::RolloutStarted {
                service,
                version,
                max_unavailable,
                min_ready_us,
                surge,
                ..
            } => Some((
                line.t,
                service.clone(),
                version.clone(),
                *max_unavailable,
                *min_ready_us,
                *surge,
            )),
            _ => None,
        };
        let (start, service, version, limit, min_ready_us, surge) =
            lines.iter().find_map(started)?;
        let mut figures = RolloutFigures {
            limit,
            ..RolloutFigures::default()
        };
        // The ready replicas of each task, as node and version. Below: since when a task has had
        // none, and when it was last offered to a node.
        let mut ready: BTreeMap<&str, Vec<(u32, &str)>> = BTreeMap::new();
        let (mut unready_since, mut offered) = (HashMap::<&str, u64>::new(), HashMap::new());
        let (mut durations, mut last) = (Vec::new(), start);
        let (mut calls, mut updated_tasks) = (BTreeSet::new(), BTreeSet::new());
        for Line { t, observation } in lines {
            let (task, node, running_version, is_ready) = match observation {
                Observation::Offered {
                    node,
                    placement_id,
                    service: of_service,
                    ..
                } if *of_service == service => {
                    let task = placement_id.split('#').next().unwrap_or_default();
                    offered.insert((*node, task), *t);
                    continue;
                }
                Observation::Requested(request) if request.service == service => {
                    calls.insert(request.call);
                    continue;
                }
                // The scenario is over: clients no longer want their replicas.
                Observation::Cancelled { call } if calls.contains(call) => break,
                Observation::Ready {
                    task,
                    node,
                    service: of_service,
                    version,
                    ready,
                    ..
                } if *of_service == service => (&task[..], *node, &version[..], *ready),
                _ => continue,
            };
            let replicas = ready.entry(task).or_default();
            if is_ready {
                // A task is counted once: if a fault affects its node, it may get ready again
                // later.
                if running_version == version && updated_tasks.insert(task) {
                    last = *t;
                    let since = if surge {
                        offered.get(&(node, task)).copied()
                    } else {
                        unready_since.get(task).copied()
                    };
                    durations.extend(since.map(|since| (t - since) as f64 / 1e6));
                }
                unready_since.remove(task);
                replicas.push((node, running_version));
            } else {
                // Removes only one of them: a killed dispatcher and its successor may each have
                // started a replica on this node.
                if let Some(index) = replicas
                    .iter()
                    .position(|other| *other == (node, running_version))
                {
                    replicas.swap_remove(index);
                }
                if replicas.is_empty() && *t > start {
                    unready_since.insert(task, *t);
                }
            }
            figures.replicas = ready.len();
            let is_new = |replicas: &&Vec<(u32, &str)>| replicas.iter().any(|(_, v)| *v == version);
            figures.updated = ready.values().filter(is_new).count();
            figures.max_unready = figures.max_unready.max(unready_since.len());
            let surplus = ready
                .values()
                .map(|replicas| replicas.len().saturating_sub(1))
                .sum();
            figures.max_surplus = figures
                .max_surplus
                .max(if *t > start { surplus } else { 0 });
        }
        durations.sort_by(f64::total_cmp);
        let median = durations.get(durations.len() / 2).copied().unwrap_or(0.0);
        figures.seconds = (last - start) as f64 / 1e6;
        let min_ready_s = min_ready_us as f64 / 1e6;
        figures.min_seconds =
            (figures.replicas as f64 / limit as f64).ceil() * (median + min_ready_s) - min_ready_s;
        Some(figures)
    }
}

/// The replicated service: the time for which tasks had no ready replica.
#[derive(Default)]
pub struct ReplicaFigures {
    pub replicas: usize,
    pub unready_s: f64,
    pub total_s: f64,
}

impl ReplicaFigures {
    /// Measures from when all are ready for the first time until their clients cancel them.
    fn of(lines: &[Line]) -> Option<Self> {
        let mut tasks = BTreeMap::<u64, &str>::new();
        let mut ready: BTreeMap<&str, i64> = BTreeMap::new();
        let all: BTreeSet<&str> = (lines.iter())
            .filter_map(|line| match &line.observation {
                Observation::Requested(request) if request.service == REPLICATED_SERVICE => {
                    Some(&request.task[..])
                }
                _ => None,
            })
            .collect();
        if all.is_empty() {
            return None;
        }
        let (mut figures, mut since) = (
            ReplicaFigures {
                replicas: all.len(),
                ..ReplicaFigures::default()
            },
            None,
        );
        for Line { t, observation } in lines {
            match observation {
                Observation::Requested(request) if request.service == REPLICATED_SERVICE => {
                    tasks.insert(request.call, &request.task);
                }
                Observation::HandedOver { call, task, .. } if all.contains(&task[..]) => {
                    tasks.insert(*call, task);
                }
                Observation::Ready {
                    task,
                    service,
                    ready: is_ready,
                    ..
                } if *service == REPLICATED_SERVICE => {
                    figures.add_until(*t, &mut since, &ready);
                    *ready.entry(task).or_default() += if *is_ready { 1 } else { -1 };
                    if since.is_none()
                        && ready.values().filter(|count| **count > 0).count() == all.len()
                    {
                        since = Some(*t);
                    }
                }
                Observation::Cancelled { call } if tasks.contains_key(call) => {
                    figures.add_until(*t, &mut since, &ready);
                    break;
                }
                _ => {}
            }
        }
        Some(figures)
    }

    /// Adds the time up to `t`.
    fn add_until(&mut self, t: u64, since: &mut Option<u64>, ready: &BTreeMap<&str, i64>) {
        let Some(from) = since.as_mut() else { return };
        let seconds = (t - std::mem::replace(from, t)) as f64 / 1e6;
        self.unready_s += seconds * ready.values().filter(|count| **count <= 0).count() as f64;
        self.total_s += seconds * self.replicas as f64;
    }
}

impl Summary {
    pub fn of(lines: &[Line]) -> Self {
        let mut summary = Summary::default();
        let mut calls: HashMap<u64, (u64, usize, bool)> = HashMap::new();
        let mut active_calls = BTreeSet::new();
        // At most a minute, with three significant digits.
        let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let service_classes = match lines.first() {
            Some(Line {
                observation: Observation::Rules(rules),
                ..
            }) => rules.service_classes.clone(),
            _ => Vec::new(),
        };
        for Line { t, observation } in lines {
            match observation {
                Observation::Requested(request) => {
                    summary.requested += 1;
                    summary.tasks += u64::from(request.first);
                    calls.insert(request.call, (*t, request.service_class, false));
                }
                Observation::EventReceived { call, event } => {
                    let Some((since, service_class, answered)) = calls.get_mut(call) else {
                        summary.migrations += u64::from(*event == AllocationEvent::Migrated);
                        continue;
                    };
                    match event {
                        AllocationEvent::Placed => {
                            (summary.placed, *answered) = (summary.placed + 1, true);
                            active_calls.insert(*call);
                            summary.max_active_calls =
                                summary.max_active_calls.max(active_calls.len());
                            if let Some(latencies) = &mut latencies {
                                latencies.saturating_record((t - *since).max(1));
                            }
                            let objective = service_classes
                                .get(*service_class)
                                .map_or(0, |service_class| service_class.latency_objective_us);
                            summary.within_objective += u64::from(t - *since <= objective);
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
                Observation::Closed { call, .. } => drop(active_calls.remove(call)),
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
                    invalid,
                } => {
                    let (busy, waited, late_us, hollow) = (*busy, *waited, *late_us, *hollow);
                    summary.stand_ins = Some(StandIns {
                        busy,
                        waited,
                        late_us,
                        hollow,
                        invalid: *invalid,
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
        if let Some(latencies) = latencies {
            let ms = |part| latencies.value_at_quantile(part) as f64 / 1000.0;
            (summary.p50_ms, summary.p99_ms) = (ms(0.5), ms(0.99));
        }
        summary
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let percent = |some: u64, of: u64| {
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
            percent(self.within_objective, self.placed)
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
            percent(self.rejected_offers, self.offers)
        )?;
        writeln!(f, "standing at a time   {}", self.max_active_calls)?;
        writeln!(f, "probes               {}", self.health_checks)?;
        writeln!(f, "moves                {}", self.migrations)?;
        writeln!(f, "evicted, pushed out  {}", self.evictions)?;
        writeln!(f, "nodes fallen over    {}", self.crashes)?;
        if let Some(rollout) = &self.rollout {
            let RolloutFigures {
                replicas,
                updated,
                seconds,
                min_seconds,
                max_unready,
                max_surplus,
                limit,
            } = rollout;
            let ratio = seconds / min_seconds.max(1e-3);
            writeln!(
                f,
                "roll                 {updated} of {replicas} copies in {seconds:.1} s, at best {min_seconds:.1} s: {ratio:.2}"
            )?;
            writeln!(
                f,
                "not ready at a time  {max_unready}, {limit} allowed; beside others {max_surplus}"
            )?;
        }
        if let Some(ReplicaFigures {
            replicas,
            unready_s,
            total_s,
        }) = &self.replicas
        {
            let percent = 100.0 * unready_s / total_s.max(1e-3);
            writeln!(
                f,
                "copies' time lost    {unready_s:.1} of {total_s:.0} s of {replicas} copies, {percent:.2}%"
            )?;
        }
        if let Some(versions) = &self.versions {
            write!(f, "{versions}")?;
        }
        if let Some(maintenance) = &self.maintenance {
            write!(f, "{maintenance}")?;
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
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        write!(
            f,
            "troubles             {}",
            if faults.is_empty() {
                "none".into()
            } else {
                faults.join(", ")
            }
        )
    }
}
