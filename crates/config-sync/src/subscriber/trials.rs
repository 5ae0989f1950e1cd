//! Steps of a trial: prepared, started, evaluated, finished.

use super::state::{Subscriber, roll_back};
use super::types::{PersistedVersions, TrialOutcome, TrialVersion, Version};
use crate::trial::{RequestCounts, Trial, TrialVerdict};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_scheduler::interface::Ticks;

impl Subscriber {
    /// A validated version is to take effect: what must be on disk first. A version on trial that
    /// it replaces counts as good if it showed no regression over enough requests.
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

    /// What [`Subscriber::prepare_trial`] gave is on disk, and the version takes effect now.
    pub fn start_trial(&mut self, now: Ticks, persisted: PersistedVersions, counts: RequestCounts) {
        self.update_baseline(now, counts);
        self.trial = Some(match &self.trial {
            Some(trial) => trial.restart(now, counts),
            None => Trial::start(now, counts, &self.baseline),
        });
        self.persisted = persisted;
        self.applied_at = Some(now);
    }

    /// Evaluates the version on trial by the requests so far; none while the trial goes on, and
    /// where there is none.
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

    /// What [`Subscriber::evaluate_trial`] gave is on disk and active.
    pub fn finish_trial(
        &mut self,
        now: Ticks,
        persisted: PersistedVersions,
        counts: RequestCounts,
    ) {
        self.persisted = persisted;
        self.trial = None;
        // What was rejected under a version that was rolled back is no measure for the next.
        self.baseline.skip(counts);
        self.update_baseline(now, counts);
    }

    /// The baseline counts what comes while no version is on trial.
    fn update_baseline(&mut self, now: Ticks, counts: RequestCounts) {
        if self.trial.is_none() {
            self.baseline.add(now, counts);
        }
    }
}
