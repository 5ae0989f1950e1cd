//! A dispatcher on the platform's protocol: owners set tasks up over binary messages, the decisions
//! of [`corkspan_scheduler::rules`] say where to, nodes get them as JSON lines, and the control feed tells
//! which nodes there are. docs/platform.md says how and why.

mod core;
mod descriptor_budget;
mod discovery;
mod effects;
mod handle;
mod ids;
mod listener;
mod node_connection_task;
mod node_connections;
mod nodes;
mod reader;
mod shutdown;
mod writer;

use crate::core::CoreOptions;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_platform_wire::node_config::{NodeConfig, NodeConfigError};
use corkspan_runtime::clock::Clock;
use corkspan_runtime::{Signal, Tasks, signals};
use descriptor_budget::DescriptorBudget;
use effects::{TaskEffects, WakeSenders};
use futures_lite::{FutureExt, Stream, StreamExt, future};
use handle::PlatformHandle;
use shutdown::{SHUTDOWN_MARGIN, ShutdownSchedule};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Why a dispatcher did not start, or ended by itself.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    #[error("can't read {path}: {error}")]
    ReadFile {
        path: PathBuf,
        error: std::io::Error,
    },
    #[error("{path}: {error}")]
    InvalidFile {
        path: PathBuf,
        error: NodeConfigError,
    },
    #[error("{path}: {error}")]
    InvalidSettings { path: PathBuf, error: String },
    #[error("can't listen on {address}: {error}")]
    Listen {
        address: SocketAddr,
        error: std::io::Error,
    },
    #[error("can't take signals: {0}")]
    Signals(std::io::Error),
}

const LISTEN_BACKLOG: i32 = 1_024;
/// Between two looks for connections that are silent, idle or missing.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

fn read(path: &Path) -> Result<NodeConfig, ServeError> {
    let text = std::fs::read(path).map_err(|error| ServeError::ReadFile {
        path: path.into(),
        error,
    })?;
    NodeConfig::from_json(&text).map_err(|error| ServeError::InvalidFile {
        path: path.into(),
        error,
    })
}

/// Runs a dispatcher on this thread until SIGTERM asks it to stop and everything in hand has its
/// answer.
pub fn serve(path: &Path) -> Result<(), ServeError> {
    // First of all: a SIGHUP that came before would end the process.
    let signals = signals([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServeError::Signals)?;
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
) -> Result<(), ServeError> {
    let config = read(path)?;
    let budget = DescriptorBudget::new(config.limits.sockets);
    if config.limits.sockets < descriptor_budget::MIN_DESCRIPTORS {
        let error = format!(
            "limits: {} sockets, where {} are the least",
            config.limits.sockets,
            descriptor_budget::MIN_DESCRIPTORS
        );
        return Err(ServeError::InvalidSettings {
            path: path.into(),
            error,
        });
    }
    let (address, feed) = (config.listen, config.discovery_address);
    let (calls, called) = calls();
    let (moves, moved) = async_channel::bounded(1);
    let start = CoreOptions::new(config, &budget).map_err(|error| ServeError::InvalidSettings {
        path: path.into(),
        error: format!("settings: {error}"),
    })?;
    let handle = handle(start, &tasks, calls, &budget);
    let listener = listen(
        address,
        ShutdownSchedule::after(handle.longest_deadline()).killed_after + SHUTDOWN_MARGIN,
    )
    .await;
    let listener = listener.map_err(|error| ServeError::Listen { address, error })?;
    let address = listener
        .local_addr()
        .map_err(|error| ServeError::Listen { address, error })?;
    info!(%address, "listening");
    ready(address);
    let background = [
        tasks.spawn(corkspan_runtime::wake(called.timer, {
            let handle = Arc::clone(&handle);
            move || handle.timer_fired()
        })),
        tasks.spawn(run_turns(Arc::clone(&handle), called.run_turn)),
        tasks.spawn(discovery::run(
            Arc::clone(&handle),
            feed,
            called.watch_list,
            moved,
        )),
        tasks.spawn(sweep(Arc::clone(&handle))),
    ];
    let front = tasks.spawn(listener::run(
        Arc::clone(&handle),
        Arc::clone(&tasks),
        listener,
        Arc::clone(&budget.clients),
    ));
    handle.start();
    let mut signals = signals;
    wait_for_stop(&mut signals, || reload(&handle, path, &moves)).await;
    let stops = shutdown::stop(&handle, &budget, Instant::now(), front);
    // The feed may still move; another signal to stop changes nothing.
    let heeds = async {
        while signals.next().await.is_some_and(|signal| {
            matches!(signal, Ok(Signal::Hup)).then(|| reload(&handle, path, &moves));
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
struct WakeReceivers {
    timer: async_channel::Receiver<Instant>,
    watch_list: async_channel::Receiver<()>,
    run_turn: async_channel::Receiver<()>,
}

fn calls() -> (WakeSenders, WakeReceivers) {
    let (wakes, waking) = async_channel::bounded(1);
    let (watches, watching) = async_channel::bounded(1);
    let (turns, turning) = async_channel::bounded(1);
    let calls = WakeSenders {
        timer: wakes,
        watch_list: watches,
        run_turn: turns,
    };
    let called = WakeReceivers {
        timer: waking,
        watch_list: watching,
        run_turn: turning,
    };
    (calls, called)
}

fn handle(
    start: CoreOptions,
    tasks: &Tasks,
    calls: WakeSenders,
    budget: &DescriptorBudget,
) -> Arc<PlatformHandle> {
    let clock = Clock::start();
    PlatformHandle::new(start, clock, |handle| {
        Box::new(TaskEffects {
            handle,
            clock,
            tasks: Arc::clone(tasks),
            calls,
            node_budget: Arc::clone(&budget.nodes),
        })
    })
}

/// The usual backlog of 128 would make some of a burst of hundreds wait for a second.
async fn listen(address: SocketAddr, within: Duration) -> std::io::Result<TcpListener> {
    let listener = bind(address, within).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// A former process may still stop at this address.
async fn bind(address: SocketAddr, within: Duration) -> std::io::Result<TcpListener> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if error.kind() == std::io::ErrorKind::AddrInUse && since.elapsed() < within =>
            {
                Timer::after(Duration::from_millis(10)).await;
            }
            bound => return bound,
        }
    }
}

/// Until a signal asks to stop. SIGHUP only says that the file is another.
async fn wait_for_stop(
    signals: &mut (impl Stream<Item = std::io::Result<Signal>> + Unpin),
    mut hung_up: impl FnMut(),
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => hung_up(),
            Ok(_) => return,
            Err(error) => warn!(%error, "can't read a signal"),
        }
    }
}

/// Takes over what a new file says. One that can't be used changes nothing: the dispatcher goes on
/// by the former.
fn reload(handle: &Arc<PlatformHandle>, path: &Path, moves: &async_channel::Sender<SocketAddr>) {
    match read(path) {
        Ok(config) => {
            let _ = moves.force_send(config.discovery_address);
            handle.apply_known_events(config.discovery_state.clone());
            if let Err(error) = handle.reconfigure(config) {
                warn!(%error, "the new file's settings are not taken over");
            }
        }
        Err(error) => warn!(%error, "the new file is not taken over"),
    }
}

/// Between two turns whatever else is ready is done once.
async fn run_turns(handle: Arc<PlatformHandle>, turning: async_channel::Receiver<()>) {
    while turning.recv().await.is_ok() {
        while handle.run_turn() {
            future::yield_now().await;
        }
    }
}

async fn sweep(handle: Arc<PlatformHandle>) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        handle.sweep();
    }
}
