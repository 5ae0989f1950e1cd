//! Steps with a version in force: put on trial, observed, decided.

use super::state::{Subscriber, give_up};
use super::types::{Kept, Version};
use crate::trial::{Counts, Trial, Verdict};
use corkspan_config::version::{Stamp, Texts};
use corkspan_scheduler::interface::Ticks;

impl Subscriber {
    /// It was found sound and is to take effect: what must be on disk first. The one on trial that
    /// it takes the place of counts as good if it did no harm to as many asks as tell anything.
    pub fn to_keep(&self, now: Ticks, counts: Counts, stamp: Stamp, texts: Texts) -> Kept {
        let mut kept = self.kept.clone();
        let trial = kept.trial.replace((Version { stamp, texts }, 0));
        let stood = self
            .trial
            .as_ref()
            .is_some_and(|trial| trial.does_no_harm(now, counts));
        if let Some((version, _)) = trial.filter(|_| stood) {
            kept.good = Some(version);
        }
        kept
    }

    /// It is on disk and takes effect now.
    pub fn applied(&mut self, now: Ticks, kept: Kept, counts: Counts) {
        self.usual_until(now, counts);
        let trial = self.trial.as_ref().map(|trial| trial.next(now, counts));
        self.trial = trial.or_else(|| Some(Trial::begin(now, counts, &self.usual)));
        self.kept = kept;
        self.applied_at = Some(now);
    }

    /// A look at how the version in force does. What must be on disk, and in force once it is; with
    /// a reason where the version is given up.
    pub fn watch(&mut self, now: Ticks, counts: Counts) -> Option<(Kept, Option<String>)> {
        let Some(trial) = &self.trial else {
            self.usual_until(now, counts);
            return None;
        };
        let (version, _) = self.kept.trial.as_ref()?;
        let mut kept = Kept {
            trial: None,
            ..self.kept.clone()
        };
        match trial.verdict(now, counts) {
            Verdict::GoesOn => None,
            Verdict::Good => {
                kept.good = Some(version.clone());
                Some((kept, None))
            }
            Verdict::Harm(why) => {
                give_up(&mut kept, version.stamp);
                Some((kept, Some(why)))
            }
        }
    }

    /// What [`Subscriber::watch`] gave is on disk and in force.
    pub fn decided(&mut self, now: Ticks, kept: Kept, counts: Counts) {
        self.kept = kept;
        self.trial = None;
        // What was refused under a version that was given up is not what is usual.
        self.usual.skip(counts);
        self.usual_until(now, counts);
    }

    fn usual_until(&mut self, now: Ticks, counts: Counts) {
        if self.trial.is_none() {
            self.usual.add(now, counts);
        }
    }
}
