//! Whether the testbed kept up. Stand-ins share one thread, and hollow dispatchers one in each
//! process: a scenario in which such a thread was the bottleneck measures the thread, and not the
//! dispatchers.

use crate::capture::Observation;
use async_io::Timer;
use corkspan_rpc::SharedExecutor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A thread that is busier has fallen behind at some time, whatever its mean.
const MAX_UTILIZATION: f64 = 0.9;
/// The slack of the rules: they see a stand-in that is later than this.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Between two measurements of lateness.
const LATENESS_INTERVAL: Duration = Duration::from_millis(25);
/// Utilization of hollow processes is measured over this time.
const UTILIZATION_WINDOW: Duration = Duration::from_secs(1);
/// Shares are kept in millionths.
const MILLIONTHS: f64 = 1e6;
/// Shortest span that shares are taken of, in seconds.
const MIN_SPAN: f64 = 1e-3;
/// The kernel's times of the calling thread.
const OWN_THREAD: &str = "/proc/thread-self/schedstat";

/// The kernel does not report the times of a thread, so that saturation can't be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the kernel does not tell this thread's time")]
pub(crate) struct NoThreadTimes;

/// Measures the thread that carries the stand-ins, and the hollow processes.
pub(crate) struct SaturationMonitor {
    started_at: Instant,
    times_at_start: ThreadTimes,
    max_lateness_us: Arc<AtomicU64>,
    /// The largest share of a window, in millionths, for which a hollow process ran or waited for a
    /// processor.
    max_hollow_share: Arc<AtomicU64>,
    _measurements: [async_executor::Task<()>; 2],
}

/// The times of a thread so far.
#[derive(Clone, Copy, Debug, Default)]
struct ThreadTimes {
    /// On a processor.
    ran: Duration,
    /// Waiting for one.
    waited: Duration,
}

impl ThreadTimes {
    /// None where the thread is gone, or the kernel does not report times.
    fn read(path: &str) -> Option<Self> {
        let text = std::fs::read_to_string(path).ok()?;
        let mut times = text
            .split_whitespace()
            .map_while(|nanoseconds| nanoseconds.parse().ok());
        let (ran, waited) = (times.next()?, times.next()?);
        Some(ThreadTimes {
            ran: Duration::from_nanos(ran),
            waited: Duration::from_nanos(waited),
        })
    }

    fn wanted(self) -> Duration {
        self.ran + self.waited
    }
}

impl SaturationMonitor {
    /// Starts on the thread that carries the stand-ins. `hollow`: process ids of hollow dispatchers,
    /// which have one thread each.
    pub fn start(tasks: &SharedExecutor, hollow: Vec<u32>) -> Result<Self, NoThreadTimes> {
        let max_lateness_us = Arc::new(AtomicU64::new(0));
        let max_hollow_share = Arc::new(AtomicU64::new(0));
        let utilization = tasks.spawn(measure_hollow(hollow, Arc::clone(&max_hollow_share)));
        let lateness = tasks.spawn(measure_lateness(Arc::clone(&max_lateness_us)));
        Ok(SaturationMonitor {
            started_at: Instant::now(),
            times_at_start: ThreadTimes::read(OWN_THREAD).ok_or(NoThreadTimes)?,
            max_lateness_us,
            max_hollow_share,
            _measurements: [lateness, utilization],
        })
    }

    /// What was measured, for the capture.
    pub fn end(self) -> Result<Observation, NoThreadTimes> {
        let times = ThreadTimes::read(OWN_THREAD).ok_or(NoThreadTimes)?;
        let elapsed = self.started_at.elapsed().as_secs_f64().max(MIN_SPAN);
        let share =
            |now: Duration, before: Duration| now.saturating_sub(before).as_secs_f64() / elapsed;
        let busy = share(times.ran, self.times_at_start.ran);
        let waited = share(times.waited, self.times_at_start.waited);
        let late_us = self.max_lateness_us.load(Ordering::Relaxed);
        let hollow = self.max_hollow_share.load(Ordering::Relaxed) as f64 / MILLIONTHS;
        let late = Duration::from_micros(late_us) > MAX_LATENESS;
        let spoilt = busy > MAX_UTILIZATION || late || hollow > MAX_UTILIZATION;
        Ok(Observation::StandIns {
            busy,
            waited,
            late_us,
            hollow,
            spoilt,
        })
    }
}

/// By how much a timer on this thread fires late at most.
async fn measure_lateness(max_us: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        Timer::at(due).await;
        max_us.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}

/// The largest share of a window for which one of these processes wanted a processor.
async fn measure_hollow(processes: Vec<u32>, max_share: Arc<AtomicU64>) {
    let read = || -> Vec<Option<ThreadTimes>> {
        let path = |process: &u32| format!("/proc/{process}/task/{process}/schedstat");
        let times = processes.iter().map(|id| ThreadTimes::read(&path(id)));
        times.collect()
    };
    let (mut before, mut since) = (read(), Instant::now());
    loop {
        Timer::at(since + UTILIZATION_WINDOW).await;
        let (now, elapsed) = (read(), since.elapsed().as_secs_f64());
        since = Instant::now();
        for (now, before) in std::iter::zip(&now, &before) {
            let (Some(now), Some(before)) = (now, before) else {
                continue;
            };
            let wanted = now.wanted().saturating_sub(before.wanted()).as_secs_f64();
            let share = (MILLIONTHS * wanted / elapsed) as u64;
            max_share.fetch_max(share, Ordering::Relaxed);
        }
        before = now;
    }
}
