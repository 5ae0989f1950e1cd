//! Tests of faults between clients, a dispatcher, nodes and discovery, provoked over real sockets.

use crate::harness::*;
use async_io::Timer;
use corkspan_api::v1::{
    self, ended::EndReason, endpoint::State, placement_event::Event, rejected::RejectionReason,
};
use corkspan_testbed::capture::{self, NodeState, Observation};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::time::{Duration, Instant};
use test_case::test_case;

fn expect_ended(event: Option<Event>) -> EndReason {
    match event {
        Some(Event::Ended(ended)) => ended.reason(),
        other => panic!("an `Ended` event is expected, not {other:?}"),
    }
}

#[test]
fn a_request_is_placed_runs_and_ends() {
    Harness::run(Layout::default(), async |harness| {
        let mut events = harness
            .request_placement(v1::PlacementRequest {
                expected_duration_ms: 50,
                ..placement_request("a", "web")
            })
            .await;
        expect_placed(&mut events).await;
        assert!(matches!(next(&mut events).await, Some(Event::Running(_))));
        assert_eq!(
            expect_ended(next_significant(&mut events).await),
            EndReason::Ended
        );
        assert!(
            next(&mut events).await.is_none(),
            "the call ends with its allocation"
        );
        wait_until(async || harness.status().await.in_flight == 0).await;
    });
}

#[test]
fn a_request_is_placed_elsewhere_when_its_node_drains() {
    Harness::run(Layout::default(), async |harness| {
        harness.nodes[0].drain();
        let early = expect_placed(
            &mut harness
                .request_placement(placement_request("early", "once"))
                .await,
        )
        .await;
        assert_eq!(
            early, 1,
            "the draining node rejects it, the other accepts it"
        );
        harness.set_endpoint_state(0, State::Draining);
        harness.wait_until_serving(1).await;
        let before = harness
            .offers()
            .iter()
            .filter(|(_, _, node)| *node == 0)
            .count();
        for number in 0..10 {
            let mut events = harness
                .request_placement(placement_request(&format!("late{number}"), "web"))
                .await;
            assert_eq!(expect_placed(&mut events).await, 1);
        }
        let after = harness
            .offers()
            .iter()
            .filter(|(_, _, node)| *node == 0)
            .count();
        assert_eq!(after, before, "it is offered nothing new");
    });
}

#[test]
fn the_client_learns_of_a_node_lost_after_placement() {
    Harness::run(Layout::default(), async |harness| {
        let mut events = harness
            .request_placement(placement_request("a", "once"))
            .await;
        let node = expect_placed(&mut events).await;
        harness.nodes[node as usize].kill(NodeState::Gone);
        assert_eq!(
            expect_ended(next_significant(&mut events).await),
            EndReason::Lost
        );
        assert_eq!(
            harness.offers().len(),
            1,
            "the dispatcher does not retry, the client may"
        );
    });
}

#[test]
fn a_connection_cut_before_the_reply_fails_a_request_that_is_not_retryable() {
    let layout = Layout {
        review_time: Duration::from_millis(400),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let mut events = harness
            .request_placement(placement_request("a", "once"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        harness.nodes[harness.offers()[0].2 as usize].cut_connections(Duration::from_millis(50));
        assert!(matches!(next(&mut events).await, Some(Event::Failed(_))));
        assert_eq!(harness.offers().len(), 1);
    });
}

#[test_case(2_000, true; "within the deduplication window")]
#[test_case(100, false; "after the deduplication window")]
fn a_deduplicated_request_is_retried_only_within_its_window(window_ms: u64, retried: bool) {
    let layout = Layout {
        nodes: 4,
        review_time: Duration::from_millis(400),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let text = deployment(harness.discovery.address, "");
        let second = Harness::start_second(
            &harness,
            &text.replace("(window 2 s)", &format!("(window {window_ms} ms)")),
        )
        .await;
        second.wait_until_serving(4).await;
        let mut events = second
            .request_placement(placement_request("a", "jobs"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        // Longer than the shorter window and shorter than the longer one.
        Timer::after(Duration::from_millis(150)).await;
        let first = harness.offers()[0].2;
        harness.nodes[first as usize].cut_connections(Duration::from_millis(50));
        match next(&mut events).await {
            Some(Event::Placed(placed)) if retried => {
                assert_eq!(
                    placed.node / 2,
                    first / 2,
                    "duplicates are dropped only within the zone"
                );
            }
            Some(Event::Failed(_)) if !retried => assert_eq!(harness.offers().len(), 1),
            other => panic!("not {other:?}"),
        }
    });
}

#[test]
fn a_reply_after_the_timeout_is_ignored() {
    Harness::run(Layout::default(), async |harness| {
        // Lets the dispatcher measure how long replies usually take.
        for number in 0..20 {
            expect_placed(
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
        for events in &mut calls {
            assert_eq!(
                expect_placed(events).await,
                1,
                "the node that replies in time"
            );
        }
        let offers = harness.offers();
        assert!(
            offers
                .iter()
                .any(|(_, number, node)| (*number, *node) == (1, 1)),
            "a second attempt was made"
        );
        for events in &mut calls {
            assert!(
                matches!(next(events).await, Some(Event::Running(_))),
                "no second reply"
            );
        }
    });
}

#[test]
fn a_running_allocation_can_be_handed_over_after_its_connection_breaks() {
    Harness::run(Layout::default(), async |harness| {
        let request = v1::PlacementRequest {
            expected_duration_ms: 1_500,
            ..placement_request("a", "once")
        };
        let mut events = harness.request_placement(request.clone()).await;
        let node = expect_placed(&mut events).await;
        harness.nodes[node as usize].cut_connections(Duration::from_millis(20));
        assert_eq!(
            expect_ended(next_significant(&mut events).await),
            EndReason::Lost
        );
        assert!(
            !harness.nodes[node as usize].allocations_of("a").is_empty(),
            "it keeps running"
        );
        let mut handed_over = harness.hand_over(request, node).await;
        assert_eq!(
            expect_ended(next_significant(&mut handed_over).await),
            EndReason::Ended
        );
        assert_eq!(harness.offers().len(), 1, "and is not started again");
    });
}

#[test]
fn a_handed_over_allocation_that_does_not_run_is_lost() {
    Harness::run(Layout::default(), async |harness| {
        let mut events = harness.hand_over(placement_request("a", "once"), 1).await;
        assert_eq!(expect_ended(next(&mut events).await), EndReason::Lost);
        let mut events = harness.hand_over(placement_request("a", "once"), 77).await;
        assert_eq!(
            expect_ended(next(&mut events).await),
            EndReason::Lost,
            "an unknown node counts as lost too"
        );
    });
}

#[test]
fn a_node_restarted_under_its_id_is_used_at_its_new_address_with_slow_start() {
    Harness::run(
        Layout {
            nodes: 1,
            ..Layout::default()
        },
        async |harness| {
            let mut events = harness
                .request_placement(placement_request("a", "once"))
                .await;
            expect_placed(&mut events).await;
            harness.nodes[0].kill(NodeState::Gone);
            let address = harness.nodes[0].start_process(true).await.expect("a port");
            let now_ms = corkspan_dispatcher::clock::wall_ms();
            harness.discovery.update(
                Duration::ZERO,
                endpoint(&harness.nodes[0], address, State::Serving, now_ms),
            );
            assert_eq!(
                expect_ended(next_significant(&mut events).await),
                EndReason::Lost
            );
            let mut calls = Vec::new();
            for number in 0..40 {
                calls.push(
                    harness
                        .request_placement(placement_request(&format!("b{number}"), "web"))
                        .await,
                );
            }
            for events in &mut calls {
                expect_placed(events).await;
            }
            assert!(harness.nodes[0].is_running(), "it was not overloaded");
        },
    );
}

#[test]
fn a_node_that_reports_another_id_than_listed_is_offered_nothing() {
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
            let mut events = harness
                .request_placement(v1::PlacementRequest {
                    deadline_ms: 900,
                    ..placement_request("a", "once")
                })
                .await;
            assert_eq!(
                expect_rejected(&mut events).await,
                RejectionReason::NoRoom,
                "it never ran, so a retry is safe"
            );
            assert!(harness.offers().is_empty());
        },
    );
}

#[test]
fn two_requests_for_one_task_make_one_allocation() {
    Harness::run(Layout::default(), async |harness| {
        let mut first = harness
            .request_placement(placement_request("a", "once"))
            .await;
        expect_placed(&mut first).await;
        let mut second = harness
            .request_placement(v1::PlacementRequest {
                placement_id: "a#1".into(),
                ..placement_request("a", "once")
            })
            .await;
        assert_eq!(expect_rejected(&mut second).await, RejectionReason::InHand);
        assert!(
            harness
                .nodes
                .iter()
                .any(|node| !node.allocations_of("a").is_empty()),
            "the first keeps running"
        );
    });
}

#[test]
fn a_client_that_disconnects_has_its_allocation_stopped() {
    Harness::run(Layout::default(), async |harness| {
        let mut events = harness
            .request_placement(placement_request("a", "once"))
            .await;
        let node = expect_placed(&mut events).await as usize;
        drop(events);
        wait_until(async || harness.nodes[node].allocations_of("a").is_empty()).await;
        wait_until(async || harness.status().await.in_flight == 0).await;
        assert_eq!(harness.status().await.cancelled, 1);
    });
}

#[test]
fn a_client_that_disconnects_during_an_attempt_leaves_no_allocation() {
    let layout = Layout {
        review_time: Duration::from_millis(300),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let events = harness
            .request_placement(placement_request("a", "once"))
            .await;
        wait_until(async || harness.offers().len() == 1).await;
        drop(events);
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
fn the_deadline_of_a_call_applies_and_its_expiry_stops_no_allocation() {
    Harness::run(Layout::default(), async |harness| {
        let mut request = tonic::Request::new(v1::PlacementRequest {
            deadline_ms: 0,
            ..placement_request("a", "once")
        });
        request.set_timeout(Duration::from_millis(600));
        let mut events = harness
            .client()
            .await
            .place(request)
            .await
            .expect("the call is accepted")
            .into_inner();
        let node = expect_placed(&mut events).await as usize;
        Timer::after(Duration::from_millis(650)).await;
        drop(events);
        // A second placement ensures that the dispatcher has seen the end of the first call.
        expect_placed(
            &mut harness
                .request_placement(placement_request("b", "once"))
                .await,
        )
        .await;
        assert!(
            !harness.nodes[node].allocations_of("a").is_empty(),
            "the client's call ended at its agreed deadline"
        );
    });
}

#[test]
fn without_capacity_a_request_is_rejected_before_its_deadline() {
    Harness::run(
        Layout {
            nodes: 0,
            ..Layout::default()
        },
        async |harness| {
            let started_at = Instant::now();
            let mut events = harness
                .request_placement(v1::PlacementRequest {
                    deadline_ms: 1_000,
                    ..placement_request("a", "once")
                })
                .await;
            assert_eq!(expect_rejected(&mut events).await, RejectionReason::NoRoom);
            assert!(started_at.elapsed() < Duration::from_millis(1_000));
        },
    );
}

#[test_case(v1::PlacementRequest { deadline_ms: 0, ..placement_request("a", "web") }, "deadline"; "without a deadline")]
#[test_case(v1::PlacementRequest { deadline_ms: u64::MAX, ..placement_request("a", "web") }, "deadline"; "with a deadline out of range")]
#[test_case(v1::PlacementRequest { cores: f64::NAN, ..placement_request("a", "web") }, "cores"; "cores that are not a number")]
#[test_case(v1::PlacementRequest { memory: -1.0, ..placement_request("a", "web") }, "memory"; "negative memory")]
#[test_case(v1::PlacementRequest { cores: 0.0, ..placement_request("a", "web") }, "cores"; "no cores")]
#[test_case(placement_request("a", "wbe"), "unknown service class `wbe`"; "unknown service class")]
#[test_case(placement_request("", "web"), "task"; "an empty name")]
#[test_case(placement_request(&"x".repeat(300), "web"), "task"; "a name too long")]
fn an_invalid_request_is_rejected_with_the_reason(request: v1::PlacementRequest, reason: &str) {
    Harness::run(Layout::default(), async |harness| {
        match next(&mut harness.request_placement(request).await).await {
            Some(Event::Rejected(rejected)) => {
                assert_eq!(rejected.reason(), RejectionReason::BadAsk);
                assert!(rejected.message.contains(reason), "{}", rejected.message);
            }
            other => panic!("not {other:?}"),
        }
        expect_placed(
            &mut harness
                .request_placement(crate::harness::placement_request("sound", "web"))
                .await,
        )
        .await;
    });
}

#[test]
fn garbage_and_oversized_messages_do_not_affect_other_clients() {
    Harness::run(Layout::default(), async |harness| {
        let mut socket = async_net::TcpStream::connect(harness.address)
            .await
            .expect("it listens");
        socket.write_all(&[0xa5; 4096]).await.expect("written");
        let mut rest = Vec::new();
        let closed = corkspan_rpc::within(WAIT_TIMEOUT, socket.read_to_end(&mut rest)).await;
        assert!(closed.is_some(), "the connection is closed");
        let large = v1::PlacementRequest {
            service: "x".repeat(1 << 20),
            ..placement_request("a", "web")
        };
        let status = harness
            .client()
            .await
            .place(large)
            .await
            .expect_err("rejected");
        assert!(
            matches!(
                status.code(),
                tonic::Code::OutOfRange | tonic::Code::ResourceExhausted
            ),
            "{status}"
        );
        expect_placed(
            &mut harness
                .request_placement(placement_request("sound", "web"))
                .await,
        )
        .await;
    });
}

#[test]
fn without_discovery_a_dispatcher_starts_from_its_stored_node_list() {
    let directory = tempfile::tempdir().expect("a folder");
    let list = directory.path().join("list.json");
    let extra_forms = format!("(remembered {list:?})");
    Harness::run(
        Layout {
            extra_forms: extra_forms.clone(),
            ..Layout::default()
        },
        async |harness| {
            wait_until(async || list.exists()).await;
            harness.discovery.disconnect(None);
            let text = deployment("127.0.0.1:1".parse().expect("an address"), &extra_forms);
            let second = Harness::start_second(&harness, &text).await;
            expect_placed(
                &mut second
                    .request_placement(placement_request("a", "web"))
                    .await,
            )
            .await;
        },
    );
}

#[test_case(&[][..]; "empty")]
#[test_case(&b"{\"version\": 3, \"sum\": 1, \"lines\": []}"[..]; "with a wrong checksum")]
#[test_case(&b"{\"version\": 3, \"su"[..]; "truncated")]
#[test_case(&[0xff; 64][..]; "garbled")]
fn a_damaged_stored_node_list_is_moved_aside(content: &[u8]) {
    let directory = tempfile::tempdir().expect("a folder");
    let list = directory.path().join("list.json");
    std::fs::write(&list, content).expect("written");
    let extra_forms = format!("(remembered {list:?})");
    Harness::run(
        Layout {
            extra_forms,
            ..Layout::default()
        },
        async |harness| {
            assert!(
                directory.path().join("list.aside").exists(),
                "the damaged file is kept for inspection"
            );
            expect_placed(
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
fn a_node_list_that_cannot_be_stored_does_not_stop_placement() {
    // The parent directory is missing, so that no user can create the file, not even root.
    let directory = tempfile::tempdir().expect("a folder");
    let extra_forms = format!(
        "(remembered {:?})",
        directory.path().join("missing").join("list.json")
    );
    Harness::run(
        Layout {
            extra_forms,
            ..Layout::default()
        },
        async |harness| {
            expect_placed(
                &mut harness
                    .request_placement(placement_request("a", "web"))
                    .await,
            )
            .await;
        },
    );
}

#[test]
fn each_request_of_a_burst_of_five_thousand_gets_one_reply() {
    let layout = Layout {
        extra_forms: "(bounds (in-hand 1000))".into(),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let client = harness.client().await;
        let mut calls = Vec::new();
        for number in 0..5_000 {
            // A slow machine takes seconds to read 5,000 requests, and requests without capacity
            // wait until their deadline.
            let request = v1::PlacementRequest {
                deadline_ms: 12_000,
                ..placement_request(&format!("t{number}"), "web")
            };
            let mut client = client.clone();
            calls.push(harness.tasks.spawn(async move {
                let mut events = client
                    .place(request)
                    .await
                    .expect("the call is accepted")
                    .into_inner();
                let event = next(&mut events).await;
                (event, events)
            }));
        }
        let (mut placed, mut too_many, mut no_room) = (0, 0, 0);
        let mut open_calls = Vec::new();
        for call in calls {
            let (event, events) = call.await;
            open_calls.push(events);
            match event {
                Some(Event::Placed(_)) => placed += 1,
                Some(Event::Rejected(rejected))
                    if rejected.reason() == RejectionReason::TooMany =>
                {
                    too_many += 1
                }
                Some(Event::Rejected(_)) => no_room += 1,
                other => panic!("not {other:?}"),
            }
        }
        assert_eq!(placed + too_many + no_room, 5_000);
        assert!(
            placed >= 100 && too_many >= 3_000,
            "{placed} placed, {too_many} beyond the limit of requests in flight"
        );
        let status = harness.status().await;
        assert_eq!(
            (status.requested, status.placed, status.running),
            (5_000, placed, placed)
        );
    });
}

#[test]
fn a_client_that_does_not_read_delays_no_other() {
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
            expect_placed(
                &mut harness
                    .request_placement(placement_request(&format!("loud{number}"), "web"))
                    .await,
            )
            .await;
        }
        for events in &mut silent {
            expect_placed(events).await;
        }
    });
}

#[test]
fn a_stopping_dispatcher_replies_to_every_request_in_flight() {
    let layout = Layout {
        nodes: 1,
        review_time: Duration::from_millis(100),
        ..Layout::default()
    };
    Harness::run(layout, async |harness| {
        let mut running = harness
            .request_placement(placement_request("running", "once"))
            .await;
        expect_placed(&mut running).await;
        let mut in_flight = harness
            .request_placement(placement_request("out", "once"))
            .await;
        wait_until(async || harness.offers().len() == 2).await;
        // Larger than anything that the node admits.
        let mut deferred = harness
            .request_placement(v1::PlacementRequest {
                cores: 500.0,
                ..placement_request("waits", "once")
            })
            .await;
        wait_until(async || harness.status().await.deferred == 1).await;
        let mut late = harness.client().await;
        let stopping = harness.tasks.clone().spawn(harness.stop());
        assert_eq!(
            expect_rejected(&mut deferred).await,
            RejectionReason::NoRoom
        );
        if let Ok(events) = late.place(placement_request("late", "web")).await {
            assert_eq!(
                expect_rejected(&mut events.into_inner()).await,
                RejectionReason::Stopping
            );
        }
        expect_placed(&mut in_flight).await;
        for events in [&mut running, &mut in_flight] {
            assert_eq!(
                expect_ended(next_significant(events).await),
                EndReason::HandedBack
            );
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
        assert!(
            !lines.iter().any(stopped),
            "running allocations are not stopped"
        );
    });
}

#[test]
fn the_error_names_a_port_that_is_in_use() {
    Harness::run(Layout::default(), async |harness| {
        let text =
            deployment(harness.address, "").replace("127.0.0.1:0", &harness.address.to_string());
        let deployment =
            corkspan_config::Deployment::parse("test deployment", &text).expect("valid");
        let run = corkspan_dispatcher::run(
            harness.tasks.clone(),
            deployment,
            |_| {},
            futures_lite::future::pending(),
        );
        let error = run.await.expect_err("the port is taken").to_string();
        assert!(error.contains(&harness.address.to_string()), "{error}");
    });
}

#[test]
fn idle_connections_are_closed() {
    let extra_forms = "(bounds (idle-close 200 ms))".to_string();
    Harness::run(
        Layout {
            extra_forms,
            ..Layout::default()
        },
        async |harness| {
            let mut events = harness
                .request_placement(v1::PlacementRequest {
                    expected_duration_ms: 600,
                    ..placement_request("a", "web")
                })
                .await;
            expect_placed(&mut events).await;
            assert_eq!(harness.status().await.connections, 1);
            assert_eq!(
                expect_ended(next_significant(&mut events).await),
                EndReason::Ended
            );
            wait_until(async || harness.status().await.connections == 0).await;
        },
    );
}
