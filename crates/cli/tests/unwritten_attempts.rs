//! Attempts that are withdrawn before anything of them was written, because their client has sent much
//! else in the meantime.

#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::{self, MessageType as NodeMessageType};
use peers::{Client, NodeConnection};
use program::{Limits, Program, TIMEOUT};
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// Time in which the program chooses a node and begins to connect.
const CONNECTING_TIME: Duration = Duration::from_millis(100);
/// Time after which the system asks again for a connection that found the backlog full.
const CONNECT_RETRY: Duration = Duration::from_millis(1_200);
/// More messages than the program handles before an attempt.
const FLOOD: usize = 2_000;
/// Time after which the program closes an idle connection, and a sweep more.
const IDLE_CLOSE: Duration = Duration::from_millis(10_500);
const READ_TIMEOUT: Duration = Duration::from_millis(10);

/// Sends a set-up whose first connection comes up when much else of its client is unread.
fn set_up_beside_a_flood(program: &Program, client: &mut Client, nodes: &TcpListener) {
    rustix::net::listen(nodes, 0).expect("a backlog of one");
    let filler = TcpStream::connect(nodes.local_addr().expect("bound")).expect("connected");
    client.set_up(TASK);
    std::thread::sleep(CONNECTING_TIME);
    program.signal("-STOP");
    let check = client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
    let checks = check.expect("short").repeat(FLOOD);
    client.stream.write_all(&checks).expect("written");
    drop(nodes.accept().expect("the one that fills the backlog"));
    drop(filler);
    std::thread::sleep(CONNECT_RETRY);
    rustix::net::listen(nodes, 128).expect("a backlog");
    program.signal("-CONT");
}

/// Returns whether a set-up arrives on a connection.
fn brings_set_up(connection: &mut NodeConnection) -> bool {
    connection
        .stream
        .set_read_timeout(Some(CONNECTING_TIME))
        .expect("a socket option");
    let has_input = matches!(connection.stream.peek(&mut [0]), Ok(1));
    if has_input {
        connection.receive(NodeMessageType::Open);
    }
    has_input
}

/// Accepts connections until one brings the set-up. Returns it, and the first one if that is another.
fn accept_set_up(nodes: &TcpListener) -> (NodeConnection, Option<NodeConnection>) {
    let mut first = NodeConnection::accept(nodes);
    if brings_set_up(&mut first) {
        return (first, None);
    }
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        let mut next = NodeConnection::accept(nodes);
        if brings_set_up(&mut next) {
            return (next, Some(first));
        }
    }
    panic!("no set-up");
}

/// Sends a message on a connection now and then, until the program has closed another one.
fn wait_for_close(used: &mut NodeConnection, idle: &mut NodeConnection) {
    let until = Instant::now() + IDLE_CLOSE;
    idle.stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a socket option");
    while Instant::now() < until {
        used.send(node::Message::new(NodeMessageType::Event, TASK + 1));
        match idle.stream.read(&mut [0; 64]) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        std::thread::sleep(CONNECTING_TIME);
    }
    panic!("the idle connection is open");
}

/// Guards against an end that is taken for that of an earlier attempt, of which nothing was written.
#[test]
fn the_end_of_a_task_on_the_connection_of_an_unwritten_attempt_reaches_its_client() {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let (nodes, feed) = (listener(), listener());
    let (node, feed) = (nodes.local_addr(), feed.local_addr());
    let program = Program::start(LIMITS, feed.expect("bound"), 1, node.expect("bound"), &[]);
    let mut client = Client::connect(&program);
    set_up_beside_a_flood(&program, &mut client, &nodes);
    let (mut own, unwritten) = accept_set_up(&nodes);
    let mut answer = node::Message::new(NodeMessageType::Ready, TASK);
    answer.text = Some("made".into());
    own.send(answer);
    assert!(client.receive(TIMEOUT, |message| {
        message.message_type == MessageType::Answer
    }));
    let mut open = match unwritten {
        None => own,
        Some(mut unwritten) => {
            wait_for_close(&mut unwritten, &mut own);
            unwritten
        }
    };
    let release = node::Message::new(NodeMessageType::Close, TASK);
    open.send(release.with_cause(u32::from(client::CAUSE_NORMAL)));
    assert!(client.receives_end(TASK), "its end is not told");
}
