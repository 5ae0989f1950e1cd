//! Owners' stand-ins: they ask, wait, ask again, hand over what runs, and give up, as owners do.

use crate::capture::{AllocationEvent, Observation, RequestedPlacement, RetrySafety};
use crate::node::{Node, SharedContext};
use async_io::Timer;
use corkspan_api::v1::{
    self, placement_client::PlacementClient, placement_event::Event as Said,
    rolls_client::RollsClient, versions_client::VersionsClient,
};
use corkspan_rpc::{Connection, ConnectionLimits, within};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tonic::Streaming;

/// The way to the dispatchers, as a plain front layer has it: where each listens now, and one link
/// to each.
pub struct Frontend {
    pub context: Arc<SharedContext>,
    pub nodes: Vec<Arc<Node>>,
    doors: Vec<Mutex<Door>>,
    calls: AtomicU64,
}

#[derive(Default)]
struct Door {
    address: Option<SocketAddr>,
    link: Option<Connection>,
}

impl Frontend {
    pub fn new(context: &Arc<SharedContext>, nodes: &[Arc<Node>], dispatchers: usize) -> Arc<Self> {
        Arc::new(Frontend {
            context: Arc::clone(context),
            nodes: nodes.to_vec(),
            doors: (0..dispatchers).map(|_| Mutex::default()).collect(),
            calls: AtomicU64::new(0),
        })
    }

    pub fn set_address(&self, dispatcher: usize, address: Option<SocketAddr>) {
        *self.doors[dispatcher].lock().expect("unshared") = Door {
            address,
            link: None,
        };
    }

    pub async fn placement_client(&self, dispatcher: usize) -> Option<PlacementClient<Connection>> {
        self.link(dispatcher).await.map(PlacementClient::new)
    }

    pub async fn versions_client(&self, dispatcher: usize) -> Option<VersionsClient<Connection>> {
        self.link(dispatcher).await.map(VersionsClient::new)
    }

    pub fn address(&self, dispatcher: usize) -> Option<SocketAddr> {
        self.doors[dispatcher].lock().expect("unshared").address
    }

    pub async fn rollouts_client(&self, dispatcher: usize) -> Option<RollsClient<Connection>> {
        self.link(dispatcher).await.map(RollsClient::new)
    }

    async fn link(&self, dispatcher: usize) -> Option<Connection> {
        let (address, link) = {
            let door = self.doors[dispatcher].lock().expect("unshared");
            (door.address, door.link.clone().filter(Connection::is_open))
        };
        let link = match (link, address) {
            (Some(link), _) => link,
            (None, Some(address)) => {
                let bounds = ConnectionLimits {
                    connect_timeout: Duration::from_secs(1),
                    ..ConnectionLimits::default()
                };
                let link = Connection::open(&self.context.tasks, address, &bounds)
                    .await
                    .ok()?;
                let mut door = self.doors[dispatcher].lock().expect("unshared");
                if door.address == Some(address) {
                    door.link = Some(link.clone());
                }
                link
            }
            (None, None) => return None,
        };
        Some(link)
    }

    /// Where a task runs, and by which placing: the truth, as the owner's own runtime would know
    /// it. The one that it was told of last goes before any other.
    fn runs_at(&self, task: &str, known: &str) -> Option<(u32, String)> {
        let copies = self.nodes.iter().flat_map(|node| {
            node.allocations_of(task)
                .into_iter()
                .map(|placement_id| (node.config.id, placement_id))
        });
        let copies: Vec<(u32, String)> = copies.collect();
        copies
            .iter()
            .find(|(_, placement_id)| placement_id == known)
            .or(copies.first())
            .cloned()
    }
}

/// One task that is to run somewhere.
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
    /// It asks so many times at the most.
    pub max_requests: u32,
    /// The owner changes its mind so long after it first asked.
    pub cancel_after: Option<Duration>,
}

enum Came {
    Done,
    /// Sent away, or refused: another try is harmless.
    AskAgain,
    /// It may run somewhere, or may not.
    InDoubt,
}

/// Lives one task from its first ask to its end, asking no more after `until`.
pub async fn run_task(frontend: Arc<Frontend>, task: Task, mut rng: Pcg64Mcg, until: Instant) {
    let mut asks = 0;
    let settle = |task: &Task| match task.retry_safety {
        RetrySafety::Idempotent => Duration::from_millis(300),
        _ => Duration::from_secs(3),
    };
    // The placing that it was told of last.
    let mut known = String::new();
    let mut came = ask(&frontend, &task, &mut asks, &mut known, &mut rng).await;
    loop {
        came = match came {
            Came::Done => return,
            Came::AskAgain => {
                let wait = rng.random_range(1100..2800);
                Timer::after(Duration::from_millis(wait)).await;
                if Instant::now() >= until
                    || asks >= task.max_requests
                    || task.cancel_after.is_some()
                {
                    return;
                }
                ask(&frontend, &task, &mut asks, &mut known, &mut rng).await
            }
            Came::InDoubt => {
                Timer::after(settle(&task)).await;
                match frontend.runs_at(&task.name, &known) {
                    Some((node, placement_id)) => {
                        known.clone_from(&placement_id);
                        hand_over(&frontend, &task, node, placement_id, &mut known, &mut rng).await
                    }
                    None => Came::AskAgain,
                }
            }
        }
    }
}

fn message(task: &Task, placement_id: String, again: bool) -> v1::PlacementRequest {
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
        retry: again,
    }
}

async fn ask(
    frontend: &Arc<Frontend>,
    task: &Task,
    asks: &mut u32,
    known: &mut String,
    rng: &mut Pcg64Mcg,
) -> Came {
    let dispatcher = rng.random_range(0..frontend.doors.len());
    let Some(mut client) = frontend.placement_client(dispatcher).await else {
        return Came::AskAgain;
    };
    let call = frontend.calls.fetch_add(1, Ordering::Relaxed);
    let placement_id = format!("{}#{}", task.name, *asks);
    known.clone_from(&placement_id);
    let first = *asks == 0;
    *asks += 1;
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
    let mut open = Open {
        frontend,
        call,
        closed: false,
    };
    let began = Instant::now();
    let talk = async {
        let Ok(words) = client.place(message(task, placement_id, !first)).await else {
            return Came::InDoubt;
        };
        let mut words = words.into_inner();
        // A little more than its time: what comes later is none of its business.
        let patience = task.deadline + Duration::from_millis(250);
        let answer = within(
            patience.saturating_sub(began.elapsed()),
            answer(frontend, call, &mut words),
        )
        .await;
        match answer {
            Some(Some(AllocationEvent::Placed)) => follow(frontend, call, &mut words, known).await,
            Some(Some(AllocationEvent::Rejected)) => Came::AskAgain,
            _ => Came::InDoubt,
        }
    };
    let came = match task.cancel_after.filter(|_| first) {
        Some(after) => match within(after, talk).await {
            Some(came) => came,
            None => {
                open.cancelled();
                Came::Done
            }
        },
        None => talk.await,
    };
    open.closed = true;
    frontend.context.capture.record(Observation::Closed {
        call,
        broken: matches!(came, Came::InDoubt),
    });
    came
}

/// A call under way: where its owner is gone before its end, it wants the allocation no longer.
struct Open<'a> {
    frontend: &'a Frontend,
    call: u64,
    closed: bool,
}

impl Open<'_> {
    fn cancelled(&mut self) {
        if !std::mem::replace(&mut self.closed, true) {
            self.frontend
                .context
                .capture
                .record(Observation::Cancelled { call: self.call });
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.cancelled();
    }
}

fn hear(frontend: &Frontend, call: u64, said: &Said) -> Option<AllocationEvent> {
    use corkspan_api::v1::ended::EndReason;
    let event = match said {
        Said::Placed(_) => AllocationEvent::Placed,
        Said::Rejected(_) => AllocationEvent::Rejected,
        Said::Failed(_) => AllocationEvent::Failed,
        Said::Running(_) => AllocationEvent::Running,
        Said::ServiceLevel(_) | Said::Replaced(_) => AllocationEvent::ServiceLevel,
        Said::Ended(ended) => match ended.reason() {
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

/// The final answer; none where the stream ends without.
async fn answer(
    frontend: &Frontend,
    call: u64,
    words: &mut Streaming<v1::PlacementEvent>,
) -> Option<AllocationEvent> {
    loop {
        let said = words.message().await.ok()??.event?;
        if let event @ (AllocationEvent::Placed
        | AllocationEvent::Rejected
        | AllocationEvent::Failed) = hear(frontend, call, &said)?
        {
            return Some(event);
        }
    }
}

async fn follow(
    frontend: &Frontend,
    call: u64,
    words: &mut Streaming<v1::PlacementEvent>,
    known: &mut String,
) -> Came {
    while let Ok(Some(v1::PlacementEvent { event: Some(said) })) = words.message().await {
        if let Said::Replaced(by) = &said {
            known.clone_from(&by.placement_id);
        }
        match hear(frontend, call, &said) {
            Some(AllocationEvent::Ended) => return Came::Done,
            Some(
                AllocationEvent::Evicted
                | AllocationEvent::Preempted
                | AllocationEvent::Drained
                | AllocationEvent::Migrated,
            ) => {
                return Came::AskAgain;
            }
            Some(AllocationEvent::Lost | AllocationEvent::HandedBack) => return Came::InDoubt,
            _ => {}
        }
    }
    Came::InDoubt
}

async fn hand_over(
    frontend: &Arc<Frontend>,
    task: &Task,
    node: u32,
    placement_id: String,
    known: &mut String,
    rng: &mut Pcg64Mcg,
) -> Came {
    let dispatcher = rng.random_range(0..frontend.doors.len());
    let Some(mut client) = frontend.placement_client(dispatcher).await else {
        return Came::InDoubt;
    };
    let call = frontend.calls.fetch_add(1, Ordering::Relaxed);
    let observation = Observation::HandedOver {
        call,
        placement_id: placement_id.clone(),
        dispatcher: dispatcher as u32,
        task: task.name.clone(),
    };
    frontend.context.capture.record(observation);
    let mut open = Open {
        frontend,
        call,
        closed: false,
    };
    let running = v1::HandOverRequest {
        request: Some(message(task, placement_id, true)),
        node,
    };
    let came = match client.hand_over(running).await {
        Ok(words) => follow(frontend, call, &mut words.into_inner(), known).await,
        Err(_) => Came::InDoubt,
    };
    open.closed = true;
    came
}
