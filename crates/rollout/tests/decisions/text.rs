//! Formats the transcript, independently of the names of the program's types.

use corkspan_rollout::ClaimId;
use corkspan_rollout::controller::{Actions, ClaimRequest};
use std::fmt::Write;

/// Formats claims in hexadecimal.
pub fn claims(claims: &[ClaimId]) -> String {
    let claims: Vec<String> = claims
        .iter()
        .map(|claim| format!("{:016x}", claim.0))
        .collect();
    claims.join("+")
}

/// Formats the requested actions as one line.
pub fn describe(actions: &Actions) -> String {
    let mut text = String::new();
    for ClaimRequest { claim, slot, task } in &actions.claims {
        write!(text, "claim {:016x} slot {slot} for {task}, ", claim.0).expect("text");
    }
    for (action, tasks) in [
        ("replace", &actions.replace),
        ("surge", &actions.surge),
        ("stop old", &actions.stop_old),
        ("cancel surge", &actions.cancel_surge),
    ] {
        if !tasks.is_empty() {
            write!(text, "{action} {}, ", tasks.join("+")).expect("text");
        }
    }
    if !actions.release.is_empty() {
        write!(text, "release {}, ", claims(&actions.release)).expect("text");
    }
    for orphaned in &actions.clean_up {
        write!(
            text,
            "clean up {:016x} for {}, ",
            orphaned.claim.0, orphaned.task
        )
        .expect("text");
    }
    if let Some(reason) = &actions.halt {
        write!(text, "halt: {reason}, ").expect("text");
    }
    write!(text, "wait {}", actions.wait).expect("text");
    text
}

/// Asserts that both transcripts are equal, and reports the first line that differs.
pub fn assert_same(transcript: &str, reference: &str) {
    for (number, (decided, recorded)) in transcript.lines().zip(reference.lines()).enumerate() {
        assert_eq!(decided, recorded, "line {}", number + 1);
    }
    assert!(transcript == reference, "the transcripts differ in length");
}
