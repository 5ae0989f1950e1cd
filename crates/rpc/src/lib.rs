//! gRPC over smol: HTTP/2 connections for tonic's clients and services, without a tokio runtime.
//! Every size and time is limited by the caller's [`ConnectionLimits`]; the caller decides what a
//! broken connection means.

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
use counts::{ConnectionMeter, CountedSocket};
pub use counts::{CountedBody, Meter, MeterSelector};

/// The reason why no connection was established. Nothing was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("no connection within {0:?}")]
    TimedOut(Duration),
    /// TCP failed.
    #[error("no connection: {0}")]
    Tcp(std::io::Error),
    /// The HTTP/2 handshake failed.
    #[error("HTTP/2 error on the connection: {0}")]
    Http2(hyper::Error),
}

/// Limits of a connection, at either end.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Time from the first packet to the end of the HTTP/2 handshake.
    pub connect_timeout: Duration,
    /// A connection with calls on it that is silent for this long is pinged, and closed after as
    /// long again without a reply.
    pub keep_alive_interval: Duration,
    /// Concurrent calls that a server allows on each connection.
    pub max_calls: u32,
    /// Concurrent connections that a server accepts; further ones are closed at once.
    pub max_connections: usize,
    /// The largest message, in bytes.
    pub max_message_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            connect_timeout: Duration::from_millis(250),
            keep_alive_interval: Duration::from_secs(10),
            max_calls: 10_000,
            max_connections: 4_096,
            max_message_bytes: 64 * 1024,
        }
    }
}

impl ConnectionLimits {
    /// Returns the flow-control window of a connection, in bytes. The HTTP/2 library closes a
    /// connection if the small frames that wait on it, counted as 256 bytes each, take more than
    /// half of the window. With the default window, a burst of some hundred requests, or as many
    /// events while this process is stalled, would end every call on the connection. The window
    /// therefore has room for one such frame for each call.
    fn flow_control_window(&self) -> u32 {
        self.max_calls
            .saturating_mul(512)
            .clamp(64 * 1024, 64 << 20)
    }
}

/// One connection to a server, for a generated client; clones share it.
#[derive(Clone)]
pub struct Connection {
    address: SocketAddr,
    sender: client::SendRequest<CountedBody<Body>>,
    meter: Option<Meter>,
}

impl Connection {
    /// Opens a connection. Dropping all clones, and the bodies of calls on it, closes it.
    ///
    /// # Errors
    ///
    /// It could not be established in time.
    pub async fn open(
        executor: &SharedExecutor,
        address: SocketAddr,
        limits: &ConnectionLimits,
    ) -> Result<Connection, ConnectError> {
        Connection::open_with(executor, address, limits, None).await
    }

    /// As [`Connection::open`], with its traffic counted.
    ///
    /// # Errors
    ///
    /// As [`Connection::open`].
    pub async fn open_counted(
        executor: &SharedExecutor,
        address: SocketAddr,
        limits: &ConnectionLimits,
        meter: &Meter,
    ) -> Result<Connection, ConnectError> {
        Connection::open_with(executor, address, limits, Some(meter)).await
    }

    async fn open_with(
        executor: &SharedExecutor,
        address: SocketAddr,
        limits: &ConnectionLimits,
        meter: Option<&Meter>,
    ) -> Result<Connection, ConnectError> {
        let established = async {
            let stream = TcpStream::connect(address)
                .await
                .map_err(ConnectError::Tcp)?;
            stream.set_nodelay(true).map_err(ConnectError::Tcp)?;
            let mut builder = client::Builder::new(SmolExecutor::new(Arc::clone(executor)));
            builder
                .timer(SmolTimer::new())
                .keep_alive_interval(limits.keep_alive_interval)
                .keep_alive_timeout(limits.keep_alive_interval)
                .keep_alive_while_idle(false)
                .initial_max_send_streams(limits.max_calls as usize)
                .initial_connection_window_size(limits.flow_control_window())
                .max_header_list_size(16 * 1024);
            let socket = CountedSocket {
                stream,
                connection_meter: meter.map(ConnectionMeter::with_meter),
            };
            builder
                .handshake(FuturesIo::new(socket))
                .await
                .map_err(ConnectError::Http2)
        };
        let (sender, connection) = within(limits.connect_timeout, established)
            .await
            .unwrap_or(Err(ConnectError::TimedOut(limits.connect_timeout)))?;
        executor
            .spawn(async move { drop(connection.await) })
            .detach();
        Ok(Connection {
            address,
            sender,
            meter: meter.cloned(),
        })
    }

    /// Whether calls can still be sent on it.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Service<http::Request<Body>> for Connection {
    type Response = http::Response<CountedBody<hyper::body::Incoming>>;
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
        match format!("http://{}{path}", self.address).parse() {
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
            .send_request(request.map(|body| CountedBody::new(body, sent)));
        Box::pin(async move { Ok(response.await?.map(|body| CountedBody::new(body, received))) })
    }
}

/// Serves a tonic service on a listener until the future is dropped, which closes its connections.
/// Returns only if an error has made the listener unusable.
pub async fn serve<S>(listener: TcpListener, service: S, limits: ConnectionLimits) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    serve_filtered(|_| true, None, listener, service, limits).await
}

/// As [`serve`], for peers whose addresses are admitted; other connections are closed without being
/// read. Traffic is counted if a selector is given, which chooses the meter of each connection.
pub async fn serve_filtered<S>(
    admits: impl Fn(IpAddr) -> bool,
    select_meter: Option<MeterSelector>,
    listener: TcpListener,
    service: S,
    limits: ConnectionLimits,
) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    // Connections run in their own executor, so that they end with their listener.
    let connection_executor: SharedExecutor = Arc::new(Executor::new());
    let open_connections = Arc::new(AtomicUsize::new(0));
    let accept = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, peer)) if admits(peer.ip()) => stream,
                Ok(_) => continue,
                // The process is out of file descriptors, or the peer closed the connection before
                // it was accepted. The listener itself is still usable.
                Err(error)
                    if error.raw_os_error() == Some(24)
                        || error.kind() == std::io::ErrorKind::ConnectionAborted =>
                {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
                Err(error) => return error,
            };
            if open_connections.load(Ordering::Relaxed) >= limits.max_connections {
                continue;
            }
            open_connections.fetch_add(1, Ordering::Relaxed);
            let (service, open_connections, limits) = (
                service.clone(),
                Arc::clone(&open_connections),
                limits.clone(),
            );
            let executor = ConnectionExecutor(Arc::downgrade(&connection_executor));
            let connection_meter = select_meter.as_ref().map(ConnectionMeter::with_selector);
            connection_executor
                .spawn(async move {
                    serve_connection(
                        executor,
                        CountedSocket {
                            stream,
                            connection_meter,
                        },
                        service,
                        limits,
                    )
                    .await;
                    open_connections.fetch_sub(1, Ordering::Relaxed);
                })
                .detach();
        }
    };
    accept.or(connection_executor.run(future::pending())).await
}

/// Spawns the tasks of a connection into its listener's executor. The reference is weak, because
/// tasks that kept their executor alive would keep their sockets open after the listener is gone.
#[derive(Clone)]
struct ConnectionExecutor(Weak<Executor<'static>>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for ConnectionExecutor {
    fn execute(&self, task: F) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

async fn serve_connection<S>(
    executor: ConnectionExecutor,
    socket: CountedSocket,
    service: S,
    limits: ConnectionLimits,
) where
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
        max_message_bytes: limits.max_message_bytes,
        connection_meter: socket.connection_meter.clone(),
    };
    let mut builder = hyper::server::conn::http2::Builder::new(executor);
    builder
        .timer(SmolTimer::new())
        .max_concurrent_streams(limits.max_calls)
        .initial_connection_window_size(limits.flow_control_window())
        .max_header_list_size(16 * 1024)
        .max_send_buf_size(64 * 1024)
        .keep_alive_interval(limits.keep_alive_interval)
        .keep_alive_timeout(limits.keep_alive_interval);
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
    connection_meter: Option<ConnectionMeter>,
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
        // A unary body whose declared size is too large is rejected without being read.
        if request.body().size_hint().lower() > self.max_message_bytes as u64 + 5 {
            let status = tonic::Status::resource_exhausted(format!(
                "the message is larger than {} bytes",
                self.max_message_bytes
            ));
            return Box::pin(future::ready(Ok(status.into_http())));
        }
        let Some(connection_meter) = &self.connection_meter else {
            return Box::pin(self.inner.call(request.map(Body::new)));
        };
        let meter = connection_meter.meter_for(request.uri().path());
        let (received, sent) = (meter.messages_in.clone(), meter.messages_out.clone());
        let response = self
            .inner
            .call(request.map(|body| Body::new(CountedBody::new(body, Some(received)))));
        Box::pin(async move {
            Ok(response
                .await?
                .map(|body| Body::new(CountedBody::new(body, Some(sent)))))
        })
    }
}
