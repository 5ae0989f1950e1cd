//! Tests that retained state is bounded and does not grow with past events.

use super::pending_task::{Timer, task_key};
use super::*;
use crate::effects::{TaskEffects, WakeSenders};
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, Message, MessageType, Reader};
use corkspan_platform_wire::node::AttributeValue;
use corkspan_runtime::SharedExecutor;
use corkspan_runtime::clock::Clock;

pub(super) const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":256},
"feed":"127.0.0.1:1","known":{"n":0},"settings":{"classes":[{"effect":"pure","name":"batch","on-time-us":600000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],
"class-most":[2],"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],
"spread-by":["silent"],"view":false,"young-limit":1000000.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":true},
"locality":0,"me":0,"penalties":{},"rules":{"cold-us":0,"fall-us":0},"skus":["std"],"zones":["east"]}}"#;

pub(super) fn node_json(number: u64, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{number:x}","host_port":"127.0.0.1:9","locality":"east","flavor":"std","phase":"{phase}"}}"#
    )
}

pub(super) fn set_up(task: u64) -> Message {
    set_up_with_requirements(task, &format!("cores:1;memory:1;service:{task:x}"))
}

pub(super) fn set_up_with_requirements(task: u64, requirements: &str) -> Message {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, requirements.as_bytes()),
    ];
    let mut reader = Reader::default();
    reader.push(&client::encode(MessageType::SetUp, task, &parameters).expect("a short message"));
    reader.next_message().expect("valid").expect("complete")
}

pub(super) fn handle() -> Arc<PlatformHandle> {
    handle_with_config(CONFIG)
}

pub(super) fn handle_with_config(config: &str) -> Arc<PlatformHandle> {
    let config = NodeConfig::from_json(config.as_bytes()).expect("valid");
    create_handle(
        config,
        &DescriptorBudget::new(256).expect("enough descriptors"),
    )
    .0
}

/// Creates a core whose tasks are not run. Also returns the requests to watch the list of nodes.
pub(super) fn create_handle(
    config: NodeConfig,
    budget: &DescriptorBudget,
) -> (Arc<PlatformHandle>, async_channel::Receiver<()>) {
    let (timer_wakes, _timer_receiver) = async_channel::bounded(1);
    let (watch_sender, watch_receiver) = async_channel::bounded(1);
    let (turn_sender, _turn_receiver) = async_channel::bounded(1);
    let clock = Clock::start();
    let options = CoreOptions::new(config, budget).expect("valid");
    let handle = PlatformHandle::new(options, clock, |handle| {
        Box::new(TaskEffects {
            handle,
            clock,
            tasks: SharedExecutor::default(),
            wake_senders: WakeSenders {
                timer: timer_wakes,
                watch_endpoint_list: watch_sender,
                run_turn: turn_sender,
            },
            node_permits: Arc::clone(&budget.node_permits),
        })
    });
    (handle, watch_receiver)
}

/// Handles a message of a client, and places all waiting set-ups.
fn send_and_run_turns(handle: &PlatformHandle, client: ClientId, message: &Message) -> bool {
    let keep_open = handle.handle_client_message(client, message);
    while handle.run_turn() {}
    keep_open
}

/// Runs a task: its node answers the set-up, sends metrics of the task and releases it.
fn run_task(handle: &PlatformHandle, connection: ConnectionId, task: u64) {
    let node_message = |kind| node::Message::new(kind, task);
    assert!(handle.handle_node_message(
        connection,
        node::Message {
            text: Some("made".into()),
            ..node_message(node::MessageType::Ready)
        }
    ));
    for (note, value) in [("running", 1.0), ("use_cpu", 0.5), ("use_ram", 0.5)] {
        let mut event = node_message(node::MessageType::Event);
        event
            .attributes
            .insert("note".into(), AttributeValue::Text(note.into()));
        event
            .attributes
            .insert("value".into(), AttributeValue::Number(value));
        assert!(handle.handle_node_message(connection, event));
    }
    assert!(handle.handle_node_message(
        connection,
        node_message(node::MessageType::Close).with_cause(16)
    ));
}

/// Guards against tables that grow with every client, service, task or node ever seen. Each one is
/// new and never returns; the connections' tasks are not run. Ten rounds take a second of the test's
/// clock, so that what is kept for some seconds can't add up.
#[test]
fn tables_do_not_grow_with_past_clients_nodes_and_tasks() {
    let handle = handle();
    let started_at = handle.lock().state.now;
    let mut max_retained = 0;
    for round in 1..=6_000u64 {
        let now = started_at + round * SECOND / 10;
        handle
            .time_override
            .store(now, std::sync::atomic::Ordering::Relaxed);
        if round % 3 == 1 {
            let (new, old) = (
                node_json(round, "active"),
                node_json(round.saturating_sub(3), "left"),
            );
            let event = format!(r#"{{"n":{round},"members":{{"members":[{new},{old}]}}}}"#);
            handle.apply_event(serde_json::from_str(&event).expect("an event"));
        }
        let (id, _queue) = handle.client_connected().expect("there is room");
        assert!(send_and_run_turns(&handle, id, &set_up(round)));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
        run_task(&handle, connection, round);
        handle.client_disconnected(id);
        if round % 100 == 0 {
            // The scheduler evaluates at intervals of time, and this test runs faster than the
            // clock.
            handle.with_core(|core, now| {
                core.process_event(now, |engine, state| {
                    engine.poll(now + round * SECOND, state)
                });
            });
            handle.sweep();
            max_retained = max_retained.max(handle.retained_items());
        }
    }
    assert!(
        handle.lock().engine.state_size() >= 1_024,
        "records of past services are kept"
    );
    let state = &handle.lock().state;
    let sizes = (
        state.clients.len(),
        state.nodes.retained_items(),
        state.connections.retained_items(),
        state.health_checks.len(),
        state.timers.len(),
    );
    assert!(
        max_retained < 1_024 + 200,
        "{max_retained} retained; clients, nodes, connections, health checks, timers: {sizes:?}"
    );
}

#[test]
fn a_client_is_not_accepted_while_all_others_have_set_ups_open() {
    let handle = handle();
    let mut queues = Vec::new();
    while let Some((id, queue)) = handle.client_connected() {
        assert!(queues.len() < 128, "half of the 256 descriptors");
        assert!(send_and_run_turns(
            &handle,
            id,
            &set_up(queues.len() as u64)
        ));
        queues.push(queue);
    }
    assert_eq!(queues.len(), 128);
}

/// Runs a task on each of `nodes` nodes, which may be more than the pool has connections. The tasks
/// are so large that none is held back.
fn full_pool(nodes: u64) -> (Arc<PlatformHandle>, ClientId, MessageQueue) {
    let handle = handle();
    let members: Vec<String> = (1..=nodes)
        .map(|number| node_json(number, "active"))
        .collect();
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        members.join(",")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let (client, queue) = handle.client_connected().expect("there is room");
    for node in 1..=nodes {
        let requirements = format!("cores:20;memory:1;service:a;at:s-{node:x}");
        assert!(send_and_run_turns(
            &handle,
            client,
            &set_up_with_requirements(node, &requirements)
        ));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
    }
    (handle, client, queue)
}

/// Establishes all connections and answers all health checks.
fn answer_health_checks(PlatformCore { engine, state }: &mut PlatformCore) {
    state.connections.establish_all(state.now);
    for (check_id, check) in std::mem::take(&mut state.health_checks) {
        state
            .timers
            .retain(|(_, timer)| *timer != Timer::HealthCheck(check_id));
        engine.record_health_check(state.now, check.machine, AttemptResult::Completed, None);
    }
}

#[test]
fn a_full_connection_pool_still_opens_connections_for_set_ups() {
    let (handle, client, _queue) = full_pool(200);
    for task in 1_000..1_100 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        assert_eq!(
            handle.lock().engine.counts().attempts_pending,
            1,
            "task {task} has been sent and not rejected"
        );
        let connection = {
            let engine = &mut handle.lock().engine;
            let id = engine.find(&task_key(task)).expect("admitted");
            engine
                .data_mut(id)
                .and_then(|(pending, _)| pending.active?.connection)
                .expect("on a connection")
        };
        handle.connection_established(connection);
        answer_health_checks(&mut handle.lock());
        let answer = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(handle.handle_node_message(connection, answer));
    }
}

#[test]
fn no_task_is_lost_on_a_node_that_answers_health_checks_with_a_full_pool() {
    let (handle, _client, _queue) = full_pool(130);
    let mut core = handle.lock();
    let started_at = core.state.now;
    for step in 1..=60 {
        let PlatformCore { engine, state } = &mut *core;
        state.now = started_at + step * SECOND / 4;
        state.sweep(state.now, engine);
        engine.timer_fired(state.now);
        engine.poll(state.now, state);
        assert!(state.deferred.is_empty(), "after {} ms", step * 250);
        answer_health_checks(&mut core);
    }
}

#[test]
fn the_only_connection_to_a_draining_node_is_kept() {
    let (handle, _client, _queue) = full_pool(200);
    let event = format!(
        r#"{{"n":2,"members":{{"members":[{}]}}}}"#,
        node_json(1, "leaving")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let mut core = handle.lock();
    let machine = core.state.nodes.find("s-1").expect("listed");
    let connection = core.state.connections.available_to(machine);
    for step in 1..=24 {
        let PlatformCore { engine, state } = &mut *core;
        state.now += step * SECOND / 4;
        state.sweep(state.now, engine);
        state.connections.establish_all(state.now);
        assert_eq!(
            (state.connections.available_to(machine), connection.len()),
            (connection.clone(), 1)
        );
    }
}

/// Guards against losing messages in transit on a connection that is evicted: the pool is full, so
/// each set-up for another node closes a connection.
#[test]
fn a_release_in_transit_on_an_evicted_connection_is_forwarded_at_once() {
    let (handle, client, queue) = full_pool(200);
    let running: Vec<(ConnectionId, u64)> = {
        let PlatformCore { engine, state } = &mut *handle.lock();
        let connections = |task: &u64| {
            state
                .connections
                .available_to(state.nodes.find(&format!("s-{task:x}")).expect("listed"))
        };
        let running = (1..=200)
            .filter_map(|task| Some((*connections(&task).first()?, task)))
            .collect();
        engine.timer_fired(state.now);
        running
    };
    let mut closed = 0;
    for task in 1_000..1_010 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        answer_health_checks(&mut handle.lock());
    }
    for (connection, task) in running {
        if !handle.lock().state.connections.is_established(connection) {
            closed += 1;
            assert!(handle.handle_node_message(
                connection,
                node::Message::new(node::MessageType::Close, task).with_cause(16)
            ));
            let released = client::encode(MessageType::Release, task, &[(client::CAUSE, &[16])])
                .expect("a short message");
            assert_eq!(queue.take_all().last(), Some(&released), "task {task}");
        }
    }
    assert!(closed > 0, "some connections were evicted");
}

#[test]
fn half_closed_connections_are_bounded() {
    let (handle, client, _queue) = full_pool(200);
    for task in 1_000..1_100 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
        answer_health_checks(&mut handle.lock());
        let answer = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(handle.handle_node_message(connection, answer));
        let (open, closing) = handle.lock().state.connections.open_and_half_closed();
        assert!(
            open <= 85 && closing <= 17,
            "a third of the descriptors, and a fifth of that: {open}, {closing}"
        );
    }
}

/// Guards against placing each set-up before the next message is read: hundreds of set-ups then
/// delay a node's release for more than the second within which it must be forwarded.
#[test]
fn a_release_is_forwarded_before_set_ups_that_arrived_earlier() {
    let (handle, client, queue) = full_pool(20);
    let connection = handle.lock().state.connections.newest();
    queue.take_all();
    for task in 1_000..1_200 {
        assert!(handle.handle_client_message(client, &set_up(task)));
    }
    assert!(handle.handle_node_message(
        connection,
        node::Message::new(node::MessageType::Close, 20).with_cause(16)
    ));
    let released = client::encode(MessageType::Release, 20, &[(client::CAUSE, &[16])])
        .expect("a short message");
    assert_eq!(queue.take_all(), [released]);
    let counts = || handle.lock().engine.counts();
    assert_eq!(
        (counts().attempts_pending, counts().deferred),
        (0, 200),
        "no set-up has been placed yet"
    );
    while handle.run_turn() {}
    assert!(counts().attempts_pending > 0);
}

/// Guards against a turn that runs out of time and drops the set-up that it has already taken from
/// the queue, which is then never answered.
#[test]
fn every_waiting_set_up_is_placed_however_many_turns_that_takes() {
    let (handle, _client, _queue) = full_pool(60);
    let clients: Vec<(ClientId, MessageQueue)> = (0..4)
        .map(|_| handle.client_connected().expect("there is room"))
        .collect();
    for task in 1_000..2_000 {
        let small = set_up_with_requirements(task, "cores:0.01;memory:0.01;service:a");
        assert!(handle.handle_client_message(clients[task as usize % 4].0, &small));
    }
    let turns = (1..10_000)
        .find(|_| !handle.run_turn())
        .expect("a last turn");
    assert!(turns > 1, "more than one turn's work");
    assert_eq!(
        handle.lock().engine.counts().attempts_pending,
        1_000,
        "all are sent after {turns} turns"
    );
}
