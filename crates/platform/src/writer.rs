//! Queues the outgoing messages of a connection and writes them.

use crate::ids::AttemptId;
use crate::task_end::TaskEnd;
use async_net::TcpStream;
use corkspan_runtime::within;
use futures_lite::{AsyncWriteExt, FutureExt};
use std::future::Future;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tracing::debug;

#[cfg(test)]
#[path = "../tests/writer/fairness.rs"]
mod fairness;

/// Maximum bytes queued for a peer, with [`MESSAGE_OVERHEAD_BYTES`] for each message. A peer that
/// reads so slowly that more are queued is disconnected.
const MAX_QUEUED_BYTES: usize = 128 * 1024;
/// The bytes of a queued message besides its content: the entry in the queue and the allocation.
const MESSAGE_OVERHEAD_BYTES: usize = 96;
/// Time within which one write must complete.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which the last messages must be written on a connection that is being closed.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which everything is read that has arrived on a connection before a write failed: that
/// within which the end of a task must be reported. A busy process reads one message in each pass.
const READ_OUT_TIMEOUT: Duration = Duration::from_secs(8);
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
enum QueuedMessage {
    /// A set-up. Whether it may still be written is checked right before its first byte, and only
    /// then it is encoded.
    SetUp(AttemptId),
    /// The end of a running task. If this connection can't deliver it, another one must.
    TaskEnd(TaskEnd, Vec<u8>),
    Other(Vec<u8>),
}

impl QueuedMessage {
    /// Returns the bytes that the message holds while it is queued.
    fn queued_bytes(&self) -> usize {
        match self {
            QueuedMessage::SetUp(_) => queued_bytes(0),
            QueuedMessage::TaskEnd(_, bytes) | QueuedMessage::Other(bytes) => {
                queued_bytes(bytes.len())
            }
        }
    }
}

/// Returns the bytes that a queued message of the given length holds.
pub fn queued_bytes(length: usize) -> usize {
    MESSAGE_OVERHEAD_BYTES + length
}

/// The state shared by both ends of a queue.
#[derive(Debug, Default)]
struct SharedState {
    /// The number of queued bytes.
    queued_bytes: AtomicUsize,
    /// Whether the peer's messages are still read after this side is closed.
    half_close_requested: AtomicBool,
    /// Whether what has arrived is still read after both sides are closed.
    read_out_requested: AtomicBool,
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
        self.enqueue(QueuedMessage::Other(bytes))
    }

    /// Queues a set-up. Returns false if the connection can no longer be used.
    pub fn send_set_up(&self, attempt: AttemptId) -> bool {
        self.enqueue(QueuedMessage::SetUp(attempt))
    }

    /// Queues the end of a running task. Returns false if the connection can no longer be used.
    pub fn send_task_end(&self, end: TaskEnd) -> bool {
        end.encode()
            .is_some_and(|bytes| self.enqueue(QueuedMessage::TaskEnd(end, bytes)))
    }

    /// Queues a message unless much is queued already. Returns false if it was not queued.
    pub fn send_if_short(&self, bytes: Vec<u8>) -> bool {
        self.queued_bytes() < MAX_QUEUED_BYTES / 2 && self.send(bytes)
    }

    /// Returns the bytes that the queued messages hold.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued_bytes.load(Ordering::Relaxed)
    }

    /// Lets the connection end as if the peer did not read.
    pub fn close(&self) {
        self.sender.close();
    }

    fn enqueue(&self, message: QueuedMessage) -> bool {
        let added = message.queued_bytes();
        let before = self.shared.queued_bytes.fetch_add(added, Ordering::Relaxed);
        if before + added > MAX_QUEUED_BYTES {
            self.sender.close();
        }
        let queued = self.sender.try_send(message).is_ok();
        if !queued {
            self.shared.queued_bytes.fetch_sub(added, Ordering::Relaxed);
        }
        queued
    }

    /// Closes this side once all messages are written, and continues to read until the peer has
    /// closed its side too.
    pub fn half_close(self) {
        self.shared
            .half_close_requested
            .store(true, Ordering::Relaxed);
    }

    /// Closes both sides once all messages are written, and still reads what has arrived until then.
    pub fn close_and_read_out(self) {
        self.shared
            .read_out_requested
            .store(true, Ordering::Relaxed);
    }

    /// Closes the connection without writing the queued messages, and still reads what has arrived.
    pub fn discard_and_read_out(self) {
        self.shared.discarded.store(true, Ordering::Relaxed);
        self.close_and_read_out();
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
        std::iter::from_fn(|| self.next())
            .map(|(_, bytes)| bytes)
            .collect()
    }

    /// Removes and returns the next message as if it were written, with the attempt in place of the
    /// bytes if it is a set-up.
    #[cfg(test)]
    pub fn next(&self) -> Option<(Option<AttemptId>, Vec<u8>)> {
        let message = self.receiver.try_recv().ok()?;
        self.dequeued(message.queued_bytes());
        match message {
            QueuedMessage::SetUp(attempt) => Some((Some(attempt), Vec::new())),
            QueuedMessage::TaskEnd(_, bytes) | QueuedMessage::Other(bytes) => Some((None, bytes)),
        }
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

    /// Records that a message is no longer queued.
    fn dequeued(&self, bytes: usize) {
        self.shared.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Writes messages until the sending end is gone or a write fails.
    async fn write(
        &self,
        stream: &mut TcpStream,
        set_up_line: impl Fn(AttemptId) -> Option<Vec<u8>>,
    ) -> WriteOutcome {
        while let Ok(message) = self.receiver.recv().await {
            let held = message.queued_bytes();
            let (end, bytes) = match message {
                _ if self.is_discarded() => (None, None),
                QueuedMessage::SetUp(attempt) => (None, set_up_line(attempt)),
                QueuedMessage::TaskEnd(end, bytes) => (Some(end), Some(bytes)),
                QueuedMessage::Other(bytes) => (None, Some(bytes)),
            };
            let written = match bytes {
                Some(bytes) => within(WRITE_TIMEOUT, write_all(stream, &bytes)).await,
                None => Some(Ok(())),
            };
            self.dequeued(held);
            if !matches!(written, Some(Ok(()))) {
                debug!(?written, "a message can't be written");
                return WriteOutcome::Failed(end);
            }
        }
        WriteOutcome::SenderGone
    }

    /// Writes the messages that are left. If the peer has closed its side, it no longer reads, so the
    /// ends of tasks are not written. Adds the ends that were not written to `undelivered`.
    async fn flush(
        &self,
        stream: &mut TcpStream,
        peer_closed: bool,
        undelivered: &mut Vec<TaskEnd>,
    ) {
        while let Ok(message) = self.receiver.try_recv() {
            let (end, bytes) = match message {
                QueuedMessage::SetUp(_) => continue,
                QueuedMessage::TaskEnd(end, bytes) => (Some(end), bytes),
                QueuedMessage::Other(bytes) => (None, bytes),
            };
            // Until it is written, since the flush may be cut off by its timeout.
            undelivered.extend(end);
            if self.is_discarded() || peer_closed && end.is_some() {
                continue;
            }
            if write_all(stream, &bytes).await.is_err() {
                break;
            }
            if end.is_some() {
                undelivered.pop();
            }
        }
    }

    /// Removes the messages that are left, and adds the ends of tasks among them to `undelivered`.
    fn take_ends(&self, undelivered: &mut Vec<TaskEnd>) {
        while let Ok(message) = self.receiver.try_recv() {
            if let QueuedMessage::TaskEnd(end, _) = message {
                undelivered.push(end);
            }
        }
    }
}

/// How the writing of a connection's messages has ended.
enum WriteOutcome {
    /// The sending end is gone, and all messages are written.
    SenderGone,
    /// A write has failed, perhaps that of the end of a task.
    Failed(Option<TaskEnd>),
}

/// Writes all bytes. Unlike the library's function, it goes on after an interrupted write.
async fn write_all(stream: &mut TcpStream, mut bytes: &[u8]) -> std::io::Result<()> {
    while !bytes.is_empty() {
        match stream.write(bytes).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => bytes = &bytes[count..],
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads and writes a connection until either side ends it. `read` reads it and completes when
/// there is nothing more to read; it also handles the end of the connection, without waiting for
/// the last messages to be written. `set_up_line` is called before each set-up is written, and returns
/// its line unless it may not be written any more.
/// Returns the ends of running tasks that were not delivered.
pub async fn run_connection(
    stream: TcpStream,
    queue: MessageQueue,
    set_up_line: impl Fn(AttemptId) -> Option<Vec<u8>>,
    read: impl Future<Output = ()>,
) -> Vec<TaskEnd> {
    let mut read = pin!(read);
    // Messages may still be queued when the reader ends; they are written before the connection is
    // closed.
    let (mut stream, mut undelivered) = (stream, Vec::new());
    let mut output = stream.clone();
    let reading = async {
        read.as_mut().await;
        None
    };
    let writing = async { Some(queue.write(&mut output, &set_up_line).await) };
    let written = reading.or(writing).await;
    let fully_read = written.is_none();
    let sender_gone = matches!(written, Some(WriteOutcome::SenderGone));
    if let Some(WriteOutcome::Failed(end)) = written {
        undelivered.extend(end);
        // The peer may have closed the connection after its last messages, which must be read.
        // Closing both sides leaves what has arrived to be read. A peer that goes on sending may still
        // be read, until the timeout.
        queue.receiver.close();
        let _ = stream.shutdown(Shutdown::Both);
        within(READ_OUT_TIMEOUT, read.as_mut()).await;
    }
    let flush = queue.flush(&mut stream, fully_read, &mut undelivered);
    within(FLUSH_TIMEOUT, flush).await;
    queue.take_ends(&mut undelivered);
    if sender_gone && queue.shared.half_close_requested.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HALF_CLOSE_TIMEOUT, read).await;
    } else if sender_gone && queue.shared.read_out_requested.load(Ordering::Relaxed) {
        // What has arrived can still be read after the close, and nothing would send it again.
        let _ = stream.shutdown(Shutdown::Both);
        within(HALF_CLOSE_TIMEOUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
    undelivered
}
