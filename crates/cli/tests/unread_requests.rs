//! Requests that wait to be read, because the program is paused or gets little processor time.

#[allow(dead_code, reason = "only a part of it is used")]
mod peers;
mod program;

use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::{self, AttributeValue};
use peers::{Client, NodeConnection, set_up_within};
use program::{Limits, Program};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 64,
};
const TASK: u64 = 7;
/// The time for which the client waits.
const LEFT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_secs(1);
/// Time after the deadline within which the final answer must arrive.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How much more time than is left a node may be told.
const LEFT_SLACK: Duration = Duration::from_millis(150);

/// The earliest SIGKILL after SIGTERM: 3 s for the longest deadline, which is longer, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM of the last new connection, and of the last request.
const LAST_CONNECTION: Duration = Duration::from_millis(400);
const LAST_REQUEST: Duration = Duration::from_millis(600);

/// Where a request waits while the program is paused.
#[derive(Clone, Copy)]
enum Waiting {
    OnAnOpenConnection,
    OnANewConnection,
    /// Behind a request that was sent first.
    BehindAnother,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice")
}

fn start(nodes: &TcpListener) -> Program {
    let (node, feed) = (nodes.local_addr(), listener().local_addr());
    Program::start(LIMITS, feed.expect("bound"), 1, node.expect("bound"), &[])
}

/// Sends a request while the program is paused, and returns its connection and when it was sent.
fn send_while_paused(program: &Program, waiting: Waiting) -> (Client, Instant) {
    let mut client = Client::connect(program);
    program.signal("-STOP");
    if let Waiting::OnANewConnection = waiting {
        client = Client::unconfirmed(program);
    }
    if let Waiting::BehindAnother = waiting {
        client.set_up(TASK + 1);
    }
    let sent_at = Instant::now();
    let set_up = set_up_within(TASK, LEFT, "");
    client.stream.write_all(&set_up).expect("written");
    std::thread::sleep(PAUSE);
    program.signal("-CONT");
    (client, sent_at)
}

/// Accepts connections until the set-up of the task arrives, which may have one of its own.
fn receive_set_up(nodes: &TcpListener) -> node::Message {
    let mut earlier = Vec::new();
    loop {
        let mut connection = NodeConnection::accept(nodes);
        let open = connection.receive(node::MessageType::Open);
        if open.task_id == Some(TASK) {
            return open;
        }
        earlier.push(connection);
    }
}

/// Returns whether a message is the final answer to a request that no node has placed.
fn is_answer(message: &client::Message) -> bool {
    message.message_type == MessageType::Release && message.task == TASK
}

fn time_left(open: &node::Message) -> Duration {
    let left = open.attribute("left").and_then(AttributeValue::number);
    Duration::from_millis(left.expect("a number") as u64)
}

/// Guards against a node that is told more time than the client has left.
#[test_case(Waiting::OnAnOpenConnection; "on an open connection")]
#[test_case(Waiting::OnANewConnection; "on a new connection")]
#[test_case(Waiting::BehindAnother; "behind another")]
fn a_node_is_told_no_more_than_is_left_of_a_request_that_waited_unread(waiting: Waiting) {
    let nodes = listener();
    let program = start(&nodes);
    let (_client, sent_at) = send_while_paused(&program, waiting);
    let open = receive_set_up(&nodes);
    let remaining = LEFT.saturating_sub(sent_at.elapsed());
    let told = time_left(&open);
    assert!(told <= remaining + LEFT_SLACK, "{told:?} of {remaining:?}");
}

/// Guards against a request that is lost: its answer arrives over half a second after its deadline.
#[test_case(Waiting::OnAnOpenConnection; "on an open connection")]
#[test_case(Waiting::OnANewConnection; "on a new connection")]
#[test_case(Waiting::BehindAnother; "behind another")]
fn a_request_that_waited_unread_is_answered_by_its_deadline(waiting: Waiting) {
    let nodes = listener();
    let program = start(&nodes);
    let (mut client, sent_at) = send_while_paused(&program, waiting);
    let until = LEFT + ANSWER_SLACK;
    let answered = client.receive(until.saturating_sub(sent_at.elapsed()), is_answer);
    assert!(
        answered,
        "no answer {:?} after it was sent",
        sent_at.elapsed()
    );
}

/// Guards against a request that is lost to SIGKILL: the stop signal was noticed late, and the time until
/// then was counted from that.
#[test]
fn a_request_is_answered_before_the_earliest_kill_if_the_stop_signal_is_noticed_late() {
    let nodes = listener();
    let program = start(&nodes);
    let mut client = Client::connect(&program);
    client.set_up(TASK);
    receive_set_up(&nodes);
    program.signal("-STOP");
    let signalled_at = Instant::now();
    program.signal("-TERM");
    std::thread::sleep(PAUSE);
    program.signal("-CONT");
    let left = EARLIEST_KILL.saturating_sub(signalled_at.elapsed());
    let answered = client.receive(left, is_answer);
    assert!(
        answered,
        "no answer {:?} after SIGTERM",
        signalled_at.elapsed()
    );
}

/// Guards against a stop that begins too early: the signal came at the end of a pause, and clients go on
/// connecting for 0.4 s, and sending for 0.2 s more.
#[test]
fn requests_are_read_for_long_enough_after_a_stop_signal_that_came_at_the_end_of_a_pause() {
    let nodes = listener();
    let program = start(&nodes);
    program.signal("-STOP");
    std::thread::sleep(PAUSE);
    program.signal("-TERM");
    program.signal("-CONT");
    std::thread::sleep(LAST_CONNECTION);
    let mut client = Client::connect(&program);
    std::thread::sleep(LAST_REQUEST - LAST_CONNECTION);
    client.set_up(TASK);
    receive_set_up(&nodes);
}
