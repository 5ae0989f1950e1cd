//! The judge must find each rule broken, by captures written for it, and nothing in a sound one.

use corkspan_testbed::capture::{AllocationEvent::*, DispatcherState as D, NodeState as N, *};
use corkspan_testbed::checker::check;
use test_case::test_case;

/// Times in ms make a capture easy to read.
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
        let home = |node, zone: &str| NodeSite {
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
            nodes: vec![home(7, "a"), home(8, "a"), home(9, "b")],
            grace_us: 1_000_000,
            slow_start: SlowStartLimits {
                lasts_us: 5_000_000,
                window_us: 1_000_000,
                most: 4,
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

    fn asks(self, ms: u64, call: u64, service_class: usize) -> Self {
        let asked = RequestedPlacement {
            call,
            placement_id: format!("p{call}"),
            task: format!("t{call}"),
            service: "s".into(),
            service_class,
            dispatcher: 0,
            deadline_us: 5_000_000,
            first: true,
        };
        self.record(ms, Observation::Requested(asked))
    }

    fn hears(self, ms: u64, call: u64, event: AllocationEvent) -> Self {
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
                decided: 0,
            },
        )
    }

    fn says(self, ms: u64, call: u64, number: u32, node: u32, event: AllocationEvent) -> Self {
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

    fn lets_go(self, ms: u64, call: u64, number: u32, node: u32) -> Self {
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

    fn told(self, ms: u64, state: NodeState) -> Self {
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

    /// The rules that are broken, with the lines that show it.
    fn broken(&self) -> Vec<(u8, Vec<usize>)> {
        let breaches = check(&self.0).expect("a readable capture");
        breaches
            .into_iter()
            .map(|breach| (breach.rule, breach.lines))
            .collect()
    }

    fn breaks(self, rule: u8, lines: &[usize]) {
        assert_eq!(self.broken(), [(rule, lines.to_vec())]);
    }

    fn keeps_all(self) {
        assert_eq!(self.broken(), []);
    }
}

/// One that was placed as it should be, by two shots.
fn placed() -> Script {
    let script = Script::new()
        .asks(10, 1, 2)
        .offer(20, 1, 0, 8)
        .says(30, 1, 0, 8, Rejected);
    script
        .offer(40, 1, 1, NODE)
        .says(50, 1, 1, NODE, Accepted)
        .hears(60, 1, Placed)
}

#[test]
fn a_sound_capture_breaks_nothing() {
    placed()
        .says(900, 1, 1, NODE, Ended)
        .hears(910, 1, Ended)
        .keeps_all();
}

#[test]
fn one_without_an_answer_is_lost() {
    Script::new().asks(10, 1, 0).breaks(1, &[2]);
}

#[test]
fn one_whose_dispatcher_was_killed_is_not_held_against_it() {
    let script = Script::new().asks(10, 1, 0).dispatcher(100, D::Killed);
    script
        .record(
            101,
            Observation::Closed {
                call: 1,
                broken: true,
            },
        )
        .dispatcher(900, D::Started)
        .keeps_all();
}

#[test]
fn a_kill_long_before_is_no_excuse() {
    Script::new()
        .dispatcher(1, D::Killed)
        .dispatcher(5, D::Started)
        .asks(10, 1, 0)
        .breaks(1, &[4]);
}

#[test]
fn a_cancelled_one_is_owed_nothing() {
    Script::new()
        .asks(10, 1, 0)
        .record(20, Observation::Cancelled { call: 1 })
        .keeps_all();
}

#[test]
fn two_final_answers_are_one_too_many() {
    placed().hears(70, 1, Rejected).breaks(1, &[2, 7, 8]);
}

#[test_case(5_150, &[]; "within the slack")]
#[test_case(5_300, &[(1, vec![2, 3])]; "later")]
fn an_answer_after_the_owners_time(ms: u64, broken: &[(u8, Vec<usize>)]) {
    assert_eq!(
        Script::new().asks(10, 1, 0).hears(ms, 1, Failed).broken(),
        broken
    );
}

#[test]
fn an_offer_after_the_answer_is_too_much() {
    Script::new()
        .asks(10, 1, 0)
        .hears(20, 1, Rejected)
        .offer(400, 1, 0, 8)
        .breaks(1, &[3, 4]);
}

#[test]
fn a_second_shot_while_the_first_is_out() {
    let script = Script::new()
        .asks(10, 1, 0)
        .offer(20, 1, 0, 8)
        .offer(30, 1, 1, NODE);
    script
        .says(900, 1, 1, NODE, Accepted)
        .hears(910, 1, Placed)
        .breaks(2, &[3, 4]);
}

#[test]
fn a_shot_let_go_before_the_next_is_over() {
    let script = Script::new()
        .asks(10, 1, 0)
        .offer(20, 1, 0, 8)
        .says(25, 1, 0, 8, Accepted)
        .lets_go(700, 1, 0, 8);
    script
        .offer(710, 1, 1, NODE)
        .says(720, 1, 1, NODE, Accepted)
        .hears(730, 1, Placed)
        .keeps_all();
}

#[test]
fn an_unrepeatable_one_that_may_run_is_sent_again() {
    let script = Script::new()
        .asks(10, 1, 2)
        .offer(20, 1, 0, 8)
        .says(30, 1, 0, 8, Accepted);
    let script = script
        .lets_go(40, 1, 0, 8)
        .offer(50, 1, 1, NODE)
        .says(60, 1, 1, NODE, Rejected);
    script.hears(70, 1, Failed).breaks(2, &[3, 6]);
}

#[test_case(8, 5_000, true; "in its hall and window")]
#[test_case(9, 5_000, false; "in another hall")]
#[test_case(8, 6_500, false; "after the window")]
fn a_deduplicated_one_that_may_run_is_sent_again(node: u32, ms: u64, sound: bool) {
    let script = Script::new()
        .asks(10, 1, 1)
        .offer(20, 1, 0, NODE)
        .record(30, Observation::ConnectionsCut { node: NODE });
    let script = script
        .hears(40, 1, Failed)
        .asks(41, 2, 0)
        .hears(42, 2, Rejected)
        .offer(ms, 1, 1, node);
    let twice = script.broken().into_iter().any(|(rule, _)| rule == 2);
    assert_eq!(twice, !sound);
}

#[test]
fn one_that_may_run_is_called_harmless() {
    let script = Script::new()
        .asks(10, 1, 2)
        .offer(20, 1, 0, 8)
        .says(30, 1, 0, 8, Accepted);
    script
        .lets_go(40, 1, 0, 8)
        .hears(50, 1, Rejected)
        .breaks(2, &[3, 6]);
}

#[test_case(1_100, &[]; "within the grace and slack")]
#[test_case(1_500, &[(3, vec![3, 4])]; "later")]
fn an_offer_to_a_node_told_of_as_draining(ms: u64, broken: &[(u8, Vec<usize>)]) {
    let script = Script::new()
        .asks(5, 1, 0)
        .told(10, N::Draining)
        .offer(ms, 1, 0, NODE);
    assert_eq!(script.hears(ms + 1, 1, Placed).broken(), broken);
}

#[test]
fn what_is_told_while_it_stands_still_counts_from_when_it_goes_on() {
    let script = Script::new()
        .dispatcher(1, D::Paused)
        .told(10, N::Gone)
        .dispatcher(3_000, D::Resumed);
    script
        .asks(3_001, 1, 0)
        .offer(3_500, 1, 0, NODE)
        .hears(3_600, 1, Placed)
        .keeps_all();
}

#[test]
fn a_node_told_of_as_serving_again_may_be_offered() {
    let script = Script::new()
        .asks(5, 1, 0)
        .told(10, N::Gone)
        .told(1_400, N::Serving)
        .offer(1_500, 1, 0, NODE);
    script.hears(1_501, 1, Placed).keeps_all();
}

fn five_offers(mut script: Script, apart: u64) -> Script {
    for call in 1..=5 {
        let ms = 100 + call * apart;
        script = script
            .asks(ms, call, 0)
            .offer(ms, call, 0, NODE)
            .says(ms, call, 0, NODE, Rejected);
        script = script.hears(ms, call, Rejected);
    }
    script
}

#[test]
fn a_cold_node_is_pushed_over() {
    five_offers(
        Script::new().node(10, N::SlowStart).told(20, N::SlowStart),
        50,
    )
    .breaks(4, &[2, 5, 21]);
}

#[test]
fn the_same_offers_over_a_longer_time_are_borne() {
    five_offers(
        Script::new().node(10, N::SlowStart).told(20, N::SlowStart),
        400,
    )
    .keeps_all();
}

#[test]
fn the_same_offers_are_borne_by_a_warm_node() {
    five_offers(Script::new().node(10, N::Serving).told(20, N::Serving), 50).keeps_all();
}

#[test]
fn who_was_not_told_of_the_start_is_not_to_blame() {
    five_offers(Script::new().node(10, N::SlowStart), 50).keeps_all();
}

fn three_of_a_service(script: Script, first_ends: bool) -> Script {
    let mut script = script;
    for call in 1..=3 {
        let ms = call * 100;
        script =
            script
                .asks(ms, call, 2)
                .offer(ms, call, 0, NODE)
                .says(ms + 1, call, 0, NODE, Accepted);
        script = script.hears(ms + 2, call, Placed);
        if call == 2 && first_ends {
            script = script.says(ms + 3, 1, 0, NODE, Ended);
        }
    }
    script
}

#[test]
fn a_service_stands_too_close() {
    three_of_a_service(Script::new(), false).breaks(5, &[3, 7, 11]);
}

#[test]
fn one_that_ended_holds_its_place_no_longer() {
    three_of_a_service(Script::new(), true).keeps_all();
}

#[test_case(true, &[(5, vec![3, 7, 15])]; "handed over, it does")]
#[test_case(false, &[]; "not handed over, it doesn't")]
fn one_of_an_earlier_life_holds_its_place(handed: bool, broken: &[(u8, Vec<usize>)]) {
    let mut script = Script::new();
    for call in 1..=2 {
        let ms = call * 100;
        script = script
            .asks(ms, call, 2)
            .offer(ms, call, 0, NODE)
            .says(ms, call, 0, NODE, Accepted);
        script = script.hears(ms, call, Placed);
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
        .asks(400, 3, 2)
        .offer(400, 3, 0, NODE)
        .hears(401, 3, Placed);
    assert_eq!(script.broken(), broken);
}

#[test]
fn a_capture_without_its_rules_is_unreadable() {
    assert!(check(&[]).is_err());
    assert!(check(&Script::new().0[1..]).is_err());
}

#[test]
fn a_capture_whose_times_go_back_is_unreadable() {
    let why = check(&Script::new().asks(10, 1, 0).asks(5, 2, 0).0).expect_err("unreadable");
    assert!(why.contains("line 3"), "{why}");
}

fn says_ready(script: Script, ms: u64, task: u64, ready: bool, done: bool) -> Script {
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

fn roll(unready_most: usize, start_first: bool) -> Observation {
    Observation::RolloutStarted {
        service: "s".into(),
        version: "v2".into(),
        unready_most,
        ready_for_us: 0,
        start_first,
        ready_within_us: 3_000_000,
        failures_most: 0,
    }
}

/// Three copies that are ready, and a roll that lets one be down.
fn rolling() -> Script {
    let script = (1..=3).fold(Script::new(), |script, task| {
        says_ready(script, 10, task, true, false)
    });
    let roll = roll(1, false);
    says_ready(script.record(20, roll), 30, 1, false, false)
}

#[test]
fn a_roll_that_takes_two_down_where_one_may_be_is_found() {
    says_ready(rolling(), 40, 2, false, false).breaks(6, &[7]);
}

#[test]
fn a_roll_that_waits_for_the_first_to_be_ready_is_sound() {
    let script = says_ready(rolling(), 40, 1, true, false);
    says_ready(script, 50, 2, false, false).keeps_all();
}

#[test_case(false, &[]; "at once, nobody can know")]
#[test_case(true, &[(6, vec![7])]; "for long, the roll must have given way")]
fn a_copy_that_died_by_itself(long_ago: bool, broken: &[(u8, Vec<usize>)]) {
    let roll = roll(1, false);
    let script = (1..=3)
        .fold(Script::new(), |script, task| {
            says_ready(script, 10, task, true, false)
        })
        .record(20, roll);
    let died = Observation::Ready {
        node: NODE,
        task: "t1".into(),
        service: "s".into(),
        version: "v2".into(),
        ready: false,
        done: false,
        stopped: false,
    };
    let later = if long_ago { 9_000 } else { 40 };
    assert_eq!(
        says_ready(script.record(30, died), later, 2, false, false).broken(),
        broken
    );
}

#[test_case(3, &[]; "as many as may be")]
#[test_case(2, &[(6, vec![6])]; "one more")]
fn copies_beside_others(most: usize, broken: &[(u8, Vec<usize>)]) {
    let roll = roll(most - 1, true);
    let script = (1..=2).fold(Script::new(), |script, task| {
        says_ready(script, 10, task, true, false)
    });
    let script = says_ready(script.record(20, roll), 30, 1, true, false);
    assert_eq!(says_ready(script, 40, 2, true, false).broken(), broken);
}

#[test]
fn copies_that_came_to_their_end_are_not_missing() {
    says_ready(rolling(), 40, 2, false, true).keeps_all();
}

/// A copy of what ran before the roll says that it is ready, or that it was stopped.
fn old(script: Script, ms: u64, task: u64, ready: bool) -> Script {
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

#[test_case(8_900, &[]; "a little later, it may not have been heard of")]
#[test_case(9_000, &[(7, vec![7, 8])]; "long after, the roll should have halted")]
fn a_roll_goes_on_after_a_copy_that_never_got_ready(ms: u64, broken: &[(u8, Vec<usize>)]) {
    let script = old(old(Script::new(), 10, 1, true), 11, 2, true).record(20, roll(2, false));
    let script = old(script, 30, 1, false)
        .offer(990, 1, 0, NODE)
        .says(1_000, 1, 0, NODE, Accepted);
    assert_eq!(old(script, ms, 2, false).broken(), broken);
}

#[test_case(false, &[(7, vec![7, 9])]; "and its dispatcher lives, the roll should have halted")]
#[test_case(true, &[]; "and its dispatcher dies with what it counted, it may go on")]
fn a_copy_died_right_after_it_got_ready(dies: bool, broken: &[(u8, Vec<usize>)]) {
    let script = old(old(Script::new(), 10, 1, true), 11, 2, true).record(20, roll(2, false));
    let script = old(script, 30, 1, false)
        .offer(990, 1, 0, NODE)
        .says(1_000, 1, 0, NODE, Accepted);
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
    assert_eq!(old(script, 9_000, 2, false).broken(), broken);
}

#[test_case(false; "below the floor")]
#[test_case(true; "before the node had it, or after it was lowered")]
fn what_is_below_the_floor_of_a_node_must_not_be_accepted_there(lowered: bool) {
    let script = Script::new().asks(10, 1, 2).record(
        15,
        Observation::MinimumVersionStored {
            node: NODE,
            lowest: 3,
        },
    );
    let script = if lowered {
        script.record(
            16,
            Observation::MinimumVersionStored {
                node: NODE,
                lowest: 0,
            },
        )
    } else {
        script
    };
    let script = script
        .offer(20, 1, 0, NODE)
        .says(50, 1, 0, NODE, Accepted)
        .hears(60, 1, Placed);
    match lowered {
        true => script.keeps_all(),
        false => script.breaks(8, &[3, 4, 5]),
    }
}

/// A second shot 1 s after the first, which its node sees let go after this long.
fn two_shots(wires: &[(u64, bool, u64)], over: u64) -> Vec<u8> {
    let mut script = Script::new()
        .asks(0, 1, 0)
        .offer(1_000, 1, 0, 7)
        .says(1_010, 1, 0, 7, Accepted);
    let mut all: Vec<(u64, Option<(bool, u64)>)> = wires
        .iter()
        .map(|(at, struck, late)| (*at, Some((*struck, *late))))
        .collect();
    all.extend([(2_000, None), (over, None)]);
    all.sort_by_key(|(at, _)| *at);
    for (at, wires) in all {
        script = match wires {
            Some((struck, late)) => script.record(
                at,
                Observation::ConnectionFault {
                    dispatcher: 0,
                    struck,
                    late_us: late * 1_000,
                },
            ),
            None if at == over => script.lets_go(at, 1, 0, 7),
            None => script.offer(at, 1, 1, 8),
        };
    }
    let found = check(&script.0).expect("readable").into_iter();
    found
        .filter(|breach| breach.rule == 2)
        .map(|breach| breach.rule)
        .collect()
}

#[test_case(&[], 2_100, 0; "seen within the slack")]
#[test_case(&[], 2_500, 1; "kept beside the second")]
#[test_case(&[(1_500, true, 0), (2_600, false, 0)], 2_700, 0; "given up behind a cut and seen once it is healed")]
#[test_case(&[(1_500, true, 0), (2_600, false, 0)], 3_000, 1; "kept on after the cut")]
#[test_case(&[(1_500, true, 400), (4_000, false, 0)], 2_550, 0; "given up on links that are late")]
#[test_case(&[(1_500, true, 400), (4_000, false, 0)], 2_700, 1; "kept for longer than they are late")]
fn what_a_struck_dispatcher_gave_up_may_be_seen_later_and_no_later_than_that(
    wires: &[(u64, bool, u64)],
    over: u64,
    breaches: usize,
) {
    assert_eq!(two_shots(wires, over).len(), breaches);
}
