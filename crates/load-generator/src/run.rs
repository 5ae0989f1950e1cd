//! Sends a load over real connections and records the outcomes.

use crate::connections::Connections;
use crate::mix::Mix;
use crate::plan::Plan;
use crate::tally::{Outcome, Report, RequestRecord, Tally};
use async_io::Timer;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_rpc::{SharedExecutor, within};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time beyond a request's deadline for which its reply is awaited.
const REPLY_GRACE: Duration = Duration::from_secs(2);
/// The time beyond an allocation's expected duration for which its call is held open.
const RUN_GRACE: Duration = Duration::from_secs(60);
/// The time between two checks for the last replies.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The reason why a load was not sent.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// No dispatcher is given.
    #[error("no dispatcher is given")]
    NoDispatcher,
    /// The connection to a dispatcher failed.
    #[error("{dispatcher}: {source}")]
    Connect {
        /// The address of the dispatcher.
        dispatcher: SocketAddr,
        /// The reason of the failure.
        source: corkspan_rpc::ConnectError,
    },
}

/// The rule for when the next request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loop {
    /// At its intended time, independently of the replies.
    Open,
    /// This many clients each send the next request as soon as they have a reply, for the duration
    /// of the load. For comparison only: its figures omit the requests that were not sent while all
    /// clients waited for replies.
    Closed(usize),
}

/// A load to send.
#[derive(Clone, Debug)]
pub struct LoadRun {
    /// The requests and their send times.
    pub plan: Plan,
    /// The addresses of the dispatchers, which are used in round-robin order.
    pub dispatchers: Vec<SocketAddr>,
    /// The rule for when the next request is sent.
    pub mode: Loop,
    /// The start of the load, from which the plan's times are measured.
    pub began: Instant,
}

/// An allocation that a request placed.
struct Placed {
    /// The event stream, which ends when the allocation ends.
    replies: tonic::Streaming<v1::PlacementEvent>,
    lifetime: Duration,
}

impl Placed {
    /// Holds the call open, because ending it would cancel the allocation.
    async fn hold_open(mut self) {
        let rest = async { while let Ok(Some(_)) = self.replies.message().await {} };
        within(self.lifetime + RUN_GRACE, Box::pin(rest)).await;
    }
}

/// A run in progress.
struct RunContext {
    plan: Plan,
    connections: Connections,
    began: Instant,
    /// An id that distinguishes the task names of this run from those of other runs.
    run_id: u64,
    tally: Mutex<Tally>,
    /// A counter: it has one more reference than there are requests without a reply.
    in_flight: Arc<()>,
}

impl RunContext {
    fn tally(&self) -> MutexGuard<'_, Tally> {
        self.tally.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, number: usize, kind: usize, service: u32) -> v1::PlacementRequest {
        let kind = &self.plan.kinds[kind];
        let name = format!("load-{:x}-{number}", self.run_id);
        v1::PlacementRequest {
            placement_id: name.clone(),
            task: name,
            service: format!("{}-{service}", kind.service_class),
            service_class: kind.service_class.clone(),
            tenant: kind.tenant.clone(),
            cores: kind.cores,
            memory: kind.memory,
            expected_duration_ms: kind.lifetime_ms,
            deadline_ms: kind.abandon_ms,
            retry: false,
        }
    }

    /// Sends one request and records its outcome. Returns the allocation, if it was placed.
    async fn send_request(
        &self,
        number: usize,
        kind: usize,
        service: u32,
        intended: Duration,
    ) -> Option<Placed> {
        let request = self.request(number, kind, service);
        let lifetime = Duration::from_millis(request.expected_duration_ms);
        let timeout = Duration::from_millis(request.deadline_ms) + REPLY_GRACE;
        let sent = self.began.elapsed();
        let reply = async {
            let connection = self.connections.connection(number).await?;
            let mut client = PlacementClient::new(connection);
            let mut replies = client.place(request).await.ok()?.into_inner();
            let first = replies.message().await.ok()??.event?;
            Some((first, replies))
        };
        let reply = within(timeout, Box::pin(reply)).await.flatten();
        let answered = self.began.elapsed();
        let outcome = match &reply {
            Some((Event::Placed(_), _)) => Outcome::Placed,
            Some((Event::Rejected(_), _)) => Outcome::Rejected,
            Some((Event::Failed(_), _)) => Outcome::Failed,
            _ => Outcome::Unanswered,
        };
        self.tally().record(&RequestRecord {
            kind,
            intended,
            sent,
            answered,
            outcome,
        });
        reply
            .filter(|_| outcome == Outcome::Placed)
            .map(|(_, replies)| Placed { replies, lifetime })
    }

    /// Waits until every request has an outcome, or until the longest time that any request may
    /// take is over.
    async fn drain(&self) {
        let longest_ms = self.plan.kinds.iter().map(|kind| kind.abandon_ms).max();
        let longest = Duration::from_millis(longest_ms.unwrap_or(0)) + 2 * REPLY_GRACE;
        let latest = Instant::now() + longest;
        let started = self.tally().started();
        while self.tally().recorded() < started && Instant::now() < latest {
            Timer::after(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Sends a load and waits for its last reply. Calls `progress` each second with the time since the
/// start and the number of requests sent.
pub async fn run(
    tasks: &SharedExecutor,
    load: LoadRun,
    mut progress: impl FnMut(Duration, usize),
) -> Result<Report, RunError> {
    let plan = load.plan;
    let connections = Connections::open(tasks, &load.dispatchers, plan.connections).await?;
    let (names, duration) = (plan.names(), plan.shape.duration());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let context = Arc::new(RunContext {
        tally: Mutex::new(Tally::new(plan.kinds.len())),
        plan,
        connections,
        began: load.began,
        run_id: since_epoch.map_or(0, |since| since.as_micros() as u64),
        in_flight: Arc::new(()),
    });
    match load.mode {
        Loop::Open => open(tasks, &context, &mut progress).await,
        Loop::Closed(clients) => closed(tasks, &context, clients, duration).await,
    }
    // Allocations may run on after the last reply; they end when the connections are closed.
    context.drain().await;
    Ok(context.tally().report(&names, duration))
}

/// Sends each request at its intended time.
async fn open(
    tasks: &SharedExecutor,
    context: &Arc<RunContext>,
    progress: &mut impl FnMut(Duration, usize),
) {
    let mut mix = Mix::new(&context.plan.kinds, context.plan.seed);
    let mut reported_second = 0;
    for (number, intended) in context.plan.shape.arrivals(context.plan.seed).enumerate() {
        let (kind, service) = mix.draw();
        let due = context.began + intended;
        if due > Instant::now() {
            Timer::at(due).await;
        }
        if intended.as_secs() > reported_second {
            reported_second = intended.as_secs();
            progress(intended, number);
        }
        context.tally().start();
        if Arc::strong_count(&context.in_flight) > context.plan.max_in_flight {
            let at = context.began.elapsed();
            context.tally().record(&RequestRecord {
                kind,
                intended,
                sent: at,
                answered: at,
                outcome: Outcome::NotSent,
            });
            continue;
        }
        let (context, in_flight) = (Arc::clone(context), Arc::clone(&context.in_flight));
        let request = async move {
            let placed = context.send_request(number, kind, service, intended).await;
            drop((in_flight, context));
            if let Some(placed) = placed {
                placed.hold_open().await;
            }
        };
        tasks.spawn(request).detach();
    }
}

/// Runs this many clients, each of which sends one request after the other.
async fn closed(
    tasks: &SharedExecutor,
    context: &Arc<RunContext>,
    clients: usize,
    duration: Duration,
) {
    let clients: Vec<_> = (0..clients)
        .map(|client| {
            let client = closed_client(Arc::clone(tasks), Arc::clone(context), client, duration);
            tasks.spawn(client)
        })
        .collect();
    for client in clients {
        client.await;
    }
}

async fn closed_client(
    tasks: SharedExecutor,
    context: Arc<RunContext>,
    client: usize,
    duration: Duration,
) {
    let seed = context.plan.seed ^ (client as u64) << 32;
    let mut mix = Mix::new(&context.plan.kinds, seed);
    let mut number = client << 32;
    while context.began.elapsed() < duration {
        let (kind, service) = mix.draw();
        context.tally().start();
        // The intended time is the send time, which is why a closed loop hides the delay of
        // requests that were not sent (coordinated omission).
        let intended = context.began.elapsed();
        if let Some(placed) = context.send_request(number, kind, service, intended).await {
            tasks.spawn(placed.hold_open()).detach();
        }
        number += 1;
    }
}
