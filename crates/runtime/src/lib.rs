//! Provides the runtime of a dispatcher process: the clock, the executor, timeouts, the scheduler's
//! single timer and signals. It is independent of allocations.

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

/// The executor that runs all tasks of a process.
pub type SharedExecutor = Arc<Executor<'static>>;

/// Starts to receive these signals, which from then on no longer end the process.
///
/// # Errors
///
/// Returns an error if a signal can't be received.
pub fn signals(which: impl IntoIterator<Item = Signal>) -> std::io::Result<Signals> {
    Signals::new(which)
}

/// Runs the scheduler's single timer: calls `fired` at the earliest instant for which it has been
/// armed, then waits to be armed again. Returns when all senders of `armed` are dropped.
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

/// Returns the value of a future, or `None` if it takes longer than `time`.
pub fn within<F: Future>(time: Duration, value: F) -> Within<F> {
    Within {
        value,
        timer: Timer::after(time),
    }
}

pin_project_lite::pin_project! {
    /// The future of [`within`]. It is implemented by hand because an async block would hold the
    /// value's state twice, and the states of gRPC calls are large.
    pub struct Within<F> {
        #[pin]
        value: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for Within<F> {
    type Output = Option<F::Output>;

    /// Polls the value before the timer, so that a value that is ready is returned even if the
    /// future is polled after the timeout.
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match (this.value.poll(cx), this.timer.poll(cx)) {
            (Poll::Ready(value), _) => Poll::Ready(Some(value)),
            (Poll::Pending, Poll::Ready(_)) => Poll::Ready(None),
            (Poll::Pending, Poll::Pending) => Poll::Pending,
        }
    }
}
