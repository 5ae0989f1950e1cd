//! What every front of a dispatcher runs on: the clock, the executor, time limits, the one timer of
//! the decisions and signals. It knows nothing of allocations.

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
pub type Tasks = Arc<Executor<'static>>;

/// Takes these signals from here on: they no longer end the process.
pub fn signals(which: impl IntoIterator<Item = Signal>) -> std::io::Result<Signals> {
    Signals::new(which)
}

/// The one timer: calls `woken` at the earliest moment told, and then waits to be told of another.
pub async fn run_timer(waking: async_channel::Receiver<Instant>, mut woken: impl FnMut()) {
    let mut due: Option<Instant> = None;
    loop {
        let told = async { waking.recv().await.ok().map(Some) };
        let rung = async {
            match due {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Some(None)
        };
        match told.or(rung).await {
            Some(Some(at)) => due = Some(due.map_or(at, |other| other.min(at))),
            Some(None) => {
                due = None;
                woken();
            }
            None => return,
        }
    }
}

/// The value, or none if it takes longer.
pub fn within<F: Future>(time: Duration, value: F) -> Within<F> {
    Within {
        value,
        timer: Timer::after(time),
    }
}

pin_project_lite::pin_project! {
    /// See [`within`]. Written out: an async block would hold the value's state twice, and states of gRPC calls
    /// are large.
    pub struct Within<F> {
        #[pin]
        value: F,
        #[pin]
        timer: Timer,
    }
}

impl<F: Future> Future for Within<F> {
    type Output = Option<F::Output>;

    /// The value first: an answer that is there when we look late is an answer.
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        match (this.value.poll(cx), this.timer.poll(cx)) {
            (Poll::Ready(value), _) => Poll::Ready(Some(value)),
            (Poll::Pending, Poll::Ready(_)) => Poll::Ready(None),
            (Poll::Pending, Poll::Pending) => Poll::Pending,
        }
    }
}
