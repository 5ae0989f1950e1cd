//! In which order machines go, by what the dispatchers bid. Whoever has the same words has the same
//! order.

use crate::Machine;
use std::collections::BTreeMap;

/// The cost of a machine that nobody has bid for: of nobody it is known that it would cost
/// anything.
const UNKNOWN_COST: f64 = 0.0;

/// What each keeper tells as the sum of bids, by machine: the middle one counts, so that no keeper
/// alone can bring a machine forward or hold it back.
pub fn median_cost(told: &[BTreeMap<Machine, f64>], machine: Machine) -> f64 {
    let mut all: Vec<f64> = told
        .iter()
        .map(|bids| bids.get(&machine).copied().unwrap_or(UNKNOWN_COST))
        .collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(UNKNOWN_COST)
}

/// The cheapest first: what is costly now may be cheap once its allocations have ended by
/// themselves. Of equals the one with the lower number.
pub fn drain_order(
    machines: impl IntoIterator<Item = Machine>,
    told: &[BTreeMap<Machine, f64>],
) -> Vec<Machine> {
    let mut all: Vec<(f64, Machine)> = machines
        .into_iter()
        .map(|machine| (median_cost(told, machine), machine))
        .collect();
    all.sort_by(|(cost, machine), (other, than)| cost.total_cmp(other).then(machine.cmp(than)));
    all.into_iter().map(|(_, machine)| machine).collect()
}

/// What it would cost one dispatcher to have a machine taken out: a move for each allocation that
/// may be moved, and for each that may not the wait for its end, which holds up the whole order.
pub fn estimate_cost(movable: usize, unrepeatable: usize) -> f64 {
    const IMMOVABLE_COST: f64 = 10.0;
    movable as f64 + IMMOVABLE_COST * unrepeatable as f64
}
