//! What a subscriber knows between two steps.

use super::types::{Kept, Push};
use crate::trial::{Counts, Trial, Usual};
use corkspan_config::version::{Stamp, Texts};
use corkspan_scheduler::interface::Ticks;

/// Versions remembered as given up at the most.
const GIVEN_UP: usize = 32;
/// A version on trial under which the dispatcher was started so often is given up: it may be what
/// ended it.
const STARTS: u32 = 3;

#[derive(Clone, Debug)]
pub struct Subscriber {
    pub(super) file: Stamp,
    pub(super) file_texts: Texts,
    pub(super) kept: Kept,
    pub(super) usual: Usual,
    pub(super) trial: Option<Trial>,
    /// The newest push that was not looked at.
    pub(super) waits: Option<Push>,
    pub(super) applied_at: Option<Ticks>,
}

impl Subscriber {
    /// `texts` are the shared parts of the dispatcher's own file. What to have on disk before it
    /// starts, if that is not `kept` as it was.
    pub fn start(texts: Texts, kept: Kept, now: Ticks) -> (Self, Option<Kept>) {
        let mut kept = kept;
        let before = kept.clone();
        if let Some((version, starts)) = &mut kept.trial {
            *starts += 1;
            if *starts >= STARTS {
                let stamp = version.stamp;
                kept.trial = None;
                give_up(&mut kept, stamp);
            }
        }
        let trial = kept
            .trial
            .as_ref()
            .map(|_| Trial::begin(now, Counts::default(), &Usual::default()));
        let changed = (kept != before).then(|| kept.clone());
        let file = Stamp {
            number: 0,
            digest: texts.digest(),
        };
        let usual = Usual::default();
        let own = Subscriber {
            file,
            file_texts: texts,
            kept,
            usual,
            trial,
            waits: None,
            applied_at: None,
        };
        (own, changed)
    }

    /// The version in force, and its shared parts.
    pub fn running(&self) -> (Stamp, &Texts) {
        let trial = self.kept.trial.as_ref().map(|(version, _)| version);
        let version = trial.or(self.kept.good.as_ref());
        version.map_or((self.file, &self.file_texts), |version| {
            (version.stamp, &version.texts)
        })
    }

    pub fn on_trial(&self) -> bool {
        self.kept.trial.is_some()
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }
}

pub(super) fn give_up(kept: &mut Kept, stamp: Stamp) {
    kept.given_up.push(stamp);
    let over = kept.given_up.len().saturating_sub(GIVEN_UP);
    kept.given_up.drain(..over);
}
