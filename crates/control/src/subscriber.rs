//! A dispatcher's end of the stream: which version it runs, and what it does about the next.

use crate::trial::{Counts, Trial, Usual, Verdict};
use corkspan::interface::Tenths;
use corkspan_deployment::version::{Stamp, Texts};
use serde::{Deserialize, Serialize};

/// Between two versions that take effect: a flood of them is passed over for the newest.
const APART: Tenths = 500;
/// Versions remembered as given up at the most.
const GIVEN_UP: usize = 32;
/// A version on trial under which the dispatcher was started so often is given up: it may be what
/// ended it.
const STARTS: u32 = 3;

/// One version whole, as it is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Version {
    pub stamp: Stamp,
    pub texts: Texts,
}

/// What must be on disk before the next step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// None: the dispatcher's own file.
    pub good: Option<Version>,
    /// On trial, and how often the dispatcher was started under it.
    pub trial: Option<(Version, u32)>,
    pub given_up: Vec<Stamp>,
}

impl Kept {
    /// What is left where the newest version in it no longer fits the file: the one before, at last
    /// the file alone.
    pub fn before_newest(mut self) -> Kept {
        if self.trial.take().is_none() {
            self.good = None;
        }
        self
    }
}

/// A push as it comes from the stream, its content unread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Push {
    pub nonce: u64,
    pub stamp: Stamp,
    /// Earlier versions in whose line it stands, as its service says.
    pub follows: Vec<Stamp>,
    /// What its changes are made to; none where it is whole.
    pub onto: Option<Stamp>,
    pub changes: Texts,
    pub removed: Vec<String>,
    /// Its author means it to cut limits deep.
    pub cuts: bool,
}

/// An answer to a push.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    /// It is in force.
    Applied,
    /// It is in force already.
    Running,
    /// It is not, for these reasons.
    Refused(Vec<String>),
    /// It was passed over unread for the push of this nonce.
    Superseded(u64),
    /// Its changes are made to another version than runs here: all of it is wanted.
    WantsWhole,
}

/// What to do with a push.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// To be answered so, unread.
    Answer(Said),
    /// To be checked: what it comes to, whole.
    Check(Texts),
}

/// When the next push is to be looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    Idle,
    Wait(Tenths),
    Now,
}

#[derive(Clone, Debug)]
pub struct Subscriber {
    file: Stamp,
    file_texts: Texts,
    kept: Kept,
    usual: Usual,
    trial: Option<Trial>,
    /// The newest push that was not looked at.
    waits: Option<Push>,
    applied_at: Option<Tenths>,
}

impl Subscriber {
    /// `texts` are the shared parts of the dispatcher's own file. What to have on disk before it
    /// starts, if that is not `kept` as it was.
    pub fn start(texts: Texts, kept: Kept, now: Tenths) -> (Self, Option<Kept>) {
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

    /// A push has come. The answer to the one that it passes over, by nonce.
    pub fn heard(&mut self, push: Push) -> Option<(u64, Said)> {
        let newer = self
            .waits
            .as_ref()
            .is_none_or(|waits| push.stamp.number >= waits.stamp.number);
        if newer {
            let nonce = push.nonce;
            self.waits
                .replace(push)
                .map(|passed| (passed.nonce, Said::Superseded(nonce)))
        } else {
            self.waits
                .as_ref()
                .map(|waits| (push.nonce, Said::Superseded(waits.nonce)))
        }
    }

    /// What waits belongs to a stream that broke.
    pub fn broke(&mut self) {
        self.waits = None;
    }

    pub fn pace(&self, now: Tenths) -> Pace {
        match (&self.waits, self.applied_at) {
            (None, _) => Pace::Idle,
            (Some(_), Some(at)) if now < at + APART => Pace::Wait(at + APART - now),
            _ => Pace::Now,
        }
    }

    /// Takes the push that waits.
    pub fn take(&mut self) -> Option<Push> {
        self.waits.take()
    }

    /// Whether it is worth reading, by its stamp alone.
    pub fn admit(&self, push: &Push) -> Admitted {
        let (running, texts) = self.running();
        let refuse = |why: String| Admitted::Answer(Said::Refused(vec![why]));
        let stamp = push.stamp;
        if stamp == running {
            return Admitted::Answer(Said::Running);
        }
        if self.kept.given_up.contains(&stamp) {
            return refuse(format!(
                "version {stamp} was given up here; a next one is needed"
            ));
        }
        if stamp.number == running.number {
            return refuse(format!(
                "stale: {running} runs here, of the same number and another content"
            ));
        }
        if stamp.number < running.number {
            return refuse(format!("stale: {running} runs here"));
        }
        // A service that was cut off from the others may count on from an older state.
        if running.number > 0 && !push.follows.contains(&running) {
            return refuse(format!(
                "split: it does not follow {running}, which runs here"
            ));
        }
        let whole = match push.onto {
            None => push.changes.clone(),
            Some(onto) if onto == running => texts.changed(&push.changes, &push.removed),
            Some(_) => return Admitted::Answer(Said::WantsWhole),
        };
        if whole.digest() != stamp.digest {
            return refuse(format!(
                "what it says has the digest {:?}, not {:?}",
                whole.digest(),
                stamp.digest
            ));
        }
        Admitted::Check(whole)
    }

    /// It was found sound and is to take effect: what must be on disk first. The one on trial that
    /// it takes the place of counts as good if it did no harm to as many asks as tell anything.
    pub fn to_keep(&self, now: Tenths, counts: Counts, stamp: Stamp, texts: Texts) -> Kept {
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
    pub fn applied(&mut self, now: Tenths, kept: Kept, counts: Counts) {
        self.usual_until(now, counts);
        let trial = self.trial.as_ref().map(|trial| trial.next(now, counts));
        self.trial = trial.or_else(|| Some(Trial::begin(now, counts, &self.usual)));
        self.kept = kept;
        self.applied_at = Some(now);
    }

    /// A look at how the version in force does. What must be on disk, and in force once it is; with
    /// a reason where the version is given up.
    pub fn watch(&mut self, now: Tenths, counts: Counts) -> Option<(Kept, Option<String>)> {
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
    pub fn decided(&mut self, now: Tenths, kept: Kept, counts: Counts) {
        self.kept = kept;
        self.trial = None;
        // What was refused under a version that was given up is not what is usual.
        self.usual.skip(counts);
        self.usual_until(now, counts);
    }

    fn usual_until(&mut self, now: Tenths, counts: Counts) {
        if self.trial.is_none() {
            self.usual.add(now, counts);
        }
    }
}

fn give_up(kept: &mut Kept, stamp: Stamp) {
    kept.given_up.push(stamp);
    let over = kept.given_up.len().saturating_sub(GIVEN_UP);
    kept.given_up.drain(..over);
}
