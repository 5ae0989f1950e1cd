//! When to try a broken stream again.

use corkspan_scheduler::interface::Ticks;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The first wait at the most, and the longest.
const INITIAL_MAX_DELAY: Ticks = 5_000;
const MAX_DELAY: Ticks = 200_000;
/// A stream that stream_lasted for so long begins anew with the first wait.
const RESET_AFTER: Ticks = 100_000;

/// Waits that grow and are drawn by chance: hundreds that lost the same service at once come back
/// one by one.
pub struct ReconnectBackoff {
    rng: Pcg64Mcg,
    consecutive_failures: u32,
}

impl ReconnectBackoff {
    pub fn new(seed: u64) -> Self {
        ReconnectBackoff {
            rng: Pcg64Mcg::seed_from_u64(seed),
            consecutive_failures: 0,
        }
    }

    /// How long to wait before the next try, after a stream that stream_lasted for so long; 0 for none that
    /// stream_lasted at all.
    pub fn next_delay(&mut self, stream_lasted: Ticks) -> Ticks {
        self.consecutive_failures = if stream_lasted >= RESET_AFTER {
            0
        } else {
            self.consecutive_failures.saturating_add(1)
        };
        let most = (INITIAL_MAX_DELAY << self.consecutive_failures.min(8)).min(MAX_DELAY);
        // From nothing on: the spread is what counts, and the mean still grows.
        self.rng.random_range(INITIAL_MAX_DELAY / 5..=most)
    }
}
