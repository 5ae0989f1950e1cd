//! Checks the stored state of quorum members: rollouts written by an earlier version of this
//! program are read with the same content and written back byte for byte, and a truncated file is
//! rejected with the same message.

use corkspan_rollout::{ClaimId, Grant, Order, Phase, QuorumMember, Rollout};

const STORED: &str = include_str!("data/stored-state.json");

/// Lines with a length in bytes to truncate the stored text to, and the resulting error.
const TRUNCATED: &str = include_str!("data/half-written.txt");

fn stored() -> &'static str {
    STORED.trim_end()
}

fn quotes() -> Rollout {
    Rollout {
        service: "quotes".into(),
        revision: 7,
        proposer: 18_446_744_073_709_551_615,
        version: "v2".into(),
        previous_version: "v1".into(),
        initial_version: "v0".into(),
        max_unavailable: 5,
        max_in_progress: 2,
        order: Order::StopFirst,
        min_ready: 100_000,
        progress_deadline: 600_000,
        max_failures: 3,
        phase: Phase::Rolling,
    }
}

/// Returns the expected content: four rollouts by service name, with their held slots.
fn expected() -> QuorumMember {
    let mut member = QuorumMember::default();
    let paused = Rollout {
        service: "billing".into(),
        revision: 2,
        order: Order::StartFirst,
        phase: Phase::Paused,
        ..quotes()
    };
    let halted = Rollout {
        service: "search \"east\" ü".into(),
        revision: 4,
        max_unavailable: 1,
        phase: Phase::Halted("4 copies of v2 failed at dispatcher 3, 1 not ready in time".into()),
        ..quotes()
    };
    let rolled_back = Rollout {
        service: "web".into(),
        proposer: 0,
        initial_version: String::new(),
        ..quotes().rolled_back(9)
    };
    for rollout in [quotes(), paused, halted, rolled_back] {
        assert!(member.propose(rollout).is_some());
    }
    for (service, revision, slot, claim, dispatcher) in [
        ("quotes", 7, 0, 1, 0),
        ("quotes", 7, 3, u64::MAX, 7),
        ("quotes", 7, 4, 2, 4_294_967_295),
        ("search \"east\" ü", 4, 0, 3, 3),
    ] {
        let grant = Grant {
            claim: ClaimId(claim),
            task: format!("{service}/{slot}"),
            dispatcher,
        };
        let _ = member.claim(service, revision, slot, grant);
    }
    member
}

#[test]
fn state_stored_by_an_earlier_version_is_read_with_the_same_content() {
    let read: QuorumMember = serde_json::from_str(stored()).expect("readable");
    assert_eq!(read, expected());
    assert_eq!(read.entries().count(), 4, "one entry for each service");
}

#[test]
fn stored_state_is_written_back_byte_for_byte() {
    let read: QuorumMember = serde_json::from_str(stored()).expect("readable");
    assert_eq!(serde_json::to_string(&read).expect("writable"), stored());
    assert_eq!(
        serde_json::to_string(&expected()).expect("writable"),
        stored()
    );
}

#[test]
fn truncated_state_is_rejected_with_the_same_message() {
    let mut cases = 0;
    for line in TRUNCATED.lines() {
        let (length, message) = line.split_once(' ').expect("a length and a message");
        let truncated = &stored()[..length.parse().expect("a number of bytes")];
        let error = serde_json::from_str::<QuorumMember>(truncated)
            .expect_err("truncated state is rejected");
        assert_eq!(error.to_string(), message, "truncated to {length} bytes");
        cases += 1;
    }
    assert!(cases >= 8, "only {cases} cases");
}

#[test]
fn state_without_a_key_is_rejected_with_the_stored_name_of_that_key() {
    for key in [
        "wish",
        "slots",
        "service",
        "number",
        "asker",
        "version",
        "former",
        "unversioned",
        "unready_most",
        "batch",
        "order",
        "ready_for",
        "ready_within",
        "failures_most",
        "phase",
        "claim",
        "task",
        "dispatcher",
    ] {
        let other = stored().replace(&format!("\"{key}\":"), "\"other\":");
        let error = serde_json::from_str::<QuorumMember>(&other).expect_err("a key is missing");
        let message = error.to_string();
        assert!(
            message.starts_with(&format!("missing field `{key}` at line 1 column ")),
            "{message}"
        );
    }
}
