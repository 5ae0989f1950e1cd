//! Connections to nodes: a task for each, from the attempt to open it to its end.

use crate::desk::{Desk, LinkId};
use crate::outbox::{Heard, Inbox, carry};
use async_net::TcpStream;
use corkspan_platform_wire::node::Reader;
use corkspan_runtime::within;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::debug;

/// How a connection to a node came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nobody listens there: the process is dead.
    Refused,
    /// It did not come up in time.
    NotUp,
    /// It stood, and broke or was closed.
    Broke,
}

pub async fn run(desk: Arc<Desk>, id: LinkId, to: SocketAddr, connect_within: Duration, inbox: Inbox) {
    let stream = match within(connect_within, TcpStream::connect(to)).await {
        Some(Ok(stream)) => stream,
        Some(Err(why)) if why.kind() == ErrorKind::ConnectionRefused => {
            return desk.link_ended(id, End::Refused);
        }
        _ => return desk.link_ended(id, End::NotUp),
    };
    let _ = stream.set_nodelay(true);
    desk.link_up(id);
    let mut reader = Reader::default();
    let heard = |bytes: &[u8]| {
        reader.push(bytes);
        match reader.message() {
            Ok(Some(message)) => match desk.node_said(id, message) {
                true => Heard::One,
                false => Heard::Enough,
            },
            Ok(None) => Heard::All,
            Err(why) => {
                // Nothing after it can be trusted, so no more is read.
                debug!(?id, %why, "closing a connection to a node");
                Heard::Enough
            }
        }
    };
    carry(stream, inbox, || desk.link_writes(id), heard).await;
    desk.link_ended(id, End::Broke);
}
