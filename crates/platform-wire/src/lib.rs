//! The platform's protocol without I/O: bytes in, messages or typed faults out, and back. Every
//! reader is fed piece by piece, keeps no more than one message and says at once when what it reads
//! can't become one.

pub mod client;
pub mod discovery;
pub mod node;
pub mod node_config;

/// No message holds more.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// What can't be read as messages at all: nothing after it on the connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    #[error("a message of {0} bytes, where at most {MAX_MESSAGE_BYTES} may be")]
    TooLong(usize),
    #[error("a message of {0} bytes is too short for its type and id")]
    TooShort(usize),
    #[error("no message has the type {0}")]
    UnknownType(u8),
    #[error("parameter {0} runs past the end of its message")]
    TruncatedParameter(u8),
    #[error("parameter {0} stands twice in a message")]
    DuplicateParameter(u8),
    #[error("no line of JSON as nodes send it: {0}")]
    InvalidLine(String),
    #[error("not what a control feed sends: {0}")]
    InvalidEvent(String),
}

/// A message that could be read, with something in it that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    #[error("no {0}")]
    Missing(&'static str),
    #[error("`{text}` is no {what}")]
    Invalid { what: &'static str, text: String },
}

impl InvalidField {
    /// Quotes no more than the beginning of what it was given.
    fn invalid(what: &'static str, text: &str) -> Self {
        InvalidField::Invalid {
            what,
            text: text.chars().take(40).collect(),
        }
    }
}

/// A load report: pairs of name and value, set apart by semicolons.
pub fn parse_load_report(text: &str) -> Result<Vec<(&str, f64)>, InvalidField> {
    text.split(';')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let value = pair
                .split_once(':')
                .and_then(|(name, value)| Some((name, value.parse().ok()?)));
            value
                .filter(|(_, value): &(&str, f64)| value.is_finite())
                .ok_or_else(|| InvalidField::invalid("load", pair))
        })
        .collect()
}

/// What has been read on a connection and not yet made into messages.
#[derive(Default)]
struct ReceiveBuffer {
    bytes: Vec<u8>,
    at: usize,
}

impl ReceiveBuffer {
    fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.at);
        self.at = 0;
        self.bytes.extend_from_slice(bytes);
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    /// So much of the rest has been made into a message.
    fn consume(&mut self, length: usize) {
        self.at += length;
    }
}
