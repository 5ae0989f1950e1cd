//! Errors in the input.

/// An error in the input, with its line number.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A message lacks a required part.
    #[error("line {line}: {message} lacks the part `{part}`")]
    MissingPart {
        line: u64,
        message: String,
        part: &'static str,
    },
    /// The text of a part is not a valid value.
    #[error("line {line}: {message}: invalid value `{text}` for the part `{part}`")]
    InvalidPart {
        line: u64,
        message: String,
        part: &'static str,
        text: String,
    },
    /// A message is not allowed at its position.
    #[error("line {line}: unexpected message `{message}`")]
    UnexpectedMessage { line: u64, message: String },
    /// A part is not a `name=value` pair.
    #[error("line {line}: `{text}` is not a name=value pair")]
    NotAPair { line: u64, text: String },
    /// The input ended before the end of a batch.
    #[error("line {line}: the input ended in the middle of a batch")]
    UnfinishedBatch { line: u64 },
    /// A message is well-formed but can't be handled.
    #[error("line {line}: {message}: {reason}")]
    InvalidMessage {
        line: u64,
        message: String,
        reason: String,
    },
    /// Reading standard input or writing standard output failed.
    #[error("cannot read the input or write the output: {0}")]
    Stream(#[from] std::io::Error),
}
