//! Clients and nodes of a program that runs as a process.

use crate::program::{Program, TIMEOUT};
use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time within which the end of a task must be sent to its client: 1 s, and 50 ms on sockets.
pub const END_LIMIT: Duration = Duration::from_millis(1_050);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

const TIME_LEFT: Duration = Duration::from_secs(6);

/// Returns a set-up, whose requirements end with `more`.
pub fn set_up(task: u64, more: &str) -> Vec<u8> {
    set_up_within(task, TIME_LEFT, more)
}

/// Returns a set-up whose client waits so long for the answer.
pub fn set_up_within(task: u64, left: Duration, more: &str) -> Vec<u8> {
    let left = left.as_millis().to_string();
    let name = format!("{task:016x}");
    let requirements = format!("cores:0.01;memory:0.01;service:a{more}");
    let parameters: [(u8, &[u8]); 5] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, left.as_bytes()),
        (client::TASK_NAME, name.as_bytes()),
        (client::REQUIREMENTS, requirements.as_bytes()),
        (client::DESCRIPTION, b"what"),
    ];
    client::encode(MessageType::SetUp, task, &parameters).expect("a short message")
}

/// Returns the hand-over of a task that runs on a node.
pub fn hand_over(task: u64, node: &str) -> Vec<u8> {
    set_up(task, &format!(";at:{node}"))
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: client::Reader,
}

impl Client {
    /// Connects, and sends a health check, so that the program knows a client of use.
    pub fn connect(program: &Program) -> Client {
        let mut client = Client::unconfirmed(program);
        client.send(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
        client.receive(TIMEOUT, |message| {
            message.message_type == MessageType::HealthCheckReply
        });
        client
    }

    /// Connects, without waiting until the program serves the connection.
    pub fn unconfirmed(program: &Program) -> Client {
        Client {
            stream: program.connect(),
            reader: client::Reader::default(),
        }
    }

    pub fn send(&mut self, message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) {
        let bytes = client::encode(message_type, task, parameters).expect("a short message");
        self.stream.write_all(&bytes).expect("written");
    }

    pub fn set_up(&mut self, task: u64) {
        self.stream.write_all(&set_up(task, "")).expect("written");
    }

    /// Reads until a message fits. Returns whether one has arrived in time.
    pub fn receive(&mut self, within: Duration, fits: impl Fn(&client::Message) -> bool) -> bool {
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

    pub fn receives_end(&mut self, task: u64) -> bool {
        self.receive(END_LIMIT, |message| {
            message.message_type == MessageType::Release && message.task == task
        })
    }
}

/// A node's connection.
pub struct NodeConnection {
    pub stream: TcpStream,
    reader: node::Reader,
}

impl NodeConnection {
    /// Accepts a connection, if one is opened in time.
    pub fn accept(listener: &TcpListener) -> NodeConnection {
        let until = Instant::now() + TIMEOUT;
        listener.set_nonblocking(true).expect("a socket option");
        let stream = loop {
            match listener.accept() {
                Err(error) if error.kind() == ErrorKind::WouldBlock && Instant::now() < until => {
                    std::thread::sleep(POLL_INTERVAL);
                }
                accepted => break accepted.expect("a connection").0,
            }
        };
        stream.set_nonblocking(false).expect("a socket option");
        NodeConnection::from(stream)
    }

    /// Returns the messages that have arrived, without waiting for others.
    pub fn receive_available(&mut self) -> Vec<node::Message> {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        while self.has_input() {
            let count = self.stream.read(&mut bytes).expect("a message");
            self.reader.push(&bytes[..count]);
        }
        std::iter::from_fn(|| self.reader.next_message().expect("a valid message")).collect()
    }

    /// Returns whether something has arrived that is not read yet.
    fn has_input(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket option");
        let has_input = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream.set_nonblocking(false).expect("a socket option");
        has_input
    }

    pub fn send(&mut self, message: node::Message) {
        let line = message.to_line().expect("a short message");
        self.stream.write_all(&line).expect("written");
    }

    pub fn receive(&mut self, message_type: node::MessageType) -> node::Message {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        loop {
            while let Some(message) = self.reader.next_message().expect("a valid message") {
                if message.message_type == message_type {
                    return message;
                }
            }
            let count = self.stream.read(&mut bytes).expect("a message");
            assert!(count > 0, "the connection is open");
            self.reader.push(&bytes[..count]);
        }
    }
}

impl From<TcpStream> for NodeConnection {
    fn from(stream: TcpStream) -> NodeConnection {
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        NodeConnection {
            stream,
            reader: node::Reader::default(),
        }
    }
}
