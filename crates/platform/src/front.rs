//! The owners' front: one listener, and a task for each connection.

use crate::handle::Desk;
use crate::ids::OwnerId;
use crate::input::Input;
use crate::outbox::{Inbox, carry};
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use async_net::{TcpListener, TcpStream};
use corkspan_runtime::{Tasks, within};
use futures_lite::future;
use std::sync::Arc;
use std::time::Duration;
use tracing::warn;

/// So long a new connection waits for the descriptor of one that gives way, which may still have
/// last words.
const PLACE_WITHIN: Duration = Duration::from_millis(250);

/// Takes connections until dropped. One too many takes the place of one that is of the least use.
/// `places` are the descriptors that owners' connections may hold, those that are being closed
/// among them: the rest of the limit is for the feed, the nodes and the next connection that is
/// taken.
pub async fn run(desk: Arc<Desk>, tasks: Tasks, listener: TcpListener, places: Arc<Semaphore>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Where there is no room the stream is dropped, which closes it.
                if let Some((id, inbox)) = desk.owner_came() {
                    match within(PLACE_WITHIN, places.acquire_arc()).await {
                        Some(place) => {
                            tasks
                                .spawn(owner(Arc::clone(&desk), stream, id, inbox, place))
                                .detach();
                        }
                        None => desk.owner_left(id),
                    }
                }
                // A flood of connections must not keep those that are open from being read.
                future::yield_now().await;
            }
            Err(why) => {
                // Descriptors have run out: some come back as connections that are silent are
                // closed.
                warn!(%why, "can't take a connection");
                desk.make_way();
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

pub async fn owner(
    desk: Arc<Desk>,
    stream: TcpStream,
    id: OwnerId,
    inbox: Inbox,
    _place: SemaphoreGuardArc,
) {
    let _ = stream.set_nodelay(true);
    let input = Input::new(stream.clone());
    desk.owner_input(id, input.clone());
    let untold = carry(stream, inbox, |_| true, async {
        input.heard(|| desk.owner_heard(id)).await;
        desk.owner_left(id);
    })
    .await;
    // Where the writer ended first: its peer takes no more.
    desk.owner_left(id);
    desk.retell(untold);
}
