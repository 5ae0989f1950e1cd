//! A node as a stand-in: it takes offers, holds tasks, reports on them and ends.

use crate::world::{Record, Tasks, give_up, lock};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CAUSE_NORMAL: u64 = 16;
const CAUSE_CANCELLED: u64 = 31;

/// A connection at a node.
struct Connection {
    stream: TcpStream,
    /// Its answers arrive spoilt from now on: it stays open and is of no more use.
    spoilt: bool,
}

#[derive(Clone)]
struct Held {
    connection: u64,
    ends_at: u64,
    next_note: u64,
}

#[derive(Default)]
pub struct NodeState {
    connections: BTreeMap<u64, Connection>,
    held: BTreeMap<u64, Held>,
    /// Releases that go out again on the next connection that is opened.
    again: Vec<(u64, u64)>,
    /// The machine has vanished: nothing is read, written or run.
    vanished: bool,
    /// The process is not running.
    stopped: bool,
    incarnation: u64,
    blockers: Vec<TcpStream>,
}

pub struct Node {
    pub index: usize,
    pub name: String,
    pub address: SocketAddr,
    pub zone: usize,
    pub cell: usize,
    pub kind: usize,
    pub listener: Mutex<Option<Arc<TcpListener>>>,
    pub state: Mutex<NodeState>,
    pub next_connection: AtomicU64,
    pub record: Arc<Record>,
    pub tasks: Tasks,
    /// Spoils the next answer on a connection that another task was set up on, while the node has
    /// a second connection. Set by the case.
    pub spoil_next: Arc<AtomicBool>,
    /// The task that ends on the spoilt connection.
    pub spoilt_task: Arc<Mutex<Option<u64>>>,
    /// Runs the same course without spoiling the answer.
    pub spoil_really: bool,
    pub life_ms: u64,
    pub reports: bool,
}

impl Node {
    fn line(&self, text: &str) {
        self.record.line(&format!("node {} {text}", self.name));
    }

    fn send(&self, state: &mut NodeState, connection: u64, message: &Value) -> bool {
        let Some(entry) = state.connections.get_mut(&connection) else {
            return false;
        };
        // Nothing more arrives on a connection that an answer was spoilt on.
        if entry.spoilt {
            return false;
        }
        let mut line = message.to_string();
        line.push('\n');
        entry.stream.write_all(line.as_bytes()).is_ok()
    }

    /// A node sends what concerns a task on the connection of its set-up, otherwise on any open
    /// one, and its release also on the next one opened.
    fn connection_of(&self, state: &NodeState, held: &Held) -> Option<u64> {
        if state.connections.contains_key(&held.connection) {
            return Some(held.connection);
        }
        state.connections.keys().next_back().copied()
    }

    fn load(&self, state: &NodeState) -> Value {
        match self.reports {
            true => {
                json!({ "load": format!("x0:{};x1:{}", 30 - state.held.len().min(29) as i64, 50) })
            }
            false => json!({}),
        }
    }

    fn release(&self, state: &mut NodeState, sid: u64, cause: u64, how: &'static str) {
        let Some(held) = state.held.remove(&sid) else {
            return;
        };
        let message = json!({"msg": "close", "sid": format!("{sid:016x}"), "attrs": self.load(state), "code": cause});
        // The end comes before the word of it.
        if let Some(task) = lock(&self.tasks).get_mut(&sid) {
            task.ended_at = Some(self.record.now());
            task.how = how;
        }
        let connection = self.connection_of(state, &held);
        let written = connection.is_some_and(|connection| self.send(state, connection, &message));
        state.again.push((sid, cause));
        if let Some(task) = lock(&self.tasks).get_mut(&sid) {
            task.release_written = written;
        }
        self.line(&format!(
            "ends {sid:016x}, {how}, release {cause} on connection {connection:?}, of use: {written}"
        ));
    }

    /// The owner ends the task, or it was moved: the platform stops it at its node.
    pub fn stop_moved(&self, sid: u64) {
        let mut state = lock(&self.state);
        if !state.vanished && !state.stopped {
            self.release(&mut state, sid, CAUSE_CANCELLED, "moved");
        }
    }

    pub fn standing(&self) -> usize {
        lock(&self.state).held.len()
    }

    fn handle(&self, connection: u64, incarnation: u64, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            self.line(&format!("can't read {line}"));
            return;
        };
        let sid = message["sid"]
            .as_str()
            .and_then(|sid| u64::from_str_radix(sid, 16).ok());
        let Some(sid) = sid else { return };
        let mut state = lock(&self.state);
        if state.vanished || state.stopped || state.incarnation != incarnation {
            return;
        }
        match message["msg"].as_str().unwrap_or("") {
            "open" => {
                self.line(&format!("open {sid:016x} on connection {connection}"));
                drop(state);
                // A node looks at an offer for 9 to 38 ms.
                thread::sleep(Duration::from_millis(15));
                let mut state = lock(&self.state);
                if state.vanished
                    || state.incarnation != incarnation
                    || !state.connections.contains_key(&connection)
                {
                    return;
                }
                self.answer(&mut state, connection, sid);
            }
            "close" => {
                let stood = state.held.remove(&sid).is_some();
                self.line(&format!("is told to end {sid:016x}, it stood: {stood}"));
                if let Some(task) = lock(&self.tasks).get_mut(&sid).filter(|_| stood) {
                    task.ended_at = Some(self.record.now());
                    task.how = "ended by the dispatcher";
                }
                let closed = json!({"msg": "closed", "sid": format!("{sid:016x}"), "attrs": {}});
                self.send(&mut state, connection, &closed);
            }
            "probe" => {
                let attrs = self.load(&state);
                let probed = json!({"msg": "probed", "sid": format!("{sid:016x}"), "attrs": attrs, "code": 1});
                self.send(&mut state, connection, &probed);
            }
            _ => {}
        }
    }

    /// Accepts an offer: the task stands.
    fn answer(&self, state: &mut NodeState, connection: u64, sid: u64) {
        let now = self.record.now();
        let others: Vec<u64> = state
            .held
            .iter()
            .filter(|(_, held)| held.connection == connection)
            .map(|(&sid, _)| sid)
            .collect();
        let chosen = !others.is_empty()
            && state.connections.len() >= 2
            && self.spoil_next.swap(false, Ordering::Relaxed);
        let ready = json!({"msg": "ready", "sid": format!("{sid:016x}"), "attrs": {},
            "text": format!("{sid:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio {}\r\n", 31_000 + self.index)});
        state.held.insert(
            sid,
            Held {
                connection,
                ends_at: now + self.life_ms,
                next_note: now + 100,
            },
        );
        if let Some(task) = lock(&self.tasks).get_mut(&sid) {
            task.node = Some(self.index);
        }
        if !chosen || !self.spoil_really {
            let written = self.send(state, connection, &ready);
            self.line(&format!(
                "answers {sid:016x} on connection {connection}, written: {written}"
            ));
        }
        if !chosen {
            return;
        }
        if self.spoil_really {
            let text = ready.to_string();
            if let Some(entry) = state.connections.get_mut(&connection) {
                let _ = entry.stream.write_all(&text.as_bytes()[..text.len() / 2]);
                entry.spoilt = true;
            }
            self.line(&format!(
                "SPOILS the answer of {sid:016x}: it stops short, connection {connection} stays open"
            ));
        }
        // Another task of this connection comes to its end 300 ms later.
        if let Some(held) = state.held.get_mut(&others[0]) {
            held.ends_at = now + 300;
        }
        *lock(&self.spoilt_task) = Some(others[0]);
        self.line(&format!(
            "task {:016x}, set up on the same connection, ends in 300 ms",
            others[0]
        ));
    }

    pub fn tick(&self) {
        let now = self.record.now();
        let mut state = lock(&self.state);
        if state.vanished || state.stopped {
            return;
        }
        let due: Vec<u64> = state
            .held
            .iter()
            .filter(|(_, held)| held.ends_at <= now)
            .map(|(&sid, _)| sid)
            .collect();
        for sid in due {
            self.release(&mut state, sid, CAUSE_NORMAL, "came to its end");
        }
        let notes: Vec<(u64, Held)> = state
            .held
            .iter()
            .filter(|(_, held)| held.next_note <= now)
            .map(|(&sid, held)| (sid, held.clone()))
            .collect();
        for (sid, held) in notes {
            let connection = self.connection_of(&state, &held);
            for (note, value) in [("running", 1.0), ("use_cpu", 0.5), ("use_ram", 0.8)] {
                let message = json!({"msg": "event", "sid": format!("{sid:016x}"), "attrs": {"note": note, "value": value}});
                connection.map(|connection| self.send(&mut state, connection, &message));
            }
            if let Some(held) = state.held.get_mut(&sid) {
                held.next_note = now + 1_000;
            }
        }
    }

    /// Starts the node's process, at the same address each time.
    pub fn start(self: &Arc<Self>) {
        let first = lock(&self.listener).take();
        let bound = first.map_or_else(|| TcpListener::bind(self.address).map(Arc::new), Ok);
        let listener =
            bound.unwrap_or_else(|error| give_up(&format!("a node at {}: {error}", self.address)));
        *lock(&self.listener) = Some(Arc::clone(&listener));
        let incarnation = {
            let mut state = lock(&self.state);
            state.incarnation += 1;
            state.stopped = false;
            state.incarnation
        };
        self.line("starts");
        let node = Arc::clone(self);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            loop {
                {
                    let state = lock(&node.state);
                    if state.incarnation != incarnation || state.stopped {
                        return;
                    }
                }
                if lock(&node.state).vanished {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                }
                match listener.accept() {
                    Ok((stream, _)) => node.accepted(stream, incarnation),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn accepted(self: &Arc<Self>, stream: TcpStream, incarnation: u64) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let id = self.next_connection.fetch_add(1, Ordering::Relaxed);
        {
            let mut state = lock(&self.state);
            if state.vanished {
                // Too late for a close: it stays open and silent.
                state.blockers.push(stream);
                return;
            }
            state.connections.insert(
                id,
                Connection {
                    stream,
                    spoilt: false,
                },
            );
            self.line(&format!("accepts connection {id}"));
            for (sid, cause) in std::mem::take(&mut state.again) {
                let message = json!({"msg": "close", "sid": format!("{sid:016x}"), "attrs": {}, "code": cause});
                self.send(&mut state, id, &message);
                self.line(&format!(
                    "sends the release of {sid:016x} again on connection {id}"
                ));
            }
        }
        let node = Arc::clone(self);
        thread::spawn(move || {
            let mut reader = BufReader::new(reading);
            let mut line = String::new();
            loop {
                line.clear();
                match reader.read_line(&mut line) {
                    Ok(1..) => {
                        let (node, line) = (Arc::clone(&node), line.clone());
                        // Offers are looked at one after the other.
                        node.handle(id, incarnation, line.trim_end());
                    }
                    _ => break,
                }
            }
            let mut state = lock(&node.state);
            if !state.vanished && state.incarnation == incarnation {
                state.connections.remove(&id);
                node.line(&format!("connection {id} has ended"));
            }
        });
    }

    /// The process dies: its connections are reset and its tasks are cut.
    pub fn stop(&self) {
        let mut state = lock(&self.state);
        state.stopped = true;
        *lock(&self.listener) = None;
        for connection in std::mem::take(&mut state.connections).into_values() {
            let _ =
                rustix::net::sockopt::set_socket_linger(&connection.stream, Some(Duration::ZERO));
            let _ = connection.stream.shutdown(std::net::Shutdown::Read);
        }
        self.cut(&mut state, "cut, its node's process has stopped");
    }

    /// The machine vanishes: open connections remain open and silent, new ones never come up.
    pub fn vanish(&self) {
        let mut state = lock(&self.state);
        state.vanished = true;
        let listener = lock(&self.listener).clone();
        if let Some(listener) = &listener {
            let _ = rustix::net::listen(listener, 0);
        }
        self.cut(&mut state, "cut, its machine has vanished");
        drop(state);
        // A full backlog takes no further connection and refuses none.
        let mut taken = 0;
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100))
        {
            lock(&self.state).blockers.push(stream);
            taken += 1;
            if taken > 300 {
                give_up("this machine takes connections beyond a listener's backlog");
            }
        }
        self.line("no connection comes up any more");
    }

    fn cut(&self, state: &mut NodeState, how: &'static str) {
        let cut: Vec<u64> = std::mem::take(&mut state.held).into_keys().collect();
        state.again.clear();
        self.line(&format!("{how}: {} tasks", cut.len()));
        let mut tasks = lock(&self.tasks);
        for sid in cut {
            if let Some(task) = tasks.get_mut(&sid) {
                task.ended_at = Some(self.record.now());
                task.how = how;
            }
        }
    }
}
