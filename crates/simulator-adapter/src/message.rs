//! Lines of the wire: a message name and its parts.

use crate::error::InputError;
use std::io::BufRead;
use std::str::FromStr;

/// Parts whose text runs to the end of the line, tabs included.
const PARTS_TO_LINE_END: [&str; 2] = ["facts", "line"];

/// A message with its parts, which are looked up by name; unknown ones are never asked for.
pub struct Message<'a> {
    /// The number of its line in the input, from 1.
    pub line: u64,
    /// What it is.
    pub name: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    /// Reads a line without its end.
    pub fn parse(line: u64, text: &'a str) -> Result<Self, InputError> {
        let (name, mut rest) = text.split_once('\t').unwrap_or((text, ""));
        let mut parts = Vec::new();
        while !rest.is_empty() {
            let (pair, after) = rest.split_once('\t').unwrap_or((rest, ""));
            let Some((key, value)) = pair.split_once('=') else {
                let text = pair.into();
                return Err(InputError::NotAPair { line, text });
            };
            if PARTS_TO_LINE_END.contains(&key) {
                parts.push((key, &rest[key.len() + 1..]));
                break;
            }
            parts.push((key, value));
            rest = after;
        }
        Ok(Message { line, name, parts })
    }

    /// The text of a part.
    pub fn text(&self, part: &'static str) -> Result<&'a str, InputError> {
        self.find(part).ok_or_else(|| InputError::MissingPart {
            line: self.line,
            message: self.name.into(),
            part,
        })
    }

    /// The value of a part.
    pub fn get<T: FromStr>(&self, part: &'static str) -> Result<T, InputError> {
        self.value(part, self.text(part)?)
    }

    /// The value of a part that may be absent.
    pub fn get_or<T: FromStr>(&self, part: &'static str, absent: T) -> Result<T, InputError> {
        self.find(part)
            .map_or(Ok(absent), |text| self.value(part, text))
    }

    /// An amount of cores or memory: finite and not below 0.
    pub fn amount(&self, part: &'static str) -> Result<f64, InputError> {
        let value: f64 = self.get(part)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid_part(part, self.text(part)?))
        }
    }

    /// An index into a list of this length.
    pub fn index(&self, part: &'static str, length: usize) -> Result<usize, InputError> {
        self.checked_index(part, self.get(part)?, length)
    }

    /// An index into a list of this length, 0 where it is absent.
    pub fn index_or_first(&self, part: &'static str, length: usize) -> Result<usize, InputError> {
        self.checked_index(part, self.get_or(part, 0)?, length)
    }

    /// This text is no value for the part.
    pub fn invalid_part(&self, part: &'static str, text: &str) -> InputError {
        InputError::InvalidPart {
            line: self.line,
            message: self.name.into(),
            part,
            text: text.into(),
        }
    }

    /// The message can't stand here.
    pub fn unexpected(&self) -> InputError {
        InputError::UnexpectedMessage {
            line: self.line,
            message: self.name.into(),
        }
    }

    /// The message can't be acted on.
    pub fn invalid(&self, reason: impl ToString) -> InputError {
        InputError::InvalidMessage {
            line: self.line,
            message: self.name.into(),
            reason: reason.to_string(),
        }
    }

    fn checked_index(
        &self,
        part: &'static str,
        value: usize,
        length: usize,
    ) -> Result<usize, InputError> {
        if value < length {
            Ok(value)
        } else {
            Err(self.invalid_part(part, &value.to_string()))
        }
    }

    fn find(&self, part: &str) -> Option<&'a str> {
        let mut parts = self.parts.iter();
        parts.find(|(key, _)| *key == part).map(|&(_, value)| value)
    }

    fn value<T: FromStr>(&self, part: &'static str, text: &str) -> Result<T, InputError> {
        text.parse().map_err(|_| self.invalid_part(part, text))
    }
}

/// Input line by line, counted for the messages about it.
pub struct InputLines<R> {
    input: R,
    number: u64,
    text: Vec<u8>,
}

impl<R: BufRead> InputLines<R> {
    /// The lines of this input.
    pub fn new(input: R) -> Self {
        InputLines {
            input,
            number: 0,
            text: Vec::new(),
        }
    }

    /// The next line as a message; none at the end of input.
    pub fn next_message(&mut self) -> Result<Option<Message<'_>>, InputError> {
        self.text.clear();
        if self.input.read_until(b'\n', &mut self.text)? == 0 {
            return Ok(None);
        }
        self.number += 1;
        while self.text.last().is_some_and(|byte| b"\r\n".contains(byte)) {
            self.text.pop();
        }
        let line = self.number;
        let text = std::str::from_utf8(&self.text).map_err(|error| InputError::InvalidMessage {
            line,
            message: "text".into(),
            reason: error.to_string(),
        })?;
        Message::parse(line, text).map(Some)
    }

    /// The next message of a batch, which must not end here.
    pub fn next_in_batch(&mut self) -> Result<Message<'_>, InputError> {
        let line = self.number + 1;
        self.next_message()?
            .ok_or(InputError::UnfinishedBatch { line })
    }
}
