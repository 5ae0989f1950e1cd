//! The floor of versions among processes of the program, each started by its command line, with
//! some that hear nothing of newer versions. Judged by what crossed the nodes' sockets.

use crate::harness::*;
use corkspan_api::v1::node_client::NodeClient;
use corkspan_api::v1::versions_client::VersionsClient;
use corkspan_api::v1::{
    self, placement_client::PlacementClient, placement_event::Event, rejected::RejectionReason,
};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{PersistedVersions, Version};
use corkspan_dispatcher::version_files::save;
use corkspan_rpc::{Connection, ConnectionLimits};
use corkspan_testbed::capture::{
    AllocationEvent, Line, Observation, RuleParameters, SlowStartLimits,
};
use corkspan_testbed::checker::check;
use corkspan_testbed::control_service::{ControlService, ControlServiceGuard};
use corkspan_testbed::discovery::Discovery;
use corkspan_testbed::relay::{Direction, Relay};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_corkspan-testbed");

/// A dispatcher's process; killed when it is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill().and_then(|()| self.child.wait());
    }
}

impl Process {
    pub async fn start(file: std::path::PathBuf) -> Process {
        Process::start_logging(file, "error", Stdio::inherit()).await
    }

    async fn start_logging(file: std::path::PathBuf, level: &'static str, log: Stdio) -> Process {
        blocking::unblock(move || {
            let mut command = Command::new(PROGRAM);
            command
                .args(["corkspan", "serve", "--level", level])
                .arg(file)
                .stdout(Stdio::piped())
                .stderr(log);
            let mut child = command.spawn().expect("it starts");
            let mut line = String::new();
            BufReader::new(child.stdout.take().expect("piped"))
                .read_line(&mut line)
                .expect("a line");
            let address = line
                .trim()
                .strip_prefix("listening ")
                .expect("it listens")
                .parse();
            Process {
                child,
                address: address.expect("an address"),
            }
        })
        .await
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }
}

/// Processes before the nodes of a rig, some of which take their versions from a service that has
/// stood still.
struct Stage {
    harness: Harness,
    newest: (ControlService, ControlServiceGuard),
    stale: (ControlService, ControlServiceGuard),
    folder: tempfile::TempDir,
    fleet: Vec<Process>,
    /// What the next one is told of the floor beside how often to ask.
    floor: String,
}

const KEEPERS: &str = "(keepers 0 1 2)";

impl Stage {
    async fn new(harness: Harness) -> Stage {
        let newest = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let stale = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let stage = Stage {
            harness,
            newest,
            stale,
            folder: tempfile::tempdir().expect("a folder"),
            fleet: Vec::new(),
            floor: String::new(),
        };
        for control in [&stage.newest.0, &stage.stale.0] {
            assert_eq!(control.publish(stage.texts(4), false).number, 1);
        }
        stage
    }

    fn deployment(&self, more: &str) -> String {
        deployment(self.harness.discovery.address, more).replace("(schedulers 1)", "(schedulers 5)")
    }

    fn texts(&self, shots: usize) -> SharedParts {
        SharedParts::parse("version", &self.deployment(&format!("(shots {shots})"))).expect("sound")
    }

    async fn start(&mut self, control: SocketAddr, keepers: &str) {
        self.start_by(self.harness.discovery.address, control, keepers)
            .await;
    }

    /// One more under the number of another, with a disk of its own.
    async fn start_as(&mut self, number: usize, control: SocketAddr) {
        let discovery = self.harness.discovery.address;
        self.start_all(number, discovery, control, KEEPERS).await;
    }

    /// One that knows the nodes by another roster.
    async fn start_by(&mut self, discovery: SocketAddr, control: SocketAddr, keepers: &str) {
        self.start_all(self.fleet.len(), discovery, control, keepers)
            .await;
    }

    async fn start_all(
        &mut self,
        number: usize,
        discovery: SocketAddr,
        control: SocketAddr,
        keepers: &str,
    ) {
        let disk = self.fleet.len();
        let kept = self.folder.path().join(format!("versions-{disk}.json"));
        let store = self.folder.path().join(format!("store-{disk}.redb"));
        let more = format!(
            "(control \"{control}\") (versions {kept:?}) (rolls {store:?}) {keepers} (floor (every 1 s) {})",
            self.floor
        );
        let text = self.deployment(&more).replace(
            &self.harness.discovery.address.to_string(),
            &discovery.to_string(),
        );
        let text = text.replace("(number 0)", &format!("(number {number})"));
        let file = self.folder.path().join(format!("{disk}.sexp"));
        std::fs::write(&file, text).expect("written");
        self.fleet.push(Process::start(file).await);
    }

    /// The operator's command line.
    async fn operator(&self, line: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(["corkspan", "fleet"]).args(line);
        command.args(self.fleet.iter().map(|process| process.address.to_string()));
        blocking::unblock(move || command.output().expect("it runs")).await
    }

    async fn link(&self, number: usize) -> Connection {
        let bounds = ConnectionLimits {
            connect_timeout: PATIENCE,
            ..ConnectionLimits::default()
        };
        Connection::open(&self.harness.tasks, self.fleet[number].address, &bounds)
            .await
            .expect("it listens")
    }

    async fn asks(&self, number: usize, task: &str) -> tonic::Streaming<v1::PlacementEvent> {
        let mut client = PlacementClient::new(self.link(number).await);
        client
            .place(placement_request(task, "web"))
            .await
            .expect("the call is taken")
            .into_inner()
    }

    /// The first word on an ask, and the call, which must stay for the allocation to.
    async fn answered(
        &self,
        number: usize,
        task: &str,
    ) -> (Option<Event>, tonic::Streaming<v1::PlacementEvent>) {
        let mut words = self.asks(number, task).await;
        (next(&mut words).await, words)
    }

    async fn status(&self, number: usize) -> v1::VersionStatus {
        let mut client = VersionsClient::new(self.link(number).await);
        client
            .status(v1::VersionStatusRequest {})
            .await
            .expect("a status")
            .into_inner()
    }

    async fn until_in_force(&self, number: usize, version: u64) {
        wait_until(async || {
            self.status(number)
                .await
                .active
                .is_some_and(|running| running.number == version)
        })
        .await;
    }

    /// Goes on asking through one that is up until all nodes have the floor.
    async fn until_nodes_have_it(&self) {
        let mut calls = Vec::new();
        wait_until(async || {
            let (word, call) = self.answered(0, &format!("spreads-{}", calls.len())).await;
            assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
            calls.push(call);
            let lines = self.harness.context.capture.lines();
            let has = |id: u32| {
                lines
                    .iter()
                    .any(|line| matches!(line.observation, Observation::MinimumVersionStored { node, .. } if node == id))
            };
            self.harness.nodes.iter().all(|node| has(node.config.id))
        })
        .await;
    }

    /// The audit's table of acts against the nodes' sockets: no shot more or less.
    async fn audit_equals_the_sockets(&self) {
        let nodes = self.harness.nodes.iter().map(|node| {
            self.harness
                .discovery
                .endpoint(node.config.id)
                .expect("listed")
                .address
        });
        let nodes: Vec<String> = nodes
            .flat_map(|address| ["--node".into(), address])
            .collect();
        let line: Vec<&str> = ["audit"]
            .into_iter()
            .chain(nodes.iter().map(String::as_str))
            .collect();
        let audit = self.operator(&line).await;
        let text = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert!(
            audit.status.code() == Some(1) && text.contains("were turned away by the floor"),
            "{text}"
        );
        let table = text
            .lines()
            .skip_while(|line| !line.contains("dispatcher operations"))
            .skip(1);
        let rows: BTreeMap<(u32, u64), u64> = table
            .map_while(|line| {
                let row: Vec<u64> = line
                    .split_whitespace()
                    .map_while(|word| word.parse().ok())
                    .collect();
                let [dispatcher, version, shots, _, _] = row[..] else {
                    return None;
                };
                Some(((dispatcher as u32, version), shots))
            })
            .collect();
        let mut sockets: BTreeMap<(u32, u64), u64> = BTreeMap::new();
        for line in self.harness.context.capture.lines() {
            if let Observation::Offered {
                dispatcher,
                decided,
                ..
            } = line.observation
            {
                *sockets.entry((dispatcher, decided)).or_default() += 1;
            }
        }
        assert_eq!(rows, sockets, "{text}");
    }

    /// What the judge finds of the floor in what crossed the sockets.
    fn judged(&self) -> (Vec<String>, Vec<Line>) {
        let slow_start = SlowStartLimits {
            lasts_us: 0,
            window_us: 0,
            most: usize::MAX,
        };
        let (service_classes, nodes) = (Vec::new(), Vec::new());
        let rules = RuleParameters {
            seed: 1,
            service_classes,
            nodes,
            grace_us: u64::MAX,
            slow_start,
            slack_us: 0,
        };
        let mut lines = vec![Line {
            t: 0,
            observation: Observation::Rules(rules),
        }];
        lines.extend(self.harness.context.capture.lines());
        let found = check(&lines)
            .expect("readable")
            .into_iter()
            .filter(|breach| breach.rule == 8);
        (found.map(|breach| breach.to_string()).collect(), lines)
    }
}

fn refused_as(word: &Option<Event>) -> Option<RejectionReason> {
    match word {
        Some(Event::Rejected(refused)) => Some(refused.reason()),
        _ => None,
    }
}

fn story<F: Future<Output = ()>>(story: impl FnOnce(Stage) -> F) {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            let (newest, stale) = (stage.newest.0.address, stage.stale.0.address);
            for _ in 0..3 {
                stage.start(newest, KEEPERS).await;
            }
            stage.start(stale, KEEPERS).await;
            // Of this one's links all but those to nodes are cut, and the roster's.
            stage.start(stale, "").await;
            for number in 0..5 {
                stage.until_in_force(number, 1).await;
            }
            assert_eq!(stage.newest.0.publish(stage.texts(5), false).number, 2);
            for number in 0..3 {
                stage.until_in_force(number, 2).await;
            }
            story(stage).await;
        },
    );
}

#[test]
fn stragglers_are_shut_out_by_nodes_and_keepers_and_come_back_once_they_are_up() {
    story(async |stage| {
        // All may act as long as nobody has asked for a floor.
        let (before, _call) = stage.answered(4, "before").await;
        assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");
        let asked = stage.operator(&["floor", "2"]).await;
        let why = String::from_utf8_lossy(&asked.stderr).into_owned();
        assert!(
            !asked.status.success() && why.contains("for good; 3 are wanted"),
            "on trial yet: {why}"
        );
        let asked = stage.operator(&["floor", "2", "--part", "0"]).await;
        assert!(
            asked.status.success(),
            "{}",
            String::from_utf8_lossy(&asked.stderr)
        );
        // One hears of it from the keepers.
        wait_until(async || {
            refused_as(&stage.answered(3, "by-keepers").await.0) == Some(RejectionReason::Behind)
        })
        .await;
        stage.until_nodes_have_it().await;
        // The other from the node that it asks first: the ask in hand gets its one answer, the next
        // is refused at once.
        let first = stage.answered(4, "by-node").await.0;
        assert!(refused_as(&first).is_some(), "{first:?}");
        assert_eq!(
            refused_as(&stage.answered(4, "next").await.0),
            Some(RejectionReason::Behind)
        );
        let audit = stage.operator(&["audit"]).await;
        let told = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert_eq!(audit.status.code(), Some(1), "{told}");
        for straggler in [3, 4] {
            let address = stage.fleet[straggler].address;
            assert!(told.contains(&format!("{address} is shut out")), "{told}");
            assert!(
                told.contains(&format!(
                    "{address} is behind: on version 1, the newest is 2"
                )),
                "{told}"
            );
        }
        // Brought up, they act again by themselves.
        assert_eq!(stage.stale.0.publish(stage.texts(5), false).number, 2);
        for straggler in [3, 4] {
            stage.until_in_force(straggler, 2).await;
            let (word, _call) = stage.answered(straggler, &format!("up-{straggler}")).await;
            assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
        }
        let audit = stage.operator(&["audit"]).await;
        assert!(
            audit.status.success(),
            "{}",
            String::from_utf8_lossy(&audit.stdout)
        );
        stage.audit_equals_the_sockets().await;
        let (breaches, lines) = stage.judged();
        assert_eq!(breaches, [""; 0]);
        let below = lines.iter().filter(|line| {
            matches!(
                line.observation,
                Observation::Offered {
                    decided: 1,
                    dispatcher: 4,
                    ..
                }
            )
        });
        assert!(below.count() >= 2, "the judge has seen shots from below");
    });
}

#[test]
fn one_that_stood_still_across_the_raise_places_nothing_after_it() {
    story(async |stage| {
        let stopped = &stage.fleet[4];
        // Its link stands and its ask is on its way when it stops.
        let (before, _call) = stage.answered(4, "before").await;
        assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");
        let link = stage.link(4).await;
        stopped.signal(Signal::STOP);
        let call = stage.harness.tasks.spawn(async move {
            let asked = v1::PlacementRequest {
                deadline_ms: 10_000,
                ..placement_request("across", "web")
            };
            let mut words = PlacementClient::new(link)
                .place(asked)
                .await
                .expect("taken")
                .into_inner();
            next(&mut words).await
        });
        let asked = stage.operator(&["floor", "2", "--part", "0"]).await;
        assert!(
            asked.status.success(),
            "{}",
            String::from_utf8_lossy(&asked.stderr)
        );
        stage.until_nodes_have_it().await;
        stopped.signal(Signal::CONT);
        let word = call.await;
        assert!(refused_as(&word).is_some(), "{word:?}");
        wait_until(async || {
            refused_as(&stage.answered(4, "next").await.0) == Some(RejectionReason::Behind)
        })
        .await;
        assert_eq!(stage.judged().0, [""; 0]);
    });
}

/// All links of one process but the roster's run through relays: it hears no more of versions,
/// nodes and keepers while its links stand open, and what it says still gets through.
#[test]
fn one_that_hears_nothing_on_links_that_stand_is_shut_out_and_its_owners_get_their_answers() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            let tasks = stage.harness.tasks.clone();
            let newest = stage.newest.0.address;
            let control = Relay::start(&tasks, newest).await.expect("a port");
            // The same nodes, by addresses of relays to them.
            let (discovery, by) = Discovery::start(&stage.harness.context)
                .await
                .expect("a port");
            let mut nodes = Vec::new();
            for node in &stage.harness.nodes {
                let listed = stage
                    .harness
                    .discovery
                    .endpoint(node.config.id)
                    .expect("listed");
                let relay = Relay::start(&tasks, listed.address.parse().expect("an address"))
                    .await
                    .expect("a port");
                discovery.update(
                    Duration::ZERO,
                    v1::Endpoint {
                        address: relay.address.to_string(),
                        ..listed
                    },
                );
                nodes.push(relay);
            }
            for _ in 0..4 {
                stage.start(newest, KEEPERS).await;
            }
            stage.start_by(by, control.address, KEEPERS).await;
            for number in 0..5 {
                stage.until_in_force(number, 1).await;
            }
            let (before, _call) = stage.answered(4, "before").await;
            assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");

            control.hold(&[Direction::In]);
            nodes.iter().for_each(|node| node.hold(&[Direction::In]));
            assert_eq!(stage.newest.0.publish(stage.texts(5), false).number, 2);
            for number in 0..4 {
                stage.until_in_force(number, 2).await;
            }
            let asked = stage.operator(&["floor", "2", "--part", "0"]).await;
            assert!(
                asked.status.success(),
                "{}",
                String::from_utf8_lossy(&asked.stderr)
            );
            stage.until_nodes_have_it().await;
            // It reaches nodes that know the floor and hears neither them nor the keepers among
            // them.
            let deaf = stage.answered(4, "deaf").await.0;
            assert!(
                matches!(deaf, Some(Event::Rejected(_) | Event::Failed(_))),
                "one answer, in its time: {deaf:?}"
            );
            nodes.iter().for_each(Relay::heal);
            wait_until(async || {
                refused_as(&stage.answered(4, "heard").await.0) == Some(RejectionReason::Behind)
            })
            .await;
            control.heal();
            stage.until_in_force(4, 2).await;
            let (after, _call) = stage.answered(4, "after").await;
            assert!(matches!(after, Some(Event::Placed(_))), "{after:?}");
            let (breaches, lines) = stage.judged();
            assert_eq!(breaches, [""; 0]);
            let ran = lines.iter().filter(|line| match &line.observation {
                Observation::EventSent {
                    placement_id,
                    event,
                    ..
                } => placement_id == "deaf#0" && *event == AllocationEvent::Accepted,
                _ => false,
            });
            assert_eq!(
                ran.count(),
                0,
                "what it sent from below took effect nowhere"
            );
        },
    );
}

/// Its first life ends by a kill after a second version has come.
#[test]
fn which_versions_were_in_force_is_told_over_a_kill_and_by_the_next_life() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            stage.start(stage.newest.0.address, KEEPERS).await;
            stage.until_in_force(0, 1).await;
            assert_eq!(stage.newest.0.publish(stage.texts(5), false).number, 2);
            stage.until_in_force(0, 2).await;
            let over_time = async |stage: &Stage| {
                let audit = stage.operator(&["audit", "--since", "600"]).await;
                let text = String::from_utf8_lossy(&audit.stdout).into_owned();
                let spans = text
                    .lines()
                    .filter_map(|line| line.split_once(": version ")?.1.split_once(" from "));
                spans
                    .map(|(span, rest)| {
                        (span.to_string(), rest.rsplit(' ').next().map(String::from))
                    })
                    .collect::<Vec<_>>()
            };
            let before = over_time(&stage).await;
            let names: Vec<&str> = before.iter().map(|(span, _)| &span[..]).collect();
            assert_eq!(names, ["0 (its own file)", "1 (pushed)", "2 (pushed)"]);
            wait_until(async || !stage.status(0).await.history_incomplete).await;
            stage.fleet.clear();
            stage.start(stage.newest.0.address, KEEPERS).await;
            let after = over_time(&stage).await;
            assert_eq!(after[..3], before, "of the life that was killed");
            assert_eq!((&after[3].0[..], after.len()), ("2 (kept, at a start)", 4));
            assert_ne!(after[3].1, after[2].1, "another life");
        },
    );
}

/// Two processes that take their versions from the service that goes on.
fn pair<F: Future<Output = ()>>(story: impl FnOnce(Stage) -> F) {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            for _ in 0..2 {
                stage.start(stage.newest.0.address, KEEPERS).await;
            }
            for number in 0..2 {
                stage.until_in_force(number, 1).await;
            }
            story(stage).await;
        },
    );
}

#[test]
fn a_floor_needs_a_majority_of_keepers_and_their_silence_shuts_nobody_out() {
    pair(async |stage| {
        let floor = async |stage: &Stage, version: &str| {
            let asked = stage.operator(&["floor", version, "--part", "0"]).await;
            (
                asked.status.success(),
                String::from_utf8_lossy(&asked.stderr).into_owned(),
            )
        };
        let long = Duration::from_secs(3_600);
        stage.harness.nodes[0].cut_connections(long);
        stage.harness.nodes[1].cut_connections(long);
        let (taken, why) = floor(&stage, "1").await;
        assert!(!taken && why.contains("1 of 3 keepers answer"), "{why}");
        let (word, _call) = stage.answered(1, "alone").await;
        assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
        stage.harness.nodes[1].cut_connections(Duration::ZERO);
        wait_until(async || floor(&stage, "1").await.0).await;
        // Known to both before, it stays so with all keepers but one away.
        wait_until(async || {
            let heard = async |number| {
                stage
                    .status(number)
                    .await
                    .minimum_version
                    .is_some_and(|floor| floor.version == 1)
            };
            heard(0).await && heard(1).await
        })
        .await;
        stage.harness.nodes[1].cut_connections(long);
        let (taken, why) = floor(&stage, "0").await;
        assert!(!taken && why.contains("1 of 3 keepers answer"), "{why}");
        assert!(!stage.status(0).await.fenced);
    });
}

#[test]
fn two_operators_at_once_leave_one_floor_and_two_processes_under_one_number_are_told() {
    pair(async |mut stage| {
        for round in 0..3 {
            let raise = stage.operator(&["floor", "1", "--part", "0"]);
            let lower = stage.operator(&["floor", "0", "--part", "0"]);
            let (raise, lower) = futures_lite::future::zip(raise, lower).await;
            wait_until(async || {
                let floors = [
                    stage.status(0).await.minimum_version,
                    stage.status(1).await.minimum_version,
                ];
                floors[0].is_some() && floors[0] == floors[1]
            })
            .await;
            let stands = stage
                .status(0)
                .await
                .minimum_version
                .map(|floor| (floor.revision, floor.version));
            let told = |taken: &Output| String::from_utf8_lossy(&taken.stdout).into_owned();
            let (number, lowest) = stands.expect("one stands");
            let last = format!("minimum version {lowest}, revision {number}");
            let says = [&raise, &lower].map(|asked| told(asked).contains(&last));
            // Nobody is told that what stands is another's; of the two at most one is told that it
            // is his.
            assert!(
                says != [true, true],
                "round {round}: {} {}",
                told(&raise),
                told(&lower)
            );
        }
        stage.start_as(0, stage.newest.0.address).await;
        let audit = stage.operator(&["audit"]).await;
        let text = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert!(
            audit.status.code() == Some(1) && text.contains("are two processes under the number 0"),
            "{text}"
        );
        let audit = stage.operator(&["audit", "--json", "--since", "600"]).await;
        let told: serde_json::Value =
            serde_json::from_slice(&audit.stdout).expect("one JSON object");
        let dispatchers = told["dispatchers"].as_array().expect("a list");
        let numbers: Vec<_> = dispatchers
            .iter()
            .map(|own| own["number"].as_u64().expect("a number"))
            .collect();
        assert_eq!(
            (numbers, dispatchers[1]["spans"][1]["version"].as_u64()),
            (vec![0, 1, 0], Some(1))
        );
        assert_eq!(audit.status.code(), Some(1));
    });
}

/// The newest version whole, as a dispatcher would lay it on a keeper's shelf.
fn whole(stage: &Stage, number: u64, shots: usize, follows: u64) -> v1::VersionPush {
    let stamp = |number, shots| {
        let stamp = VersionId {
            number,
            digest: stage.texts(shots).digest(),
        };
        corkspan_testbed::control_service::version_id_message(stamp)
    };
    v1::VersionPush {
        version: Some(stamp(number, shots)),
        ancestors: vec![stamp(follows, 4)],
        parts: stage
            .texts(shots)
            .iter()
            .map(|(name, text)| (name.into(), text.into()))
            .collect(),
        ..v1::VersionPush::default()
    }
}

#[test]
fn those_that_no_service_brings_up_have_the_newest_from_another_dispatcher_or_a_keepers_shelf() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            let (newest, stale) = (stage.newest.0.address, stage.stale.0.address);
            for _ in 0..3 {
                stage.start(newest, KEEPERS).await;
            }
            // A link to a peer is cut at first, and one peer is gone: those that are left are
            // asked.
            let relay = Relay::start(&stage.harness.tasks, stage.fleet[1].address)
                .await
                .expect("a port");
            relay.hold(&[Direction::In]);
            stage.floor = format!(
                "(peers \"127.0.0.1:1\" \"{}\" \"{}\")",
                relay.address, stage.fleet[0].address
            );
            stage.start(stale, KEEPERS).await;
            stage.floor = String::new();
            stage.start(stale, KEEPERS).await;
            for number in 0..5 {
                stage.until_in_force(number, 1).await;
            }
            assert_eq!(stage.newest.0.publish(stage.texts(5), false).number, 2);
            for number in 0..3 {
                stage.until_in_force(number, 2).await;
            }
            let asked = stage.operator(&["floor", "2", "--part", "0"]).await;
            assert!(
                asked.status.success(),
                "{}",
                String::from_utf8_lossy(&asked.stderr)
            );
            stage.until_in_force(3, 2).await;
            // The other knows keepers alone, and on their shelves lies a rival's version, which it
            // can't take.
            wait_until(async || {
                refused_as(&stage.answered(4, "out").await.0) == Some(RejectionReason::Behind)
            })
            .await;
            let lay = async |keeper: usize, push: v1::VersionPush| {
                let entry = stage
                    .harness
                    .discovery
                    .endpoint(stage.harness.nodes[keeper].config.id)
                    .expect("listed");
                let address = entry.address.parse().expect("an address");
                let link =
                    Connection::open(&stage.harness.tasks, address, &ConnectionLimits::default())
                        .await
                        .expect("it listens");
                let ask = v1::QuorumRequest {
                    operation: Some(v1::quorum_request::Operation::StoreVersion(push)),
                };
                NodeClient::new(link)
                    .keep(ask)
                    .await
                    .expect("a word")
                    .into_inner()
                    .stored_version
            };
            let rival = whole(&stage, 3, 3, 9);
            assert_eq!(lay(0, rival.clone()).await, rival.version);
            wait_until(async || stage.status(4).await.last_rejected == rival.version).await;
            assert!(stage.status(4).await.reasons[0].contains("split"));
            let mut liar = whole(&stage, 2, 5, 1);
            liar.parts.insert("tracks".into(), "(tracks)".into());
            assert_eq!(
                lay(1, liar).await,
                None,
                "a keeper takes no version whose digest is another"
            );
            assert!(lay(2, whole(&stage, 2, 5, 1)).await.is_some());
            stage.until_in_force(4, 2).await;
            for straggler in [3, 4] {
                let (word, _call) = stage.answered(straggler, &format!("up-{straggler}")).await;
                assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
            }
            let audit = stage.operator(&["audit", "--since", "600"]).await;
            let text = String::from_utf8_lossy(&audit.stdout).into_owned();
            assert_eq!(
                text.matches("version 2 (brought by another)").count(),
                2,
                "{text}"
            );
            assert_eq!(stage.judged().0, [""; 0]);
        },
    );
}

#[test]
fn a_floor_is_raised_by_its_rule_once_enough_run_a_version_for_good() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            stage.floor = "(behind 3) (part 600)".into();
            let kept = |stage: &Stage, number, shots| {
                let texts = stage.texts(shots);
                let stamp = VersionId {
                    number,
                    digest: texts.digest(),
                };
                PersistedVersions {
                    last_good: Some(Version { id: stamp, texts }),
                    ..PersistedVersions::default()
                }
            };
            // Two of five run 9 for good: not enough. Nobody streams.
            let nobody: SocketAddr = "127.0.0.1:1".parse().expect("an address");
            for number in 0..5 {
                let version = if number < 2 { 9 } else { 2 };
                let path = stage.folder.path().join(format!("versions-{number}.json"));
                save(&path, &kept(&stage, version, 4)).expect("kept");
                stage.start(nobody, KEEPERS).await;
            }
            // Each has told its version in two rounds at least once all are known to all.
            wait_until(async || {
                let told = stage.operator(&["audit"]).await;
                String::from_utf8_lossy(&told.stdout)
                    .matches(" acts")
                    .count()
                    >= 5
            })
            .await;
            let (word, _call) = stage.answered(4, "before").await;
            assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
            assert_eq!(stage.status(0).await.minimum_version, None);
            // A third one comes back with it.
            stage.fleet.truncate(4);
            let path = stage.folder.path().join("versions-4.json");
            save(&path, &kept(&stage, 9, 4)).expect("kept");
            stage.start(nobody, KEEPERS).await;
            wait_until(async || {
                stage
                    .status(0)
                    .await
                    .minimum_version
                    .is_some_and(|floor| floor.version == 6)
            })
            .await;
            wait_until(async || {
                refused_as(&stage.answered(3, "behind").await.0) == Some(RejectionReason::Behind)
            })
            .await;
            let (word, _call) = stage.answered(4, "after").await;
            assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
            assert_eq!(stage.judged().0, [""; 0]);
        },
    );
}

/// Each line that could not be written was told on the same full disk, which ended the process.
#[test]
fn a_dispatcher_whose_log_lies_on_a_full_disk_goes_on_placing() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut stage = Stage::new(harness).await;
            let file = stage.folder.path().join("full.sexp");
            std::fs::write(&file, stage.deployment("")).expect("written");
            let full = std::fs::OpenOptions::new()
                .write(true)
                .open("/dev/full")
                .expect("a full disk");
            stage
                .fleet
                .push(Process::start_logging(file, "debug", full.into()).await);
            wait_until(async || {
                let mut client = PlacementClient::new(stage.link(0).await);
                let status = client
                    .status(v1::StatusRequest {})
                    .await
                    .expect("it goes on")
                    .into_inner();
                status.machines_serving == 3
            })
            .await;
            let (word, _call) = stage.answered(0, "placed").await;
            assert!(matches!(word, Some(Event::Placed(_))), "{word:?}");
        },
    );
}
