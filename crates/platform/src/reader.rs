//! Reads input of peers without blocking, so that it can be read at any time and not only when the
//! connection's task runs.

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
    /// All input that had arrived has been read.
    Empty,
    /// The peer has closed its side.
    Closed,
    /// The connection has failed.
    Failed(ErrorKind),
}

/// The outcome of handling the next message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// One message was handled, and more may be available.
    Handled,
    /// No complete message is left.
    NoMessage,
    /// The connection must be closed.
    Done,
}

impl ConnectionInput {
    /// Creates the reading end of a connection.
    pub fn new(stream: async_net::TcpStream) -> Self {
        ConnectionInput(stream.into())
    }

    /// Passes input that has arrived to `push`, with a single read.
    pub fn read(&self, push: impl FnOnce(&[u8])) -> ReadOutcome {
        self.read_up_to(READ_BYTES, push)
    }

    /// Passes input that has arrived to `push`, with a single read of at most `max_bytes`, which is
    /// more than 0.
    pub fn read_up_to(&self, max_bytes: usize, push: impl FnOnce(&[u8])) -> ReadOutcome {
        let mut buffer = [0; READ_BYTES];
        let bytes = &mut buffer[..max_bytes.min(READ_BYTES)];
        loop {
            match (&mut self.0.get_ref()).read(bytes) {
                Ok(0) => return ReadOutcome::Closed,
                Ok(count) => {
                    push(&bytes[..count]);
                    return ReadOutcome::Data;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return ReadOutcome::Empty,
                Err(error) => return ReadOutcome::Failed(error.kind()),
            }
        }
    }

    /// Calls `handle_next` for one message at a time until it is done, and lets other connections
    /// run between two messages. A node's message thus waits for at most one set-up on each
    /// client's connection, and not for all that have arrived.
    pub async fn read_messages(&self, mut handle_next_message: impl FnMut() -> ReadProgress) {
        loop {
            match handle_next_message() {
                ReadProgress::Handled => future::yield_now().await,
                ReadProgress::NoMessage if self.0.readable().await.is_err() => return,
                ReadProgress::NoMessage => {}
                ReadProgress::Done => return,
            }
        }
    }
}
