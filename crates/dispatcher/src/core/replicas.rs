//! Replicas of a service under a rollout: carries out the actions of the rollout controllers, and
//! reports the state of replicas to them.

use super::client::{AfterRemoval, ClientAllocation, PendingRemoval};
use super::effects::DispatcherEffects;
use super::{DispatcherCore, next_placement_id};
use crate::rollouts::Rollouts;
use crate::store::ReplicaPair;
use corkspan_api::v1;
use corkspan_engine::{AllocationRequest, Engine};
use corkspan_rollout::Rollout;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_scheduler::interface::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use tracing::warn;
use v1::placement_event::Event as Reply;

impl DispatcherCore {
    /// Cancels a surge replica. Requests to stop it are repeated until it is known to be gone.
    pub(super) fn cancel_surge(
        self: &Arc<Self>,
        id: AllocationId,
        why: SurgeEnd,
        engine: &mut Engine<ClientAllocation>,
        effects: &mut DispatcherEffects,
    ) {
        let Some((client, allocation)) = engine.data_mut(id) else {
            return;
        };
        let old = client.predecessor;
        effects.record_surge_cancelled(client, allocation, why);
        engine.finish(id);
        if let Some((old, _)) = old.and_then(|old| engine.data_mut(old)) {
            old.successor = None;
        }
    }

    /// Lets the surge replica of an allocation take its place for the client. Returns false if
    /// there is no surge replica with an attempt.
    pub(super) fn promote_surge(
        &self,
        id: AllocationId,
        is_gone: bool,
        engine: &mut Engine<ClientAllocation>,
        effects: &mut DispatcherEffects,
    ) -> bool {
        let Some((old, allocation)) = engine.data_mut(id) else {
            return false;
        };
        let Some(next) = old.successor else {
            return false;
        };
        let (current_id, call_deadline) = (old.current_id.clone(), old.call_deadline);
        let (service, task, old_placement_id) = (
            old.request.service.clone(),
            old.request.task.clone(),
            old.request.placement_id.clone(),
        );
        let nodes = allocation
            .attempts
            .iter()
            .map(|attempt| attempt.machine)
            .collect();
        let Some((new, allocation)) = engine.data_mut(next) else {
            return false;
        };
        let Some(machine) = allocation.attempts.last().map(|attempt| attempt.machine) else {
            return false;
        };
        (new.predecessor, new.current_id, new.call_deadline) = (None, current_id, call_deadline);
        new.current_id.set(next);
        let (version, new_placement) = (new.version.clone(), new.request.placement_id.clone());
        new.send_reply(Reply::Replaced(v1::Replaced {
            node: machine.0,
            version,
            placement_id: new_placement,
        }));
        engine.swap_names(id, next);
        if is_gone {
            effects.replacement_completed(&service, &task);
        } else {
            let (placement_ids, nodes, confirmed_by) =
                (vec![old_placement_id], Some(nodes), BTreeSet::new());
            effects.pending_removals.push(PendingRemoval {
                service,
                task,
                placement_ids,
                except: None,
                nodes,
                confirmed_by,
                after: AfterRemoval::ReplacementCompleted,
            });
        }
        true
    }

    /// Adopts a later rollout that is committed. If the service had none here, its replicas at this
    /// dispatcher belong to the rollout from now on, also those that are being placed: they were
    /// sent with the version from before.
    pub fn adopt(&self, rollout: Rollout) {
        self.with(|now, engine, effects| {
            let known = effects.rollouts.controller(&rollout.service).is_some();
            let service = rollout.service.clone();
            effects.rollouts.adopt(now, rollout);
            let Some(controller) = effects.rollouts.controller(&service).filter(|_| !known) else {
                return;
            };
            let replicas = engine.dispatched().filter(|(_, client)| {
                client.request.service == service && client.predecessor.is_none()
            });
            let replicas: Vec<AllocationId> = replicas.map(|(id, _)| id).collect();
            for id in replicas {
                let Some((client, allocation)) = engine.data_mut(id) else {
                    continue;
                };
                controller.replica_assigned(now, &client.request.task, &client.version, false);
                if let Some(at) = client.ready_since {
                    controller.replica_ready(at, &client.request.task);
                }
                if !self.is_idempotent(allocation.service_class) {
                    controller.forbid_surge(&client.request.task);
                }
            }
        });
    }

    /// Stops a replica, to place one of the desired version once this one is known to be gone.
    pub fn replace(self: &Arc<Self>, task: &str) {
        self.with(|_, engine, effects| {
            let Some((client, allocation)) = engine.find(task).and_then(|id| engine.data_mut(id))
            else {
                return;
            };
            client.stopping_for_rollout = true;
            if let Some(attempt) = allocation.attempts.last() {
                effects.stop(self, client, attempt.machine, false);
            }
        });
    }

    pub(super) fn is_idempotent(&self, service_class: ServiceClassId) -> bool {
        let deployment = self.deployment();
        deployment
            .cluster
            .service_classes
            .get(service_class.0)
            .is_some_and(|service_class| service_class.retry_safety == RetrySafety::Idempotent)
    }

    /// Returns the placement ids of a replica and its surge replica. They are stored on disk before
    /// the surge replica is offered.
    pub fn pair(&self, task: &str) -> Option<ReplicaPair> {
        let mut inner = self.lock();
        let id = inner.engine.find(task)?;
        let (client, _) = inner.engine.data_mut(id)?;
        let (old, successor, retires) = (
            client.request.placement_id.clone(),
            client.successor,
            client.superseded,
        );
        let new = successor.and_then(|next| inner.engine.data_mut(next));
        let new = new.map_or_else(
            || next_placement_id(&old),
            |(client, _)| client.request.placement_id.clone(),
        );
        Some(ReplicaPair { new, old, retires })
    }

    /// Returns whether the removal of a replica of this task is not confirmed yet.
    pub fn is_removing_surge(&self, task: &str) -> bool {
        self.lock()
            .effects
            .pending_removals
            .iter()
            .any(|removal| removal.task == task)
    }

    /// Starts a surge replica of the desired version beside a running one.
    pub fn start_surge(self: &Arc<Self>, task: &str, placement_id: &str) {
        self.with(|now, engine, effects| {
            let Some(old) = engine.find(task) else { return };
            let successor = engine
                .data_mut(old)
                .and_then(|(client, _)| client.successor);
            let is_active =
                |(client, _): (&mut ClientAllocation, &Allocation)| !client.surge_cancelled;
            if successor
                .and_then(|next| engine.data_mut(next))
                .is_some_and(is_active)
            {
                return;
            }
            let Some((client, allocation)) = engine.data_mut(old) else {
                return;
            };
            let request = v1::PlacementRequest {
                placement_id: placement_id.into(),
                ..client.request.clone()
            };
            let Some(progress_deadline) = effects
                .rollouts
                .controller(&request.service)
                .map(|controller| controller.rollout().progress_deadline)
            else {
                return;
            };
            let allocation_request = AllocationRequest {
                service: allocation.service,
                service_class: allocation.service_class,
                tenant: allocation.tenant,
                requested: allocation.requested,
                deadline: now + progress_deadline,
            };
            let new_client = ClientAllocation::new(request, &client.replies);
            let new_client = ClientAllocation {
                deadline: Some(now + progress_deadline),
                predecessor: Some(old),
                ..new_client
            };
            // The old replica uses the task's own name, so the surge replica gets one that no
            // client uses.
            match engine.admit(
                now,
                &format!("{task}\u{0}{placement_id}"),
                allocation_request,
                new_client,
            ) {
                Ok(id) => {
                    if let Some((client, _)) = engine.data_mut(old) {
                        client.successor = Some(id);
                    }
                    engine.place(now, id, effects);
                }
                Err((why, client)) => {
                    warn!(task, %why, "a surge replica can't be placed");
                    effects.surge_removed(&client.request.service, task, SurgeEnd::NoCapacity);
                }
            }
        });
    }

    /// Stops an old replica whose surge replica has stayed ready for the required time.
    pub fn stop_superseded(self: &Arc<Self>, task: &str) {
        let found = {
            let mut inner = self.lock();
            let id = inner.engine.find(task);
            id.and_then(|id| {
                inner
                    .engine
                    .data_mut(id)
                    .map(|(client, _)| client.superseded = true)
            })
        };
        if found.is_some() {
            self.replace(task);
        }
    }

    /// Records that a surge replica could not be started.
    pub fn surge_not_started(&self, service: &str, task: &str) {
        // A failed write to disk is no fault of the version, so it must not halt the rollout.
        self.with(|_, _, effects| effects.surge_removed(service, task, SurgeEnd::Cancelled));
    }

    /// Cancels the surge replica of a task when it is no longer wanted.
    pub fn cancel_surge_of(self: &Arc<Self>, task: &str) {
        self.with(|_, engine, effects| {
            let next = engine
                .find(task)
                .and_then(|id| engine.data_mut(id))
                .and_then(|(client, _)| client.successor);
            if let Some(next) = next {
                self.cancel_surge(next, SurgeEnd::Cancelled, engine, effects);
            }
        });
    }

    /// Repeats the stop request to nodes that have not stopped a replica yet, since each request is
    /// sent only once.
    pub fn retry_stops(self: &Arc<Self>) {
        let tasks: Vec<String> = {
            let mut inner = self.lock();
            let stopping = inner
                .engine
                .iter_mut()
                .filter(|(_, client, _)| client.stopping_for_rollout);
            stopping
                .map(|(_, client, _)| client.request.task.clone())
                .collect()
        };
        tasks.iter().for_each(|task| self.replace(task));
    }

    pub fn with_rollouts<R>(&self, call: impl FnOnce(Ticks, &mut Rollouts) -> R) -> R {
        let mut inner = self.lock();
        call(self.clock.now(), &mut inner.effects.rollouts)
    }
}
