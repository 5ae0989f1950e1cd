//! What a dispatcher counted on its links held against what relays saw pass, kind by kind. The
//! relays know nothing of the dispatcher's counters.

use crate::fault_proxies::Wires;
use crate::scenario::{LINK_PEERS, LinkPeer};
use corkspan_api::v1::{self, connection_traffic::Kind};
use std::fmt;

/// Bytes to a dispatcher and from it.
pub type Passed = [u64; 2];

/// A kind of link on which the two tell different bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    pub end: LinkPeer,
    pub told: Passed,
    pub seen: Passed,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference { end, told, seen } = self;
        write!(
            f,
            "{end:?}: told {} in, {} out; seen {}, {}",
            told[0], told[1], seen[0], seen[1]
        )
    }
}

pub fn kind(end: LinkPeer) -> Kind {
    match end {
        LinkPeer::Dispatchers => Kind::Dispatchers,
        LinkPeer::Keepers => Kind::Keepers,
        LinkPeer::Control => Kind::Control,
        LinkPeer::Roster => Kind::Roster,
        LinkPeer::Nodes => Kind::Nodes,
    }
}

/// What a dispatcher tells of a kind; nothing passed where it tells nothing.
pub fn of(counts: &[v1::ConnectionTraffic], kind: Kind) -> v1::ConnectionTraffic {
    counts
        .iter()
        .find(|count| count.kind() == kind)
        .copied()
        .unwrap_or_default()
}

/// What passed the relays of one dispatcher at each end.
pub fn seen(wires: &Wires, dispatcher: usize) -> Vec<(LinkPeer, Passed)> {
    LINK_PEERS
        .iter()
        .map(|&(_, end)| (end, wires.passed(dispatcher, end)))
        .collect()
}

pub fn differences(told: &[v1::ConnectionTraffic], seen: &[(LinkPeer, Passed)]) -> Vec<Difference> {
    let differs = |&(end, seen): &(LinkPeer, Passed)| {
        let count = of(told, kind(end));
        let told = [count.bytes_in, count.bytes_out];
        (told != seen).then_some(Difference { end, told, seen })
    };
    seen.iter().filter_map(differs).collect()
}
