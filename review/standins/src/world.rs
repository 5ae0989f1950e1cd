//! One dispatcher as a separate process, and its peers as stand-ins: one control feed, several
//! nodes and one owner of tasks. They speak the platform's protocol over loopback.

use crate::feed::Feed;
use crate::node::Node;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The processes that the case has started.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn end_children() {
    for id in std::mem::take(&mut *lock(&CHILDREN)) {
        if let Some(id) = i32::try_from(id)
            .ok()
            .and_then(rustix::process::Pid::from_raw)
        {
            let _ = rustix::process::kill_process(id, rustix::process::Signal::KILL);
        }
    }
}

/// The case can't run: exit code 2.
pub fn give_up(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    end_children();
    std::process::exit(2)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What was sent, answered and run, line by line, each with the milliseconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>6} {text}", self.now());
    }
}

/// What is known of one task, from the set-up to its end. Times are milliseconds of the record.
#[derive(Clone, Default, Debug)]
pub struct Task {
    pub sent_at: u64,
    pub wait_ms: u64,
    pub answers: Vec<(u64, String)>,
    pub placed_at: Option<u64>,
    /// The node that holds it, or held it last.
    pub node: Option<usize>,
    /// Its end at the node.
    pub ended_at: Option<u64>,
    /// Whether the node could write its release on a connection that was of use.
    pub release_written: bool,
    pub how: &'static str,
    /// The releases and moves after the answer, as the owner saw them.
    pub releases: Vec<(u64, String)>,
}

pub type Tasks = Arc<Mutex<BTreeMap<u64, Task>>>;

/// The figures of a deployment.
pub struct Site {
    pub settings: Value,
    pub zones: Vec<&'static str>,
    pub kinds: Vec<&'static str>,
    pub nodes: usize,
    pub dispatchers: usize,
    pub tenant: Option<&'static str>,
    pub class: &'static str,
    pub wait_ms: u64,
    pub lists_view: bool,
    pub reports: bool,
}

/// A dispatcher and its peers.
pub struct World {
    pub record: Arc<Record>,
    pub tasks: Tasks,
    pub nodes: Vec<Arc<Node>>,
    pub feed: Arc<Feed>,
    pub site: Arc<Site>,
    child: Mutex<Child>,
    owner: Mutex<TcpStream>,
    next_task: AtomicU64,
    healthy: Arc<AtomicBool>,
    pub spoil_next: Arc<AtomicBool>,
    pub spoilt_task: Arc<Mutex<Option<u64>>>,
    folder: PathBuf,
}

pub fn node_entry(site: &Site, node: &Node, phase: &str, up_since_ms: u64) -> Value {
    let mut entry = json!({"id": node.name, "host_port": node.address.to_string(), "locality": site.zones[node.zone],
        "flavor": site.kinds[node.kind], "cell": node.cell, "phase": phase, "size": 1, "up_since_ms": up_since_ms});
    entry["unasked"] = match site.lists_view {
        true => json!([30.0, 50.0]),
        false => json!([0.0, 0.0]),
    };
    entry
}

fn frame(kind: u8, task: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
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

/// Returns the type, the task and the parameters of the next message.
fn read_frame(stream: &mut impl Read) -> Option<(u8, u64, BTreeMap<u8, Vec<u8>>)> {
    let mut length = [0; 2];
    stream.read_exact(&mut length).ok()?;
    let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
    stream.read_exact(&mut body).ok()?;
    let task = u64::from_be_bytes(body.get(1..9)?.try_into().ok()?);
    let (mut parameters, mut rest) = (BTreeMap::new(), body.get(9..)?);
    while let [code, high, low, after @ ..] = rest {
        let size = usize::from(u16::from_be_bytes([*high, *low]));
        parameters.insert(*code, after.get(..size)?.to_vec());
        rest = &after[size..];
    }
    Some((body[0], task, parameters))
}

impl World {
    /// Starts the peers, then the dispatcher with the command of the deploy file.
    pub fn start(
        site: Arc<Site>,
        index: usize,
        record: &Arc<Record>,
        spoil_really: bool,
        life_ms: u64,
    ) -> Arc<World> {
        let tasks = Tasks::default();
        let spoil_next = Arc::new(AtomicBool::new(false));
        let spoilt_task = Arc::new(Mutex::new(None));
        let nodes: Vec<Arc<Node>> = (0..site.nodes)
            .map(|number| {
                // An address of the case's own: no other process is given a port there.
                let id = std::process::id();
                let last = (1 + index * 20 + number) as u8;
                let own = [127, 10 + (id % 200) as u8, (id / 200 % 200) as u8, last];
                let listener = TcpListener::bind(SocketAddr::from((own, 0)))
                    .unwrap_or_else(|error| give_up(&error.to_string()));
                let address = listener.local_addr();
                Arc::new(Node {
                    index: number,
                    name: format!("s-{:08x}", 0x00c4_1f00 + number),
                    address: address.unwrap_or_else(|error| give_up(&error.to_string())),
                    zone: number % site.zones.len(),
                    cell: number / 4,
                    kind: number % site.kinds.len(),
                    listener: Mutex::new(Some(Arc::new(listener))),
                    state: Mutex::default(),
                    next_connection: AtomicU64::new(1),
                    record: Arc::clone(record),
                    tasks: Arc::clone(&tasks),
                    spoil_next: Arc::clone(&spoil_next),
                    spoilt_task: Arc::clone(&spoilt_task),
                    spoil_really,
                    life_ms,
                    reports: site.reports,
                })
            })
            .collect();
        for node in &nodes {
            node.start();
        }
        let entries: Vec<Value> = nodes
            .iter()
            .map(|node| node_entry(&site, node, "active", 0))
            .collect();
        let feed = Feed::start(
            json!({"n": 1, "members": {"revision": 1, "complete": true, "members": entries}}),
        );
        let folder = std::env::temp_dir().join(format!("review-{}-{index}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        let mut settings = site.settings.clone();
        settings["me"] = json!(index);
        settings["locality"] = json!(index % site.zones.len());
        let config = json!({"name": format!("n{index}"), "listen": "127.0.0.1:0", "seed": format!("{:016x}", 0x8c1f_30d2_7a5b_e964_u64 ^ index as u64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "feed": feed.address.to_string(),
            "known": feed.known(), "settings": settings});
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string())
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let mut command = Command::new("/bin/sh");
        command.args(["-c", "exec target/release/corkspan platform"]);
        command
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", format!("n{index}"));
        command
            .env("TMPDIR", &folder)
            .env("NO_COLOR", "1")
            .stderr(Stdio::piped())
            .stdout(Stdio::null());
        let mut child = command
            .spawn()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        lock(&CHILDREN).push(child.id());
        let mut log = BufReader::new(
            child
                .stderr
                .take()
                .unwrap_or_else(|| give_up("no standard error")),
        );
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            if log.read_line(&mut line).unwrap_or(0) == 0 {
                give_up("the dispatcher does not listen; is it built?");
            }
        }
        let text: String = line
            .split("address=")
            .nth(1)
            .unwrap_or("")
            .chars()
            .take_while(|character| character.is_ascii_digit() || ".:".contains(*character))
            .collect();
        let address: SocketAddr = text
            .parse()
            .unwrap_or_else(|_| give_up(&format!("no address in {line}")));
        let (healthy, log_record) = (Arc::new(AtomicBool::new(true)), Arc::clone(record));
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                log_record.line(&format!("dispatcher {index} log: {line}"));
            }
        });
        record.line(&format!("dispatcher {index} listens on {address}"));
        let owner = TcpStream::connect(address).unwrap_or_else(|error| give_up(&error.to_string()));
        let _ = owner.set_nodelay(true);
        let reading = owner
            .try_clone()
            .unwrap_or_else(|error| give_up(&error.to_string()));
        let world = Arc::new(World {
            record: Arc::clone(record),
            tasks,
            nodes,
            feed,
            site,
            child: Mutex::new(child),
            owner: Mutex::new(owner),
            next_task: AtomicU64::new(0x9b1f_0000_0000_0000 + ((index as u64) << 32)),
            healthy,
            spoil_next,
            spoilt_task,
            folder,
        });
        // The front's test, before any task.
        let _ = lock(&world.owner).write_all(&frame(52, 1, &[(208, &[0])]));
        let reader = Arc::clone(&world);
        thread::spawn(move || reader.read_owner(reading));
        let ticking = Arc::clone(&world);
        thread::spawn(move || {
            loop {
                ticking.nodes.iter().for_each(|node| node.tick());
                thread::sleep(Duration::from_millis(10));
            }
        });
        thread::sleep(Duration::from_millis(300));
        world
    }

    fn read_owner(&self, mut stream: TcpStream) {
        while let Some((kind, sid, parameters)) = read_frame(&mut stream) {
            let cause = parameters
                .get(&208)
                .and_then(|value| value.first().copied())
                .unwrap_or(0);
            let now = self.record.now();
            let text = match kind {
                9 => "answer: it stands".to_string(),
                12 => format!("release, cause {cause}"),
                51 => "move".to_string(),
                53 => format!("test passed: {}", cause == 1),
                other => format!("message of type {other}"),
            };
            self.record.line(&format!("owner reads {sid:016x}: {text}"));
            let mut node = None;
            if let Some(task) = lock(&self.tasks).get_mut(&sid) {
                match kind {
                    9 => {
                        task.placed_at = Some(now);
                        task.answers.push((now, text));
                    }
                    12 | 51 if task.placed_at.is_some() => {
                        node = task.node.filter(|_| kind == 51);
                        task.releases.push((now, text));
                    }
                    _ => task.answers.push((now, text)),
                }
            }
            if let Some(node) = node {
                self.nodes[node].stop_moved(sid);
            }
        }
        self.record.line("the owner's connection has ended");
        self.healthy.store(false, Ordering::Relaxed);
    }

    /// Sends a set-up and returns its id.
    pub fn set_up(&self, service: usize) -> u64 {
        let sid = self.next_task.fetch_add(1, Ordering::Relaxed);
        let wait = self.site.wait_ms.to_string();
        let name = format!("7f3a{sid:012x}");
        let figures = format!(
            "cores:1;memory:2;service:{:016x}",
            0xb4d6_5521_u64 + service as u64
        );
        let text = format!("{sid:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
        let mut parameters: Vec<(u8, &[u8])> = vec![
            (180, self.site.class.as_bytes()),
            (182, wait.as_bytes()),
            (188, name.as_bytes()),
            (190, figures.as_bytes()),
            (210, text.as_bytes()),
        ];
        if let Some(tenant) = self.site.tenant {
            parameters.push((184, tenant.as_bytes()));
        }
        let task = Task {
            sent_at: self.record.now(),
            wait_ms: self.site.wait_ms,
            ..Task::default()
        };
        lock(&self.tasks).insert(sid, task);
        self.record
            .line(&format!("owner sends set-up {sid:016x}, service {service}"));
        let _ = lock(&self.owner).write_all(&frame(1, sid, &parameters));
        sid
    }

    /// Sends a set-up and waits for its answer.
    pub fn set_up_and_wait(&self, service: usize) -> u64 {
        let sid = self.set_up(service);
        let until = Instant::now() + Duration::from_millis(self.site.wait_ms + 1_000);
        while Instant::now() < until
            && lock(&self.tasks)
                .get(&sid)
                .is_some_and(|task| task.answers.is_empty())
        {
            thread::sleep(Duration::from_millis(2));
        }
        sid
    }

    /// Tells the dispatcher of a node's state.
    pub fn tell(&self, node: usize, phase: &'static str, up_since_ms: u64) {
        let entry = node_entry(&self.site, &self.nodes[node], phase, up_since_ms);
        let mut events = lock(&self.feed.events);
        let number = events.len() + 1;
        events.push(json!({"n": number, "members": {"revision": number, "complete": false, "members": [entry]}}));
        drop(events);
        self.record
            .line(&format!("feed tells: {} {phase}", self.nodes[node].name));
    }

    pub fn busiest_node(&self) -> usize {
        (0..self.nodes.len())
            .max_by_key(|&node| self.nodes[node].standing())
            .unwrap_or(0)
    }

    pub fn tasks(&self) -> BTreeMap<u64, Task> {
        lock(&self.tasks).clone()
    }

    /// Whether the dispatcher still runs.
    pub fn runs(&self) -> bool {
        matches!(lock(&self.child).try_wait(), Ok(None)) && self.healthy.load(Ordering::Relaxed)
    }

    pub fn end(&self) {
        let mut child = lock(&self.child);
        let _ = child.kill();
        let _ = child.wait();
        lock(&CHILDREN).retain(|&id| id != child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }

    /// Set-ups that did not get exactly one final answer within their time and half a second.
    pub fn unanswered(&self) -> BTreeSet<u64> {
        let now = self.record.now();
        let late = |task: &Task| {
            let until = task.sent_at + task.wait_ms + 550;
            now > until && task.answers.first().is_none_or(|(at, _)| *at > until)
                || task.answers.len() > 1
        };
        self.tasks()
            .into_iter()
            .filter(|(_, task)| late(task))
            .map(|(sid, _)| sid)
            .collect()
    }
}
