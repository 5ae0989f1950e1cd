//! Tests of a running dispatcher over its sockets, one for each kind of failure.

mod harness;
mod races;
mod releases;
mod silence;

use corkspan_platform_wire::client::{
    CAUSE, CLASS, DESCRIPTION, MessageType, REQUIREMENTS, TASK_NAME, TENANT, TIME_LEFT,
};
use corkspan_platform_wire::node;
use corkspan_runtime::Signal;
use harness::*;
use std::time::{Duration, Instant};
use test_case::test_case;

#[test]
fn a_set_up_is_placed_answered_with_the_nodes_description_and_released_at_its_end() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = harness.nodes[0].accept_connection();
    let open = connection.receive();
    assert_eq!(
        (open.message_type, open.task_id, open.text.as_deref()),
        (node::MessageType::Open, Some(7), Some("what\r\n"))
    );
    connection.send(ready(7, "made here"));
    let answer = client.receive();
    assert_eq!(
        (answer.message_type, answer.parameter(DESCRIPTION)),
        (MessageType::Answer, Some(&b"made here"[..]))
    );
    connection.send(node::Message::new(node::MessageType::Close, 7).with_cause(16));
    assert_eq!(
        (
            client.receive().message_type,
            connection.receive().message_type
        ),
        (MessageType::Release, node::MessageType::Closed)
    );
}

#[test]
fn a_running_task_is_taken_over_whatever_its_time_left() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    let requirements = format!("{DEFAULT_REQUIREMENTS};at:{}", harness.nodes[0].name);
    client.send_set_up(
        7,
        &[
            (REQUIREMENTS, requirements.as_bytes()),
            (TIME_LEFT, b"4294967"),
        ],
    );
    let mut connection = harness.nodes[0].accept_connection();
    connection.send(node::Message::new(node::MessageType::Close, 7).with_cause(16));
    assert_eq!(client.receive().message_type, MessageType::Release);
}

#[test_case(b"{]\n", true; "invalid JSON")]
#[test_case(b"{\"msg\":\"ready\",\"sid\":\"0000000000000007\",\"attrs\":{}}\n", true; "an answer without its description")]
#[test_case(b"", true; "a connection that breaks")]
#[test_case(b"{\"msg\":\"ready\",\"sid\":\"strange\",\"attrs\":{},\"text\":\"x\"}\n", false; "an answer under an unknown id")]
fn a_damaged_answer_costs_one_attempt_and_an_unrelated_one_costs_none(damaged: &[u8], lost: bool) {
    let mut harness = Harness::new(2);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = harness.accept_connection();
    connection.receive();
    connection.send_bytes(damaged);
    if lost {
        drop(connection);
        // A connection to the first node is kept, too, since it may have answered.
        let kept = harness.accept_connection();
        let other = harness.accept_connection();
        let kept_has_input = kept.has_input_within(Duration::from_millis(100));
        connection = if kept_has_input { kept } else { other };
        assert_eq!(connection.receive().task_id, Some(7));
    }
    connection.send(ready(7, "good"));
    assert_eq!(client.receive().parameter(DESCRIPTION), Some(&b"good"[..]));
}

#[test]
fn a_draining_node_that_refuses_connections_has_not_lost_its_tasks() {
    let mut harness = Harness::new(1);
    let (mut client, connection) = harness.running_task(7);
    harness.send_event(0, "leaving");
    harness.nodes[0].stop_listening();
    drop(connection);
    assert!(
        client.silent_for(Duration::from_millis(600)),
        "the task may still run"
    );
    harness.send_event(0, "left");
    assert_eq!(client.receive().message_type, MessageType::Release);
}

#[test]
fn a_dead_process_has_lost_its_tasks_at_once() {
    let mut harness = Harness::new(1);
    let (mut client, connection) = harness.running_task(7);
    harness.nodes[0].stop_listening();
    drop(connection);
    let release = client.receive();
    assert_eq!(
        (release.message_type, release.parameter(CAUSE)),
        (MessageType::Release, Some(&[41][..]))
    );
}

#[test_case(CLASS, b"none such"; "a class that does not exist")]
#[test_case(TENANT, b"none such"; "a tenant that does not exist")]
#[test_case(REQUIREMENTS, b"cores:nan;memory:1;service:a"; "a requirement that is not a number")]
#[test_case(REQUIREMENTS, b"cores:1e9;memory:1;service:a"; "more than any machine has")]
#[test_case(TIME_LEFT, b"-5"; "a deadline in the past")]
#[test_case(TASK_NAME, b""; "no name")]
fn an_invalid_set_up_is_answered_with_a_failure(code: u8, value: &[u8]) {
    let harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[(code, value)]);
    let answer = client.receive();
    assert_eq!(
        (answer.message_type, answer.task, answer.parameter(CAUSE)),
        (MessageType::Release, 7, Some(&[47][..]))
    );
}

#[test_case(b"{\"what\":1}"; "unreadable data")]
#[test_case(&[0xff; 64]; "a length beyond any message")]
#[test_case(&[0, 12, 1, 0]; "half a message")]
#[test_case(b""; "nothing at all")]
fn an_unreadable_connection_is_closed_within_three_seconds(bytes: &[u8]) {
    let harness = Harness::new(1);
    let (mut client, since) = (harness.connect_client(), Instant::now());
    client.send_bytes(bytes);
    assert!(client.is_closed() && since.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_second_set_up_under_an_open_id_cancels_both() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = harness.nodes[0].accept_connection();
    connection.receive();
    client.send_set_up(7, &[(DESCRIPTION, b"another")]);
    assert!(client.is_closed());
    let cancelled = connection.receive();
    assert_eq!(
        (cancelled.message_type, cancelled.cause),
        (node::MessageType::Close, Some(16))
    );
}

#[test]
fn another_feed_is_followed_from_the_last_event_on() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.feed.accept_and_stream(), 1);
    harness.send_event(0, "active");
    harness.move_feed();
    harness.signal(Signal::Hup);
    assert_eq!(
        harness.feed.accept_and_stream(),
        2,
        "events received before are not requested again"
    );
}

#[test]
fn after_sigterm_open_set_ups_are_answered_and_the_process_ends() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = harness.nodes[0].accept_connection();
    connection.receive();
    harness.signal(Signal::Term);
    assert_eq!(
        client.receive().message_type,
        MessageType::Release,
        "its node never answers"
    );
    assert!(harness.ends_cleanly());
}

#[test]
fn a_new_node_at_an_old_address_gets_a_connection_of_its_own() {
    let mut harness = Harness::new(1);
    let (mut client, _old) = harness.running_task(7);
    harness.replace_node(0);
    assert_eq!(
        client.receive().message_type,
        MessageType::Release,
        "the task is lost with the old node"
    );
    client.send_set_up(8, &[]);
    assert_eq!(
        harness.nodes[0].accept_connection().receive().task_id,
        Some(8)
    );
}

#[test]
fn silent_connections_at_a_low_descriptor_limit_keep_no_client_out() {
    let mut harness = Harness::start(1, false, 48);
    let silent_clients: Vec<TestClient> = (0..60).map(|_| harness.connect_client()).collect();
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    assert_eq!(
        harness.nodes[0].accept_connection().receive().task_id,
        Some(7)
    );
    for mut silent in silent_clients {
        assert!(silent.is_closed());
    }
}

#[test]
fn a_set_up_that_arrives_after_sigterm_is_answered_too() {
    let mut harness = Harness::new(1);
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    let mut connection = harness.nodes[0].accept_connection();
    connection.receive();
    harness.signal(Signal::Term);
    let mut late = harness.connect_client();
    late.send_set_up(8, &[]);
    let mut second = harness.nodes[0].accept_connection();
    assert_eq!(second.receive().task_id, Some(8));
    second.send(ready(8, "late"));
    assert_eq!(late.receive().message_type, MessageType::Answer);
    drop(connection);
    assert!(harness.ends_cleanly());
}

#[test]
fn another_client_under_an_open_id_gets_a_failure_and_the_first_its_answer() {
    let mut harness = Harness::new(1);
    let (mut first, mut second) = (harness.connect_client(), harness.connect_client());
    first.send_set_up(7, &[]);
    let mut connection = harness.nodes[0].accept_connection();
    connection.receive();
    second.send_set_up(7, &[(DESCRIPTION, b"another")]);
    assert_eq!(second.receive().parameter(CAUSE), Some(&[47][..]));
    connection.send(ready(7, "made"));
    assert_eq!(first.receive().message_type, MessageType::Answer);
}

#[test]
fn an_unreadable_new_file_changes_nothing() {
    let mut harness = Harness::new(1);
    harness.write_invalid_config();
    harness.signal(Signal::Hup);
    harness.send_event(0, "active");
    let mut client = harness.connect_client();
    client.send_set_up(7, &[]);
    assert_eq!(
        harness.nodes[0].accept_connection().receive().task_id,
        Some(7)
    );
}

/// Guards against losing the end of a running task: a later set-up on the task's connection times
/// out, so the dispatcher closes that connection while the node's release is in transit.
#[test]
fn a_release_that_crosses_the_close_of_its_connection_is_forwarded() {
    let mut harness = Harness::new(1);
    let (mut client, mut first) = harness.running_task(7);
    client.send_set_up(8, &[(TIME_LEFT, b"600")]);
    assert_eq!(first.receive().task_id, Some(8), "on the idle connection");
    client.send_set_up(9, &[]);
    let mut second = harness.nodes[0].accept_connection();
    second.receive();
    second.send(ready(9, "made"));
    assert_eq!(client.receive().message_type, MessageType::Answer);
    // The set-up times out and is cancelled, and then the connection is closed.
    while !first.is_closed() {}
    first.send(node::Message::new(node::MessageType::Close, 7).with_cause(16));
    loop {
        let message = client.receive();
        assert_eq!(message.message_type, MessageType::Release);
        if message.task == 7 {
            break;
        }
    }
}

/// Guards against losing the end of a task after a start: a node reports all pending ends on the
/// first connection, which may be opened for another task before theirs are handed over.
#[test]
fn an_end_reported_before_its_task_is_handed_over_is_forwarded_then() {
    let mut harness = Harness::new(2);
    let mut client = harness.connect_client();
    let requirements_at = |node: &str| format!("{DEFAULT_REQUIREMENTS};at:{node}");
    let (here, elsewhere) = (
        requirements_at(&harness.nodes[0].name),
        requirements_at(&harness.nodes[1].name),
    );
    client.send_set_up(7, &[(REQUIREMENTS, here.as_bytes())]);
    let mut connection = harness.nodes[0].accept_connection();
    connection.send(node::Message::new(node::MessageType::Close, 8).with_cause(16));
    assert_eq!(connection.receive().message_type, node::MessageType::Closed);
    client.send_set_up(8, &[(REQUIREMENTS, elsewhere.as_bytes())]);
    assert!(
        client.silent_for(Duration::from_millis(100)),
        "an end reported by another node does not count"
    );
    client.send(MessageType::Release, 8, &[(CAUSE, &[16])]);
    let mut second = harness.connect_client();
    second.send_set_up(9, &[(REQUIREMENTS, here.as_bytes())]);
    connection.send(node::Message::new(node::MessageType::Close, 10).with_cause(16));
    assert_eq!(connection.receive().task_id, Some(10));
    second.send_set_up(10, &[(REQUIREMENTS, here.as_bytes())]);
    let release = second.receive();
    assert_eq!(
        (release.message_type, release.task),
        (MessageType::Release, 10)
    );
}
