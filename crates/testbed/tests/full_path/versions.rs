//! Tests of versions streamed to a running dispatcher over real sockets. The active version is
//! checked independently of the stream: by requests for service classes that only one version
//! names, and by the status call of operators.

use crate::harness::*;
use corkspan_api::v1::{
    self, placement_event::Event, push_reply::Answer, rejected::RejectionReason,
    versions_client::VersionsClient,
};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::VersionPush;
use corkspan_rpc::{Connection, ConnectionLimits};
use corkspan_testbed::config_push_experiment;
use corkspan_testbed::control_service::{
    ControlService, ControlServiceGuard, parse_version_id, push_message,
};
use std::path::Path;
use std::time::Duration;
use test_case::test_case;

/// A dispatcher that takes its versions from a control service.
struct Fixture {
    harness: Harness,
    control: ControlService,
    control_guard: Option<ControlServiceGuard>,
    directory: tempfile::TempDir,
}

fn extra_forms(control: &ControlService, directory: &Path) -> String {
    let versions_path = directory.join("versions.json");
    format!(
        "(accounts (one (share-cores 100))) (control \"{}\") (versions {versions_path:?})",
        control.address
    )
}

fn run_with_control_service<F: Future<Output = ()>>(test: impl FnOnce(Fixture) -> F) {
    Harness::run(Layout::default(), async |harness| {
        let directory = tempfile::tempdir().expect("a folder");
        let (control, control_guard) = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let text = deployment(
            harness.discovery.address,
            &extra_forms(&control, directory.path()),
        );
        let harness = harness.kill_and_restart(&text).await;
        harness.wait_until_serving(2).await;
        let fixture = Fixture {
            harness,
            control,
            control_guard: Some(control_guard),
            directory,
        };
        wait_until(async || fixture.control.streams_opened() == 1).await;
        test(fixture).await;
    });
}

impl Fixture {
    fn deployment_text(&self) -> String {
        deployment(
            self.harness.discovery.address,
            &extra_forms(&self.control, self.directory.path()),
        )
    }

    /// Returns the shared parts of the deployment file with these changes.
    fn shared_parts(&self, changes: &str) -> SharedParts {
        let shared = SharedParts::parse("file", &self.deployment_text()).expect("valid");
        shared.with_changes(
            &SharedParts::parse("changes", &format!("(deployment {changes})")).expect("forms"),
            &[],
        )
    }

    /// Returns the shared parts of the deployment file with further service classes.
    fn with_service_classes(&self, names: &[&str]) -> SharedParts {
        let shared_parts = self.shared_parts("");
        let service_classes = shared_parts
            .get("tracks")
            .expect("the deployment has service classes");
        let added = names
            .iter()
            .map(|name| format!(" ({name} (repeat idempotent) (contract-time 300 ms))"));
        let service_classes = format!(
            "{}{})",
            &service_classes[..service_classes.len() - 1],
            added.collect::<String>()
        );
        shared_parts.with_changes(
            &[("tracks".to_string(), service_classes)]
                .into_iter()
                .collect(),
            &[],
        )
    }

    async fn status(&self) -> v1::VersionStatus {
        let limits = ConnectionLimits {
            connect_timeout: WAIT_TIMEOUT,
            ..ConnectionLimits::default()
        };
        let connection = Connection::open(&self.harness.tasks, self.harness.address, &limits)
            .await
            .expect("it listens");
        VersionsClient::new(connection)
            .status(v1::VersionStatusRequest {})
            .await
            .expect("a status")
            .into_inner()
    }

    async fn active_version(&self) -> u64 {
        self.status()
            .await
            .active
            .map_or(u64::MAX, |active| active.number)
    }

    async fn wait_until_active(&self, version_id: VersionId) {
        wait_until(async || self.active_version().await == version_id.number).await;
    }

    /// Sends a push unchanged on the stream and returns the reply to it.
    async fn reply(&self, push: &VersionPush) -> v1::PushReply {
        assert!(self.control.send(0, push_message(push)), "a stream is open");
        wait_until(async || self.control.reply_to(push.nonce).is_some()).await;
        self.control
            .reply_to(push.nonce)
            .expect("the reply has arrived")
    }

    /// Returns whether the dispatcher accepts requests of this service class.
    async fn accepts_service_class(&self, service_class: &str, task: &str) -> bool {
        let mut events = self
            .harness
            .request_placement(placement_request(task, service_class))
            .await;
        match next(&mut events).await {
            Some(Event::Placed(_)) => true,
            Some(Event::Rejected(rejected)) if rejected.reason() == RejectionReason::BadAsk => {
                false
            }
            other => panic!("a placement or an unknown service class is expected, not {other:?}"),
        }
    }

    async fn restart(self) -> Fixture {
        let text = self.deployment_text();
        let harness = self.harness.kill_and_restart(&text).await;
        Fixture { harness, ..self }
    }
}

fn push(
    nonce: u64,
    number: u64,
    shared_parts: &SharedParts,
    predecessors: &[VersionId],
) -> VersionPush {
    let version_id = VersionId {
        number,
        digest: shared_parts.digest(),
    };
    let (changes, predecessor_ids) = (shared_parts.clone(), predecessors.to_vec());
    VersionPush {
        nonce,
        version: version_id,
        predecessors: predecessor_ids,
        base: None,
        changes,
        removed: Vec::new(),
        allows_cuts: false,
    }
}

#[test]
fn a_valid_version_becomes_active_and_the_next_is_sent_as_changes() {
    run_with_control_service(async |fixture| {
        assert!(!fixture.accepts_service_class("extra", "a").await);
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["extra"]), false);
        fixture.wait_until_active(one).await;
        assert!(fixture.accepts_service_class("extra", "b").await);
        wait_until(async || fixture.control.active_version(0) == Some(one)).await;
        let two = fixture
            .control
            .publish(fixture.with_service_classes(&["extra", "other"]), false);
        fixture.wait_until_active(two).await;
        assert!(
            fixture.accepts_service_class("other", "c").await
                && fixture.accepts_service_class("extra", "d").await
        );
        let pushes = fixture.control.pushes();
        assert!(
            pushes[0].base.is_none() && pushes[1].base.is_some() && pushes[1].parts.len() == 1,
            "only the service classes are sent: {pushes:?}"
        );
    });
}

#[test]
fn invalid_versions_change_nothing_and_are_rejected_with_the_reason() {
    run_with_control_service(async |fixture| {
        fixture.control.use_scripted_pushes();
        let valid = fixture.with_service_classes(&["extra"]);
        let first = push(1, 5, &valid, &[]);
        assert_eq!(fixture.reply(&first).await.answer(), Answer::Applied);
        let version_five = first.version;
        let broken = fixture.shared_parts("(shots 0) (cold (lasts 1 s) (window 1 s) (offers -1))");
        let wrong_digest = VersionPush {
            changes: fixture.shared_parts("(shots 4)"),
            ..push(3, 7, &valid, &[version_five])
        };
        let own_setting = valid.with_changes(
            &[("listen".into(), "(listen \"127.0.0.1:1\")".into())]
                .into_iter()
                .collect(),
            &[],
        );
        let nested = valid.with_changes(
            &[("cold".into(), "(".repeat(5 << 20))].into_iter().collect(),
            &[],
        );
        let reduced_limit = fixture.with_service_classes(&["extra"]).with_changes(
            &SharedParts::parse("c", "(deployment (bounds (in-hand 100)))").expect("a form"),
            &[],
        );
        let changed_zones = valid.with_changes(
            &SharedParts::parse("c", "(deployment (halls a b c))").expect("a form"),
            &[],
        );
        for (push, reason) in [
            (
                push(2, 6, &broken, &[version_five]),
                "shots: must be 1 or more",
            ),
            (
                push(12, 6, &broken, &[version_five]),
                "cold/offers: must be 0 or more",
            ),
            (
                push(14, 6, &nested, &[version_five]),
                "the maximum is 4194304",
            ),
            (wrong_digest, "digest"),
            (push(4, 4, &valid, &[version_five]), "stale"),
            (
                push(5, 5, &fixture.shared_parts(""), &[version_five]),
                "same number",
            ),
            (push(6, 6, &fixture.shared_parts("(shots 4)"), &[]), "split"),
            (
                push(7, 6, &own_setting, &[version_five]),
                "listen: is each dispatcher's own",
            ),
            (
                push(8, 6, &reduced_limit, &[version_five]),
                "bounds/in-hand: cut from 20000 to 100",
            ),
            (
                push(9, 6, &changed_zones, &[version_five]),
                "halls: a change needs a restart",
            ),
        ] {
            let reply = fixture.reply(&push).await;
            assert_eq!(reply.answer(), Answer::Rejected, "{reason}");
            assert!(
                reply.reasons.iter().any(|line| line.contains(reason)),
                "{reason}: {:?}",
                reply.reasons
            );
            assert_eq!(
                reply.active.as_ref().and_then(parse_version_id),
                Some(version_five),
                "the last good version stays active"
            );
        }
        assert!(fixture.accepts_service_class("extra", "a").await);
        let again = fixture.reply(&push(10, 5, &valid, &[])).await;
        assert_eq!(
            again.answer(),
            Answer::Unchanged,
            "a repeated push changes nothing"
        );
        let allowed_cut = VersionPush {
            allows_cuts: true,
            ..push(11, 6, &reduced_limit, &[version_five])
        };
        assert_eq!(
            fixture.reply(&allowed_cut).await.answer(),
            Answer::Applied,
            "the reduction is allowed"
        );
        let unknown_base = VersionPush {
            base: Some(version_five),
            ..push(13, 7, &valid, &[allowed_cut.version])
        };
        assert_eq!(
            fixture.reply(&unknown_base).await.answer(),
            Answer::FullRequired,
            "the changes are based on another version"
        );
        let status = fixture.status().await;
        assert_eq!((status.applied, status.rejected), (2, 10));
    });
}

#[test]
fn a_service_class_in_use_is_not_removed_and_its_allocations_keep_running() {
    run_with_control_service(async |fixture| {
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["extra"]), false);
        fixture.wait_until_active(one).await;
        let mut events = fixture
            .harness
            .request_placement(placement_request("held", "extra"))
            .await;
        expect_placed(&mut events).await;
        let removed = fixture
            .control
            .publish(fixture.shared_parts("(shots 4)"), true);
        wait_until(async || fixture.status().await.rejected == 1).await;
        let status = fixture.status().await;
        assert_eq!(
            status
                .last_rejected
                .and_then(|last| parse_version_id(&last)),
            Some(removed)
        );
        assert!(
            status.reasons[0].contains("tracks/extra: removed, but 1 allocations still use it"),
            "{:?}",
            status.reasons
        );
        // A quota reduced below what is placed stops no running allocation.
        let reduced_quota = fixture.with_service_classes(&["extra"]).with_changes(
            &SharedParts::parse("c", "(deployment (accounts (one (share-cores 0.5))))")
                .expect("a form"),
            &[],
        );
        let reduced_quota = fixture.control.publish(reduced_quota, true);
        fixture.wait_until_active(reduced_quota).await;
        let mut second = fixture
            .harness
            .request_placement(placement_request("more", "extra"))
            .await;
        expect_placed(&mut second).await;
        assert_eq!(
            fixture.harness.status().await.running,
            2,
            "both keep running"
        );
        drop((events, second));
        wait_until(async || fixture.harness.status().await.in_flight == 0).await;
        let removed = fixture
            .control
            .publish(fixture.shared_parts("(shots 4)"), true);
        fixture.wait_until_active(removed).await;
        assert!(!fixture.accepts_service_class("extra", "late").await);
    });
}

#[test]
fn the_reachable_one_of_two_control_services_streams() {
    run_with_control_service(async |fixture| {
        let text = fixture
            .deployment_text()
            .replace("(control ", "(control \"127.0.0.1:1\" ");
        let opened = fixture.control.streams_opened();
        let harness = fixture.harness.kill_and_restart(&text).await;
        let fixture = Fixture { harness, ..fixture };
        wait_until(async || fixture.control.streams_opened() > opened).await;
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["extra"]), false);
        fixture.wait_until_active(one).await;
    });
}

#[test]
fn without_control_service_the_last_version_stays_active_until_the_stream_resumes() {
    run_with_control_service(async |mut fixture| {
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["extra"]), false);
        fixture.wait_until_active(one).await;
        drop(fixture.control_guard.take());
        wait_until(async || fixture.status().await.control_service.is_empty()).await;
        assert!(fixture.accepts_service_class("extra", "a").await);
        let two = fixture
            .control
            .publish(fixture.with_service_classes(&["extra", "other"]), false);
        fixture.control_guard = Some(
            fixture
                .control
                .restart(&fixture.harness.context)
                .await
                .expect("its port"),
        );
        fixture.wait_until_active(two).await;
        let first = fixture
            .control
            .replies()
            .into_iter()
            .rev()
            .find(|reply| reply.message.nonce == 0);
        let reply = first
            .and_then(|reply| reply.message.active)
            .and_then(|active| parse_version_id(&active));
        assert_eq!(reply, Some(one), "a new stream reports the active version");
    });
}

#[test]
fn a_stream_cut_within_a_message_applies_a_version_whole_or_not_at_all() {
    run_with_control_service(async |mut fixture| {
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["extra"]), false);
        fixture.wait_until_active(one).await;
        let accounts: String = (0..9_000)
            .map(|number| format!(" (a{number} (share-cores 1))"))
            .collect();
        let large = SharedParts::parse(
            "c",
            &format!("(deployment (accounts (one (share-cores 100)){accounts}))"),
        );
        let large = fixture
            .with_service_classes(&["extra"])
            .with_changes(&large.expect("a form"), &[]);
        let two = fixture.control.publish(large.clone(), false);
        // Dropping the service closes its connections, at whatever point of the message they are.
        drop(fixture.control_guard.take());
        wait_until(async || fixture.status().await.control_service.is_empty()).await;
        let status = fixture.status().await;
        let whole = SharedParts::parse("in force", &status.text)
            .expect("valid")
            .digest();
        let active = status
            .active
            .as_ref()
            .and_then(parse_version_id)
            .expect("a version id");
        assert!(active == one || active == two, "{active}");
        assert_eq!(whole, active.digest);
        fixture.control_guard = Some(
            fixture
                .control
                .restart(&fixture.harness.context)
                .await
                .expect("its port"),
        );
        fixture.wait_until_active(two).await;
    });
}

#[test]
fn a_restart_without_control_service_uses_the_stored_version_or_its_backup() {
    run_with_control_service(async |mut fixture| {
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["one"]), false);
        fixture.wait_until_active(one).await;
        let two = fixture
            .control
            .publish(fixture.with_service_classes(&["one", "two"]), false);
        fixture.wait_until_active(two).await;
        drop(fixture.control_guard.take());
        let fixture = fixture.restart().await;
        assert_eq!(fixture.active_version().await, two.number);
        fixture.harness.wait_until_serving(2).await;
        assert!(fixture.accepts_service_class("two", "a").await);
        // The restart recorded its start in the stored versions, so that both files hold version
        // two. If one is corrupt, the other is used; if both are, the deployment file is.
        let path = fixture.directory.path().join("versions.json");
        let whole = std::fs::read(&path).expect("stored");
        std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
        let fixture = fixture.restart().await;
        assert!(fixture.directory.path().join("versions.aside").exists());
        assert_eq!(fixture.active_version().await, two.number);
        for name in ["versions.json", "versions.before"] {
            std::fs::write(fixture.directory.path().join(name), "{}").expect("written");
        }
        let fixture = fixture.restart().await;
        assert_eq!(
            fixture.active_version().await,
            0,
            "the deployment file is used"
        );
    });
}

#[test_case(false; "the file cannot be created")]
#[test_case(true; "the disk is full")]
fn a_version_that_cannot_be_stored_on_disk_does_not_become_active(disk_full: bool) {
    run_with_control_service(async |fixture| {
        let one = fixture
            .control
            .publish(fixture.with_service_classes(&["one"]), false);
        fixture.wait_until_active(one).await;
        let path = fixture.directory.path().join("versions.new");
        // A directory at the path keeps any user, even root, from creating the file; `/dev/full`
        // acts as a full disk.
        match disk_full {
            true => std::os::unix::fs::symlink("/dev/full", &path).expect("created"),
            false => std::fs::create_dir(&path).expect("created"),
        }
        fixture
            .control
            .publish(fixture.with_service_classes(&["one", "two"]), false);
        wait_until(async || fixture.status().await.rejected == 1).await;
        assert!(fixture.status().await.reasons[0].contains("can't be stored on disk"));
        assert!(
            fixture.accepts_service_class("one", "a").await
                && !fixture.accepts_service_class("two", "b").await
        );
        if disk_full {
            std::fs::remove_file(&path)
        } else {
            std::fs::remove_dir(&path)
        }
        .expect("removed");
        let three = fixture
            .control
            .publish(fixture.with_service_classes(&["one", "three"]), false);
        fixture.wait_until_active(three).await;
    });
}

#[test]
fn a_version_that_rejects_served_requests_is_rolled_back_and_not_adopted_again() {
    run_with_control_service(async |fixture| {
        for number in 0..60 {
            assert!(
                fixture
                    .accepts_service_class("web", &format!("before-{number}"))
                    .await
            );
        }
        wait_until(async || fixture.harness.status().await.in_flight == 0).await;
        let shared_parts =
            fixture.shared_parts("(tracks (jobs (repeat idempotent) (contract-time 1 s)))");
        let bad = fixture.control.publish(shared_parts.clone(), true);
        fixture.wait_until_active(bad).await;
        let mut number = 0;
        wait_until(async || {
            number += 1;
            let _ = fixture
                .accepts_service_class("web", &format!("during-{number}"))
                .await;
            fixture.active_version().await == 0
        })
        .await;
        assert!(
            number >= 50,
            "not rolled back before there are enough requests to compare: {number}"
        );
        assert!(fixture.accepts_service_class("web", "after").await);
        let is_rolled_back = |reply: &v1::PushReply| reply.answer() == Answer::RolledBack;
        wait_until(async || {
            fixture
                .control
                .replies()
                .iter()
                .any(|reply| is_rolled_back(&reply.message))
        })
        .await;
        let replies = fixture.control.replies();
        let reply = replies
            .iter()
            .map(|reply| &reply.message)
            .find(|reply| is_rolled_back(reply))
            .expect("a rollback is reported");
        assert!(reply.reasons[0].contains("% of"), "{:?}", reply.reasons);
        fixture.control.use_scripted_pushes();
        let again = fixture
            .reply(&push(999, bad.number, &shared_parts, &[]))
            .await;
        assert!(
            again
                .reasons
                .iter()
                .any(|reason| reason.contains("rolled back")),
            "{:?}",
            again.reasons
        );
        let fixture = fixture.restart().await;
        assert_eq!(
            fixture.active_version().await,
            0,
            "it is not adopted after a restart either"
        );
    });
}

#[test]
fn an_address_that_is_not_allowed_gets_no_connection() {
    run_with_control_service(async |fixture| {
        let closed = fixture.shared_parts("(allow \"10.0.0.0/8\")");
        let closed = fixture.control.publish(closed, false);
        wait_until(async || fixture.control.active_version(0) == Some(closed)).await;
        let limits = ConnectionLimits {
            connect_timeout: Duration::from_secs(2),
            ..ConnectionLimits::default()
        };
        let call = async {
            let connection =
                Connection::open(&fixture.harness.tasks, fixture.harness.address, &limits)
                    .await
                    .ok()?;
            VersionsClient::new(connection)
                .status(v1::VersionStatusRequest {})
                .await
                .ok()
        };
        assert!(call.await.is_none(), "the connection is rejected");
        let open = fixture
            .control
            .publish(fixture.shared_parts("(allow \"127.0.0.0/8\")"), false);
        wait_until(async || fixture.control.active_version(0) == Some(open)).await;
        fixture.wait_until_active(open).await;
    });
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn the_active_version_is_the_last_acknowledged_one_after_random_pushes_and_kills(seed: u64) {
    let program = [
        env!("CARGO_BIN_EXE_corkspan-testbed").into(),
        "corkspan".into(),
    ];
    let out = config_push_experiment::exchange(&program, seed, 300)
        .unwrap_or_else(|reason| panic!("{reason}"));
    assert!(
        out.applied > 0 && out.refused > 0 && out.superseded > 0 && out.kills > 0,
        "{out:?}"
    );
}
