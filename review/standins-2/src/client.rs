//! A client on the platform's protocol: binary messages, as PROTOCOL describes them.

use crate::record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

pub const SET_UP: u8 = 1;
pub const ANSWER: u8 = 9;
pub const RELEASE: u8 = 12;
pub const MOVE: u8 = 51;
pub const TEST: u8 = 52;
pub const TESTED: u8 = 53;

/// A message of the dispatcher, and when it arrived.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Duration,
    pub kind: u8,
    pub task: u64,
    pub cause: Option<u8>,
    pub text: Option<String>,
}

#[derive(Default)]
struct Inbox {
    messages: Vec<Received>,
    closed_at: Option<Duration>,
}

/// A connection of a client. Dropping it leaves it open until the process ends.
pub struct Client {
    pub name: String,
    stream: TcpStream,
    inbox: Arc<(Mutex<Inbox>, Condvar)>,
}

/// What a set-up says.
#[derive(Clone)]
pub struct SetUp<'a> {
    pub task: u64,
    /// The name of the task, the same for all its set-ups.
    pub name: String,
    pub class: &'a str,
    pub left_ms: u64,
    pub tenant: &'a str,
    /// Whether the owner has asked for the task before.
    pub again: bool,
    pub needs: String,
    pub text: String,
}

impl<'a> SetUp<'a> {
    pub fn new(task: u64, class: &'a str, left_ms: u64) -> SetUp<'a> {
        SetUp {
            task,
            name: format!("{:016x}", task ^ 0x5a5a),
            class,
            left_ms,
            tenant: "acme",
            again: false,
            needs: "cores:1;memory:2;service:00000000b4d65521".into(),
            text: format!("{task:016x}\r\nc=IN IP4 127.0.0.1\r\n"),
        }
    }
}

/// Encodes a message.
pub fn encode(kind: u8, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(task.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

pub fn encode_set_up(set_up: &SetUp) -> Vec<u8> {
    let left = set_up.left_ms.to_string();
    let mut parameters: Vec<(u8, &[u8])> = vec![
        (180, set_up.class.as_bytes()),
        (182, left.as_bytes()),
        (184, set_up.tenant.as_bytes()),
        (188, set_up.name.as_bytes()),
        (190, set_up.needs.as_bytes()),
    ];
    if set_up.again {
        parameters.push((186, b"1"));
    }
    parameters.push((210, set_up.text.as_bytes()));
    encode(SET_UP, set_up.task, &parameters)
}

fn decode(frame: &[u8]) -> Option<Received> {
    let (&kind, rest) = frame.split_first()?;
    let task = u64::from_be_bytes(rest.get(..8)?.try_into().ok()?);
    let (mut rest, mut cause, mut text) = (&rest[8..], None, None);
    while let [code, high, low, after @ ..] = rest {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = after.get(..length)?;
        match code {
            208 => cause = value.first().copied(),
            210 => text = Some(String::from_utf8_lossy(value).into_owned()),
            _ => {}
        }
        rest = &after[length..];
    }
    Some(Received {
        at: record::elapsed(),
        kind,
        task,
        cause,
        text,
    })
}

fn read_all(name: &str, mut stream: TcpStream, inbox: &(Mutex<Inbox>, Condvar)) {
    let mut head = [0; 2];
    while stream.read_exact(&mut head).is_ok() {
        let mut frame = vec![0; usize::from(u16::from_be_bytes(head))];
        if stream.read_exact(&mut frame).is_err() {
            break;
        }
        let Some(message) = decode(&frame) else { break };
        let what = match message.kind {
            ANSWER => "answer",
            RELEASE => "release",
            MOVE => "move",
            TESTED => "tested",
            _ => "message",
        };
        record::line(&format!(
            "{name} <- dispatcher: {what} {:016x} cause {:?} {}",
            message.task,
            message.cause,
            message
                .text
                .as_deref()
                .unwrap_or("")
                .escape_debug()
                .to_string()
                .get(..40)
                .unwrap_or(""),
        ));
        inbox.0.lock().expect("no panic").messages.push(message);
        inbox.1.notify_all();
    }
    record::line(&format!("{name}: the connection has ended"));
    inbox.0.lock().expect("no panic").closed_at = Some(record::elapsed());
    inbox.1.notify_all();
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_secs(3)))?;
        record::line(&format!("{name}: connected"));
        let inbox = Arc::new((Mutex::new(Inbox::default()), Condvar::new()));
        let (thread_inbox, thread_name) = (Arc::clone(&inbox), name.to_string());
        let input = stream.try_clone()?;
        std::thread::spawn(move || read_all(&thread_name, input, &thread_inbox));
        Ok(Client {
            name: name.into(),
            stream,
            inbox,
        })
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    pub fn set_up(&self, set_up: &SetUp) -> bool {
        record::line(&format!(
            "{} -> dispatcher: set-up {:016x} class {} left {} ms, {}",
            self.name, set_up.task, set_up.class, set_up.left_ms, set_up.needs
        ));
        self.write(&encode_set_up(set_up))
    }

    /// Sends a test, and waits until it is passed.
    pub fn test(&self, id: u64) -> bool {
        self.write(&encode(TEST, id, &[(208, &[0])]));
        let passed = |message: &Received| message.kind == TESTED && message.task == id;
        self.wait(Duration::from_secs(5), passed).is_some()
    }

    /// Returns the first message that fits, as soon as it has arrived.
    pub fn wait(&self, within: Duration, fits: impl Fn(&Received) -> bool) -> Option<Received> {
        let until = Instant::now() + within;
        let mut inbox = self.inbox.0.lock().expect("no panic");
        loop {
            if let Some(found) = inbox.messages.iter().find(|message| fits(message)) {
                return Some(found.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || inbox.closed_at.is_some() {
                return None;
            }
            inbox = self.inbox.1.wait_timeout(inbox, left).expect("no panic").0;
        }
    }

    /// Returns the answer or release of a task.
    pub fn reply(&self, task: u64, within: Duration) -> Option<Received> {
        self.wait(within, |message| {
            message.task == task && matches!(message.kind, ANSWER | RELEASE)
        })
    }

    pub fn received(&self) -> Vec<Received> {
        self.inbox.0.lock().expect("no panic").messages.clone()
    }

    pub fn closed_at(&self) -> Option<Duration> {
        self.inbox.0.lock().expect("no panic").closed_at
    }
}
