//! Nodes' messages: one JSON object a line.

use crate::{MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a line is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageType {
    /// A dispatcher's set-up of a task.
    Open,
    /// A node's set-up is under way.
    Trying,
    /// A node's answer: the task is running.
    Ready,
    /// The end of a task, either way.
    Close,
    /// The acknowledgement of an end.
    Closed,
    /// A dispatcher's health check.
    Probe,
    /// A node's reply to it.
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
    /// As a number, also of a text that holds a finite one.
    pub fn number(&self) -> Option<f64> {
        match self {
            AttributeValue::Number(number) => Some(*number),
            AttributeValue::Text(text) => {
                text.parse().ok().filter(|number: &f64| number.is_finite())
            }
        }
    }

    /// The text, none where it is a number.
    pub fn text(&self) -> Option<&str> {
        match self {
            AttributeValue::Text(text) => Some(text),
            AttributeValue::Number(_) => None,
        }
    }
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// What it is for.
    #[serde(rename = "msg")]
    pub message_type: MessageType,
    /// None where the id is none that a dispatcher could have given: it is of no task of ours, and
    /// the rest of the connection is sound all the same.
    #[serde(rename = "sid", with = "hex")]
    pub task_id: Option<u64>,
    /// By name.
    #[serde(rename = "attrs", default)]
    pub attributes: BTreeMap<String, AttributeValue>,
    /// Why a task ends, or the result of a health check.
    #[serde(rename = "code", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<u32>,
    /// The description of a task: what is to run, or what runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl Message {
    /// A message with nothing but its type and id.
    pub fn new(message_type: MessageType, task_id: u64) -> Self {
        Message {
            message_type,
            task_id: Some(task_id),
            attributes: BTreeMap::new(),
            cause: None,
            text: None,
        }
    }

    /// The same message with this cause.
    #[must_use]
    pub fn with_cause(self, cause: u32) -> Self {
        Message {
            cause: Some(cause),
            ..self
        }
    }

    /// The attribute of this name.
    pub fn attribute(&self, name: &str) -> Option<&AttributeValue> {
        self.attributes.get(name)
    }

    /// As a line; none where it would be longer than [`MAX_MESSAGE_BYTES`].
    pub fn to_line(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE_BYTES).then_some(line)
    }
}

/// Ids as 16 hexadecimal digits.
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
    /// A line that is no message, or that has no end within [`MAX_MESSAGE_BYTES`].
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
