//! The machines of the endpoint list, and what runs on each.

use super::*;

impl DispatcherCore {
    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeConnection>> {
        self.lock().effects.node(machine)
    }

    /// Applies the endpoint list, or changes of it, with addresses.
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
                    let keeps = self.deployment().quorum_members.contains(&entry.machine);
                    let meter = self.connection_counters.meter(if keeps {
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

    /// The endpoints that are listed.
    pub fn endpoints(&self) -> BTreeMap<MachineId, Endpoint> {
        self.lock().effects.entries.clone()
    }

    /// Our allocations by machine: how many may be migrated, and how many may not.
    pub fn allocations_by_machine(&self) -> BTreeMap<MachineId, (usize, usize)> {
        let mut inner = self.lock();
        let mut held: BTreeMap<MachineId, (usize, usize)> = BTreeMap::new();
        for (_, machine, track) in running_allocations(&mut inner.engine) {
            let (movable, once) = held.entry(machine).or_default();
            *(if self.is_unrepeatable(track) {
                once
            } else {
                movable
            }) += 1;
        }
        held
    }

    fn is_unrepeatable(&self, track: ServiceClassId) -> bool {
        let deployment = self.deployment();
        deployment
            .cluster
            .service_classes
            .get(track.0)
            .is_none_or(|track| track.retry_safety == RetrySafety::NotRetryable)
    }

    /// Migrates what may be migrated off a machine that is drained: its client places it again.
    /// Repeated in each round, since each request to a node is one try.
    pub fn drain(self: &Arc<Self>, machine: MachineId) {
        self.with(|_, engine, effects| {
            for (id, at, track) in running_allocations(engine) {
                let Some((client, _)) = engine
                    .data_mut(id)
                    .filter(|_| at == machine && !self.is_unrepeatable(track))
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

/// The allocations that run, and where.
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
