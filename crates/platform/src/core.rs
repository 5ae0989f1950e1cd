//! The core: the engine with its decisions, what is kept for clients and nodes, and what follows
//! from each event. It does no I/O and reads no clock: each call is given the time, and what it
//! needs of the outside goes through [`Effects`]. What is sent is queued before the call returns.

use crate::descriptor_budget::DescriptorBudget;
use crate::errors::ConfigError;
use crate::ids::{AttemptId, ClientId, ConnectionId};
use crate::node_connections::{Eviction, NodeConnections};
use crate::nodes::Nodes;
use crate::reader::{ConnectionInput, ReadOutcome, ReadProgress};
use crate::writer::{MessageQueue, message_queue};
use client_connections::ClientConnection;
use corkspan_engine::{Engine, RetryBatch, ReturnedAttempt};
#[cfg(test)]
use corkspan_platform_wire::client::Message;
use corkspan_platform_wire::discovery::Event;
use corkspan_platform_wire::node;
use corkspan_platform_wire::node_config::{DiscoveryState, NodeConfig};
use corkspan_scheduler::interface::*;
use corkspan_settings::{Settings, SettingsError};
use limits::*;
use pending_task::{DeferredEvent, EarlyEnd, HealthCheck, PendingTask, Timer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

mod attempts;
#[cfg(test)]
#[path = "../tests/core/bounds.rs"]
mod bounds;
mod client_connections;
mod endpoint_list;
mod engine_effects;
mod inputs;
mod limits;
mod node_connections;
mod node_messages;
mod pending_task;
#[cfg(test)]
#[path = "../tests/core/races.rs"]
mod races;
mod replies;
mod running_tasks;
mod set_ups;
#[cfg(test)]
#[path = "../tests/core/transcript.rs"]
mod transcript;

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Nobody listens there: the process is dead.
    Refused,
    /// It was not established in time.
    ConnectTimeout,
    /// It was established, and broke or was closed.
    Broken,
}

/// A connection to a node that is to be opened.
pub struct NewConnection {
    pub id: ConnectionId,
    pub address: SocketAddr,
    /// How long it may take to be established.
    pub connect_timeout: Ticks,
    pub queue: MessageQueue,
}

/// What the core needs of the outside. No effect waits, and none calls back before the call that
/// caused it has returned.
pub trait Effects: Send {
    /// Opens a connection to a node and carries it.
    fn connect(&self, connection: NewConnection);
    /// Calls for the list of nodes to be watched, if it is not yet.
    fn watch_list(&self);
    /// Sets the one timer, which calls [`PlatformCore::timer_fired`].
    fn arm_timer(&self, at: Ticks);
    /// Calls for [`PlatformCore::run_turn`].
    fn request_turn(&self);
}

/// What a core is made of, validated.
pub struct CoreOptions {
    cluster: Cluster,
    seed: u64,
    settings: Settings,
    pub known: DiscoveryState,
    max_clients: usize,
    max_node_connections: usize,
}

impl CoreOptions {
    /// Of a configuration file and the descriptors of the process.
    pub fn new(config: NodeConfig, budget: &DescriptorBudget) -> Result<CoreOptions, ConfigError> {
        Ok(CoreOptions {
            seed: config.seed_number()?,
            cluster: cluster(&config.settings)?,
            settings: config.settings,
            known: config.discovery_state,
            max_clients: budget.max_clients,
            max_node_connections: budget.max_node_connections,
        })
    }
}

/// Everything beside the engine: connections, timers and what is kept for clients. The engine's
/// effects are carried out by it.
struct PlatformState {
    effects: Box<dyn Effects>,
    now: Ticks,
    clients: BTreeMap<ClientId, ClientConnection>,
    max_clients: usize,
    clients_accepted: u64,
    undelivered: VecDeque<Vec<u8>>,
    /// The oldest first.
    early_ends: VecDeque<EarlyEnd>,
    nodes: Nodes,
    connections: NodeConnections,
    health_checks: BTreeMap<u64, HealthCheck>,
    last_health_check: u64,
    timers: BTreeSet<(Ticks, Timer)>,
    deferred: VecDeque<DeferredEvent>,
    /// Tasks that are due a final answer.
    unanswered: BTreeSet<AllocationId>,
    engine_timer: Option<Ticks>,
    armed_timer: Option<Ticks>,
    last_event: u64,
    /// No more set-ups are accepted.
    stopping: bool,
    settings: Arc<Settings>,
}

/// All state of one dispatcher.
pub struct PlatformCore {
    engine: Engine<PendingTask>,
    state: PlatformState,
}

/// The control feed must be connected to, whatever the settings say of another way, and nobody
/// reports a machine that has vanished.
fn cluster(settings: &Settings) -> Result<Cluster, SettingsError> {
    let cluster = settings.cluster()?;
    Ok(Cluster {
        list_poll_interval: cluster.list_poll_interval.or(Some(0)),
        caller_detects_losses: false,
        ..cluster
    })
}

impl PlatformCore {
    /// A core without nodes and clients.
    pub fn new(options: CoreOptions, now: Ticks, effects: Box<dyn Effects>) -> PlatformCore {
        let limits = &options.settings.limits;
        let time = |us: Option<u64>, absent| us.map_or(absent, corkspan_settings::ticks_from_us);
        let connections = NodeConnections::new(
            options.max_node_connections,
            options.settings.connect_timeout(),
            // Closed by us well before the node does it: a set-up that crosses the close would be
            // lost.
            time(limits.idle_close_us, 15 * SECOND) * 2 / 3,
        );
        PlatformCore {
            engine: Engine::new(
                options.cluster,
                options.seed,
                now,
                MAX_TASKS,
                RetryBatch::ON_DEMAND,
            ),
            state: PlatformState {
                effects,
                now,
                clients: BTreeMap::new(),
                max_clients: options.max_clients,
                clients_accepted: 0,
                undelivered: VecDeque::new(),
                early_ends: VecDeque::new(),
                nodes: Nodes::default(),
                connections,
                health_checks: BTreeMap::new(),
                last_health_check: options.seed,
                timers: BTreeSet::new(),
                deferred: VecDeque::new(),
                unanswered: BTreeSet::new(),
                engine_timer: None,
                armed_timer: None,
                last_event: 0,
                stopping: false,
                settings: Arc::new(options.settings),
            },
        }
    }

    /// Handles one event and what follows from it.
    fn with<R>(
        &mut self,
        now: Ticks,
        call: impl FnOnce(&mut Engine<PendingTask>, &mut PlatformState) -> R,
    ) -> R {
        let PlatformCore { engine, state } = self;
        state.now = now;
        let result = call(engine, state);
        loop {
            while let Some(deferred) = state.deferred.pop_front() {
                match deferred {
                    DeferredEvent::Returned(id, attempt, result) => {
                        engine.attempt_returned(
                            now,
                            id,
                            attempt,
                            ReturnedAttempt {
                                ending: result,
                                reason: None,
                                finished: false,
                                report: None,
                            },
                            state,
                        );
                    }
                    DeferredEvent::Lost(id) => {
                        state.task_ended(now, engine, id, AttemptResult::Reset, None, None)
                    }
                }
            }
            engine.poll(now, state);
            if state.deferred.is_empty() {
                break;
            }
        }
        let next = [state.engine_timer, state.timers.first().map(|(at, _)| *at)]
            .into_iter()
            .flatten()
            .min();
        if let Some(at) = next.filter(|_| next != state.armed_timer) {
            state.armed_timer = next;
            state.effects.arm_timer(at);
        }
        if engine.has_queued() {
            state.effects.request_turn();
        }
        result
    }
}
