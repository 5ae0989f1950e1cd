//! Tests of races, forced over loopback: requests, answers and signals that cross each other.

use crate::harness::*;
use corkspan_platform_wire::client::{CAUSE, DESCRIPTION, MessageType, REQUIREMENTS, TIME_LEFT};
use corkspan_platform_wire::node;
use corkspan_runtime::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

fn close(task: u64, cause: u32) -> node::Message {
    node::Message::new(node::MessageType::Close, task).with_cause(cause)
}

fn with_note(mut message: node::Message, note: &str) -> node::Message {
    message
        .attributes
        .insert("note".into(), node::AttributeValue::Text(note.into()));
    message
}

/// Accepts the node's next connection and receives the task's set-up on it. Returns the connection.
fn accept_attempt(harness: &mut Harness, task: u64) -> NodeConnection {
    let mut connection = harness.nodes[0].accept_connection();
    let open = connection.receive();
    assert_eq!(
        (open.message_type, open.task_id),
        (node::MessageType::Open, Some(task))
    );
    connection
}

/// Rejects an attempt because the node's queue is full for a moment. The next attempt goes to the
/// same node, which is the only one.
fn reject_attempt(connection: &mut NodeConnection, task: u64) {
    connection.send(with_note(close(task, 34), "backlog"));
    assert_eq!(connection.receive().message_type, node::MessageType::Closed);
}

/// Rejects a task's first attempt, so that the second one is active at the same node. Returns the
/// client and the connections of both attempts.
fn start_second_attempt() -> (Harness, TestClient, NodeConnection, NodeConnection) {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut first = accept_attempt(&mut harness, 7);
    reject_attempt(&mut first, 7);
    let second = accept_attempt(&mut harness, 7);
    (harness, client, first, second)
}

/// Sends a set-up that waits for a connection that is not established yet. Returns the streams that
/// fill the backlog, and the client.
fn set_up_while_connecting() -> (Harness, Vec<TcpStream>, TestClient) {
    let mut harness = Harness::with_settings(
        1,
        &[(
            "\"max-attempts\":3",
            "\"max-attempts\":3,\"connect-timeout-us\":5000000",
        )],
    );
    let held = harness.nodes[0].fill_backlog();
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    assert!(client.silent_for(Duration::from_millis(100)));
    (harness, held, client)
}

#[test_case(close(7, 34); "rejected twice")]
#[test_case(close(7, 16); "ended")]
#[test_case(close(7, 41); "interrupted")]
#[test_case(ready(7, "late"); "answered")]
#[test_case(node::Message::new(node::MessageType::Event, 7); "notified")]
fn a_late_message_about_an_earlier_attempt_is_not_attributed_to_the_next(late: node::Message) {
    let (_harness, mut client, mut first, mut second) = start_second_attempt();
    first.send(late);
    assert!(client.silent_for(Duration::from_millis(100)));
    assert!(
        second.silent_for(Duration::from_millis(300)),
        "the second attempt is still awaited, and no other is sent"
    );
    second.send(ready(7, "made"));
    assert_eq!(client.receive().parameter(DESCRIPTION), Some(&b"made"[..]));
}

#[test_case(close(7, 34))]
#[test_case(close(7, 16))]
#[test_case(close(7, 41))]
fn a_late_message_about_an_earlier_attempt_does_not_end_a_running_task(late: node::Message) {
    let (_harness, mut client, mut first, mut second) = start_second_attempt();
    second.send(ready(7, "made"));
    assert_eq!(client.receive().message_type, MessageType::Answer);
    first.send(late);
    assert!(
        client.silent_for(Duration::from_millis(200)),
        "the task still runs"
    );
    second.send(close(7, 16));
    assert_eq!(client.receive().message_type, MessageType::Release);
}

/// Guards against ignoring the end of a running task. It comes about when the connection of its
/// set-up has ended, and the node reports the end on the connection of an earlier, rejected
/// attempt.
#[test_case(close(7, 16), 16; "ended")]
#[test_case(close(7, 41), 41; "interrupted")]
fn a_release_on_the_connection_of_an_earlier_attempt_counts_once_its_own_has_ended(
    release: node::Message,
    cause: u8,
) {
    let (_harness, mut client, mut first, mut second) = start_second_attempt();
    second.send(ready(7, "made"));
    assert_eq!(client.receive().message_type, MessageType::Answer);
    drop(second);
    // Loopback keeps no order between connections; this wait lets the other one's end arrive.
    assert!(client.silent_for(Duration::from_millis(100)));
    first.send(with_note(close(7, 34), "backlog"));
    assert!(
        client.silent_for(Duration::from_millis(100)),
        "a copy of the rejection ends nothing"
    );
    first.send(release);
    let received = client.receive();
    assert_eq!(
        (received.message_type, received.parameter(CAUSE)),
        (MessageType::Release, Some(&[cause][..]))
    );
}

#[test]
fn a_rejection_after_an_answer_ends_the_task_on_both_sides() {
    let mut harness = Harness::new(1);
    let (mut client, mut connection) = harness.running_task(7);
    connection.send(close(7, 34));
    let release = client.receive();
    assert_eq!(
        (release.message_type, release.parameter(CAUSE)),
        (MessageType::Release, Some(&[41][..]))
    );
    assert_eq!(connection.receive().message_type, node::MessageType::Closed);
    assert_eq!(
        connection.receive(),
        close(7, 16),
        "the client was notified that the task has ended, so it must end"
    );
}

#[test]
fn a_second_answer_is_ignored() {
    let mut harness = Harness::new(1);
    let (mut client, mut connection) = harness.running_task(7);
    connection.send(ready(7, "again"));
    assert!(
        client.silent_for(Duration::from_millis(200))
            && connection.silent_for(Duration::from_millis(50))
    );
}

/// Guards against writing a set-up whose client is gone: the client closes while the connection to
/// the node is still being established.
#[test]
fn a_set_up_is_not_written_on_a_connection_established_after_its_client_is_gone() {
    let (mut harness, held, client) = set_up_while_connecting();
    drop(client);
    // Lets the close be read; the system retries the connection after 1 s.
    std::thread::sleep(Duration::from_millis(200));
    drop(held);
    harness.nodes[0].clear_backlog();
    let mut connection = harness.nodes[0].accept_connection();
    assert!(connection.silent_for(Duration::from_millis(500)));
}

/// Guards against writing messages to the wrong node: the system retries a connection to a node
/// that is gone when another node already has its address.
#[test]
fn messages_for_a_node_that_is_gone_are_not_written_to_the_next_at_its_address() {
    let (mut harness, held, mut client) = set_up_while_connecting();
    harness.send_event(0, "left");
    drop(held);
    harness.nodes[0].clear_backlog();
    let old = harness.nodes[0].accept_connection();
    harness.nodes[0].name = "s-00001000".into();
    harness.send_event(0, "active");
    let mut new = accept_attempt(&mut harness, 7);
    new.send(ready(7, "made"));
    assert_eq!(client.receive().parameter(DESCRIPTION), Some(&b"made"[..]));
    let mut old = old;
    assert!(old.is_closed(), "nothing was written on the old connection");
}

#[test]
fn an_end_that_crosses_its_clients_close_is_sent_on_another_connection() {
    let mut harness = Harness::new(1);
    let (client, mut connection) = harness.running_task(7);
    drop(client);
    connection.send(close(7, 16));
    assert_eq!(connection.receive().message_type, node::MessageType::Closed);
    let mut next = harness.connect_client();
    next.send(MessageType::HealthCheck, 1, &[(CAUSE, &[0])]);
    let replies = [next.receive().message_type, next.receive().message_type];
    assert!(
        replies.contains(&MessageType::Release) && replies.contains(&MessageType::HealthCheckReply),
        "{replies:?}"
    );
}

const SHORT_DEADLINES: &[(&str, &str)] = &[(
    "\"on-time-us\":600000",
    "\"on-time-us\":300000,\"deadline-us\":800000",
)];

/// SIGKILL may be sent 1.5 s after SIGTERM if no client waits for longer than 0.8 s.
#[test]
fn with_shorter_deadlines_a_dispatcher_stops_sooner_and_answers_all() {
    let mut harness = Harness::with_settings(1, SHORT_DEADLINES);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let _held = accept_attempt(&mut harness, 7);
    let since = Instant::now();
    harness.signal(Signal::Term);
    std::thread::sleep(Duration::from_millis(550));
    let mut late = harness.connect_client();
    late.send_set_up(8, &[(TIME_LEFT, b"800")]);
    assert_eq!(client.receive().message_type, MessageType::Release);
    assert_eq!(late.receive().message_type, MessageType::Release);
    assert!(harness.ends_cleanly());
    assert!(
        since.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn set_ups_late_in_a_shutdown_are_rejected_at_once() {
    let mut harness = Harness::with_settings(1, SHORT_DEADLINES);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let _held = accept_attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    // Some arrive before the dispatcher starts to reject set-ups, and some after it.
    let since = Instant::now();
    for task in (8..).take_while(|_| since.elapsed() < Duration::from_millis(1_200)) {
        client.send_set_up(task, &[]);
        std::thread::sleep(Duration::from_millis(10));
    }
    let first = client.receive();
    assert!(
        first.task > 8 && first.parameter(CAUSE) == Some(&[34]),
        "{first:?} must be answered before all set-ups with active attempts"
    );
    assert!(harness.ends_cleanly());
}

#[test]
fn a_second_signal_to_stop_and_an_absent_feed_change_nothing() {
    let mut harness = Harness::with_settings(1, SHORT_DEADLINES);
    harness.move_feed();
    drop(std::mem::replace(
        &mut harness.feed.listener,
        TcpListener::bind("127.0.0.1:0").expect("a port"),
    ));
    harness.signal(Signal::Hup);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = accept_attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    harness.signal(Signal::Term);
    connection.send(ready(7, "made"));
    assert_eq!(client.receive().message_type, MessageType::Answer);
    assert!(harness.ends_cleanly());
}

#[test]
fn a_feed_that_moves_while_a_dispatcher_stops_is_followed() {
    let mut harness = Harness::new(1);
    harness.feed.accept_and_stream();
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let _held = accept_attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    harness.move_feed();
    harness.signal(Signal::Hup);
    assert_eq!(harness.feed.accept_and_stream(), 1);
    assert_eq!(client.receive().message_type, MessageType::Release);
    assert!(harness.ends_cleanly());
}

/// Guards against a process that ends when its last answers are queued but not yet written; here
/// there are hundreds of them.
#[test]
fn all_final_answers_are_written_before_the_process_ends() {
    let mut harness = Harness::with_settings(1, SHORT_DEADLINES);
    let mut clients: Vec<TestClient> = (0..60).map(|_| harness.connect_client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        for task in 0..4 {
            client.send_set_up(1 + number as u64 * 4 + task, &[]);
        }
    }
    let _held: Vec<NodeConnection> = (0..20)
        .map(|_| harness.nodes[0].accept_connection())
        .collect();
    harness.signal(Signal::Term);
    assert!(harness.ends_cleanly());
    for client in &mut clients {
        for _ in 0..4 {
            assert_eq!(client.receive().message_type, MessageType::Release);
        }
        assert!(client.is_closed());
    }
}

#[test]
fn a_start_waits_for_the_address_of_a_process_that_still_stops() {
    let previous_listener =
        TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let address: SocketAddr = previous_listener.local_addr().expect("bound");
    let shutdown = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(300));
        drop(previous_listener);
    });
    let harness = Harness::start_with(1, false, 256, address, &[]);
    shutdown.join().expect("it stopped");
    let mut client = harness.connect_client();
    client.send(MessageType::HealthCheck, 1, &[(CAUSE, &[0])]);
    assert_eq!(client.receive().message_type, MessageType::HealthCheckReply);
}

#[test]
fn events_in_a_new_file_are_applied_at_once() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.feed.accept_and_stream(), 1);
    harness.skip_event();
    harness.rewrite_config();
    harness.move_feed();
    harness.signal(Signal::Hup);
    assert_eq!(
        harness.feed.accept_and_stream(),
        2,
        "the second event is in the file"
    );
}

#[test]
fn a_task_handed_over_on_an_unknown_node_is_released() {
    let harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(
        7,
        &[(REQUIREMENTS, b"cores:1;memory:1;service:a;at:s-ffffffff")],
    );
    assert_eq!(client.receive().message_type, MessageType::Release);
}

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Guards against waiting for a feed that has stopped while its connection stays open. The events
/// that it would send count as sent 4 s later, or as soon as it is connected to again.
#[test_case(b"", b""; "right after the request")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-", b""; "within the headers")]
#[test_case(RESPONSE_HEAD, b""; "after the headers")]
#[test_case(RESPONSE_HEAD, b":"; "except for bytes that complete no item")]
#[test_case(RESPONSE_HEAD, b"id: 2\ndata: {\"n\":2"; "within an event")]
fn a_silent_feed_is_reconnected_within_four_seconds(prefix: &[u8], repeated: &[u8]) {
    let harness = Harness::new(1);
    let mut silent = harness.feed.accept();
    let since = Instant::now();
    silent.write_all(prefix).expect("written");
    let mut writer = silent.try_clone().expect("cloned");
    let repeated = repeated.to_vec();
    std::thread::spawn(move || {
        while !repeated.is_empty() && writer.write_all(&repeated).is_ok() {
            std::thread::sleep(Duration::from_millis(400));
        }
    });
    let _again = harness.feed.accept();
    assert!(
        since.elapsed() < Duration::from_secs(4),
        "{:?}",
        since.elapsed()
    );
}

/// The connection breaks between an event's data and its end, so the event is not applied and must
/// be requested again.
#[test]
fn an_event_that_is_cut_off_is_requested_again() {
    let mut harness = Harness::new(1);
    let mut cut = harness.feed.accept();
    cut.write_all(RESPONSE_HEAD).expect("written");
    cut.write_all(b"id: 2\ndata: {\"n\":2}\n").expect("written");
    drop(cut);
    assert_eq!(harness.feed.accept_and_stream(), 1);
}

/// Guards against starvation: one client sends thousands of set-ups and reads nothing, and hundreds
/// of others send only part of a message.
#[test]
fn a_flood_does_not_keep_others_from_being_served() {
    let mut harness = Harness::new(1);
    let mut flood = harness.connect_client();
    let flood_thread = std::thread::spawn(move || {
        (1_000..21_000)
            .take_while(|&task| flood.try_set_up(task))
            .count()
    });
    let idle_clients: Vec<TestClient> = (0..300)
        .map(|_| {
            let mut partial_client = harness.connect_client();
            partial_client.send_bytes(&[0]);
            partial_client
        })
        .collect();
    let since = Instant::now();
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    // The node has room for only one task.
    harness.nodes[0].answer_set_ups(|task| {
        if task == 7 {
            ready(7, "made")
        } else {
            close(task, 34)
        }
    });
    assert_eq!(client.receive().message_type, MessageType::Answer);
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
    drop(idle_clients);
    flood_thread.join().expect("it ended");
}
