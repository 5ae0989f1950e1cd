//! Clients' messages: binary frames of a length, a type, the task's id and parameters.
//!
//! A frame is a length (2 bytes, big endian, not counting itself), a message type (1 byte), the id
//! of the task (8 bytes, big endian) and parameters, each a code (1 byte), a length (2 bytes, big
//! endian) and a value.

use crate::{InvalidField, MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};

mod set_up;

pub use set_up::SetUp;

/// What a frame is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// A client requests a task, or hands over one that is running already.
    SetUp,
    /// A client's set-up is under way; carries nothing that a dispatcher needs.
    Progress,
    /// A dispatcher's answer: the task is running.
    Answer,
    /// The end of a set-up or of a running task, either way.
    Release,
    /// A client's acknowledgement of an answer.
    Acknowledge,
    /// A notification about a running task.
    Notification,
    /// A dispatcher's request that the client sets its task up elsewhere.
    Migrate,
    /// A client's question whether the dispatcher is alive.
    HealthCheck,
    /// The reply to that.
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
/// Parameter: how long the client still waits, in milliseconds, as decimal digits.
pub const TIME_LEFT: u8 = 182;
/// Parameter: the name of the tenant.
pub const TENANT: u8 = 184;
/// Parameter: the client's name of the task.
pub const TASK_NAME: u8 = 188;
/// Parameter: what the task requires, as `name:value` pairs separated by semicolons.
pub const REQUIREMENTS: u8 = 190;
/// Parameter: the idempotency key.
pub const IDEMPOTENCY_KEY: u8 = 206;
/// Parameter: why something ends, one of the `CAUSE_...` values; of a health check, its result.
pub const CAUSE: u8 = 208;
/// Parameter: what the node is to run, or what it says of the task that runs.
pub const DESCRIPTION: u8 = 210;

/// Normal end: a task that has ended, or a set-up that its client has cancelled.
pub const CAUSE_NORMAL: u8 = 16;
/// A running task was cancelled.
pub const CAUSE_CANCELLED: u8 = 31;
/// Rejected for lack of capacity.
pub const CAUSE_REJECTED: u8 = 34;
/// Interrupted: a running task that was lost.
pub const CAUSE_INTERRUPTED: u8 = 41;
/// Failed, for any other reason.
pub const CAUSE_FAILED: u8 = 47;
/// The set-up did not arrive.
pub const CAUSE_NOT_SENT: u8 = 102;

/// Bytes of the length in front of a frame.
const LENGTH_BYTES: usize = 2;
/// Bytes of the type and the task's id.
const HEADER_BYTES: usize = 9;
/// Bytes of a parameter's code and length.
const PARAMETER_HEADER_BYTES: usize = 3;
/// No message of the protocol has as many parameters.
const MAX_PARAMETERS: usize = 32;

/// A frame that has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is for.
    pub message_type: MessageType,
    /// The id of the task, given by the client.
    pub task: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    /// The value of a parameter, if the message has it.
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(other, _)| *other == code)
            .map(|(_, value)| &value[..])
    }

    /// Why something ends, if the message says so.
    pub fn cause(&self) -> Option<u8> {
        self.parameter(CAUSE)
            .and_then(|value| value.first().copied())
    }

    fn text(&self, code: u8, what: &'static str) -> Result<Option<&str>, InvalidField> {
        let text = self.parameter(code).map(std::str::from_utf8).transpose();
        text.map_err(|_| InvalidField::invalid(what, "bytes that are no text"))
    }

    /// From a frame without its length.
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

/// Makes messages of the bytes of one connection.
#[derive(Default)]
pub struct Reader {
    bytes: ReceiveBuffer,
}

impl Reader {
    /// Adds bytes that have been read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// The next complete message, none where more bytes are needed.
    ///
    /// # Errors
    ///
    /// Whatever can't become a message. A length or type that can't be right is reported before
    /// its message has arrived.
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

    /// How many bytes have arrived that are not made into messages yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.unread().len()
    }

    /// Whether a part of a message has arrived and the rest has not.
    pub fn has_partial_message(&self) -> bool {
        !self.bytes.unread().is_empty()
    }
}

/// A message as bytes; none where it would be longer than [`MAX_MESSAGE_BYTES`].
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
