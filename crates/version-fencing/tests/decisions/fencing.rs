//! Transcripts of fences at nodes, gates at dispatchers and proposals of a minimum version.

use crate::{MEMBERS, draw, format_minimum, format_replies, generator, minimum, replies};
use corkspan_version_fencing::{
    Fence, FenceDecision, RaiseError, ReportedVersion, StoredState, VersionGate, check_adoption,
    propose,
};
use std::fmt::Write;

/// Writes the decisions of a node's fence over restarts, lost disks, quorum replies and attempts.
pub fn fence(out: &mut String) {
    let mut rng = generator(1);
    let mut fence = Fence::restore(StoredState::Lost);
    for step in 0..200 {
        let line = match draw(&mut rng, 8) {
            0 => {
                let stored = (draw(&mut rng, 2) == 0).then(|| minimum(&mut rng));
                fence = Fence::restore(StoredState::Intact(stored));
                format!("restart with {}", format_minimum(stored))
            }
            1 => {
                fence = Fence::restore(StoredState::Lost);
                "restart with a lost disk".into()
            }
            2 | 3 => {
                let replies = replies(&mut rng);
                let known = fence.apply_quorum_replies(&replies, MEMBERS);
                format!("quorum {} known {known}", format_replies(&replies))
            }
            4 => {
                let reported = minimum(&mut rng);
                let newer = fence.should_store(reported);
                if draw(&mut rng, 2) == 0 {
                    fence.apply_stored(reported);
                }
                format!("told {} wanted {newer}", format_minimum(Some(reported)))
            }
            _ => {
                let version = draw(&mut rng, 8);
                let decision = match fence.decide(version) {
                    FenceDecision::Accepted => "accepted".into(),
                    FenceDecision::Fenced(by) => format!("fenced by {}", format_minimum(Some(by))),
                    FenceDecision::Unknown => "unknown".into(),
                };
                format!("attempt under {version}: {decision}")
            }
        };
        let _ = writeln!(
            out,
            "{step}: {line}; holds {}",
            format_minimum(fence.minimum())
        );
    }
}

/// Writes the decisions of a dispatcher's gate after reports of the quorum and of nodes.
pub fn gate(out: &mut String) {
    let mut rng = generator(2);
    let mut gate = VersionGate::default();
    for step in 0..150 {
        if draw(&mut rng, 40) == 0 {
            gate = VersionGate::default();
        }
        let line = if draw(&mut rng, 2) == 0 {
            let replies = replies(&mut rng);
            let changed = gate.apply_quorum_replies(&replies, MEMBERS);
            format!("quorum {} changed {changed}", format_replies(&replies))
        } else {
            let reported = minimum(&mut rng);
            let changed = gate.apply_node_report(reported);
            format!("node {} changed {changed}", format_minimum(Some(reported)))
        };
        let fenced: Vec<String> = (0..8)
            .filter(|version| gate.fenced_by(*version).is_some())
            .map(|version| version.to_string())
            .collect();
        let _ = writeln!(
            out,
            "{step}: {line}; holds {}; stops [{}]",
            format_minimum(gate.minimum()),
            fenced.join(" ")
        );
    }
}

fn raise_error(error: RaiseError) -> String {
    match error {
        RaiseError::NoMajority { replies, members } => {
            format!("no majority: {replies} of {members}")
        }
        RaiseError::NotAdopted {
            adopted,
            fleet,
            required,
            minimum,
        } => format!("too few: {adopted} of {fleet} at {minimum}, {required} needed"),
        RaiseError::Unchanged(minimum) => format!("unchanged: {minimum}"),
    }
}

/// Writes whether raises are allowed, and the proposals for them.
pub fn raise(out: &mut String) {
    let mut rng = generator(3);
    for step in 0..150 {
        let (replies, minimum) = (replies(&mut rng), draw(&mut rng, 8));
        let proposal = match propose(&replies, MEMBERS, minimum, step) {
            Ok(proposal) => format_minimum(Some(proposal)),
            Err(error) => raise_error(error),
        };
        let _ = writeln!(
            out,
            "{step}: raise to {minimum} over {}: {proposal}",
            format_replies(&replies)
        );
        let fleet: Vec<Option<ReportedVersion>> = (0..draw(&mut rng, 9))
            .map(|_| {
                (draw(&mut rng, 5) > 0).then(|| ReportedVersion {
                    version: minimum + draw(&mut rng, 3) - draw(&mut rng, 2).min(minimum),
                    on_trial: draw(&mut rng, 4) == 0,
                })
            })
            .collect();
        let permille = [0, 333, 500, 900, 1_000, 2_000][draw(&mut rng, 6) as usize];
        let current = (draw(&mut rng, 3) > 0).then(|| draw(&mut rng, 10));
        let allowed = check_adoption(&fleet, current, minimum, permille);
        let versions: Vec<String> = fleet
            .iter()
            .map(|report| {
                report.map_or("-".into(), |report| {
                    format!(
                        "{}{}",
                        report.version,
                        if report.on_trial { "t" } else { "" }
                    )
                })
            })
            .collect();
        let _ = writeln!(
            out,
            "{step}: fleet [{}] part {permille} minimum {current:?}: {}",
            versions.join(" "),
            allowed.map_or_else(raise_error, |()| "allowed".into())
        );
    }
}
