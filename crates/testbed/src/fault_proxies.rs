//! The connections of a scenario's dispatchers. Each goes through its own relay, so that faults can
//! be injected into them one by one.

use crate::discovery::Discovery;
use crate::relay::{Direction, Relay};
use crate::scenario::{ConnectionPeer, ScheduledFault};
use corkspan_rpc::SharedExecutor;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// An address without a listener: connections to it are refused until the relay gets another
/// target.
const UNUSED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// The maximum number of peers from which a dispatcher can get a newer version.
const MAX_PEERS: usize = 3;

/// The relays of all dispatchers. Those to nodes are held by [`Discovery`], which lists their
/// addresses.
pub struct FaultProxies {
    relays: BTreeMap<(usize, ConnectionPeer), Vec<Relay>>,
    /// For each dispatcher, the dispatchers to which its peer relays lead.
    peers: Vec<Vec<usize>>,
    quorum_members: Vec<u32>,
    discovery: Arc<Discovery>,
}

impl FaultProxies {
    pub async fn start(
        tasks: &SharedExecutor,
        dispatchers: usize,
        discovery: &Arc<Discovery>,
        control: Option<SocketAddr>,
        nodes: &[(u32, SocketAddr)],
        quorum_members: &[u32],
    ) -> io::Result<FaultProxies> {
        let (mut relays, mut peers) = (BTreeMap::new(), Vec::new());
        for dispatcher in 0..dispatchers {
            relays.insert(
                (dispatcher, ConnectionPeer::Discovery),
                vec![Relay::start(tasks, discovery.address).await?],
            );
            if let Some(control) = control {
                relays.insert(
                    (dispatcher, ConnectionPeer::Control),
                    vec![Relay::start(tasks, control).await?],
                );
            }
            let peer_numbers: Vec<usize> = (1..dispatchers)
                .take(MAX_PEERS)
                .map(|step| (dispatcher + step * step) % dispatchers)
                .collect();
            let mut peer_relays = Vec::new();
            for _ in &peer_numbers {
                peer_relays.push(Relay::start(tasks, UNUSED_ADDRESS).await?);
            }
            relays.insert((dispatcher, ConnectionPeer::Dispatchers), peer_relays);
            peers.push(peer_numbers);
            // Relays to all nodes would be thousands of connections: only the nodes given, those
            // with a fault, get one.
            for &(node, address) in nodes {
                let relay = Relay::start(tasks, address).await?;
                discovery
                    .proxies
                    .lock()
                    .expect("no thread panics while holding the lock")
                    .insert((dispatcher as u32, node), relay);
            }
        }
        Ok(FaultProxies {
            relays,
            peers,
            quorum_members: quorum_members.to_vec(),
            discovery: Arc::clone(discovery),
        })
    }

    /// Returns the address at which a dispatcher reaches this peer; none if it has no relay to it.
    pub fn address(&self, dispatcher: usize, peer: ConnectionPeer) -> Option<SocketAddr> {
        self.addresses(dispatcher, peer).first().copied()
    }

    /// Returns the addresses of all relays from a dispatcher to this type of peer.
    pub fn addresses(&self, dispatcher: usize, peer: ConnectionPeer) -> Vec<SocketAddr> {
        self.relays
            .get(&(dispatcher, peer))
            .into_iter()
            .flatten()
            .map(|relay| relay.address)
            .collect()
    }

    /// Directs the relays to a dispatcher to its new address.
    pub fn set_dispatcher_address(&self, dispatcher: usize, address: SocketAddr) {
        for (source, peers) in self.peers.iter().enumerate() {
            let peer_relays = self
                .relays
                .get(&(source, ConnectionPeer::Dispatchers))
                .into_iter()
                .flatten();
            peer_relays
                .zip(peers)
                .filter(|(_, peer)| **peer == dispatcher)
                .for_each(|(relay, _)| relay.set_target(address));
        }
    }

    /// Returns the bytes that a dispatcher received from this type of peer and sent to it.
    pub fn bytes_passed(&self, dispatcher: usize, peer: ConnectionPeer) -> [u64; 2] {
        let passed = std::cell::Cell::new([0; 2]);
        self.for_each_relay(dispatcher, peer, |relay| {
            let (sum, own) = (passed.get(), relay.bytes_passed());
            passed.set([sum[0] + own[0], sum[1] + own[1]]);
        });
        passed.get()
    }

    /// Calls `action` for each relay from a dispatcher to this type of peer. Quorum members are
    /// nodes too: `QuorumMembers` selects the relays to them, `Nodes` those to all other nodes.
    fn for_each_relay(&self, dispatcher: usize, peer: ConnectionPeer, action: impl Fn(&Relay)) {
        self.relays
            .get(&(dispatcher, peer))
            .into_iter()
            .flatten()
            .for_each(&action);
        let proxies = self
            .discovery
            .proxies
            .lock()
            .expect("no thread panics while holding the lock");
        let own_proxies = proxies
            .iter()
            .filter(|((source, _), _)| *source as usize == dispatcher);
        let selected = own_proxies.filter(|((_, node), _)| match peer {
            ConnectionPeer::QuorumMembers => self.quorum_members.contains(node),
            ConnectionPeer::Nodes => !self.quorum_members.contains(node),
            _ => false,
        });
        selected.for_each(|(_, relay)| action(relay));
    }

    /// Holds or delays the bytes between a dispatcher and the fault's peers.
    pub fn inject(&self, dispatcher: usize, fault: &ScheduledFault) {
        for &peer in &fault.peers {
            self.for_each_relay(dispatcher, peer, |relay| match fault.delay {
                Duration::ZERO => relay.hold(&fault.directions),
                delay => relay.delay(&fault.directions, delay),
            });
        }
    }

    /// Keeps newer versions from a dispatcher while its control stream stays open.
    pub fn hold_versions(&self, dispatcher: usize) {
        self.for_each_relay(dispatcher, ConnectionPeer::Control, |relay| {
            relay.hold(&[Direction::In])
        });
    }

    /// Removes the faults between a dispatcher and these types of peers.
    pub fn heal(&self, dispatcher: usize, peers: &[ConnectionPeer]) {
        peers
            .iter()
            .for_each(|&peer| self.for_each_relay(dispatcher, peer, Relay::heal));
    }
}
