//! Tests of the minimum version among dispatcher processes started from the command line, some of
//! which receive no newer versions. The checks read the captured traffic of the nodes' sockets.

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

/// A dispatcher process, killed when it is dropped.
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
    pub async fn start(path: std::path::PathBuf) -> Process {
        Process::start_logging(path, "error", Stdio::inherit()).await
    }

    async fn start_logging(path: std::path::PathBuf, level: &'static str, log: Stdio) -> Process {
        blocking::unblock(move || {
            let mut command = Command::new(PROGRAM);
            command
                .args(["corkspan", "serve", "--level", level])
                .arg(path)
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

/// Dispatcher processes and their nodes. Some of the dispatchers take their versions from a control
/// service that publishes no newer ones.
struct Fixture {
    harness: Harness,
    newest: (ControlService, ControlServiceGuard),
    stale: (ControlService, ControlServiceGuard),
    directory: tempfile::TempDir,
    fleet: Vec<Process>,
    /// Forms for the `floor` settings of the next process, in addition to the poll interval.
    minimum_version_forms: String,
}

const QUORUM_MEMBERS: &str = "(keepers 0 1 2)";

impl Fixture {
    async fn new(harness: Harness) -> Fixture {
        let newest = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let stale = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let fixture = Fixture {
            harness,
            newest,
            stale,
            directory: tempfile::tempdir().expect("a folder"),
            fleet: Vec::new(),
            minimum_version_forms: String::new(),
        };
        for control in [&fixture.newest.0, &fixture.stale.0] {
            assert_eq!(control.publish(fixture.shared_parts(4), false).number, 1);
        }
        fixture
    }

    fn deployment(&self, extra_forms: &str) -> String {
        deployment(self.harness.discovery.address, extra_forms)
            .replace("(schedulers 1)", "(schedulers 5)")
    }

    fn shared_parts(&self, max_attempts: usize) -> SharedParts {
        SharedParts::parse(
            "version",
            &self.deployment(&format!("(shots {max_attempts})")),
        )
        .expect("valid")
    }

    async fn start(&mut self, control: SocketAddr, quorum_members: &str) {
        self.start_with_discovery(self.harness.discovery.address, control, quorum_members)
            .await;
    }

    /// Starts another process under a number that is in use, with its own files.
    async fn start_with_number(&mut self, number: usize, control: SocketAddr) {
        let discovery = self.harness.discovery.address;
        self.start_process(number, discovery, control, QUORUM_MEMBERS)
            .await;
    }

    /// Starts a process that uses another discovery address.
    async fn start_with_discovery(
        &mut self,
        discovery: SocketAddr,
        control: SocketAddr,
        quorum_members: &str,
    ) {
        self.start_process(self.fleet.len(), discovery, control, quorum_members)
            .await;
    }

    async fn start_process(
        &mut self,
        number: usize,
        discovery: SocketAddr,
        control: SocketAddr,
        quorum_members: &str,
    ) {
        let index = self.fleet.len();
        let versions_path = self.directory.path().join(format!("versions-{index}.json"));
        let store = self.directory.path().join(format!("store-{index}.redb"));
        let extra_forms = format!(
            "(control \"{control}\") (versions {versions_path:?}) (rolls {store:?}) {quorum_members} (floor (every 1 s) {})",
            self.minimum_version_forms
        );
        let text = self.deployment(&extra_forms).replace(
            &self.harness.discovery.address.to_string(),
            &discovery.to_string(),
        );
        let text = text.replace("(number 0)", &format!("(number {number})"));
        let path = self.directory.path().join(format!("{index}.sexp"));
        std::fs::write(&path, text).expect("written");
        self.fleet.push(Process::start(path).await);
    }

    /// Runs the operator's command line against all processes.
    async fn operator(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(["corkspan", "fleet"]).args(arguments);
        command.args(self.fleet.iter().map(|process| process.address.to_string()));
        blocking::unblock(move || command.output().expect("it runs")).await
    }

    async fn connect(&self, number: usize) -> Connection {
        let limits = ConnectionLimits {
            connect_timeout: WAIT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        Connection::open(&self.harness.tasks, self.fleet[number].address, &limits)
            .await
            .expect("it listens")
    }

    async fn request_placement(
        &self,
        number: usize,
        task: &str,
    ) -> tonic::Streaming<v1::PlacementEvent> {
        let mut client = PlacementClient::new(self.connect(number).await);
        client
            .place(placement_request(task, "web"))
            .await
            .expect("the call is accepted")
            .into_inner()
    }

    /// Requests a placement and returns its first event and the event stream; the allocation runs
    /// only as long as the stream is held.
    async fn first_event(
        &self,
        number: usize,
        task: &str,
    ) -> (Option<Event>, tonic::Streaming<v1::PlacementEvent>) {
        let mut events = self.request_placement(number, task).await;
        (next(&mut events).await, events)
    }

    async fn status(&self, number: usize) -> v1::VersionStatus {
        let mut client = VersionsClient::new(self.connect(number).await);
        client
            .status(v1::VersionStatusRequest {})
            .await
            .expect("a status")
            .into_inner()
    }

    async fn wait_until_active(&self, number: usize, version: u64) {
        wait_until(async || {
            self.status(number)
                .await
                .active
                .is_some_and(|running| running.number == version)
        })
        .await;
    }

    /// Places tasks through an up-to-date dispatcher until all nodes have stored the minimum
    /// version.
    async fn wait_until_nodes_store_minimum(&self) {
        // The dispatcher may hear of the minimum version only at its next poll. Until then it must
        // not place as many allocations as fit on all nodes together.
        const INTERVAL: Duration = Duration::from_millis(100);
        let mut calls = Vec::new();
        wait_until(async || {
            async_io::Timer::after(INTERVAL).await;
            let (event, call) = self.first_event(0, &format!("spreads-{}", calls.len())).await;
            assert!(
                matches!(event, Some(Event::Placed(_))),
                "{event:?}; see {}",
                self.harness.save_capture().display()
            );
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

    /// Asserts that the audit counts exactly the attempts that the nodes' sockets captured.
    async fn assert_audit_matches_capture(&self) {
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
        let arguments: Vec<&str> = ["audit"]
            .into_iter()
            .chain(nodes.iter().map(String::as_str))
            .collect();
        let audit = self.operator(&arguments).await;
        let text = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert!(
            audit.status.code() == Some(1)
                && text.contains("were rejected as below the minimum version"),
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
                    .map_while(|field| field.parse().ok())
                    .collect();
                let [dispatcher, version, attempts, _, _] = row[..] else {
                    return None;
                };
                Some(((dispatcher as u32, version), attempts))
            })
            .collect();
        let mut captured: BTreeMap<(u32, u64), u64> = BTreeMap::new();
        for line in self.harness.context.capture.lines() {
            if let Observation::Offered {
                dispatcher,
                version_number,
                ..
            } = line.observation
            {
                *captured.entry((dispatcher, version_number)).or_default() += 1;
            }
        }
        assert_eq!(rows, captured, "{text}");
    }

    /// Returns the breaches of the minimum version that the checker finds in the capture, and the
    /// captured lines.
    fn minimum_version_breaches(&self) -> (Vec<String>, Vec<Line>) {
        let slow_start = SlowStartLimits {
            lasts_us: 0,
            window_us: 0,
            max_offers: usize::MAX,
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

fn rejection_reason(event: &Option<Event>) -> Option<RejectionReason> {
    match event {
        Some(Event::Rejected(rejected)) => Some(rejected.reason()),
        _ => None,
    }
}

fn run_with_stale_dispatchers<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            let (newest, stale) = (fixture.newest.0.address, fixture.stale.0.address);
            for _ in 0..3 {
                fixture.start(newest, QUORUM_MEMBERS).await;
            }
            fixture.start(stale, QUORUM_MEMBERS).await;
            // This dispatcher has no quorum members configured. Besides discovery it hears only
            // from nodes, and learns of the minimum version from them alone.
            fixture.start(stale, "").await;
            for number in 0..5 {
                fixture.wait_until_active(number, 1).await;
            }
            assert_eq!(
                fixture
                    .newest
                    .0
                    .publish(fixture.shared_parts(5), false)
                    .number,
                2
            );
            for number in 0..3 {
                fixture.wait_until_active(number, 2).await;
            }
            test(fixture).await;
        },
    );
}

#[test]
fn lagging_dispatchers_are_fenced_by_nodes_and_quorum_members_until_they_catch_up() {
    run_with_stale_dispatchers(async |fixture| {
        // All dispatchers may act until a minimum version is set.
        let (before, _call) = fixture.first_event(4, "before").await;
        assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");
        let output = fixture.operator(&["floor", "2"]).await;
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && stderr.contains("or a later one; 3 are required"),
            "the version is still on trial: {stderr}"
        );
        let output = fixture.operator(&["floor", "2", "--part", "0"]).await;
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        // Dispatcher 3 learns of the minimum version from the quorum members.
        wait_until(async || {
            rejection_reason(&fixture.first_event(3, "by-keepers").await.0)
                == Some(RejectionReason::Behind)
        })
        .await;
        fixture.wait_until_nodes_store_minimum().await;
        // Dispatcher 4 learns of it from the first node that it contacts: the request in flight
        // gets its one reply, the next is rejected at once.
        let first = fixture.first_event(4, "by-node").await.0;
        assert!(rejection_reason(&first).is_some(), "{first:?}");
        assert_eq!(
            rejection_reason(&fixture.first_event(4, "next").await.0),
            Some(RejectionReason::Behind)
        );
        let audit = fixture.operator(&["audit"]).await;
        let report = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert_eq!(audit.status.code(), Some(1), "{report}");
        for lagging in [3, 4] {
            let address = fixture.fleet[lagging].address;
            assert!(
                report.contains(&format!("{address} is fenced: its version")),
                "{report}"
            );
            assert!(
                report.contains(&format!(
                    "{address} is behind: on version 1, the newest is 2"
                )),
                "{report}"
            );
        }
        // Once caught up, they act again without intervention.
        assert_eq!(
            fixture
                .stale
                .0
                .publish(fixture.shared_parts(5), false)
                .number,
            2
        );
        for lagging in [3, 4] {
            fixture.wait_until_active(lagging, 2).await;
            let (event, _call) = fixture.first_event(lagging, &format!("up-{lagging}")).await;
            assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
        }
        let audit = fixture.operator(&["audit"]).await;
        assert!(
            audit.status.success(),
            "{}",
            String::from_utf8_lossy(&audit.stdout)
        );
        fixture.assert_audit_matches_capture().await;
        let (breaches, lines) = fixture.minimum_version_breaches();
        assert_eq!(breaches, [""; 0]);
        let fenced_attempts = lines.iter().filter(|line| {
            matches!(
                line.observation,
                Observation::Offered {
                    version_number: 1,
                    dispatcher: 4,
                    ..
                }
            )
        });
        assert!(
            fenced_attempts.count() >= 2,
            "the capture holds attempts below the minimum version"
        );
    });
}

#[test]
fn a_dispatcher_paused_while_the_minimum_version_is_raised_places_nothing_afterwards() {
    run_with_stale_dispatchers(async |fixture| {
        let paused = &fixture.fleet[4];
        // The dispatcher is paused while its connections are open and a request is on its way.
        let (before, _call) = fixture.first_event(4, "before").await;
        assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");
        let connection = fixture.connect(4).await;
        paused.signal(Signal::STOP);
        let call = fixture.harness.tasks.spawn(async move {
            let request = v1::PlacementRequest {
                deadline_ms: 10_000,
                ..placement_request("across", "web")
            };
            let mut events = PlacementClient::new(connection)
                .place(request)
                .await
                .expect("the call is accepted")
                .into_inner();
            next(&mut events).await
        });
        let output = fixture.operator(&["floor", "2", "--part", "0"]).await;
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        fixture.wait_until_nodes_store_minimum().await;
        paused.signal(Signal::CONT);
        let event = call.await;
        assert!(rejection_reason(&event).is_some(), "{event:?}");
        wait_until(async || {
            rejection_reason(&fixture.first_event(4, "next").await.0)
                == Some(RejectionReason::Behind)
        })
        .await;
        assert_eq!(fixture.minimum_version_breaches().0, [""; 0]);
    });
}

/// All connections of one process except the one to discovery run through relays. The relays then
/// hold everything towards it: it receives nothing from the control service, nodes and quorum
/// members over connections that stay open, while its own messages still arrive.
#[test]
fn a_dispatcher_that_receives_nothing_on_open_connections_is_fenced_and_its_clients_get_a_reply() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            let tasks = fixture.harness.tasks.clone();
            let newest = fixture.newest.0.address;
            let control = Relay::start(&tasks, newest).await.expect("a port");
            // Lists the same nodes at the addresses of relays.
            let (discovery, relayed_discovery) = Discovery::start(&fixture.harness.context)
                .await
                .expect("a port");
            let mut nodes = Vec::new();
            for node in &fixture.harness.nodes {
                let listed = fixture
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
                fixture.start(newest, QUORUM_MEMBERS).await;
            }
            fixture
                .start_with_discovery(relayed_discovery, control.address, QUORUM_MEMBERS)
                .await;
            for number in 0..5 {
                fixture.wait_until_active(number, 1).await;
            }
            let (before, _call) = fixture.first_event(4, "before").await;
            assert!(matches!(before, Some(Event::Placed(_))), "{before:?}");

            control.hold(&[Direction::In]);
            nodes.iter().for_each(|node| node.hold(&[Direction::In]));
            assert_eq!(
                fixture
                    .newest
                    .0
                    .publish(fixture.shared_parts(5), false)
                    .number,
                2
            );
            for number in 0..4 {
                fixture.wait_until_active(number, 2).await;
            }
            let output = fixture.operator(&["floor", "2", "--part", "0"]).await;
            assert!(
                output.status.success(),
                "{}",
                String::from_utf8_lossy(&output.stderr)
            );
            fixture.wait_until_nodes_store_minimum().await;
            // Its messages reach nodes that know the minimum version, but no reply from nodes or
            // quorum members reaches it.
            let during_cut = fixture.first_event(4, "deaf").await.0;
            assert!(
                matches!(during_cut, Some(Event::Rejected(_) | Event::Failed(_))),
                "one reply before the deadline: {during_cut:?}"
            );
            nodes.iter().for_each(Relay::heal);
            wait_until(async || {
                rejection_reason(&fixture.first_event(4, "heard").await.0)
                    == Some(RejectionReason::Behind)
            })
            .await;
            control.heal();
            fixture.wait_until_active(4, 2).await;
            let (after, _call) = fixture.first_event(4, "after").await;
            assert!(matches!(after, Some(Event::Placed(_))), "{after:?}");
            let (breaches, lines) = fixture.minimum_version_breaches();
            assert_eq!(breaches, [""; 0]);
            let accepted = lines.iter().filter(|line| match &line.observation {
                Observation::EventSent {
                    placement_id,
                    event,
                    ..
                } => placement_id == "deaf#0" && *event == AllocationEvent::Accepted,
                _ => false,
            });
            assert_eq!(
                accepted.count(),
                0,
                "no node accepted what it sent below the minimum version"
            );
        },
    );
}

/// The first incarnation is killed after a second version became active.
#[test]
fn version_history_survives_a_kill_and_continues_in_the_next_incarnation() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            fixture
                .start(fixture.newest.0.address, QUORUM_MEMBERS)
                .await;
            fixture.wait_until_active(0, 1).await;
            assert_eq!(
                fixture
                    .newest
                    .0
                    .publish(fixture.shared_parts(5), false)
                    .number,
                2
            );
            fixture.wait_until_active(0, 2).await;
            let version_intervals = async |fixture: &Fixture| {
                let audit = fixture.operator(&["audit", "--since", "600"]).await;
                let text = String::from_utf8_lossy(&audit.stdout).into_owned();
                let intervals = text
                    .lines()
                    .filter_map(|line| line.split_once(": version ")?.1.split_once(" from "));
                intervals
                    .map(|(interval, rest)| {
                        (
                            interval.to_string(),
                            rest.rsplit(' ').next().map(String::from),
                        )
                    })
                    .collect::<Vec<_>>()
            };
            let before = version_intervals(&fixture).await;
            let names: Vec<&str> = before.iter().map(|(interval, _)| &interval[..]).collect();
            assert_eq!(names, ["0 (its own file)", "1 (pushed)", "2 (pushed)"]);
            wait_until(async || !fixture.status(0).await.history_incomplete).await;
            fixture.fleet.clear();
            fixture
                .start(fixture.newest.0.address, QUORUM_MEMBERS)
                .await;
            let after = version_intervals(&fixture).await;
            assert_eq!(
                after[..3],
                before,
                "the history of the killed incarnation is kept"
            );
            assert_eq!((&after[3].0[..], after.len()), ("2 (kept, at a start)", 4));
            assert_ne!(after[3].1, after[2].1, "the incarnations differ");
        },
    );
}

/// Runs a test against two processes whose control service keeps publishing.
fn run_with_two_dispatchers<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            for _ in 0..2 {
                fixture
                    .start(fixture.newest.0.address, QUORUM_MEMBERS)
                    .await;
            }
            for number in 0..2 {
                fixture.wait_until_active(number, 1).await;
            }
            test(fixture).await;
        },
    );
}

#[test]
fn a_minimum_version_needs_a_quorum_and_losing_the_quorum_fences_no_dispatcher() {
    run_with_two_dispatchers(async |fixture| {
        let set_minimum = async |fixture: &Fixture, version: &str| {
            let output = fixture.operator(&["floor", version, "--part", "0"]).await;
            (
                output.status.success(),
                String::from_utf8_lossy(&output.stderr).into_owned(),
            )
        };
        let cut_time = Duration::from_secs(3_600);
        fixture.harness.nodes[0].cut_connections(cut_time);
        fixture.harness.nodes[1].cut_connections(cut_time);
        let (accepted, stderr) = set_minimum(&fixture, "1").await;
        assert!(
            !accepted && stderr.contains("1 of 3 quorum members reply"),
            "{stderr}"
        );
        let (event, _call) = fixture.first_event(1, "alone").await;
        assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
        fixture.harness.nodes[1].cut_connections(Duration::ZERO);
        wait_until(async || set_minimum(&fixture, "1").await.0).await;
        // Both dispatchers know the minimum version, and keep it while only one quorum member is
        // reachable.
        wait_until(async || {
            let knows_minimum = async |number| {
                fixture
                    .status(number)
                    .await
                    .minimum_version
                    .is_some_and(|minimum| minimum.version == 1)
            };
            knows_minimum(0).await && knows_minimum(1).await
        })
        .await;
        fixture.harness.nodes[1].cut_connections(cut_time);
        let (accepted, stderr) = set_minimum(&fixture, "0").await;
        assert!(
            !accepted && stderr.contains("1 of 3 quorum members reply"),
            "{stderr}"
        );
        assert!(!fixture.status(0).await.fenced);
    });
}

#[test]
fn concurrent_operators_leave_one_minimum_version_and_the_audit_reports_a_duplicate_number() {
    run_with_two_dispatchers(async |mut fixture| {
        for round in 0..3 {
            let raise = fixture.operator(&["floor", "1", "--part", "0"]);
            let lower = fixture.operator(&["floor", "0", "--part", "0"]);
            let (raise, lower) = futures_lite::future::zip(raise, lower).await;
            wait_until(async || {
                let floors = [
                    fixture.status(0).await.minimum_version,
                    fixture.status(1).await.minimum_version,
                ];
                floors[0].is_some() && floors[0] == floors[1]
            })
            .await;
            let current = fixture
                .status(0)
                .await
                .minimum_version
                .map(|minimum| (minimum.revision, minimum.version));
            let stdout = |output: &Output| String::from_utf8_lossy(&output.stdout).into_owned();
            let (revision, minimum) = current.expect("a minimum version is set");
            let final_line = format!("minimum version {minimum}, revision {revision}");
            let claims_current =
                [&raise, &lower].map(|output| stdout(output).contains(&final_line));
            // At most one of the two operators is told that the minimum version now active is the
            // one they set.
            assert!(
                claims_current != [true, true],
                "round {round}: {} {}",
                stdout(&raise),
                stdout(&lower)
            );
        }
        fixture.start_with_number(0, fixture.newest.0.address).await;
        let audit = fixture.operator(&["audit"]).await;
        let text = String::from_utf8_lossy(&audit.stdout).into_owned();
        assert!(
            audit.status.code() == Some(1) && text.contains("are two processes under the number 0"),
            "{text}"
        );
        let audit = fixture
            .operator(&["audit", "--json", "--since", "600"])
            .await;
        let report: serde_json::Value =
            serde_json::from_slice(&audit.stdout).expect("one JSON object");
        let dispatchers = report["dispatchers"].as_array().expect("a list");
        let numbers: Vec<_> = dispatchers
            .iter()
            .map(|dispatcher| dispatcher["number"].as_u64().expect("a number"))
            .collect();
        assert_eq!(
            (numbers, dispatchers[1]["spans"][1]["version"].as_u64()),
            (vec![0, 1, 0], Some(1))
        );
        assert_eq!(audit.status.code(), Some(1));
    });
}

/// Returns a full version push, as a dispatcher stores it on a quorum member.
fn version_push(
    fixture: &Fixture,
    number: u64,
    max_attempts: usize,
    predecessor: u64,
) -> v1::VersionPush {
    let message = |number, max_attempts| {
        let version_id = VersionId {
            number,
            digest: fixture.shared_parts(max_attempts).digest(),
        };
        corkspan_testbed::control_service::version_id_message(version_id)
    };
    v1::VersionPush {
        version: Some(message(number, max_attempts)),
        ancestors: vec![message(predecessor, 4)],
        parts: fixture
            .shared_parts(max_attempts)
            .iter()
            .map(|(name, text)| (name.into(), text.into()))
            .collect(),
        ..v1::VersionPush::default()
    }
}

#[test]
fn dispatchers_without_a_current_control_service_catch_up_from_a_peer_or_a_quorum_member() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            let (newest, stale) = (fixture.newest.0.address, fixture.stale.0.address);
            for _ in 0..3 {
                fixture.start(newest, QUORUM_MEMBERS).await;
            }
            // The connection to one peer is cut and another peer is down, so the remaining peer is
            // queried.
            let relay = Relay::start(&fixture.harness.tasks, fixture.fleet[1].address)
                .await
                .expect("a port");
            relay.hold(&[Direction::In]);
            fixture.minimum_version_forms = format!(
                "(peers \"127.0.0.1:1\" \"{}\" \"{}\")",
                relay.address, fixture.fleet[0].address
            );
            fixture.start(stale, QUORUM_MEMBERS).await;
            fixture.minimum_version_forms = String::new();
            fixture.start(stale, QUORUM_MEMBERS).await;
            for number in 0..5 {
                fixture.wait_until_active(number, 1).await;
            }
            assert_eq!(
                fixture
                    .newest
                    .0
                    .publish(fixture.shared_parts(5), false)
                    .number,
                2
            );
            for number in 0..3 {
                fixture.wait_until_active(number, 2).await;
            }
            let output = fixture.operator(&["floor", "2", "--part", "0"]).await;
            assert!(
                output.status.success(),
                "{}",
                String::from_utf8_lossy(&output.stderr)
            );
            fixture.wait_until_active(3, 2).await;
            // Dispatcher 4 has no peers configured, and the quorum members store a version of
            // another lineage, which it must reject.
            wait_until(async || {
                rejection_reason(&fixture.first_event(4, "out").await.0)
                    == Some(RejectionReason::Behind)
            })
            .await;
            let store_version = async |quorum_member: usize, push: v1::VersionPush| {
                let entry = fixture
                    .harness
                    .discovery
                    .endpoint(fixture.harness.nodes[quorum_member].config.id)
                    .expect("listed");
                let address = entry.address.parse().expect("an address");
                let connection = Connection::open(
                    &fixture.harness.tasks,
                    address,
                    &ConnectionLimits::default(),
                )
                .await
                .expect("it listens");
                let request = v1::QuorumRequest {
                    operation: Some(v1::quorum_request::Operation::StoreVersion(push)),
                };
                NodeClient::new(connection)
                    .keep(request)
                    .await
                    .expect("a reply")
                    .into_inner()
                    .stored_version
            };
            let unrelated = version_push(&fixture, 3, 3, 9);
            assert_eq!(store_version(0, unrelated.clone()).await, unrelated.version);
            wait_until(async || fixture.status(4).await.last_rejected == unrelated.version).await;
            assert!(fixture.status(4).await.reasons[0].contains("split"));
            let mut wrong_digest = version_push(&fixture, 2, 5, 1);
            wrong_digest
                .parts
                .insert("tracks".into(), "(tracks)".into());
            assert_eq!(
                store_version(1, wrong_digest).await,
                None,
                "a quorum member stores no version whose digest does not match"
            );
            assert!(
                store_version(2, version_push(&fixture, 2, 5, 1))
                    .await
                    .is_some()
            );
            fixture.wait_until_active(4, 2).await;
            for lagging in [3, 4] {
                let (event, _call) = fixture.first_event(lagging, &format!("up-{lagging}")).await;
                assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
            }
            let audit = fixture.operator(&["audit", "--since", "600"]).await;
            let text = String::from_utf8_lossy(&audit.stdout).into_owned();
            assert_eq!(
                text.matches("version 2 (brought by another)").count(),
                2,
                "{text}"
            );
            assert_eq!(fixture.minimum_version_breaches().0, [""; 0]);
        },
    );
}

#[test]
fn the_policy_raises_the_minimum_version_once_enough_dispatchers_have_adopted_a_version() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            fixture.minimum_version_forms = "(behind 3) (part 600)".into();
            let persisted_versions = |fixture: &Fixture, number, max_attempts| {
                let shared_parts = fixture.shared_parts(max_attempts);
                let version_id = VersionId {
                    number,
                    digest: shared_parts.digest(),
                };
                PersistedVersions {
                    last_good: Some(Version {
                        id: version_id,
                        texts: shared_parts,
                    }),
                    ..PersistedVersions::default()
                }
            };
            // Two of five dispatchers have adopted version 9, which is too few. No control service
            // is reachable.
            let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("an address");
            for number in 0..5 {
                let version = if number < 2 { 9 } else { 2 };
                let path = fixture
                    .directory
                    .path()
                    .join(format!("versions-{number}.json"));
                save(&path, &persisted_versions(&fixture, version, 4)).expect("stored");
                fixture.start(unreachable, QUORUM_MEMBERS).await;
            }
            // Once every dispatcher knows all others, each has reported its version in at least two
            // rounds.
            wait_until(async || {
                let output = fixture.operator(&["audit"]).await;
                String::from_utf8_lossy(&output.stdout)
                    .matches(" acts")
                    .count()
                    >= 5
            })
            .await;
            let (event, _call) = fixture.first_event(4, "before").await;
            assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
            assert_eq!(fixture.status(0).await.minimum_version, None);
            // A third dispatcher restarts with version 9.
            fixture.fleet.truncate(4);
            let path = fixture.directory.path().join("versions-4.json");
            save(&path, &persisted_versions(&fixture, 9, 4)).expect("stored");
            fixture.start(unreachable, QUORUM_MEMBERS).await;
            wait_until(async || {
                fixture
                    .status(0)
                    .await
                    .minimum_version
                    .is_some_and(|minimum| minimum.version == 6)
            })
            .await;
            wait_until(async || {
                rejection_reason(&fixture.first_event(3, "behind").await.0)
                    == Some(RejectionReason::Behind)
            })
            .await;
            let (event, _call) = fixture.first_event(4, "after").await;
            assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
            assert_eq!(fixture.minimum_version_breaches().0, [""; 0]);
        },
    );
}

/// A failed write to the log was itself logged to the same full disk, which ended the process.
#[test]
fn a_dispatcher_keeps_placing_when_its_log_is_on_a_full_disk() {
    Harness::run(
        Layout {
            nodes: 3,
            ..Layout::default()
        },
        async |harness| {
            let mut fixture = Fixture::new(harness).await;
            let path = fixture.directory.path().join("full.sexp");
            std::fs::write(&path, fixture.deployment("")).expect("written");
            let full = std::fs::OpenOptions::new()
                .write(true)
                .open("/dev/full")
                .expect("a full disk");
            fixture
                .fleet
                .push(Process::start_logging(path, "debug", full.into()).await);
            wait_until(async || {
                let mut client = PlacementClient::new(fixture.connect(0).await);
                let status = client
                    .status(v1::StatusRequest {})
                    .await
                    .expect("it keeps running")
                    .into_inner();
                status.machines_serving == 3
            })
            .await;
            let (event, _call) = fixture.first_event(0, "placed").await;
            assert!(matches!(event, Some(Event::Placed(_))), "{event:?}");
        },
    );
}
