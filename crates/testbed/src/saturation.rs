//! Measures whether the testbed kept up. Stand-ins share one thread, and the hollow dispatchers of
//! a process share another. A scenario in which such a thread was the bottleneck measures that
//! thread instead of the dispatchers.

use crate::capture::Observation;
use async_io::Timer;
use corkspan_rpc::SharedExecutor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The utilization above which a thread has fallen behind at some time, even if its mean is lower.
const MAX_UTILIZATION: f64 = 0.9;
/// The slack of the checker's rules: a stand-in that is later than this affects their results.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// The time between two measurements of lateness.
const LATENESS_INTERVAL: Duration = Duration::from_millis(25);
/// The time over which the utilization of hollow processes is measured.
const UTILIZATION_WINDOW: Duration = Duration::from_secs(1);
/// Shares are stored in millionths.
const MILLIONTHS: f64 = 1e6;
/// The shortest time for which shares are calculated, in seconds.
const MIN_SPAN: f64 = 1e-3;
/// The file with the kernel's times of the calling thread.
const OWN_THREAD: &str = "/proc/thread-self/schedstat";

/// An error: the kernel does not report the times of a thread, so saturation can't be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the kernel does not report this thread's processor time")]
pub(crate) struct NoThreadTimes;

/// A monitor of the thread that runs the stand-ins, and of the hollow processes.
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
    /// Time on a processor.
    ran: Duration,
    /// Time waiting for a processor.
    waited: Duration,
}

impl ThreadTimes {
    /// Reads the times, or returns none if the thread has ended or the kernel does not report them.
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

    /// Returns the time for which the thread ran or waited for a processor.
    fn wanted(self) -> Duration {
        self.ran + self.waited
    }
}

impl SaturationMonitor {
    /// Starts the monitor; to be called on the thread that runs the stand-ins. `hollow` are the ids
    /// of the hollow dispatchers' processes, which have one thread each.
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

    /// Ends the monitor and returns the measurements for the capture.
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
        let invalid = busy > MAX_UTILIZATION || late || hollow > MAX_UTILIZATION;
        Ok(Observation::StandIns {
            busy,
            waited,
            late_us,
            hollow,
            invalid,
        })
    }
}

/// Records the largest delay of a timer on this thread.
async fn measure_lateness(max_us: Arc<AtomicU64>) {
    loop {
        let due = Instant::now() + LATENESS_INTERVAL;
        Timer::at(due).await;
        max_us.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}

/// Records the largest share of a window for which one of these processes ran or waited for a
/// processor.
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
