//! The stand-in of service discovery: it sends each watcher every change of the endpoint list, a
//! while after the change.

use crate::capture::{NodeState, Observation};
use crate::node::SharedContext;
use crate::relay::Relay;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_api::v1::{self, endpoint::State, roster_server::RosterServer};
use corkspan_rpc::ConnectionLimits;
use futures_lite::Stream;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

/// A start that is more recent than this is recorded as a slow start.
const RECENT_START_MS: u64 = 60_000;
/// Lists that wait for a watcher to read them.
const MAX_WAITING_LISTS: usize = 16;

/// The stand-in of service discovery.
pub struct Discovery {
    context: Arc<SharedContext>,
    /// Where it listens.
    pub address: SocketAddr,
    listener: TcpListener,
    server: Mutex<Option<async_executor::Task<()>>>,
    log: Mutex<ChangeLog>,
    /// By dispatcher.
    lists_sent: Mutex<BTreeMap<u32, u64>>,
    /// Proxies between a dispatcher and a node, whose address is listed in place of the node's own.
    pub proxies: Mutex<BTreeMap<(u32, u32), Relay>>,
}

/// The endpoints and how they came to be.
#[derive(Default)]
struct ChangeLog {
    endpoints: BTreeMap<u32, v1::Endpoint>,
    /// A change's place, counted from 1, is its version.
    changes: Vec<Change>,
    /// Wakes the watchers.
    watchers: Vec<async_channel::Sender<()>>,
}

struct Change {
    visible_at: Instant,
    endpoint: v1::Endpoint,
}

impl ChangeLog {
    /// The changes after a version that may be sent by now.
    fn visible_after(&self, version: usize) -> Vec<v1::Endpoint> {
        let now = Instant::now();
        self.changes[version..]
            .iter()
            .take_while(|change| change.visible_at <= now)
            .map(|change| change.endpoint.clone())
            .collect()
    }
}

/// The latest state of each endpoint among the changes, by node.
fn latest(changes: Vec<v1::Endpoint>) -> impl Iterator<Item = v1::Endpoint> {
    let latest: BTreeMap<u32, v1::Endpoint> = changes
        .into_iter()
        .map(|endpoint| (endpoint.node, endpoint))
        .collect();
    latest.into_values()
}

/// What one watch was sent last of each node: only news is recorded in the capture.
type RecordedStates = BTreeMap<u32, (NodeState, u64)>;

impl Discovery {
    /// Starts with an empty list. Returns the address at which it listens, too.
    pub async fn start(context: &Arc<SharedContext>) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery = Arc::new(Discovery {
            context: Arc::clone(context),
            address,
            listener,
            server: Mutex::default(),
            log: Mutex::default(),
            lists_sent: Mutex::default(),
            proxies: Mutex::default(),
        });
        discovery.listen();
        Ok((discovery, address))
    }

    fn listen(self: &Arc<Self>) {
        let service = RosterServer::new(Service(Arc::clone(self)));
        let served =
            corkspan_rpc::serve(self.listener.clone(), service, ConnectionLimits::default());
        let server = self.context.tasks.spawn(async move {
            served.await;
        });
        *lock(&self.server) = Some(server);
    }

    /// Out of reach for so long, or for good.
    pub fn disconnect(self: &Arc<Self>, time: Option<Duration>) {
        drop(lock(&self.server).take());
        let discovery = Arc::clone(self);
        if let Some(time) = time {
            let listen_later = async move {
                Timer::after(time).await;
                discovery.listen();
            };
            self.context.tasks.spawn(listen_later).detach();
        }
    }

    /// Changes an endpoint; watchers are sent the change after the delay.
    pub fn update(&self, delay: Duration, endpoint: v1::Endpoint) {
        if let Ok(address) = endpoint.address.parse() {
            lock(&self.proxies)
                .iter()
                .filter(|((_, node), _)| *node == endpoint.node)
                .for_each(|(_, relay)| relay.set_target(address));
        }
        let mut log = lock(&self.log);
        let now = Instant::now();
        let earliest = log.changes.last().map_or(now, |last| last.visible_at);
        // Changes are sent in their order.
        log.changes.push(Change {
            visible_at: (now + delay).max(earliest),
            endpoint: endpoint.clone(),
        });
        log.endpoints.insert(endpoint.node, endpoint);
        log.watchers.retain(|watcher| {
            !matches!(
                watcher.try_send(()),
                Err(async_channel::TrySendError::Closed(()))
            )
        });
    }

    /// A node's endpoint as it is now, sent to watchers or not.
    pub fn endpoint(&self, node: u32) -> Option<v1::Endpoint> {
        lock(&self.log).endpoints.get(&node).cloned()
    }

    /// How many lists a dispatcher was sent.
    pub fn lists_sent(&self, dispatcher: u32) -> u64 {
        lock(&self.lists_sent)
            .get(&dispatcher)
            .copied()
            .unwrap_or(0)
    }

    /// The message for a list, with the addresses as the dispatcher is to see them.
    fn list(
        &self,
        dispatcher: u32,
        version: usize,
        complete: bool,
        mut endpoints: Vec<v1::Endpoint>,
        recorded: &mut RecordedStates,
    ) -> v1::EndpointList {
        let now_ms = corkspan_dispatcher::clock::wall_ms();
        for endpoint in &endpoints {
            self.record(dispatcher, endpoint, now_ms, recorded);
        }
        let proxies = lock(&self.proxies);
        for endpoint in &mut endpoints {
            if let Some(relay) = proxies.get(&(dispatcher, endpoint.node)) {
                endpoint.address = relay.address.to_string();
            }
        }
        v1::EndpointList {
            version: version as u64,
            complete,
            now_ms,
            endpoints,
        }
    }

    fn record(
        &self,
        dispatcher: u32,
        endpoint: &v1::Endpoint,
        now_ms: u64,
        recorded: &mut RecordedStates,
    ) {
        let started_ms = endpoint.started_ms;
        let state = match endpoint.state() {
            State::Draining => NodeState::Draining,
            State::Gone => NodeState::Gone,
            _ if started_ms > 0 && started_ms + RECENT_START_MS > now_ms => NodeState::SlowStart,
            _ => NodeState::Serving,
        };
        let node = endpoint.node;
        if recorded.insert(node, (state, started_ms)) != Some((state, started_ms)) {
            self.context.capture.record(Observation::EndpointSent {
                dispatcher,
                node,
                state,
            });
        }
    }

    /// Sends lists until the watcher is gone: a complete one first to one that has none.
    async fn watch(
        self: Arc<Self>,
        request: v1::ListRequest,
        lists: async_channel::Sender<v1::EndpointList>,
    ) {
        let dispatcher = request.dispatcher;
        let (watcher, woken) = async_channel::bounded(1);
        let mut recorded = RecordedStates::new();
        let mut version = {
            let mut log = lock(&self.log);
            log.watchers.push(watcher);
            request.version.min(log.changes.len() as u64) as usize
        };
        if request.version == 0 {
            let visible = lock(&self.log).visible_after(0);
            version = visible.len();
            let present = latest(visible).filter(|endpoint| endpoint.state() != State::Gone);
            let list = self.list(dispatcher, version, true, present.collect(), &mut recorded);
            if lists.send(list).await.is_err() {
                return;
            }
        }
        loop {
            let (visible, next) = {
                let log = lock(&self.log);
                let visible = log.visible_after(version);
                let next = log.changes.get(version + visible.len());
                (visible, next.map(|change| change.visible_at))
            };
            if !visible.is_empty() {
                version += visible.len();
                let changed = latest(visible).collect();
                let list = self.list(dispatcher, version, false, changed, &mut recorded);
                if lists.send(list).await.is_err() {
                    return;
                }
                continue;
            }
            match next {
                Some(visible_at) => {
                    Timer::at(visible_at).await;
                }
                None if woken.recv().await.is_err() => return,
                None => {}
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no one panics while it is held")
}

#[derive(Clone)]
struct Service(Arc<Discovery>);

type EndpointLists = Pin<Box<dyn Stream<Item = Result<v1::EndpointList, Status>> + Send>>;

#[tonic::async_trait]
impl v1::roster_server::Roster for Service {
    type WatchStream = EndpointLists;

    async fn list(
        &self,
        request: Request<v1::ListRequest>,
    ) -> Result<Response<v1::EndpointList>, Status> {
        let dispatcher = request.into_inner().dispatcher;
        let (endpoints, version) = {
            let log = lock(&self.0.log);
            let endpoints = log.endpoints.values().cloned().collect();
            (endpoints, log.changes.len())
        };
        let mut recorded = RecordedStates::new();
        let list = self
            .0
            .list(dispatcher, version, true, endpoints, &mut recorded);
        Ok(Response::new(list))
    }

    async fn watch(
        &self,
        request: Request<v1::ListRequest>,
    ) -> Result<Response<EndpointLists>, Status> {
        let (sender, lists) = async_channel::bounded(MAX_WAITING_LISTS);
        let request = request.into_inner();
        let dispatcher = request.dispatcher;
        let watch = Arc::clone(&self.0).watch(request, sender);
        // Held by the stream itself, so that it ends with it.
        let task = self.0.context.tasks.spawn(watch);
        let discovery = Arc::clone(&self.0);
        let stream = futures_lite::stream::unfold((lists, task), move |(lists, task)| {
            let discovery = Arc::clone(&discovery);
            async move {
                let list = lists.recv().await.ok()?;
                *lock(&discovery.lists_sent).entry(dispatcher).or_default() += 1;
                Some((Ok(list), (lists, task)))
            }
        });
        Ok(Response::new(Box::pin(stream)))
    }
}
