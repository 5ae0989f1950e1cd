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
const INTERVALS: &str = include_str!("data/version_spans.json");
/// Pairs of lines: a type with the stored text, and the resulting error.
const REJECTED: &str = include_str!("data/refused.txt");

/// Reads a stored text, compares its content, and checks that it is written back unchanged.
fn round_trip<T: DeserializeOwned + Serialize + PartialEq + Debug>(stored: &str, content: T) {
    let stored = stored.trim_end();
    let read: T = serde_json::from_str(stored).expect("the stored text is valid");
    assert_eq!(read, content);
    assert_eq!(
        serde_json::to_string(&read).expect("the content can be serialized"),
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
fn a_whole_quorum_member_can_be_written_as_json_only_while_it_is_empty() {
    round_trip(
        r#"{"matters":{}}"#,
        QuorumMember::<MinimumVersion>::default(),
    );
    let mut member = QuorumMember::default();
    member.propose(minimum());
    let error = serde_json::to_string(&member).expect_err("the key is not a string");
    assert_eq!(error.to_string(), "key must be a string");
}

#[test]
fn stored_version_intervals_keep_content_and_bytes() {
    let origins = [
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
    let intervals: VecDeque<VersionInterval> =
        origins.into_iter().enumerate().map(interval).collect();
    round_trip(INTERVALS, intervals);
}

fn read_error<T: DeserializeOwned + Debug>(stored: &str) -> String {
    let read = serde_json::from_str::<T>(stored);
    read.expect_err("the text is rejected").to_string()
}

#[test]
fn truncated_or_foreign_state_is_rejected_with_the_same_message() {
    let lines: Vec<&str> = REJECTED.lines().collect();
    for pair in lines.chunks(2) {
        let (stored_type, stored) = pair[0].split_once(' ').expect("a type and a text");
        let message = match stored_type {
            "minimum" => read_error::<MinimumVersion>(stored),
            "entry" => read_error::<Entry<MinimumVersion>>(stored),
            "member" => read_error::<QuorumMember<MinimumVersion>>(stored),
            "spans" => read_error::<VecDeque<VersionInterval>>(stored),
            other => panic!("unknown type: {other}"),
        };
        assert_eq!(message, pair[1], "{}", pair[0]);
    }
    assert!(lines.len() >= 40, "{} lines", lines.len());
}
