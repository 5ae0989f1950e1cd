//! What every dispatcher process runs on: the clock, the executor, timeouts, the one timer of the
//! decisions and signals. It knows nothing of allocations.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod clock;

use async_executor::Executor;
use async_io::Timer;
use async_signal::Signals;
use futures_lite::FutureExt;
use futures_lite::future;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use std::time::Instant;

pub use async_signal::Signal;

/// The executor that carries all tasks of a process.
pub type SharedExecutor = Arc<Executor<'static>>;

/// Receives these signals from here on: they no longer end the process.
///
/// # Errors
///
/// A signal can't be received.
pub fn signals(which: impl IntoIterator<Item = Signal>) -> std::io::Result<Signals> {
    Signals::new(which)
}

/// The one timer of the decisions: calls `fired` at the earliest instant that it has been armed
/// for, and then waits to be armed again. Ends when nobody can arm it any more.
pub async fn run_timer(armed: async_channel::Receiver<Instant>, mut fired: impl FnMut()) {
    enum Event {
        Armed(Instant),
        Fired,
        Closed,
    }
    let mut due: Option<Instant> = None;
    loop {
        let arming = async { armed.recv().await.map_or(Event::Closed, Event::Armed) };
        let firing = async {
            match due {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Event::Fired
        };
        match arming.or(firing).await {
            Event::Armed(at) => due = Some(due.map_or(at, |other| other.min(at))),
            Event::Fired => {
                due = None;
                fired();
            }
            Event::Closed => return,
        }
    }
}

/// The value of a future, or none if it takes longer.
pub fn within<F: Future>(time: Duration, value: F) -> Within<F> {
    Within {
        value,
        timer: Timer::after(time),
    }
}

pin_project_lite::pin_project! {
    /// The future of [`within`]. Written out: an async block would hold the value's state twice,
    /// and states of gRPC calls are large.
    pub struct Within<F> {
        #[pin]
        value: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for Within<F> {
    type Output = Option<F::Output>;

    /// The value first: an answer that is there when it is polled late is an answer.
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match (this.value.poll(cx), this.timer.poll(cx)) {
            (Poll::Ready(value), _) => Poll::Ready(Some(value)),
            (Poll::Pending, Poll::Ready(_)) => Poll::Ready(None),
            (Poll::Pending, Poll::Pending) => Poll::Pending,
        }
    }
}
