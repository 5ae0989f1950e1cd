//! What differs between two deployments, for on-call staff.

use corkspan_config::Deployment;

/// A line for each shared part that differs: its text before and after, `(absent)` where there is
/// none.
#[must_use]
pub fn describe(current: &Deployment, next: &Deployment) -> Vec<String> {
    let before = |name: &str| {
        current
            .shared_parts
            .get(name)
            .unwrap_or("(absent)")
            .to_string()
    };
    let (changes, removed) = current.shared_parts.changes_to(&next.shared_parts);
    let changed = changes
        .iter()
        .map(|(name, text)| format!("{} -> {text}", before(name)));
    let removed = removed
        .iter()
        .map(|name| format!("{} -> (absent)", before(name)));
    changed.chain(removed).collect()
}
