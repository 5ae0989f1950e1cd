//! Runs the program as a process, and lets clients make it hold as much as they can. The platform
//! ends a dispatcher that needs more memory than its configuration allows.

mod memory_use;
mod node;
mod program;

use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::{self, MessageType};
use memory_use::{BYTES_PER_MB, allocated_bytes};
use node::OtherSetUps;
use program::{Limits, Program};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use test_case::test_case;

/// The least memory and the most descriptors that the platform gives.
const LIMITS: Limits = Limits {
    sockets: 1_024,
    memory_mb: 32,
};
/// Time for which memory is watched once the clients have sent everything that is taken.
const WATCH_TIME: Duration = Duration::from_millis(1_500);
const DESCRIPTION_BYTES: usize = 16_000;
/// What slow writers send a byte at a time, and the time between two bytes.
const SLOW_BYTES: usize = 100;
const SLOW_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which a client goes on sending to a dispatcher that reads nothing more.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Only one test at a time, so that this process has enough descriptors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What clients do to make the dispatcher hold much.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// Few clients send hundreds of large set-ups at once.
    LargeSetUps,
    /// Hundreds of clients send a burst and stop half way through a large message.
    HalfMessages,
    /// Hundreds of clients send a large message, and its last part a byte at a time.
    SlowWriters,
    /// Hundreds of clients send health checks and read no reply.
    UnreadReplies,
    /// Hundreds of clients send messages with as many parameters as fit.
    ManyParameters,
    /// Hundreds of clients send a set-up each with a large idempotency key, and stay.
    LargeKeys,
}

impl Flood {
    fn clients(self) -> usize {
        match self {
            Flood::LargeSetUps => 20,
            _ => 340,
        }
    }

    /// Sends what a client sends.
    fn send(self, client: usize, stream: &mut impl Write) -> std::io::Result<()> {
        let bytes = self.bytes_of_client(client);
        if !matches!(self, Flood::SlowWriters) {
            return stream.write_all(&bytes);
        }
        let (at_once, slowly) = bytes.split_at(bytes.len() - SLOW_BYTES);
        stream.write_all(at_once)?;
        for byte in slowly {
            stream.write_all(std::slice::from_ref(byte))?;
            std::thread::sleep(SLOW_INTERVAL);
        }
        Ok(())
    }

    fn bytes_of_client(self, client: usize) -> Vec<u8> {
        let check = client::encode(MessageType::HealthCheck, 1, &[(client::CAUSE, &[0])]);
        let check = check.expect("a short message");
        let task = |number: usize| (client * 1_000 + number + 1_000) as u64;
        match self {
            Flood::LargeSetUps => (0..250)
                .flat_map(|number| set_up(task(number), &[b'x'; DESCRIPTION_BYTES], b"k"))
                .collect(),
            Flood::HalfMessages => {
                let mut bytes = check.repeat(4_000);
                bytes.extend(
                    &set_up(task(0), &[b'x'; DESCRIPTION_BYTES], b"k")[..DESCRIPTION_BYTES],
                );
                bytes
            }
            Flood::SlowWriters => set_up(task(0), &[b'x'; DESCRIPTION_BYTES], b"k"),
            Flood::UnreadReplies => check.repeat(20_000),
            Flood::ManyParameters => {
                let count = (MAX_MESSAGE_BYTES - 9) / 3;
                let mut bytes = ((9 + 3 * count) as u16).to_be_bytes().to_vec();
                bytes.push(1);
                bytes.extend(task(0).to_be_bytes());
                (0..count).for_each(|code| bytes.extend([code as u8, 0, 0]));
                bytes
            }
            Flood::LargeKeys => set_up(task(0), b"d", &[b'k'; DESCRIPTION_BYTES]),
        }
    }
}

fn set_up(task: u64, description: &[u8], key: &[u8]) -> Vec<u8> {
    let parameters: [(u8, &[u8]); 6] = [
        (client::CLASS, b"batch"),
        (client::TIME_LEFT, b"6000"),
        (client::TASK_NAME, b"a"),
        (client::REQUIREMENTS, b"cores:0.01;memory:0.01;service:a"),
        (client::IDEMPOTENCY_KEY, key),
        (client::DESCRIPTION, description),
    ];
    client::encode(MessageType::SetUp, task, &parameters).expect("a short message")
}

/// Connects another client, and returns whether its set-up is answered.
fn is_served(program: &Program) -> bool {
    let mut stream = program.connect();
    stream
        .write_all(&set_up(7, b"good", b"k"))
        .expect("written");
    let (mut reader, mut bytes) = (client::Reader::default(), [0; 1_024]);
    loop {
        if let Some(message) = reader.next_message().expect("a valid message") {
            return message.message_type == MessageType::Answer;
        }
        match stream.read(&mut bytes).expect("an answer") {
            0 => return false,
            count => reader.push(&bytes[..count]),
        }
    }
}

/// Guards against a dispatcher that is ended because clients make it hold more than its limit on
/// memory, and against a good client that is turned away meanwhile.
#[test_case(Flood::LargeSetUps)]
#[test_case(Flood::HalfMessages)]
#[test_case(Flood::SlowWriters)]
#[test_case(Flood::UnreadReplies)]
#[test_case(Flood::ManyParameters)]
#[test_case(Flood::LargeKeys)]
fn what_clients_make_the_dispatcher_hold_is_bounded(flood: Flood) {
    let _guard = ONE_AT_A_TIME
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let program = node::start_program(LIMITS, OtherSetUps::Ignored);
    let clients: Vec<TcpStream> = (0..flood.clients()).map(|_| program.connect()).collect();
    let mut max_allocated = 0;
    std::thread::scope(|scope| {
        let senders: Vec<_> = clients
            .iter()
            .enumerate()
            .map(|(number, mut stream)| {
                stream
                    .set_write_timeout(Some(WRITE_TIMEOUT))
                    .expect("a socket option");
                scope.spawn(move || flood.send(number, &mut stream))
            })
            .collect();
        let mut sent_at = None;
        while sent_at.is_none_or(|at: Instant| at.elapsed() < WATCH_TIME) {
            max_allocated = max_allocated.max(allocated_bytes(&program.child));
            if sent_at.is_none() && senders.iter().all(|sender| sender.is_finished()) {
                sent_at = Some(Instant::now());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
    eprintln!("{flood:?}: at most {} kB allocated", max_allocated / 1_000);
    assert!(
        max_allocated <= LIMITS.memory_mb * BYTES_PER_MB,
        "{} kB are allocated",
        max_allocated / 1_000
    );
    assert!(is_served(&program), "a good client is not turned away");
    drop(clients);
}
