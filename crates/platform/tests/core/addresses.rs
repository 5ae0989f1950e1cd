//! Tests of processes that come up at the address of another one. What the list tells of them may
//! come late.

use super::bounds::{CONFIG, handle_with_config, set_up, set_up_with_requirements};
use super::pending_task::task_key;
use super::*;
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, MessageType};
use std::sync::atomic::Ordering;
use test_case::test_case;

pub(super) const TASK: u64 = 7;
/// The time at which each test starts, in milliseconds: later than that of the clock with which the
/// core is created, so that what is due then is done.
const START_MS: u64 = 4_000_000_000_000;
pub(super) const ADDRESS: &str = "127.0.0.1:9";

pub(super) fn set_time(handle: &PlatformHandle, after_ms: u64) {
    let now = (START_MS + after_ms) * TICKS_PER_MS;
    handle.time_override.store(now, Ordering::Relaxed);
}

/// Sends an event that lists a node. `started_after_ms` is none for a node of the start.
pub(super) fn list_node(
    handle: &PlatformHandle,
    event: u64,
    name: &str,
    address: &str,
    started_after_ms: Option<u64>,
) {
    let up_since = started_after_ms.map_or(0, |after| START_MS + after);
    let json = format!(
        r#"{{"n":{event},"members":{{"members":[{{"id":"{name}","host_port":"{address}","locality":"east",
        "flavor":"std","phase":"active","up_since_ms":{up_since}}}]}}}}"#
    );
    handle.apply_event(serde_json::from_str(&json).expect("an event"));
}

/// Creates a core that knows one node, and a client.
fn core_and_client() -> (Arc<PlatformHandle>, ClientId, MessageQueue) {
    core_and_client_with(false)
}

/// Creates a core that knows one node and may or may not send health checks, and a client.
pub(super) fn core_and_client_with(
    health_checks: bool,
) -> (Arc<PlatformHandle>, ClientId, MessageQueue) {
    let health_checks = format!("\"probes\":{health_checks}");
    let handle = handle_with_config(&CONFIG.replace("\"probes\":true", &health_checks));
    set_time(&handle, 0);
    list_node(&handle, 1, "s-1", ADDRESS, None);
    let (client, queue) = handle.client_connected().expect("there is room");
    (handle, client, queue)
}

/// Sends a set-up, which opens a connection to the node.
fn dispatch(handle: &PlatformHandle, client: ClientId) -> (ConnectionId, AttemptId) {
    assert!(handle.handle_client_message(client, &set_up(TASK)));
    while handle.run_turn() {}
    active_attempt(handle).expect("an active attempt")
}

fn active_attempt(handle: &PlatformHandle) -> Option<(ConnectionId, AttemptId)> {
    let engine = &mut handle.lock().engine;
    let allocation = engine.find(&task_key(TASK))?;
    let active = engine.data_mut(allocation)?.0.active?;
    let number = active.number;
    Some((active.connection?, AttemptId { allocation, number }))
}

/// Establishes the connection, on which the set-up is then written.
fn write(handle: &PlatformHandle, connection: ConnectionId, attempt: AttemptId) {
    handle.connection_established(connection);
    assert!(handle.may_write_set_up(connection, attempt));
}

fn answer(handle: &PlatformHandle, connection: ConnectionId) {
    let ready = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, TASK)
    };
    assert!(handle.handle_node_message(connection, ready));
}

/// Runs a task whose set-up is written the given time after the start. Returns its connection.
pub(super) fn run_task(
    handle: &PlatformHandle,
    client: ClientId,
    queue: &MessageQueue,
    written_after_ms: u64,
) -> ConnectionId {
    let (connection, attempt) = dispatch(handle, client);
    set_time(handle, written_after_ms);
    write(handle, connection, attempt);
    answer(handle, connection);
    queue.take_all();
    connection
}

pub(super) fn released(cause: u8) -> Vec<u8> {
    client::encode(MessageType::Release, TASK, &[(client::CAUSE, &[cause])])
        .expect("a short message")
}

/// Guards against a task that is released while it runs: its set-up waits for a connection while its
/// node is started again, and is written to the new process. The list tells the start later.
#[test]
fn a_set_up_that_is_written_to_the_new_process_of_a_node_outlives_the_news_of_its_start() {
    let (handle, client, queue) = core_and_client();
    run_task(&handle, client, &queue, 200);
    set_time(&handle, 400);
    list_node(&handle, 2, "s-1", ADDRESS, Some(100));
    assert_eq!(queue.take_all(), Vec::<Vec<u8>>::new(), "it still runs");
    assert_eq!(handle.lock().engine.counts().placed, 1);
}

/// Guards against work that goes to another process: a node is started again at another address, and
/// the connection that is being opened to its former one may be established by the next node there.
#[test]
fn nothing_is_written_to_the_former_address_of_a_node() {
    let (handle, client, _queue) = core_and_client();
    let (connection, attempt) = dispatch(&handle, client);
    set_time(&handle, 200);
    list_node(&handle, 2, "s-1", "127.0.0.1:10", Some(100));
    handle.connection_established(connection);
    assert!(!handle.may_write_set_up(connection, attempt));
    for after_ms in (300..2_000).step_by(50) {
        set_time(&handle, after_ms);
        handle.timer_fired();
        while handle.run_turn() {}
    }
    let (next, _) = active_attempt(&handle).expect("it is sent again");
    assert_ne!(next, connection);
}

/// Guards against tasks that are kept for a machine that is gone: another node has its address, and
/// the list does not tell yet that the former one has left.
#[test_case(Some(100); "with the time of its start")]
#[test_case(None; "without")]
fn the_tasks_of_a_node_end_when_another_is_listed_at_its_address(started_after_ms: Option<u64>) {
    let (handle, client, queue) = core_and_client();
    run_task(&handle, client, &queue, 0);
    set_time(&handle, 400);
    list_node(&handle, 2, "s-2", ADDRESS, started_after_ms);
    assert_eq!(queue.take_all(), [released(client::CAUSE_INTERRUPTED)]);
    let core = handle.lock();
    assert_eq!(core.state.nodes.find("s-1"), None);
    assert!(core.state.nodes.find("s-2").is_some());
}

/// Nodes that the list names together may share an address, behind a proxy or in a test: neither has
/// replaced the other.
#[test]
fn nodes_that_are_listed_together_at_one_address_do_not_replace_each_other() {
    let (handle, _client, _queue) = core_and_client();
    let entry = |name| {
        format!(
            r#"{{"id":"{name}","host_port":"127.0.0.1:11","locality":"east","flavor":"std","phase":"active"}}"#
        )
    };
    let json = format!(
        r#"{{"n":2,"members":{{"members":[{},{}]}}}}"#,
        entry("s-3"),
        entry("s-4")
    );
    handle.apply_event(serde_json::from_str(&json).expect("an event"));
    list_node(&handle, 3, "s-3", "127.0.0.1:11", None);
    let core = handle.lock();
    assert!(core.state.nodes.find("s-3").is_some() && core.state.nodes.find("s-4").is_some());
}

/// Guards against a task that runs twice: it was sent to a node that had gone, and reached the next
/// one at its address. It is not reported as interrupted when the list tells that, and its end there
/// is forwarded.
#[test]
fn a_task_that_reached_the_next_node_at_the_address_continues_there() {
    let (handle, client, queue) = core_and_client();
    let connection = run_task(&handle, client, &queue, 200);
    set_time(&handle, 400);
    list_node(&handle, 2, "s-2", ADDRESS, Some(100));
    assert_eq!(queue.take_all(), Vec::<Vec<u8>>::new(), "it still runs");
    handle.sweep();
    let next = handle.lock().state.connections.newest();
    assert_ne!(next, connection, "a connection is opened to the next node");
    handle.connection_established(next);
    let release = node::Message::new(node::MessageType::Close, TASK).with_cause(16);
    assert!(handle.handle_node_message(next, release));
    assert_eq!(queue.take_all(), [released(client::CAUSE_NORMAL)]);
}

/// Guards against a former node that comes back: the list goes on naming it as active after another
/// one has taken its address, whose tasks must not be released. Once it starts again, it counts.
#[test]
fn a_replaced_node_does_not_come_back_until_it_starts_again() {
    let (handle, client, queue) = core_and_client();
    list_node(&handle, 2, "s-2", ADDRESS, None);
    run_task(&handle, client, &queue, 0);
    list_node(&handle, 3, "s-1", ADDRESS, None);
    assert_eq!(queue.take_all(), Vec::<Vec<u8>>::new(), "it still runs");
    assert_eq!(handle.lock().state.nodes.find("s-1"), None);
    list_node(&handle, 4, "s-1", "127.0.0.1:10", Some(500));
    assert!(handle.lock().state.nodes.find("s-1").is_some());
    assert_eq!(handle.lock().engine.counts().placed, 1);
}

/// Guards against a task that never ends: it was handed over under the name of the former node, which
/// is gone, and does not run at the next one.
#[test]
fn a_task_handed_over_under_the_former_node_ends_when_another_has_its_address() {
    let (handle, client, queue) = core_and_client();
    set_time(&handle, 200);
    let handed_over = set_up_with_requirements(TASK, "cores:1;memory:1;service:a;at:s-1");
    assert!(handle.handle_client_message(client, &handed_over));
    set_time(&handle, 400);
    list_node(&handle, 2, "s-2", ADDRESS, Some(100));
    assert_eq!(queue.take_all(), [released(client::CAUSE_INTERRUPTED)]);
    assert_eq!(handle.lock().state.unconfirmed_tasks.len(), 0);
}

/// Guards against two processes that both use the quota of a node that is warming up: a new process
/// waits for its address while the former one stops, and counted its first window from before that.
#[test]
fn a_new_process_counts_its_first_window_from_when_it_holds_the_address() {
    let rules = "\"rules\":{\"cold-us\":14000000,\"fall-us\":1000000}";
    let config = CONFIG.replace("\"rules\":{\"cold-us\":0,\"fall-us\":0}", rules);
    let handle = handle_with_config(&config);
    set_time(&handle, 0);
    list_node(&handle, 1, "s-1", ADDRESS, Some(0));
    set_time(&handle, 500);
    handle.start();
    let (client, _queue) = handle.client_connected().expect("there is room");
    set_time(&handle, 600);
    assert!(handle.handle_client_message(client, &set_up(TASK)));
    let mut sent_at = None;
    for after_ms in (600..3_000).step_by(20) {
        set_time(&handle, after_ms);
        handle.timer_fired();
        while handle.run_turn() {}
        if active_attempt(&handle).is_some() {
            sent_at.get_or_insert(after_ms);
        }
    }
    let sent_at = sent_at.expect("it is sent");
    assert!((1_500..2_000).contains(&sent_at), "sent after {sent_at} ms");
}
