//! Parses the input lines, each a message name and its parts.

use crate::error::InputError;
use std::io::BufRead;
use std::str::FromStr;

/// Parts whose text extends to the end of the line, including tabs.
const PARTS_TO_LINE_END: [&str; 2] = ["facts", "line"];

/// A message with its parts, which are looked up by name. Unknown parts are ignored.
pub struct Message<'a> {
    /// The number of its line in the input, from 1.
    pub line: u64,
    /// The name of the message.
    pub name: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    /// Parses a line without its line ending.
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

    /// Returns the text of a part.
    pub fn text(&self, part: &'static str) -> Result<&'a str, InputError> {
        self.find_part(part).ok_or_else(|| InputError::MissingPart {
            line: self.line,
            message: self.name.into(),
            part,
        })
    }

    /// Returns the value of a part.
    pub fn get<T: FromStr>(&self, part: &'static str) -> Result<T, InputError> {
        self.parse_value(part, self.text(part)?)
    }

    /// Returns the value of a part, or `absent` if the message does not have it.
    pub fn get_or<T: FromStr>(&self, part: &'static str, absent: T) -> Result<T, InputError> {
        self.find_part(part)
            .map_or(Ok(absent), |text| self.parse_value(part, text))
    }

    /// Returns an amount of cores or memory, which must be finite and not negative.
    pub fn amount(&self, part: &'static str) -> Result<f64, InputError> {
        let value: f64 = self.get(part)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.invalid_part(part, self.text(part)?))
        }
    }

    /// Returns an index into a list of this length.
    pub fn index(&self, part: &'static str, length: usize) -> Result<usize, InputError> {
        self.checked_index(part, self.get(part)?, length)
    }

    /// Returns an index into a list of this length, or 0 if the part is absent.
    pub fn index_or_first(&self, part: &'static str, length: usize) -> Result<usize, InputError> {
        self.checked_index(part, self.get_or(part, 0)?, length)
    }

    /// Returns the error for a part with an invalid value.
    pub fn invalid_part(&self, part: &'static str, text: &str) -> InputError {
        InputError::InvalidPart {
            line: self.line,
            message: self.name.into(),
            part,
            text: text.into(),
        }
    }

    /// Returns the error for a message that is not allowed at its position.
    pub fn unexpected(&self) -> InputError {
        InputError::UnexpectedMessage {
            line: self.line,
            message: self.name.into(),
        }
    }

    /// Returns the error for a message that can't be handled.
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

    fn find_part(&self, part: &str) -> Option<&'a str> {
        let mut parts = self.parts.iter();
        parts.find(|(key, _)| *key == part).map(|&(_, value)| value)
    }

    fn parse_value<T: FromStr>(&self, part: &'static str, text: &str) -> Result<T, InputError> {
        text.parse().map_err(|_| self.invalid_part(part, text))
    }
}

/// Reads the input line by line and counts the lines for error messages.
pub struct InputLines<R> {
    input: R,
    number: u64,
    text: Vec<u8>,
}

impl<R: BufRead> InputLines<R> {
    /// Creates a reader of this input.
    pub fn new(input: R) -> Self {
        InputLines {
            input,
            number: 0,
            text: Vec::new(),
        }
    }

    /// Returns the next line as a message, or `None` at the end of the input.
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

    /// Returns the next message of a batch. The end of the input is an error.
    pub fn next_in_batch(&mut self) -> Result<Message<'_>, InputError> {
        let line = self.number + 1;
        self.next_message()?
            .ok_or(InputError::UnfinishedBatch { line })
    }
}
