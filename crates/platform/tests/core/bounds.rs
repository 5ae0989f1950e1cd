//! Nothing that is kept grows with everything that ever happened.

use super::pending_task::{Timer, task_key};
use super::*;
use crate::effects::{TaskEffects, WakeSenders};
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, Message, MessageType, Reader};
use corkspan_platform_wire::node::AttributeValue;
use corkspan_runtime::SharedExecutor;
use corkspan_runtime::clock::Clock;

pub(super) const POSTING: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":256},
"feed":"127.0.0.1:1","known":{"n":0},"settings":{"classes":[{"effect":"pure","name":"batch","on-time-us":600000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],
"class-most":[2],"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],
"spread-by":["silent"],"view":false,"young-limit":1000000.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":true},
"locality":0,"me":0,"penalties":{},"rules":{"cold-us":0,"fall-us":0},"skus":["std"],"zones":["east"]}}"#;

pub(super) fn member(number: u64, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{number:x}","host_port":"127.0.0.1:9","locality":"east","flavor":"std","phase":"{phase}"}}"#
    )
}

pub(super) fn set_up(task: u64) -> Message {
    message(task, &format!("cores:1;memory:1;service:{task:x}"))
}

pub(super) fn message(task: u64, figures: &str) -> Message {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, figures.as_bytes()),
    ];
    let mut reader = Reader::default();
    reader.push(&client::encode(MessageType::SetUp, task, &parameters).expect("short"));
    reader.next_message().expect("sound").expect("whole")
}

pub(super) fn handle() -> Arc<PlatformHandle> {
    posted(POSTING)
}

pub(super) fn posted(config: &str) -> Arc<PlatformHandle> {
    let config = NodeConfig::from_json(config.as_bytes()).expect("sound");
    started(config, &DescriptorBudget::new(256).expect("enough")).0
}

/// A core whose tasks are not run, and the calls for the list to be watched.
pub(super) fn started(
    config: NodeConfig,
    budget: &DescriptorBudget,
) -> (Arc<PlatformHandle>, async_channel::Receiver<()>) {
    let (wakes, _waking) = async_channel::bounded(1);
    let (watches, watching) = async_channel::bounded(1);
    let (turns, _turning) = async_channel::bounded(1);
    let clock = Clock::start();
    let start = CoreOptions::new(config, budget).expect("sound");
    let handle = PlatformHandle::new(start, clock, |handle| {
        Box::new(TaskEffects {
            handle,
            clock,
            tasks: SharedExecutor::default(),
            wakes: WakeSenders {
                timer: wakes,
                watch_list: watches,
                run_turn: turns,
            },
            node_budget: Arc::clone(&budget.nodes),
        })
    });
    (handle, watching)
}

/// A client sends a message, and all waiting set-ups are placed.
fn send_and_run_turns(handle: &PlatformHandle, client: ClientId, message: &Message) -> bool {
    let keep_open = handle.handle_client_message(client, message);
    while handle.run_turn() {}
    keep_open
}

/// A node answers a set-up, sends metrics of the task and releases it.
fn run_task(handle: &PlatformHandle, connection: ConnectionId, task: u64) {
    let said = |kind| node::Message::new(kind, task);
    assert!(handle.handle_node_message(
        connection,
        node::Message {
            text: Some("made".into()),
            ..said(node::MessageType::Ready)
        }
    ));
    for (note, value) in [("running", 1.0), ("use_cpu", 0.5), ("use_ram", 0.5)] {
        let mut event = said(node::MessageType::Event);
        event
            .attributes
            .insert("note".into(), AttributeValue::Text(note.into()));
        event
            .attributes
            .insert("value".into(), AttributeValue::Number(value));
        assert!(handle.handle_node_message(connection, event));
    }
    assert!(handle.handle_node_message(connection, said(node::MessageType::Close).with_cause(16)));
}

/// Clients, services, tasks and nodes that come once and never again, at a core whose connections
/// nobody carries.
#[test]
fn tables_do_not_grow_with_past_clients_nodes_and_tasks() {
    let handle = handle();
    let mut most = 0;
    for round in 1..=6_000u64 {
        if round % 3 == 1 {
            let (new, old) = (
                member(round, "active"),
                member(round.saturating_sub(3), "left"),
            );
            let event = format!(r#"{{"n":{round},"members":{{"members":[{new},{old}]}}}}"#);
            handle.apply_event(serde_json::from_str(&event).expect("an event"));
        }
        let (id, _inbox) = handle.client_connected().expect("there is room");
        assert!(send_and_run_turns(&handle, id, &set_up(round)));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
        run_task(&handle, connection, round);
        handle.client_disconnected(id);
        if round % 100 == 0 {
            // The scheduler evaluates by the clock, which this test outruns.
            handle.enter(|core, now| {
                core.with(now, |engine, state| {
                    engine.poll(now + round * SECOND, state)
                });
            });
            handle.sweep();
            most = most.max(handle.retained_items());
        }
    }
    assert!(
        handle.lock().engine.state_size() >= 1_024,
        "services have left their records"
    );
    let state = &handle.lock().state;
    let rest = (
        state.clients.len(),
        state.nodes.retained_items(),
        state.connections.retained_items(),
        state.health_checks.len(),
        state.timers.len(),
    );
    assert!(
        most < 1_024 + 200,
        "{most} kept; owners, nodes, links, tests, due: {rest:?}"
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

/// A task runs on each of more nodes than there may be connections, and so large a one that none is
/// held back.
fn full_pool(nodes: u64) -> (Arc<PlatformHandle>, ClientId, MessageQueue) {
    let handle = handle();
    let members: Vec<String> = (1..=nodes).map(|number| member(number, "active")).collect();
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        members.join(",")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let (client, queue) = handle.client_connected().expect("there is room");
    for node in 1..=nodes {
        let figures = format!("cores:20;memory:1;service:a;at:s-{node:x}");
        assert!(send_and_run_turns(
            &handle,
            client,
            &message(node, &figures)
        ));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
    }
    (handle, client, queue)
}

/// All connections are established, and each node answers the health checks that have reached it.
fn answer_health_checks(PlatformCore { engine, state }: &mut PlatformCore) {
    state.connections.all_up(state.now);
    for (test, check) in std::mem::take(&mut state.health_checks) {
        state
            .timers
            .retain(|(_, due)| *due != Timer::HealthCheck(test));
        engine.record_health_check(state.now, check.machine, AttemptResult::Completed, None);
    }
}

#[test]
fn a_full_connection_pool_still_opens_connections_for_set_ups() {
    let (handle, client, _inbox) = full_pool(200);
    for task in 1_000..1_100 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        assert_eq!(
            handle.lock().engine.counts().attempts_pending,
            1,
            "task {task} has been sent and not refused"
        );
        let connection = {
            let engine = &mut handle.lock().engine;
            let id = engine.find(&task_key(task)).expect("in hand");
            engine
                .data_mut(id)
                .and_then(|(pending, _)| pending.active?.connection)
                .expect("on a connection")
        };
        handle.connection_established(connection);
        answer_health_checks(&mut handle.lock());
        let made = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(handle.handle_node_message(connection, made));
    }
}

#[test]
fn no_task_is_lost_on_a_node_that_answers_health_checks_with_a_full_pool() {
    let (handle, _owner, _inbox) = full_pool(130);
    let mut inner = handle.lock();
    let began = inner.state.now;
    for step in 1..=60 {
        let PlatformCore { engine, state } = &mut *inner;
        state.now = began + step * SECOND / 4;
        state.sweep(state.now, engine);
        engine.timer_fired(state.now);
        engine.poll(state.now, state);
        assert!(state.deferred.is_empty(), "after {} ms", step * 250);
        answer_health_checks(&mut inner);
    }
}

#[test]
fn the_only_connection_to_a_draining_node_is_kept() {
    let (handle, _owner, _inbox) = full_pool(200);
    let event = format!(
        r#"{{"n":2,"members":{{"members":[{}]}}}}"#,
        member(1, "leaving")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let mut inner = handle.lock();
    let machine = inner.state.nodes.find("s-1").expect("listed");
    let connection = inner.state.connections.of(machine);
    for step in 1..=24 {
        let PlatformCore { engine, state } = &mut *inner;
        state.now += step * SECOND / 4;
        state.sweep(state.now, engine);
        state.connections.all_up(state.now);
        assert_eq!(
            (state.connections.of(machine), connection.len()),
            (connection.clone(), 1)
        );
    }
}

/// The connection pool is full, so each set-up for another node closes a connection. The messages
/// under way on it count.
#[test]
fn a_release_under_way_on_an_evicted_connection_is_passed_on_at_once() {
    let (handle, client, queue) = full_pool(200);
    let was_running: Vec<(ConnectionId, u64)> = {
        let PlatformCore { engine, state } = &mut *handle.lock();
        let connections = |task: &u64| {
            state
                .connections
                .of(state.nodes.find(&format!("s-{task:x}")).expect("listed"))
        };
        let was_running = (1..=200)
            .filter_map(|task| Some((*connections(&task).first()?, task)))
            .collect();
        engine.timer_fired(state.now);
        was_running
    };
    let mut gone = 0;
    for task in 1_000..1_010 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        answer_health_checks(&mut handle.lock());
    }
    for (connection, task) in was_running {
        if !handle.lock().state.connections.is_established(connection) {
            gone += 1;
            assert!(handle.handle_node_message(
                connection,
                node::Message::new(node::MessageType::Close, task).with_cause(16)
            ));
            let released = client::encode(MessageType::Release, task, &[(client::CAUSE, &[16])])
                .expect("short");
            assert_eq!(queue.waiting().last(), Some(&released), "task {task}");
        }
    }
    assert!(gone > 0, "some connections have given way");
}

#[test]
fn half_closed_connections_are_bounded() {
    let (handle, client, _inbox) = full_pool(200);
    for task in 1_000..1_100 {
        assert!(send_and_run_turns(&handle, client, &set_up(task)));
        let connection = handle.lock().state.connections.newest();
        handle.connection_established(connection);
        answer_health_checks(&mut handle.lock());
        let made = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(handle.handle_node_message(connection, made));
        let (open, closing) = handle.lock().state.connections.counts();
        assert!(
            open <= 85 && closing <= 17,
            "a third of the descriptors, and a fifth of that: {open}, {closing}"
        );
    }
}

/// Where each set-up was placed before the next message was read, hundreds of them kept a node's
/// release from its client for over the second that is left to pass it on.
#[test]
fn a_release_is_passed_on_before_set_ups_that_came_earlier() {
    let (handle, client, queue) = full_pool(20);
    let connection = handle.lock().state.connections.newest();
    queue.waiting();
    for task in 1_000..1_200 {
        assert!(handle.handle_client_message(client, &set_up(task)));
    }
    assert!(handle.handle_node_message(
        connection,
        node::Message::new(node::MessageType::Close, 20).with_cause(16)
    ));
    let released =
        client::encode(MessageType::Release, 20, &[(client::CAUSE, &[16])]).expect("short");
    assert_eq!(queue.waiting(), [released]);
    let waits = || handle.lock().engine.counts();
    assert_eq!(
        (waits().attempts_pending, waits().deferred),
        (0, 200),
        "the decisions have not been asked yet"
    );
    while handle.run_turn() {}
    assert!(waits().attempts_pending > 0);
}

/// A turn whose time is up once dropped the set-up that would have been next, which then never had
/// an answer.
#[test]
fn every_waiting_set_up_is_placed_however_many_turns_that_takes() {
    let (handle, _owner, _inbox) = full_pool(60);
    let clients: Vec<(ClientId, MessageQueue)> = (0..4)
        .map(|_| handle.client_connected().expect("there is room"))
        .collect();
    for task in 1_000..2_000 {
        let small = message(task, "cores:0.01;memory:0.01;service:a");
        assert!(handle.handle_client_message(clients[task as usize % 4].0, &small));
    }
    let turns = (1..10_000).find(|_| !handle.run_turn()).expect("an end");
    assert!(turns > 1, "more than one turn's work");
    assert_eq!(
        handle.lock().engine.counts().attempts_pending,
        1_000,
        "all are out after {turns} turns"
    );
}
