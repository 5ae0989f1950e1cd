//! The links of a day's dispatchers, each through a relay of its own, so that a day's troubles can
//! strike them one by one.

use crate::discovery::Discovery;
use crate::relay::{Direction, Relay};
use crate::scenario::{LinkPeer, ScheduledFault};
use corkspan_rpc::SharedExecutor;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Nobody listens there: what leads there is refused until it leads elsewhere.
const UNUSED_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Others that one dispatcher may have a newer version from.
const MAX_PEERS: usize = 3;

/// Relays that stand, but for those to nodes, which the roster keeps, since it tells of them.
pub struct FaultProxies {
    relays: BTreeMap<(usize, LinkPeer), Vec<Relay>>,
    /// Whom each one's peers' relays lead to.
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
                (dispatcher, LinkPeer::Roster),
                vec![Relay::start(tasks, discovery.address).await?],
            );
            if let Some(control) = control {
                relays.insert(
                    (dispatcher, LinkPeer::Control),
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
            relays.insert((dispatcher, LinkPeer::Dispatchers), peer_relays);
            peers.push(peer_numbers);
            // Thousands of links where all nodes have theirs: only those that a trouble strikes.
            for &(node, address) in nodes {
                let relay = Relay::start(tasks, address).await?;
                discovery
                    .proxies
                    .lock()
                    .expect("unshared")
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

    /// Where a dispatcher finds the one that is at this end; none where there is none.
    pub fn address(&self, dispatcher: usize, peer: LinkPeer) -> Option<SocketAddr> {
        self.addresses(dispatcher, peer).first().copied()
    }

    pub fn addresses(&self, dispatcher: usize, peer: LinkPeer) -> Vec<SocketAddr> {
        self.relays
            .get(&(dispatcher, peer))
            .into_iter()
            .flatten()
            .map(|relay| relay.address)
            .collect()
    }

    /// A dispatcher listens here from now on.
    pub fn set_dispatcher_address(&self, dispatcher: usize, address: SocketAddr) {
        for (source, peers) in self.peers.iter().enumerate() {
            let peer_relays = self
                .relays
                .get(&(source, LinkPeer::Dispatchers))
                .into_iter()
                .flatten();
            peer_relays
                .zip(peers)
                .filter(|(_, peer)| **peer == dispatcher)
                .for_each(|(relay, _)| relay.set_target(address));
        }
    }

    /// Bytes that came to a dispatcher from this end, and that it sent there.
    pub fn bytes_passed(&self, dispatcher: usize, peer: LinkPeer) -> [u64; 2] {
        let passed = std::cell::Cell::new([0; 2]);
        self.for_each_relay(dispatcher, peer, |relay| {
            let (sum, own) = (passed.get(), relay.bytes_passed());
            passed.set([sum[0] + own[0], sum[1] + own[1]]);
        });
        passed.get()
    }

    /// Does it to each link of a dispatcher that ends there. Keepers are nodes: links to these
    /// alone, or to the others.
    fn for_each_relay(&self, dispatcher: usize, peer: LinkPeer, action: impl Fn(&Relay)) {
        self.relays
            .get(&(dispatcher, peer))
            .into_iter()
            .flatten()
            .for_each(&action);
        let proxies = self
            .discovery
            .proxies
            .lock()
            .expect("no one panics while it is held");
        let own_proxies = proxies
            .iter()
            .filter(|((source, _), _)| *source as usize == dispatcher);
        let selected = own_proxies.filter(|((_, node), _)| match peer {
            LinkPeer::Keepers => self.quorum_members.contains(node),
            LinkPeer::Nodes => !self.quorum_members.contains(node),
            _ => false,
        });
        selected.for_each(|(_, relay)| action(relay));
    }

    pub fn inject(&self, dispatcher: usize, fault: &ScheduledFault) {
        for &peer in &fault.peers {
            self.for_each_relay(dispatcher, peer, |relay| match fault.delay {
                Duration::ZERO => relay.hold(&fault.directions),
                delay => relay.delay(&fault.directions, delay),
            });
        }
    }

    /// Nothing of newer versions reaches it, though its stream stands.
    pub fn hold_versions(&self, dispatcher: usize) {
        self.for_each_relay(dispatcher, LinkPeer::Control, |relay| {
            relay.hold(&[Direction::In])
        });
    }

    pub fn heal(&self, dispatcher: usize, peers: &[LinkPeer]) {
        peers
            .iter()
            .for_each(|&peer| self.for_each_relay(dispatcher, peer, Relay::heal));
    }
}
