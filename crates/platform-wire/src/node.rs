//! Encodes and decodes nodes' messages: one JSON object per line.

use crate::{MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The purpose of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageType {
    /// A dispatcher's set-up of a task.
    Open,
    /// A node's set-up is in progress.
    Trying,
    /// A node's answer: the task is running.
    Ready,
    /// The end of a task, sent by either side.
    Close,
    /// The acknowledgement of a `Close`.
    Closed,
    /// A dispatcher's health check.
    Probe,
    /// A node's reply to a health check.
    Probed,
    /// A node's notification about a running task.
    Event,
    /// A request to run a task elsewhere.
    Relocate,
}

/// The value of an attribute.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Value"
)]
pub enum AttributeValue {
    /// A JSON string.
    Text(String),
    /// A JSON number.
    Number(f64),
}

impl AttributeValue {
    /// Returns the number, or the finite number that the text contains.
    pub fn number(&self) -> Option<f64> {
        match self {
            AttributeValue::Number(number) => Some(*number),
            AttributeValue::Text(text) => {
                text.parse().ok().filter(|number: &f64| number.is_finite())
            }
        }
    }

    /// Returns the text, or `None` if the value is a number.
    pub fn text(&self) -> Option<&str> {
        match self {
            AttributeValue::Text(text) => Some(text),
            AttributeValue::Number(_) => None,
        }
    }
}

/// A message on one line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The purpose of the message.
    #[serde(rename = "msg")]
    pub message_type: MessageType,
    /// The id of the task; `None` if no dispatcher could have assigned the id. Such a message
    /// concerns none of this dispatcher's tasks, and the rest of the connection remains valid.
    #[serde(rename = "sid", with = "hex")]
    pub task_id: Option<u64>,
    /// Attributes by name.
    #[serde(rename = "attrs", default)]
    pub attributes: BTreeMap<String, AttributeValue>,
    /// The cause of a task's end, or the result of a health check.
    #[serde(rename = "code", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<u32>,
    /// The description of a task that is to run or is running.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl Message {
    /// Creates a message with only a type and an id.
    pub fn new(message_type: MessageType, task_id: u64) -> Self {
        Message {
            message_type,
            task_id: Some(task_id),
            attributes: BTreeMap::new(),
            cause: None,
            text: None,
        }
    }

    /// Returns the message with this cause.
    #[must_use]
    pub fn with_cause(self, cause: u32) -> Self {
        Message {
            cause: Some(cause),
            ..self
        }
    }

    /// Returns the attribute with this name.
    pub fn attribute(&self, name: &str) -> Option<&AttributeValue> {
        self.attributes.get(name)
    }

    /// Encodes the message as a line; returns `None` if it would be longer than
    /// [`MAX_MESSAGE_BYTES`].
    pub fn to_line(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE_BYTES).then_some(line)
    }
}

/// Serializes ids as 16 hexadecimal digits.
mod hex {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(id: &Option<u64>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:016x}", id.unwrap_or(0)))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Option<u64>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(deserializer)?;
        let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        Ok(u64::from_str_radix(&text, 16).ok().filter(|_| hex))
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
    /// Returns an error if a line is not a message or does not end within [`MAX_MESSAGE_BYTES`].
    pub fn next_message(&mut self) -> Result<Option<Message>, ProtocolError> {
        let bytes = self.bytes.unread();
        let end = bytes
            .iter()
            .take(MAX_MESSAGE_BYTES + 1)
            .position(|&byte| byte == b'\n');
        let Some(end) = end else {
            return if bytes.len() > MAX_MESSAGE_BYTES {
                Err(ProtocolError::TooLong(bytes.len()))
            } else {
                Ok(None)
            };
        };
        let message = serde_json::from_slice(&bytes[..end])
            .map_err(|error| ProtocolError::InvalidLine(error.to_string()))?;
        self.bytes.consume(end + 1);
        Ok(Some(message))
    }
}
