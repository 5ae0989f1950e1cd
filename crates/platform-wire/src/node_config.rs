//! The file that `NODE_CONFIG` names: it describes a dispatcher's part in the platform, at its start
//! and again while it runs.

use crate::MAX_QUOTED_CHARACTERS;
use crate::discovery::Event;
use corkspan_settings::Settings;
use serde::Deserialize;
use std::net::SocketAddr;

/// A dispatcher's part in the platform.
#[derive(Deserialize)]
pub struct NodeConfig {
    /// The dispatcher's name.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// The seed of its random draws, as hexadecimal digits.
    pub seed: String,
    /// What it may use of the machine.
    pub limits: Limits,
    /// Where the control feed listens.
    #[serde(rename = "feed")]
    pub discovery_address: SocketAddr,
    /// What the control feed has sent so far.
    #[serde(rename = "known")]
    pub discovery_state: DiscoveryState,
    /// The platform's settings.
    pub settings: Settings,
}

/// What a dispatcher may use of the machine.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
}

/// What the control feed has sent so far.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryState {
    /// The number of the last event.
    #[serde(rename = "n")]
    pub last_event: u64,
    /// Events that make up the list as it is.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Why a file is no [`NodeConfig`].
#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    /// It is not the JSON of one.
    #[error("no posting: {0}")]
    Json(#[from] serde_json::Error),
    /// Its seed is no number.
    #[error("seed: `{0}` is no hex number of up to 64 bits")]
    Seed(String),
}

impl NodeConfig {
    /// Reads the content of the file.
    ///
    /// # Errors
    ///
    /// What is wrong with it, and where.
    pub fn from_json(text: &[u8]) -> Result<NodeConfig, NodeConfigError> {
        let config: NodeConfig = serde_json::from_slice(text)?;
        config.seed_number()?;
        Ok(config)
    }

    /// The seed as a number.
    ///
    /// # Errors
    ///
    /// It is not hexadecimal or longer than 64 bits.
    pub fn seed_number(&self) -> Result<u64, NodeConfigError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| {
            NodeConfigError::Seed(self.seed.chars().take(MAX_QUOTED_CHARACTERS).collect())
        })
    }
}
