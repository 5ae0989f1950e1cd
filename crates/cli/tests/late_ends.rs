//! Requests whose first node answers, and then loses its connection with the answer: another node has the
//! request too when the first one reports the end of the task.

#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::{self, AttributeValue, MessageType as NodeMessageType};
use peers::{Client, NodeConnection, hand_over};
use program::{Limits, Program, TIMEOUT};
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::time::{Duration, Instant};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// The task that runs on the first node, and more for the others.
const OTHER_TASK: u64 = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a message would have been sent.
const SENDING_TIME: Duration = Duration::from_millis(200);

struct Node {
    listener: TcpListener,
    connections: Vec<NodeConnection>,
}

impl Node {
    fn start() -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
        Node {
            listener,
            connections: Vec::new(),
        }
    }

    /// Accepts a connection.
    fn accept(&mut self) {
        let connection = NodeConnection::accept(&self.listener);
        self.connections.push(connection);
    }

    /// Accepts a connection if there is one.
    fn accept_waiting(&mut self) {
        self.listener
            .set_nonblocking(true)
            .expect("a socket option");
        if let Ok((stream, _)) = self.listener.accept() {
            stream.set_nonblocking(false).expect("a socket option");
            self.connections.push(NodeConnection::from(stream));
        }
    }

    /// Returns the connection on which a set-up has arrived, if there is one.
    fn set_up_connection(&mut self) -> Option<usize> {
        self.accept_waiting();
        let is_set_up = |message: &node::Message| message.message_type == NodeMessageType::Open;
        self.connections
            .iter_mut()
            .position(|connection| connection.receive_available().iter().any(is_set_up))
    }

    /// Resets all connections, and returns the next one.
    fn reset_connections(&mut self) -> NodeConnection {
        for connection in self.connections.drain(..) {
            connection.stream.shutdown(Shutdown::Both).expect("closed");
        }
        NodeConnection::accept(&self.listener)
    }
}

/// Whether the nodes have other tasks, because of which the program keeps connections to them.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OtherTasks {
    OneEach,
    None,
}

/// Two nodes, and a client whose request both get.
struct Scene {
    _program: Program,
    client: Client,
    nodes: [Node; 2],
    /// The node whose answer was lost.
    lost_at: Option<usize>,
}

impl Scene {
    fn start(other_tasks: OtherTasks) -> Scene {
        let mut nodes = [Node::start(), Node::start()];
        let addresses = nodes
            .each_ref()
            .map(|node| node.listener.local_addr().expect("bound"));
        let feed = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
        let feed = feed.local_addr().expect("bound");
        let program = Program::start_nodes(LIMITS, feed, &addresses, &[]);
        let mut client = Client::connect(&program);
        let with_task = nodes
            .iter_mut()
            .filter(|_| other_tasks == OtherTasks::OneEach);
        for (number, node) in (1..).zip(with_task) {
            let other = hand_over(OTHER_TASK + number, &format!("s-{number}"));
            client.stream.write_all(&other).expect("written");
            node.accept();
        }
        client.set_up(TASK);
        Scene {
            _program: program,
            client,
            nodes,
            lost_at: None,
        }
    }

    /// Returns the node that gets the set-up next, and its connection.
    fn next_set_up(&mut self) -> (usize, usize) {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            for (index, node) in self.nodes.iter_mut().enumerate() {
                if let Some(connection) = node.set_up_connection() {
                    return (index, connection);
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        panic!("no set-up");
    }

    /// Answers the next set-up, and returns its node and connection once the client has the answer.
    fn place(&mut self) -> (usize, usize) {
        let (node, connection) = self.next_set_up();
        assert_ne!(self.lost_at, Some(node), "no second attempt at a node");
        self.nodes[node].connections[connection].send(ready());
        let is_answer = |message: &client::Message| message.message_type == MessageType::Answer;
        assert!(self.client.receive(TIMEOUT, is_answer));
        (node, connection)
    }

    /// Loses the answer of the node that gets the set-up first. Returns its next connection.
    fn lose_answer(&mut self) -> NodeConnection {
        let (first, _) = self.next_set_up();
        self.lost_at = Some(first);
        self.nodes[first].reset_connections()
    }

    fn assert_end_is_told(&mut self) {
        let is_told = self.client.receives_end(TASK);
        assert!(is_told, "its client is told nothing");
    }
}

/// Waits until a node is asked to end the task.
fn assert_is_stopped(connection: &mut NodeConnection) {
    let stop = connection.receive(NodeMessageType::Close);
    assert_eq!(stop.task_id, Some(TASK));
}

fn release(cause: u8, note: Option<&str>) -> node::Message {
    let mut message = node::Message::new(NodeMessageType::Close, TASK);
    if let Some(note) = note {
        let note = AttributeValue::Text(note.into());
        message.attributes.insert("note".into(), note);
    }
    message.with_cause(u32::from(cause))
}

fn ready() -> node::Message {
    let mut answer = node::Message::new(NodeMessageType::Ready, TASK);
    answer.text = Some("made".into());
    answer
}

/// Guards against a client that is never told the end of a task that has stood, since another node runs it.
#[test_case(client::CAUSE_INTERRUPTED, None)]
#[test_case(client::CAUSE_INTERRUPTED, Some("killed"))]
#[test_case(client::CAUSE_NORMAL, None)]
fn the_end_on_a_node_whose_answer_was_lost_is_told_while_another_node_runs_the_task(
    cause: u8,
    note: Option<&str>,
) {
    let mut scene = Scene::start(OtherTasks::OneEach);
    let mut again = scene.lose_answer();
    let (second, connection) = scene.place();
    again.send(release(cause, note));
    scene.assert_end_is_told();
    assert_is_stopped(&mut scene.nodes[second].connections[connection]);
}

/// Guards against an end that its node can't report: it has nothing else of ours, so that no connection to
/// it is opened.
#[test]
fn a_node_whose_answer_was_lost_is_connected_to_while_another_node_runs_the_task() {
    let mut scene = Scene::start(OtherTasks::None);
    let mut again = scene.lose_answer();
    scene.place();
    again.send(release(client::CAUSE_INTERRUPTED, None));
    scene.assert_end_is_told();
}

/// Guards against a request that is forwarded again, or answered as placed, after it has ended.
#[test_case(client::CAUSE_INTERRUPTED, None)]
#[test_case(client::CAUSE_NORMAL, None)]
fn a_request_is_over_when_a_node_whose_answer_was_lost_reports_its_end(
    cause: u8,
    note: Option<&str>,
) {
    let mut scene = Scene::start(OtherTasks::OneEach);
    let mut again = scene.lose_answer();
    let (second, connection) = scene.next_set_up();
    again.send(release(cause, note));
    scene.assert_end_is_told();
    assert_is_stopped(&mut scene.nodes[second].connections[connection]);
}

/// Guards against ending a task for the copy of a release that its first node has sent before.
#[test]
fn a_copy_of_the_release_of_a_set_up_that_broke_ends_no_task() {
    let mut scene = Scene::start(OtherTasks::OneEach);
    let (first, connection) = scene.next_set_up();
    scene.nodes[first].connections[connection].send(release(client::CAUSE_INTERRUPTED, None));
    scene.place();
    let mut again = scene.nodes[first].reset_connections();
    again.send(release(client::CAUSE_INTERRUPTED, None));
    let is_release = |message: &client::Message| message.message_type == MessageType::Release;
    assert!(
        !scene.client.receive(SENDING_TIME, is_release),
        "released while it runs"
    );
}
