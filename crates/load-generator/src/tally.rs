//! Records the outcomes of a load: latencies from the intended send time, by kind and second, and
//! the lag of the generator itself.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Placed.
    Placed,
    /// Rejected, certainly without any effect.
    #[serde(rename = "refused")]
    Rejected,
    /// Failed; it may have run.
    Failed,
    /// No final reply: the connection broke, or the client's deadline passed.
    Unanswered,
    /// Not sent, because too many requests were in flight; the intended load was not offered.
    NotSent,
}

/// The record of one request. Its times are measured from the start of the load.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// The index of its kind of work.
    pub kind: usize,
    /// The intended send time.
    pub intended: Duration,
    /// The send time.
    pub sent: Duration,
    /// The time of the reply, or of the end of waiting for it.
    pub answered: Duration,
    /// The outcome.
    pub outcome: Outcome,
}

/// The maximum lag of the generator at the 99th percentile. With a larger lag it has not offered
/// the intended load.
pub const MAX_LAG: Duration = Duration::from_millis(10);

/// Counts outcomes and latencies as a load runs.
pub struct Tally {
    /// The latencies of requests that were sent, by kind.
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
    /// The number of the second, from 0.
    pub at: u64,
    /// The number of requests that were to be sent in it.
    pub intended: u64,
    /// The number of those that were placed.
    pub placed: u64,
    /// The number of those that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The number of those that failed, had no reply or were not sent.
    pub lost: u64,
    /// The latency of the slowest reply from its intended time, in µs.
    pub slowest_us: u64,
}

/// Quantiles of a latency, in µs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// The maximum.
    #[serde(rename = "most")]
    pub max: u64,
}

/// The report about a load, which is stored as JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The reports by kind of work.
    pub kinds: Vec<KindReport>,
    /// The generator's lag, from the intended time of a request until it was sent.
    pub lag: Quantiles,
    /// The intended requests per second.
    #[serde(rename = "intended_a_second")]
    pub intended_per_second: f64,
    /// The requests per second that were sent.
    #[serde(rename = "sent_a_second")]
    pub sent_per_second: f64,
    /// Whether the generator did not keep up, so that the figures are not the dispatcher's alone.
    #[serde(rename = "behind")]
    pub fell_behind: bool,
    /// The counts by second of intended time.
    pub seconds: Vec<Second>,
}

/// The report about one kind of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindReport {
    /// The service class and tenant.
    pub name: String,
    /// The number of requests by outcome.
    #[serde(rename = "fates")]
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The latency from the intended time.
    pub from_intended: Quantiles,
    /// The latency from the send time, as a closed-loop client would measure it; for comparison.
    pub from_sent: Quantiles,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("bounds and digits are valid")
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile);
    Quantiles {
        count: histogram.len(),
        p50: at(0.5),
        p99: at(0.99),
        p999: at(0.999),
        max: histogram.max(),
    }
}

fn micros(time: Duration) -> u64 {
    (time.as_micros() as u64).max(1)
}

impl Tally {
    /// Creates an empty tally for this number of kinds.
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

    /// Counts a request that is due and will be recorded.
    pub fn start(&mut self) {
        self.started += 1;
    }

    /// Returns the number of requests that were due.
    pub fn started(&self) -> u64 {
        self.started
    }

    /// Returns the number of requests that were recorded.
    pub fn recorded(&self) -> u64 {
        self.seconds.values().map(|second| second.intended).sum()
    }

    /// Records the outcome of a request.
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
        let latency_us = micros(request.answered.saturating_sub(request.intended));
        second.slowest_us = second.slowest_us.max(latency_us);
        match request.outcome {
            Outcome::Placed => second.placed += 1,
            Outcome::Rejected => second.rejected += 1,
            Outcome::Failed | Outcome::Unanswered | Outcome::NotSent => second.lost += 1,
        }
        // A request without a reply took at least as long as the client waited; to omit it would
        // make the latencies look better than they are.
        self.from_intended[request.kind].saturating_record(latency_us);
        self.from_sent[request.kind]
            .saturating_record(micros(request.answered.saturating_sub(request.sent)));
    }

    /// Returns the report so far. `names` are the names of the kinds, and `duration` is the
    /// intended duration of the load.
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
