//! Draining nodes that stop without a word while the list does not tell of it.

#[path = "draws/mod.rs"]
mod draws;
#[allow(dead_code, reason = "only a part of it is used")]
#[path = "churn/feed.rs"]
mod feed;
#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::{self, AttributeValue, MessageType as NodeMessageType};
use feed::{Feed, entry};
use peers::{Client, NodeConnection};
use program::{Limits, Program, TIMEOUT};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
const NODE: &str = "s-1";
/// Time within which a task must be released whose node can't release it.
const SILENT_END_LIMIT: Duration = Duration::from_millis(8_050);
/// Time in which the program tries further connections to a node that is silent, and is refused.
const REFUSED_FOR: Duration = Duration::from_secs(2);
/// Time between two notifications of a node that is in order.
const NOTIFICATION_INTERVAL: Duration = Duration::from_millis(500);

/// A program with a task on its only node, which drains and accepts no further connection.
struct Draining {
    _program: Program,
    client: Client,
    connection: NodeConnection,
}

impl Draining {
    fn start() -> Draining {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
        let address = listener.local_addr().expect("bound");
        let (feed, feed_address) = Feed::start(&[entry(NODE, address, "active", 0)], 1);
        feed.stop_faults();
        let any = "127.0.0.1:0".parse().expect("an address");
        let program = Program::start_at(any, LIMITS, feed_address, &feed.known(), &[]);
        let mut client = Client::connect(&program);
        client.set_up(TASK);
        let mut connection = NodeConnection::accept(&listener);
        connection.receive(NodeMessageType::Open);
        let mut answer = node::Message::new(NodeMessageType::Ready, TASK);
        answer.text = Some("made".into());
        connection.send(answer);
        let is_answer = |message: &client::Message| message.message_type == MessageType::Answer;
        assert!(client.receive(TIMEOUT, is_answer));
        feed.publish(&[entry(NODE, address, "leaving", 0)]);
        Draining {
            _program: program,
            client,
            connection,
        }
    }
}

fn is_release(message: &client::Message) -> bool {
    message.message_type == MessageType::Release && message.task == TASK
}

fn notification() -> node::Message {
    let mut message = node::Message::new(NodeMessageType::Event, TASK);
    let note = AttributeValue::Text("use_cpu".into());
    message.attributes.insert("note".into(), note);
    message
        .attributes
        .insert("value".into(), AttributeValue::Number(0.5));
    message
}

/// Guards against a task that is released only when the list tells that its node is gone: the node's
/// connection stays open and silent, and its address refuses others.
#[test]
fn a_task_on_a_draining_node_that_falls_silent_is_released_in_time() {
    let mut draining = Draining::start();
    assert!(draining.client.receive(SILENT_END_LIMIT, is_release));
}

/// Guards against releasing a task that runs.
#[test]
fn a_task_on_a_draining_node_that_reports_on_it_is_kept() {
    let mut draining = Draining::start();
    let is_released = draining.client.receive(REFUSED_FOR, is_release);
    assert!(!is_released, "released after a short silence");
    let until = Instant::now() + SILENT_END_LIMIT;
    while Instant::now() < until {
        draining.connection.send(notification());
        let is_released = draining.client.receive(NOTIFICATION_INTERVAL, is_release);
        assert!(!is_released, "released while it runs");
    }
}
