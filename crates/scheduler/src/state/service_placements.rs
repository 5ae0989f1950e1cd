//! Which machines hold allocations of which service.

use crate::interface::*;
use std::collections::BTreeMap;

/// The number of our allocations of each service on each machine.
#[derive(Default)]
pub struct ServicePlacements(BTreeMap<ServiceId, BTreeMap<MachineId, usize>>);

/// The replicas of a service in one failure domain.
#[derive(Clone, Copy)]
pub struct ReplicaCount {
    /// Which machine, cell or zone it is.
    pub domain: u64,
    /// How many replicas are there.
    pub replicas: usize,
}

impl ServicePlacements {
    /// One more allocation of the service is on the machine.
    pub fn add(&mut self, service: ServiceId, machine: MachineId) {
        let machines = self.0.entry(service).or_default();
        *machines.entry(machine).or_default() += 1;
    }

    /// One allocation of the service has left the machine.
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

    /// The service's replicas by failure domain; machines without a domain are left out.
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

    /// The machines that hold the service, with the number of its allocations there.
    pub fn machines_of(&self, service: ServiceId) -> impl Iterator<Item = (MachineId, usize)> {
        let machines = self.0.get(&service).into_iter().flatten();
        machines.map(|(&id, &count)| (id, count))
    }
}
