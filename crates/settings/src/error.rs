//! Why settings can't be used.

/// What is wrong with settings that could be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// Sizes of machine types are not given for each of them.
    #[error("family-info.kind-cores and kind-memory must have an entry for each of skus")]
    MachineTypeSizes,
    /// The dispatcher's zone is none of the zones.
    #[error("locality names none of zones")]
    Locality,
    /// A list by class is too short, or a class lacks a key.
    #[error("{key} has no entry for class {class}")]
    Missing {
        /// The key.
        key: &'static str,
        /// The index of the class.
        class: usize,
    },
    /// A class has an effect that is not known.
    #[error("effect of class {class} can't be `{effect}`")]
    Effect {
        /// The index of the class.
        class: usize,
        /// What is there.
        effect: String,
    },
    /// A class has a deduplication scope that is not known, or none.
    #[error("dedup-scope of class {class} can't be {scope:?}")]
    DeduplicationScope {
        /// The index of the class.
        class: usize,
        /// What is there.
        scope: Option<String>,
    },
    /// A class is spread by something that is not known.
    #[error("spread-by of class {class} can't be `{spread_by}`")]
    SpreadBy {
        /// The index of the class.
        class: usize,
        /// What is there.
        spread_by: String,
    },
}
