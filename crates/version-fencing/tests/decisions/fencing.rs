//! Fences at nodes, gates at dispatchers, and proposals of another minimum version.

use crate::{MEMBERS, draw, generator, minimum, replies, text, texts};
use corkspan_version_fencing::{
    Disk, Fence, Look, NotRaised, Runs, Standing, next, taken_by_enough,
};
use std::fmt::Write;

/// A node's fence: restarts, lost disks, quorum replies and versions of arriving attempts.
pub fn fence(out: &mut String) {
    let mut rng = generator(1);
    let mut fence = Fence::start(Disk::Lost);
    for step in 0..200 {
        let line = match draw(&mut rng, 8) {
            0 => {
                let kept = (draw(&mut rng, 2) == 0).then(|| minimum(&mut rng));
                fence = Fence::start(Disk::Whole(kept));
                format!("restart with {}", text(kept))
            }
            1 => {
                fence = Fence::start(Disk::Lost);
                "restart with a lost disk".into()
            }
            2 | 3 => {
                let replies = replies(&mut rng);
                let known = fence.asked(&replies, MEMBERS);
                format!("quorum {} known {known}", texts(&replies))
            }
            4 => {
                let told = minimum(&mut rng);
                let wanted = fence.wants(told);
                if draw(&mut rng, 2) == 0 {
                    fence.keep(told);
                }
                format!("told {} wanted {wanted}", text(Some(told)))
            }
            _ => {
                let version = draw(&mut rng, 8);
                let decision = match fence.look(version) {
                    Look::Passes => "accepted".into(),
                    Look::Below(by) => format!("fenced by {}", text(Some(by))),
                    Look::NotYet => "unknown".into(),
                };
                format!("attempt under {version}: {decision}")
            }
        };
        let _ = writeln!(out, "{step}: {line}; holds {}", text(fence.floor()));
    }
}

/// A dispatcher's gate: what the quorum and the nodes report, and which versions it stops.
pub fn gate(out: &mut String) {
    let mut rng = generator(2);
    let mut gate = Standing::default();
    for step in 0..150 {
        if draw(&mut rng, 40) == 0 {
            gate = Standing::default();
        }
        let line = if draw(&mut rng, 2) == 0 {
            let replies = replies(&mut rng);
            let changed = gate.keepers_tell(&replies, MEMBERS);
            format!("quorum {} changed {changed}", texts(&replies))
        } else {
            let told = minimum(&mut rng);
            let changed = gate.node_tells(told);
            format!("node {} changed {changed}", text(Some(told)))
        };
        let stopped: Vec<String> = (0..8)
            .filter(|version| gate.shut_out(*version).is_some())
            .map(|version| version.to_string())
            .collect();
        let _ = writeln!(
            out,
            "{step}: {line}; holds {}; stops [{}]",
            text(gate.floor()),
            stopped.join(" ")
        );
    }
}

fn raise_error(error: NotRaised) -> String {
    match error {
        NotRaised::Keepers { heard, keepers } => format!("no majority: {heard} of {keepers}"),
        NotRaised::Fleet {
            taken,
            fleet,
            wanted,
            lowest,
        } => format!("too few: {taken} of {fleet} at {lowest}, {wanted} needed"),
        NotRaised::Stands(lowest) => format!("unchanged: {lowest}"),
    }
}

/// Whether a raise is allowed, and what is proposed for it.
pub fn raise(out: &mut String) {
    let mut rng = generator(3);
    for step in 0..150 {
        let (replies, lowest) = (replies(&mut rng), draw(&mut rng, 8));
        let proposal = match next(&replies, MEMBERS, lowest, step) {
            Ok(proposal) => text(Some(proposal)),
            Err(error) => raise_error(error),
        };
        let _ = writeln!(
            out,
            "{step}: raise to {lowest} over {}: {proposal}",
            texts(&replies)
        );
        let fleet: Vec<Option<Runs>> = (0..draw(&mut rng, 9))
            .map(|_| {
                (draw(&mut rng, 5) > 0).then(|| Runs {
                    version: lowest + draw(&mut rng, 3) - draw(&mut rng, 2).min(lowest),
                    on_trial: draw(&mut rng, 4) == 0,
                })
            })
            .collect();
        let part = [0, 333, 500, 900, 1_000, 2_000][draw(&mut rng, 6) as usize];
        let stands = (draw(&mut rng, 3) > 0).then(|| draw(&mut rng, 10));
        let allowed = taken_by_enough(&fleet, stands, lowest, part);
        let runs: Vec<String> = fleet
            .iter()
            .map(|own| {
                own.map_or("-".into(), |own| {
                    format!("{}{}", own.version, if own.on_trial { "t" } else { "" })
                })
            })
            .collect();
        let _ = writeln!(
            out,
            "{step}: fleet [{}] part {part} minimum {stands:?}: {}",
            runs.join(" "),
            allowed.map_or_else(raise_error, |()| "allowed".into())
        );
    }
}
