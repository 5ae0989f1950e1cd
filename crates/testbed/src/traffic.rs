//! Compares the traffic that a dispatcher reports with the bytes that relays observed, for each
//! type of peer. The relays count independently of the dispatcher.

use crate::fault_proxies::FaultProxies;
use crate::scenario::{CONNECTION_PEERS, ConnectionPeer};
use corkspan_api::v1::{self, connection_traffic::Kind};
use std::fmt;

/// Bytes received and sent by a dispatcher.
pub type Bytes = [u64; 2];

/// A type of peer for which the reported and the observed bytes differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    pub peer: ConnectionPeer,
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
            "{peer:?}: reported {} in, {} out; observed {} in, {} out",
            reported[0], reported[1], observed[0], observed[1]
        )
    }
}

/// Returns the kind under which a dispatcher reports the traffic with a type of peer.
pub fn traffic_kind(peer: ConnectionPeer) -> Kind {
    match peer {
        ConnectionPeer::Dispatchers => Kind::Dispatchers,
        ConnectionPeer::QuorumMembers => Kind::Keepers,
        ConnectionPeer::Control => Kind::Control,
        ConnectionPeer::Discovery => Kind::Roster,
        ConnectionPeer::Nodes => Kind::Nodes,
    }
}

/// Returns the reported traffic of a kind, or zero traffic if there is no report of it.
pub fn traffic_of(counts: &[v1::ConnectionTraffic], kind: Kind) -> v1::ConnectionTraffic {
    counts
        .iter()
        .find(|count| count.kind() == kind)
        .copied()
        .unwrap_or_default()
}

/// Returns the bytes that passed the relays of one dispatcher, by type of peer.
pub fn relay_traffic(proxies: &FaultProxies, dispatcher: usize) -> Vec<(ConnectionPeer, Bytes)> {
    CONNECTION_PEERS
        .iter()
        .map(|&(_, peer)| (peer, proxies.bytes_passed(dispatcher, peer)))
        .collect()
}

/// Returns the types of peers for which the reported and the observed bytes differ.
pub fn differences(
    reported: &[v1::ConnectionTraffic],
    observed: &[(ConnectionPeer, Bytes)],
) -> Vec<Difference> {
    let differs = |&(peer, observed): &(ConnectionPeer, Bytes)| {
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
