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
    async fn submit(&self, roll: Rollout) -> Result<Response<v1::RolloutResponse>, Status> {
        let stands = propose(&self.0, roll.clone()).await;
        let taken = stands.as_ref() == Some(&roll);
        let text = match &stands {
            _ if taken => String::new(),
            Some(other) => format!(
                "rejected: rollout {} of {} to {} is committed, requested at the same time or before",
                other.revision, other.service, other.version
            ),
            None => "no majority of the quorum members has accepted it; the committed rollout is not known".into(),
        };
        Ok(Response::new(v1::RolloutResponse {
            accepted: taken,
            message: text,
            current: stands.as_ref().map(rollout_message),
        }))
    }

    /// Returns the committed rollout as a majority of the quorum members reports it now, rather
    /// than as it was last polled.
    async fn current_rollout(&self, service: &str) -> Result<Option<Rollout>, Status> {
        let keepers = self.0.deployment().quorum_members.len();
        let told = request_all(&self.0, Operation::Query(v1::QuorumQuery::default())).await;
        if !is_majority(told.len(), keepers) {
            let text = format!(
                "{} of {keepers} quorum members answered; a majority is needed",
                told.len()
            );
            return Err(Status::unavailable(text));
        }
        let rolls = told
            .iter()
            .flat_map(|word| &word.entries)
            .filter_map(|kept| kept.rollout.as_ref().and_then(rollout_from_message));
        let rolls: Vec<Rollout> = rolls.filter(|roll| roll.service == service).collect();
        Ok(base_proposal(&rolls, keepers))
    }
}

#[tonic::async_trait]
impl v1::rolls_server::Rolls for RolloutService {
    async fn start(
        &self,
        request: Request<v1::StartRolloutRequest>,
    ) -> Result<Response<v1::RolloutResponse>, Status> {
        let request = request.into_inner();
        let wrong = |why: &str| Err(Status::invalid_argument(why));
        if self.0.deployment().quorum_members.is_empty() {
            return Err(Status::failed_precondition(
                "the deployment names no quorum members: it has no `(keepers …)`",
            ));
        }
        if request.service.is_empty()
            || request.version.is_empty()
            || request.service.len().max(request.version.len()) > 256
        {
            return wrong("service and version: must be 1 to 256 bytes long");
        }
        if !(1..=100_000).contains(&request.max_unavailable) {
            return wrong("unready-most: must be 1 to 100000");
        }
        let most_ms = 24 * 3600 * 1000;
        if !(1..=most_ms).contains(&request.progress_deadline_ms)
            || !(1000..=most_ms).contains(&request.min_ready_ms)
        {
            return wrong("ready-within: must be 1 ms to 1 day; ready-for: must be 1 s to 1 day");
        }
        let before = self.current_rollout(&request.service).await?;
        let former = match &before {
            Some(roll) if request.previous_version.is_empty() => roll.desired_version().to_string(),
            _ => request.previous_version,
        };
        let unversioned = before
            .as_ref()
            .map_or_else(|| former.clone(), |roll| roll.initial_version.clone());
        self.submit(Rollout {
            service: request.service,
            initial_version: unversioned,
            revision: before.map_or(1, |roll| roll.revision + 1),
            proposer: proposer_nonce(&self.0),
            version: request.version,
            previous_version: former,
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
        let Some(roll) = self.current_rollout(&request.service).await? else {
            return Err(Status::not_found(format!(
                "there is no rollout of `{}`",
                request.service
            )));
        };
        let proposer = proposer_nonce(&self.0);
        let wish = match request.action() {
            v1::change_rollout_request::Action::Pause => roll.with_phase(Phase::Paused, proposer),
            v1::change_rollout_request::Action::Resume => roll.with_phase(Phase::Rolling, proposer),
            v1::change_rollout_request::Action::Undo if roll.previous_version.is_empty() => {
                return Err(Status::failed_precondition(
                    "there is no previous version to roll back to",
                ));
            }
            v1::change_rollout_request::Action::Undo => roll.rolled_back(proposer),
            v1::change_rollout_request::Action::Unspecified => {
                return Err(Status::invalid_argument("no action is given"));
            }
        };
        self.submit(wish).await
    }

    async fn status(
        &self,
        request: Request<v1::RolloutStatusRequest>,
    ) -> Result<Response<v1::RolloutStatus>, Status> {
        let service = request.into_inner().service;
        let keepers = self.0.deployment().quorum_members.len() as u32;
        Ok(Response::new(self.0.with_rollouts(|_, rollouts| {
            let held = rollouts.reported_slots.get(&service).into_iter().flatten();
            let held = held.map(|ReportedSlot { slot, grant, .. }| v1::Slot {
                slot: *slot,
                claim: grant.claim.0,
                task: grant.task.clone(),
                dispatcher: grant.dispatcher,
            });
            let held = held.collect();
            let controller = rollouts.controllers.get(&service);
            let counts = controller
                .map(RolloutController::counts)
                .unwrap_or_default();
            v1::RolloutStatus {
                rollout: controller.map(|controller| rollout_message(controller.rollout())),
                replicas: counts.total as u32,
                updated: counts.desired as u32,
                unavailable: counts.unready as u32,
                held_slots: held,
                quorum_members: keepers,
                quorum_members_heard: rollouts.members_heard as u32,
            }
        })))
    }
}

/// Returns a number that distinguishes proposals made at the same time.
fn proposer_nonce(core: &DispatcherCore) -> u64 {
    core.clock.now().rotate_left(24) ^ core.deployment().cluster.scheduler_index as u64
}
