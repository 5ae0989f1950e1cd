//! Accepts the connections of clients and runs a task for each.

use crate::handle::PlatformHandle;
use crate::ids::ClientId;
use crate::reader::ConnectionInput;
use crate::writer::{MessageQueue, run_connection};
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use async_net::{TcpListener, TcpStream};
use corkspan_runtime::{SharedExecutor, within};
use futures_lite::future;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Time for which a new connection waits for the descriptor of an evicted one, which may still have
/// messages to write.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(250);

/// Accepts connections until dropped. A connection beyond the maximum replaces the least useful
/// one. `budget` holds the descriptor permits of clients' connections, including those that are
/// being closed; the rest of the limit is for discovery, the nodes and the next accepted
/// connection.
pub async fn run(
    handle: Arc<PlatformHandle>,
    tasks: SharedExecutor,
    listener: TcpListener,
    budget: Arc<Semaphore>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // If there is no room, the stream is dropped, which closes it.
                let connected = handle.client_connected();
                if connected.is_none() {
                    debug!("closing a new connection: all others have open set-ups");
                }
                if let Some((id, queue)) = connected {
                    match within(DESCRIPTOR_TIMEOUT, budget.acquire_arc()).await {
                        Some(permit) => {
                            tasks
                                .spawn(serve_client(Arc::clone(&handle), stream, id, queue, permit))
                                .detach();
                        }
                        None => {
                            debug!(?id, "closing a new connection: no descriptor is free");
                            handle.client_disconnected(id);
                        }
                    }
                }
                // A flood of connections must not delay reading the open ones.
                future::yield_now().await;
            }
            Err(error) => {
                // Descriptors have run out. Some are freed when silent connections are closed.
                warn!(%error, "can't accept a connection");
                handle.evict_client();
                Timer::after(Duration::from_millis(20)).await;
            }
        }
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
