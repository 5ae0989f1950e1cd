//! Reads the file that `NODE_CONFIG` names. It holds a dispatcher's configuration on the platform
//! and is read at start and again while the dispatcher runs.

use crate::MAX_QUOTED_CHARACTERS;
use crate::discovery::Event;
use corkspan_settings::Settings;
use serde::Deserialize;
use std::net::SocketAddr;

/// A dispatcher's configuration on the platform.
#[derive(Deserialize)]
pub struct NodeConfig {
    /// The dispatcher's name.
    pub name: String,
    /// The address on which the dispatcher listens for clients.
    pub listen: SocketAddr,
    /// The seed of the dispatcher's random draws, as hexadecimal digits.
    pub seed: String,
    /// The dispatcher's resource limits.
    pub limits: Limits,
    /// The address on which the control feed listens.
    #[serde(rename = "feed")]
    pub discovery_address: SocketAddr,
    /// The state of discovery so far.
    #[serde(rename = "known")]
    pub discovery_state: DiscoveryState,
    /// The platform's settings.
    pub settings: Settings,
}

/// A dispatcher's resource limits.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of file descriptors.
    pub sockets: usize,
    /// Maximum memory of the process, in megabytes; `None` if there is no limit.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

/// The state of discovery, as the control feed has sent it so far.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryState {
    /// The number of the last event.
    #[serde(rename = "n")]
    pub last_event: u64,
    /// Events that make up the current list.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// An error in the file of a [`NodeConfig`].
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// The file is not the JSON of a configuration.
    #[error("invalid node configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// The seed is not a number.
    #[error("seed: `{0}` is not a hexadecimal number of up to 64 bits")]
    Seed(String),
}

impl NodeConfig {
    /// Parses the content of the file.
    ///
    /// # Errors
    ///
    /// Returns the first error and its position.
    pub fn from_json(text: &[u8]) -> Result<NodeConfig, NodeConfigError> {
        let config: NodeConfig = serde_json::from_slice(text)?;
        config.seed_number()?;
        Ok(config)
    }

    /// Returns the seed as a number.
    ///
    /// # Errors
    ///
    /// Returns an error if the seed is not hexadecimal or is longer than 64 bits.
    pub fn seed_number(&self) -> Result<u64, NodeConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| {
            NodeConfigError::Seed(self.seed.chars().take(MAX_QUOTED_CHARACTERS).collect())
        })
    }
}
