//! The steps of a trial: it is prepared, started, evaluated and finished.

use super::state::{Subscriber, roll_back};
use super::types::{PersistedVersions, TrialOutcome, TrialVersion, Version};
use crate::trial::{RequestCounts, Trial, TrialVerdict};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_scheduler::interface::Ticks;

impl Subscriber {
    /// Returns the state that must be on disk before a validated version takes effect. If it
    /// replaces a version on trial, that one counts as good if it showed no regression over enough
    /// requests.
    #[must_use]
    pub fn prepare_trial(
        &self,
        now: Ticks,
        counts: RequestCounts,
        version: VersionId,
        texts: SharedParts,
    ) -> PersistedVersions {
        let mut persisted = self.persisted.clone();
        let next = TrialVersion {
            version: Version { id: version, texts },
            starts: 0,
        };
        let replaced = persisted.trial.replace(next);
        let passed = self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.shows_no_regression(now, counts));
        if let Some(replaced) = replaced.filter(|_| passed) {
            persisted.last_good = Some(replaced.version);
        }
        persisted
    }

    /// Makes the version active, once the state from [`Subscriber::prepare_trial`] is on disk.
    pub fn start_trial(&mut self, now: Ticks, persisted: PersistedVersions, counts: RequestCounts) {
        self.update_baseline(now, counts);
        self.trial = Some(match &self.trial {
            Some(trial) => trial.restart(now, counts),
            None => Trial::start(now, counts, &self.baseline),
        });
        self.persisted = persisted;
        self.applied_at = Some(now);
    }

    /// Evaluates the version on trial by the requests so far. Returns `None` while the trial
    /// continues and if no version is on trial.
    #[must_use]
    pub fn evaluate_trial(&mut self, now: Ticks, counts: RequestCounts) -> Option<TrialOutcome> {
        let Some(trial) = &self.trial else {
            self.update_baseline(now, counts);
            return None;
        };
        let version = &self.persisted.trial.as_ref()?.version;
        let mut persisted = PersistedVersions {
            trial: None,
            ..self.persisted.clone()
        };
        let rollback_reason = match trial.verdict(now, counts) {
            TrialVerdict::Continue => return None,
            TrialVerdict::Passed => {
                persisted.last_good = Some(version.clone());
                None
            }
            TrialVerdict::Regressed(reason) => {
                roll_back(&mut persisted, version.id);
                Some(reason)
            }
        };
        Some(TrialOutcome {
            persisted,
            rollback_reason,
        })
    }

    /// Ends the trial, once the state from [`Subscriber::evaluate_trial`] is on disk and active.
    pub fn finish_trial(
        &mut self,
        now: Ticks,
        persisted: PersistedVersions,
        counts: RequestCounts,
    ) {
        self.persisted = persisted;
        self.trial = None;
        // Rejections under a version that was rolled back must not raise the baseline of the next.
        self.baseline.skip(counts);
        self.update_baseline(now, counts);
    }

    /// Adds the requests to the baseline if no version is on trial.
    fn update_baseline(&mut self, now: Ticks, counts: RequestCounts) {
        if self.trial.is_none() {
            self.baseline.add(now, counts);
        }
    }
}
