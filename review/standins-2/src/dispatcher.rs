//! Starts dispatchers as the deploy file says, and ends them.

use crate::feed::Feed;
use crate::{record, sys};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all dispatchers that were started.
pub fn end_all() {
    let mut children = CHILDREN
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// What differs between the settings of the cases.
#[derive(Clone)]
pub struct Settings {
    pub probes: bool,
    pub dispatchers: usize,
    pub classes: String,
    pub zones: &'static str,
    pub spread: &'static str,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            probes: true,
            dispatchers: 1,
            classes: concat!(
                r#"{"name":"batch","effect":"pure","on-time-us":600000,"deadline-us":6000000,"gain":1.0,"#,
                r#""late-share":0.2,"runs-on":true,"dedup-scope":"all","memory-span-us":5000000},"#,
                r#"{"name":"once","effect":"side_effect","on-time-us":5000000,"deadline-us":9000000,"gain":5.0,"#,
                r#""late-share":0.1,"runs-on":true,"dedup-scope":"all","memory-span-us":5000000}"#
            )
            .into(),
            zones: r#""hall-a""#,
            spread: r#""silent","silent""#,
            memory_mb: 192,
            sockets: 256,
        }
    }
}

impl Settings {
    fn json(&self, index: usize) -> String {
        format!(
            concat!(
                r#"{{"classes":[{classes}],"callers":{{"marks-retry":true}},"counted-by":"work","discovery":"on_request","#,
                r#""service-type":"place","fleet-size":{dispatchers},"me":{index},"locality":0,"tier":0,"tiers":["main"],"#,
                r#""family-info":{{"ack":"accepted","admit-cores":2.0,"accepts-memory":1.5,"bound":false,"class-calm":[1.0,0.8],"#,
                r#""fade-span":[1.0,0.15],"needs-kind":[-1,-1],"class-most":[2,2],"priority-by-class":[0,2],"#,
                r#""spread-by":[{spread}],"class-start-s":[10.0,8.0],"young-limit":29.0,"counts":"used","evict-counts":2.0,"#,
                r#""kind-cores":[40],"kind-memory":[120.0],"unit-cores":1.5,"mean-memory":3.0,"makes-room":false,"#,
                r#""turned-down-price":0.02,"report-x0":"cores not in use","report-x1":"memory not in use","#,
                r#""settle-us":3000000,"share-cores":[400.0],"tells-pressure":true,"use-notes":true,"view":true}},"#,
                r#""limits":{{"cancel":true,"connect-timeout-us":250000,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,"#,
                r#""idle-close-us":15000000,"max-attempts":3,"max-retry-after-us":3000000,"multiplex":1048576,"#,
                r#""open-cap":1000000,"parallel-tries":false,"peers":false,"probes":{probes},"retry-after":false}},"#,
                r#""load-report":{{"fields":["x0","x1"],"how":"piggyback"}},"over-share-worth":0.05,"#,
                r#""penalties":{{"cross-zone":0.03,"discovery":0.004,"moves":0.06,"probe":0.003,"waste":0.08}},"period-us":2000,"#,
                r#""rules":{{"answer-slack-us":8000,"ask-every-us":10000000,"cold-us":14000000,"fall-multiple":2.5,"#,
                r#""fall-us":1000000,"start-capacity":0.2,"stop-sending-within-us":1000000}},"#,
                r#""skus":["std"],"tenants":[{{"name":"acme","quota-per-s":50.0,"share":1.0}}],"#,
                r#""weights":"silent","zones":[{zones}]}}"#
            ),
            classes = self.classes,
            dispatchers = self.dispatchers,
            index = index,
            spread = self.spread,
            probes = self.probes,
            zones = self.zones,
        )
    }
}

pub struct Dispatcher {
    pub name: String,
    pub process: u32,
    pub address: SocketAddr,
    index: usize,
    settings: Settings,
    config: PathBuf,
    root: PathBuf,
    folder: PathBuf,
}

/// Returns a command of the deploy file.
fn command(root: &std::path::Path, name: &str) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.trim_start().strip_prefix('='))?;
    Some(line.trim().trim_matches('"').to_string())
}

impl Dispatcher {
    /// Starts a dispatcher and waits until it listens.
    pub fn start(index: usize, settings: &Settings, feed: &Feed) -> Result<Dispatcher, String> {
        let env = |name: &str| {
            std::env::var(name)
                .map(PathBuf::from)
                .map_err(|_| format!("{name} is not set"))
        };
        let (root, folder) = (env("REVIEW_ROOT")?, env("REVIEW_FOLDER")?);
        let mut dispatcher = Dispatcher {
            name: format!("n{index}"),
            process: 0,
            address: sys::free_address(),
            index,
            settings: settings.clone(),
            config: folder.join(format!("n{index}.json")),
            root,
            folder,
        };
        dispatcher.write_config(feed);
        dispatcher.spawn()?;
        Ok(dispatcher)
    }

    /// Writes the configuration file.
    pub fn write_config(&self, feed: &Feed) {
        let text = format!(
            concat!(
                r#"{{"name":"{}","listen":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"#,
                r#""feed":"{}","known":{},"settings":{}}}"#
            ),
            self.name,
            self.address,
            record::unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.index as u64,
            self.settings.memory_mb,
            self.settings.sockets,
            feed.address,
            feed.known(),
            self.settings.json(self.index)
        );
        std::fs::write(&self.config, text).expect("the configuration can be written");
    }

    /// Starts the process; also after its end.
    pub fn spawn(&mut self) -> Result<(), String> {
        let run = command(&self.root, "run").ok_or("no command `run` in the deploy file")?;
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(&run)
            .current_dir(&self.root)
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", self.address.to_string())
            .env("NODE_CONFIG", &self.config)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        sys::end_with_this_program(&mut shell);
        let mut child = shell
            .spawn()
            .map_err(|error| format!("can't start `{run}`: {error}"))?;
        self.process = child.id();
        let log = BufReader::new(child.stderr.take().expect("piped"));
        CHILDREN.lock().expect("no panic").push(child);
        let (sender, receiver) = mpsc::channel();
        let path = self.folder.join(format!("{}.log", self.name));
        std::thread::spawn(move || {
            let mut file = std::fs::OpenOptions::new()
                .append(true)
                .create(true)
                .open(path)
                .ok();
            for line in log.lines() {
                let Ok(line) = line else { break };
                if line.contains("listening")
                    && let Some(address) = line.split("address=").nth(1)
                {
                    let end = address.find(|c: char| !(c.is_ascii_digit() || c == '.' || c == ':'));
                    let _ = sender.send(address[..end.unwrap_or(address.len())].to_string());
                }
                if let Some(file) = &mut file {
                    let _ = writeln!(file, "{line}");
                }
            }
        });
        let address = receiver.recv_timeout(Duration::from_secs(20));
        let address = address.map_err(|_| format!("{} does not listen", self.name))?;
        self.address = address
            .parse()
            .map_err(|_| format!("no address: {address}"))?;
        record::line(&format!(
            "{}: process {} listens at {}",
            self.name, self.process, self.address
        ));
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        record::line(&format!("{}: signal {signal}", self.name));
        sys::signal(self.process, signal);
    }

    /// Returns whether the process still runs.
    pub fn runs(&self) -> bool {
        let mut children = CHILDREN.lock().expect("no panic");
        let child = children.iter_mut().find(|child| child.id() == self.process);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the process has ended.
    pub fn wait_end(&self, within: Duration) -> bool {
        let until = std::time::Instant::now() + within;
        while self.runs() {
            if std::time::Instant::now() >= until {
                return false;
            }
            record::sleep_ms(2);
        }
        true
    }

    /// Returns the resident memory in MB.
    pub fn memory_mb(&self) -> Option<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kb: f64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kb / 1024.0)
    }
}
