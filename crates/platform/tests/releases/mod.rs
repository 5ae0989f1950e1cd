//! Tests that the release of a task reaches its client although the connection on which its node
//! wrote it was of no more use. A node writes it again on the next connection that is opened to it.

use crate::harness::*;
use corkspan_platform_wire::client::{self, MessageType, TIME_LEFT};
use corkspan_platform_wire::node::{self, AttributeValue};
use std::time::{Duration, Instant};
use test_case::test_case;

/// The protocol's limit for a release that did not arrive when it was written.
const RELEASE_LIMIT: Duration = Duration::from_millis(8_050);

/// An attempt that may have run is not repeated, so no connection is opened for another one.
const NOT_REPEATABLE: &[(&str, &str)] = &[("\"effect\":\"pure\"", "\"effect\":\"side_effect\"")];

fn release(task: u64) -> node::Message {
    node::Message::new(node::MessageType::Close, task).with_cause(16)
}

fn notification(task: u64) -> node::Message {
    let mut message = node::Message::new(node::MessageType::Event, task);
    let attributes = [
        ("note", AttributeValue::Text("use_cpu".into())),
        ("value", AttributeValue::Number(0.5)),
    ];
    for (name, value) in attributes {
        message.attributes.insert(name.into(), value);
    }
    message
}

/// A node with two connections: task 7 was set up on the first one, and task 8 runs on the second.
struct TwoConnections {
    harness: Harness,
    client: TestClient,
    first: NodeConnection,
    second: NodeConnection,
}

impl TwoConnections {
    /// Sets both tasks up, and an attempt at task 9 on the first connection, which is unanswered.
    fn new(time_left: &[u8]) -> TwoConnections {
        let mut harness = Harness::with_settings(1, NOT_REPEATABLE);
        let (mut client, mut first) = harness.running_task(7);
        client.send_set_up(9, &[(TIME_LEFT, time_left)]);
        assert_eq!(first.receive().task_id, Some(9), "on the idle connection");
        client.send_set_up(8, &[]);
        let mut second = harness.nodes[0].accept_connection();
        assert_eq!(second.receive().task_id, Some(8));
        second.send(ready(8, "made"));
        assert_eq!(client.receive().message_type, MessageType::Answer);
        TwoConnections {
            harness,
            client,
            first,
            second,
        }
    }

    /// Sends notifications on the second connection until the node accepts a third one. Panics if
    /// none comes in time.
    fn accept_next(&mut self) -> NodeConnection {
        let since = Instant::now();
        loop {
            assert!(since.elapsed() < RELEASE_LIMIT, "no further connection");
            self.second.send(notification(8));
            if let Some(next) = self.harness.nodes[0].try_accept_connection() {
                return next;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
    }

    /// Receives the client's messages until task 7 is released.
    fn receive_release(&mut self) {
        loop {
            let message = self.client.receive();
            assert_eq!(message.message_type, MessageType::Release);
            if message.task == 7 {
                return;
            }
        }
    }
}

/// What becomes of the first connection once task 9 was sent on it.
#[derive(Clone, Copy, Debug)]
enum Spoilt {
    /// The answer stops short, and nothing more arrives.
    StopsShort,
    /// The answer never arrives, and nothing else does.
    FallsSilent,
    /// Nothing arrives, and the client gives the set-up up before the attempt times out.
    FallsSilentAndClientGivesUp,
    /// The answer can't be read.
    Unreadable,
    /// The connection is reset.
    Broken,
}

/// Guards against a running task that is never released: its node wrote the release on a spoilt
/// connection, while the dispatcher has another one and would open no more. The attempt on the
/// spoilt connection times out early or only after the release is due.
#[test_case(Spoilt::StopsShort, b"1000")]
#[test_case(Spoilt::FallsSilent, b"1000")]
#[test_case(Spoilt::FallsSilent, b"20000"; "long before the attempt's timeout")]
#[test_case(Spoilt::FallsSilentAndClientGivesUp, b"20000")]
#[test_case(Spoilt::Unreadable, b"6000")]
#[test_case(Spoilt::Broken, b"6000")]
fn a_release_written_on_a_spoilt_connection_arrives_on_the_next(spoilt: Spoilt, time_left: &[u8]) {
    let mut node = TwoConnections::new(time_left);
    let since = Instant::now();
    let TwoConnections { first, client, .. } = &mut node;
    match spoilt {
        Spoilt::StopsShort => first.send_bytes(b"{\"msg\":\"ready\",\"sid\":\"00"),
        Spoilt::FallsSilent => {}
        Spoilt::FallsSilentAndClientGivesUp => {
            let cause = [(client::CAUSE, &[client::CAUSE_NORMAL][..])];
            client.send(MessageType::Release, 9, &cause);
        }
        Spoilt::Unreadable => first.send_bytes(b"{\"msg\":[\n"),
        Spoilt::Broken => first.shut_down(),
    }
    node.accept_next().send(release(7));
    node.receive_release();
    assert!(since.elapsed() < RELEASE_LIMIT, "{:?}", since.elapsed());
}

/// Guards against opening connections without need: a node that answers and closes cleanly has
/// written nothing that is lost.
#[test]
fn no_further_connection_is_opened_while_all_are_of_use() {
    let mut node = TwoConnections::new(b"6000");
    node.first.send(ready(9, "made"));
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(5) {
        node.first.send(notification(7));
        node.second.send(notification(8));
        assert!(node.harness.nodes[0].try_accept_connection().is_none());
        std::thread::sleep(Duration::from_millis(200));
    }
}

/// Guards against closing a connection on which a process that hangs writes first when it goes on:
/// it has not read the close yet, and takes its connection for open.
#[test]
fn a_release_written_by_a_process_that_hung_arrives() {
    let mut node = TwoConnections::new(b"1000");
    std::thread::sleep(Duration::from_secs(4));
    node.first.send(release(7));
    node.receive_release();
}
