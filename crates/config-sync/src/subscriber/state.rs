//! What a subscriber knows between two steps.

use super::types::{PersistedVersions, VersionPush};
use crate::trial::{Baseline, RequestCounts, Trial};
use corkspan_config::version::{Texts, VersionId};
use corkspan_scheduler::interface::Ticks;

/// Versions remembered as given up at the most.
const MAX_ROLLED_BACK: usize = 32;
/// A version on trial under which the dispatcher was started so often is given up: it may be what
/// ended it.
const MAX_TRIAL_STARTS: u32 = 3;

#[derive(Clone, Debug)]
pub struct Subscriber {
    pub(super) file: VersionId,
    pub(super) file_texts: Texts,
    pub(super) persisted: PersistedVersions,
    pub(super) baseline: Baseline,
    pub(super) trial: Option<Trial>,
    /// The newest push that was not looked at.
    pub(super) waiting: Option<VersionPush>,
    pub(super) applied_at: Option<Ticks>,
}

impl Subscriber {
    /// `texts` are the shared parts of the dispatcher's own file. What to have on disk before it
    /// starts, if that is not `kept` as it was.
    pub fn restore(
        texts: Texts,
        kept: PersistedVersions,
        now: Ticks,
    ) -> (Self, Option<PersistedVersions>) {
        let mut kept = kept;
        let before = kept.clone();
        if let Some((version, starts)) = &mut kept.trial {
            *starts += 1;
            if *starts >= MAX_TRIAL_STARTS {
                let stamp = version.id;
                kept.trial = None;
                roll_back(&mut kept, stamp);
            }
        }
        let trial = kept
            .trial
            .as_ref()
            .map(|_| Trial::start(now, RequestCounts::default(), &Baseline::default()));
        let changed = (kept != before).then(|| kept.clone());
        let file = VersionId {
            number: 0,
            digest: texts.digest(),
        };
        let usual = Baseline::default();
        let own = Subscriber {
            file,
            file_texts: texts,
            persisted: kept,
            baseline: usual,
            trial,
            waiting: None,
            applied_at: None,
        };
        (own, changed)
    }

    /// The version in force, and its shared parts.
    pub fn active_version(&self) -> (VersionId, &Texts) {
        let trial = self.persisted.trial.as_ref().map(|(version, _)| version);
        let version = trial.or(self.persisted.last_good.as_ref());
        version.map_or((self.file, &self.file_texts), |version| {
            (version.id, &version.texts)
        })
    }

    pub fn on_trial(&self) -> bool {
        self.persisted.trial.is_some()
    }

    pub fn persisted(&self) -> &PersistedVersions {
        &self.persisted
    }
}

pub(super) fn roll_back(kept: &mut PersistedVersions, stamp: VersionId) {
    kept.rolled_back.push(stamp);
    let over = kept.rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
    kept.rolled_back.drain(..over);
}
