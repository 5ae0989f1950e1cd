//! One dispatcher, some nodes and a roster on one executor, all on loopback.

use async_io::Timer;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_config::Deployment;
use corkspan_dispatcher::DispatcherError;
use corkspan_dispatcher::rollout_control::Store;
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor, within};
use corkspan_scheduler::interface::Resources;
use corkspan_testbed::capture::{Capture, Line, Observation};
use corkspan_testbed::discovery::Discovery;
use corkspan_testbed::node::{Node, NodeConfig, SharedContext, SlowStart};
use futures_lite::future;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tonic::Streaming;

/// Nothing here takes longer: what does has failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Harness {
    pub tasks: SharedExecutor,
    pub context: Arc<SharedContext>,
    pub nodes: Vec<Arc<Node>>,
    pub discovery: Arc<Discovery>,
    pub address: SocketAddr,
    stop: async_channel::Sender<()>,
    kill: async_channel::Sender<()>,
    dispatcher: async_channel::Receiver<Result<(), DispatcherError>>,
}

/// How a rig is laid out.
pub struct Layout {
    pub nodes: u32,
    pub review_time: Duration,
    /// More text for the deployment: bounds, where the list is remembered.
    pub more: String,
    pub discovery_unavailable: bool,
    /// A store of rolls other than the deployment's.
    pub store: Option<Store>,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            nodes: 2,
            review_time: Duration::from_millis(3),
            more: String::new(),
            discovery_unavailable: false,
            store: None,
        }
    }
}

pub fn deployment(discovery: SocketAddr, more: &str) -> String {
    format!(
        r#"(deployment (listen "127.0.0.1:0") (roster "{discovery}") (seed 1)
  (hall a) (number 0) (schedulers 1) (halls a b)
  (kinds (small (cores 40) (memory 80)))
  (tracks
    (web (repeat idempotent) (contract-time 300 ms))
    (jobs (repeat deduplicated) (within hall) (window 2 s) (contract-time 1 s))
    (once (repeat unrepeatable) (contract-time 1 s)))
  (accepts (cores 2) (memory 1.5)) (placed-when accepted) (shows-room #f) (may-probe #f)
  (cold (lasts 2 s) (window 1 s) (offers 8)) {more})"#
    )
}

impl Harness {
    /// Runs a story against a rig, on this thread.
    pub fn run<F: Future<Output = ()>>(layout: Layout, story: impl FnOnce(Harness) -> F) {
        let tasks = SharedExecutor::default();
        let whole = async {
            let harness = Harness::set_up(tasks.clone(), layout).await;
            story(harness).await;
        };
        let whole = within(3 * PATIENCE, whole);
        future::block_on(tasks.run(whole)).expect("the story comes to its end");
    }

    async fn set_up(tasks: SharedExecutor, layout: Layout) -> Harness {
        let capture = Capture::new(None).expect("no file, no failure");
        let context = SharedContext::new(capture, &tasks, Some("jobs".into()));
        let (discovery, discovery_address) = Discovery::start(&context).await.expect("a port");
        let mut nodes = Vec::new();
        for id in 0..layout.nodes {
            let node = Node::new(node_config(id, layout.review_time), &context);
            let address = node.start_process(false).await.expect("a port");
            discovery.update(
                Duration::ZERO,
                endpoint(&node, address, v1::endpoint::State::Serving, 0),
            );
            nodes.push(node);
        }
        if layout.discovery_unavailable {
            discovery.disconnect(None);
        }
        let text = deployment(discovery_address, &layout.more);
        let harness =
            Harness::start_over(layout.store, tasks, context, nodes, discovery, &text).await;
        if !layout.discovery_unavailable {
            harness.wait_until_serving(u64::from(layout.nodes)).await;
        }
        harness
    }

    /// A second dispatcher with another deployment, before the same nodes.
    pub async fn start_second(harness: &Harness, text: &str) -> Harness {
        let (nodes, discovery) = (harness.nodes.clone(), Arc::clone(&harness.discovery));
        Harness::start(
            harness.tasks.clone(),
            Arc::clone(&harness.context),
            nodes,
            discovery,
            text,
        )
        .await
    }

    async fn start(
        tasks: SharedExecutor,
        context: Arc<SharedContext>,
        nodes: Vec<Arc<Node>>,
        discovery: Arc<Discovery>,
        text: &str,
    ) -> Harness {
        Harness::start_over(None, tasks, context, nodes, discovery, text).await
    }

    async fn start_over(
        store: Option<Store>,
        tasks: SharedExecutor,
        context: Arc<SharedContext>,
        nodes: Vec<Arc<Node>>,
        discovery: Arc<Discovery>,
        text: &str,
    ) -> Harness {
        let deployment = Deployment::parse("rig", text).unwrap_or_else(|why| panic!("{why}"));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (told, ready) = async_channel::bounded(1);
        let stopped = async move {
            let _ = stopped.recv().await;
        };
        let ready_call = move |address| told.try_send(address).expect("told once");
        // On a thread of its own: a burst of owners here must not take its turns.
        let (ended, dispatcher) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded::<()>(1);
        std::thread::spawn(move || {
            let own = SharedExecutor::default();
            let store = store.unwrap_or_else(|| Store::open(deployment.rollout_store.as_deref()));
            let run = corkspan_dispatcher::run_with_store(
                store,
                own.clone(),
                deployment,
                ready_call,
                stopped,
            );
            // Dropped with all its tasks where it is killed: its sockets close, and it says nothing
            // more.
            let killed = async {
                let _ = killed.recv().await;
                Ok(())
            };
            let _ = ended.try_send(future::block_on(own.run(future::or(run, killed))));
        });
        let address = within(PATIENCE, ready.recv())
            .await
            .expect("it listens")
            .expect("an address");
        Harness {
            tasks,
            context,
            nodes,
            discovery,
            address,
            stop,
            kill,
            dispatcher,
        }
    }

    pub async fn client(&self) -> PlacementClient<Connection> {
        let bounds = ConnectionLimits {
            connect_timeout: PATIENCE,
            ..ConnectionLimits::default()
        };
        PlacementClient::new(
            Connection::open(&self.tasks, self.address, &bounds)
                .await
                .expect("it listens"),
        )
    }

    pub async fn status(&self) -> v1::StatusResponse {
        self.client()
            .await
            .status(v1::StatusRequest {})
            .await
            .expect("a status")
            .into_inner()
    }

    pub async fn wait_until_serving(&self, many: u64) {
        wait_until(async || self.status().await.machines_serving == many).await;
    }

    /// Asks and returns the words of the call.
    pub async fn request_placement(
        &self,
        ask: v1::PlacementRequest,
    ) -> Streaming<v1::PlacementEvent> {
        let call = self.client().await.place(ask).await;
        call.expect("the call is taken").into_inner()
    }

    pub async fn hand_over(
        &self,
        ask: v1::PlacementRequest,
        node: u32,
    ) -> Streaming<v1::PlacementEvent> {
        let running = v1::HandOverRequest {
            request: Some(ask),
            node,
        };
        self.client()
            .await
            .hand_over(running)
            .await
            .expect("the call is taken")
            .into_inner()
    }

    /// Asks the dispatcher to stop and waits until it has.
    pub async fn stop(self) -> Vec<Line> {
        let _ = self.stop.send(()).await;
        let stopped = within(PATIENCE, self.dispatcher.recv())
            .await
            .expect("it stops");
        stopped
            .expect("its thread ends")
            .expect("it stops without a failure");
        self.context.capture.lines()
    }

    /// Ends the dispatcher as a kill does, without a word.
    pub async fn kill(self) {
        let _ = self.kill.send(()).await;
        within(PATIENCE, self.dispatcher.recv())
            .await
            .expect("it is gone")
            .expect("its thread ends")
            .expect("killed");
    }

    /// The same, and starts it again with this deployment.
    pub async fn kill_and_restart(self, text: &str) -> Harness {
        let (tasks, context, nodes, discovery) = (
            self.tasks.clone(),
            Arc::clone(&self.context),
            self.nodes.clone(),
            Arc::clone(&self.discovery),
        );
        self.kill().await;
        Harness::start(tasks, context, nodes, discovery, text).await
    }

    pub fn set_endpoint_state(&self, index: usize, state: v1::endpoint::State) {
        let node = &self.nodes[index];
        let old = self
            .discovery
            .endpoint(node.config.id)
            .expect("the node is listed");
        self.discovery.update(
            Duration::ZERO,
            v1::Endpoint {
                state: state.into(),
                ..old
            },
        );
    }

    /// Offers that nodes have seen, as (placing, number, node).
    pub fn offers(&self) -> Vec<(String, u32, u32)> {
        let lines = self.context.capture.lines().into_iter();
        lines
            .filter_map(|line| match line.observation {
                Observation::Offered {
                    node,
                    placement_id,
                    number,
                    ..
                } => Some((placement_id, number, node)),
                _ => None,
            })
            .collect()
    }
}

pub fn node_config(id: u32, review_time: Duration) -> NodeConfig {
    NodeConfig {
        id,
        machine_type: "small".into(),
        zone: if id < 2 { "a" } else { "b" }.into(),
        cell: u64::from(id),
        capacity: Resources {
            cores: 40.0,
            memory: 80.0,
        },
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.5,
        },
        review_time,
        max_queued: 10_000,
        start_time: Duration::from_millis(5),
        load_factor: 2,
        max_concurrent_starts: 64,
        max_cached_programs: 4,
        preempts: false,
        slow_start: SlowStart {
            duration: Duration::from_secs(2),
            window: Duration::from_secs(1),
            max_offers: 12,
            initial_rate: 0.5,
        },
        seed: 1,
    }
}

pub fn endpoint(
    node: &Node,
    address: SocketAddr,
    state: v1::endpoint::State,
    started_ms: u64,
) -> v1::Endpoint {
    v1::Endpoint {
        node: node.config.id,
        address: address.to_string(),
        machine_type: "small".into(),
        zone: node.config.zone.clone(),
        cell: node.config.cell,
        state: state.into(),
        started_ms,
        unreserved: None,
    }
}

pub fn placement_request(task: &str, track: &str) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id: format!("{task}#0"),
        task: task.into(),
        service: "s".into(),
        service_class: track.into(),
        tenant: String::new(),
        cores: 1.0,
        memory: 1.0,
        expected_duration_ms: 60_000,
        deadline_ms: 4_000,
        retry: false,
    }
}

/// The next word, or none where the stream ends.
pub async fn next(words: &mut Streaming<v1::PlacementEvent>) -> Option<Event> {
    let word = within(PATIENCE, words.message())
        .await
        .expect("a word or an end");
    word.ok().flatten().and_then(|word| word.event)
}

/// The next word that is no note.
pub async fn next_significant(words: &mut Streaming<v1::PlacementEvent>) -> Option<Event> {
    loop {
        match next(words).await {
            Some(Event::Running(_) | Event::ServiceLevel(_)) => {}
            other => return other,
        }
    }
}

pub async fn placed(words: &mut Streaming<v1::PlacementEvent>) -> u32 {
    match next(words).await {
        Some(Event::Placed(placed)) => placed.node,
        other => panic!("placed is expected, not {other:?}"),
    }
}

pub async fn rejected(words: &mut Streaming<v1::PlacementEvent>) -> v1::rejected::RejectionReason {
    match next(words).await {
        Some(Event::Rejected(refused)) => refused.reason(),
        other => panic!("refused is expected, not {other:?}"),
    }
}

/// Waits for a condition.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let waits = async {
        while !condition().await {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    within(PATIENCE, waits)
        .await
        .expect("the condition comes to hold");
}
