//! A day in figures, from its capture.

use crate::capture::*;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};
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
    pub troubles: BTreeMap<String, u64>,
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
    pub limit: usize,
}

impl RollFigures {
    fn of(lines: &[Line]) -> Option<Self> {
        let rolled = |line: &Line| match &line.seen {
            Seen::Roll { service, version, unready_most, ready_for_us, .. } => {
                Some((line.t, service.clone(), version.clone(), *unready_most, *ready_for_us))
            }
            _ => None,
        };
        let (start, service, version, limit, ready_for) = lines.iter().find_map(rolled)?;
        let mut own = RollFigures { limit, ..RollFigures::default() };
        let (mut ready, mut down, mut times) = (BTreeMap::new(), HashMap::new(), Vec::new());
        let mut last = start;
        for Line { t, seen } in lines {
            let Seen::Ready { task, service: of, version: runs, ready: is, .. } = seen else {
                if matches!(seen, Seen::Cancelled { .. }) && own.rolled == own.copies && own.copies > 0 {
                    break;
                }
                continue;
            };
            if *of != service {
                continue;
            }
            if *is {
                if *runs == version && ready.insert(task, runs.clone()).is_none_or(|old| old != version) {
                    last = *t;
                    times.extend(down.remove(task).map(|since: u64| (t - since) as f64 / 1e6));
                }
                ready.insert(task, runs.clone());
            } else if *t > start && ready.contains_key(task) {
                down.insert(task, *t);
            }
            own.copies = own.copies.max(ready.len());
            own.rolled = ready.values().filter(|runs| **runs == version).count();
            own.unready_most = own.unready_most.max(down.len());
            down.retain(|task, _| ready.contains_key(task));
        }
        times.sort_by(f64::total_cmp);
        let usual = times.get(times.len() / 2).copied().unwrap_or(0.0);
        own.seconds = (last - start) as f64 / 1e6;
        let stay = ready_for as f64 / 1e6;
        own.best = (own.copies as f64 / limit as f64).ceil() * (usual + stay) - stay;
        Some(own)
    }
}

impl Table {
    pub fn of(lines: &[Line]) -> Self {
        let mut table = Table::default();
        let mut calls: HashMap<u64, (u64, usize, bool)> = HashMap::new();
        // A minute at the most, to three figures.
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        let tracks = match lines.first() {
            Some(Line { seen: Seen::Day(rules), .. }) => rules.tracks.clone(),
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
                Seen::Offered { .. } => table.offers += 1,
                Seen::Probed { .. } => table.probes += 1,
                Seen::Said { word: Word::Refused, .. } => table.refusals += 1,
                Seen::Node { state: NodeState::FellOver, .. } => table.fell_over += 1,
                Seen::Trouble { name } => *table.troubles.entry(name.clone()).or_default() += 1,
                _ => {}
            }
        }
        table.roll = RollFigures::of(lines);
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
        let part = |some: u64, of: u64| if of == 0 { 0.0 } else { 100.0 * some as f64 / of as f64 };
        writeln!(f, "asked                {} ({} tasks)", self.asked, self.first_asks)?;
        writeln!(f, "placed               {}", self.placed)?;
        writeln!(f, "refused              {}", self.refused)?;
        writeln!(f, "failed               {}", self.failed)?;
        writeln!(f, "cancelled            {}", self.cancelled)?;
        writeln!(f, "unanswered           {} (their dispatcher was killed or stood still)", self.unanswered)?;
        writeln!(f, "timely placings      {:.1}% of the placed", part(self.timely, self.placed))?;
        writeln!(f, "time to placed       p50 {:.0} ms, p99 {:.0} ms", self.p50_ms, self.p99_ms)?;
        writeln!(
            f,
            "offers               {}, {:.1}% refused by nodes",
            self.offers,
            part(self.refusals, self.offers)
        )?;
        writeln!(f, "probes               {}", self.probes)?;
        writeln!(f, "moves                {}", self.moves)?;
        writeln!(f, "evicted, pushed out  {}", self.evictions)?;
        writeln!(f, "nodes fallen over    {}", self.fell_over)?;
        if let Some(roll) = &self.roll {
            let RollFigures { copies, rolled, seconds, best, unready_most, limit } = roll;
            let ratio = seconds / best.max(1e-3);
            writeln!(
                f,
                "roll                 {rolled} of {copies} copies in {seconds:.1} s, at best {best:.1} s: {ratio:.2}"
            )?;
            writeln!(f, "not ready at a time  {unready_most}, {limit} allowed")?;
        }
        let troubles: Vec<String> =
            self.troubles.iter().map(|(name, many)| format!("{name} {many}")).collect();
        write!(
            f,
            "troubles             {}",
            if troubles.is_empty() { "none".into() } else { troubles.join(", ") }
        )
    }
}
