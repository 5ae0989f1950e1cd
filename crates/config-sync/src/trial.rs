//! Whether a version does harm: asks are refused far more often under it than before.

use corkspan_scheduler::interface::Ticks;

/// A trial lasts so long, and longer while fewer asks came than tell anything, up to so many times
/// that.
const TRIAL_DURATION: Ticks = 300_000;
const MAX_TRIAL_DURATION: Ticks = 5 * TRIAL_DURATION;
const MIN_REQUESTS: f64 = 50.0;
/// The part of asks refused may rise by this, and by so many standard errors, before the version is
/// given up.
const MIN_REJECTION_RISE: f64 = 0.25;
const STANDARD_ERRORS: f64 = 3.0;
/// In this time what was counted before loses half its weight.
const BASELINE_HALF_LIFE: f64 = 300_000.0;

/// Asks and refusals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub requests: u64,
    pub rejected: u64,
}

/// What a trial has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    Continue,
    /// It has stood its trial.
    Passed,
    /// It does harm, for this reason.
    Regressed(String),
}

/// Two sums that decay, brought up to date when read.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    updated_at: Ticks,
    requests: f64,
    rejected: f64,
    last_counts: RequestCounts,
}

impl Baseline {
    pub fn add(&mut self, now: Ticks, counts: RequestCounts) {
        let left = (-(now.saturating_sub(self.updated_at) as f64) / BASELINE_HALF_LIFE).exp2();
        let since = |now: u64, then: u64| now.saturating_sub(then) as f64;
        self.requests = self.requests * left + since(counts.requests, self.last_counts.requests);
        self.rejected = self.rejected * left + since(counts.rejected, self.last_counts.rejected);
        (self.updated_at, self.last_counts) = (now, counts);
    }

    /// What came until now is not counted.
    pub fn skip(&mut self, counts: RequestCounts) {
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

#[derive(Clone, Debug)]
pub struct Trial {
    started_at: Ticks,
    counts_at_start: RequestCounts,
    /// Part of asks refused before it.
    baseline: f64,
}

impl Trial {
    pub fn start(now: Ticks, counts: RequestCounts, baseline: &Baseline) -> Self {
        Trial {
            started_at: now,
            counts_at_start: counts,
            baseline: baseline.rejection_rate(),
        }
    }

    /// The next version takes its place: what was usual before this one is still the measure.
    pub fn restart(&self, now: Ticks, counts: RequestCounts) -> Self {
        Trial {
            started_at: now,
            counts_at_start: counts,
            baseline: self.baseline,
        }
    }

    /// As many asks as tell anything, and no harm.
    pub fn shows_no_regression(&self, now: Ticks, counts: RequestCounts) -> bool {
        let asked = counts
            .requests
            .saturating_sub(self.counts_at_start.requests) as f64;
        asked >= MIN_REQUESTS && !matches!(self.verdict(now, counts), TrialVerdict::Regressed(_))
    }

    pub fn verdict(&self, now: Ticks, counts: RequestCounts) -> TrialVerdict {
        let asked = counts
            .requests
            .saturating_sub(self.counts_at_start.requests) as f64;
        let refused = counts
            .rejected
            .saturating_sub(self.counts_at_start.rejected) as f64;
        let lasted = now.saturating_sub(self.started_at);
        if asked >= MIN_REQUESTS {
            let part = refused / asked;
            let error = (part * (1.0 - part) / asked).sqrt();
            if part - self.baseline > MIN_REJECTION_RISE.max(STANDARD_ERRORS * error) {
                let percent = |part: f64| (part * 100.0).round();
                return TrialVerdict::Regressed(format!(
                    "{}% of {asked} asks refused in {:.1} s, {}% before",
                    percent(part),
                    lasted as f64 / 10_000.0,
                    percent(self.baseline)
                ));
            }
        }
        let over =
            lasted >= TRIAL_DURATION && asked >= MIN_REQUESTS || lasted >= MAX_TRIAL_DURATION;
        if over {
            TrialVerdict::Passed
        } else {
            TrialVerdict::Continue
        }
    }
}
