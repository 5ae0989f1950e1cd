//! Shares the core between the tasks of the process: adds a lock and the clock to each call.

use crate::core::{ConnectionEnd, CoreOptions, Effects, PlatformCore};
use crate::errors::ReconfigureError;
use crate::ids::{AttemptId, ClientId, ConnectionId};
use crate::reader::{ConnectionInput, ReadProgress};
use crate::task_end::TaskEnd;
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

/// Time for which waiting set-ups are placed before the connections are read again.
const TURN_LENGTH: Ticks = 20;

/// A core that all tasks share.
pub struct PlatformHandle {
    core: Mutex<PlatformCore>,
    clock: Clock,
    /// The time that a test has set; 0 to use the clock.
    #[cfg(test)]
    pub time_override: std::sync::atomic::AtomicU64,
}

impl PlatformHandle {
    /// Creates a core with its clock. `effects` may call the handle, but not before the call that
    /// caused the effect has returned.
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

    /// Returns the current time.
    pub fn now(&self) -> Ticks {
        #[cfg(test)]
        if let at @ 1.. = self
            .time_override
            .load(std::sync::atomic::Ordering::Relaxed)
        {
            return at;
        }
        self.clock.now()
    }

    /// Locks the core, for calls that need no time.
    pub fn lock(&self) -> MutexGuard<'_, PlatformCore> {
        // After a panic under the lock the state may be inconsistent, so the process must end too.
        self.core
            .lock()
            .expect("no call has panicked under the lock")
    }

    /// Calls the core with the current time. The time is read under the lock, so that it never goes
    /// back between two calls.
    pub fn with_core<R>(&self, call: impl FnOnce(&mut PlatformCore, Ticks) -> R) -> R {
        let mut core = self.lock();
        let now = self.now();
        call(&mut core, now)
    }

    /// Processes the engine's first work and sets the timer.
    pub fn start(&self) {
        self.with_core(|core, now| core.start(now))
    }

    /// Places waiting set-ups while there is time. Returns true if some still wait. All connections
    /// are read between two turns, so that a message of a node or client waits for one turn and not
    /// for all set-ups.
    pub fn run_turn(&self) -> bool {
        self.with_core(|core, now| core.run_turn(now, || self.now() < now + TURN_LENGTH))
    }

    /// Handles all timers that are due.
    pub fn timer_fired(&self) {
        self.with_core(|core, now| core.timer_fired(now))
    }

    /// Registers a client's connection. Returns none if the maximum is reached and every connection
    /// has an open set-up.
    pub fn client_connected(&self) -> Option<(ClientId, MessageQueue)> {
        self.with_core(|core, now| core.client_connected(now))
    }

    /// Records that the system holds no connection that is not served yet.
    pub fn backlog_drained(&self) {
        self.with_core(|core, now| core.backlog_drained(now))
    }

    /// Records a poll for input that was due at the given time.
    pub fn record_poll(&self, due_at: Ticks) {
        self.lock().record_poll(due_at);
    }

    /// Returns how long ago a signal may have been sent that is noticed now.
    pub fn noticing_delay(&self) -> Duration {
        self.with_core(|core, now| duration(now - core.noticed_from(now)))
    }

    /// Closes the least useful client's connection, because descriptors have run out.
    pub fn evict_client(&self) {
        self.with_core(|core, now| core.evict_client(now))
    }

    /// Handles the end of a client's connection.
    pub fn client_disconnected(&self, id: ClientId) {
        self.with_core(|core, now| core.client_disconnected(now, id))
    }

    /// Sets the reading end of a client's connection.
    pub fn attach_client_input(&self, id: ClientId, input: ConnectionInput) {
        self.lock().attach_client_input(id, input);
    }

    /// Handles the next message of a client.
    pub fn read_client_message(&self, id: ClientId) -> ReadProgress {
        self.with_core(|core, now| core.read_client_message(now, id))
    }

    /// Handles a message of a client. Returns false if its connection must be closed.
    #[cfg(test)]
    pub fn handle_client_message(&self, id: ClientId, message: &Message) -> bool {
        self.with_core(|core, now| core.handle_client_message(now, id, message))
    }

    /// Sends ends of running tasks that could not be delivered on their client's connection.
    pub fn redeliver(&self, ends: Vec<TaskEnd>) {
        self.with_core(|core, now| core.redeliver(now, ends))
    }

    /// Records that a connection to a node is established.
    pub fn connection_established(&self, id: ConnectionId) {
        self.with_core(|core, now| core.connection_established(now, id))
    }

    /// Returns whether a set-up may still be written; called right before its first byte. If true,
    /// the attempt counts as started.
    pub fn may_write_set_up(&self, connection: ConnectionId, attempt: AttemptId) -> bool {
        self.with_core(|core, now| core.may_write_set_up(now, connection, attempt))
    }

    /// Returns the line of a set-up that is written now.
    pub fn set_up_line(&self, attempt: AttemptId) -> Option<Vec<u8>> {
        self.with_core(|core, now| core.set_up_line(now, attempt))
    }

    /// Handles the end of a connection to a node.
    pub fn connection_ended(&self, id: ConnectionId, end: ConnectionEnd) {
        self.with_core(|core, now| core.connection_ended(now, id, end))
    }

    /// Handles a message of a node. Returns false if its connection must be closed.
    pub fn handle_node_message(&self, connection: ConnectionId, message: node::Message) -> bool {
        self.with_core(|core, now| core.handle_node_message(now, connection, message))
    }

    /// Returns the number of the last discovery event.
    pub fn last_event(&self) -> u64 {
        self.lock().last_event()
    }

    /// Records that the connection to the control feed is established.
    pub fn discovery_connected(&self) {
        self.with_core(|core, now| core.discovery_connected(now))
    }

    /// Applies a discovery event.
    pub fn apply_event(&self, event: Event) {
        self.with_core(|core, now| core.apply_event(now, event))
    }

    /// Records that the connection to the control feed has broken.
    pub fn endpoint_watch_failed(&self) {
        self.with_core(|core, now| core.endpoint_watch_failed(now))
    }

    /// Applies the settings of a new configuration file. Fails if they are invalid or differ in
    /// names that can't be changed while the dispatcher runs.
    pub fn reconfigure(&self, config: NodeConfig) -> Result<(), ReconfigureError> {
        self.with_core(|core, now| core.reconfigure(now, config))
    }

    /// Closes silent and idle connections, and opens missing ones.
    pub fn sweep(&self) {
        self.with_core(|core, now| core.sweep(now))
    }

    /// Returns the number of retained items, for tests of bounds and for the log.
    pub fn retained_items(&self) -> usize {
        self.lock().retained_items()
    }

    /// Returns the number of set-ups without a final answer.
    pub fn unanswered(&self) -> usize {
        self.lock().unanswered()
    }

    /// Starts the shutdown: each set-up is answered as soon as its attempt has returned, and new
    /// ones are rejected at once.
    pub fn stop(&self) {
        self.with_core(|core, now| core.stop(now))
    }

    /// Returns the longest time that clients wait for an answer, if the settings define one.
    pub fn longest_deadline(&self) -> Option<Duration> {
        self.lock().longest_deadline().map(duration)
    }

    /// Applies the events of a new configuration file that are complete or directly follow the last
    /// known event. The control feed sends the rest.
    pub fn apply_known_events(&self, known: DiscoveryState) {
        self.with_core(|core, now| core.apply_known_events(now, known))
    }

    /// Answers the set-ups whose attempts have not returned. Each connection closes once its queued
    /// messages are written.
    pub fn abandon_all(&self) {
        self.with_core(|core, now| core.abandon_all(now))
    }
}
