//! What waits to be written on a connection, and the loop that moves its bytes. What to make of
//! them is the callers'.

use crate::ids::AttemptId;
use async_net::TcpStream;
use corkspan_runtime::within;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

#[cfg(test)]
#[path = "../tests/outbox/turns.rs"]
mod turns;

/// A peer that reads so slowly that more waits for it is cut off.
const MOST_WAITING: usize = 128 * 1024;
/// So long one write may take.
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// So long the last words may take on a connection that is to be closed.
const LAST_WORDS: Duration = Duration::from_millis(100);
/// So long a peer that is heard out may take to end its side. What it said later would be told too
/// late anyway.
const HEARD_OUT: Duration = Duration::from_secs(1);

/// The writing end; dropping it closes the connection once all is written.
#[derive(Debug)]
pub struct Outbox {
    to: async_channel::Sender<Words>,
    kept: Arc<Kept>,
}

pub struct Inbox {
    from: async_channel::Receiver<Words>,
    kept: Arc<Kept>,
}

/// A message that waits to be written.
#[derive(Debug)]
struct Words {
    what: What,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum What {
    /// A set-up: whether it is still wanted is asked just before its first byte is written.
    Begins(AttemptId),
    /// The end of what stood: if this connection can't take it any longer, another must.
    Over,
    Other,
}

/// What both ends know of a connection.
#[derive(Debug, Default)]
struct Kept {
    /// Bytes that wait to be written.
    waiting: AtomicUsize,
    /// Once we close it, what the peer said before it heard of that is still read.
    hears_out: AtomicBool,
    /// Nothing more is written: it was meant for a peer that has gone, and another may have its
    /// address.
    void: AtomicBool,
}

pub fn outbox() -> (Outbox, Inbox) {
    let (to, from) = async_channel::unbounded();
    let kept = Arc::new(Kept::default());
    (
        Outbox {
            to,
            kept: Arc::clone(&kept),
        },
        Inbox { from, kept },
    )
}

impl Outbox {
    /// False where the connection is of no more use.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        self.put(What::Other, bytes)
    }

    /// The same for a set-up.
    pub fn send_set_up(&self, attempt: AttemptId, bytes: Vec<u8>) -> bool {
        self.put(What::Begins(attempt), bytes)
    }

    /// The same for the end of what stood.
    pub fn send_over(&self, bytes: Vec<u8>) -> bool {
        self.put(What::Over, bytes)
    }

    fn put(&self, what: What, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        if self.kept.waiting.fetch_add(length, Ordering::Relaxed) + length > MOST_WAITING {
            self.to.close();
        }
        self.to.try_send(Words { what, bytes }).is_ok()
    }

    /// Closes the connection once all is written, and goes on reading until the peer has ended its
    /// side too.
    pub fn hear_out(self) {
        self.kept.hears_out.store(true, Ordering::Relaxed);
    }

    /// Closes the connection with nothing more written.
    pub fn void(self) {
        self.kept.void.store(true, Ordering::Relaxed);
    }
}

impl Inbox {
    /// What waits to be written, taken out.
    #[cfg(test)]
    pub fn waiting(&self) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.from.try_recv().ok().map(|words| words.bytes)).collect()
    }

    /// The next message that waits to be written, taken out, and the attempt that it begins.
    #[cfg(test)]
    pub fn next(&self) -> Option<(Option<AttemptId>, Vec<u8>)> {
        let Words { what, bytes } = self.from.try_recv().ok()?;
        match what {
            What::Begins(attempt) => Some((Some(attempt), bytes)),
            What::Over | What::Other => Some((None, bytes)),
        }
    }

    /// Whether the other end is gone and all has been written, and whether its peer is heard out.
    #[cfg(test)]
    pub fn ended(&self) -> Option<bool> {
        let ended = self.from.is_closed() && self.from.is_empty();
        ended.then(|| self.kept.hears_out.load(Ordering::Relaxed))
    }

    /// The same reading end once more.
    #[cfg(test)]
    pub fn tapped(&self) -> Inbox {
        Inbox {
            from: self.from.clone(),
            kept: Arc::clone(&self.kept),
        }
    }

    pub fn is_void(&self) -> bool {
        self.kept.void.load(Ordering::Relaxed)
    }

    /// Writes what comes until nothing more can come, or the peer takes no more.
    async fn write(&self, mut stream: TcpStream, begins: impl Fn(AttemptId) -> bool) {
        while let Ok(Words { what, bytes }) = self.from.recv().await {
            let wanted =
                !self.is_void() && !matches!(what, What::Begins(attempt) if !begins(attempt));
            let written = if wanted {
                within(WRITE_WITHIN, stream.write_all(&bytes)).await
            } else {
                Some(Ok(()))
            };
            self.kept.waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }
}

/// Carries a connection until either side ends it. `read` reads it, and ends when nothing more is
/// to be read; whoever must know of that is told within it, and does not wait for the last words.
/// `begins` is asked before each set-up is written. What is returned are ends of what stood that
/// the peer went without.
pub async fn carry(
    stream: TcpStream,
    inbox: Inbox,
    begins: impl Fn(AttemptId) -> bool,
    read: impl Future<Output = ()>,
) -> Vec<Vec<u8>> {
    let mut read = pin!(read);
    // The writer may end with words under way: they are written before the reader's end closes the
    // connection.
    let all_read = async {
        read.as_mut().await;
        true
    };
    let all_written = async {
        inbox.write(stream.clone(), &begins).await;
        false
    };
    let all_read = all_read.or(all_written).await;
    let mut untold = Vec::new();
    let rest = async {
        let mut stream = stream.clone();
        while let Ok(Words { what, bytes }) = inbox.from.try_recv() {
            match what {
                What::Begins(_) => {}
                What::Over if all_read => untold.push(bytes),
                _ if inbox.is_void() => {}
                _ if stream.write_all(&bytes).await.is_err() => break,
                _ => {}
            }
        }
    };
    within(LAST_WORDS, rest).await;
    while let Ok(Words { what, bytes }) = inbox.from.try_recv() {
        untold.extend((what == What::Over).then_some(bytes));
    }
    if !all_read && inbox.kept.hears_out.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HEARD_OUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
    untold
}
