//! Steps with a version in force: put on trial, observed, decided.

use super::state::{Subscriber, roll_back};
use super::types::{PersistedVersions, Version};
use crate::trial::{RequestCounts, Trial, TrialVerdict};
use corkspan_config::version::{Texts, VersionId};
use corkspan_scheduler::interface::Ticks;

impl Subscriber {
    /// It was found sound and is to take effect: what must be on disk first. The one on trial that
    /// it takes the place of counts as good if it did no harm to as many asks as tell anything.
    pub fn prepare_trial(
        &self,
        now: Ticks,
        counts: RequestCounts,
        stamp: VersionId,
        texts: Texts,
    ) -> PersistedVersions {
        let mut kept = self.persisted.clone();
        let trial = kept.trial.replace((Version { id: stamp, texts }, 0));
        let stood = self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.shows_no_regression(now, counts));
        if let Some((version, _)) = trial.filter(|_| stood) {
            kept.last_good = Some(version);
        }
        kept
    }

    /// It is on disk and takes effect now.
    pub fn start_trial(&mut self, now: Ticks, kept: PersistedVersions, counts: RequestCounts) {
        self.update_baseline(now, counts);
        let trial = self.trial.as_ref().map(|trial| trial.restart(now, counts));
        self.trial = trial.or_else(|| Some(Trial::start(now, counts, &self.baseline)));
        self.persisted = kept;
        self.applied_at = Some(now);
    }

    /// A look at how the version in force does. What must be on disk, and in force once it is; with
    /// a reason where the version is given up.
    pub fn evaluate_trial(
        &mut self,
        now: Ticks,
        counts: RequestCounts,
    ) -> Option<(PersistedVersions, Option<String>)> {
        let Some(trial) = &self.trial else {
            self.update_baseline(now, counts);
            return None;
        };
        let (version, _) = self.persisted.trial.as_ref()?;
        let mut kept = PersistedVersions {
            trial: None,
            ..self.persisted.clone()
        };
        match trial.verdict(now, counts) {
            TrialVerdict::Continue => None,
            TrialVerdict::Passed => {
                kept.last_good = Some(version.clone());
                Some((kept, None))
            }
            TrialVerdict::Regressed(why) => {
                roll_back(&mut kept, version.id);
                Some((kept, Some(why)))
            }
        }
    }

    /// What [`Subscriber::evaluate_trial`] gave is on disk and in force.
    pub fn finish_trial(&mut self, now: Ticks, kept: PersistedVersions, counts: RequestCounts) {
        self.persisted = kept;
        self.trial = None;
        // What was refused under a version that was given up is not what is usual.
        self.baseline.skip(counts);
        self.update_baseline(now, counts);
    }

    fn update_baseline(&mut self, now: Ticks, counts: RequestCounts) {
        if self.trial.is_none() {
            self.baseline.add(now, counts);
        }
    }
}
