//! Converts the start times of nodes, which the list tells by the system clock of its publisher, to
//! the dispatcher's clock.
//!
//! The dispatcher's clock begins at its own system time, which may be off by seconds or an hour. The
//! list bounds how far: it can't tell of a start before it, and usually tells of it soon after.

use corkspan_scheduler::interface::Ticks;
use std::collections::VecDeque;

#[cfg(test)]
#[path = "../tests/core/start_times.rs"]
mod tests;

const TICKS_PER_MILLISECOND: Ticks = 10;
/// The latest start time that is accepted, in ticks: thousands of years from now, so that no sum with
/// it overflows.
const MAX_START_TIME: Ticks = 1 << 50;
/// Time after which the list has usually told of the start of a node.
const USUAL_DELAY: i64 = 20_000;
/// The number of starts from which the difference of the clocks is derived. It is small, since either
/// clock may be set while the dispatcher runs.
const MAX_DELAYS: usize = 8;

/// The time of a start by the dispatcher's clock. The two times are the same unless the clocks are
/// seen to differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartTime {
    pub earliest: Ticks,
    pub latest: Ticks,
}

impl StartTime {
    /// Returns a time that is known.
    pub fn at(time: Ticks) -> StartTime {
        StartTime {
            earliest: time,
            latest: time,
        }
    }
}

/// The difference between the two clocks, as far as the list has shown it.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The times in which the list has told of the latest starts, by the two clocks. One is less than
    /// zero if the dispatcher's clock is behind.
    delays: VecDeque<i64>,
}

impl StartTimes {
    /// Converts a start that the list tells of at `now`. `is_new` is true if it is a change, so that
    /// the node has started shortly before. The result is never later than `now`.
    pub fn convert(&mut self, up_since_ms: u64, now: Ticks, is_new: bool) -> StartTime {
        let told = up_since_ms.saturating_mul(TICKS_PER_MILLISECOND);
        let told = told.min(MAX_START_TIME);
        let delay = now as i64 - told as i64;
        if is_new || delay < 0 {
            if self.delays.len() >= MAX_DELAYS {
                self.delays.pop_front();
            }
            self.delays.push_back(delay);
        }
        let (earliest, latest) = self.offsets();
        let convert = |offset| told.saturating_add_signed(offset).min(now);
        StartTime {
            earliest: convert(earliest),
            latest: convert(latest),
        }
    }

    /// Returns the least and the most that must be added to a time of the publisher's clock.
    fn offsets(&self) -> (i64, i64) {
        match self.delays.iter().min() {
            Some(&shortest @ ..0) => (shortest - USUAL_DELAY, shortest),
            Some(&shortest) if shortest > USUAL_DELAY => (0, shortest),
            _ => (0, 0),
        }
    }
}
