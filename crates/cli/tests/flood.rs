//! Runs the program as a process, and lets one client send small or unsound requests at full speed.
//! Another client must get its answers on time meanwhile.

mod memory_use;
mod node;
mod program;

use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use memory_use::{BYTES_PER_MB, allocated_bytes};
use node::OtherSetUps;
use program::{Limits, Program, TIMEOUT};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use test_case::test_case;

const LIMITS: Limits = Limits {
    sockets: 256,
    memory_mb: 32,
};
/// Number of requests of the good client, and the time between two of them.
const REQUESTS: u64 = 30;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which an answer is on time: `on-time-us` of the settings.
const ON_TIME: Duration = Duration::from_millis(600);
/// Number of requests that the flooding client writes at once.
const REQUESTS_AT_ONCE: u64 = 64;

/// Only one test at a time, so that the floods do not slow each other down.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What a client sends at full speed, each request under a new id.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Set-ups of new tasks of new services.
    SetUps,
    /// Set-ups that are given up at once.
    GivenUp,
    /// Set-ups of a class that does not exist.
    UnknownClasses,
    /// Set-ups that no machine can hold.
    TooLarge,
    /// Tasks that are said to run already, on a node that runs no such task.
    HandedOver,
    /// Releases of tasks that do not exist.
    Releases,
    HealthChecks,
}

impl Flood {
    fn request(self, number: u64) -> Vec<u8> {
        let task = 0xbad << 52 | number;
        match self {
            Flood::SetUps => set_up(task, "batch", "0.001", "bad", ""),
            Flood::GivenUp => {
                let mut bytes = set_up(task, "batch", "1", "bad", "");
                bytes.extend(message(
                    MessageType::Release,
                    task,
                    &[(client::CAUSE, &[16])],
                ));
                bytes
            }
            Flood::UnknownClasses => set_up(task, &format!("class-{number}"), "1", "bad", ""),
            Flood::TooLarge => set_up(task, "batch", "1000000", "bad", ""),
            Flood::HandedOver => set_up(task, "batch", "0.001", "bad", ";at:s-1"),
            Flood::Releases => message(MessageType::Release, task, &[(client::CAUSE, &[16])]),
            Flood::HealthChecks => {
                message(MessageType::HealthCheck, task, &[(client::CAUSE, &[0])])
            }
        }
    }
}

fn message(message_type: MessageType, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    client::encode(message_type, task, parameters).expect("a short message")
}

/// Returns a set-up whose names of task and service are new.
fn set_up(task: u64, class: &str, cores: &str, description: &str, requirements: &str) -> Vec<u8> {
    let name = format!("{task:016x}");
    let requirements = format!("cores:{cores};memory:0.01;service:{name}{requirements}");
    let parameters: [(u8, &[u8]); 5] = [
        (client::CLASS, class.as_bytes()),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, name.as_bytes()),
        (client::REQUIREMENTS, requirements.as_bytes()),
        (client::DESCRIPTION, description.as_bytes()),
    ];
    message(MessageType::SetUp, task, &parameters)
}

/// Sends requests at full speed and reads what is sent back, until `stop` is set. Connects again if
/// the dispatcher closes the connection. Returns the number of requests.
fn flood(program: &Program, kind: Flood, client: u64, stop: &AtomicBool) -> u64 {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut stream = program.connect();
        stream.set_write_timeout(Some(ON_TIME)).expect("an option");
        let mut input = stream.try_clone().expect("cloned");
        let reads = std::thread::spawn(move || {
            let mut bytes = vec![0; MAX_MESSAGE_BYTES];
            while let Ok(1..) = input.read(&mut bytes) {}
        });
        while !stop.load(Ordering::Relaxed) {
            let first = number;
            number += REQUESTS_AT_ONCE;
            let bytes: Vec<u8> = (first..number)
                .flat_map(|number| kind.request(client << 40 | number))
                .collect();
            if stream.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        reads.join().expect("no panic");
    }
    number
}

/// Sends a set-up and returns the time until its answer.
fn time_to_answer(stream: &mut TcpStream, reader: &mut client::Reader, task: u64) -> Duration {
    let sent_at = Instant::now();
    stream
        .write_all(&set_up(task, "batch", "0.001", "good", ""))
        .expect("written");
    let mut bytes = [0; 1_024];
    loop {
        if let Some(message) = reader.next_message().expect("a valid message") {
            assert_eq!(message.message_type, MessageType::Answer, "it is placed");
            return sent_at.elapsed();
        }
        let count = stream.read(&mut bytes).expect("an answer");
        assert!(count > 0, "the good client is not turned away");
        reader.push(&bytes[..count]);
    }
}

/// Guards against a client that takes up the dispatcher, so that another gets its answers late or
/// never, and against memory that grows with the requests of that client.
#[test_case(Flood::SetUps)]
#[test_case(Flood::GivenUp)]
#[test_case(Flood::UnknownClasses)]
#[test_case(Flood::TooLarge)]
#[test_case(Flood::HandedOver)]
#[test_case(Flood::Releases)]
#[test_case(Flood::HealthChecks)]
fn a_flood_on_one_connection_delays_no_other_client(kind: Flood) {
    assert_no_other_client_is_delayed(kind, 1);
}

/// The same with many connections, each with hundreds of open set-ups.
#[test_case(Flood::SetUps)]
#[test_case(Flood::GivenUp)]
fn a_flood_on_many_connections_delays_no_other_client(kind: Flood) {
    assert_no_other_client_is_delayed(kind, 20);
}

fn assert_no_other_client_is_delayed(kind: Flood, connections: u64) {
    let _guard = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let program = node::start_program(LIMITS, OtherSetUps::Failed);
    let stop = AtomicBool::new(false);
    let (mut latest, mut max_allocated) = (Duration::ZERO, 0);
    let sent = std::thread::scope(|scope| {
        let (program, stop) = (&program, &stop);
        let flooding: Vec<_> = (0..connections)
            .map(|client| scope.spawn(move || flood(program, kind, client, stop)))
            .collect();
        let measured = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let (mut good, mut reader) = (program.connect(), client::Reader::default());
            good.set_read_timeout(Some(TIMEOUT)).expect("an option");
            for task in 1..=REQUESTS {
                std::thread::sleep(REQUEST_INTERVAL);
                latest = latest.max(time_to_answer(&mut good, &mut reader, task));
                max_allocated = max_allocated.max(allocated_bytes(&program.child));
            }
        }));
        stop.store(true, Ordering::Relaxed);
        let sent: u64 = flooding
            .into_iter()
            .map(|client| client.join().expect("no panic"))
            .sum();
        measured.unwrap_or_else(|panic| std::panic::resume_unwind(panic));
        sent
    });
    eprintln!(
        "{kind:?}: {sent} requests, the latest answer after {latest:?}, at most {} kB",
        max_allocated / 1_000
    );
    assert!(latest <= ON_TIME, "an answer came after {latest:?}");
    assert!(
        max_allocated <= LIMITS.memory_mb * BYTES_PER_MB,
        "{max_allocated} bytes are allocated"
    );
}
