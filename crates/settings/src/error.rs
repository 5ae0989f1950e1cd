//! Errors in the content of settings.

/// An error in the content of settings that are otherwise well-formed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The size of a machine type is missing.
    #[error("family-info.kind-cores and kind-memory must have an entry for each of skus")]
    MachineTypeSizes,
    /// The dispatcher's zone is not in the list of zones.
    #[error("locality is not the index of an entry of zones")]
    Locality,
    /// A list with an entry per class is too short, or a class lacks a key.
    #[error("{key} has no entry for class {class}")]
    Missing {
        /// The key.
        key: &'static str,
        /// The index of the class.
        class: usize,
    },
    /// A class has an unknown effect.
    #[error("effect of class {class} can't be `{effect}`")]
    Effect {
        /// The index of the class.
        class: usize,
        /// The unknown value.
        effect: String,
    },
    /// A class has an unknown deduplication scope, or none.
    #[error("dedup-scope of class {class} can't be {scope:?}")]
    DeduplicationScope {
        /// The index of the class.
        class: usize,
        /// The unknown value, if there is one.
        scope: Option<String>,
    },
    /// A class is spread over an unknown domain.
    #[error("spread-by of class {class} can't be `{spread_by}`")]
    SpreadBy {
        /// The index of the class.
        class: usize,
        /// The unknown value.
        spread_by: String,
    },
}
