//! What is requested: kinds of work by weight.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A kind of work, and its part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadKind {
    /// Service class of its requests.
    pub service_class: String,
    /// Tenant of its requests; empty for none.
    pub tenant: String,
    /// Number of services that its requests are spread over evenly.
    pub services: u32,
    /// Its part of the load, relative to the others'.
    pub weight: f64,
    /// Cores requested.
    pub cores: f64,
    /// Memory requested, in the unit of the deployment file.
    pub memory: f64,
    /// Time that a placed allocation runs, ms.
    pub lifetime_ms: u64,
    /// Time that its client waits for a placement, ms.
    pub abandon_ms: u64,
}

/// Draws kinds by weight, in the same order for the same seed.
pub struct Mix<'a> {
    kinds: &'a [WorkloadKind],
    total: f64,
    rng: Pcg64Mcg,
}

impl<'a> Mix<'a> {
    /// A sequence of draws from `kinds`.
    pub fn new(kinds: &'a [WorkloadKind], seed: u64) -> Self {
        let total = kinds.iter().map(|kind| kind.weight).sum();
        // A seed apart from that of the times: another mix must not move them.
        Mix {
            kinds,
            total,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d69_7800),
        }
    }

    /// Draws the index of a kind and one of its services.
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
