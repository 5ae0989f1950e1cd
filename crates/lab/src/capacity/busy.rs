//! A machine that is full by use: it says so to whoever asks, and takes nothing.

use corkspan_api::v1::{self, said::Said, turned::Why};
use futures_lite::{Stream, stream};
use std::pin::Pin;
use tonic::{Request, Response, Status};

/// What it reports as unused: too little memory for anything to be sent there.
const UNUSED: v1::Load = v1::Load {
    cores: 1.0,
    memory: 4.0,
};

#[derive(Clone)]
pub struct Busy;

type Words = Pin<Box<dyn Stream<Item = Result<v1::Said, Status>> + Send>>;

#[tonic::async_trait]
impl v1::node_server::Node for Busy {
    type OfferStream = Words;
    type AttendStream = Words;

    async fn greet(
        &self,
        request: Request<v1::Greeting>,
    ) -> Result<Response<v1::Greeting>, Status> {
        Ok(Response::new(request.into_inner()))
    }

    async fn offer(&self, _: Request<v1::Shot>) -> Result<Response<Words>, Status> {
        let refused = Said::Refused(v1::Turned {
            why: Why::NoMemory.into(),
            floor: None,
        });
        let said = v1::Said {
            said: Some(refused),
            load: Some(UNUSED),
        };
        Ok(Response::new(Box::pin(stream::once(Ok(said)))))
    }

    async fn attend(&self, _: Request<v1::Shot>) -> Result<Response<Words>, Status> {
        Err(Status::unimplemented("nothing stays here"))
    }

    async fn keep(&self, _: Request<v1::KeepAsk>) -> Result<Response<v1::KeepWord>, Status> {
        Err(Status::unimplemented("no keeper"))
    }

    async fn stop(&self, _: Request<v1::StopAsk>) -> Result<Response<v1::StopWord>, Status> {
        Ok(Response::new(v1::StopWord { was_here: false }))
    }

    async fn probe(&self, _: Request<v1::ProbeAsk>) -> Result<Response<v1::ProbeWord>, Status> {
        Ok(Response::new(v1::ProbeWord { load: Some(UNUSED) }))
    }

    async fn door(&self, _: Request<v1::DoorAsk>) -> Result<Response<v1::DoorWord>, Status> {
        Ok(Response::new(v1::DoorWord::default()))
    }

    async fn acts(&self, _: Request<v1::ActsAsk>) -> Result<Response<v1::ActsWord>, Status> {
        Err(Status::unimplemented("it keeps no record"))
    }
}
