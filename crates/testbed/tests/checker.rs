//! Runs the checker on captures written for each rule: it must find the violations in them, and
//! none in a sound capture.

use corkspan_testbed::capture::{AllocationEvent::*, DispatcherState as D, NodeState as N, *};
use corkspan_testbed::checker::check;
use test_case::test_case;

/// Builds a capture line by line. Times are in ms, which makes captures easy to read.
struct Script(Vec<Line>);

const NODE: u32 = 7;

impl Script {
    fn new() -> Self {
        let service_class = |name: &str, retry_safety, spread| ServiceClass {
            name: name.into(),
            retry_safety,
            latency_objective_us: 1,
            spread,
        };
        let site = |node, zone: &str| NodeSite {
            node,
            zone: zone.into(),
            cell: 0,
        };
        let rules = RuleParameters {
            seed: 0,
            service_classes: vec![
                service_class("web", RetrySafety::Idempotent, None),
                service_class(
                    "jobs",
                    RetrySafety::Deduplicated {
                        window_us: 6_000_000,
                    },
                    None,
                ),
                service_class("once", RetrySafety::NotRetryable, Some(2)),
            ],
            nodes: vec![site(7, "a"), site(8, "a"), site(9, "b")],
            grace_us: 1_000_000,
            slow_start: SlowStartLimits {
                lasts_us: 5_000_000,
                window_us: 1_000_000,
                max_offers: 4,
            },
            slack_us: 200_000,
        };
        Script(vec![Line {
            t: 0,
            observation: Observation::Rules(rules),
        }])
    }

    fn record(mut self, ms: u64, observation: Observation) -> Self {
        self.0.push(Line {
            t: ms * 1000,
            observation,
        });
        self
    }

    fn request(self, ms: u64, call: u64, service_class: usize) -> Self {
        let request = RequestedPlacement {
            call,
            placement_id: format!("p{call}"),
            task: format!("t{call}"),
            service: "s".into(),
            service_class,
            dispatcher: 0,
            deadline_us: 5_000_000,
            first: true,
        };
        self.record(ms, Observation::Requested(request))
    }

    fn receive(self, ms: u64, call: u64, event: AllocationEvent) -> Self {
        self.record(ms, Observation::EventReceived { call, event })
    }

    fn offer(self, ms: u64, call: u64, number: u32, node: u32) -> Self {
        let (placement_id, task, service) = (format!("p{call}"), format!("t{call}"), "s".into());
        let version = "v2".into();
        self.record(
            ms,
            Observation::Offered {
                node,
                placement_id,
                number,
                dispatcher: 0,
                service,
                task,
                version,
                version_number: 0,
            },
        )
    }

    fn send(self, ms: u64, call: u64, number: u32, node: u32, event: AllocationEvent) -> Self {
        self.record(
            ms,
            Observation::EventSent {
                node,
                placement_id: format!("p{call}"),
                number,
                event,
            },
        )
    }

    fn drop_offer(self, ms: u64, call: u64, number: u32, node: u32) -> Self {
        self.record(
            ms,
            Observation::OfferDropped {
                node,
                placement_id: format!("p{call}"),
                number,
            },
        )
    }

    fn node(self, ms: u64, state: NodeState) -> Self {
        self.record(ms, Observation::Node { node: NODE, state })
    }

    fn update_endpoint(self, ms: u64, state: NodeState) -> Self {
        self.record(
            ms,
            Observation::EndpointSent {
                dispatcher: 0,
                node: NODE,
                state,
            },
        )
    }

    fn dispatcher(self, ms: u64, state: DispatcherState) -> Self {
        self.record(
            ms,
            Observation::Dispatcher {
                dispatcher: 0,
                state,
            },
        )
    }

    /// Returns the violated rules and the lines that show the violations.
    fn violations(&self) -> Vec<(u8, Vec<usize>)> {
        let violations = check(&self.0).expect("a readable capture");
        violations
            .into_iter()
            .map(|violation| (violation.rule, violation.lines))
            .collect()
    }

    fn assert_violation(self, rule: u8, lines: &[usize]) {
        assert_eq!(self.violations(), [(rule, lines.to_vec())]);
    }

    fn assert_no_violations(self) {
        assert_eq!(self.violations(), []);
    }
}

/// A call that was correctly placed at the second attempt.
fn placed() -> Script {
    let script = Script::new()
        .request(10, 1, 2)
        .offer(20, 1, 0, 8)
        .send(30, 1, 0, 8, Rejected);
    script
        .offer(40, 1, 1, NODE)
        .send(50, 1, 1, NODE, Accepted)
        .receive(60, 1, Placed)
}

#[test]
fn a_sound_capture_has_no_violations() {
    placed()
        .send(900, 1, 1, NODE, Ended)
        .receive(910, 1, Ended)
        .assert_no_violations();
}

#[test]
fn a_call_without_a_final_answer_is_lost() {
    Script::new().request(10, 1, 0).assert_violation(1, &[2]);
}

#[test]
fn a_call_of_a_killed_dispatcher_is_not_a_violation() {
    let script = Script::new().request(10, 1, 0).dispatcher(100, D::Killed);
    script
        .record(
            101,
            Observation::Closed {
                call: 1,
                broken: true,
            },
        )
        .dispatcher(900, D::Started)
        .assert_no_violations();
}

#[test]
fn a_kill_before_the_call_does_not_excuse_a_missing_answer() {
    Script::new()
        .dispatcher(1, D::Killed)
        .dispatcher(5, D::Started)
        .request(10, 1, 0)
        .assert_violation(1, &[4]);
}

#[test]
fn a_cancelled_call_needs_no_answer() {
    Script::new()
        .request(10, 1, 0)
        .record(20, Observation::Cancelled { call: 1 })
        .assert_no_violations();
}

#[test]
fn two_final_answers_are_a_violation() {
    placed()
        .receive(70, 1, Rejected)
        .assert_violation(1, &[2, 7, 8]);
}

#[test_case(5_150, &[]; "within the slack")]
#[test_case(5_300, &[(1, vec![2, 3])]; "later")]
fn an_answer_after_the_deadline(ms: u64, expected: &[(u8, Vec<usize>)]) {
    assert_eq!(
        Script::new()
            .request(10, 1, 0)
            .receive(ms, 1, Failed)
            .violations(),
        expected
    );
}

#[test]
fn an_offer_after_the_final_answer_is_a_violation() {
    Script::new()
        .request(10, 1, 0)
        .receive(20, 1, Rejected)
        .offer(400, 1, 0, 8)
        .assert_violation(1, &[3, 4]);
}

#[test]
fn a_second_attempt_while_the_first_is_outstanding() {
    let script = Script::new()
        .request(10, 1, 0)
        .offer(20, 1, 0, 8)
        .offer(30, 1, 1, NODE);
    script
        .send(900, 1, 1, NODE, Accepted)
        .receive(910, 1, Placed)
        .assert_violation(2, &[3, 4]);
}

#[test]
fn an_attempt_dropped_before_the_next_has_ended() {
    let script = Script::new()
        .request(10, 1, 0)
        .offer(20, 1, 0, 8)
        .send(25, 1, 0, 8, Accepted)
        .drop_offer(700, 1, 0, 8);
    script
        .offer(710, 1, 1, NODE)
        .send(720, 1, 1, NODE, Accepted)
        .receive(730, 1, Placed)
        .assert_no_violations();
}

#[test]
fn a_not_retryable_task_that_may_run_is_offered_again() {
    let script = Script::new()
        .request(10, 1, 2)
        .offer(20, 1, 0, 8)
        .send(30, 1, 0, 8, Accepted);
    let script = script
        .drop_offer(40, 1, 0, 8)
        .offer(50, 1, 1, NODE)
        .send(60, 1, 1, NODE, Rejected);
    script.receive(70, 1, Failed).assert_violation(2, &[3, 6]);
}

#[test_case(8, 5_000, true; "in its zone and window")]
#[test_case(9, 5_000, false; "in another zone")]
#[test_case(8, 6_500, false; "after the window")]
fn a_deduplicated_task_that_may_run_is_offered_again(node: u32, ms: u64, sound: bool) {
    let script = Script::new()
        .request(10, 1, 1)
        .offer(20, 1, 0, NODE)
        .record(30, Observation::ConnectionsCut { node: NODE });
    let script = script
        .receive(40, 1, Failed)
        .request(41, 2, 0)
        .receive(42, 2, Rejected)
        .offer(ms, 1, 1, node);
    let violated = script.violations().into_iter().any(|(rule, _)| rule == 2);
    assert_eq!(violated, !sound);
}

#[test]
fn a_task_that_may_run_is_reported_as_rejected() {
    let script = Script::new()
        .request(10, 1, 2)
        .offer(20, 1, 0, 8)
        .send(30, 1, 0, 8, Accepted);
    script
        .drop_offer(40, 1, 0, 8)
        .receive(50, 1, Rejected)
        .assert_violation(2, &[3, 6]);
}

#[test_case(1_100, &[]; "within the grace and slack")]
#[test_case(1_500, &[(3, vec![3, 4])]; "later")]
fn an_offer_to_a_node_known_to_be_draining(ms: u64, expected: &[(u8, Vec<usize>)]) {
    let script = Script::new()
        .request(5, 1, 0)
        .update_endpoint(10, N::Draining)
        .offer(ms, 1, 0, NODE);
    assert_eq!(script.receive(ms + 1, 1, Placed).violations(), expected);
}

#[test]
fn an_update_during_a_pause_counts_from_the_resumption() {
    let script = Script::new()
        .dispatcher(1, D::Paused)
        .update_endpoint(10, N::Gone)
        .dispatcher(3_000, D::Resumed);
    script
        .request(3_001, 1, 0)
        .offer(3_500, 1, 0, NODE)
        .receive(3_600, 1, Placed)
        .assert_no_violations();
}

#[test]
fn a_node_that_serves_again_may_get_offers() {
    let script = Script::new()
        .request(5, 1, 0)
        .update_endpoint(10, N::Gone)
        .update_endpoint(1_400, N::Serving)
        .offer(1_500, 1, 0, NODE);
    script.receive(1_501, 1, Placed).assert_no_violations();
}

fn five_offers(mut script: Script, interval_ms: u64) -> Script {
    for call in 1..=5 {
        let ms = 100 + call * interval_ms;
        script = script
            .request(ms, call, 0)
            .offer(ms, call, 0, NODE)
            .send(ms, call, 0, NODE, Rejected);
        script = script.receive(ms, call, Rejected);
    }
    script
}

#[test]
fn too_many_offers_to_a_node_in_slow_start_are_a_violation() {
    five_offers(
        Script::new()
            .node(10, N::SlowStart)
            .update_endpoint(20, N::SlowStart),
        50,
    )
    .assert_violation(4, &[2, 5, 21]);
}

#[test]
fn the_same_offers_over_a_longer_time_are_allowed() {
    five_offers(
        Script::new()
            .node(10, N::SlowStart)
            .update_endpoint(20, N::SlowStart),
        400,
    )
    .assert_no_violations();
}

#[test]
fn the_same_offers_to_a_serving_node_are_allowed() {
    five_offers(
        Script::new()
            .node(10, N::Serving)
            .update_endpoint(20, N::Serving),
        50,
    )
    .assert_no_violations();
}

#[test]
fn a_dispatcher_that_does_not_know_of_the_start_is_excused() {
    five_offers(Script::new().node(10, N::SlowStart), 50).assert_no_violations();
}

fn three_allocations(script: Script, first_ends: bool) -> Script {
    let mut script = script;
    for call in 1..=3 {
        let ms = call * 100;
        script = script.request(ms, call, 2).offer(ms, call, 0, NODE).send(
            ms + 1,
            call,
            0,
            NODE,
            Accepted,
        );
        script = script.receive(ms + 2, call, Placed);
        if call == 2 && first_ends {
            script = script.send(ms + 3, 1, 0, NODE, Ended);
        }
    }
    script
}

#[test]
fn too_many_allocations_of_a_service_on_a_node_are_a_violation() {
    three_allocations(Script::new(), false).assert_violation(5, &[3, 7, 11]);
}

#[test]
fn an_ended_allocation_does_not_count() {
    three_allocations(Script::new(), true).assert_no_violations();
}

#[test_case(true, &[(5, vec![3, 7, 15])]; "handed over, it counts")]
#[test_case(false, &[]; "not handed over, it does not count")]
fn an_allocation_from_before_a_restart_counts_if_handed_over(
    handed: bool,
    expected: &[(u8, Vec<usize>)],
) {
    let mut script = Script::new();
    for call in 1..=2 {
        let ms = call * 100;
        script = script
            .request(ms, call, 2)
            .offer(ms, call, 0, NODE)
            .send(ms, call, 0, NODE, Accepted);
        script = script.receive(ms, call, Placed);
    }
    script = script
        .dispatcher(300, D::Killed)
        .dispatcher(310, D::Started);
    if handed {
        for call in 1..=2 {
            script = script.record(
                320,
                Observation::HandedOver {
                    call,
                    placement_id: format!("p{call}"),
                    dispatcher: 0,
                    task: format!("t{call}"),
                },
            );
        }
    }
    script = script
        .request(400, 3, 2)
        .offer(400, 3, 0, NODE)
        .receive(401, 3, Placed);
    assert_eq!(script.violations(), expected);
}

#[test]
fn a_capture_without_its_rules_is_unreadable() {
    assert!(check(&[]).is_err());
    assert!(check(&Script::new().0[1..]).is_err());
}

#[test]
fn a_capture_whose_times_go_back_is_unreadable() {
    let why = check(&Script::new().request(10, 1, 0).request(5, 2, 0).0).expect_err("unreadable");
    assert!(why.contains("line 3"), "{why}");
}

fn set_ready(script: Script, ms: u64, task: u64, ready: bool, done: bool) -> Script {
    let (task, service, version) = (format!("t{task}"), "s".into(), "v2".into());
    script.record(
        ms,
        Observation::Ready {
            node: NODE,
            task,
            service,
            version,
            ready,
            done,
            stopped: !ready && !done,
        },
    )
}

fn rollout(max_unavailable: usize, surge: bool) -> Observation {
    Observation::RolloutStarted {
        service: "s".into(),
        version: "v2".into(),
        max_unavailable,
        min_ready_us: 0,
        surge,
        progress_deadline_us: 3_000_000,
        max_failures: 0,
    }
}

/// Three ready replicas, and a rollout that allows one to be unavailable and has stopped one.
fn during_rollout() -> Script {
    let script = (1..=3).fold(Script::new(), |script, task| {
        set_ready(script, 10, task, true, false)
    });
    let rollout = rollout(1, false);
    set_ready(script.record(20, rollout), 30, 1, false, false)
}

#[test]
fn a_rollout_over_its_unavailability_limit_is_a_violation() {
    set_ready(during_rollout(), 40, 2, false, false).assert_violation(6, &[7]);
}

#[test]
fn a_rollout_that_waits_for_readiness_is_sound() {
    let script = set_ready(during_rollout(), 40, 1, true, false);
    set_ready(script, 50, 2, false, false).assert_no_violations();
}

#[test_case(false, &[]; "just now, the rollout cannot know yet")]
#[test_case(true, &[(6, vec![7])]; "long ago, the rollout must have reacted")]
fn a_replica_that_failed_by_itself(long_ago: bool, expected: &[(u8, Vec<usize>)]) {
    let rollout = rollout(1, false);
    let script = (1..=3)
        .fold(Script::new(), |script, task| {
            set_ready(script, 10, task, true, false)
        })
        .record(20, rollout);
    let died = Observation::Ready {
        node: NODE,
        task: "t1".into(),
        service: "s".into(),
        version: "v2".into(),
        ready: false,
        done: false,
        stopped: false,
    };
    let second_stop = if long_ago { 9_000 } else { 40 };
    assert_eq!(
        set_ready(script.record(30, died), second_stop, 2, false, false).violations(),
        expected
    );
}

#[test_case(3, &[]; "as many as allowed")]
#[test_case(2, &[(6, vec![6])]; "one more")]
fn surplus_replicas_of_a_surge_rollout(most: usize, expected: &[(u8, Vec<usize>)]) {
    let rollout = rollout(most - 1, true);
    let script = (1..=2).fold(Script::new(), |script, task| {
        set_ready(script, 10, task, true, false)
    });
    let script = set_ready(script.record(20, rollout), 30, 1, true, false);
    assert_eq!(set_ready(script, 40, 2, true, false).violations(), expected);
}

#[test]
fn ended_replicas_do_not_count_as_unavailable() {
    set_ready(during_rollout(), 40, 2, false, true).assert_no_violations();
}

/// Records that a replica of the previous version is ready, or that it was stopped.
fn set_old_ready(script: Script, ms: u64, task: u64, ready: bool) -> Script {
    let (task, service, version) = (format!("t{task}"), "s".into(), String::new());
    script.record(
        ms,
        Observation::Ready {
            node: NODE,
            task,
            service,
            version,
            ready,
            done: false,
            stopped: !ready,
        },
    )
}

#[test_case(8_900, &[]; "shortly after, the failure may not be known yet")]
#[test_case(9_000, &[(7, vec![7, 8])]; "long after, the rollout must have halted")]
fn a_rollout_continues_after_a_replica_that_never_got_ready(
    ms: u64,
    expected: &[(u8, Vec<usize>)],
) {
    let script = set_old_ready(set_old_ready(Script::new(), 10, 1, true), 11, 2, true)
        .record(20, rollout(2, false));
    let script = set_old_ready(script, 30, 1, false)
        .offer(990, 1, 0, NODE)
        .send(1_000, 1, 0, NODE, Accepted);
    assert_eq!(set_old_ready(script, ms, 2, false).violations(), expected);
}

#[test_case(false, &[(7, vec![7, 9])]; "its dispatcher lives, so the rollout must have halted")]
#[test_case(true, &[]; "its dispatcher dies and loses its counts, so the rollout may continue")]
fn a_replica_failed_right_after_it_got_ready(dies: bool, expected: &[(u8, Vec<usize>)]) {
    let script = set_old_ready(set_old_ready(Script::new(), 10, 1, true), 11, 2, true)
        .record(20, rollout(2, false));
    let script = set_old_ready(script, 30, 1, false)
        .offer(990, 1, 0, NODE)
        .send(1_000, 1, 0, NODE, Accepted);
    let (task, service, version) = ("t1".into(), "s".into(), "v2".into());
    let died = Observation::Ready {
        node: NODE,
        task,
        service,
        version,
        ready: false,
        done: false,
        stopped: false,
    };
    let script = script.record(1_100, died);
    let script = if dies {
        script
            .dispatcher(1_200, D::Killed)
            .dispatcher(1_300, D::Started)
    } else {
        script
    };
    assert_eq!(
        set_old_ready(script, 9_000, 2, false).violations(),
        expected
    );
}

#[test_case(false; "below the minimum version")]
#[test_case(true; "after the minimum version was lowered")]
fn what_is_below_a_nodes_minimum_version_must_not_be_accepted(lowered: bool) {
    let script = Script::new().request(10, 1, 2).record(
        15,
        Observation::MinimumVersionStored {
            node: NODE,
            version_number: 3,
        },
    );
    let script = if lowered {
        script.record(
            16,
            Observation::MinimumVersionStored {
                node: NODE,
                version_number: 0,
            },
        )
    } else {
        script
    };
    let script = script
        .offer(20, 1, 0, NODE)
        .send(50, 1, 0, NODE, Accepted)
        .receive(60, 1, Placed);
    match lowered {
        true => script.assert_no_violations(),
        false => script.assert_violation(8, &[3, 4, 5]),
    }
}

/// Returns the violations of rule 2 by a second attempt 1 s after the first, whose drop the first
/// node sees at `dropped_at`. Faults are time, begin or end, and delay, in ms.
fn two_attempts(faults: &[(u64, bool, u64)], dropped_at: u64) -> Vec<u8> {
    let mut script = Script::new()
        .request(0, 1, 0)
        .offer(1_000, 1, 0, 7)
        .send(1_010, 1, 0, 7, Accepted);
    let mut all: Vec<(u64, Option<(bool, u64)>)> = faults
        .iter()
        .map(|(at, begins, delay)| (*at, Some((*begins, *delay))))
        .collect();
    all.extend([(2_000, None), (dropped_at, None)]);
    all.sort_by_key(|(at, _)| *at);
    for (at, fault) in all {
        script = match fault {
            Some((begins, delay)) => script.record(
                at,
                Observation::ConnectionFault {
                    dispatcher: 0,
                    begins,
                    delay_us: delay * 1_000,
                },
            ),
            None if at == dropped_at => script.drop_offer(at, 1, 0, 7),
            None => script.offer(at, 1, 1, 8),
        };
    }
    let found = check(&script.0).expect("readable").into_iter();
    found
        .filter(|violation| violation.rule == 2)
        .map(|violation| violation.rule)
        .collect()
}

#[test_case(&[], 2_100, 0; "seen within the slack")]
#[test_case(&[], 2_500, 1; "held beside the second")]
#[test_case(&[(1_500, true, 0), (2_600, false, 0)], 2_700, 0; "dropped during a cut and seen once it is healed")]
#[test_case(&[(1_500, true, 0), (2_600, false, 0)], 3_000, 1; "held on after the cut")]
#[test_case(&[(1_500, true, 400), (4_000, false, 0)], 2_550, 0; "dropped on delayed connections")]
#[test_case(&[(1_500, true, 400), (4_000, false, 0)], 2_700, 1; "held for longer than the delay")]
fn a_drop_may_be_seen_late_by_at_most_the_connection_fault(
    faults: &[(u64, bool, u64)],
    dropped_at: u64,
    violations: usize,
) {
    assert_eq!(two_attempts(faults, dropped_at).len(), violations);
}
