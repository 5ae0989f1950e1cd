//! Encodes and decodes clients' messages, which are binary frames.
//!
//! A frame is a length (2 bytes, big endian, not counting itself), a message type (1 byte), the id
//! of the task (8 bytes, big endian) and parameters, each a code (1 byte), a length (2 bytes, big
//! endian) and a value.

use crate::{InvalidField, MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};

mod set_up;

pub use set_up::SetUp;

/// The purpose of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// A client's request to run a task, or to adopt one that is already running.
    SetUp,
    /// A client's set-up is in progress; carries nothing that a dispatcher needs.
    Progress,
    /// A dispatcher's answer: the task is running.
    Answer,
    /// The end of a set-up or of a running task, sent by either side.
    Release,
    /// A client's acknowledgement of an answer.
    Acknowledge,
    /// A notification about a running task.
    Notification,
    /// A dispatcher's request that the client set up its task elsewhere.
    Migrate,
    /// A client's check that the dispatcher is alive.
    HealthCheck,
    /// The reply to a health check.
    HealthCheckReply,
}

const TYPE_CODES: [(u8, MessageType); 9] = [
    (1, MessageType::SetUp),
    (6, MessageType::Progress),
    (9, MessageType::Answer),
    (12, MessageType::Release),
    (16, MessageType::Acknowledge),
    (44, MessageType::Notification),
    (51, MessageType::Migrate),
    (52, MessageType::HealthCheck),
    (53, MessageType::HealthCheckReply),
];

impl MessageType {
    fn code(self) -> Option<u8> {
        TYPE_CODES
            .iter()
            .find(|(_, known)| *known == self)
            .map(|(code, _)| *code)
    }
}

impl TryFrom<u8> for MessageType {
    type Error = ProtocolError;

    fn try_from(code: u8) -> Result<Self, ProtocolError> {
        TYPE_CODES
            .iter()
            .find(|(known, _)| *known == code)
            .map(|(_, message_type)| *message_type)
            .ok_or(ProtocolError::UnknownType(code))
    }
}

/// Parameter: the name of the service class.
pub const CLASS: u8 = 180;
/// Parameter: the time until the client stops waiting, in milliseconds, as decimal digits.
pub const TIME_LEFT: u8 = 182;
/// Parameter: the name of the tenant.
pub const TENANT: u8 = 184;
/// Parameter: the client's name for the task.
pub const TASK_NAME: u8 = 188;
/// Parameter: the task's requirements, as `name:value` pairs separated by semicolons.
pub const REQUIREMENTS: u8 = 190;
/// Parameter: the idempotency key.
pub const IDEMPOTENCY_KEY: u8 = 206;
/// Parameter: the cause of an end, one of the `CAUSE_...` values; in a health check, its result.
pub const CAUSE: u8 = 208;
/// Parameter: what the node is to run, or the node's description of the running task.
pub const DESCRIPTION: u8 = 210;

/// Normal end: a task has ended, or a client has cancelled its set-up.
pub const CAUSE_NORMAL: u8 = 16;
/// A running task was cancelled.
pub const CAUSE_CANCELLED: u8 = 31;
/// Rejected for lack of capacity.
pub const CAUSE_REJECTED: u8 = 34;
/// Interrupted: a running task was lost.
pub const CAUSE_INTERRUPTED: u8 = 41;
/// Failed for any other reason.
pub const CAUSE_FAILED: u8 = 47;
/// The set-up did not arrive.
pub const CAUSE_NOT_SENT: u8 = 102;

/// Size of the length field in front of a frame, in bytes.
const LENGTH_BYTES: usize = 2;
/// Maximum size of a frame with its length field, in bytes.
pub const MAX_FRAME_BYTES: usize = LENGTH_BYTES + MAX_MESSAGE_BYTES;
/// Size of the type and the task's id, in bytes.
const HEADER_BYTES: usize = 9;
/// Size of a parameter's code and length, in bytes.
const PARAMETER_HEADER_BYTES: usize = 3;
/// Maximum number of parameters in a frame; every message of the protocol has fewer.
const MAX_PARAMETERS: usize = 32;

/// A decoded frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The purpose of the message.
    pub message_type: MessageType,
    /// The id of the task, assigned by the client.
    pub task: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// Returns the value of a parameter, if the message has it.
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(other, _)| *other == code)
            .map(|(_, value)| &value[..])
    }

    /// Returns the cause of an end, if the message has one.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(CAUSE)
            .and_then(|value| value.first().copied())
    }

    fn text(&self, code: u8, what: &'static str) -> Result<Option<&str>, InvalidField> {
        let text = self.parameter(code).map(std::str::from_utf8).transpose();
        text.map_err(|_| InvalidField::invalid(what, "bytes that are not UTF-8"))
    }

    /// Decodes a frame without its length field.
    fn decode(frame: &[u8]) -> Result<Message, ProtocolError> {
        let Some((header, mut rest)) = frame.split_at_checked(HEADER_BYTES) else {
            return Err(ProtocolError::TooShort(frame.len()));
        };
        let message_type = MessageType::try_from(header[0])?;
        let task = header[1..]
            .iter()
            .fold(0, |id, &byte| id << 8 | u64::from(byte));
        let mut parameters: Vec<(u8, Vec<u8>)> = Vec::new();
        while let [code, high, low, after @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, after) = after
                .split_at_checked(length)
                .ok_or(ProtocolError::TruncatedParameter(*code))?;
            if parameters.len() >= MAX_PARAMETERS
                || parameters.iter().any(|(other, _)| other == code)
            {
                return Err(ProtocolError::DuplicateParameter(*code));
            }
            parameters.push((*code, value.to_vec()));
            rest = after;
        }
        match rest {
            [] => Ok(Message {
                message_type,
                task,
                parameters,
            }),
            [code, ..] => Err(ProtocolError::TruncatedParameter(*code)),
        }
    }
}

/// Decodes the bytes of one connection into messages.
#[derive(Default)]
pub struct Reader {
    bytes: ReceiveBuffer,
}

impl Reader {
    /// Adds bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// Returns the next complete message, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid message. An invalid length or type is reported
    /// before the rest of its message has arrived.
    pub fn next_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        let [high, low, rest @ ..] = self.bytes.unread() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if length > MAX_MESSAGE_BYTES {
            return Err(ProtocolError::TooLong(length));
        }
        if length < HEADER_BYTES {
            return Err(ProtocolError::TooShort(length));
        }
        if let Some(&code) = rest.first() {
            MessageType::try_from(code)?;
        }
        let Some(frame) = rest.get(..length) else {
            return Ok(None);
        };
        let message = Message::decode(frame)?;
        self.bytes.consume(LENGTH_BYTES + length);
        Ok(Some(message))
    }

    /// Returns the number of bytes that have arrived and are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.unread().len()
    }

    /// Returns the number of bytes of memory that the reader holds.
    pub fn held_bytes(&self) -> usize {
        self.bytes.held_bytes()
    }

    /// Returns whether a message of this type has arrived as a whole.
    pub fn has_message(&self, message_type: MessageType) -> bool {
        let mut rest = self.bytes.unread();
        while let [high, low, after @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let Some((frame, next)) = after.split_at_checked(length) else {
                return false;
            };
            if frame.first().copied() == message_type.code() {
                return true;
            }
            rest = next;
        }
        false
    }

    /// Returns whether a message has arrived as a whole.
    pub fn has_complete_message(&self) -> bool {
        match self.bytes.unread() {
            [high, low, rest @ ..] => rest.len() >= usize::from(u16::from_be_bytes([*high, *low])),
            _ => false,
        }
    }

    /// Returns whether a message has arrived only in part.
    pub fn has_partial_message(&self) -> bool {
        !self.bytes.unread().is_empty()
    }
}

/// Encodes a message; returns `None` if it would be longer than [`MAX_MESSAGE_BYTES`].
pub fn encode(message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) -> Option<Vec<u8>> {
    let length = HEADER_BYTES
        + parameters
            .iter()
            .map(|(_, value)| PARAMETER_HEADER_BYTES + value.len())
            .sum::<usize>();
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + length);
    bytes.extend((length as u16).to_be_bytes());
    bytes.extend(message_type.code());
    bytes.extend(task.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value);
    }
    Some(bytes)
}
