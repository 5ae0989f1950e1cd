//! Runs the shutdown, from SIGTERM to the end of the process.

use crate::descriptor_budget::{self, DescriptorBudget};
use crate::handle::PlatformHandle;
use async_io::Timer;
use async_lock::Semaphore;
use corkspan_runtime::within;
use futures_lite::future;
use std::future::Future;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Time by which a deadline is met early, in case the event loop runs late.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// The times of the shutdown's steps, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Minimum time for which set-ups are accepted. Connections still arrive for 0.4 s and set-ups
    /// on them for another 0.2 s, and a late event loop reads them even later.
    accept_for: Duration,
    /// The time when set-ups that wait for a machine are answered.
    answer_waiting_within: Duration,
    /// The time when set-ups with an active attempt are answered too.
    answer_all_within: Duration,
    /// The earliest time of SIGKILL.
    pub killed_after: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule. SIGKILL is sent no sooner than the longest deadline (at most 3 s)
    /// plus 0.7 s after SIGTERM. A set-up that arrives within 0.7 s of SIGTERM must still be
    /// answered.
    pub fn for_longest_deadline(longest_deadline: Option<Duration>) -> Self {
        const ACCEPT_WINDOW: Duration = Duration::from_millis(700);
        let longest = longest_deadline
            .unwrap_or(Duration::MAX)
            .min(Duration::from_secs(3));
        let kill_time = longest + ACCEPT_WINDOW;
        let all_deadline = kill_time - SHUTDOWN_MARGIN.min(longest / 4);
        let waiting_deadline = all_deadline
            .saturating_sub(2 * SHUTDOWN_MARGIN)
            .max(ACCEPT_WINDOW);
        ShutdownSchedule {
            accept_for: Duration::from_millis(900).min(all_deadline),
            answer_waiting_within: waiting_deadline,
            answer_all_within: all_deadline,
            killed_after: kill_time,
        }
    }

    /// Returns the time for which requests on the last accepted connections are waited for.
    fn last_requests_for(&self) -> Duration {
        const CROSSING_TIME: Duration = Duration::from_millis(50);
        CROSSING_TIME.min((self.killed_after - self.answer_all_within) / 4)
    }
}

/// When a stop was requested, as far as is known.
#[derive(Clone, Copy, Debug)]
pub struct StopRequest {
    /// The earliest time at which the signal may have been sent.
    pub sent_after: Instant,
    pub noticed_at: Instant,
}

impl StopRequest {
    /// Creates a request that is noticed now, up to `delay` after it was sent.
    pub fn noticed_after(delay: Duration) -> StopRequest {
        let noticed_at = Instant::now();
        StopRequest {
            sent_after: noticed_at.checked_sub(delay).unwrap_or(noticed_at),
            noticed_at,
        }
    }
}

/// Continues to serve until every set-up is answered or its time is up, then closes all connections
/// and waits until their last messages are written. `close_listener` serves the connections that the
/// system has accepted, and then stops accepting.
pub async fn stop(
    handle: &PlatformHandle,
    budget: &DescriptorBudget,
    request: StopRequest,
    close_listener: impl Future<Output = ()>,
) {
    let schedule = ShutdownSchedule::for_longest_deadline(handle.longest_deadline());
    info!(retained = handle.retained_items(), "stopping");
    let StopRequest {
        sent_after,
        noticed_at,
    } = request;
    let answer_all_by = sent_after + schedule.answer_all_within;
    Timer::at(answer_all_by.min(noticed_at + schedule.accept_for)).await;
    wait_until(sent_after + schedule.answer_waiting_within, || {
        handle.unanswered() == 0
    })
    .await;
    handle.stop();
    wait_until(answer_all_by, || handle.unanswered() == 0).await;
    close_listener.await;
    Timer::after(schedule.last_requests_for()).await;
    handle.abandon_all();
    // When every connection has returned its descriptor permit, the last messages are written.
    let all_written = future::zip(
        wait_until_returned(&budget.client_permits, budget.client_descriptors),
        wait_until_returned(
            &budget.node_permits,
            budget.max_node_connections
                + budget.max_node_connections / descriptor_budget::CONNECTIONS_PER_HALF_CLOSED,
        ),
    );
    let written_by = answer_all_by + (schedule.killed_after - schedule.answer_all_within) / 2;
    let remaining = written_by.saturating_duration_since(Instant::now());
    if within(remaining, all_written).await.is_none() {
        warn!("some connections did not accept their last messages in time");
    }
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < deadline {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Waits until `count` permits have been returned.
async fn wait_until_returned(budget: &Semaphore, count: usize) {
    for _ in 0..count {
        std::mem::forget(budget.acquire().await);
    }
}
