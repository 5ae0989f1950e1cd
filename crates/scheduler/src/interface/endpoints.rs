//! The endpoint list: the machines of the cluster and their state.

use crate::interface::{CellId, Domain, MachineId, MachineTypeId, Resources, Ticks, ZoneId};

/// Whether a machine takes allocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It takes new allocations.
    Serving,
    /// It takes no new allocations but completes those it has.
    Draining,
    /// It has left the cluster.
    Removed,
}

/// One machine's entry in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id.
    pub machine: MachineId,
    /// Its type.
    pub machine_type: MachineTypeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes allocations.
    pub state: MachineState,
    /// The time at which its process last started; `None` means long ago.
    pub started_at: Option<Ticks>,
    /// The capacity that isn't requested, if the list reports it.
    pub unreserved: Option<Resources>,
}

impl Endpoint {
    /// Returns the id of the machine, cell or zone to which it belongs.
    #[must_use]
    pub fn domain(&self, domain: Domain) -> u64 {
        match domain {
            Domain::Machine => u64::from(self.machine.0),
            Domain::Cell => self.cell.0,
            Domain::Zone => self.zone.0 as u64,
        }
    }
}

/// The contents of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the machines that have changed.
    Incremental,
    /// All machines; any other machine has been removed.
    Complete,
    /// The last list received by an earlier incarnation.
    Cached,
}
