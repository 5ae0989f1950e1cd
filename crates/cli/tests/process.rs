//! Runs the program as a process: under a real limit on file descriptors, and from its start until
//! a signal stops it.

mod program;

use corkspan_platform_wire::client::{self, MessageType};
use program::{Limits, Program, TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

const MEMORY_MB: usize = 64;

fn descriptors(program: &Program) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))
        .expect("the program runs")
        .count()
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
    let program = Program::start(
        Limits {
            sockets: 48,
            memory_mb: MEMORY_MB,
        },
        feed,
        1,
        node.local_addr().expect("bound"),
        &[],
    );
    let health_check =
        client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]).expect("short");
    let mut idle_clients = Vec::new();
    for _ in 0..60 {
        let mut idle = program.connect();
        idle.write_all(&health_check).expect("written");
        assert!(idle.read(&mut [0; 64]).expect("an answer") > 0);
        assert!(descriptors(&program) <= 48);
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
    assert!(descriptors(&program) <= 48);
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
    let mut program = Program::start(
        Limits {
            sockets: 256,
            memory_mb: MEMORY_MB,
        },
        feed,
        400,
        node.local_addr().expect("bound"),
        &[],
    );
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
