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
const NOBODY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);
/// Others that one dispatcher may have a newer version from.
const PEERS: usize = 3;

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
        for own in 0..dispatchers {
            relays.insert(
                (own, LinkPeer::Roster),
                vec![Relay::start(tasks, discovery.address).await?],
            );
            if let Some(control) = control {
                relays.insert(
                    (own, LinkPeer::Control),
                    vec![Relay::start(tasks, control).await?],
                );
            }
            let others: Vec<usize> = (1..dispatchers)
                .take(PEERS)
                .map(|step| (own + step * step) % dispatchers)
                .collect();
            let mut links = Vec::new();
            for _ in &others {
                links.push(Relay::start(tasks, NOBODY).await?);
            }
            relays.insert((own, LinkPeer::Dispatchers), links);
            peers.push(others);
            // Thousands of links where all nodes have theirs: only those that a trouble strikes.
            for &(node, address) in nodes {
                let relay = Relay::start(tasks, address).await?;
                discovery
                    .proxies
                    .lock()
                    .expect("unshared")
                    .insert((own as u32, node), relay);
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
    pub fn address(&self, dispatcher: usize, end: LinkPeer) -> Option<SocketAddr> {
        self.addresses(dispatcher, end).first().copied()
    }

    pub fn addresses(&self, dispatcher: usize, end: LinkPeer) -> Vec<SocketAddr> {
        self.relays
            .get(&(dispatcher, end))
            .into_iter()
            .flatten()
            .map(|relay| relay.address)
            .collect()
    }

    /// A dispatcher listens here from now on.
    pub fn set_dispatcher_address(&self, dispatcher: usize, at: SocketAddr) {
        for (own, peers) in self.peers.iter().enumerate() {
            let links = self
                .relays
                .get(&(own, LinkPeer::Dispatchers))
                .into_iter()
                .flatten();
            links
                .zip(peers)
                .filter(|(_, peer)| **peer == dispatcher)
                .for_each(|(relay, _)| relay.set_target(at));
        }
    }

    /// Bytes that came to a dispatcher from this end, and that it sent there.
    pub fn bytes_passed(&self, dispatcher: usize, end: LinkPeer) -> [u64; 2] {
        let passed = std::cell::Cell::new([0; 2]);
        self.each(dispatcher, end, |relay| {
            let (sum, own) = (passed.get(), relay.bytes_passed());
            passed.set([sum[0] + own[0], sum[1] + own[1]]);
        });
        passed.get()
    }

    /// Does it to each link of a dispatcher that ends there. Keepers are nodes: links to these
    /// alone, or to the others.
    fn each(&self, dispatcher: usize, end: LinkPeer, what: impl Fn(&Relay)) {
        self.relays
            .get(&(dispatcher, end))
            .into_iter()
            .flatten()
            .for_each(&what);
        let ways = self
            .discovery
            .proxies
            .lock()
            .expect("no one panics while it is held");
        let mine = ways
            .iter()
            .filter(|((own, _), _)| *own as usize == dispatcher);
        let there = mine.filter(|((_, node), _)| match end {
            LinkPeer::Keepers => self.quorum_members.contains(node),
            LinkPeer::Nodes => !self.quorum_members.contains(node),
            _ => false,
        });
        there.for_each(|(_, relay)| what(relay));
    }

    pub fn inject(&self, dispatcher: usize, fault: &ScheduledFault) {
        for &end in &fault.peers {
            self.each(dispatcher, end, |relay| match fault.delay {
                Duration::ZERO => relay.hold(&fault.directions),
                by => relay.delay(&fault.directions, by),
            });
        }
    }

    /// Nothing of newer versions reaches it, though its stream stands.
    pub fn hold_versions(&self, dispatcher: usize) {
        self.each(dispatcher, LinkPeer::Control, |relay| {
            relay.hold(&[Direction::In])
        });
    }

    pub fn heal(&self, dispatcher: usize, ends: &[LinkPeer]) {
        ends.iter()
            .for_each(|&end| self.each(dispatcher, end, Relay::heal));
    }
}
