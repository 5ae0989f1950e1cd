//! The newest version of a lineage, for dispatchers that no control service reaches.

use crate::lineage::Lineage;
use crate::subscriber::{OfferedVersion, Version, VersionPush};
use corkspan_config::version::{Digest, SharedParts, VersionId};

/// Sorts before each version there is.
const NO_VERSION: VersionId = VersionId {
    number: 0,
    digest: Digest([0; 32]),
};

/// What became of a version that was to be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It is the newest now.
    Stored,
    /// The cache has one of the same or a higher number.
    NotNewer,
    /// The version in the cache is none of its predecessors.
    OtherLineage,
    /// Its content has another digest than it states.
    DigestMismatch,
}

/// The newest version of a lineage, complete: at a dispatcher the active one, at a quorum member
/// the newest that a dispatcher has stored there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionCache {
    newest: Option<OfferedVersion>,
    lineage: Lineage,
}

impl VersionCache {
    /// The version that is active here from now on, and the predecessors that its push named. The
    /// caller has validated it.
    pub fn record_active(
        &mut self,
        id: VersionId,
        texts: SharedParts,
        allows_cuts: bool,
        predecessors: &[VersionId],
    ) {
        self.lineage
            .extend(predecessors.iter().copied().chain([id]));
        self.newest = Some(OfferedVersion {
            version: Version { id, texts },
            allows_cuts,
        });
    }

    /// Stores a version that a dispatcher sends here. `predecessors` are earlier versions of its
    /// lineage, as the sender says.
    pub fn store(
        &mut self,
        id: VersionId,
        texts: SharedParts,
        allows_cuts: bool,
        predecessors: &[VersionId],
    ) -> StoreOutcome {
        if texts.digest() != id.digest {
            return StoreOutcome::DigestMismatch;
        }
        if let Some(newest) = self.newest() {
            if newest.number >= id.number {
                return StoreOutcome::NotNewer;
            }
            // Dispatchers of the lineage here could never take a version of another.
            if !predecessors.contains(&newest) {
                return StoreOutcome::OtherLineage;
            }
        }
        self.record_active(id, texts, allows_cuts, predecessors);
        StoreOutcome::Stored
    }

    /// The version in the cache.
    #[must_use]
    pub fn newest(&self) -> Option<VersionId> {
        self.newest.as_ref().map(|newest| newest.version.id)
    }

    /// A complete push for a dispatcher that runs `active`, if the version here is newer. `active`
    /// is named as a predecessor only where it is known to be one; else the dispatcher rejects the
    /// push.
    #[must_use]
    pub fn push_for(&self, active: VersionId) -> Option<VersionPush> {
        let newest = self.newest.as_ref()?;
        let OfferedVersion {
            version: Version { id, texts },
            allows_cuts,
        } = newest;
        if id.number <= active.number {
            return None;
        }
        let known = self.lineage.contains(active).then_some(active);
        Some(VersionPush {
            nonce: 0,
            version: *id,
            predecessors: known.into_iter().collect(),
            base: None,
            changes: texts.clone(),
            removed: Vec::new(),
            allows_cuts: *allows_cuts,
        })
    }

    /// A complete push for another cache that holds `newest`, if the version here is newer.
    #[must_use]
    pub fn push_to_store(&self, newest: Option<VersionId>) -> Option<VersionPush> {
        self.push_for(newest.unwrap_or(NO_VERSION))
    }
}
