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
    pub troubles: BTreeMap<String, u64>,
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
        let troubles: Vec<String> =
            self.troubles.iter().map(|(name, many)| format!("{name} {many}")).collect();
        write!(
            f,
            "troubles             {}",
            if troubles.is_empty() { "none".into() } else { troubles.join(", ") }
        )
    }
}
