//! Lines of the wire: a message name and its parts.

use std::str::FromStr;

/// What is wrong with the input, in words for whoever runs the adapter.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("line {line}: {message} lacks the part `{part}`")]
    Lacks {
        line: u64,
        message: String,
        part: &'static str,
    },
    #[error("line {line}: {message}: `{text}` is no value for the part `{part}`")]
    Unreadable {
        line: u64,
        message: String,
        part: &'static str,
        text: String,
    },
    #[error("line {line}: `{message}` is no message that can stand here")]
    Unknown { line: u64, message: String },
    #[error("line {line}: `{text}` is no name=value pair")]
    NoPair { line: u64, text: String },
    #[error("line {line}: input ended in the middle of a batch")]
    Cut { line: u64 },
    #[error("line {line}: {message}: {why}")]
    Wrong {
        line: u64,
        message: String,
        why: String,
    },
    #[error("cannot read or write: {0}")]
    Stream(#[from] std::io::Error),
}

/// A message as it came, its parts looked up by name; unknown ones are never asked for.
pub struct Message<'a> {
    pub line: u64,
    pub name: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

/// Parts whose text runs to the end of the line, tabs and all.
const TO_LINE_END: [&str; 2] = ["facts", "line"];

impl<'a> Message<'a> {
    pub fn read(line: u64, text: &'a str) -> Result<Self, Fault> {
        let (name, mut rest) = text.split_once('\t').unwrap_or((text, ""));
        let mut parts = Vec::new();
        while !rest.is_empty() {
            let (pair, after) = rest.split_once('\t').unwrap_or((rest, ""));
            let Some((key, value)) = pair.split_once('=') else {
                return Err(Fault::NoPair {
                    line,
                    text: pair.into(),
                });
            };
            if TO_LINE_END.contains(&key) {
                parts.push((key, &rest[key.len() + 1..]));
                break;
            }
            parts.push((key, value));
            rest = after;
        }
        Ok(Message { line, name, parts })
    }

    pub fn text(&self, part: &'static str) -> Result<&'a str, Fault> {
        self.find(part).ok_or_else(|| Fault::Lacks {
            line: self.line,
            message: self.name.into(),
            part,
        })
    }

    pub fn get<T: FromStr>(&self, part: &'static str) -> Result<T, Fault> {
        self.parse(part, self.text(part)?)
    }

    pub fn get_or<T: FromStr>(&self, part: &'static str, absent: T) -> Result<T, Fault> {
        self.find(part)
            .map_or(Ok(absent), |text| self.parse(part, text))
    }

    /// An amount of cores or memory: finite and not below 0.
    pub fn amount(&self, part: &'static str) -> Result<f64, Fault> {
        let value: f64 = self.get(part)?;
        if value.is_finite() && value >= 0.0 {
            Ok(value)
        } else {
            Err(self.unreadable(part, self.text(part)?))
        }
    }

    /// A place in a list that the first message gave.
    pub fn index(
        &self,
        part: &'static str,
        absent: Option<usize>,
        length: usize,
    ) -> Result<usize, Fault> {
        let value = match absent {
            Some(absent) => self.get_or(part, absent)?,
            None => self.get(part)?,
        };
        if value < length {
            Ok(value)
        } else {
            Err(self.unreadable(part, &value.to_string()))
        }
    }

    pub fn unreadable(&self, part: &'static str, text: &str) -> Fault {
        Fault::Unreadable {
            line: self.line,
            message: self.name.into(),
            part,
            text: text.into(),
        }
    }

    pub fn unknown(&self) -> Fault {
        Fault::Unknown {
            line: self.line,
            message: self.name.into(),
        }
    }

    pub fn wrong(&self, why: impl ToString) -> Fault {
        Fault::Wrong {
            line: self.line,
            message: self.name.into(),
            why: why.to_string(),
        }
    }

    fn find(&self, part: &str) -> Option<&'a str> {
        self.parts
            .iter()
            .find(|(key, _)| *key == part)
            .map(|&(_, value)| value)
    }

    fn parse<T: FromStr>(&self, part: &'static str, text: &str) -> Result<T, Fault> {
        text.parse().map_err(|_| self.unreadable(part, text))
    }
}
