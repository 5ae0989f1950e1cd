//! The owners' front: one listener, and a task for each connection.

use crate::desk::{Desk, OwnerId};
use crate::outbox::{Heard, Inbox, carry};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use corkspan_platform_wire::owner::Reader;
use corkspan_runtime::Tasks;
use std::sync::Arc;
use std::time::Duration;
use tracing::{debug, warn};

/// Takes connections until dropped. One too many takes the place of one that is of the least use.
pub async fn run(desk: Arc<Desk>, tasks: Tasks, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Where there is no room the stream is dropped, which closes it.
                if let Some((id, inbox)) = desk.owner_came() {
                    tasks.spawn(owner(Arc::clone(&desk), stream, id, inbox)).detach();
                }
            }
            Err(why) => {
                // Descriptors have run out: some come back as connections that are silent are closed.
                warn!(%why, "can't take a connection");
                desk.make_way();
                Timer::after(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn owner(desk: Arc<Desk>, stream: TcpStream, id: OwnerId, inbox: Inbox) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::default();
    let heard = |bytes: &[u8]| {
        reader.push(bytes);
        match reader.message() {
            Ok(Some(message)) if desk.owner_said(id, &message) => Heard::One,
            Ok(Some(_)) => Heard::Enough,
            Ok(None) => {
                desk.owner_midway(id, reader.midway());
                Heard::All
            }
            Err(why) => {
                debug!(?id, %why, "closing an owner's connection");
                Heard::Enough
            }
        }
    };
    carry(stream, inbox, || {}, heard).await;
    desk.owner_left(id);
}
