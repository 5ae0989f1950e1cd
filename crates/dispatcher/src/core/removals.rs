//! Replicas that must be known to be gone before their claims are returned.

use super::client::{AfterRemoval, PendingRemoval};
use super::{CoreState, DispatcherCore};
use crate::attempts;
use crate::node_links::NodeLink;
use crate::store::ReplicaPair;
use corkspan_api::v1;
use corkspan_rollout::ClaimId;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use std::collections::BTreeSet;
use std::sync::Arc;

impl DispatcherCore {
    /// Has every node put away what a dead dispatcher may have begun beside our copy.
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

    /// Tells nodes of what is to be gone, each until it has answered; gives slots back whose copies
    /// are. What an earlier life had left and is put away by now.
    pub async fn confirm_removals(self: &Arc<Self>) -> Vec<(ClaimId, ReplicaPair)> {
        let asks: Vec<(usize, MachineId, Arc<NodeLink>, Vec<v1::StopRequest>)> = {
            let mut inner = self.lock();
            let CoreState { engine, effects } = &mut *inner;
            // A copy that has another placing by now is not to be stopped by word of the one
            // before.
            effects.pending_removals.retain(|removal| {
                let own = engine
                    .find(&removal.task)
                    .and_then(|id| engine.data_mut(id));
                removal.except.as_ref().is_none_or(|except| {
                    own.is_some_and(|(client, _)| client.request.placement_id == *except)
                })
            });
            let effects = &inner.effects;
            let all = effects
                .pending_removals
                .iter()
                .enumerate()
                .flat_map(|(index, removal)| {
                    let here = effects.nodes.iter().filter(|(machine, _)| {
                        removal
                            .nodes
                            .as_ref()
                            .is_none_or(|nodes| nodes.contains(machine))
                            && !removal.confirmed_by.contains(machine)
                    });
                    here.map(move |(machine, node)| {
                        // Whoever holds it by now hears that it moved, and asks again.
                        let stop = |placing: &String| v1::StopRequest {
                            placement_id: placing.clone(),
                            task: removal.task.clone(),
                            migrated: true,
                            except_placement_id: String::new(),
                            decider: Some(self.sender(OperationKind::Migrate, 1)),
                        };
                        let mut stops: Vec<v1::StopRequest> =
                            removal.placing_ids.iter().map(stop).collect();
                        stops.extend(removal.except.iter().map(|except| v1::StopRequest {
                            placement_id: String::new(),
                            task: removal.task.clone(),
                            migrated: true,
                            except_placement_id: except.clone(),
                            decider: Some(self.sender(OperationKind::Migrate, 1)),
                        }));
                        (index, *machine, Arc::clone(node), stops)
                    })
                });
            all.collect()
        };
        let calls: Vec<_> = asks
            .into_iter()
            .map(|(index, machine, node, stops)| {
                let core = Arc::clone(self);
                let tasks = Arc::clone(&self.tasks);
                tasks.spawn(async move {
                    for stop in stops {
                        attempts::send_stop(core.clone(), node.clone(), stop).await?;
                    }
                    Some((index, machine))
                })
            })
            .collect();
        let mut confirmed_by = Vec::new();
        for call in calls {
            confirmed_by.extend(call.await);
        }
        self.with(|_, _, effects| {
            for (index, machine) in confirmed_by {
                // Only this task takes any out, so the places are the same.
                effects.pending_removals[index].confirmed_by.insert(machine);
            }
            let known: BTreeSet<MachineId> = effects.nodes.keys().copied().collect();
            let gone = |removal: &PendingRemoval| {
                let mut all = known.iter();
                // Before the list is known nothing is.
                !known.is_empty()
                    && all.all(|machine| {
                        let else_where = removal
                            .nodes
                            .as_ref()
                            .is_some_and(|nodes| !nodes.contains(machine));
                        else_where || removal.confirmed_by.contains(machine)
                    })
            };
            let (done, rest) = std::mem::take(&mut effects.pending_removals)
                .into_iter()
                .partition(gone);
            effects.pending_removals = rest;
            let done: Vec<PendingRemoval> = done;
            done.into_iter()
                .filter_map(|removal| match removal.after {
                    AfterRemoval::ReplacementCompleted => {
                        effects.replacement_completed(&removal.service, &removal.task);
                        None
                    }
                    AfterRemoval::SurgeCancelled(why) => {
                        effects.surge_removed(&removal.service, &removal.task, why);
                        None
                    }
                    AfterRemoval::RestartCleanup(claim, pair) => Some((claim, pair)),
                    AfterRemoval::ForeignClaimCleared(claim) => {
                        if let Some(controller) = effects.rollouts.controller(&removal.service) {
                            controller.cleaned_up(claim);
                        }
                        effects.return_claims(&removal.service, vec![claim]);
                        None
                    }
                })
                .collect::<Vec<_>>()
        })
    }
}
