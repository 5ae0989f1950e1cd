//! Runs a dispatcher, nodes and a discovery stand-in on loopback, and provides helpers for tests
//! that call them.

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
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tonic::Streaming;

/// Longest time that any single step of a test may take.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

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

/// Set-up of the stand-ins and the dispatcher of a test.
pub struct Layout {
    pub nodes: u32,
    pub review_time: Duration,
    /// Further forms of the deployment, such as bounds or the path of the stored node list.
    pub extra_forms: String,
    pub discovery_unavailable: bool,
    /// Rollout store to use instead of the one named in the deployment.
    pub store: Option<Store>,
}

impl Default for Layout {
    fn default() -> Self {
        Layout {
            nodes: 2,
            review_time: Duration::from_millis(3),
            extra_forms: String::new(),
            discovery_unavailable: false,
            store: None,
        }
    }
}

pub fn deployment(discovery: SocketAddr, extra_forms: &str) -> String {
    format!(
        r#"(deployment (listen "127.0.0.1:0") (roster "{discovery}") (seed 1)
  (hall a) (number 0) (schedulers 1) (halls a b)
  (kinds (small (cores 40) (memory 80)))
  (tracks
    (web (repeat idempotent) (contract-time 300 ms))
    (jobs (repeat deduplicated) (within hall) (window 2 s) (contract-time 1 s))
    (once (repeat unrepeatable) (contract-time 1 s)))
  (accepts (cores 2) (memory 1.5)) (placed-when accepted) (shows-room #f) (may-probe #f)
  (cold (lasts 2 s) (window 1 s) (offers 8)) {extra_forms})"#
    )
}

impl Harness {
    /// Writes the capture to a file and returns its path, to be named by an assertion that fails.
    pub fn save_capture(&self) -> PathBuf {
        let name = format!("capture-{}.jsonl", self.address.port());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let lines = self.context.capture.lines();
        let lines = lines
            .iter()
            .map(|line| serde_json::to_string(line).expect("a line") + "\n");
        std::fs::write(&path, lines.collect::<String>()).expect("written");
        path
    }

    /// Sets up the stand-ins and a dispatcher, and runs a test against them on this thread.
    pub fn run<F: Future<Output = ()>>(layout: Layout, test: impl FnOnce(Harness) -> F) {
        let tasks = SharedExecutor::default();
        let run = async {
            let harness = Harness::set_up(tasks.clone(), layout).await;
            test(harness).await;
        };
        let run = within(3 * WAIT_TIMEOUT, run);
        future::block_on(tasks.run(run)).expect("the test finishes in time");
    }

    async fn set_up(tasks: SharedExecutor, layout: Layout) -> Harness {
        let capture = Capture::new(None).expect("a capture without a file can be made");
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
        let text = deployment(discovery_address, &layout.extra_forms);
        let harness =
            Harness::start_with_store(layout.store, tasks, context, nodes, discovery, &text).await;
        if !layout.discovery_unavailable {
            harness.wait_until_serving(u64::from(layout.nodes)).await;
        }
        harness
    }

    /// Starts a second dispatcher with another deployment against the same nodes.
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
        Harness::start_with_store(None, tasks, context, nodes, discovery, text).await
    }

    async fn start_with_store(
        store: Option<Store>,
        tasks: SharedExecutor,
        context: Arc<SharedContext>,
        nodes: Vec<Arc<Node>>,
        discovery: Arc<Discovery>,
        text: &str,
    ) -> Harness {
        let deployment =
            Deployment::parse("test deployment", text).unwrap_or_else(|error| panic!("{error}"));
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (ready_sender, ready_receiver) = async_channel::bounded(1);
        let stopped = async move {
            let _ = stopped.recv().await;
        };
        let on_ready = move |address| ready_sender.try_send(address).expect("called once");
        // Runs on its own thread, so that a burst of clients on this executor cannot delay it.
        let (exit_sender, dispatcher) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded::<()>(1);
        std::thread::spawn(move || {
            let executor = SharedExecutor::default();
            let store = store.unwrap_or_else(|| Store::open(deployment.rollout_store.as_deref()));
            let run = corkspan_dispatcher::run_with_store(
                store,
                executor.clone(),
                deployment,
                on_ready,
                stopped,
            );
            // A kill drops the dispatcher with all its tasks: its sockets close without a final
            // message.
            let killed = async {
                let _ = killed.recv().await;
                Ok(())
            };
            let _ = exit_sender.try_send(future::block_on(executor.run(future::or(run, killed))));
        });
        let address = within(WAIT_TIMEOUT, ready_receiver.recv())
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
        let limits = ConnectionLimits {
            connect_timeout: WAIT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        PlacementClient::new(
            Connection::open(&self.tasks, self.address, &limits)
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

    pub async fn wait_until_serving(&self, count: u64) {
        wait_until(async || self.status().await.machines_serving == count).await;
    }

    /// Requests a placement and returns the event stream of the call.
    pub async fn request_placement(
        &self,
        request: v1::PlacementRequest,
    ) -> Streaming<v1::PlacementEvent> {
        let call = self.client().await.place(request).await;
        call.expect("the call is accepted").into_inner()
    }

    pub async fn hand_over(
        &self,
        request: v1::PlacementRequest,
        node: u32,
    ) -> Streaming<v1::PlacementEvent> {
        let running = v1::HandOverRequest {
            request: Some(request),
            node,
        };
        self.client()
            .await
            .hand_over(running)
            .await
            .expect("the call is accepted")
            .into_inner()
    }

    /// Stops the dispatcher, waits until it has ended and returns the captured lines.
    pub async fn stop(self) -> Vec<Line> {
        let _ = self.stop.send(()).await;
        let stopped = within(WAIT_TIMEOUT, self.dispatcher.recv())
            .await
            .expect("it stops");
        stopped
            .expect("its thread ends")
            .expect("it stops without a failure");
        self.context.capture.lines()
    }

    /// Ends the dispatcher as a kill does, without notice to its peers.
    pub async fn kill(self) {
        let _ = self.kill.send(()).await;
        within(WAIT_TIMEOUT, self.dispatcher.recv())
            .await
            .expect("it is gone")
            .expect("its thread ends")
            .expect("killed");
    }

    /// Kills the dispatcher and starts it again with this deployment.
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

    /// Returns the offers that nodes have received, as (placement id, attempt number, node).
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
        uncached_start_factor: 2,
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

pub fn placement_request(task: &str, service_class: &str) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id: format!("{task}#0"),
        task: task.into(),
        service: "s".into(),
        service_class: service_class.into(),
        tenant: String::new(),
        cores: 1.0,
        memory: 1.0,
        expected_duration_ms: 60_000,
        deadline_ms: 4_000,
        retry: false,
    }
}

/// Returns the next event, or `None` once the stream has ended.
pub async fn next(events: &mut Streaming<v1::PlacementEvent>) -> Option<Event> {
    let message = within(WAIT_TIMEOUT, events.message())
        .await
        .expect("an event or the end of the stream");
    message.ok().flatten().and_then(|message| message.event)
}

/// Returns the next event other than `Running` and `ServiceLevel`.
pub async fn next_significant(events: &mut Streaming<v1::PlacementEvent>) -> Option<Event> {
    loop {
        match next(events).await {
            Some(Event::Running(_) | Event::ServiceLevel(_)) => {}
            other => return other,
        }
    }
}

pub async fn expect_placed(events: &mut Streaming<v1::PlacementEvent>) -> u32 {
    match next(events).await {
        Some(Event::Placed(placed)) => placed.node,
        other => panic!("a placement is expected, not {other:?}"),
    }
}

pub async fn expect_rejected(
    events: &mut Streaming<v1::PlacementEvent>,
) -> v1::rejected::RejectionReason {
    match next(events).await {
        Some(Event::Rejected(rejected)) => rejected.reason(),
        other => panic!("a rejection is expected, not {other:?}"),
    }
}

/// Waits until a condition holds; panics after `WAIT_TIMEOUT`.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let wait = async {
        while !condition().await {
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    within(WAIT_TIMEOUT, wait)
        .await
        .expect("the condition holds in time");
}
