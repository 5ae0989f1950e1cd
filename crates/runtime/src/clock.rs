//! Provides the scheduler's monotonic clock, in whole ticks of 0.1 ms.

use corkspan_scheduler::interface::Ticks;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const TICKS_PER_MILLISECOND: Ticks = 10;
const MICROSECONDS_PER_TICK: u64 = 100;

/// A monotonic clock that starts at the system time, so that it is on the same scale as times
/// reported by other processes. After its start it ignores the system time: setting the system time
/// back must not move a deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Ticks,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
            base: wall_ms() * TICKS_PER_MILLISECOND,
        }
    }

    /// Returns the ticks since 1970, rounded down.
    pub fn now(&self) -> Ticks {
        self.base + ticks(self.start.elapsed())
    }

    /// Returns the instant of a time of this clock; for a time before the clock's start, the
    /// instant of its start.
    pub fn instant(&self, at: Ticks) -> Instant {
        self.start + duration(at.saturating_sub(self.base))
    }
}

/// Returns the milliseconds since 1970 by the system time.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Converts a duration to whole ticks, rounded down.
pub fn ticks(time: Duration) -> Ticks {
    (time.as_micros() / u128::from(MICROSECONDS_PER_TICK)) as Ticks
}

/// Converts ticks to a duration.
pub fn duration(time: Ticks) -> Duration {
    Duration::from_micros(time.saturating_mul(MICROSECONDS_PER_TICK))
}
