//! Writes decisions as lines of text that do not depend on the names of types.

use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, PushAdmission, PushReply, ReplyStatus, StoreOutcome, Version, VersionPush,
};
use std::path::Path;

/// Compares a transcript with the recorded one. If they differ, writes it to the folder for
/// temporary files and panics with the first differing line.
pub fn compare(name: &str, got: &str) {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let recorded = std::fs::read_to_string(data.join(name)).unwrap_or_default();
    if got == recorded {
        return;
    }
    let written_to = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&written_to, got).expect("the folder for temporary files is writable");
    let lines = std::iter::zip(got.lines(), recorded.lines());
    let same = lines.take_while(|(got, recorded)| got == recorded).count();
    panic!(
        "{name}, line {}:\n     got {:?}\nrecorded {:?}\nwhole transcript: {}",
        same + 1,
        got.lines().nth(same),
        recorded.lines().nth(same),
        written_to.display()
    );
}

pub fn optional<T>(value: Option<T>, text: impl FnOnce(T) -> String) -> String {
    value.map_or_else(|| "-".to_string(), text)
}

pub fn id_text(id: VersionId) -> String {
    format!("{}:{}", id.number, &id.digest.to_string()[..8])
}

pub fn ids_text(ids: &[VersionId]) -> String {
    let ids: Vec<String> = ids.iter().copied().map(id_text).collect();
    match &ids[..] {
        [first, .., last] if ids.len() > 6 => format!("[{first} .. {last}, {}]", ids.len()),
        _ => format!("[{}]", ids.join(" ")),
    }
}

pub fn parts_text(parts: &SharedParts) -> String {
    let parts: Vec<String> = parts
        .iter()
        .map(|(name, text)| format!("{name}={text}"))
        .collect();
    format!("{{{}}}", parts.join(", "))
}

pub fn push_text(push: &VersionPush) -> String {
    format!(
        "nonce {} version {} follows {} base {} parts {} removed {:?} cuts {}",
        push.nonce,
        id_text(push.version),
        ids_text(&push.predecessors),
        optional(push.base, id_text),
        parts_text(&push.changes),
        push.removed,
        push.allows_cuts
    )
}

pub fn reply_text(reply: &PushReply) -> String {
    match reply {
        PushReply::Applied => "applied".into(),
        PushReply::Unchanged => "unchanged".into(),
        PushReply::Rejected(reasons) => format!("rejected for {}", reasons.join(" / ")),
        PushReply::Superseded(nonce) => format!("superseded by {nonce}"),
        PushReply::FullRequired => "full required".into(),
    }
}

pub fn admission_text(admission: &PushAdmission) -> String {
    match admission {
        PushAdmission::Reply(reply) => reply_text(reply),
        PushAdmission::Validate(parts) => format!("check {}", parts_text(parts)),
    }
}

pub fn reply_status_text(status: ReplyStatus) -> &'static str {
    match status {
        ReplyStatus::Accepted => "counted",
        ReplyStatus::StaleNonce => "to an older push",
        ReplyStatus::UnknownSubscriber => "of no subscriber",
    }
}

pub fn store_text(outcome: StoreOutcome) -> &'static str {
    match outcome {
        StoreOutcome::Stored => "stored",
        StoreOutcome::NotNewer => "not newer",
        StoreOutcome::OtherLineage => "another lineage",
        StoreOutcome::DigestMismatch => "digest mismatch",
    }
}

fn version_text(version: &Version) -> String {
    format!("{} {}", id_text(version.id), parts_text(&version.texts))
}

pub fn disk_text(disk: &PersistedVersions) -> String {
    format!(
        "good {}, trial {}, given up {}",
        optional(disk.last_good.as_ref(), version_text),
        optional(disk.trial.as_ref(), |trial| {
            format!("{} started {}", version_text(&trial.version), trial.starts)
        }),
        ids_text(&disk.rolled_back)
    )
}
