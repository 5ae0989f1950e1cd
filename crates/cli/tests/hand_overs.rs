//! Hands running tasks over to the program as a process, and lets them end.

#[path = "draws/mod.rs"]
mod draws;
#[path = "churn/feed.rs"]
mod feed;
#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node;
use feed::{Feed, entry};
use peers::{Client, NodeConnection, hand_over};
use program::{Limits, Program};
use std::io::Write;
use std::net::{Shutdown, TcpListener};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const NODE: &str = "s-1";
/// Time by which a hand-over may be late by the protocol.
const HAND_OVER_TRANSIT: Duration = Duration::from_millis(200);

const TASK: u64 = 7;
const OTHER_NODE: &str = "s-2";
/// Time within which a task must be released whose node can't release it.
const SILENT_END_LIMIT: Duration = Duration::from_millis(8_050);
/// Time in which the program reads what has arrived.
const READING_TIME: Duration = Duration::from_millis(100);

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice")
}

/// A program whose list names one node, and a feed that tells of changes.
struct Listed {
    program: Program,
    nodes: TcpListener,
    feed: Arc<Feed>,
}

impl Listed {
    fn start() -> Listed {
        let nodes = listener();
        let (feed, feed_address) = Feed::start(&[node_entry(NODE, &nodes, "active")], 1);
        feed.stop_faults();
        let any = "127.0.0.1:0".parse().expect("an address");
        let program = Program::start_at(any, LIMITS, feed_address, &feed.known(), &[]);
        Listed {
            program,
            nodes,
            feed,
        }
    }
}

fn node_entry(name: &str, nodes: &TcpListener, phase: &str) -> String {
    entry(name, nodes.local_addr().expect("bound"), phase, 0)
}

fn is_release(message: &client::Message) -> bool {
    message.message_type == MessageType::Release && message.task == TASK
}

fn hand_over_to(client: &mut Client, node: &str) {
    client
        .stream
        .write_all(&hand_over(TASK, node))
        .expect("written");
}

fn start() -> (Program, TcpListener) {
    let (nodes, feed) = (listener(), listener());
    let (node, feed) = (nodes.local_addr(), feed.local_addr());
    let program = Program::start(LIMITS, feed.expect("bound"), 1, node.expect("bound"), &[]);
    (program, nodes)
}

fn release(task: u64, cause: u8) -> node::Message {
    node::Message::new(node::MessageType::Close, task).with_cause(u32::from(cause))
}

/// Hands tasks over, and closes the connection before the program has read them.
fn hand_over_and_close(program: &Program, tasks: std::ops::RangeInclusive<u64>) {
    let mut client = Client::connect(program);
    program.signal("-STOP");
    for task in tasks {
        let bytes = hand_over(task, NODE);
        client.stream.write_all(&bytes).expect("written");
    }
    client.stream.shutdown(Shutdown::Both).expect("closed");
    program.signal("-CONT");
}

#[test_case(1)]
#[test_case(100)]
fn a_hand_over_that_was_unread_when_its_connection_ended_is_not_lost(tasks: u64) {
    let (program, nodes) = start();
    let mut next = Client::connect(&program);
    hand_over_and_close(&program, 1..=tasks);
    std::thread::sleep(HAND_OVER_TRANSIT);
    let mut connection = NodeConnection::accept(&nodes);
    for task in 1..=tasks {
        connection.send(release(task, client::CAUSE_NORMAL));
    }
    for task in 1..=tasks {
        assert!(next.receives_end(task), "no end of task {task}");
    }
}

/// Guards against a task that is reported as ended while it runs, and whose end is told to nobody.
#[test]
fn a_task_that_is_handed_over_before_the_list_names_its_node_is_kept_until_its_end() {
    let listed = Listed::start();
    let mut client = Client::connect(&listed.program);
    hand_over_to(&mut client, OTHER_NODE);
    assert!(
        !client.receive(READING_TIME, is_release),
        "released while it runs"
    );
    let nodes = listener();
    listed
        .feed
        .publish(&[node_entry(OTHER_NODE, &nodes, "active")]);
    let mut connection = NodeConnection::accept(&nodes);
    connection.send(release(TASK, client::CAUSE_NORMAL));
    assert!(client.receives_end(TASK), "its end is not told");
}

/// Guards against a task that is never released because the list never names its node.
#[test]
fn a_task_that_is_handed_over_on_a_node_that_is_never_listed_is_released_in_time() {
    let listed = Listed::start();
    let mut client = Client::connect(&listed.program);
    hand_over_to(&mut client, OTHER_NODE);
    assert!(client.receive(SILENT_END_LIMIT, is_release));
}

/// Guards against waiting for a node that the list has told as gone.
#[test]
fn a_task_that_is_handed_over_on_a_node_that_is_gone_is_released_at_once() {
    let listed = Listed::start();
    listed
        .feed
        .publish(&[node_entry(NODE, &listed.nodes, "left")]);
    std::thread::sleep(READING_TIME);
    let mut client = Client::connect(&listed.program);
    hand_over_to(&mut client, NODE);
    assert!(client.receives_end(TASK));
}

/// Guards against a task that nobody reports as ended: its node carries out the withdrawal of the set-up
/// only after the task was handed over.
#[test]
fn a_handed_over_task_that_its_node_cancels_late_is_released() {
    let (program, nodes) = start();
    let mut first = Client::connect(&program);
    first
        .stream
        .write_all(&peers::set_up(TASK, ""))
        .expect("written");
    let mut connection = NodeConnection::accept(&nodes);
    connection.receive(node::MessageType::Open);
    first.stream.shutdown(Shutdown::Both).expect("closed");
    connection.receive(node::MessageType::Close);
    let mut next = Client::connect(&program);
    hand_over_to(&mut next, NODE);
    std::thread::sleep(READING_TIME);
    connection.send(release(TASK, client::CAUSE_CANCELLED));
    assert!(next.receives_end(TASK));
}

/// Guards against a task that is never released: the process was paused, and reads of the hand-over and
/// of its node's restart, which came later, together.
#[test]
fn a_task_whose_node_restarted_while_its_hand_over_was_unread_is_released_in_time() {
    let listed = Listed::start();
    let mut client = Client::connect(&listed.program);
    listed.program.signal("-STOP");
    hand_over_to(&mut client, NODE);
    std::thread::sleep(Duration::from_secs(1));
    let address = listed.nodes.local_addr().expect("bound");
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let up_since_ms = since.expect("after 1970").as_millis() as u64;
    listed
        .feed
        .publish(&[entry(NODE, address, "active", up_since_ms)]);
    std::thread::sleep(Duration::from_secs(1));
    listed.program.signal("-CONT");
    assert!(client.receive(SILENT_END_LIMIT, is_release));
}

/// Guards against an end that is told to nobody: the node of a handed-over task has the address of one
/// that is still listed, and reports the end before the list names it.
#[test_case(true; "after the hand over")]
#[test_case(false; "before the hand over")]
fn the_end_of_a_task_on_a_node_that_is_not_listed_is_told(is_handed_over_first: bool) {
    const LISTED_TASK: u64 = 8;
    let listed = Listed::start();
    let mut client = Client::connect(&listed.program);
    let to_listed = hand_over(LISTED_TASK, NODE);
    client.stream.write_all(&to_listed).expect("written");
    let mut connection = NodeConnection::accept(&listed.nodes);
    if is_handed_over_first {
        hand_over_to(&mut client, OTHER_NODE);
        std::thread::sleep(READING_TIME);
        connection.send(release(TASK, client::CAUSE_NORMAL));
    } else {
        connection.send(release(TASK, client::CAUSE_NORMAL));
        std::thread::sleep(READING_TIME);
        hand_over_to(&mut client, OTHER_NODE);
    }
    assert!(client.receives_end(TASK));
}
