//! Runs the program as a process, and breaks connections between it and its clients.

mod program;

use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node;
use program::{Limits, Program, TIMEOUT};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// Time within which the end of a task must be sent to its client: 1 s, and 50 ms on sockets.
const END_LIMIT: Duration = Duration::from_millis(1_050);
/// Time after which what the program has written has surely arrived.
const TRANSIT: Duration = Duration::from_millis(100);

/// A client's connection.
struct Client {
    stream: TcpStream,
    reader: client::Reader,
}

impl Client {
    /// Connects, and sends a health check, so that the program knows a client of use.
    fn connect(program: &Program) -> Client {
        let mut client = Client {
            stream: program.connect(),
            reader: client::Reader::default(),
        };
        client.send(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
        client.receive(TIMEOUT, |message| {
            message.message_type == MessageType::HealthCheckReply
        });
        client
    }

    fn send(&mut self, message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) {
        let bytes = client::encode(message_type, task, parameters).expect("a short message");
        self.stream.write_all(&bytes).expect("written");
    }

    fn set_up(&mut self, task: u64) {
        let name = format!("{task:016x}");
        let parameters: [(u8, &[u8]); 5] = [
            (client::CLASS, b"batch"),
            (client::TIME_LEFT, b"6000"),
            (client::TASK_NAME, name.as_bytes()),
            (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
            (client::DESCRIPTION, b"what"),
        ];
        self.send(MessageType::SetUp, task, &parameters);
    }

    /// Reads until a message fits. Returns whether one has arrived in time.
    fn receive(&mut self, within: Duration, fits: impl Fn(&client::Message) -> bool) -> bool {
        let until = Instant::now() + within;
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        loop {
            while let Some(message) = self.reader.next_message().expect("a valid message") {
                if fits(&message) {
                    return true;
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            self.stream
                .set_read_timeout(Some(left))
                .expect("a socket option");
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => self.reader.push(&bytes[..count]),
                Err(_) => {}
            }
        }
    }

    fn receives_end(&mut self, task: u64) -> bool {
        self.receive(END_LIMIT, |message| {
            message.message_type == MessageType::Release && message.task == task
        })
    }
}

/// A node's connection.
struct NodeConnection {
    stream: TcpStream,
    reader: node::Reader,
}

impl NodeConnection {
    fn accept(listener: &TcpListener) -> NodeConnection {
        let (stream, _) = listener.accept().expect("a connection");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        NodeConnection {
            stream,
            reader: node::Reader::default(),
        }
    }

    fn send(&mut self, message: node::Message) {
        let line = message.to_line().expect("a short message");
        self.stream.write_all(&line).expect("written");
    }

    fn receive(&mut self, message_type: node::MessageType) {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        loop {
            while let Some(message) = self.reader.next_message().expect("a valid message") {
                if message.message_type == message_type {
                    return;
                }
            }
            let count = self.stream.read(&mut bytes).expect("a message");
            assert!(count > 0, "the connection is open");
            self.reader.push(&bytes[..count]);
        }
    }
}

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
