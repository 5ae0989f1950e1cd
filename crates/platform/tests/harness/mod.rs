//! Stand-ins on loopback for all peers of a dispatcher on the platform, by its published protocol.

use corkspan_platform_wire::client::{
    self, CLASS, DESCRIPTION, MessageType, REQUIREMENTS, TASK_NAME, TENANT, TIME_LEFT,
};
use corkspan_platform_wire::{MAX_MESSAGE_BYTES, node};
use corkspan_runtime::Signal;
use futures_lite::future;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub const FIGURES: &str = "cores:1;memory:1;service:a";
const PATIENCE: Duration = Duration::from_secs(20);

const SETTINGS: &str = r#"{"classes":[{"effect":"pure","name":"batch","on-time-us":600000}],"discovery":"on_request",
"family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],"class-most":[2],
"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],"spread-by":["silent"],"view":false,
"young-limit":29.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":PROBES},"locality":0,"me":0,"penalties":{},
"rules":{"ask-every-us":10000000,"cold-us":14000000,"fall-us":1000000},"skus":["std"],"tenants":[{"name":"acme"}],
"zones":["east"]}"#;

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    listener: Option<TcpListener>,
}

pub struct Feed {
    pub listener: TcpListener,
    streams: Vec<TcpStream>,
}

pub struct Harness {
    pub nodes: Vec<Node>,
    pub feed: Feed,
    address: SocketAddr,
    dir: tempfile::TempDir,
    signals: async_channel::Sender<std::io::Result<Signal>>,
    runs: Option<JoinHandle<()>>,
    told: u64,
    probes: bool,
    sockets: usize,
    settings: String,
    listen: SocketAddr,
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice")
}

fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("a socket option");
    match listener.accept() {
        Ok((stream, _)) => {
            stream.set_nonblocking(false).expect("a socket option");
            Some(stream)
        }
        Err(why) if why.kind() == ErrorKind::WouldBlock => None,
        Err(why) => panic!("can't accept: {why}"),
    }
}

/// Polls until there is a result.
fn wait_for<T>(mut look: impl FnMut() -> Option<T>) -> T {
    let since = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(since.elapsed() < PATIENCE, "waited in vain");
        std::thread::sleep(Duration::from_millis(2));
    }
}

impl Harness {
    pub fn new(nodes: usize) -> Harness {
        Harness::start(nodes, false, 256)
    }

    /// With or without health checks, and with this limit of descriptors.
    pub fn start(nodes: usize, probes: bool, sockets: usize) -> Harness {
        Harness::by(
            nodes,
            probes,
            sockets,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            &[],
        )
    }

    /// With other settings: pairs of what is replaced and what replaces it.
    pub fn with(nodes: usize, replaced: &[(&str, &str)]) -> Harness {
        Harness::by(
            nodes,
            false,
            256,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            replaced,
        )
    }

    pub fn by(
        nodes: usize,
        probes: bool,
        sockets: usize,
        listen: SocketAddr,
        replaced: &[(&str, &str)],
    ) -> Harness {
        let settings = replaced
            .iter()
            .fold(SETTINGS.to_string(), |settings, (old, new)| {
                assert!(settings.contains(old), "the settings hold {old}");
                settings.replace(old, new)
            });
        let nodes = (0..nodes).map(|number| {
            let listener = listener();
            let address = listener.local_addr().expect("bound");
            Node {
                name: format!("s-{number:08x}"),
                address,
                listener: Some(listener),
            }
        });
        let feed = Feed {
            listener: listener(),
            streams: Vec::new(),
        };
        let (signals, heard) = async_channel::unbounded();
        let dir = tempfile::tempdir().expect("a folder");
        let (ready, address) = std::sync::mpsc::channel();
        let mut harness = Harness {
            nodes: nodes.collect(),
            feed,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            dir,
            signals,
            runs: None,
            told: 1,
            probes,
            sockets,
            settings,
            listen,
        };
        harness.write_config();
        let path = harness.dir.path().join("posting.json");
        harness.runs = Some(std::thread::spawn(move || {
            let tasks: corkspan_runtime::SharedExecutor = Arc::default();
            let ready = |address| ready.send(address).expect("the world waits");
            let run = corkspan_platform::run(Arc::clone(&tasks), &path, Box::pin(heard), ready);
            future::block_on(tasks.run(run)).expect("no failure");
        }));
        harness.address = address.recv_timeout(PATIENCE).expect("it listens");
        harness
    }

    fn members(&self, only: Option<usize>, phase: &str) -> String {
        let members = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| only.is_none_or(|only| only == *number));
        let members: Vec<String> = members
            .map(|(_, node)| {
                format!(
                    r#"{{"id":"{}","host_port":"{}","locality":"east","flavor":"std","cell":1,"phase":"{phase}"}}"#,
                    node.name, node.address
                )
            })
            .collect();
        format!(
            r#"{{"n":{},"members":{{"complete":{},"members":[{}]}}}}"#,
            self.told,
            only.is_none(),
            members.join(",")
        )
    }

    fn write_config(&self) {
        let posting = format!(
            r#"{{"name":"n0","listen":"{}","seed":"8c1f","limits":{{"sockets":{}}},"feed":"{}",
            "known":{{"n":1,"events":[{}]}},"settings":{}}}"#,
            self.listen,
            self.sockets,
            self.feed.listener.local_addr().expect("bound"),
            self.members(None, "active"),
            self.settings
                .replace("PROBES", if self.probes { "true" } else { "false" }),
        );
        std::fs::write(self.dir.path().join("posting.json"), posting).expect("written");
    }

    pub fn client(&self) -> TestClient {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a socket option");
        TestClient {
            stream,
            reader: client::Reader::default(),
        }
    }

    /// A task that runs on the first node: its client's connection and its node's.
    pub fn running_task(&mut self, task: u64) -> (TestClient, NodeConnection) {
        let mut client = self.client();
        client.send_set_up(task, &[]);
        let mut connection = self.nodes[0].accept_connection();
        connection.receive();
        connection.send(ready(task, "made"));
        assert_eq!(client.receive().message_type, MessageType::Answer);
        (client, connection)
    }

    /// The next connection that any node accepts.
    pub fn accept_connection(&mut self) -> NodeConnection {
        wait_for(|| {
            self.nodes
                .iter()
                .find_map(|node| accept(node.listener.as_ref()?))
                .map(NodeConnection::new)
        })
    }

    /// Sends an event about a node; returns once the dispatcher must have read it.
    pub fn send_event(&mut self, node: usize, phase: &str) {
        self.told += 1;
        let event = format!(
            "id: {}\ndata: {}\n\n",
            self.told,
            self.members(Some(node), phase)
        );
        if self.feed.streams.is_empty() {
            self.feed.accept_and_stream();
        }
        for stream in &mut self.feed.streams {
            let _ = stream.write_all(event.as_bytes());
        }
        // Loopback keeps no order between connections: two messages to and fro give the event the
        // time it needs.
        for _ in 0..2 {
            let mut client = self.client();
            client.send(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
            assert_eq!(client.receive().message_type, MessageType::HealthCheckReply);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// A node under another name takes over the address of one that is gone.
    pub fn replace(&mut self, node: usize) {
        self.send_event(node, "left");
        self.nodes[node].name = format!("s-{:08x}", 1_000 + node);
        self.send_event(node, "active");
    }

    pub fn write_invalid_config(&self) {
        std::fs::write(self.dir.path().join("posting.json"), "{\"name\":").expect("written");
    }

    pub fn move_feed(&mut self) {
        self.feed = Feed {
            listener: listener(),
            streams: Vec::new(),
        };
        self.write_config();
    }

    /// Writes the configuration anew, with the events sent so far.
    pub fn rewrite_config(&self) {
        self.write_config();
    }

    /// An event that is sent to nobody: it is in the next configuration file alone.
    pub fn skip_event(&mut self) {
        self.told += 1;
    }

    pub fn signal(&self, signal: Signal) {
        self.signals.try_send(Ok(signal)).expect("it runs");
    }

    pub fn ended(&mut self) -> bool {
        self.runs.take().is_some_and(|runs| runs.join().is_ok())
    }
}

impl Feed {
    /// The dispatcher's next connection, which is not answered.
    pub fn accept(&self) -> TcpStream {
        wait_for(|| accept(&self.listener))
    }

    /// The dispatcher's next connection, answered with a stream: the last event that it knows.
    pub fn accept_and_stream(&mut self) -> u64 {
        let mut stream = wait_for(|| accept(&self.listener));
        let mut head = BufReader::new(stream.try_clone().expect("cloned"));
        let mut last = None;
        loop {
            let mut line = String::new();
            head.read_line(&mut line).expect("a head");
            if let Some(id) = line.to_ascii_lowercase().strip_prefix("last-event-id:") {
                last = id.trim().parse().ok();
            }
            if line.trim().is_empty() {
                break;
            }
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n")
            .expect("written");
        let mut alive = stream.try_clone().expect("cloned");
        std::thread::spawn(move || {
            while alive.write_all(b": alive\n").is_ok() {
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        self.streams.push(stream);
        last.expect("the last event is told")
    }
}

impl Node {
    pub fn accept_connection(&mut self) -> NodeConnection {
        let listener = self.listener.as_ref().expect("it listens");
        NodeConnection::new(wait_for(|| accept(listener)))
    }

    /// Answers each set-up on every connection from here on.
    pub fn answer_set_ups(&mut self, with: impl Fn(u64) -> node::Message + Clone + Send + 'static) {
        let listener = self.listener.take().expect("it listens");
        std::thread::spawn(move || {
            listener.set_nonblocking(false).expect("a socket option");
            for stream in listener.incoming().map_while(Result::ok) {
                let (mut connection, with) = (NodeConnection::new(stream), with.clone());
                std::thread::spawn(move || {
                    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
                    while let Ok(count @ 1..) = connection.stream.read(&mut bytes) {
                        connection.reader.push(&bytes[..count]);
                        while let Ok(Some(message)) = connection.reader.next_message() {
                            let open = (message.message_type == node::MessageType::Open)
                                .then_some(message.task_id)
                                .flatten();
                            let line = open.and_then(|task| with(task).to_line());
                            if line.is_some_and(|line| connection.stream.write_all(&line).is_err())
                            {
                                return;
                            }
                        }
                    }
                });
            }
        });
    }

    pub fn stop_listening(&mut self) {
        self.listener = None;
    }

    /// Connections to it are not established, and nobody says why: the system's backlog is full.
    /// What is returned holds it.
    pub fn hold_connections(&mut self) -> Vec<TcpStream> {
        let listener = self.listener.as_ref().expect("it listens");
        rustix::net::listen(listener, 0).expect("a smaller backlog");
        let read_more = std::iter::repeat_with(|| {
            TcpStream::connect_timeout(&self.address, Duration::from_millis(200))
        });
        read_more.map_while(Result::ok).collect()
    }

    /// Connections are established again.
    pub fn take_connections(&mut self) {
        let listener = self.listener.as_ref().expect("it listens");
        rustix::net::listen(listener, 128).expect("a larger backlog");
        while accept(listener).is_some() {}
    }
}

/// A node's answer with this description.
pub fn ready(task: u64, description: &str) -> node::Message {
    node::Message {
        text: Some(description.into()),
        ..node::Message::new(node::MessageType::Ready, task)
    }
}

/// A node's end of a connection.
pub struct NodeConnection {
    stream: TcpStream,
    reader: node::Reader,
}

impl NodeConnection {
    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a socket option");
        NodeConnection {
            stream,
            reader: node::Reader::default(),
        }
    }

    pub fn receive(&mut self) -> node::Message {
        loop {
            if let Some(message) = self.reader.next_message().expect("sound") {
                return message;
            }
            self.reader.push(&read_more(&mut self.stream));
        }
    }

    /// Nothing arrives for this time.
    pub fn silent_for(&mut self, time: Duration) -> bool {
        silent_for(&mut self.stream, time)
    }

    /// The dispatcher has closed its side.
    pub fn is_closed(&mut self) -> bool {
        self.stream.read(&mut [0; 64]).expect("words or an end") == 0
    }

    pub fn send(&mut self, message: node::Message) {
        self.send_bytes(&message.to_line().expect("short"));
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }
}

fn silent_for(stream: &mut TcpStream, time: Duration) -> bool {
    stream
        .set_read_timeout(Some(time))
        .expect("a socket option");
    let silent =
        matches!(stream.read(&mut [0; 64]), Err(why) if why.kind() == ErrorKind::WouldBlock);
    stream
        .set_read_timeout(Some(PATIENCE))
        .expect("a socket option");
    silent
}

fn read_more(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
    let count = stream.read(&mut bytes).expect("a message");
    assert!(count > 0, "closed");
    bytes.truncate(count);
    bytes
}

pub struct TestClient {
    stream: TcpStream,
    reader: client::Reader,
}

impl TestClient {
    /// A valid set-up but for the parameters given.
    pub fn send_set_up(&mut self, task: u64, others: &[(u8, &[u8])]) {
        let sound: [(u8, &[u8]); 6] = [
            (CLASS, b"batch"),
            (TIME_LEFT, b"6000"),
            (TENANT, b"acme"),
            (TASK_NAME, b"7f3a9c21e0b4d655"),
            (REQUIREMENTS, FIGURES.as_bytes()),
            (DESCRIPTION, b"what\r\n"),
        ];
        let other = |code| {
            others
                .iter()
                .find(|(other, _)| *other == code)
                .map(|(_, value)| *value)
        };
        let parameters: Vec<(u8, &[u8])> = sound
            .iter()
            .map(|&(code, value)| (code, other(code).unwrap_or(value)))
            .collect();
        self.send(MessageType::SetUp, task, &parameters);
    }

    /// Sends a set-up to a peer that may have closed; false where it could not be sent.
    pub fn try_set_up(&mut self, task: u64) -> bool {
        let sound: [(u8, &[u8]); 4] = [
            (CLASS, b"batch"),
            (TIME_LEFT, b"6000"),
            (TASK_NAME, b"a"),
            (REQUIREMENTS, FIGURES.as_bytes()),
        ];
        self.stream
            .write_all(&client::encode(MessageType::SetUp, task, &sound).expect("short"))
            .is_ok()
    }

    pub fn send(&mut self, kind: MessageType, task: u64, parameters: &[(u8, &[u8])]) {
        self.send_bytes(&client::encode(kind, task, parameters).expect("short"));
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    pub fn receive(&mut self) -> client::Message {
        loop {
            if let Some(message) = self.reader.next_message().expect("sound") {
                return message;
            }
            self.reader.push(&read_more(&mut self.stream));
        }
    }

    /// Closed by the other side, in whatever way.
    pub fn is_closed(&mut self) -> bool {
        let mut bytes = [0; 64];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(why) => return why.kind() == ErrorKind::ConnectionReset,
            }
        }
    }

    pub fn silent_for(&mut self, time: Duration) -> bool {
        silent_for(&mut self.stream, time)
    }
}
