//! Divides the file descriptors among the parts of the process, so that together they never exceed
//! the limit, even if each part uses its whole share.

use async_lock::Semaphore;
use std::sync::Arc;

/// Descriptors other than those of clients and nodes: the standard streams (3), the poller with its
/// timer and its wake-up (3), the pair by which signals arrive (2), the listener, the connection of
/// discovery, the configuration file when it is read again, a connection that was just accepted and
/// has no permit yet, and one spare.
pub const RESERVED_DESCRIPTORS: usize = 13;
/// Minimum limit on descriptors. With fewer, some clients or nodes could not be served at all.
pub const MIN_DESCRIPTORS: usize = 48;
/// Connections to nodes for each half-closed connection that is allowed in addition.
pub const CONNECTIONS_PER_HALF_CLOSED: usize = 5;

/// The limit on file descriptors is lower than a dispatcher needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("limits: {0} sockets are fewer than the minimum of {MIN_DESCRIPTORS}")]
pub struct TooFewDescriptors(pub usize);

/// The shares of the descriptor limit. Each connection holds a permit until its descriptor is
/// closed, even if the core has removed it before.
pub struct DescriptorBudget {
    pub client_permits: Arc<Semaphore>,
    pub client_descriptors: usize,
    /// The maximum number of clients' connections, not counting those that are being closed.
    pub max_clients: usize,
    pub node_permits: Arc<Semaphore>,
    /// The maximum number of connections to nodes, not counting half-closed ones.
    pub max_node_connections: usize,
}

impl DescriptorBudget {
    /// Divides a limit. Nodes get a third of it, since the protocol lets clients hold a third;
    /// clients get the rest, since misbehaving clients connect too.
    ///
    /// # Errors
    ///
    /// Fails if the limit is lower than [`MIN_DESCRIPTORS`].
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
