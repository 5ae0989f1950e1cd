//! A node whose resources are all in use: it reports this and rejects each attempt.

use corkspan_api::v1::{self, attempt_event::Event, attempt_rejected::Rejection};
use futures_lite::{Stream, stream};
use std::pin::Pin;
use tonic::{Request, Response, Status};

/// The reported available resources: too little memory for any attempt to be sent.
const AVAILABLE: v1::LoadReport = v1::LoadReport {
    cores: 1.0,
    memory: 4.0,
};

/// A stand-in of a node whose resources are all in use.
#[derive(Clone)]
pub struct FullNode;

type EventStream = Pin<Box<dyn Stream<Item = Result<v1::AttemptEvent, Status>> + Send>>;

#[tonic::async_trait]
impl v1::node_server::Node for FullNode {
    type OfferStream = EventStream;
    type AttendStream = EventStream;

    async fn greet(
        &self,
        request: Request<v1::Greeting>,
    ) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(request.into_inner()))
    }

    async fn offer(&self, _: Request<v1::AttemptRequest>) -> Result<Response<EventStream>, Status> {
        let rejected = Event::Rejected(v1::AttemptRejected {
            reason: Rejection::NoMemory.into(),
            minimum_version: None,
        });
        let event = v1::AttemptEvent {
            event: Some(rejected),
            load_report: Some(AVAILABLE),
        };
        Ok(Response::new(Box::pin(stream::once(Ok(event)))))
    }

    async fn attend(
        &self,
        _: Request<v1::AttemptRequest>,
    ) -> Result<Response<EventStream>, Status> {
        Err(Status::unimplemented("this node keeps no running tasks"))
    }

    async fn keep(
        &self,
        _: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        Err(Status::unimplemented("this node is not a quorum member"))
    }

    async fn stop(
        &self,
        _: Request<v1::StopRequest>,
    ) -> Result<Response<v1::StopResponse>, Status> {
        Ok(Response::new(v1::StopResponse { was_present: false }))
    }

    async fn probe(
        &self,
        _: Request<v1::HealthCheckRequest>,
    ) -> Result<Response<v1::HealthCheckResponse>, Status> {
        Ok(Response::new(v1::HealthCheckResponse {
            load_report: Some(AVAILABLE),
        }))
    }

    async fn door(
        &self,
        _: Request<v1::CordonRequest>,
    ) -> Result<Response<v1::CordonResponse>, Status> {
        Ok(Response::new(v1::CordonResponse::default()))
    }

    async fn acts(
        &self,
        _: Request<v1::OperationsRequest>,
    ) -> Result<Response<v1::OperationsResponse>, Status> {
        Err(Status::unimplemented(
            "this node keeps no record of operations",
        ))
    }
}
