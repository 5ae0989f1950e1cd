//! Nodes that place every task, end it after a while, lose answers and reset connections.

use crate::draws::Draws;
use crate::records::Records;
use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::node::{AttributeValue, Message, MessageType, Reader};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(2);
/// The longest time until an answer, and until the end of a task.
const MAX_ANSWER_MS: u64 = 40;
const MAX_LIFE_MS: u64 = 1_500;
/// One tick of so many resets a connection.
const TICKS_PER_RESET: u64 = 60;
/// One answer of so many is lost on its way.
const ANSWERS_PER_LOST: u64 = 10;
const CAUSE_NORMAL: u32 = 16;

struct Task {
    due_at: Instant,
    connection: u64,
}

#[derive(Default)]
struct State {
    connections: BTreeMap<u64, TcpStream>,
    opened: u64,
    pending: BTreeMap<u64, Task>,
    running: BTreeMap<u64, Task>,
    /// Ends that are sent also on the next connection.
    again: Vec<u64>,
}

/// A node of the list.
pub struct Node {
    pub address: SocketAddr,
    has_faults: Arc<AtomicBool>,
}

impl State {
    fn send(&mut self, connection: u64, message: &Message) -> bool {
        let line = message.to_line().expect("a short message");
        let stream = self.connections.get_mut(&connection);
        stream.is_some_and(|stream| stream.write_all(&line).is_ok())
    }

    fn remove_connection(&mut self, connection: u64) {
        if let Some(stream) = self.connections.remove(&connection) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The set-ups open on a connection are given up with it.
        self.pending.retain(|_, task| task.connection != connection);
    }

    fn send_end(&mut self, task: u64, connection: u64) {
        let end = Message::new(MessageType::Close, task).with_cause(CAUSE_NORMAL);
        if !self.send(connection, &end) {
            let others: Vec<u64> = self.connections.keys().copied().collect();
            others.into_iter().any(|other| self.send(other, &end));
        }
        self.again.push(task);
    }

    fn tick(&mut self, draws: &mut Draws, has_faults: bool, records: &Records) {
        let now = Instant::now();
        let is_due = |task: &Task| task.due_at <= now;
        let ready: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, task)| is_due(task))
            .map(|(&id, _)| id)
            .collect();
        for id in ready {
            let Some(task) = self.pending.remove(&id) else {
                continue;
            };
            let mut answer = Message::new(MessageType::Ready, id);
            answer.text = Some("made".into());
            if !has_faults || !draws.one_in(ANSWERS_PER_LOST) {
                self.send(task.connection, &answer);
            }
            let due_at = now + draws.milliseconds(MAX_LIFE_MS);
            self.running.insert(id, Task { due_at, ..task });
        }
        let over: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, task)| is_due(task))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            let Some(task) = self.running.remove(&id) else {
                continue;
            };
            records.update(id, |request| {
                request.ended_at = Some(now);
                request.completed_at = Some(now);
            });
            self.send_end(id, task.connection);
        }
        if has_faults && draws.one_in(TICKS_PER_RESET) && !self.connections.is_empty() {
            let index = draws.below(self.connections.len() as u64) as usize;
            let connection = self
                .connections
                .keys()
                .nth(index)
                .copied()
                .expect("an open one");
            self.remove_connection(connection);
        }
    }

    fn handle(&mut self, connection: u64, message: &Message, records: &Records) {
        let Some(id) = message.task_id else { return };
        match message.message_type {
            MessageType::Open => {
                let left = message.attribute("left").and_then(AttributeValue::text);
                let left_ms = left.and_then(|left| left.parse().ok()).expect("a number");
                records.attempt(id, Duration::from_millis(left_ms));
                let due_at = Instant::now() + Duration::from_millis(id % MAX_ANSWER_MS);
                self.pending.insert(id, Task { due_at, connection });
            }
            MessageType::Close => {
                self.pending.remove(&id);
                if self.running.remove(&id).is_some() {
                    records.update(id, |request| request.ended_at = Some(Instant::now()));
                }
                self.send(connection, &Message::new(MessageType::Closed, id));
            }
            _ => {}
        }
    }
}

impl Node {
    pub fn start_all(count: usize, seed: u64, records: &Arc<Records>) -> Vec<Node> {
        let numbers = 0..count as u64;
        numbers
            .map(|number| Node::start(Draws::new(seed, 100 + number), records))
            .collect()
    }

    /// Resets no connection from now on.
    pub fn stop_faults(&self) {
        self.has_faults.store(false, Ordering::Relaxed);
    }

    fn start(mut draws: Draws, records: &Arc<Records>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port of the system's choice");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(Mutex::new(State::default()));
        let has_faults = Arc::new(AtomicBool::new(true));
        let (ticking, faults) = (Arc::clone(&state), Arc::clone(&has_faults));
        let records_of_ticks = Arc::clone(records);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                let has_faults = faults.load(Ordering::Relaxed);
                let mut state = ticking.lock().expect("no panic");
                state.tick(&mut draws, has_faults, &records_of_ticks);
            }
        });
        let records = Arc::clone(records);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, records) = (Arc::clone(&state), Arc::clone(&records));
                std::thread::spawn(move || serve(stream, &state, &records));
            }
        });
        Node {
            address,
            has_faults,
        }
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>, records: &Records) {
    let connection = {
        let mut state = state.lock().expect("no panic");
        state.opened += 1;
        let connection = state.opened;
        state
            .connections
            .insert(connection, stream.try_clone().expect("cloned"));
        for task in std::mem::take(&mut state.again) {
            let end = Message::new(MessageType::Close, task).with_cause(CAUSE_NORMAL);
            state.send(connection, &end);
        }
        connection
    };
    let (mut reader, mut bytes) = (Reader::default(), vec![0; MAX_MESSAGE_BYTES]);
    while let Ok(count @ 1..) = stream.read(&mut bytes) {
        reader.push(&bytes[..count]);
        while let Ok(Some(message)) = reader.next_message() {
            state
                .lock()
                .expect("no panic")
                .handle(connection, &message, records);
        }
    }
    state
        .lock()
        .expect("no panic")
        .remove_connection(connection);
}
