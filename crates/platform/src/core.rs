//! Where everything meets: the host with its decisions, what it holds for owners, and the ways out.
//! No I/O and no clock: each call is told the time, and what it asks of the outside goes through
//! [`Effects`]. What is sent is on its way before the call returns.

use crate::connections::{Links, Takes};
use crate::ids::{AttemptId, LinkId, OwnerId};
use crate::input::{Came, Heard, Input};
use crate::nodes::Nodes;
use crate::outbox::{Inbox, outbox};
use crate::places::Places;
use clients::Owner;
use corkspan_engine::{Host, Slice};
#[cfg(test)]
use corkspan_platform_wire::client::Message;
use corkspan_platform_wire::discovery::Event;
use corkspan_platform_wire::node;
use corkspan_platform_wire::node_config::{DiscoveryState, NodeConfig};
use corkspan_scheduler::interface::*;
use corkspan_settings::Facts;
use limits::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tasks::{Deferred, Due, Placing};

mod attempts;
#[cfg(test)]
#[path = "../tests/desk/bounds.rs"]
mod bounds;
mod clients;
#[cfg(test)]
#[path = "../tests/desk/crossings.rs"]
mod crossings;
mod engine_effects;
mod inputs;
mod limits;
mod node_connections;
mod node_list;
mod node_messages;
mod replies;
mod running_tasks;
mod set_ups;
mod tasks;
#[cfg(test)]
#[path = "../tests/desk/transcript.rs"]
mod transcript;

/// How a connection to a node came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nobody listens there: the process is dead.
    Refused,
    /// It did not come up in time.
    NotUp,
    /// It stood, and broke or was closed.
    Broke,
}

/// A connection to a node that is to be opened.
pub struct NewConnection {
    pub id: LinkId,
    pub address: SocketAddr,
    /// So long it may take to come up.
    pub within: Ticks,
    pub inbox: Inbox,
}

/// What the core asks of the outside. None of it waits, and none of it calls back before the call
/// that asks for it has returned.
pub trait Effects: Send {
    /// Opens a connection to a node and carries it.
    fn connect(&self, connection: NewConnection);
    /// Asks for the list of nodes to be watched, if it is not yet.
    fn watch_list(&self);
    /// Sets the one timer, which calls [`Core::woken`].
    fn arm_timer(&self, at: Ticks);
    /// Calls for [`Core::turn`].
    fn request_turn(&self);
}

/// What a core is made of, checked.
pub struct Start {
    cluster: Cluster,
    seed: u64,
    facts: Facts,
    pub known: DiscoveryState,
    owners_most: usize,
    nodes_most: usize,
}

impl Start {
    pub fn new(posting: NodeConfig, places: &Places) -> Result<Start, String> {
        Ok(Start {
            seed: posting.seed_number().map_err(|why| why.to_string())?,
            cluster: cluster(&posting.settings)?,
            facts: posting.settings,
            known: posting.discovery_state,
            owners_most: places.owners_most,
            nodes_most: places.nodes_most,
        })
    }
}

/// The ways out: to nodes, owners and the timer.
struct Port {
    effects: Box<dyn Effects>,
    now: Ticks,
    owners: BTreeMap<OwnerId, Owner>,
    owners_most: usize,
    came: u64,
    untold: VecDeque<Vec<u8>>,
    /// With when they were told, the oldest first.
    ends: VecDeque<(Ticks, u64, MachineId)>,
    nodes: Nodes,
    links: Links,
    tests: BTreeMap<u64, (MachineId, LinkId)>,
    last_test: u64,
    due: BTreeSet<(Ticks, Due)>,
    deferred: VecDeque<Deferred>,
    /// Those that are owed a final answer.
    owed: BTreeSet<AllocationId>,
    host_wakes: Option<Ticks>,
    armed: Option<Ticks>,
    last_event: u64,
    /// No more set-ups are taken.
    stops: bool,
    facts: Arc<Facts>,
}

/// All that one instance keeps.
pub struct Core {
    host: Host<Placing>,
    port: Port,
}

/// The control feed must be asked for, whatever the settings say of another way, and nobody tells
/// of a machine that has vanished.
fn cluster(facts: &Facts) -> Result<Cluster, String> {
    let cluster = facts.cluster()?;
    Ok(Cluster {
        list_poll_interval: cluster.list_poll_interval.or(Some(0)),
        reports_losses: false,
        ..cluster
    })
}

impl Core {
    pub fn new(start: Start, now: Ticks, effects: Box<dyn Effects>) -> Core {
        let limits = &start.facts.limits;
        let time = |us: Option<u64>, absent| us.map_or(absent, corkspan_settings::tenths);
        let links = Links::new(
            start.nodes_most,
            start.facts.opens_within(),
            // Closed by us well before the node does it: a set-up that crosses that would have
            // been in vain.
            time(limits.idle_close_us, 15 * SECOND) * 2 / 3,
        );
        Core {
            host: Host::new(start.cluster, start.seed, now, IN_HAND, Slice::BY_TURNS),
            port: Port {
                effects,
                now,
                owners: BTreeMap::new(),
                owners_most: start.owners_most,
                came: 0,
                untold: VecDeque::new(),
                ends: VecDeque::new(),
                nodes: Nodes::default(),
                links,
                tests: BTreeMap::new(),
                last_test: start.seed,
                due: BTreeSet::new(),
                deferred: VecDeque::new(),
                owed: BTreeSet::new(),
                host_wakes: None,
                armed: None,
                last_event: 0,
                stops: false,
                facts: Arc::new(start.facts),
            },
        }
    }

    /// Hands something over and sets going what follows from it.
    fn with<R>(&mut self, now: Ticks, call: impl FnOnce(&mut Host<Placing>, &mut Port) -> R) -> R {
        let Core { host, port } = self;
        port.now = now;
        let result = call(host, port);
        loop {
            while let Some(deferred) = port.deferred.pop_front() {
                match deferred {
                    Deferred::Returned(id, shot, ending) => {
                        host.returned(now, id, shot, ending, None, false, None, port);
                    }
                    Deferred::Lost(id) => {
                        port.over(now, host, id, AttemptResult::Reset, None, None)
                    }
                }
            }
            host.rest(now, port);
            if port.deferred.is_empty() {
                break;
            }
        }
        let next = [port.host_wakes, port.due.first().map(|(at, _)| *at)]
            .into_iter()
            .flatten()
            .min();
        if let Some(at) = next.filter(|_| next != port.armed) {
            port.armed = next;
            port.effects.arm_timer(at);
        }
        if host.waits_for_turn() {
            port.effects.request_turn();
        }
        result
    }
}
