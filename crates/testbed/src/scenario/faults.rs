//! Faults that a scenario schedules.

use crate::relay::Direction;
use std::time::Duration;

/// A fault and when it strikes.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, from the scenario's start.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// How many nodes or dispatchers it strikes, or tasks a burst has.
    pub count: usize,
    /// Of a demand step: the factor on the usual rate.
    pub demand_factor: f64,
    /// Of cuts and delays: which of the dispatchers' connections,
    pub peers: Vec<LinkPeer>,
    /// in which directions,
    pub directions: Vec<Direction>,
    /// and by how much they are late.
    pub delay: Duration,
}

/// Who is at the other end of a dispatcher's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkPeer {
    /// Another dispatcher.
    Dispatchers,
    /// A quorum member.
    Keepers,
    /// The control service.
    Control,
    /// The endpoint list.
    Roster,
    /// A node.
    Nodes,
}

/// Peers by their keywords.
pub const LINK_PEERS: [(&str, LinkPeer); 5] = [
    ("dispatchers", LinkPeer::Dispatchers),
    ("keepers", LinkPeer::Keepers),
    ("control", LinkPeer::Control),
    ("roster", LinkPeer::Roster),
    ("nodes", LinkPeer::Nodes),
];

/// What goes wrong. `docs/days.md` describes each by its keyword.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Node processes die with all that runs there, and restart at a new address.
    KillNodes,
    /// Node processes stand still.
    StallNodes,
    /// Connections of nodes break, and none can be opened.
    CutLinks,
    /// What nodes reply is lost.
    LoseAnswers,
    /// Load reports are late.
    DelayReports,
    /// Cached programs are lost.
    LosePrograms,
    /// Nodes drain, then restart.
    DrainNodes,
    /// All nodes of one cell die and restart.
    RestartRack,
    /// All nodes of one failure domain die and restart.
    LoseZone,
    /// The endpoint list is unreachable.
    RosterAway,
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
    /// Connections of dispatchers are late.
    DelayDispatchers,
    /// No newer version reaches dispatchers.
    HoldVersions,
    /// Dispatchers' files take no further byte.
    FullDisk,
}

/// Faults by their keywords.
pub const FAULT_KINDS: [(&str, FaultKind); 18] = [
    ("kill-nodes", FaultKind::KillNodes),
    ("stall-nodes", FaultKind::StallNodes),
    ("cut-links", FaultKind::CutLinks),
    ("lose-answers", FaultKind::LoseAnswers),
    ("delay-reports", FaultKind::DelayReports),
    ("lose-programs", FaultKind::LosePrograms),
    ("drain-nodes", FaultKind::DrainNodes),
    ("restart-rack", FaultKind::RestartRack),
    ("lose-zone", FaultKind::LoseZone),
    ("roster-away", FaultKind::RosterAway),
    ("demand", FaultKind::Demand),
    ("kill-dispatchers", FaultKind::KillDispatchers),
    ("pause-dispatchers", FaultKind::PauseDispatchers),
    ("burst", FaultKind::Burst),
    ("cut-dispatchers", FaultKind::CutDispatchers),
    ("delay-dispatchers", FaultKind::DelayDispatchers),
    ("hold-versions", FaultKind::HoldVersions),
    ("full-disk", FaultKind::FullDisk),
];
