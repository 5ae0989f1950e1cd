//! What waits to be written on a connection, and the loops that move bytes. What to make of them is the callers'.

use async_net::TcpStream;
use corkspan_runtime::within;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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
/// So long a peer that is heard out may take to end its side. What it said later would be told too late anyway.
const HEARD_OUT: Duration = Duration::from_secs(1);
const READ_AT_ONCE: usize = 8 * 1024;

/// The writing end; dropping it closes the connection once all is written.
#[derive(Debug)]
pub struct Outbox {
    to: async_channel::Sender<(Option<u64>, Vec<u8>)>,
    kept: Arc<Kept>,
}

pub struct Inbox {
    from: async_channel::Receiver<(Option<u64>, Vec<u8>)>,
    kept: Arc<Kept>,
}

/// What both ends know of a connection.
#[derive(Debug, Default)]
struct Kept {
    /// Bytes that wait to be written.
    waiting: AtomicUsize,
    /// Once we close it, what the peer said before it heard of that is still read.
    hears_out: AtomicBool,
    /// Set-ups of which nothing has been written yet.
    unsent: Mutex<BTreeSet<u64>>,
}

impl Kept {
    /// False where it was written already, or taken back.
    fn take(&self, set_up: u64) -> bool {
        self.unsent.lock().unwrap_or_else(PoisonError::into_inner).remove(&set_up)
    }
}

pub fn outbox() -> (Outbox, Inbox) {
    let (to, from) = async_channel::unbounded();
    let kept = Arc::new(Kept::default());
    (Outbox { to, kept: Arc::clone(&kept) }, Inbox { from, kept })
}

/// What a reader makes of the bytes that have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// One message was handled, and more may be there.
    One,
    /// No whole message is left.
    All,
    /// The connection is of no more use.
    Enough,
}

impl Outbox {
    /// False where the connection is of no more use.
    pub fn send(&self, bytes: Vec<u8>) -> bool {
        self.put(None, bytes)
    }

    /// The same for a set-up, which may be taken back as long as nothing of it has been written.
    pub fn send_set_up(&self, set_up: u64, bytes: Vec<u8>) -> bool {
        self.kept.unsent.lock().unwrap_or_else(PoisonError::into_inner).insert(set_up);
        self.put(Some(set_up), bytes)
    }

    /// True where it is never written from here on.
    pub fn take_back(&self, set_up: u64) -> bool {
        self.kept.take(set_up)
    }

    fn put(&self, set_up: Option<u64>, bytes: Vec<u8>) -> bool {
        let length = bytes.len();
        if self.kept.waiting.fetch_add(length, Ordering::Relaxed) + length > MOST_WAITING {
            self.to.close();
        }
        self.to.try_send((set_up, bytes)).is_ok()
    }

    /// Closes the connection once all is written, and goes on reading until the peer has ended its side too.
    pub fn hear_out(self) {
        self.kept.hears_out.store(true, Ordering::Relaxed);
    }
}

impl Inbox {
    /// What waits to be written, taken out.
    #[cfg(test)]
    pub fn waiting(&self) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.from.try_recv().ok().map(|(_, bytes)| bytes)).collect()
    }

    /// Writes what comes until nothing more can come, or the peer takes no more.
    async fn write(&self, mut stream: TcpStream, began: impl Fn()) {
        while let Ok((set_up, bytes)) = self.from.recv().await {
            // One that was given up meanwhile must not reach a node after its owner has had its answer.
            if set_up.is_some_and(|set_up| !self.kept.take(set_up)) {
                self.kept.waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
                continue;
            }
            began();
            let written = within(WRITE_WITHIN, stream.write_all(&bytes)).await;
            self.kept.waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
            if !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }
}

/// Carries a connection until either side ends it. `heard` gets what was read, then nothing until it has handled
/// all of it, a message at a time: between two of them the other connections get their turn. So a node's word waits for
/// one set-up of each owner's connection at the most, and not for all that have come on them. `began` is called before
/// each write.
pub async fn carry(stream: TcpStream, inbox: Inbox, began: impl Fn(), mut heard: impl FnMut(&[u8]) -> Heard) {
    let read = async {
        let (mut stream, mut bytes) = (stream.clone(), vec![0; READ_AT_ONCE]);
        while let Ok(count @ 1..) = stream.read(&mut bytes).await {
            let mut new = &bytes[..count];
            loop {
                let made = heard(std::mem::take(&mut new));
                // A peer that sends at full speed must not keep the others from being read.
                future::yield_now().await;
                match made {
                    Heard::One => {}
                    Heard::All => break,
                    Heard::Enough => return,
                }
            }
        }
    };
    let mut read = pin!(read);
    // The writer may end with words under way: they are written before the reader's end closes the connection.
    let all_read = async {
        read.as_mut().await;
        true
    };
    let all_written = async {
        inbox.write(stream.clone(), &began).await;
        false
    };
    let all_read = all_read.or(all_written).await;
    let rest = async {
        let mut stream = stream.clone();
        while let Ok((set_up, bytes)) = inbox.from.try_recv() {
            if set_up.is_some() {
                continue;
            }
            if stream.write_all(&bytes).await.is_err() {
                break;
            }
        }
    };
    within(LAST_WORDS, rest).await;
    if !all_read && inbox.kept.hears_out.load(Ordering::Relaxed) {
        let _ = stream.shutdown(Shutdown::Write);
        within(HEARD_OUT, read).await;
    }
    let _ = stream.shutdown(Shutdown::Both);
}
