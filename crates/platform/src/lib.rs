//! A dispatcher on the platform's protocol: clients set tasks up over binary messages, the decisions
//! of the scheduler say on which node, nodes get them as JSON lines, and the control feed lists the
//! nodes. docs/platform.md describes how and why.

#![warn(missing_docs, clippy::too_many_lines)]

mod core;
mod descriptor_budget;
mod discovery;
mod effects;
mod errors;
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
use corkspan_platform_wire::node_config::NodeConfig;
use corkspan_runtime::clock::Clock;
use corkspan_runtime::{SharedExecutor, Signal, signals};
use descriptor_budget::DescriptorBudget;
pub use descriptor_budget::TooFewDescriptors;
pub use errors::{ConfigError, ServeError};

use effects::{TaskEffects, WakeSenders};
use futures_lite::{FutureExt, Stream, StreamExt, future};
use handle::PlatformHandle;
use shutdown::{SHUTDOWN_MARGIN, ShutdownSchedule};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

const LISTEN_BACKLOG: i32 = 1_024;
/// The interval of [`PlatformHandle::sweep`].
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

fn read(path: &Path) -> Result<NodeConfig, ServeError> {
    let text = std::fs::read(path).map_err(|source| ServeError::ReadFile {
        path: path.into(),
        source,
    })?;
    NodeConfig::from_json(&text).map_err(|source| ServeError::InvalidFile {
        path: path.into(),
        source,
    })
}

/// Runs a dispatcher on this thread until SIGTERM asks it to stop and every set-up has its answer.
pub fn serve(path: &Path) -> Result<(), ServeError> {
    // First of all: a SIGHUP that arrives before would end the process.
    let signals = signals([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServeError::Signals)?;
    let tasks: SharedExecutor = Arc::default();
    future::block_on(tasks.clone().run(run(tasks, path, signals, |_| ())))
}

/// Runs a dispatcher on an executor, controlled by the signals given. `ready` is called with the
/// address that it listens on.
///
/// # Errors
///
/// As of [`serve`].
pub async fn run(
    tasks: SharedExecutor,
    path: &Path,
    signals: impl Stream<Item = std::io::Result<Signal>> + Unpin,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), ServeError> {
    let config = read(path)?;
    let invalid = |source| ServeError::InvalidConfig {
        path: path.into(),
        source,
    };
    let budget =
        DescriptorBudget::new(config.limits.sockets).map_err(|error| invalid(error.into()))?;
    let (address, feed) = (config.listen, config.discovery_address);
    let (wakes, woken) = wakes();
    let (feed_moves, feed_moved) = async_channel::bounded(1);
    let options = CoreOptions::new(config, &budget).map_err(invalid)?;
    let handle = handle(options, &tasks, wakes, &budget);
    let patience = ShutdownSchedule::after(handle.longest_deadline()).killed_after;
    let listening = listen(address, patience + SHUTDOWN_MARGIN).await;
    let (listener, address) = listening.map_err(|source| ServeError::Listen { address, source })?;
    info!(%address, "listening");
    ready(address);
    let background = spawn_background(&tasks, &handle, woken, feed, feed_moved);
    let front = tasks.spawn(listener::run(
        Arc::clone(&handle),
        Arc::clone(&tasks),
        listener,
        Arc::clone(&budget.clients),
    ));
    handle.start();
    let mut signals = signals;
    wait_for_stop(&mut signals, || reload(&handle, path, &feed_moves)).await;
    let stop = shutdown::stop(&handle, &budget, Instant::now(), front);
    // The feed's address may still change; another signal to stop changes nothing.
    let heed_signals = async {
        while let Some(signal) = signals.next().await {
            if matches!(signal, Ok(Signal::Hup)) {
                reload(&handle, path, &feed_moves);
            }
        }
        future::pending().await
    };
    stop.or(heed_signals).await;
    drop(background);
    info!("stopped");
    Ok(())
}

/// Starts the tasks that run beside the listener. Dropping what is returned ends them.
fn spawn_background(
    tasks: &SharedExecutor,
    handle: &Arc<PlatformHandle>,
    woken: WakeReceivers,
    feed: SocketAddr,
    feed_moved: async_channel::Receiver<SocketAddr>,
) -> impl Sized + use<> {
    let fired = Arc::clone(handle);
    [
        tasks.spawn(corkspan_runtime::run_timer(woken.timer, move || {
            fired.timer_fired()
        })),
        tasks.spawn(run_turns(Arc::clone(handle), woken.run_turn)),
        tasks.spawn(discovery::run(
            Arc::clone(handle),
            feed,
            woken.watch_list,
            feed_moved,
        )),
        tasks.spawn(sweep(Arc::clone(handle))),
    ]
}

/// The receiving ends of [`WakeSenders`].
struct WakeReceivers {
    timer: async_channel::Receiver<Instant>,
    watch_list: async_channel::Receiver<()>,
    run_turn: async_channel::Receiver<()>,
}

fn wakes() -> (WakeSenders, WakeReceivers) {
    let (timer, timer_receiver) = async_channel::bounded(1);
    let (watch_list, watch_list_receiver) = async_channel::bounded(1);
    let (run_turn, run_turn_receiver) = async_channel::bounded(1);
    let senders = WakeSenders {
        timer,
        watch_list,
        run_turn,
    };
    let receivers = WakeReceivers {
        timer: timer_receiver,
        watch_list: watch_list_receiver,
        run_turn: run_turn_receiver,
    };
    (senders, receivers)
}

fn handle(
    options: CoreOptions,
    tasks: &SharedExecutor,
    wakes: WakeSenders,
    budget: &DescriptorBudget,
) -> Arc<PlatformHandle> {
    let clock = Clock::start();
    PlatformHandle::new(options, clock, |handle| {
        Box::new(TaskEffects {
            handle,
            clock,
            tasks: Arc::clone(tasks),
            wakes,
            node_budget: Arc::clone(&budget.nodes),
        })
    })
}

/// Listens with a backlog for bursts: with the usual 128 some of a burst of hundreds would wait for
/// a second. Also returns the address, whose port the system may have chosen.
async fn listen(
    address: SocketAddr,
    patience: Duration,
) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = bind(address, patience).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Waits for the address where a former process has not ended yet.
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

/// Until a signal asks to stop. SIGHUP only reports that the file has changed.
async fn wait_for_stop(
    signals: &mut (impl Stream<Item = std::io::Result<Signal>> + Unpin),
    mut file_changed: impl FnMut(),
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => file_changed(),
            Ok(_) => return,
            Err(error) => warn!(%error, "can't read a signal"),
        }
    }
}

/// Applies a new file. One that can't be used changes nothing: the dispatcher continues with the
/// former one.
fn reload(
    handle: &Arc<PlatformHandle>,
    path: &Path,
    feed_moves: &async_channel::Sender<SocketAddr>,
) {
    match read(path) {
        Ok(config) => {
            let _ = feed_moves.force_send(config.discovery_address);
            handle.apply_known_events(config.discovery_state.clone());
            if let Err(error) = handle.reconfigure(config) {
                warn!(%error, "the new file's settings are not taken over");
            }
        }
        Err(error) => warn!(%error, "the new file is not taken over"),
    }
}

/// Between two turns every other task that is ready runs once.
async fn run_turns(handle: Arc<PlatformHandle>, calls: async_channel::Receiver<()>) {
    while calls.recv().await.is_ok() {
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
