//! Breadth-first search over all states that are reachable from an initial one.

use std::collections::HashSet;
use std::fmt::Debug;

/// Returns the first violation within `depth` steps, and the number of distinct states found.
pub fn search<W: Debug>(
    first: W,
    depth: usize,
    follow: impl Fn(&W) -> Vec<W>,
    breach: impl Fn(&W) -> Option<&'static str>,
) -> (Option<&'static str>, usize) {
    let (mut seen, mut frontier) = (HashSet::from([format!("{first:?}")]), vec![first]);
    for _ in 0..depth {
        let mut next_frontier = Vec::new();
        for world in &frontier {
            for next in follow(world) {
                if let Some(breach) = breach(&next) {
                    return (Some(breach), seen.len());
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
