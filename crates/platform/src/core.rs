//! The state of one dispatcher: the engine that makes the decisions, and the records of clients,
//! nodes and connections. It does no I/O and reads no clock: each call receives the time, and
//! requests to the outside go through [`Effects`]. Messages are queued before the call returns.

use crate::descriptor_budget::DescriptorBudget;
use crate::errors::ConfigError;
use crate::ids::{AttemptId, ClientId, ConnectionId};
use crate::memory_budget::MemoryBudget;
use crate::node_connections::{Eviction, NodeConnections, NodeSide};
use crate::nodes::Nodes;
use crate::reader::{ConnectionInput, ReadOutcome, ReadProgress};
use crate::task_end::{TaskEnd, TaskEndKind};
use crate::writer::{MessageQueue, message_queue};
use arrival_times::{ArrivalTimes, PollTimes, WaitingInput};
use client_connections::ClientConnection;
use client_memory::ClientMemory;
use corkspan_engine::{Engine, RetryBatch, ReturnedAttempt};
#[cfg(test)]
use corkspan_platform_wire::client::Message;
use corkspan_platform_wire::discovery::Event;
use corkspan_platform_wire::node;
use corkspan_platform_wire::node_config::{DiscoveryState, NodeConfig};
use corkspan_scheduler::interface::*;
use corkspan_settings::{Settings, SettingsError};
use health_checks::HealthCheck;
use limits::*;
use pending_task::{DeferredEvent, EarlyEnd, PendingTask, Timer};
use sent_ends::SentEnds;
use spent_ids::SpentIds;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use unconfirmed_stops::UnconfirmedStops;
use unconfirmed_tasks::UnconfirmedTasks;
use undelivered_ends::{EndNumber, UndeliveredEnds};
use unlisted_tasks::UnlistedTasks;

#[cfg(test)]
#[path = "../tests/core/addresses.rs"]
mod addresses;
mod arrival_times;
mod attempts;
#[cfg(test)]
#[path = "../tests/core/bounds.rs"]
mod bounds;
mod client_connections;
mod client_memory;
#[cfg(test)]
#[path = "../tests/core/clients.rs"]
mod clients;
mod endpoint_list;
mod engine_effects;
mod hand_overs;
mod health_checks;
mod inputs;
mod late_ends;
mod limits;
mod node_connections;
mod node_messages;
mod pending_task;
#[cfg(test)]
#[path = "../tests/core/races.rs"]
mod races;
#[cfg(test)]
#[path = "../tests/core/reachability.rs"]
mod reachability;
mod replies;
mod running_tasks;
mod sent_ends;
mod set_ups;
mod silent_drains;
mod spent_ids;
mod sweeps;
mod timers;
#[cfg(test)]
#[path = "../tests/core/transcript.rs"]
mod transcript;
mod unconfirmed_stops;
mod unconfirmed_tasks;
mod undelivered_ends;
mod unlisted_tasks;

/// The way in which a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection was refused: nothing listens at the address, so the process is dead.
    Refused,
    /// The connection was neither established nor refused within the timeout.
    ConnectTimeout {
        /// The time at which it was attempted.
        attempted_at: Ticks,
    },
    /// The connection was not attempted for lack of local resources, which says nothing about the
    /// node.
    NotAttempted,
    /// The connection was established, and then broke or was closed by the node.
    Broken,
    /// The connection was established, and the dispatcher closed it, or it failed here, while the
    /// node's side was open.
    Closed,
}

impl ConnectionEnd {
    /// Returns what the end means for messages of the node.
    fn node_side(self) -> NodeSide {
        match self {
            ConnectionEnd::Refused
            | ConnectionEnd::ConnectTimeout { .. }
            | ConnectionEnd::NotAttempted => NodeSide::NotEstablished,
            ConnectionEnd::Broken => NodeSide::Closed,
            ConnectionEnd::Closed => NodeSide::Open,
        }
    }
}

/// A connection to a node that must be opened.
pub struct NewConnection {
    pub id: ConnectionId,
    pub address: SocketAddr,
    /// The time within which the connection must be established.
    pub connect_timeout: Ticks,
    pub queue: MessageQueue,
}

/// The operations that the core requests from the outside. No effect blocks, and none calls back
/// into the core before the call that caused it has returned.
pub trait Effects: Send {
    /// Opens a connection to a node, and reads and writes it until it ends.
    fn connect(&self, connection: NewConnection);
    /// Requests that the list of nodes be watched, unless that is already the case.
    fn watch_endpoint_list(&self);
    /// Sets the only timer, which calls [`PlatformCore::timer_fired`].
    fn arm_timer(&self, at: Ticks);
    /// Requests a call of [`PlatformCore::run_turn`].
    fn request_turn(&self);
}

/// Validated options from which a core is created.
pub struct CoreOptions {
    cluster: Cluster,
    seed: u64,
    settings: Settings,
    pub initial_state: DiscoveryState,
    max_clients: usize,
    memory: MemoryBudget,
    max_node_connections: usize,
}

impl CoreOptions {
    /// Validates the options of a configuration file, with the limits of the descriptor budget.
    pub fn new(config: NodeConfig, budget: &DescriptorBudget) -> Result<CoreOptions, ConfigError> {
        let memory = MemoryBudget::new(config.limits.memory_mb)?;
        Ok(CoreOptions {
            memory,
            seed: config.seed_number()?,
            cluster: platform_cluster(&config.settings)?,
            settings: config.settings,
            initial_state: config.discovery_state,
            max_clients: budget.max_clients.min(memory.max_clients()),
            max_node_connections: budget.max_node_connections,
        })
    }
}

/// All state except the engine: connections, timers and the records of clients. Implements the
/// engine's effects.
struct PlatformState {
    effects: Box<dyn Effects>,
    now: Ticks,
    polls: PollTimes,
    /// The connections that the system has accepted and that are not served yet.
    backlog: WaitingInput,
    clients: BTreeMap<ClientId, ClientConnection>,
    client_memory: ClientMemory,
    max_clients: usize,
    clients_accepted: u64,
    undelivered_ends: UndeliveredEnds,
    spent_ids: SpentIds,
    unconfirmed_tasks: UnconfirmedTasks,
    unlisted_tasks: UnlistedTasks,
    unconfirmed_stops: UnconfirmedStops,
    /// Ordered from the oldest to the newest.
    early_ends: VecDeque<EarlyEnd>,
    nodes: Nodes,
    connections: NodeConnections,
    health_checks: BTreeMap<u64, HealthCheck>,
    last_health_check_id: u64,
    timers: BTreeSet<(Ticks, Timer)>,
    deferred: VecDeque<DeferredEvent>,
    /// The number of turns so far.
    turns: u64,
    /// Tasks whose clients have not received a final answer.
    unanswered: BTreeSet<AllocationId>,
    engine_timer: Option<Ticks>,
    armed_timer: Option<Ticks>,
    last_event: u64,
    /// True once no more set-ups are accepted.
    stopping: bool,
    settings: Arc<Settings>,
}

/// All state of one dispatcher.
pub struct PlatformCore {
    engine: Engine<PendingTask>,
    state: PlatformState,
}

/// Returns the settings of the cluster, adapted to this platform: the control feed is always
/// watched, even if the settings configure another discovery mode, and no caller reports a machine
/// that has vanished.
fn platform_cluster(settings: &Settings) -> Result<Cluster, SettingsError> {
    let cluster = settings.cluster()?;
    Ok(Cluster {
        list_poll_interval: cluster.list_poll_interval.or(Some(0)),
        caller_detects_losses: false,
        ..cluster
    })
}

impl PlatformCore {
    /// Creates a core without nodes and clients.
    pub fn new(options: CoreOptions, now: Ticks, effects: Box<dyn Effects>) -> PlatformCore {
        let limits = &options.settings.limits;
        let timeout =
            |us: Option<u64>, default| us.map_or(default, corkspan_settings::ticks_from_us);
        let connections = NodeConnections::new(
            options.max_node_connections,
            options.settings.connect_timeout(),
            // Idle connections are closed well before the node closes them: a set-up that crosses
            // the node's close would be lost.
            timeout(limits.idle_close_us, 15 * SECOND) * 2 / 3,
        );
        PlatformCore {
            engine: Engine::new(
                options.cluster,
                options.seed,
                now,
                MAX_RUNNING_TASKS + MAX_OPEN_SET_UPS,
                RetryBatch::ON_DEMAND,
            ),
            state: PlatformState {
                effects,
                now,
                polls: PollTimes::new(now),
                backlog: WaitingInput::since(now),
                clients: BTreeMap::new(),
                client_memory: ClientMemory::new(options.memory.client_bytes, options.max_clients),
                max_clients: options.max_clients,
                clients_accepted: 0,
                undelivered_ends: UndeliveredEnds::default(),
                spent_ids: SpentIds::default(),
                unconfirmed_tasks: UnconfirmedTasks::default(),
                unlisted_tasks: UnlistedTasks::default(),
                unconfirmed_stops: UnconfirmedStops::default(),
                early_ends: VecDeque::new(),
                nodes: Nodes::default(),
                connections,
                health_checks: BTreeMap::new(),
                last_health_check_id: options.seed,
                timers: BTreeSet::new(),
                deferred: VecDeque::new(),
                turns: 0,
                unanswered: BTreeSet::new(),
                engine_timer: None,
                armed_timer: None,
                last_event: 0,
                stopping: false,
                settings: Arc::new(options.settings),
            },
        }
    }

    /// Handles one event, then the deferred events and engine work that it causes; sets the timer.
    fn process_event<R>(
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
                                result,
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
        let next_timer = [state.engine_timer, state.timers.first().map(|(at, _)| *at)]
            .into_iter()
            .flatten()
            .min();
        if let Some(at) = next_timer.filter(|_| next_timer != state.armed_timer) {
            state.armed_timer = next_timer;
            state.effects.arm_timer(at);
        }
        if engine.has_queued() {
            state.effects.request_turn();
        }
        result
    }
}
