//! What a dispatcher remembers of itself: which version was in force from when to when, how it came, and its acts.
//! Bounded; times are told by the caller, in milliseconds since 1970.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Spans that are kept: of older ones nothing is known any more.
const SPANS: usize = 256;
/// Versions of this life whose acts are counted.
const VERSIONS: usize = 256;

/// How a version came to be in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// The dispatcher's own file, at a start.
    File,
    /// Kept from an earlier life, at a start.
    Kept,
    Push,
    /// The one in force before it was given up.
    GaveUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    pub version: u64,
    pub digest: String,
    pub how: How,
    /// Of the process.
    pub life: u64,
    pub from_ms: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The oldest first; each goes on until the next begins.
    spans: VecDeque<Span>,
    /// Acts of the life that goes on, by version.
    acts: BTreeMap<u64, u64>,
}

impl Record {
    /// A new life goes on from the spans that an earlier one kept.
    pub fn after(mut spans: VecDeque<Span>) -> Record {
        let over = spans.len().saturating_sub(SPANS);
        spans.drain(..over);
        Record { spans, acts: BTreeMap::new() }
    }

    pub fn began(&mut self, span: Span) {
        if self.spans.len() >= SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(span);
    }

    /// So many acts are about to be sent. Counted before they can reach anybody, so nobody can have seen more.
    pub fn acts(&mut self, version: u64, many: u64) {
        if self.acts.len() >= VERSIONS && !self.acts.contains_key(&version) {
            self.acts.pop_first();
        }
        *self.acts.entry(version).or_default() += many;
    }

    pub fn spans(&self) -> &VecDeque<Span> {
        &self.spans
    }

    /// Acts of this life, by version.
    pub fn by_version(&self) -> impl Iterator<Item = (u64, u64)> {
        self.acts.iter().map(|(&version, &many)| (version, many))
    }
}
