//! The ids of connections and attempts.

use corkspan_scheduler::interface::AllocationId;

/// A connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// A connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One of the attempts at an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub allocation: AllocationId,
    pub number: usize,
}
