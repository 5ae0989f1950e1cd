//! Plain look-ups in what the scheduler keeps, and nothing decided.

use super::*;

impl Scheduler {
    /// The last promise, if it still stands: where, until when, to which.
    pub(super) fn promise(&self) -> Option<(MachineId, Tenths, AllocationId)> {
        let id = self.promise?;
        self.machines.get(&id)?.promised.map(|(until, to)| (id, until, to))
    }

    /// How much is kept: machines, allocations, and services with records.
    pub fn kept(&self) -> [usize; 3] {
        [self.machines.len(), self.at.len(), self.records.len()]
    }

    pub(super) fn guest(&mut self, id: AllocationId) -> Option<&mut Guest> {
        self.machines.get_mut(self.at.get(&id)?)?.guests.get_mut(&id)
    }

    pub(super) fn same(&self, place: Place, a: MachineId, b: MachineId) -> bool {
        let (one, other) = (self.place_of(place, a), self.place_of(place, b));
        if one.is_some() && other.is_some() { one == other } else { a == b }
    }

    pub(super) fn size(&self, machine: &Machine) -> Option<Amount> {
        self.cluster.kinds.get(machine.entry?.kind.0).copied()
    }

    pub(super) fn place_of(&self, place: Place, id: MachineId) -> Option<u64> {
        self.machines.get(&id)?.entry.map(|entry| entry.of(place))
    }
}
