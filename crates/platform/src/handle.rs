//! The core behind a lock and with the clock: what the tasks of the process call.

use crate::core::{ConnectionEnd, CoreOptions, Effects, PlatformCore};
use crate::errors::ReconfigureError;
use crate::ids::{AttemptId, ClientId, ConnectionId};
use crate::reader::{ConnectionInput, ReadProgress};
use crate::writer::MessageQueue;
#[cfg(test)]
use corkspan_platform_wire::client::Message;
use corkspan_platform_wire::discovery::Event;
use corkspan_platform_wire::node;
use corkspan_platform_wire::node_config::{DiscoveryState, NodeConfig};
use corkspan_runtime::clock::{Clock, duration};
use corkspan_scheduler::interface::Ticks;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// How long waiting set-ups are placed before the connections are read again.
const TURN_LENGTH: Ticks = 20;

/// The core, shared by all tasks.
pub struct PlatformHandle {
    core: Mutex<PlatformCore>,
    clock: Clock,
    /// Where a test sets the time: 0 otherwise.
    #[cfg(test)]
    pub time_override: std::sync::atomic::AtomicU64,
}

impl PlatformHandle {
    /// A core with its clock. `effects` may call back here, but not before the call that caused it
    /// has returned.
    pub fn new(
        options: CoreOptions,
        clock: Clock,
        effects: impl FnOnce(Weak<PlatformHandle>) -> Box<dyn Effects>,
    ) -> Arc<Self> {
        let known = options.initial_state.clone();
        let handle = Arc::new_cyclic(|handle| PlatformHandle {
            core: Mutex::new(PlatformCore::new(
                options,
                clock.now(),
                effects(handle.clone()),
            )),
            clock,
            #[cfg(test)]
            time_override: std::sync::atomic::AtomicU64::new(0),
        });
        handle.with_core(|core, now| core.apply_initial_state(now, known));
        handle
    }

    fn now(&self) -> Ticks {
        #[cfg(test)]
        if let at @ 1.. = self
            .time_override
            .load(std::sync::atomic::Ordering::Relaxed)
        {
            return at;
        }
        self.clock.now()
    }

    /// The core, for calls that need no time.
    pub fn lock(&self) -> MutexGuard<'_, PlatformCore> {
        // A panic under the lock would leave the bookkeeping in doubt: go down with it rather than guess.
        self.core
            .lock()
            .expect("no call has panicked under the lock")
    }

    /// Calls the core with the time, which is taken under the lock: it never goes back between two
    /// calls.
    pub fn with_core<R>(&self, call: impl FnOnce(&mut PlatformCore, Ticks) -> R) -> R {
        let mut core = self.lock();
        let now = self.now();
        call(&mut core, now)
    }

    /// Starts what follows from the initial state.
    pub fn start(&self) {
        self.with_core(|core, now| core.start(now))
    }

    /// Places waiting set-ups while there is time. True where some still wait: between two turns
    /// all connections are read, so that messages of nodes and clients wait for one turn and not
    /// for all set-ups.
    pub fn run_turn(&self) -> bool {
        self.with_core(|core, now| core.run_turn(now, || self.now() < now + TURN_LENGTH))
    }

    /// The timer has fired.
    pub fn timer_fired(&self) {
        self.with_core(|core, now| core.timer_fired(now))
    }

    /// A client has connected. None where the maximum is reached and each connection has a set-up
    /// open.
    pub fn client_connected(&self) -> Option<(ClientId, MessageQueue)> {
        self.with_core(|core, now| core.client_connected(now))
    }

    /// Descriptors have run out: closes the least useful client's connection.
    pub fn evict_client(&self) {
        self.with_core(|core, now| core.evict_client(now))
    }

    /// A client's connection has ended.
    pub fn client_disconnected(&self, id: ClientId) {
        self.with_core(|core, now| core.client_disconnected(now, id))
    }

    /// A client's connection can be read from here on.
    pub fn attach_client_input(&self, id: ClientId, input: ConnectionInput) {
        self.lock().attach_client_input(id, input);
    }

    /// Handles the next message of a client.
    pub fn read_client_message(&self, id: ClientId) -> ReadProgress {
        self.with_core(|core, now| core.read_client_message(now, id))
    }

    /// A message of a client. False where its connection is to be closed.
    #[cfg(test)]
    pub fn handle_client_message(&self, id: ClientId, message: &Message) -> bool {
        self.with_core(|core, now| core.handle_client_message(now, id, message))
    }

    /// Ends of running tasks that were not delivered on their client's connection.
    pub fn redeliver(&self, messages: Vec<Vec<u8>>) {
        self.with_core(|core, now| core.redeliver(now, messages))
    }

    /// A connection to a node is established.
    pub fn connection_established(&self, id: ConnectionId) {
        self.with_core(|core, now| core.connection_established(now, id))
    }

    /// The first byte of a set-up is about to be written. False where it must not be any more.
    pub fn may_write_set_up(&self, connection: ConnectionId, attempt: AttemptId) -> bool {
        self.with_core(|core, now| core.may_write_set_up(now, connection, attempt))
    }

    /// A connection to a node has ended.
    pub fn connection_ended(&self, id: ConnectionId, end: ConnectionEnd) {
        self.with_core(|core, now| core.connection_ended(now, id, end))
    }

    /// Handles a message of a node. False where its connection is to be closed.
    pub fn handle_node_message(&self, connection: ConnectionId, message: node::Message) -> bool {
        self.with_core(|core, now| core.handle_node_message(now, connection, message))
    }

    /// The number of the last discovery event.
    pub fn last_event(&self) -> u64 {
        self.lock().last_event()
    }

    /// The connection to the control feed is established.
    pub fn discovery_connected(&self) {
        self.with_core(|core, now| core.discovery_connected(now))
    }

    /// Applies a discovery event.
    pub fn apply_event(&self, event: Event) {
        self.with_core(|core, now| core.apply_event(now, event))
    }

    /// The connection to the control feed has broken.
    pub fn endpoint_watch_failed(&self) {
        self.with_core(|core, now| core.endpoint_watch_failed(now))
    }

    /// The configuration file has been replaced: applies its settings. An error where they differ
    /// in what can't be changed while it runs.
    pub fn reconfigure(&self, config: NodeConfig) -> Result<(), ReconfigureError> {
        self.with_core(|core, now| core.reconfigure(now, config))
    }

    /// Closes connections that are silent or idle, and opens missing ones.
    pub fn sweep(&self) {
        self.with_core(|core, now| core.sweep(now))
    }

    /// How many items are retained, for tests of bounds and the log.
    pub fn retained_items(&self) -> usize {
        self.lock().retained_items()
    }

    /// How many set-ups are due an answer.
    pub fn unanswered(&self) -> usize {
        self.lock().unanswered()
    }

    /// Shutdown: each set-up is answered as soon as its attempt has returned; new ones are rejected
    /// at once.
    pub fn stop(&self) {
        self.with_core(|core, now| core.stop(now))
    }

    /// The longest time that clients wait for an answer, where the settings say so.
    pub fn longest_deadline(&self) -> Option<Duration> {
        self.lock().longest_deadline().map(duration)
    }

    /// Applies events of a new configuration file. Only those that follow on the last known one or
    /// are complete: the rest comes from the control feed.
    pub fn apply_known_events(&self, known: DiscoveryState) {
        self.with_core(|core, now| core.apply_known_events(now, known))
    }

    /// Answers the set-ups whose attempts have not returned. All connections close once all is
    /// written.
    pub fn abandon_all(&self) {
        self.with_core(|core, now| core.abandon_all(now))
    }
}
