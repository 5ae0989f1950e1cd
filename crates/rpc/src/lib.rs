//! gRPC over smol: HTTP/2 links for tonic's clients and services, without a tokio runtime.
//! Everything here is bounded and timed by what the caller hands over; what a broken link means is
//! the caller's affair.

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

pub use corkspan_runtime::{Tasks, Within, within};
pub use counts::{Counted, Meter, Sorts};
use counts::{Socket, Tap};

/// Why a link did not come to stand. Nothing was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum NoLink {
    #[error("no connection within {0:?}")]
    TimedOut(Duration),
    #[error("no connection: {0}")]
    Refused(std::io::Error),
    #[error("no HTTP/2 on the connection: {0}")]
    NotHttp(hyper::Error),
}

/// Bounds of a link, at either end.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub connect_within: Duration,
    /// A link with calls on it that is silent for so long is asked for a sign of life, and cut
    /// after as long again without one.
    pub keep_alive: Duration,
    /// Calls at a time that a serving end allows each link.
    pub calls: u32,
    /// Links at a time that a serving end bears; further ones are closed at once.
    pub links: usize,
    /// Bytes of one message at the most.
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
    /// The window of a whole link. HTTP/2 closes a link on which more small frames wait than half
    /// of it bears, at 256 bytes each: with the usual window a burst of some hundred asks, or
    /// as many words from a node while we stand still, would end every allocation on it. So
    /// there is room for one such frame a call.
    fn window(&self) -> u32 {
        self.calls.saturating_mul(512).clamp(64 * 1024, 64 << 20)
    }
}

/// One link to a server, to hand to a generated client; clones share it.
#[derive(Clone)]
pub struct Link {
    to: SocketAddr,
    sender: client::SendRequest<Counted<Body>>,
    meter: Option<Meter>,
}

impl Link {
    /// Opens a link. Dropping all clones, and the bodies of calls on it, closes it.
    pub async fn open(tasks: &Tasks, to: SocketAddr, bounds: &Bounds) -> Result<Link, NoLink> {
        Link::open_with(tasks, to, bounds, None).await
    }

    /// The same with all that passes on it counted.
    pub async fn open_counted(
        tasks: &Tasks,
        to: SocketAddr,
        bounds: &Bounds,
        meter: &Meter,
    ) -> Result<Link, NoLink> {
        Link::open_with(tasks, to, bounds, Some(meter)).await
    }

    async fn open_with(
        tasks: &Tasks,
        to: SocketAddr,
        bounds: &Bounds,
        meter: Option<&Meter>,
    ) -> Result<Link, NoLink> {
        let opened = async {
            let stream = TcpStream::connect(to).await.map_err(NoLink::Refused)?;
            stream.set_nodelay(true).map_err(NoLink::Refused)?;
            let mut builder = client::Builder::new(SmolExecutor::new(Arc::clone(tasks)));
            builder
                .timer(SmolTimer::new())
                .keep_alive_interval(bounds.keep_alive)
                .keep_alive_timeout(bounds.keep_alive)
                .keep_alive_while_idle(false)
                .initial_max_send_streams(bounds.calls as usize)
                .initial_connection_window_size(bounds.window())
                .max_header_list_size(16 * 1024);
            let socket = Socket {
                stream,
                tap: meter.map(Tap::of),
            };
            builder
                .handshake(FuturesIo::new(socket))
                .await
                .map_err(NoLink::NotHttp)
        };
        let (sender, connection) = within(bounds.connect_within, opened)
            .await
            .unwrap_or(Err(NoLink::TimedOut(bounds.connect_within)))?;
        tasks.spawn(async move { drop(connection.await) }).detach();
        Ok(Link {
            to,
            sender,
            meter: meter.cloned(),
        })
    }

    /// Whether calls may still be sent on it.
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
            // A path that was a path stays one beside an address.
            Err(_) => unreachable!("an address and a path make a URI"),
        }
        let counter =
            |which: fn(&Meter) -> &Counter| self.meter.as_ref().map(|meter| which(meter).clone());
        let (sent, heard) = (
            counter(|meter| &meter.messages_out),
            counter(|meter| &meter.messages_in),
        );
        let answered = self
            .sender
            .send_request(request.map(|body| Counted::new(body, sent)));
        Box::pin(async move { Ok(answered.await?.map(|body| Counted::new(body, heard))) })
    }
}

/// Serves a tonic service on a listener until the future is dropped; its links are cut with it.
pub async fn serve<S>(listener: TcpListener, service: S, bounds: Bounds) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    serve_to(|_| true, None, listener, service, bounds).await
}

/// The same to peers at such addresses alone; others are closed unread. What passes is counted
/// where it is said how links are sorted.
pub async fn serve_to<S>(
    admits: impl Fn(IpAddr) -> bool,
    sorts: Option<Sorts>,
    listener: TcpListener,
    service: S,
    bounds: Bounds,
) -> std::io::Error
where
    S: Service<http::Request<Body>, Response = http::Response<Body>, Error = Infallible>
        + Clone
        + Send
        + Sync
        + 'static,
    S::Future: Send + 'static,
{
    // Links live in an executor of their own, so that they end with the listener that took them.
    let own: Tasks = Arc::new(Executor::new());
    let links = Arc::new(AtomicUsize::new(0));
    let accept = async {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, peer)) if admits(peer.ip()) => stream,
                Ok(_) => continue,
                // Out of file descriptors, or a peer gone before it was taken: the listener itself
                // is sound.
                Err(why)
                    if why.raw_os_error() == Some(24)
                        || why.kind() == std::io::ErrorKind::ConnectionAborted =>
                {
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
                Err(why) => return why,
            };
            if links.load(Ordering::Relaxed) >= bounds.links {
                continue;
            }
            links.fetch_add(1, Ordering::Relaxed);
            let (service, links, bounds) = (service.clone(), Arc::clone(&links), bounds.clone());
            let tasks = Own(Arc::downgrade(&own));
            let tap = sorts.as_ref().map(Tap::sorted);
            own.spawn(async move {
                carry(tasks, Socket { stream, tap }, service, bounds).await;
                links.fetch_sub(1, Ordering::Relaxed);
            })
            .detach();
        }
    };
    accept.or(own.run(future::pending())).await
}

/// Spawns what a link needs into its listener's own executor. Weak: tasks that kept their executor
/// alive would keep their sockets open after the listener is gone.
#[derive(Clone)]
struct Own(Weak<Executor<'static>>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for Own {
    fn execute(&self, task: F) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}

async fn carry<S>(tasks: Own, socket: Socket, service: S, bounds: Bounds)
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
    let service = ToBody {
        inner: service,
        most: bounds.message,
        tap: socket.tap.clone(),
    };
    let mut builder = hyper::server::conn::http2::Builder::new(tasks);
    builder
        .timer(SmolTimer::new())
        .max_concurrent_streams(bounds.calls)
        .initial_connection_window_size(bounds.window())
        .max_header_list_size(16 * 1024)
        .max_send_buf_size(64 * 1024)
        .keep_alive_interval(bounds.keep_alive)
        .keep_alive_timeout(bounds.keep_alive);
    let served =
        builder.serve_connection(FuturesIo::new(socket), TowerToHyperService::new(service));
    // A link that ends badly is its peer's affair: garbage, a reset, silence.
    drop(served.await);
}

/// Hands hyper's bodies to tonic, which takes its own.
#[derive(Clone)]
struct ToBody<S> {
    inner: S,
    most: usize,
    tap: Option<Tap>,
}

impl<S> Service<http::Request<hyper::body::Incoming>> for ToBody<S>
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
        // A unary body that says it is too large need not be read to be turned down.
        if request.body().size_hint().lower() > self.most as u64 + 5 {
            let status =
                tonic::Status::resource_exhausted(format!("a message over {} bytes", self.most));
            return Box::pin(future::ready(Ok(status.into_http())));
        }
        let Some(tap) = &self.tap else {
            return Box::pin(self.inner.call(request.map(Body::new)));
        };
        let meter = tap.called(request.uri().path());
        let (heard, sent) = (meter.messages_in.clone(), meter.messages_out.clone());
        let answered = self
            .inner
            .call(request.map(|body| Body::new(Counted::new(body, Some(heard)))));
        Box::pin(async move {
            Ok(answered
                .await?
                .map(|body| Body::new(Counted::new(body, Some(sent)))))
        })
    }
}
