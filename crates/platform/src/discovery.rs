//! Follows the control feed, whose address is in the configuration file. The scheduler decides when
//! to reconnect.

use crate::handle::PlatformHandle;
use crate::passing_errors::connect;
use bytes::Bytes;
use corkspan_platform_wire::ProtocolError;
use corkspan_platform_wire::discovery::{FeedItem, Reader};
use corkspan_runtime::within;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::SendRequest;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{debug, info};

/// Time without a complete item after which the feed counts as stopped, although its connection is
/// still open. A comment arrives every second, so one is then late by more than half a second. An
/// event counts as missed 4 s after the feed stopped, and the next connection must be established
/// by then; the scheduler requests it within 1.5 s of the break.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_600);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, thiserror::Error)]
enum DiscoveryError {
    #[error("can't connect to {0}")]
    NoConnection(SocketAddr),
    #[error("nothing received for {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("the stream has ended")]
    Ended,
    #[error("event {1} was received after event {0}, so events are missing")]
    Gap(u64, u64),
    #[error("HTTP status {0}")]
    Status(http::StatusCode),
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    #[error("HTTP error: {0}")]
    Http(#[from] hyper::Error),
    #[error("can't build the request: {0}")]
    Request(#[from] http::Error),
}

/// Connects when requested, and immediately when the feed's address changes.
pub async fn run(
    handle: Arc<PlatformHandle>,
    mut feed_address: SocketAddr,
    requests: async_channel::Receiver<()>,
    new_addresses: async_channel::Receiver<SocketAddr>,
) {
    loop {
        let requested = async { requests.recv().await.ok().map(|()| None) };
        let address_changed = async { new_addresses.recv().await.ok().map(Some) };
        match requested.or(address_changed).await {
            None => return,
            Some(to) => feed_address = to.unwrap_or(feed_address),
        }
        loop {
            let followed = async {
                match follow(&handle, feed_address).await {
                    Err(error) => Err(error),
                    Ok(never) => match never {},
                }
            };
            let address_changed = async {
                match new_addresses.recv().await {
                    Ok(to) => Ok(to),
                    Err(_) => Err(DiscoveryError::Ended),
                }
            };
            match address_changed.or(followed).await {
                Ok(to) => {
                    info!(%to, "the address of the control feed has changed");
                    feed_address = to;
                }
                Err(error) => {
                    debug!(%error, "the connection to the control feed has ended");
                    handle.endpoint_watch_failed();
                    break;
                }
            }
        }
    }
}

/// Connects and applies events until the connection breaks.
async fn follow(
    handle: &PlatformHandle,
    feed_address: SocketAddr,
) -> Result<Infallible, DiscoveryError> {
    let mut passing_error = None;
    let connecting = connect(feed_address, &mut passing_error);
    let stream = within(CONNECT_TIMEOUT, connecting).await;
    let stream = stream
        .and_then(Result::ok)
        .ok_or(DiscoveryError::NoConnection(feed_address))?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(FuturesIo::new(stream)).await?;
    let connection_ended = async {
        let ended = connection.await;
        // Input that was already read is handled first: `watch` detects the end of the body itself.
        futures_lite::future::pending::<()>().await;
        drop(ended);
        Err(DiscoveryError::Ended)
    };
    watch(handle, feed_address, sender)
        .or(connection_ended)
        .await
}

/// Requests the events after the last known one and applies them as they arrive.
async fn watch(
    handle: &PlatformHandle,
    feed_address: SocketAddr,
    mut sender: SendRequest<Empty<Bytes>>,
) -> Result<Infallible, DiscoveryError> {
    let request = http::Request::get("/v1/events")
        .header("Host", feed_address.to_string())
        .header("Accept", "text/event-stream")
        .header("Last-Event-ID", handle.last_event().to_string())
        .body(Empty::<Bytes>::new())?;
    let response = within(SILENCE_TIMEOUT, sender.send_request(request))
        .await
        .ok_or(DiscoveryError::Silent)??;
    if response.status() != http::StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    handle.discovery_connected();
    let (mut body, mut reader, mut first) = (response.into_body(), Reader::default(), true);
    let mut last_item_at = Instant::now();
    loop {
        // Counted from the last complete item: bytes that complete no item also count as silence.
        let time_left = SILENCE_TIMEOUT.saturating_sub(last_item_at.elapsed());
        let frame = within(time_left, body.frame())
            .await
            .ok_or(DiscoveryError::Silent)?
            .ok_or(DiscoveryError::Ended)??;
        reader.push(frame.data_ref().map_or(&[][..], |bytes| bytes));
        while let Some(item) = reader.next_item()? {
            last_item_at = Instant::now();
            if let FeedItem::Event(event) = item {
                let (last, number) = (handle.last_event(), event.number);
                // Missing events are sent on a new connection. If they are missing there too, the
                // feed no longer has them, so a gap before the first event is accepted.
                if number > last + 1 && !std::mem::take(&mut first) {
                    return Err(DiscoveryError::Gap(last, number));
                }
                first = false;
                handle.apply_event(event);
            }
        }
    }
}
