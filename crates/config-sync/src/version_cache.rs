//! The newest version of a lineage, for those that no control service reaches.

use crate::lineage::Lineage;
use crate::subscriber::{Version, VersionPush};
use corkspan_config::version::{Digest, Texts, VersionId};

/// What became of a version that was laid on a shelf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    Stored,
    /// As new a one lies there.
    NotNewer,
    /// It does not stand in the line of what lies there.
    OtherLineage,
    /// What it says has another digest than it tells.
    DigestMismatch,
}

/// The newest version of a line, whole, held for others: at a dispatcher the one that it runs, at a
/// keeper one that a dispatcher has laid there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionCache {
    newest: Option<(Version, bool)>,
    lineage: Lineage,
}

impl VersionCache {
    /// What the caller runs from now on, and what its push told of the line. Checked by who took
    /// it.
    pub fn record_active(
        &mut self,
        stamp: VersionId,
        texts: Texts,
        cuts: bool,
        predecessors: &[VersionId],
    ) {
        self.lineage
            .extend(predecessors.iter().copied().chain([stamp]));
        self.newest = Some((Version { id: stamp, texts }, cuts));
    }

    /// What another lays here. `predecessors`: earlier versions in whose line it stands, as it says.
    pub fn store(
        &mut self,
        stamp: VersionId,
        texts: Texts,
        cuts: bool,
        predecessors: &[VersionId],
    ) -> StoreOutcome {
        if texts.digest() != stamp.digest {
            return StoreOutcome::DigestMismatch;
        }
        if let Some((version, _)) = &self.newest {
            if version.id.number >= stamp.number {
                return StoreOutcome::NotNewer;
            }
            // A rival's version would be handed to stragglers that could never take it.
            if !predecessors.contains(&version.id) {
                return StoreOutcome::OtherLineage;
            }
        }
        self.record_active(stamp, texts, cuts, predecessors);
        StoreOutcome::Stored
    }

    pub fn newest(&self) -> Option<VersionId> {
        self.newest.as_ref().map(|(version, _)| version.id)
    }

    /// For one that runs `theirs`: the whole of what lies here, if that is later. Named among what
    /// it predecessors only where it is known to: the rest is for the straggler to refuse.
    pub fn push_for(&self, theirs: VersionId) -> Option<VersionPush> {
        let (version, cuts) = self
            .newest
            .as_ref()
            .filter(|(lies, _)| lies.id.number > theirs.number)?;
        Some(VersionPush {
            nonce: 0,
            version: version.id,
            predecessors: Some(theirs)
                .filter(|&theirs| self.lineage.contains(theirs))
                .into_iter()
                .collect(),
            base: None,
            changes: version.texts.clone(),
            removed: Vec::new(),
            allows_cuts: *cuts,
        })
    }

    /// The same, to be laid on a shelf where `theirs` lies, if anything does.
    pub fn push_to_store(&self, theirs: Option<VersionId>) -> Option<VersionPush> {
        let none = VersionId {
            number: 0,
            digest: Digest([0; 32]),
        };
        self.push_for(theirs.unwrap_or(none))
    }
}
