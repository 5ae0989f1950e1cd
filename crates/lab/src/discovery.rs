//! The roster's stand-in: it tells each watcher of every change, a while after it came to be.

use crate::capture::{NodeState, Seen};
use crate::node::World;
use crate::relay::Relay;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_api::v1::{self, endpoint::State, roster_server::RosterServer};
use corkspan_rpc::Bounds;
use futures_lite::Stream;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tonic::{Request, Response, Status};

pub struct Discovery {
    world: Arc<World>,
    pub address: SocketAddr,
    listener: TcpListener,
    server: Mutex<Option<async_executor::Task<()>>>,
    log: Mutex<Log>,
    /// Listings that each dispatcher was told.
    lists_sent: Mutex<BTreeMap<u32, u64>>,
    /// Where a dispatcher finds a node, other than at the node's own address.
    pub proxies: Mutex<BTreeMap<(u32, u32), Relay>>,
}

#[derive(Default)]
struct Log {
    entries: BTreeMap<u32, v1::Endpoint>,
    /// Each change and when it may be told; its place, counted from 1, is its version.
    changes: Vec<(Instant, v1::Endpoint)>,
    /// Watchers, to be woken.
    wakes: Vec<async_channel::Sender<()>>,
}

/// How long ago a start may be that the capture calls cold.
const RECENT_MS: u64 = 60_000;

impl Discovery {
    pub async fn start(world: &Arc<World>) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (server, log, told, ways) = Default::default();
        let roster = Arc::new(Discovery {
            world: Arc::clone(world),
            address,
            listener,
            server,
            log,
            lists_sent: told,
            proxies: ways,
        });
        roster.listen();
        Ok((roster, address))
    }

    fn listen(self: &Arc<Self>) {
        let service = RosterServer::new(Service(Arc::clone(self)));
        let served = corkspan_rpc::serve(self.listener.clone(), service, Bounds::default());
        let server = self.world.tasks.spawn(async move {
            served.await;
        });
        *self.server.lock().expect("unshared") = Some(server);
    }

    /// Out of reach for so long, or for good.
    pub fn disconnect(self: &Arc<Self>, time: Option<Duration>) {
        drop(self.server.lock().expect("unshared").take());
        let roster = Arc::clone(self);
        if let Some(time) = time {
            let again = async move {
                Timer::after(time).await;
                roster.listen();
            };
            self.world.tasks.spawn(again).detach();
        }
    }

    /// Changes an entry; watchers hear of it so much later.
    pub fn update(&self, late: Duration, entry: v1::Endpoint) {
        if let Ok(to) = entry.address.parse() {
            let ways = self.proxies.lock().expect("no one panics while it is held");
            ways.iter()
                .filter(|((_, node), _)| *node == entry.node)
                .for_each(|(_, relay)| relay.lead(to));
        }
        let mut log = self.log.lock().expect("no one panics while it is held");
        let earliest = log.changes.last().map_or_else(Instant::now, |(at, _)| *at);
        // Changes are told in their order.
        log.changes
            .push(((Instant::now() + late).max(earliest), entry.clone()));
        log.entries.insert(entry.node, entry);
        log.wakes.retain(|wake| {
            !matches!(
                wake.try_send(()),
                Err(async_channel::TrySendError::Closed(()))
            )
        });
    }

    pub fn endpoint(&self, node: u32) -> Option<v1::Endpoint> {
        self.log
            .lock()
            .expect("no one panics while it is held")
            .entries
            .get(&node)
            .cloned()
    }

    /// Listings that a dispatcher was told.
    pub fn lists_sent(&self, dispatcher: u32) -> u64 {
        self.lists_sent
            .lock()
            .expect("unshared")
            .get(&dispatcher)
            .copied()
            .unwrap_or(0)
    }

    /// `told` is what this watch was told before: only what differs is worth a line of the capture.
    fn listing(
        &self,
        dispatcher: u32,
        version: u64,
        whole: bool,
        mut entries: Vec<v1::Endpoint>,
        told: &mut BTreeMap<u32, (NodeState, u64)>,
    ) -> v1::EndpointList {
        let now_ms = corkspan_dispatcher::clock::wall_ms();
        for entry in &entries {
            let state = match entry.state() {
                State::Draining => NodeState::Draining,
                State::Gone => NodeState::Gone,
                _ if entry.started_ms > 0 && entry.started_ms + RECENT_MS > now_ms => {
                    NodeState::Cold
                }
                _ => NodeState::Serving,
            };
            if told.insert(entry.node, (state, entry.started_ms)) != Some((state, entry.started_ms))
            {
                self.world.capture.see(Seen::Told {
                    dispatcher,
                    node: entry.node,
                    state,
                });
            }
        }
        let ways = self.proxies.lock().expect("no one panics while it is held");
        for entry in &mut entries {
            if let Some(relay) = ways.get(&(dispatcher, entry.node)) {
                entry.address = relay.address.to_string();
            }
        }
        v1::EndpointList {
            version,
            complete: whole,
            now_ms,
            endpoints: entries,
        }
    }

    async fn watch(
        self: Arc<Self>,
        ask: v1::ListRequest,
        to: async_channel::Sender<v1::EndpointList>,
    ) {
        let (wake, woken) = async_channel::bounded(1);
        let mut told = BTreeMap::new();
        let mut at = {
            let mut log = self.log.lock().expect("no one panics while it is held");
            log.wakes.push(wake);
            ask.version.min(log.changes.len() as u64) as usize
        };
        if ask.version == 0 {
            // What may be told by now, whole.
            let entries = {
                let log = self.log.lock().expect("no one panics while it is held");
                at = log
                    .changes
                    .iter()
                    .take_while(|(when, _)| *when <= Instant::now())
                    .count();
                let told: BTreeMap<u32, v1::Endpoint> = log.changes[..at]
                    .iter()
                    .map(|(_, entry)| (entry.node, entry.clone()))
                    .collect();
                told.into_values()
                    .filter(|entry| entry.state() != State::Gone)
                    .collect()
            };
            if to
                .send(self.listing(ask.dispatcher, at as u64, true, entries, &mut told))
                .await
                .is_err()
            {
                return;
            }
        }
        loop {
            let (due, next) = {
                let log = self.log.lock().expect("no one panics while it is held");
                let due = log.changes[at..]
                    .iter()
                    .take_while(|(when, _)| *when <= Instant::now());
                let due: Vec<v1::Endpoint> = due.map(|(_, entry)| entry.clone()).collect();
                let next = log.changes.get(at + due.len()).map(|(when, _)| *when);
                (due, next)
            };
            if !due.is_empty() {
                at += due.len();
                // Of what has changed more than once the latest is told.
                let latest: BTreeMap<u32, v1::Endpoint> =
                    due.into_iter().map(|entry| (entry.node, entry)).collect();
                let latest = latest.into_values().collect();
                let listing = self.listing(ask.dispatcher, at as u64, false, latest, &mut told);
                if to.send(listing).await.is_err() {
                    return;
                }
                continue;
            }
            match next {
                Some(when) => drop(Timer::at(when).await),
                None if woken.recv().await.is_err() => return,
                None => {}
            }
        }
    }
}

#[derive(Clone)]
struct Service(Arc<Discovery>);

type Listings = Pin<Box<dyn Stream<Item = Result<v1::EndpointList, Status>> + Send>>;

#[tonic::async_trait]
impl v1::roster_server::Roster for Service {
    type WatchStream = Listings;

    async fn list(
        &self,
        request: Request<v1::ListRequest>,
    ) -> Result<Response<v1::EndpointList>, Status> {
        let (entries, version) = {
            let log = self.0.log.lock().expect("no one panics while it is held");
            (
                log.entries.values().cloned().collect(),
                log.changes.len() as u64,
            )
        };
        Ok(Response::new(self.0.listing(
            request.into_inner().dispatcher,
            version,
            true,
            entries,
            &mut BTreeMap::new(),
        )))
    }

    async fn watch(&self, request: Request<v1::ListRequest>) -> Result<Response<Listings>, Status> {
        let (to, listings) = async_channel::bounded(16);
        let ask = request.into_inner();
        let dispatcher = ask.dispatcher;
        let watch = Arc::clone(&self.0).watch(ask, to);
        // Carried by the stream itself, so that it ends with it.
        let task = self.0.world.tasks.spawn(watch);
        let roster = Arc::clone(&self.0);
        let stream = futures_lite::stream::unfold((listings, task), move |(listings, task)| {
            let roster = Arc::clone(&roster);
            async move {
                let listing = listings.recv().await.ok()?;
                *roster
                    .lists_sent
                    .lock()
                    .expect("unshared")
                    .entry(dispatcher)
                    .or_default() += 1;
                Some((Ok(listing), (listings, task)))
            }
        });
        Ok(Response::new(Box::pin(stream)))
    }
}
