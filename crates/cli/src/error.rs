//! The errors of commands, with the messages that are printed.

use corkspan_config::sexp::Diagnostic;
use corkspan_config::sexp::Diagnostics;
use corkspan_rpc::ConnectError;
use std::net::SocketAddr;
use std::time::Duration;

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The deployment file or a version is invalid.
    #[error(transparent)]
    Configuration(#[from] Diagnostics),
    /// A file could not be read.
    #[error(transparent)]
    File(#[from] Diagnostic),
    /// The schema could not be printed.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The dispatcher ended with an error.
    #[error(transparent)]
    Dispatcher(#[from] corkspan_dispatcher::DispatcherError),
    /// The dispatcher on the platform's protocol ended with an error.
    #[error(transparent)]
    Platform(#[from] corkspan_platform::ServeError),
    /// The environment variable that names the file for `platform` is not set.
    #[error("NODE_CONFIG is not set")]
    NoNodeConfig,
    /// The connection to a dispatcher could not be opened.
    #[error("{address}: {source}")]
    Connect {
        /// The address of the dispatcher.
        address: SocketAddr,
        /// The reason why the connection failed.
        source: ConnectError,
    },
    /// The answer did not arrive in time.
    #[error("no answer within {} s", .0.as_secs())]
    Timeout(Duration),
    /// The call failed.
    #[error("{}", .0.message())]
    Call(#[source] Box<tonic::Status>),
    /// The dispatcher rejected the request for the reason given.
    #[error("{0}")]
    Rejected(String),
    /// The placement was rejected; a retry is safe.
    #[error("rejected ({reason:?}): {message}; a retry is safe")]
    PlacementRejected {
        /// The reason as a code.
        reason: corkspan_api::v1::rejected::RejectionReason,
        /// The dispatcher's explanation.
        message: String,
    },
    /// The placement failed, and may have had an effect.
    #[error("failed: {0}")]
    PlacementFailed(String),
    /// The stream ended without a final answer.
    #[error("the dispatcher gave no final answer")]
    NoFinalAnswer,
    /// A file or version differs from the active shared parts.
    #[error("{0} parts differ")]
    PartsDiffer(usize),
    /// None of the given dispatchers answers.
    #[error("no dispatcher answers")]
    NoDispatcher,
    /// Too few dispatchers run the version that is to become the minimum.
    #[error(transparent)]
    NotAdopted(#[from] corkspan_version_fencing::RaiseError),
    /// The audit has findings.
    #[error("{0} findings")]
    Findings(usize),
}

impl From<tonic::Status> for Error {
    fn from(status: tonic::Status) -> Self {
        Error::Call(Box::new(status))
    }
}
