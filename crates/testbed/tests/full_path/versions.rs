//! Versions streamed to a running dispatcher over real sockets. What is in force is read by another
//! way than the stream: asks of tracks that only one version names, and the operators' status.

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

/// A rig whose dispatcher takes its versions from a control service.
struct Stage {
    harness: Harness,
    control: ControlService,
    up: Option<ControlServiceGuard>,
    folder: tempfile::TempDir,
}

fn more(control: &ControlService, folder: &Path) -> String {
    let kept = folder.join("versions.json");
    format!(
        "(accounts (one (share-cores 100))) (control \"{}\") (versions {kept:?})",
        control.address
    )
}

fn story<F: Future<Output = ()>>(story: impl FnOnce(Stage) -> F) {
    Harness::run(Layout::default(), async |harness| {
        let folder = tempfile::tempdir().expect("a folder");
        let (control, up) = ControlService::start(&harness.context)
            .await
            .expect("a port");
        let text = deployment(harness.discovery.address, &more(&control, folder.path()));
        let harness = harness.kill_and_restart(&text).await;
        harness.wait_until_serving(2).await;
        let stage = Stage {
            harness,
            control,
            up: Some(up),
            folder,
        };
        wait_until(async || stage.control.opened() == 1).await;
        story(stage).await;
    });
}

impl Stage {
    fn file(&self) -> String {
        deployment(
            self.harness.discovery.address,
            &more(&self.control, self.folder.path()),
        )
    }

    /// The file's shared parts, with these changed.
    fn texts(&self, changes: &str) -> SharedParts {
        let shared = SharedParts::parse("file", &self.file()).expect("sound");
        shared.with_changes(
            &SharedParts::parse("changes", &format!("(deployment {changes})")).expect("forms"),
            &[],
        )
    }

    /// The file's, with more tracks.
    fn with_tracks(&self, names: &[&str]) -> SharedParts {
        let texts = self.texts("");
        let tracks = texts.get("tracks").expect("there are");
        let more = names
            .iter()
            .map(|name| format!(" ({name} (repeat idempotent) (contract-time 300 ms))"));
        let tracks = format!(
            "{}{})",
            &tracks[..tracks.len() - 1],
            more.collect::<String>()
        );
        texts.with_changes(&[("tracks".to_string(), tracks)].into_iter().collect(), &[])
    }

    async fn status(&self) -> v1::VersionStatus {
        let bounds = ConnectionLimits {
            connect_timeout: PATIENCE,
            ..ConnectionLimits::default()
        };
        let link = Connection::open(&self.harness.tasks, self.harness.address, &bounds)
            .await
            .expect("it listens");
        VersionsClient::new(link)
            .status(v1::VersionStatusRequest {})
            .await
            .expect("a status")
            .into_inner()
    }

    async fn in_force(&self) -> u64 {
        self.status()
            .await
            .active
            .map_or(u64::MAX, |running| running.number)
    }

    async fn until_in_force(&self, stamp: VersionId) {
        wait_until(async || self.in_force().await == stamp.number).await;
    }

    /// The reply to a push put on the stream as it is.
    async fn reply(&self, push: &VersionPush) -> v1::PushReply {
        assert!(self.control.send(0, push_message(push)), "a stream stands");
        wait_until(async || self.control.reply_to(push.nonce).is_some()).await;
        self.control.reply_to(push.nonce).expect("it is there")
    }

    /// Whether asks of this track are taken.
    async fn knows(&self, track: &str, task: &str) -> bool {
        let mut words = self
            .harness
            .request_placement(placement_request(task, track))
            .await;
        match next(&mut words).await {
            Some(Event::Placed(_)) => true,
            Some(Event::Rejected(refused)) if refused.reason() == RejectionReason::BadAsk => false,
            other => panic!("placed or unknown is expected, not {other:?}"),
        }
    }

    async fn restart(self) -> Stage {
        let text = self.file();
        let harness = self.harness.kill_and_restart(&text).await;
        Stage { harness, ..self }
    }
}

fn push(nonce: u64, number: u64, texts: &SharedParts, follows: &[VersionId]) -> VersionPush {
    let stamp = VersionId {
        number,
        digest: texts.digest(),
    };
    let (changes, follows) = (texts.clone(), follows.to_vec());
    VersionPush {
        nonce,
        version: stamp,
        predecessors: follows,
        base: None,
        changes,
        removed: Vec::new(),
        allows_cuts: false,
    }
}

#[test]
fn a_sound_version_takes_effect_and_is_acknowledged_and_the_next_comes_as_changes() {
    story(async |stage| {
        assert!(!stage.knows("extra", "a").await);
        let one = stage.control.publish(stage.with_tracks(&["extra"]), false);
        stage.until_in_force(one).await;
        assert!(stage.knows("extra", "b").await);
        wait_until(async || stage.control.running(0) == Some(one)).await;
        let two = stage
            .control
            .publish(stage.with_tracks(&["extra", "other"]), false);
        stage.until_in_force(two).await;
        assert!(stage.knows("other", "c").await && stage.knows("extra", "d").await);
        let pushes = stage.control.pushes();
        assert!(
            pushes[0].base.is_none() && pushes[1].base.is_some() && pushes[1].parts.len() == 1,
            "tracks alone: {pushes:?}"
        );
    });
}

#[test]
fn bad_versions_change_nothing_and_each_is_told_why() {
    story(async |stage| {
        stage.control.scripted();
        let sound = stage.with_tracks(&["extra"]);
        let first = push(1, 5, &sound, &[]);
        assert_eq!(stage.reply(&first).await.answer(), Answer::Applied);
        let five = first.version;
        let broken = stage.texts("(shots 0) (cold (lasts 1 s) (window 1 s) (offers -1))");
        let wrong_digest = VersionPush {
            changes: stage.texts("(shots 4)"),
            ..push(3, 7, &sound, &[five])
        };
        let foreign = sound.with_changes(
            &[("listen".into(), "(listen \"127.0.0.1:1\")".into())]
                .into_iter()
                .collect(),
            &[],
        );
        let nested = sound.with_changes(
            &[("cold".into(), "(".repeat(5 << 20))].into_iter().collect(),
            &[],
        );
        let cut = stage.with_tracks(&["extra"]).with_changes(
            &SharedParts::parse("c", "(deployment (bounds (in-hand 100)))").expect("a form"),
            &[],
        );
        let halls = sound.with_changes(
            &SharedParts::parse("c", "(deployment (halls a b c))").expect("a form"),
            &[],
        );
        for (push, why) in [
            (push(2, 6, &broken, &[five]), "shots: must be 1 or more"),
            (
                push(12, 6, &broken, &[five]),
                "cold/offers: must be 0 or more",
            ),
            (push(14, 6, &nested, &[five]), "4194304 is the most"),
            (wrong_digest, "digest"),
            (push(4, 4, &sound, &[five]), "stale"),
            (push(5, 5, &stage.texts(""), &[five]), "same number"),
            (push(6, 6, &stage.texts("(shots 4)"), &[]), "split"),
            (
                push(7, 6, &foreign, &[five]),
                "listen: is each dispatcher's own",
            ),
            (
                push(8, 6, &cut, &[five]),
                "bounds/in-hand: cut from 20000 to 100",
            ),
            (
                push(9, 6, &halls, &[five]),
                "halls: a change needs a restart",
            ),
        ] {
            let told = stage.reply(&push).await;
            assert_eq!(told.answer(), Answer::Rejected, "{why}");
            assert!(
                told.reasons.iter().any(|line| line.contains(why)),
                "{why}: {:?}",
                told.reasons
            );
            assert_eq!(
                told.active.as_ref().and_then(parse_version_id),
                Some(five),
                "the last good one stays"
            );
        }
        assert!(stage.knows("extra", "a").await);
        let again = stage.reply(&push(10, 5, &sound, &[])).await;
        assert_eq!(again.answer(), Answer::Unchanged, "a repeat is harmless");
        let meant = VersionPush {
            allows_cuts: true,
            ..push(11, 6, &cut, &[five])
        };
        assert_eq!(stage.reply(&meant).await.answer(), Answer::Applied, "meant");
        let onto = VersionPush {
            base: Some(five),
            ..push(13, 7, &sound, &[meant.version])
        };
        assert_eq!(
            stage.reply(&onto).await.answer(),
            Answer::FullRequired,
            "changes to another version"
        );
        let status = stage.status().await;
        assert_eq!((status.applied, status.rejected), (2, 10));
    });
}

#[test]
fn a_track_in_use_is_not_taken_away_and_what_is_in_hand_runs_on() {
    story(async |stage| {
        let one = stage.control.publish(stage.with_tracks(&["extra"]), false);
        stage.until_in_force(one).await;
        let mut words = stage
            .harness
            .request_placement(placement_request("held", "extra"))
            .await;
        placed(&mut words).await;
        let gone = stage.control.publish(stage.texts("(shots 4)"), true);
        wait_until(async || stage.status().await.rejected == 1).await;
        let status = stage.status().await;
        assert_eq!(
            status
                .last_rejected
                .and_then(|last| parse_version_id(&last)),
            Some(gone)
        );
        assert!(
            status.reasons[0].contains("tracks/extra: removed, and 1 allocations"),
            "{:?}",
            status.reasons
        );
        // What shrinks below what is placed stops nothing that runs.
        let small = stage.with_tracks(&["extra"]).with_changes(
            &SharedParts::parse("c", "(deployment (accounts (one (share-cores 0.5))))")
                .expect("a form"),
            &[],
        );
        let small = stage.control.publish(small, true);
        stage.until_in_force(small).await;
        let mut more = stage
            .harness
            .request_placement(placement_request("more", "extra"))
            .await;
        placed(&mut more).await;
        assert_eq!(stage.harness.status().await.running, 2, "both run");
        drop((words, more));
        wait_until(async || stage.harness.status().await.in_flight == 0).await;
        let gone = stage.control.publish(stage.texts("(shots 4)"), true);
        stage.until_in_force(gone).await;
        assert!(!stage.knows("extra", "late").await);
    });
}

#[test]
fn of_two_services_the_one_that_answers_streams() {
    story(async |stage| {
        let text = stage
            .file()
            .replace("(control ", "(control \"127.0.0.1:1\" ");
        let opened = stage.control.opened();
        let harness = stage.harness.kill_and_restart(&text).await;
        let stage = Stage { harness, ..stage };
        wait_until(async || stage.control.opened() > opened).await;
        let one = stage.control.publish(stage.with_tracks(&["extra"]), false);
        stage.until_in_force(one).await;
    });
}

#[test]
fn the_service_gone_the_last_version_stays_and_the_stream_comes_back() {
    story(async |mut stage| {
        let one = stage.control.publish(stage.with_tracks(&["extra"]), false);
        stage.until_in_force(one).await;
        drop(stage.up.take());
        wait_until(async || stage.status().await.control_service.is_empty()).await;
        assert!(stage.knows("extra", "a").await);
        let two = stage
            .control
            .publish(stage.with_tracks(&["extra", "other"]), false);
        stage.up = Some(
            stage
                .control
                .restart(&stage.harness.context)
                .await
                .expect("its port"),
        );
        stage.until_in_force(two).await;
        let first = stage
            .control
            .replies()
            .into_iter()
            .rev()
            .find(|reply| reply.message.nonce == 0);
        let told = first
            .and_then(|reply| reply.message.active)
            .and_then(|running| parse_version_id(&running));
        assert_eq!(told, Some(one), "a new stream says what runs");
    });
}

#[test]
fn a_service_that_goes_in_the_middle_of_a_message_leaves_all_of_a_version_or_nothing() {
    story(async |mut stage| {
        let one = stage.control.publish(stage.with_tracks(&["extra"]), false);
        stage.until_in_force(one).await;
        let accounts: String = (0..9_000)
            .map(|number| format!(" (a{number} (share-cores 1))"))
            .collect();
        let large = SharedParts::parse(
            "c",
            &format!("(deployment (accounts (one (share-cores 100)){accounts}))"),
        );
        let large = stage
            .with_tracks(&["extra"])
            .with_changes(&large.expect("a form"), &[]);
        let two = stage.control.publish(large.clone(), false);
        // Its links are cut with it, wherever in the message they are.
        drop(stage.up.take());
        wait_until(async || stage.status().await.control_service.is_empty()).await;
        let status = stage.status().await;
        let whole = SharedParts::parse("in force", &status.text)
            .expect("sound")
            .digest();
        let running = status
            .active
            .as_ref()
            .and_then(parse_version_id)
            .expect("a stamp");
        assert!(running == one || running == two, "{running}");
        assert_eq!(whole, running.digest);
        stage.up = Some(
            stage
                .control
                .restart(&stage.harness.context)
                .await
                .expect("its port"),
        );
        stage.until_in_force(two).await;
    });
}

#[test]
fn a_restart_without_a_service_runs_on_the_last_version_and_a_torn_file_on_the_one_before() {
    story(async |mut stage| {
        let one = stage.control.publish(stage.with_tracks(&["one"]), false);
        stage.until_in_force(one).await;
        let two = stage
            .control
            .publish(stage.with_tracks(&["one", "two"]), false);
        stage.until_in_force(two).await;
        drop(stage.up.take());
        let stage = stage.restart().await;
        assert_eq!(stage.in_force().await, two.number);
        stage.harness.wait_until_serving(2).await;
        assert!(stage.knows("two", "a").await);
        // The start counted itself, so two files say two; torn, the one before does; both torn, the
        // file does.
        let path = stage.folder.path().join("versions.json");
        let whole = std::fs::read(&path).expect("kept");
        std::fs::write(&path, &whole[..whole.len() / 2]).expect("torn");
        let stage = stage.restart().await;
        assert!(stage.folder.path().join("versions.aside").exists());
        assert_eq!(stage.in_force().await, two.number);
        for name in ["versions.json", "versions.before"] {
            std::fs::write(stage.folder.path().join(name), "{}").expect("torn");
        }
        let stage = stage.restart().await;
        assert_eq!(stage.in_force().await, 0, "the deployment file");
    });
}

#[test_case(false; "no file can be made")]
#[test_case(true; "the disk is full")]
fn a_version_that_can_not_be_kept_on_disk_is_not_in_force(full: bool) {
    story(async |stage| {
        let one = stage.control.publish(stage.with_tracks(&["one"]), false);
        stage.until_in_force(one).await;
        let path = stage.folder.path().join("versions.new");
        // Where a folder stands no file can be made, whoever tries; the other is a disk without
        // room.
        match full {
            true => std::os::unix::fs::symlink("/dev/full", &path).expect("made"),
            false => std::fs::create_dir(&path).expect("made"),
        }
        stage
            .control
            .publish(stage.with_tracks(&["one", "two"]), false);
        wait_until(async || stage.status().await.rejected == 1).await;
        assert!(stage.status().await.reasons[0].contains("can't be stored on disk"));
        assert!(stage.knows("one", "a").await && !stage.knows("two", "b").await);
        if full {
            std::fs::remove_file(&path)
        } else {
            std::fs::remove_dir(&path)
        }
        .expect("removed");
        let three = stage
            .control
            .publish(stage.with_tracks(&["one", "three"]), false);
        stage.until_in_force(three).await;
    });
}

#[test]
fn a_version_that_refuses_what_was_served_is_given_up_by_itself_and_not_taken_again() {
    story(async |stage| {
        for number in 0..60 {
            assert!(stage.knows("web", &format!("before-{number}")).await);
        }
        wait_until(async || stage.harness.status().await.in_flight == 0).await;
        let texts = stage.texts("(tracks (jobs (repeat idempotent) (contract-time 1 s)))");
        let bad = stage.control.publish(texts.clone(), true);
        stage.until_in_force(bad).await;
        let mut number = 0;
        wait_until(async || {
            number += 1;
            let _ = stage.knows("web", &format!("during-{number}")).await;
            stage.in_force().await == 0
        })
        .await;
        assert!(
            number >= 50,
            "not before there is enough to tell by: {number}"
        );
        assert!(stage.knows("web", "after").await);
        let gave_up = |told: &v1::PushReply| told.answer() == Answer::RolledBack;
        wait_until(async || {
            stage
                .control
                .replies()
                .iter()
                .any(|reply| gave_up(&reply.message))
        })
        .await;
        let replies = stage.control.replies();
        let told = replies
            .iter()
            .map(|reply| &reply.message)
            .find(|told| gave_up(told))
            .expect("told");
        assert!(told.reasons[0].contains("% of"), "{:?}", told.reasons);
        stage.control.scripted();
        let again = stage.reply(&push(999, bad.number, &texts, &[])).await;
        assert!(
            again.reasons.iter().any(|why| why.contains("rolled back")),
            "{:?}",
            again.reasons
        );
        let stage = stage.restart().await;
        assert_eq!(stage.in_force().await, 0, "nor after a restart");
    });
}

#[test]
fn an_address_that_is_not_allowed_gets_no_link() {
    story(async |stage| {
        let closed = stage.texts("(allow \"10.0.0.0/8\")");
        let closed = stage.control.publish(closed, false);
        wait_until(async || stage.control.running(0) == Some(closed)).await;
        let bounds = ConnectionLimits {
            connect_timeout: Duration::from_secs(2),
            ..ConnectionLimits::default()
        };
        let call = async {
            let link = Connection::open(&stage.harness.tasks, stage.harness.address, &bounds)
                .await
                .ok()?;
            VersionsClient::new(link)
                .status(v1::VersionStatusRequest {})
                .await
                .ok()
        };
        assert!(call.await.is_none(), "turned away");
        let open = stage
            .control
            .publish(stage.texts("(allow \"127.0.0.0/8\")"), false);
        wait_until(async || stage.control.running(0) == Some(open)).await;
        stage.until_in_force(open).await;
    });
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn of_hundreds_at_random_with_kills_what_is_in_force_is_what_was_acknowledged_last(seed: u64) {
    let program = [
        env!("CARGO_BIN_EXE_corkspan-testbed").into(),
        "corkspan".into(),
    ];
    let out =
        config_push_experiment::exchange(&program, seed, 300).unwrap_or_else(|why| panic!("{why}"));
    assert!(
        out.applied > 0 && out.refused > 0 && out.superseded > 0 && out.kills > 0,
        "{out:?}"
    );
}
