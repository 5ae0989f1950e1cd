//! A dispatcher on the platform's protocol. Clients send set-ups in binary messages, the scheduler
//! decides which node runs each task, nodes receive tasks as JSON lines, and the control feed lists
//! the nodes. docs/platform.md describes the design and its reasons.

#![warn(missing_docs, clippy::too_many_lines)]

mod core;
mod descriptor_budget;
mod discovery;
mod effects;
mod errors;
mod gone_nodes;
mod handle;
mod ids;
mod listener;
mod memory_budget;
mod node_connection_task;
mod node_connections;
mod nodes;
mod passing_errors;
mod reader;
mod shutdown;
mod start_times;
mod task_end;
mod writer;

use crate::core::CoreOptions;
use async_io::Timer;
use async_net::TcpListener;
use corkspan_platform_wire::node_config::NodeConfig;
use corkspan_runtime::clock::{Clock, ticks};
use corkspan_runtime::{SharedExecutor, Signal, signals};
use descriptor_budget::DescriptorBudget;
pub use descriptor_budget::TooFewDescriptors;
pub use errors::{ConfigError, ServeError};
pub use memory_budget::TooLittleMemory;

use effects::{TaskEffects, WakeSenders};
use futures_lite::{FutureExt, Stream, StreamExt, future};
use handle::PlatformHandle;
use passing_errors::{RETRY_DELAY, is_passing};
use shutdown::{SHUTDOWN_MARGIN, ShutdownSchedule, StopRequest};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

const LISTEN_BACKLOG: i32 = 1_024;
/// The interval of [`PlatformHandle::sweep`].
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// The interval of the polls for input that are recorded. Two must pass well within the wait that need not
/// count.
const POLL_RECORD_INTERVAL: Duration = Duration::from_millis(25);

fn read_config(path: &Path) -> Result<NodeConfig, ServeError> {
    let text = std::fs::read(path).map_err(|source| ServeError::ReadFile {
        path: path.into(),
        source,
    })?;
    NodeConfig::from_json(&text).map_err(|source| ServeError::InvalidFile {
        path: path.into(),
        source,
    })
}

/// Runs a dispatcher on this thread until SIGTERM or SIGINT requests it to stop and every set-up is
/// answered.
pub fn serve(path: &Path) -> Result<(), ServeError> {
    // Signals are registered first: a SIGHUP that arrives earlier would end the process.
    let signals = signals([Signal::Term, Signal::Int, Signal::Hup]).map_err(ServeError::Signals)?;
    let tasks: SharedExecutor = Arc::default();
    future::block_on(tasks.clone().run(run(tasks, path, signals, |_| ())))
}

/// Runs a dispatcher on an executor, controlled by the given signals. Calls `ready` with the
/// address on which it listens.
///
/// # Errors
///
/// Same as [`serve`].
pub async fn run(
    tasks: SharedExecutor,
    path: &Path,
    signals: impl Stream<Item = std::io::Result<Signal>> + Unpin,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), ServeError> {
    let config = read_config(path)?;
    let invalid_config = |source| ServeError::InvalidConfig {
        path: path.into(),
        source,
    };
    let budget = DescriptorBudget::new(config.limits.sockets)
        .map_err(|error| invalid_config(error.into()))?;
    let (address, feed_address) = (config.listen, config.discovery_address);
    let (wake_senders, wake_receivers) = wake_channels();
    let (feed_address_sender, feed_address_receiver) = async_channel::bounded(1);
    let options = CoreOptions::new(config, &budget).map_err(invalid_config)?;
    let handle = create_handle(options, &tasks, wake_senders, &budget);
    let shutdown_timeout =
        ShutdownSchedule::for_longest_deadline(handle.longest_deadline()).killed_after;
    let listening = listen(address, shutdown_timeout + SHUTDOWN_MARGIN).await;
    let (listener, address) = listening.map_err(|source| ServeError::Listen { address, source })?;
    info!(%address, "listening");
    ready(address);
    let background = spawn_background(
        &tasks,
        &handle,
        wake_receivers,
        feed_address,
        feed_address_receiver,
    );
    let close_listener = listener::start(&handle, &tasks, listener, &budget.client_permits);
    handle.start();
    let mut signals = signals;
    wait_for_stop(&mut signals, || reload(&handle, path, &feed_address_sender)).await;
    let request = StopRequest::noticed_after(handle.noticing_delay());
    let stop = shutdown::stop(&handle, &budget, request, close_listener);
    // The feed's address may still change during the shutdown. Further stop signals are ignored.
    let reload_on_hangup = async {
        while let Some(signal) = signals.next().await {
            if matches!(signal, Ok(Signal::Hup)) {
                reload(&handle, path, &feed_address_sender);
            }
        }
        future::pending().await
    };
    stop.or(reload_on_hangup).await;
    drop(background);
    info!("stopped");
    Ok(())
}

/// Starts the tasks that run beside the listener. Dropping the returned value ends them.
fn spawn_background(
    tasks: &SharedExecutor,
    handle: &Arc<PlatformHandle>,
    wake_receivers: WakeReceivers,
    feed_address: SocketAddr,
    feed_address_receiver: async_channel::Receiver<SocketAddr>,
) -> impl Sized + use<> {
    let timer_handle = Arc::clone(handle);
    [
        tasks.spawn(corkspan_runtime::run_timer(
            wake_receivers.timer,
            move || timer_handle.timer_fired(),
        )),
        tasks.spawn(run_turns(Arc::clone(handle), wake_receivers.run_turn)),
        tasks.spawn(discovery::run(
            Arc::clone(handle),
            feed_address,
            wake_receivers.watch_endpoint_list,
            feed_address_receiver,
        )),
        tasks.spawn(run_sweeps(Arc::clone(handle))),
        tasks.spawn(record_polls(Arc::clone(handle))),
    ]
}

/// The receiving ends of [`WakeSenders`].
struct WakeReceivers {
    timer: async_channel::Receiver<Instant>,
    watch_endpoint_list: async_channel::Receiver<()>,
    run_turn: async_channel::Receiver<()>,
}

fn wake_channels() -> (WakeSenders, WakeReceivers) {
    let (timer, timer_receiver) = async_channel::bounded(1);
    let (watch_endpoint_list, watch_endpoint_list_receiver) = async_channel::bounded(1);
    let (run_turn, run_turn_receiver) = async_channel::bounded(1);
    let senders = WakeSenders {
        timer,
        watch_endpoint_list,
        run_turn,
    };
    let receivers = WakeReceivers {
        timer: timer_receiver,
        watch_endpoint_list: watch_endpoint_list_receiver,
        run_turn: run_turn_receiver,
    };
    (senders, receivers)
}

fn create_handle(
    options: CoreOptions,
    tasks: &SharedExecutor,
    wake_senders: WakeSenders,
    budget: &DescriptorBudget,
) -> Arc<PlatformHandle> {
    let clock = Clock::start();
    PlatformHandle::new(options, clock, |handle| {
        Box::new(TaskEffects {
            handle,
            clock,
            tasks: Arc::clone(tasks),
            wake_senders,
            node_permits: Arc::clone(&budget.node_permits),
        })
    })
}

/// Listens with a backlog that holds bursts: with the usual 128, some connections of a burst of
/// hundreds would wait for a second. Also returns the address, whose port the system may have
/// chosen.
async fn listen(
    address: SocketAddr,
    shutdown_timeout: Duration,
) -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = bind(address, shutdown_timeout).await?;
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds the address. Retries while a previous process that has not ended still uses it, and after
/// errors that pass.
async fn bind(address: SocketAddr, within: Duration) -> std::io::Result<TcpListener> {
    let started_at = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(error)
                if (error.kind() == std::io::ErrorKind::AddrInUse || is_passing(&error))
                    && started_at.elapsed() < within =>
            {
                Timer::after(RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
}

/// Waits for a signal that requests a stop. SIGHUP only reports that the file has changed.
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

/// Applies a new configuration file. If the file is unreadable, the dispatcher continues with the
/// previous configuration; if only its settings are invalid, with the previous settings.
fn reload(
    handle: &Arc<PlatformHandle>,
    path: &Path,
    feed_address_sender: &async_channel::Sender<SocketAddr>,
) {
    match read_config(path) {
        Ok(config) => {
            let _ = feed_address_sender.force_send(config.discovery_address);
            handle.apply_known_events(config.discovery_state.clone());
            if let Err(error) = handle.reconfigure(config) {
                warn!(%error, "the settings of the new configuration file are not applied");
            }
        }
        Err(error) => warn!(%error, "the new configuration file is not applied"),
    }
}

/// Runs the requested turns. Between two turns, every other ready task runs once.
async fn run_turns(handle: Arc<PlatformHandle>, requests: async_channel::Receiver<()>) {
    while requests.recv().await.is_ok() {
        while handle.run_turn() {
            future::yield_now().await;
        }
    }
}

/// Records when input has been polled for, so that it is known how long the process was paused or busy.
async fn record_polls(handle: Arc<PlatformHandle>) {
    loop {
        let due_at = handle.now() + ticks(POLL_RECORD_INTERVAL);
        Timer::after(POLL_RECORD_INTERVAL).await;
        handle.record_poll(due_at);
    }
}

async fn run_sweeps(handle: Arc<PlatformHandle>) {
    loop {
        Timer::after(SWEEP_INTERVAL).await;
        handle.sweep();
    }
}
