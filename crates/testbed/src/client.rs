//! Stand-ins for clients: they request placements, wait, retry, hand over running allocations and
//! cancel, as clients do.

use crate::capture::{AllocationEvent, Observation, RequestedPlacement, RetrySafety};
use crate::node::{Node, SharedContext};
use async_io::Timer;
use corkspan_api::v1::{
    self, placement_client::PlacementClient, placement_event::Event, rolls_client::RollsClient,
    versions_client::VersionsClient,
};
use corkspan_rpc::{Connection, ConnectionLimits, within};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tonic::Streaming;

/// A plain front end to the dispatchers: the present address of each, and one connection to each.
pub struct Frontend {
    pub context: Arc<SharedContext>,
    pub nodes: Vec<Arc<Node>>,
    routes: Vec<Mutex<Route>>,
    calls: AtomicU64,
}

/// The address of a dispatcher and the open connection to it.
#[derive(Default)]
struct Route {
    address: Option<SocketAddr>,
    connection: Option<Connection>,
}

impl Frontend {
    pub fn new(context: &Arc<SharedContext>, nodes: &[Arc<Node>], dispatchers: usize) -> Arc<Self> {
        Arc::new(Frontend {
            context: Arc::clone(context),
            nodes: nodes.to_vec(),
            routes: (0..dispatchers).map(|_| Mutex::default()).collect(),
            calls: AtomicU64::new(0),
        })
    }

    pub fn set_address(&self, dispatcher: usize, address: Option<SocketAddr>) {
        *self.routes[dispatcher]
            .lock()
            .expect("no thread panics while holding the lock") = Route {
            address,
            connection: None,
        };
    }

    pub async fn placement_client(&self, dispatcher: usize) -> Option<PlacementClient<Connection>> {
        self.connect(dispatcher).await.map(PlacementClient::new)
    }

    pub async fn versions_client(&self, dispatcher: usize) -> Option<VersionsClient<Connection>> {
        self.connect(dispatcher).await.map(VersionsClient::new)
    }

    pub fn address(&self, dispatcher: usize) -> Option<SocketAddr> {
        self.routes[dispatcher]
            .lock()
            .expect("no thread panics while holding the lock")
            .address
    }

    pub async fn rollouts_client(&self, dispatcher: usize) -> Option<RollsClient<Connection>> {
        self.connect(dispatcher).await.map(RollsClient::new)
    }

    async fn connect(&self, dispatcher: usize) -> Option<Connection> {
        let (address, connection) = {
            let route = self.routes[dispatcher]
                .lock()
                .expect("no thread panics while holding the lock");
            (
                route.address,
                route.connection.clone().filter(Connection::is_open),
            )
        };
        let connection = match (connection, address) {
            (Some(connection), _) => connection,
            (None, Some(address)) => {
                let limits = ConnectionLimits {
                    connect_timeout: Duration::from_secs(1),
                    ..ConnectionLimits::default()
                };
                let connection = Connection::open(&self.context.tasks, address, &limits)
                    .await
                    .ok()?;
                let mut route = self.routes[dispatcher]
                    .lock()
                    .expect("no thread panics while holding the lock");
                if route.address == Some(address) {
                    route.connection = Some(connection.clone());
                }
                connection
            }
            (None, None) => return None,
        };
        Some(connection)
    }

    /// Returns the node and the placement id of a task's allocation, read from the nodes
    /// themselves, as the client's own runtime would know them. Prefers the placement id that the
    /// client received last.
    fn find_running(&self, task: &str, known_placement_id: &str) -> Option<(u32, String)> {
        let allocations = self.nodes.iter().flat_map(|node| {
            node.allocations_of(task)
                .into_iter()
                .map(|placement_id| (node.config.id, placement_id))
        });
        let allocations: Vec<(u32, String)> = allocations.collect();
        allocations
            .iter()
            .find(|(_, placement_id)| placement_id == known_placement_id)
            .or(allocations.first())
            .cloned()
    }
}

/// A task that a client requests to be placed.
#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub service: String,
    pub service_class: usize,
    pub service_class_name: String,
    pub retry_safety: RetrySafety,
    pub cores: f64,
    pub memory: f64,
    pub lifetime: Duration,
    pub deadline: Duration,
    /// The maximum number of placement requests.
    pub max_requests: u32,
    /// The time after which the client cancels its first request; none if it doesn't.
    pub cancel_after: Option<Duration>,
}

/// The outcome of a call.
enum Outcome {
    /// The task has ended or its request was cancelled.
    Done,
    /// The request was not sent or was rejected, or the allocation ended early: a retry is safe.
    Retry,
    /// The task may be running on some node.
    Indeterminate,
}

/// Runs one task from its first request to its end. Sends no more requests after `until`.
pub async fn run_task(frontend: Arc<Frontend>, task: Task, mut rng: Pcg64Mcg, until: Instant) {
    let mut requests_sent = 0;
    let settle_time = |task: &Task| match task.retry_safety {
        RetrySafety::Idempotent => Duration::from_millis(300),
        _ => Duration::from_secs(3),
    };
    // The placement id that the client received last.
    let mut known_placement_id = String::new();
    let mut outcome = request_placement(
        &frontend,
        &task,
        &mut requests_sent,
        &mut known_placement_id,
        &mut rng,
    )
    .await;
    loop {
        outcome = match outcome {
            Outcome::Done => return,
            Outcome::Retry => {
                let wait = rng.random_range(1100..2800);
                Timer::after(Duration::from_millis(wait)).await;
                if Instant::now() >= until
                    || requests_sent >= task.max_requests
                    || task.cancel_after.is_some()
                {
                    return;
                }
                request_placement(
                    &frontend,
                    &task,
                    &mut requests_sent,
                    &mut known_placement_id,
                    &mut rng,
                )
                .await
            }
            Outcome::Indeterminate => {
                Timer::after(settle_time(&task)).await;
                match frontend.find_running(&task.name, &known_placement_id) {
                    Some((node, placement_id)) => {
                        known_placement_id.clone_from(&placement_id);
                        hand_over(
                            &frontend,
                            &task,
                            node,
                            placement_id,
                            &mut known_placement_id,
                            &mut rng,
                        )
                        .await
                    }
                    None => Outcome::Retry,
                }
            }
        }
    }
}

fn placement_request(task: &Task, placement_id: String, is_retry: bool) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id,
        task: task.name.clone(),
        service: task.service.clone(),
        service_class: task.service_class_name.clone(),
        tenant: String::new(),
        cores: task.cores,
        memory: task.memory,
        expected_duration_ms: task.lifetime.as_millis() as u64,
        deadline_ms: task.deadline.as_millis() as u64,
        retry: is_retry,
    }
}

async fn request_placement(
    frontend: &Arc<Frontend>,
    task: &Task,
    requests_sent: &mut u32,
    known_placement_id: &mut String,
    rng: &mut Pcg64Mcg,
) -> Outcome {
    let dispatcher = rng.random_range(0..frontend.routes.len());
    let Some(mut client) = frontend.placement_client(dispatcher).await else {
        return Outcome::Retry;
    };
    let call = frontend.calls.fetch_add(1, Ordering::Relaxed);
    let placement_id = format!("{}#{}", task.name, *requests_sent);
    known_placement_id.clone_from(&placement_id);
    let first = *requests_sent == 0;
    *requests_sent += 1;
    frontend
        .context
        .capture
        .record(Observation::Requested(RequestedPlacement {
            call,
            placement_id: placement_id.clone(),
            task: task.name.clone(),
            service: task.service.clone(),
            service_class: task.service_class,
            dispatcher: dispatcher as u32,
            deadline_us: task.deadline.as_micros() as u64,
            first,
        }));
    let mut open_call = OpenCall {
        frontend,
        call,
        closed: false,
    };
    let started_at = Instant::now();
    let exchange = async {
        let Ok(events) = client
            .place(placement_request(task, placement_id, !first))
            .await
        else {
            return Outcome::Indeterminate;
        };
        let mut events = events.into_inner();
        // A little longer than the deadline; the client ignores a later answer.
        let timeout = task.deadline + Duration::from_millis(250);
        let answer = within(
            timeout.saturating_sub(started_at.elapsed()),
            receive_answer(frontend, call, &mut events),
        )
        .await;
        match answer {
            Some(Some(AllocationEvent::Placed)) => {
                follow(frontend, call, &mut events, known_placement_id).await
            }
            Some(Some(AllocationEvent::Rejected)) => Outcome::Retry,
            _ => Outcome::Indeterminate,
        }
    };
    let outcome = match task.cancel_after.filter(|_| first) {
        Some(after) => match within(after, exchange).await {
            Some(outcome) => outcome,
            None => {
                open_call.cancelled();
                Outcome::Done
            }
        },
        None => exchange.await,
    };
    open_call.closed = true;
    frontend.context.capture.record(Observation::Closed {
        call,
        broken: matches!(outcome, Outcome::Indeterminate),
    });
    outcome
}

/// A call in progress. If it is dropped before its end, the client no longer wants the allocation,
/// and the call is recorded as cancelled.
struct OpenCall<'a> {
    frontend: &'a Frontend,
    call: u64,
    closed: bool,
}

impl OpenCall<'_> {
    fn cancelled(&mut self) {
        if !std::mem::replace(&mut self.closed, true) {
            self.frontend
                .context
                .capture
                .record(Observation::Cancelled { call: self.call });
        }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.cancelled();
    }
}

/// Records an event that a client received, except service levels and replacements.
fn record_event(
    frontend: &Frontend,
    call: u64,
    placement_event: &Event,
) -> Option<AllocationEvent> {
    use corkspan_api::v1::ended::EndReason;
    let event = match placement_event {
        Event::Placed(_) => AllocationEvent::Placed,
        Event::Rejected(_) => AllocationEvent::Rejected,
        Event::Failed(_) => AllocationEvent::Failed,
        Event::Running(_) => AllocationEvent::Running,
        Event::ServiceLevel(_) | Event::Replaced(_) => AllocationEvent::ServiceLevel,
        Event::Ended(ended) => match ended.reason() {
            EndReason::Ended => AllocationEvent::Ended,
            EndReason::Evicted => AllocationEvent::Evicted,
            EndReason::PushedOut => AllocationEvent::Preempted,
            EndReason::SentAway => AllocationEvent::Drained,
            EndReason::Moved => AllocationEvent::Migrated,
            EndReason::HandedBack => AllocationEvent::HandedBack,
            EndReason::Lost | EndReason::Error => AllocationEvent::Lost,
        },
    };
    if event != AllocationEvent::ServiceLevel {
        frontend
            .context
            .capture
            .record(Observation::EventReceived { call, event });
    }
    Some(event)
}

/// Returns the final answer; none if the stream ends without one.
async fn receive_answer(
    frontend: &Frontend,
    call: u64,
    events: &mut Streaming<v1::PlacementEvent>,
) -> Option<AllocationEvent> {
    loop {
        let event = events.message().await.ok()??.event?;
        if let event @ (AllocationEvent::Placed
        | AllocationEvent::Rejected
        | AllocationEvent::Failed) = record_event(frontend, call, &event)?
        {
            return Some(event);
        }
    }
}

/// Follows the events of a placed task until its allocation or the stream ends.
async fn follow(
    frontend: &Frontend,
    call: u64,
    events: &mut Streaming<v1::PlacementEvent>,
    known_placement_id: &mut String,
) -> Outcome {
    while let Ok(Some(v1::PlacementEvent { event: Some(event) })) = events.message().await {
        if let Event::Replaced(replacement) = &event {
            known_placement_id.clone_from(&replacement.placement_id);
        }
        match record_event(frontend, call, &event) {
            Some(AllocationEvent::Ended) => return Outcome::Done,
            Some(
                AllocationEvent::Evicted
                | AllocationEvent::Preempted
                | AllocationEvent::Drained
                | AllocationEvent::Migrated,
            ) => {
                return Outcome::Retry;
            }
            Some(AllocationEvent::Lost | AllocationEvent::HandedBack) => {
                return Outcome::Indeterminate;
            }
            _ => {}
        }
    }
    Outcome::Indeterminate
}

/// Hands over a running allocation to a random dispatcher and follows its events.
async fn hand_over(
    frontend: &Arc<Frontend>,
    task: &Task,
    node: u32,
    placement_id: String,
    known_placement_id: &mut String,
    rng: &mut Pcg64Mcg,
) -> Outcome {
    let dispatcher = rng.random_range(0..frontend.routes.len());
    let Some(mut client) = frontend.placement_client(dispatcher).await else {
        return Outcome::Indeterminate;
    };
    let call = frontend.calls.fetch_add(1, Ordering::Relaxed);
    let observation = Observation::HandedOver {
        call,
        placement_id: placement_id.clone(),
        dispatcher: dispatcher as u32,
        task: task.name.clone(),
    };
    frontend.context.capture.record(observation);
    let mut open_call = OpenCall {
        frontend,
        call,
        closed: false,
    };
    let request = v1::HandOverRequest {
        request: Some(placement_request(task, placement_id, true)),
        node,
    };
    let outcome = match client.hand_over(request).await {
        Ok(events) => follow(frontend, call, &mut events.into_inner(), known_placement_id).await,
        Err(_) => Outcome::Indeterminate,
    };
    open_call.closed = true;
    outcome
}
