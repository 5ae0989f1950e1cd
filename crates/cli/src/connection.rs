//! Opens connections to dispatchers and nodes, and limits the time that they have to answer.

use crate::error::Error;
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor, within};
use futures_lite::future;
use std::net::SocketAddr;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time that a dispatcher has to answer a request for its state.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of an answer, in bytes. It may contain the active shared parts.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Opens a connection.
pub(crate) async fn connect(
    tasks: &SharedExecutor,
    address: SocketAddr,
) -> Result<Connection, Error> {
    let limits = ConnectionLimits {
        connect_timeout: CONNECT_TIMEOUT,
        ..ConnectionLimits::default()
    };
    Connection::open(tasks, address, &limits)
        .await
        .map_err(|source| Error::Connect { address, source })
}

/// Connects to a dispatcher and runs `call` on the connection to completion.
pub(crate) fn with_connection<F: Future<Output = Result<(), Error>>>(
    dispatcher: SocketAddr,
    call: impl FnOnce(Connection) -> F,
) -> Result<(), Error> {
    let tasks = SharedExecutor::default();
    let connected = async { call(connect(&tasks, dispatcher).await?).await };
    future::block_on(tasks.run(connected))
}

/// Returns the answer to a unary call; fails if it does not arrive within `timeout`.
pub(crate) async fn answer_within<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, Error> {
    let answer = within(timeout, call).await.ok_or(Error::Timeout(timeout))?;
    Ok(answer?.into_inner())
}

/// Like [`with_connection`], but fails if connecting and `call` together exceed `timeout`.
pub(crate) fn with_connection_within<F: Future<Output = Result<(), Error>>>(
    dispatcher: SocketAddr,
    timeout: Duration,
    call: impl FnOnce(Connection) -> F,
) -> Result<(), Error> {
    let tasks = SharedExecutor::default();
    let connected = async { call(connect(&tasks, dispatcher).await?).await };
    let ended = future::block_on(tasks.run(within(timeout, connected)));
    ended.unwrap_or(Err(Error::Timeout(timeout)))
}
