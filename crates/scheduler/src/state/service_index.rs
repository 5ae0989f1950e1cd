//! Which machines hold allocations of which service.

use crate::interface::*;
use std::collections::BTreeMap;

/// How many of each service are on which machines.
#[derive(Default)]
pub struct Services(BTreeMap<ServiceId, BTreeMap<MachineId, usize>>);

impl Services {
    pub fn add(&mut self, service: ServiceId, machine: MachineId) {
        *self
            .0
            .entry(service)
            .or_default()
            .entry(machine)
            .or_default() += 1;
    }

    pub fn remove(&mut self, service: ServiceId, machine: MachineId) {
        let Some(at) = self.0.get_mut(&service) else {
            return;
        };
        at.entry(machine).and_modify(|many| *many -= 1);
        at.retain(|_, many| *many > 0);
        if at.is_empty() {
            self.0.remove(&service);
        }
    }

    /// How many of it are in each place.
    pub fn by_place(
        &self,
        service: ServiceId,
        place: impl Fn(MachineId) -> Option<u64>,
    ) -> Vec<(u64, usize)> {
        let mut places: Vec<(u64, usize)> = Vec::new();
        for (there, many) in self
            .of(service)
            .filter_map(|(id, many)| Some((place(id)?, many)))
        {
            match places.iter_mut().find(|(other, _)| *other == there) {
                Some((_, sum)) => *sum += many,
                None => places.push((there, many)),
            }
        }
        places
    }

    pub fn of(&self, service: ServiceId) -> impl Iterator<Item = (MachineId, usize)> {
        self.0
            .get(&service)
            .into_iter()
            .flatten()
            .map(|(&id, &many)| (id, many))
    }
}
