//! The effects of decisions: messages to nodes and clients, and the timer.

use super::client::{AfterRemoval, ClientAllocation, PendingRemoval};
use super::{DispatcherCore, next_placement_id};
use crate::attempts;
use crate::clock::duration;
use crate::node_links::{CountGuard, NodeConnection};
use crate::rollouts::Rollouts;
use corkspan_api::v1;
use corkspan_engine::{AllocationRequest, Effects};
use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::SurgeEnd;
use corkspan_scheduler::interface::*;
use corkspan_version_fencing::operations::OperationKind;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};
use tracing::warn;
use v1::placement_event::Event as Reply;

#[derive(Default)]
pub struct RequestCounters {
    pub requested: u64,
    pub placed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub cancelled: u64,
}

/// The effects of decisions: messages to nodes and clients, and the timer.
pub struct DispatcherEffects {
    pub core: Weak<DispatcherCore>,
    pub now: Ticks,
    pub nodes: BTreeMap<MachineId, Arc<NodeConnection>>,
    /// The endpoints as last received.
    pub entries: BTreeMap<MachineId, Endpoint>,
    pub counters: RequestCounters,
    pub stopping: bool,
    pub decision_time: Duration,
    pub serving: usize,
    pub rollouts: Rollouts,
    pub pending_removals: Vec<PendingRemoval>,
    /// Claims to release at the quorum members.
    pub claim_returns: async_channel::Sender<(String, ClaimId)>,
}

impl DispatcherEffects {
    pub fn node(&self, machine: MachineId) -> Option<Arc<NodeConnection>> {
        self.nodes.get(&machine).cloned()
    }

    pub fn stop(
        &mut self,
        core: &Arc<DispatcherCore>,
        client: &ClientAllocation,
        machine: MachineId,
        is_migration: bool,
    ) {
        let Some(node) = self.node(machine) else {
            return;
        };
        let (placement, task) = (
            client.request.placement_id.clone(),
            client.request.task.clone(),
        );
        let kind = if is_migration {
            OperationKind::Migrate
        } else {
            OperationKind::Stop
        };
        let stop = v1::StopRequest {
            placement_id: placement,
            task,
            migrated: is_migration,
            except_placement_id: String::new(),
            decider: Some(core.sender(kind, 1)),
        };
        core.tasks
            .spawn(attempts::send_stop(core.clone(), node, stop))
            .detach();
    }

    /// Returns the request that replaces a replica stopped by a rollout.
    pub fn replacement_request(
        &mut self,
        client: &ClientAllocation,
        allocation: &Allocation,
    ) -> Option<(AllocationRequest, ClientAllocation)> {
        let progress_deadline = self
            .rollouts
            .controller(&client.request.service)?
            .rollout()
            .progress_deadline;
        let expires_at = self.now + progress_deadline;
        let allocation_request = AllocationRequest {
            service: allocation.service,
            service_class: allocation.service_class,
            tenant: allocation.tenant,
            requested: allocation.requested,
            deadline: expires_at,
        };
        let placement = next_placement_id(&client.request.placement_id);
        let new_client = ClientAllocation::new(
            v1::PlacementRequest {
                placement_id: placement,
                ..client.request.clone()
            },
            &client.replies,
        );
        let (current_id, call_deadline) = (client.current_id.clone(), client.call_deadline);
        Some((
            allocation_request,
            ClientAllocation {
                deadline: Some(expires_at),
                call_deadline,
                current_id,
                replacement: true,
                ..new_client
            },
        ))
    }

    /// Records that the old replica is gone and the new one has taken its place.
    pub fn replacement_completed(&mut self, service: &str, task: &str) {
        let claims = self
            .rollouts
            .controller(service)
            .map(|controller| controller.surge_took_over(task))
            .unwrap_or_default();
        self.return_claims(service, claims);
    }

    /// Marks a surge replica as cancelled: its reports are ignored from now on, and its slot is
    /// released once it is known to be gone.
    pub fn record_surge_cancelled(
        &mut self,
        client: &mut ClientAllocation,
        allocation: &Allocation,
        why: SurgeEnd,
    ) {
        if std::mem::replace(&mut client.surge_cancelled, true) {
            return;
        }
        self.pending_removals.push(PendingRemoval {
            service: client.request.service.clone(),
            task: client.request.task.clone(),
            placement_ids: vec![client.request.placement_id.clone()],
            except: None,
            nodes: Some(
                allocation
                    .attempts
                    .iter()
                    .map(|attempt| attempt.machine)
                    .collect(),
            ),
            confirmed_by: BTreeSet::new(),
            after: AfterRemoval::SurgeCancelled(why),
        });
    }

    /// Records that a surge replica is gone.
    pub fn surge_removed(&mut self, service: &str, task: &str, why: SurgeEnd) {
        let now = self.now;
        let claims = self
            .rollouts
            .controller(service)
            .map(|controller| controller.surge_ended(now, task, why))
            .unwrap_or_default();
        self.return_claims(service, claims);
    }

    pub fn return_claims(&mut self, service: &str, claims: Vec<ClaimId>) {
        for claim in claims {
            if self
                .claim_returns
                .try_send((service.to_string(), claim))
                .is_err()
            {
                // The quorum members still hold the claim for this dispatcher and report it, so it
                // is released later.
                warn!(
                    service,
                    "queue of claims to release is full; the quorum members will report this claim again"
                );
            }
        }
    }

    /// Records that this dispatcher no longer has a replica. `is_final`: the client does not
    /// place it again.
    pub fn replica_gone(&mut self, client: &ClientAllocation, is_final: bool) {
        let (service, task) = (&client.request.service, &client.request.task);
        let Some(controller) = self.rollouts.controller(service) else {
            return;
        };
        if !is_final {
            return controller.replica_lost(self.now, task);
        }
        let claims = controller.replica_removed(task);
        self.return_claims(service, claims);
    }

    /// Sends the final answer, unless the client's deadline has passed. Returns whether it was
    /// sent.
    pub fn answer(&mut self, client: &mut ClientAllocation, reply: Reply) -> bool {
        if client.replacement {
            // The client has been answered before: the replica ends as migrated, and the client
            // places it again.
            self.replica_gone(client, false);
            client.send_reply(Reply::Ended(v1::Ended {
                reason: v1::ended::EndReason::SentAway.into(),
            }));
            client.replies.close();
            return false;
        }
        self.replica_gone(client, true);
        let in_time = client.deadline.take().is_some_and(|at| self.now < at);
        if in_time {
            client.send_reply(reply);
        }
        client.replies.close();
        in_time
    }
}

impl Effects<ClientAllocation> for DispatcherEffects {
    fn dispatch(
        &mut self,
        client: &mut ClientAllocation,
        allocation: &Allocation,
        machine: MachineId,
        timeout: Ticks,
    ) {
        let Some(core) = self.core.upgrade() else {
            return;
        };
        let allocation_request = AllocationRequest {
            service: allocation.service,
            service_class: allocation.service_class,
            tenant: allocation.tenant,
            requested: allocation.requested,
            deadline: allocation.deadline,
        };
        client.version = self.rollouts.wanted(&client.request.service);
        (client.ready_since, client.stopping_for_rollout) = (None, false);
        if let Some(controller) = self
            .rollouts
            .controller(&client.request.service)
            .filter(|_| client.predecessor.is_none())
        {
            controller.replica_assigned(
                self.now,
                &client.request.task,
                &client.version,
                client.request.retry && !client.replacement,
            );
            if !core.is_idempotent(allocation.service_class) {
                controller.forbid_surge(&client.request.task);
            }
        }
        let attempt = core.attempt_message(
            &client.request,
            &allocation_request,
            allocation.attempts.len(),
            client.version.clone(),
            OperationKind::Attempt,
        );
        let node = self.node(machine);
        let max_unanswered = core.deployment().limits.max_offers_per_node;
        let unanswered_guard: Option<CountGuard> = node
            .as_ref()
            .and_then(|node| node.reserve_offer(max_unanswered));
        let (id, number, decided) = (allocation.id, allocation.attempts.len(), Instant::now());
        let offer = attempts::AttemptOffer {
            id,
            number,
            machine,
            node,
            unanswered_guard,
            decided,
        };
        let tasks = Arc::clone(&core.tasks);
        tasks
            .spawn(attempts::run_attempt(
                core,
                offer,
                attempt,
                duration(timeout),
            ))
            .detach();
    }

    fn shed(&mut self, client: &mut ClientAllocation, allocation: &Allocation) {
        if client.predecessor.is_some() {
            // The client has the old replica and does not know of this one.
            return self.record_surge_cancelled(client, allocation, SurgeEnd::NoCapacity);
        }
        let (why, attempt_count) = (
            v1::rejected::RejectionReason::NoRoom.into(),
            allocation.attempts.len() as u32,
        );
        let text = "no machine could take the allocation before its deadline".into();
        if self.answer(
            client,
            Reply::Rejected(v1::Rejected {
                reason: why,
                message: text,
                attempts: attempt_count,
            }),
        ) {
            self.counters.rejected += 1;
        }
    }

    fn indeterminate(&mut self, client: &mut ClientAllocation, allocation: &Allocation) {
        if client.predecessor.is_some() {
            return self.record_surge_cancelled(client, allocation, SurgeEnd::NoCapacity);
        }
        let attempt_count = allocation.attempts.len() as u32;
        let text = "an attempt may have run, and another is not allowed".into();
        if self.answer(
            client,
            Reply::Failed(v1::Failed {
                message: text,
                attempts: attempt_count,
            }),
        ) {
            self.counters.failed += 1;
        }
    }

    fn migrate(&mut self, client: &mut ClientAllocation, allocation: &Allocation) {
        let (Some(core), Some(attempt)) = (self.core.upgrade(), allocation.attempts.last()) else {
            return;
        };
        client.migrating = true;
        self.stop(&core, client, attempt.machine, true);
    }

    fn check_health(&mut self, machine: MachineId) {
        let (Some(core), Some(node)) = (self.core.upgrade(), self.node(machine)) else {
            return;
        };
        let tasks = Arc::clone(&core.tasks);
        tasks
            .spawn(attempts::send_health_check(core, machine, node))
            .detach();
    }

    fn watch_endpoints(&mut self) {
        if let Some(core) = self.core.upgrade() {
            // The channel is full if a watch is requested already.
            let _ = core.watch_sender.try_send(());
        }
    }

    fn set_timer(&mut self, after: Ticks) {
        if let Some(core) = self.core.upgrade() {
            // The new time is always earlier than a pending one, so it may replace it.
            let _ = core
                .wake_sender
                .force_send(Instant::now() + duration(after));
        }
    }
}
