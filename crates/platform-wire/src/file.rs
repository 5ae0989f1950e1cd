//! The file that a dispatcher is told its place by, at its start and again while it runs.

use crate::feed::Event;
use corkspan_settings::Facts;
use serde::Deserialize;
use std::net::SocketAddr;

/// A dispatcher's place on the platform.
#[derive(Deserialize)]
pub struct Posting {
    pub name: String,
    pub listen: SocketAddr,
    /// For chance: hex digits.
    pub seed: String,
    pub limits: Limits,
    pub feed: SocketAddr,
    pub known: Known,
    pub settings: Facts,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub sockets: usize,
}

/// What the control feed has told so far.
#[derive(Clone, Debug, Deserialize)]
pub struct Known {
    pub n: u64,
    #[serde(default)]
    pub events: Vec<Event>,
}

#[derive(Debug, thiserror::Error)]
pub enum Unreadable {
    #[error("no posting: {0}")]
    Json(#[from] serde_json::Error),
    #[error("seed: `{0}` is no hex number of up to 64 bits")]
    Seed(String),
}

impl Posting {
    pub fn read(text: &[u8]) -> Result<Posting, Unreadable> {
        let posting: Posting = serde_json::from_slice(text)?;
        posting.chance()?;
        Ok(posting)
    }

    pub fn chance(&self) -> Result<u64, Unreadable> {
        u64::from_str_radix(&self.seed, 16)
            .map_err(|_| Unreadable::Seed(self.seed.chars().take(40).collect()))
    }
}
