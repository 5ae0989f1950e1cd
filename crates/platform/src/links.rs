//! Connections to nodes: a task for each, from the attempt to open it to its end.

use crate::core::{End, NewConnection};
use crate::handle::Desk;
use crate::input::{Came, Heard, Input};
use crate::outbox::carry;
use async_lock::Semaphore;
use async_net::TcpStream;
use corkspan_platform_wire::node::Reader;
use corkspan_runtime::clock::duration;
use corkspan_runtime::within;
use std::io::ErrorKind;
use std::sync::Arc;
use tracing::debug;

pub async fn run(desk: Arc<Desk>, connection: NewConnection, places: Arc<Semaphore>) {
    let NewConnection {
        id,
        address,
        within: connect_within,
        inbox,
    } = connection;
    // Those that are being closed hold their descriptors to the end.
    let connected = async {
        let place = places.acquire_arc().await;
        (place, TcpStream::connect(address).await)
    };
    let (_place, connected) = within(duration(connect_within), connected).await.unzip();
    let stream = match connected {
        // Its node has gone meanwhile, and another may have its address.
        _ if inbox.is_void() => return,
        Some(Ok(stream)) => stream,
        Some(Err(why)) if why.kind() == ErrorKind::ConnectionRefused => {
            return desk.link_ended(id, End::Refused);
        }
        _ => return desk.link_ended(id, End::NotUp),
    };
    let _ = stream.set_nodelay(true);
    desk.link_up(id);
    let (input, mut reader) = (Input::new(stream.clone()), Reader::default());
    let hear = || loop {
        match reader.next_message() {
            Ok(Some(message)) => {
                return if desk.node_said(id, message) {
                    Heard::One
                } else {
                    Heard::Enough
                };
            }
            Ok(None) => match input.read(|bytes| reader.push(bytes)) {
                Came::Some => {}
                Came::Nothing => return Heard::All,
                Came::Ended => return Heard::Enough,
            },
            Err(why) => {
                // Nothing after it can be trusted, so no more is read.
                debug!(?id, %why, "closing a connection to a node");
                return Heard::Enough;
            }
        }
    };
    carry(stream, inbox, |attempt| desk.begins(id, attempt), async {
        input.heard(hear).await;
        desk.link_ended(id, End::Broke);
    })
    .await;
    desk.link_ended(id, End::Broke);
}
