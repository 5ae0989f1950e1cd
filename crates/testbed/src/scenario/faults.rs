//! Faults that a scenario schedules.

use crate::relay::Direction;
use std::time::Duration;

/// A fault and the time of its injection.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When it begins, from the scenario's start.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// Number of nodes or dispatchers that it affects, or of tasks in a burst.
    pub count: usize,
    /// Factor on the request rate, for a demand step.
    pub demand_factor: f64,
    /// Peers whose connections with dispatchers are cut or delayed.
    pub peers: Vec<ConnectionPeer>,
    /// Directions in which connections are cut or delayed.
    pub directions: Vec<Direction>,
    /// Delay of connections.
    pub delay: Duration,
}

/// The peer at the other end of a dispatcher's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPeer {
    /// Another dispatcher.
    Dispatchers,
    /// A quorum member.
    QuorumMembers,
    /// The control service.
    Control,
    /// The endpoint list.
    Discovery,
    /// A node.
    Nodes,
}

/// Peers by their keywords.
pub const CONNECTION_PEERS: [(&str, ConnectionPeer); 5] = [
    ("dispatchers", ConnectionPeer::Dispatchers),
    ("keepers", ConnectionPeer::QuorumMembers),
    ("control", ConnectionPeer::Control),
    ("roster", ConnectionPeer::Discovery),
    ("nodes", ConnectionPeer::Nodes),
];

/// A kind of fault. `docs/days.md` describes each by its keyword.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Node processes die with all that runs there, and restart at a new address.
    KillNodes,
    /// Node processes stop responding.
    StallNodes,
    /// Connections of nodes break, and none can be opened.
    CutNodeConnections,
    /// Replies of nodes are lost.
    LoseReplies,
    /// Load reports are delayed.
    DelayReports,
    /// Cached programs are lost.
    ClearProgramCaches,
    /// Nodes drain, then restart.
    DrainNodes,
    /// All nodes of one cell die and restart.
    RestartCell,
    /// All nodes of one failure domain die and restart.
    LoseFailureDomain,
    /// The endpoint list is unreachable.
    DiscoveryUnreachable,
    /// The request rate is multiplied.
    Demand,
    /// Dispatcher processes are killed and restarted.
    KillDispatchers,
    /// Dispatcher processes are stopped and continued.
    PauseDispatchers,
    /// Many tasks are requested at once.
    Burst,
    /// Connections of dispatchers carry nothing.
    CutDispatchers,
    /// Connections of dispatchers are delayed.
    DelayDispatchers,
    /// No newer version reaches dispatchers.
    HoldVersions,
    /// Dispatchers cannot write to their files.
    FullDisk,
}

/// Faults by their keywords.
pub const FAULT_KINDS: [(&str, FaultKind); 18] = [
    ("kill-nodes", FaultKind::KillNodes),
    ("stall-nodes", FaultKind::StallNodes),
    ("cut-links", FaultKind::CutNodeConnections),
    ("lose-answers", FaultKind::LoseReplies),
    ("delay-reports", FaultKind::DelayReports),
    ("lose-programs", FaultKind::ClearProgramCaches),
    ("drain-nodes", FaultKind::DrainNodes),
    ("restart-rack", FaultKind::RestartCell),
    ("lose-zone", FaultKind::LoseFailureDomain),
    ("roster-away", FaultKind::DiscoveryUnreachable),
    ("demand", FaultKind::Demand),
    ("kill-dispatchers", FaultKind::KillDispatchers),
    ("pause-dispatchers", FaultKind::PauseDispatchers),
    ("burst", FaultKind::Burst),
    ("cut-dispatchers", FaultKind::CutDispatchers),
    ("delay-dispatchers", FaultKind::DelayDispatchers),
    ("hold-versions", FaultKind::HoldVersions),
    ("full-disk", FaultKind::FullDisk),
];
