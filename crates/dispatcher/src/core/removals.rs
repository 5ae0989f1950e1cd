//! Replicas that must be known to be gone before their claims are returned.

use super::client::{AfterRemoval, PendingRemoval};
use super::{CoreState, DispatcherCore};
use crate::attempts;
use crate::node_links::NodeConnection;
use crate::store::ReplicaPair;
use corkspan_api::v1;
use corkspan_rollout::ClaimId;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What one node is to be told about one pending removal.
struct StopOrder {
    /// The index of the removal.
    removal: usize,
    machine: MachineId,
    node: Arc<NodeConnection>,
    stops: Vec<v1::StopRequest>,
}

/// Whether all nodes that may have it have confirmed. Before the list is known nothing is.
fn is_removed(removal: &PendingRemoval, known: &BTreeSet<MachineId>) -> bool {
    !known.is_empty()
        && known.iter().all(|machine| {
            let elsewhere = removal
                .nodes
                .as_ref()
                .is_some_and(|nodes| !nodes.contains(machine));
            elsewhere || removal.confirmed_by.contains(machine)
        })
}

impl DispatcherCore {
    /// Has every node stop what a dead dispatcher may have started beside our replica.
    pub fn clear_foreign_claim(&self, service: &str, task: &str, claim: ClaimId) {
        self.with(|_, engine, effects| {
            let Some((client, _)) = engine.find(task).and_then(|id| engine.data_mut(id)) else {
                return;
            };
            if effects
                .pending_removals
                .iter()
                .any(|removal| removal.after == AfterRemoval::ForeignClaimCleared(claim))
            {
                return;
            }
            effects.pending_removals.push(PendingRemoval {
                service: service.into(),
                task: task.into(),
                placing_ids: Vec::new(),
                except: Some(client.request.placement_id.clone()),
                nodes: None,
                confirmed_by: BTreeSet::new(),
                after: AfterRemoval::ForeignClaimCleared(claim),
            });
        });
    }

    /// Tells nodes to stop the replicas that must be gone, and returns the claims of those that are
    /// known to be. Returns the pairs of an earlier incarnation that are removed by now.
    pub async fn confirm_removals(self: &Arc<Self>) -> Vec<(ClaimId, ReplicaPair)> {
        let calls: Vec<_> = self
            .unconfirmed_stops()
            .into_iter()
            .map(|order| {
                let core = Arc::clone(self);
                let tasks = Arc::clone(&self.tasks);
                tasks.spawn(async move {
                    for stop in order.stops {
                        attempts::send_stop(core.clone(), order.node.clone(), stop).await?;
                    }
                    Some((order.removal, order.machine))
                })
            })
            .collect();
        let mut confirmed = Vec::new();
        for call in calls {
            confirmed.extend(call.await);
        }
        self.finish_removals(confirmed)
    }

    /// What each node is still to be told about pending removals.
    fn unconfirmed_stops(&self) -> Vec<StopOrder> {
        let mut inner = self.lock();
        let CoreState { engine, effects } = &mut *inner;
        // A replica that has another placement by now must not be stopped for the one before.
        effects.pending_removals.retain(|removal| {
            let own = engine
                .find(&removal.task)
                .and_then(|id| engine.data_mut(id));
            removal.except.as_ref().is_none_or(|except| {
                own.is_some_and(|(client, _)| client.request.placement_id == *except)
            })
        });
        let effects = &inner.effects;
        let removals = effects.pending_removals.iter().enumerate();
        let orders = removals.flat_map(|(index, removal)| {
            let nodes = effects.nodes.iter().filter(|(machine, _)| {
                removal
                    .nodes
                    .as_ref()
                    .is_none_or(|nodes| nodes.contains(machine))
                    && !removal.confirmed_by.contains(machine)
            });
            nodes.map(move |(machine, node)| StopOrder {
                removal: index,
                machine: *machine,
                node: Arc::clone(node),
                stops: self.stop_requests(removal),
            })
        });
        orders.collect()
    }

    /// Whoever follows the replica by now hears that it migrated, and places it again.
    fn stop_requests(&self, removal: &PendingRemoval) -> Vec<v1::StopRequest> {
        let stop = |placement_id: String, except_placement_id: String| v1::StopRequest {
            placement_id,
            task: removal.task.clone(),
            migrated: true,
            except_placement_id,
            decider: Some(self.sender(OperationKind::Migrate, 1)),
        };
        let named = removal.placing_ids.iter();
        let mut stops: Vec<_> = named.map(|id| stop(id.clone(), String::new())).collect();
        let others = removal.except.iter();
        stops.extend(others.map(|except| stop(String::new(), except.clone())));
        stops
    }

    fn finish_removals(&self, confirmed: Vec<(usize, MachineId)>) -> Vec<(ClaimId, ReplicaPair)> {
        self.with(|_, _, effects| {
            for (index, machine) in confirmed {
                // Only this task takes removals out, so the places are the same.
                effects.pending_removals[index].confirmed_by.insert(machine);
            }
            let known: BTreeSet<MachineId> = effects.nodes.keys().copied().collect();
            let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut effects.pending_removals)
                .into_iter()
                .partition(|removal| is_removed(removal, &known));
            effects.pending_removals = rest;
            let mut removed_pairs = Vec::new();
            for removal in done {
                let (service, task) = (&removal.service, &removal.task);
                match removal.after {
                    AfterRemoval::ReplacementCompleted => {
                        effects.replacement_completed(service, task);
                    }
                    AfterRemoval::SurgeCancelled(end) => effects.surge_removed(service, task, end),
                    AfterRemoval::RestartCleanup(claim, pair) => removed_pairs.push((claim, pair)),
                    AfterRemoval::ForeignClaimCleared(claim) => {
                        if let Some(controller) = effects.rollouts.controller(service) {
                            controller.cleaned_up(claim);
                        }
                        effects.return_claims(service, vec![claim]);
                    }
                }
            }
            removed_pairs
        })
    }
}
