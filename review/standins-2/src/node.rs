//! A node on the platform's protocol: JSON lines, as PROTOCOL describes them.

use crate::{record, sys};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time in milliseconds after which a node answers what it can't use.
const ERROR_MS: u64 = 500;

/// A task that stood, and how it ended.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: u64,
    pub name: String,
    /// The time and the cause of its end; 0 if it ended with its machine.
    pub end: Option<(Duration, u32)>,
}

struct Standing {
    connection: u64,
    noted_at: Instant,
}

struct Pending {
    connection: u64,
    due: Instant,
    name: String,
    usable: bool,
}

#[derive(Default)]
struct Inner {
    connections: BTreeMap<u64, TcpStream>,
    opened: u64,
    pending: BTreeMap<u64, Pending>,
    standing: BTreeMap<u64, Standing>,
    /// Releases that are sent also on the next connection.
    again: Vec<String>,
    runs: Vec<Run>,
    /// Whether the machine is cut off: what arrives and what is written waits.
    cut_off: bool,
    outbox: Vec<(u64, String)>,
    start_ms: u64,
    held: Vec<TcpStream>,
}

impl Inner {
    fn ended(&mut self, task: u64, cause: u32) {
        let run = self
            .runs
            .iter_mut()
            .rev()
            .find(|run| run.task == task && run.end.is_none());
        if let Some(run) = run {
            run.end = Some((record::elapsed(), cause));
        }
    }
}

#[derive(Clone)]
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    listener: Arc<TcpListener>,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = &line[start..];
    match rest.strip_prefix('"') {
        Some(text) => {
            let mut escaped = false;
            let end = text.find(|c| {
                let ends = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                ends
            })?;
            Some(&text[..end])
        }
        None => rest.split([',', '}']).next(),
    }
}

impl Node {
    /// Starts a node on a free port. A task stands after `start_ms`.
    pub fn start(name: &str, start_ms: u64) -> Node {
        let listener = TcpListener::bind(sys::free_address()).expect("a free port");
        listener.set_nonblocking(true).expect("a socket option");
        let node = Node {
            name: name.into(),
            address: listener.local_addr().expect("bound"),
            inner: Arc::new(Mutex::new(Inner {
                start_ms,
                ..Inner::default()
            })),
            listener: Arc::new(listener),
        };
        let running = node.clone();
        std::thread::spawn(move || running.run());
        node
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic")
    }

    /// Returns the tasks that stood, or still stand.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns whether a task stands here.
    pub fn stands(&self, task: u64) -> bool {
        self.lock().standing.contains_key(&task)
    }

    fn run(&self) {
        loop {
            if !self.lock().cut_off
                && let Ok((stream, _)) = self.listener.accept()
            {
                self.accepted(stream);
            }
            self.tick();
            std::thread::sleep(Duration::from_micros(100));
        }
    }

    fn accepted(&self, stream: TcpStream) {
        let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut inner = self.lock();
        inner.opened += 1;
        let id = inner.opened;
        inner.connections.insert(id, stream);
        let again = std::mem::take(&mut inner.again);
        for line in again {
            self.send(&mut inner, id, &line);
        }
        drop(inner);
        let node = self.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(input).lines() {
                let Ok(line) = line else { break };
                node.handle(id, &line);
            }
            node.wait_until_reached();
            let mut inner = node.lock();
            if let Some(stream) = inner.connections.remove(&id) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            inner.pending.retain(|_, pending| pending.connection != id);
        });
    }

    fn send(&self, inner: &mut Inner, connection: u64, line: &str) -> bool {
        if inner.cut_off {
            inner.outbox.push((connection, line.into()));
            return true;
        }
        let Some(mut stream) = inner.connections.get(&connection) else {
            return false;
        };
        record::line(&format!(
            "{} -> dispatcher ({connection}): {line}",
            self.name
        ));
        stream.write_all(format!("{line}\n").as_bytes()).is_ok()
    }

    /// What arrives while the machine is cut off waits.
    fn wait_until_reached(&self) {
        while self.lock().cut_off {
            record::sleep_ms(2);
        }
    }

    fn handle(&self, connection: u64, line: &str) {
        self.wait_until_reached();
        let mut inner = self.lock();
        let (Some(kind), Some(sid)) = (field(line, "msg"), field(line, "sid")) else {
            return;
        };
        let Ok(task) = u64::from_str_radix(sid, 16) else {
            return;
        };
        if kind != "probe" {
            let short = line.get(..140).unwrap_or(line);
            record::line(&format!(
                "{} <- dispatcher ({connection}): {short}",
                self.name
            ));
        }
        match kind {
            "open" => {
                let name = field(line, "key").unwrap_or("").to_string();
                // An owner's description begins with the id. What a node can't use it answers with
                // 'error'.
                let usable = field(line, "text").is_some_and(|text| text.starts_with(sid));
                let after = if usable { inner.start_ms } else { ERROR_MS };
                let due = Instant::now() + Duration::from_millis(after);
                inner.pending.insert(
                    task,
                    Pending {
                        connection,
                        due,
                        name,
                        usable,
                    },
                );
            }
            "close" => {
                let closed = format!(r#"{{"msg":"closed","sid":"{sid}","attrs":{{}}}}"#);
                self.send(&mut inner, connection, &closed);
                if inner.pending.remove(&task).is_none() && inner.standing.remove(&task).is_some() {
                    inner.ended(task, 31);
                    let line = format!(r#"{{"msg":"close","sid":"{sid}","attrs":{{}},"code":31}}"#);
                    self.send(&mut inner, connection, &line);
                }
            }
            "probe" => {
                let line = format!(
                    r#"{{"msg":"probed","sid":"{sid}","attrs":{{"load":"x0:30;x1:100"}},"code":1}}"#
                );
                if let Some(mut stream) = inner.connections.get(&connection) {
                    let _ = stream.write_all(format!("{line}\n").as_bytes());
                }
            }
            _ => {}
        }
    }

    fn tick(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let due: Vec<u64> = inner
            .pending
            .iter()
            .filter(|(_, p)| p.due <= now)
            .map(|(&id, _)| id)
            .collect();
        for task in due {
            let Some(pending) = inner.pending.remove(&task) else {
                continue;
            };
            let connection = pending.connection;
            if !pending.usable {
                let line =
                    format!(r#"{{"msg":"close","sid":"{task:016x}","attrs":{{}},"code":47}}"#);
                self.send(&mut inner, connection, &line);
                continue;
            }
            inner.standing.insert(
                task,
                Standing {
                    connection,
                    noted_at: now,
                },
            );
            inner.runs.push(Run {
                task,
                name: pending.name,
                end: None,
            });
            let line = format!(
                r#"{{"msg":"ready","sid":"{task:016x}","attrs":{{}},"text":"{} runs {task:016x}"}}"#,
                self.name
            );
            self.send(&mut inner, connection, &line);
        }
        let every = Duration::from_secs(1);
        let noted: Vec<(u64, u64)> = inner
            .standing
            .iter_mut()
            .filter(|(_, s)| s.noted_at + every <= now)
            .map(|(&id, s)| {
                s.noted_at = now;
                (id, s.connection)
            })
            .collect();
        for (task, connection) in noted {
            for (note, value) in [("use_cpu", "0.5"), ("use_ram", "1.1")] {
                let line = format!(
                    r#"{{"msg":"event","sid":"{task:016x}","attrs":{{"note":"{note}","value":{value}}}}}"#
                );
                let to = self.route(&inner, connection);
                self.send(&mut inner, to, &line);
            }
        }
    }

    /// The connection of the set-up if it is open, else any open one.
    fn route(&self, inner: &Inner, connection: u64) -> u64 {
        if inner.connections.contains_key(&connection) {
            return connection;
        }
        inner.connections.keys().next_back().copied().unwrap_or(0)
    }

    /// Ends a task that stands. The node releases it on the connection of its set-up, else on any
    /// open one, and also on the next one opened.
    pub fn end(&self, task: u64, cause: u32) {
        let mut inner = self.lock();
        let Some(standing) = inner.standing.remove(&task) else {
            return;
        };
        inner.ended(task, cause);
        record::line(&format!(
            "{}: task {task:016x} is over, cause {cause}",
            self.name
        ));
        let line = format!(r#"{{"msg":"close","sid":"{task:016x}","attrs":{{}},"code":{cause}}}"#);
        let to = self.route(&inner, standing.connection);
        self.send(&mut inner, to, &line);
        inner.again.push(line);
    }

    /// Connections that nobody accepts fill the queue, so that later ones never come up.
    fn fill_backlog(&self) {
        sys::set_backlog(&self.listener, 0);
        for _ in 0..8 {
            if let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(50))
            {
                self.lock().held.push(stream);
            }
        }
    }

    /// The machine is cut off: open connections stay open and silent, and new ones never come up.
    /// What it writes meanwhile arrives when it is reached again.
    pub fn cut_off(&self) {
        record::line(&format!("{}: the machine is cut off", self.name));
        self.lock().cut_off = true;
        self.fill_backlog();
    }

    /// The machine is reached again.
    pub fn reach(&self) {
        sys::set_backlog(&self.listener, 128);
        record::line(&format!("{}: the machine is reached again", self.name));
        let mut inner = self.lock();
        inner.held.clear();
        inner.cut_off = false;
        for (connection, line) in std::mem::take(&mut inner.outbox) {
            self.send(&mut inner, connection, &line);
        }
    }
}
