//! The newest version of a lineage, for those that no control service reaches.

use crate::lineage::Line;
use crate::subscriber::{Push, Version};
use corkspan_config::version::{Digest, Stamp, Texts};

/// What became of a version that was laid on a shelf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Laid {
    Taken,
    /// As new a one lies there.
    Older,
    /// It does not stand in the line of what lies there.
    Split,
    /// What it says has another digest than it tells.
    Liar,
}

/// The newest version of a line, whole, held for others: at a dispatcher the one that it runs, at a
/// keeper one that a dispatcher has laid there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shelf {
    lies: Option<(Version, bool)>,
    line: Line,
}

impl Shelf {
    /// What the caller runs from now on, and what its push told of the line. Checked by who took
    /// it.
    pub fn runs(&mut self, stamp: Stamp, texts: Texts, cuts: bool, follows: &[Stamp]) {
        self.line.learn(follows.iter().copied().chain([stamp]));
        self.lies = Some((Version { stamp, texts }, cuts));
    }

    /// What another lays here. `follows`: earlier versions in whose line it stands, as it says.
    pub fn lay(&mut self, stamp: Stamp, texts: Texts, cuts: bool, follows: &[Stamp]) -> Laid {
        if texts.digest() != stamp.digest {
            return Laid::Liar;
        }
        if let Some((version, _)) = &self.lies {
            if version.stamp.number >= stamp.number {
                return Laid::Older;
            }
            // A rival's version would be handed to stragglers that could never take it.
            if !follows.contains(&version.stamp) {
                return Laid::Split;
            }
        }
        self.runs(stamp, texts, cuts, follows);
        Laid::Taken
    }

    pub fn lies(&self) -> Option<Stamp> {
        self.lies.as_ref().map(|(version, _)| version.stamp)
    }

    /// For one that runs `theirs`: the whole of what lies here, if that is later. Named among what
    /// it follows only where it is known to: the rest is for the straggler to refuse.
    pub fn push_for(&self, theirs: Stamp) -> Option<Push> {
        let (version, cuts) = self
            .lies
            .as_ref()
            .filter(|(lies, _)| lies.stamp.number > theirs.number)?;
        Some(Push {
            nonce: 0,
            stamp: version.stamp,
            follows: Some(theirs)
                .filter(|&theirs| self.line.holds(theirs))
                .into_iter()
                .collect(),
            onto: None,
            changes: version.texts.clone(),
            removed: Vec::new(),
            cuts: *cuts,
        })
    }

    /// The same, to be laid on a shelf where `theirs` lies, if anything does.
    pub fn push_to(&self, theirs: Option<Stamp>) -> Option<Push> {
        let none = Stamp {
            number: 0,
            digest: Digest([0; 32]),
        };
        self.push_for(theirs.unwrap_or(none))
    }
}
