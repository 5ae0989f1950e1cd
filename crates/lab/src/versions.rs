//! What a day with versions and a floor came to, by its capture: how long from a push to all, from
//! a raise to the last act below it, how stragglers came back, and what an audit told against the
//! nodes' sockets.

use crate::capture::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Default)]
pub struct VersionFigures {
    pub pushed: usize,
    /// From a push to its effect at half and at six tenths of the dispatchers, in ms: the middle
    /// one of all pushes. Where a third is held up, six tenths are nearly all that hear of it.
    pub half: f64,
    pub six_tenths: f64,
    /// From each raise of the floor.
    pub raises: Vec<Raise>,
    pub audit: Option<(u64, u64, usize, bool)>,
    /// Resident memory of dispatchers: mean and most, in MiB.
    pub memory: Option<(f64, f64)>,
}

#[derive(Default)]
pub struct Raise {
    pub lowest: u64,
    /// To the last shot below it that a node took, and to the last that reached one, in ms; none
    /// where none did.
    pub taken: Option<f64>,
    pub reached: Option<f64>,
    /// That have it.
    pub nodes: usize,
    /// Below it at the raise, and of these up within the day; how long the last of them took, in
    /// s.
    pub below: usize,
    pub up: usize,
    pub last_up: f64,
}

fn middle(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

impl VersionFigures {
    pub fn of(lines: &[Line]) -> Option<Self> {
        let mut own = VersionFigures::default();
        let mut pushed: BTreeMap<u64, (u64, Vec<f64>)> = BTreeMap::new();
        let mut runs: BTreeMap<u32, u64> = BTreeMap::new();
        // Of the raise that stands: those below, the floor, when.
        let mut raised: Option<(u64, BTreeSet<u32>)> = None;
        let (mut shots, mut has) = (BTreeMap::new(), BTreeSet::new());
        for Line { t, seen } in lines {
            let since = |at: u64| (*t - at) as f64 / 1_000.0;
            match seen {
                Seen::Pushed { number } => drop(pushed.insert(*number, (*t, Vec::new()))),
                Seen::InForce { dispatcher, number } => {
                    runs.insert(*dispatcher, *number);
                    if let Some((at, times)) = pushed.get_mut(number) {
                        times.push(since(*at));
                    }
                    let (Some((at, below)), Some(raise)) = (&mut raised, own.raises.last_mut())
                    else {
                        continue;
                    };
                    if *number >= raise.lowest && below.remove(dispatcher) {
                        (raise.up, raise.last_up) = (raise.up + 1, since(*at) / 1_000.0);
                    }
                }
                Seen::Raised { lowest } => {
                    let below = runs
                        .iter()
                        .filter(|(_, runs)| **runs < *lowest)
                        .map(|(own, _)| *own);
                    let below: BTreeSet<u32> = below.collect();
                    own.raises.push(Raise {
                        lowest: *lowest,
                        below: below.len(),
                        ..Raise::default()
                    });
                    raised = Some((*t, below));
                    has.clear();
                }
                Seen::Floor { node, .. } => {
                    has.insert(*node);
                    own.raises
                        .iter_mut()
                        .last()
                        .into_iter()
                        .for_each(|raise| raise.nodes = has.len());
                }
                Seen::Offered {
                    node,
                    placing,
                    number,
                    decided,
                    dispatcher,
                    ..
                } => {
                    shots.insert((*node, placing, *number), *decided);
                    let (Some((at, below)), Some(raise)) = (&mut raised, own.raises.last_mut())
                    else {
                        continue;
                    };
                    if *decided < raise.lowest {
                        raise.reached = Some(since(*at));
                    } else if below.remove(dispatcher) {
                        // By its first shot from above: what brought it up told nobody.
                        (raise.up, raise.last_up) = (raise.up + 1, since(*at) / 1_000.0);
                    }
                }
                Seen::Said {
                    node,
                    placing,
                    number,
                    word: Word::Accepted,
                } => {
                    if let (Some((at, _)), Some(raise)) = (&raised, own.raises.last_mut())
                        && shots
                            .get(&(*node, placing, *number))
                            .is_some_and(|decided| *decided < raise.lowest)
                    {
                        raise.taken = Some(since(*at));
                    }
                }
                Seen::Audited {
                    took_ms,
                    bytes,
                    findings,
                    equal,
                } => {
                    own.audit = Some((*took_ms, *bytes, *findings, *equal));
                }
                Seen::Memory { mean_kib, most_kib } => {
                    own.memory = Some((*mean_kib as f64 / 1024.0, *most_kib as f64 / 1024.0));
                }
                _ => {}
            }
        }
        own.pushed = pushed.len();
        let part = |part: f64| {
            let all = pushed
                .values()
                .map(|(_, times)| times)
                .filter(|times| !times.is_empty());
            let most = runs.len();
            let at = |times: &Vec<f64>| times.get((most as f64 * part) as usize).copied();
            middle(all.filter_map(at).collect())
        };
        (own.half, own.six_tenths) = (part(0.5), part(0.6));
        (own.pushed > 0).then_some(own)
    }
}

impl fmt::Display for VersionFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let VersionFigures {
            pushed,
            half,
            six_tenths,
            ..
        } = self;
        writeln!(
            f,
            "versions             {pushed} pushed; in force at half after {half:.0} ms, at 6 of 10 after {six_tenths:.0} ms"
        )?;
        for raise in &self.raises {
            let ms =
                |time: Option<f64>| time.map_or("never".into(), |time| format!("{time:.0} ms"));
            let Raise {
                lowest,
                nodes,
                below,
                up,
                last_up,
                ..
            } = raise;
            let (taken, reached) = (ms(raise.taken), ms(raise.reached));
            writeln!(
                f,
                "floor {lowest:<14} last shot below taken after {taken}, arrived after {reached}"
            )?;
            writeln!(
                f,
                "                     {nodes} nodes have it; {up} of {below} below are up, the last after {last_up:.1} s"
            )?;
        }
        if let Some((took, bytes, findings, equal)) = self.audit {
            let equal = if equal { "equals" } else { "DIFFERS FROM" };
            writeln!(
                f,
                "audit                {took} ms, {} KiB, {findings} findings; its acts: {equal} the sockets'",
                bytes / 1024
            )?;
        }
        if let Some((mean, most)) = self.memory {
            writeln!(
                f,
                "memory a dispatcher  {mean:.1} MiB, {most:.1} at the most"
            )?;
        }
        Ok(())
    }
}
