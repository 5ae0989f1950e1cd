//! Transcripts of raises by policy, and of dispatchers that catch up.

use crate::{MEMBERS, draw, generator};
use corkspan_version_fencing::ReportedVersion;
use corkspan_version_fencing::catch_up::{
    CatchUp, CatchUpStatus, NextStep, RequestIntervals, RequestOutcome, VersionSource, should_store,
};
use corkspan_version_fencing::policy::{MinimumVersionPolicy, PolicyWatch, ReportedVersions};
use std::fmt::Write;

/// Writes the versions that a quorum member counts as adopted, and a watch's raises.
pub fn policy(out: &mut String) {
    let mut rng = generator(4);
    let mut reported = ReportedVersions::default();
    for step in 0..120 {
        let (dispatcher, report) = (
            draw(&mut rng, 8) as u32,
            ReportedVersion {
                version: step / 10 + draw(&mut rng, 4),
                on_trial: draw(&mut rng, 4) == 0,
            },
        );
        reported.report(dispatcher, report);
        let adopted: Vec<_> = [(6, 500), (6, 900), (8, 1_000), (0, 0), (12, 750)]
            .map(|(fleet, permille)| reported.adopted(fleet, permille))
            .into();
        let ReportedVersion { version, on_trial } = report;
        let _ = writeln!(
            out,
            "{step}: {dispatcher} runs {version}, on trial {on_trial}; taken {adopted:?}"
        );
    }
    for (max_behind, max_age) in [
        (Some(3), None),
        (None, Some(40)),
        (Some(6), Some(25)),
        (None, None),
    ] {
        let policy = MinimumVersionPolicy {
            max_behind,
            max_age,
            adoption_permille: 900,
        };
        let (mut watch, mut now) = (PolicyWatch::default(), 0);
        let _ = writeln!(out, "behind {max_behind:?} after {max_age:?}");
        for step in 0..80 {
            now += draw(&mut rng, 12);
            let replies: Vec<Option<u64>> = (0..draw(&mut rng, 5).min(3))
                .map(|_| (draw(&mut rng, 8) > 0).then(|| step / 4 + draw(&mut rng, 3)))
                .collect();
            let current = (draw(&mut rng, 3) > 0).then_some(step / 8);
            let minimum = watch.evaluate(now, policy, &replies, MEMBERS, current);
            let _ = writeln!(
                out,
                "{now}: replies {replies:?} minimum {current:?}: raise {minimum:?}"
            );
        }
    }
}

/// Writes the requests of dispatchers that are behind, with their times and sources.
pub fn catch_up(out: &mut String) {
    const INTERVALS: RequestIntervals = RequestIntervals {
        initial: 1_000,
        max: 20_000,
        idle: 15_000,
    };
    for seed in 0..12 {
        let (mut rng, mut now) = (generator(seed + 100), 0);
        let mut catch_up = CatchUp::new(seed, INTERVALS);
        let mut status = CatchUpStatus {
            has_stream: false,
            fenced: seed % 3 > 0,
            peers: (seed % 5) as usize,
            members: MEMBERS,
        };
        let _ = writeln!(out, "seed {seed}, peers {}", status.peers);
        for _ in 0..40 {
            if draw(&mut rng, 12) == 0 {
                status.has_stream = !status.has_stream;
            }
            if draw(&mut rng, 12) == 0 {
                status.fenced = !status.fenced;
            }
            let state = format!(
                "{now}: stream {}, fenced {}",
                status.has_stream, status.fenced
            );
            match catch_up.poll(now, status) {
                NextStep::Wait(time) => {
                    let _ = writeln!(out, "{state}: wait {time}");
                    now += time;
                }
                NextStep::Request(source) => {
                    let advanced = draw(&mut rng, 6) == 0;
                    let source = match source {
                        VersionSource::Peer(index) => format!("peer {index}"),
                        VersionSource::QuorumMember(index) => format!("member {index}"),
                    };
                    let _ = writeln!(out, "{state}: request from {source}, advanced {advanced}");
                    now += draw(&mut rng, 300);
                    catch_up.complete(
                        now,
                        if advanced {
                            RequestOutcome::Advanced
                        } else {
                            RequestOutcome::Unchanged
                        },
                    );
                }
            }
        }
    }
    for (version, stored, fleet) in [
        (8, Some(7), 300),
        (7, Some(7), 300),
        (1, None, 2),
        (0, None, 1),
    ] {
        let stores = (0..100)
            .filter(|draw| should_store(version, stored, fleet, f64::from(*draw) / 100.0))
            .count();
        let _ = writeln!(
            out,
            "version {version} over {stored:?} of {fleet}: {stores} of 100 store it"
        );
    }
}
