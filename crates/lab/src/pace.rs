//! Whether the stand-ins kept up: they share one thread, and a day in which that was the bottleneck measures it, and not the
//! dispatchers.

use crate::capture::Seen;
use async_io::Timer;
use corkspan_rpc::Tasks;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A busier thread has fallen behind at some time, whatever its mean.
const BUSY: f64 = 0.9;
/// The judge's slack: a stand-in later than this is seen by the rules.
const LATE: Duration = Duration::from_millis(250);
/// Looked at so often.
const EVERY: Duration = Duration::from_millis(25);

pub(crate) struct Pace {
    began: Instant,
    busy: Duration,
    late: Arc<AtomicU64>,
    _looks: async_executor::Task<()>,
}

impl Pace {
    /// On the thread that carries the stand-ins.
    pub fn begin(tasks: &Tasks) -> Result<Pace, String> {
        let late = Arc::new(AtomicU64::new(0));
        let own = Arc::clone(&late);
        let looks = tasks.spawn(async move {
            loop {
                let due = Instant::now() + EVERY;
                Timer::at(due).await;
                own.fetch_max(due.elapsed().as_micros() as u64, Ordering::Relaxed);
            }
        });
        Ok(Pace { began: Instant::now(), busy: busy()?, late, _looks: looks })
    }

    pub fn end(self) -> Result<Seen, String> {
        let busy = (busy()?.saturating_sub(self.busy)).as_secs_f64() / self.began.elapsed().as_secs_f64();
        let late_us = self.late.load(Ordering::Relaxed);
        let spoilt = busy > BUSY || Duration::from_micros(late_us) > LATE;
        Ok(Seen::StandIns { busy, late_us, spoilt })
    }
}

/// Processor time of this thread.
fn busy() -> Result<Duration, String> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").map_err(|why| why.to_string())?;
    let time = text.split_whitespace().next().and_then(|nanoseconds| nanoseconds.parse().ok());
    time.map(Duration::from_nanos).ok_or_else(|| "the kernel does not tell this thread's time".into())
}
