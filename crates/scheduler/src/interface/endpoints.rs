//! The endpoint list: the machines there are.

use crate::interface::{CellId, Domain, MachineId, MachineTypeId, Resources, Ticks, ZoneId};

/// Whether a machine takes allocations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It does.
    Serving,
    /// It completes what it has.
    Draining,
    /// It is no longer there.
    Removed,
}

/// One machine of the endpoint list.
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
    /// When its process last started; none means long ago.
    pub started_at: Option<Ticks>,
    /// Capacity that is not requested, where the list tells it.
    pub unreserved: Option<Resources>,
}

impl Endpoint {
    /// Which domain of this kind it belongs to.
    #[must_use]
    pub fn domain(&self, domain: Domain) -> u64 {
        match domain {
            Domain::Machine => u64::from(self.machine.0),
            Domain::Cell => self.cell.0,
            Domain::Zone => self.zone.0 as u64,
        }
    }
}

/// What a list brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the machines that have changed.
    Incremental,
    /// All machines: the others are gone.
    Complete,
    /// The last list of an earlier incarnation.
    Cached,
}
