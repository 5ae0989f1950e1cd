//! Digests and JSON are the same as those that earlier builds wrote.

use crate::changes::FILE;
use crate::dispatcher::*;
use crate::transcript::reply_text;
use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_config_sync::{PersistedVersions, PushReply, Subscriber, Version};

/// Checks the digest, the deployment text and the displayed id of recorded versions.
#[test]
fn digests_and_texts_of_versions() {
    let recorded = include_str!("../data/digests.json");
    let samples: Vec<serde_json::Value> =
        serde_json::from_str(recorded).expect("the recorded JSON is valid");
    assert_eq!(samples.len(), 6);
    for sample in &samples {
        let entries = sample["parts"]
            .as_object()
            .expect("parts are stored by name");
        let texts: SharedParts = entries
            .iter()
            .map(|(name, text)| (name.clone(), text.as_str().expect("a string").to_string()))
            .collect();
        let digest = texts.digest();
        assert_eq!(digest.to_string(), sample["digest"], "{sample}");
        assert_eq!(texts.to_deployment_text(), sample["text"], "{sample}");
        assert_eq!(Digest::from_hex(&digest.to_string()), Some(digest));
        let number = sample["number"]
            .as_u64()
            .expect("the version number is an integer");
        assert_eq!(
            VersionId { number, digest }.to_string(),
            sample["shown"],
            "{sample}"
        );
        let half = &digest.to_string()[..32];
        assert_eq!(Digest::from_hex(half), None, "half a digest is invalid");
    }
    let file = SharedParts::parse("d", FILE).expect("the file is valid");
    assert_eq!(
        file.digest().to_string(),
        samples[5]["digest"],
        "comments do not affect the digest"
    );
    assert_eq!(
        SharedParts::parse("w", &file.to_deployment_text()).expect("the written text is valid"),
        file
    );
}

/// The JSON of each reply to a push can be read and is written back unchanged.
#[test]
fn replies_as_json() {
    let recorded = include_str!("../data/replies.json");
    let replies: Vec<PushReply> = serde_json::from_str(recorded).expect("each reply is known");
    let known: Vec<String> = replies.iter().map(reply_text).collect();
    let expected = [
        "applied",
        "unchanged",
        "rejected for one / two",
        "superseded by 18446744073709551615",
        "full required",
    ];
    assert_eq!(known, expected);
    assert_eq!(
        serde_json::to_string(&replies).expect("replies can be serialized") + "\n",
        recorded
    );
    let half = serde_json::from_str::<Vec<PushReply>>(&recorded[..recorded.len() / 2]);
    let error = half.expect_err("truncated JSON is rejected").to_string();
    assert_eq!(error, "EOF while parsing an object at line 1 column 48");
}

/// A dispatcher that starts with a version on its disk runs that version.
#[test]
fn a_persisted_version_is_active_after_a_start() {
    let good = Version {
        id: version_id(7, 7),
        texts: parts(7),
    };
    let persisted = PersistedVersions {
        last_good: Some(good),
        ..PersistedVersions::default()
    };
    let (subscriber, changed) = Subscriber::restore(parts(0), persisted, 0);
    assert_eq!(
        (
            subscriber.active_version(),
            subscriber.active_texts(),
            changed
        ),
        (version_id(7, 7), &parts(7), None)
    );
}
