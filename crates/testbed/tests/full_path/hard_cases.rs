//! What goes wrong between owners, dispatcher, nodes and roster, provoked over real sockets.

use crate::harness::*;
use async_io::Timer;
use corkspan_api::v1::{
    self, ended::EndReason, endpoint::State, placement_event::Event, rejected::RejectionReason,
};
use corkspan_testbed::capture::{self, NodeState, Observation};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::time::{Duration, Instant};
use test_case::test_case;

fn ended(word: Option<Event>) -> EndReason {
    match word {
        Some(Event::Ended(ended)) => ended.reason(),
        other => panic!("an end is expected, not {other:?}"),
    }
}

#[test]
fn an_ask_is_placed_runs_and_ends() {
    Harness::run(Layout::default(), async |harness| {
        let mut words = harness
            .request_placement(v1::PlacementRequest {
                expected_duration_ms: 50,
                ..placement_request("a", "web")
            })
            .await;
        placed(&mut words).await;
        assert!(matches!(next(&mut words).await, Some(Event::Running(_))));
        assert_eq!(ended(next_significant(&mut words).await), EndReason::Ended);
        assert!(
            next(&mut words).await.is_none(),
            "the call ends with its allocation"
        );
        wait_until(async || harness.status().await.in_flight == 0).await;
    });
}

#[test]
fn an_ask_that_arrives_as_its_node_drains_goes_elsewhere() {
    Harness::run(Layout::default(), async |harness| {
        harness.nodes[0].drain();
        let early = placed(
            &mut harness
                .request_placement(placement_request("early", "once"))
                .await,
        )
        .await;
        assert_eq!(
            early, 1,
            "the node itself turns it away, the other takes it"
        );
        harness.set_endpoint_state(0, State::Draining);
        harness.wait_until_serving(1).await;
        let before = harness
            .offers()
            .iter()
            .filter(|(_, _, node)| *node == 0)
            .count();
        for number in 0..10 {
            let mut words = harness
                .request_placement(placement_request(&format!("late{number}"), "web"))
                .await;
            assert_eq!(placed(&mut words).await, 1);
        }
        let after = harness
            .offers()
            .iter()
            .filter(|(_, _, node)| *node == 0)
            .count();
        assert_eq!(after, before, "nothing new goes to it");
    });
}

#[test]
fn a_node_that_accepts_and_loses_the_program_is_told_to_the_owner() {
    Harness::run(Layout::default(), async |harness| {
        let mut words = harness
            .request_placement(placement_request("a", "once"))
            .await;
        let node = placed(&mut words).await;
        harness.nodes[node as usize].kill(NodeState::Gone);
        assert_eq!(ended(next_significant(&mut words).await), EndReason::Lost);
        assert_eq!(harness.offers().len(), 1, "it is its owner who asks again");
    });
}

#[test]
fn a_link_cut_before_the_answer_fails_what_must_not_run_twice() {
    let layout = Layout {
        review_time: Duration::from_millis(400),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let mut words = harness
            .request_placement(placement_request("a", "once"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        harness.nodes[harness.offers()[0].2 as usize].cut_connections(Duration::from_millis(50));
        assert!(matches!(next(&mut words).await, Some(Event::Failed(_))));
        assert_eq!(harness.offers().len(), 1);
    });
}

#[test_case(2_000, true; "within its hall's window")]
#[test_case(100, false; "after its hall's window")]
fn a_deduplicated_one_cut_off_is_tried_again(window: u64, again: bool) {
    let layout = Layout {
        nodes: 4,
        review_time: Duration::from_millis(400),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let text = deployment(harness.discovery.address, "");
        let short = Harness::start_second(
            &harness,
            &text.replace("(window 2 s)", &format!("(window {window} ms)")),
        )
        .await;
        short.wait_until_serving(4).await;
        let mut words = short
            .request_placement(placement_request("a", "jobs"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        // Long enough for the shorter window to pass, and not the longer.
        Timer::after(Duration::from_millis(150)).await;
        let first = harness.offers()[0].2;
        harness.nodes[first as usize].cut_connections(Duration::from_millis(50));
        match next(&mut words).await {
            Some(Event::Placed(placed)) if again => {
                assert_eq!(
                    placed.node / 2,
                    first / 2,
                    "only in its hall are repeats dropped"
                );
            }
            Some(Event::Failed(_)) if !again => assert_eq!(harness.offers().len(), 1),
            other => panic!("not {other:?}"),
        }
    });
}

#[test]
fn an_answer_after_the_time_out_is_not_heard() {
    Harness::run(Layout::default(), async |harness| {
        // It learns how long answers usually take.
        for number in 0..20 {
            placed(
                &mut harness
                    .request_placement(placement_request(&format!("quick{number}"), "web"))
                    .await,
            )
            .await;
        }
        harness.nodes[0].stall(Duration::from_millis(2_500));
        let mut calls = Vec::new();
        for number in 0..12 {
            calls.push(
                harness
                    .request_placement(placement_request(&format!("slow{number}"), "web"))
                    .await,
            );
        }
        for words in &mut calls {
            assert_eq!(placed(words).await, 1, "the one that answers");
        }
        let offers = harness.offers();
        assert!(
            offers
                .iter()
                .any(|(_, number, node)| (*number, *node) == (1, 1)),
            "a second shot was made"
        );
        for words in &mut calls {
            assert!(
                matches!(next(words).await, Some(Event::Running(_))),
                "no second answer"
            );
        }
    });
}

#[test]
fn one_end_that_takes_the_link_for_broken_can_be_handed_what_runs_on() {
    Harness::run(Layout::default(), async |harness| {
        let ask = v1::PlacementRequest {
            expected_duration_ms: 1_500,
            ..placement_request("a", "once")
        };
        let mut words = harness.request_placement(ask.clone()).await;
        let node = placed(&mut words).await;
        harness.nodes[node as usize].cut_connections(Duration::from_millis(20));
        assert_eq!(ended(next_significant(&mut words).await), EndReason::Lost);
        assert!(
            !harness.nodes[node as usize].allocations_of("a").is_empty(),
            "it runs on"
        );
        let mut again = harness.hand_over(ask, node).await;
        assert_eq!(ended(next_significant(&mut again).await), EndReason::Ended);
        assert_eq!(harness.offers().len(), 1, "and is not started again");
    });
}

#[test]
fn one_handed_over_that_does_not_run_is_lost() {
    Harness::run(Layout::default(), async |harness| {
        let mut words = harness.hand_over(placement_request("a", "once"), 1).await;
        assert_eq!(ended(next(&mut words).await), EndReason::Lost);
        let mut words = harness.hand_over(placement_request("a", "once"), 77).await;
        assert_eq!(
            ended(next(&mut words).await),
            EndReason::Lost,
            "nor on a node that nobody knows"
        );
    });
}

#[test]
fn a_node_started_anew_under_its_id_is_met_at_its_new_address_and_as_cold() {
    Harness::run(
        Layout {
            nodes: 1,
            ..Layout::default()
        },
        async |harness| {
            let mut words = harness
                .request_placement(placement_request("a", "once"))
                .await;
            placed(&mut words).await;
            harness.nodes[0].kill(NodeState::Gone);
            let address = harness.nodes[0].start_process(true).await.expect("a port");
            let now_ms = corkspan_dispatcher::clock::wall_ms();
            harness.discovery.update(
                Duration::ZERO,
                endpoint(&harness.nodes[0], address, State::Serving, now_ms),
            );
            assert_eq!(ended(next_significant(&mut words).await), EndReason::Lost);
            let mut calls = Vec::new();
            for number in 0..40 {
                calls.push(
                    harness
                        .request_placement(placement_request(&format!("b{number}"), "web"))
                        .await,
                );
            }
            for words in &mut calls {
                placed(words).await;
            }
            assert!(harness.nodes[0].is_running(), "it was not pushed over");
        },
    );
}

#[test]
fn a_stranger_at_a_nodes_old_address_is_offered_nothing() {
    Harness::run(
        Layout {
            nodes: 1,
            ..Layout::default()
        },
        async |harness| {
            let old = harness.discovery.endpoint(0).expect("listed");
            let id = 9;
            harness.discovery.update(
                Duration::ZERO,
                v1::Endpoint {
                    node: id,
                    ..old.clone()
                },
            );
            harness.discovery.update(
                Duration::ZERO,
                v1::Endpoint {
                    state: State::Gone.into(),
                    ..old
                },
            );
            wait_until(async || harness.status().await.machines_known == 2).await;
            harness.wait_until_serving(1).await;
            let mut words = harness
                .request_placement(v1::PlacementRequest {
                    deadline_ms: 900,
                    ..placement_request("a", "once")
                })
                .await;
            assert_eq!(
                rejected(&mut words).await,
                RejectionReason::NoRoom,
                "it never ran, so another try is harmless"
            );
            assert!(harness.offers().is_empty());
        },
    );
}

#[test]
fn two_asks_of_one_name_are_one_allocation() {
    Harness::run(Layout::default(), async |harness| {
        let mut first = harness
            .request_placement(placement_request("a", "once"))
            .await;
        placed(&mut first).await;
        let mut second = harness
            .request_placement(v1::PlacementRequest {
                placement_id: "a#1".into(),
                ..placement_request("a", "once")
            })
            .await;
        assert_eq!(rejected(&mut second).await, RejectionReason::InHand);
        assert!(
            harness
                .nodes
                .iter()
                .any(|node| !node.allocations_of("a").is_empty()),
            "the first runs on"
        );
    });
}

#[test]
fn an_owner_that_hangs_up_has_its_allocation_stopped() {
    Harness::run(Layout::default(), async |harness| {
        let mut words = harness
            .request_placement(placement_request("a", "once"))
            .await;
        let node = placed(&mut words).await as usize;
        drop(words);
        wait_until(async || harness.nodes[node].allocations_of("a").is_empty()).await;
        wait_until(async || harness.status().await.in_flight == 0).await;
        assert_eq!(harness.status().await.cancelled, 1);
    });
}

#[test]
fn an_owner_that_hangs_up_while_its_shot_is_out_leaves_no_copy() {
    let layout = Layout {
        review_time: Duration::from_millis(300),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let words = harness
            .request_placement(placement_request("a", "once"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        drop(words);
        wait_until(async || harness.status().await.in_flight == 0).await;
        assert!(
            harness
                .nodes
                .iter()
                .all(|node| node.allocations_of("a").is_empty())
        );
    });
}

#[test]
fn a_calls_own_deadline_is_heeded_and_its_passing_stops_nothing() {
    Harness::run(Layout::default(), async |harness| {
        let mut request = tonic::Request::new(v1::PlacementRequest {
            deadline_ms: 0,
            ..placement_request("a", "once")
        });
        request.set_timeout(Duration::from_millis(600));
        let mut words = harness
            .client()
            .await
            .place(request)
            .await
            .expect("taken")
            .into_inner();
        let node = placed(&mut words).await as usize;
        Timer::after(Duration::from_millis(650)).await;
        drop(words);
        // Another call after it, so that the end of the first has been seen.
        placed(
            &mut harness
                .request_placement(placement_request("b", "once"))
                .await,
        )
        .await;
        assert!(
            !harness.nodes[node].allocations_of("a").is_empty(),
            "its owner's call has ended as agreed"
        );
    });
}

#[test]
fn without_room_it_is_refused_before_the_owners_time_is_up() {
    Harness::run(
        Layout {
            nodes: 0,
            ..Layout::default()
        },
        async |harness| {
            let began = Instant::now();
            let mut words = harness
                .request_placement(v1::PlacementRequest {
                    deadline_ms: 1_000,
                    ..placement_request("a", "once")
                })
                .await;
            assert_eq!(rejected(&mut words).await, RejectionReason::NoRoom);
            assert!(began.elapsed() < Duration::from_millis(1_000));
        },
    );
}

#[test_case(v1::PlacementRequest { deadline_ms: 0, ..placement_request("a", "web") }, "deadline"; "without a deadline")]
#[test_case(v1::PlacementRequest { deadline_ms: u64::MAX, ..placement_request("a", "web") }, "deadline"; "with a deadline beyond all time")]
#[test_case(v1::PlacementRequest { cores: f64::NAN, ..placement_request("a", "web") }, "cores"; "cores that are no number")]
#[test_case(v1::PlacementRequest { memory: -1.0, ..placement_request("a", "web") }, "memory"; "negative memory")]
#[test_case(v1::PlacementRequest { cores: 0.0, ..placement_request("a", "web") }, "cores"; "no cores")]
#[test_case(placement_request("a", "wbe"), "unknown service class `wbe`"; "unknown service class")]
#[test_case(placement_request("", "web"), "task"; "no name")]
#[test_case(placement_request(&"x".repeat(300), "web"), "task"; "a name too long")]
fn an_ask_that_is_none_is_refused_with_the_reason(ask: v1::PlacementRequest, why: &str) {
    Harness::run(Layout::default(), async |harness| {
        match next(&mut harness.request_placement(ask).await).await {
            Some(Event::Rejected(refused)) => {
                assert_eq!(refused.reason(), RejectionReason::BadAsk);
                assert!(refused.message.contains(why), "{}", refused.message);
            }
            other => panic!("not {other:?}"),
        }
        placed(
            &mut harness
                .request_placement(crate::harness::placement_request("sound", "web"))
                .await,
        )
        .await;
    });
}

#[test]
fn garbage_and_too_large_a_message_harm_nobody_else() {
    Harness::run(Layout::default(), async |harness| {
        let mut wild = async_net::TcpStream::connect(harness.address)
            .await
            .expect("it listens");
        wild.write_all(&[0xa5; 4096]).await.expect("written");
        let mut rest = Vec::new();
        let closed = corkspan_rpc::within(PATIENCE, wild.read_to_end(&mut rest)).await;
        assert!(closed.is_some(), "the link is closed");
        let large = v1::PlacementRequest {
            service: "x".repeat(1 << 20),
            ..placement_request("a", "web")
        };
        let status = harness
            .client()
            .await
            .place(large)
            .await
            .expect_err("turned down");
        assert!(
            matches!(
                status.code(),
                tonic::Code::OutOfRange | tonic::Code::ResourceExhausted
            ),
            "{status}"
        );
        placed(
            &mut harness
                .request_placement(placement_request("sound", "web"))
                .await,
        )
        .await;
    });
}

#[test]
fn a_roster_away_all_day_leaves_the_remembered_list() {
    let folder = tempfile::tempdir().expect("a folder");
    let list = folder.path().join("list.json");
    let more = format!("(remembered {list:?})");
    Harness::run(
        Layout {
            more: more.clone(),
            ..Layout::default()
        },
        async |harness| {
            wait_until(async || list.exists()).await;
            harness.discovery.disconnect(None);
            let text = deployment("127.0.0.1:1".parse().expect("an address"), &more);
            let second = Harness::start_second(&harness, &text).await;
            placed(
                &mut second
                    .request_placement(placement_request("a", "web"))
                    .await,
            )
            .await;
        },
    );
}

#[test_case(&[][..]; "empty")]
#[test_case(&b"{\"version\": 3, \"sum\": 1, \"lines\": []}"[..]; "with a wrong sum")]
#[test_case(&b"{\"version\": 3, \"su"[..]; "cut off")]
#[test_case(&[0xff; 64][..]; "garbled")]
fn a_remembered_list_that_is(torn: &[u8]) {
    let folder = tempfile::tempdir().expect("a folder");
    let list = folder.path().join("list.json");
    std::fs::write(&list, torn).expect("written");
    let more = format!("(remembered {list:?})");
    Harness::run(
        Layout {
            more,
            ..Layout::default()
        },
        async |harness| {
            assert!(
                folder.path().join("list.aside").exists(),
                "it is kept for whoever looks into it"
            );
            placed(
                &mut harness
                    .request_placement(placement_request("a", "web"))
                    .await,
            )
            .await;
            wait_until(async || list.exists()).await;
        },
    );
}

#[test]
fn a_full_disk_under_the_remembered_list_stops_nothing() {
    // A folder where the file should be can't be written to, whoever tries.
    let folder = tempfile::tempdir().expect("a folder");
    let more = format!(
        "(remembered {:?})",
        folder.path().join("missing").join("list.json")
    );
    Harness::run(
        Layout {
            more,
            ..Layout::default()
        },
        async |harness| {
            placed(
                &mut harness
                    .request_placement(placement_request("a", "web"))
                    .await,
            )
            .await;
        },
    );
}

#[test]
fn a_burst_of_five_thousand_gets_one_answer_each() {
    let layout = Layout {
        more: "(bounds (in-hand 1000))".into(),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let client = harness.client().await;
        let mut calls = Vec::new();
        for number in 0..5_000 {
            // A slow machine takes seconds to read 5,000 asks; those without room wait to the end
            // of their time.
            let ask = v1::PlacementRequest {
                deadline_ms: 12_000,
                ..placement_request(&format!("t{number}"), "web")
            };
            let mut client = client.clone();
            calls.push(harness.tasks.spawn(async move {
                let mut words = client.place(ask).await.expect("taken").into_inner();
                let word = next(&mut words).await;
                (word, words)
            }));
        }
        let (mut placed, mut too_many, mut no_room) = (0, 0, 0);
        let mut held = Vec::new();
        for call in calls {
            let (word, words) = call.await;
            held.push(words);
            match word {
                Some(Event::Placed(_)) => placed += 1,
                Some(Event::Rejected(refused)) if refused.reason() == RejectionReason::TooMany => {
                    too_many += 1
                }
                Some(Event::Rejected(_)) => no_room += 1,
                other => panic!("not {other:?}"),
            }
        }
        assert_eq!(placed + too_many + no_room, 5_000);
        assert!(
            placed >= 100 && too_many >= 3_000,
            "{placed} placed, {too_many} beyond the most in hand"
        );
        let status = harness.status().await;
        assert_eq!(
            (status.requested, status.placed, status.running),
            (5_000, placed, placed)
        );
    });
}

#[test]
fn an_owner_that_does_not_read_holds_nobody_up() {
    Harness::run(Layout::default(), async |harness| {
        let mut silent = Vec::new();
        for number in 0..50 {
            silent.push(
                harness
                    .request_placement(placement_request(&format!("silent{number}"), "web"))
                    .await,
            );
        }
        for number in 0..50 {
            placed(
                &mut harness
                    .request_placement(placement_request(&format!("loud{number}"), "web"))
                    .await,
            )
            .await;
        }
        for words in &mut silent {
            placed(words).await;
        }
    });
}

#[test]
fn a_dispatcher_that_stops_answers_everything_in_hand() {
    let layout = Layout {
        nodes: 1,
        review_time: Duration::from_millis(100),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let mut running = harness
            .request_placement(placement_request("running", "once"))
            .await;
        placed(&mut running).await;
        let mut out = harness
            .request_placement(placement_request("out", "once"))
            .await;
        wait_until(async || harness.offers().len() == 2).await;
        // Larger than all that the node accepts.
        let mut waits = harness
            .request_placement(v1::PlacementRequest {
                cores: 500.0,
                ..placement_request("waits", "once")
            })
            .await;
        wait_until(async || harness.status().await.deferred == 1).await;
        let mut late = harness.client().await;
        let stopping = harness.tasks.clone().spawn(harness.stop());
        assert_eq!(rejected(&mut waits).await, RejectionReason::NoRoom);
        if let Ok(words) = late.place(placement_request("late", "web")).await {
            assert_eq!(
                rejected(&mut words.into_inner()).await,
                RejectionReason::Stopping
            );
        }
        placed(&mut out).await;
        for words in [&mut running, &mut out] {
            assert_eq!(ended(next_significant(words).await), EndReason::HandedBack);
        }
        let lines = stopping.await;
        let stopped = |line: &capture::Line| {
            matches!(
                line.observation,
                Observation::EventSent {
                    event: capture::AllocationEvent::Stopped,
                    ..
                }
            )
        };
        assert!(!lines.iter().any(stopped), "what runs, runs on");
    });
}

#[test]
fn a_port_in_use_is_named() {
    Harness::run(Layout::default(), async |harness| {
        let text =
            deployment(harness.address, "").replace("127.0.0.1:0", &harness.address.to_string());
        let deployment = corkspan_config::Deployment::parse("rig", &text).expect("sound");
        let run = corkspan_dispatcher::run(
            harness.tasks.clone(),
            deployment,
            |_| {},
            futures_lite::future::pending(),
        );
        let why = run.await.expect_err("the port is taken").to_string();
        assert!(why.contains(&harness.address.to_string()), "{why}");
    });
}

#[test]
fn links_with_nothing_on_them_are_closed() {
    let more = "(bounds (idle-close 200 ms))".to_string();
    Harness::run(
        Layout {
            more,
            ..Layout::default()
        },
        async |harness| {
            let mut words = harness
                .request_placement(v1::PlacementRequest {
                    expected_duration_ms: 600,
                    ..placement_request("a", "web")
                })
                .await;
            placed(&mut words).await;
            assert_eq!(harness.status().await.connections, 1);
            assert_eq!(ended(next_significant(&mut words).await), EndReason::Ended);
            wait_until(async || harness.status().await.connections == 0).await;
        },
    );
}
