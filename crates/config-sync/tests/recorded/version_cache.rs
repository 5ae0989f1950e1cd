//! The pushes that a dispatcher or quorum member offers to others from its newest version.

use crate::dispatcher::*;
use crate::transcript::*;
use corkspan_config::version::VersionId;
use corkspan_config_sync::VersionCache;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;

#[test]
fn version_cache_over_seeded_sequences() {
    let mut out = String::new();
    for seed in 1..=3 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut cache = VersionCache::default();
        writeln!(out, "seed {seed}").unwrap();
        for _ in 0..60 {
            let newest = cache.newest().map_or(0, |newest| newest.number);
            let number = (newest + rng.random_range(0..4)).saturating_sub(1);
            let lineage = if rng.random_range(0..6) == 0 {
                1_000
            } else {
                0
            };
            let version = version_id(number, number + lineage);
            let predecessors: Vec<VersionId> = cache
                .newest()
                .into_iter()
                .filter(|_| rng.random_range(0..5) > 0)
                .chain([version_id(number / 2, number / 2 + lineage)])
                .collect();
            let content = number + lineage + u64::from(rng.random_range(0..8) == 0);
            let (id, before) = (id_text(version), ids_text(&predecessors));
            if rng.random_range(0..4) == 0 {
                cache.record_active(version, parts(content), number % 2 == 0, &predecessors);
                writeln!(out, "runs {id} after {before}").unwrap();
            } else {
                let stored = cache.store(version, parts(content), number % 2 == 0, &predecessors);
                let stored = store_text(stored);
                writeln!(out, "store {id} after {before}: {stored}").unwrap();
            }
            let active = rng.random_range(0..=newest + 1);
            let active = version_id(active, active + lineage);
            let offered = optional(cache.push_for(active).as_ref(), push_text);
            writeln!(out, "  for {}: {offered}", id_text(active)).unwrap();
            let other = Some(active).filter(|_| number % 3 > 0);
            let offered = optional(cache.push_to_store(other).as_ref(), push_text);
            writeln!(
                out,
                "  to {}: {offered}",
                optional(other.as_ref(), |id| id_text(*id))
            )
            .unwrap();
        }
    }
    compare("version-cache.txt", &out);
}
