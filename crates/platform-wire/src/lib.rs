//! The platform's protocol without I/O: bytes in, messages or typed errors out, and back. Every
//! reader is given bytes piece by piece, buffers no more than one message and reports as soon as it
//! can when what it reads can't become one.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod client;
pub mod discovery;
pub mod node;
pub mod node_config;

/// No message of a client or a node holds more bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// An error quotes no more characters of what it was given.
const MAX_QUOTED_CHARACTERS: usize = 40;

/// What can't be read as messages at all: nothing after it on the connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A message, or what has arrived of it, is longer than any may be.
    #[error("a message of {0} bytes, where at most {MAX_MESSAGE_BYTES} may be")]
    TooLong(usize),
    /// A client's frame is too short for its header.
    #[error("a message of {0} bytes is too short for its type and id")]
    TooShort(usize),
    /// A client's frame has a type that does not exist.
    #[error("no message has the type {0}")]
    UnknownType(u8),
    /// A parameter of a client's frame has a length beyond the frame's end.
    #[error("parameter {0} runs past the end of its message")]
    TruncatedParameter(u8),
    /// A parameter of a client's frame is there twice, or one too many is there.
    #[error("parameter {0} stands twice in a message")]
    DuplicateParameter(u8),
    /// A node's line is not the JSON of a message.
    #[error("no line of JSON as nodes send it: {0}")]
    InvalidLine(String),
    /// What a discovery stream has sent is no event.
    #[error("not what a control feed sends: {0}")]
    InvalidEvent(String),
}

/// A message that could be read, with a field in it that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// A required field is not there, or empty.
    #[error("no {0}")]
    Missing(&'static str),
    /// A field's text does not mean what it must.
    #[error("`{text}` is no {what}")]
    Invalid {
        /// What the field should hold.
        what: &'static str,
        /// The beginning of what it holds.
        text: String,
    },
}

impl InvalidField {
    fn invalid(what: &'static str, text: &str) -> Self {
        InvalidField::Invalid {
            what,
            text: text.chars().take(MAX_QUOTED_CHARACTERS).collect(),
        }
    }
}

/// A load report: pairs of name and value, separated by semicolons.
///
/// # Errors
///
/// A pair without a finite value.
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

/// What has been read from a connection and not yet made into messages.
#[derive(Default)]
struct ReceiveBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl ReceiveBuffer {
    fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// So many of the unread bytes have been made into a message.
    fn consume(&mut self, length: usize) {
        self.consumed += length;
    }
}
