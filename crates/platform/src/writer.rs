//! Queues the outgoing messages of a connection and writes them.

use crate::ids::AttemptId;
use crate::task_end::TaskEnd;
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

/// Maximum bytes queued for a peer. A peer that reads so slowly that more are queued is
/// disconnected.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// Time within which one write must complete.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the last messages must be written on a connection that is being closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which the peer of a half-closed connection must close its side. Later messages could
/// not be forwarded in time anyway.
const HALF_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The sending end of a queue. Dropping it closes the connection once all messages are written.
#[derive(Debug)]
pub struct MessageSender {
    sender: async_channel::Sender<QueuedMessage>,
    shared: Arc<SharedState>,
}

/// The receiving end of a queue, for the task that writes the messages.
pub struct MessageQueue {
    receiver: async_channel::Receiver<QueuedMessage>,
    shared: Arc<SharedState>,
}

/// A message waiting to be written.
#[derive(Debug)]
struct QueuedMessage {
    purpose: Purpose,
    bytes: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// A set-up. Whether it may still be written is checked right before its first byte.
    SetUp(AttemptId),
    /// The end of a running task. If this connection can't deliver it, another one must.
    TaskEnd(TaskEnd),
    Other,
}

/// The state shared by both ends of a queue.
#[derive(Debug, Default)]
struct SharedState {
    /// The number of queued bytes.
    queued_bytes: AtomicUsize,
    /// Whether the peer's messages are still read after this side is closed.
    half_close_requested: AtomicBool,
    /// True if nothing more may be written: the peer is gone, and another one may have its
    /// address.
    discarded: AtomicBool,
}

/// Creates an empty queue and returns its two ends.
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
    /// Queues a message. Returns false if the connection can no longer be used.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        self.enqueue(Purpose::Other, bytes)
    }

    /// Queues a set-up. Returns false if the connection can no longer be used.
    pub fn send_set_up(&self, attempt: AttemptId, bytes: Vec<u8>) -> bool {
        self.enqueue(Purpose::SetUp(attempt), bytes)
    }

    /// Queues the end of a running task. Returns false if the connection can no longer be used.
    pub fn send_task_end(&self, end: TaskEnd) -> bool {
        end.encode()
            .is_some_and(|bytes| self.enqueue(Purpose::TaskEnd(end), bytes))
    }

    /// Queues a copy of the end of a running task, unless much is queued already. Returns false if
    /// it was not queued. A copy that can't be written is dropped.
    pub fn send_task_end_copy(&self, end: TaskEnd) -> bool {
        let queued = self.shared.queued_bytes.load(Ordering::Relaxed);
        queued < MAX_QUEUED_BYTES / 2 && end.encode().is_some_and(|bytes| self.send(bytes))
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

    /// Closes this side once all messages are written, and continues to read until the peer has
    /// closed its side too.
    pub fn half_close(self) {
        self.shared
            .half_close_requested
            .store(true, Ordering::Relaxed);
    }

    /// Closes the connection without writing the queued messages.
    pub fn discard(self) {
        self.shared.discarded.store(true, Ordering::Relaxed);
    }
}

impl MessageQueue {
    /// Removes and returns all queued messages.
    #[cfg(test)]
    pub fn take_all(&self) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.receiver.try_recv().ok().map(|message| message.bytes)).collect()
    }

    /// Removes and returns the next message, with the attempt if it is a set-up.
    #[cfg(test)]
    pub fn next(&self) -> Option<(Option<AttemptId>, Vec<u8>)> {
        let QueuedMessage { purpose, bytes } = self.receiver.try_recv().ok()?;
        match purpose {
            Purpose::SetUp(attempt) => Some((Some(attempt), bytes)),
            Purpose::TaskEnd(_) | Purpose::Other => Some((None, bytes)),
        }
    }

    /// Removes the next message as if it were written. Returns false if there is none.
    #[cfg(test)]
    pub fn write_next_for_test(&self) -> bool {
        let Ok(message) = self.receiver.try_recv() else {
            return false;
        };
        self.shared
            .queued_bytes
            .fetch_sub(message.bytes.len(), Ordering::Relaxed);
        true
    }

    /// Returns none until the sending end is gone and the queue is empty; then, whether the
    /// connection is half-closed.
    #[cfg(test)]
    pub fn ended(&self) -> Option<bool> {
        let ended = self.receiver.is_closed() && self.receiver.is_empty();
        ended.then(|| self.shared.half_close_requested.load(Ordering::Relaxed))
    }

    /// Returns a second receiving end.
    #[cfg(test)]
    pub fn second_receiver(&self) -> MessageQueue {
        MessageQueue {
            receiver: self.receiver.clone(),
            shared: Arc::clone(&self.shared),
        }
    }

    /// Returns whether nothing more may be written.
    pub fn is_discarded(&self) -> bool {
        self.shared.discarded.load(Ordering::Relaxed)
    }

    /// Writes messages until the sending end is gone or the peer no longer reads.
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

/// Reads and writes a connection until either side ends it. `read` reads it and completes when
/// there is nothing more to read; it also handles the end of the connection, without waiting for
/// the last messages to be written. `may_write_set_up` is called before each set-up is written.
/// Returns the ends of running tasks that were not delivered.
pub async fn run_connection(
    stream: TcpStream,
    queue: MessageQueue,
    may_write_set_up: impl Fn(AttemptId) -> bool,
    read: impl Future<Output = ()>,
) -> Vec<TaskEnd> {
    let mut read = pin!(read);
    // Messages may still be queued when the reader ends; they are written before the connection is
    // closed.
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
                Purpose::TaskEnd(end) if fully_read => undelivered.push(end),
                _ if queue.is_discarded() => {}
                _ if stream.write_all(&bytes).await.is_err() => break,
                _ => {}
            }
        }
    };
    within(FLUSH_TIMEOUT, flush).await;
    while let Ok(QueuedMessage { purpose, .. }) = queue.receiver.try_recv() {
        if let Purpose::TaskEnd(end) = purpose {
            undelivered.push(end);
        }
    }
    if !fully_read && queue.shared.half_close_requested.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HALF_CLOSE_TIMEOUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
    undelivered
}
