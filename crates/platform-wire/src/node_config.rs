//! The file that a dispatcher is told its place by, at its start and again while it runs.

use crate::discovery::Event;
use corkspan_settings::Facts;
use serde::Deserialize;
use std::net::SocketAddr;

/// A dispatcher's place on the platform.
#[derive(Deserialize)]
pub struct NodeConfig {
    pub name: String,
    pub listen: SocketAddr,
    /// For chance: hex digits.
    pub seed: String,
    pub limits: Limits,
    #[serde(rename = "feed")]
    pub discovery_address: SocketAddr,
    #[serde(rename = "known")]
    pub discovery_state: DiscoveryState,
    pub settings: Facts,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
}

/// What the control feed has told so far.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryState {
    #[serde(rename = "n")]
    pub last_event: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

#[derive(Debug, thiserror::Error)]
pub enum NodeConfigError {
    #[error("no posting: {0}")]
    Json(#[from] serde_json::Error),
    #[error("seed: `{0}` is no hex number of up to 64 bits")]
    Seed(String),
}

impl NodeConfig {
    pub fn from_json(text: &[u8]) -> Result<NodeConfig, NodeConfigError> {
        let config: NodeConfig = serde_json::from_slice(text)?;
        config.seed_number()?;
        Ok(config)
    }

    pub fn seed_number(&self) -> Result<u64, NodeConfigError> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|_| NodeConfigError::Seed(self.seed.chars().take(40).collect()))
    }
}
