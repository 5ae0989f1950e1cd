//! The state of a subscriber between two steps.

use super::types::{PersistedVersions, TrialVersion, VersionPush};
use crate::trial::{Baseline, RequestCounts, Trial};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_scheduler::interface::Ticks;

/// Number of rolled-back versions that are remembered. The oldest is forgotten first.
const MAX_ROLLED_BACK: usize = 32;

/// A version on trial is rolled back once the dispatcher was started this many times under it,
/// since the version may be what made the dispatcher exit.
const MAX_TRIAL_STARTS: u32 = 3;

/// The configuration versions of one dispatcher. `docs/config-sync.md` gives the order of the
/// steps.
#[derive(Clone, Debug)]
pub struct Subscriber {
    pub(super) file: VersionId,
    pub(super) file_texts: SharedParts,
    pub(super) persisted: PersistedVersions,
    pub(super) baseline: Baseline,
    pub(super) trial: Option<Trial>,
    /// The newest push that has not been taken yet.
    pub(super) waiting: Option<VersionPush>,
    pub(super) applied_at: Option<Ticks>,
}

impl Subscriber {
    /// Creates the subscriber of a dispatcher that starts at `now` with this state on its disk.
    /// `file_texts` are the shared parts of its own file. The second value must be on disk before
    /// the dispatcher serves; it is `None` if the state on disk does not change.
    #[must_use]
    pub fn restore(
        file_texts: SharedParts,
        mut persisted: PersistedVersions,
        now: Ticks,
    ) -> (Self, Option<PersistedVersions>) {
        let before = persisted.clone();
        if let Some(TrialVersion { version, starts }) = &mut persisted.trial {
            *starts += 1;
            if *starts >= MAX_TRIAL_STARTS {
                let id = version.id;
                persisted.trial = None;
                roll_back(&mut persisted, id);
            }
        }
        let trial = persisted
            .trial
            .as_ref()
            .map(|_| Trial::start(now, RequestCounts::default(), &Baseline::default()));
        let changed = (persisted != before).then(|| persisted.clone());
        let file = VersionId {
            number: 0,
            digest: file_texts.digest(),
        };
        let subscriber = Subscriber {
            file,
            file_texts,
            persisted,
            baseline: Baseline::default(),
            trial,
            waiting: None,
            applied_at: None,
        };
        (subscriber, changed)
    }

    /// Returns the active version: the one on trial, otherwise the last good one, otherwise the
    /// file (number 0).
    #[must_use]
    pub fn active_version(&self) -> VersionId {
        self.active().0
    }

    /// Returns the shared parts of the active version.
    #[must_use]
    pub fn active_texts(&self) -> &SharedParts {
        self.active().1
    }

    fn active(&self) -> (VersionId, &SharedParts) {
        let trial = self.persisted.trial.as_ref().map(|trial| &trial.version);
        let version = trial.or(self.persisted.last_good.as_ref());
        version.map_or((self.file, &self.file_texts), |version| {
            (version.id, &version.texts)
        })
    }

    /// Returns whether the active version is on trial.
    #[must_use]
    pub fn on_trial(&self) -> bool {
        self.persisted.trial.is_some()
    }

    /// Returns the state that is on disk.
    #[must_use]
    pub fn persisted(&self) -> &PersistedVersions {
        &self.persisted
    }
}

/// Records that this version was rolled back.
pub(super) fn roll_back(persisted: &mut PersistedVersions, version: VersionId) {
    persisted.rolled_back.push(version);
    let excess = persisted.rolled_back.len().saturating_sub(MAX_ROLLED_BACK);
    persisted.rolled_back.drain(..excess);
}
