//! Decides whether a version on trial is a regression, that is, whether far more requests are
//! rejected under it than before.

use corkspan_scheduler::interface::Ticks;

const TICKS_PER_SECOND: f64 = 10_000.0;
/// Duration of a trial (30 s). It lasts longer while there are too few requests to evaluate.
const TRIAL_DURATION: Ticks = 300_000;
/// Duration after which a trial with too few requests ends and the version passes (150 s).
const MAX_TRIAL_DURATION: Ticks = 5 * TRIAL_DURATION;
/// Number of requests below which a trial is not evaluated.
const MIN_REQUESTS: f64 = 50.0;
/// Allowed rise of the rejection rate above the baseline, as a fraction of all requests, unless
/// [`MAX_STANDARD_ERRORS`] allows more.
const MAX_RATE_INCREASE: f64 = 0.25;
/// Allowed rise of the rejection rate above the baseline, in standard errors of the rate, unless
/// [`MAX_RATE_INCREASE`] allows more.
const MAX_STANDARD_ERRORS: f64 = 3.0;
/// Time after which a request has half its weight in the baseline (30 s), in ticks.
const BASELINE_HALF_LIFE: f64 = 300_000.0;

/// Number of requests since the dispatcher started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All requests.
    pub requests: u64,
    /// Rejected requests.
    pub rejected: u64,
}

impl RequestCounts {
    /// Returns the requests counted since `earlier`.
    fn since(self, earlier: RequestCounts) -> RequestCounts {
        RequestCounts {
            requests: self.requests.saturating_sub(earlier.requests),
            rejected: self.rejected.saturating_sub(earlier.rejected),
        }
    }
}

/// The verdict on a trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// The trial continues.
    Continue,
    /// The version passed.
    Passed,
    /// The version is to be rolled back, for this reason.
    Regressed(String),
}

/// The usual rejection rate, kept as two sums that decay whenever counts are added.
#[derive(Clone, Debug, Default)]
pub(crate) struct Baseline {
    updated_at: Ticks,
    requests: f64,
    rejected: f64,
    last_counts: RequestCounts,
}

impl Baseline {
    /// Adds the requests counted since the last call.
    pub(crate) fn add(&mut self, now: Ticks, counts: RequestCounts) {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let decay = (-elapsed / BASELINE_HALF_LIFE).exp2();
        let added = counts.since(self.last_counts);
        self.requests = self.requests * decay + added.requests as f64;
        self.rejected = self.rejected * decay + added.rejected as f64;
        (self.updated_at, self.last_counts) = (now, counts);
    }

    /// Skips the requests counted since the last call.
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
    /// The rejection rate before the trial.
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

    /// Returns the trial of a version that replaces the one on trial, with the same baseline.
    pub(crate) fn restart(&self, now: Ticks, counts: RequestCounts) -> Self {
        Trial {
            started_at: now,
            counts_at_start: counts,
            baseline: self.baseline,
        }
    }

    /// Returns whether there were enough requests to evaluate and no regression.
    pub(crate) fn shows_no_regression(&self, now: Ticks, counts: RequestCounts) -> bool {
        let requests = counts.since(self.counts_at_start).requests as f64;
        let regressed = matches!(self.verdict(now, counts), TrialVerdict::Regressed(_));
        requests >= MIN_REQUESTS && !regressed
    }

    pub(crate) fn verdict(&self, now: Ticks, counts: RequestCounts) -> TrialVerdict {
        let counted = counts.since(self.counts_at_start);
        let (requests, rejected) = (counted.requests as f64, counted.rejected as f64);
        let duration = now.saturating_sub(self.started_at);
        let has_enough_requests = requests >= MIN_REQUESTS;
        if has_enough_requests {
            let rate = rejected / requests;
            let standard_error = (rate * (1.0 - rate) / requests).sqrt();
            let allowed = MAX_RATE_INCREASE.max(MAX_STANDARD_ERRORS * standard_error);
            if rate - self.baseline > allowed {
                let percent = |rate: f64| (rate * 100.0).round();
                return TrialVerdict::Regressed(format!(
                    "{}% of {requests} requests rejected in {:.1} s, {}% before",
                    percent(rate),
                    duration as f64 / TICKS_PER_SECOND,
                    percent(self.baseline)
                ));
            }
        }
        if has_enough_requests && duration >= TRIAL_DURATION || duration >= MAX_TRIAL_DURATION {
            TrialVerdict::Passed
        } else {
            TrialVerdict::Continue
        }
    }
}
