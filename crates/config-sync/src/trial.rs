//! Whether a version does harm: asks are refused far more often under it than before.

use corkspan_scheduler::interface::Ticks;

/// A trial lasts so long, and longer while fewer asks came than tell anything, up to so many times
/// that.
const LASTS: Ticks = 300_000;
const LONGEST: Ticks = 5 * LASTS;
const TELLING: f64 = 50.0;
/// The part of asks refused may rise by this, and by so many standard errors, before the version is
/// given up.
const RISE: f64 = 0.25;
const SURE: f64 = 3.0;
/// In this time what was counted before loses half its weight.
const HALF: f64 = 300_000.0;

/// Asks and refusals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub refused: u64,
}

/// What a trial has come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    GoesOn,
    /// It has stood its trial.
    Good,
    /// It does harm, for this reason.
    Harm(String),
}

/// Two sums that decay, brought up to date when read.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    at: Ticks,
    asked: f64,
    refused: f64,
    counted: Counts,
}

impl Usual {
    pub fn add(&mut self, now: Ticks, counts: Counts) {
        let left = (-(now.saturating_sub(self.at) as f64) / HALF).exp2();
        let since = |now: u64, then: u64| now.saturating_sub(then) as f64;
        self.asked = self.asked * left + since(counts.asked, self.counted.asked);
        self.refused = self.refused * left + since(counts.refused, self.counted.refused);
        (self.at, self.counted) = (now, counts);
    }

    /// What came until now is not counted.
    pub fn skip(&mut self, counts: Counts) {
        self.counted = counts;
    }

    fn part(&self) -> f64 {
        if self.asked > 0.0 {
            self.refused / self.asked
        } else {
            0.0
        }
    }
}

#[derive(Clone, Debug)]
pub struct Trial {
    began: Ticks,
    from: Counts,
    /// Part of asks refused before it.
    usual: f64,
}

impl Trial {
    pub fn begin(now: Ticks, counts: Counts, usual: &Usual) -> Self {
        Trial {
            began: now,
            from: counts,
            usual: usual.part(),
        }
    }

    /// The next version takes its place: what was usual before this one is still the measure.
    pub fn next(&self, now: Ticks, counts: Counts) -> Self {
        Trial {
            began: now,
            from: counts,
            usual: self.usual,
        }
    }

    /// As many asks as tell anything, and no harm.
    pub fn does_no_harm(&self, now: Ticks, counts: Counts) -> bool {
        let asked = counts.asked.saturating_sub(self.from.asked) as f64;
        asked >= TELLING && !matches!(self.verdict(now, counts), Verdict::Harm(_))
    }

    pub fn verdict(&self, now: Ticks, counts: Counts) -> Verdict {
        let asked = counts.asked.saturating_sub(self.from.asked) as f64;
        let refused = counts.refused.saturating_sub(self.from.refused) as f64;
        let lasted = now.saturating_sub(self.began);
        if asked >= TELLING {
            let part = refused / asked;
            let error = (part * (1.0 - part) / asked).sqrt();
            if part - self.usual > RISE.max(SURE * error) {
                let percent = |part: f64| (part * 100.0).round();
                return Verdict::Harm(format!(
                    "{}% of {asked} asks refused in {:.1} s, {}% before",
                    percent(part),
                    lasted as f64 / 10_000.0,
                    percent(self.usual)
                ));
            }
        }
        let over = lasted >= LASTS && asked >= TELLING || lasted >= LONGEST;
        if over { Verdict::Good } else { Verdict::GoesOn }
    }
}
