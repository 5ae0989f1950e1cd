//! Nodes' messages: one JSON object a line.

use crate::{Bytes, Garbled, LONGEST};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
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
#[serde(untagged)]
pub enum Value {
    Text(String),
    Number(f64),
}

impl Value {
    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            Value::Text(text) => text.parse().ok().filter(|number: &f64| number.is_finite()),
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Value::Text(text) => Some(text),
            Value::Number(_) => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    #[serde(rename = "msg")]
    pub kind: Kind,
    /// None where the id is none that a dispatcher could have given: it stands for no task of
    /// ours, and the rest of the connection is sound all the same.
    #[serde(with = "hex")]
    pub sid: Option<u64>,
    #[serde(default)]
    pub attrs: BTreeMap<String, Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl Message {
    pub fn new(kind: Kind, sid: u64) -> Self {
        Message {
            kind,
            sid: Some(sid),
            attrs: BTreeMap::new(),
            code: None,
            text: None,
        }
    }

    pub fn code(self, code: u32) -> Self {
        Message {
            code: Some(code),
            ..self
        }
    }

    pub fn attr(&self, name: &str) -> Option<&Value> {
        self.attrs.get(name)
    }

    /// As a line; none where it would be longer than any may be.
    pub fn line(&self) -> Option<Vec<u8>> {
        let mut line = serde_json::to_vec(self).ok()?;
        line.push(b'\n');
        (line.len() <= LONGEST).then_some(line)
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
    bytes: Bytes,
}

impl Reader {
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.push(bytes);
    }

    /// The next whole message. A line that never ends is told as soon as it is too long.
    pub fn message(&mut self) -> Result<Option<Message>, Garbled> {
        let bytes = self.bytes.rest();
        let end = bytes
            .iter()
            .take(LONGEST + 1)
            .position(|&byte| byte == b'\n');
        let Some(end) = end else {
            return if bytes.len() > LONGEST {
                Err(Garbled::TooLong(bytes.len()))
            } else {
                Ok(None)
            };
        };
        let message =
            serde_json::from_slice(&bytes[..end]).map_err(|why| Garbled::Line(why.to_string()))?;
        self.bytes.taken(end + 1);
        Ok(Some(message))
    }
}
