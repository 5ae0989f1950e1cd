//! Reads what peers have sent without waiting, so that it can be done at any moment and not only
//! when the connection's task runs.

use async_io::Async;
use futures_lite::future;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;

const READ_BYTES: usize = 8 * 1024;

/// The reading end of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionInput(Arc<Async<TcpStream>>);

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Data,
    /// All that has arrived has been read.
    Empty,
    /// The peer has closed its side, in whatever way.
    Closed,
}

/// What handling the next message came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// One message was handled, and more may be there.
    Handled,
    /// No complete message is left.
    Drained,
    /// The connection is to be closed.
    Done,
}

impl ConnectionInput {
    /// Of a connection.
    pub fn new(stream: async_net::TcpStream) -> Self {
        ConnectionInput(stream.into())
    }

    /// Reads once what has arrived.
    pub fn read(&self, push: impl FnOnce(&[u8])) -> ReadOutcome {
        let mut bytes = [0; READ_BYTES];
        loop {
            match (&mut self.0.get_ref()).read(&mut bytes) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    push(&bytes[..count]);
                    return ReadOutcome::Data;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Empty,
                Err(_) => return ReadOutcome::Closed,
            }
        }
    }

    /// Calls `handle_next` until it is done, one message at a time: between two of them the other
    /// connections are served. So a node's message waits for one set-up of each client's connection
    /// at the most, and not for all that have arrived on them.
    pub async fn read_messages(&self, mut handle_next_message: impl FnMut() -> ReadProgress) {
        loop {
            match handle_next_message() {
                ReadProgress::Handled => future::yield_now().await,
                ReadProgress::Drained if self.0.readable().await.is_err() => return,
                ReadProgress::Drained => {}
                ReadProgress::Done => return,
            }
        }
    }
}
