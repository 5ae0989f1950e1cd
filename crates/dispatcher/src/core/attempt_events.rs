//! Handles the outcomes of attempts that nodes report.

use super::DispatcherCore;
use super::client::ClientAllocation;
use super::effects::DispatcherEffects;
use crate::attempts::AttemptObserver;
use corkspan_api::v1;
use corkspan_engine::{AllocationRequest, Engine, ReturnedAttempt};
use corkspan_rollout::controller::SurgeEnd;
use corkspan_rpc::{ConnectionLimits, SharedExecutor};
use corkspan_scheduler::interface::*;
use std::sync::Arc;
use tracing::warn;
use v1::placement_event::Event as Reply;

impl AttemptObserver for DispatcherCore {
    fn tasks(&self) -> &SharedExecutor {
        &self.tasks
    }

    fn connection_limits(&self) -> &ConnectionLimits {
        &self.connection_limits
    }

    fn placed_when_running(&self) -> bool {
        self.deployment().cluster.placed_means_running
    }

    fn is_fenced(&self) -> bool {
        DispatcherCore::fenced_by(self).is_some()
    }

    fn minimum_version_reported(&self, minimum: &v1::MinimumVersion) {
        self.fencing.node_reported(
            crate::version_gate::minimum_version_from_message(minimum),
            self.deployment().version,
        );
    }

    /// Handles an attempt that a node has placed.
    fn attempt_placed(self: &Arc<Self>, id: AllocationId, attempt: usize, machine: MachineId) {
        self.with(|now, engine, effects| {
            let late = engine
                .data_mut(id)
                .is_some_and(|(client, _)| client.deadline.is_some_and(|at| now >= at));
            if late {
                // The client has stopped waiting, so it gets no answer, but the engine must still
                // learn the outcome.
                engine.attempt_placed(now, id, attempt, effects);
                self.cancel(id, engine, effects);
            } else if engine.attempt_placed(now, id, attempt, effects)
                && let Some((client, allocation)) = engine.data_mut(id)
            {
                client.deadline = None;
                if client.predecessor.is_some() {
                    return;
                }
                if std::mem::take(&mut client.replacement) {
                    let (version, placement) =
                        (client.version.clone(), client.request.placement_id.clone());
                    client.send_reply(Reply::Replaced(v1::Replaced {
                        node: machine.0,
                        version,
                        placement_id: placement,
                    }));
                    return;
                }
                effects.counters.placed += 1;
                let attempt_count = allocation.attempts.len() as u32;
                client.send_reply(Reply::Placed(v1::Placed {
                    node: machine.0,
                    attempts: attempt_count,
                }));
            } else if let Some((client, _)) = engine.data_mut(id) {
                // Cancelled before the node accepted it: the stop request sent then found nothing
                // on the node.
                effects.stop(self, client, machine, false);
            }
        });
    }

    /// Handles the end of an attempt. `ended_as` is set if the attempt was placed, so that the
    /// allocation ends with it.
    fn attempt_ended(
        self: &Arc<Self>,
        id: AllocationId,
        attempt: usize,
        result: AttemptResult,
        reason: Option<ReturnReason>,
        ended_as: Option<v1::ended::EndReason>,
        report: Option<LoadReport>,
    ) {
        self.with(|now, engine, effects| {
            let mut replacement = None;
            if let Some((client, _)) = engine.data_mut(id)
                && ended_as.is_some()
                && client.predecessor.is_some()
            {
                self.cancel_surge(id, SurgeEnd::Failed, engine, effects);
            } else if engine
                .data_mut(id)
                .is_some_and(|(client, _)| ended_as.is_some() && client.superseded)
                && self.promote_surge(id, result == AttemptResult::Cancelled, engine, effects)
            {
                // The client continues with the new replica.
            } else if let (Some(end_reason), Some((client, allocation))) =
                (ended_as, engine.data_mut(id))
            {
                // The node has confirmed that the replica is gone, so a replica of the desired
                // version may be placed.
                if client.stopping_for_rollout
                    && result == AttemptResult::Cancelled
                    && !effects.stopping
                {
                    replacement = effects.replacement_request(client, allocation);
                } else {
                    let completed = result == AttemptResult::Completed;
                    if let Some(successor) = end_client(client, effects, end_reason, completed) {
                        self.cancel_surge(successor, SurgeEnd::Cancelled, engine, effects);
                    }
                }
            }
            engine.attempt_returned(
                now,
                id,
                attempt,
                ReturnedAttempt {
                    result,
                    reason,
                    finished: ended_as.is_some(),
                    report,
                },
                effects,
            );
            if let Some((request, client)) = replacement {
                place_replacement(now, engine, effects, request, client);
            }
        });
    }

    /// Records the version that a replica reports. For a replica that was handed over, this report
    /// is the only source of its version.
    fn version_reported(&self, id: AllocationId, version: String) {
        self.with(|now, engine, effects| {
            let has_changed = |client: &ClientAllocation| {
                client.version != version && client.predecessor.is_none()
            };
            let Some((client, _)) = engine
                .data_mut(id)
                .filter(|(client, _)| has_changed(client))
            else {
                return;
            };
            if let Some(controller) = effects.rollouts.controller(&client.request.service) {
                controller.replica_assigned(now, &client.request.task, &version, false);
            }
            client.version = version;
        });
    }

    /// Records whether a replica reports that it is ready.
    fn readiness_reported(&self, id: AllocationId, ready: bool) {
        self.with(|now, engine, effects| {
            let Some((client, _)) = engine.data_mut(id) else {
                return;
            };
            client.ready_since = if ready {
                client.ready_since.or(Some(now))
            } else {
                None
            };
            match effects.rollouts.controller(&client.request.service) {
                Some(_) if client.surge_cancelled => {}
                Some(controller) if client.predecessor.is_some() => {
                    controller.surge_readiness(now, &client.request.task, ready)
                }
                Some(controller) if ready => controller.replica_ready(now, &client.request.task),
                Some(controller) => drop(controller.replica_unready(now, &client.request.task)),
                None => {}
            }
        });
    }

    fn metric_recorded(&self, id: AllocationId, metric: Metric) {
        self.with(|now, engine, _| {
            engine.record_metric(now, id, metric);
            let Some((client, _)) = engine.data_mut(id) else {
                return;
            };
            match metric {
                Metric::Running => client.send_optional_reply(Reply::Running(v1::Running {})),
                Metric::ServiceLevel(level) => client
                    .send_optional_reply(Reply::ServiceLevel(v1::ServiceLevel { fraction: level })),
                _ => {}
            }
        });
    }

    fn health_check_completed(
        &self,
        machine: MachineId,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        self.with(|now, engine, _| engine.record_health_check(now, machine, result, report));
    }
}

/// Ends an allocation for its client. Returns the new replica that runs beside it, which the caller
/// must cancel.
fn end_client(
    client: &mut ClientAllocation,
    effects: &mut DispatcherEffects,
    reason: v1::ended::EndReason,
    completed: bool,
) -> Option<AllocationId> {
    let reason = if client.migrating && reason == v1::ended::EndReason::Lost {
        v1::ended::EndReason::Moved
    } else {
        reason
    };
    let successor = client.successor.take();
    effects.replica_gone(client, completed);
    client.send_reply(Reply::Ended(v1::Ended {
        reason: reason.into(),
    }));
    client.replies.close();
    successor
}

/// Places a replica of the desired version in place of one that a rollout has stopped.
fn place_replacement(
    now: Ticks,
    engine: &mut Engine<ClientAllocation>,
    effects: &mut DispatcherEffects,
    request: AllocationRequest,
    client: ClientAllocation,
) {
    let (task, current_id) = (client.request.task.clone(), client.current_id.clone());
    match engine.admit(now, &task, request, client) {
        Ok(id) => {
            current_id.set(id);
            engine.place(now, id, effects);
        }
        Err((why, mut client)) => {
            warn!(task, %why, "a replica stopped for a rollout can't be placed again");
            effects.answer(&mut client, Reply::Failed(v1::Failed::default()));
        }
    }
}
