//! Decodes the server-sent events of the control feed and the changes to the node list that they
//! carry.

use crate::{ProtocolError, ReceiveBuffer};
use serde::Deserialize;

/// Maximum size of an event, in bytes; it must fit the complete list of a large cluster.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One change to the node list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Event {
    /// The sequence number of the event; numbers are consecutive.
    #[serde(rename = "n")]
    pub number: u64,
    /// The changed nodes; `None` if the event changes nothing.
    #[serde(rename = "members", default)]
    pub list: Option<NodeList>,
}

/// A partial or complete list of nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Members")]
pub struct NodeList {
    /// Whether all nodes are listed, so that a node that is not listed is gone.
    #[serde(default)]
    pub complete: bool,
    /// The entries. An unreadable entry does not affect the others.
    #[serde(rename = "members", default)]
    pub entries: Vec<ListEntry>,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ListEntry {
    /// A node.
    Node(NodeEntry),
    /// An entry that can't be read as a node.
    Unreadable(serde_json::Value),
}

/// A node in the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeEntry {
    /// The node's name.
    pub id: String,
    /// The address on which the node listens.
    #[serde(rename = "host_port")]
    pub address: std::net::SocketAddr,
    /// The name of its zone.
    #[serde(rename = "locality")]
    pub zone: String,
    /// The name of its machine type.
    #[serde(rename = "flavor")]
    pub machine_type: String,
    /// The number of its cell.
    #[serde(default)]
    pub cell: u64,
    /// The node's serving state.
    pub phase: Phase,
    /// The time of the node's start, in milliseconds since 1970; 0 if unknown.
    #[serde(default)]
    pub up_since_ms: u64,
    /// Unrequested cores and memory, if the list reports them.
    #[serde(rename = "unasked", default)]
    pub unrequested: Option<(f64, f64)>,
}

/// The serving state of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The node accepts tasks.
    Active,
    /// The node keeps running its tasks and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// The node and its tasks are gone.
    #[serde(rename = "left")]
    Gone,
}

/// An item of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedItem {
    /// An event.
    Event(Event),
    /// A comment, which shows that the stream is alive.
    KeepAlive,
}

/// Decodes the bytes of a stream into items. An incomplete event is not reported.
#[derive(Default)]
pub struct Reader {
    bytes: ReceiveBuffer,
    /// The `data` lines of the incomplete event.
    data: String,
}

impl Reader {
    /// Adds bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// Returns the next complete item, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is invalid, or if a line or an event does not end within the
    /// limit.
    pub fn next_item(&mut self) -> Result<Option<FeedItem>, ProtocolError> {
        let invalid = |error: &dyn ToString| ProtocolError::InvalidEvent(error.to_string());
        while let Some(end) = self.bytes.unread().iter().position(|&byte| byte == b'\n') {
            let line = &self.bytes.unread()[..end];
            let line = std::str::from_utf8(line).map_err(|error| invalid(&error))?;
            let line = line.trim_end_matches('\r').to_string();
            self.bytes.consume(end + 1);
            if line.starts_with(':') {
                return Ok(Some(FeedItem::KeepAlive));
            }
            if let Some(data) = line.strip_prefix("data:") {
                if self.data.len() + data.len() > MAX_EVENT_BYTES {
                    return Err(invalid(&"an event exceeds the size limit"));
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
                self.data.push('\n');
            } else if line.is_empty() && !self.data.is_empty() {
                let data = std::mem::take(&mut self.data);
                let event = serde_json::from_str(&data).map_err(|error| invalid(&error))?;
                return Ok(Some(FeedItem::Event(event)));
            }
        }
        match self.bytes.unread().len() {
            length if length > MAX_EVENT_BYTES => Err(invalid(&"a line exceeds the size limit")),
            _ => Ok(None),
        }
    }
}
