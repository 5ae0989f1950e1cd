//! Connections to nodes, which are opened when needed, shared by all calls to a node, and closed
//! when idle.

use crate::clock::duration;
use async_lock::Mutex as AsyncMutex;
use corkspan_api::v1::{self, node_client::NodeClient};
use corkspan_config::Limits;
use corkspan_rpc::{ConnectError, Connection, Meter, SharedExecutor, within};
use futures_lite::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tower_service::Service;

/// Returns the connection limits that the deployment configures.
pub fn connection_limits(limits: &Limits) -> corkspan_rpc::ConnectionLimits {
    corkspan_rpc::ConnectionLimits {
        connect_timeout: duration(limits.connect_timeout),
        keep_alive_interval: duration(limits.keep_alive_interval),
        max_calls: limits.max_calls,
        max_connections: limits.max_connections,
        max_message_bytes: limits.max_message_bytes,
    }
}

/// The reason why there is no connection to a node. No request with an effect was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum NodeConnectionError {
    #[error(transparent)]
    Connect(#[from] ConnectError),
    #[error("a concurrent attempt to connect failed")]
    ConcurrentAttemptFailed,
    #[error("no answer to the greeting within {0:?}")]
    GreetingTimeout(Duration),
    #[error("the greeting was rejected: {0}")]
    GreetingRejected(String),
    #[error("node {0} answers at this address")]
    OtherNode(u32),
}

/// A node with its address and its shared connection.
pub struct NodeConnection {
    pub address: SocketAddr,
    greeting: v1::Greeting,
    meter: Meter,
    state: AsyncMutex<ConnectionState>,
    calls: AtomicUsize,
    unanswered: AtomicUsize,
}

struct ConnectionState {
    connection: Option<Connection>,
    /// Time at which opening it last failed. Calls that waited for that attempt fail with it,
    /// instead of each trying again.
    failed_at: Option<Instant>,
    last_used_at: Instant,
}

/// Counts a call or an offer until it is dropped.
pub struct CountGuard {
    node: Arc<NodeConnection>,
    counter: fn(&NodeConnection) -> &AtomicUsize,
}

impl CountGuard {
    fn new(node: &Arc<NodeConnection>, counter: fn(&NodeConnection) -> &AtomicUsize) -> Self {
        counter(node).fetch_add(1, Ordering::Relaxed);
        CountGuard {
            node: Arc::clone(node),
            counter,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.node).fetch_sub(1, Ordering::Relaxed);
    }
}

impl NodeConnection {
    pub fn new(address: SocketAddr, node: u32, dispatcher: u32, meter: Meter) -> Arc<Self> {
        let greeting = v1::Greeting { node, dispatcher };
        let state = ConnectionState {
            connection: None,
            failed_at: None,
            last_used_at: Instant::now(),
        };
        let (calls, unanswered) = Default::default();
        Arc::new(NodeConnection {
            address,
            greeting,
            meter,
            state: AsyncMutex::new(state),
            calls,
            unanswered,
        })
    }

    /// Returns a connection that is ready for a call, and opens it if needed. If this fails,
    /// nothing has been sent.
    pub async fn ready(
        &self,
        tasks: &SharedExecutor,
        limits: &corkspan_rpc::ConnectionLimits,
    ) -> Result<Connection, NodeConnectionError> {
        let since = Instant::now();
        let mut state = self.state.lock().await;
        state.last_used_at = Instant::now();
        if let Some(connection) = state.connection.clone().filter(Connection::is_open) {
            drop(state);
            return wait_ready(connection).await;
        }
        if state.failed_at.is_some_and(|at| at >= since) {
            return Err(NodeConnectionError::ConcurrentAttemptFailed);
        }
        match self.open(tasks, limits).await {
            Ok(connection) => {
                state.connection = Some(connection.clone());
                drop(state);
                wait_ready(connection).await
            }
            Err(why) => {
                state.failed_at = Some(Instant::now());
                Err(why)
            }
        }
    }

    /// Opens a connection and waits for the node's greeting. The kernel accepts connections for a
    /// paused process as well, and each offer written there might run later.
    async fn open(
        &self,
        tasks: &SharedExecutor,
        limits: &corkspan_rpc::ConnectionLimits,
    ) -> Result<Connection, NodeConnectionError> {
        let connection = Connection::open_counted(tasks, self.address, limits, &self.meter).await?;
        let mut client = NodeClient::new(connection.clone());
        let greeted = within(limits.connect_timeout, client.greet(self.greeting)).await;
        let reply = greeted.ok_or(NodeConnectionError::GreetingTimeout(limits.connect_timeout))?;
        let reply = reply
            .map_err(|why| NodeConnectionError::GreetingRejected(why.message().into()))?
            .into_inner();
        if reply.node != self.greeting.node {
            return Err(NodeConnectionError::OtherNode(reply.node));
        }
        Ok(connection)
    }

    /// Counts a call on the connection until dropped.
    pub fn count_call(self: &Arc<Self>) -> CountGuard {
        CountGuard::new(self, |node| &node.calls)
    }

    /// Counts an offer without an answer until dropped. Returns none if the limit of such offers is
    /// reached.
    pub fn reserve_offer(self: &Arc<Self>, max_unanswered: usize) -> Option<CountGuard> {
        let free = self.unanswered.load(Ordering::Relaxed) < max_unanswered;
        free.then(|| CountGuard::new(self, |node| &node.unanswered))
    }

    /// Closes the connection if it has been idle for this time. Returns whether a connection is
    /// open afterwards.
    pub fn close_idle(&self, after: Duration) -> bool {
        let Some(mut state) = self.state.try_lock() else {
            return true;
        };
        if self.calls.load(Ordering::Relaxed) == 0 && state.last_used_at.elapsed() >= after {
            state.connection = None;
        }
        state.connection.as_ref().is_some_and(Connection::is_open)
    }
}

async fn wait_ready(mut connection: Connection) -> Result<Connection, NodeConnectionError> {
    future::poll_fn(|cx| connection.poll_ready(cx))
        .await
        .map_err(ConnectError::Http2)?;
    Ok(connection)
}
