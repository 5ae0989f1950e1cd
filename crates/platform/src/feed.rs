//! Follows the control feed. When to ask it again is the decisions' affair; where to, the posting's.

use crate::desk::Desk;
use async_net::TcpStream;
use bytes::Bytes;
use corkspan_platform_wire::Garbled;
use corkspan_platform_wire::feed::{Reader, Told};
use corkspan_runtime::within;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty};
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, info};

/// A comment comes every second: two that fail to come tell a feed that has stopped while its connection stays.
const SILENT: Duration = Duration::from_millis(2_200);
const CONNECT_WITHIN: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("no connection to {0}")]
    NoConnection(SocketAddr),
    #[error("silent for {SILENT:?}")]
    Silent,
    #[error("the stream has ended")]
    Ended,
    #[error("event {1} came after event {0}")]
    Gap(u64, u64),
    #[error("status {0}")]
    Status(http::StatusCode),
    #[error(transparent)]
    Garbled(#[from] Garbled),
    #[error("no HTTP: {0}")]
    NotHttp(#[from] hyper::Error),
    #[error("no request: {0}")]
    Request(#[from] http::Error),
}

/// Follows the feed whenever it is asked for, and at once at a new address.
pub async fn run(
    desk: Arc<Desk>,
    mut feed: SocketAddr,
    asked: async_channel::Receiver<()>,
    moved: async_channel::Receiver<SocketAddr>,
) {
    loop {
        let asks = async { asked.recv().await.ok().map(|()| None) };
        let moves = async { moved.recv().await.ok().map(Some) };
        match asks.or(moves).await {
            None => return,
            Some(to) => feed = to.unwrap_or(feed),
        }
        loop {
            let followed = async {
                match follow(&desk, feed).await {
                    Err(why) => Err(why),
                    Ok(never) => match never {},
                }
            };
            let moves = async {
                match moved.recv().await {
                    Ok(to) => Ok(to),
                    Err(_) => Err(Broken::Ended),
                }
            };
            match moves.or(followed).await {
                Ok(to) => {
                    info!(%to, "the control feed has moved");
                    feed = to;
                }
                Err(why) => {
                    debug!(%why, "the control feed broke off");
                    desk.list_failed();
                    break;
                }
            }
        }
    }
}

async fn follow(desk: &Arc<Desk>, feed: SocketAddr) -> Result<Infallible, Broken> {
    let stream = within(CONNECT_WITHIN, TcpStream::connect(feed)).await;
    let stream = stream.and_then(Result::ok).ok_or(Broken::NoConnection(feed))?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
    let told = async {
        let request = http::Request::get("/v1/events")
            .header("Host", feed.to_string())
            .header("Accept", "text/event-stream")
            .header("Last-Event-ID", desk.last_event().to_string())
            .body(Empty::<Bytes>::new())?;
        let response = within(SILENT, sender.send_request(request)).await.ok_or(Broken::Silent)??;
        if response.status() != http::StatusCode::OK {
            return Err(Broken::Status(response.status()));
        }
        desk.watched();
        let (mut body, mut reader, mut first) = (response.into_body(), Reader::default(), true);
        loop {
            let frame = within(SILENT, body.frame()).await.ok_or(Broken::Silent)?.ok_or(Broken::Ended)??;
            reader.push(frame.data_ref().map_or(&[][..], |bytes| bytes));
            while let Some(told) = reader.told()? {
                if let Told::Event(event) = told {
                    let (last, n) = (desk.last_event(), event.n);
                    // What is missing between them is told after another call. If it is missing there too, the
                    // feed has no more to tell of it.
                    if n > last + 1 && !std::mem::take(&mut first) {
                        return Err(Broken::Gap(last, n));
                    }
                    first = false;
                    desk.told(event);
                }
            }
        }
    };
    let carried = async {
        let ended = connection.await;
        // What it has read is told first: the other side sees the end of the body by itself.
        futures_lite::future::pending::<()>().await;
        drop(ended);
        Err(Broken::Ended)
    };
    told.or(carried).await
}
