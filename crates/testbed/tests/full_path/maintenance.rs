//! Machines taken out for work by processes of the program, with some killed and cut off meanwhile.
//! Judged by the nodes' own doors and sockets.

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

struct Stage {
    harness: Harness,
    folder: tempfile::TempDir,
    fleet: Vec<Option<Process>>,
}

impl Stage {
    async fn start(&mut self, number: usize, discovery: SocketAddr) {
        let store = self.folder.path().join(format!("store-{number}.redb"));
        let more = format!("(keepers 0 1 2) (rolls {store:?}) (maintenance (every 100 ms))");
        let text = deployment(discovery, &more).replace("(schedulers 1)", "(schedulers 5)");
        let file = self.folder.path().join(format!("{number}.sexp"));
        std::fs::write(
            &file,
            text.replace("(number 0)", &format!("(number {number})")),
        )
        .expect("written");
        let process = Process::start(file).await;
        match self.fleet.get_mut(number) {
            Some(place) => *place = Some(process),
            None => self.fleet.push(Some(process)),
        }
    }

    fn address(&self, number: usize) -> SocketAddr {
        self.fleet[number].as_ref().expect("it runs").address
    }

    async fn operator(&self, number: usize, call: &str, rest: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command
            .args([
                "corkspan",
                "maintenance",
                call,
                &self.address(number).to_string(),
            ])
            .args(rest);
        blocking::unblock(move || command.output().expect("it runs")).await
    }

    /// The worker: says of each machine that is his that it is done, once he has seen that nothing
    /// runs there.
    async fn works(&self, number: usize) -> String {
        let text = String::from_utf8_lossy(&self.operator(number, "status", &[]).await.stdout)
            .into_owned();
        let mine = text.lines().filter_map(|line| {
            line.strip_prefix("machine ")?
                .strip_suffix(": in maintenance")
        });
        for machine in mine {
            let index: usize = machine.parse().expect("a number");
            let node = &self.harness.nodes[index];
            assert_eq!(
                node.allocation_count(),
                0,
                "machine {machine} is the worker's, and something runs there"
            );
            self.operator(number, "done", &[machine]).await;
        }
        text
    }

    async fn ask(&self, number: usize, task: &str) -> Option<tonic::Streaming<v1::PlacementEvent>> {
        let bounds = ConnectionLimits {
            connect_timeout: PATIENCE,
            ..ConnectionLimits::default()
        };
        let link = Connection::open(&self.harness.tasks, self.address(number), &bounds)
            .await
            .ok()?;
        let asked = v1::PlacementRequest {
            expected_duration_ms: 3_000,
            ..placement_request(task, "web")
        };
        let mut words = PlacementClient::new(link)
            .place(asked)
            .await
            .ok()?
            .into_inner();
        let placed = next(&mut words).await;
        matches!(placed, Some(Event::Placed(_))).then_some(words)
    }

    /// How many nodes were closed at a time at the most, and how often each was; and that no closed
    /// one accepted anything.
    fn doors(&self) -> (usize, BTreeMap<u32, usize>) {
        let (mut closed, mut most, mut times) = (BTreeSet::new(), 0, BTreeMap::new());
        for line in self.harness.context.capture.lines() {
            match line.observation {
                Observation::Cordon { node, closed: true } => {
                    closed.insert(node);
                    *times.entry(node).or_default() += 1;
                    most = most.max(closed.len());
                }
                Observation::Cordon {
                    node,
                    closed: false,
                } => drop(closed.remove(&node)),
                Observation::EventSent {
                    node,
                    event: AllocationEvent::Accepted,
                    ..
                } => {
                    assert!(
                        !closed.contains(&node),
                        "node {node} takes work while it is closed"
                    );
                }
                _ => {}
            }
        }
        assert!(closed.is_empty(), "{closed:?} are forgotten out");
        (most, times)
    }
}

#[test]
fn all_machines_have_their_work_two_at_a_time_whoever_is_killed_or_cut_off() {
    Harness::run(
        Layout {
            nodes: 8,
            ..Layout::default()
        },
        async |harness| {
            let tasks = harness.tasks.clone();
            // One knows the nodes by relays: it is cut off from all of them for a while.
            let (discovery, by) = Discovery::start(&harness.context).await.expect("a port");
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
            let mut stage = Stage {
                harness,
                folder: tempfile::tempdir().expect("a folder"),
                fleet: Vec::new(),
            };
            for number in 0..5 {
                let discovery = if number == 4 {
                    by
                } else {
                    stage.harness.discovery.address
                };
                stage.start(number, discovery).await;
            }
            // Each keeps something placed, on whichever node takes it.
            let mut calls = Vec::new();
            wait_until(async || {
                calls.extend(
                    stage
                        .ask(calls.len() % 5, &format!("early-{}", calls.len()))
                        .await,
                );
                calls.len() >= 20
            })
            .await;
            let all: Vec<String> = (0..8).map(|node| node.to_string()).collect();
            let mut line: Vec<&str> = all.iter().map(String::as_str).collect();
            line.extend(["--at-a-time", "2", "--by-hall", "1", "--warm-s", "0"]);
            let keepers = stage.operator(0, "start", &line).await;
            let why = String::from_utf8_lossy(&keepers.stderr).into_owned();
            assert!(
                !keepers.status.success() && why.contains("of these 1 may be out"),
                "{why}"
            );
            // Without the keepers but one.
            let line: Vec<&str> = line
                .into_iter()
                .filter(|word| !["0", "1"].contains(word) || *word == "--")
                .collect();
            let line: Vec<&str> = line
                .into_iter()
                .take_while(|word| *word != "--at-a-time")
                .collect();
            let line = [
                &line[..],
                &["--at-a-time", "2", "--by-hall", "2", "--warm-s", "0"],
            ]
            .concat();
            let started = stage.operator(0, "start", &line).await;
            assert!(
                started.status.success(),
                "{}",
                String::from_utf8_lossy(&started.stderr)
            );
            let mut round = 0;
            let finished = async |stage: &mut Stage, round: &mut usize| {
                *round += 1;
                match *round {
                    3 => relays.iter().for_each(|relay| relay.hold(&[Direction::In])),
                    // Whoever holds what: killed where it stands, and started anew later.
                    5 => drop(stage.fleet[1].take()),
                    9 => relays.iter().for_each(Relay::heal),
                    11 => stage.start(1, stage.harness.discovery.address).await,
                    13 => drop(stage.fleet[2].take()),
                    _ => {}
                }
                let told = stage.works(0).await;
                let asked = stage.ask(3, &format!("late-{round}")).await;
                drop(asked);
                Timer::after(Duration::from_millis(50)).await;
                told.contains("6 of 6 machines completed") && !told.contains("machine ")
            };
            let began = std::time::Instant::now();
            while !finished(&mut stage, &mut round).await {
                assert!(began.elapsed() < 2 * PATIENCE, "{}", stage.works(0).await);
            }
            assert!(
                round >= 13,
                "over after {round} rounds, before all had been provoked"
            );
            let (most, times) = stage.doors();
            assert_eq!(
                (most, times.keys().copied().collect::<Vec<_>>()),
                (2, vec![2, 3, 4, 5, 6, 7])
            );
            assert!(
                times.values().all(|many| *many == 1),
                "each once: {times:?}"
            );
        },
    );
}
