//! Errors of starting a dispatcher and of applying a new configuration.

use crate::descriptor_budget::TooFewDescriptors;
use crate::memory_budget::TooLittleMemory;
use corkspan_platform_wire::node_config::NodeConfigError;
use corkspan_settings::SettingsError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The reason why a dispatcher did not start, or ended without a signal.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration file can't be read.
    #[error("can't read {path}: {source}")]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The configuration file has an invalid format.
    #[error("{path}: {source}")]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// The error in the file.
        source: NodeConfigError,
    },
    /// The configuration file has a valid format but contains unusable values.
    #[error("{path}: {source}")]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// The error in the values.
        source: ConfigError,
    },
    /// The listener's address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(#[source] std::io::Error),
}

/// An error in the content of a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The limit on file descriptors is lower than a dispatcher needs.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The limit on memory is lower than a dispatcher needs.
    #[error(transparent)]
    Memory(#[from] TooLittleMemory),
    /// The seed is not a number.
    #[error("settings: {0}")]
    Seed(#[from] NodeConfigError),
    /// The settings contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// The reason why the settings of a new configuration file are not applied.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigureError {
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The settings differ in names that must not change while a dispatcher runs.
    #[error("classes, tenants, zones and machine types can't change while the dispatcher runs")]
    NamesChanged,
}
