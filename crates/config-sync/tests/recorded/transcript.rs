//! Decisions as lines of text, in words that do not depend on the names of types.

use corkspan_config::version::{Stamp, Texts};
use corkspan_config_sync::{Admitted, Heard, Kept, Laid, Push, Said, Version};
use std::path::Path;

/// Compares with what is recorded; what was got is left beside the test for a look.
pub fn compare(name: &str, got: &str) {
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let recorded = std::fs::read_to_string(data.join(name)).unwrap_or_default();
    if got == recorded {
        return;
    }
    let left = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&left, got).expect("the folder for temporary files takes it");
    let lines = std::iter::zip(got.lines(), recorded.lines());
    let same = lines.take_while(|(got, recorded)| got == recorded).count();
    panic!(
        "{name}, line {}:\n     got {:?}\nrecorded {:?}\nall of it: {}",
        same + 1,
        got.lines().nth(same),
        recorded.lines().nth(same),
        left.display()
    );
}

pub fn optional<T>(value: Option<T>, text: impl FnOnce(T) -> String) -> String {
    value.map_or_else(|| "-".to_string(), text)
}

pub fn id_text(id: Stamp) -> String {
    format!("{}:{}", id.number, &id.digest.to_string()[..8])
}

pub fn ids_text(ids: &[Stamp]) -> String {
    let ids: Vec<String> = ids.iter().copied().map(id_text).collect();
    match &ids[..] {
        [first, .., last] if ids.len() > 6 => format!("[{first} .. {last}, {}]", ids.len()),
        _ => format!("[{}]", ids.join(" ")),
    }
}

pub fn parts_text(parts: &Texts) -> String {
    let parts: Vec<String> = parts
        .iter()
        .map(|(name, text)| format!("{name}={text}"))
        .collect();
    format!("{{{}}}", parts.join(", "))
}

pub fn push_text(push: &Push) -> String {
    format!(
        "nonce {} version {} follows {} base {} parts {} removed {:?} cuts {}",
        push.nonce,
        id_text(push.stamp),
        ids_text(&push.follows),
        optional(push.onto, id_text),
        parts_text(&push.changes),
        push.removed,
        push.cuts
    )
}

pub fn reply_text(reply: &Said) -> String {
    match reply {
        Said::Applied => "applied".into(),
        Said::Running => "unchanged".into(),
        Said::Refused(reasons) => format!("rejected for {}", reasons.join(" / ")),
        Said::Superseded(nonce) => format!("superseded by {nonce}"),
        Said::WantsWhole => "full required".into(),
    }
}

pub fn admission_text(admitted: &Admitted) -> String {
    match admitted {
        Admitted::Answer(reply) => reply_text(reply),
        Admitted::Check(parts) => format!("check {}", parts_text(parts)),
    }
}

pub fn receipt_text(receipt: Heard) -> &'static str {
    match receipt {
        Heard::Counted => "counted",
        Heard::Older => "to an older push",
        Heard::Unknown => "of no subscriber",
    }
}

pub fn store_text(stored: Laid) -> &'static str {
    match stored {
        Laid::Taken => "stored",
        Laid::Older => "not newer",
        Laid::Split => "another lineage",
        Laid::Liar => "digest mismatch",
    }
}

fn version_text(version: &Version) -> String {
    format!("{} {}", id_text(version.stamp), parts_text(&version.texts))
}

pub fn disk_text(disk: &Kept) -> String {
    format!(
        "good {}, trial {}, given up {}",
        optional(disk.good.as_ref(), version_text),
        optional(disk.trial.as_ref(), |(version, starts)| {
            format!("{} started {starts}", version_text(version))
        }),
        ids_text(&disk.given_up)
    )
}
