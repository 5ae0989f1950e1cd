//! A cache of the newest version of a lineage, for dispatchers that no control service reaches.

use crate::lineage::Lineage;
use crate::subscriber::{OfferedVersion, Version, VersionPush};
use corkspan_config::version::{Digest, SharedParts, VersionId};

/// A placeholder that is older than any version.
const NO_VERSION: VersionId = VersionId {
    number: 0,
    digest: Digest([0; 32]),
};

/// The result of storing a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The version is now the newest in the cache.
    Stored,
    /// The cache has a version of the same or a higher number.
    NotNewer,
    /// The version in the cache is not among its predecessors.
    OtherLineage,
    /// Its content does not have the stated digest.
    DigestMismatch,
}

/// The newest version of a lineage with its complete content: at a dispatcher the active version,
/// at a quorum member the newest that a dispatcher has stored there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionCache {
    newest: Option<OfferedVersion>,
    lineage: Lineage,
}

impl VersionCache {
    /// Records the version that is active here from now on, and the predecessors that its push
    /// named. The caller must have validated the version.
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

    /// Stores a version that a dispatcher has sent. `predecessors` are earlier versions of its
    /// lineage according to the sender.
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
            // Dispatchers that run this lineage could never apply a version of another.
            if !predecessors.contains(&newest) {
                return StoreOutcome::OtherLineage;
            }
        }
        self.record_active(id, texts, allows_cuts, predecessors);
        StoreOutcome::Stored
    }

    /// Returns the version in the cache.
    #[must_use]
    pub fn newest(&self) -> Option<VersionId> {
        self.newest.as_ref().map(|newest| newest.version.id)
    }

    /// Returns a complete push for a dispatcher that runs `active`, if the cached version is newer.
    /// `active` is named as a predecessor only if it is known to be one; otherwise the dispatcher
    /// rejects the push.
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

    /// Returns a complete push for another cache that holds `newest`, if the version here is newer.
    #[must_use]
    pub fn push_to_store(&self, newest: Option<VersionId>) -> Option<VersionPush> {
        self.push_for(newest.unwrap_or(NO_VERSION))
    }
}
