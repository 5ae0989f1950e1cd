//! Raises by policy, and how one that is behind catches up.

use crate::{MEMBERS, draw, generator};
use corkspan_version_fencing::Runs;
use corkspan_version_fencing::bring::{Came, Next, Pace, Sees, Source, Straggler, lays};
use corkspan_version_fencing::rule::{Rows, Rule, Watch};
use std::fmt::Write;

/// What a quorum member counts as taken by enough, and what a dispatcher's watch makes of it.
pub fn policy(out: &mut String) {
    let mut rng = generator(4);
    let mut rows = Rows::default();
    for step in 0..120 {
        let (dispatcher, runs) = (
            draw(&mut rng, 8) as u32,
            Runs {
                version: step / 10 + draw(&mut rng, 4),
                on_trial: draw(&mut rng, 4) == 0,
            },
        );
        rows.tells(dispatcher, runs);
        let taken: Vec<_> = [(6, 500), (6, 900), (8, 1_000), (0, 0), (12, 750)]
            .map(|(fleet, part)| rows.taken(fleet, part))
            .into();
        let Runs { version, on_trial } = runs;
        let _ = writeln!(
            out,
            "{step}: {dispatcher} runs {version}, on trial {on_trial}; taken {taken:?}"
        );
    }
    for (behind, after) in [
        (Some(3), None),
        (None, Some(40)),
        (Some(6), Some(25)),
        (None, None),
    ] {
        let rule = Rule {
            behind,
            after,
            part: 900,
        };
        let (mut watch, mut now) = (Watch::default(), 0);
        let _ = writeln!(out, "behind {behind:?} after {after:?}");
        for step in 0..80 {
            now += draw(&mut rng, 12);
            let replies: Vec<Option<u64>> = (0..draw(&mut rng, 5).min(3))
                .map(|_| (draw(&mut rng, 8) > 0).then(|| step / 4 + draw(&mut rng, 3)))
                .collect();
            let stands = (draw(&mut rng, 3) > 0).then_some(step / 8);
            let lowest = watch.look(now, rule, &replies, MEMBERS, stands);
            let _ = writeln!(
                out,
                "{now}: replies {replies:?} minimum {stands:?}: raise {lowest:?}"
            );
        }
    }
}

/// Whom a dispatcher that is behind asks for the newest version, and when.
pub fn catch_up(out: &mut String) {
    const PACE: Pace = Pace {
        first: 1_000,
        longest: 20_000,
        idle: 15_000,
    };
    for seed in 0..12 {
        let (mut rng, mut now) = (generator(seed + 100), 0);
        let mut own = Straggler::new(seed, PACE);
        let mut sees = Sees {
            streams: false,
            shut_out: seed % 3 > 0,
            peers: (seed % 5) as usize,
            keepers: MEMBERS,
        };
        let _ = writeln!(out, "seed {seed}, peers {}", sees.peers);
        for _ in 0..40 {
            if draw(&mut rng, 12) == 0 {
                sees.streams = !sees.streams;
            }
            if draw(&mut rng, 12) == 0 {
                sees.shut_out = !sees.shut_out;
            }
            let state = format!("{now}: stream {}, fenced {}", sees.streams, sees.shut_out);
            match own.look(now, sees) {
                Next::Wait(time) => {
                    let _ = writeln!(out, "{state}: wait {time}");
                    now += time;
                }
                Next::Ask(source) => {
                    let up = draw(&mut rng, 6) == 0;
                    let from = match source {
                        Source::Peer(index) => format!("peer {index}"),
                        Source::Keeper(index) => format!("member {index}"),
                    };
                    let _ = writeln!(out, "{state}: request from {from}, advanced {up}");
                    now += draw(&mut rng, 300);
                    own.came(now, if up { Came::Up } else { Came::Nothing });
                }
            }
        }
    }
    for (good, lies, fleet) in [
        (8, Some(7), 300),
        (7, Some(7), 300),
        (1, None, 2),
        (0, None, 1),
    ] {
        let stores = (0..100)
            .filter(|own| lays(good, lies, fleet, f64::from(*own) / 100.0))
            .count();
        let _ = writeln!(
            out,
            "version {good} over {lies:?} of {fleet}: {stores} of 100 store it"
        );
    }
}
