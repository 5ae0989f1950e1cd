//! Owners' stand-ins: they ask, wait, ask again, hand over what runs, and give up, as owners do.

use crate::capture::{Asked, Repeat, Seen, Word};
use crate::node::{Node, World};
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
pub struct Front {
    pub world: Arc<World>,
    pub nodes: Vec<Arc<Node>>,
    doors: Vec<Mutex<Door>>,
    calls: AtomicU64,
}

#[derive(Default)]
struct Door {
    address: Option<SocketAddr>,
    link: Option<Connection>,
}

impl Front {
    pub fn new(world: &Arc<World>, nodes: &[Arc<Node>], dispatchers: usize) -> Arc<Self> {
        Arc::new(Front {
            world: Arc::clone(world),
            nodes: nodes.to_vec(),
            doors: (0..dispatchers).map(|_| Mutex::default()).collect(),
            calls: AtomicU64::new(0),
        })
    }

    pub fn open(&self, dispatcher: usize, address: Option<SocketAddr>) {
        *self.doors[dispatcher].lock().expect("unshared") = Door {
            address,
            link: None,
        };
    }

    pub async fn client(&self, dispatcher: usize) -> Option<PlacementClient<Connection>> {
        self.link(dispatcher).await.map(PlacementClient::new)
    }

    pub async fn versions(&self, dispatcher: usize) -> Option<VersionsClient<Connection>> {
        self.link(dispatcher).await.map(VersionsClient::new)
    }

    pub fn address(&self, dispatcher: usize) -> Option<SocketAddr> {
        self.doors[dispatcher].lock().expect("unshared").address
    }

    pub async fn rolls(&self, dispatcher: usize) -> Option<RollsClient<Connection>> {
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
                let link = Connection::open(&self.world.tasks, address, &bounds)
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
                .map(|placing| (node.config.id, placing))
        });
        let copies: Vec<(u32, String)> = copies.collect();
        copies
            .iter()
            .find(|(_, placing)| placing == known)
            .or(copies.first())
            .cloned()
    }
}

/// One task that is to run somewhere.
#[derive(Clone, Debug)]
pub struct Task {
    pub name: String,
    pub service: String,
    pub track: usize,
    pub track_name: String,
    pub repeat: Repeat,
    pub cores: f64,
    pub memory: f64,
    pub life: Duration,
    pub abandon: Duration,
    /// It asks so many times at the most.
    pub patience: u32,
    /// The owner changes its mind so long after it first asked.
    pub cancels: Option<Duration>,
}

enum Came {
    Done,
    /// Sent away, or refused: another try is harmless.
    AskAgain,
    /// It may run somewhere, or may not.
    InDoubt,
}

/// Lives one task from its first ask to its end, asking no more after `until`.
pub async fn live(front: Arc<Front>, task: Task, mut rng: Pcg64Mcg, until: Instant) {
    let mut asks = 0;
    let settle = |task: &Task| match task.repeat {
        Repeat::Idempotent => Duration::from_millis(300),
        _ => Duration::from_secs(3),
    };
    // The placing that it was told of last.
    let mut known = String::new();
    let mut came = ask(&front, &task, &mut asks, &mut known, &mut rng).await;
    loop {
        came = match came {
            Came::Done => return,
            Came::AskAgain => {
                let wait = rng.random_range(1100..2800);
                Timer::after(Duration::from_millis(wait)).await;
                if Instant::now() >= until || asks >= task.patience || task.cancels.is_some() {
                    return;
                }
                ask(&front, &task, &mut asks, &mut known, &mut rng).await
            }
            Came::InDoubt => {
                Timer::after(settle(&task)).await;
                match front.runs_at(&task.name, &known) {
                    Some((node, placing)) => {
                        known.clone_from(&placing);
                        hand_over(&front, &task, node, placing, &mut known, &mut rng).await
                    }
                    None => Came::AskAgain,
                }
            }
        }
    }
}

fn message(task: &Task, placing: String, again: bool) -> v1::PlacementRequest {
    v1::PlacementRequest {
        placement_id: placing,
        task: task.name.clone(),
        service: task.service.clone(),
        service_class: task.track_name.clone(),
        tenant: String::new(),
        cores: task.cores,
        memory: task.memory,
        expected_duration_ms: task.life.as_millis() as u64,
        deadline_ms: task.abandon.as_millis() as u64,
        retry: again,
    }
}

async fn ask(
    front: &Arc<Front>,
    task: &Task,
    asks: &mut u32,
    known: &mut String,
    rng: &mut Pcg64Mcg,
) -> Came {
    let dispatcher = rng.random_range(0..front.doors.len());
    let Some(mut client) = front.client(dispatcher).await else {
        return Came::AskAgain;
    };
    let call = front.calls.fetch_add(1, Ordering::Relaxed);
    let placing = format!("{}#{}", task.name, *asks);
    known.clone_from(&placing);
    let first = *asks == 0;
    *asks += 1;
    front.world.capture.see(Seen::Asked(Asked {
        call,
        placing: placing.clone(),
        task: task.name.clone(),
        service: task.service.clone(),
        track: task.track,
        dispatcher: dispatcher as u32,
        abandon_us: task.abandon.as_micros() as u64,
        first,
    }));
    let mut open = Open {
        front,
        call,
        closed: false,
    };
    let began = Instant::now();
    let talk = async {
        let Ok(words) = client.place(message(task, placing, !first)).await else {
            return Came::InDoubt;
        };
        let mut words = words.into_inner();
        // A little more than its time: what comes later is none of its business.
        let patience = task.abandon + Duration::from_millis(250);
        let answer = within(
            patience.saturating_sub(began.elapsed()),
            answer(front, call, &mut words),
        )
        .await;
        match answer {
            Some(Some(Word::Placed)) => follow(front, call, &mut words, known).await,
            Some(Some(Word::Refused)) => Came::AskAgain,
            _ => Came::InDoubt,
        }
    };
    let came = match task.cancels.filter(|_| first) {
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
    front.world.capture.see(Seen::Closed {
        call,
        broken: matches!(came, Came::InDoubt),
    });
    came
}

/// A call under way: where its owner is gone before its end, it wants the allocation no longer.
struct Open<'a> {
    front: &'a Front,
    call: u64,
    closed: bool,
}

impl Open<'_> {
    fn cancelled(&mut self) {
        if !std::mem::replace(&mut self.closed, true) {
            self.front
                .world
                .capture
                .see(Seen::Cancelled { call: self.call });
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.cancelled();
    }
}

fn hear(front: &Front, call: u64, said: &Said) -> Option<Word> {
    use corkspan_api::v1::ended::EndReason;
    let word = match said {
        Said::Placed(_) => Word::Placed,
        Said::Rejected(_) => Word::Refused,
        Said::Failed(_) => Word::Failed,
        Said::Running(_) => Word::Running,
        Said::ServiceLevel(_) | Said::Replaced(_) => Word::Served,
        Said::Ended(ended) => match ended.reason() {
            EndReason::Ended => Word::Ended,
            EndReason::Evicted => Word::Evicted,
            EndReason::PushedOut => Word::PushedOut,
            EndReason::SentAway => Word::SentAway,
            EndReason::Moved => Word::Moved,
            EndReason::HandedBack => Word::HandedBack,
            EndReason::Lost | EndReason::Error => Word::Lost,
        },
    };
    if word != Word::Served {
        front.world.capture.see(Seen::Heard { call, word });
    }
    Some(word)
}

/// The final answer; none where the stream ends without.
async fn answer(
    front: &Front,
    call: u64,
    words: &mut Streaming<v1::PlacementEvent>,
) -> Option<Word> {
    loop {
        let said = words.message().await.ok()??.event?;
        if let word @ (Word::Placed | Word::Refused | Word::Failed) = hear(front, call, &said)? {
            return Some(word);
        }
    }
}

async fn follow(
    front: &Front,
    call: u64,
    words: &mut Streaming<v1::PlacementEvent>,
    known: &mut String,
) -> Came {
    while let Ok(Some(v1::PlacementEvent { event: Some(said) })) = words.message().await {
        if let Said::Replaced(by) = &said {
            known.clone_from(&by.placement_id);
        }
        match hear(front, call, &said) {
            Some(Word::Ended) => return Came::Done,
            Some(Word::Evicted | Word::PushedOut | Word::SentAway | Word::Moved) => {
                return Came::AskAgain;
            }
            Some(Word::Lost | Word::HandedBack) => return Came::InDoubt,
            _ => {}
        }
    }
    Came::InDoubt
}

async fn hand_over(
    front: &Arc<Front>,
    task: &Task,
    node: u32,
    placing: String,
    known: &mut String,
    rng: &mut Pcg64Mcg,
) -> Came {
    let dispatcher = rng.random_range(0..front.doors.len());
    let Some(mut client) = front.client(dispatcher).await else {
        return Came::InDoubt;
    };
    let call = front.calls.fetch_add(1, Ordering::Relaxed);
    let seen = Seen::HandedOver {
        call,
        placing: placing.clone(),
        dispatcher: dispatcher as u32,
        task: task.name.clone(),
    };
    front.world.capture.see(seen);
    let mut open = Open {
        front,
        call,
        closed: false,
    };
    let running = v1::HandOverRequest {
        request: Some(message(task, placing, true)),
        node,
    };
    let came = match client.hand_over(running).await {
        Ok(words) => follow(front, call, &mut words.into_inner(), known).await,
        Err(_) => Came::InDoubt,
    };
    open.closed = true;
    came
}
