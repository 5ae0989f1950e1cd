//! The delay before reconnecting a broken stream.

use corkspan_scheduler::interface::Ticks;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Shortest delay (0.1 s).
const MIN_DELAY: Ticks = 1_000;
/// Half of the longest delay after the first failure (0.5 s). The longest delay doubles with each
/// further failure.
const BASE_DELAY: Ticks = 5_000;
/// Upper bound of the delay (20 s).
const MAX_DELAY: Ticks = 200_000;
/// Number of doublings that are counted; after 8 consecutive failures the longest delay is
/// [`MAX_DELAY`] in any case.
const MAX_DOUBLINGS: u32 = 8;
/// A stream that lasted at least this long resets the delay (10 s).
const RESET_AFTER: Ticks = 100_000;

/// Exponential backoff with jitter, so that dispatchers that lost the same service at once
/// reconnect one by one.
pub struct ReconnectBackoff {
    rng: Pcg64Mcg,
    consecutive_failures: u32,
}

impl ReconnectBackoff {
    /// Creates a backoff whose jitter is drawn from this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        ReconnectBackoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            consecutive_failures: 0,
        }
    }

    /// Returns the delay before the next attempt. `stream_lasted` is how long the broken stream was
    /// open, or 0 if it never opened.
    #[must_use]
    pub fn next_delay(&mut self, stream_lasted: Ticks) -> Ticks {
        self.consecutive_failures = if stream_lasted >= RESET_AFTER {
            0
        } else {
            self.consecutive_failures.saturating_add(1)
        };
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let longest = (BASE_DELAY << doublings).min(MAX_DELAY);
        // Draws from the whole range: the spread is what matters, and the mean still grows.
        self.rng.random_range(MIN_DELAY..=longest)
    }
}
