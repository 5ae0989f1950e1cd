//! The order in which machines are drained, by the cost that the dispatchers estimate. Whoever has
//! the same estimates has the same order.

use crate::Machine;
use std::collections::BTreeMap;

/// The cost of a machine for which there is no estimate.
const UNKNOWN_COST: f64 = 0.0;

/// The median of the sums that the members report for a machine: no single member can bring a
/// machine forward or hold it back.
pub fn median_cost(reported: &[BTreeMap<Machine, f64>], machine: Machine) -> f64 {
    let mut costs: Vec<f64> = reported
        .iter()
        .map(|costs| costs.get(&machine).copied().unwrap_or(UNKNOWN_COST))
        .collect();
    costs.sort_by(f64::total_cmp);
    costs.get(costs.len() / 2).copied().unwrap_or(UNKNOWN_COST)
}

/// The cheapest first: what is costly now may be cheap once its allocations have ended by
/// themselves. Of equal costs, the lower number.
pub fn drain_order(
    machines: impl IntoIterator<Item = Machine>,
    reported: &[BTreeMap<Machine, f64>],
) -> Vec<Machine> {
    let mut by_cost: Vec<(f64, Machine)> = machines
        .into_iter()
        .map(|machine| (median_cost(reported, machine), machine))
        .collect();
    by_cost.sort_by(|(cost, machine), (other_cost, other_machine)| {
        cost.total_cmp(other_cost).then(machine.cmp(other_machine))
    });
    by_cost.into_iter().map(|(_, machine)| machine).collect()
}

/// What it would cost one dispatcher to have a machine drained: one for each allocation that can be
/// moved, and ten for each that cannot, since waiting for its end holds up the whole order.
pub fn estimate_cost(movable: usize, immovable: usize) -> f64 {
    const IMMOVABLE_COST: f64 = 10.0;
    movable as f64 + IMMOVABLE_COST * immovable as f64
}
