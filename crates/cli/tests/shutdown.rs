//! Stops the program while a crowd of clients goes on sending requests until it is gone.

mod program;

use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use program::{Limits, Program};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 1_024,
    memory_mb: 192,
};
const CLIENTS: u64 = 100;
/// Time for which the clients send before the program is stopped.
const BEFORE_STOP: Duration = Duration::from_millis(200);
/// A request that crosses the close of a resting connection within this time is sent again by its
/// client.
const CROSSING_TIME: Duration = Duration::from_millis(50);
/// The earliest SIGKILL after SIGTERM: 3 s for the longest deadline, which is longer, and 0.7 s.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM for which clients open connections: 0.4 s, and 0.2 s for requests that find no
/// open one.
const NEW_CONNECTIONS_FOR: Duration = Duration::from_millis(600);

/// On which connections a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connections {
    /// All requests on one.
    Open,
    /// Each request on a new one.
    New,
}

fn request(task: u64) -> Vec<u8> {
    let parameters: [(u8, &[u8]); 4] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"300"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:1;memory:1;service:a"),
    ];
    client::encode(MessageType::SetUp, task, &parameters).expect("a short message")
}

/// Sends requests until the program is gone, on new connections until `last_connection`. Returns those that were written and not answered,
/// unless they have crossed the close.
fn send_until_gone(
    address: SocketAddr,
    connections: Connections,
    number: u64,
    last_connection: Instant,
) -> Vec<u64> {
    let mut unanswered = Vec::new();
    let mut stream = None;
    for task in number << 32.. {
        if connections == Connections::New {
            stream = None;
        }
        if stream.is_none() && Instant::now() > last_connection {
            break;
        }
        let mut open = match stream
            .take()
            .map_or_else(|| TcpStream::connect(address), Ok)
        {
            Ok(open) => open,
            Err(_) => break,
        };
        let sent_at = Instant::now();
        if open.write_all(&request(task)).is_err() {
            continue;
        }
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        match open.read(&mut bytes) {
            Ok(1..) => stream = Some(open),
            _ if sent_at.elapsed() > CROSSING_TIME => unanswered.push(task),
            _ if connections == Connections::New => unanswered.push(task),
            _ => {}
        }
    }
    unanswered
}

/// Guards against requests that are taken, and neither answered nor rejected, when the program stops:
/// unread ones, and those on connections that only the system has accepted.
#[test_case(Connections::Open)]
#[test_case(Connections::New)]
fn each_request_of_a_crowd_is_answered_until_the_program_is_gone(connections: Connections) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
    let unused = listener.local_addr().expect("bound");
    drop(listener);
    let mut program = Program::start(LIMITS, unused, 1, unused, &[]);
    let address = program.connect().peer_addr().expect("connected");
    let last_connection = Instant::now() + BEFORE_STOP + NEW_CONNECTIONS_FOR;
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|number| {
            std::thread::spawn(move || {
                send_until_gone(address, connections, number, last_connection)
            })
        })
        .collect();
    std::thread::sleep(BEFORE_STOP);
    let stopped_at = Instant::now();
    let kill = Command::new("kill")
        .args(["-TERM", &program.child.id().to_string()])
        .status();
    assert!(kill.expect("kill started").success());
    let ended = loop {
        let ended = program.child.try_wait().expect("a child");
        if ended.is_some() || stopped_at.elapsed() > KILLED_AFTER {
            break ended;
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    let unanswered: Vec<u64> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no panic"))
        .collect();
    assert_eq!(unanswered, Vec::<u64>::new(), "not answered");
}
