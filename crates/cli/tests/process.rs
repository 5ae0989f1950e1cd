//! Runs the program as a process: under a real limit on file descriptors, and from its start until
//! a signal stops it.

use corkspan_platform_wire::client::{self, MessageType};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
const SETTINGS: &str = r#"{"classes":[{"effect":"pure","name":"batch","on-time-us":600000,"deadline-us":6000000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],
"class-most":[2],"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],
"spread-by":["silent"],"view":false,"young-limit":29.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":false},
"locality":0,"me":0,"penalties":{},"rules":{"ask-every-us":10000000,"cold-us":14000000,"fall-us":1000000},
"skus":["std"],"zones":["east"]}"#;

struct Program {
    child: Child,
    address: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Program {
    /// Starts the program with a limit on descriptors, both in its configuration and as the limit
    /// of the process.
    fn start(limit: usize, feed: SocketAddr, nodes: usize, node: SocketAddr) -> Program {
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("node.json");
        let members: Vec<String> = (1..=nodes)
            .map(|number| {
                format!(
                    r#"{{"id":"s-{number}","host_port":"{node}","locality":"east","flavor":"std","phase":"active"}}"#
                )
            })
            .collect();
        let members = members.join(",");
        let known = format!(
            r#"{{"n":1,"events":[{{"n":1,"members":{{"complete":true,"members":[{members}]}}}}]}}"#
        );
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f","limits":{{"sockets":{limit}}},"feed":"{feed}",
            "known":{known},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&path, config).expect("written");
        let mut child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "ulimit -n {limit}; exec {} platform",
                env!("CARGO_BIN_EXE_corkspan")
            ))
            .env("NODE_CONFIG", &path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            assert!(log.read_line(&mut line).expect("text") > 0, "it listens");
        }
        let address = line.split("address=").nth(1).expect("an address");
        let address = address
            .trim()
            .trim_end_matches("\u{1b}[0m")
            .parse()
            .expect("an address");
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Program {
            child,
            address,
            _dir: dir,
        }
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("the program runs")
            .count()
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        stream
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a socket option");
    let start = Instant::now();
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("a socket option");
            stream
                .set_read_timeout(Some(TIMEOUT))
                .expect("a socket option");
            return stream;
        }
        assert!(start.elapsed() < TIMEOUT, "no connection arrived");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against idle clients that use all descriptors. Discovery is down while many clients, each
/// of which has sent one valid message, hold all the connections that they can get.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_lock_out_discovery_nodes_or_clients() {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let (node, discovery) = (listener(), listener());
    let feed = discovery.local_addr().expect("bound");
    drop(discovery);
    let program = Program::start(48, feed, 1, node.local_addr().expect("bound"));
    let health_check =
        client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]).expect("short");
    let mut idle_clients = Vec::new();
    for _ in 0..60 {
        let mut idle = program.connect();
        idle.write_all(&health_check).expect("written");
        assert!(idle.read(&mut [0; 64]).expect("an answer") > 0);
        assert!(program.descriptors() <= 48);
        idle_clients.push(idle);
    }
    let mut client = program.connect();
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
    ];
    client
        .write_all(&client::encode(MessageType::SetUp, 7, &parameters).expect("short"))
        .expect("written");
    let mut connection = accept(&node);
    assert!(connection.read(&mut [0; 1_024]).expect("a set-up") > 0);
    // Discovery is back while the idle clients are still connected.
    let discovery = TcpListener::bind(feed).expect("its address is free");
    let mut discovery_connection = accept(&discovery);
    let mut request = [0; 1_024];
    let count = discovery_connection.read(&mut request).expect("a request");
    assert!(String::from_utf8_lossy(&request[..count]).starts_with("GET /v1/events"));
    assert!(program.descriptors() <= 48);
}

/// The load balancer adds a dispatcher once it has passed a health check. Discovery is down, and
/// the start must not wait for it.
#[test]
fn a_start_with_hundreds_of_nodes_is_ready_within_ten_seconds_and_stops_on_a_signal() {
    let listener = || TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let (node, discovery) = (listener(), listener());
    let feed = discovery.local_addr().expect("bound");
    drop(discovery);
    let start = Instant::now();
    let mut program = Program::start(256, feed, 400, node.local_addr().expect("bound"));
    let health_check =
        client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]).expect("short");
    let mut load_balancer = program.connect();
    load_balancer.write_all(&health_check).expect("written");
    assert!(load_balancer.read(&mut [0; 64]).expect("an answer") > 0);
    assert!(
        start.elapsed() < Duration::from_secs(10),
        "{:?}",
        start.elapsed()
    );
    let signalled = Instant::now();
    let kill = Command::new("kill")
        .args(["-TERM", &program.child.id().to_string()])
        .status();
    assert!(kill.expect("kill started").success());
    assert!(program.child.wait().expect("it ends").success());
    assert!(
        signalled.elapsed() < Duration::from_millis(3_700),
        "{:?}",
        signalled.elapsed()
    );
}
