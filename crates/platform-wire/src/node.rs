//! Nodes' messages: one JSON object a line.

use crate::{MAX_MESSAGE_BYTES, ProtocolError, ReceiveBuffer};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageType {
    Open,
    Trying,
    Ready,
    Close,
    Closed,
    Probe,
    Probed,
    Event,
    Relocate,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "data did not match any variant of untagged enum Value"
)]
pub enum AttributeValue {
    Text(String),
    Number(f64),
}

impl AttributeValue {
    pub fn number(&self) -> Option<f64> {
        match self {
            AttributeValue::Number(number) => Some(*number),
            AttributeValue::Text(text) => {
                text.parse().ok().filter(|number: &f64| number.is_finite())
            }
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            AttributeValue::Text(text) => Some(text),
            AttributeValue::Number(_) => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    #[serde(rename = "msg")]
    pub message_type: MessageType,
    /// None where the id is none that a dispatcher could have given: it stands for no task of
    /// ours, and the rest of the connection is sound all the same.
    #[serde(rename = "sid", with = "hex")]
    pub task_id: Option<u64>,
    #[serde(rename = "attrs", default)]
    pub attributes: BTreeMap<String, AttributeValue>,
    #[serde(rename = "code", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl Message {
    pub fn new(message_type: MessageType, task_id: u64) -> Self {
        Message {
            message_type,
            task_id: Some(task_id),
            attributes: BTreeMap::new(),
            cause: None,
            text: None,
        }
    }

    pub fn with_cause(self, cause: u32) -> Self {
        Message {
            cause: Some(cause),
            ..self
        }
    }

    pub fn attribute(&self, name: &str) -> Option<&AttributeValue> {
        self.attributes.get(name)
    }

    /// As a line; none where it would be longer than any may be.
    pub fn to_line(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        (line.len() <= MAX_MESSAGE_BYTES).then_some(line)
    }
}

mod hex {
    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(id: &Option<u64>, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{:016x}", id.unwrap_or(0)))
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Option<u64>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
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
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.append(bytes);
    }

    /// The next whole message. A line that never ends is told as soon as it is too long.
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
            .map_err(|why| ProtocolError::InvalidLine(why.to_string()))?;
        self.bytes.consume(end + 1);
        Ok(Some(message))
    }
}
