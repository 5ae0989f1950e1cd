//! The shutdown: what happens between SIGTERM and the end of the process.

use crate::descriptor_budget::{self, DescriptorBudget};
use crate::handle::PlatformHandle;
use async_io::Timer;
use async_lock::Semaphore;
use corkspan_runtime::within;
use futures_lite::future;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Time in hand for a late event loop where a deadline must be kept.
pub const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);

/// What happens when, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// How long set-ups are accepted at the least: connections still arrive for 0.4 s, set-ups on
    /// them for 0.2 s more, and a late loop reads them later than that.
    accept_for: Duration,
    /// When set-ups that wait for a machine are answered.
    answer_waiting_within: Duration,
    /// When set-ups with an attempt under way are answered too.
    answer_all_within: Duration,
    /// When SIGKILL may come.
    pub killed_after: Duration,
}

impl ShutdownSchedule {
    /// SIGKILL comes no sooner than the longest deadline (at most 3 s) and 0.7 s after SIGTERM. A
    /// set-up that arrives within those 0.7 s is still due an answer.
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
}

/// Goes on serving until everything has its answer or its time is up, closes all connections and
/// waits until their last messages are written. Dropping `front` ends the acceptance of
/// connections.
pub async fn stop<T>(
    handle: &PlatformHandle,
    budget: &DescriptorBudget,
    signalled_at: Instant,
    listener_task: T,
) {
    let schedule = ShutdownSchedule::for_longest_deadline(handle.longest_deadline());
    info!(kept = handle.retained_items(), "stopping");
    Timer::at(signalled_at + schedule.accept_for).await;
    wait_until(signalled_at + schedule.answer_waiting_within, || {
        handle.unanswered() == 0
    })
    .await;
    handle.stop();
    wait_until(signalled_at + schedule.answer_all_within, || {
        handle.unanswered() == 0
    })
    .await;
    drop(listener_task);
    handle.abandon_all();
    // The last messages are written when every connection has returned its descriptor.
    let all_written = future::zip(
        wait_until_returned(&budget.client_permits, budget.client_descriptors),
        wait_until_returned(
            &budget.node_permits,
            budget.max_node_connections
                + budget.max_node_connections / descriptor_budget::CONNECTIONS_PER_HALF_CLOSED,
        ),
    );
    let remaining = (signalled_at
        + schedule.answer_all_within
        + (schedule.killed_after - schedule.answer_all_within) / 2)
        .saturating_duration_since(Instant::now());
    if within(remaining, all_written).await.is_none() {
        warn!("some connections took no last messages");
    }
}

async fn wait_until(deadline: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < deadline {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Waits until all of these descriptors have been returned.
async fn wait_until_returned(budget: &Semaphore, count: usize) {
    for _ in 0..count {
        std::mem::forget(budget.acquire().await);
    }
}
