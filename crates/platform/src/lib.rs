//! A dispatcher on the platform's protocol: owners set tasks up over binary messages, the decisions
//! of [`corkspan_scheduler::rules`] say where to, nodes get them as JSON lines, and the control feed tells
//! which nodes there are. docs/platform.md says how and why.

mod connections;
mod core;
mod effects;
mod feed;
mod front;
mod handle;
mod ids;
mod input;
mod links;
mod nodes;
mod outbox;
mod places;
mod shutdown;

use crate::core::Start;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_platform_wire::node_config::{NodeConfig, NodeConfigError};
use corkspan_runtime::clock::Clock;
use corkspan_runtime::{Signal, Tasks, signals};
use effects::{Calls, TaskEffects};
use futures_lite::{FutureExt, Stream, StreamExt, future};
use handle::Desk;
use places::Places;
use shutdown::{Ends, SPARE};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Why a dispatcher did not start, or ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error("can't read {path}: {why}")]
    File { path: PathBuf, why: std::io::Error },
    #[error("{path}: {why}")]
    NodeConfig { path: PathBuf, why: NodeConfigError },
    #[error("{path}: {why}")]
    Facts { path: PathBuf, why: String },
    #[error("can't listen on {address}: {why}")]
    Listen {
        address: SocketAddr,
        why: std::io::Error,
    },
    #[error("can't take signals: {0}")]
    Signals(std::io::Error),
}

const BACKLOG: i32 = 1_024;
/// Between two looks for connections that are silent, idle or missing.
const SWEEP: Duration = Duration::from_millis(250);

fn read(path: &Path) -> Result<NodeConfig, Failure> {
    let text = std::fs::read(path).map_err(|why| Failure::File {
        path: path.into(),
        why,
    })?;
    NodeConfig::from_json(&text).map_err(|why| Failure::NodeConfig {
        path: path.into(),
        why,
    })
}

/// Runs a dispatcher on this thread until SIGTERM asks it to stop and everything in hand has its
/// answer.
pub fn serve(path: &Path) -> Result<(), Failure> {
    // First of all: a SIGHUP that came before would end the process.
    let signals = signals([Signal::Term, Signal::Int, Signal::Hup]).map_err(Failure::Signals)?;
    let tasks: Tasks = Arc::default();
    future::block_on(tasks.clone().run(run(tasks, path, signals, |_| ())))
}

/// Runs a dispatcher on an executor by the signals given. `ready` is called with the address that
/// it listens on.
pub async fn run(
    tasks: Tasks,
    path: &Path,
    signals: impl Stream<Item = std::io::Result<Signal>> + Unpin,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), Failure> {
    let posting = read(path)?;
    let places = Places::of(posting.limits.sockets);
    if posting.limits.sockets < places::FEWEST {
        let why = format!(
            "limits: {} sockets, where {} are the least",
            posting.limits.sockets,
            places::FEWEST
        );
        return Err(Failure::Facts {
            path: path.into(),
            why,
        });
    }
    let (address, feed) = (posting.listen, posting.discovery_address);
    let (calls, called) = calls();
    let (moves, moved) = async_channel::bounded(1);
    let start = Start::new(posting, &places).map_err(|why| Failure::Facts {
        path: path.into(),
        why: format!("settings: {why}"),
    })?;
    let desk = desk(start, &tasks, calls, &places);
    let listener = listen(address, Ends::after(desk.longest_deadline()).killed + SPARE).await;
    let listener = listener.map_err(|why| Failure::Listen { address, why })?;
    let address = listener
        .local_addr()
        .map_err(|why| Failure::Listen { address, why })?;
    info!(%address, "listening");
    ready(address);
    let background = [
        tasks.spawn(corkspan_runtime::wake(called.waking, {
            let desk = Arc::clone(&desk);
            move || desk.woken()
        })),
        tasks.spawn(take_turns(Arc::clone(&desk), called.turning)),
        tasks.spawn(feed::run(Arc::clone(&desk), feed, called.watching, moved)),
        tasks.spawn(sweep(Arc::clone(&desk))),
    ];
    let front = tasks.spawn(front::run(
        Arc::clone(&desk),
        Arc::clone(&tasks),
        listener,
        Arc::clone(&places.owners),
    ));
    desk.begin();
    let mut signals = signals;
    until_told(&mut signals, || reread(&desk, path, &moves)).await;
    let stops = shutdown::stop(&desk, &places, Instant::now(), front);
    // The feed may still move; another signal to stop changes nothing.
    let heeds = async {
        while signals.next().await.is_some_and(|signal| {
            matches!(signal, Ok(Signal::Hup)).then(|| reread(&desk, path, &moves));
            true
        }) {}
        future::pending().await
    };
    stops.or(heeds).await;
    drop(background);
    info!("stopped");
    Ok(())
}

/// The other ends of [`Calls`].
struct Called {
    waking: async_channel::Receiver<Instant>,
    watching: async_channel::Receiver<()>,
    turning: async_channel::Receiver<()>,
}

fn calls() -> (Calls, Called) {
    let (wakes, waking) = async_channel::bounded(1);
    let (watches, watching) = async_channel::bounded(1);
    let (turns, turning) = async_channel::bounded(1);
    let calls = Calls {
        wakes,
        watches,
        turns,
    };
    let called = Called {
        waking,
        watching,
        turning,
    };
    (calls, called)
}

fn desk(start: Start, tasks: &Tasks, calls: Calls, places: &Places) -> Arc<Desk> {
    let clock = Clock::start();
    Desk::new(start, clock, |desk| {
        Box::new(TaskEffects {
            desk,
            clock,
            tasks: Arc::clone(tasks),
            calls,
            node_places: Arc::clone(&places.nodes),
        })
    })
}

/// The usual backlog of 128 would make some of a burst of hundreds wait for a second.
async fn listen(address: SocketAddr, within: Duration) -> std::io::Result<TcpListener> {
    let listener = bind(address, within).await?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// A former process may still stop at this address.
async fn bind(address: SocketAddr, within: Duration) -> std::io::Result<TcpListener> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(why) if why.kind() == std::io::ErrorKind::AddrInUse && since.elapsed() < within => {
                Timer::after(Duration::from_millis(10)).await;
            }
            bound => return bound,
        }
    }
}

/// Until a signal asks to stop. SIGHUP only says that the file is another.
async fn until_told(
    signals: &mut (impl Stream<Item = std::io::Result<Signal>> + Unpin),
    mut hung_up: impl FnMut(),
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => hung_up(),
            Ok(_) => return,
            Err(why) => warn!(%why, "can't read a signal"),
        }
    }
}

/// Takes over what a new file says. One that can't be used changes nothing: the dispatcher goes on
/// by the former.
fn reread(desk: &Arc<Desk>, path: &Path, moves: &async_channel::Sender<SocketAddr>) {
    match read(path) {
        Ok(posting) => {
            let _ = moves.force_send(posting.discovery_address);
            desk.known(posting.discovery_state.clone());
            if let Err(why) = desk.reposted(posting) {
                warn!(%why, "the new file's settings are not taken over");
            }
        }
        Err(why) => warn!(%why, "the new file is not taken over"),
    }
}

/// Between two turns whatever else is ready is done once.
async fn take_turns(desk: Arc<Desk>, turning: async_channel::Receiver<()>) {
    while turning.recv().await.is_ok() {
        while desk.turn() {
            future::yield_now().await;
        }
    }
}

async fn sweep(desk: Arc<Desk>) {
    loop {
        Timer::after(SWEEP).await;
        desk.sweep();
    }
}
