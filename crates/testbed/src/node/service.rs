//! The node's service on the wire.

use super::events::{EventStream, OpenOffer};
use super::offers::{sender, source};
use super::{Node, lock};
use crate::capture::Observation;
use async_io::Timer;
use corkspan_api::v1::attempt_ended::AttemptOutcome;
use corkspan_api::v1::cordon_request::CordonAction;
use corkspan_api::v1::{
    self, attempt_event::Event, attempt_rejected::Rejection, quorum_request::Operation,
};
use corkspan_dispatcher::minimum_version;
use corkspan_maintenance::ClaimId;
use corkspan_version_fencing::operations::{OperationKind, OperationRow};
use std::sync::Arc;
use std::time::Instant;
use tonic::{Request, Response, Status};

/// The gRPC service of one node.
pub(super) struct Service(pub Arc<Node>);

impl Clone for Service {
    fn clone(&self) -> Self {
        Service(Arc::clone(&self.0))
    }
}

#[tonic::async_trait]
impl v1::node_server::Node for Service {
    type OfferStream = EventStream;
    type AttendStream = EventStream;

    async fn greet(&self, _: Request<v1::Greeting>) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(v1::Greeting {
            node: self.0.config.id,
            dispatcher: 0,
        }))
    }

    async fn offer(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<EventStream>, Status> {
        let (node, request) = (Arc::clone(&self.0), request.into_inner());
        let (events, stream) = EventStream::new(Some(OpenOffer {
            node: Arc::clone(&node),
            placement_id: request.placement_id.clone(),
            number: request.attempt,
        }));
        if let Some(incarnation) = node.receive_offer(&request) {
            let tasks = Arc::clone(&node.context.tasks);
            tasks
                .spawn(node.review_offer(incarnation, request, events))
                .detach();
        }
        Ok(Response::new(stream))
    }

    async fn attend(
        &self,
        request: Request<v1::AttemptRequest>,
    ) -> Result<Response<EventStream>, Status> {
        Ok(Response::new(self.0.attend(&request.into_inner())))
    }

    async fn keep(
        &self,
        request: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        let request = request.into_inner();
        if let Some(Operation::Claim(claim)) = &request.operation {
            let dispatcher = claim.slot.as_ref().map_or(u32::MAX, |slot| slot.dispatcher);
            self.0.operations().record(
                source(claim.decider.as_ref(), dispatcher),
                OperationKind::Claim,
            );
        }
        let reply = lock(&self.0.quorum_state).handle(request)?;
        Ok(Response::new(reply))
    }

    async fn door(
        &self,
        request: Request<v1::CordonRequest>,
    ) -> Result<Response<v1::CordonResponse>, Status> {
        Ok(Response::new(self.0.change_cordon(&request.into_inner())))
    }

    async fn acts(
        &self,
        _: Request<v1::OperationsRequest>,
    ) -> Result<Response<v1::OperationsResponse>, Status> {
        let (operations, minimum) = (self.0.operations().clone(), self.0.fence().minimum());
        Ok(Response::new(v1::OperationsResponse {
            node: self.0.config.id,
            operations: operations.rows().map(operation_message).collect(),
            omitted: operations.uncounted(),
            minimum_version: minimum.map(minimum_version::minimum_version_message),
        }))
    }

    async fn stop(
        &self,
        request: Request<v1::StopRequest>,
    ) -> Result<Response<v1::StopResponse>, Status> {
        let was_present = self.0.stop(&request.into_inner());
        Ok(Response::new(v1::StopResponse { was_present }))
    }

    async fn probe(
        &self,
        _: Request<v1::HealthCheckRequest>,
    ) -> Result<Response<v1::HealthCheckResponse>, Status> {
        let node = &self.0;
        node.context.capture.record(Observation::HealthChecked {
            node: node.config.id,
        });
        let incarnation = node.state().incarnation;
        {
            let _turn = node.review.lock().await;
            Timer::after(node.config.review_time / 8).await;
        }
        if !node.wait_while_stalled(incarnation).await {
            return Err(Status::unavailable("gone"));
        }
        let load = node.load_report(&mut node.state());
        Ok(Response::new(v1::HealthCheckResponse {
            load_report: Some(load),
        }))
    }
}

impl Node {
    /// The events of an allocation that is here, from its present state on; rejected where it is
    /// not.
    fn attend(&self, request: &v1::AttemptRequest) -> EventStream {
        self.operations()
            .record(sender(request), OperationKind::Attend);
        let (events, stream) = EventStream::new(None);
        let mut state = self.state();
        let Some(allocation) = state.allocations.get_mut(&request.placement_id) else {
            let rejected = v1::AttemptRejected {
                reason: Rejection::NotPresent.into(),
                minimum_version: None,
            };
            let _ = events.try_send(v1::AttemptEvent {
                event: Some(Event::Rejected(rejected)),
                load_report: None,
            });
            events.close();
            return stream;
        };
        allocation.events = events.clone();
        let (is_running, is_ready) = (allocation.is_running, allocation.is_ready);
        let request = allocation.request.clone();
        if is_running {
            let version = request.version.clone();
            let running = Event::Running(v1::Started { version });
            self.notify(&mut state, &request, &events, running);
        }
        if is_ready {
            self.notify(&mut state, &request, &events, Event::Ready(true));
        }
        stream
    }

    /// Cordons or uncordons the machine, or stops what runs there, for one claim.
    fn change_cordon(&self, request: &v1::CordonRequest) -> v1::CordonResponse {
        let claim = ClaimId(request.claim);
        let mut state = self.state();
        let mut own = self.cordon();
        let before = own.cordon.active();
        match request.action() {
            CordonAction::Get => {}
            CordonAction::Cordon => {
                own.cordon.cordon(claim);
            }
            CordonAction::Uncordon => own.cordon.uncordon(claim),
            CordonAction::Stop if before == Some(claim) => {
                let placings: Vec<String> = state.allocations.keys().cloned().collect();
                for placement_id in &placings {
                    self.end(&mut state, placement_id, AttemptOutcome::Drained);
                }
            }
            CordonAction::Stop => {}
        }
        let active = own.cordon.active();
        if before != active {
            own.changed_at = Instant::now();
            self.context.capture.record(Observation::Cordon {
                node: self.config.id,
                closed: active.is_some(),
            });
        }
        v1::CordonResponse {
            cordoned_for: active.map_or(0, |claim| claim.0),
            claim_ended: own.cordon.is_finished(claim),
            // An offer that waits for review may still be accepted.
            running: (state.allocations.len() + state.queued) as u32,
            since_ms: own.changed_at.elapsed().as_millis() as u64,
        }
    }

    /// Stops one allocation, or all of a task but one. Whether the one named was here.
    fn stop(&self, request: &v1::StopRequest) -> bool {
        let (kind, how) = if request.migrated {
            (OperationKind::Migrate, AttemptOutcome::Migrated)
        } else {
            (OperationKind::Stop, AttemptOutcome::Stopped)
        };
        // The request alone says who acts: an older dispatcher reports nothing.
        self.operations()
            .record(source(request.decider.as_ref(), u32::MAX), kind);
        let mut state = self.state();
        let was_here = state.allocations.contains_key(&request.placement_id);
        self.end(&mut state, &request.placement_id, how);
        if request.placement_id.is_empty() && !request.except_placement_id.is_empty() {
            let others = state
                .allocations
                .iter()
                .filter(|(placement_id, allocation)| {
                    allocation.request.task == request.task
                        && **placement_id != request.except_placement_id
                });
            let others: Vec<String> = others
                .map(|(placement_id, _)| placement_id.clone())
                .collect();
            for placement_id in &others {
                self.end(&mut state, placement_id, how);
            }
        }
        was_here
    }
}

fn operation_message(row: OperationRow) -> v1::OperationRecord {
    let kind = match row.kind {
        OperationKind::Attempt => v1::operation_record::Kind::Attempt,
        OperationKind::Attend => v1::operation_record::Kind::Attend,
        OperationKind::Stop => v1::operation_record::Kind::Stop,
        OperationKind::Migrate => v1::operation_record::Kind::Migrate,
        OperationKind::Claim => v1::operation_record::Kind::Claim,
    };
    v1::OperationRecord {
        dispatcher: row.source.dispatcher,
        incarnation: row.source.incarnation,
        version: row.source.version,
        kind: kind.into(),
        count: row.count.seen,
        fenced: row.count.rejected,
    }
}
