//! The core's inputs: each event from the outside is one call.

use super::*;
use crate::errors::ReconfigureError;
use corkspan_platform_wire::client::Reader;

impl PlatformCore {
    /// Applies the events that the configuration file holds at the start.
    pub fn apply_initial_state(&mut self, now: Ticks, known: DiscoveryState) {
        self.process_event(now, |engine, state| {
            known
                .events
                .into_iter()
                .for_each(|event| state.apply_event(now, engine, event));
            state.last_event = state.last_event.max(known.last_event);
        });
    }

    /// Starts what follows from the initial state.
    pub fn start(&mut self, now: Ticks) {
        self.process_event(now, |_, _| ());
    }

    /// Places waiting set-ups while there is time. True where some still wait: between two turns
    /// all connections are read, so that messages of nodes and clients wait for one turn and not
    /// for all set-ups.
    pub fn run_turn(&mut self, now: Ticks, has_time: impl Fn() -> bool) -> bool {
        self.process_event(now, |engine, state| {
            // In this order: a set-up that has been taken from the queue must have its turn.
            while has_time()
                && let Some(id) = engine.next_queued()
            {
                state.read_pending_input(now, engine, id);
                engine.evaluate(now, id, state);
            }
            engine.has_queued()
        })
    }

    /// The timer has fired.
    pub fn timer_fired(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            state.armed_timer = None;
            if state.engine_timer.is_some_and(|at| at <= now) {
                state.engine_timer = None;
                engine.timer_fired(now);
            }
            while let Some(&(at, timer)) = state.timers.first().filter(|(at, _)| *at <= now) {
                state.timers.remove(&(at, timer));
                match timer {
                    Timer::Attempt(id, number) => state.attempt_timed_out(now, engine, id, number),
                    Timer::Stop(id) => {
                        state.task_ended(now, engine, id, AttemptResult::Cancelled, None, None)
                    }
                    Timer::Unreachable(machine) => state.machine_lost(now, engine, machine, at),
                    Timer::HealthCheck(check) => {
                        if let Some(HealthCheck {
                            machine,
                            connection,
                        }) = state.health_checks.remove(&check)
                        {
                            state.connections.drain(connection);
                            engine.record_health_check(now, machine, AttemptResult::TimedOut, None);
                        }
                    }
                }
            }
        });
    }

    /// A client has connected. None where the maximum is reached and each connection has a set-up
    /// open.
    pub fn client_connected(&mut self, now: Ticks) -> Option<(ClientId, MessageQueue)> {
        let (to, queue) = message_queue();
        self.process_event(now, |engine, state| {
            if state.clients.len() >= state.max_clients && !state.evict_client(now, engine) {
                return None;
            }
            state.clients_accepted += 1;
            let id = ClientId(state.clients_accepted);
            let client = ClientConnection {
                to,
                input: None,
                reader: Reader::default(),
                drained_at: now,
                open_set_ups: BTreeSet::new(),
                running: 0,
                connected_at: now,
                last_active_at: now,
                valid: false,
                partial_since: None,
            };
            state.clients.insert(id, client);
            Some((id, queue))
        })
    }

    /// Descriptors have run out: closes the least useful client's connection.
    pub fn evict_client(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| state.evict_client(now, engine));
    }

    /// A client's connection has ended.
    pub fn client_disconnected(&mut self, now: Ticks, id: ClientId) {
        self.process_event(now, |engine, state| state.close_client(now, engine, id));
    }

    /// A client's connection can be read from here on.
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

    /// A message of a client. False where its connection is to be closed.
    #[cfg(test)]
    pub fn handle_client_message(&mut self, now: Ticks, id: ClientId, message: &Message) -> bool {
        self.process_event(now, |engine, state| {
            state.handle_client_message(now, engine, id, message)
        })
    }

    /// Ends of running tasks that were not delivered on their client's connection.
    pub fn redeliver(&mut self, now: Ticks, messages: Vec<Vec<u8>>) {
        self.process_event(now, |_, state| {
            messages
                .into_iter()
                .for_each(|message| state.send_to_any_client(message))
        });
    }

    /// A connection to a node is established.
    pub fn connection_established(&mut self, now: Ticks, id: ConnectionId) {
        self.process_event(now, |_, state| state.connections.mark_established(id, now));
    }

    /// The first byte of a set-up is about to be written. False where it must not be any more.
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

    /// A connection to a node has ended.
    pub fn connection_ended(&mut self, now: Ticks, id: ConnectionId, end: ConnectionEnd) {
        self.process_event(now, |engine, state| {
            state.remove_connection(now, engine, id, end)
        });
    }

    /// Handles a message of a node. False where its connection is to be closed.
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
            state.handle_node_message(now, engine, connection, machine, message)
        })
    }

    /// The number of the last discovery event.
    pub fn last_event(&self) -> u64 {
        self.state.last_event
    }

    /// The connection to the control feed is established.
    pub fn discovery_connected(&mut self, now: Ticks) {
        self.process_event(now, |engine, _| {
            engine.apply_endpoint_list(ListUpdate::Incremental, &[])
        });
    }

    /// Applies a discovery event.
    pub fn apply_event(&mut self, now: Ticks, event: Event) {
        self.process_event(now, |engine, state| state.apply_event(now, engine, event));
    }

    /// The connection to the control feed has broken.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        self.process_event(now, |engine, _| engine.endpoint_watch_failed(now));
    }

    /// The configuration file has been replaced: applies its settings. An error where they differ
    /// in what can't be changed while it runs.
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
            engine.reconfigure(now, cluster, MAX_TASKS);
            Ok(())
        })
    }

    /// Closes connections that are silent or idle, and opens missing ones.
    pub fn sweep(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| state.sweep(now, engine));
    }

    /// How many items are retained, for tests of bounds and the log.
    pub fn retained_items(&self) -> usize {
        let PlatformCore { engine, state } = self;
        let entries = state.undelivered.len()
            + state.deferred.len()
            + state.health_checks.len()
            + state.timers.len()
            + state.unanswered.len();
        let entries = entries + state.early_ends.len();
        engine.state_size()
            + state.clients.len()
            + state.nodes.retained_items()
            + state.connections.retained_items()
            + entries
    }

    /// How many set-ups are due an answer.
    pub fn unanswered(&self) -> usize {
        self.state.unanswered.len()
    }

    /// Shutdown: each set-up is answered as soon as its attempt has returned; new ones are rejected
    /// at once.
    pub fn stop(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            state.stopping = true;
            engine.stop(now, state);
        });
    }

    /// The longest time that clients wait for an answer, where the settings say so.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.state.settings.longest_deadline()
    }

    /// Applies events of a new configuration file. Only those that follow on the last known one or
    /// are complete: the rest comes from the control feed.
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

    /// Answers the set-ups whose attempts have not returned. All connections close once all is
    /// written.
    pub fn abandon_all(&mut self, now: Ticks) {
        self.process_event(now, |engine, state| {
            for (id, attempt) in engine.unanswered() {
                state.attempt_timed_out(now, engine, id, attempt);
            }
        });
        self.state.clients.clear();
        self.state.connections = NodeConnections::new(0, 0, 0);
    }
}
