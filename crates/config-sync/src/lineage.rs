//! Versions that are known to belong to one lineage.

use corkspan_config::version::{Digest, VersionId};
use std::collections::BTreeMap;

/// Number of versions of a lineage that are remembered (48 bytes each, so 5 MB at most). For a
/// subscriber further behind, only a control service can confirm that its version belongs to the
/// lineage.
const MAX_IDS: usize = 100_000;

/// Versions known to belong to one lineage, as digests by version number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lineage(BTreeMap<u64, Digest>);

impl Lineage {
    pub(crate) fn contains(&self, version: VersionId) -> bool {
        self.0.get(&version.number) == Some(&version.digest)
    }
}

impl Extend<VersionId> for Lineage {
    fn extend<I: IntoIterator<Item = VersionId>>(&mut self, versions: I) {
        for VersionId { number, digest } in versions {
            let known = self.0.insert(number, digest);
            if known.is_some_and(|known| known != digest) {
                // The version belongs to another lineage. Naming versions of both as predecessors
                // would lead a subscriber from one lineage to the other.
                self.0.clear();
                self.0.insert(number, digest);
            }
            if self.0.len() > MAX_IDS {
                self.0.pop_first();
            }
        }
    }
}
