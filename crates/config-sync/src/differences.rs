//! What differs between two deployments, for on-call staff.

use corkspan_config::Deployment;

/// What is different in force, for on-call staff: a line for each part.
pub fn describe(now: &Deployment, next: &Deployment) -> Vec<String> {
    let (changes, removed) = now.texts.changes_to(&next.texts);
    let was = |name: &str| now.texts.get(name).unwrap_or("(absent)").to_string();
    let changed = changes
        .iter()
        .map(|(name, text)| format!("{} -> {text}", was(name)));
    changed
        .chain(
            removed
                .iter()
                .map(|name| format!("{} -> (absent)", was(name))),
        )
        .collect()
}
