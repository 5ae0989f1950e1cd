//! What is wrong with the input.

/// A fault in the input, with the line for whoever runs the adapter.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// A message lacks a part that it must have.
    #[error("line {line}: {message} lacks the part `{part}`")]
    MissingPart {
        line: u64,
        message: String,
        part: &'static str,
    },
    /// The text of a part is no value for it.
    #[error("line {line}: {message}: `{text}` is no value for the part `{part}`")]
    InvalidPart {
        line: u64,
        message: String,
        part: &'static str,
        text: String,
    },
    /// A message that can't stand there.
    #[error("line {line}: `{message}` is no message that can stand here")]
    UnexpectedMessage { line: u64, message: String },
    /// A part that is no pair.
    #[error("line {line}: `{text}` is no name=value pair")]
    NotAPair { line: u64, text: String },
    /// The input ended before the batch did.
    #[error("line {line}: input ended in the middle of a batch")]
    UnfinishedBatch { line: u64 },
    /// The message can be read, but not acted on.
    #[error("line {line}: {message}: {reason}")]
    InvalidMessage {
        line: u64,
        message: String,
        reason: String,
    },
    /// Standard input or output failed.
    #[error("cannot read or write: {0}")]
    Stream(#[from] std::io::Error),
}
