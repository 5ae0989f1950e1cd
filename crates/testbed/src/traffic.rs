//! What a dispatcher counted on its links held against what relays saw pass, kind by kind. The
//! relays know nothing of the dispatcher's counters.

use crate::fault_proxies::FaultProxies;
use crate::scenario::{LINK_PEERS, LinkPeer};
use corkspan_api::v1::{self, connection_traffic::Kind};
use std::fmt;

/// Bytes to a dispatcher and from it.
pub type Bytes = [u64; 2];

/// A kind of link on which the two tell different bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    pub peer: LinkPeer,
    pub reported: Bytes,
    pub observed: Bytes,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Difference {
            peer,
            reported,
            observed,
        } = self;
        write!(
            f,
            "{peer:?}: told {} in, {} out; seen {}, {}",
            reported[0], reported[1], observed[0], observed[1]
        )
    }
}

pub fn traffic_kind(peer: LinkPeer) -> Kind {
    match peer {
        LinkPeer::Dispatchers => Kind::Dispatchers,
        LinkPeer::Keepers => Kind::Keepers,
        LinkPeer::Control => Kind::Control,
        LinkPeer::Roster => Kind::Roster,
        LinkPeer::Nodes => Kind::Nodes,
    }
}

/// What a dispatcher tells of a kind; nothing passed where it tells nothing.
pub fn traffic_of(counts: &[v1::ConnectionTraffic], kind: Kind) -> v1::ConnectionTraffic {
    counts
        .iter()
        .find(|count| count.kind() == kind)
        .copied()
        .unwrap_or_default()
}

/// What passed the relays of one dispatcher at each end.
pub fn relay_traffic(proxies: &FaultProxies, dispatcher: usize) -> Vec<(LinkPeer, Bytes)> {
    LINK_PEERS
        .iter()
        .map(|&(_, peer)| (peer, proxies.bytes_passed(dispatcher, peer)))
        .collect()
}

pub fn differences(
    reported: &[v1::ConnectionTraffic],
    observed: &[(LinkPeer, Bytes)],
) -> Vec<Difference> {
    let differs = |&(peer, observed): &(LinkPeer, Bytes)| {
        let count = traffic_of(reported, traffic_kind(peer));
        let reported = [count.bytes_in, count.bytes_out];
        (reported != observed).then_some(Difference {
            peer,
            reported,
            observed,
        })
    };
    observed.iter().filter_map(differs).collect()
}
