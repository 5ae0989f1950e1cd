//! Encodes and decodes the platform's protocol without I/O. Each reader accepts bytes in arbitrary
//! pieces, buffers at most one message and reports malformed input as early as possible.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod client;
pub mod discovery;
pub mod node;
pub mod node_config;

/// Maximum size of a client's or a node's message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Maximum number of input characters that an error quotes.
const MAX_QUOTED_CHARACTERS: usize = 40;

/// Malformed input. Nothing after it on the connection can be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A message, or the part of it that has arrived, exceeds the maximum size.
    #[error("a message of {0} bytes exceeds the maximum of {MAX_MESSAGE_BYTES}")]
    TooLong(usize),
    /// A client's frame is too short for its header.
    #[error("a message of {0} bytes is too short for its type and id")]
    TooShort(usize),
    /// A client's frame has an unknown type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
    /// A parameter of a client's frame extends past the frame's end.
    #[error("parameter {0} extends past the end of its message")]
    TruncatedParameter(u8),
    /// A client's frame repeats a parameter or has too many of them.
    #[error("parameter {0} is a duplicate or one too many")]
    DuplicateParameter(u8),
    /// A node's line is not a message in JSON.
    #[error("invalid node message: {0}")]
    InvalidLine(String),
    /// A discovery stream has sent something other than an event.
    #[error("invalid control feed event: {0}")]
    InvalidEvent(String),
}

/// An invalid field in a message that is otherwise well-formed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidField {
    /// A required field is missing or empty.
    #[error("missing {0}")]
    Missing(&'static str),
    /// A field's text is not a valid value.
    #[error("`{text}` is not a valid {what}")]
    Invalid {
        /// The expected content of the field.
        what: &'static str,
        /// The beginning of the field's text.
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

/// Parses a load report: `name:value` pairs separated by semicolons.
///
/// # Errors
///
/// Returns an error if a pair has no finite value.
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

/// The smallest number of bytes by which a receive buffer grows.
const RECEIVE_BUFFER_STEP_BYTES: usize = 1024;

/// Bytes that were read from a connection and not yet decoded. Holds no memory while it is empty,
/// and little more than its content otherwise.
#[derive(Default)]
struct ReceiveBuffer {
    bytes: Vec<u8>,
    consumed: usize,
}

impl ReceiveBuffer {
    fn append(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        if self.bytes.capacity() - self.bytes.len() < bytes.len() {
            self.bytes
                .reserve_exact(bytes.len().max(RECEIVE_BUFFER_STEP_BYTES));
        }
        self.bytes.extend_from_slice(bytes);
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Marks the first `length` unread bytes as decoded.
    fn consume(&mut self, length: usize) {
        self.consumed += length;
        if self.consumed == self.bytes.len() {
            *self = ReceiveBuffer::default();
        }
    }

    /// Returns the number of bytes of memory that the buffer holds.
    fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}
