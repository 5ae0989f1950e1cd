//! Tests maintenance by dispatcher processes, some of which are killed and cut off meanwhile. The
//! checks read the nodes' own cordon states and sockets.

use crate::fleet::Process;
use crate::harness::*;
use async_io::Timer;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_rpc::{Connection, ConnectionLimits};
use corkspan_testbed::capture::{AllocationEvent, Observation};
use corkspan_testbed::discovery::Discovery;
use corkspan_testbed::relay::{Direction, Relay};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_corkspan-testbed");

struct Fixture {
    harness: Harness,
    directory: tempfile::TempDir,
    fleet: Vec<Option<Process>>,
}

impl Fixture {
    async fn start(&mut self, number: usize, discovery: SocketAddr) {
        let store = self.directory.path().join(format!("store-{number}.redb"));
        let extra_forms = format!("(keepers 0 1 2) (rolls {store:?}) (maintenance (every 100 ms))");
        let text = deployment(discovery, &extra_forms).replace("(schedulers 1)", "(schedulers 5)");
        let file = self.directory.path().join(format!("{number}.sexp"));
        std::fs::write(
            &file,
            text.replace("(number 0)", &format!("(number {number})")),
        )
        .expect("written");
        let process = Process::start(file).await;
        match self.fleet.get_mut(number) {
            Some(slot) => *slot = Some(process),
            None => self.fleet.push(Some(process)),
        }
    }

    fn address(&self, number: usize) -> SocketAddr {
        self.fleet[number].as_ref().expect("it runs").address
    }

    async fn operator(&self, number: usize, subcommand: &str, arguments: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command
            .args([
                "corkspan",
                "maintenance",
                subcommand,
                &self.address(number).to_string(),
            ])
            .args(arguments);
        blocking::unblock(move || command.output().expect("it runs")).await
    }

    /// Acts as the maintenance worker: reports each machine in work as done, after checking that
    /// nothing runs there. Returns the status output.
    async fn complete_work(&self, number: usize) -> String {
        let text = String::from_utf8_lossy(&self.operator(number, "status", &[]).await.stdout)
            .into_owned();
        let in_work = text.lines().filter_map(|line| {
            line.strip_prefix("machine ")?
                .strip_suffix(": in maintenance")
        });
        for machine in in_work {
            let index: usize = machine.parse().expect("a number");
            let node = &self.harness.nodes[index];
            assert_eq!(
                node.allocation_count(),
                0,
                "allocations run on machine {machine} while it is in work"
            );
            self.operator(number, "done", &[machine]).await;
        }
        text
    }

    async fn request_placement(
        &self,
        number: usize,
        task: &str,
    ) -> Option<tonic::Streaming<v1::PlacementEvent>> {
        let limits = ConnectionLimits {
            connect_timeout: WAIT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        let connection = Connection::open(&self.harness.tasks, self.address(number), &limits)
            .await
            .ok()?;
        let request = v1::PlacementRequest {
            expected_duration_ms: 3_000,
            ..placement_request(task, "web")
        };
        let mut events = PlacementClient::new(connection)
            .place(request)
            .await
            .ok()?
            .into_inner();
        let event = next(&mut events).await;
        matches!(event, Some(Event::Placed(_))).then_some(events)
    }

    /// Returns the largest number of nodes cordoned at a time and the number of cordons of each.
    /// Asserts that no cordoned node accepted an allocation and that none is left cordoned.
    fn check_cordons(&self) -> (usize, BTreeMap<u32, usize>) {
        let (mut cordoned, mut max_cordoned, mut cordons_per_node) =
            (BTreeSet::new(), 0, BTreeMap::new());
        for line in self.harness.context.capture.lines() {
            match line.observation {
                Observation::Cordon { node, closed: true } => {
                    cordoned.insert(node);
                    *cordons_per_node.entry(node).or_default() += 1;
                    max_cordoned = max_cordoned.max(cordoned.len());
                }
                Observation::Cordon {
                    node,
                    closed: false,
                } => drop(cordoned.remove(&node)),
                Observation::EventSent {
                    node,
                    event: AllocationEvent::Accepted,
                    ..
                } => {
                    assert!(
                        !cordoned.contains(&node),
                        "node {node} accepts an allocation while it is cordoned"
                    );
                }
                _ => {}
            }
        }
        assert!(
            cordoned.is_empty(),
            "{cordoned:?} are still cordoned at the end"
        );
        (max_cordoned, cordons_per_node)
    }
}

#[test]
fn maintenance_takes_out_two_machines_at_a_time_despite_killed_and_cut_off_dispatchers() {
    Harness::run(
        Layout {
            nodes: 8,
            ..Layout::default()
        },
        async |harness| {
            let tasks = harness.tasks.clone();
            // One dispatcher reaches the nodes through relays, which cut it off from all of them
            // for a while.
            let (discovery, relayed_discovery) =
                Discovery::start(&harness.context).await.expect("a port");
            let mut relays = Vec::new();
            for node in &harness.nodes {
                let listed = harness.discovery.endpoint(node.config.id).expect("listed");
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
                relays.push(relay);
            }
            let mut fixture = Fixture {
                harness,
                directory: tempfile::tempdir().expect("a folder"),
                fleet: Vec::new(),
            };
            for number in 0..5 {
                let discovery = if number == 4 {
                    relayed_discovery
                } else {
                    fixture.harness.discovery.address
                };
                fixture.start(number, discovery).await;
            }
            // Each dispatcher keeps allocations running, on whichever node accepts them.
            let mut calls = Vec::new();
            wait_until(async || {
                calls.extend(
                    fixture
                        .request_placement(calls.len() % 5, &format!("early-{}", calls.len()))
                        .await,
                );
                calls.len() >= 20
            })
            .await;
            let all: Vec<String> = (0..8).map(|node| node.to_string()).collect();
            let mut arguments: Vec<&str> = all.iter().map(String::as_str).collect();
            arguments.extend(["--at-a-time", "2", "--by-hall", "1", "--warm-s", "0"]);
            let output = fixture.operator(0, "start", &arguments).await;
            let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(
                !output.status.success()
                    && stderr.contains("of which at most 1 may be out of service at a time"),
                "{stderr}"
            );
            // Leaves out all quorum members but one.
            let arguments: Vec<&str> = arguments
                .into_iter()
                .filter(|argument| !["0", "1"].contains(argument) || *argument == "--")
                .collect();
            let arguments: Vec<&str> = arguments
                .into_iter()
                .take_while(|argument| *argument != "--at-a-time")
                .collect();
            let arguments = [
                &arguments[..],
                &["--at-a-time", "2", "--by-hall", "2", "--warm-s", "0"],
            ]
            .concat();
            let started = fixture.operator(0, "start", &arguments).await;
            assert!(
                started.status.success(),
                "{}",
                String::from_utf8_lossy(&started.stderr)
            );
            let mut round = 0;
            let run_round = async |fixture: &mut Fixture, round: &mut usize| {
                *round += 1;
                match *round {
                    3 => relays.iter().for_each(|relay| relay.hold(&[Direction::In])),
                    // Killed whatever leases it holds, and restarted later.
                    5 => drop(fixture.fleet[1].take()),
                    9 => relays.iter().for_each(Relay::heal),
                    11 => fixture.start(1, fixture.harness.discovery.address).await,
                    13 => drop(fixture.fleet[2].take()),
                    _ => {}
                }
                let status = fixture.complete_work(0).await;
                let call = fixture.request_placement(3, &format!("late-{round}")).await;
                drop(call);
                Timer::after(Duration::from_millis(50)).await;
                status.contains("6 of 6 machines completed") && !status.contains("machine ")
            };
            let started_at = std::time::Instant::now();
            while !run_round(&mut fixture, &mut round).await {
                assert!(
                    started_at.elapsed() < 2 * WAIT_TIMEOUT,
                    "{}",
                    fixture.complete_work(0).await
                );
            }
            assert!(
                round >= 13,
                "finished after {round} rounds, before all faults were injected"
            );
            let (max_cordoned, cordons_per_node) = fixture.check_cordons();
            assert_eq!(
                (
                    max_cordoned,
                    cordons_per_node.keys().copied().collect::<Vec<_>>()
                ),
                (2, vec![2, 3, 4, 5, 6, 7])
            );
            assert!(
                cordons_per_node.values().all(|count| *count == 1),
                "each node is cordoned once: {cordons_per_node:?}"
            );
        },
    );
}
