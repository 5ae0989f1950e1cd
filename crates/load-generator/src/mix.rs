//! Draws the kinds of work that are requested, by weight.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A kind of work and its weight in the load.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadKind {
    /// The service class of its requests.
    pub service_class: String,
    /// The tenant of its requests; empty for none.
    pub tenant: String,
    /// The number of services over which its requests are spread evenly.
    pub services: u32,
    /// The share of the load, relative to the weights of the other kinds.
    pub weight: f64,
    /// The cores requested.
    pub cores: f64,
    /// The memory requested, in the unit of the deployment file.
    pub memory: f64,
    /// The time that a placed allocation runs, in ms.
    pub lifetime_ms: u64,
    /// The time that a client waits for a placement, in ms.
    pub abandon_ms: u64,
}

/// Draws kinds by weight; the sequence is the same for the same seed.
pub struct Mix<'a> {
    kinds: &'a [WorkloadKind],
    total: f64,
    rng: Pcg64Mcg,
}

impl<'a> Mix<'a> {
    /// Creates a sequence of draws from `kinds`.
    pub fn new(kinds: &'a [WorkloadKind], seed: u64) -> Self {
        let total = kinds.iter().map(|kind| kind.weight).sum();
        // The seed differs from that of the send times, so that a change of the mix does not change
        // the times.
        Mix {
            kinds,
            total,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6d69_7800),
        }
    }

    /// Draws the index of a kind and one of its services.
    pub fn draw(&mut self) -> (usize, u32) {
        let mut remaining = self.rng.random::<f64>() * self.total;
        let last = self.kinds.len().saturating_sub(1);
        let kind = self.kinds.iter().position(|kind| {
            remaining -= kind.weight;
            remaining < 0.0
        });
        let kind = kind.unwrap_or(last);
        let services = self.kinds.get(kind).map_or(1, |kind| kind.services.max(1));
        (kind, self.rng.random_range(0..services))
    }
}
