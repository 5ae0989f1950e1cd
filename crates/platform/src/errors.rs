//! Why a dispatcher does not start, or does not take over another configuration.

use crate::descriptor_budget::TooFewDescriptors;
use corkspan_platform_wire::node_config::NodeConfigError;
use corkspan_settings::SettingsError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a dispatcher did not start, or ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration file can't be read.
    #[error("can't read {path}: {source}")]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The configuration file is none.
    #[error("{path}: {source}")]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: NodeConfigError,
    },
    /// The configuration file can be read, and what it says can't be used.
    #[error("{path}: {source}")]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The address of the listener can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't take signals: {0}")]
    Signals(#[source] std::io::Error),
}

/// What is wrong with a configuration file's content.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Fewer file descriptors than a dispatcher needs.
    #[error(transparent)]
    Descriptors(#[from] TooFewDescriptors),
    /// The seed is no number.
    #[error("settings: {0}")]
    Seed(#[from] NodeConfigError),
    /// The settings contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Why the settings of another configuration file are not taken over.
#[derive(Debug, thiserror::Error)]
pub enum ReconfigureError {
    /// They contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// They differ in names that may not change while a dispatcher runs.
    #[error("its classes, tenants, zones or kinds are others")]
    NamesChanged,
}
