//! Nodes whose answers are lost on the way, and that report the ends of their tasks.

#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client;
use corkspan_platform_wire::node::{self, AttributeValue};
use peers::{Client, NodeConnection};
use program::{Limits, Program};
use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::Duration;
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// Time in which a further attempt would have been made.
const ATTEMPT_TIME: Duration = Duration::from_millis(200);

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice")
}

/// Returns a release as a node sends it of a task that has stood.
fn release(cause: u8, note: Option<&str>) -> node::Message {
    let mut message = node::Message::new(node::MessageType::Close, TASK);
    if let Some(note) = note {
        let note = AttributeValue::Text(note.into());
        message.attributes.insert("note".into(), note);
    }
    message.with_cause(u32::from(cause))
}

/// Guards against a request that is forwarded again after it has ended: its node had answered it, and
/// the answer was lost.
#[test_case(client::CAUSE_NORMAL, None)]
#[test_case(client::CAUSE_CANCELLED, None)]
#[test_case(client::CAUSE_INTERRUPTED, Some("killed"))]
#[test_case(client::CAUSE_INTERRUPTED, Some("displaced"))]
#[test_case(client::CAUSE_INTERRUPTED, Some("dismissed"))]
fn a_request_whose_answer_was_lost_is_not_forwarded_after_its_end(cause: u8, note: Option<&str>) {
    let (nodes, feed) = (listener(), listener());
    let (node, feed) = (nodes.local_addr(), feed.local_addr());
    let (node, feed) = (node.expect("bound"), feed.expect("bound"));
    let program = Program::start_nodes(LIMITS, feed, &[node, node], &[]);
    let mut client = Client::connect(&program);
    client.set_up(TASK);
    let mut connection = NodeConnection::accept(&nodes);
    connection.receive(node::MessageType::Open);
    connection.send(release(cause, note));
    assert!(client.receives_end(TASK), "its client is told nothing");
    std::thread::sleep(ATTEMPT_TIME);
    let next = nodes.accept().map(|_| ());
    let error = next.expect_err("no connection for a further attempt");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
}
