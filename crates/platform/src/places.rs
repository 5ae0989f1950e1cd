//! How many descriptors each part of the process may hold: together never more than the limit,
//! whoever fills his own.

use async_lock::Semaphore;
use std::sync::Arc;

/// What is held beside connections of owners and to nodes: the standard streams (3), the poller
/// with its timer and its wake-up (3), the pair that signals come by (2), the listener, the feed's
/// connection, the file when it is read again, a connection that was just taken and has no place
/// yet, and one to spare.
pub const OWN: usize = 13;
/// With fewer some owners or nodes could not be served at all.
pub const FEWEST: usize = 48;
/// One connection for so many to nodes may be closing while its node is heard out.
pub const HEARD_OUT: usize = 5;

/// Each connection holds its place until its descriptor is closed, wherever the books have struck
/// it out before.
pub struct Places {
    pub owners: Arc<Semaphore>,
    pub owners_all: usize,
    /// Owners' connections at the most that are not being closed.
    pub owners_most: usize,
    pub nodes: Arc<Semaphore>,
    /// The same for those to nodes.
    pub nodes_most: usize,
}

impl Places {
    /// A third of the limit for nodes, since owners hold a third by the protocol; owners get the
    /// rest, since others than its good owners come too.
    pub fn of(limit: usize) -> Self {
        let nodes_most = limit / 3;
        let nodes_all = nodes_most + nodes_most / HEARD_OUT;
        let owners_all = limit.saturating_sub(OWN + nodes_all);
        Places {
            owners: Arc::new(Semaphore::new(owners_all)),
            owners_all,
            owners_most: owners_all.min(limit / 2),
            nodes: Arc::new(Semaphore::new(nodes_all)),
            nodes_most,
        }
    }
}
