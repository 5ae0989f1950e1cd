//! Describes the differences between two deployments for on-call staff.

use corkspan_config::Deployment;

/// Returns a line for each shared part that differs, with its text before and after, or `(absent)`
/// if the part does not exist.
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
