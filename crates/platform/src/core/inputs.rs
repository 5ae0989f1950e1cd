//! The inputs of the core: one method for each event from the outside.

use super::*;
use crate::errors::ReconfigureError;
use arrival_times::counted_from;
use client_connections::CloseReason;
use corkspan_platform_wire::client::Reader;
use tracing::debug;

impl PlatformCore {
    /// Applies the events that the configuration file contains at startup.
    pub fn apply_initial_state(&mut self, now: Ticks, known: DiscoveryState) {
        self.process_event(now, |engine, state| {
            known
                .events
                .into_iter()
                .for_each(|event| state.apply_event(now, engine, event));
            state.last_event = state.last_event.max(known.last_event);
        });
    }

    /// Processes the engine's first work and sets the timer. Called once the process holds its
    /// address, so that the former one has stopped.
    pub fn start(&mut self, now: Ticks) {
        self.process_event(now, |engine, _| engine.record_start(now));
    }

    /// Places waiting set-ups while there is time. Returns true if some still wait. All connections
    /// are read between two turns, so that a message of a node or client waits for at most one turn
    /// and not for all set-ups.
    pub fn run_turn(&mut self, now: Ticks, has_time: impl Fn() -> bool) -> bool {
        self.process_event(now, |engine, state| {
            state.turns += 1;
            let mut unread = Vec::new();
            // The time is checked first: a set-up that was taken from the queue must be evaluated,
            // or queued again.
            while has_time()
                && let Some(id) = engine.next_queued()
            {
                if state.read_pending_input(now, engine, id) {
                    engine.evaluate(now, id, state);
                } else {
                    unread.push(id);
                }
            }
            for id in unread {
                engine.place(now, id, state);
            }
            engine.has_queued()
        })
    }

    /// Handles all timers that are due.
    pub fn timer_fired(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            state.armed_timer = None;
            if state.engine_timer.is_some_and(|at| at <= now) {
                state.engine_timer = None;
                engine.timer_fired(now);
            }
            while let Some(&(at, timer)) = state.timers.first().filter(|(at, _)| *at <= now) {
                state.timers.remove(&(at, timer));
                state.handle_timer(now, engine, at, timer);
            }
        });
    }

    /// Registers a client's connection. Returns `None` if the maximum is reached and every
    /// connection has an open set-up.
    pub fn client_connected(&mut self, now: Ticks) -> Option<(ClientId, MessageQueue)> {
        let (sender, queue) = message_queue();
        self.process_event(now, |engine, state| {
            if state.clients.len() >= state.max_clients && !state.evict_client(now, engine) {
                return None;
            }
            state.clients_accepted += 1;
            let waiting = WaitingInput::since(state.backlog.found(&state.polls));
            let id = ClientId(state.clients_accepted);
            let client = ClientConnection {
                sender,
                input: None,
                reader: Reader::default(),
                input_read_at: now,
                arrivals: ArrivalTimes::new(waiting),
                open_set_ups: BTreeSet::new(),
                rejected_duplicates: BTreeSet::new(),
                running: 0,
                connected_at: now,
                last_active_at: now,
                valid: false,
                partial_since: None,
                sent_ends: SentEnds::default(),
                copied_ends: EndNumber::default(),
                flooded_in_turn: None,
                open_bytes: 0,
                from_pool: 0,
            };
            state.clients.insert(id, client);
            debug!(?id, open = state.clients.len(), "a client has connected");
            Some((id, queue))
        })
    }

    /// Records that the system holds no connection that is not served yet.
    pub fn backlog_drained(&mut self, now: Ticks) {
        self.state.backlog.drained(now);
    }

    /// Records a poll for input that was due at the given time.
    pub fn record_poll(&mut self, due_at: Ticks) {
        self.state.polls.record(due_at);
    }

    /// Returns from when the time of something counts that is noticed now, and that the process was
    /// told of by a signal.
    pub fn noticed_from(&self, now: Ticks) -> Ticks {
        counted_from(self.state.polls.nothing_waited_at(), now)
    }

    /// Closes the least useful client's connection, because descriptors have run out.
    pub fn evict_client(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| state.evict_client(now, engine));
    }

    /// Handles the end of a client's connection.
    pub fn client_disconnected(&mut self, now: Ticks, id: ClientId) {
        self.process_event(now, |engine, state| {
            state.close_client(now, engine, id, CloseReason::TaskEnded);
        });
    }

    /// Sets the reading end of a client's connection.
    pub fn attach_client_input(&mut self, id: ClientId, input: ConnectionInput) {
        self.state
            .clients
            .get_mut(&id)
            .into_iter()
            .for_each(|client| client.input = Some(input.clone()));
    }

    /// Handles the next message of a client.
    pub fn read_client_message(&mut self, now: Ticks, id: ClientId) -> ReadProgress {
        self.process_event(now, |engine, state| {
            state.read_next_message(now, engine, id)
        })
    }

    /// Handles a message of a client. Returns false if its connection must be closed.
    #[cfg(test)]
    pub fn handle_client_message(&mut self, now: Ticks, id: ClientId, message: &Message) -> bool {
        self.process_event(now, |engine, state| {
            state.handle_client_message(now, engine, id, message, now)
        })
    }

    /// Sends ends of running tasks that could not be delivered on their client's connection.
    pub fn redeliver(&mut self, now: Ticks, ends: Vec<TaskEnd>) {
        self.process_event(now, |_, state| {
            ends.into_iter()
                .for_each(|end| state.send_to_possible_clients(end))
        });
    }

    /// Records that a connection to a node is established.
    pub fn connection_established(&mut self, now: Ticks, id: ConnectionId) {
        self.process_event(now, |engine, state| {
            state.connection_established(now, engine, id);
        });
    }

    /// Returns whether a set-up may still be written; called right before its first byte. If true,
    /// the attempt counts as started.
    pub fn may_write_set_up(
        &mut self,
        now: Ticks,
        connection: ConnectionId,
        attempt: AttemptId,
    ) -> bool {
        self.process_event(now, |engine, state| {
            state.may_write_set_up(now, engine, connection, attempt)
        })
    }

    /// Returns the line of a set-up that is written now.
    pub fn set_up_line(&mut self, now: Ticks, attempt: AttemptId) -> Option<Vec<u8>> {
        self.state.set_up_line(now, &mut self.engine, attempt)
    }

    /// Handles the end of a connection to a node.
    pub fn connection_ended(&mut self, now: Ticks, id: ConnectionId, end: ConnectionEnd) {
        self.process_event(now, |engine, state| {
            state.remove_connection(now, engine, id, end)
        });
    }

    /// Handles a message of a node. Returns false if its connection must be closed.
    pub fn handle_node_message(
        &mut self,
        now: Ticks,
        connection: ConnectionId,
        message: node::Message,
    ) -> bool {
        self.process_event(now, |engine, state| {
            let Some(machine) = state.connections.touch(connection, now) else {
                return false;
            };
            engine.record_heard(now, machine);
            state.handle_node_message(now, engine, connection, machine, message)
        })
    }

    /// Returns the number of the last discovery event.
    pub fn last_event(&self) -> u64 {
        self.state.last_event
    }

    /// Records that the connection to the control feed is established.
    pub fn discovery_connected(&mut self, now: Ticks) {
        self.process_event(now, |engine, _| {
            engine.apply_endpoint_list(ListUpdate::Incremental, &[])
        });
    }

    /// Applies a discovery event.
    pub fn apply_event(&mut self, now: Ticks, event: Event) {
        self.process_event(now, |engine, state| state.apply_event(now, engine, event));
    }

    /// Records that the connection to the control feed has broken.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        self.process_event(now, |engine, _| engine.endpoint_watch_failed(now));
    }

    /// Applies the settings of a new configuration file. Fails if they are invalid or differ in
    /// names that can't be changed while the dispatcher runs.
    pub fn reconfigure(&mut self, now: Ticks, config: NodeConfig) -> Result<(), ReconfigureError> {
        let cluster = platform_cluster(&config.settings)?;
        self.process_event(now, |engine, state| {
            let names = |settings: &Settings| -> Vec<String> {
                let classes = settings.classes.iter().map(|class| &class.name);
                let all = classes.chain(settings.tenants.iter().map(|tenant| &tenant.name));
                all.chain(&settings.zones)
                    .chain(&settings.machine_types)
                    .cloned()
                    .collect()
            };
            if names(&state.settings) != names(&config.settings) {
                return Err(ReconfigureError::NamesChanged);
            }
            state.settings = Arc::new(config.settings);
            engine.reconfigure(now, cluster, MAX_RUNNING_TASKS + MAX_OPEN_SET_UPS);
            Ok(())
        })
    }

    /// Closes silent and idle connections, and opens missing ones.
    pub fn sweep(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| state.sweep(now, engine));
    }

    /// Returns the number of retained items, for tests of bounds and for the log.
    pub fn retained_items(&self) -> usize {
        let PlatformCore { engine, state } = self;
        let entries = state.undelivered_ends.len()
            + state.deferred.len()
            + state.health_checks.len()
            + state.timers.len()
            + state.unanswered.len();
        let entries = entries + state.early_ends.len() + state.unconfirmed_tasks.len();
        let entries = entries + state.unlisted_tasks.len();
        let sent_ends = state.clients.values().map(|client| client.sent_ends.len());
        let entries = entries + sent_ends.sum::<usize>();
        let entries = entries + state.spent_ids.len() + state.unconfirmed_stops.len();
        engine.state_size()
            + state.clients.len()
            + state.nodes.retained_items()
            + state.connections.retained_items()
            + entries
    }

    /// Returns the number of set-ups without a final answer.
    pub fn unanswered(&self) -> usize {
        self.state.unanswered.len()
    }

    /// Starts the shutdown: each set-up is answered as soon as its attempt has returned, and new
    /// ones are rejected at once.
    pub fn stop(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            state.stopping = true;
            engine.stop(now, state);
        });
    }

    /// Returns the longest time that clients wait for an answer, if the settings define one.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.state.settings.longest_deadline()
    }

    /// Applies the events of a new configuration file that are complete or directly follow the last
    /// known event. The control feed sends the rest.
    pub fn apply_known_events(&mut self, now: Ticks, known: DiscoveryState) {
        self.process_event(now, |engine, state| {
            for event in known.events {
                let complete = event.list.as_ref().is_some_and(|list| list.complete);
                if complete || event.number == state.last_event + 1 {
                    state.apply_event(now, engine, event);
                }
            }
        });
    }

    /// Answers the set-ups whose attempts have not returned, and rejects unread ones. Each connection closes once its queued
    /// messages are written.
    pub fn abandon_all(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            for (id, attempt) in engine.unanswered() {
                state.attempt_timed_out(now, engine, id, attempt);
            }
            state.handle_last_input(now, engine);
        });
        self.state.clients.clear();
        self.state.connections = NodeConnections::new(0, 0, 0);
    }
}
