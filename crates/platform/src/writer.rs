//! The queue of a connection's outgoing messages, and the loop that writes them.

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

/// A peer that reads so slowly that more bytes are queued for it is cut off.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// How long one write may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the last messages may take on a connection that is being closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the peer of a half-closed connection may take to close its side. What it sends later
/// could not be passed on in time anyway.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending end; dropping it closes the connection once all is written.
#[derive(Debug)]
pub struct MessageSender {
    sender: async_channel::Sender<QueuedMessage>,
    shared: Arc<SharedState>,
}

/// The receiving end, for the task that writes.
pub struct MessageQueue {
    receiver: async_channel::Receiver<QueuedMessage>,
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
    /// A set-up: whether it may still be written is checked just before its first byte is written.
    SetUp(AttemptId),
    /// The end of a running task: if this connection can't deliver it any longer, another must.
    TaskEnd,
    Other,
}

/// What both ends share.
#[derive(Debug, Default)]
struct SharedState {
    /// Bytes that are queued.
    queued_bytes: AtomicUsize,
    /// Once our side is closed, what the peer sent before is still read.
    half_close_requested: AtomicBool,
    /// Nothing more is written: it was meant for a peer that is gone, and another may have its
    /// address.
    discarded: AtomicBool,
}

/// Both ends of an empty queue.
pub fn message_queue() -> (MessageSender, MessageQueue) {
    let (sender, receiver) = async_channel::unbounded();
    let shared = Arc::new(SharedState::default());
    (
        MessageSender {
            sender,
            shared: Arc::clone(&shared),
        },
        MessageQueue { receiver, shared },
    )
}

impl MessageSender {
    /// False where the connection can't be used any more.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        self.enqueue(Purpose::Other, bytes)
    }

    /// The same for a set-up.
    pub fn send_set_up(&self, attempt: AttemptId, bytes: Vec<u8>) -> bool {
        self.enqueue(Purpose::SetUp(attempt), bytes)
    }

    /// The same for the end of a running task.
    pub fn send_task_end(&self, bytes: Vec<u8>) -> bool {
        self.enqueue(Purpose::TaskEnd, bytes)
    }

    fn enqueue(&self, purpose: Purpose, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        if self
            .shared
            .queued_bytes
            .fetch_add(length, Ordering::Relaxed)
            + length
            > MAX_QUEUED_BYTES
        {
            self.sender.close();
        }
        self.sender
            .try_send(QueuedMessage { purpose, bytes })
            .is_ok()
    }

    /// Closes our side once all is written, and goes on reading until the peer has closed its side
    /// too.
    pub fn half_close(self) {
        self.shared
            .half_close_requested
            .store(true, Ordering::Relaxed);
    }

    /// Closes the connection with nothing more written.
    pub fn discard(self) {
        self.shared.discarded.store(true, Ordering::Relaxed);
    }
}

impl MessageQueue {
    /// Takes all queued messages out.
    #[cfg(test)]
    pub fn take_all(&self) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.receiver.try_recv().ok().map(|message| message.bytes)).collect()
    }

    /// Takes the next message out, with the attempt that it starts.
    #[cfg(test)]
    pub fn next(&self) -> Option<(Option<AttemptId>, Vec<u8>)> {
        let QueuedMessage { purpose, bytes } = self.receiver.try_recv().ok()?;
        match purpose {
            Purpose::SetUp(attempt) => Some((Some(attempt), bytes)),
            Purpose::TaskEnd | Purpose::Other => Some((None, bytes)),
        }
    }

    /// Whether the sending end is gone and all has been written; then, whether the connection is
    /// half-closed.
    #[cfg(test)]
    pub fn ended(&self) -> Option<bool> {
        let ended = self.receiver.is_closed() && self.receiver.is_empty();
        ended.then(|| self.shared.half_close_requested.load(Ordering::Relaxed))
    }

    /// A second receiving end.
    #[cfg(test)]
    pub fn second_receiver(&self) -> MessageQueue {
        MessageQueue {
            receiver: self.receiver.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Whether nothing more is to be written.
    pub fn is_discarded(&self) -> bool {
        self.shared.discarded.load(Ordering::Relaxed)
    }

    /// Writes messages until no more can come, or the peer reads no more.
    async fn write(&self, mut stream: TcpStream, may_write_set_up: impl Fn(AttemptId) -> bool) {
        while let Ok(QueuedMessage { purpose, bytes }) = self.receiver.recv().await {
            let should_write = !self.is_discarded()
                && !matches!(purpose, Purpose::SetUp(attempt) if !may_write_set_up(attempt));
            let written = if should_write {
                within(WRITE_TIMEOUT, stream.write_all(&bytes)).await
            } else {
                Some(Ok(()))
            };
            self.shared
                .queued_bytes
                .fetch_sub(bytes.len(), Ordering::Relaxed);
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }
}

/// Carries a connection until either side ends it. `read` reads it, and ends when nothing more is
/// to be read; what follows from that happens within it and does not wait for the last messages.
/// `may_write_set_up` is asked before each set-up is written. Returns ends of running tasks that
/// were not delivered.
pub async fn run_connection(
    stream: TcpStream,
    queue: MessageQueue,
    may_write_set_up: impl Fn(AttemptId) -> bool,
    read: impl Future<Output = ()>,
) -> Vec<Vec<u8>> {
    let mut read = pin!(read);
    // The writer may end with messages queued: they are written before the reader's end closes the
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
    let flush = async {
        let mut stream = stream.clone();
        while let Ok(QueuedMessage { purpose, bytes }) = queue.receiver.try_recv() {
            match purpose {
                Purpose::SetUp(_) => {}
                Purpose::TaskEnd if fully_read => undelivered.push(bytes),
                _ if queue.is_discarded() => {}
                _ if stream.write_all(&bytes).await.is_err() => break,
                _ => {}
            }
        }
    };
    within(FLUSH_TIMEOUT, flush).await;
    while let Ok(QueuedMessage { purpose, bytes }) = queue.receiver.try_recv() {
        undelivered.extend((purpose == Purpose::TaskEnd).then_some(bytes));
    }
    if !fully_read && queue.shared.half_close_requested.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HALF_CLOSE_TIMEOUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
    undelivered
}
