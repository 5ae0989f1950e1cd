//! Nothing that is kept grows with all that was ever met.

use super::tasks::{Due, sid};
use super::*;
use crate::effects::{Calls, TaskEffects};
use crate::handle::Desk;
use corkspan_platform_wire::client::{self, Message, MessageType, Reader};
use corkspan_platform_wire::node::AttributeValue;
use corkspan_runtime::Tasks;
use corkspan_runtime::clock::Clock;

pub(super) const POSTING: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":256},
"feed":"127.0.0.1:1","known":{"n":0},"settings":{"classes":[{"effect":"pure","name":"batch","on-time-us":600000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],
"class-most":[2],"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],
"spread-by":["silent"],"view":false,"young-limit":1000000.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":true},
"locality":0,"me":0,"penalties":{},"rules":{"cold-us":0,"fall-us":0},"skus":["std"],"zones":["east"]}}"#;

pub(super) fn member(number: u64, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{number:x}","host_port":"127.0.0.1:9","locality":"east","flavor":"std","phase":"{phase}"}}"#
    )
}

pub(super) fn set_up(task: u64) -> Message {
    message(task, &format!("cores:1;memory:1;service:{task:x}"))
}

pub(super) fn message(task: u64, figures: &str) -> Message {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, figures.as_bytes()),
    ];
    let mut reader = Reader::default();
    reader.push(&client::encode(MessageType::SetUp, task, &parameters).expect("short"));
    reader.next_message().expect("sound").expect("whole")
}

pub(super) fn desk() -> Arc<Desk> {
    posted(POSTING)
}

pub(super) fn posted(posting: &str) -> Arc<Desk> {
    let posting = NodeConfig::from_json(posting.as_bytes()).expect("sound");
    started(posting, &Places::of(256)).0
}

/// A desk whose effects nobody carries out, and what asks for the list to be watched.
pub(super) fn started(
    posting: NodeConfig,
    places: &Places,
) -> (Arc<Desk>, async_channel::Receiver<()>) {
    let (wakes, _waking) = async_channel::bounded(1);
    let (watches, watching) = async_channel::bounded(1);
    let (turns, _turning) = async_channel::bounded(1);
    let clock = Clock::start();
    let start = Start::new(posting, places).expect("sound");
    let desk = Desk::new(start, clock, |desk| {
        Box::new(TaskEffects {
            desk,
            clock,
            tasks: Tasks::default(),
            calls: Calls {
                wakes,
                watches,
                turns,
            },
            node_places: Arc::clone(&places.nodes),
        })
    });
    (desk, watching)
}

/// An owner says it, and all that wait for a turn have theirs.
fn has_its_turn(desk: &Desk, owner: OwnerId, message: &Message) -> bool {
    let goes_on = desk.owner_said(owner, message);
    while desk.turn() {}
    goes_on
}

/// Owners, services, tasks and nodes that come once and never again, on a desk whose connections
/// nobody carries.
#[test]
fn tables_hold_what_is_there_and_not_what_has_been() {
    let desk = desk();
    let mut most = 0;
    for round in 1..=6_000u64 {
        if round % 3 == 1 {
            let (new, old) = (
                member(round, "active"),
                member(round.saturating_sub(3), "left"),
            );
            let event = format!(r#"{{"n":{round},"members":{{"members":[{new},{old}]}}}}"#);
            desk.told(serde_json::from_str(&event).expect("an event"));
        }
        let (id, _inbox) = desk.owner_came().expect("there is room");
        assert!(has_its_turn(&desk, id, &set_up(round)));
        let link = desk.lock().port.links.newest();
        desk.link_up(link);
        let said = |kind| node::Message::new(kind, round);
        assert!(desk.node_said(
            link,
            node::Message {
                text: Some("made".into()),
                ..said(node::MessageType::Ready)
            }
        ));
        for (note, value) in [("running", 1.0), ("use_cpu", 0.5), ("use_ram", 0.5)] {
            let mut event = said(node::MessageType::Event);
            event
                .attributes
                .insert("note".into(), AttributeValue::Text(note.into()));
            event
                .attributes
                .insert("value".into(), AttributeValue::Number(value));
            assert!(desk.node_said(link, event));
        }
        assert!(desk.node_said(link, said(node::MessageType::Close).with_cause(16)));
        desk.owner_left(id);
        if round % 100 == 0 {
            // The decisions look around by the clock, which this test outruns.
            desk.enter(|core, now| {
                core.with(now, |host, port| host.rest(now + round * SECOND, port));
            });
            desk.sweep();
            most = most.max(desk.kept());
        }
    }
    assert!(
        desk.lock().host.kept() >= 1_024,
        "services have left their records"
    );
    let port = &desk.lock().port;
    let rest = (
        port.owners.len(),
        port.nodes.kept(),
        port.links.kept(),
        port.tests.len(),
        port.due.len(),
    );
    assert!(
        most < 1_024 + 200,
        "{most} kept; owners, nodes, links, tests, due: {rest:?}"
    );
}

#[test]
fn owners_that_all_have_a_set_up_open_leave_no_room_for_one_more() {
    let desk = desk();
    let mut inboxes = Vec::new();
    while let Some((id, inbox)) = desk.owner_came() {
        assert!(inboxes.len() < 128, "half of the 256 descriptors");
        assert!(has_its_turn(&desk, id, &set_up(inboxes.len() as u64)));
        inboxes.push(inbox);
    }
    assert_eq!(inboxes.len(), 128);
}

/// A task stands on each of more nodes than there may be connections, and so large a one that none
/// is held back.
fn crowded(nodes: u64) -> (Arc<Desk>, OwnerId, Inbox) {
    let desk = desk();
    let members: Vec<String> = (1..=nodes).map(|number| member(number, "active")).collect();
    let event = format!(
        r#"{{"n":1,"members":{{"members":[{}]}}}}"#,
        members.join(",")
    );
    desk.told(serde_json::from_str(&event).expect("an event"));
    let (owner, inbox) = desk.owner_came().expect("there is room");
    for node in 1..=nodes {
        let figures = format!("cores:20;memory:1;service:a;at:s-{node:x}");
        assert!(has_its_turn(&desk, owner, &message(node, &figures)));
        let link = desk.lock().port.links.newest();
        desk.link_up(link);
    }
    (desk, owner, inbox)
}

/// All connections stand, and each node answers the tests that have reached it.
fn answer_tests(Core { host, port }: &mut Core) {
    port.links.all_up(port.now);
    for (test, (machine, _)) in std::mem::take(&mut port.tests) {
        port.due.retain(|(_, due)| *due != Due::Test(test));
        host.probed(port.now, machine, AttemptResult::Completed, None);
    }
}

#[test]
fn tasks_on_more_nodes_than_connections_keep_no_set_up_from_its_node() {
    let (desk, owner, _inbox) = crowded(200);
    for task in 1_000..1_100 {
        assert!(has_its_turn(&desk, owner, &set_up(task)));
        assert_eq!(
            desk.lock().host.counts().shots_out,
            1,
            "task {task} has been sent and not refused"
        );
        let link = {
            let host = &mut desk.lock().host;
            let id = host.find(&sid(task)).expect("in hand");
            host.own(id)
                .and_then(|(placing, _)| placing.out?.link)
                .expect("on a connection")
        };
        desk.link_up(link);
        answer_tests(&mut desk.lock());
        let made = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(desk.node_said(link, made));
    }
}

#[test]
fn nothing_is_given_up_as_lost_on_nodes_that_answer_each_test_where_connections_are_fewer() {
    let (desk, _owner, _inbox) = crowded(130);
    let mut inner = desk.lock();
    let began = inner.port.now;
    for step in 1..=60 {
        let Core { host, port } = &mut *inner;
        port.now = began + step * SECOND / 4;
        port.sweep(port.now, host);
        host.woken(port.now);
        host.rest(port.now, port);
        assert!(port.deferred.is_empty(), "after {} ms", step * 250);
        answer_tests(&mut inner);
    }
}

#[test]
fn the_only_connection_to_a_draining_node_is_kept_since_it_may_take_no_other() {
    let (desk, _owner, _inbox) = crowded(200);
    let event = format!(
        r#"{{"n":2,"members":{{"members":[{}]}}}}"#,
        member(1, "leaving")
    );
    desk.told(serde_json::from_str(&event).expect("an event"));
    let mut inner = desk.lock();
    let machine = inner.port.nodes.find("s-1").expect("listed");
    let link = inner.port.links.of(machine);
    for step in 1..=24 {
        let Core { host, port } = &mut *inner;
        port.now += step * SECOND / 4;
        port.sweep(port.now, host);
        port.links.all_up(port.now);
        assert_eq!((port.links.of(machine), link.len()), (link.clone(), 1));
    }
}

/// The table of connections is full, so each set-up for another node closes one. The words under
/// way on it count.
#[test]
fn a_release_under_way_on_a_connection_that_gives_way_is_told_at_once() {
    let (desk, owner, inbox) = crowded(200);
    let stood: Vec<(LinkId, u64)> = {
        let Core { host, port } = &mut *desk.lock();
        let links = |task: &u64| {
            port.links
                .of(port.nodes.find(&format!("s-{task:x}")).expect("listed"))
        };
        let stood = (1..=200)
            .filter_map(|task| Some((*links(&task).first()?, task)))
            .collect();
        host.woken(port.now);
        stood
    };
    let mut gone = 0;
    for task in 1_000..1_010 {
        assert!(has_its_turn(&desk, owner, &set_up(task)));
        answer_tests(&mut desk.lock());
    }
    for (link, task) in stood {
        if !desk.lock().port.links.stands(link) {
            gone += 1;
            assert!(desk.node_said(
                link,
                node::Message::new(node::MessageType::Close, task).with_cause(16)
            ));
            let released = client::encode(MessageType::Release, task, &[(client::CAUSE, &[16])])
                .expect("short");
            assert_eq!(inbox.waiting().last(), Some(&released), "task {task}");
        }
    }
    assert!(gone > 0, "some connections have given way");
}

#[test]
fn connections_that_are_heard_out_are_bounded() {
    let (desk, owner, _inbox) = crowded(200);
    for task in 1_000..1_100 {
        assert!(has_its_turn(&desk, owner, &set_up(task)));
        let link = desk.lock().port.links.newest();
        desk.link_up(link);
        answer_tests(&mut desk.lock());
        let made = node::Message {
            text: Some("made".into()),
            ..node::Message::new(node::MessageType::Ready, task)
        };
        assert!(desk.node_said(link, made));
        let (open, closing) = desk.lock().port.links.counts();
        assert!(
            open <= 85 && closing <= 17,
            "a third of the descriptors, and a fifth of that: {open}, {closing}"
        );
    }
}

/// Where each set-up was placed before the next word was read, hundreds of them kept a node's
/// release from its owner for over the second that is left to pass it on.
#[test]
fn a_release_is_passed_on_before_set_ups_that_came_earlier() {
    let (desk, owner, inbox) = crowded(20);
    let link = desk.lock().port.links.newest();
    inbox.waiting();
    for task in 1_000..1_200 {
        assert!(desk.owner_said(owner, &set_up(task)));
    }
    assert!(desk.node_said(
        link,
        node::Message::new(node::MessageType::Close, 20).with_cause(16)
    ));
    let released =
        client::encode(MessageType::Release, 20, &[(client::CAUSE, &[16])]).expect("short");
    assert_eq!(inbox.waiting(), [released]);
    let waits = || desk.lock().host.counts();
    assert_eq!(
        (waits().shots_out, waits().not_yet),
        (0, 200),
        "the decisions have not been asked yet"
    );
    while desk.turn() {}
    assert!(waits().shots_out > 0);
}

/// A turn whose time is up once dropped the one that would have been next, which then never had an
/// answer.
#[test]
fn each_that_waits_has_its_turn_however_many_turns_that_takes() {
    let (desk, _owner, _inbox) = crowded(60);
    let owners: Vec<(OwnerId, Inbox)> = (0..4)
        .map(|_| desk.owner_came().expect("there is room"))
        .collect();
    for task in 1_000..2_000 {
        let small = message(task, "cores:0.01;memory:0.01;service:a");
        assert!(desk.owner_said(owners[task as usize % 4].0, &small));
    }
    let turns = (1..10_000).find(|_| !desk.turn()).expect("an end");
    assert!(turns > 1, "more than one turn's work");
    assert_eq!(
        desk.lock().host.counts().shots_out,
        1_000,
        "all are out after {turns} turns"
    );
}
