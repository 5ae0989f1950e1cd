//! What comes between two lines: a client that goes, or a connection that breaks, at the worst
//! moment. The tasks that would read and write are not run: each call stands for the moment at
//! which one of them has its turn.

use super::bounds::{POSTING, member, posted, set_up};
use super::tasks::sid;
use super::*;
use crate::handle::Desk;
use async_lock::Semaphore;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::AttributeValue;
use corkspan_runtime::clock::duration;
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;
use test_case::test_case;

/// A desk with one node, by these settings but for what is replaced.
fn desk(replaced: &[(&str, &str)]) -> Arc<Desk> {
    let posting = replaced
        .iter()
        .fold(POSTING.to_string(), |posting, (old, new)| {
            assert!(posting.contains(old), "the settings hold {old}");
            posting.replace(old, new)
        });
    let desk = posted(&posting);
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        member(1, "active")
    );
    desk.told(serde_json::from_str(&event).expect("an event"));
    desk
}

fn bytes(task: u64) -> Vec<u8> {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
    ];
    client::encode(MessageType::SetUp, task, &parameters).expect("short")
}

/// An owner's connection whose first set-up has been heard, and the owner's end of it.
fn owner(desk: &Desk, task: u64) -> (OwnerId, Inbox, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let mut peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    peer.write_all(&bytes(task)).expect("written");
    let (stream, _) = listener.accept().expect("accepted");
    let (id, inbox) = desk.owner_came().expect("there is room");
    desk.owner_input(
        id,
        Input::new(async_net::TcpStream::try_from(stream).expect("a stream")),
    );
    while desk.owner_heard(id) != Heard::One {}
    (id, inbox, peer)
}

#[derive(Clone, Copy, Debug)]
enum Goes {
    Closes,
    Halves,
    Resets,
    Cancels,
}

/// The client goes, behind a burst of other set-ups. Returns once that has arrived, unread.
fn goes(how: Goes, task: u64, mut peer: TcpStream) -> Option<TcpStream> {
    for other in 1_000..1_040 {
        peer.write_all(&bytes(other)).expect("written");
    }
    let kept = match how {
        Goes::Closes => None,
        Goes::Halves => {
            peer.shutdown(Shutdown::Write).expect("shut");
            Some(peer)
        }
        Goes::Resets => {
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO))
                .expect("a socket option");
            None
        }
        Goes::Cancels => {
            let cause = [client::CAUSE_NORMAL];
            let release = client::encode(MessageType::Release, task, &[(client::CAUSE, &cause)])
                .expect("short");
            peer.write_all(&release).expect("written");
            Some(peer)
        }
    };
    // Loopback delivers within the call; what was known a moment ago counts for a tenth of what the
    // term leaves.
    std::thread::sleep(duration(2 * LATELY));
    kept
}

/// The set-up of this task that is out, and its connection.
fn out(desk: &Desk, task: u64) -> Option<(LinkId, AttemptId)> {
    let host = &mut desk.lock().host;
    let id = host.find(&sid(task))?;
    let out = host.own(id)?.0.out?;
    Some((
        out.link?,
        AttemptId {
            allocation: id,
            number: out.number,
        },
    ))
}

#[test_case(Goes::Closes)]
#[test_case(Goes::Halves)]
#[test_case(Goes::Resets)]
#[test_case(Goes::Cancels)]
fn a_first_attempt_that_waited_for_its_turn_does_not_begin_once_its_client_has_gone(how: Goes) {
    let desk = desk(&[]);
    let (_, _inbox, peer) = owner(&desk, 7);
    let _kept = goes(how, 7, peer);
    while desk.turn() {}
    assert_eq!(out(&desk, 7), None);
    assert!(
        desk.lock().host.find(&sid(7)).is_none(),
        "nothing is left of it"
    );
}

#[test_case(Goes::Closes)]
#[test_case(Goes::Halves)]
#[test_case(Goes::Resets)]
#[test_case(Goes::Cancels)]
fn a_set_up_whose_client_goes_while_its_connection_comes_up_is_never_written(how: Goes) {
    let desk = desk(&[]);
    let (_, _inbox, peer) = owner(&desk, 7);
    while desk.turn() {}
    let (link, attempt) = out(&desk, 7).expect("on its way");
    let _kept = goes(how, 7, peer);
    desk.link_up(link);
    assert!(!desk.begins(link, attempt));
}

#[test_case(Goes::Closes)]
#[test_case(Goes::Halves)]
#[test_case(Goes::Resets)]
#[test_case(Goes::Cancels)]
fn a_further_attempt_does_not_begin_once_its_client_has_gone(how: Goes) {
    let desk = desk(&[]);
    let (_, _inbox, peer) = owner(&desk, 7);
    while desk.turn() {}
    let (link, attempt) = out(&desk, 7).expect("on its way");
    desk.link_up(link);
    assert!(desk.begins(link, attempt));
    let _kept = goes(how, 7, peer);
    let mut refusal = node::Message::new(node::MessageType::Close, 7).with_cause(34);
    // Its line is full for a moment: the only node there is may be asked again soon.
    refusal
        .attributes
        .insert("note".into(), AttributeValue::Text("backlog".into()));
    assert!(desk.node_said(link, refusal));
    std::thread::sleep(duration(SECOND / 4));
    desk.woken();
    while desk.turn() {}
    assert_eq!(out(&desk, 7), None);
}

/// A client that ends a task and closes at once has still ended it.
#[test]
fn the_end_of_a_task_that_comes_right_before_its_clients_is_heeded() {
    let desk = desk(&[]);
    let (id, _inbox, mut peer) = owner(&desk, 7);
    while desk.turn() {}
    let (link, attempt) = out(&desk, 7).expect("on its way");
    desk.link_up(link);
    assert!(desk.begins(link, attempt));
    let made = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 7)
    };
    assert!(desk.node_said(link, made));
    let release =
        client::encode(MessageType::Release, 7, &[(client::CAUSE, &[16])]).expect("short");
    peer.write_all(&release).expect("written");
    drop(peer);
    while desk.owner_heard(id) != Heard::Enough {}
    assert_eq!(
        desk.lock().host.counts().placed,
        0,
        "its node is told to cut it"
    );
}

#[test]
fn a_set_up_whose_time_is_up_while_its_connection_comes_up_is_never_written() {
    let desk = desk(&[]);
    let (id, _inbox) = desk.owner_came().expect("there is room");
    assert!(desk.owner_said(id, &set_up(7)));
    while desk.turn() {}
    let (link, attempt) = out(&desk, 7).expect("on its way");
    let Core { host, port } = &mut *desk.lock();
    let until = host
        .own(attempt.allocation)
        .and_then(|(placing, _)| placing.out)
        .expect("out")
        .until;
    port.links.up(link, until);
    assert!(
        !port.begins(until, host, link, attempt),
        "the timer is late, and the writer not"
    );
    assert!(port.begins(until - 1, host, link, attempt));
    assert!(
        !port.begins(until - 1, host, link, attempt),
        "and that is so once"
    );
}

/// What may not be repeated was written on no connection, though others were written on this one.
#[test_case(false; "its connection breaks")]
#[test_case(true; "its time is up")]
fn what_never_left_on_a_used_connection_surely_did_not_run(time_out: bool) {
    let desk = desk(&[("\"pure\"", "\"side_effect\"")]);
    let (id, inbox) = desk.owner_came().expect("there is room");
    assert!(desk.owner_said(id, &set_up(6)));
    while desk.turn() {}
    let (link, attempt) = out(&desk, 6).expect("on its way");
    desk.link_up(link);
    assert!(desk.begins(link, attempt));
    let made = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 6)
    };
    assert!(desk.node_said(link, made));
    assert!(desk.owner_said(id, &set_up(7)));
    while desk.turn() {}
    let (again, attempt) = out(&desk, 7).expect("on its way");
    assert_eq!(again, link, "the connection that is free");
    inbox.waiting();
    if time_out {
        let Core { host, port } = &mut *desk.lock();
        port.timed_out(port.now, host, attempt.allocation, attempt.number);
    } else {
        desk.link_ended(link, End::Broke);
    }
    while desk.turn() {}
    let failed = client::encode(
        MessageType::Release,
        7,
        &[(client::CAUSE, &[client::CAUSE_FAILED])],
    )
    .expect("short");
    assert!(
        !inbox.waiting().contains(&failed),
        "it is tried again or refused, not failed"
    );
}

/// It reads nothing, so that more waits for it than may: its connection is closed, and it has gone
/// like any other.
#[test]
fn a_client_that_is_cut_off_because_it_reads_nothing_has_gone() {
    let desk = desk(&[]);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let _peer = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
    let stream =
        async_net::TcpStream::try_from(listener.accept().expect("accepted").0).expect("a stream");
    let (id, inbox) = desk.owner_came().expect("there is room");
    assert!(desk.owner_said(id, &set_up(7)));
    desk.enter(|core, now| {
        core.with(now, |_, port| {
            while port.say(
                id,
                MessageType::HealthCheckReply,
                1,
                &[(client::CAUSE, &[1])],
            ) {}
        });
    });
    let place = Arc::new(Semaphore::new(1)).try_acquire_arc().expect("free");
    let carried = crate::front::owner(Arc::clone(&desk), stream, id, inbox, place);
    futures_lite::future::block_on(carried);
    let inner = desk.lock();
    assert_eq!(
        (inner.port.owners.len(), inner.host.counts().in_hand),
        (0, 0)
    );
}

/// A node's answer is handled when its owner's time is up, and before the late timer: nobody
/// answered then.
#[test]
fn an_answer_that_is_too_late_is_no_answer_and_a_final_one_is_given() {
    let desk = desk(&[]);
    let (id, inbox) = desk.owner_came().expect("there is room");
    assert!(desk.owner_said(id, &set_up(7)));
    while desk.turn() {}
    let (link, attempt) = out(&desk, 7).expect("on its way");
    desk.link_up(link);
    assert!(desk.begins(link, attempt));
    inbox.waiting();
    let Core { host, port } = &mut *desk.lock();
    let (placing, _) = host.own(attempt.allocation).expect("in hand");
    let (until, machine) = (placing.until, placing.out.expect("out").machine);
    port.now = until;
    let made = node::Message {
        text: Some("made".into()),
        ..node::Message::new(node::MessageType::Ready, 7)
    };
    assert!(port.node_said(until, host, link, machine, made));
    let failed = client::encode(
        MessageType::Release,
        7,
        &[(client::CAUSE, &[client::CAUSE_FAILED])],
    )
    .expect("short");
    assert_eq!(inbox.waiting(), [failed]);
}
