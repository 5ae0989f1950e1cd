//! Breadth-first search over all states that are reachable from an initial one.

use std::collections::HashSet;
use std::fmt::Debug;

/// Returns the first violation within `depth` steps, and the number of distinct states found.
pub fn search<W: Debug>(
    initial: W,
    depth: usize,
    successors: impl Fn(&W) -> Vec<W>,
    violation: impl Fn(&W) -> Option<&'static str>,
) -> (Option<&'static str>, usize) {
    let (mut seen, mut frontier) = (HashSet::from([format!("{initial:?}")]), vec![initial]);
    for _ in 0..depth {
        let mut next_frontier = Vec::new();
        for state in &frontier {
            for next in successors(state) {
                if let Some(violation) = violation(&next) {
                    return (Some(violation), seen.len());
                }
                if seen.insert(format!("{next:?}")) {
                    next_frontier.push(next);
                }
            }
        }
        frontier = next_frontier;
    }
    (None, seen.len())
}
