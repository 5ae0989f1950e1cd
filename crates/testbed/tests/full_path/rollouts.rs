//! Tests of rollouts over real sockets. The checker counts unavailable replicas from the readiness
//! that replicas report.

use crate::harness::*;
use corkspan_api::v1::{self, rollout::Phase, rolls_client::RollsClient};
use corkspan_rpc::{Connection, ConnectionLimits};
use corkspan_testbed::capture::{self, Line, NodeState, Observation, RetrySafety};
use corkspan_testbed::checker::check;
use corkspan_testbed::client::{Frontend, Task, run_task};
use corkspan_testbed::disk::{self, DiskFull};
use corkspan_testbed::node::VersionFault;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;

fn extra_forms(directory: &Path, number: usize) -> String {
    format!(
        "(keepers 0 1 2) (rolls {:?})",
        directory.join(format!("rolls-{number}.redb"))
    )
}

/// Dispatchers, ten nodes, and clients that run the replicas of one service.
struct Fixture {
    harnesses: Vec<Harness>,
    frontend: Arc<Frontend>,
    directory: tempfile::TempDir,
}

impl Fixture {
    async fn new(
        harness: Harness,
        directory: tempfile::TempDir,
        dispatchers: usize,
        replicas: usize,
        service_class: &str,
    ) -> Fixture {
        let frontend = Frontend::new(&harness.context, &harness.nodes, dispatchers);
        frontend.set_address(0, Some(harness.address));
        let mut harnesses = vec![harness];
        for number in 1..dispatchers {
            let text = deployment(
                harnesses[0].discovery.address,
                &extra_forms(directory.path(), number),
            );
            let text = text.replace("(number 0)", &format!("(number {number})"));
            // Each further dispatcher is configured with the number of dispatchers. The first is
            // configured as the only one, which only makes it act more aggressively.
            let text = text.replace("(schedulers 1)", &format!("(schedulers {dispatchers})"));
            let harness = Harness::start_second(&harnesses[0], &text).await;
            harness.wait_until_serving(10).await;
            frontend.set_address(number, Some(harness.address));
            harnesses.push(harness);
        }
        let fixture = Fixture {
            harnesses,
            frontend,
            directory,
        };
        for number in 0..replicas {
            fixture.spawn_client(number, service_class);
        }
        wait_until_ready(&fixture, "", replicas).await;
        fixture
    }

    /// Starts a client that runs one replica for as long as the test.
    fn spawn_client(&self, number: usize, service_class: &str) {
        let task = Task {
            name: format!("c{number}"),
            service: "s".into(),
            service_class: 0,
            service_class_name: service_class.into(),
            retry_safety: RetrySafety::Idempotent,
            cores: 1.0,
            memory: 1.0,
            lifetime: Duration::from_secs(3600),
            deadline: Duration::from_secs(4),
            max_requests: u32::MAX,
            cancel_after: None,
        };
        let rng = Pcg64Mcg::seed_from_u64(number as u64);
        let deadline = Instant::now() + Duration::from_secs(3600);
        let running = run_task(Arc::clone(&self.frontend), task, rng, deadline);
        self.harnesses[0].tasks.spawn(running).detach();
    }

    fn lines(&self) -> Vec<Line> {
        self.harnesses[0].context.capture.lines()
    }

    async fn rollout_client(&self, dispatcher: usize) -> RollsClient<Connection> {
        let limits = ConnectionLimits {
            connect_timeout: WAIT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        let harness = &self.harnesses[dispatcher];
        RollsClient::new(
            Connection::open(&harness.tasks, harness.address, &limits)
                .await
                .expect("it listens"),
        )
    }

    async fn start(
        &self,
        dispatcher: usize,
        version: &str,
        max_unavailable: u32,
    ) -> v1::RolloutResponse {
        self.start_rollout(dispatcher, version, max_unavailable, false)
            .await
    }

    async fn start_rollout(
        &self,
        dispatcher: usize,
        version: &str,
        max_unavailable: u32,
        surge: bool,
    ) -> v1::RolloutResponse {
        let observation = Observation::RolloutStarted {
            service: "s".into(),
            version: version.into(),
            max_unavailable: max_unavailable as usize,
            min_ready_us: 1_000_000,
            surge,
            progress_deadline_us: 3_000_000,
            max_failures: 1,
        };
        self.harnesses[0].context.capture.record(observation);
        let request = v1::StartRolloutRequest {
            service: "s".into(),
            version: version.into(),
            previous_version: "v1".into(),
            max_unavailable,
            max_in_progress: 8,
            min_ready_ms: 1_000,
            progress_deadline_ms: 3_000,
            max_failures: 1,
            surge,
        };
        self.rollout_client(dispatcher)
            .await
            .start(request)
            .await
            .expect("an answer")
            .into_inner()
    }

    async fn change(&self, what: v1::change_rollout_request::Action) -> v1::RolloutResponse {
        let request = v1::ChangeRolloutRequest {
            service: "s".into(),
            action: what.into(),
        };
        self.rollout_client(0)
            .await
            .change(request)
            .await
            .expect("an answer")
            .into_inner()
    }

    async fn status(&self, dispatcher: usize) -> v1::RolloutStatus {
        let request = v1::RolloutStatusRequest {
            service: "s".into(),
        };
        self.rollout_client(dispatcher)
            .await
            .status(request)
            .await
            .expect("an answer")
            .into_inner()
    }

    /// Returns the ready replicas by version, and the most that were not ready at a time since the
    /// rollout began.
    fn ready(&self) -> (BTreeMap<String, usize>, usize) {
        let (mut replicas, mut max_unready, mut rollout_started) =
            (BTreeMap::<String, String>::new(), 0, false);
        let mut peak_ready = 0;
        for Line { observation, .. } in self.lines() {
            match observation {
                Observation::RolloutStarted { .. } => rollout_started = true,
                Observation::Ready {
                    task,
                    version,
                    ready: true,
                    ..
                } => {
                    replicas.insert(task, version);
                }
                Observation::Ready { task, .. } => drop(replicas.remove(&task)),
                _ => {}
            }
            peak_ready = peak_ready.max(replicas.len());
            if rollout_started {
                max_unready = max_unready.max(peak_ready - replicas.len());
            }
        }
        let mut by_version = BTreeMap::new();
        replicas
            .into_values()
            .for_each(|version| *by_version.entry(version).or_default() += 1);
        (by_version, max_unready)
    }

    /// Returns the replicas that are ready now by version; and, as maxima since the rollout began,
    /// the number of tasks without a ready replica and of surplus replicas.
    fn ready_counts(&self) -> (BTreeMap<String, usize>, usize, usize) {
        let (mut replicas, mut tasks) = (
            BTreeMap::<(String, u32, String), usize>::new(),
            BTreeSet::new(),
        );
        let (mut unready, mut surged, mut rollout_started) = (0, 0, false);
        for Line { observation, .. } in self.lines() {
            match observation {
                Observation::RolloutStarted { .. } => rollout_started = true,
                Observation::Ready {
                    task,
                    node,
                    version,
                    ready,
                    ..
                } => {
                    tasks.insert(task.clone());
                    let count = replicas.entry((task, node, version)).or_default();
                    *count = if ready {
                        *count + 1
                    } else {
                        count.saturating_sub(1)
                    };
                }
                _ => {}
            }
            if rollout_started {
                let count = |task: &String| -> usize {
                    replicas
                        .iter()
                        .filter(|((own, _, _), _)| own == task)
                        .map(|(_, count)| count)
                        .sum()
                };
                unready = unready.max(tasks.iter().filter(|task| count(task) == 0).count());
                surged = surged.max(tasks.iter().map(|task| count(task).saturating_sub(1)).sum());
            }
        }
        let mut by_version = BTreeMap::new();
        for ((_, _, version), count) in replicas.into_iter().filter(|(_, count)| *count > 0) {
            *by_version.entry(version).or_default() += count;
        }
        (by_version, unready, surged)
    }

    /// Returns whether the nodes hold exactly one allocation of each task, including allocations
    /// that no dispatcher knows of.
    fn one_allocation_each(&self, replicas: usize) -> bool {
        let allocation_count = |task: String| {
            self.harnesses[0]
                .nodes
                .iter()
                .map(|node| node.allocations_of(&task).len())
                .sum::<usize>()
        };
        (0..replicas).all(|number| allocation_count(format!("c{number}")) == 1)
    }

    fn breaches(&self) -> Vec<String> {
        // The test runs no scenario, and the rollout limit depends on no parameter of one.
        let mut lines = vec![Line {
            t: 0,
            observation: Observation::Rules(rules()),
        }];
        lines.extend(self.lines());
        check(&lines)
            .expect("readable")
            .iter()
            .filter(|breach| breach.rule == 6)
            .map(ToString::to_string)
            .collect()
    }
}

fn rules() -> corkspan_testbed::capture::RuleParameters {
    use corkspan_testbed::capture::{RuleParameters, ServiceClass, SlowStartLimits};
    let service_class = ServiceClass {
        name: "web".into(),
        retry_safety: RetrySafety::Idempotent,
        latency_objective_us: 1,
        spread: None,
    };
    let slow_start = SlowStartLimits {
        lasts_us: 0,
        window_us: 0,
        max_offers: usize::MAX,
    };
    RuleParameters {
        seed: 0,
        service_classes: vec![service_class],
        nodes: Vec::new(),
        grace_us: 0,
        slow_start,
        slack_us: 1_000_000,
    }
}

/// Waits for a condition for as long as a whole rollout may take: up to ten waves of nearly two
/// seconds each, which is more than `wait_until` allows.
async fn within_rollout_time(mut condition: impl AsyncFnMut() -> bool) -> bool {
    let wait = corkspan_rpc::within(Duration::from_secs(50), async {
        while !condition().await {
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
    wait.await.is_some()
}

async fn wait_until_one_allocation_each(fixture: &Fixture, replicas: usize) {
    let reached = corkspan_rpc::within(WAIT_TIMEOUT, async {
        while !fixture.one_allocation_each(replicas) {
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
    assert!(
        reached.await.is_some(),
        "one allocation of each task is expected; see {}",
        fixture.harnesses[0].save_capture().display()
    );
}

async fn wait_until_ready(fixture: &Fixture, version: &str, replicas: usize) {
    let reached = within_rollout_time(async || {
        fixture
            .ready()
            .0
            .get(version)
            .is_some_and(|&ready| ready >= replicas)
    })
    .await;
    let (ready, max_unready) = fixture.ready();
    assert!(
        reached,
        "{replicas} ready replicas of `{version}` are expected; {ready:?} are ready, at most {max_unready} were not; see {}",
        fixture.harnesses[0].save_capture().display()
    );
}

/// Waits until all replicas run the previous version: placed before the rollout, or put back by the
/// undo.
async fn wait_until_previous_version(fixture: &Fixture, replicas: usize) {
    let previous = |ready: BTreeMap<String, usize>| {
        ready.get("").unwrap_or(&0) + ready.get("v1").unwrap_or(&0)
    };
    assert!(
        within_rollout_time(async || previous(fixture.ready().0) >= replicas).await,
        "{:?}",
        fixture.ready()
    );
    let untouched = fixture.ready().0.get("").copied().unwrap_or(0);
    assert!(
        untouched >= replicas / 2,
        "an undo keeps replicas that were not replaced: {untouched}"
    );
}

fn run_with_replicas<F: Future<Output = ()>>(
    dispatchers: usize,
    replicas: usize,
    service_class: &'static str,
    test: impl FnOnce(Fixture) -> F,
) {
    let directory = tempfile::tempdir().expect("a folder");
    let layout = Layout {
        nodes: 10,
        extra_forms: extra_forms(directory.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        test(Fixture::new(harness, directory, dispatchers, replicas, service_class).await).await
    });
}

#[test_case(1, 100, 20, "web"; "one dispatcher, a hundred replicas")]
#[test_case(4, 24, 3, "web"; "more dispatchers than replicas that may be unavailable")]
#[test_case(2, 16, 4, "once"; "replicas that are not retryable")]
#[test_case(2, 16, 4, "jobs"; "replicas that their zone deduplicates")]
fn a_rollout_replaces_every_replica_within_its_limit(
    dispatchers: usize,
    replicas: usize,
    max_unavailable: u32,
    service_class: &'static str,
) {
    run_with_replicas(dispatchers, replicas, service_class, async |fixture| {
        assert!(fixture.start(0, "v2", max_unavailable).await.accepted);
        wait_until_ready(&fixture, "v2", replicas).await;
        let (ready, unready) = fixture.ready();
        assert_eq!(ready, BTreeMap::from([("v2".into(), replicas)]));
        assert!(
            unready >= 1 && unready <= max_unavailable as usize,
            "{unready} were not ready at a time"
        );
        assert_eq!(fixture.breaches(), [""; 0]);
        // All slots are released.
        wait_until(async || fixture.status(0).await.held_slots.is_empty()).await;
    });
}

#[test_case(VersionFault::NeverReady; "that never becomes ready")]
#[test_case(VersionFault::FailsAfter(Duration::from_millis(300)); "that becomes ready and fails")]
fn a_faulty_version_halts_the_rollout_and_can_be_undone(fault: VersionFault) {
    run_with_replicas(2, 20, "web", async |fixture| {
        fixture.harnesses[0]
            .context
            .inject_version_fault("v2", fault);
        assert!(fixture.start(0, "v2", 4).await.accepted);
        let halted = async || {
            fixture
                .status(1)
                .await
                .rollout
                .is_some_and(|rollout| rollout.phase() == Phase::Halted)
        };
        wait_until(halted).await;
        let (ready, unready) = fixture.ready();
        assert!(unready <= 4, "{unready} were not ready");
        assert!(ready[""] >= 16, "the others keep running: {ready:?}");
        assert!(
            fixture
                .change(v1::change_rollout_request::Action::Undo)
                .await
                .accepted
        );
        wait_until_previous_version(&fixture, 20).await;
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test]
fn one_of_two_concurrent_rollouts_wins() {
    run_with_replicas(3, 6, "web", async |fixture| {
        let (one, two) =
            futures_lite::future::zip(fixture.start(1, "v2", 2), fixture.start(2, "v3", 2)).await;
        let revision = |response: &v1::RolloutResponse| {
            response
                .current
                .as_ref()
                .map_or(0, |rollout| rollout.revision)
        };
        let winner = match (one.accepted, two.accepted) {
            // The second rollout was committed after the first, and takes over from it as a later
            // proposal does.
            (true, true) => {
                assert_ne!(
                    revision(&one),
                    revision(&two),
                    "two winners of one revision"
                );
                Some(if revision(&one) > revision(&two) {
                    "v2"
                } else {
                    "v3"
                })
            }
            (true, false) => Some("v2"),
            (false, true) => Some("v3"),
            (false, false) => None,
        };
        for loser in [&one, &two]
            .into_iter()
            .filter(|response| !response.accepted)
        {
            assert!(
                loser.message.contains(winner.unwrap_or("no majority")),
                "the reply names the winner: {}",
                loser.message
            );
        }
        if let Some(winner) = winner {
            wait_until_ready(&fixture, winner, 6).await;
        }
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test]
fn a_paused_rollout_stops_no_more_replicas_until_it_is_resumed() {
    run_with_replicas(1, 20, "web", async |fixture| {
        assert!(fixture.start(0, "v2", 2).await.accepted);
        wait_until(async || fixture.ready().0.contains_key("v2")).await;
        assert!(
            fixture
                .change(v1::change_rollout_request::Action::Pause)
                .await
                .accepted
        );
        wait_until(async || {
            fixture
                .status(0)
                .await
                .rollout
                .is_some_and(|rollout| rollout.phase() == Phase::Paused)
        })
        .await;
        wait_until(async || fixture.status(0).await.held_slots.is_empty()).await;
        let before = fixture.ready().0;
        assert_eq!(
            before.values().sum::<usize>(),
            20,
            "replicas that were being replaced are ready again"
        );
        async_io::Timer::after(Duration::from_millis(1_500)).await;
        assert_eq!(fixture.ready().0, before);
        assert!(
            fixture
                .change(v1::change_rollout_request::Action::Resume)
                .await
                .accepted
        );
        wait_until_ready(&fixture, "v2", 20).await;
    });
}

#[test]
fn a_rollout_survives_the_loss_of_one_quorum_member_but_not_of_two() {
    run_with_replicas(1, 12, "web", async |fixture| {
        fixture.harnesses[0].nodes[0].kill(NodeState::Gone);
        assert!(
            fixture.start(0, "v2", 3).await.accepted,
            "two of three are a majority"
        );
        wait_until_ready(&fixture, "v2", 12).await;
        fixture.harnesses[0].nodes[1].kill(NodeState::Gone);
        let request = v1::StartRolloutRequest {
            service: "s".into(),
            version: "v3".into(),
            max_unavailable: 3,
            min_ready_ms: 1_000,
            progress_deadline_ms: 3_000,
            ..v1::StartRolloutRequest::default()
        };
        let reason = fixture
            .rollout_client(0)
            .await
            .start(request)
            .await
            .expect_err("no majority");
        assert!(
            reason.message().contains("1 of 3 quorum members"),
            "{}",
            reason.message()
        );
    });
}

/// Guards against a replica that is never replaced: its offer was under way, with the version from
/// before, when the dispatcher began to follow the rollout, and the rollout did not know of it.
#[test]
fn a_rollout_replaces_what_was_being_placed_when_it_began() {
    const REPLICAS: usize = 8;
    const REPLICAS_WITH_LATER_ONES: usize = 20;
    let directory = tempfile::tempdir().expect("a folder");
    let layout = Layout {
        nodes: 10,
        review_time: Duration::from_millis(500),
        extra_forms: extra_forms(directory.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let fixture = Fixture::new(harness, directory, 1, REPLICAS, "web").await;
        assert!(fixture.start(0, "v2", 8).await.accepted);
        // The dispatcher follows the rollout at its next poll, within two seconds. An offer is under
        // way at each moment until then.
        for number in REPLICAS..REPLICAS_WITH_LATER_ONES {
            fixture.spawn_client(number, "web");
            async_io::Timer::after(Duration::from_millis(200)).await;
        }
        wait_until_ready(&fixture, "v2", REPLICAS_WITH_LATER_ONES).await;
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test]
fn a_rollout_finishes_without_discovery() {
    run_with_replicas(2, 12, "web", async |fixture| {
        fixture.harnesses[0].discovery.disconnect(None);
        assert!(fixture.start(1, "v2", 3).await.accepted);
        wait_until_ready(&fixture, "v2", 12).await;
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test]
fn a_dispatcher_killed_during_a_rollout_leaves_no_slot_held() {
    run_with_replicas(2, 16, "web", async |mut fixture| {
        assert!(fixture.start(0, "v2", 2).await.accepted);
        wait_until(async || {
            fixture
                .status(0)
                .await
                .held_slots
                .iter()
                .any(|slot| slot.dispatcher == 1)
        })
        .await;
        // Its connections break as in a kill; clients hand over what still runs, and request the
        // rest again.
        let killed = fixture.harnesses.pop().expect("two");
        fixture.frontend.set_address(1, None);
        let text = deployment(
            killed.discovery.address,
            &extra_forms(fixture.directory.path(), 1),
        );
        let text = text
            .replace("(number 0)", "(number 1)")
            .replace("(schedulers 1)", "(schedulers 2)");
        killed.kill().await;
        let restarted = Harness::start_second(&fixture.harnesses[0], &text).await;
        fixture.frontend.set_address(1, Some(restarted.address));
        fixture.harnesses.push(restarted);
        wait_until_ready(&fixture, "v2", 16).await;
        assert_eq!(fixture.breaches(), [""; 0]);
        wait_until(async || fixture.status(0).await.held_slots.is_empty()).await;
        assert_eq!(
            fixture.ready().0,
            BTreeMap::from([("v2".into(), 16)]),
            "one replica each, of one version"
        );
    });
}

#[test]
fn a_corrupt_store_is_moved_aside() {
    let directory = tempfile::tempdir().expect("a folder");
    std::fs::write(directory.path().join("rolls-0.redb"), vec![0x5a; 9000]).expect("written");
    let layout = Layout {
        nodes: 10,
        extra_forms: extra_forms(directory.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        assert!(directory.path().join("rolls-0.aside").exists());
        let fixture = Fixture::new(harness, directory, 1, 6, "web").await;
        assert!(fixture.start(0, "v2", 2).await.accepted);
        wait_until_ready(&fixture, "v2", 6).await;
    });
}

#[test]
fn an_undo_while_new_replicas_are_being_placed_sends_no_client_a_second_reply() {
    // Nodes review offers slowly, so that the undo arrives while new replicas are being placed.
    let directory = tempfile::tempdir().expect("a folder");
    let layout = Layout {
        nodes: 10,
        review_time: Duration::from_millis(150),
        extra_forms: extra_forms(directory.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let fixture = Fixture::new(harness, directory, 1, 8, "web").await;
        assert!(fixture.start(0, "v2", 4).await.accepted);
        let stopped = |line: &Line| {
            matches!(
                line.observation,
                Observation::EventSent {
                    event: capture::AllocationEvent::Stopped,
                    ..
                }
            )
        };
        wait_until(async || fixture.lines().iter().any(stopped)).await;
        assert!(
            fixture
                .change(v1::change_rollout_request::Action::Undo)
                .await
                .accepted
        );
        wait_until_previous_version(&fixture, 8).await;
        let lines = fixture.lines();
        let placed = lines.iter().filter(|line| {
            matches!(
                line.observation,
                Observation::EventReceived {
                    event: capture::AllocationEvent::Placed,
                    ..
                }
            )
        });
        assert_eq!(placed.count(), 8, "one final reply each");
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test]
fn a_dispatcher_that_cannot_write_its_store_stops_no_replica() {
    let directory = tempfile::tempdir().expect("a folder");
    // No file can be created in a missing directory, not even by root.
    let extra_forms = extra_forms(&directory.path().join("missing"), 0);
    let layout = Layout {
        nodes: 10,
        extra_forms,
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let fixture = Fixture::new(harness, directory, 1, 4, "web").await;
        assert!(
            fixture.start(0, "v2", 2).await.accepted,
            "the quorum members have stored it"
        );
        wait_until(async || fixture.status(0).await.quorum_members_heard == 3).await;
        async_io::Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(fixture.ready(), (BTreeMap::from([(String::new(), 4)]), 0));
    });
}

#[test_case(1, 40, 4, "web"; "one dispatcher")]
#[test_case(4, 24, 3, "web"; "more dispatchers than replicas in surge")]
fn a_surge_rollout_never_has_a_replica_missing(
    dispatchers: usize,
    replicas: usize,
    max_unavailable: u32,
    service_class: &'static str,
) {
    run_with_replicas(dispatchers, replicas, service_class, async |fixture| {
        assert!(
            fixture
                .start_rollout(0, "v2", max_unavailable, true)
                .await
                .accepted
        );
        assert!(
            within_rollout_time(async || fixture.ready_counts().0.get("v2") == Some(&replicas))
                .await
        );
        wait_until_one_allocation_each(&fixture, replicas).await;
        let (_, unready, surged) = fixture.ready_counts();
        assert_eq!(unready, 0, "no task was without a ready replica");
        assert!(
            surged >= 1 && surged <= max_unavailable as usize,
            "{surged} surplus replicas"
        );
        assert_eq!(fixture.breaches(), [""; 0]);
        wait_until(async || fixture.status(0).await.held_slots.is_empty()).await;
    });
}

#[test_case("once"; "not retryable")]
#[test_case("jobs"; "deduplicated within a zone")]
fn a_surge_rollout_stops_first_what_must_not_run_twice(service_class: &'static str) {
    run_with_replicas(1, 8, service_class, async |fixture| {
        assert!(fixture.start_rollout(0, "v2", 2, true).await.accepted);
        wait_until_ready(&fixture, "v2", 8).await;
        let (_, unready, surged) = fixture.ready_counts();
        assert!(
            surged == 0 && (1..=2).contains(&unready),
            "{surged} surplus, {unready} not ready"
        );
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test_case(VersionFault::NeverReady; "that never becomes ready")]
#[test_case(VersionFault::FailsAfter(Duration::from_millis(300)); "that becomes ready and fails")]
fn a_faulty_version_in_a_surge_rollout_stops_no_old_replica(fault: VersionFault) {
    run_with_replicas(2, 20, "web", async |fixture| {
        fixture.harnesses[0]
            .context
            .inject_version_fault("v2", fault);
        assert!(fixture.start_rollout(0, "v2", 4, true).await.accepted);
        wait_until(async || {
            fixture
                .status(1)
                .await
                .rollout
                .is_some_and(|rollout| rollout.phase() == Phase::Halted)
        })
        .await;
        wait_until_one_allocation_each(&fixture, 20).await;
        let (ready, unready, _) = fixture.ready_counts();
        assert_eq!(
            (ready, unready),
            (BTreeMap::from([(String::new(), 20)]), 0),
            "all old replicas keep running"
        );
        wait_until(async || fixture.status(0).await.held_slots.is_empty()).await;
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test_case(false; "a rollout without surge stays within max unavailable")]
#[test_case(true; "a surge rollout halts and reports the reason")]
fn a_rollout_without_capacity_for_new_replicas(surge: bool) {
    run_with_replicas(1, 12, "web", async |fixture| {
        // Draining nodes accept nothing new; allocations there keep running.
        fixture.harnesses[0]
            .nodes
            .iter()
            .for_each(|node| node.drain());
        assert!(fixture.start_rollout(0, "v2", 3, surge).await.accepted);
        if surge {
            let halted = async || {
                fixture
                    .status(0)
                    .await
                    .rollout
                    .is_some_and(|rollout| rollout.phase() == Phase::Halted)
            };
            wait_until(halted).await;
            let reason = fixture
                .status(0)
                .await
                .rollout
                .expect("there is one")
                .reason;
            assert!(
                reason.contains("without room") && !reason.contains(" 0 without room"),
                "{reason}"
            );
            assert_eq!(
                fixture.ready_counts().0,
                BTreeMap::from([(String::new(), 12)])
            );
        } else {
            let drained = |line: &Line| {
                matches!(
                    line.observation,
                    Observation::EventReceived {
                        event: capture::AllocationEvent::Drained,
                        ..
                    }
                )
            };
            wait_until(async || fixture.lines().iter().filter(|line| drained(line)).count() >= 3)
                .await;
            assert_eq!(
                fixture.ready_counts().0,
                BTreeMap::from([(String::new(), 9)]),
                "the others keep running"
            );
        }
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

/// The last step of a rollout that was taken before the dispatchers are killed.
#[derive(Clone, Copy)]
enum Step {
    Claimed,
    OldStopped,
    NewAccepted,
    NewReady,
}

#[test_case(false, Step::Claimed; "without surge, the claim is granted")]
#[test_case(false, Step::OldStopped; "without surge, the old replica is gone")]
#[test_case(false, Step::NewAccepted; "without surge, the new replica is accepted")]
#[test_case(false, Step::NewReady; "without surge, the new replica is ready")]
#[test_case(true, Step::Claimed; "with surge, the claim is granted")]
#[test_case(true, Step::NewAccepted; "with surge, the new replica is accepted")]
#[test_case(true, Step::NewReady; "with surge, the new replica is ready")]
#[test_case(true, Step::OldStopped; "with surge, the old replica is gone")]
fn a_dispatcher_killed_at_any_step_leaves_one_replica_each(surge: bool, step: Step) {
    run_with_replicas(2, 8, "web", async |mut fixture| {
        assert!(fixture.start_rollout(0, "v2", 2, surge).await.accepted);
        let step_reached = |line: &Line| match (&line.observation, step) {
            (
                Observation::EventSent {
                    event: capture::AllocationEvent::Stopped,
                    ..
                },
                Step::OldStopped,
            ) => true,
            (
                Observation::EventSent {
                    event: capture::AllocationEvent::Accepted,
                    placement_id,
                    ..
                },
                Step::NewAccepted,
            ) => placement_id.contains('~'),
            (
                Observation::Ready {
                    ready: true,
                    version,
                    ..
                },
                Step::NewReady,
            ) => version == "v2",
            _ => false,
        };
        match step {
            Step::Claimed => {
                wait_until(async || !fixture.status(0).await.held_slots.is_empty()).await
            }
            _ => wait_until(async || fixture.lines().iter().any(step_reached)).await,
        }
        // Kills both dispatchers, so that the one that took the step is among them.
        for number in [1, 0] {
            let killed = fixture.harnesses.remove(number);
            fixture.frontend.set_address(number, None);
            let text = deployment(
                killed.discovery.address,
                &extra_forms(fixture.directory.path(), number),
            );
            let text = text.replace("(number 0)", &format!("(number {number})"));
            let text = text.replace("(schedulers 1)", "(schedulers 2)");
            let restarted = killed.kill_and_restart(&text).await;
            fixture
                .frontend
                .set_address(number, Some(restarted.address));
            fixture
                .harnesses
                .insert(number.min(fixture.harnesses.len()), restarted);
        }
        let done = async || {
            fixture.ready_counts().0 == BTreeMap::from([("v2".into(), 8)])
                && fixture.one_allocation_each(8)
                && fixture.status(0).await.held_slots.is_empty()
        };
        let done = corkspan_rpc::within(WAIT_TIMEOUT, async {
            while !done().await {
                async_io::Timer::after(Duration::from_millis(50)).await;
            }
        });
        let done = done.await;
        assert!(
            done.is_some(),
            "{:?} {:?}",
            fixture.ready_counts(),
            fixture.status(0).await
        );
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}

#[test_case(false; "without surge")]
#[test_case(true; "with surge")]
fn a_rollout_makes_no_progress_while_the_disk_is_full(surge: bool) {
    let directory = tempfile::tempdir().expect("a folder");
    let disk_full = DiskFull::default();
    let store = disk::store(directory.path().join("rolls-0.redb"), &disk_full);
    let extra_forms = extra_forms(directory.path(), 0);
    let layout = Layout {
        nodes: 10,
        extra_forms,
        store: Some(store),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let fixture = Fixture::new(harness, directory, 1, 12, "web").await;
        assert!(fixture.start_rollout(0, "v2", 2, surge).await.accepted);
        wait_until(async || fixture.ready_counts().0.contains_key("v2")).await;
        disk_full.set(true);
        // No replacement begins. One that has begun is finished, or its new replica runs beside the
        // old one until there is space.
        let claims = async || fixture.status(0).await.held_slots;
        if surge {
            async_io::Timer::after(Duration::from_millis(2_000)).await;
        } else {
            // The status tells the slots of the last poll. The one before the disk was full does not
            // name the slot of a replacement that has begun since, and would look like none is held.
            wait_until(async || !claims().await.is_empty()).await;
            wait_until(async || {
                fixture.ready_counts().0.values().sum::<usize>() == 12 && claims().await.is_empty()
            })
            .await;
        }
        let before = fixture.ready_counts().0;
        async_io::Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(
            fixture.ready_counts().0,
            before,
            "no step is taken while the disk is full"
        );
        assert!(
            before["v2"] < 12,
            "the rollout was not finished: {before:?}"
        );
        disk_full.set(false);
        wait_until(async || {
            fixture.ready_counts().0.get("v2") == Some(&12) && fixture.one_allocation_each(12)
        })
        .await;
        wait_until(async || claims().await.is_empty()).await;
        assert_eq!(fixture.breaches(), [""; 0]);
    });
}
