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
#[path = "../tests/writer/fairness.rs"]
mod fairness;

/// A peer that reads so slowly that more waits for it is cut off.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// So long one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// So long the last words may take on a connection that is to be closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// So long a peer that is heard out may take to end its side. What it said later would be told too
/// late anyway.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The writing end; dropping it closes the connection once all is written.
#[derive(Debug)]
pub struct MessageSender {
    to: async_channel::Sender<QueuedMessage>,
    shared: Arc<SharedState>,
}

pub struct MessageQueue {
    from: async_channel::Receiver<QueuedMessage>,
    shared: Arc<SharedState>,
}

/// A message that waits to be written.
#[derive(Debug)]
struct QueuedMessage {
    purpose: Purpose,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// A set-up: whether it is still wanted is asked just before its first byte is written.
    SetUp(AttemptId),
    /// The end of what stood: if this connection can't take it any longer, another must.
    TaskEnd,
    Other,
}

/// What both ends know of a connection.
#[derive(Debug, Default)]
struct SharedState {
    /// Bytes that wait to be written.
    waiting: AtomicUsize,
    /// Once we close it, what the peer said before it heard of that is still read.
    half_closes: AtomicBool,
    /// Nothing more is written: it was meant for a peer that has gone, and another may have its
    /// address.
    discarded: AtomicBool,
}

pub fn message_queue() -> (MessageSender, MessageQueue) {
    let (to, from) = async_channel::unbounded();
    let shared = Arc::new(SharedState::default());
    (
        MessageSender {
            to,
            shared: Arc::clone(&shared),
        },
        MessageQueue { from, shared },
    )
}

impl MessageSender {
    /// False where the connection is of no more use.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        self.put(Purpose::Other, bytes)
    }

    /// The same for a set-up.
    pub fn send_set_up(&self, attempt: AttemptId, bytes: Vec<u8>) -> bool {
        self.put(Purpose::SetUp(attempt), bytes)
    }

    /// The same for the end of what stood.
    pub fn send_task_end(&self, bytes: Vec<u8>) -> bool {
        self.put(Purpose::TaskEnd, bytes)
    }

    fn put(&self, purpose: Purpose, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        if self.shared.waiting.fetch_add(length, Ordering::Relaxed) + length > MAX_QUEUED_BYTES {
            self.to.close();
        }
        self.to.try_send(QueuedMessage { purpose, bytes }).is_ok()
    }

    /// Closes the connection once all is written, and goes on reading until the peer has ended its
    /// side too.
    pub fn half_close(self) {
        self.shared.half_closes.store(true, Ordering::Relaxed);
    }

    /// Closes the connection with nothing more written.
    pub fn discard(self) {
        self.shared.discarded.store(true, Ordering::Relaxed);
    }
}

impl MessageQueue {
    /// What waits to be written, taken out.
    #[cfg(test)]
    pub fn waiting(&self) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.from.try_recv().ok().map(|message| message.bytes)).collect()
    }

    /// The next message that waits to be written, taken out, and the attempt that it begins.
    #[cfg(test)]
    pub fn next(&self) -> Option<(Option<AttemptId>, Vec<u8>)> {
        let QueuedMessage { purpose, bytes } = self.from.try_recv().ok()?;
        match purpose {
            Purpose::SetUp(attempt) => Some((Some(attempt), bytes)),
            Purpose::TaskEnd | Purpose::Other => Some((None, bytes)),
        }
    }

    /// Whether the other end is gone and all has been written, and whether its peer is heard out.
    #[cfg(test)]
    pub fn ended(&self) -> Option<bool> {
        let ended = self.from.is_closed() && self.from.is_empty();
        ended.then(|| self.shared.half_closes.load(Ordering::Relaxed))
    }

    /// The same reading end once more.
    #[cfg(test)]
    pub fn tapped(&self) -> MessageQueue {
        MessageQueue {
            from: self.from.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    pub fn is_discarded(&self) -> bool {
        self.shared.discarded.load(Ordering::Relaxed)
    }

    /// Writes what comes until nothing more can come, or the peer takes no more.
    async fn write(&self, mut stream: TcpStream, may_write_set_up: impl Fn(AttemptId) -> bool) {
        while let Ok(QueuedMessage { purpose, bytes }) = self.from.recv().await {
            let wanted = !self.is_discarded()
                && !matches!(purpose, Purpose::SetUp(attempt) if !may_write_set_up(attempt));
            let written = if wanted {
                within(WRITE_TIMEOUT, stream.write_all(&bytes)).await
            } else {
                Some(Ok(()))
            };
            self.shared
                .waiting
                .fetch_sub(bytes.len(), Ordering::Relaxed);
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
    queue: MessageQueue,
    may_write_set_up: impl Fn(AttemptId) -> bool,
    read: impl Future<Output = ()>,
) -> Vec<Vec<u8>> {
    let mut read = pin!(read);
    // The writer may end with words under way: they are written before the reader's end closes the
    // connection.
    let fully_read = async {
        read.as_mut().await;
        true
    };
    let fully_written = async {
        queue.write(stream.clone(), &may_write_set_up).await;
        false
    };
    let fully_read = fully_read.or(fully_written).await;
    let mut undelivered = Vec::new();
    let rest = async {
        let mut stream = stream.clone();
        while let Ok(QueuedMessage { purpose, bytes }) = queue.from.try_recv() {
            match purpose {
                Purpose::SetUp(_) => {}
                Purpose::TaskEnd if fully_read => undelivered.push(bytes),
                _ if queue.is_discarded() => {}
                _ if stream.write_all(&bytes).await.is_err() => break,
                _ => {}
            }
        }
    };
    within(FLUSH_TIMEOUT, rest).await;
    while let Ok(QueuedMessage { purpose, bytes }) = queue.from.try_recv() {
        undelivered.extend((purpose == Purpose::TaskEnd).then_some(bytes));
    }
    if !fully_read && queue.shared.half_closes.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HALF_CLOSE_TIMEOUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
    undelivered
}
