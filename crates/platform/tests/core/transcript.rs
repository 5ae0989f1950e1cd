//! Compares all outputs of the core for seeded pseudo-random inputs with the transcripts recorded
//! under `tests/data`: bytes to clients and nodes, timers and counts. The test sets the time, and
//! replaces the tasks that read and write. After an intended change of outputs,
//! `CORKSPAN_RECORD=1 cargo test -p corkspan-platform --lib transcript -- --test-threads=1` records
//! them again.

use super::bounds::create_handle;
use super::*;
use crate::handle::PlatformHandle;
use corkspan_platform_wire::client::{self, MessageType};
use corkspan_platform_wire::node::AttributeValue;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use test_case::test_case;

/// The time at which each run starts.
const START_TIME: Ticks = 1_000_000;
const STEPS: usize = 700;
const NODES: u64 = 6;

const SETTINGS: &str = r#"{"name":"n0","listen":"127.0.0.1:0","seed":"5eed","limits":{"sockets":48},
"feed":"127.0.0.1:1","known":{"n":0},"settings":{"classes":[
{"effect":"pure","name":"batch","on-time-us":600000,"deadline-us":6000000},
{"effect":"token","name":"web","on-time-us":300000,"deadline-us":4000000,"dedup-scope":"cell","memory-span-us":1500000},
{"effect":"side_effect","name":"edge","on-time-us":200000,"deadline-us":5000000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":1.5,"class-calm":[1.0,0.8,0.7],
"class-most":[4,2,3],"kind-cores":[16,32],"kind-memory":[32.0,64.0],"needs-kind":[-1,-1,1],"makes-room":true,
"priority-by-class":[0,1,2],"spread-by":["silent","machine","zone"],"view":false,"young-limit":40.0,"share-cores":[64.0]},
"fleet-size":1,"limits":{"max-attempts":3,"probes":true,"idle-close-us":6000000,"connect-timeout-us":500000},
"locality":0,"me":0,"penalties":{"cross-zone":0.1},"rules":{"ask-every-us":10000000,"cold-us":2000000,"fall-us":1000000},
"skus":["std","big"],"tenants":[{"name":"acme"},{"name":"bolt"}],"zones":["east","west"]}}"#;

/// Pseudo-random numbers that are the same on every machine.
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ self.0 >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ mixed >> 31
    }

    fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }

    fn pick<T: Copy>(&mut self, all: &[T]) -> Option<T> {
        let at = self.below(all.len().max(1) as u64) as usize;
        all.get(at).copied()
    }

    fn choose<T: Copy>(&mut self, all: &[T]) -> T {
        self.pick(all).expect("a non-empty slice")
    }
}

/// A connection to a node, as held by its task.
struct Connection {
    queue: MessageQueue,
    established: bool,
    ended: bool,
    /// The tasks whose set-ups were written on the connection.
    tasks: Vec<u64>,
    /// The health checks written on the connection and not yet answered.
    health_checks: Vec<u64>,
}

struct Run {
    handle: Arc<PlatformHandle>,
    draws: Draws,
    now: Ticks,
    last_sweep: Ticks,
    watch_endpoint_list: async_channel::Receiver<()>,
    clients: BTreeMap<ClientId, MessageQueue>,
    connections: BTreeMap<ConnectionId, Connection>,
    last_task: u64,
    last_event: u64,
    text: String,
    /// The last recorded line of timers and counts.
    counts_line: String,
}

impl Run {
    fn new(seed: u64) -> Run {
        let config = NodeConfig::from_json(SETTINGS.as_bytes()).expect("valid");
        let cluster_settings = platform_cluster(&config.settings).expect("valid");
        let budget = DescriptorBudget::new(config.limits.sockets).expect("enough descriptors");
        let (handle, watch_receiver) = create_handle(config, &budget);
        handle.time_override.store(START_TIME, Ordering::Relaxed);
        {
            // The core was created with the machine's clock; it restarts with the test's.
            let PlatformCore { engine, state } = &mut *handle.lock();
            *engine = Engine::new(
                cluster_settings,
                seed,
                START_TIME,
                MAX_RUNNING_TASKS + MAX_OPEN_SET_UPS,
                RetryBatch::ON_DEMAND,
            );
            (state.now, state.last_health_check_id) = (START_TIME, seed);
            (state.engine_timer, state.armed_timer) = (None, None);
        }
        let _ = watch_receiver.try_recv();
        let mut run = Run {
            handle,
            draws: Draws(seed),
            now: START_TIME,
            last_sweep: START_TIME,
            watch_endpoint_list: watch_receiver,
            clients: BTreeMap::new(),
            connections: BTreeMap::new(),
            last_task: 0,
            last_event: 0,
            text: String::new(),
            counts_line: String::new(),
        };
        run.handle.start();
        run.send_complete_list();
        for _ in 0..3 {
            run.connect_client();
        }
        run
    }

    fn record(&mut self, text: std::fmt::Arguments<'_>) {
        writeln!(self.text, "{text}").expect("written");
    }

    fn node_json(&mut self, number: u64, phase: &str, since: u64) -> String {
        let (zone, machine_type) = if number.is_multiple_of(3) {
            ("west", "big")
        } else {
            ("east", "std")
        };
        format!(
            r#"{{"id":"s-{number}","host_port":"127.0.0.1:{number}","locality":"{zone}","flavor":"{machine_type}","cell":{},"phase":"{phase}","up_since_ms":{since}}}"#,
            number % 2
        )
    }

    fn send_event(&mut self, complete: bool, members: &[String]) {
        self.last_event += 1;
        let event = format!(
            r#"{{"n":{},"members":{{"complete":{complete},"members":[{}]}}}}"#,
            self.last_event,
            members.join(",")
        );
        self.record(format_args!("feed {event}"));
        self.handle
            .apply_event(serde_json::from_str(&event).expect("an event"));
    }

    fn send_complete_list(&mut self) {
        let members: Vec<String> = (1..=NODES)
            .map(|number| self.node_json(number, "active", 1))
            .collect();
        self.send_event(true, &members);
    }

    fn send_change(&mut self) {
        let number = 1 + self.draws.below(NODES);
        let since = if self.draws.one_in(3) {
            self.now / 10
        } else {
            1
        };
        let phase = self
            .draws
            .choose(&["active", "active", "leaving", "leaving", "left"]);
        let member = self.node_json(number, phase, since);
        match self.draws.below(8) {
            0 => self.send_complete_list(),
            1 => self.send_event(false, &["7".into(), member]),
            _ => self.send_event(false, &[member]),
        }
    }

    fn connect_client(&mut self) {
        match self.handle.client_connected() {
            Some((id, queue)) => {
                self.record(format_args!("client {} comes", id.0));
                self.clients.insert(id, queue);
            }
            None => self.record(format_args!("a client finds no place")),
        }
    }

    fn some_client(&mut self) -> Option<ClientId> {
        let all: Vec<ClientId> = self.clients.keys().copied().collect();
        self.draws.pick(&all)
    }

    fn disconnect_client(&mut self) {
        if let Some(id) = self.some_client() {
            self.record(format_args!("client {} leaves", id.0));
            self.handle.client_disconnected(id);
        }
    }

    fn client_sends(
        &mut self,
        id: ClientId,
        message_type: MessageType,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) {
        let bytes = client::encode(message_type, task, parameters).expect("a short message");
        let mut reader = client::Reader::default();
        reader.push(&bytes);
        let message = reader.next_message().expect("valid").expect("complete");
        let keep_open = self.handle.handle_client_message(id, &message);
        self.record(format_args!("client {} {} {keep_open}", id.0, hex(&bytes)));
        if !keep_open {
            self.handle.client_disconnected(id);
        }
    }

    fn client_sends_set_up(&mut self) {
        let Some(id) = self.some_client() else {
            return self.connect_client();
        };
        let task = if self.draws.one_in(20) && self.last_task > 0 {
            1 + self.draws.below(self.last_task)
        } else {
            self.last_task += 1;
            self.last_task
        };
        let class = self
            .draws
            .choose(&["batch", "web", "edge", "batch", "web", "edge"]);
        let time_left = self.draws.choose(&["6000", "5000", "3000", "900", "300"]);
        let cores = self.draws.choose(&["0.5", "1", "2", "4", "8", "12"]);
        let service = self.draws.choose(&["a", "b", "c", "d", "e"]);
        let (class, cores) = match self.draws.below(40) {
            0 => ("none", cores),
            1 => (class, "1000"),
            2 => (class, "nan"),
            _ => (class, cores),
        };
        let mut requirements = format!("cores:{cores};memory:1;service:{service}");
        if self.draws.one_in(8) {
            let node = 1 + self.draws.below(NODES + 1);
            write!(requirements, ";at:s-{node}").expect("written");
        }
        let tenant = self
            .draws
            .choose(&["acme", "bolt", "acme", "bolt", "acme", "nobody"]);
        let mut parameters: Vec<(u8, &[u8])> = vec![
            (client::CLASS, class.as_bytes()),
            (client::TIME_LEFT, time_left.as_bytes()),
            (client::TASK_NAME, b"7f"),
            (client::REQUIREMENTS, requirements.as_bytes()),
            (client::DESCRIPTION, b"what\r\n"),
        ];
        if self.draws.one_in(2) {
            parameters.push((client::TENANT, tenant.as_bytes()));
        }
        if !self.draws.one_in(12) {
            parameters.push((client::IDEMPOTENCY_KEY, b"k-1"));
        }
        self.client_sends(id, MessageType::SetUp, task, &parameters);
    }

    fn client_sends_other(&mut self) {
        let Some(id) = self.some_client() else { return };
        let task = 1 + self.draws.below(self.last_task + 2);
        match self.draws.below(24) {
            0..14 => {
                let cause = [self.draws.choose(&[16u8, 31, 47])];
                self.client_sends(id, MessageType::Release, task, &[(client::CAUSE, &cause)]);
            }
            14..17 => self.client_sends(id, MessageType::Release, task, &[]),
            17..20 => {
                self.client_sends(id, MessageType::HealthCheck, task, &[(client::CAUSE, &[0])])
            }
            20 => self.client_sends(id, MessageType::Progress, task, &[]),
            21 => self.client_sends(id, MessageType::Acknowledge, task, &[]),
            22 => self.client_sends(id, MessageType::Answer, task, &[]),
            _ => self.client_sends(id, MessageType::Migrate, task, &[]),
        }
    }

    fn some_connection(&mut self, established: bool) -> Option<ConnectionId> {
        let all = self.connections.iter();
        let all: Vec<ConnectionId> = all
            .filter(|(_, connection)| connection.established == established && !connection.ended)
            .map(|(&id, _)| id)
            .collect();
        self.draws.pick(&all)
    }

    fn establish_connection(&mut self) {
        let Some(id) = self.some_connection(false) else {
            return;
        };
        let connection = self.connections.get_mut(&id).expect("a known connection");
        if connection.queue.is_discarded() {
            connection.ended = true;
            return self.record(format_args!("link {} is void", id.0));
        }
        connection.established = true;
        self.record(format_args!("link {} is up", id.0));
        self.handle.connection_established(id);
    }

    fn end_connection(&mut self, id: ConnectionId, end: ConnectionEnd) {
        self.record(format_args!("link {} ends: {}", id.0, end_name(end)));
        self.connections
            .get_mut(&id)
            .expect("a known connection")
            .ended = true;
        self.handle.connection_ended(id, end);
    }

    fn end_some_connection(&mut self) {
        let established = self.draws.one_in(2);
        let Some(id) = self.some_connection(established) else {
            return;
        };
        let end = match (established, self.draws.below(3)) {
            (true, _) => ConnectionEnd::Broken,
            (false, 0) => ConnectionEnd::Refused,
            (false, _) => ConnectionEnd::ConnectTimeout {
                attempted_at: self.now,
            },
        };
        self.end_connection(id, end);
    }

    fn node_sends(&mut self) {
        let Some(id) = self.some_connection(true) else {
            return self.establish_connection();
        };
        let (tasks, health_checks) = {
            let connection = &mut self.connections.get_mut(&id).expect("a known connection");
            (
                connection.tasks.clone(),
                std::mem::take(&mut connection.health_checks),
            )
        };
        for check_id in health_checks {
            let code = self.draws.choose(&[1, 1, 1, 0]);
            let message = node::Message::new(node::MessageType::Probed, check_id).with_cause(code);
            let message = self.with_load(message);
            self.node_sends_message(id, message);
        }
        let random_task = 1 + self.draws.below(self.last_task + 1);
        let known_task = self.draws.pick(&tasks).filter(|_| !self.draws.one_in(8));
        let task = known_task.unwrap_or(random_task);
        let message = self.node_message(task);
        self.node_sends_message(id, message);
    }

    fn node_sends_message(&mut self, id: ConnectionId, message: node::Message) {
        let line = message.to_line().expect("a short message");
        let line = String::from_utf8(line).expect("valid text");
        let keep_open = self.handle.handle_node_message(id, message);
        self.record(format_args!(
            "link {} says {} {keep_open}",
            id.0,
            line.trim_end()
        ));
        if !keep_open && !self.connections[&id].ended {
            self.end_connection(id, ConnectionEnd::Broken);
        }
    }

    fn with_load(&mut self, mut message: node::Message) -> node::Message {
        let load = self
            .draws
            .choose(&["", "x0:3;x1:20", "x0:0.5;x1:1", "x0:12", "x"]);
        if !load.is_empty() {
            message
                .attributes
                .insert("load".into(), AttributeValue::Text(load.into()));
        }
        message
    }

    fn node_message(&mut self, task: u64) -> node::Message {
        let mut message = node::Message::new(node::MessageType::Ready, task);
        match self.draws.below(20) {
            0..11 => message.text = Some("made".into()),
            11 if self.draws.one_in(4) => {}
            11..14 => {
                message.message_type = node::MessageType::Close;
                message.cause = Some(self.draws.choose(&[34, 34, 34, 16, 16, 47, 102, 41, 31]));
                let notes = [
                    "",
                    "lack_cpu",
                    "lack_ram",
                    "backlog",
                    "unfit",
                    "killed",
                    "displaced",
                ];
                let note = self.draws.choose(&notes);
                if !note.is_empty() {
                    message
                        .attributes
                        .insert("note".into(), AttributeValue::Text(note.into()));
                }
                message = self.with_load(message);
            }
            14 => message.message_type = node::MessageType::Closed,
            15 => message.message_type = node::MessageType::Trying,
            16 if self.draws.one_in(2) => message.task_id = None,
            _ => {
                message.message_type = node::MessageType::Event;
                let notes = [
                    "running", "use_cpu", "use_ram", "health", "ram_high", "later",
                ];
                let note = self.draws.choose(&notes);
                message
                    .attributes
                    .insert("note".into(), AttributeValue::Text(note.into()));
                let value = [0.1, 0.5, 0.9, 1.0][self.draws.below(4) as usize];
                message
                    .attributes
                    .insert("value".into(), AttributeValue::Number(value));
            }
        }
        message
    }

    /// Advances the clock, sweeps when that is due, and fires due timers.
    fn advance_time(&mut self) {
        let step = match self.draws.below(12) {
            0 if self.draws.one_in(3) => 1 + self.draws.below(6_000),
            0..4 => 1 + self.draws.below(800),
            _ => self.draws.below(60),
        };
        let end = self.now + step;
        loop {
            let armed = self.handle.lock().state.armed_timer;
            let next = armed
                .unwrap_or(end)
                .min(self.last_sweep + SECOND / 4)
                .min(end);
            self.now = self.now.max(next);
            self.handle.time_override.store(self.now, Ordering::Relaxed);
            if self.last_sweep + SECOND / 4 <= self.now {
                self.last_sweep = self.now;
                self.handle.sweep();
            } else if armed.is_some_and(|at| at <= self.now) {
                self.handle.timer_fired();
            } else if self.now >= end {
                break;
            }
            self.record_outputs();
        }
    }

    /// Records all outputs as the connections' tasks would write them.
    fn record_outputs(&mut self) {
        let opened = std::mem::take(&mut self.handle.lock().state.connections.opened_queues);
        for (id, queue) in opened {
            self.record(format_args!("link {} opens", id.0));
            let connection = Connection {
                queue,
                established: false,
                ended: false,
                tasks: Vec::new(),
                health_checks: Vec::new(),
            };
            self.connections.insert(id, connection);
        }
        let ids: Vec<ConnectionId> = self.connections.keys().copied().collect();
        for id in ids {
            self.write_to_node(id);
        }
        let clients = std::mem::take(&mut self.clients);
        for (id, queue) in clients {
            while let Some((_, bytes)) = queue.next() {
                self.record(format_args!("> client {} {}", id.0, hex(&bytes)));
            }
            if queue.ended().is_some() {
                self.record(format_args!("> client {} closed", id.0));
            } else {
                self.clients.insert(id, queue);
            }
        }
        while self.watch_endpoint_list.try_recv().is_ok() {
            self.record(format_args!("> the list is asked for"));
        }
        self.record_counts();
    }

    fn write_to_node(&mut self, id: ConnectionId) {
        let connection = &self.connections[&id];
        if connection.ended || !connection.established {
            return;
        }
        let queue = connection.queue.second_receiver();
        while let Some((attempt, bytes)) = queue.next() {
            let may_write = !queue.is_discarded()
                && attempt.is_none_or(|attempt| self.handle.may_write_set_up(id, attempt));
            if !may_write {
                match attempt {
                    Some(_) => self.record(format_args!("> link {} leaves out a set-up", id.0)),
                    None => self.record(format_args!(
                        "> link {} leaves out {} bytes",
                        id.0,
                        bytes.len()
                    )),
                }
                continue;
            }
            let set_up = attempt.map(|attempt| self.handle.set_up_line(attempt).expect("short"));
            let line = String::from_utf8(set_up.unwrap_or(bytes)).expect("valid text");
            self.record(format_args!("> link {} {}", id.0, line.trim_end()));
            let message: node::Message = serde_json::from_str(&line).expect("a message");
            let connection = self.connections.get_mut(&id).expect("a known connection");
            match message.message_type {
                node::MessageType::Open => connection.tasks.extend(message.task_id),
                node::MessageType::Probe => connection.health_checks.extend(message.task_id),
                _ => {}
            }
        }
        if let Some(half_closed) = queue.ended() {
            if !half_closed {
                self.connections
                    .get_mut(&id)
                    .expect("a known connection")
                    .ended = true;
                self.record(format_args!("> link {} closed", id.0));
                self.handle.connection_ended(id, ConnectionEnd::Broken);
            } else if self.draws.one_in(6) {
                self.record(format_args!("> link {} heard out", id.0));
                self.end_connection(id, ConnectionEnd::Broken);
            }
        }
    }

    /// Records timers and counts if they have changed.
    fn record_counts(&mut self) {
        let (counts, armed, open, half_closed) = {
            let core = self.handle.lock();
            let (open, half_closed) = core.state.connections.open_and_half_closed();
            (
                core.engine.counts(),
                core.state.armed_timer,
                open,
                half_closed,
            )
        };
        let armed = armed.map(|at| at - START_TIME);
        let counts_line = format!(
            "= timer {armed:?} in hand {} waiting {} out {} placed {} links {open}+{half_closed} \
             unanswered {} kept {}",
            counts.total,
            counts.deferred,
            counts.attempts_pending,
            counts.placed,
            self.handle.unanswered(),
            self.handle.retained_items(),
        );
        if counts_line != self.counts_line {
            self.record(format_args!("{counts_line}"));
            self.counts_line = counts_line;
        }
    }

    fn step(&mut self) {
        let now = self.now - START_TIME;
        self.record(format_args!("@ {now}"));
        match self.draws.below(100) {
            0..4 => self.connect_client(),
            4..32 => self.client_sends_set_up(),
            32..36 => self.client_sends_other(),
            36 => self.disconnect_client(),
            37..58 => self.establish_connection(),
            58..90 => self.node_sends(),
            90..93 => self.end_some_connection(),
            93..96 => self.send_change(),
            96 => self.handle.endpoint_watch_failed(),
            97 => self.handle.discovery_connected(),
            _ => {}
        }
        self.record_outputs();
        if !self.draws.one_in(4) {
            while self.handle.run_turn() {}
            self.record_outputs();
        }
        self.advance_time();
        self.record_outputs();
    }

    fn end(&mut self) {
        self.record(format_args!("stop"));
        self.handle.stop();
        self.record_outputs();
        self.client_sends_set_up();
        for _ in 0..6 {
            self.advance_time();
            self.record_outputs();
        }
        self.record(format_args!("let go"));
        self.handle.abandon_all();
        self.record_outputs();
    }
}

/// Returns the name under which the end of a connection is recorded.
fn end_name(end: ConnectionEnd) -> &'static str {
    match end {
        ConnectionEnd::Refused => "Refused",
        ConnectionEnd::ConnectTimeout { .. } => "NotUp",
        ConnectionEnd::NotAttempted => "NotTried",
        ConnectionEnd::Broken => "Broke",
        ConnectionEnd::Closed => "Closed",
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the recorded inputs and outputs of a run with the given seed.
fn transcript(seed: u64, steps: usize) -> String {
    let mut run = Run::new(seed);
    run.record_outputs();
    for _ in 0..steps {
        run.step();
    }
    run.end();
    run.text
}

fn recording_path(name: &str) -> PathBuf {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    data.join(name)
}

fn recorded(name: &str) -> String {
    let path = recording_path(name);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn a_seeded_run_gives_the_recorded_transcript() {
    let (actual, recorded) = (transcript(1, 250), recorded("transcript.txt"));
    if std::env::var_os("CORKSPAN_RECORD").is_some() {
        std::fs::write(recording_path("transcript.txt"), actual).expect("written");
        panic!("recorded again without a comparison");
    }
    let other = std::iter::zip(actual.lines(), recorded.lines())
        .enumerate()
        .find(|(_, (actual, recorded))| actual != recorded);
    assert_eq!(other, None, "the first line that differs");
    assert_eq!(actual.len(), recorded.len());
}

/// Compares longer runs by a digest of their transcripts: seed, number of lines and FNV-1a hash.
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
#[test_case(9)]
fn a_longer_run_gives_a_transcript_with_the_recorded_digest(seed: u64) {
    use std::hash::Hasher;
    let actual = transcript(seed, STEPS);
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(actual.as_bytes());
    let digest = format!("{seed} {} {:016x}", actual.lines().count(), hasher.finish());
    let recorded_digests = recorded("transcript_sums.txt");
    if std::env::var_os("CORKSPAN_RECORD").is_some() {
        let others = recorded_digests.lines();
        let others = others.filter(|line| !line.starts_with(&format!("{seed} ")));
        let mut digests: Vec<&str> = others.chain([&*digest]).collect();
        digests.sort();
        let text = digests.join("\n") + "\n";
        std::fs::write(recording_path("transcript_sums.txt"), text).expect("written");
        panic!("recorded again without a comparison");
    }
    assert!(
        recorded_digests.lines().any(|line| line == digest),
        "{digest} is not among\n{recorded_digests}"
    );
}
