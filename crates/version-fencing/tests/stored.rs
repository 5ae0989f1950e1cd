//! Checks stored state written by an earlier version of this program: it is read with the same
//! content, written back byte for byte, and rejected with the same message where it is truncated or
//! of another format.

use corkspan_quorum::{Entry, QuorumMember};
use corkspan_version_fencing::MinimumVersion;
use corkspan_version_fencing::history::{VersionInterval, VersionOrigin};
use serde::{Serialize, de::DeserializeOwned};
use std::collections::VecDeque;
use std::fmt::Debug;

const MINIMUM: &str = include_str!("data/minimum_version.json");
const ENTRY: &str = include_str!("data/quorum_entry.json");
const SPANS: &str = include_str!("data/version_spans.json");
/// Pairs of lines: a type with the stored text, and the resulting error.
const REFUSED: &str = include_str!("data/refused.txt");

/// Reads a stored text, compares its content, and checks that it is written back unchanged.
fn round_trip<T: DeserializeOwned + Serialize + PartialEq + Debug>(stored: &str, content: T) {
    let stored = stored.trim_end();
    let read: T = serde_json::from_str(stored).expect("what was stored can be read");
    assert_eq!(read, content);
    assert_eq!(
        serde_json::to_string(&read).expect("it can be written"),
        stored
    );
}

fn minimum() -> MinimumVersion {
    MinimumVersion {
        revision: 4,
        proposer: 11_400_714_819_323_198_485,
        version: 17,
    }
}

#[test]
fn a_stored_minimum_version_keeps_content_and_bytes() {
    round_trip(MINIMUM, minimum());
}

#[test]
fn a_quorum_members_stored_entry_keeps_content_and_bytes() {
    let mut member = QuorumMember::default();
    member.propose(minimum());
    let entry: Entry<MinimumVersion> = member.entries().next().expect("it was proposed").clone();
    round_trip(ENTRY, entry);
}

/// The only key is not a string, so a member is stored as JSON by its entries.
#[test]
fn a_quorum_member_as_a_whole_is_json_only_while_it_is_empty() {
    round_trip(
        r#"{"matters":{}}"#,
        QuorumMember::<MinimumVersion>::default(),
    );
    let mut member = QuorumMember::default();
    member.propose(minimum());
    let error = serde_json::to_string(&member).expect_err("its key is no string");
    assert_eq!(error.to_string(), "key must be a string");
}

#[test]
fn stored_version_spans_keep_content_and_bytes() {
    let ways = [
        VersionOrigin::File,
        VersionOrigin::Restored,
        VersionOrigin::Push,
        VersionOrigin::Rollback,
        VersionOrigin::CatchUp,
    ];
    let interval = |(index, origin): (usize, VersionOrigin)| VersionInterval {
        version: index as u64 * 3,
        digest: format!("{index}").repeat(8),
        origin,
        incarnation: u64::MAX - index as u64,
        from_ms: 1_764_000_000_000 + index as u64,
    };
    let intervals: VecDeque<VersionInterval> = ways.into_iter().enumerate().map(interval).collect();
    round_trip(SPANS, intervals);
}

fn refusal<T: DeserializeOwned + Debug>(stored: &str) -> String {
    let read = serde_json::from_str::<T>(stored);
    read.expect_err("it is refused").to_string()
}

#[test]
fn what_is_cut_short_or_foreign_is_refused_with_the_same_message() {
    let lines: Vec<&str> = REFUSED.lines().collect();
    for pair in lines.chunks(2) {
        let (kind, stored) = pair[0].split_once(' ').expect("a kind and a text");
        let message = match kind {
            "minimum" => refusal::<MinimumVersion>(stored),
            "entry" => refusal::<Entry<MinimumVersion>>(stored),
            "member" => refusal::<QuorumMember<MinimumVersion>>(stored),
            "spans" => refusal::<VecDeque<VersionInterval>>(stored),
            other => panic!("no such kind: {other}"),
        };
        assert_eq!(message, pair[1], "{}", pair[0]);
    }
    assert!(lines.len() >= 40, "{} lines", lines.len());
}
