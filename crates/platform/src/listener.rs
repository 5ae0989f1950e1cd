//! Accepts the connections of clients and runs a task for each.

use crate::handle::PlatformHandle;
use crate::ids::ClientId;
use crate::passing_errors::is_out_of_descriptors;
use crate::reader::ConnectionInput;
use crate::writer::{MessageQueue, run_connection};
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use async_net::{TcpListener, TcpStream};
use corkspan_runtime::{SharedExecutor, within};
use futures_lite::{FutureExt, future};
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Time for which a new connection waits for the descriptor of an evicted one, which may still have
/// messages to write.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which an evicted connection frees its descriptor.
const EVICTION_DELAY: Duration = Duration::from_millis(20);
/// Time after which accepting is tried again that has failed for lack of the system's resources.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Time within which the connections that the system has accepted are served before the listener is
/// closed.
const LAST_ACCEPT_TIMEOUT: Duration = Duration::from_millis(25);

/// Starts to accept connections. The returned future serves the connections that the system has
/// accepted until then, and stops accepting; dropping it stops at once.
pub fn start(
    handle: &Arc<PlatformHandle>,
    tasks: &SharedExecutor,
    listener: TcpListener,
    budget: &Arc<Semaphore>,
) -> impl Future<Output = ()> + use<> {
    let (close, closed) = async_channel::bounded(1);
    let task = tasks.spawn(run(
        Arc::clone(handle),
        Arc::clone(tasks),
        listener,
        Arc::clone(budget),
        closed,
    ));
    async move {
        drop(close);
        task.await;
    }
}

/// Accepts connections until `closed` has no sender any more, and then those that the system has
/// accepted before. A connection beyond the maximum replaces the least useful one. `budget` holds the
/// descriptor permits of clients' connections, including those that are being closed; the rest of the
/// limit is for discovery, the nodes and the next accepted connection.
async fn run(
    handle: Arc<PlatformHandle>,
    tasks: SharedExecutor,
    listener: TcpListener,
    budget: Arc<Semaphore>,
    closed: async_channel::Receiver<()>,
) {
    // Closing comes first: a crowd of clients always has another connection to accept.
    loop {
        let accepting = async { Some(accept(&handle, &listener).await) };
        let closing = async {
            let _ = closed.recv().await;
            None
        };
        match closing.or(accepting).await {
            Some(Ok((stream, peer))) => accepted(&handle, &tasks, stream, peer, &budget).await,
            Some(Err(error)) => accept_failed(&handle, &error).await,
            None => break,
        }
        // A flood of connections must not delay reading the open ones.
        future::yield_now().await;
    }
    let last = async {
        while let Some(result) = future::poll_once(listener.accept()).await {
            if let Ok((stream, peer)) = result {
                accepted(&handle, &tasks, stream, peer, &budget).await;
            }
            future::yield_now().await;
        }
    };
    within(LAST_ACCEPT_TIMEOUT, last).await;
}

/// Accepts the next connection. Records when the system holds none, so that the wait of later ones is
/// known.
async fn accept(
    handle: &PlatformHandle,
    listener: &TcpListener,
) -> std::io::Result<(TcpStream, SocketAddr)> {
    if let Some(accepted) = future::poll_once(listener.accept()).await {
        return accepted;
    }
    handle.backlog_drained();
    listener.accept().await
}

/// Serves an accepted connection. If there is no room, it is dropped, which closes it.
async fn accepted(
    handle: &Arc<PlatformHandle>,
    tasks: &SharedExecutor,
    stream: TcpStream,
    peer: SocketAddr,
    budget: &Arc<Semaphore>,
) {
    let Some((id, queue)) = handle.client_connected() else {
        debug!(%peer, "closing a new connection: all others have open set-ups");
        return;
    };
    match within(DESCRIPTOR_TIMEOUT, budget.acquire_arc()).await {
        Some(permit) => {
            let serving = serve_client(Arc::clone(handle), stream, id, queue, permit);
            tasks.spawn(serving).detach();
        }
        None => {
            debug!(?id, %peer, "closing a new connection: no descriptor is free");
            handle.client_disconnected(id);
        }
    }
}

/// Handles a failure to accept a connection. Another one is closed only where that helps.
async fn accept_failed(handle: &PlatformHandle, error: &std::io::Error) {
    if matches!(
        error.kind(),
        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
    ) {
        debug!(%error, "a connection has ended before it was accepted");
        return;
    }
    warn!(%error, "can't accept a connection");
    if is_out_of_descriptors(error) {
        handle.evict_client();
        Timer::after(EVICTION_DELAY).await;
    } else {
        Timer::after(ACCEPT_RETRY_DELAY).await;
    }
}

/// Reads and writes a client's connection until it ends.
pub async fn serve_client(
    handle: Arc<PlatformHandle>,
    stream: TcpStream,
    id: ClientId,
    queue: MessageQueue,
    _permit: SemaphoreGuardArc,
) {
    let _ = stream.set_nodelay(true);
    let input = ConnectionInput::new(stream.clone());
    handle.attach_client_input(id, input.clone());
    let undelivered = run_connection(stream, queue, |_| None, async {
        input.read_messages(|| handle.read_client_message(id)).await;
        handle.client_disconnected(id);
    })
    .await;
    // If the writer ended first, the peer no longer reads, and the client is still registered.
    handle.client_disconnected(id);
    handle.redeliver(undelivered);
}
