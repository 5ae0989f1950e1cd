//! What peers have sent, read without waiting: so it can be heard at any moment, and not only at
//! its task's turn.

use async_io::Async;
use futures_lite::future;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;

const READ_BYTES: usize = 8 * 1024;

/// The reading end of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionInput(Arc<Async<TcpStream>>);

/// What came of a look at a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    Data,
    /// All that has come has been read.
    Empty,
    /// The peer has ended its side, in whatever way.
    Closed,
}

/// What a reader made of what has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// One message was handled, and more may be there.
    Handled,
    /// No whole message is left.
    Drained,
    /// The connection is of no more use.
    Done,
}

impl ConnectionInput {
    pub fn new(stream: async_net::TcpStream) -> Self {
        ConnectionInput(stream.into())
    }

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

    /// Calls `hear` until it has had enough, a message at a time: between two of them the other
    /// connections get their turn. So a node's word waits for one set-up of each owner's
    /// connection at the most, and not for all that have come on them.
    pub async fn touch(&self, mut hear: impl FnMut() -> ReadProgress) {
        loop {
            match hear() {
                ReadProgress::Handled => future::yield_now().await,
                ReadProgress::Drained if self.0.readable().await.is_err() => return,
                ReadProgress::Drained => {}
                ReadProgress::Done => return,
            }
        }
    }
}
