//! Whether the laboratory kept up: stand-ins share one thread, and hollow dispatchers one in each
//! process, and a day in which such a thread was the bottleneck measures it, and not the
//! dispatchers.

use crate::capture::Seen;
use async_io::Timer;
use corkspan_rpc::Tasks;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A busier thread has fallen behind at some time, whatever its mean.
const MAX_UTILIZATION: f64 = 0.9;
/// The judge's slack: a stand-in later than this is seen by the rules.
const MAX_LATENESS: Duration = Duration::from_millis(250);
/// Looked at so often.
const LATENESS_INTERVAL: Duration = Duration::from_millis(25);
/// Hollow processes are looked at over so long.
const HOLLOW_WINDOW: Duration = Duration::from_secs(1);

pub(crate) struct SaturationMonitor {
    began: Instant,
    own: ThreadTimes,
    late: Arc<AtomicU64>,
    /// The largest share of a window, in parts of a million, for which a hollow process ran or
    /// wanted to.
    hollow: Arc<AtomicU64>,
    _looks: [async_executor::Task<()>; 2],
}

/// A thread so far: on a processor, and waiting for one.
#[derive(Clone, Copy, Debug, Default)]
struct ThreadTimes {
    ran: Duration,
    waited: Duration,
}

impl SaturationMonitor {
    /// On the thread that carries the stand-ins.
    /// `hollow`: processes whose dispatchers share one thread, which must not be the bottleneck
    /// either.
    pub fn start(tasks: &Tasks, hollow: Vec<u32>) -> Result<SaturationMonitor, String> {
        let late = Arc::new(AtomicU64::new(0));
        let most = Arc::new(AtomicU64::new(0));
        let watched = tasks.spawn(watch(hollow, Arc::clone(&most)));
        let own = Arc::clone(&late);
        let looks = tasks.spawn(async move {
            loop {
                let due = Instant::now() + LATENESS_INTERVAL;
                Timer::at(due).await;
                own.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        let (began, own) = (Instant::now(), thread(OWN_SCHEDSTAT).ok_or(NO_SCHEDSTAT)?);
        Ok(SaturationMonitor {
            began,
            own,
            late,
            hollow: most,
            _looks: [looks, watched],
        })
    }

    pub fn end(self) -> Result<Seen, String> {
        let (now, took) = (
            thread(OWN_SCHEDSTAT).ok_or(NO_SCHEDSTAT)?,
            self.began.elapsed().as_secs_f64(),
        );
        let share =
            |now: Duration, then: Duration| now.saturating_sub(then).as_secs_f64() / took.max(1e-3);
        let (busy, waited) = (
            share(now.ran, self.own.ran),
            share(now.waited, self.own.waited),
        );
        let late_us = self.late.load(Ordering::Relaxed);
        let hollow = self.hollow.load(Ordering::Relaxed) as f64 / 1e6;
        let spoilt = busy > MAX_UTILIZATION
            || Duration::from_micros(late_us) > MAX_LATENESS
            || hollow > MAX_UTILIZATION;
        Ok(Seen::StandIns {
            busy,
            waited,
            late_us,
            hollow,
            spoilt,
        })
    }
}

const OWN_SCHEDSTAT: &str = "/proc/thread-self/schedstat";
const NO_SCHEDSTAT: &str = "the kernel does not tell this thread's time";

/// As the kernel counts a thread; none where it is gone.
fn thread(path: &str) -> Option<ThreadTimes> {
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

async fn watch(processes: Vec<u32>, most: Arc<AtomicU64>) {
    let read = || -> Vec<Option<ThreadTimes>> {
        let path = |process: &u32| format!("/proc/{process}/task/{process}/schedstat");
        processes
            .iter()
            .map(|process| thread(&path(process)))
            .collect()
    };
    let (mut before, mut since) = (read(), Instant::now());
    loop {
        Timer::at(since + HOLLOW_WINDOW).await;
        let (now, took) = (read(), since.elapsed().as_secs_f64());
        since = Instant::now();
        for (now, before) in std::iter::zip(&now, &before) {
            let (Some(now), Some(before)) = (now, before) else {
                continue;
            };
            let wanted = (now.ran + now.waited).saturating_sub(before.ran + before.waited);
            most.fetch_max(
                (1e6 * wanted.as_secs_f64() / took) as u64,
                Ordering::Relaxed,
            );
        }
        before = now;
    }
}
