//! What comes between two lines, forced over loopback: one story for each crossing of a request, an
//! answer or a signal.

use crate::harness::*;
use corkspan_platform_wire::client::{CAUSE, DESCRIPTION, MessageType, REQUIREMENTS, TIME_LEFT};
use corkspan_platform_wire::node;
use corkspan_runtime::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_case::test_case;

fn close(task: u64, cause: u32) -> node::Message {
    node::Message::new(node::MessageType::Close, task).with_cause(cause)
}

fn note(mut message: node::Message, note: &str) -> node::Message {
    message
        .attributes
        .insert("note".into(), node::AttributeValue::Text(note.into()));
    message
}

/// The next set-up that the node gets, and its connection.
fn attempt(harness: &mut Harness, task: u64) -> NodeConnection {
    let mut connection = harness.nodes[0].opened();
    let open = connection.hears();
    assert_eq!(
        (open.message_type, open.task_id),
        (node::MessageType::Open, Some(task))
    );
    connection
}

/// Its line is full for a moment: the next attempt goes to the same node, the only one.
fn refused(connection: &mut NodeConnection, task: u64) {
    connection.says(note(close(task, 34), "backlog"));
    assert_eq!(connection.hears().message_type, node::MessageType::Closed);
}

/// The first attempt was refused, and the second is out at the same node: the client, and both
/// connections.
fn attempted_twice() -> (Harness, TestClient, NodeConnection, NodeConnection) {
    let mut harness = Harness::new(1);
    let mut client = harness.client();
    client.sets_up(7, &[]);
    let mut first = attempt(&mut harness, 7);
    refused(&mut first, 7);
    let second = attempt(&mut harness, 7);
    (harness, client, first, second)
}

/// A set-up is out on a connection that does not come up yet; what holds it back, and the client.
fn on_its_way() -> (Harness, Vec<TcpStream>, TestClient) {
    let mut harness = Harness::with(
        1,
        &[(
            "\"max-attempts\":3",
            "\"max-attempts\":3,\"connect-timeout-us\":5000000",
        )],
    );
    let held = harness.nodes[0].hold_connections();
    let mut client = harness.client();
    client.sets_up(7, &[]);
    assert!(client.silent_for(Duration::from_millis(100)));
    (harness, held, client)
}

#[test_case(close(7, 34); "refused twice")]
#[test_case(close(7, 16); "ended")]
#[test_case(close(7, 41); "broken off")]
#[test_case(ready(7, "late"); "answered")]
#[test_case(node::Message::new(node::MessageType::Event, 7); "noted")]
fn what_a_node_says_late_of_an_earlier_attempt_is_not_taken_for_the_next(late: node::Message) {
    let (_world, mut client, mut first, mut second) = attempted_twice();
    first.says(late);
    assert!(client.silent_for(Duration::from_millis(100)));
    assert!(
        second.silent_for(Duration::from_millis(300)),
        "it is still waited for, and no other goes out beside it"
    );
    second.says(ready(7, "made"));
    assert_eq!(client.hears().parameter(DESCRIPTION), Some(&b"made"[..]));
}

#[test_case(close(7, 34))]
#[test_case(close(7, 16))]
#[test_case(close(7, 41))]
fn what_a_node_says_late_of_an_earlier_attempt_ends_nothing_that_stands(late: node::Message) {
    let (_world, mut client, mut first, mut second) = attempted_twice();
    second.says(ready(7, "made"));
    assert_eq!(client.hears().message_type, MessageType::Answer);
    first.says(late);
    assert!(client.silent_for(Duration::from_millis(200)), "it stands");
    second.says(close(7, 16));
    assert_eq!(client.hears().message_type, MessageType::Release);
}

/// The connection of its set-up ends, and its node tells its end on the other one that is open.
/// That was once taken for the attempt which the node had refused there.
#[test_case(close(7, 16), 16; "ended")]
#[test_case(close(7, 41), 41; "cut")]
fn a_release_on_the_connection_of_an_earlier_attempt_is_told_once_its_own_has_ended(
    release: node::Message,
    cause: u8,
) {
    let (_world, mut client, mut first, mut second) = attempted_twice();
    second.says(ready(7, "made"));
    assert_eq!(client.hears().message_type, MessageType::Answer);
    drop(second);
    // Loopback keeps no order between connections: the end of the other one is read by then.
    assert!(client.silent_for(Duration::from_millis(100)));
    first.says(note(close(7, 34), "backlog"));
    assert!(
        client.silent_for(Duration::from_millis(100)),
        "a copy of the refusal ends nothing"
    );
    first.says(release);
    let told = client.hears();
    assert_eq!(
        (told.message_type, told.parameter(CAUSE)),
        (MessageType::Release, Some(&[cause][..]))
    );
}

#[test]
fn a_refusal_after_an_answer_ends_the_task_on_both_sides() {
    let mut harness = Harness::new(1);
    let (mut client, mut connection) = harness.running_task(7);
    connection.says(close(7, 34));
    let release = client.hears();
    assert_eq!(
        (release.message_type, release.parameter(CAUSE)),
        (MessageType::Release, Some(&[41][..]))
    );
    assert_eq!(connection.hears().message_type, node::MessageType::Closed);
    assert_eq!(
        connection.hears(),
        close(7, 16),
        "what its owner was told is over must be"
    );
}

#[test]
fn a_second_answer_is_passed_over() {
    let mut harness = Harness::new(1);
    let (mut client, mut connection) = harness.running_task(7);
    connection.says(ready(7, "again"));
    assert!(
        client.silent_for(Duration::from_millis(200))
            && connection.silent_for(Duration::from_millis(50))
    );
}

/// A client that goes while the connection to its node comes up, late, leaves nothing to be written
/// on it.
#[test]
fn a_set_up_is_not_written_on_a_connection_that_comes_up_after_its_client_has_gone() {
    let (mut harness, held, client) = on_its_way();
    drop(client);
    // Time for the close to be read; the connection is asked for again by the system after 1 s.
    std::thread::sleep(Duration::from_millis(200));
    drop(held);
    harness.nodes[0].take_connections();
    let mut connection = harness.nodes[0].opened();
    assert!(connection.silent_for(Duration::from_millis(500)));
}

/// Its system asks for the connection again when another node has the address already.
#[test]
fn what_was_meant_for_a_node_that_has_gone_is_not_written_to_the_next_at_its_address() {
    let (mut harness, held, mut client) = on_its_way();
    harness.tell(0, "left");
    drop(held);
    harness.nodes[0].take_connections();
    let old = harness.nodes[0].opened();
    harness.nodes[0].name = "s-00001000".into();
    harness.tell(0, "active");
    let mut new = attempt(&mut harness, 7);
    new.says(ready(7, "made"));
    assert_eq!(client.hears().parameter(DESCRIPTION), Some(&b"made"[..]));
    let mut old = old;
    assert!(old.ends(), "nothing was written on the other");
}

#[test]
fn a_task_that_is_told_over_as_its_owner_closes_is_told_on_another_connection() {
    let mut harness = Harness::new(1);
    let (client, mut connection) = harness.running_task(7);
    drop(client);
    connection.says(close(7, 16));
    assert_eq!(connection.hears().message_type, node::MessageType::Closed);
    let mut next = harness.client();
    next.says(MessageType::HealthCheck, 1, &[(CAUSE, &[0])]);
    let said = [next.hears().message_type, next.hears().message_type];
    assert!(
        said.contains(&MessageType::Release) && said.contains(&MessageType::HealthCheckReply),
        "{said:?}"
    );
}

const SHORT: &[(&str, &str)] = &[(
    "\"on-time-us\":600000",
    "\"on-time-us\":300000,\"deadline-us\":800000",
)];

/// SIGKILL may come 1.5 s after SIGTERM where no client waits for longer than 0.8 s.
#[test]
fn where_owners_wait_for_less_a_dispatcher_stops_sooner_and_answers_all() {
    let mut harness = Harness::with(1, SHORT);
    let mut client = harness.client();
    client.sets_up(7, &[]);
    let _held = attempt(&mut harness, 7);
    let since = Instant::now();
    harness.signal(Signal::Term);
    std::thread::sleep(Duration::from_millis(550));
    let mut late = harness.client();
    late.sets_up(8, &[(TIME_LEFT, b"800")]);
    assert_eq!(client.hears().message_type, MessageType::Release);
    assert_eq!(late.hears().message_type, MessageType::Release);
    assert!(harness.ended());
    assert!(
        since.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        since.elapsed()
    );
}

#[test]
fn what_comes_when_no_more_is_taken_is_refused_at_once() {
    let mut harness = Harness::with(1, SHORT);
    let mut client = harness.client();
    client.sets_up(7, &[]);
    let _held = attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    // Some come before that moment and some after it, whenever it is.
    let since = Instant::now();
    for task in (8..).take_while(|_| since.elapsed() < Duration::from_millis(1_200)) {
        client.sets_up(task, &[]);
        std::thread::sleep(Duration::from_millis(10));
    }
    let first = client.hears();
    assert!(
        first.task > 8 && first.parameter(CAUSE) == Some(&[34]),
        "{first:?} before all that have attempts out"
    );
    assert!(harness.ended());
}

#[test]
fn a_second_signal_to_stop_and_a_feed_that_is_away_change_nothing() {
    let mut harness = Harness::with(1, SHORT);
    harness.move_feed();
    drop(std::mem::replace(
        &mut harness.feed.listener,
        TcpListener::bind("127.0.0.1:0").expect("a port"),
    ));
    harness.signal(Signal::Hup);
    let mut client = harness.client();
    client.sets_up(7, &[]);
    let mut connection = attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    harness.signal(Signal::Term);
    connection.says(ready(7, "made"));
    assert_eq!(client.hears().message_type, MessageType::Answer);
    assert!(harness.ended());
}

#[test]
fn a_feed_that_moves_while_a_dispatcher_stops_is_followed() {
    let mut harness = Harness::new(1);
    harness.feed.asked();
    let mut client = harness.client();
    client.sets_up(7, &[]);
    let _held = attempt(&mut harness, 7);
    harness.signal(Signal::Term);
    harness.move_feed();
    harness.signal(Signal::Hup);
    assert_eq!(harness.feed.asked(), 1);
    assert_eq!(client.hears().message_type, MessageType::Release);
    assert!(harness.ended());
}

/// Hundreds of answers at the last moment are written, not only queued.
#[test]
fn all_that_is_owed_at_the_end_is_written_before_it() {
    let mut harness = Harness::with(1, SHORT);
    let mut clients: Vec<TestClient> = (0..60).map(|_| harness.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        for task in 0..4 {
            client.sets_up(1 + number as u64 * 4 + task, &[]);
        }
    }
    let _held: Vec<NodeConnection> = (0..20).map(|_| harness.nodes[0].opened()).collect();
    harness.signal(Signal::Term);
    assert!(harness.ended());
    for client in &mut clients {
        for _ in 0..4 {
            assert_eq!(client.hears().message_type, MessageType::Release);
        }
        assert!(client.closed());
    }
}

#[test]
fn a_start_beside_one_that_still_stops_waits_for_its_address() {
    let former = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let address: SocketAddr = former.local_addr().expect("bound");
    let gone = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(300));
        drop(former);
    });
    let harness = Harness::by(1, false, 256, address, &[]);
    gone.join().expect("it stopped");
    let mut client = harness.client();
    client.says(MessageType::HealthCheck, 1, &[(CAUSE, &[0])]);
    assert_eq!(client.hears().message_type, MessageType::HealthCheckReply);
}

#[test]
fn what_a_new_file_says_that_the_feed_has_told_is_known_at_once() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.feed.asked(), 1);
    harness.tell_nobody();
    harness.repost();
    harness.move_feed();
    harness.signal(Signal::Hup);
    assert_eq!(
        harness.feed.asked(),
        2,
        "the second event stands in the file"
    );
}

#[test]
fn a_task_on_a_node_whose_name_is_unknown_is_told_over_and_held_by_nobody() {
    let harness = Harness::new(1);
    let mut client = harness.client();
    client.sets_up(
        7,
        &[(REQUIREMENTS, b"cores:1;memory:1;service:a;at:s-ffffffff")],
    );
    assert_eq!(client.hears().message_type, MessageType::Release);
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// What a control feed that has stopped would tell counts as told 4 s later, or as soon as it is asked
/// again.
#[test_case(b"", b""; "right after the call")]
#[test_case(b"HTTP/1.1 200 OK\r\nContent-", b""; "within the headers")]
#[test_case(HEAD, b""; "after the headers")]
#[test_case(HEAD, b":"; "but for bytes that end nothing")]
#[test_case(HEAD, b"id: 2\ndata: {\"n\":2"; "within an event")]
fn a_feed_that_falls_silent_is_asked_again_within_four_seconds(said: &[u8], more: &[u8]) {
    let harness = Harness::new(1);
    let mut silent = harness.feed.called();
    let since = Instant::now();
    silent.write_all(said).expect("written");
    let mut drips = silent.try_clone().expect("cloned");
    let more = more.to_vec();
    std::thread::spawn(move || {
        while !more.is_empty() && drips.write_all(&more).is_ok() {
            std::thread::sleep(Duration::from_millis(400));
        }
    });
    let _again = harness.feed.called();
    assert!(
        since.elapsed() < Duration::from_secs(4),
        "{:?}",
        since.elapsed()
    );
}

/// The connection breaks between an event's data and its end: it was not told, and is asked for
/// again.
#[test]
fn an_event_that_is_cut_off_counts_as_not_told() {
    let mut harness = Harness::new(1);
    let mut cut = harness.feed.called();
    cut.write_all(HEAD).expect("written");
    cut.write_all(b"id: 2\ndata: {\"n\":2}\n").expect("written");
    drop(cut);
    assert_eq!(harness.feed.asked(), 1);
}

/// Such a one sends thousands of set-ups and reads nothing; others come by the hundred and say
/// nothing whole.
#[test]
fn a_flood_keeps_nobody_else_from_being_served() {
    let mut harness = Harness::new(1);
    let mut flood = harness.client();
    let floods = std::thread::spawn(move || {
        (1_000..21_000)
            .take_while(|&task| flood.tries(task))
            .count()
    });
    let crowd: Vec<TestClient> = (0..300)
        .map(|_| {
            let mut half = harness.client();
            half.says_bytes(&[0]);
            half
        })
        .collect();
    let since = Instant::now();
    let mut client = harness.client();
    client.sets_up(7, &[]);
    // The node has room for one.
    harness.nodes[0].answers(|task| {
        if task == 7 {
            ready(7, "made")
        } else {
            close(task, 34)
        }
    });
    assert_eq!(client.hears().message_type, MessageType::Answer);
    assert!(
        since.elapsed() < Duration::from_secs(5),
        "{:?}",
        since.elapsed()
    );
    drop(crowd);
    floods.join().expect("it ended");
}
