//! When to reconnect after a stream broke.

use corkspan_scheduler::interface::Ticks;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The shortest delay there is (0.1 s).
const MIN_DELAY: Ticks = 1_000;
/// Half of the longest delay after the first failure; doubles with each further one (0.5 s).
const BASE_DELAY: Ticks = 5_000;
/// The longest delay there is (20 s).
const MAX_DELAY: Ticks = 200_000;
/// After 8 failures in a row the longest delay is [`MAX_DELAY`] for sure.
const MAX_DOUBLINGS: u32 = 8;
/// A stream that lasted this long resets the delay (10 s).
const RESET_AFTER: Ticks = 100_000;

/// Exponential backoff with jitter: dispatchers that lost the same service at once reconnect one by
/// one.
pub struct ReconnectBackoff {
    rng: Pcg64Mcg,
    consecutive_failures: u32,
}

impl ReconnectBackoff {
    /// A backoff whose jitter is drawn from this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        ReconnectBackoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            consecutive_failures: 0,
        }
    }

    /// How long to wait before the next attempt. `stream_lasted`: for how long the stream that
    /// broke was open; 0 where it was never opened.
    #[must_use]
    pub fn next_delay(&mut self, stream_lasted: Ticks) -> Ticks {
        self.consecutive_failures = if stream_lasted >= RESET_AFTER {
            0
        } else {
            self.consecutive_failures.saturating_add(1)
        };
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let longest = (BASE_DELAY << doublings).min(MAX_DELAY);
        // Drawn from the whole range: the spread is what counts, and the mean still grows.
        self.rng.random_range(MIN_DELAY..=longest)
    }
}
