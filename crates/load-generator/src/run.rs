//! Sends a load over real links and counts what comes back.

use crate::mix::Mix;
use crate::plan::Plan;
use crate::tally::{Outcome, Report, RequestRecord, Tally};
use async_io::Timer;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_rpc::{Bounds, Link, Tasks, within};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An answer is waited for this much longer than its client would.
const ANSWER_GRACE: Duration = Duration::from_secs(2);

/// Why a load was not sent.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("no dispatcher is named")]
    NoDispatcher,
    #[error("{0}: {1}")]
    Connect(SocketAddr, corkspan_rpc::NoLink),
}

/// How asks follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loop {
    Open,
    /// So many clients, each of which asks again as soon as it has its answer, for as long as the
    /// load lasts. For comparison alone: its figures leave out whatever nobody was there to
    /// ask.
    Closed(usize),
}

struct DispatcherConnections {
    to: SocketAddr,
    pool: Vec<Mutex<Link>>,
}

/// Where asks leave: one dispatcher after the other, one link after the other.
struct Connections {
    tasks: Tasks,
    bounds: Bounds,
    all: Vec<DispatcherConnections>,
}

impl Connections {
    async fn open(tasks: &Tasks, to: &[SocketAddr], links: usize) -> Result<Self, RunError> {
        let bounds = Bounds {
            connect_within: Duration::from_secs(5),
            ..Bounds::default()
        };
        let mut all = Vec::new();
        for &to in to {
            let mut own = Vec::new();
            for _ in 0..links {
                let link = Link::open(tasks, to, &bounds)
                    .await
                    .map_err(|why| RunError::Connect(to, why))?;
                own.push(Mutex::new(link));
            }
            all.push(DispatcherConnections { to, pool: own });
        }
        match all.is_empty() {
            true => Err(RunError::NoDispatcher),
            false => Ok(Connections {
                tasks: Arc::clone(tasks),
                bounds,
                all,
            }),
        }
    }

    /// The link of this ask; one that broke is opened anew, once.
    async fn link(&self, number: usize) -> Option<Link> {
        let dispatcher = &self.all[number % self.all.len()];
        let place = &dispatcher.pool[number / self.all.len() % dispatcher.pool.len()];
        let link = place.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if link.stands() {
            return Some(link);
        }
        let fresh = Link::open(&self.tasks, dispatcher.to, &self.bounds)
            .await
            .ok()?;
        *place.lock().unwrap_or_else(PoisonError::into_inner) = fresh.clone();
        Some(fresh)
    }
}

struct RunContext {
    plan: Plan,
    connections: Connections,
    began: Instant,
    /// Names of this run's asks are no other run's.
    run: u64,
    tally: Mutex<Tally>,
    in_flight: Arc<()>,
}

impl RunContext {
    fn record(&self, request: &RequestRecord) {
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record(request);
    }

    /// One ask up to its answer; what was placed lives on for as long as its words are listened to.
    async fn send_request(
        &self,
        number: usize,
        kind: usize,
        service: u32,
        intended: Duration,
    ) -> Option<(tonic::Streaming<v1::PlacementEvent>, Duration)> {
        let own = &self.plan.kinds[kind];
        let name = format!("load-{:x}-{number}", self.run);
        let ask = v1::PlacementRequest {
            placement_id: name.clone(),
            task: name,
            service: format!("{}-{service}", own.service_class),
            service_class: own.service_class.clone(),
            tenant: own.tenant.clone(),
            cores: own.cores,
            memory: own.memory,
            expected_duration_ms: own.lifetime_ms,
            deadline_ms: own.abandon_ms,
            retry: false,
        };
        let sent = self.began.elapsed();
        let answer = async {
            let link = self.connections.link(number).await?;
            let mut words = PlacementClient::new(link)
                .place(ask)
                .await
                .ok()?
                .into_inner();
            let first = words.message().await.ok()??.event?;
            Some((first, words))
        };
        let latest = Duration::from_millis(own.abandon_ms) + ANSWER_GRACE;
        let answer = within(latest, Box::pin(answer)).await.flatten();
        let answered = self.began.elapsed();
        let outcome = match &answer {
            Some((Event::Placed(_), _)) => Outcome::Placed,
            Some((Event::Rejected(_), _)) => Outcome::Rejected,
            Some((Event::Failed(_), _)) => Outcome::Failed,
            _ => Outcome::Unanswered,
        };
        self.record(&RequestRecord {
            kind,
            intended,
            sent,
            answered,
            outcome,
        });
        let life = Duration::from_millis(own.lifetime_ms);
        answer
            .filter(|_| outcome == Outcome::Placed)
            .map(|(_, words)| (words, life))
    }
}

/// To end the call would be to say that the allocation is not wanted.
async fn hold_open(mut words: tonic::Streaming<v1::PlacementEvent>, life: Duration) {
    let rest = async { while let Ok(Some(_)) = words.message().await {} };
    within(life + Duration::from_secs(60), Box::pin(rest)).await;
}

/// Sends a load, its times counted from `began` on, and waits for its last answer. `tell` is called
/// each second with how far it is.
pub async fn run(
    tasks: &Tasks,
    plan: Plan,
    to: &[SocketAddr],
    model: Loop,
    began: Instant,
    mut progress: impl FnMut(Duration, usize),
) -> Result<Report, RunError> {
    let connections = Connections::open(tasks, to, plan.connections).await?;
    let (names, duration) = (plan.names(), plan.shape.duration());
    let run = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let run = run.map_or(0, |since| since.as_micros() as u64);
    let tally = Mutex::new(Tally::new(plan.kinds.len()));
    let context = Arc::new(RunContext {
        plan,
        connections,
        began,
        run,
        tally,
        in_flight: Arc::new(()),
    });
    match model {
        Loop::Open => open(tasks, &context, &mut progress).await,
        Loop::Closed(clients) => closed(tasks, &context, clients, duration).await,
    }
    // Lives go on after the last answer: they are let go with the links.
    let latest = context
        .plan
        .kinds
        .iter()
        .map(|kind| kind.abandon_ms)
        .max()
        .unwrap_or(0);
    let latest = Instant::now() + Duration::from_millis(latest) + 2 * ANSWER_GRACE;
    let all = || {
        let tally = context.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.recorded()
    };
    let sent = context
        .tally
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .started();
    while all() < sent && Instant::now() < latest {
        Timer::after(Duration::from_millis(10)).await;
    }
    let tally = context.tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(tally.report(&names, duration))
}

async fn open(
    tasks: &Tasks,
    context: &Arc<RunContext>,
    progress: &mut impl FnMut(Duration, usize),
) {
    let mut mix = Mix::new(&context.plan.kinds, context.plan.seed);
    let mut reported = 0;
    for (number, intended) in context.plan.shape.arrivals(context.plan.seed).enumerate() {
        let (kind, service) = mix.draw();
        let due = context.began + intended;
        if due > Instant::now() {
            Timer::at(due).await;
        }
        if intended.as_secs() > reported {
            reported = intended.as_secs();
            progress(intended, number);
        }
        context
            .tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .start();
        if Arc::strong_count(&context.in_flight) > context.plan.max_in_flight {
            let at = context.began.elapsed();
            context.record(&RequestRecord {
                kind,
                intended,
                sent: at,
                answered: at,
                outcome: Outcome::NotSent,
            });
            continue;
        }
        let (context, in_flight) = (Arc::clone(context), Arc::clone(&context.in_flight));
        let ask = async move {
            let placed = context.send_request(number, kind, service, intended).await;
            drop((in_flight, context));
            if let Some((words, life)) = placed {
                hold_open(words, life).await;
            }
        };
        tasks.spawn(ask).detach();
    }
}

async fn closed(tasks: &Tasks, context: &Arc<RunContext>, clients: usize, duration: Duration) {
    let clients: Vec<_> = (0..clients)
        .map(|client| {
            let (context, own) = (Arc::clone(context), Arc::clone(tasks));
            tasks.spawn(async move {
                let seed = context.plan.seed ^ (client as u64) << 32;
                let kinds = context.plan.kinds.clone();
                let mut mix = Mix::new(&kinds, seed);
                let mut number = client << 32;
                while context.began.elapsed() < duration {
                    let (kind, service) = mix.draw();
                    context
                        .tally
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .start();
                    // Meant to go out when it does: that is what is wrong with it.
                    let intended = context.began.elapsed();
                    if let Some((words, life)) =
                        context.send_request(number, kind, service, intended).await
                    {
                        own.spawn(hold_open(words, life)).detach();
                    }
                    number += 1;
                }
            })
        })
        .collect();
    for client in clients {
        client.await;
    }
}
