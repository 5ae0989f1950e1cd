//! Starts the program as a process, under real limits.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Time within which a test expects everything that it waits for.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const SETTINGS: &str = r#"{"classes":[{"effect":"pure","name":"batch","on-time-us":600000,"deadline-us":6000000}],
"discovery":"on_request","family-info":{"accepts-memory":1.5,"ack":"accepted","admit-cores":2.0,"class-calm":[1.0],
"class-most":[2],"kind-cores":[32],"kind-memory":[64.0],"needs-kind":[-1],"priority-by-class":[0],
"spread-by":["silent"],"view":false,"young-limit":29.0},"fleet-size":1,"limits":{"max-attempts":3,"probes":false},
"locality":0,"me":0,"penalties":{},"rules":{"ask-every-us":10000000,"cold-us":14000000,"fall-us":1000000},
"skus":["std"],"zones":["east"]}"#;

/// The limits in the configuration of the program.
#[derive(Clone, Copy)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
}

pub struct Program {
    #[allow(dead_code, reason = "used by the tests of limits only")]
    pub child: Child,
    #[allow(dead_code, reason = "used by the soak only")]
    pub address: SocketAddr,
    _dir: tempfile::TempDir,
}

impl Program {
    /// Starts the program, with further variables in its environment. The limit on descriptors is also
    /// that of the process.
    #[allow(dead_code, reason = "the soak starts it with several nodes")]
    pub fn start(
        limits: Limits,
        feed: SocketAddr,
        nodes: usize,
        node: SocketAddr,
        environment: &[(&str, String)],
    ) -> Program {
        Program::start_nodes(limits, feed, &vec![node; nodes], environment)
    }

    /// Starts the program with a list of nodes at these addresses.
    #[allow(dead_code, reason = "tests of restarts give the list themselves")]
    pub fn start_nodes(
        limits: Limits,
        feed: SocketAddr,
        nodes: &[SocketAddr],
        environment: &[(&str, String)],
    ) -> Program {
        let members: Vec<String> = std::iter::zip(1.., nodes)
            .map(|(number, node)| {
                format!(
                    r#"{{"id":"s-{number}","host_port":"{node}","locality":"east","flavor":"std","phase":"active"}}"#
                )
            })
            .collect();
        let members = members.join(",");
        let known = format!(
            r#"{{"n":1,"events":[{{"n":1,"members":{{"complete":true,"members":[{members}]}}}}]}}"#
        );
        let any = "127.0.0.1:0".parse().expect("an address");
        Program::start_at(any, limits, feed, &known, environment)
    }

    /// Starts the program at an address, with what it is to know of the list of nodes.
    pub fn start_at(
        listen: SocketAddr,
        limits: Limits,
        feed: SocketAddr,
        known: &str,
        environment: &[(&str, String)],
    ) -> Program {
        let Limits { sockets, memory_mb } = limits;
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("node.json");
        let config = format!(
            r#"{{"name":"n0","listen":"{listen}","seed":"8c1f","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},
            "feed":"{feed}","known":{known},"settings":{SETTINGS}}}"#
        );
        std::fs::write(&path, config).expect("written");
        let mut child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "ulimit -n {sockets}; exec {} platform ${{SOAK_LOG:+--level debug}}",
                std::env::var("SOAK_PROGRAM")
                    .unwrap_or_else(|_| env!("CARGO_BIN_EXE_corkspan").into())
            ))
            .env("NODE_CONFIG", &path)
            .envs(environment.iter().map(|(name, value)| (name, value)))
            .stderr(Stdio::piped())
            .spawn()
            .expect("started");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            assert!(log.read_line(&mut line).expect("text") > 0, "it listens");
        }
        let address = line.split("address=").nth(1).expect("an address");
        let address = address
            .trim()
            .trim_end_matches("\u{1b}[0m")
            .parse()
            .expect("an address");
        std::thread::spawn(move || match std::env::var("SOAK_LOG") {
            Ok(path) => std::io::copy(&mut log, &mut std::fs::File::create(path)?),
            Err(_) => std::io::copy(&mut log, &mut std::io::sink()),
        });
        Program {
            child,
            address,
            _dir: dir,
        }
    }

    /// Sends a signal to the program, named as `kill` names it.
    #[allow(dead_code, reason = "used by the tests that signal the program only")]
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([name, &id]).status();
        assert!(status.expect("kill starts").success());
    }

    #[allow(dead_code, reason = "the soak's clients connect by themselves")]
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("connected");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("a socket option");
        stream
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
