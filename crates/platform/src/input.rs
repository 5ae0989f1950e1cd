//! What peers have sent, read without waiting: so it can be heard at any moment, and not only at
//! its task's turn.

use async_io::Async;
use futures_lite::future;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;

const READ_AT_ONCE: usize = 8 * 1024;

/// The reading end of a connection.
#[derive(Clone, Debug)]
pub struct Input(Arc<Async<TcpStream>>);

/// What came of a look at a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Some,
    /// All that has come has been read.
    Nothing,
    /// The peer has ended its side, in whatever way.
    Ended,
}

/// What a reader made of what has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// One message was handled, and more may be there.
    One,
    /// No whole message is left.
    All,
    /// The connection is of no more use.
    Enough,
}

impl Input {
    pub fn new(stream: async_net::TcpStream) -> Self {
        Input(stream.into())
    }

    pub fn read(&self, push: impl FnOnce(&[u8])) -> Came {
        let mut bytes = [0; READ_AT_ONCE];
        loop {
            match (&mut self.0.get_ref()).read(&mut bytes) {
                Ok(0) => return Came::Ended,
                Ok(count) => {
                    push(&bytes[..count]);
                    return Came::Some;
                }
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) if why.kind() == ErrorKind::WouldBlock => return Came::Nothing,
                Err(_) => return Came::Ended,
            }
        }
    }

    /// Calls `hear` until it has had enough, a message at a time: between two of them the other
    /// connections get their turn. So a node's word waits for one set-up of each owner's
    /// connection at the most, and not for all that have come on them.
    pub async fn heard(&self, mut hear: impl FnMut() -> Heard) {
        loop {
            match hear() {
                Heard::One => future::yield_now().await,
                Heard::All if self.0.readable().await.is_err() => return,
                Heard::All => {}
                Heard::Enough => return,
            }
        }
    }
}
