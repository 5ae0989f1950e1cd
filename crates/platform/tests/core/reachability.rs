//! Tests what counts as a sign of life of a machine that is cut off. The tasks that read and write
//! are not run, and the test sets the time.

use super::addresses::{TASK, core_and_client_with, list_node, released, run_task, set_time};
use super::bounds::set_up_with_requirements;
use super::*;
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, MessageType};
use test_case::test_case;

const STEP_MS: u64 = 50;
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Returns the end of a connection that was attempted the given time ago and has timed out.
fn timed_out(handle: &PlatformHandle, elapsed_ms: u64) -> ConnectionEnd {
    let attempted_at = handle.now() - elapsed_ms * TICKS_PER_MS;
    ConnectionEnd::ConnectTimeout { attempted_at }
}

/// A core with a task on a node whose machine is cut off, so that no connection is established.
struct CutOff {
    handle: Arc<PlatformHandle>,
    queue: MessageQueue,
    /// The connection of the task's set-up.
    connection: ConnectionId,
    /// The connections that are being established, each with the time of its attempt.
    connecting: VecDeque<(ConnectionId, u64)>,
    /// The health checks that were sent.
    health_checks: BTreeSet<u64>,
    client: ClientId,
    /// The queues of the connections that were established since the machine was reached again.
    established: Vec<MessageQueue>,
    is_reached: bool,
    now_ms: u64,
}

impl CutOff {
    fn new(health_checks: bool) -> CutOff {
        let (handle, client, queue) = core_and_client_with(health_checks);
        let connection = run_task(&handle, client, &queue, 0);
        CutOff {
            handle,
            queue,
            connection,
            connecting: VecDeque::new(),
            health_checks: BTreeSet::new(),
            client,
            established: Vec::new(),
            is_reached: false,
            now_ms: 0,
        }
    }

    fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            set_time(&self.handle, self.now_ms);
            self.handle.timer_fired();
            self.handle.sweep();
            let pending = self
                .handle
                .lock()
                .state
                .health_checks
                .keys()
                .copied()
                .collect();
            self.health_checks = self.health_checks.union(&pending).copied().collect();
            self.find_new_connections();
            while let Some(&(id, attempted_ms)) = self.connecting.front()
                && attempted_ms + CONNECT_TIMEOUT_MS <= self.now_ms
            {
                self.connecting.pop_front();
                self.end_connection(id, timed_out(&self.handle, self.now_ms - attempted_ms));
            }
        }
    }

    fn find_new_connections(&mut self) {
        let opened = std::mem::take(&mut self.handle.lock().state.connections.opened_queues);
        let new = opened.into_iter().filter(|(id, _)| *id != self.connection);
        for (id, queue) in new {
            if self.is_reached {
                self.handle.connection_established(id);
                self.established.push(queue);
            } else {
                self.connecting.push_back((id, self.now_ms));
            }
        }
    }

    fn end_connection(&self, id: ConnectionId, end: ConnectionEnd) {
        self.handle.connection_ended(id, end);
    }

    fn node_sends(&self, message: node::Message) {
        assert!(self.handle.handle_node_message(self.connection, message));
    }

    /// Asserts that the task outlasts another partition from now on, and is then released in time.
    fn assert_outage_begins_anew(&mut self) {
        let heard_ms = self.now_ms;
        self.run_until(heard_ms + 6_000);
        assert!(!self.is_released(), "6 s after it was heard");
        self.run_until(heard_ms + 8_000);
        assert!(self.is_released(), "8 s after it was heard");
    }

    fn is_released(&self) -> bool {
        let sent = self.queue.take_all();
        sent.contains(&released(client::CAUSE_INTERRUPTED))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SignOfLife {
    /// The answer to the first health check, which has timed out long ago.
    LateHealthCheckReply,
    /// A notification about a task of which this dispatcher does not know.
    UnknownTask,
    /// A message that needs no handling.
    Progress,
}

/// Guards against releasing a task that still runs: between two partitions the machine was reached,
/// but what it wrote was not taken as a sign of life.
#[test_case(SignOfLife::LateHealthCheckReply)]
#[test_case(SignOfLife::UnknownTask)]
#[test_case(SignOfLife::Progress)]
fn any_message_of_a_node_ends_an_outage(sign: SignOfLife) {
    let mut cut_off = CutOff::new(sign == SignOfLife::LateHealthCheckReply);
    cut_off.run_until(6_000);
    let message = match sign {
        SignOfLife::LateHealthCheckReply => {
            let check = *cut_off.health_checks.first().expect("a health check");
            assert!(
                !cut_off
                    .handle
                    .lock()
                    .state
                    .health_checks
                    .contains_key(&check)
            );
            node::Message::new(node::MessageType::Probed, check).with_cause(1)
        }
        SignOfLife::UnknownTask => node::Message::new(node::MessageType::Event, TASK + 1),
        SignOfLife::Progress => node::Message::new(node::MessageType::Trying, TASK),
    };
    cut_off.node_sends(message);
    cut_off.assert_outage_begins_anew();
}

/// Guards against releasing a task that still runs: between two partitions the node refused a new
/// connection, as one does that drains before the list says so, while another one is open.
#[test]
fn a_refused_connection_ends_an_outage() {
    let mut cut_off = CutOff::new(false);
    cut_off.run_until(6_000);
    while cut_off.connecting.is_empty() {
        cut_off.run_until(cut_off.now_ms + STEP_MS);
    }
    let (connecting, _) = cut_off.connecting.pop_back().expect("a check is due");
    cut_off.end_connection(connecting, ConnectionEnd::Refused);
    cut_off.assert_outage_begins_anew();
}

/// Guards against taking a node that refuses a health check for one that does not answer it: its
/// connection was given up, and it got no set-ups for a time.
#[test]
fn a_health_check_that_is_refused_is_answered() {
    let mut cut_off = CutOff::new(true);
    cut_off.run_until(100);
    let pending = cut_off.handle.lock().state.health_checks.clone();
    let (&check, _) = pending.first_key_value().expect("a health check");
    cut_off.node_sends(node::Message::new(node::MessageType::Close, check).with_cause(34));
    let core = |cut_off: &CutOff| {
        let state = &cut_off.handle.lock().state;
        let is_pending = state.health_checks.contains_key(&check);
        (
            is_pending,
            state.connections.is_established(cut_off.connection),
        )
    };
    assert_eq!(core(&cut_off), (false, true));
    cut_off.run_until(1_500);
    assert_eq!(core(&cut_off), (false, true), "after its timeout");
}

/// Guards against a task that stands for good after its owner has ended it: the request to stop it
/// was queued on a connection that never came up, and was dropped with it.
#[test]
fn a_task_that_its_owner_ends_during_an_outage_is_stopped_after_it() {
    let mut cut_off = CutOff::new(true);
    cut_off.run_until(3_000);
    let cause = [client::CAUSE_NORMAL];
    let release = client::encode(MessageType::Release, TASK, &[(client::CAUSE, &cause)]);
    let mut reader = client::Reader::default();
    reader.push(&release.expect("a short message"));
    let release = reader.next_message().expect("valid").expect("complete");
    assert!(
        cut_off
            .handle
            .handle_client_message(cut_off.client, &release)
    );
    cut_off.run_until(6_000);
    cut_off.is_reached = true;
    cut_off.run_until(12_000);
    let stops = |cut_off: &CutOff| {
        let lines = cut_off.established.iter().flat_map(MessageQueue::take_all);
        let close = node::Message::new(node::MessageType::Close, TASK).with_cause(16);
        lines
            .filter(|line| Some(line) == close.to_line().as_ref())
            .count()
    };
    assert!(stops(&cut_off) >= 1, "it is stopped within 6 s");
    cut_off.node_sends(node::Message::new(node::MessageType::Close, TASK).with_cause(31));
    cut_off.run_until(60_000);
    assert_eq!(stops(&cut_off), 0, "the node has confirmed it");
}

/// A core with one task on each of more nodes than the pool has connections. Nothing but connections
/// and health checks is heard of them.
struct FullPool {
    handle: Arc<PlatformHandle>,
    queue: MessageQueue,
    connecting: VecDeque<(ConnectionId, u64)>,
    /// The machines that are cut off at times.
    unreliable: BTreeSet<MachineId>,
    now_ms: u64,
}

impl FullPool {
    fn new(health_checks: bool, nodes: u64, unreliable_nodes: u64) -> FullPool {
        let (handle, client, queue) = core_and_client_with(health_checks);
        for node in 2..=nodes {
            let address = format!("127.0.0.1:{}", 1_000 + node);
            list_node(&handle, node, &format!("s-{node}"), &address, None);
        }
        for node in 1..=nodes {
            let requirements = format!("cores:20;memory:1;service:a;at:s-{node}");
            let message = set_up_with_requirements(node, &requirements);
            assert!(handle.handle_client_message(client, &message));
        }
        let find = |node| handle.lock().state.nodes.find(&format!("s-{node}"));
        let unreliable = (1..=unreliable_nodes).map(|node| find(node).expect("listed"));
        FullPool {
            unreliable: unreliable.collect(),
            handle,
            queue,
            connecting: VecDeque::new(),
            now_ms: 0,
        }
    }

    fn connections_to_first_node(&self) -> usize {
        let state = &self.handle.lock().state;
        let machine = state.nodes.find("s-1").expect("listed");
        state.connections.available_to(machine).len()
    }

    /// Lists the first node, at the address of the start, as draining.
    fn drain_first_node(&self) {
        let json = r#"{"n":1000,"members":{"members":[{"id":"s-1","host_port":"127.0.0.1:9",
            "locality":"east","flavor":"std","phase":"leaving"}]}}"#;
        let event = serde_json::from_str(json).expect("an event");
        self.handle.apply_event(event);
    }

    /// Runs with the unreliable machines cut off, or not.
    fn run_until(&mut self, until_ms: u64, is_cut_off: bool) {
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            set_time(&self.handle, self.now_ms);
            self.end_connecting(is_cut_off);
            self.answer_health_checks(is_cut_off);
            self.handle.timer_fired();
            self.handle.sweep();
            let opened = std::mem::take(&mut self.handle.lock().state.connections.opened_queues);
            let opened = opened.iter().map(|(id, _)| (*id, self.now_ms));
            self.connecting.extend(opened);
        }
    }

    fn is_to_unreliable_node(&self, id: ConnectionId) -> Option<bool> {
        let machine = self.handle.lock().state.connections.machine(id)?;
        Some(self.unreliable.contains(&machine))
    }

    fn end_connecting(&mut self, is_cut_off: bool) {
        for (id, attempted_ms) in std::mem::take(&mut self.connecting) {
            match self.is_to_unreliable_node(id) {
                None => {}
                Some(true) if is_cut_off => {
                    if attempted_ms + CONNECT_TIMEOUT_MS > self.now_ms {
                        self.connecting.push_back((id, attempted_ms));
                        continue;
                    }
                    let end = timed_out(&self.handle, self.now_ms - attempted_ms);
                    self.handle.connection_ended(id, end);
                }
                Some(_) => self.handle.connection_established(id),
            }
        }
    }

    fn answer_health_checks(&self, is_cut_off: bool) {
        let checks = self.handle.lock().state.health_checks.clone();
        for (check, HealthCheck { connection, .. }) in checks {
            let is_established = self
                .handle
                .lock()
                .state
                .connections
                .is_established(connection);
            let is_lost = is_cut_off && self.is_to_unreliable_node(connection) == Some(true);
            if is_established && !is_lost {
                let reply = node::Message::new(node::MessageType::Probed, check).with_cause(1);
                self.handle.handle_node_message(connection, reply);
            }
        }
    }

    /// Returns the tasks that were released as interrupted.
    fn released(&self) -> Vec<u64> {
        let mut reader = client::Reader::default();
        reader.push(&self.queue.take_all().concat());
        let sent = std::iter::from_fn(|| reader.next_message().expect("valid"));
        let releases = sent.filter(|message| message.message_type == MessageType::Release);
        releases.map(|release| release.task).collect()
    }
}

/// Guards against ends that are told late because the pool has no connection left to see whether a
/// silent machine is alive, and against releasing a task behind a partition of 6 s or on any other
/// machine.
#[test_case(false, 1; "one machine, without health checks")]
#[test_case(true, 1; "one machine, with health checks")]
#[test_case(false, 25; "many machines, without health checks")]
#[test_case(true, 25; "many machines, with health checks")]
fn vanished_machines_are_found_in_time_with_a_full_pool(health_checks: bool, unreliable: u64) {
    let mut pool = FullPool::new(health_checks, 110, unreliable);
    pool.run_until(20_000, false);
    assert_eq!(pool.released(), [0; 0]);
    pool.run_until(26_000, true);
    assert_eq!(pool.released(), [0; 0], "cut off for 6 s");
    pool.run_until(36_700, false);
    assert_eq!(pool.released(), [0; 0]);
    pool.run_until(42_700, true);
    assert_eq!(pool.released(), [0; 0], "cut off for 6 s");
    pool.run_until(44_700, true);
    let mut released = pool.released();
    released.sort();
    let lost: Vec<u64> = (1..=unreliable).collect();
    assert_eq!(released, lost, "gone for 8 s");
}

/// Guards against ends that are told late because the connection to a draining node is never
/// replaced, so that a full pool has none for a check.
#[test_case(false; "without health checks")]
#[test_case(true; "with health checks")]
fn a_draining_machine_that_vanishes_is_found_in_time_with_a_full_pool(health_checks: bool) {
    let mut pool = FullPool::new(health_checks, 110, 1);
    // The node is connected when it begins to drain, and keeps that connection.
    pool.run_until(20_000, false);
    while pool.connections_to_first_node() == 0 {
        pool.run_until(pool.now_ms + STEP_MS, false);
    }
    pool.drain_first_node();
    pool.run_until(26_700, false);
    assert_eq!(pool.released(), [0; 0]);
    pool.run_until(34_700, true);
    assert_eq!(pool.released(), [1], "gone for 8 s");
}
