//! Stand-ins on loopback for all peers of a dispatcher: clients, nodes and the control feed. They
//! speak the platform's published protocol.

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

pub const DEFAULT_REQUIREMENTS: &str = "cores:1;memory:1;service:a";
const TIMEOUT: Duration = Duration::from_secs(20);

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
    thread: Option<JoinHandle<()>>,
    last_event: u64,
    health_checks: bool,
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
        Err(error) if error.kind() == ErrorKind::WouldBlock => None,
        Err(error) => panic!("can't accept: {error}"),
    }
}

/// Polls until there is a result; panics after [`TIMEOUT`].
fn wait_for<T>(mut poll: impl FnMut() -> Option<T>) -> T {
    let since = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(since.elapsed() < TIMEOUT, "timed out without a result");
        std::thread::sleep(Duration::from_millis(2));
    }
}

impl Harness {
    pub fn new(nodes: usize) -> Harness {
        Harness::start(nodes, false, 256)
    }

    /// Starts a dispatcher with or without health checks and with the given limit on descriptors.
    pub fn start(nodes: usize, health_checks: bool, sockets: usize) -> Harness {
        Harness::start_with(
            nodes,
            health_checks,
            sockets,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            &[],
        )
    }

    /// Starts a dispatcher with changed settings: pairs of a text and its replacement.
    pub fn with_settings(nodes: usize, replaced: &[(&str, &str)]) -> Harness {
        Harness::start_with(
            nodes,
            false,
            256,
            SocketAddr::from(([127, 0, 0, 1], 0)),
            replaced,
        )
    }

    pub fn start_with(
        nodes: usize,
        health_checks: bool,
        sockets: usize,
        listen: SocketAddr,
        replaced: &[(&str, &str)],
    ) -> Harness {
        let settings = replaced
            .iter()
            .fold(SETTINGS.to_string(), |settings, (old, new)| {
                assert!(settings.contains(old), "the settings contain {old}");
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
        let (signals, signal_receiver) = async_channel::unbounded();
        let dir = tempfile::tempdir().expect("a temporary directory");
        let (ready, address) = std::sync::mpsc::channel();
        let mut harness = Harness {
            nodes: nodes.collect(),
            feed,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            dir,
            signals,
            thread: None,
            last_event: 1,
            health_checks,
            sockets,
            settings,
            listen,
        };
        harness.write_config();
        let path = harness.dir.path().join("config.json");
        harness.thread = Some(std::thread::spawn(move || {
            let tasks: corkspan_runtime::SharedExecutor = Arc::default();
            let ready = |address| ready.send(address).expect("the harness waits");
            let run =
                corkspan_platform::run(Arc::clone(&tasks), &path, Box::pin(signal_receiver), ready);
            future::block_on(tasks.run(run)).expect("the dispatcher runs without an error");
        }));
        harness.address = address.recv_timeout(TIMEOUT).expect("it listens");
        harness
    }

    fn event_json(&self, only: Option<usize>, phase: &str) -> String {
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
            self.last_event,
            only.is_none(),
            members.join(",")
        )
    }

    fn write_config(&self) {
        let config = format!(
            r#"{{"name":"n0","listen":"{}","seed":"8c1f","limits":{{"sockets":{}}},"feed":"{}",
            "known":{{"n":1,"events":[{}]}},"settings":{}}}"#,
            self.listen,
            self.sockets,
            self.feed.listener.local_addr().expect("bound"),
            self.event_json(None, "active"),
            self.settings
                .replace("PROBES", if self.health_checks { "true" } else { "false" }),
        );
        std::fs::write(self.dir.path().join("config.json"), config).expect("written");
    }

    pub fn connect_client(&self) -> TestClient {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        TestClient {
            stream,
            reader: client::Reader::default(),
        }
    }

    /// Sets up a task that runs on the first node. Returns the connections of its client and its
    /// node.
    pub fn running_task(&mut self, task: u64) -> (TestClient, NodeConnection) {
        let mut client = self.connect_client();
        client.send_set_up(task, &[]);
        let mut connection = self.nodes[0].accept_connection();
        connection.receive();
        connection.send(ready(task, "made"));
        assert_eq!(client.receive().message_type, MessageType::Answer);
        (client, connection)
    }

    /// Sets up a task that runs on the first node, where health checks are allowed. One may arrive
    /// before the set-up, on the same connection or on another. Returns the client's connection and
    /// those of the node, first the one of the set-up.
    pub fn running_task_beside_health_checks(
        &mut self,
        task: u64,
    ) -> (TestClient, Vec<NodeConnection>) {
        let mut client = self.connect_client();
        client.send_set_up(task, &[]);
        let mut connections = vec![self.nodes[0].accept_connection()];
        while connections[0].receive().message_type != node::MessageType::Open {
            connections.insert(0, self.nodes[0].accept_connection());
        }
        connections[0].send(ready(task, "made"));
        assert_eq!(client.receive().message_type, MessageType::Answer);
        (client, connections)
    }

    /// Returns the next connection that any node accepts.
    pub fn accept_connection(&mut self) -> NodeConnection {
        wait_for(|| {
            self.nodes
                .iter()
                .find_map(|node| accept(node.listener.as_ref()?))
                .map(NodeConnection::new)
        })
    }

    /// Sends an event about a node, and waits until the dispatcher must have read it.
    pub fn send_event(&mut self, node: usize, phase: &str) {
        self.last_event += 1;
        let event = format!(
            "id: {}\ndata: {}\n\n",
            self.last_event,
            self.event_json(Some(node), phase)
        );
        if self.feed.streams.is_empty() {
            self.feed.accept_and_stream();
        }
        for stream in &mut self.feed.streams {
            let _ = stream.write_all(event.as_bytes());
        }
        // Loopback keeps no order between connections. Two round trips give the event enough time
        // to arrive.
        for _ in 0..2 {
            let mut client = self.connect_client();
            client.send(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
            assert_eq!(client.receive().message_type, MessageType::HealthCheckReply);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Replaces a node that is gone by one with another name at the same address.
    pub fn replace_node(&mut self, node: usize) {
        self.send_event(node, "left");
        self.nodes[node].name = format!("s-{:08x}", 1_000 + node);
        self.send_event(node, "active");
    }

    pub fn write_invalid_config(&self) {
        std::fs::write(self.dir.path().join("config.json"), "{\"name\":").expect("written");
    }

    pub fn move_feed(&mut self) {
        self.feed = Feed {
            listener: listener(),
            streams: Vec::new(),
        };
        self.write_config();
    }

    /// Rewrites the configuration with the events sent so far.
    pub fn rewrite_config(&self) {
        self.write_config();
    }

    /// Adds an event that is not sent, so that it is only in the next configuration file.
    pub fn skip_event(&mut self) {
        self.last_event += 1;
    }

    pub fn signal(&self, signal: Signal) {
        self.signals.try_send(Ok(signal)).expect("it runs");
    }

    pub fn ends_cleanly(&mut self) -> bool {
        self.thread
            .take()
            .is_some_and(|thread| thread.join().is_ok())
    }
}

impl Feed {
    /// Returns the dispatcher's next connection, unanswered.
    pub fn accept(&self) -> TcpStream {
        wait_for(|| accept(&self.listener))
    }

    /// Accepts the dispatcher's next connection and answers it with an event stream. Returns the
    /// number of the last event that the dispatcher knows.
    pub fn accept_and_stream(&mut self) -> u64 {
        let mut stream = wait_for(|| accept(&self.listener));
        let mut head = BufReader::new(stream.try_clone().expect("cloned"));
        let mut last = None;
        loop {
            let mut line = String::new();
            head.read_line(&mut line).expect("a request head");
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
        let mut heartbeat = stream.try_clone().expect("cloned");
        std::thread::spawn(move || {
            while heartbeat.write_all(b": alive\n").is_ok() {
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        self.streams.push(stream);
        last.expect("the request names the last event")
    }
}

impl Node {
    pub fn accept_connection(&mut self) -> NodeConnection {
        let listener = self.listener.as_ref().expect("it listens");
        NodeConnection::new(wait_for(|| accept(listener)))
    }

    /// Returns the next connection if one has arrived.
    pub fn try_accept_connection(&mut self) -> Option<NodeConnection> {
        let listener = self.listener.as_ref().expect("it listens");
        accept(listener).map(NodeConnection::new)
    }

    /// Answers each set-up on every connection from now on.
    pub fn answer_set_ups(
        &mut self,
        answer: impl Fn(u64) -> node::Message + Clone + Send + 'static,
    ) {
        let listener = self.listener.take().expect("it listens");
        std::thread::spawn(move || {
            listener.set_nonblocking(false).expect("a socket option");
            for stream in listener.incoming().map_while(Result::ok) {
                let (mut connection, answer) = (NodeConnection::new(stream), answer.clone());
                std::thread::spawn(move || {
                    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
                    while let Ok(count @ 1..) = connection.stream.read(&mut bytes) {
                        connection.reader.push(&bytes[..count]);
                        while let Ok(Some(message)) = connection.reader.next_message() {
                            let open = (message.message_type == node::MessageType::Open)
                                .then_some(message.task_id)
                                .flatten();
                            let line = open.and_then(|task| answer(task).to_line());
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

    /// Starts another process of the node at the same address.
    pub fn listen_again(&mut self) {
        self.listener = Some(TcpListener::bind(self.address).expect("the address is free"));
    }

    /// Fills the listener's backlog, so that further connections are neither established nor
    /// refused. The returned streams keep it full.
    pub fn fill_backlog(&mut self) -> Vec<TcpStream> {
        let listener = self.listener.as_ref().expect("it listens");
        rustix::net::listen(listener, 0).expect("a smaller backlog");
        let connections = std::iter::repeat_with(|| {
            TcpStream::connect_timeout(&self.address, Duration::from_millis(200))
        });
        connections.map_while(Result::ok).collect()
    }

    /// Accepts the connections in the backlog and enlarges it, so that new ones are established.
    pub fn clear_backlog(&mut self) {
        let listener = self.listener.as_ref().expect("it listens");
        rustix::net::listen(listener, 128).expect("a larger backlog");
        while accept(listener).is_some() {}
    }
}

/// Returns a node's answer with the given description.
pub fn ready(task: u64, description: &str) -> node::Message {
    node::Message {
        text: Some(description.into()),
        ..node::Message::new(node::MessageType::Ready, task)
    }
}

/// The node's end of a connection.
pub struct NodeConnection {
    stream: TcpStream,
    reader: node::Reader,
}

impl NodeConnection {
    fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        NodeConnection {
            stream,
            reader: node::Reader::default(),
        }
    }

    pub fn receive(&mut self) -> node::Message {
        loop {
            if let Some(message) = self.reader.next_message().expect("a valid message") {
                return message;
            }
            self.reader.push(&read_more(&mut self.stream));
        }
    }

    /// Returns whether nothing arrives for the given time.
    pub fn silent_for(&mut self, time: Duration) -> bool {
        let received = self.reader.next_message().expect("a valid message");
        received.is_none() && silent_for(&mut self.stream, time)
    }

    /// Waits for the next input, and returns whether it is the end of the dispatcher's side.
    pub fn is_closed(&mut self) -> bool {
        self.stream.read(&mut [0; 64]).expect("data or an end") == 0
    }

    pub fn send(&mut self, message: node::Message) {
        self.send_bytes(&message.to_line().expect("a short message"));
    }

    /// Sends a message if the dispatcher has not closed the connection.
    pub fn try_send(&mut self, message: &node::Message) {
        let line = message.to_line().expect("a short message");
        let _ = self.stream.write_all(&line);
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    /// Returns whether something arrives within this time.
    pub fn has_input_within(&self, time: Duration) -> bool {
        self.stream
            .set_read_timeout(Some(time))
            .expect("a socket option");
        let has_input = matches!(self.stream.peek(&mut [0]), Ok(1));
        self.stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        has_input
    }

    /// Closes the connection in both directions.
    pub fn shut_down(&mut self) {
        self.stream
            .shutdown(std::net::Shutdown::Both)
            .expect("shut down");
    }
}

fn silent_for(stream: &mut TcpStream, time: Duration) -> bool {
    stream
        .set_read_timeout(Some(time))
        .expect("a socket option");
    let silent =
        matches!(stream.read(&mut [0; 64]), Err(error) if error.kind() == ErrorKind::WouldBlock);
    stream
        .set_read_timeout(Some(TIMEOUT))
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
    /// Sends a set-up that is valid except for the given parameters.
    pub fn send_set_up(&mut self, task: u64, others: &[(u8, &[u8])]) {
        let defaults: [(u8, &[u8]); 6] = [
            (CLASS, b"batch"),
            (TIME_LEFT, b"6000"),
            (TENANT, b"acme"),
            (TASK_NAME, b"7f3a9c21e0b4d655"),
            (REQUIREMENTS, DEFAULT_REQUIREMENTS.as_bytes()),
            (DESCRIPTION, b"what\r\n"),
        ];
        let other = |code| {
            others
                .iter()
                .find(|(other, _)| *other == code)
                .map(|(_, value)| *value)
        };
        let parameters: Vec<(u8, &[u8])> = defaults
            .iter()
            .map(|&(code, value)| (code, other(code).unwrap_or(value)))
            .collect();
        self.send(MessageType::SetUp, task, &parameters);
    }

    /// Sends a set-up to a peer that may have closed. Returns false if it could not be sent.
    pub fn try_set_up(&mut self, task: u64) -> bool {
        let defaults: [(u8, &[u8]); 4] = [
            (CLASS, b"batch"),
            (TIME_LEFT, b"6000"),
            (TASK_NAME, b"a"),
            (REQUIREMENTS, DEFAULT_REQUIREMENTS.as_bytes()),
        ];
        self.stream
            .write_all(
                &client::encode(MessageType::SetUp, task, &defaults).expect("a short message"),
            )
            .is_ok()
    }

    pub fn send(&mut self, message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) {
        self.send_bytes(&client::encode(message_type, task, parameters).expect("a short message"));
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("written");
    }

    pub fn receive(&mut self) -> client::Message {
        loop {
            if let Some(message) = self.reader.next_message().expect("a valid message") {
                return message;
            }
            self.reader.push(&read_more(&mut self.stream));
        }
    }

    /// Reads until the other side closes. Returns false if that is by an error other than a reset.
    pub fn is_closed(&mut self) -> bool {
        let mut bytes = [0; 64];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == ErrorKind::ConnectionReset,
            }
        }
    }

    pub fn silent_for(&mut self, time: Duration) -> bool {
        let received = self.reader.next_message().expect("a valid message");
        received.is_none() && silent_for(&mut self.stream, time)
    }
}
