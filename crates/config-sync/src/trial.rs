//! Whether a version on trial is a regression: far more requests are rejected under it than before.

use corkspan_scheduler::interface::Ticks;

const TICKS_PER_SECOND: f64 = 10_000.0;
/// A trial lasts this long (30 s), and longer while there were too few requests to judge by.
const TRIAL_DURATION: Ticks = 300_000;
/// A trial with too few requests ends after this time (150 s), and the version passes.
const MAX_TRIAL_DURATION: Ticks = 5 * TRIAL_DURATION;
/// With fewer requests a trial is not judged.
const MIN_REQUESTS: f64 = 50.0;
/// The rejection rate may rise by this much above the baseline,
const MAX_RATE_INCREASE: f64 = 0.25;
/// or by this many of its standard errors, whichever is more.
const MAX_STANDARD_ERRORS: f64 = 3.0;
/// After this time what was counted has half its weight in the baseline (30 s).
const BASELINE_HALF_LIFE: f64 = 300_000.0;

/// Requests since the dispatcher's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All of them.
    pub requests: u64,
    /// Those that were rejected.
    pub rejected: u64,
}

impl RequestCounts {
    /// What was counted since `earlier`.
    fn since(self, earlier: RequestCounts) -> RequestCounts {
        RequestCounts {
            requests: self.requests.saturating_sub(earlier.requests),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }
}

/// What a trial has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It goes on.
    Continue,
    /// The version is good.
    Passed,
    /// The version is to be rolled back, for this reason.
    Regressed(String),
}

/// The usual rejection rate: two sums that decay, brought up to date when counts are added.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    updated_at: Ticks,
    requests: f64,
    rejected: f64,
    last_counts: RequestCounts,
}

impl Baseline {
    /// Adds what was counted since the last call.
    pub(crate) fn add(&mut self, now: Ticks, counts: RequestCounts) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let decay = (-elapsed / BASELINE_HALF_LIFE).exp2();
        let new = counts.since(self.last_counts);
        self.requests = self.requests * decay + new.requests as f64;
        self.rejected = self.rejected * decay + new.rejected as f64;
        (self.updated_at, self.last_counts) = (now, counts);
    }

    /// Leaves out what was counted since the last call.
    pub(crate) fn skip(&mut self, counts: RequestCounts) {
        self.last_counts = counts;
    }

    fn rejection_rate(&self) -> f64 {
        if self.requests > 0.0 {
            self.rejected / self.requests
        } else {
            0.0
        }
    }
}

/// The trial of one version.
#[derive(Clone, Debug)]
pub(crate) struct Trial {
    started_at: Ticks,
    counts_at_start: RequestCounts,
    /// The rejection rate before it.
    baseline: f64,
}

impl Trial {
    pub(crate) fn start(now: Ticks, counts: RequestCounts, baseline: &Baseline) -> Self {
        Trial {
            started_at: now,
            counts_at_start: counts,
            baseline: baseline.rejection_rate(),
        }
    }

    /// The trial of the version that replaces the one on trial, by the same baseline.
    pub(crate) fn restart(&self, now: Ticks, counts: RequestCounts) -> Self {
        Trial {
            started_at: now,
            counts_at_start: counts,
            baseline: self.baseline,
        }
    }

    /// Whether there were enough requests to judge by, and no regression.
    pub(crate) fn shows_no_regression(&self, now: Ticks, counts: RequestCounts) -> bool {
        let requests = counts.since(self.counts_at_start).requests as f64;
        let regressed = matches!(self.verdict(now, counts), TrialVerdict::Regressed(_));
        requests >= MIN_REQUESTS && !regressed
    }

    pub(crate) fn verdict(&self, now: Ticks, counts: RequestCounts) -> TrialVerdict {
        let counted = counts.since(self.counts_at_start);
        let (requests, rejected) = (counted.requests as f64, counted.rejected as f64);
        let lasted = now.saturating_sub(self.started_at);
        let enough = requests >= MIN_REQUESTS;
        if enough {
            let rate = rejected / requests;
            let standard_error = (rate * (1.0 - rate) / requests).sqrt();
            let allowed = MAX_RATE_INCREASE.max(MAX_STANDARD_ERRORS * standard_error);
            if rate - self.baseline > allowed {
                let percent = |rate: f64| (rate * 100.0).round();
                return TrialVerdict::Regressed(format!(
                    "{}% of {requests} asks refused in {:.1} s, {}% before",
                    percent(rate),
                    lasted as f64 / TICKS_PER_SECOND,
                    percent(self.baseline)
                ));
            }
        }
        if enough && lasted >= TRIAL_DURATION || lasted >= MAX_TRIAL_DURATION {
            TrialVerdict::Passed
        } else {
            TrialVerdict::Continue
        }
    }
}
