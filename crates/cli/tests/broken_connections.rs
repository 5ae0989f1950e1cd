//! Runs the program as a process, and breaks connections between it and its clients.

#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node;
use peers::{Client, NodeConnection};
use program::{Limits, Program, TIMEOUT};
use std::io::Read;
use std::net::{Shutdown, TcpListener};
use std::time::Duration;
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// Time after which what the program has written has surely arrived.
const TRANSIT: Duration = Duration::from_millis(100);

/// How a client's connection ends while the end of its task is on the way.
#[derive(Clone, Copy, Debug)]
enum Break {
    /// It is reset: the system closes a connection that has unread input with a reset.
    Reset,
    /// A proxy has taken the end and closes the connection in order, without passing it on.
    Closed,
}

/// Sets up a task, lets it end, and breaks its client's connection before the client reads the end.
fn end_task_on_broken_connection(program: &Program, nodes: &TcpListener, how: Break) {
    let mut client = Client::connect(program);
    client.set_up(TASK);
    let mut connection = NodeConnection::accept(nodes);
    connection.receive(node::MessageType::Open);
    let mut answer = node::Message::new(node::MessageType::Ready, TASK);
    answer.text = Some("made".into());
    connection.send(answer);
    assert!(client.receive(TIMEOUT, |message| {
        message.message_type == MessageType::Answer
    }));
    let release = node::Message::new(node::MessageType::Close, TASK);
    connection.send(release.with_cause(u32::from(client::CAUSE_NORMAL)));
    connection.receive(node::MessageType::Closed);
    std::thread::sleep(TRANSIT);
    if let Break::Closed = how {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        assert!(client.stream.read(&mut bytes).expect("the end") > 0);
        client.stream.shutdown(Shutdown::Both).expect("closed");
    }
}

fn start() -> (Program, TcpListener) {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let (nodes, feed) = (listener(), listener());
    let (node, feed) = (nodes.local_addr(), feed.local_addr());
    let program = Program::start(LIMITS, feed.expect("bound"), 1, node.expect("bound"), &[]);
    (program, nodes)
}

#[test_case(Break::Reset)]
#[test_case(Break::Closed)]
fn the_end_of_a_task_that_was_lost_with_its_connection_reaches_the_client_on_another(how: Break) {
    let (program, nodes) = start();
    let mut other = Client::connect(&program);
    end_task_on_broken_connection(&program, &nodes, how);
    assert!(other.receives_end(TASK), "no end on the other connection");
}

#[test_case(Break::Reset)]
#[test_case(Break::Closed)]
fn the_end_of_a_task_that_was_lost_with_its_connection_reaches_the_client_on_the_next(how: Break) {
    let (program, nodes) = start();
    end_task_on_broken_connection(&program, &nodes, how);
    let mut next = Client::connect(&program);
    assert!(next.receives_end(TASK), "no end on the next connection");
}
