//! Tests of races: a client disconnects or a connection breaks at the worst moment. The tasks that
//! read and write are not run; each call represents the moment at which one of them runs.

use super::bounds::{CONFIG, handle_with_config, node_json, set_up};
use super::pending_task::{ActiveAttempt, task_key};
use super::*;
use crate::handle::PlatformHandle;
use async_lock::Semaphore;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::AttributeValue;
use corkspan_runtime::clock::duration;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;
use test_case::test_case;

/// Creates a core with one node and the default settings, with the given texts replaced.
fn handle(replaced: &[(&str, &str)]) -> Arc<PlatformHandle> {
    let config = replaced
        .iter()
        .fold(CONFIG.to_string(), |config, (old, new)| {
            assert!(config.contains(old), "the settings contain {old}");
            config.replace(old, new)
        });
    let handle = handle_with_config(&config);
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        node_json(1, "active")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    handle
}

fn set_up_bytes(task: u64) -> Vec<u8> {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
    ];
    client::encode(MessageType::SetUp, task, &parameters).expect("a short message")
}

/// Connects a client and reads its first set-up. Also returns the client's end of the connection.
fn connect_client(handle: &PlatformHandle, task: u64) -> (ClientId, MessageQueue, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let mut peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    peer.write_all(&set_up_bytes(task)).expect("written");
    let (stream, _) = listener.accept().expect("accepted");
    let (id, queue) = handle.client_connected().expect("there is room");
    handle.attach_client_input(
        id,
        ConnectionInput::new(async_net::TcpStream::try_from(stream).expect("a stream")),
    );
    while handle.read_client_message(id) != ReadProgress::Handled {}
    (id, queue, peer)
}

#[derive(Clone, Copy, Debug)]
enum Departure {
    Closes,
    HalfCloses,
    Resets,
    Cancels,
}

/// Sends a burst of other set-ups and lets the client leave. Returns once that has arrived, unread.
fn depart(how: Departure, task: u64, mut peer: TcpStream) -> Option<TcpStream> {
    for other in 1_000..1_040 {
        peer.write_all(&set_up_bytes(other)).expect("written");
    }
    let kept = match how {
        Departure::Closes => None,
        Departure::HalfCloses => {
            peer.shutdown(Shutdown::Write).expect("shut down");
            Some(peer)
        }
        Departure::Resets => {
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO))
                .expect("a socket option");
            None
        }
        Departure::Cancels => {
            let cause = [client::CAUSE_NORMAL];
            let release = client::encode(MessageType::Release, task, &[(client::CAUSE, &cause)])
                .expect("a short message");
            peer.write_all(&release).expect("written");
            Some(peer)
        }
    };
    // Loopback delivers within the call. After this the last read of the connection is too old.
    std::thread::sleep(duration(2 * MAX_INPUT_AGE));
    kept
}

/// Returns the active attempt of a task and its connection.
fn active_attempt(handle: &PlatformHandle, task: u64) -> Option<(ConnectionId, AttemptId)> {
    let engine = &mut handle.lock().engine;
    let id = engine.find(&task_key(task))?;
    let active = engine.data_mut(id)?.0.active?;
    Some((
        active.connection?,
        AttemptId {
            allocation: id,
            number: active.number,
        },
    ))
}

#[test_case(Departure::Closes)]
#[test_case(Departure::HalfCloses)]
#[test_case(Departure::Resets)]
#[test_case(Departure::Cancels)]
fn a_first_attempt_does_not_start_once_its_client_is_gone(how: Departure) {
    let handle = handle(&[]);
    let (_, _queue, peer) = connect_client(&handle, 7);
    let _kept = depart(how, 7, peer);
    while handle.run_turn() {}
    assert_eq!(active_attempt(&handle, 7), None);
    assert!(
        handle.lock().engine.find(&task_key(7)).is_none(),
        "the set-up is removed"
    );
}

/// Guards against sending on the set-ups of a client that is gone: it has left so much unread that
/// its end is not seen when an attempt is decided.
#[test_case(Departure::Closes)]
#[test_case(Departure::HalfCloses)]
#[test_case(Departure::Cancels)]
fn no_attempt_starts_while_much_of_its_clients_input_is_unread(how: Departure) {
    const UNREAD_SET_UPS: u64 = 2_000;
    let handle = handle(&[]);
    let (id, _queue, mut peer) = connect_client(&handle, 7);
    for task in 2_000..2_000 + UNREAD_SET_UPS {
        peer.write_all(&set_up_bytes(task)).expect("written");
    }
    let _kept = depart(how, 7, peer);
    while active_attempt(&handle, 7).is_none() && handle.lock().engine.find(&task_key(7)).is_some()
    {
        handle.run_turn();
    }
    assert_eq!(active_attempt(&handle, 7), None);
    if !matches!(how, Departure::Cancels) {
        assert_eq!(handle.lock().engine.counts().total, 0);
        assert!(!handle.lock().state.clients.contains_key(&id));
    }
}

#[test_case(Departure::Closes)]
#[test_case(Departure::HalfCloses)]
#[test_case(Departure::Resets)]
#[test_case(Departure::Cancels)]
fn a_set_up_whose_client_goes_before_its_connection_is_established_is_not_written(how: Departure) {
    let handle = handle(&[]);
    let (_, _queue, peer) = connect_client(&handle, 7);
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    let _kept = depart(how, 7, peer);
    handle.connection_established(connection);
    assert!(!handle.may_write_set_up(connection, attempt));
}

#[test_case(Departure::Closes)]
#[test_case(Departure::HalfCloses)]
#[test_case(Departure::Resets)]
#[test_case(Departure::Cancels)]
fn a_retry_does_not_start_once_its_client_is_gone(how: Departure) {
    let handle = handle(&[]);
    let (_, _queue, peer) = connect_client(&handle, 7);
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    let _kept = depart(how, 7, peer);
    let mut rejection = node::Message::new(node::MessageType::Close, 7).with_cause(34);
    // The node's queue is full for a moment, so the only node may be tried again soon.
    rejection
        .attributes
        .insert("note".into(), AttributeValue::Text("backlog".into()));
    assert!(handle.handle_node_message(connection, rejection));
    std::thread::sleep(duration(SECOND / 4));
    handle.timer_fired();
    while handle.run_turn() {}
    assert_eq!(active_attempt(&handle, 7), None);
}

/// Guards against ignoring a release whose client closes its connection right after it.
#[test]
fn a_release_right_before_its_clients_close_is_handled() {
    let handle = handle(&[]);
    let (id, _queue, mut peer) = connect_client(&handle, 7);
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 7)
    };
    assert!(handle.handle_node_message(connection, answer));
    let release = client::encode(MessageType::Release, 7, &[(client::CAUSE, &[16])])
        .expect("a short message");
    peer.write_all(&release).expect("written");
    drop(peer);
    while handle.read_client_message(id) != ReadProgress::Done {}
    assert_eq!(
        handle.lock().engine.counts().placed,
        0,
        "its node is requested to end it"
    );
}

/// Guards against clients that are kept because they go on sending: other messages than set-ups may
/// be lost with a connection, so it makes room all the same.
#[test]
fn a_connection_with_other_unread_messages_makes_room() {
    let handle = handle(&[]);
    let (idle, _queue, mut peer) = connect_client(&handle, 7);
    let release = |task| client::encode(MessageType::Release, task, &[(client::CAUSE, &[16])]);
    peer.write_all(&release(7).expect("a short message"))
        .expect("written");
    while handle.read_client_message(idle) != ReadProgress::Handled {
        std::thread::sleep(duration(MAX_INPUT_AGE));
    }
    peer.write_all(&release(8).expect("a short message").repeat(100))
        .expect("written");
    let mut others = Vec::new();
    while let Some((other, queue)) = handle.client_connected() {
        let task = 1_000 + others.len() as u64;
        assert!(handle.handle_client_message(other, &set_up(task)));
        others.push(queue);
    }
    assert!(!handle.lock().state.clients.contains_key(&idle));
}

/// Guards against a task that runs on although its client has ended it: the release is unread when
/// its connection is closed to make room.
#[test]
fn an_unread_release_on_a_connection_that_makes_room_is_handled() {
    let handle = handle(&[]);
    let (idle, _queue, mut peer) = connect_client(&handle, 7);
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 7)
    };
    assert!(handle.handle_node_message(connection, answer));
    let release = client::encode(MessageType::Release, 7, &[(client::CAUSE, &[16])]);
    peer.write_all(&release.expect("a short message"))
        .expect("written");
    handle.evict_client();
    assert!(!handle.lock().state.clients.contains_key(&idle));
    assert_eq!(handle.lock().engine.counts().placed, 0, "it is ended");
}

/// Guards against a set-up that is lost with its connection: an idle client has sent it, and before it
/// is read the connection is closed to make room for another.
#[test]
fn a_connection_with_an_unread_set_up_is_not_closed_to_make_room() {
    let handle = handle(&[]);
    let (idle, _queue, mut peer) = connect_client(&handle, 7);
    let give_up = client::encode(MessageType::Release, 7, &[(client::CAUSE, &[16])]);
    peer.write_all(&give_up.expect("a short message"))
        .expect("written");
    while handle.read_client_message(idle) != ReadProgress::Handled {
        std::thread::sleep(duration(MAX_INPUT_AGE));
    }
    peer.write_all(&set_up_bytes(8)).expect("written");
    let mut others = Vec::new();
    while let Some((other, queue)) = handle.client_connected() {
        let task = 1_000 + others.len() as u64;
        assert!(handle.handle_client_message(other, &set_up(task)));
        others.push(queue);
    }
    assert!(handle.lock().state.clients.contains_key(&idle));
    while handle.read_client_message(idle) != ReadProgress::Handled {}
    assert!(handle.lock().engine.find(&task_key(8)).is_some());
}

#[test]
fn a_set_up_whose_deadline_passes_before_its_connection_is_established_is_not_written() {
    let handle = handle(&[]);
    let (id, _queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(id, &set_up(7)));
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    let PlatformCore { engine, state } = &mut *handle.lock();
    let deadline = engine
        .data_mut(attempt.allocation)
        .and_then(|(pending, _)| pending.active)
        .expect("an active attempt")
        .deadline;
    state.connections.mark_established(connection, deadline);
    assert!(
        !state.may_write_set_up(deadline, engine, connection, attempt),
        "the deadline has passed, even if the timer is late"
    );
    assert!(state.may_write_set_up(deadline - 1, engine, connection, attempt));
    assert!(
        !state.may_write_set_up(deadline - 1, engine, connection, attempt),
        "it may be written only once"
    );
}

/// Guards against failing a set-up that is not retryable although it was never written. Other
/// set-ups were written on its connection before.
#[test_case(false; "its connection breaks")]
#[test_case(true; "it times out")]
fn an_unwritten_attempt_on_a_used_connection_counts_as_not_executed(time_out: bool) {
    let handle = handle(&[("\"pure\"", "\"side_effect\"")]);
    let (id, queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(id, &set_up(6)));
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 6).expect("an active attempt");
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 6)
    };
    assert!(handle.handle_node_message(connection, answer));
    assert!(handle.handle_client_message(id, &set_up(7)));
    while handle.run_turn() {}
    let (reused_connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    assert_eq!(reused_connection, connection, "the idle connection");
    queue.take_all();
    if time_out {
        let PlatformCore { engine, state } = &mut *handle.lock();
        state.attempt_timed_out(state.now, engine, attempt.allocation, attempt.number);
    } else {
        handle.connection_ended(connection, ConnectionEnd::Broken);
    }
    while handle.run_turn() {}
    let failed = client::encode(
        MessageType::Release,
        7,
        &[(client::CAUSE, &[client::CAUSE_FAILED])],
    )
    .expect("a short message");
    assert!(
        !queue.take_all().contains(&failed),
        "it is retried or rejected, not failed"
    );
}

/// Guards against an unbounded queue for a client that does not read: its connection is closed at
/// the limit, and its set-ups are cancelled like those of any other closed connection.
#[test]
fn a_client_that_reads_nothing_is_disconnected() {
    let handle = handle(&[]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let _peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let stream =
        async_net::TcpStream::try_from(listener.accept().expect("accepted").0).expect("a stream");
    let (id, queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(id, &set_up(7)));
    handle.with_core(|core, now| {
        core.process_event(now, |_, state| {
            while state.send_to_client(
                id,
                MessageType::HealthCheckReply,
                1,
                &[(client::CAUSE, &[1])],
            ) {}
        });
    });
    let permit = Arc::new(Semaphore::new(1))
        .try_acquire_arc()
        .expect("a free permit");
    let served = crate::listener::serve_client(Arc::clone(&handle), stream, id, queue, permit);
    futures_lite::future::block_on(served);
    let core = handle.lock();
    assert_eq!(
        (core.state.clients.len(), core.engine.counts().total),
        (0, 0)
    );
}

/// Guards against a set-up that is never answered: the node's answer is handled after the client's
/// deadline but before the late timer fires.
#[test]
fn an_answer_after_the_deadline_is_answered_with_a_failure() {
    let handle = handle(&[]);
    let (id, queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(id, &set_up(7)));
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("an active attempt");
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    queue.take_all();
    let PlatformCore { engine, state } = &mut *handle.lock();
    let (pending, _) = engine.data_mut(attempt.allocation).expect("admitted");
    let (deadline, machine) = (
        pending.deadline,
        pending.active.expect("an active attempt").machine,
    );
    state.now = deadline;
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 7)
    };
    assert!(state.handle_node_message(deadline, engine, connection, machine, answer));
    let failed = client::encode(
        MessageType::Release,
        7,
        &[(client::CAUSE, &[client::CAUSE_FAILED])],
    )
    .expect("a short message");
    assert_eq!(queue.take_all(), [failed]);
}

/// Guards against a deadline that is passed on as it was when the machine was chosen: by the time the
/// connection is established, the client waits for less.
#[test]
fn a_node_is_told_the_time_that_is_left_when_the_set_up_is_written() {
    const CONNECTING_MS: u64 = 800;
    let handle = handle(&[]);
    let (client, _queue) = handle.client_connected().expect("there is room");
    let set_at = handle.now();
    let at = |time: Ticks| {
        let ordering = std::sync::atomic::Ordering::Relaxed;
        handle.time_override.store(time, ordering);
    };
    at(set_at);
    assert!(handle.handle_client_message(client, &set_up(7)));
    while handle.run_turn() {}
    let (connection, attempt) = active_attempt(&handle, 7).expect("sent to the node");
    at(set_at + CONNECTING_MS * TICKS_PER_MS);
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
    let line = handle.set_up_line(attempt).expect("a short line");
    let mut reader = node::Reader::default();
    reader.push(&line);
    let message = reader.next_message().expect("valid").expect("complete");
    let left = message.attribute("left").and_then(AttributeValue::text);
    let left_ms: u64 = left.and_then(|left| left.parse().ok()).expect("a number");
    assert!(left_ms <= 6_000 - CONNECTING_MS, "{left_ms} ms");
}

/// Connects a client whose first set-up has arrived and is not read.
fn connect_with_unread_set_up(
    handle: &PlatformHandle,
    task: u64,
) -> (ClientId, MessageQueue, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let mut peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let (stream, _) = listener.accept().expect("accepted");
    let (id, queue) = handle.client_connected().expect("there is room");
    let stream = async_net::TcpStream::try_from(stream).expect("a stream");
    handle.attach_client_input(id, ConnectionInput::new(stream));
    peer.write_all(&set_up_bytes(task)).expect("written");
    // Loopback delivers within the call.
    std::thread::sleep(duration(MAX_INPUT_AGE));
    (id, queue, peer)
}

/// Guards against a request that is closed unread: the process was paused, and finds its connections
/// silent or idle for long before it reads them.
#[test]
fn a_connection_with_an_unread_set_up_is_not_closed_as_silent() {
    let handle = handle(&[]);
    let (client, queue, _peer) = connect_with_unread_set_up(&handle, 7);
    let resumed_at = handle.now() + SILENCE_TIMEOUT + SECOND;
    let ordering = std::sync::atomic::Ordering::Relaxed;
    handle.time_override.store(resumed_at, ordering);
    handle.sweep();
    assert_eq!(queue.ended(), None, "it is open");
    assert_eq!(handle.read_client_message(client), ReadProgress::Handled);
}

/// Guards against a request that is neither answered nor rejected because the process ends.
#[test]
fn a_set_up_that_is_unread_when_the_process_ends_is_rejected() {
    let handle = handle(&[]);
    let (_client, queue, _peer) = connect_with_unread_set_up(&handle, 7);
    handle.stop();
    handle.abandon_all();
    let cause = [client::CAUSE_REJECTED];
    let rejection = client::encode(MessageType::Release, 7, &[(client::CAUSE, &cause)]);
    assert_eq!(queue.take_all(), [rejection.expect("short")]);
}

/// Guards against a request that is forwarded after its end: its first attempt broke with the answer
/// unread, and its node reports its end before the next attempt is written.
#[test_case(16, None, false; "it has come to its end")]
#[test_case(41, Some("displaced"), false; "it was displaced")]
#[test_case(41, None, false; "it was cut")]
#[test_case(31, None, true; "it was withdrawn")]
fn an_end_that_is_reported_after_the_attempt_broke_ends_the_request(
    cause: u32,
    note: Option<&str>,
    is_forwarded: bool,
) {
    const TASK: u64 = 7;
    let handle = handle_with_config(CONFIG);
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{},{}]}}}}"#,
        node_json(1, "active"),
        node_json(2, "active")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let (_client, queue, _peer) = connect_client(&handle, TASK);
    while handle.run_turn() {}
    let allocation = handle.lock().engine.find(&task_key(TASK)).expect("known");
    let active_attempt = || {
        let engine = &mut handle.lock().engine;
        let (pending, _) = engine.data_mut(allocation).expect("waits");
        pending.active.expect("an attempt")
    };
    let ActiveAttempt {
        machine,
        connection,
        ..
    } = active_attempt();
    let first = connection.expect("chosen");
    handle.connection_established(first);
    let attempt = |number| AttemptId { allocation, number };
    assert!(handle.may_write_set_up(first, attempt(0)));
    handle.connection_ended(first, ConnectionEnd::Broken);
    while handle.run_turn() {}
    let next = active_attempt().connection.expect("chosen");
    let other = handle.with_core(|core, now| {
        let PlatformCore { engine, state } = core;
        let other = state.open_connection(machine, Eviction::Any);
        let other = other.expect("there is room");
        state.connection_established(now, engine, other);
        other
    });
    let mut release = node::Message::new(node::MessageType::Close, TASK).with_cause(cause);
    if let Some(note) = note {
        let note = AttributeValue::Text(note.into());
        release.attributes.insert("note".into(), note);
    }
    assert!(handle.handle_node_message(other, release));
    handle.connection_established(next);
    assert_eq!(handle.may_write_set_up(next, attempt(1)), is_forwarded);
    let cause = [client::CAUSE_FAILED];
    let failed = client::encode(MessageType::Release, TASK, &[(client::CAUSE, &cause)]);
    let answers = queue.take_all();
    assert_eq!(answers.contains(&failed.expect("short")), !is_forwarded);
}
