//! All states that may follow from a first one.

use std::collections::HashSet;
use std::fmt::Debug;

/// The first breach within so many steps, and how many states there were.
pub fn search<W: Debug>(
    first: W,
    depth: usize,
    follow: impl Fn(&W) -> Vec<W>,
    breach: impl Fn(&W) -> Option<&'static str>,
) -> (Option<&'static str>, usize) {
    let (mut seen, mut open) = (HashSet::from([format!("{first:?}")]), vec![first]);
    for _ in 0..depth {
        let mut further = Vec::new();
        for world in &open {
            for next in follow(world) {
                if let Some(breach) = breach(&next) {
                    return (Some(breach), seen.len());
                }
                if seen.insert(format!("{next:?}")) {
                    further.push(next);
                }
            }
        }
        open = further;
    }
    (None, seen.len())
}
