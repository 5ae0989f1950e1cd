//! The clock handed to the decisions: monotonic, in whole ticks of 0.1 ms.

use corkspan_scheduler::interface::Ticks;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const TICKS_PER_MILLISECOND: Ticks = 10;
const MICROSECONDS_PER_TICK: u64 = 100;

/// Starts at the time of day, so that times reported by others are on the same scale, and from then on
/// follows the monotonic clock alone: a time of day that is set back must not move a deadline.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Ticks,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock {
            start: Instant::now(),
            base: wall_ms() * TICKS_PER_MILLISECOND,
        }
    }

    /// Ticks since 1970, rounded down.
    pub fn now(&self) -> Ticks {
        self.base + ticks(self.start.elapsed())
    }

    /// The instant of a time of this clock; that of its start for any time before it.
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

/// A duration as whole ticks, rounded down.
pub fn ticks(time: Duration) -> Ticks {
    (time.as_micros() / u128::from(MICROSECONDS_PER_TICK)) as Ticks
}

/// Ticks as a duration.
pub fn duration(time: Ticks) -> Duration {
    Duration::from_micros(time.saturating_mul(MICROSECONDS_PER_TICK))
}
