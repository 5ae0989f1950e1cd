//! The placement service, which passes the requests of clients to the core.

use crate::core::{DispatcherCore, OpenCall};
use corkspan_api::v1::{self, placement_server::Placement};
use futures_lite::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::{Request, Response, Status};

#[derive(Clone)]
pub struct PlacementService(pub Arc<DispatcherCore>);

/// The stream of replies to one client. The core is notified when the stream ends, on either side.
pub struct ReplyStream {
    replies: Pin<Box<async_channel::Receiver<v1::PlacementEvent>>>,
    id: Option<crate::core::CurrentAllocation>,
    core: Arc<DispatcherCore>,
    _open_guard: Arc<()>,
}

impl ReplyStream {
    fn new(call: OpenCall, core: &Arc<DispatcherCore>) -> Response<Self> {
        let OpenCall {
            replies,
            id,
            open_guard,
        } = call;
        Response::new(ReplyStream {
            replies: Box::pin(replies),
            id,
            core: Arc::clone(core),
            _open_guard: open_guard,
        })
    }
}

impl Stream for ReplyStream {
    type Item = Result<v1::PlacementEvent, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.replies
            .as_mut()
            .poll_next(cx)
            .map(|event| event.map(Ok))
    }
}

impl Drop for ReplyStream {
    fn drop(&mut self) {
        if let Some(id) = &self.id {
            self.core.call_ended(id.get());
        }
    }
}

#[tonic::async_trait]
impl Placement for PlacementService {
    type PlaceStream = ReplyStream;
    type HandOverStream = ReplyStream;

    async fn place(
        &self,
        request: Request<v1::PlacementRequest>,
    ) -> Result<Response<ReplyStream>, Status> {
        let call_deadline = deadline(request.metadata())?;
        Ok(ReplyStream::new(
            self.0.place(request.into_inner(), call_deadline),
            &self.0,
        ))
    }

    async fn hand_over(
        &self,
        request: Request<v1::HandOverRequest>,
    ) -> Result<Response<ReplyStream>, Status> {
        Ok(ReplyStream::new(
            self.0.hand_over(request.into_inner()),
            &self.0,
        ))
    }

    async fn status(
        &self,
        _: Request<v1::StatusRequest>,
    ) -> Result<Response<v1::StatusResponse>, Status> {
        Ok(Response::new(self.0.status()))
    }
}

/// Returns the deadline of the call: up to eight digits and a unit, as the gRPC protocol defines.
fn deadline(metadata: &tonic::metadata::MetadataMap) -> Result<Option<Duration>, Status> {
    let Some(value) = metadata.get("grpc-timeout") else {
        return Ok(None);
    };
    let invalid = || Status::invalid_argument("grpc-timeout is not a valid timeout");
    let text = value.to_str().map_err(|_| invalid())?;
    let (digits, unit) = text
        .split_at_checked(text.len().saturating_sub(1))
        .ok_or_else(invalid)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(invalid());
    }
    let number: u64 = digits.parse().map_err(|_| invalid())?;
    Ok(Some(match unit {
        "H" => Duration::from_secs(number * 3600),
        "M" => Duration::from_secs(number * 60),
        "S" => Duration::from_secs(number),
        "m" => Duration::from_millis(number),
        "u" => Duration::from_micros(number),
        "n" => Duration::from_nanos(number),
        _ => return Err(invalid()),
    }))
}
