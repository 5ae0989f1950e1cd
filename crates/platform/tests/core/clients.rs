//! Tests of clients that affect each other: what one connection sends, holds or loses must not cost
//! another client its answers or the ends of its tasks.

use super::bounds::{CONFIG, handle_with_config, node_json, set_up, set_up_with_requirements};
use super::pending_task::task_key;
use super::*;
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, Message, MessageType, Reader};
use test_case::test_case;

const OWNERS_TASK: u64 = 7;

/// Creates a core with one node.
fn handle() -> Arc<PlatformHandle> {
    let handle = handle_with_config(CONFIG);
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        node_json(1, "active")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    handle
}

fn encoded(message_type: MessageType, task: u64, cause: u8) -> Vec<u8> {
    client::encode(message_type, task, &[(client::CAUSE, &[cause])]).expect("a short message")
}

fn message(message_type: MessageType, task: u64, cause: u8) -> Message {
    let mut reader = Reader::default();
    reader.push(&encoded(message_type, task, cause));
    reader.next_message().expect("valid").expect("complete")
}

fn health_check() -> Message {
    message(MessageType::HealthCheck, 1, 0)
}

/// Connects a client that the dispatcher keeps, since it has sent a health check.
fn connect(handle: &PlatformHandle) -> (ClientId, MessageQueue) {
    let (id, queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(id, &health_check()));
    queue.take_all();
    (id, queue)
}

/// Returns the connection of a task's active attempt.
fn connection_of(handle: &PlatformHandle, task: u64) -> ConnectionId {
    let engine = &mut handle.lock().engine;
    let id = engine.find(&task_key(task)).expect("admitted");
    let active = engine.data_mut(id).and_then(|(pending, _)| pending.active);
    active
        .and_then(|active| active.connection)
        .expect("an active attempt")
}

/// Sends a set-up to the node and writes it.
fn start_attempt(handle: &PlatformHandle, client: ClientId, task: u64) -> ConnectionId {
    assert!(handle.handle_client_message(client, &set_up(task)));
    while handle.run_turn() {}
    let connection = connection_of(handle, task);
    handle.connection_established(connection);
    let allocation = handle.lock().engine.find(&task_key(task));
    let attempt = AttemptId {
        allocation: allocation.expect("admitted"),
        number: 0,
    };
    assert!(handle.may_write_set_up(connection, attempt));
    connection
}

/// Runs a task of a client.
fn start_task(handle: &PlatformHandle, client: ClientId, task: u64) -> ConnectionId {
    let connection = start_attempt(handle, client, task);
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, task)
    };
    assert!(handle.handle_node_message(connection, answer));
    connection
}

fn node_releases(handle: &PlatformHandle, connection: ConnectionId, task: u64, cause: u32) {
    let release = node::Message::new(node::MessageType::Close, task).with_cause(cause);
    assert!(handle.handle_node_message(connection, release));
}

/// Guards against an end that only another client learns: the connection of a task's client was
/// closed to make room, and the task ends before that client is let in again.
#[test]
fn the_end_of_a_task_reaches_its_client_on_the_next_connection() {
    let handle = handle();
    let (owner, owners_queue) = connect(&handle);
    let connection = start_task(&handle, owner, OWNERS_TASK);
    let mut others = Vec::new();
    while owners_queue.ended().is_none() {
        let (other, queue) = handle.client_connected().expect("an idle one is evicted");
        let task = 1_000 + others.len() as u64;
        assert!(handle.handle_client_message(other, &set_up(task)));
        others.push((other, task, queue));
        owners_queue.take_all();
    }
    node_releases(&handle, connection, OWNERS_TASK, 16);
    let (last_client, last_task, _) = others.last().expect("others hold all connections");
    assert!(
        handle.handle_client_message(*last_client, &message(MessageType::Release, *last_task, 16)),
        "another client gives up, which makes room"
    );
    let (next, queue) = handle.client_connected().expect("there is room");
    assert!(handle.handle_client_message(next, &health_check()));
    let released = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL);
    let copies = queue.take_all();
    let copies = copies.iter().filter(|bytes| **bytes == released);
    assert_eq!(copies.count(), 1);
    assert!(handle.handle_client_message(next, &health_check()));
    assert!(
        !queue.take_all().contains(&released),
        "it is sent once on each connection"
    );
}

/// Guards against a task that ends twice for its client, or never: its client hands it over again on
/// the next connection, after it has ended here.
#[test]
fn a_task_that_ended_while_its_client_was_away_is_not_taken_over_again() {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let connection = start_task(&handle, owner, OWNERS_TASK);
    handle.client_disconnected(owner);
    node_releases(&handle, connection, OWNERS_TASK, 16);
    let (next, queue) = handle.client_connected().expect("there is room");
    let handed_over = set_up_with_requirements(OWNERS_TASK, "cores:1;memory:1;service:a;at:s-1");
    assert!(handle.handle_client_message(next, &handed_over));
    let released = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL);
    assert_eq!(queue.take_all(), [released]);
    assert_eq!(handle.lock().engine.counts().placed, 0);
}

/// Guards against ends that accumulate, and against a connection that is closed because too many
/// are queued on it at once.
#[test]
fn undelivered_ends_are_bounded_and_expire() {
    let handle = handle();
    let mut core = handle.lock();
    for task in 1..=2 * MAX_UNDELIVERED_ENDS as u64 {
        let kind = TaskEndKind::Completed;
        core.state.send_to_possible_clients(TaskEnd { task, kind });
    }
    assert_eq!(core.state.undelivered_ends.len(), MAX_UNDELIVERED_ENDS);
    drop(core);
    let (client, queue) = handle.client_connected().expect("there is room");
    let mut copies = 0;
    for _ in 0..20 {
        assert!(handle.handle_client_message(client, &health_check()));
        assert!(queue.ended().is_none(), "the connection is kept");
        let mut reader = Reader::default();
        queue.take_all().iter().for_each(|bytes| reader.push(bytes));
        while let Some(message) = reader.next_message().expect("a valid message") {
            copies += usize::from(message.message_type == MessageType::Release);
        }
    }
    assert_eq!(copies, MAX_UNDELIVERED_ENDS, "all are sent in the end");
    let PlatformCore { engine, state } = &mut *handle.lock();
    state.sweep(state.now + SECOND * 1_000, engine);
    assert_eq!(state.undelivered_ends.len(), 0);
}

/// Guards against a request without an answer: another client sends a set-up under its id, which is
/// rejected, and a release.
#[test]
fn a_client_cannot_give_up_the_open_set_up_of_another() {
    let handle = handle();
    let (owner, owners_queue) = connect(&handle);
    let (other, _others_queue) = connect(&handle);
    let connection = start_attempt(&handle, owner, OWNERS_TASK);
    let give_up = message(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL);
    assert!(handle.handle_client_message(other, &give_up));
    assert!(handle.handle_client_message(other, &set_up(OWNERS_TASK)));
    assert!(handle.handle_client_message(other, &give_up));
    let answer = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, OWNERS_TASK)
    };
    assert!(handle.handle_node_message(connection, answer));
    let answered = client::encode(
        MessageType::Answer,
        OWNERS_TASK,
        &[(client::DESCRIPTION, b"made")],
    );
    assert_eq!(
        owners_queue.take_all(),
        [answered.expect("a short message")]
    );
}

/// Guards against a running task that is ended by another client's rejected set-up under its id.
#[test]
fn giving_up_a_rejected_set_up_does_not_end_the_running_task_with_its_id() {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let (other, others_queue) = connect(&handle);
    start_task(&handle, owner, OWNERS_TASK);
    assert!(handle.handle_client_message(other, &set_up(OWNERS_TASK)));
    let rejected = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_FAILED);
    assert_eq!(others_queue.take_all(), [rejected]);
    let release = message(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL);
    assert!(handle.handle_client_message(other, &release));
    assert_eq!(handle.lock().engine.counts().placed, 1, "it still runs");
}

/// The protocol lets clients end a running task on any connection, and give up their own set-ups.
#[test]
fn a_client_ends_its_task_on_any_connection_and_gives_up_its_own_set_ups() {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let (other, _others_queue) = connect(&handle);
    start_task(&handle, owner, OWNERS_TASK);
    let release = message(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL);
    assert!(handle.handle_client_message(other, &release));
    assert_eq!(handle.lock().engine.counts().placed, 0);
    start_attempt(&handle, owner, OWNERS_TASK + 1);
    let give_up = message(MessageType::Release, OWNERS_TASK + 1, client::CAUSE_NORMAL);
    assert!(handle.handle_client_message(owner, &give_up));
    assert_eq!(handle.unanswered(), 0);
}

/// Guards against ids that accumulate: a client that goes on sending set-ups under the ids of others
/// is disconnected.
#[test]
fn rejected_duplicates_are_bounded() {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let (other, _others_queue) = connect(&handle);
    let (further, _further_queue) = connect(&handle);
    let tasks = 1..=MAX_SET_UPS_PER_CONNECTION as u64;
    for task in tasks.clone() {
        assert!(handle.handle_client_message(owner, &set_up(task)));
        assert!(handle.handle_client_message(further, &set_up(1_000 + task)));
    }
    for task in tasks {
        assert!(handle.handle_client_message(other, &set_up(task)));
    }
    assert!(!handle.handle_client_message(other, &set_up(1_001)));
}

/// Sends a set-up with a description of this length.
fn send_large_set_up(handle: &PlatformHandle, client: ClientId, task: u64, length: usize) -> bool {
    let description = vec![b'x'; length];
    let parameters: [(u8, &[u8]); 5] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
        (client::DESCRIPTION, &description),
    ];
    let mut reader = Reader::default();
    let bytes = client::encode(MessageType::SetUp, task, &parameters);
    reader.push(&bytes.expect("a short message"));
    let message = reader.next_message().expect("valid").expect("complete");
    handle.handle_client_message(client, &message)
}

/// Returns the bytes of the descriptions of all set-ups.
fn held_descriptions(handle: &PlatformHandle) -> usize {
    let engine = &mut handle.lock().engine;
    let all = engine.iter_mut();
    all.map(|(_, pending, _)| pending.description.len()).sum()
}

/// Guards against a dispatcher that needs more memory than it has: clients send hundreds of large
/// set-ups at once. Another client's largest set-up is still admitted.
#[test]
fn large_set_ups_are_bounded_by_their_bytes_and_leave_room_for_other_clients() {
    const LENGTH: usize = 16_000;
    const MEMORY_BYTES: usize = 64_000_000;
    let limits = ("\"sockets\":256", "\"sockets\":256,\"memory_mb\":64");
    let handle = handle_with_config(&CONFIG.replace(limits.0, limits.1));
    let floods: Vec<(ClientId, MessageQueue)> = (0..20).map(|_| connect(&handle)).collect();
    for (number, (client, queue)) in floods.iter().enumerate() {
        for request in 0..250 {
            let task = 1_000 * (number as u64 + 1) + request;
            assert!(send_large_set_up(&handle, *client, task, LENGTH));
            queue.take_all();
        }
    }
    let held = held_descriptions(&handle);
    assert!(held <= MEMORY_BYTES / 2, "{held} bytes are held");
    let (good, queue) = connect(&handle);
    assert!(send_large_set_up(&handle, good, OWNERS_TASK, LENGTH));
    assert_eq!(queue.take_all(), Vec::<Vec<u8>>::new(), "it is admitted");
    for (client, _) in &floods {
        handle.client_disconnected(*client);
    }
    assert_eq!(held_descriptions(&handle), LENGTH);
    assert_eq!(handle.lock().state.client_memory.pool_used(), 0);
}

/// Guards against a client that is disconnected, and loses its open set-ups, because others have used
/// up the memory that all share: it holds more than is guaranteed to it, and its next set-up is
/// rejected.
#[test]
fn a_client_without_room_is_answered_and_stays_connected() {
    const LENGTH: usize = 16_000;
    let limits = ("\"sockets\":256", "\"sockets\":256,\"memory_mb\":64");
    let handle = handle_with_config(&CONFIG.replace(limits.0, limits.1));
    let (client, queue) = connect(&handle);
    let held = handle.lock().state.client_memory.guaranteed() / LENGTH + 1;
    for task in 0..held as u64 {
        assert!(send_large_set_up(&handle, client, task, LENGTH));
    }
    handle.lock().state.client_memory.use_up_pool();
    assert!(send_large_set_up(
        &handle,
        client,
        OWNERS_TASK + 1_000,
        LENGTH
    ));
    assert!(handle.handle_client_message(client, &health_check()));
    let rejected = encoded(
        MessageType::Release,
        OWNERS_TASK + 1_000,
        client::CAUSE_REJECTED,
    );
    let healthy = encoded(MessageType::HealthCheckReply, 1, 1);
    assert_eq!(queue.take_all(), [rejected, healthy]);
    assert_eq!(queue.ended(), None);
    assert_eq!(handle.unanswered(), held);
}

/// A limit on memory that can't be used is refused at the start, with its value.
#[test_case("8"; "less than an idle dispatcher needs")]
#[test_case("-64"; "negative")]
fn a_dispatcher_does_not_start_with_too_little_memory(memory_mb: &str) {
    let limits = format!("\"sockets\":256,\"memory_mb\":{memory_mb}");
    let config = CONFIG.replace("\"sockets\":256", &limits);
    let config = NodeConfig::from_json(config.as_bytes()).expect("a valid format");
    let budget = DescriptorBudget::new(256).expect("enough descriptors");
    let error = CoreOptions::new(config, &budget).err().expect("refused");
    let expected = format!("limits: memory_mb of {memory_mb} is less than the minimum of 16");
    assert_eq!(error.to_string(), expected);
}

/// Guards against an unrepeatable task that runs twice: it has come to its end, and its client is
/// told that it was interrupted, because its node reports the end before the task is handed over.
#[test_case(16, client::CAUSE_NORMAL; "it came to its end")]
#[test_case(41, client::CAUSE_INTERRUPTED; "it was interrupted")]
#[test_case(31, client::CAUSE_INTERRUPTED; "the former process had it stopped")]
fn the_cause_of_an_end_before_the_hand_over_is_forwarded(cause: u32, told: u8) {
    let handle = handle();
    let (owner, queue) = connect(&handle);
    let hand_over = |task| set_up_with_requirements(task, "cores:1;memory:1;service:a;at:s-1");
    assert!(handle.handle_client_message(owner, &hand_over(OWNERS_TASK + 1)));
    let connection = handle.lock().state.connections.newest();
    handle.connection_established(connection);
    node_releases(&handle, connection, OWNERS_TASK, cause);
    assert!(handle.handle_client_message(owner, &hand_over(OWNERS_TASK)));
    let released = encoded(MessageType::Release, OWNERS_TASK, told);
    assert_eq!(queue.take_all(), [released]);
}

/// Guards against a client that hands over so many tasks which no node has that no other client's
/// tasks are taken over or admitted any more.
#[test]
fn handed_over_tasks_that_no_node_has_leave_room_for_other_clients() {
    let handle = handle();
    let hand_over = |client, task| {
        let requirements = "cores:0.001;memory:0.001;service:a;at:s-1";
        let message = set_up_with_requirements(task, requirements);
        assert!(handle.handle_client_message(client, &message));
    };
    let (owner, owners_queue) = connect(&handle);
    hand_over(owner, OWNERS_TASK);
    let (flooding, queue) = connect(&handle);
    for task in 1_000..1_000 + 2 * MAX_RUNNING_TASKS as u64 {
        hand_over(flooding, task);
        queue.take_all();
    }
    hand_over(owner, OWNERS_TASK + 1);
    assert!(handle.handle_client_message(owner, &set_up(OWNERS_TASK + 2)));
    assert_eq!(owners_queue.take_all(), Vec::<Vec<u8>>::new());
    let engine = &handle.lock().engine;
    for task in OWNERS_TASK..=OWNERS_TASK + 2 {
        assert!(engine.find(&task_key(task)).is_some(), "{task} is known");
    }
    assert_eq!(engine.counts().placed, MAX_RUNNING_TASKS);
}

/// What has become of a request when its client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Unwritten,
    Written,
    Ended,
}

/// Guards against an id that runs twice: its client leaves, and it comes again on another connection.
/// What was never written is admitted again.
#[test_case(Progress::Waiting, true)]
#[test_case(Progress::Unwritten, true)]
#[test_case(Progress::Written, false)]
#[test_case(Progress::Ended, false)]
fn an_id_that_may_have_run_is_not_admitted_again(progress: Progress, admitted: bool) {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    match progress {
        Progress::Waiting | Progress::Unwritten => {
            assert!(handle.handle_client_message(owner, &set_up(OWNERS_TASK)));
        }
        Progress::Written => {
            start_attempt(&handle, owner, OWNERS_TASK);
        }
        Progress::Ended => {
            let connection = start_task(&handle, owner, OWNERS_TASK);
            node_releases(&handle, connection, OWNERS_TASK, 16);
        }
    }
    if progress == Progress::Unwritten {
        while handle.run_turn() {}
    }
    handle.client_disconnected(owner);
    let (next, queue) = connect(&handle);
    assert!(handle.handle_client_message(next, &set_up(OWNERS_TASK)));
    let failed = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_FAILED);
    let expected = if admitted { vec![] } else { vec![failed] };
    assert_eq!(queue.take_all(), expected);
    assert_eq!(handle.unanswered(), usize::from(admitted));
}

/// Guards against ids that accumulate, and against a repeat that is refused forever.
#[test]
fn ids_that_may_have_run_are_bounded_and_expire() {
    let handle = handle();
    let PlatformCore { engine, state } = &mut *handle.lock();
    for task in 0..2 * MAX_SPENT_IDS as u64 {
        state
            .spent_ids
            .record(task, state.now + SECOND, MAX_SPENT_IDS);
    }
    assert_eq!(state.spent_ids.len(), MAX_SPENT_IDS);
    state.sweep(state.now + SECOND, engine);
    assert_eq!(state.spent_ids.len(), 0);
}

/// Sets up a task of a client, lets it end and returns the connection of another client.
fn end_task_of(handle: &PlatformHandle, owner: ClientId) -> (ClientId, MessageQueue) {
    let connection = start_task(handle, owner, OWNERS_TASK);
    let other = connect(handle);
    node_releases(handle, connection, OWNERS_TASK, 16);
    other
}

fn released() -> Vec<u8> {
    encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_NORMAL)
}

/// Guards against copies of ends that have surely reached their client.
#[test]
fn an_acknowledged_end_is_not_sent_again_when_its_connection_breaks() {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let (_, others_queue) = end_task_of(&handle, owner);
    assert!(
        handle.handle_client_message(owner, &message(MessageType::Acknowledge, OWNERS_TASK, 0))
    );
    handle.client_disconnected(owner);
    assert!(!others_queue.take_all().contains(&released()));
}

/// Guards against an end that is lost with its connection, and against one that is sent again for
/// good: it must be reported within 8 s.
#[test_case(79, true)]
#[test_case(80, false)]
fn an_end_is_sent_again_if_its_connection_breaks_within_the_limit(tenths: u64, is_sent: bool) {
    let handle = handle();
    let (owner, _owners_queue) = connect(&handle);
    let now = handle.now();
    let at = |tenths: u64| {
        let time = now + tenths * SECOND / 10;
        let ordering = std::sync::atomic::Ordering::Relaxed;
        handle.time_override.store(time, ordering);
    };
    at(0);
    let (_, others_queue) = end_task_of(&handle, owner);
    at(tenths);
    handle.client_disconnected(owner);
    assert_eq!(others_queue.take_all().contains(&released()), is_sent);
}

/// Guards against a task that never ends for its client: it was handed over just after its node had
/// restarted, before the list told of that.
#[test_case(100, true)]
#[test_case(300, false)]
fn a_task_handed_over_beside_a_restart_of_its_node_is_interrupted(ms_after: u64, is_ended: bool) {
    let handle = handle();
    let (client, queue) = connect(&handle);
    let handed_over = set_up_with_requirements(OWNERS_TASK, "cores:1;memory:1;service:a;at:s-1");
    assert!(handle.handle_client_message(client, &handed_over));
    let restarted_ms = handle.now() / TICKS_PER_MS - ms_after;
    let event = format!(
        r#"{{"n":2,"members":{{"members":[{{"id":"s-1","host_port":"127.0.0.1:9","locality":"east",
        "flavor":"std","phase":"active","up_since_ms":{restarted_ms}}}]}}}}"#
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let interrupted = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_INTERRUPTED);
    assert_eq!(queue.take_all().contains(&interrupted), is_ended);
}

/// Guards against an end that is told too late: a draining node has died without a word, its connection
/// breaks only seconds later, and the list does not tell that it is gone.
#[test]
fn the_task_of_a_draining_node_that_died_seconds_before_its_connection_broke_ends_in_time() {
    let handle = handle();
    let (owner, owners_queue) = connect(&handle);
    let connection = start_task(&handle, owner, OWNERS_TASK);
    let event = format!(
        r#"{{"n":2,"members":{{"members":[{}]}}}}"#,
        node_json(1, "leaving")
    );
    handle.apply_event(serde_json::from_str(&event).expect("an event"));
    let died_at = handle.now();
    let set_time = |after: Ticks| {
        let now = died_at + after;
        handle
            .time_override
            .store(now, std::sync::atomic::Ordering::Relaxed);
    };
    set_time(5 * SECOND);
    owners_queue.take_all();
    handle.connection_ended(connection, ConnectionEnd::Broken);
    let next = handle.lock().state.connections.newest();
    handle.connection_ended(next, ConnectionEnd::Refused);
    handle.timer_fired();
    assert!(owners_queue.take_all().is_empty(), "it may still run");
    set_time(END_REPORT_LIMIT);
    handle.timer_fired();
    let released = encoded(MessageType::Release, OWNERS_TASK, client::CAUSE_INTERRUPTED);
    assert!(owners_queue.take_all().contains(&released));
}
