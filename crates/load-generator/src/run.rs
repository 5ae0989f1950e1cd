//! Sends a load over real links and counts what comes back.

use crate::mix::Mix;
use crate::plan::Plan;
use crate::tally::{Fate, Report, Shot, Tally};
use async_io::Timer;
use corkspan_api::v1::{self, placement_client::PlacementClient, word::Word};
use corkspan_rpc::{Bounds, Link, Tasks, within};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An answer is waited for this much longer than its owner would.
const LATE: Duration = Duration::from_secs(2);

/// Why a load was not sent.
#[derive(Debug, thiserror::Error)]
pub enum NotRun {
    #[error("no dispatcher is named")]
    NoDispatcher,
    #[error("{0}: {1}")]
    NoLink(SocketAddr, corkspan_rpc::NoLink),
}

/// How asks follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loop {
    Open,
    /// So many owners, each of which asks again as soon as it has its answer, for as long as the
    /// load lasts. For comparison alone: its figures leave out whatever nobody was there to
    /// ask.
    Closed(usize),
}

struct Way {
    to: SocketAddr,
    links: Vec<Mutex<Link>>,
}

/// Where asks leave: one dispatcher after the other, one link after the other.
struct Ways {
    tasks: Tasks,
    bounds: Bounds,
    all: Vec<Way>,
}

impl Ways {
    async fn open(tasks: &Tasks, to: &[SocketAddr], links: usize) -> Result<Self, NotRun> {
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
                    .map_err(|why| NotRun::NoLink(to, why))?;
                own.push(Mutex::new(link));
            }
            all.push(Way { to, links: own });
        }
        match all.is_empty() {
            true => Err(NotRun::NoDispatcher),
            false => Ok(Ways {
                tasks: Arc::clone(tasks),
                bounds,
                all,
            }),
        }
    }

    /// The link of this ask; one that broke is opened anew, once.
    async fn link(&self, number: usize) -> Option<Link> {
        let way = &self.all[number % self.all.len()];
        let place = &way.links[number / self.all.len() % way.links.len()];
        let link = place.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if link.stands() {
            return Some(link);
        }
        let fresh = Link::open(&self.tasks, way.to, &self.bounds).await.ok()?;
        *place.lock().unwrap_or_else(PoisonError::into_inner) = fresh.clone();
        Some(fresh)
    }
}

struct Books {
    plan: Plan,
    ways: Ways,
    began: Instant,
    /// Names of this run's asks are no other run's.
    run: u64,
    tally: Mutex<Tally>,
    under_way: Arc<()>,
}

impl Books {
    fn count(&self, shot: &Shot) {
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .count(shot);
    }

    /// One ask up to its answer; what was placed lives on for as long as its words are listened to.
    async fn ask(
        &self,
        number: usize,
        kind: usize,
        service: u32,
        intended: Duration,
    ) -> Option<(tonic::Streaming<v1::Word>, Duration)> {
        let own = &self.plan.kinds[kind];
        let name = format!("load-{:x}-{number}", self.run);
        let ask = v1::Ask {
            placing: name.clone(),
            task: name,
            service: format!("{}-{service}", own.track),
            track: own.track.clone(),
            account: own.account.clone(),
            cores: own.cores,
            memory: own.memory,
            life_ms: own.life_ms,
            abandon_ms: own.abandon_ms,
            again: false,
        };
        let sent = self.began.elapsed();
        let answer = async {
            let link = self.ways.link(number).await?;
            let mut words = PlacementClient::new(link)
                .place(ask)
                .await
                .ok()?
                .into_inner();
            let first = words.message().await.ok()??.word?;
            Some((first, words))
        };
        let latest = Duration::from_millis(own.abandon_ms) + LATE;
        let answer = within(latest, Box::pin(answer)).await.flatten();
        let answered = self.began.elapsed();
        let fate = match &answer {
            Some((Word::Placed(_), _)) => Fate::Placed,
            Some((Word::Refused(_), _)) => Fate::Refused,
            Some((Word::Failed(_), _)) => Fate::Failed,
            _ => Fate::Unanswered,
        };
        self.count(&Shot {
            kind,
            intended,
            sent,
            answered,
            fate,
        });
        let life = Duration::from_millis(own.life_ms);
        answer
            .filter(|_| fate == Fate::Placed)
            .map(|(_, words)| (words, life))
    }
}

/// To end the call would be to say that the allocation is not wanted.
async fn live(mut words: tonic::Streaming<v1::Word>, life: Duration) {
    let rest = async { while let Ok(Some(_)) = words.message().await {} };
    within(life + Duration::from_secs(60), Box::pin(rest)).await;
}

/// Sends a load, its times counted from `began` on, and waits for its last answer. `tell` is called
/// each second with how far it is.
pub async fn run(
    tasks: &Tasks,
    plan: Plan,
    to: &[SocketAddr],
    how: Loop,
    began: Instant,
    mut tell: impl FnMut(Duration, usize),
) -> Result<Report, NotRun> {
    let ways = Ways::open(tasks, to, plan.links).await?;
    let (names, lasts) = (plan.names(), plan.shape.lasts());
    let run = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let run = run.map_or(0, |since| since.as_micros() as u64);
    let tally = Mutex::new(Tally::new(plan.kinds.len()));
    let books = Arc::new(Books {
        plan,
        ways,
        began,
        run,
        tally,
        under_way: Arc::new(()),
    });
    match how {
        Loop::Open => open(tasks, &books, &mut tell).await,
        Loop::Closed(owners) => closed(tasks, &books, owners, lasts).await,
    }
    // Lives go on after the last answer: they are let go with the links.
    let latest = books
        .plan
        .kinds
        .iter()
        .map(|kind| kind.abandon_ms)
        .max()
        .unwrap_or(0);
    let latest = Instant::now() + Duration::from_millis(latest) + 2 * LATE;
    let all = || {
        let tally = books.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.counted()
    };
    let sent = books
        .tally
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .begun();
    while all() < sent && Instant::now() < latest {
        Timer::after(Duration::from_millis(10)).await;
    }
    let tally = books.tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(tally.report(&names, lasts))
}

async fn open(tasks: &Tasks, books: &Arc<Books>, tell: &mut impl FnMut(Duration, usize)) {
    let mut mix = Mix::new(&books.plan.kinds, books.plan.seed);
    let mut told = 0;
    for (number, intended) in books.plan.shape.arrivals(books.plan.seed).enumerate() {
        let (kind, service) = mix.draw();
        let due = books.began + intended;
        if due > Instant::now() {
            Timer::at(due).await;
        }
        if intended.as_secs() > told {
            told = intended.as_secs();
            tell(intended, number);
        }
        books
            .tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .begin();
        if Arc::strong_count(&books.under_way) > books.plan.under_way {
            let at = books.began.elapsed();
            books.count(&Shot {
                kind,
                intended,
                sent: at,
                answered: at,
                fate: Fate::NotSent,
            });
            continue;
        }
        let (books, under_way) = (Arc::clone(books), Arc::clone(&books.under_way));
        let ask = async move {
            let placed = books.ask(number, kind, service, intended).await;
            drop((under_way, books));
            if let Some((words, life)) = placed {
                live(words, life).await;
            }
        };
        tasks.spawn(ask).detach();
    }
}

async fn closed(tasks: &Tasks, books: &Arc<Books>, owners: usize, lasts: Duration) {
    let owners: Vec<_> = (0..owners)
        .map(|owner| {
            let (books, own) = (Arc::clone(books), Arc::clone(tasks));
            tasks.spawn(async move {
                let seed = books.plan.seed ^ (owner as u64) << 32;
                let kinds = books.plan.kinds.clone();
                let mut mix = Mix::new(&kinds, seed);
                let mut number = owner << 32;
                while books.began.elapsed() < lasts {
                    let (kind, service) = mix.draw();
                    books
                        .tally
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .begin();
                    // Meant to go out when it does: that is what is wrong with it.
                    let intended = books.began.elapsed();
                    if let Some((words, life)) = books.ask(number, kind, service, intended).await {
                        own.spawn(live(words, life)).detach();
                    }
                    number += 1;
                }
            })
        })
        .collect();
    for owner in owners {
        owner.await;
    }
}
