//! Counts our allocations of each service on each machine.

use crate::interface::*;
use std::collections::BTreeMap;

/// The number of our allocations of each service on each machine.
#[derive(Default)]
pub struct ServicePlacements(BTreeMap<ServiceId, BTreeMap<MachineId, usize>>);

/// The replicas of a service in one failure domain.
#[derive(Clone, Copy)]
pub struct ReplicaCount {
    /// The id of the machine, cell or zone.
    pub domain: u64,
    /// The number of replicas there.
    pub replicas: usize,
}

impl ServicePlacements {
    /// Adds an allocation of the service on the machine.
    pub fn add(&mut self, service: ServiceId, machine: MachineId) {
        let machines = self.0.entry(service).or_default();
        *machines.entry(machine).or_default() += 1;
    }

    /// Removes an allocation of the service from the machine.
    pub fn remove(&mut self, service: ServiceId, machine: MachineId) {
        let Some(machines) = self.0.get_mut(&service) else {
            return;
        };
        machines.entry(machine).and_modify(|count| *count -= 1);
        machines.retain(|_, count| *count > 0);
        if machines.is_empty() {
            self.0.remove(&service);
        }
    }

    /// Returns the number of the service's replicas in each failure domain. Machines without a
    /// domain are left out.
    pub fn count_by_domain(
        &self,
        service: ServiceId,
        domain_of: impl Fn(MachineId) -> Option<u64>,
    ) -> Vec<ReplicaCount> {
        let mut counts: Vec<ReplicaCount> = Vec::new();
        for (id, replicas) in self.machines_of(service) {
            let Some(domain) = domain_of(id) else {
                continue;
            };
            match counts.iter_mut().find(|count| count.domain == domain) {
                Some(count) => count.replicas += replicas,
                None => counts.push(ReplicaCount { domain, replicas }),
            }
        }
        counts
    }

    /// Returns the machines that hold allocations of the service, with their number.
    pub fn machines_of(&self, service: ServiceId) -> impl Iterator<Item = (MachineId, usize)> {
        let machines = self.0.get(&service).into_iter().flatten();
        machines.map(|(&id, &count)| (id, count))
    }
}
