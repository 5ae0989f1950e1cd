//! What waits to be written on a connection, and the loops that move bytes. What to make of them is the callers'.

use async_net::TcpStream;
use corkspan_runtime::within;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A peer that reads so slowly that more waits for it is cut off.
const MOST_WAITING: usize = 128 * 1024;
/// So long one write may take.
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// So long the last words may take on a connection that is to be closed.
const LAST_WORDS: Duration = Duration::from_millis(100);
const READ_AT_ONCE: usize = 8 * 1024;

/// The writing end; dropping it closes the connection once all is written.
#[derive(Debug)]
pub struct Outbox {
    to: async_channel::Sender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
}

pub struct Inbox {
    from: async_channel::Receiver<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
}

pub fn outbox() -> (Outbox, Inbox) {
    let (to, from) = async_channel::unbounded();
    let waiting = Arc::new(AtomicUsize::new(0));
    (Outbox { to, waiting: Arc::clone(&waiting) }, Inbox { from, waiting })
}

impl Outbox {
    /// False where the connection is of no more use.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        if self.waiting.fetch_add(length, Ordering::Relaxed) + length > MOST_WAITING {
            self.to.close();
        }
        self.to.try_send(bytes).is_ok()
    }
}

impl Inbox {
    /// Writes what comes until nothing more can come, or the peer takes no more.
    async fn write(&self, mut stream: TcpStream, began: impl Fn()) {
        while let Ok(bytes) = self.from.recv().await {
            began();
            let written = within(WRITE_WITHIN, stream.write_all(&bytes)).await;
            self.waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }
}

/// Carries a connection until either side ends it. `heard` gets what was read and says whether to go on; `began`
/// is called before each write.
pub async fn carry(stream: TcpStream, inbox: Inbox, began: impl Fn(), mut heard: impl FnMut(&[u8]) -> bool) {
    let read = async {
        let (mut stream, mut bytes) = (stream.clone(), vec![0; READ_AT_ONCE]);
        while let Ok(count) = stream.read(&mut bytes).await {
            if count == 0 || !heard(&bytes[..count]) {
                break;
            }
            // A peer that sends at full speed must not keep the others from being read.
            future::yield_now().await;
        }
    };
    // The writer may end with words under way: they are written before the reader's end closes the connection.
    read.or(inbox.write(stream.clone(), &began)).await;
    let rest = async {
        let mut stream = stream.clone();
        while let Ok(bytes) = inbox.from.try_recv() {
            if stream.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    within(LAST_WORDS, rest).await;
    let _ = stream.shutdown(std::net::Shutdown::Both);
}
