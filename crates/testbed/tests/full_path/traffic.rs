//! What a dispatcher counts on its links, against relays and stand-ins that count by themselves.

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
use corkspan_testbed::scenario::LinkPeer;
use corkspan_testbed::traffic::{Difference, differences, relay_traffic, traffic_of};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const KEEPERS: [u32; 3] = [0, 3, 4];

struct Stage {
    harness: Harness,
    control: ControlService,
    proxies: FaultProxies,
    /// Listings that the dispatcher's former life was told.
    told: u64,
}

impl Stage {
    /// What differs at a moment at which nothing passes; as long as something does, some bytes are
    /// in the kernel, counted at one end and not yet at the other, so such a moment is waited
    /// for.
    async fn differences(&self) -> (Vec<Difference>, Vec<v1::ConnectionTraffic>) {
        let mut last = (Vec::new(), Vec::new());
        for _ in 0..400 {
            let before = relay_traffic(&self.proxies, 0);
            let told = self.harness.status().await.connection_traffic;
            let quiet = relay_traffic(&self.proxies, 0) == before;
            last = (differences(&told, &before), told);
            if quiet && last.0.is_empty() {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        last
    }
}

/// A dispatcher whose links all run through relays, but for that to the control service where
/// `past` is set.
fn story<F: Future<Output = ()>>(past: bool, story: impl FnOnce(Stage) -> F) {
    Harness::run(
        Layout {
            nodes: 5,
            ..Layout::default()
        },
        async |harness| {
            let folder = tempfile::tempdir().expect("a folder");
            let (control, _up) = ControlService::start(&harness.context)
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
                &KEEPERS,
            );
            let proxies = proxies.await.expect("ports");
            let way = |end| proxies.address(0, end).expect("a relay");
            let service = if past {
                control.address
            } else {
                way(LinkPeer::Control)
            };
            let kept = folder.path().join("versions.json");
            let more = format!("(keepers 0 3 4) (control \"{service}\") (versions {kept:?})");
            let told = harness.discovery.lists_sent(0);
            let harness = harness
                .kill_and_restart(&deployment(way(LinkPeer::Roster), &more))
                .await;
            harness.wait_until_serving(5).await;
            wait_until(async || control.opened() == 1).await;
            let mut calls = Vec::new();
            for task in 0..30 {
                let mut words = harness
                    .request_placement(placement_request(&format!("t{task}"), "web"))
                    .await;
                placed(&mut words).await;
                calls.push(words);
            }
            drop(calls);
            story(Stage {
                harness,
                control,
                proxies,
                told,
            })
            .await;
        },
    );
}

#[test]
fn a_dispatcher_counts_each_byte_that_its_relays_pass() {
    story(false, async |stage| {
        // One that is placed costs its offer and its stop, and a link its greeting: to three
        // keepers and a node at least.
        wait_until(async || {
            let told = stage.harness.status().await.connection_traffic;
            let sent = |kind| traffic_of(&told, kind).messages_out;
            sent(Kind::Nodes) + sent(Kind::Keepers) >= 2 * 30 + 4
        })
        .await;
        let (differ, told) = stage.differences().await;
        assert_eq!(differ, []);
        for kind in [Kind::Roster, Kind::Control, Kind::Keepers, Kind::Nodes] {
            let count = traffic_of(&told, kind);
            assert!(
                count.bytes_in > 0 && count.bytes_out > 0,
                "{kind:?}: {count:?}"
            );
        }
        let discovery = traffic_of(&told, Kind::Roster);
        assert_eq!(
            (discovery.messages_in, discovery.messages_out),
            (stage.harness.discovery.lists_sent(0) - stage.told, 1)
        );
        let control = traffic_of(&told, Kind::Control);
        assert_eq!(control.messages_out as usize, stage.control.replies().len());
        assert_eq!(control.messages_in as usize, stage.control.pushes().len());
    });
}

#[test]
fn a_link_past_its_relay_is_found_and_nothing_else() {
    story(true, async |stage| {
        let (differ, _) = stage.differences().await;
        assert_eq!(
            differ.iter().map(|other| other.peer).collect::<Vec<_>>(),
            [LinkPeer::Control]
        );
    });
}

#[test_case(0, 1; "a byte in")]
#[test_case(1, 1; "a byte out")]
#[test_case(0, 1 << 20; "a megabyte in")]
fn one_kind_told_too_low_is_found(way: usize, by: u64) {
    let told = v1::ConnectionTraffic {
        kind: Kind::Nodes.into(),
        bytes_in: 7,
        bytes_out: 9,
        ..Default::default()
    };
    let mut passed = [7, 9];
    assert_eq!(differences(&[told], &[(LinkPeer::Nodes, passed)]), []);
    passed[way] += by;
    let found = differences(&[told], &[(LinkPeer::Nodes, passed)]);
    assert_eq!(
        found,
        [Difference {
            peer: LinkPeer::Nodes,
            reported: [7, 9],
            observed: passed
        }]
    );
}

/// Links of others are told apart by their first call, and what passed before it counts with the
/// rest.
#[test]
fn links_from_owners_and_from_dispatchers_are_counted_apart() {
    // Without a list nobody has asked it for its status yet.
    Harness::run(
        Layout {
            discovery_unavailable: true,
            ..Layout::default()
        },
        async |harness| {
            let owner = Relay::start(&harness.tasks, harness.address)
                .await
                .expect("a port");
            let peer = Relay::start(&harness.tasks, harness.address)
                .await
                .expect("a port");
            let open = async |relay: &Relay| {
                let bounds = ConnectionLimits {
                    connect_timeout: PATIENCE,
                    ..ConnectionLimits::default()
                };
                Connection::open(&harness.tasks, relay.address, &bounds)
                    .await
                    .expect("it listens")
            };
            let mut gives = VersionsClient::new(open(&peer).await);
            for _ in 0..3 {
                let running = Some(v1::VersionId {
                    number: 0,
                    digest: "0".repeat(64),
                });
                let _ = gives
                    .give(v1::FetchVersionRequest {
                        active: running,
                        dispatcher: 1,
                    })
                    .await;
            }
            let mut client = PlacementClient::new(open(&owner).await);
            let (mut told, mut between) = (Vec::new(), false);
            for _ in 0..400 {
                let before = owner.bytes_passed();
                told = client
                    .status(v1::StatusRequest {})
                    .await
                    .expect("a status")
                    .into_inner()
                    .connection_traffic;
                let (after, own, others) = (
                    owner.bytes_passed(),
                    traffic_of(&told, Kind::Owners),
                    traffic_of(&told, Kind::Dispatchers),
                );
                // As the relay sees it, in is to who opened: to the owner. The status itself is
                // under way as it is counted, so owners' counts lie between what
                // had passed before it and after; the other link is still.
                let lies = |told, way: usize| before[way] <= told && told <= after[way];
                let still = [others.bytes_out, others.bytes_in] == peer.bytes_passed();
                between = still && lies(own.bytes_in, 1) && lies(own.bytes_out, 0);
                if between {
                    break;
                }
                Timer::after(Duration::from_millis(10)).await;
            }
            assert!(
                between,
                "{told:?}, {:?}, {:?}",
                owner.bytes_passed(),
                peer.bytes_passed()
            );
            assert_eq!(traffic_of(&told, Kind::Dispatchers).messages_in, 3);
        },
    );
}
