//! A queue that serves its sources in turn, so that one with many entries does not delay the others.

use std::collections::{BTreeMap, VecDeque};

/// Entries of several sources. Those of one source leave in the order in which they came.
pub(crate) struct FairQueue<T> {
    by_source: BTreeMap<u64, VecDeque<T>>,
    /// The sources that have entries, from the one that is next.
    rotation: VecDeque<u64>,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        FairQueue {
            by_source: BTreeMap::new(),
            rotation: VecDeque::new(),
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Adds the last entry of a source.
    pub fn push(&mut self, source: u64, entry: T) {
        let entries = self.by_source.entry(source).or_default();
        if entries.is_empty() {
            self.rotation.push_back(source);
        }
        entries.push_back(entry);
        self.len += 1;
    }

    /// Removes and returns the first entry of the next source.
    pub fn pop(&mut self) -> Option<T> {
        let source = self.rotation.pop_front()?;
        let entries = self.by_source.get_mut(&source)?;
        let entry = entries.pop_front()?;
        self.len -= 1;
        if entries.is_empty() {
            self.by_source.remove(&source);
        } else {
            self.rotation.push_back(source);
        }
        Some(entry)
    }

    /// Drops the entries that are no longer wanted.
    pub fn retain(&mut self, wanted: impl Fn(&T) -> bool) {
        for entries in self.by_source.values_mut() {
            entries.retain(&wanted);
        }
        self.by_source.retain(|_, entries| !entries.is_empty());
        let by_source = &self.by_source;
        self.rotation
            .retain(|source| by_source.contains_key(source));
        self.len = by_source.values().map(VecDeque::len).sum();
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }
}
