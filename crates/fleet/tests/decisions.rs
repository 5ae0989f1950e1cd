//! Every decision of this package on seeded inputs, held byte for byte against the transcripts under
//! `tests/data`. The transcripts use words of their own, so that a renamed type changes nothing in
//! them. Where one differs, what was decided now is left beside the build's temporary files.

use corkspan_fleet::acts::{Acts as Seen, By, Kind};
use corkspan_fleet::audit::{self, Acted, Finding, Told, Why, findings, node_findings};
use corkspan_fleet::bring::{Came, Next, Pace, Sees, Source, Straggler, lays};
use corkspan_fleet::record::{How, Record, Span};
use corkspan_fleet::rule::{Rows, Rule, Watch};
use corkspan_fleet::{Disk, Fence, Floor, Look, NotRaised, Runs, Standing, next, taken_by_enough};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::path::Path;
use test_case::test_case;

const MEMBERS: usize = 3;

fn generator(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

fn draw(rng: &mut Pcg64Mcg, below: u64) -> u64 {
    rng.random_range(0..below)
}

fn minimum(rng: &mut Pcg64Mcg) -> Floor {
    Floor {
        number: draw(rng, 6),
        asker: draw(rng, 2),
        lowest: draw(rng, 8),
    }
}

/// What some members of the quorum reply. Few values, so that majorities are met often.
fn replies(rng: &mut Pcg64Mcg) -> Vec<Option<Floor>> {
    let usual = minimum(rng);
    let reply = |rng: &mut Pcg64Mcg| match draw(rng, 5) {
        0 => None,
        1 => Some(minimum(rng)),
        _ => Some(usual),
    };
    (0..draw(rng, 4)).map(|_| reply(rng)).collect()
}

fn text(minimum: Option<Floor>) -> String {
    minimum.map_or("-".into(), |own| {
        format!("{}/{}/{}", own.number, own.asker, own.lowest)
    })
}

fn texts(replies: &[Option<Floor>]) -> String {
    let all: Vec<String> = replies.iter().map(|reply| text(*reply)).collect();
    format!("[{}]", all.join(" "))
}

fn operation(kind: Kind) -> &'static str {
    match kind {
        Kind::Shot => "start",
        Kind::Attend => "attend",
        Kind::Stop => "stop",
        Kind::Move => "move",
        Kind::Claim => "claim",
    }
}

fn kind(rng: &mut Pcg64Mcg) -> Kind {
    Kind::ALL[draw(rng, 5) as usize]
}

/// A node's fence: restarts, lost disks, quorum replies and versions of arriving attempts.
fn fence(out: &mut String) {
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
fn gate(out: &mut String) {
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
fn raise(out: &mut String) {
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

/// What a quorum member counts as taken by enough, and what a dispatcher's watch makes of it.
fn policy(out: &mut String) {
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
            let stands = (draw(&mut rng, 3) > 0).then(|| step / 8);
            let lowest = watch.look(now, rule, &replies, MEMBERS, stands);
            let _ = writeln!(
                out,
                "{now}: replies {replies:?} minimum {stands:?}: raise {lowest:?}"
            );
        }
    }
}

/// Whom a dispatcher that is behind asks for the newest version, and when.
fn catch_up(out: &mut String) {
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

fn reason(why: &Why) -> String {
    match why {
        Why::GaveUp(version) => format!("rolled back {version}"),
        Why::TurnedDown(version, why) => format!("rejected {version}: {why}"),
        Why::NoStream => "no stream".into(),
        Why::NotTold => "unknown".into(),
    }
}

fn finding(finding: &Finding) -> String {
    match finding {
        Finding::Silent(who) => format!("silent {who}"),
        Finding::Behind {
            who,
            version,
            newest,
            why,
        } => format!("behind {who}: {version} of {newest}, {}", reason(why)),
        Finding::ShutOut(who) => format!("fenced {who}"),
        Finding::OneNumber {
            who,
            other,
            dispatcher,
        } => format!("duplicate number {dispatcher}: {who} and {other}"),
        Finding::Below {
            dispatcher,
            version,
            below,
        } => format!("rejected operations of {dispatcher} under {version}: {below}"),
        Finding::Ahead { who, version, told } => format!("ahead {who}: {version} over {told}"),
        Finding::More {
            who,
            version,
            kind,
            seen,
            counted,
        } => {
            let kind = operation(*kind);
            format!("surplus {who} under {version}: {kind} {seen} over {counted}")
        }
        Finding::TwoDigests {
            who,
            other,
            version,
        } => format!("digests differ at {version}: {who} and {other}"),
    }
}

fn reported(rng: &mut Pcg64Mcg, dispatcher: u32) -> Told {
    let version = 6 + draw(rng, 3);
    Told {
        dispatcher: dispatcher - u32::from(dispatcher > 0 && draw(rng, 8) == 0),
        life: 100 + draw(rng, 2),
        version,
        digest: format!("d{}", version + 10 * (draw(rng, 6) / 5)),
        on_trial: draw(rng, 4) == 0,
        streams: draw(rng, 3) > 0,
        turned_down: (draw(rng, 3) == 0).then(|| (6 + draw(rng, 4), "split".into())),
        given_up: (0..draw(rng, 2)).map(|_| 6 + draw(rng, 4)).collect(),
        shut_out: draw(rng, 5) == 0,
        acts: (0..draw(rng, 4))
            .map(|_| ((6 + draw(rng, 3), kind(rng)), draw(rng, 9)))
            .collect(),
    }
}

fn observed(rng: &mut Pcg64Mcg) -> Acted {
    let seen = draw(rng, 9);
    Acted {
        dispatcher: draw(rng, 4) as u32,
        life: 100 + draw(rng, 2),
        version: 6 + draw(rng, 3),
        kind: kind(rng),
        seen,
        below: draw(rng, seen + 1) / 3,
    }
}

/// What an audit finds in fleets of four dispatchers and two nodes.
fn audits(out: &mut String) {
    let mut rng = generator(5);
    for step in 0..60 {
        let fleet: Vec<(String, Option<Told>)> = (0..4)
            .map(|own| {
                let answers = draw(&mut rng, 8) > 0;
                (
                    format!("d{own}"),
                    answers.then(|| reported(&mut rng, own as u32)),
                )
            })
            .collect();
        let nodes: Vec<(String, Option<Vec<Acted>>)> = (0..2)
            .map(|own| {
                let seen = (0..draw(&mut rng, 6)).map(|_| observed(&mut rng)).collect();
                (format!("n{own}"), (draw(&mut rng, 6) > 0).then_some(seen))
            })
            .collect();
        let found = findings(&fleet);
        for found in found.iter().chain(&node_findings(&fleet, &nodes)) {
            let _ = writeln!(out, "{step}: {}", finding(found));
        }
        for ((dispatcher, version), sum) in audit::acts(&nodes) {
            let audit::Acts {
                shots,
                others,
                below,
            } = sum;
            let _ = writeln!(
                out,
                "{step}: sums of {dispatcher} under {version}: {shots} {others} {below}"
            );
        }
    }
}

/// What a node counts of operations, and what a dispatcher remembers of its versions.
fn counts(out: &mut String) {
    let mut rng = generator(6);
    let mut seen = Seen::default();
    let mut record = Record::after(VecDeque::new());
    for step in 0..400 {
        let by = By {
            dispatcher: draw(&mut rng, 3) as u32,
            life: draw(&mut rng, 2),
            version: draw(&mut rng, 3),
        };
        let kind = kind(&mut rng);
        if draw(&mut rng, 4) == 0 {
            seen.turned_away(by, kind);
        } else {
            seen.saw(by, kind);
        }
        record.acts(step / 90, kind, draw(&mut rng, 5));
        record.began(Span {
            version: step,
            digest: format!("d{step}"),
            how: [How::File, How::Kept, How::Push, How::GaveUp, How::Brought]
                [draw(&mut rng, 5) as usize],
            life: step / 100,
            from_ms: 10 * step,
        });
    }
    for (by, kind, count) in seen.rows() {
        let kind = operation(kind);
        let _ = writeln!(
            out,
            "{} {} {} {kind}: {} of them rejected {}",
            by.dispatcher, by.life, by.version, count.seen, count.below
        );
    }
    for (version, kind, count) in record.by_version() {
        let _ = writeln!(out, "{version} {}: {count}", operation(kind));
    }
    let mut ways: BTreeMap<&str, u64> = BTreeMap::new();
    for span in record.spans() {
        let way = match span.how {
            How::File => "file",
            How::Kept => "kept",
            How::Push => "push",
            How::GaveUp => "rollback",
            How::Brought => "caught up",
        };
        *ways.entry(way).or_default() += span.version;
    }
    let first = record.spans().front().map(|span| span.version);
    let _ = writeln!(out, "{} from {first:?}: {ways:?}", record.spans().len());
}

#[test_case("fence", fence)]
#[test_case("gate", gate)]
#[test_case("raise", raise)]
#[test_case("policy", policy)]
#[test_case("catch_up", catch_up)]
#[test_case("audit", audits)]
#[test_case("counts", counts)]
fn decisions_are_those_on_file(name: &str, decide: fn(&mut String)) {
    let (mut decided, file) = (String::new(), format!("{name}.txt"));
    decide(&mut decided);
    let data = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let kept = std::fs::read_to_string(data.join(&file)).unwrap_or_default();
    if decided == kept {
        return;
    }
    let now = Path::new(env!("CARGO_TARGET_TMPDIR")).join(&file);
    std::fs::write(&now, &decided).expect("the temporary folder can be written");
    let differ = decided.lines().zip(kept.lines());
    let line = differ.take_while(|(one, other)| one == other).count();
    panic!(
        "{file} line {}: decided {:?}, on file {:?}; all of it in {}",
        line + 1,
        decided.lines().nth(line),
        kept.lines().nth(line),
        now.display()
    );
}
