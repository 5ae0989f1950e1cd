//! Machines, their domains, and how many machines of each domain may be out of service at a time.

use serde::{Deserialize, Serialize};
use std::array::TryFromSliceError;

/// A machine, identified by its number in service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Machine(pub u32);

/// The domains of a machine, as service discovery reported them when the request was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineDomains {
    /// The zone, stored as `hall`.
    #[serde(rename = "hall")]
    pub zone: u32,
    /// The cell.
    pub cell: u64,
    /// The machine type, stored as `kind`.
    #[serde(rename = "kind")]
    pub machine_type: u32,
}

/// The group of machines that a limit applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitScope {
    /// All machines of the request.
    Total,
    /// Machines of one zone.
    Zone,
    /// Machines of one cell.
    Cell,
    /// Machines of one type.
    MachineType,
}

impl LimitScope {
    /// All scopes, in the order in which limits and slots are stored and sent.
    pub const ALL: [LimitScope; 4] = [
        LimitScope::Total,
        LimitScope::Zone,
        LimitScope::Cell,
        LimitScope::MachineType,
    ];

    /// Returns whether two machines count towards the same limit of this scope.
    pub fn is_shared(self, first: MachineDomains, second: MachineDomains) -> bool {
        match self {
            LimitScope::Total => true,
            LimitScope::Zone => first.zone == second.zone,
            LimitScope::Cell => first.cell == second.cell,
            LimitScope::MachineType => first.machine_type == second.machine_type,
        }
    }
}

/// The maximum numbers of machines that may be out of service at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptionLimits {
    /// The limit over all machines, stored as `all`.
    #[serde(rename = "all")]
    pub total: u32,
    /// The limit for each zone, stored as `hall`.
    #[serde(rename = "hall")]
    pub zone: u32,
    /// The limit for each cell.
    pub cell: u32,
    /// The limit for each machine type, stored as `kind`.
    #[serde(rename = "kind")]
    pub machine_type: u32,
}

impl DisruptionLimits {
    /// Returns the limit of one scope.
    pub fn for_scope(&self, scope: LimitScope) -> u32 {
        match scope {
            LimitScope::Total => self.total,
            LimitScope::Zone => self.zone,
            LimitScope::Cell => self.cell,
            LimitScope::MachineType => self.machine_type,
        }
    }

    /// Returns the limits in the order of [`LimitScope::ALL`].
    pub fn to_array(&self) -> [u32; 4] {
        LimitScope::ALL.map(|scope| self.for_scope(scope))
    }
}

/// The numbered slot that a lease occupies under each limit, from 0. Slots are numbered rather than
/// counted: if three members each counted up to two, different majorities could together grant
/// three leases.
///
/// Stored and sent as four numbers in the order of [`LimitScope::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u32; 4]", into = "[u32; 4]")]
pub struct Slots {
    /// The slot under the limit over all machines.
    pub total: u32,
    /// The slot under the limit for the zone.
    pub zone: u32,
    /// The slot under the limit for the cell.
    pub cell: u32,
    /// The slot under the limit for the machine type.
    pub machine_type: u32,
}

impl Slots {
    /// Returns the slot under the limit of one scope.
    pub fn for_scope(&self, scope: LimitScope) -> u32 {
        match scope {
            LimitScope::Total => self.total,
            LimitScope::Zone => self.zone,
            LimitScope::Cell => self.cell,
            LimitScope::MachineType => self.machine_type,
        }
    }

    /// Returns the slots in the order of [`LimitScope::ALL`].
    pub fn to_array(&self) -> [u32; 4] {
        LimitScope::ALL.map(|scope| self.for_scope(scope))
    }
}

impl TryFrom<&[u32]> for Slots {
    type Error = TryFromSliceError;

    /// Fails unless there are exactly four numbers.
    fn try_from(slots: &[u32]) -> Result<Self, Self::Error> {
        <[u32; 4]>::try_from(slots).map(Slots::from)
    }
}

impl From<[u32; 4]> for Slots {
    fn from([total, zone, cell, machine_type]: [u32; 4]) -> Self {
        Slots {
            total,
            zone,
            cell,
            machine_type,
        }
    }
}

impl From<Slots> for [u32; 4] {
    fn from(slots: Slots) -> Self {
        slots.to_array()
    }
}
