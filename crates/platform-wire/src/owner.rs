//! Owners' messages: binary, a length, a type, the task's id and parameters.

use crate::{Bytes, Garbled, LONGEST, Unusable};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    SetUp,
    Progress,
    Answer,
    Release,
    Heard,
    Note,
    Move,
    Test,
    Tested,
}

const TYPES: [(u8, Kind); 9] = [
    (1, Kind::SetUp),
    (6, Kind::Progress),
    (9, Kind::Answer),
    (12, Kind::Release),
    (16, Kind::Heard),
    (44, Kind::Note),
    (51, Kind::Move),
    (52, Kind::Test),
    (53, Kind::Tested),
];

pub const CLASS: u8 = 180;
pub const LEFT: u8 = 182;
pub const TENANT: u8 = 184;
pub const NAME: u8 = 188;
pub const EXTRAS: u8 = 190;
pub const MARK: u8 = 206;
pub const CAUSE: u8 = 208;
pub const DESCRIPTION: u8 = 210;

/// Refused: the platform's cause for "no room", and that for a set-up given up.
pub const CAUSE_REFUSED: u8 = 34;
pub const CAUSE_FAILED: u8 = 47;
pub const CAUSE_GIVEN_UP: u8 = 16;

/// The type and the id.
const HEAD: usize = 9;
/// No message of the protocol has as many.
const MOST_PARAMETERS: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: Kind,
    pub task: u64,
    parameters: Vec<(u8, Vec<u8>)>,
}

impl Message {
    pub fn bytes(&self, code: u8) -> Option<&[u8]> {
        self.parameters
            .iter()
            .find(|(other, _)| *other == code)
            .map(|(_, value)| &value[..])
    }

    pub fn cause(&self) -> Option<u8> {
        self.bytes(CAUSE).and_then(|value| value.first().copied())
    }

    fn text(&self, code: u8, what: &'static str) -> Result<Option<&str>, Unusable> {
        let text = self.bytes(code).map(std::str::from_utf8).transpose();
        text.map_err(|_| Unusable::unreadable(what, "bytes that are no text"))
    }

    fn read(body: &[u8]) -> Result<Message, Garbled> {
        let Some((head, mut rest)) = body.split_at_checked(HEAD) else {
            return Err(Garbled::TooShort(body.len()));
        };
        let kind = TYPES
            .iter()
            .find(|(code, _)| *code == head[0])
            .ok_or(Garbled::Type(head[0]))?
            .1;
        let task = head[1..]
            .iter()
            .fold(0, |id, &byte| id << 8 | u64::from(byte));
        let mut parameters: Vec<(u8, Vec<u8>)> = Vec::new();
        while let [code, high, low, after @ ..] = rest {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let (value, after) = after.split_at_checked(length).ok_or(Garbled::Cut(*code))?;
            if parameters.len() >= MOST_PARAMETERS
                || parameters.iter().any(|(other, _)| other == code)
            {
                return Err(Garbled::Twice(*code));
            }
            parameters.push((*code, value.to_vec()));
            rest = after;
        }
        match rest {
            [] => Ok(Message {
                kind,
                task,
                parameters,
            }),
            [code, ..] => Err(Garbled::Cut(*code)),
        }
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

    /// The next whole message. A length that can't be right is told before its message has come.
    pub fn message(&mut self) -> Result<Option<Message>, Garbled> {
        let bytes = self.bytes.rest();
        let [high, low, rest @ ..] = bytes else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if length > LONGEST {
            return Err(Garbled::TooLong(length));
        }
        if length < HEAD {
            return Err(Garbled::TooShort(length));
        }
        if let Some(code) = rest
            .first()
            .filter(|code| TYPES.iter().all(|(known, _)| known != *code))
        {
            return Err(Garbled::Type(*code));
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        let message = Message::read(body)?;
        self.bytes.taken(2 + length);
        Ok(Some(message))
    }

    /// How many bytes have come that are not made into messages yet.
    pub fn held(&self) -> usize {
        self.bytes.rest().len()
    }

    /// Whether a part of a message has come and the rest has not.
    pub fn midway(&self) -> bool {
        !self.bytes.rest().is_empty()
    }
}

/// A message as bytes; none where it would be longer than any may be.
pub fn message(kind: Kind, task: u64, parameters: &[(u8, &[u8])]) -> Option<Vec<u8>> {
    let length = HEAD
        + parameters
            .iter()
            .map(|(_, value)| 3 + value.len())
            .sum::<usize>();
    if length > LONGEST {
        return None;
    }
    let mut bytes = Vec::with_capacity(2 + length);
    bytes.extend((length as u16).to_be_bytes());
    bytes.extend(
        TYPES
            .iter()
            .find(|(_, other)| *other == kind)
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
    pub left_ms: u64,
    pub tenant: Option<String>,
    pub name: String,
    pub mark: Option<String>,
    pub cores: f64,
    pub memory: f64,
    pub service: String,
    /// The node that holds it already.
    pub at: Option<String>,
    pub description: String,
}

impl SetUp {
    pub fn read(message: &Message) -> Result<SetUp, Unusable> {
        let needed = |code, what| {
            message
                .text(code, what)?
                .filter(|text| !text.is_empty())
                .ok_or(Unusable::Lacks(what))
        };
        let mut figures: [Option<f64>; 2] = [None, None];
        let (mut service, mut at) = (None, None);
        for pair in needed(EXTRAS, "figures")?
            .split(';')
            .filter(|pair| !pair.is_empty())
        {
            let amount = |value: &str| match value.parse::<f64>() {
                Ok(value) if value.is_finite() && value > 0.0 => Ok(Some(value)),
                _ => Err(Unusable::unreadable("amount", pair)),
            };
            match pair.split_once(':') {
                Some(("cores", value)) => figures[0] = amount(value)?,
                Some(("memory", value)) => figures[1] = amount(value)?,
                Some(("service", value)) => service = Some(value),
                Some(("at", value)) => at = Some(value.to_string()),
                Some(_) => {}
                None => return Err(Unusable::unreadable("figure", pair)),
            }
        }
        let left = message.text(LEFT, "time left")?;
        let left_ms = match (left, &at) {
            (Some(left), _) => left
                .parse()
                .map_err(|_| Unusable::unreadable("time left", left))?,
            (None, Some(_)) => 0,
            (None, None) => return Err(Unusable::Lacks("time left")),
        };
        Ok(SetUp {
            task: message.task,
            class: needed(CLASS, "class")?.into(),
            left_ms,
            tenant: message.text(TENANT, "tenant")?.map(str::to_string),
            name: needed(NAME, "name of the task")?.into(),
            mark: message.text(MARK, "key")?.map(str::to_string),
            cores: figures[0].ok_or(Unusable::Lacks("cores"))?,
            memory: figures[1].ok_or(Unusable::Lacks("memory"))?,
            service: service
                .filter(|name| !name.is_empty())
                .ok_or(Unusable::Lacks("service"))?
                .into(),
            at,
            description: message
                .text(DESCRIPTION, "description")?
                .unwrap_or_default()
                .into(),
        })
    }
}
