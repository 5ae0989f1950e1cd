//! Rolling updates over real sockets: the limit is counted by the judge from what copies say of
//! themselves.

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

fn more(folder: &Path, number: usize) -> String {
    format!(
        "(keepers 0 1 2) (rolls {:?})",
        folder.join(format!("rolls-{number}.redb"))
    )
}

/// Some dispatchers before ten nodes, and owners of so many copies of one service.
struct Stage {
    harnesses: Vec<Harness>,
    frontend: Arc<Frontend>,
    folder: tempfile::TempDir,
}

impl Stage {
    async fn set(
        harness: Harness,
        folder: tempfile::TempDir,
        dispatchers: usize,
        copies: usize,
        service_class: &str,
    ) -> Stage {
        let frontend = Frontend::new(&harness.context, &harness.nodes, dispatchers);
        frontend.set_address(0, Some(harness.address));
        let mut harnesses = vec![harness];
        for number in 1..dispatchers {
            let text = deployment(harnesses[0].discovery.address, &more(folder.path(), number));
            let text = text.replace("(number 0)", &format!("(number {number})"));
            // Each knows how many there are; the first was told of itself alone, which only makes
            // it bolder.
            let text = text.replace("(schedulers 1)", &format!("(schedulers {dispatchers})"));
            let harness = Harness::start_second(&harnesses[0], &text).await;
            harness.wait_until_serving(10).await;
            frontend.set_address(number, Some(harness.address));
            harnesses.push(harness);
        }
        let until = Instant::now() + Duration::from_secs(3600);
        for number in 0..copies {
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
            harnesses[0]
                .tasks
                .spawn(run_task(Arc::clone(&frontend), task, rng, until))
                .detach();
        }
        let stage = Stage {
            harnesses,
            frontend,
            folder,
        };
        wait_until_ready(&stage, "", copies).await;
        stage
    }

    fn lines(&self) -> Vec<Line> {
        self.harnesses[0].context.capture.lines()
    }

    async fn rolls(&self, dispatcher: usize) -> RollsClient<Connection> {
        let bounds = ConnectionLimits {
            connect_timeout: PATIENCE,
            ..ConnectionLimits::default()
        };
        let harness = &self.harnesses[dispatcher];
        RollsClient::new(
            Connection::open(&harness.tasks, harness.address, &bounds)
                .await
                .expect("it listens"),
        )
    }

    async fn start(
        &self,
        dispatcher: usize,
        version: &str,
        unready_most: u32,
    ) -> v1::RolloutResponse {
        self.start_in(dispatcher, version, unready_most, false)
            .await
    }

    async fn start_in(
        &self,
        dispatcher: usize,
        version: &str,
        unready_most: u32,
        start_first: bool,
    ) -> v1::RolloutResponse {
        let observation = Observation::RolloutStarted {
            service: "s".into(),
            version: version.into(),
            unready_most: unready_most as usize,
            ready_for_us: 1_000_000,
            start_first,
            ready_within_us: 3_000_000,
            failures_most: 1,
        };
        self.harnesses[0].context.capture.record(observation);
        let ask = v1::StartRolloutRequest {
            service: "s".into(),
            version: version.into(),
            previous_version: "v1".into(),
            max_unavailable: unready_most,
            max_in_progress: 8,
            min_ready_ms: 1_000,
            progress_deadline_ms: 3_000,
            max_failures: 1,
            surge: start_first,
        };
        self.rolls(dispatcher)
            .await
            .start(ask)
            .await
            .expect("an answer")
            .into_inner()
    }

    async fn change(&self, what: v1::change_rollout_request::Action) -> v1::RolloutResponse {
        let ask = v1::ChangeRolloutRequest {
            service: "s".into(),
            action: what.into(),
        };
        self.rolls(0)
            .await
            .change(ask)
            .await
            .expect("an answer")
            .into_inner()
    }

    async fn status(&self, dispatcher: usize) -> v1::RolloutStatus {
        let ask = v1::RolloutStatusRequest {
            service: "s".into(),
        };
        self.rolls(dispatcher)
            .await
            .status(ask)
            .await
            .expect("an answer")
            .into_inner()
    }

    /// Ready copies by version, and the most not ready at a time since the roll began.
    fn ready(&self) -> (BTreeMap<String, usize>, usize) {
        let (mut copies, mut most, mut rolling) = (BTreeMap::<String, String>::new(), 0, false);
        let mut all = 0;
        for Line { observation, .. } in self.lines() {
            match observation {
                Observation::RolloutStarted { .. } => rolling = true,
                Observation::Ready {
                    task,
                    version,
                    ready: true,
                    ..
                } => {
                    copies.insert(task, version);
                }
                Observation::Ready { task, .. } => drop(copies.remove(&task)),
                _ => {}
            }
            all = all.max(copies.len());
            if rolling {
                most = most.max(all - copies.len());
            }
        }
        let mut by_version = BTreeMap::new();
        copies
            .into_values()
            .for_each(|version| *by_version.entry(version).or_default() += 1);
        (by_version, most)
    }

    /// Ready copies by version now; and since the roll began, tasks without any ready copy at a
    /// time and copies beside others, the most of each.
    fn ready_now(&self) -> (BTreeMap<String, usize>, usize, usize) {
        let (mut copies, mut tasks) = (
            BTreeMap::<(String, u32, String), usize>::new(),
            BTreeSet::new(),
        );
        let (mut unready, mut beside, mut rolling) = (0, 0, false);
        for Line { observation, .. } in self.lines() {
            match observation {
                Observation::RolloutStarted { .. } => rolling = true,
                Observation::Ready {
                    task,
                    node,
                    version,
                    ready,
                    ..
                } => {
                    tasks.insert(task.clone());
                    let many = copies.entry((task, node, version)).or_default();
                    *many = if ready {
                        *many + 1
                    } else {
                        many.saturating_sub(1)
                    };
                }
                _ => {}
            }
            if rolling {
                let many = |task: &String| -> usize {
                    copies
                        .iter()
                        .filter(|((own, _, _), _)| own == task)
                        .map(|(_, many)| many)
                        .sum()
                };
                unready = unready.max(tasks.iter().filter(|task| many(task) == 0).count());
                beside = beside.max(tasks.iter().map(|task| many(task).saturating_sub(1)).sum());
            }
        }
        let mut by_version = BTreeMap::new();
        for ((_, _, version), many) in copies.into_iter().filter(|(_, many)| *many > 0) {
            *by_version.entry(version).or_default() += many;
        }
        (by_version, unready, beside)
    }

    /// Copies of each task on all nodes, whoever knows of them: one each, and no more.
    fn one_each(&self, copies: usize) -> bool {
        let held = |task: String| {
            self.harnesses[0]
                .nodes
                .iter()
                .map(|node| node.allocations_of(&task).len())
                .sum::<usize>()
        };
        (0..copies).all(|number| held(format!("c{number}")) == 1)
    }

    fn breaches(&self) -> Vec<String> {
        // The rig has no day of its own: the limit of a roll needs no figure of one.
        let mut lines = vec![Line {
            t: 0,
            observation: Observation::Rules(rules()),
        }];
        lines.extend(self.lines());
        check(&lines)
            .expect("readable")
            .iter()
            .filter(|it| it.rule == 6)
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
        most: usize::MAX,
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

/// Waits for what takes a whole roll, which may be ten waves of nearly two seconds: more than
/// `wait_until` gives.
async fn within_a_roll(mut condition: impl AsyncFnMut() -> bool) -> bool {
    let waits = corkspan_rpc::within(Duration::from_secs(50), async {
        while !condition().await {
            async_io::Timer::after(Duration::from_millis(20)).await;
        }
    });
    waits.await.is_some()
}

async fn wait_until_ready(stage: &Stage, version: &str, copies: usize) {
    let are = within_a_roll(async || {
        stage
            .ready()
            .0
            .get(version)
            .is_some_and(|&ready| ready >= copies)
    })
    .await;
    let (ready, most) = stage.ready();
    assert!(
        are,
        "{copies} of `{version}` are awaited; ready are {ready:?}, at most {most} were not"
    );
}

/// Waits until all copies are of the former version: placed before the roll, or put back.
async fn until_unrolled(stage: &Stage, copies: usize) {
    let former = |ready: BTreeMap<String, usize>| {
        ready.get("").unwrap_or(&0) + ready.get("v1").unwrap_or(&0)
    };
    assert!(
        within_a_roll(async || former(stage.ready().0) >= copies).await,
        "{:?}",
        stage.ready()
    );
    let untouched = stage.ready().0.get("").copied().unwrap_or(0);
    assert!(
        untouched >= copies / 2,
        "an undo leaves alone what was not rolled: {untouched}"
    );
}

fn story<F: Future<Output = ()>>(
    dispatchers: usize,
    copies: usize,
    service_class: &'static str,
    story: impl FnOnce(Stage) -> F,
) {
    let folder = tempfile::tempdir().expect("a folder");
    let layout = Layout {
        nodes: 10,
        more: more(folder.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        story(Stage::set(harness, folder, dispatchers, copies, service_class).await).await
    });
}

#[test_case(1, 100, 20, "web"; "one dispatcher, a hundred copies")]
#[test_case(4, 24, 3, "web"; "more dispatchers than may be down")]
#[test_case(2, 16, 4, "once"; "of what must never run twice")]
#[test_case(2, 16, 4, "jobs"; "of what its hall lets stand once")]
fn a_roll_replaces_every_copy_within_its_limit(
    dispatchers: usize,
    copies: usize,
    most: u32,
    service_class: &'static str,
) {
    story(dispatchers, copies, service_class, async |stage| {
        assert!(stage.start(0, "v2", most).await.accepted);
        wait_until_ready(&stage, "v2", copies).await;
        let (ready, unready) = stage.ready();
        assert_eq!(ready, BTreeMap::from([("v2".into(), copies)]));
        assert!(
            unready >= 1 && unready <= most as usize,
            "{unready} were not ready at a time"
        );
        assert_eq!(stage.breaches(), [""; 0]);
        // All slots come back.
        wait_until(async || stage.status(0).await.held_slots.is_empty()).await;
    });
}

#[test_case(VersionFault::NeverReady; "that never gets ready")]
#[test_case(VersionFault::FailsAfter(Duration::from_millis(300)); "that gets ready and dies")]
fn a_version_halts_the_roll_by_itself_and_is_undone(how: VersionFault) {
    story(2, 20, "web", async |stage| {
        stage.harnesses[0].context.inject_version_fault("v2", how);
        assert!(stage.start(0, "v2", 4).await.accepted);
        let halted = async || {
            stage
                .status(1)
                .await
                .rollout
                .is_some_and(|roll| roll.phase() == Phase::Halted)
        };
        wait_until(halted).await;
        let (ready, unready) = stage.ready();
        assert!(unready <= 4, "{unready} were not ready");
        assert!(ready[""] >= 16, "the others run on: {ready:?}");
        assert!(
            stage
                .change(v1::change_rollout_request::Action::Undo)
                .await
                .accepted
        );
        until_unrolled(&stage, 20).await;
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test]
fn of_two_operators_at_once_one_wins() {
    story(3, 6, "web", async |stage| {
        let (one, two) =
            futures_lite::future::zip(stage.start(1, "v2", 2), stage.start(2, "v3", 2)).await;
        let number =
            |word: &v1::RolloutResponse| word.current.as_ref().map_or(0, |roll| roll.revision);
        let wins = match (one.accepted, two.accepted) {
            // One came after the other was done, and takes over from it as a later wish does.
            (true, true) => {
                assert_ne!(number(&one), number(&two), "two winners of one number");
                Some(if number(&one) > number(&two) {
                    "v2"
                } else {
                    "v3"
                })
            }
            (true, false) => Some("v2"),
            (false, true) => Some("v3"),
            (false, false) => None,
        };
        for loser in [&one, &two].into_iter().filter(|word| !word.accepted) {
            assert!(
                loser.message.contains(wins.unwrap_or("no majority")),
                "it is told: {}",
                loser.message
            );
        }
        if let Some(wins) = wins {
            wait_until_ready(&stage, wins, 6).await;
        }
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test]
fn a_pause_takes_nothing_further_down_and_a_resume_goes_on() {
    story(1, 20, "web", async |stage| {
        assert!(stage.start(0, "v2", 2).await.accepted);
        wait_until(async || stage.ready().0.contains_key("v2")).await;
        assert!(
            stage
                .change(v1::change_rollout_request::Action::Pause)
                .await
                .accepted
        );
        wait_until(async || {
            stage
                .status(0)
                .await
                .rollout
                .is_some_and(|roll| roll.phase() == Phase::Paused)
        })
        .await;
        wait_until(async || stage.status(0).await.held_slots.is_empty()).await;
        let before = stage.ready().0;
        assert_eq!(
            before.values().sum::<usize>(),
            20,
            "what was down has come back"
        );
        async_io::Timer::after(Duration::from_millis(1_500)).await;
        assert_eq!(stage.ready().0, before);
        assert!(
            stage
                .change(v1::change_rollout_request::Action::Resume)
                .await
                .accepted
        );
        wait_until_ready(&stage, "v2", 20).await;
    });
}

#[test]
fn a_keeper_that_dies_stops_nothing_and_two_stop_the_roll() {
    story(1, 12, "web", async |stage| {
        stage.harnesses[0].nodes[0].kill(NodeState::Gone);
        assert!(
            stage.start(0, "v2", 3).await.accepted,
            "two of three are a majority"
        );
        wait_until_ready(&stage, "v2", 12).await;
        stage.harnesses[0].nodes[1].kill(NodeState::Gone);
        let ask = v1::StartRolloutRequest {
            service: "s".into(),
            version: "v3".into(),
            max_unavailable: 3,
            min_ready_ms: 1_000,
            progress_deadline_ms: 3_000,
            ..v1::StartRolloutRequest::default()
        };
        let why = stage
            .rolls(0)
            .await
            .start(ask)
            .await
            .expect_err("no majority");
        assert!(
            why.message().contains("1 of 3 quorum members"),
            "{}",
            why.message()
        );
    });
}

#[test]
fn the_roster_away_for_the_whole_roll_changes_nothing() {
    story(2, 12, "web", async |stage| {
        stage.harnesses[0].discovery.disconnect(None);
        assert!(stage.start(1, "v2", 3).await.accepted);
        wait_until_ready(&stage, "v2", 12).await;
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test]
fn a_dispatcher_killed_while_it_conducts_leaves_no_slot_behind() {
    story(2, 16, "web", async |mut stage| {
        assert!(stage.start(0, "v2", 2).await.accepted);
        wait_until(async || {
            stage
                .status(0)
                .await
                .held_slots
                .iter()
                .any(|slot| slot.dispatcher == 1)
        })
        .await;
        // Its links break as they would at a kill; owners hand over what runs, and ask again for
        // what doesn't.
        let killed = stage.harnesses.pop().expect("two");
        stage.frontend.set_address(1, None);
        let text = deployment(killed.discovery.address, &more(stage.folder.path(), 1));
        let text = text
            .replace("(number 0)", "(number 1)")
            .replace("(schedulers 1)", "(schedulers 2)");
        killed.kill().await;
        let again = Harness::start_second(&stage.harnesses[0], &text).await;
        stage.frontend.set_address(1, Some(again.address));
        stage.harnesses.push(again);
        wait_until_ready(&stage, "v2", 16).await;
        assert_eq!(stage.breaches(), [""; 0]);
        wait_until(async || stage.status(0).await.held_slots.is_empty()).await;
        assert_eq!(
            stage.ready().0,
            BTreeMap::from([("v2".into(), 16)]),
            "one copy each, of one version"
        );
    });
}

#[test]
fn a_torn_store_is_set_aside_and_said() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("rolls-0.redb"), vec![0x5a; 9000]).expect("written");
    let layout = Layout {
        nodes: 10,
        more: more(folder.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        assert!(folder.path().join("rolls-0.aside").exists());
        let stage = Stage::set(harness, folder, 1, 6, "web").await;
        assert!(stage.start(0, "v2", 2).await.accepted);
        wait_until_ready(&stage, "v2", 6).await;
    });
}

#[test]
fn an_undo_while_new_copies_are_still_being_placed_tells_no_owner_twice() {
    // Looked at slowly, so that the undo comes in between.
    let folder = tempfile::tempdir().expect("a folder");
    let layout = Layout {
        nodes: 10,
        review_time: Duration::from_millis(150),
        more: more(folder.path(), 0),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let stage = Stage::set(harness, folder, 1, 8, "web").await;
        assert!(stage.start(0, "v2", 4).await.accepted);
        let stopped = |line: &Line| {
            matches!(
                line.observation,
                Observation::EventSent {
                    event: capture::AllocationEvent::Stopped,
                    ..
                }
            )
        };
        wait_until(async || stage.lines().iter().any(stopped)).await;
        assert!(
            stage
                .change(v1::change_rollout_request::Action::Undo)
                .await
                .accepted
        );
        until_unrolled(&stage, 8).await;
        let lines = stage.lines();
        let placed = lines.iter().filter(|line| {
            matches!(
                line.observation,
                Observation::EventReceived {
                    event: capture::AllocationEvent::Placed,
                    ..
                }
            )
        });
        assert_eq!(placed.count(), 8, "one final answer each");
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test]
fn a_dispatcher_that_can_keep_nothing_on_disk_takes_nothing_down() {
    let folder = tempfile::tempdir().expect("a folder");
    // No file can be made in a folder that is not there, whoever tries.
    let more = more(&folder.path().join("missing"), 0);
    let layout = Layout {
        nodes: 10,
        more,
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let stage = Stage::set(harness, folder, 1, 4, "web").await;
        assert!(
            stage.start(0, "v2", 2).await.accepted,
            "the keepers have it"
        );
        wait_until(async || stage.status(0).await.quorum_members_heard == 3).await;
        async_io::Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(stage.ready(), (BTreeMap::from([(String::new(), 4)]), 0));
    });
}

#[test_case(1, 40, 4, "web"; "one dispatcher")]
#[test_case(4, 24, 3, "web"; "more dispatchers than may stand beside others")]
fn a_roll_that_starts_first_never_has_a_copy_less(
    dispatchers: usize,
    copies: usize,
    most: u32,
    service_class: &'static str,
) {
    story(dispatchers, copies, service_class, async |stage| {
        assert!(stage.start_in(0, "v2", most, true).await.accepted);
        assert!(within_a_roll(async || stage.ready_now().0.get("v2") == Some(&copies)).await);
        wait_until(async || stage.one_each(copies)).await;
        let (_, unready, beside) = stage.ready_now();
        assert_eq!(unready, 0, "none was missing at any time");
        assert!(
            beside >= 1 && beside <= most as usize,
            "{beside} stood beside others"
        );
        assert_eq!(stage.breaches(), [""; 0]);
        wait_until(async || stage.status(0).await.held_slots.is_empty()).await;
    });
}

#[test_case("once"; "what must never run twice")]
#[test_case("jobs"; "what its hall lets stand once")]
fn a_roll_that_starts_first_still_stops_first(service_class: &'static str) {
    story(1, 8, service_class, async |stage| {
        assert!(stage.start_in(0, "v2", 2, true).await.accepted);
        wait_until_ready(&stage, "v2", 8).await;
        let (_, unready, beside) = stage.ready_now();
        assert!(
            beside == 0 && (1..=2).contains(&unready),
            "{beside} beside others, {unready} not ready"
        );
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test_case(VersionFault::NeverReady; "that never gets ready")]
#[test_case(VersionFault::FailsAfter(Duration::from_millis(300)); "that gets ready and dies")]
fn a_bad_version_beside_the_old_one_costs_no_copy(how: VersionFault) {
    story(2, 20, "web", async |stage| {
        stage.harnesses[0].context.inject_version_fault("v2", how);
        assert!(stage.start_in(0, "v2", 4, true).await.accepted);
        wait_until(async || {
            stage
                .status(1)
                .await
                .rollout
                .is_some_and(|roll| roll.phase() == Phase::Halted)
        })
        .await;
        wait_until(async || stage.one_each(20)).await;
        let (ready, unready, _) = stage.ready_now();
        assert_eq!(
            (ready, unready),
            (BTreeMap::from([(String::new(), 20)]), 0),
            "all old ones run on"
        );
        wait_until(async || stage.status(0).await.held_slots.is_empty()).await;
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test_case(false; "a roll that stops first keeps to its limit")]
#[test_case(true; "a roll that starts first halts and says so")]
fn no_room_anywhere_for_the_new_copy(start_first: bool) {
    story(1, 12, "web", async |stage| {
        // Nodes that drain take nothing new; what runs there runs on.
        stage.harnesses[0]
            .nodes
            .iter()
            .for_each(|node| node.drain());
        assert!(stage.start_in(0, "v2", 3, start_first).await.accepted);
        if start_first {
            let halted = async || {
                stage
                    .status(0)
                    .await
                    .rollout
                    .is_some_and(|roll| roll.phase() == Phase::Halted)
            };
            wait_until(halted).await;
            let why = stage.status(0).await.rollout.expect("there is one").reason;
            assert!(
                why.contains("without room") && !why.contains(" 0 without room"),
                "{why}"
            );
            assert_eq!(stage.ready_now().0, BTreeMap::from([(String::new(), 12)]));
        } else {
            let sent_away = |line: &Line| {
                matches!(
                    line.observation,
                    Observation::EventReceived {
                        event: capture::AllocationEvent::Drained,
                        ..
                    }
                )
            };
            wait_until(async || stage.lines().iter().filter(|line| sent_away(line)).count() >= 3)
                .await;
            assert_eq!(
                stage.ready_now().0,
                BTreeMap::from([(String::new(), 9)]),
                "the others run on"
            );
        }
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

/// What a dispatcher has just done of a roll when it is killed.
#[derive(Clone, Copy)]
enum Step {
    Claimed,
    OldStopped,
    NewAccepted,
    NewReady,
}

#[test_case(false, Step::Claimed; "stop first, its claim is granted")]
#[test_case(false, Step::OldStopped; "stop first, the old copy is gone")]
#[test_case(false, Step::NewAccepted; "stop first, the new copy is accepted")]
#[test_case(false, Step::NewReady; "stop first, the new copy is ready")]
#[test_case(true, Step::Claimed; "start first, its claim is granted")]
#[test_case(true, Step::NewAccepted; "start first, the new copy is accepted")]
#[test_case(true, Step::NewReady; "start first, the new copy is ready")]
#[test_case(true, Step::OldStopped; "start first, the old copy is gone")]
fn a_dispatcher_killed_at_this_step_leaves_one_copy_each(start_first: bool, step: Step) {
    story(2, 8, "web", async |mut stage| {
        assert!(stage.start_in(0, "v2", 2, start_first).await.accepted);
        let is_it = |line: &Line| match (&line.observation, step) {
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
                wait_until(async || !stage.status(0).await.held_slots.is_empty()).await
            }
            _ => wait_until(async || stage.lines().iter().any(is_it)).await,
        }
        // Both at once: whoever did the step is killed with the other.
        for number in [1, 0] {
            let killed = stage.harnesses.remove(number);
            stage.frontend.set_address(number, None);
            let text = deployment(killed.discovery.address, &more(stage.folder.path(), number));
            let text = text.replace("(number 0)", &format!("(number {number})"));
            let text = text.replace("(schedulers 1)", "(schedulers 2)");
            let again = killed.kill_and_restart(&text).await;
            stage.frontend.set_address(number, Some(again.address));
            stage
                .harnesses
                .insert(number.min(stage.harnesses.len()), again);
        }
        let done = async || {
            stage.ready_now().0 == BTreeMap::from([("v2".into(), 8)])
                && stage.one_each(8)
                && stage.status(0).await.held_slots.is_empty()
        };
        let done = corkspan_rpc::within(PATIENCE, async {
            while !done().await {
                async_io::Timer::after(Duration::from_millis(50)).await;
            }
        });
        let done = done.await;
        assert!(
            done.is_some(),
            "{:?} {:?}",
            stage.ready_now(),
            stage.status(0).await
        );
        assert_eq!(stage.breaches(), [""; 0]);
    });
}

#[test_case(false; "that stops first")]
#[test_case(true; "that starts first")]
fn a_disk_that_fills_up_in_the_middle_of_a_roll(start_first: bool) {
    let folder = tempfile::tempdir().expect("a folder");
    let full = DiskFull::default();
    let store = disk::store(folder.path().join("rolls-0.redb"), &full);
    let more = more(folder.path(), 0);
    let layout = Layout {
        nodes: 10,
        more,
        store: Some(store),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let stage = Stage::set(harness, folder, 1, 12, "web").await;
        assert!(stage.start_in(0, "v2", 2, start_first).await.accepted);
        wait_until(async || stage.ready_now().0.contains_key("v2")).await;
        full.set(true);
        // Nothing is begun. What was begun comes to its end, or stands beside an old copy until
        // there is room.
        let claims = async || stage.status(0).await.held_slots;
        if start_first {
            async_io::Timer::after(Duration::from_millis(2_000)).await;
        } else {
            wait_until(async || {
                stage.ready_now().0.values().sum::<usize>() == 12 && claims().await.is_empty()
            })
            .await;
        }
        let before = stage.ready_now().0;
        async_io::Timer::after(Duration::from_millis(1_000)).await;
        assert_eq!(stage.ready_now().0, before, "no step without a disk");
        assert!(before["v2"] < 12, "the roll was not over: {before:?}");
        full.set(false);
        wait_until(async || stage.ready_now().0.get("v2") == Some(&12) && stage.one_each(12)).await;
        wait_until(async || claims().await.is_empty()).await;
        assert_eq!(stage.breaches(), [""; 0]);
    });
}
