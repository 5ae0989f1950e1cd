//! How many descriptors each part of the process may hold: together never more than the limit,
//! whoever fills his own.

use async_lock::Semaphore;
use std::sync::Arc;

/// What is held beside connections of owners and to nodes: the standard streams (3), the poller
/// with its timer and its wake-up (3), the pair that signals come by (2), the listener, the feed's
/// connection, the file when it is read again, a connection that was just taken and has no place
/// yet, and one to spare.
pub const RESERVED_DESCRIPTORS: usize = 13;
/// With fewer some owners or nodes could not be served at all.
pub const MIN_DESCRIPTORS: usize = 48;
/// One connection for so many to nodes may be closing while its node is heard out.
pub const CONNECTIONS_PER_HALF_CLOSED: usize = 5;

/// Each connection holds its place until its descriptor is closed, wherever the books have struck
/// it out before.
pub struct DescriptorBudget {
    pub clients: Arc<Semaphore>,
    pub client_descriptors: usize,
    /// Owners' connections at the most that are not being closed.
    pub max_clients: usize,
    pub nodes: Arc<Semaphore>,
    /// The same for those to nodes.
    pub max_node_connections: usize,
}

impl DescriptorBudget {
    /// A third of the limit for nodes, since owners hold a third by the protocol; owners get the
    /// rest, since others than its good owners come too.
    pub fn new(limit: usize) -> Self {
        let max_node_connections = limit / 3;
        let nodes_all = max_node_connections + max_node_connections / CONNECTIONS_PER_HALF_CLOSED;
        let client_descriptors = limit.saturating_sub(RESERVED_DESCRIPTORS + nodes_all);
        DescriptorBudget {
            clients: Arc::new(Semaphore::new(client_descriptors)),
            client_descriptors,
            max_clients: client_descriptors.min(limit / 2),
            nodes: Arc::new(Semaphore::new(nodes_all)),
            max_node_connections,
        }
    }
}
