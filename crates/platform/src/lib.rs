//! A dispatcher on the platform's protocol: owners set tasks up over binary messages, the decisions of
//! [`corkspan::rules`] say where to, nodes get them as JSON lines, and the control feed tells which nodes there
//! are. docs/platform.md says how and why.

mod desk;
mod feed;
mod front;
mod links;
mod nodes;
mod outbox;

use async_io::Timer;
use async_net::TcpListener;
use corkspan_platform_wire::file::{Posting, Unreadable};
use corkspan_runtime::{Signal, Tasks, signals};
use desk::Desk;
use futures_lite::{Stream, StreamExt, future};
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
    Posting { path: PathBuf, why: Unreadable },
    #[error("{path}: {why}")]
    Facts { path: PathBuf, why: String },
    #[error("can't listen on {address}: {why}")]
    Listen { address: SocketAddr, why: std::io::Error },
    #[error("can't take signals: {0}")]
    Signals(std::io::Error),
}

/// After SIGTERM connections still come for 0.4 s, and set-ups on them for 0.2 s more.
const STILL_COMING: Duration = Duration::from_millis(900);
/// SIGKILL may come 3.7 s after SIGTERM: by then all in hand have had their answers.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2_800);
const GONE_WITHIN: Duration = Duration::from_millis(3_400);
const BACKLOG: i32 = 1_024;
/// With fewer descriptors some owners or nodes could not be served at all.
const FEWEST_SOCKETS: usize = 48;
/// Between two looks for connections that are silent, idle or missing.
const SWEEP: Duration = Duration::from_millis(250);

fn read(path: &Path) -> Result<Posting, Failure> {
    let text = std::fs::read(path).map_err(|why| Failure::File { path: path.into(), why })?;
    Posting::read(&text).map_err(|why| Failure::Posting { path: path.into(), why })
}

/// Runs a dispatcher on this thread until SIGTERM asks it to stop and everything in hand has its answer.
pub fn serve(path: &Path) -> Result<(), Failure> {
    // First of all: a SIGHUP that came before would end the process.
    let signals = signals([Signal::Term, Signal::Int, Signal::Hup]).map_err(Failure::Signals)?;
    let tasks: Tasks = Arc::default();
    future::block_on(tasks.clone().run(run(tasks, path, signals, |_| ())))
}

/// Runs a dispatcher on an executor by the signals given. `ready` is called with the address that it listens on.
pub async fn run(
    tasks: Tasks,
    path: &Path,
    signals: impl Stream<Item = std::io::Result<Signal>> + Unpin,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), Failure> {
    let posting = read(path)?;
    if posting.limits.sockets < FEWEST_SOCKETS {
        let why = format!("limits: {} sockets, where {FEWEST_SOCKETS} are the least", posting.limits.sockets);
        return Err(Failure::Facts { path: path.into(), why });
    }
    let (address, feed) = (posting.listen, posting.feed);
    let (wakes, waking) = async_channel::bounded(1);
    let (watches, asked) = async_channel::bounded(1);
    let (moves, moved) = async_channel::bounded(1);
    let (turns, turning) = async_channel::bounded(1);
    let desk = Desk::new(posting, &tasks, wakes, watches, turns)
        .map_err(|why| Failure::Facts { path: path.into(), why: format!("settings: {why}") })?;
    let listener = TcpListener::bind(address).await.map_err(|why| Failure::Listen { address, why })?;
    // The usual backlog of 128 would make some of a burst of hundreds wait for a second.
    rustix::net::listen(&listener, BACKLOG).map_err(|why| Failure::Listen { address, why: why.into() })?;
    let address = listener.local_addr().map_err(|why| Failure::Listen { address, why })?;
    info!(%address, "listening");
    ready(address);
    let background = [
        tasks.spawn(corkspan_runtime::wake(waking, {
            let desk = Arc::clone(&desk);
            move || desk.woken()
        })),
        tasks.spawn(take_turns(Arc::clone(&desk), turning)),
        tasks.spawn(feed::run(Arc::clone(&desk), feed, asked, moved)),
        tasks.spawn(front::run(Arc::clone(&desk), Arc::clone(&tasks), listener)),
        tasks.spawn(sweep(Arc::clone(&desk))),
    ];
    desk.begin();
    until_told(signals, || reread(&desk, path, &moves)).await;
    let told = Instant::now();
    info!(kept = desk.kept(), "stopping");
    Timer::after(STILL_COMING).await;
    until(told + ANSWERED_WITHIN, || desk.unanswered() == 0).await;
    desk.stop();
    until(told + GONE_WITHIN, || desk.unanswered() == 0).await;
    desk.let_go();
    // The last words are on their way.
    Timer::after(Duration::from_millis(50)).await;
    drop(background);
    info!("stopped");
    Ok(())
}

/// Until a signal asks to stop. SIGHUP only says that the file is another.
async fn until_told(
    mut signals: impl Stream<Item = std::io::Result<Signal>> + Unpin,
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

/// Takes over what a new file says. One that can't be used changes nothing: the dispatcher goes on by the former.
fn reread(desk: &Arc<Desk>, path: &Path, moves: &async_channel::Sender<SocketAddr>) {
    match read(path) {
        Ok(posting) => {
            let _ = moves.force_send(posting.feed);
            if let Err(why) = desk.reposted(posting) {
                warn!(%why, "the new file's settings are not taken over");
            }
        }
        Err(why) => warn!(%why, "the new file is not taken over"),
    }
}

async fn until(latest: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < latest {
        Timer::after(Duration::from_millis(5)).await;
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
