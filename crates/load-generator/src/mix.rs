//! What is asked for: kinds of work by weight.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A kind of work, and how much of the load it is.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadKind {
    pub service_class: String,
    pub tenant: String,
    /// Services that its asks are of, each as often.
    pub services: u32,
    pub weight: f64,
    pub cores: f64,
    pub memory: f64,
    pub lifetime_ms: u64,
    pub abandon_ms: u64,
}

/// Draws kinds by weight; the same for the same seed.
pub struct Mix<'a> {
    kinds: &'a [WorkloadKind],
    total: f64,
    rng: Pcg64Mcg,
}

impl<'a> Mix<'a> {
    pub fn new(kinds: &'a [WorkloadKind], seed: u64) -> Self {
        let total = kinds.iter().map(|kind| kind.weight).sum();
        // Apart from the times: another mix must not move them.
        Mix {
            kinds,
            total,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d69_7800),
        }
    }

    /// A kind by index, and one of its services.
    pub fn draw(&mut self) -> (usize, u32) {
        let mut at = self.rng.random::<f64>() * self.total;
        let last = self.kinds.len().saturating_sub(1);
        let kind = self.kinds.iter().position(|kind| {
            at -= kind.weight;
            at < 0.0
        });
        let kind = kind.unwrap_or(last);
        let services = self.kinds.get(kind).map_or(1, |kind| kind.services.max(1));
        (kind, self.rng.random_range(0..services))
    }
}
