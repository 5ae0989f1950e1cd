//! The order in which machines are drained, by the costs that the dispatchers estimate. Dispatchers
//! with the same estimates compute the same order.

use crate::Machine;
use std::collections::BTreeMap;

/// The cost of a machine without an estimate.
const UNKNOWN_COST: f64 = 0.0;

/// Returns the median of the sums that the members report for a machine, so that no single member
/// can bring a machine forward or hold it back.
pub fn median_cost(reported: &[BTreeMap<Machine, f64>], machine: Machine) -> f64 {
    let mut costs: Vec<f64> = reported
        .iter()
        .map(|costs| costs.get(&machine).copied().unwrap_or(UNKNOWN_COST))
        .collect();
    costs.sort_by(f64::total_cmp);
    costs.get(costs.len() / 2).copied().unwrap_or(UNKNOWN_COST)
}

/// Returns the machines ordered by cost, the cheapest first: a machine that is costly now may be
/// cheap once its allocations have ended by themselves. Equal costs are ordered by machine number.
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

/// Returns what draining a machine costs one dispatcher: 1 for each allocation that can be moved
/// and 10 for each that cannot, since waiting for it to end holds up all machines after this one.
pub fn estimate_cost(movable: usize, immovable: usize) -> f64 {
    const IMMOVABLE_COST: f64 = 10.0;
    movable as f64 + IMMOVABLE_COST * immovable as f64
}
