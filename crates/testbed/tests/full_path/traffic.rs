//! Compares the traffic that a dispatcher counts on its connections with the counts of relays and
//! stand-ins.

use crate::harness::*;
use async_io::Timer;
use corkspan_api::v1::{
    self, connection_traffic::Kind, placement_client::PlacementClient,
    versions_client::VersionsClient,
};
use corkspan_rpc::{Connection, ConnectionLimits};
use corkspan_testbed::control_service::ControlService;
use corkspan_testbed::fault_proxies::FaultProxies;
use corkspan_testbed::relay::Relay;
use corkspan_testbed::scenario::ConnectionPeer;
use corkspan_testbed::traffic::{Difference, differences, relay_traffic, traffic_of};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const QUORUM_MEMBERS: [u32; 3] = [0, 3, 4];

struct Fixture {
    harness: Harness,
    control: ControlService,
    proxies: FaultProxies,
    /// Number of lists that discovery sent to the previous incarnation of the dispatcher.
    lists_before_restart: u64,
}

impl Fixture {
    /// Returns the differences at a moment without traffic, and the reported counts. While traffic
    /// flows, some bytes are in the kernel and counted at only one end, so this waits for an idle
    /// moment.
    async fn differences(&self) -> (Vec<Difference>, Vec<v1::ConnectionTraffic>) {
        let mut last = (Vec::new(), Vec::new());
        for _ in 0..400 {
            let before = relay_traffic(&self.proxies, 0);
            let reported = self.harness.status().await.connection_traffic;
            let idle = relay_traffic(&self.proxies, 0) == before;
            last = (differences(&reported, &before), reported);
            if idle && last.0.is_empty() {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        last
    }
}

/// Runs a test against a dispatcher whose connections all run through relays, except the one to the
/// control service where `bypass_control` is set.
fn run_through_relays<F: Future<Output = ()>>(
    bypass_control: bool,
    test: impl FnOnce(Fixture) -> F,
) {
    Harness::run(
        Layout {
            nodes: 5,
            ..Layout::default()
        },
        async |harness| {
            let directory = tempfile::tempdir().expect("a folder");
            let (control, _control_guard) = ControlService::start(&harness.context)
                .await
                .expect("a port");
            let listed: Vec<(u32, SocketAddr)> = harness
                .nodes
                .iter()
                .map(|node| {
                    let entry = harness.discovery.endpoint(node.config.id).expect("listed");
                    (node.config.id, entry.address.parse().expect("an address"))
                })
                .collect();
            let proxies = FaultProxies::start(
                &harness.tasks,
                1,
                &harness.discovery,
                Some(control.address),
                &listed,
                &QUORUM_MEMBERS,
            );
            let proxies = proxies.await.expect("ports");
            let relay_address = |end| proxies.address(0, end).expect("a relay");
            let service = if bypass_control {
                control.address
            } else {
                relay_address(ConnectionPeer::Control)
            };
            let versions_path = directory.path().join("versions.json");
            let extra_forms =
                format!("(keepers 0 3 4) (control \"{service}\") (versions {versions_path:?})");
            let lists_before_restart = harness.discovery.lists_sent(0);
            let harness = harness
                .kill_and_restart(&deployment(
                    relay_address(ConnectionPeer::Discovery),
                    &extra_forms,
                ))
                .await;
            harness.wait_until_serving(5).await;
            wait_until(async || control.streams_opened() == 1).await;
            let mut calls = Vec::new();
            for task in 0..30 {
                let mut events = harness
                    .request_placement(placement_request(&format!("t{task}"), "web"))
                    .await;
                expect_placed(&mut events).await;
                calls.push(events);
            }
            drop(calls);
            test(Fixture {
                harness,
                control,
                proxies,
                lists_before_restart,
            })
            .await;
        },
    );
}

#[test]
fn a_dispatcher_counts_every_byte_that_its_relays_forward() {
    run_through_relays(false, async |fixture| {
        // Each placement costs an offer and a stop, and each connection a greeting: to three quorum
        // members and at least one node.
        wait_until(async || {
            let reported = fixture.harness.status().await.connection_traffic;
            let sent = |kind| traffic_of(&reported, kind).messages_out;
            sent(Kind::Nodes) + sent(Kind::Keepers) >= 2 * 30 + 4
        })
        .await;
        let (found, reported) = fixture.differences().await;
        assert_eq!(found, []);
        for kind in [Kind::Roster, Kind::Control, Kind::Keepers, Kind::Nodes] {
            let count = traffic_of(&reported, kind);
            assert!(
                count.bytes_in > 0 && count.bytes_out > 0,
                "{kind:?}: {count:?}"
            );
        }
        let discovery = traffic_of(&reported, Kind::Roster);
        assert_eq!(
            (discovery.messages_in, discovery.messages_out),
            (
                fixture.harness.discovery.lists_sent(0) - fixture.lists_before_restart,
                1
            )
        );
        let control = traffic_of(&reported, Kind::Control);
        assert_eq!(
            control.messages_out as usize,
            fixture.control.replies().len()
        );
        assert_eq!(control.messages_in as usize, fixture.control.pushes().len());
    });
}

#[test]
fn only_the_connection_that_bypasses_its_relay_differs() {
    run_through_relays(true, async |fixture| {
        let (found, _) = fixture.differences().await;
        assert_eq!(
            found.iter().map(|other| other.peer).collect::<Vec<_>>(),
            [ConnectionPeer::Control]
        );
    });
}

#[test_case(0, 1; "a byte in")]
#[test_case(1, 1; "a byte out")]
#[test_case(0, 1 << 20; "a megabyte in")]
fn a_count_that_is_too_low_is_found(direction: usize, excess: u64) {
    let reported = v1::ConnectionTraffic {
        kind: Kind::Nodes.into(),
        bytes_in: 7,
        bytes_out: 9,
        ..Default::default()
    };
    let mut relayed = [7, 9];
    assert_eq!(
        differences(&[reported], &[(ConnectionPeer::Nodes, relayed)]),
        []
    );
    relayed[direction] += excess;
    let found = differences(&[reported], &[(ConnectionPeer::Nodes, relayed)]);
    assert_eq!(
        found,
        [Difference {
            peer: ConnectionPeer::Nodes,
            reported: [7, 9],
            observed: relayed
        }]
    );
}

/// Accepted connections are told apart by their first call, and the traffic before that call is
/// counted with the rest.
#[test]
fn connections_from_clients_and_from_dispatchers_are_counted_separately() {
    // Discovery is unavailable, so that the set-up makes no status call to the dispatcher.
    Harness::run(
        Layout {
            discovery_unavailable: true,
            ..Layout::default()
        },
        async |harness| {
            let client_relay = Relay::start(&harness.tasks, harness.address)
                .await
                .expect("a port");
            let peer_relay = Relay::start(&harness.tasks, harness.address)
                .await
                .expect("a port");
            let open = async |relay: &Relay| {
                let limits = ConnectionLimits {
                    connect_timeout: WAIT_TIMEOUT,
                    ..ConnectionLimits::default()
                };
                Connection::open(&harness.tasks, relay.address, &limits)
                    .await
                    .expect("it listens")
            };
            let mut versions = VersionsClient::new(open(&peer_relay).await);
            for _ in 0..3 {
                let running = Some(v1::VersionId {
                    number: 0,
                    digest: "0".repeat(64),
                });
                let _ = versions
                    .give(v1::FetchVersionRequest {
                        active: running,
                        dispatcher: 1,
                    })
                    .await;
            }
            let mut client = PlacementClient::new(open(&client_relay).await);
            let (mut reported, mut matched) = (Vec::new(), false);
            for _ in 0..400 {
                let before = client_relay.bytes_passed();
                reported = client
                    .status(v1::StatusRequest {})
                    .await
                    .expect("a status")
                    .into_inner()
                    .connection_traffic;
                let (after, client_traffic, peer_traffic) = (
                    client_relay.bytes_passed(),
                    traffic_of(&reported, Kind::Owners),
                    traffic_of(&reported, Kind::Dispatchers),
                );
                // For the relay, `in` is the direction towards the side that opened the connection,
                // here the client. The status reply is in transit while it is counted, so the
                // clients' counts lie between the bytes passed before and after it; the other
                // connection is idle.
                let is_between = |reported, direction: usize| {
                    before[direction] <= reported && reported <= after[direction]
                };
                let peer_matches =
                    [peer_traffic.bytes_out, peer_traffic.bytes_in] == peer_relay.bytes_passed();
                matched = peer_matches
                    && is_between(client_traffic.bytes_in, 1)
                    && is_between(client_traffic.bytes_out, 0);
                if matched {
                    break;
                }
                Timer::after(Duration::from_millis(10)).await;
            }
            assert!(
                matched,
                "{reported:?}, {:?}, {:?}",
                client_relay.bytes_passed(),
                peer_relay.bytes_passed()
            );
            assert_eq!(traffic_of(&reported, Kind::Dispatchers).messages_in, 3);
        },
    );
}
