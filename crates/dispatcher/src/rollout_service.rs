//! The rollout service, by which operators start, change and inspect rollouts.

use crate::core::DispatcherCore;
use crate::quorum_client::request_all;
use crate::rollout_control::propose;
use crate::rollout_messages::{rollout_from_message, rollout_message};
use corkspan_api::v1;
use corkspan_api::v1::quorum_request::Operation;
use corkspan_rollout::controller::{ReportedSlot, RolloutController};
use corkspan_rollout::{Order, Phase, Rollout, base_proposal, is_majority};
use std::sync::Arc;
use tonic::{Request, Response, Status};

/// The rollout service of a dispatcher.
#[derive(Clone)]
pub struct RolloutService(pub Arc<DispatcherCore>);

impl RolloutService {
    async fn submit(&self, rollout: Rollout) -> Result<Response<v1::RolloutResponse>, Status> {
        let committed_rollout = propose(&self.0, rollout.clone()).await;
        let is_accepted = committed_rollout.as_ref() == Some(&rollout);
        let text = match &committed_rollout {
            _ if is_accepted => String::new(),
            Some(other) => format!(
                "rejected: rollout {} of {} to {} is committed, requested at the same time or before",
                other.revision, other.service, other.version
            ),
            None => "no majority of the quorum members has accepted it; the committed rollout is not known".into(),
        };
        Ok(Response::new(v1::RolloutResponse {
            accepted: is_accepted,
            message: text,
            current: committed_rollout.as_ref().map(rollout_message),
        }))
    }

    /// Returns the committed rollout as a majority of the quorum members reports it now, rather
    /// than as it was last polled.
    async fn current_rollout(&self, service: &str) -> Result<Option<Rollout>, Status> {
        let members = self.0.deployment().quorum_members.len();
        let replies = request_all(&self.0, Operation::Query(v1::QuorumQuery::default())).await;
        if !is_majority(replies.len(), members) {
            let text = format!(
                "{} of {members} quorum members answered; a majority is needed",
                replies.len()
            );
            return Err(Status::unavailable(text));
        }
        let rollouts = replies
            .iter()
            .flat_map(|reply| &reply.entries)
            .filter_map(|entry| entry.rollout.as_ref().and_then(rollout_from_message));
        let rollouts: Vec<Rollout> = rollouts
            .filter(|rollout| rollout.service == service)
            .collect();
        Ok(base_proposal(&rollouts, members))
    }
}

#[tonic::async_trait]
impl v1::rolls_server::Rolls for RolloutService {
    async fn start(
        &self,
        request: Request<v1::StartRolloutRequest>,
    ) -> Result<Response<v1::RolloutResponse>, Status> {
        let request = request.into_inner();
        let invalid = |why: &str| Err(Status::invalid_argument(why));
        if self.0.deployment().quorum_members.is_empty() {
            return Err(Status::failed_precondition(
                "the deployment names no quorum members: it has no `(keepers …)`",
            ));
        }
        if request.service.is_empty()
            || request.version.is_empty()
            || request.service.len().max(request.version.len()) > 256
        {
            return invalid("service and version: must be 1 to 256 bytes long");
        }
        if !(1..=100_000).contains(&request.max_unavailable) {
            return invalid("unready-most: must be 1 to 100000");
        }
        let max_ms = 24 * 3600 * 1000;
        if !(1..=max_ms).contains(&request.progress_deadline_ms)
            || !(1000..=max_ms).contains(&request.min_ready_ms)
        {
            return invalid("ready-within: must be 1 ms to 1 day; ready-for: must be 1 s to 1 day");
        }
        let current = self.current_rollout(&request.service).await?;
        let previous = match &current {
            Some(base) if request.previous_version.is_empty() => base.desired_version().to_string(),
            _ => request.previous_version,
        };
        let default_version = current.as_ref().map_or_else(
            || previous.clone(),
            |rollout| rollout.initial_version.clone(),
        );
        self.submit(Rollout {
            service: request.service,
            initial_version: default_version,
            revision: current.map_or(1, |rollout| rollout.revision + 1),
            proposer: proposer_nonce(&self.0),
            version: request.version,
            previous_version: previous,
            max_unavailable: request.max_unavailable,
            max_in_progress: request.max_in_progress.max(1),
            order: if request.surge {
                Order::StartFirst
            } else {
                Order::StopFirst
            },
            min_ready: request.min_ready_ms * 10,
            progress_deadline: request.progress_deadline_ms * 10,
            max_failures: request.max_failures,
            phase: Phase::Rolling,
        })
        .await
    }

    async fn maintain(
        &self,
        request: Request<v1::MaintenanceRequest>,
    ) -> Result<Response<v1::MaintenanceResponse>, Status> {
        crate::maintenance::maintain(&self.0, request.into_inner())
            .await
            .map(Response::new)
    }

    async fn change(
        &self,
        request: Request<v1::ChangeRolloutRequest>,
    ) -> Result<Response<v1::RolloutResponse>, Status> {
        let request = request.into_inner();
        let Some(base) = self.current_rollout(&request.service).await? else {
            return Err(Status::not_found(format!(
                "there is no rollout of `{}`",
                request.service
            )));
        };
        let proposer = proposer_nonce(&self.0);
        let proposal = match request.action() {
            v1::change_rollout_request::Action::Pause => base.with_phase(Phase::Paused, proposer),
            v1::change_rollout_request::Action::Resume => base.with_phase(Phase::Rolling, proposer),
            v1::change_rollout_request::Action::Undo if base.previous_version.is_empty() => {
                return Err(Status::failed_precondition(
                    "there is no previous version to roll back to",
                ));
            }
            v1::change_rollout_request::Action::Undo => base.rolled_back(proposer),
            v1::change_rollout_request::Action::Unspecified => {
                return Err(Status::invalid_argument("no action is given"));
            }
        };
        self.submit(proposal).await
    }

    async fn status(
        &self,
        request: Request<v1::RolloutStatusRequest>,
    ) -> Result<Response<v1::RolloutStatus>, Status> {
        let service = request.into_inner().service;
        let members = self.0.deployment().quorum_members.len() as u32;
        Ok(Response::new(self.0.with_rollouts(|_, rollouts| {
            let slots = rollouts.reported_slots.get(&service).into_iter().flatten();
            let slots = slots.map(|ReportedSlot { slot, grant, .. }| v1::Slot {
                slot: *slot,
                claim: grant.claim.0,
                task: grant.task.clone(),
                dispatcher: grant.dispatcher,
            });
            let slots = slots.collect();
            let controller = rollouts.controllers.get(&service);
            let counts = controller
                .map(RolloutController::counts)
                .unwrap_or_default();
            v1::RolloutStatus {
                rollout: controller.map(|controller| rollout_message(controller.rollout())),
                replicas: counts.total as u32,
                updated: counts.desired as u32,
                unavailable: counts.unready as u32,
                held_slots: slots,
                quorum_members: members,
                quorum_members_heard: rollouts.members_heard as u32,
            }
        })))
    }
}

/// Returns a number that distinguishes proposals made at the same time.
fn proposer_nonce(core: &DispatcherCore) -> u64 {
    core.clock.now().rotate_left(24) ^ core.deployment().cluster.scheduler_index as u64
}
