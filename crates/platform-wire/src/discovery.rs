//! The control feed: server-sent events, and the changes to the list of nodes that they carry.

use crate::{ProtocolError, ReceiveBuffer};
use serde::Deserialize;

/// An event holds at most the whole list of a large fleet.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One change to the list of nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Event {
    #[serde(rename = "n")]
    pub number: u64,
    #[serde(rename = "members", default)]
    pub list: Option<NodeList>,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Members")]
pub struct NodeList {
    #[serde(default)]
    pub complete: bool,
    /// An entry that can't be read costs no other one.
    #[serde(rename = "members", default)]
    pub entries: Vec<ListEntry>,
}

/// A line of the list, or what stands where one should and can't be read.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ListEntry {
    Node(NodeEntry),
    Unreadable(serde_json::Value),
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeEntry {
    pub id: String,
    #[serde(rename = "host_port")]
    pub address: std::net::SocketAddr,
    #[serde(rename = "locality")]
    pub zone: String,
    #[serde(rename = "flavor")]
    pub machine_type: String,
    #[serde(default)]
    pub cell: u64,
    pub phase: Phase,
    #[serde(default)]
    pub up_since_ms: u64,
    #[serde(rename = "unasked", default)]
    pub unrequested: Option<(f64, f64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Gone,
}

/// What a stream tells: an event, or by a comment that it is alive.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedItem {
    Event(Event),
    KeepAlive,
}

/// Makes events of the bytes of a stream. An event that is cut off counts as not told.
#[derive(Default)]
pub struct Reader {
    bytes: ReceiveBuffer,
    data: String,
}

impl Reader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    pub fn next_item(&mut self) -> Result<Option<FeedItem>, ProtocolError> {
        while let Some(end) = self.bytes.unread().iter().position(|&byte| byte == b'\n') {
            let line = &self.bytes.unread()[..end];
            let line = std::str::from_utf8(line)
                .map_err(|why| ProtocolError::InvalidEvent(why.to_string()))?;
            let line = line.trim_end_matches('\r').to_string();
            self.bytes.consume(end + 1);
            if line.starts_with(':') {
                return Ok(Some(FeedItem::KeepAlive));
            }
            if let Some(data) = line.strip_prefix("data:") {
                if self.data.len() + data.len() > MAX_EVENT_BYTES {
                    return Err(ProtocolError::InvalidEvent(
                        "an event without an end".into(),
                    ));
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                self.data.push('\n');
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let event = serde_json::from_str(&data)
                    .map_err(|why| ProtocolError::InvalidEvent(why.to_string()))?;
                return Ok(Some(FeedItem::Event(event)));
            }
        }
        match self.bytes.unread().len() {
            long if long > MAX_EVENT_BYTES => {
                Err(ProtocolError::InvalidEvent("a line without an end".into()))
            }
            _ => Ok(None),
        }
    }
}
