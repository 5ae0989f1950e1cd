//! The connections to nodes and how they end.

use crate::writer::MessageSender;
use corkspan_scheduler::interface::{AllocationId, MachineId, Ticks};
use std::collections::BTreeSet;

/// A connection to a node.
pub struct NodeConnection {
    pub machine: MachineId,
    pub sender: MessageSender,
    pub(super) established: bool,
    /// The time since when no further set-up may be sent on the connection.
    pub(super) draining_since: Option<Ticks>,
    /// The time since when nothing has arrived, if a set-up is unanswered, also one that was withdrawn,
    /// or the connection is draining.
    pub(super) silent_since: Option<Ticks>,
    /// Whether the connection was only opened to see whether its machine is alive, and has carried
    /// no set-up yet.
    pub(super) is_check: bool,
    pub open_attempts: BTreeSet<AllocationId>,
    pub(super) last_used_at: Ticks,
}

impl NodeConnection {
    /// Returns whether the connection is idle, and further set-ups may be sent on it.
    pub(super) fn is_of_use(&self) -> bool {
        self.is_idle() && self.draining_since.is_none()
    }

    /// Returns whether no message that the dispatcher waits for is pending on the connection.
    pub(super) fn is_idle(&self) -> bool {
        self.established && self.open_attempts.is_empty()
    }
}

/// Why the dispatcher closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// It is idle, or its descriptor is needed.
    Unused,
    /// The node did not answer on it in time, so what it has written may be lost.
    Unanswered,
}

/// A connection that only the dispatcher has closed. Messages of its node may still arrive.
#[derive(Clone, Copy, Debug)]
pub(super) struct HalfClosedConnection {
    pub(super) machine: MachineId,
    pub(super) reason: CloseReason,
}

/// How a connection to a node has ended, as far as the node is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeSide {
    /// The node has closed its side, so it writes nothing more.
    Closed,
    /// The node's side was still open, and what it wrote last is lost.
    Open,
    /// The connection was never established.
    NotEstablished,
}

/// A connection that was just established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstablishedConnection {
    pub machine: MachineId,
    /// Whether the connection was only opened to see whether the machine is alive.
    pub is_check: bool,
}
