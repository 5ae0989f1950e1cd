//! What came of a load: latencies from the intended send time, by kind and second, and the lag of
//! the generator itself.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was placed.
    Placed,
    /// Rejected, certain to have had no effect.
    #[serde(rename = "refused")]
    Rejected,
    /// It failed, and may have run.
    Failed,
    /// No final reply: the connection broke, or the client's time was up.
    Unanswered,
    /// Not sent, since too many requests were in flight: the intended load was not offered.
    NotSent,
}

/// One request. Its times count from the beginning of the load.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// Index of its kind of work.
    pub kind: usize,
    /// When it was to be sent.
    pub intended: Duration,
    /// When it was sent.
    pub sent: Duration,
    /// When its reply came, or was no longer waited for.
    pub answered: Duration,
    /// How it ended.
    pub outcome: Outcome,
}

/// A generator that lags by more than this, at the 99th percentile, has not offered the intended
/// load.
pub const MAX_LAG: Duration = Duration::from_millis(10);

/// Counts outcomes and latencies as a load runs.
pub struct Tally {
    /// Latencies by kind, of requests that were sent.
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
    /// Its number, from 0.
    pub at: u64,
    /// Requests that were to be sent in it.
    pub intended: u64,
    /// Of those, requests that were placed.
    pub placed: u64,
    /// Of those, requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Of those, requests that failed, had no reply or were not sent.
    pub lost: u64,
    /// Latency of the slowest reply from its intended time, µs.
    pub slowest_us: u64,
}

/// Quantiles of a latency, µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Values that it was taken of.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Highest value.
    #[serde(rename = "most")]
    pub max: u64,
}

/// What came of a load. Stored as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// By kind of work.
    pub kinds: Vec<KindReport>,
    /// The generator's lag: from the intended time of a request until it was sent.
    pub lag: Quantiles,
    /// Requests per second that were to be sent.
    #[serde(rename = "intended_a_second")]
    pub intended_per_second: f64,
    /// Requests per second that were sent.
    #[serde(rename = "sent_a_second")]
    pub sent_per_second: f64,
    /// The generator did not keep up: the figures are not the dispatcher's alone.
    #[serde(rename = "behind")]
    pub fell_behind: bool,
    /// By second of intended time.
    pub seconds: Vec<Second>,
}

/// What came of one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// Service class and tenant.
    pub name: String,
    /// Requests by how they ended.
    #[serde(rename = "fates")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Latency from the intended time.
    pub from_intended: Quantiles,
    /// Latency from the time of sending, as a waiting client would see it: for comparison.
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
    /// An empty tally of this many kinds.
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

    /// A request is due, and will be recorded.
    pub fn start(&mut self) {
        self.started += 1;
    }

    /// Requests that were due.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Requests that were recorded.
    pub fn recorded(&self) -> u64 {
        self.seconds.values().map(|second| second.intended).sum()
    }

    /// Records how a request ended.
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
        // One without a reply took at least as long as it was waited for: to leave it out would
        // flatter.
        self.from_intended[request.kind].saturating_record(late);
        self.from_sent[request.kind]
            .saturating_record(micros(request.answered.saturating_sub(request.sent)));
    }

    /// The report so far. `names` are the kinds', `duration` is the load's as intended.
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
            for (from, latency) in [
                ("intended time", kind.from_intended),
                ("send", kind.from_sent),
            ] {
                writeln!(
                    f,
                    "  from {from:<13} p50 {:9.1} ms, p99 {:9.1}, p99.9 {:9.1}, most {:9.1}",
                    ms(latency.p50),
                    ms(latency.p99),
                    ms(latency.p999),
                    ms(latency.max)
                )?;
            }
        }
        Ok(())
    }
}
