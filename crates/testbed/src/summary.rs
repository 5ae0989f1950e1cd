//! A day in figures, from its capture.

use crate::capture::*;
use crate::cost::Costs;
use crate::maintenance_figures::MaintenanceFigures;
use crate::runner::HELD;
use crate::version_figures::VersionFigures;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

#[derive(Default)]
pub struct Table {
    pub asked: u64,
    pub first_asks: u64,
    pub placed: u64,
    pub refused: u64,
    pub failed: u64,
    pub cancelled: u64,
    /// Calls without an answer: their dispatcher was killed or stood still.
    pub unanswered: u64,
    pub timely: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub offers: u64,
    pub refusals: u64,
    pub probes: u64,
    pub moves: u64,
    pub evictions: u64,
    pub fell_over: u64,
    pub roll: Option<RollFigures>,
    pub copies: Option<CopyFigures>,
    pub versions: Option<VersionFigures>,
    pub maintenance: Option<MaintenanceFigures>,
    /// Placed calls of owners that stand at a time.
    pub standing_most: usize,
    pub cost: Option<Costs>,
    pub stand_ins: Option<StandIns>,
    pub troubles: BTreeMap<String, u64>,
}

/// How the laboratory itself kept up, as [`Seen::StandIns`] tells it.
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
pub struct RollFigures {
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

impl RollFigures {
    fn of(lines: &[Line]) -> Option<Self> {
        let rolled = |line: &Line| match &line.seen {
            Seen::Roll {
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
        let mut own = RollFigures {
            limit,
            ..RollFigures::default()
        };
        // Ready copies of each task, as node and version; since when it has none; when one was
        // offered to a node.
        let mut ready: BTreeMap<&str, Vec<(u32, &str)>> = BTreeMap::new();
        let (mut down, mut offered) = (HashMap::<&str, u64>::new(), HashMap::new());
        let (mut times, mut last) = (Vec::new(), start);
        let (mut calls, mut once) = (BTreeSet::new(), BTreeSet::new());
        for Line { t, seen } in lines {
            let (task, node, runs, is) = match seen {
                Seen::Offered {
                    node,
                    placing,
                    service: of,
                    ..
                } if *of == service => {
                    let task = placing.split('#').next().unwrap_or_default();
                    offered.insert((*node, task), *t);
                    continue;
                }
                Seen::Asked(asked) if asked.service == service => {
                    calls.insert(asked.call);
                    continue;
                }
                // The day is over: its owners want them no longer.
                Seen::Cancelled { call } if calls.contains(call) => break,
                Seen::Ready {
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
pub struct CopyFigures {
    pub copies: usize,
    pub lost_s: f64,
    pub all_s: f64,
}

impl CopyFigures {
    /// From when all are ready for the first time until their owners want them no longer.
    fn of(lines: &[Line]) -> Option<Self> {
        let mut held = BTreeMap::<u64, &str>::new();
        let mut ready: BTreeMap<&str, i64> = BTreeMap::new();
        let all: BTreeSet<&str> = (lines.iter())
            .filter_map(|line| match &line.seen {
                Seen::Asked(asked) if asked.service == HELD => Some(&asked.task[..]),
                _ => None,
            })
            .collect();
        if all.is_empty() {
            return None;
        }
        let (mut own, mut since) = (
            CopyFigures {
                copies: all.len(),
                ..CopyFigures::default()
            },
            None,
        );
        for Line { t, seen } in lines {
            match seen {
                Seen::Asked(asked) if asked.service == HELD => {
                    held.insert(asked.call, &asked.task);
                }
                Seen::HandedOver { call, task, .. } if all.contains(&task[..]) => {
                    held.insert(*call, task);
                }
                Seen::Ready {
                    task,
                    service,
                    ready: is,
                    ..
                } if *service == HELD => {
                    own.until(*t, &mut since, &ready);
                    *ready.entry(task).or_default() += if *is { 1 } else { -1 };
                    if since.is_none()
                        && ready.values().filter(|many| **many > 0).count() == all.len()
                    {
                        since = Some(*t);
                    }
                }
                Seen::Cancelled { call } if held.contains_key(call) => {
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

impl Table {
    pub fn of(lines: &[Line]) -> Self {
        let mut table = Table::default();
        let mut calls: HashMap<u64, (u64, usize, bool)> = HashMap::new();
        let mut standing = BTreeSet::new();
        // A minute at the most, to three figures.
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let tracks = match lines.first() {
            Some(Line {
                seen: Seen::Day(rules),
                ..
            }) => rules.tracks.clone(),
            _ => Vec::new(),
        };
        for Line { t, seen } in lines {
            match seen {
                Seen::Asked(asked) => {
                    table.asked += 1;
                    table.first_asks += u64::from(asked.first);
                    calls.insert(asked.call, (*t, asked.track, false));
                }
                Seen::Heard { call, word } => {
                    let Some((since, track, answered)) = calls.get_mut(call) else {
                        table.moves += u64::from(*word == Word::Moved);
                        continue;
                    };
                    match word {
                        Word::Placed => {
                            (table.placed, *answered) = (table.placed + 1, true);
                            standing.insert(*call);
                            table.standing_most = table.standing_most.max(standing.len());
                            if let Some(times) = &mut times {
                                times.saturating_record((t - *since).max(1));
                            }
                            let contract = tracks.get(*track).map_or(0, |track| track.contract_us);
                            table.timely += u64::from(t - *since <= contract);
                        }
                        Word::Refused => (table.refused, *answered) = (table.refused + 1, true),
                        Word::Failed => (table.failed, *answered) = (table.failed + 1, true),
                        Word::Moved => table.moves += 1,
                        Word::Evicted | Word::PushedOut => table.evictions += 1,
                        _ => {}
                    }
                }
                Seen::Cancelled { call } => {
                    if let Some((_, _, answered)) = calls.get_mut(call)
                        && !*answered
                    {
                        (table.cancelled, *answered) = (table.cancelled + 1, true);
                    }
                }
                Seen::Closed { call, .. } => drop(standing.remove(call)),
                Seen::Offered { .. } => table.offers += 1,
                Seen::Probed { .. } => table.probes += 1,
                Seen::Said {
                    word: Word::Refused,
                    ..
                } => table.refusals += 1,
                Seen::Node {
                    state: NodeState::FellOver,
                    ..
                } => table.fell_over += 1,
                Seen::Cost(costs) => table.cost = Some((**costs).clone()),
                Seen::StandIns {
                    busy,
                    waited,
                    late_us,
                    hollow,
                    spoilt,
                } => {
                    let (busy, waited, late_us, hollow) = (*busy, *waited, *late_us, *hollow);
                    table.stand_ins = Some(StandIns {
                        busy,
                        waited,
                        late_us,
                        hollow,
                        spoilt: *spoilt,
                    });
                }
                Seen::Trouble { name } => *table.troubles.entry(name.clone()).or_default() += 1,
                _ => {}
            }
        }
        table.roll = RollFigures::of(lines);
        table.copies = CopyFigures::of(lines);
        table.versions = VersionFigures::of(lines);
        table.maintenance = MaintenanceFigures::of(lines);
        table.unanswered = calls.values().filter(|(_, _, answered)| !answered).count() as u64;
        if let Some(times) = times {
            let ms = |part| times.value_at_quantile(part) as f64 / 1000.0;
            (table.p50_ms, table.p99_ms) = (ms(0.5), ms(0.99));
        }
        table
    }
}

impl fmt::Display for Table {
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
            self.asked, self.first_asks
        )?;
        writeln!(f, "placed               {}", self.placed)?;
        writeln!(f, "refused              {}", self.refused)?;
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
            part(self.timely, self.placed)
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
            part(self.refusals, self.offers)
        )?;
        writeln!(f, "standing at a time   {}", self.standing_most)?;
        writeln!(f, "probes               {}", self.probes)?;
        writeln!(f, "moves                {}", self.moves)?;
        writeln!(f, "evicted, pushed out  {}", self.evictions)?;
        writeln!(f, "nodes fallen over    {}", self.fell_over)?;
        if let Some(roll) = &self.roll {
            let RollFigures {
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
        if let Some(CopyFigures {
            copies,
            lost_s,
            all_s,
        }) = &self.copies
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
            .troubles
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
