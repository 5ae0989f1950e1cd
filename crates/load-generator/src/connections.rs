//! Keeps the connections over which requests are sent.

use crate::run::RunError;
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The connections to one dispatcher.
struct Pool {
    dispatcher: SocketAddr,
    connections: Vec<Mutex<Connection>>,
}

/// Connections to all dispatchers. Requests use the dispatchers in round-robin order, and also the
/// connections of each dispatcher.
pub(crate) struct Connections {
    tasks: SharedExecutor,
    limits: ConnectionLimits,
    pools: Vec<Pool>,
}

impl Connections {
    /// Opens `per_dispatcher` connections to each dispatcher.
    pub(crate) async fn open(
        tasks: &SharedExecutor,
        dispatchers: &[SocketAddr],
        per_dispatcher: usize,
    ) -> Result<Self, RunError> {
        if dispatchers.is_empty() {
            return Err(RunError::NoDispatcher);
        }
        let limits = ConnectionLimits {
            connect_timeout: CONNECT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        let mut pools = Vec::new();
        for &dispatcher in dispatchers {
            let mut connections = Vec::new();
            for _ in 0..per_dispatcher {
                let connection = Connection::open(tasks, dispatcher, &limits)
                    .await
                    .map_err(|source| RunError::Connect { dispatcher, source })?;
                connections.push(Mutex::new(connection));
            }
            pools.push(Pool {
                dispatcher,
                connections,
            });
        }
        Ok(Connections {
            tasks: Arc::clone(tasks),
            limits,
            pools,
        })
    }

    /// Returns the connection for the request with this number. A connection that is no longer open
    /// is reopened, with one try.
    pub(crate) async fn connection(&self, number: usize) -> Option<Connection> {
        let pool = &self.pools[number % self.pools.len()];
        let slot = &pool.connections[number / self.pools.len() % pool.connections.len()];
        let connection = slot.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if connection.is_open() {
            return Some(connection);
        }
        let reopened = Connection::open(&self.tasks, pool.dispatcher, &self.limits)
            .await
            .ok()?;
        *slot.lock().unwrap_or_else(PoisonError::into_inner) = reopened.clone();
        Some(reopened)
    }
}
