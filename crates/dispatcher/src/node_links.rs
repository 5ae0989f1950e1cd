//! Links to nodes: opened when needed, shared by all calls to a node, closed when idle.

use crate::clock::duration;
use async_lock::Mutex as AsyncMutex;
use corkspan_api::v1::{self, node_client::NodeClient};
use corkspan_config::Bounds;
use corkspan_rpc::{Link, Meter, NoLink, Tasks, within};
use futures_lite::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tower_service::Service;

/// The bounds of a link, as the deployment gives them.
pub fn bounds(bounds: &Bounds) -> corkspan_rpc::Bounds {
    corkspan_rpc::Bounds {
        connect_within: duration(bounds.connect_within),
        keep_alive: duration(bounds.keep_alive),
        calls: bounds.calls,
        links: bounds.links,
        message: bounds.message,
    }
}

/// Why no link to a node stands. Nothing that binds was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum NoNode {
    #[error(transparent)]
    NoLink(#[from] NoLink),
    #[error("another attempt failed meanwhile")]
    FailedAlready,
    #[error("no answer to the greeting within {0:?}")]
    Silent(Duration),
    #[error("the greeting was turned down: {0}")]
    TurnedDown(String),
    #[error("node {0} answers there")]
    Stranger(u32),
}

/// A node as it is reached.
pub struct NodeLink {
    pub address: SocketAddr,
    greeting: v1::Greeting,
    meter: Meter,
    state: AsyncMutex<State>,
    calls: AtomicUsize,
    unanswered: AtomicUsize,
}

struct State {
    link: Option<Link>,
    /// When an attempt to open it last failed: those who waited for that one have failed with it,
    /// instead of each trying anew one after the other.
    failed: Option<Instant>,
    used: Instant,
}

/// Counts one up while it lives.
pub struct Counted {
    node: Arc<NodeLink>,
    which: fn(&NodeLink) -> &AtomicUsize,
}

impl Counted {
    fn new(node: &Arc<NodeLink>, which: fn(&NodeLink) -> &AtomicUsize) -> Self {
        which(node).fetch_add(1, Ordering::Relaxed);
        Counted {
            node: Arc::clone(node),
            which,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.which)(&self.node).fetch_sub(1, Ordering::Relaxed);
    }
}

impl NodeLink {
    pub fn new(address: SocketAddr, node: u32, dispatcher: u32, meter: Meter) -> Arc<Self> {
        let greeting = v1::Greeting { node, dispatcher };
        let state = State {
            link: None,
            failed: None,
            used: Instant::now(),
        };
        let (calls, unanswered) = Default::default();
        Arc::new(NodeLink {
            address,
            greeting,
            meter,
            state: AsyncMutex::new(state),
            calls,
            unanswered,
        })
    }

    /// A link that takes a call now. Nothing has been sent where this fails.
    pub async fn ready(
        &self,
        tasks: &Tasks,
        bounds: &corkspan_rpc::Bounds,
    ) -> Result<Link, NoNode> {
        let since = Instant::now();
        let mut state = self.state.lock().await;
        state.used = Instant::now();
        if let Some(link) = state.link.clone().filter(Link::stands) {
            drop(state);
            return ready(link).await;
        }
        if state.failed.is_some_and(|at| at >= since) {
            return Err(NoNode::FailedAlready);
        }
        match self.open(tasks, bounds).await {
            Ok(link) => {
                state.link = Some(link.clone());
                drop(state);
                ready(link).await
            }
            Err(why) => {
                state.failed = Some(Instant::now());
                Err(why)
            }
        }
    }

    /// Opens a link and waits for the node's own word that it stands: a connection that the kernel
    /// at the other end took, for a process that no longer looks, would make of each offer one
    /// that may have run.
    async fn open(&self, tasks: &Tasks, bounds: &corkspan_rpc::Bounds) -> Result<Link, NoNode> {
        let link = Link::open_counted(tasks, self.address, bounds, &self.meter).await?;
        let mut client = NodeClient::new(link.clone());
        let greeted = within(bounds.connect_within, client.greet(self.greeting)).await;
        let word = greeted.ok_or(NoNode::Silent(bounds.connect_within))?;
        let word = word
            .map_err(|why| NoNode::TurnedDown(why.message().into()))?
            .into_inner();
        if word.node != self.greeting.node {
            return Err(NoNode::Stranger(word.node));
        }
        Ok(link)
    }

    /// Counts a call on the link until dropped.
    pub fn call(self: &Arc<Self>) -> Counted {
        Counted::new(self, |node| &node.calls)
    }

    /// Counts an offer without an answer until dropped; none where there are as many as may be.
    pub fn offer(self: &Arc<Self>, most: usize) -> Option<Counted> {
        let free = self.unanswered.load(Ordering::Relaxed) < most;
        free.then(|| Counted::new(self, |node| &node.unanswered))
    }

    /// Closes the link if it has been idle for so long. Whether one is open afterwards.
    pub fn close_idle(&self, after: Duration) -> bool {
        let Some(mut state) = self.state.try_lock() else {
            return true;
        };
        if self.calls.load(Ordering::Relaxed) == 0 && state.used.elapsed() >= after {
            state.link = None;
        }
        state.link.as_ref().is_some_and(Link::stands)
    }
}

async fn ready(mut link: Link) -> Result<Link, NoNode> {
    future::poll_fn(|cx| link.poll_ready(cx))
        .await
        .map_err(NoLink::NotHttp)?;
    Ok(link)
}
