//! The control feed: server-sent events, and the changes to the list of nodes that they carry.

use crate::{Bytes, Garbled};
use serde::Deserialize;

/// An event holds at most the whole list of a large fleet.
const LONGEST: usize = 256 * 1024;

/// One change to the list of nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Event {
    pub n: u64,
    #[serde(default)]
    pub members: Option<Members>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Members {
    #[serde(default)]
    pub complete: bool,
    /// An entry that can't be read costs no other one.
    #[serde(default)]
    pub members: Vec<Entry>,
}

/// A line of the list, or what stands where one should and can't be read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Entry {
    Member(Member),
    Unreadable(serde_json::Value),
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Member {
    pub id: String,
    pub host_port: std::net::SocketAddr,
    pub locality: String,
    pub flavor: String,
    #[serde(default)]
    pub cell: u64,
    pub phase: Phase,
    #[serde(default)]
    pub up_since_ms: u64,
    #[serde(default)]
    pub unasked: Option<(f64, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Active,
    Leaving,
    Left,
}

/// What a stream tells: an event, or by a comment that it is alive.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Event(Event),
    Alive,
}

/// Makes events of the bytes of a stream. An event that is cut off counts as not told.
#[derive(Default)]
pub struct Reader {
    bytes: Bytes,
    data: String,
}

impl Reader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.push(bytes);
    }

    pub fn told(&mut self) -> Result<Option<Told>, Garbled> {
        while let Some(end) = self.bytes.rest().iter().position(|&byte| byte == b'\n') {
            let line = &self.bytes.rest()[..end];
            let line = std::str::from_utf8(line).map_err(|why| Garbled::Feed(why.to_string()))?;
            let line = line.trim_end_matches('\r').to_string();
            self.bytes.taken(end + 1);
            if line.starts_with(':') {
                return Ok(Some(Told::Alive));
            }
            if let Some(data) = line.strip_prefix("data:") {
                if self.data.len() + data.len() > LONGEST {
                    return Err(Garbled::Feed("an event without an end".into()));
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                self.data.push('\n');
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let event =
                    serde_json::from_str(&data).map_err(|why| Garbled::Feed(why.to_string()))?;
                return Ok(Some(Told::Event(event)));
            }
        }
        match self.bytes.rest().len() {
            long if long > LONGEST => Err(Garbled::Feed("a line without an end".into())),
            _ => Ok(None),
        }
    }
}
