//! The dispatcher daemon. Clients request placements over gRPC, the scheduler chooses machines,
//! attempts are offered to nodes, and replies are sent back to the clients. docs/dispatcher.md
//! describes the design.

#![warn(missing_docs)]

mod active_version;
mod attempt_messages;
mod attempts;
mod catch_up;
pub mod config_stream;
mod core;
pub mod endpoint_list;
mod link_counters;
mod machine_status;
mod maintenance;
pub mod maintenance_messages;
pub mod minimum_version;
mod node_links;
mod placement_service;
mod quorum_client;
pub mod rollout_control;
pub mod rollout_messages;
pub mod rollout_service;
mod rollouts;
mod store;
mod stored_file;
pub mod version_files;
mod version_gate;
pub mod version_service;

use async_io::Timer;
use async_net::TcpListener;
use core::DispatcherCore;
use corkspan_api::v1::{
    placement_server::PlacementServer, rolls_server::RollsServer, versions_server::VersionsServer,
};
use corkspan_config::Deployment;
use corkspan_rpc::SharedExecutor;
pub use corkspan_runtime::clock;
use corkspan_runtime::{Signal, signals};
use endpoint_list::EndpointList;
use futures_lite::{FutureExt, StreamExt, future};
use placement_service::PlacementService;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tracing::info;

/// The reason why a dispatcher did not start, or stopped on its own.
#[derive(Debug, thiserror::Error)]
pub enum DispatcherError {
    /// It can't listen on its address.
    #[error("can't listen on {address}: {why}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error that the system reported.
        why: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
    /// The listener failed.
    #[error("the listener failed: {0}")]
    Listener(std::io::Error),
}

/// Runs a dispatcher on this thread until a signal stops it and every allocation in flight has its
/// final answer. `ready` is called with the address that it listens on.
pub fn serve(
    deployment: Deployment,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), DispatcherError> {
    let mut signals = signals([Signal::Term, Signal::Int]).map_err(DispatcherError::Signals)?;
    let stop = async move {
        signals.next().await;
    };
    let tasks: SharedExecutor = Arc::default();
    future::block_on(tasks.clone().run(run(tasks, deployment, ready, stop)))
}

/// Runs a dispatcher on an executor until `stop` is done and every allocation in flight has its
/// final answer.
pub async fn run(
    tasks: SharedExecutor,
    deployment: Deployment,
    ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> Result<(), DispatcherError> {
    let store = rollout_control::Store::open(deployment.rollout_store.as_deref());
    run_with_store(store, tasks, deployment, ready, stop).await
}

/// As [`run`], with a rollout store that the caller has opened.
pub async fn run_with_store(
    store: rollout_control::Store,
    tasks: SharedExecutor,
    deployment: Deployment,
    ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = ()>,
) -> Result<(), DispatcherError> {
    let address = deployment.listen;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|why| DispatcherError::Listen { address, why })?;
    let address = listener
        .local_addr()
        .map_err(|why| DispatcherError::Listen { address, why })?;
    let clock = clock::Clock::start();
    // Another incarnation must not draw the same random numbers: after a kill that an unlucky draw
    // caused, it would repeat that draw.
    let seed = deployment.seed
        ^ clock.now().rotate_left(20)
        ^ (deployment.cluster.scheduler_index as u64) << 48;
    let (wake_sender, wake_times) = async_channel::bounded(1);
    let (watch_sender, watch_requests) = async_channel::bounded(1);
    let path = deployment.endpoint_cache.clone();
    let limits = deployment.limits.clone();
    let core = DispatcherCore::new(
        deployment,
        seed,
        clock,
        &tasks,
        wake_sender,
        watch_sender,
        store,
    );
    let _store_guard = rollout_control::CloseOnDrop(Arc::clone(&core.store));
    let mut list = path.as_deref().map(EndpointList::load).unwrap_or_default();
    let entries = list.endpoints(&core);
    info!(%address, stored_endpoints = entries.len(), "listening");
    core.apply_endpoint_list(corkspan_scheduler::interface::ListUpdate::Cached, &entries);

    let service = Services {
        placement: PlacementServer::new(PlacementService(Arc::clone(&core)))
            .max_decoding_message_size(limits.max_message_bytes),
        rolls: RollsServer::new(rollout_service::RolloutService(Arc::clone(&core)))
            .max_decoding_message_size(limits.max_message_bytes),
        versions: VersionsServer::new(version_service::VersionService(Arc::clone(&core)))
            .max_decoding_message_size(limits.max_message_bytes),
    };
    let admits = {
        let core = Arc::clone(&core);
        move |address| core.deployment().allows_client(address)
    };
    let serving = corkspan_rpc::serve_filtered(
        admits,
        Some(core.connection_counters.meter_selector()),
        listener,
        service,
        core.connection_limits.clone(),
    );
    let idle_timeout = clock::duration(limits.idle_timeout);
    let background = background_tasks(
        &tasks,
        &core,
        wake_times,
        watch_requests,
        list,
        path,
        idle_timeout,
    );
    ready(address);
    let stopping = async {
        stop.await;
        core.stop();
        let latest = Instant::now() + clock::duration(limits.shutdown_grace);
        wait_until(latest, || core.unanswered_count() == 0).await;
        core.end_all();
        // Waits for a short time until the last replies have been read, but not for clients that
        // don't read.
        wait_until(Instant::now() + Duration::from_secs(1), || {
            !core.has_open_calls()
        })
        .await;
        info!("stopped");
        Ok(())
    };
    let result = stopping
        .or(async { Err(DispatcherError::Listener(serving.await)) })
        .await;
    drop(background);
    result
}

/// Spawns the tasks that run beside the listener until they are dropped.
fn background_tasks(
    tasks: &SharedExecutor,
    core: &Arc<DispatcherCore>,
    wake_times: async_channel::Receiver<Instant>,
    watch_requests: async_channel::Receiver<()>,
    list: EndpointList,
    path: Option<PathBuf>,
    idle_timeout: Duration,
) -> [async_executor::Task<()>; 9] {
    [
        tasks.spawn(corkspan_runtime::run_timer(wake_times, {
            let core = Arc::clone(core);
            move || core.timer_fired()
        })),
        tasks.spawn(endpoint_list::run(
            Arc::clone(core),
            list,
            watch_requests,
            path,
        )),
        tasks.spawn(rollout_control::run(Arc::clone(core))),
        tasks.spawn(config_stream::run(Arc::clone(core))),
        tasks.spawn(minimum_version::run(Arc::clone(core))),
        tasks.spawn(minimum_version::save_history(Arc::clone(core))),
        tasks.spawn(catch_up::run(Arc::clone(core))),
        tasks.spawn(maintenance::run(Arc::clone(core))),
        tasks.spawn(close_idle_connections(Arc::clone(core), idle_timeout / 4)),
    ]
}

async fn wait_until(latest: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < latest {
        Timer::after(Duration::from_millis(5)).await;
    }
}

/// Closes idle connections at intervals.
async fn close_idle_connections(core: Arc<DispatcherCore>, every: Duration) {
    loop {
        Timer::after(every).await;
        core.close_idle();
    }
}

/// The services that share one listener, distinguished by the request path.
#[derive(Clone)]
struct Services {
    placement: PlacementServer<PlacementService>,
    rolls: RollsServer<rollout_service::RolloutService>,
    versions: VersionsServer<version_service::VersionService>,
}

impl tower_service::Service<http::Request<tonic::body::Body>> for Services {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        let path = request.uri().path();
        if path.starts_with("/corkspan.v1.Rolls/") {
            self.rolls.call(request)
        } else if path.starts_with("/corkspan.v1.Versions/") {
            self.versions.call(request)
        } else {
            self.placement.call(request)
        }
    }
}
