//! What the outside tells the core. Whoever reads a message, or finds that a connection has ended,
//! calls in here directly.

use super::*;
use corkspan_platform_wire::client::Reader;

impl PlatformCore {
    /// Takes over what the file says at the start that the feed has told.
    pub fn apply_initial_state(&mut self, now: Ticks, known: DiscoveryState) {
        self.with(now, |engine, state| {
            known
                .events
                .into_iter()
                .for_each(|event| state.apply_event(now, engine, event));
            state.last_event = state.last_event.max(known.last_event);
        });
    }

    /// Sets going what is to be done from the start on.
    pub fn start(&mut self, now: Ticks) {
        self.with(now, |_, _| ());
    }

    /// Asks the decisions for those that wait, for a moment. True where some still do: between two
    /// turns all connections are read, so that what nodes and owners say waits for one turn and
    /// not for all set-ups.
    pub fn run_turn(&mut self, now: Ticks, has_time: impl Fn() -> bool) -> bool {
        self.with(now, |engine, state| {
            // In this order: one that has been taken from the queue must have its turn.
            while has_time()
                && let Some(id) = engine.next_turn()
            {
                state.read_pending_input(now, engine, id);
                engine.ask(now, id, state);
            }
            engine.waits_for_turn()
        })
    }

    /// The timer went off.
    pub fn timer_fired(&mut self, now: Ticks) {
        self.with(now, |engine, state| {
            state.armed_timer = None;
            if state.engine_timer.is_some_and(|at| at <= now) {
                state.engine_timer = None;
                engine.woken(now);
            }
            while let Some(&(at, timer)) = state.timers.first().filter(|(at, _)| *at <= now) {
                state.timers.remove(&(at, timer));
                match timer {
                    Timer::Attempt(id, number) => state.timed_out(now, engine, id, number),
                    Timer::Stop(id) => {
                        state.task_ended(now, engine, id, AttemptResult::Cancelled, None, None)
                    }
                    Timer::Unreachable(machine) => state.machine_lost(now, engine, machine, at),
                    Timer::HealthCheck(check) => {
                        if let Some((machine, connection)) = state.health_checks.remove(&check) {
                            state.connections.retire(connection);
                            engine.probed(now, machine, AttemptResult::TimedOut, None);
                        }
                    }
                }
            }
        });
    }

    /// An owner has connected. None where there are as many as may be and each has a set-up open.
    pub fn client_connected(&mut self, now: Ticks) -> Option<(ClientId, MessageQueue)> {
        let (to, queue) = message_queue();
        self.with(now, |engine, state| {
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

    /// Descriptors have run out.
    pub fn evict_client(&mut self, now: Ticks) {
        self.with(now, |engine, state| state.evict_client(now, engine));
    }

    pub fn client_disconnected(&mut self, now: Ticks, id: ClientId) {
        self.with(now, |engine, state| state.close_client(now, engine, id));
    }

    /// Its connection can be read from here on.
    pub fn attach_client_input(&mut self, id: ClientId, input: ConnectionInput) {
        self.state
            .clients
            .get_mut(&id)
            .into_iter()
            .for_each(|client| client.input = Some(input.clone()));
    }

    /// Handles the next message of an owner.
    pub fn read_client_message(&mut self, now: Ticks, id: ClientId) -> ReadProgress {
        self.with(now, |engine, state| {
            state.read_next_message(now, engine, id)
        })
    }

    /// A message of an owner. False where its connection is to be closed.
    #[cfg(test)]
    pub fn handle_client_message(&mut self, now: Ticks, id: ClientId, message: &Message) -> bool {
        self.with(now, |engine, state| {
            state.handle_client_message(now, engine, id, message)
        })
    }

    /// Ends of what stood that their owner's connection could not take any longer.
    pub fn redeliver(&mut self, now: Ticks, messages: Vec<Vec<u8>>) {
        self.with(now, |_, state| {
            messages
                .into_iter()
                .for_each(|messages| state.send_to_any_client(messages))
        });
    }

    pub fn connection_established(&mut self, now: Ticks, id: ConnectionId) {
        self.with(now, |_, state| state.connections.established(id, now));
    }

    /// The first byte of a set-up is about to be written. False where that must not be any more.
    pub fn may_write_set_up(
        &mut self,
        now: Ticks,
        connection: ConnectionId,
        attempt: AttemptId,
    ) -> bool {
        self.with(now, |engine, state| {
            state.may_write_set_up(now, engine, connection, attempt)
        })
    }

    pub fn connection_ended(&mut self, now: Ticks, id: ConnectionId, end: ConnectionEnd) {
        self.with(now, |engine, state| {
            state.remove_connection(now, engine, id, end)
        });
    }

    /// A message of a node. False where its connection is of no more use.
    pub fn handle_node_message(
        &mut self,
        now: Ticks,
        connection: ConnectionId,
        message: node::Message,
    ) -> bool {
        self.with(now, |engine, state| {
            let Some(machine) = state.connections.touch(connection, now) else {
                return false;
            };
            state.handle_node_message(now, engine, connection, machine, message)
        })
    }

    pub fn last_event(&self) -> u64 {
        self.state.last_event
    }

    /// The feed has taken our call.
    pub fn discovery_connected(&mut self, now: Ticks) {
        self.with(now, |engine, _| engine.listed(ListUpdate::Incremental, &[]));
    }

    pub fn apply_event(&mut self, now: Ticks, event: Event) {
        self.with(now, |engine, state| state.apply_event(now, engine, event));
    }

    pub fn list_failed(&mut self, now: Ticks) {
        self.with(now, |engine, _| engine.list_failed(now));
    }

    /// The file has been replaced: other settings may be in force from here on.
    pub fn reconfigure(&mut self, now: Ticks, config: NodeConfig) -> Result<(), String> {
        let cluster = cluster(&config.settings)?;
        self.with(now, |engine, state| {
            let names = |settings: &Facts| -> Vec<String> {
                let classes = settings.classes.iter().map(|class| &class.name);
                let all = classes.chain(settings.tenants.iter().map(|tenant| &tenant.name));
                all.chain(&settings.zones)
                    .chain(&settings.skus)
                    .cloned()
                    .collect()
            };
            if names(&state.settings) != names(&config.settings) {
                return Err("its classes, tenants, zones or kinds are others".into());
            }
            state.settings = Arc::new(config.settings);
            engine.adopt(now, cluster, MAX_TASKS);
            Ok(())
        })
    }

    /// Closes what is silent, idle or of no more use, and opens what is missing.
    pub fn sweep(&mut self, now: Ticks) {
        self.with(now, |engine, state| state.sweep(now, engine));
    }

    /// How much is kept of all that was ever met.
    pub fn retained_items(&self) -> usize {
        let PlatformCore { engine, state } = self;
        let messages = state.undelivered.len()
            + state.deferred.len()
            + state.health_checks.len()
            + state.timers.len()
            + state.unanswered.len();
        let messages = messages + state.early_ends.len();
        engine.kept()
            + state.clients.len()
            + state.nodes.retained_items()
            + state.connections.retained_items()
            + messages
    }

    pub fn unanswered(&self) -> usize {
        self.state.unanswered.len()
    }

    /// Each one that is owed an answer gets it as soon as its attempt out has returned; what comes
    /// from here on is refused at once.
    pub fn stop(&mut self, now: Ticks) {
        self.with(now, |engine, state| {
            state.stopping = true;
            engine.stop(now, state);
        });
    }

    /// The longest that owners wait for an answer, where the settings say.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.state.settings.longest_deadline()
    }

    /// What another file says that the feed has told. Only what follows on what is known already,
    /// or is whole: the rest is told by the feed.
    pub fn apply_known_events(&mut self, now: Ticks, known: DiscoveryState) {
        self.with(now, |engine, state| {
            for event in known.events {
                let whole = event.list.as_ref().is_some_and(|members| members.complete);
                if whole || event.number == state.last_event + 1 {
                    state.apply_event(now, engine, event);
                }
            }
        });
    }

    /// Those whose attempts have not returned yet get their answers without. All connections close
    /// once all is written.
    pub fn abandon_all(&mut self, now: Ticks) {
        self.with(now, |engine, state| {
            for (id, shot) in engine.unanswered() {
                state.timed_out(now, engine, id, shot);
            }
        });
        self.state.clients.clear();
        self.state.connections = NodeConnections::new(0, 0, 0);
    }
}
