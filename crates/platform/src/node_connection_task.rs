//! Runs the task of a connection to a node, from opening it to its end.

use crate::core::{ConnectionEnd, NewConnection};
use crate::handle::PlatformHandle;
use crate::ids::ConnectionId;
use crate::passing_errors::connect;
use crate::reader::{ConnectionInput, ReadOutcome, ReadProgress};
use crate::writer::run_connection;
use async_lock::Semaphore;
use corkspan_platform_wire::node::Reader;
use corkspan_runtime::clock::duration;
use corkspan_runtime::within;
use corkspan_scheduler::interface::Ticks;
use std::io::ErrorKind;
use std::sync::Arc;
use tracing::debug;

/// Opens a connection, then reads and writes it until it ends. `budget` holds the descriptor
/// permits of connections to nodes.
pub async fn run(handle: Arc<PlatformHandle>, connection: NewConnection, budget: Arc<Semaphore>) {
    let NewConnection {
        id,
        address,
        connect_timeout,
        queue,
    } = connection;
    // Connections that are being closed hold their descriptors until they end.
    let mut permit = None;
    let (mut attempted_at, mut passing_error) = (None, None);
    let connecting = async {
        permit = Some(budget.acquire_arc().await);
        attempted_at = Some(handle.now());
        connect(address, &mut passing_error).await
    };
    let connected = within(duration(connect_timeout), connecting).await;
    let stream = match connected {
        // The node is gone in the meantime, and another one may have its address.
        _ if queue.is_discarded() => return,
        Some(Ok(stream)) => stream,
        failed => {
            let error = failed.and_then(Result::err).or(passing_error);
            return handle.connection_ended(id, failed_connection_end(error, attempted_at));
        }
    };
    let _ = stream.set_nodelay(true);
    handle.connection_established(id);
    let (input, mut reader) = (ConnectionInput::new(stream.clone()), Reader::default());
    let reading = async {
        let mut end = ConnectionEnd::Broken;
        input
            .read_messages(|| handle_next_message(&handle, id, &input, &mut reader, &mut end))
            .await;
        handle.connection_ended(id, end);
    };
    let set_up_line = |attempt| {
        let may_write = handle.may_write_set_up(id, attempt);
        may_write.then(|| handle.set_up_line(attempt)).flatten()
    };
    run_connection(stream, queue, set_up_line, reading).await;
    handle.connection_ended(id, ConnectionEnd::Closed);
}

/// Returns how a connection ended that could not be opened: with an error, or, if there is none, by
/// the timeout. Only what the node or the network causes says something about the node.
fn failed_connection_end(
    error: Option<std::io::Error>,
    attempted_at: Option<Ticks>,
) -> ConnectionEnd {
    let Some(attempted_at) = attempted_at else {
        return ConnectionEnd::NotAttempted;
    };
    let Some(error) = error else {
        return ConnectionEnd::ConnectTimeout { attempted_at };
    };
    debug!(%error, "a connection to a node can't be opened");
    match error.kind() {
        ErrorKind::ConnectionRefused => ConnectionEnd::Refused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            ConnectionEnd::ConnectTimeout { attempted_at }
        }
        _ => ConnectionEnd::NotAttempted,
    }
}

/// Handles the next message of the node. Sets `end` to the way in which the connection ends.
fn handle_next_message(
    handle: &PlatformHandle,
    id: ConnectionId,
    input: &ConnectionInput,
    reader: &mut Reader,
    end: &mut ConnectionEnd,
) -> ReadProgress {
    loop {
        match reader.next_message() {
            Ok(Some(message)) => {
                return if handle.handle_node_message(id, message) {
                    ReadProgress::Handled
                } else {
                    *end = ConnectionEnd::Closed;
                    ReadProgress::Done
                };
            }
            Ok(None) => match input.read(|bytes| reader.push(bytes)) {
                ReadOutcome::Data => {}
                ReadOutcome::Empty => return ReadProgress::NoMessage,
                ReadOutcome::Closed => return ReadProgress::Done,
                ReadOutcome::Failed(kind) => {
                    debug!(?id, ?kind, "a connection to a node has failed");
                    if kind != ErrorKind::ConnectionReset {
                        // The node does not know that, and may still write on it.
                        *end = ConnectionEnd::Closed;
                    }
                    return ReadProgress::Done;
                }
            },
            Err(error) => {
                // After an invalid message the rest of the input can't be trusted.
                debug!(?id, %error, "closing a connection to a node after an invalid message");
                *end = ConnectionEnd::Closed;
                return ReadProgress::Done;
            }
        }
    }
}
