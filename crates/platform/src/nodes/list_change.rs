//! What a change to the list of nodes means for the tasks and connections.

use crate::start_times::StartTime;
use corkspan_scheduler::interface::{Endpoint, MachineId};

/// The effects of a change to the list.
#[derive(Default)]
pub struct ListChange {
    pub endpoints: Vec<Endpoint>,
    /// Whether the list is complete, so that a node that it does not name is gone. False if an
    /// entry is unreadable.
    pub complete: bool,
    pub gone: Vec<MachineId>,
    /// The restarted nodes, with the time of the new start by the dispatcher's clock.
    pub restarted: Vec<(MachineId, StartTime)>,
    /// The nodes whose address has changed.
    pub moved: Vec<MachineId>,
    /// The nodes whose address another one has taken.
    pub replaced: Vec<Replacement>,
}

/// A node whose address another one has taken, so that it is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    pub former: MachineId,
    pub next: MachineId,
    /// The time at which the next node started, or at which the list named it if that is unknown.
    pub started_at: StartTime,
}
