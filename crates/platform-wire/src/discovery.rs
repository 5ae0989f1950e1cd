//! Discovery: server-sent events of the control feed, and the changes to the list of nodes that
//! they carry.

use crate::{ProtocolError, ReceiveBuffer};
use serde::Deserialize;

/// An event holds at most the complete list of a large cluster.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One change to the list of nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Event {
    /// Events are numbered one after the other.
    #[serde(rename = "n")]
    pub number: u64,
    /// None where the event changes nothing.
    #[serde(rename = "members", default)]
    pub list: Option<NodeList>,
}

/// Some nodes, or all.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(expecting = "struct Members")]
pub struct NodeList {
    /// All nodes are listed: one that is not is gone.
    #[serde(default)]
    pub complete: bool,
    /// An entry that can't be read costs no other one.
    #[serde(rename = "members", default)]
    pub entries: Vec<ListEntry>,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum ListEntry {
    /// A node.
    Node(NodeEntry),
    /// What is there in place of a node and can't be read.
    Unreadable(serde_json::Value),
}

/// A node as the list describes it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct NodeEntry {
    /// Its name.
    pub id: String,
    /// Where it listens.
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
    /// Whether it serves.
    pub phase: Phase,
    /// When it was started, in milliseconds since 1970; 0 where that is not known.
    #[serde(default)]
    pub up_since_ms: u64,
    /// Cores and memory that nobody has requested, where the list says so.
    #[serde(rename = "unasked", default)]
    pub unrequested: Option<(f64, f64)>,
}

/// Whether a node serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It takes tasks.
    Active,
    /// It runs what it has and takes nothing new.
    #[serde(rename = "leaving")]
    Draining,
    /// It is gone, and its tasks with it.
    #[serde(rename = "left")]
    Gone,
}

/// What a stream sends.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedItem {
    /// An event.
    Event(Event),
    /// A comment, which says that the stream is alive.
    KeepAlive,
}

/// Makes events of the bytes of a stream. An event that is cut off is not reported.
#[derive(Default)]
pub struct Reader {
    bytes: ReceiveBuffer,
    /// The `data` lines of the event that has no end yet.
    data: String,
}

impl Reader {
    /// Adds bytes that have been read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// The next complete item, none where more bytes are needed.
    ///
    /// # Errors
    ///
    /// An event that is none, or a line or an event without an end within the limit.
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
                    return Err(invalid(&"an event without an end"));
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
            length if length > MAX_EVENT_BYTES => Err(invalid(&"a line without an end")),
            _ => Ok(None),
        }
    }
}
