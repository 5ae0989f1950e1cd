//! Versions known to follow one another.

use corkspan_config::version::{Digest, VersionId};
use std::collections::BTreeMap;

/// Stamps of a line that are remembered; 48 bytes each, so 5 MB at the most. One further behind
/// than these can be vouched for by a control service alone.
const MAX_IDS: usize = 100_000;

/// Versions known to stand in one line, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lineage(BTreeMap<u64, Digest>);

impl Lineage {
    pub(crate) fn extend(&mut self, stamps: impl Iterator<Item = VersionId>) {
        for stamp in stamps {
            let known = self.0.insert(stamp.number, stamp.digest);
            if known.is_some_and(|known| known != stamp.digest) {
                // Another line: to vouch by both would lead a straggler from one into the other.
                self.0.clear();
                self.0.insert(stamp.number, stamp.digest);
            }
            if self.0.len() > MAX_IDS {
                self.0.pop_first();
            }
        }
    }

    pub(crate) fn contains(&self, stamp: VersionId) -> bool {
        self.0.get(&stamp.number) == Some(&stamp.digest)
    }
}
