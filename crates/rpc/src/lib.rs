//! gRPC over smol: HTTP/2 connections for tonic's clients and services, without a tokio runtime.
//! Every size and time is limited by the caller's [`Bounds`]; what a broken connection
//! means is for the caller to decide.

#![warn(missing_docs, clippy::too_many_lines)]

mod counts;

use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::future::{self, FutureExt};
use http_body::Body as _;
use hyper::client::conn::http2 as client;
use hyper_util::service::TowerToHyperService;
use prometheus_client::metrics::counter::Counter;
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use std::convert::Infallible;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tonic::body::Body;
use tower_service::Service;

pub use corkspan_runtime::{SharedExecutor, Within, within};
pub use counts::{Counted, Meter, Sorts};
use counts::{Socket, Tap};

/// Why no connection was established. Nothing was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum NoLink {
    /// It took too long.
    #[error("no connection within {0:?}")]
    TimedOut(Duration),
    /// TCP failed.
    #[error("no connection: {0}")]
    Refused(std::io::Error),
    /// The HTTP/2 handshake failed.
    #[error("no HTTP/2 on the connection: {0}")]
    NotHttp(hyper::Error),
}

/// Limits of a connection, at either end.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// From the first packet to the end of the HTTP/2 handshake.
    pub connect_within: Duration,
    /// A connection with calls on it that is silent for this long is pinged, and closed after as
    /// long again without a reply.
    pub keep_alive: Duration,
    /// Concurrent calls that a server allows on each connection.
    pub calls: u32,
    /// Concurrent connections that a server accepts; further ones are closed at once.
    pub links: usize,
    /// The largest message, in bytes.
    pub message: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            connect_within: Duration::from_millis(250),
            keep_alive: Duration::from_secs(10),
            calls: 10_000,
            links: 4_096,
            message: 64 * 1024,
        }
    }
}

impl Bounds {
    /// The flow-control window of a connection. The HTTP/2 library closes a connection on which more
    /// small frames wait than half of the window holds, at 256 bytes each: with the default window
    /// a burst of some hundred requests, or as many events while this process is stalled, would end
    /// every call on it. So the window holds one such frame a call.
    fn window(&self) -> u32 {
        self.calls.saturating_mul(512).clamp(64 * 1024, 64 << 20)
    }
}

/// One connection to a server, for a generated client; clones share it.
#[derive(Clone)]
pub struct Link {
    to: SocketAddr,
    sender: client::SendRequest<Counted<Body>>,
    meter: Option<Meter>,
}

impl Link {
    /// Opens a connection. Dropping all clones, and the bodies of calls on it, closes it.
    ///
    /// # Errors
    ///
    /// It could not be established in time.
    pub async fn open(
        tasks: &SharedExecutor,
        to: SocketAddr,
        limits: &Bounds,
    ) -> Result<Link, NoLink> {
        Link::open_with(tasks, to, limits, None).await
    }

    /// As [`Link::open`], with its traffic counted.
    ///
    /// # Errors
    ///
    /// As [`Link::open`].
    pub async fn open_counted(
        tasks: &SharedExecutor,
        to: SocketAddr,
        limits: &Bounds,
        meter: &Meter,
    ) -> Result<Link, NoLink> {
        Link::open_with(tasks, to, limits, Some(meter)).await
    }

    async fn open_with(
        tasks: &SharedExecutor,
        to: SocketAddr,
        limits: &Bounds,
        meter: Option<&Meter>,
    ) -> Result<Link, NoLink> {
        let opened = async {
            let stream = TcpStream::connect(to).await.map_err(NoLink::Refused)?;
            stream.set_nodelay(true).map_err(NoLink::Refused)?;
            let mut builder = client::Builder::new(SmolExecutor::new(Arc::clone(tasks)));
            builder
                .timer(SmolTimer::new())
                .keep_alive_interval(limits.keep_alive)
                .keep_alive_timeout(limits.keep_alive)
                .keep_alive_while_idle(false)
                .initial_max_send_streams(limits.calls as usize)
                .initial_connection_window_size(limits.window())
                .max_header_list_size(16 * 1024);
            let socket = Socket {
                stream,
                tap: meter.map(Tap::with_meter),
            };
            builder
                .handshake(FuturesIo::new(socket))
                .await
                .map_err(NoLink::NotHttp)
        };
        let (sender, connection) = within(limits.connect_within, opened)
            .await
            .unwrap_or(Err(NoLink::TimedOut(limits.connect_within)))?;
        tasks.spawn(async move { drop(connection.await) }).detach();
        Ok(Link {
            to,
            sender,
            meter: meter.cloned(),
        })
    }

    /// Whether calls can still be sent on it.
    pub fn stands(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Service<http::Request<Body>> for Link {
    type Response = http::Response<Counted<hyper::body::Incoming>>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, mut request: http::Request<Body>) -> Self::Future {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        match format!("http://{}{path}", self.to).parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(_) => unreachable!("an address and a path make a URI"),
        }
        let counter =
            |which: fn(&Meter) -> &Counter| self.meter.as_ref().map(|meter| which(meter).clone());
        let (sent, received) = (
            counter(|meter| &meter.messages_out),
            counter(|meter| &meter.messages_in),
        );
        let response = self
            .sender
            .send_request(request.map(|body| Counted::new(body, sent)));
        Box::pin(async move { Ok(response.await?.map(|body| Counted::new(body, received))) })
    }
}

/// Serves a tonic service on a listener until the future is dropped, which closes its connections.
/// Returns only the error that made the listener unusable.
pub async fn serve<S>(listener: TcpListener, service: S, limits: Bounds) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    serve_to(|_| true, None, listener, service, limits).await
}

/// As [`serve`], for peers whose addresses are admitted; connections of others are closed unread.
/// Traffic is counted where a selector chooses the meter of a connection.
pub async fn serve_to<S>(
    admits: impl Fn(IpAddr) -> bool,
    select_meter: Option<Sorts>,
    listener: TcpListener,
    service: S,
    limits: Bounds,
) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    // Connections run in an executor of their own, so that they end with their listener.
    let own: SharedExecutor = Arc::new(Executor::new());
    let links = Arc::new(AtomicUsize::new(0));
    let accept = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, peer)) if admits(peer.ip()) => stream,
                Ok(_) => continue,
                // Out of file descriptors, or the peer was gone before it was accepted: the listener
                // itself is usable.
                Err(why)
                    if why.raw_os_error() == Some(24)
                        || why.kind() == std::io::ErrorKind::ConnectionAborted =>
                {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
                Err(why) => return why,
            };
            if links.load(Ordering::Relaxed) >= limits.links {
                continue;
            }
            links.fetch_add(1, Ordering::Relaxed);
            let (service, links, limits) = (service.clone(), Arc::clone(&links), limits.clone());
            let tasks = ConnectionExecutor(Arc::downgrade(&own));
            let tap = select_meter.as_ref().map(Tap::with_selector);
            own.spawn(async move {
                serve_connection(tasks, Socket { stream, tap }, service, limits).await;
                links.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    };
    accept.or(own.run(future::pending())).await
}

/// Spawns the tasks of a connection into its listener's executor. Weak: tasks that kept their
/// executor alive would keep their sockets open after the listener is gone.
#[derive(Clone)]
struct ConnectionExecutor(Weak<Executor<'static>>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for ConnectionExecutor {
    fn execute(&self, task: F) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

async fn serve_connection<S>(tasks: ConnectionExecutor, socket: Socket, service: S, limits: Bounds)
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + 'static,
    S::Future: Send + 'static,
{
    if socket.stream.set_nodelay(true).is_err() {
        return;
    }
    let service = BodyAdapter {
        inner: service,
        max_message_bytes: limits.message,
        tap: socket.tap.clone(),
    };
    let mut builder = hyper::server::conn::http2::Builder::new(tasks);
    builder
        .timer(SmolTimer::new())
        .max_concurrent_streams(limits.calls)
        .initial_connection_window_size(limits.window())
        .max_header_list_size(16 * 1024)
        .max_send_buf_size(64 * 1024)
        .keep_alive_interval(limits.keep_alive)
        .keep_alive_timeout(limits.keep_alive);
    let served =
        builder.serve_connection(FuturesIo::new(socket), TowerToHyperService::new(service));
    // An error of one connection (garbage, a reset, silence) concerns its peer alone.
    drop(served.await);
}

/// Converts hyper's bodies to tonic's.
#[derive(Clone)]
struct BodyAdapter<S> {
    inner: S,
    max_message_bytes: usize,
    tap: Option<Tap>,
}

impl<S> Service<http::Request<hyper::body::Incoming>> for BodyAdapter<S>
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<hyper::body::Incoming>) -> Self::Future {
        // A unary body whose declared size is too large is rejected unread.
        if request.body().size_hint().lower() > self.max_message_bytes as u64 + 5 {
            let status = tonic::Status::resource_exhausted(format!(
                "a message over {} bytes",
                self.max_message_bytes
            ));
            return Box::pin(future::ready(Ok(status.into_http())));
        }
        let Some(tap) = &self.tap else {
            return Box::pin(self.inner.call(request.map(Body::new)));
        };
        let meter = tap.meter_for(request.uri().path());
        let (received, sent) = (meter.messages_in.clone(), meter.messages_out.clone());
        let response = self
            .inner
            .call(request.map(|body| Body::new(Counted::new(body, Some(received)))));
        Box::pin(async move {
            Ok(response
                .await?
                .map(|body| Body::new(Counted::new(body, Some(sent)))))
        })
    }
}
