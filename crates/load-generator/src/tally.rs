//! What came of a load: latencies from the intended send time, by kind and second, and the
//! generator's own lag.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    Placed,
    Refused,
    Failed,
    /// No final answer: the link broke, or the owner's time was up.
    Unanswered,
    /// Not sent: as many asks were under way as may be. The intended load was not offered.
    NotSent,
}

/// One ask, by times since the beginning.
#[derive(Clone, Copy, Debug)]
pub struct Shot {
    pub kind: usize,
    pub intended: Duration,
    pub sent: Duration,
    pub answered: Duration,
    pub fate: Fate,
}

/// A generator whose asks leave so late, at the 99th percentile, has not offered the load that it
/// was to.
pub const BEHIND: Duration = Duration::from_millis(10);

pub struct Tally {
    /// By kind, of answered asks.
    from_intended: Vec<Histogram<u64>>,
    from_sent: Vec<Histogram<u64>>,
    lag: Histogram<u64>,
    fates: Vec<BTreeMap<Fate, u64>>,
    seconds: BTreeMap<u64, Second>,
    last_sent: Duration,
    begun: u64,
}

/// One second of intended time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub at: u64,
    pub intended: u64,
    pub placed: u64,
    pub refused: u64,
    pub lost: u64,
    /// Slowest answer, from its intended time.
    pub slowest_us: u64,
}

/// Quantiles, µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50: u64,
    pub p99: u64,
    pub p999: u64,
    pub most: u64,
}

/// All of it, to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub kinds: Vec<KindReport>,
    /// From the time that an ask was to go out until it did.
    pub lag: Quantiles,
    pub intended_a_second: f64,
    pub sent_a_second: f64,
    /// The generator did not keep up: what it tells is not the dispatcher's alone.
    pub behind: bool,
    pub seconds: Vec<Second>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    pub name: String,
    pub fates: BTreeMap<Fate, u64>,
    pub from_intended: Quantiles,
    /// What a client sees that counts from its own send: for comparison.
    pub from_sent: Quantiles,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds and digits are sound")
}

fn quantiles(of: &Histogram<u64>) -> Quantiles {
    let at = |quantile| of.value_at_quantile(quantile);
    Quantiles {
        count: of.len(),
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        most: of.max(),
    }
}

fn micros(time: Duration) -> u64 {
    (time.as_micros() as u64).max(1)
}

impl Tally {
    pub fn new(kinds: usize) -> Self {
        Tally {
            from_intended: (0..kinds).map(|_| histogram()).collect(),
            from_sent: (0..kinds).map(|_| histogram()).collect(),
            lag: histogram(),
            fates: vec![BTreeMap::new(); kinds],
            seconds: BTreeMap::new(),
            last_sent: Duration::ZERO,
            begun: 0,
        }
    }

    /// One is due, and will be counted.
    pub fn begin(&mut self) {
        self.begun += 1;
    }

    pub fn begun(&self) -> u64 {
        self.begun
    }

    pub fn counted(&self) -> u64 {
        self.seconds.values().map(|second| second.intended).sum()
    }

    pub fn count(&mut self, shot: &Shot) {
        let at = shot.intended.as_secs();
        let second = self.seconds.entry(at).or_insert_with(|| Second {
            at,
            ..Second::default()
        });
        second.intended += 1;
        *self.fates[shot.kind].entry(shot.fate).or_default() += 1;
        if shot.fate == Fate::NotSent {
            second.lost += 1;
            return;
        }
        self.last_sent = self.last_sent.max(shot.sent);
        self.lag
            .saturating_record(micros(shot.sent.saturating_sub(shot.intended)));
        let late = micros(shot.answered.saturating_sub(shot.intended));
        second.slowest_us = second.slowest_us.max(late);
        match shot.fate {
            Fate::Placed => second.placed += 1,
            Fate::Refused => second.refused += 1,
            Fate::Failed | Fate::Unanswered | Fate::NotSent => second.lost += 1,
        }
        // One without an answer took at least as long as it was waited for: left out, it would
        // flatter.
        self.from_intended[shot.kind].saturating_record(late);
        self.from_sent[shot.kind]
            .saturating_record(micros(shot.answered.saturating_sub(shot.sent)));
    }

    /// `lasts`: of the load as intended.
    pub fn report(&self, names: &[String], lasts: Duration) -> Report {
        let kinds = names.iter().enumerate().map(|(kind, name)| KindReport {
            name: name.clone(),
            fates: self.fates[kind].clone(),
            from_intended: quantiles(&self.from_intended[kind]),
            from_sent: quantiles(&self.from_sent[kind]),
        });
        let intended: u64 = self.seconds.values().map(|second| second.intended).sum();
        let not_sent: u64 = self
            .fates
            .iter()
            .filter_map(|fates| fates.get(&Fate::NotSent))
            .sum();
        let lag = quantiles(&self.lag);
        let seconds = |time: Duration| time.as_secs_f64().max(1e-6);
        Report {
            kinds: kinds.collect(),
            lag,
            intended_a_second: intended as f64 / seconds(lasts),
            sent_a_second: (intended - not_sent) as f64 / seconds(lasts.max(self.last_sent)),
            behind: lag.p99 > BEHIND.as_micros() as u64 || not_sent > 0,
            seconds: self.seconds.values().cloned().collect(),
        }
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let ms = |us: u64| us as f64 / 1_000.0;
        writeln!(
            f,
            "intended {:.1} asks/s, sent {:.1}",
            self.intended_a_second, self.sent_a_second
        )?;
        writeln!(
            f,
            "lag of the generator: p50 {:.1} ms, p99 {:.1}, most {:.1}",
            ms(self.lag.p50),
            ms(self.lag.p99),
            ms(self.lag.most)
        )?;
        if self.behind {
            writeln!(
                f,
                "THE GENERATOR FELL BEHIND: these figures are not the dispatcher's alone"
            )?;
        }
        for kind in &self.kinds {
            let count = |fate| kind.fates.get(&fate).copied().unwrap_or(0);
            writeln!(
                f,
                "{}: placed {}, refused {}, failed {}, unanswered {}, not sent {}",
                kind.name,
                count(Fate::Placed),
                count(Fate::Refused),
                count(Fate::Failed),
                count(Fate::Unanswered),
                count(Fate::NotSent)
            )?;
            for (from, own) in [
                ("intended time", kind.from_intended),
                ("send", kind.from_sent),
            ] {
                writeln!(
                    f,
                    "  from {from:<13} p50 {:9.1} ms, p99 {:9.1}, p99.9 {:9.1}, most {:9.1}",
                    ms(own.p50),
                    ms(own.p99),
                    ms(own.p999),
                    ms(own.most)
                )?;
            }
        }
        Ok(())
    }
}
