//! What a dispatcher remembers of itself: which version was in force from when to when, how it
//! came, and its acts. Bounded; times are told by the caller, in milliseconds since 1970.

use crate::acts::Kind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Spans that are kept: of older ones nothing is known any more.
const SPANS: usize = 256;
/// Versions of this life whose acts are counted.
const VERSIONS: usize = 256;
const KINDS: usize = 5;

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
    /// Brought by another dispatcher or a keeper.
    Brought,
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
    /// Acts of the life that goes on.
    acts: BTreeMap<(u64, Kind), u64>,
}

impl Record {
    /// A new life goes on from the spans that an earlier one kept.
    pub fn after(mut spans: VecDeque<Span>) -> Record {
        let over = spans.len().saturating_sub(SPANS);
        spans.drain(..over);
        Record {
            spans,
            acts: BTreeMap::new(),
        }
    }

    pub fn began(&mut self, span: Span) {
        if self.spans.len() >= SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(span);
    }

    /// So many acts are about to be sent. Counted before they can reach anybody, so nobody can have
    /// seen more.
    pub fn acts(&mut self, version: u64, kind: Kind, many: u64) {
        if self.acts.len() >= VERSIONS * KINDS && !self.acts.contains_key(&(version, kind)) {
            self.acts.pop_first();
        }
        *self.acts.entry((version, kind)).or_default() += many;
    }

    pub fn spans(&self) -> &VecDeque<Span> {
        &self.spans
    }

    /// Acts of this life, by version and kind.
    pub fn by_version(&self) -> impl Iterator<Item = (u64, Kind, u64)> {
        self.acts
            .iter()
            .map(|(&(version, kind), &many)| (version, kind, many))
    }
}
