//! Confirms with nodes that replicas are gone before their claims are released.

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

/// The stop requests for one node because of one pending removal.
struct PendingStop {
    /// Index into the pending removals.
    removal: usize,
    machine: MachineId,
    node: Arc<NodeConnection>,
    stops: Vec<v1::StopRequest>,
}

/// Returns whether all nodes that may run the replica have confirmed its removal. No removal is
/// complete while the endpoint list is empty.
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
    /// Makes every node stop the replicas of the task other than this dispatcher's, one of which a
    /// failed dispatcher may have started.
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
                placement_ids: Vec::new(),
                except: Some(client.request.placement_id.clone()),
                nodes: None,
                confirmed_by: BTreeSet::new(),
                after: AfterRemoval::ForeignClaimCleared(claim),
            });
        });
    }

    /// Requests nodes to stop the replicas that must be gone, and releases the claims of those that
    /// are confirmed to be gone. Returns the pairs of an earlier incarnation that have been
    /// removed.
    pub async fn confirm_removals(self: &Arc<Self>) -> Vec<(ClaimId, ReplicaPair)> {
        let calls: Vec<_> = self
            .unconfirmed_stops()
            .into_iter()
            .map(|pending| {
                let core = Arc::clone(self);
                let tasks = Arc::clone(&self.tasks);
                tasks.spawn(async move {
                    for stop in pending.stops {
                        attempts::send_stop(core.clone(), pending.node.clone(), stop).await?;
                    }
                    Some((pending.removal, pending.machine))
                })
            })
            .collect();
        let mut confirmed = Vec::new();
        for call in calls {
            confirmed.extend(call.await);
        }
        self.finish_removals(confirmed)
    }

    /// Returns the stop requests for pending removals that nodes have not confirmed yet.
    fn unconfirmed_stops(&self) -> Vec<PendingStop> {
        let mut inner = self.lock();
        let CoreState { engine, effects } = &mut *inner;
        // A replica that has been placed again under another id must not be stopped because of its
        // earlier placement.
        effects.pending_removals.retain(|removal| {
            let current = engine
                .find(&removal.task)
                .and_then(|id| engine.data_mut(id));
            removal.except.as_ref().is_none_or(|except| {
                current.is_some_and(|(client, _)| client.request.placement_id == *except)
            })
        });
        let effects = &inner.effects;
        let removals = effects.pending_removals.iter().enumerate();
        let pending_stops = removals.flat_map(|(index, removal)| {
            let nodes = effects.nodes.iter().filter(|(machine, _)| {
                removal
                    .nodes
                    .as_ref()
                    .is_none_or(|nodes| nodes.contains(machine))
                    && !removal.confirmed_by.contains(machine)
            });
            nodes.map(move |(machine, node)| PendingStop {
                removal: index,
                machine: *machine,
                node: Arc::clone(node),
                stops: self.stop_requests(removal),
            })
        });
        pending_stops.collect()
    }

    /// Returns the stop requests of a removal. The dispatcher that follows the replica by now is
    /// informed that it migrated, so the replica is placed again.
    fn stop_requests(&self, removal: &PendingRemoval) -> Vec<v1::StopRequest> {
        let stop = |placement_id: String, except_placement_id: String| v1::StopRequest {
            placement_id,
            task: removal.task.clone(),
            migrated: true,
            except_placement_id,
            decider: Some(self.sender(OperationKind::Migrate, 1)),
        };
        let placement_ids = removal.placement_ids.iter();
        let mut stops: Vec<_> = placement_ids
            .map(|id| stop(id.clone(), String::new()))
            .collect();
        let others = removal.except.iter();
        stops.extend(others.map(|except| stop(String::new(), except.clone())));
        stops
    }

    fn finish_removals(&self, confirmed: Vec<(usize, MachineId)>) -> Vec<(ClaimId, ReplicaPair)> {
        self.with(|_, _, effects| {
            for (index, machine) in confirmed {
                // Only this task removes entries, so the indexes are still valid.
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
