//! The clock handed to the decisions: monotonic, in whole tenths of a millisecond.

use corkspan_scheduler::interface::Ticks;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Starts at the time of day, so that moments told by others stand on the same scale, and from then
/// on follows the monotonic clock alone: a time of day that is set back must not move a deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Ticks,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
            base: wall_ms() * 10,
        }
    }

    /// Now, rounded down.
    pub fn now(&self) -> Ticks {
        self.base + ticks(self.start.elapsed())
    }

    pub fn instant(&self, at: Ticks) -> Instant {
        self.start + duration(at.saturating_sub(self.base))
    }
}

/// Milliseconds since 1970 by the time of day.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Whole tenths of a millisecond, never more than was given.
pub fn ticks(time: Duration) -> Ticks {
    (time.as_micros() / 100) as Ticks
}

pub fn duration(time: Ticks) -> Duration {
    Duration::from_micros(time.saturating_mul(100))
}
