//! What came of a load: latencies from the intended send time, by kind and second, and the
//! generator's own lag.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How an ask ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    Placed,
    /// Rejected, certain to have had no effect.
    #[serde(rename = "refused")]
    Rejected,
    Failed,
    /// No final answer: the link broke, or the owner's time was up.
    Unanswered,
    /// Not sent: as many asks were under way as may be. The intended load was not offered.
    NotSent,
}

/// One ask, by times since the beginning.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    pub kind: usize,
    pub intended: Duration,
    pub sent: Duration,
    pub answered: Duration,
    pub outcome: Outcome,
}

/// A generator whose asks leave so late, at the 99th percentile, has not offered the load that it
/// was to.
pub const MAX_LAG: Duration = Duration::from_millis(10);

pub struct Tally {
    /// By kind, of answered asks.
    from_intended: Vec<Histogram<u64>>,
    from_sent: Vec<Histogram<u64>>,
    lag: Histogram<u64>,
    outcomes: Vec<BTreeMap<Outcome, u64>>,
    seconds: BTreeMap<u64, Second>,
    last_sent: Duration,
    started: u64,
}

/// One second of intended time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    pub at: u64,
    pub intended: u64,
    pub placed: u64,
    #[serde(rename = "refused")]
    pub rejected: u64,
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
    #[serde(rename = "most")]
    pub max: u64,
}

/// All of it, to keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub kinds: Vec<KindReport>,
    /// From the time that an ask was to go out until it did.
    pub lag: Quantiles,
    #[serde(rename = "intended_a_second")]
    pub intended_per_second: f64,
    #[serde(rename = "sent_a_second")]
    pub sent_per_second: f64,
    /// The generator did not keep up: what it tells is not the dispatcher's alone.
    #[serde(rename = "behind")]
    pub fell_behind: bool,
    pub seconds: Vec<Second>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    pub name: String,
    #[serde(rename = "fates")]
    pub outcomes: BTreeMap<Outcome, u64>,
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
        max: of.max(),
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
            outcomes: vec![BTreeMap::new(); kinds],
            seconds: BTreeMap::new(),
            last_sent: Duration::ZERO,
            started: 0,
        }
    }

    /// One is due, and will be counted.
    pub fn start(&mut self) {
        self.started += 1;
    }

    pub fn started(&self) -> u64 {
        self.started
    }

    pub fn recorded(&self) -> u64 {
        self.seconds.values().map(|second| second.intended).sum()
    }

    pub fn record(&mut self, request: &RequestRecord) {
        let at = request.intended.as_secs();
        let second = self.seconds.entry(at).or_insert_with(|| Second {
            at,
            ..Second::default()
        });
        second.intended += 1;
        *self.outcomes[request.kind]
            .entry(request.outcome)
            .or_default() += 1;
        if request.outcome == Outcome::NotSent {
            second.lost += 1;
            return;
        }
        self.last_sent = self.last_sent.max(request.sent);
        self.lag
            .saturating_record(micros(request.sent.saturating_sub(request.intended)));
        let late = micros(request.answered.saturating_sub(request.intended));
        second.slowest_us = second.slowest_us.max(late);
        match request.outcome {
            Outcome::Placed => second.placed += 1,
            Outcome::Rejected => second.rejected += 1,
            Outcome::Failed | Outcome::Unanswered | Outcome::NotSent => second.lost += 1,
        }
        // One without an answer took at least as long as it was waited for: left out, it would
        // flatter.
        self.from_intended[request.kind].saturating_record(late);
        self.from_sent[request.kind]
            .saturating_record(micros(request.answered.saturating_sub(request.sent)));
    }

    /// `lasts`: of the load as intended.
    pub fn report(&self, names: &[String], duration: Duration) -> Report {
        let kinds = names.iter().enumerate().map(|(kind, name)| KindReport {
            name: name.clone(),
            outcomes: self.outcomes[kind].clone(),
            from_intended: quantiles(&self.from_intended[kind]),
            from_sent: quantiles(&self.from_sent[kind]),
        });
        let intended: u64 = self.seconds.values().map(|second| second.intended).sum();
        let not_sent: u64 = self
            .outcomes
            .iter()
            .filter_map(|outcomes| outcomes.get(&Outcome::NotSent))
            .sum();
        let lag = quantiles(&self.lag);
        let seconds = |time: Duration| time.as_secs_f64().max(1e-6);
        Report {
            kinds: kinds.collect(),
            lag,
            intended_per_second: intended as f64 / seconds(duration),
            sent_per_second: (intended - not_sent) as f64 / seconds(duration.max(self.last_sent)),
            fell_behind: lag.p99 > MAX_LAG.as_micros() as u64 || not_sent > 0,
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
            self.intended_per_second, self.sent_per_second
        )?;
        writeln!(
            f,
            "lag of the generator: p50 {:.1} ms, p99 {:.1}, most {:.1}",
            ms(self.lag.p50),
            ms(self.lag.p99),
            ms(self.lag.max)
        )?;
        if self.fell_behind {
            writeln!(
                f,
                "THE GENERATOR FELL BEHIND: these figures are not the dispatcher's alone"
            )?;
        }
        for kind in &self.kinds {
            let count = |outcome| kind.outcomes.get(&outcome).copied().unwrap_or(0);
            writeln!(
                f,
                "{}: placed {}, refused {}, failed {}, unanswered {}, not sent {}",
                kind.name,
                count(Outcome::Placed),
                count(Outcome::Rejected),
                count(Outcome::Failed),
                count(Outcome::Unanswered),
                count(Outcome::NotSent)
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
                    ms(own.max)
                )?;
            }
        }
        Ok(())
    }
}
