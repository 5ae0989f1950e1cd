//! The machines of the endpoint list, and the allocations that run on each.

use super::*;

impl DispatcherCore {
    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeConnection>> {
        self.lock().effects.node(machine)
    }

    /// Applies a complete endpoint list or changes to it, with the address of each endpoint.
    pub fn apply_endpoint_list(
        &self,
        scope: ListUpdate,
        entries: &[(Endpoint, std::net::SocketAddr)],
    ) {
        self.with(|_, engine, effects| {
            if scope == ListUpdate::Complete {
                effects
                    .nodes
                    .retain(|id, _| entries.iter().any(|(entry, _)| entry.machine == *id));
            }
            let dispatcher = self.deployment().cluster.scheduler_index as u32;
            if scope == ListUpdate::Complete {
                effects.entries.clear();
            }
            for (entry, address) in entries {
                match entry.state {
                    MachineState::Removed => drop(effects.entries.remove(&entry.machine)),
                    _ => drop(effects.entries.insert(entry.machine, *entry)),
                }
                if effects
                    .nodes
                    .get(&entry.machine)
                    .is_none_or(|node| node.address != *address)
                {
                    let is_quorum_member =
                        self.deployment().quorum_members.contains(&entry.machine);
                    let meter = self.connection_counters.meter(if is_quorum_member {
                        ConnectionKind::Keepers
                    } else {
                        ConnectionKind::Nodes
                    });
                    let node = NodeConnection::new(*address, entry.machine.0, dispatcher, meter);
                    effects.nodes.insert(entry.machine, node);
                }
            }
            let list: Vec<Endpoint> = entries.iter().map(|(entry, _)| *entry).collect();
            engine.apply_endpoint_list(scope, &list);
        });
    }

    /// Returns the endpoints of the current list.
    pub fn endpoints(&self) -> BTreeMap<MachineId, Endpoint> {
        self.lock().effects.entries.clone()
    }

    /// Returns for each machine how many of this dispatcher's allocations may be migrated, and how
    /// many may not.
    pub fn allocations_by_machine(&self) -> BTreeMap<MachineId, (usize, usize)> {
        let mut inner = self.lock();
        let mut by_machine: BTreeMap<MachineId, (usize, usize)> = BTreeMap::new();
        for (_, machine, service_class) in running_allocations(&mut inner.engine) {
            let (movable, not_retryable) = by_machine.entry(machine).or_default();
            *(if self.is_not_retryable(service_class) {
                not_retryable
            } else {
                movable
            }) += 1;
        }
        by_machine
    }

    fn is_not_retryable(&self, service_class: ServiceClassId) -> bool {
        let deployment = self.deployment();
        deployment
            .cluster
            .service_classes
            .get(service_class.0)
            .is_none_or(|service_class| service_class.retry_safety == RetrySafety::NotRetryable)
    }

    /// Migrates all allocations that may be migrated off a draining machine; their clients place
    /// them again. Called in each round, since a request to a node is sent only once.
    pub fn drain(self: &Arc<Self>, machine: MachineId) {
        self.with(|_, engine, effects| {
            for (id, at, service_class) in running_allocations(engine) {
                let Some((client, _)) = engine
                    .data_mut(id)
                    .filter(|_| at == machine && !self.is_not_retryable(service_class))
                else {
                    continue;
                };
                client.migrating = true;
                effects.stop(self, client, machine, true);
            }
        });
    }

    pub fn set_serving(&self, serving: usize) {
        self.lock().effects.serving = serving;
    }

    pub fn endpoint_watch_failed(&self) {
        self.with(|now, engine, _| engine.endpoint_watch_failed(now));
    }
}

/// Returns the running allocations with their machines.
fn running_allocations(
    engine: &mut Engine<ClientAllocation>,
) -> Vec<(AllocationId, MachineId, ServiceClassId)> {
    let placed: Vec<AllocationId> = engine
        .iter_mut()
        .filter(|(_, _, placed)| *placed)
        .map(|(id, _, _)| id)
        .collect();
    let at = |id| {
        let (_, allocation) = engine.data_mut(id)?;
        Some((
            id,
            allocation.attempts.last()?.machine,
            allocation.service_class,
        ))
    };
    placed.into_iter().filter_map(at).collect()
}
