//! When to try a broken stream again.

use corkspan_scheduler::interface::Ticks;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The first wait at the most, and the longest.
const FIRST: Ticks = 5_000;
const LONGEST: Ticks = 200_000;
/// A stream that stood for so long begins anew with the first wait.
const STOOD: Ticks = 100_000;

/// Waits that grow and are drawn by chance: hundreds that lost the same service at once come back
/// one by one.
pub struct Retry {
    rng: Pcg64Mcg,
    fails: u32,
}

impl Retry {
    pub fn new(seed: u64) -> Self {
        Retry {
            rng: Pcg64Mcg::seed_from_u64(seed),
            fails: 0,
        }
    }

    /// How long to wait before the next try, after a stream that stood for so long; 0 for none that
    /// stood at all.
    pub fn wait(&mut self, stood: Ticks) -> Ticks {
        self.fails = if stood >= STOOD {
            0
        } else {
            self.fails.saturating_add(1)
        };
        let most = (FIRST << self.fails.min(8)).min(LONGEST);
        // From nothing on: the spread is what counts, and the mean still grows.
        self.rng.random_range(FIRST / 5..=most)
    }
}
