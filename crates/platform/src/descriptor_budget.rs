//! How many file descriptors each part of the process may hold: together never more than the limit,
//! whichever part uses up its own.

use async_lock::Semaphore;
use std::sync::Arc;

/// Descriptors beside those of clients and nodes: the standard streams (3), the poller with its
/// timer and its wake-up (3), the pair that signals arrive by (2), the listener, discovery's
/// connection, the file when it is read again, a connection that was just accepted and has no
/// permit yet, and one to spare.
pub const RESERVED_DESCRIPTORS: usize = 13;
/// With fewer descriptors some clients or nodes could not be served at all.
pub const MIN_DESCRIPTORS: usize = 48;
/// Of so many connections to nodes one more may be half-closed.
pub const CONNECTIONS_PER_HALF_CLOSED: usize = 5;

/// The limit allows for fewer file descriptors than a dispatcher needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limits: {0} sockets, where {MIN_DESCRIPTORS} are the least")]
pub struct TooFewDescriptors(pub usize);

/// Each connection holds a permit until its descriptor is closed, even where the core has removed
/// it before.
pub struct DescriptorBudget {
    pub client_permits: Arc<Semaphore>,
    pub client_descriptors: usize,
    /// The maximum number of clients' connections that are not being closed.
    pub max_clients: usize,
    pub node_permits: Arc<Semaphore>,
    /// The same for connections to nodes.
    pub max_node_connections: usize,
}

impl DescriptorBudget {
    /// A third of the limit is for nodes, since clients hold a third by the protocol; clients get
    /// the rest, since misbehaving clients connect too.
    ///
    /// # Errors
    ///
    /// Fewer descriptors than [`MIN_DESCRIPTORS`].
    pub fn new(limit: usize) -> Result<Self, TooFewDescriptors> {
        if limit < MIN_DESCRIPTORS {
            return Err(TooFewDescriptors(limit));
        }
        let max_node_connections = limit / 3;
        let node_descriptors =
            max_node_connections + max_node_connections / CONNECTIONS_PER_HALF_CLOSED;
        let client_descriptors = limit.saturating_sub(RESERVED_DESCRIPTORS + node_descriptors);
        Ok(DescriptorBudget {
            client_permits: Arc::new(Semaphore::new(client_descriptors)),
            client_descriptors,
            max_clients: client_descriptors.min(limit / 2),
            node_permits: Arc::new(Semaphore::new(node_descriptors)),
            max_node_connections,
        })
    }
}
