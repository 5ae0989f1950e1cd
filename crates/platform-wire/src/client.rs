//! Owners' messages: binary, a length, a type, the task's id and parameters.

use crate::{InvalidField, MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    SetUp,
    Progress,
    Answer,
    Release,
    Acknowledge,
    Notification,
    Migrate,
    HealthCheck,
    HealthCheckReply,
}

const TYPES: [(u8, MessageType); 9] = [
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

pub const CLASS: u8 = 180;
pub const TIME_LEFT: u8 = 182;
pub const TENANT: u8 = 184;
pub const TASK_NAME: u8 = 188;
pub const REQUIREMENTS: u8 = 190;
pub const IDEMPOTENCY_KEY: u8 = 206;
pub const CAUSE: u8 = 208;
pub const DESCRIPTION: u8 = 210;

/// Refused: the platform's cause for "no room", and that for a set-up given up.
pub const CAUSE_REJECTED: u8 = 34;
pub const CAUSE_FAILED: u8 = 47;
pub const CAUSE_NORMAL: u8 = 16;

/// The type and the id.
const HEADER_BYTES: usize = 9;
/// No message of the protocol has as many.
const MAX_PARAMETERS: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub message_type: MessageType,
    pub task: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn parameter(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(other, _)| *other == code)
            .map(|(_, value)| &value[..])
    }

    pub fn cause(&self) -> Option<u8> {
        self.parameter(CAUSE)
            .and_then(|value| value.first().copied())
    }

    fn text(&self, code: u8, what: &'static str) -> Result<Option<&str>, InvalidField> {
        let text = self.parameter(code).map(std::str::from_utf8).transpose();
        text.map_err(|_| InvalidField::invalid(what, "bytes that are no text"))
    }

    fn read(body: &[u8]) -> Result<Message, ProtocolError> {
        let Some((head, mut rest)) = body.split_at_checked(HEADER_BYTES) else {
            return Err(ProtocolError::TooShort(body.len()));
        };
        let message_type = TYPES
            .iter()
            .find(|(code, _)| *code == head[0])
            .ok_or(ProtocolError::UnknownType(head[0]))?
            .1;
        let task = head[1..]
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
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// The next whole message. A length that can't be right is told before its message has come.
    pub fn next_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        let bytes = self.bytes.unread();
        let [high, low, rest @ ..] = bytes else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if length > MAX_MESSAGE_BYTES {
            return Err(ProtocolError::TooLong(length));
        }
        if length < HEADER_BYTES {
            return Err(ProtocolError::TooShort(length));
        }
        if let Some(code) = rest
            .first()
            .filter(|code| TYPES.iter().all(|(known, _)| known != *code))
        {
            return Err(ProtocolError::UnknownType(*code));
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let message = Message::read(body)?;
        self.bytes.consume(2 + length);
        Ok(Some(message))
    }

    /// How many bytes have come that are not made into messages yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.unread().len()
    }

    /// Whether a part of a message has come and the rest has not.
    pub fn has_partial_message(&self) -> bool {
        !self.bytes.unread().is_empty()
    }
}

/// A message as bytes; none where it would be longer than any may be.
pub fn encode(message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) -> Option<Vec<u8>> {
    let length = HEADER_BYTES
        + parameters
            .iter()
            .map(|(_, value)| 3 + value.len())
            .sum::<usize>();
    if length > MAX_MESSAGE_BYTES {
        return None;
    }
    let mut bytes = Vec::with_capacity(2 + length);
    bytes.extend((length as u16).to_be_bytes());
    bytes.extend(
        TYPES
            .iter()
            .find(|(_, other)| *other == message_type)
            .map(|(code, _)| *code),
    );
    bytes.extend(task.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value);
    }
    Some(bytes)
}

/// What a set-up asks for, in the platform's names.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    pub task: u64,
    pub class: String,
    pub time_left_ms: u64,
    pub tenant: Option<String>,
    pub name: String,
    pub idempotency_key: Option<String>,
    pub cores: f64,
    pub memory: f64,
    pub service: String,
    /// The node that holds it already.
    pub running_on: Option<String>,
    pub description: String,
}

impl SetUp {
    pub fn read(message: &Message) -> Result<SetUp, InvalidField> {
        let needed = |code, what| {
            message
                .text(code, what)?
                .filter(|text| !text.is_empty())
                .ok_or(InvalidField::Missing(what))
        };
        let mut figures: [Option<f64>; 2] = [None, None];
        let (mut service, mut at) = (None, None);
        for pair in needed(REQUIREMENTS, "figures")?
            .split(';')
            .filter(|pair| !pair.is_empty())
        {
            let amount = |value: &str| match value.parse::<f64>() {
                Ok(value) if value.is_finite() && value > 0.0 => Ok(Some(value)),
                _ => Err(InvalidField::invalid("amount", pair)),
            };
            match pair.split_once(':') {
                Some(("cores", value)) => figures[0] = amount(value)?,
                Some(("memory", value)) => figures[1] = amount(value)?,
                Some(("service", value)) => service = Some(value),
                Some(("at", value)) => at = Some(value.to_string()),
                Some(_) => {}
                None => return Err(InvalidField::invalid("figure", pair)),
            }
        }
        let left = message.text(TIME_LEFT, "time left")?;
        let time_left_ms = match (left, &at) {
            (Some(left), _) => left
                .parse()
                .map_err(|_| InvalidField::invalid("time left", left))?,
            (None, Some(_)) => 0,
            (None, None) => return Err(InvalidField::Missing("time left")),
        };
        Ok(SetUp {
            task: message.task,
            class: needed(CLASS, "class")?.into(),
            time_left_ms,
            tenant: message.text(TENANT, "tenant")?.map(str::to_string),
            name: needed(TASK_NAME, "name of the task")?.into(),
            idempotency_key: message.text(IDEMPOTENCY_KEY, "key")?.map(str::to_string),
            cores: figures[0].ok_or(InvalidField::Missing("cores"))?,
            memory: figures[1].ok_or(InvalidField::Missing("memory"))?,
            service: service
                .filter(|name| !name.is_empty())
                .ok_or(InvalidField::Missing("service"))?
                .into(),
            running_on: at,
            description: message
                .text(DESCRIPTION, "description")?
                .unwrap_or_default()
                .into(),
        })
    }
}
