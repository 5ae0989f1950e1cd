//! A machine that is full by use: it says so to whoever asks, and takes nothing.

use corkspan_api::v1::{self, attempt_event::Event, attempt_rejected::Rejection};
use futures_lite::{Stream, stream};
use std::pin::Pin;
use tonic::{Request, Response, Status};

/// What it reports as unused: too little memory for anything to be sent there.
const UNUSED: v1::LoadReport = v1::LoadReport {
    cores: 1.0,
    memory: 4.0,
};

#[derive(Clone)]
pub struct FullNode;

type Words = Pin<Box<dyn Stream<Item = Result<v1::AttemptEvent, Status>> + Send>>;

#[tonic::async_trait]
impl v1::node_server::Node for FullNode {
    type OfferStream = Words;
    type AttendStream = Words;

    async fn greet(
        &self,
        request: Request<v1::Greeting>,
    ) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(request.into_inner()))
    }

    async fn offer(&self, _: Request<v1::AttemptRequest>) -> Result<Response<Words>, Status> {
        let refused = Event::Rejected(v1::AttemptRejected {
            reason: Rejection::NoMemory.into(),
            minimum_version: None,
        });
        let said = v1::AttemptEvent {
            event: Some(refused),
            load_report: Some(UNUSED),
        };
        Ok(Response::new(Box::pin(stream::once(Ok(said)))))
    }

    async fn attend(&self, _: Request<v1::AttemptRequest>) -> Result<Response<Words>, Status> {
        Err(Status::unimplemented("nothing stays here"))
    }

    async fn keep(
        &self,
        _: Request<v1::QuorumRequest>,
    ) -> Result<Response<v1::QuorumResponse>, Status> {
        Err(Status::unimplemented("no keeper"))
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
            load_report: Some(UNUSED),
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
        Err(Status::unimplemented("it keeps no record"))
    }
}
