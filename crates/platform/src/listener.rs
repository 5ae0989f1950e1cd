//! Accepts clients' connections, with a task for each.

use crate::handle::PlatformHandle;
use crate::ids::ClientId;
use crate::reader::ConnectionInput;
use crate::writer::{MessageQueue, carry};
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use async_net::{TcpListener, TcpStream};
use corkspan_runtime::{SharedExecutor, within};
use futures_lite::future;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// How long a new connection waits for the descriptor of an evicted one, which may still have
/// messages to write.
const DESCRIPTOR_TIMEOUT: Duration = Duration::from_millis(250);

/// Accepts connections until dropped. One too many takes the place of the least useful one.
/// `budget` are the descriptors that clients' connections may hold, those that are being closed
/// among them: the rest of the limit is for discovery, the nodes and the next connection that is
/// accepted.
pub async fn run(
    handle: Arc<PlatformHandle>,
    tasks: SharedExecutor,
    listener: TcpListener,
    budget: Arc<Semaphore>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Where there is no room the stream is dropped, which closes it.
                if let Some((id, queue)) = handle.client_connected() {
                    match within(DESCRIPTOR_TIMEOUT, budget.acquire_arc()).await {
                        Some(place) => {
                            tasks
                                .spawn(client(Arc::clone(&handle), stream, id, queue, place))
                                .detach();
                        }
                        None => handle.client_disconnected(id),
                    }
                }
                // A flood of connections must not keep those that are open from being read.
                future::yield_now().await;
            }
            Err(error) => {
                // Descriptors have run out: some are returned as silent connections are closed.
                warn!(%error, "can't take a connection");
                handle.evict_client();
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Carries a client's connection to its end.
pub async fn client(
    handle: Arc<PlatformHandle>,
    stream: TcpStream,
    id: ClientId,
    queue: MessageQueue,
    _place: SemaphoreGuardArc,
) {
    let _ = stream.set_nodelay(true);
    let input = ConnectionInput::new(stream.clone());
    handle.attach_client_input(id, input.clone());
    let undelivered = carry(stream, queue, |_| true, async {
        input.read_messages(|| handle.read_client_message(id)).await;
        handle.client_disconnected(id);
    })
    .await;
    // Where the writer ended first: its peer reads no more.
    handle.client_disconnected(id);
    handle.redeliver(undelivered);
}
