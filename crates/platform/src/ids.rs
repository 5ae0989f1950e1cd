//! The ids of connections and attempts.

use corkspan_scheduler::interface::AllocationId;

/// The id of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// The id of a connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The id of an attempt at an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub allocation: AllocationId,
    pub number: usize,
}
